//! Limit on concurrent loads from the weight store.
//!
//! Above a certain concurrency the store slows down all loads in proportion, so that they all
//! finish late, and no sooner than if they ran one after the other. The store does not publish that
//! concurrency, so the limit is adjusted to the observed duration of loads.

use crate::gateway::fleet::worker::FinishedStoreLoad;

/// Highest limit.
const MAX_LIMIT: usize = 8;
/// Delay with which a load still counts as on time, in percent of its duration at full speed; at a
/// store that serves one load at a time, a second one delays both by 100 %.
const SLOWDOWN_TOLERANCE_PCT: u64 = 30;
/// Time until a worker's record shows a finished load, in ms: its heartbeat interval and the delay
/// through the store.
const RECORD_LAG_MS: u64 = 2500;

/// Adaptive limit on concurrent loads.
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
    /// Returns the number of loads that may run concurrently.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Doubles the limit after a load that was on time; halves it after a late one.
    pub fn on_load_finished(&mut self, load: FinishedStoreLoad) {
        let on_time_ms = load.nominal_ms * (100 + SLOWDOWN_TOLERANCE_PCT) / 100 + RECORD_LAG_MS;
        self.limit = if load.observed_ms <= on_time_ms {
            (self.limit * 2).min(MAX_LIMIT)
        } else {
            (self.limit / 2).max(1)
        };
    }
}
