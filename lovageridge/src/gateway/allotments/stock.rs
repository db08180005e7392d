//! One account on an instance: granted tokens and the reserve.

use crate::gateway::allotments::HeldReserve;
use crate::gateway::allotments::Limit;
use crate::gateway::allotments::RESERVE_VALID_MS;
use crate::gateway::allotments::STOCK_VALID_MS;

/// Time over which the rate of use is averaged, in ms.
const USE_AVERAGE_MS: f64 = 500.0;
/// Time for which tokens are asked for ahead of need, in ms.
const AHEAD_MS: f64 = 150.0;

/// Granted tokens that expire at a certain time.
#[derive(Clone, Copy, Debug)]
struct Granted {
    until_ms: u64,
    tokens: u64,
}

/// A part of the rate that may be used without the lead.
#[derive(Clone, Copy, Debug, Default)]
struct Reserve {
    rate_per_s: u64,
    early: u64,
    from_ms: u64,
    spent: u64,
}

/// Tokens of one account.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    /// Limit in the configuration of this instance.
    pub limit: Limit,
    granted: Vec<Granted>,
    reserve: Reserve,
    reserve_used: u64,
    last_use_ms: Option<u64>,
    // Average use in tokens in `USE_AVERAGE_MS`, and average cost of a request.
    recent_use: f64,
    mean_cost: f64,
}

impl Stock {
    /// Returns the number of granted tokens that may be used.
    pub fn tokens(&self, now_ms: u64) -> u64 {
        let valid = self.granted.iter().filter(|granted| now_ms < granted.until_ms);
        valid.map(|granted| granted.tokens).fold(0, u64::saturating_add)
    }

    /// Adds the tokens of the answer to a question that was sent at `asked_ms`.
    pub fn add(&mut self, tokens: u64, asked_ms: u64) {
        if tokens > 0 {
            self.granted.push(Granted { until_ms: asked_ms + STOCK_VALID_MS, tokens });
            self.granted.sort_by_key(|granted| granted.until_ms);
        }
    }

    /// Takes the cost of a request out of the granted tokens; returns whether they sufficed.
    pub fn take(&mut self, cost: u64, now_ms: u64) -> bool {
        self.granted.retain(|granted| now_ms < granted.until_ms && granted.tokens > 0);
        if self.tokens(now_ms) < cost {
            return false;
        }
        let mut open = cost;
        for granted in &mut self.granted {
            let part = open.min(granted.tokens);
            granted.tokens -= part;
            open -= part;
        }
        self.on_used(cost, now_ms);
        true
    }

    /// Takes the cost of a request out of the reserve; returns whether it sufficed.
    pub fn take_reserve(&mut self, cost: u64, now_ms: u64) -> bool {
        if self.reserve_left(now_ms).is_none_or(|left| left < cost) {
            return false;
        }
        self.reserve.spent += cost;
        self.reserve_used += cost;
        self.on_used(cost, now_ms);
        true
    }

    /// Takes the cost of a further run of an admitted request out of the granted tokens, or else of the reserve
    /// whether it suffices or not.
    pub fn charge(&mut self, cost: u64, now_ms: u64) {
        if !self.take(cost, now_ms) {
            self.reserve.spent += cost;
            self.reserve_used += cost;
            self.on_used(cost, now_ms);
        }
    }

    fn on_used(&mut self, cost: u64, now_ms: u64) {
        self.recent_use = self.recent_use_at(now_ms) + cost as f64;
        self.mean_cost = if self.mean_cost == 0.0 {
            cost as f64
        } else {
            self.mean_cost * 0.9 + cost as f64 * 0.1
        };
        self.last_use_ms = Some(now_ms);
    }

    fn recent_use_at(&self, now_ms: u64) -> f64 {
        let Some(last_ms) = self.last_use_ms else { return 0.0 };
        self.recent_use * (-(now_ms.saturating_sub(last_ms) as f64) / USE_AVERAGE_MS).exp()
    }

    /// Returns the number of tokens to ask for ahead of need. Less than a request needs is not worth asking for.
    pub fn extra(&self, now_ms: u64) -> u64 {
        let extra = self.recent_use_at(now_ms) * AHEAD_MS / USE_AVERAGE_MS;
        if extra < self.mean_cost { 0 } else { extra as u64 }
    }

    /// Applies the reserve in an answer to a question that was sent at `asked_ms`, when `used` tokens of reserves
    /// had been used since the start. What was used since then belongs to the new reserve.
    pub fn set_reserve(&mut self, rate_per_s: u64, early: u64, asked_ms: u64, used: u64) {
        let spent = self.reserve_used.saturating_sub(used);
        self.reserve = Reserve { rate_per_s, early, from_ms: asked_ms, spent };
    }

    /// Renews the reserve by an answer to a question that was sent at `asked_ms`, when `used` tokens of reserves
    /// had been used. An expired reserve stays expired.
    pub fn renew_reserve(&mut self, asked_ms: u64, used: u64) {
        if self.holds_reserve(asked_ms) {
            self.reserve.from_ms = self.reserve.from_ms.max(asked_ms);
            self.reserve.spent = self.reserve_used.saturating_sub(used);
        } else {
            self.reserve = Reserve::default();
        }
    }

    /// Returns whether there is a reserve that has not expired.
    pub fn holds_reserve(&self, now_ms: u64) -> bool {
        self.reserve.rate_per_s > 0 && now_ms < self.reserve.from_ms + RESERVE_VALID_MS
    }

    /// Returns the number of tokens left in the reserve; `None` without one.
    pub fn reserve_left(&self, now_ms: u64) -> Option<u64> {
        let Reserve { early, spent, .. } = self.reserve;
        let given = self.holds_reserve(now_ms).then(|| self.given(now_ms))?;
        Some((given + early).saturating_sub(spent))
    }

    /// Returns the time until the reserve holds `cost` tokens, in ms; `None` without one.
    pub fn reserve_wait_ms(&self, cost: u64, now_ms: u64) -> Option<u64> {
        let left = self.reserve_left(now_ms)?;
        Some(cost.saturating_sub(left).saturating_mul(1000) / self.reserve.rate_per_s.max(1))
    }

    fn given(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.reserve.from_ms);
        self.reserve.rate_per_s.saturating_mul(elapsed_ms) / 1000
    }

    /// Returns the reserve for a report to the lead.
    pub fn held_reserve(&self, now_ms: u64) -> Option<HeldReserve> {
        let rate_per_s = self.reserve.rate_per_s;
        let unspent = || self.given(now_ms).saturating_sub(self.reserve.spent);
        self.holds_reserve(now_ms).then(|| HeldReserve { rate_per_s, unspent: unspent() })
    }

    /// Returns the number of tokens of reserves used since the start.
    pub fn reserve_used(&self) -> u64 {
        self.reserve_used
    }

    /// Returns the time of the last use, in ms; `None` before the first.
    pub fn last_use_ms(&self) -> Option<u64> {
        self.last_use_ms
    }
}
