//! Token rate limits of partners, shared by all instances through exchanged totals and shares.
//!
//! Each instance has a token bucket that refills with its share of the partner's rate. The share
//! follows demand, but an instance lowers its share before it reports the lower value, and raises
//! it only into capacity that its peers have reported as free. The shares therefore add up to at
//! most the full rate, however stale the reports are, unless several instances take the same free
//! capacity at once. Tokens admitted above the limit are compensated by lower rates later, as the
//! sliding windows do in "Improve Rate Limiting Accuracy Across Gateway Instances".

use crate::sorted::Table;

/// Total depth of the buckets of all instances, in ms of the partner's rate.
const BUCKET_DEPTH_MS: u64 = 100;
/// Least depth of an instance's bucket, in requests of mean cost. A shallower bucket would overflow
/// between two arrivals and waste part of a small share.
const MIN_DEPTH_REQUESTS: u64 = 2;
/// Time over which an excess or deficit of admitted tokens is compensated, in ms.
const REPAYMENT_MS: i64 = 4000;
/// Largest increase of the rate as compensation, in millionths.
const MAX_RAISE_PPM: i64 = 120_000;
/// Largest decrease of the rate as compensation, in millionths.
const MAX_CUT_PPM: i64 = 300_000;
/// The partner's full rate, in millionths, the unit of shares.
const FULL_RATE_PPM: u64 = 1_000_000;
/// Fraction of the rate that is divided evenly regardless of demand, in millionths.
const EVEN_SHARE_PPM: u64 = 20_000;
/// Time constant of the smoothed demand, in ms.
const SMOOTHING_MS: u64 = 500;
/// Time without a report after which a peer no longer counts, in ms.
const PEER_TIMEOUT_MS: u64 = 5000;
/// Thousandths in one token; buckets count in thousandths of a token.
const MILLI_PER_TOKEN: u64 = 1000;

/// What an instance reports to its peers about one partner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitReport {
    /// Start time of the reporting process.
    pub incarnation: u64,
    /// Tokens admitted since the process started.
    pub admitted_tokens: u64,
    /// Tokens requested since the process started, including refused requests.
    pub requested_tokens: u64,
    /// Tokens requested per second, smoothed.
    pub requested_per_s: u64,
    /// Share of the partner's rate that the instance uses, in millionths.
    pub share_ppm: u64,
}

/// Latest report of another instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PeerReport {
    report: LimitReport,
    /// Tokens that its process had admitted by the first report received from it.
    admitted_at_first_report: u64,
    received_ms: u64,
}

/// Rate limiter of one partner on one instance.
#[derive(Clone, Debug)]
pub struct ShareLimit {
    rate_per_s: u64,
    bucket_milli: u64,
    /// Time up to which the bucket was refilled; in the future after a request larger than the
    /// bucket.
    filled_until_ms: u64,
    share_ppm: u64,
    correction_ppm: i64,
    /// Moving average of the cost of a request, in thousandths of a token.
    mean_cost_milli: u64,
    admitted_tokens: u64,
    requested_tokens: u64,
    /// Value of `requested_tokens` at the last exchange.
    requested_at_exchange: u64,
    requested_milli_per_s: u64,
    last_exchange_ms: u64,
    /// Start of the time for which admitted tokens are compared with the limit.
    window_start_ms: u64,
    /// Tokens admitted by earlier processes of peers and by peers that stopped reporting.
    removed_peers_admitted: u64,
    peers: Table<String, PeerReport>,
}

impl ShareLimit {
    /// Returns a limiter of `rate_per_s` tokens per second, shared by `instances` instances.
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

    /// Returns the partner's rate over all instances, in tokens per second.
    pub fn rate_per_s(&self) -> u64 {
        self.rate_per_s
    }

    /// Returns this instance's share of the rate, in thousandths of a token per ms.
    fn own_rate_milli(&self) -> u64 {
        self.rate_per_s * self.share_ppm / FULL_RATE_PPM
    }

    fn depth_milli(&self) -> u64 {
        (self.own_rate_milli() * BUCKET_DEPTH_MS)
            .max(MIN_DEPTH_REQUESTS * self.mean_cost_milli)
            .max(MILLI_PER_TOKEN)
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_until_ms);
        self.filled_until_ms = self.filled_until_ms.max(now_ms);
        let factor_ppm = (FULL_RATE_PPM as i64 + self.correction_ppm).max(0) as u64;
        let refill_milli = self.rate_per_s * elapsed_ms * self.share_ppm / FULL_RATE_PPM
            * factor_ppm
            / FULL_RATE_PPM;
        self.bucket_milli = (self.bucket_milli + refill_milli).min(self.depth_milli());
    }

    /// Admits a request of `tokens` if the bucket holds that many, or if the bucket is full and
    /// smaller than the request.
    ///
    /// A request larger than the bucket empties it and delays its refill by the time that the
    /// missing tokens take at the current rate.
    ///
    /// # Errors
    /// Returns the time after which a retry can be admitted, in ms.
    pub fn admit(&mut self, tokens: u64, now_ms: u64) -> Result<(), u64> {
        self.requested_tokens += tokens;
        self.mean_cost_milli = (self.mean_cost_milli * 9 + tokens * MILLI_PER_TOKEN) / 10;
        self.fill(now_ms);
        let required_milli = (tokens * MILLI_PER_TOKEN).min(self.depth_milli());
        let rate_milli = self.own_rate_milli().max(1);
        if self.bucket_milli < required_milli {
            return Err((required_milli - self.bucket_milli).div_ceil(rate_milli));
        }
        if self.filled_until_ms > now_ms {
            return Err(self.filled_until_ms - now_ms);
        }
        self.bucket_milli -= required_milli;
        self.filled_until_ms += (tokens * MILLI_PER_TOKEN - required_milli) / rate_milli;
        self.admitted_tokens += tokens;
        Ok(())
    }

    /// Returns the report to send to the other instances.
    pub fn report(&self, incarnation: u64) -> LimitReport {
        LimitReport {
            incarnation,
            admitted_tokens: self.admitted_tokens,
            requested_tokens: self.requested_tokens,
            requested_per_s: self.requested_milli_per_s / MILLI_PER_TOKEN,
            share_ppm: self.share_ppm,
        }
    }

    /// Applies a report of another instance. Reports carry running totals, so the next one makes up
    /// for a lost one.
    pub fn on_report(&mut self, from: &str, report: LimitReport, now_ms: u64) {
        let previous = self.peers.get(from).copied();
        if let Some(peer) = previous
            && (report.incarnation, report.requested_tokens)
                < (peer.report.incarnation, peer.report.requested_tokens)
        {
            return;
        }
        let same_process = previous.filter(|peer| peer.report.incarnation == report.incarnation);
        if let (Some(peer), None) = (previous, same_process) {
            self.removed_peers_admitted +=
                peer.report.admitted_tokens - peer.admitted_at_first_report;
        }
        let admitted_before =
            same_process.map_or(report.admitted_tokens, |peer| peer.admitted_at_first_report);
        let peer =
            PeerReport { report, admitted_at_first_report: admitted_before, received_ms: now_ms };
        self.peers.insert(from.to_owned(), peer);
    }

    /// Recomputes this instance's share of the rate. Call this before sending its report.
    pub fn rebalance(&mut self, instances: u64, now_ms: u64) {
        self.fill(now_ms);
        self.remove_expired(now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.last_exchange_ms).max(1);
        let milli_per_s =
            (self.requested_tokens - self.requested_at_exchange) * MILLI_PER_TOKEN * 1000
                / elapsed_ms;
        let weighted = self.requested_milli_per_s * SMOOTHING_MS + milli_per_s * elapsed_ms;
        self.requested_milli_per_s = weighted / (SMOOTHING_MS + elapsed_ms);
        self.last_exchange_ms = now_ms;
        self.requested_at_exchange = self.requested_tokens;
        self.adjust_share(self.requested_milli_per_s / MILLI_PER_TOKEN, instances.max(1));
        self.bucket_milli = self.bucket_milli.min(self.depth_milli());
        self.update_correction(now_ms);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let mut removed = 0;
        self.peers.retain(|_, peer| {
            let expired = now_ms.saturating_sub(peer.received_ms) >= PEER_TIMEOUT_MS;
            if expired {
                removed += peer.report.admitted_tokens - peer.admitted_at_first_report;
            }
            !expired
        });
        self.removed_peers_admitted += removed;
    }

    /// Lowers the share to what demand requires, or raises it into the capacity that peers left
    /// free.
    fn adjust_share(&mut self, own_per_s: u64, instances: u64) {
        let others_per_s: u64 = self.peers.values().map(|peer| peer.report.requested_per_s).sum();
        let total_per_s = own_per_s + others_per_s;
        let even_ppm = FULL_RATE_PPM / instances;
        let by_demand_ppm = (own_per_s * (FULL_RATE_PPM - EVEN_SHARE_PPM))
            .checked_div(total_per_s)
            .unwrap_or(even_ppm);
        let target_ppm = (by_demand_ppm + EVEN_SHARE_PPM / instances).min(FULL_RATE_PPM);
        if target_ppm <= self.share_ppm {
            self.share_ppm = target_ppm.max(1);
            return;
        }
        let unreported = instances.saturating_sub(1 + self.peers.len() as u64);
        let used_ppm: u64 = self.peers.values().map(|peer| peer.report.share_ppm).sum();
        let free_ppm =
            FULL_RATE_PPM.saturating_sub(used_ppm + unreported * even_ppm + self.share_ppm);
        let claimed_ppm = free_ppm * self.claimable_ppm(own_per_s) / FULL_RATE_PPM;
        self.share_ppm += (target_ppm - self.share_ppm).min(claimed_ppm);
    }

    /// Returns the fraction of the free capacity that this instance may take now, in millionths.
    ///
    /// Instances divide it in proportion to their demand, since all of them see the same free
    /// capacity.
    fn claimable_ppm(&self, own_per_s: u64) -> u64 {
        let others_per_s: u64 = self.peers.values().map(|peer| peer.report.requested_per_s).sum();
        (own_per_s * FULL_RATE_PPM).checked_div(own_per_s + others_per_s).unwrap_or(0)
    }

    /// Sets the rate correction that compensates for tokens admitted above or below the limit.
    fn update_correction(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        let entitled = (self.rate_per_s * elapsed_ms / 1000) as i64;
        let peers_admitted: u64 = self
            .peers
            .values()
            .map(|peer| peer.report.admitted_tokens - peer.admitted_at_first_report)
            .sum();
        let excess =
            (self.admitted_tokens + peers_admitted + self.removed_peers_admitted) as i64 - entitled;
        let repayment = (self.rate_per_s as i64 * REPAYMENT_MS / 1000).max(1);
        let ppm = -excess * FULL_RATE_PPM as i64 / repayment;
        self.correction_ppm = ppm.clamp(-MAX_CUT_PPM, MAX_RAISE_PPM);
        if excess < -repayment {
            // Unused rate counts for `REPAYMENT_MS` at most, so low demand does not allow a large
            // burst later.
            self.window_start_ms += (-excess - repayment) as u64 * 1000 / self.rate_per_s.max(1);
        }
    }
}
