//! How many loads from the weight store go side by side.
//!
//! Beyond some number the store slows all of them down in proportion, so that they end together and
//! no sooner than one after the other. The number is not announced: it is learned from how long loads
//! take.

use crate::gateway::fleet::worker::FinishedStoreLoad;

/// Most loads at once that are tried.
const MAX_LIMIT: usize = 8;
/// Part of its time at full speed by which a load may be late, in percent; beside one load too many
/// it is late by all of it.
const SLOWDOWN_TOLERANCE_PCT: u64 = 30;
/// Time after which a worker's record shows a load, in ms: its heartbeat and the way through the store.
const RECORD_LAG_MS: u64 = 2500;

/// What was learned.
#[derive(Clone, Copy, Debug)]
pub struct StoreLoadLimiter {
    limit: usize,
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self { limit: 1 }
    }
}

impl StoreLoadLimiter {
    /// Returns the number of loads that may go on at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes over how long a load took.
    pub fn on_load_finished(&mut self, load: FinishedStoreLoad) {
        let on_time_ms = load.nominal_ms * (100 + SLOWDOWN_TOLERANCE_PCT) / 100 + RECORD_LAG_MS;
        self.limit = if load.observed_ms <= on_time_ms {
            (self.limit * 2).min(MAX_LIMIT)
        } else {
            (self.limit / 2).max(1)
        };
    }
}
