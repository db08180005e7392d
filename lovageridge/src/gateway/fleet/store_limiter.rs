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
/// Sets of loads on time after which a limit that was too high is tried again.
const RETRY_SETS: usize = 4;

#[cfg(test)]
mod tests;

/// Adaptive limit on concurrent loads.
///
/// It grows by one after as many loads on time as it allows at once. A late load shows how many the
/// store serves: that many times as long, that many times as many.
#[derive(Clone, Copy, Debug)]
pub struct StoreLoadLimiter {
    limit: usize,
    // Time of the last change, in ms; loads that started before say nothing about the limit.
    changed_ms: u64,
    loads_on_time: usize,
    // Loads on time after which the limit grows.
    loads_needed: usize,
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self { limit: 1, changed_ms: 0, loads_on_time: 0, loads_needed: 1 }
    }
}

impl StoreLoadLimiter {
    /// Returns the number of loads that may run concurrently.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Applies a load that was seen as finished at `now_ms`.
    pub fn on_load_finished(&mut self, load: FinishedStoreLoad, now_ms: u64) {
        if now_ms < self.changed_ms + load.observed_ms {
            return;
        }
        let on_time_ms = load.nominal_ms * (100 + SLOWDOWN_TOLERANCE_PCT) / 100 + RECORD_LAG_MS;
        if load.observed_ms > on_time_ms {
            let served = self.limit as u64 * (load.nominal_ms + RECORD_LAG_MS) / load.observed_ms;
            let lower = (served as usize).clamp(1, (self.limit - 1).max(1));
            self.change(lower, lower * RETRY_SETS, now_ms);
            return;
        }
        self.loads_on_time += 1;
        if self.loads_on_time >= self.loads_needed && self.limit < MAX_LIMIT {
            self.change(self.limit + 1, self.limit + 1, now_ms);
        }
    }

    fn change(&mut self, limit: usize, loads_needed: usize, now_ms: u64) {
        *self = Self { limit, changed_ms: now_ms, loads_on_time: 0, loads_needed };
    }
}
