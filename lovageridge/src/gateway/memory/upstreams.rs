//! Bytes of large bodies that are in progress at each upstream.

use crate::gateway::memory::budget::SMALL_BODY_MAX_BYTES;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Largest part of the limit on held bytes that may be in progress at one upstream, in percent: three of the
/// longest bodies at 120 MB of memory.
const UPSTREAM_SHARE_PCT: u64 = 25;

/// Bytes of large bodies in progress, by upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamBytes {
    in_progress: Table<String, u64>,
}

impl UpstreamBytes {
    /// Counts a body that is sent to an upstream; small ones do not count.
    pub fn on_sent(&mut self, id: &str, body_bytes: u64) {
        if body_bytes > SMALL_BODY_MAX_BYTES {
            *self.in_progress.get_or_insert_with(id.to_owned(), u64::default) += body_bytes;
        }
    }

    /// Counts a body as no longer in progress at an upstream; returns whether there is more room now.
    pub fn on_done(&mut self, id: &str, body_bytes: u64) -> bool {
        if body_bytes <= SMALL_BODY_MAX_BYTES {
            return false;
        }
        let Some(bytes) = self.in_progress.get_mut(id) else { return false };
        *bytes = bytes.saturating_sub(body_bytes);
        if *bytes == 0 {
            self.in_progress.remove(id);
        }
        true
    }

    /// Returns the upstreams that are not to get a further body of this length. One without any large
    /// body in progress gets each.
    pub fn full(&self, body_bytes: u64, limit_bytes: Option<u64>) -> Vec<String> {
        let Some(limit_bytes) = limit_bytes.filter(|_| body_bytes > SMALL_BODY_MAX_BYTES) else {
            return Vec::new();
        };
        let bound_bytes = limit_bytes / 100 * UPSTREAM_SHARE_PCT;
        let is_full = |bytes: u64| bytes + body_bytes > bound_bytes;
        self.in_progress
            .iter()
            .filter(|(_, bytes)| is_full(**bytes))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
