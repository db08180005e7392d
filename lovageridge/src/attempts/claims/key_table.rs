//! Folds the records of the `calls` stream into the state of each idempotency key.

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::Table;

/// Name of the log stream that carries idempotency claims.
pub const STREAM: &str = "calls";

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A request wants to run under a key.
    Claim {
        /// Hash of partner, service and key.
        key: String,
        /// Name of the request.
        request_id: String,
        /// Hash of method, path and body.
        fingerprint: String,
    },
    /// The request has not run and never will.
    Void {
        /// Hash of partner, service and key.
        key: String,
        /// Name of the request.
        request_id: String,
    },
    /// The request has run and this was the answer.
    Answered {
        /// Hash of partner, service and key.
        key: String,
        /// Name of the request.
        request_id: String,
        /// HTTP status.
        status_code: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body as text; `None` when it is too large or not text.
        body: Option<String>,
    },
    /// Several records that one append carries.
    Batch(Vec<Record>),
}

/// State of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyState {
    /// Request that holds the key.
    pub request_id: String,
    /// Hash of method, path and body of that request.
    pub fingerprint: String,
    /// Offset of the claim.
    pub offset: u64,
    /// Answer of that request, once known.
    pub response: Option<StoredResponse>,
}

/// An answer that a repeated request gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status_code: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` when it was not kept.
    pub body: Option<String>,
}

/// State of all keys whose records the log still holds.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    keys: Table<String, KeyState>,
    voided: Table<String, u64>,
    next_offset: u64,
}

impl KeyTable {
    /// Returns the first offset that has not been folded.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the state of `key`.
    pub fn get(&self, key: &str) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Drops the keys whose claims the log holds no longer.
    pub fn on_first_offset(&mut self, first_offset: u64) {
        self.next_offset = self.next_offset.max(first_offset);
        self.keys.retain(|_, state| state.offset >= first_offset);
        self.voided.retain(|_, offset| *offset >= first_offset);
    }

    /// Folds the record at `offset`; records already folded are passed over.
    pub fn apply(&mut self, offset: u64, record: Record) {
        if offset >= self.next_offset {
            self.next_offset = offset + 1;
            self.apply_record(offset, record);
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record) {
        match record {
            Record::Claim { key, request_id, fingerprint } => {
                let free = !self.keys.contains(&key) && !self.voided.contains(&request_id);
                if free {
                    let state = KeyState { request_id, fingerprint, offset, response: None };
                    self.keys.insert(key, state);
                }
            }
            Record::Void { key, request_id } => {
                let held = self.keys.get(&key);
                if held.is_some_and(|s| s.request_id == request_id && s.response.is_none()) {
                    self.keys.remove(&key);
                }
                self.voided.insert(request_id, offset);
            }
            Record::Answered { key, request_id, status_code, content_type, body } => {
                if let Some(state) = self.keys.get_mut(&key)
                    && state.request_id == request_id
                {
                    state.response = Some(StoredResponse { status_code, content_type, body });
                }
            }
            Record::Batch(records) => {
                for record in records {
                    self.apply_record(offset, record);
                }
            }
        }
    }
}
