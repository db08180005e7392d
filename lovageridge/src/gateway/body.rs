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
}

impl BodyBuffer {
    /// Appends the next part.
    pub fn push(&mut self, part: Bytes) {
        if self.parts == 0 {
            self.first = part;
        } else {
            if self.rest.is_empty() {
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

    /// Returns the complete body.
    pub fn finish(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
