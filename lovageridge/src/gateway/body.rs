//! Collects bodies that arrive in parts.

use bytes::Bytes;
use bytes::BytesMut;

/// Parts of a body in one buffer, so that many short parts take no more memory than their length.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    // Not copied, since most bodies arrive in one part.
    first: Bytes,
    rest: BytesMut,
    parts: usize,
    expected_bytes: usize,
}

impl BodyBuffer {
    /// Returns a buffer for a body of this length, which then needs no room to grow.
    pub fn with_expected(expected_bytes: usize) -> Self {
        Self { expected_bytes, ..Self::default() }
    }

    /// Appends the next part.
    pub fn push(&mut self, part: Bytes) {
        if self.parts == 0 {
            self.first = part;
        } else {
            if self.rest.is_empty() {
                self.rest.reserve(self.expected_bytes);
                self.rest.extend_from_slice(&std::mem::take(&mut self.first));
            }
            self.rest.extend_from_slice(&part);
        }
        self.parts += 1;
    }

    /// Returns the number of parts.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// Returns the number of bytes so far.
    pub fn bytes(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Returns the complete body.
    pub fn finish(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
