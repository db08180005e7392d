//! Predicts how long a request waits and runs from recent service times of its pool.

/// Weight of a new observation in the moving averages, in percent.
const NEW_SAMPLE_PCT: u64 = 20;

/// Moving averages of the service times of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceTimes {
    mean_ms: u64,
    mean_token_us: u64,
}

impl ServiceTimes {
    /// Adds the observation that a request of `tokens` took `took_ms`.
    pub fn observe(&mut self, took_ms: u64, tokens: u64) {
        self.mean_ms = moving_average(self.mean_ms, took_ms);
        self.mean_token_us = moving_average(self.mean_token_us, took_ms * 1000 / tokens.max(1));
    }

    /// Returns the mean service time of a request, in ms; 0 before the first observation.
    pub fn mean_ms(&self) -> u64 {
        self.mean_ms
    }

    /// Returns the expected service time of a request of `tokens`, in ms; 0 before the first
    /// observation.
    ///
    /// Callers request more tokens than they need, so the mean service time is the upper bound.
    pub fn expected_ms(&self, tokens: u64) -> u64 {
        self.mean_ms.min(tokens * self.mean_token_us / 1000)
    }

    /// Returns the expected wait behind `ahead_tokens` when `slots` sequences run concurrently, in
    /// ms.
    ///
    /// Returns 0 before the first observation, so that no request is refused without evidence.
    pub fn wait_ms(&self, ahead_tokens: u64, slots: u64) -> u64 {
        ahead_tokens * self.mean_token_us / 1000 / slots.max(1)
    }
}

fn moving_average(old: u64, new: u64) -> u64 {
    if old == 0 { new } else { (old * (100 - NEW_SAMPLE_PCT) + new * NEW_SAMPLE_PCT) / 100 }
}
