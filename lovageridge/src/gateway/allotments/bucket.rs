//! The lead's token bucket of one account.

use crate::gateway::allotments::Limit;
use crate::gateway::allotments::Shortfall;

/// Part of the burst, as a divisor, below which nothing is granted ahead of need: what is not used within its
/// time is lost to the account.
const SPARE_DIVISOR: f64 = 4.0;

/// Token bucket. Its level may be negative, after a request that costs more than the burst or the use of
/// reserves.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    at_ms: u64,
}

impl Bucket {
    /// Returns a bucket with `level` tokens at `at_ms`.
    pub fn new(limit: Limit, level: f64, at_ms: u64) -> Self {
        Self { limit, level: level.min(limit.burst as f64), at_ms }
    }

    /// Changes the limit; tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst as f64);
    }

    /// Returns the limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Fills the bucket up to `now_ms` at `rate_per_s`, less `charge` tokens that were used elsewhere meanwhile.
    pub fn advance(&mut self, rate_per_s: f64, charge: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        self.add(rate_per_s * elapsed_ms / 1000.0 - charge);
    }

    /// Adds tokens, or removes them if `tokens` is negative.
    pub fn add(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.limit.burst as f64);
    }

    /// Grants the costs of waiting requests in their order, as far as the tokens suffice, and up to `extra` tokens
    /// ahead of need. Returns the number of granted tokens and what is short at a rate of `rate_per_s`.
    pub fn grant(&mut self, costs: &[u64], extra: u64, rate_per_s: f64) -> (u64, Shortfall) {
        let mut granted: u64 = 0;
        for cost in costs {
            let needed = (*cost).min(self.limit.burst) as f64;
            if self.level < needed {
                let wait_ms = (needed - self.level) * 1000.0 / rate_per_s.max(1.0);
                return (granted, Shortfall::Wait(wait_ms.ceil() as u64));
            }
            self.level -= *cost as f64;
            granted = granted.saturating_add(*cost);
        }
        let spare = (self.level - self.limit.burst as f64 / SPARE_DIVISOR).max(0.0) as u64;
        let extra = extra.min(spare);
        self.level -= extra as f64;
        (granted.saturating_add(extra), Shortfall::None)
    }
}
