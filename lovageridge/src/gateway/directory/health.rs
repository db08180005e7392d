//! Health of a worker as observed from its responses, independent of its health check.

/// Weight of the newest response in the moving averages, from 0 to 1.
const EWMA_WEIGHT: f64 = 0.15;
/// Time in which the failure rate halves while no responses arrive, in ms.
const FAILURE_HALF_LIFE_MS: f64 = 3000.0;
/// Time for which a worker is avoided the first time that it is unreachable, in ms.
const AVOID_MIN_MS: u64 = 250;
/// Number of times that this backoff doubles while the worker stays unreachable.
const AVOID_DOUBLINGS: u32 = 3;
/// Longest backoff, in ms.
const AVOID_MAX_MS: u64 = 2000;

/// Failure rate, latency and backoff of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated_ms: u64,
    consecutive_unreachable: u32,
    avoid_until_ms: u64,
    average_first_byte_ms: Option<f64>,
    last_response_ms: Option<u64>,
    last_unreachable_ms: Option<u64>,
}

impl Health {
    fn record_result(&mut self, failed: bool, now_ms: u64) {
        self.failure_rate = self.failure_rate(now_ms) * (1.0 - EWMA_WEIGHT);
        if failed {
            self.failure_rate += EWMA_WEIGHT;
        }
        self.updated_ms = now_ms;
    }

    /// Records a response that shows no fault of the worker, and the time to its headers; ends the
    /// backoff.
    pub fn on_response(&mut self, first_byte_ms: u64, now_ms: u64) {
        self.record_result(false, now_ms);
        self.consecutive_unreachable = 0;
        self.last_response_ms = Some(now_ms);
        self.avoid_until_ms = 0;
        let newest = first_byte_ms as f64;
        let average = self.average_first_byte_ms.unwrap_or(newest);
        self.average_first_byte_ms = Some(average + (newest - average) * EWMA_WEIGHT);
    }

    /// Records a failed response or a missing one.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.record_result(true, now_ms);
    }

    /// Records that the worker could not be reached or stopped responding, and avoids it for a
    /// backoff time that grows with each consecutive call.
    pub fn on_unreachable(&mut self, now_ms: u64) {
        self.record_result(true, now_ms);
        self.last_unreachable_ms = Some(now_ms);
        let backoff_ms = AVOID_MIN_MS << self.consecutive_unreachable.min(AVOID_DOUBLINGS);
        self.consecutive_unreachable += 1;
        self.avoid_until_ms = now_ms + backoff_ms.min(AVOID_MAX_MS);
    }

    /// Returns the time of the worker's last response, in ms.
    pub fn last_response_ms(&self) -> Option<u64> {
        self.last_response_ms
    }

    /// Returns the time at which the worker was last unreachable, in ms.
    pub fn last_unreachable_ms(&self) -> Option<u64> {
        self.last_unreachable_ms
    }

    /// Avoids the worker for at least `wait_ms`.
    pub fn avoid(&mut self, wait_ms: u64, now_ms: u64) {
        self.avoid_until_ms = self.avoid_until_ms.max(now_ms + wait_ms);
    }

    /// Returns whether the worker is to be avoided now.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Returns the failure rate, from 0 to 1; it decays with time so that the worker is tried
    /// again.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Returns the average time to the response headers, in ms, or `None` before any response.
    pub fn average_first_byte_ms(&self) -> Option<f64> {
        self.average_first_byte_ms
    }
}
