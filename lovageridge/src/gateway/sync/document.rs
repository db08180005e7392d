//! The operator's configuration as stored, and its compressed forms for other instances.

use std::cell::OnceCell;

use bytes::Bytes;

use crate::gateway::sync::delta;
use crate::gateway::sync::delta::Delta;
use crate::gateway::sync::delta::DocumentId;

/// A configuration and the one before it.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    /// Digest of the document.
    pub id: DocumentId,
    /// Era of the store that it was read in.
    pub era: u64,
    /// The document as stored.
    pub document: Bytes,
    previous: Option<(DocumentId, Bytes)>,
    change: OnceCell<Delta>,
    whole: OnceCell<Delta>,
}

impl StoredConfig {
    /// Returns `document`, read in `era`, as the successor of `before`.
    pub fn new(document: Bytes, era: u64, before: Option<&Self>) -> Self {
        Self {
            id: DocumentId::of(&document),
            era,
            document,
            previous: before.map(|before| (before.id, before.document.clone())),
            change: OnceCell::new(),
            whole: OnceCell::new(),
        }
    }

    /// Returns the document as a change of the one before it, or as a whole if there is none.
    ///
    /// # Errors
    /// Returns an error if the compression fails.
    pub fn change(&self) -> Result<&Delta, delta::Error> {
        let Some((_, previous)) = &self.previous else { return self.whole() };
        if let Some(change) = self.change.get() {
            return Ok(change);
        }
        let change = Delta::new(Some(previous), &self.document)?;
        Ok(self.change.get_or_init(|| change))
    }

    /// Returns the document for an instance that has the one with `known`.
    ///
    /// # Errors
    /// Returns an error if the compression fails.
    pub fn since(&self, known: Option<DocumentId>) -> Result<&Delta, delta::Error> {
        match &self.previous {
            Some((id, _)) if known == Some(*id) => self.change(),
            _ => self.whole(),
        }
    }

    fn whole(&self) -> Result<&Delta, delta::Error> {
        if let Some(whole) = self.whole.get() {
            return Ok(whole);
        }
        let whole = Delta::new(None, &self.document)?;
        Ok(self.whole.get_or_init(|| whole))
    }
}
