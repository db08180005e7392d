//! Documents in compressed form, relative to one that the receiver already has.
//!
//! A change of one route of a large configuration takes about a hundred bytes this way, and a row of
//! routes a fifteenth of its size in the document.

use std::io::Read;
use std::io::Write;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

#[cfg(test)]
mod tests;

/// Compression level; the lowest one, since similar documents are found at any level.
const LEVEL: i32 = 1;
/// Largest document that is unpacked, in bytes.
const DOCUMENT_MAX_BYTES: u64 = 16 << 20;
/// Smallest window, as a power of two.
const WINDOW_LOG_MIN: u32 = 17;
/// Largest window that receivers accept, as a power of two.
const WINDOW_LOG_MAX: u32 = 26;

/// Digest of a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentId([u8; 16]);

impl DocumentId {
    /// Returns the digest of `document`.
    pub fn of(document: &[u8]) -> Self {
        let mut id = [0; 16];
        id.copy_from_slice(&Sha256::digest(document)[..16]);
        Self(id)
    }
}

/// Why a document cannot be restored from a delta.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The delta is relative to another document.
    #[error("the delta is relative to another document")]
    OtherBase,
    /// The compressed bytes are damaged.
    #[error("cannot decompress: {0}")]
    Damaged(#[from] std::io::Error),
    /// The restored document has another digest than the original one.
    #[error("the digest does not match")]
    Digest,
}

/// A compressed document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Document that has to be known; `None` if the delta holds the whole document.
    pub base: Option<DocumentId>,
    /// The document.
    pub document: DocumentId,
    compressed: Vec<u8>,
}

impl Delta {
    /// Compresses `document`, relative to `base` if one is given.
    ///
    /// # Errors
    /// Returns an error if the compression fails, for example for want of memory.
    pub fn new(base: Option<&[u8]>, document: &[u8]) -> Result<Self, Error> {
        let prefix = base.unwrap_or_default();
        let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
        let reach = (prefix.len() + document.len()).next_power_of_two().ilog2();
        encoder.window_log(reach.clamp(WINDOW_LOG_MIN, WINDOW_LOG_MAX))?;
        encoder.long_distance_matching(base.is_some())?;
        encoder.set_pledged_src_size(Some(document.len() as u64))?;
        encoder.write_all(document)?;
        Ok(Self {
            base: base.map(DocumentId::of),
            document: DocumentId::of(document),
            compressed: encoder.finish()?,
        })
    }

    /// Returns the document; `known` is the one that the receiver has.
    ///
    /// # Errors
    /// Returns an error if the delta is relative to another document or is damaged.
    pub fn restore(&self, known: &[u8]) -> Result<Vec<u8>, Error> {
        if self.base.is_some_and(|base| base != DocumentId::of(known)) {
            return Err(Error::OtherBase);
        }
        let prefix = if self.base.is_some() { known } else { &[] };
        let mut decoder = Decoder::with_ref_prefix(self.compressed.as_slice(), prefix)?;
        decoder.window_log_max(WINDOW_LOG_MAX)?;
        let mut document = Vec::new();
        decoder.take(DOCUMENT_MAX_BYTES).read_to_end(&mut document)?;
        if DocumentId::of(&document) != self.document {
            return Err(Error::Digest);
        }
        Ok(document)
    }

    /// Returns the size of the compressed document, in bytes.
    pub fn len(&self) -> usize {
        self.compressed.len()
    }

    /// Returns whether the compressed document is empty.
    pub fn is_empty(&self) -> bool {
        self.compressed.is_empty()
    }
}
