//! Token rates of partners, held over all instances by exchanged totals.
//!
//! Divided shares with borrowing and repayment. Each instance has a token bucket that fills with
//! its part of the partner's rate. The part follows the demand that the instances told of one
//! exchange ago, so that an instance takes over another's part only after it has heard that it is
//! unused. What all instances together have admitted above the limit is paid back by lower rates,
//! as in the sliding windows of "Improve Rate Limiting Accuracy Across Gateway Instances".

use crate::sorted::Table;

/// Depth of the buckets of all instances together, in ms of the rate.
const DEPTH_MS: u64 = 200;
/// Time over which a deviation is paid back, in ms.
const REPAY_MS: u64 = 4000;
/// Largest correction of the rate, in thousandths.
const REPAY_MAX_MILLI: i64 = 250;
/// Thousandths of a token, the unit of buckets.
const MILLI: u64 = 1000;
/// Part of the rate that is shared evenly whatever the demand, in thousandths.
const EVEN_MILLI: u64 = 50;
/// Time after which an instance that is silent no longer counts, in ms.
const SILENT_MS: u64 = 5000;

/// What another instance has told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Told {
    incarnation: u64,
    admitted: u64,
    asked: u64,
    /// Tokens asked for between its last two reports, per second.
    asked_per_s: u64,
    at_ms: u64,
}

/// Limit of one partner on one instance.
#[derive(Clone, Debug)]
pub struct ShareLimit {
    rate_per_s: u64,
    bucket_milli: u64,
    filled_ms: u64,
    part_milli: u64,
    correction_milli: i64,
    admitted: u64,
    asked: u64,
    exchanged_ms: u64,
    asked_at_exchange: u64,
    admitted_base: u64,
    entitled_since_ms: u64,
    others: Table<String, Told>,
}

impl ShareLimit {
    /// Returns a limit of `rate_per_s` tokens over `instances` instances.
    pub fn new(rate_per_s: u64, instances: u64, now_ms: u64) -> Self {
        let part_milli = MILLI / instances.max(1);
        let mut limit = Self {
            rate_per_s,
            bucket_milli: 0,
            filled_ms: now_ms,
            part_milli: part_milli.max(1),
            correction_milli: 0,
            admitted: 0,
            asked: 0,
            exchanged_ms: now_ms,
            asked_at_exchange: 0,
            admitted_base: 0,
            entitled_since_ms: now_ms,
            others: Table::new(),
        };
        limit.bucket_milli = limit.depth_milli();
        limit
    }

    /// Returns the rate over all instances, in tokens per second.
    pub fn rate_per_s(&self) -> u64 {
        self.rate_per_s
    }

    fn depth_milli(&self) -> u64 {
        self.rate_per_s * DEPTH_MS * self.part_milli / MILLI
    }

    fn fill(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now_ms;
        let factor = (MILLI as i64 + self.correction_milli).max(0) as u64;
        let gained = self.rate_per_s * since_ms * self.part_milli / MILLI * factor / MILLI;
        self.bucket_milli = (self.bucket_milli + gained).min(self.depth_milli().max(MILLI));
    }

    /// Admits `tokens` if the bucket is not overdrawn, else returns the time to wait, in ms.
    ///
    /// A request may overdraw a bucket that is full, so that requests larger than the depth run.
    ///
    /// # Errors
    /// Returns the time after which the request would be admitted, in ms.
    pub fn admit(&mut self, tokens: u64, now_ms: u64) -> Result<(), u64> {
        self.asked += tokens;
        self.fill(now_ms);
        let need_milli = (tokens * MILLI).min(self.depth_milli().max(MILLI));
        if self.bucket_milli < need_milli {
            let rate_milli = (self.rate_per_s * self.part_milli / MILLI).max(1);
            return Err((need_milli - self.bucket_milli).div_ceil(rate_milli));
        }
        self.bucket_milli -= need_milli;
        let overdraft_milli = tokens * MILLI - need_milli;
        self.filled_ms += overdraft_milli / (self.rate_per_s * self.part_milli / MILLI).max(1);
        self.admitted += tokens;
        Ok(())
    }

    /// Gives back tokens that an admitted request did not use.
    pub fn refund(&mut self, tokens: u64) {
        self.admitted = self.admitted.saturating_sub(tokens);
        self.bucket_milli = (self.bucket_milli + tokens * MILLI).min(self.depth_milli());
    }

    /// Returns the totals to tell: tokens admitted and asked for since the start.
    pub fn totals(&self) -> (u64, u64) {
        (self.admitted, self.asked)
    }

    /// Takes over another instance's totals; a lost report is made up for by the next one.
    pub fn on_report(
        &mut self,
        from: &str,
        incarnation: u64,
        admitted: u64,
        asked: u64,
        now_ms: u64,
    ) {
        let known = self.others.get(from).copied().unwrap_or_default();
        if incarnation < known.incarnation
            || (incarnation == known.incarnation && asked < known.asked)
        {
            return;
        }
        let restarted = incarnation > known.incarnation;
        let since_ms = now_ms.saturating_sub(known.at_ms).max(1);
        let grown = if restarted { 0 } else { asked - known.asked };
        let told = Told {
            incarnation,
            admitted,
            asked,
            asked_per_s: grown * 1000 / since_ms,
            at_ms: now_ms,
        };
        if restarted {
            // Totals of an earlier process stay spent; only growth from here on counts.
            self.admitted_base += known.admitted;
        }
        self.others.insert(from.to_owned(), told);
    }

    /// Divides the rate anew; called once for each exchange, after the own totals were sent.
    pub fn on_exchange(&mut self, instances: u64, now_ms: u64) {
        self.fill(now_ms);
        let since_ms = now_ms.saturating_sub(self.exchanged_ms).max(1);
        let own_per_s = (self.asked - self.asked_at_exchange) * 1000 / since_ms;
        self.exchanged_ms = now_ms;
        self.asked_at_exchange = self.asked;
        self.others.retain(|_, told| now_ms.saturating_sub(told.at_ms) < SILENT_MS);
        let others_per_s: u64 = self.others.values().map(|told| told.asked_per_s).sum();
        let unheard = instances.saturating_sub(1 + self.others.len() as u64);
        let even = MILLI / instances.max(1);
        let total_per_s = own_per_s + others_per_s;
        let spread = MILLI - EVEN_MILLI - unheard * even * (MILLI - EVEN_MILLI) / MILLI;
        let by_demand = (own_per_s * spread).checked_div(total_per_s).unwrap_or(even);
        self.part_milli = (by_demand + EVEN_MILLI * even / MILLI).clamp(1, MILLI);
        self.bucket_milli = self.bucket_milli.min(self.depth_milli().max(MILLI));
        self.correct(now_ms);
    }

    /// Sets the correction that pays back what was admitted above or below the limit.
    fn correct(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.entitled_since_ms);
        let entitled = (self.rate_per_s * elapsed_ms / 1000) as i64;
        let others: u64 = self.others.values().map(|told| told.admitted).sum();
        let spent = (self.admitted + others + self.admitted_base) as i64;
        let excess = spent - entitled;
        let repay = (self.rate_per_s * REPAY_MS / 1000).max(1) as i64;
        let milli = -excess * MILLI as i64 / repay;
        self.correction_milli = milli.clamp(-REPAY_MAX_MILLI, REPAY_MAX_MILLI);
        if excess < 0 && -excess > repay {
            // Demand below the limit earns no claim on the future.
            self.entitled_since_ms += (-excess - repay) as u64 * 1000 / self.rate_per_s.max(1);
        }
    }
}
