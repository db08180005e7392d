//! Applies the records of the `calls` stream to the state of each idempotency key.

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::Table;

/// Name of the log stream that carries idempotency claims.
pub const STREAM: &str = "calls";

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A request claims a key and runs only if the key is free.
    Claim {
        /// Hash of partner, service and key.
        key: String,
        /// ID of the request.
        request_id: String,
        /// Hash of method, path and body.
        fingerprint: String,
    },
    /// The request has not run and never will; its key is released.
    Void {
        /// Hash of partner, service and key.
        key: String,
        /// ID of the request.
        request_id: String,
    },
    /// The request has run and got this response.
    Answered {
        /// Hash of partner, service and key.
        key: String,
        /// ID of the request.
        request_id: String,
        /// HTTP status.
        status_code: u16,
        /// Content type of the response.
        content_type: String,
        /// Body as text; `None` if it is too large or not text.
        body: Option<String>,
    },
    /// Several records of one append.
    Batch(Vec<Record>),
}

/// State of a key that a request holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyState {
    /// Request that holds the key.
    pub request_id: String,
    /// Hash of method, path and body of that request.
    pub fingerprint: String,
    /// Offset of the claim in the stream.
    pub offset: u64,
    /// Response to that request; `None` until it is known.
    pub response: Option<StoredResponse>,
}

/// A response that is sent again to repeated requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status_code: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too large or not text.
    pub body: Option<String>,
}

/// State of all keys whose claims the log still holds.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    keys: Table<String, KeyState>,
    /// Offsets of the void records by request ID.
    voided: Table<String, u64>,
    next_offset: u64,
}

impl KeyTable {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the state of `key`; `None` if no request holds it.
    pub fn get(&self, key: &str) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Removes the keys whose claims the log no longer holds.
    pub fn on_first_offset(&mut self, first_offset: u64) {
        self.next_offset = self.next_offset.max(first_offset);
        self.keys.retain(|_, state| state.offset >= first_offset);
        self.voided.retain(|_, offset| *offset >= first_offset);
    }

    /// Applies the record at `offset`, unless it was applied before.
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
                let state = self.keys.get(&key);
                if state.is_some_and(|s| s.request_id == request_id && s.response.is_none()) {
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
