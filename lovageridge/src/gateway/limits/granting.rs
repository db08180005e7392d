//! Which instance grants the sends to a worker, as seen from one instance.
//!
//! Datagrams are lost, and two instances may be unable to reach each other while others reach both. A
//! request for a send may therefore arrive at an instance that would itself ask another one. It passes
//! the request on, so that two instances grant sends to the same worker only if neither reaches the
//! other.

use crate::hashing;
use crate::sorted::Table;

/// Number of requests without an answer, and without any other message from it, after which an instance
/// is passed over: a lost datagram alone must not let two instances grant sends to the same worker.
pub const UNANSWERED_MAX: u32 = 3;
/// Time for which it is passed over, in ms.
const SILENT_MS: u64 = 5000;

/// A request for a send at an instance.
#[derive(Clone, Copy, Debug)]
pub struct Requested<'a> {
    /// Key of the worker.
    pub worker: u64,
    /// Name of the instance.
    pub own: &'a str,
    /// Whether another instance has passed the request on.
    pub is_relayed: bool,
}

/// An instance that did not answer a request for a send.
#[derive(Clone, Copy, Debug, Default)]
struct Unanswered {
    requests: u32,
    // Time of the last of these requests, in ms.
    last_ms: u64,
}

impl Unanswered {
    fn is_silent(&self, now_ms: u64) -> bool {
        self.requests >= UNANSWERED_MAX && now_ms < self.last_ms + SILENT_MS
    }
}

/// Instances that did not answer their latest requests for sends.
#[derive(Clone, Debug, Default)]
pub struct GrantingView {
    unanswered: Table<String, Unanswered>,
}

impl GrantingView {
    /// Records that an instance did not answer; returns whether it is passed over from now on.
    pub fn on_unanswered(&mut self, name: &str, now_ms: u64) -> bool {
        self.unanswered.retain(|_, one| now_ms < one.last_ms + SILENT_MS);
        let unanswered = self.unanswered.get_or_insert_with(name.to_owned(), Unanswered::default);
        unanswered.requests += 1;
        unanswered.last_ms = now_ms;
        unanswered.is_silent(now_ms)
    }

    /// Records that an instance has sent a message.
    pub fn on_message(&mut self, name: &str) {
        if !self.unanswered.is_empty() {
            self.unanswered.remove(name);
        }
    }

    /// Returns the instance that grants the requested send, out of the one where it was requested and
    /// its peers.
    pub fn granting_instance<'a>(
        &self,
        requested: Requested<'a>,
        peers: impl Iterator<Item = &'a str>,
        now_ms: u64,
    ) -> &'a str {
        let Requested { worker, own, is_relayed } = requested;
        if is_relayed {
            return own;
        }
        let answers =
            |name: &&str| self.unanswered.get(*name).is_none_or(|one| !one.is_silent(now_ms));
        let worker = worker.to_string();
        let names = peers.filter(answers).chain([own]);
        names.max_by_key(|name| (hashing::stable_hash(&[&worker, name]), *name)).unwrap_or(own)
    }
}
