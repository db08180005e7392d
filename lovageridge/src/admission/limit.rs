//! Token rates of partners, held over all instances by exchanged totals and parts.
//!
//! Each instance has a token bucket that fills with its part of the partner's rate. The part
//! follows demand, but an instance lowers its part before it tells so, and raises it only into
//! what the others have told to be free. So the parts add up to the whole at most, however stale
//! the reports are, but for instances that take the same free part at once. What all have admitted
//! above the limit is paid back by lower rates, as the sliding windows do in "Improve Rate
//! Limiting Accuracy Across Gateway Instances".

use crate::sorted::Table;

/// Depth of the buckets of all instances together, in ms of the rate.
const BUCKET_DEPTH_MS: u64 = 100;
/// Requests that the bucket of one instance holds at least, so that a small part is not lost
/// between two arrivals.
const MIN_DEPTH_REQUESTS: u64 = 2;
/// Time over which a deviation is paid back, in ms.
const REPAYMENT_MS: i64 = 4000;
/// Largest increase of the rate by repayment, in millionths.
const MAX_RAISE_PPM: i64 = 120_000;
/// Largest decrease of the rate by repayment, in millionths.
const MAX_CUT_PPM: i64 = 300_000;
/// The whole rate, in millionths; the unit of parts.
const FULL_RATE_PPM: u64 = 1_000_000;
/// Share of the rate that is divided evenly whatever the demand, in millionths.
const EVEN_SHARE_PPM: u64 = 20_000;
/// Time over which demand is smoothed, in ms.
const SMOOTHING_MS: u64 = 500;
/// Time after which an instance that is silent no longer counts, in ms.
const PEER_TIMEOUT_MS: u64 = 5000;
/// Thousandths of a token, the unit of buckets.
const MILLI_PER_TOKEN: u64 = 1000;

/// What an instance tells of one partner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitReport {
    /// Start time of the telling process.
    pub incarnation: u64,
    /// Tokens admitted since its start.
    pub admitted_tokens: u64,
    /// Tokens asked for since its start, refused ones included.
    pub requested_tokens: u64,
    /// Tokens asked for per second, smoothed.
    pub requested_per_s: u64,
    /// Part of the rate that it uses, in millionths.
    pub share_ppm: u64,
}

/// What another instance has told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PeerReport {
    report: LimitReport,
    /// Tokens that it had admitted when it was first heard of.
    admitted_at_first_report: u64,
    received_ms: u64,
}

/// Limit of one partner on one instance.
#[derive(Clone, Debug)]
pub struct ShareLimit {
    rate_per_s: u64,
    bucket_milli: u64,
    filled_until_ms: u64,
    share_ppm: u64,
    correction_ppm: i64,
    /// Usual cost of a request, in thousandths of a token.
    mean_cost_milli: u64,
    admitted_tokens: u64,
    requested_tokens: u64,
    requested_at_exchange: u64,
    requested_milli_per_s: u64,
    last_exchange_ms: u64,
    window_start_ms: u64,
    removed_peers_admitted: u64,
    peers: Table<String, PeerReport>,
}

impl ShareLimit {
    /// Returns a limit of `rate_per_s` tokens over `instances` instances.
    pub fn new(rate_per_s: u64, instances: u64, now_ms: u64) -> Self {
        let mut limit = Self {
            rate_per_s,
            bucket_milli: 0,
            filled_until_ms: now_ms,
            share_ppm: FULL_RATE_PPM / instances.max(1),
            correction_ppm: 0,
            mean_cost_milli: 0,
            admitted_tokens: 0,
            requested_tokens: 0,
            requested_at_exchange: 0,
            requested_milli_per_s: 0,
            last_exchange_ms: now_ms,
            window_start_ms: now_ms,
            removed_peers_admitted: 0,
            peers: Table::new(),
        };
        limit.bucket_milli = limit.depth_milli();
        limit
    }

    /// Returns the rate over all instances, in tokens per second.
    pub fn rate_per_s(&self) -> u64 {
        self.rate_per_s
    }

    /// Returns the own part of the rate, in thousandths of a token per ms.
    fn own_rate_milli(&self) -> u64 {
        self.rate_per_s * self.share_ppm / FULL_RATE_PPM
    }

    fn depth_milli(&self) -> u64 {
        (self.own_rate_milli() * BUCKET_DEPTH_MS)
            .max(MIN_DEPTH_REQUESTS * self.mean_cost_milli)
            .max(MILLI_PER_TOKEN)
    }

    fn fill(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.filled_until_ms);
        self.filled_until_ms = self.filled_until_ms.max(now_ms);
        let factor_ppm = (FULL_RATE_PPM as i64 + self.correction_ppm).max(0) as u64;
        let gained = self.rate_per_s * since_ms * self.share_ppm / FULL_RATE_PPM * factor_ppm
            / FULL_RATE_PPM;
        self.bucket_milli = (self.bucket_milli + gained).min(self.depth_milli());
    }

    /// Admits `tokens` when the bucket holds them, or is full and smaller than the request.
    ///
    /// A request larger than the bucket is paid for afterwards: the bucket fills again only once
    /// the rate has made up for it.
    ///
    /// # Errors
    /// Returns the time after which the request would be admitted, in ms.
    pub fn admit(&mut self, tokens: u64, now_ms: u64) -> Result<(), u64> {
        self.requested_tokens += tokens;
        self.mean_cost_milli = (self.mean_cost_milli * 9 + tokens * MILLI_PER_TOKEN) / 10;
        self.fill(now_ms);
        let need_milli = (tokens * MILLI_PER_TOKEN).min(self.depth_milli());
        let rate_milli = self.own_rate_milli().max(1);
        if self.bucket_milli < need_milli {
            return Err((need_milli - self.bucket_milli).div_ceil(rate_milli));
        }
        if self.filled_until_ms > now_ms {
            return Err(self.filled_until_ms - now_ms);
        }
        self.bucket_milli -= need_milli;
        self.filled_until_ms += (tokens * MILLI_PER_TOKEN - need_milli) / rate_milli;
        self.admitted_tokens += tokens;
        Ok(())
    }

    /// Returns what to tell the other instances.
    pub fn report(&self, incarnation: u64) -> LimitReport {
        LimitReport {
            incarnation,
            admitted_tokens: self.admitted_tokens,
            requested_tokens: self.requested_tokens,
            requested_per_s: self.requested_milli_per_s / MILLI_PER_TOKEN,
            share_ppm: self.share_ppm,
        }
    }

    /// Takes over a report; one that was lost is made up for by the next one.
    pub fn on_report(&mut self, from: &str, report: LimitReport, now_ms: u64) {
        let known = self.peers.get(from).copied();
        if let Some(told) = known
            && (report.incarnation, report.requested_tokens)
                < (told.report.incarnation, told.report.requested_tokens)
        {
            return;
        }
        let same = known.filter(|told| told.report.incarnation == report.incarnation);
        if let (Some(told), None) = (known, same) {
            self.removed_peers_admitted +=
                told.report.admitted_tokens - told.admitted_at_first_report;
        }
        let admitted_before =
            same.map_or(report.admitted_tokens, |told| told.admitted_at_first_report);
        let told =
            PeerReport { report, admitted_at_first_report: admitted_before, received_ms: now_ms };
        self.peers.insert(from.to_owned(), told);
    }

    /// Divides the rate anew; called before the own report is sent.
    pub fn rebalance(&mut self, instances: u64, now_ms: u64) {
        self.fill(now_ms);
        self.remove_expired(now_ms);
        let since_ms = now_ms.saturating_sub(self.last_exchange_ms).max(1);
        let milli_per_s =
            (self.requested_tokens - self.requested_at_exchange) * MILLI_PER_TOKEN * 1000
                / since_ms;
        let weighed = self.requested_milli_per_s * SMOOTHING_MS + milli_per_s * since_ms;
        self.requested_milli_per_s = weighed / (SMOOTHING_MS + since_ms);
        self.last_exchange_ms = now_ms;
        self.requested_at_exchange = self.requested_tokens;
        self.adjust_share(self.requested_milli_per_s / MILLI_PER_TOKEN, instances.max(1));
        self.bucket_milli = self.bucket_milli.min(self.depth_milli());
        self.update_correction(now_ms);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let mut gone = 0;
        self.peers.retain(|_, told| {
            let silent = now_ms.saturating_sub(told.received_ms) >= PEER_TIMEOUT_MS;
            if silent {
                gone += told.report.admitted_tokens - told.admitted_at_first_report;
            }
            !silent
        });
        self.removed_peers_admitted += gone;
    }

    /// Lowers the part to what demand asks for, or raises it into what the others left free.
    fn adjust_share(&mut self, own_per_s: u64, instances: u64) {
        let others_per_s: u64 = self.peers.values().map(|told| told.report.requested_per_s).sum();
        let total_per_s = own_per_s + others_per_s;
        let even_ppm = FULL_RATE_PPM / instances;
        let by_demand = (own_per_s * (FULL_RATE_PPM - EVEN_SHARE_PPM))
            .checked_div(total_per_s)
            .unwrap_or(even_ppm);
        let wanted_ppm = (by_demand + EVEN_SHARE_PPM / instances).min(FULL_RATE_PPM);
        if wanted_ppm <= self.share_ppm {
            self.share_ppm = wanted_ppm.max(1);
            return;
        }
        let unheard = instances.saturating_sub(1 + self.peers.len() as u64);
        let taken: u64 = self.peers.values().map(|told| told.report.share_ppm).sum();
        let free_ppm = FULL_RATE_PPM.saturating_sub(taken + unheard * even_ppm + self.share_ppm);
        let claim_ppm = free_ppm * self.claimable_ppm(own_per_s) / FULL_RATE_PPM;
        self.share_ppm += (wanted_ppm - self.share_ppm).min(claim_ppm);
    }

    /// Returns how much of a free part this instance may take at once, in millionths.
    ///
    /// Instances with demand share it by demand, since all of them see the same part as free.
    fn claimable_ppm(&self, own_per_s: u64) -> u64 {
        let others_per_s: u64 = self.peers.values().map(|told| told.report.requested_per_s).sum();
        (own_per_s * FULL_RATE_PPM).checked_div(own_per_s + others_per_s).unwrap_or(0)
    }

    /// Sets the correction that pays back what was admitted above or below the limit.
    fn update_correction(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        let entitled = (self.rate_per_s * elapsed_ms / 1000) as i64;
        let others: u64 = self
            .peers
            .values()
            .map(|t| t.report.admitted_tokens - t.admitted_at_first_report)
            .sum();
        let excess =
            (self.admitted_tokens + others + self.removed_peers_admitted) as i64 - entitled;
        let repay = (self.rate_per_s as i64 * REPAYMENT_MS / 1000).max(1);
        let ppm = -excess * FULL_RATE_PPM as i64 / repay;
        self.correction_ppm = ppm.clamp(-MAX_CUT_PPM, MAX_RAISE_PPM);
        if excess < -repay {
            // Demand below the limit earns no claim on the future.
            self.window_start_ms += (-excess - repay) as u64 * 1000 / self.rate_per_s.max(1);
        }
    }
}
