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
const DEPTH_MS: u64 = 100;
/// Requests that the bucket of one instance holds at least, so that a small part is not lost
/// between two arrivals.
const DEPTH_REQUESTS: u64 = 2;
/// Time over which a deviation is paid back, in ms.
const REPAY_MS: i64 = 4000;
/// Largest increase of the rate by repayment, in millionths.
const RAISE_MAX_PPM: i64 = 120_000;
/// Largest decrease of the rate by repayment, in millionths.
const LOWER_MAX_PPM: i64 = 300_000;
/// The whole rate, in millionths; the unit of parts.
const WHOLE_PPM: u64 = 1_000_000;
/// Share of the rate that is divided evenly whatever the demand, in millionths.
const EVEN_PPM: u64 = 20_000;
/// Time over which demand is smoothed, in ms.
const SMOOTH_MS: u64 = 500;
/// Time after which an instance that is silent no longer counts, in ms.
const SILENT_MS: u64 = 5000;
/// Thousandths of a token, the unit of buckets.
const MILLI: u64 = 1000;

/// What an instance tells of one partner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Start time of the telling process.
    pub incarnation: u64,
    /// Tokens admitted since its start.
    pub admitted: u64,
    /// Tokens asked for since its start, refused ones included.
    pub asked: u64,
    /// Tokens asked for per second, smoothed.
    pub asked_per_s: u64,
    /// Part of the rate that it uses, in millionths.
    pub part_ppm: u64,
}

/// What another instance has told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Told {
    report: Report,
    /// Tokens that it had admitted when it was first heard of.
    admitted_before: u64,
    at_ms: u64,
}

/// Limit of one partner on one instance.
#[derive(Clone, Debug)]
pub struct ShareLimit {
    rate_per_s: u64,
    bucket_milli: u64,
    filled_ms: u64,
    part_ppm: u64,
    correction_ppm: i64,
    /// Usual cost of a request, in thousandths of a token.
    cost_milli: u64,
    admitted: u64,
    asked: u64,
    asked_told: u64,
    asked_milli_per_s: u64,
    told_ms: u64,
    entitled_since_ms: u64,
    gone_admitted: u64,
    others: Table<String, Told>,
}

impl ShareLimit {
    /// Returns a limit of `rate_per_s` tokens over `instances` instances.
    pub fn new(rate_per_s: u64, instances: u64, now_ms: u64) -> Self {
        let mut limit = Self {
            rate_per_s,
            bucket_milli: 0,
            filled_ms: now_ms,
            part_ppm: WHOLE_PPM / instances.max(1),
            correction_ppm: 0,
            cost_milli: 0,
            admitted: 0,
            asked: 0,
            asked_told: 0,
            asked_milli_per_s: 0,
            told_ms: now_ms,
            entitled_since_ms: now_ms,
            gone_admitted: 0,
            others: Table::new(),
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
        self.rate_per_s * self.part_ppm / WHOLE_PPM
    }

    fn depth_milli(&self) -> u64 {
        (self.own_rate_milli() * DEPTH_MS).max(DEPTH_REQUESTS * self.cost_milli).max(MILLI)
    }

    fn fill(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let factor_ppm = (WHOLE_PPM as i64 + self.correction_ppm).max(0) as u64;
        let gained =
            self.rate_per_s * since_ms * self.part_ppm / WHOLE_PPM * factor_ppm / WHOLE_PPM;
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
        self.asked += tokens;
        self.cost_milli = (self.cost_milli * 9 + tokens * MILLI) / 10;
        self.fill(now_ms);
        let need_milli = (tokens * MILLI).min(self.depth_milli());
        let rate_milli = self.own_rate_milli().max(1);
        if self.bucket_milli < need_milli {
            return Err((need_milli - self.bucket_milli).div_ceil(rate_milli));
        }
        if self.filled_ms > now_ms {
            return Err(self.filled_ms - now_ms);
        }
        self.bucket_milli -= need_milli;
        self.filled_ms += (tokens * MILLI - need_milli) / rate_milli;
        self.admitted += tokens;
        Ok(())
    }

    /// Returns what to tell the other instances.
    pub fn report(&self, incarnation: u64) -> Report {
        Report {
            incarnation,
            admitted: self.admitted,
            asked: self.asked,
            asked_per_s: self.asked_milli_per_s / MILLI,
            part_ppm: self.part_ppm,
        }
    }

    /// Takes over a report; one that was lost is made up for by the next one.
    pub fn on_report(&mut self, from: &str, report: Report, now_ms: u64) {
        let known = self.others.get(from).copied();
        if let Some(told) = known
            && (report.incarnation, report.asked) < (told.report.incarnation, told.report.asked)
        {
            return;
        }
        let same = known.filter(|told| told.report.incarnation == report.incarnation);
        if let (Some(told), None) = (known, same) {
            self.gone_admitted += told.report.admitted - told.admitted_before;
        }
        let admitted_before = same.map_or(report.admitted, |told| told.admitted_before);
        let told = Told { report, admitted_before, at_ms: now_ms };
        self.others.insert(from.to_owned(), told);
    }

    /// Divides the rate anew; called before the own report is sent.
    pub fn on_exchange(&mut self, instances: u64, now_ms: u64) {
        self.fill(now_ms);
        self.drop_silent(now_ms);
        let since_ms = now_ms.saturating_sub(self.told_ms).max(1);
        let milli_per_s = (self.asked - self.asked_told) * MILLI * 1000 / since_ms;
        let weighed = self.asked_milli_per_s * SMOOTH_MS + milli_per_s * since_ms;
        self.asked_milli_per_s = weighed / (SMOOTH_MS + since_ms);
        self.told_ms = now_ms;
        self.asked_told = self.asked;
        self.move_part(self.asked_milli_per_s / MILLI, instances.max(1));
        self.bucket_milli = self.bucket_milli.min(self.depth_milli());
        self.correct(now_ms);
    }

    fn drop_silent(&mut self, now_ms: u64) {
        let mut gone = 0;
        self.others.retain(|_, told| {
            let silent = now_ms.saturating_sub(told.at_ms) >= SILENT_MS;
            if silent {
                gone += told.report.admitted - told.admitted_before;
            }
            !silent
        });
        self.gone_admitted += gone;
    }

    /// Lowers the part to what demand asks for, or raises it into what the others left free.
    fn move_part(&mut self, own_per_s: u64, instances: u64) {
        let others_per_s: u64 = self.others.values().map(|told| told.report.asked_per_s).sum();
        let total_per_s = own_per_s + others_per_s;
        let even_ppm = WHOLE_PPM / instances;
        let by_demand =
            (own_per_s * (WHOLE_PPM - EVEN_PPM)).checked_div(total_per_s).unwrap_or(even_ppm);
        let wanted_ppm = (by_demand + EVEN_PPM / instances).min(WHOLE_PPM);
        if wanted_ppm <= self.part_ppm {
            self.part_ppm = wanted_ppm.max(1);
            return;
        }
        let unheard = instances.saturating_sub(1 + self.others.len() as u64);
        let taken: u64 = self.others.values().map(|told| told.report.part_ppm).sum();
        let free_ppm = WHOLE_PPM.saturating_sub(taken + unheard * even_ppm + self.part_ppm);
        let claim_ppm = free_ppm * self.claim_ppm(own_per_s) / WHOLE_PPM;
        self.part_ppm += (wanted_ppm - self.part_ppm).min(claim_ppm);
    }

    /// Returns how much of a free part this instance may take at once, in millionths.
    ///
    /// Instances with demand share it by demand, since all of them see the same part as free.
    fn claim_ppm(&self, own_per_s: u64) -> u64 {
        let others_per_s: u64 = self.others.values().map(|told| told.report.asked_per_s).sum();
        (own_per_s * WHOLE_PPM).checked_div(own_per_s + others_per_s).unwrap_or(0)
    }

    /// Sets the correction that pays back what was admitted above or below the limit.
    fn correct(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.entitled_since_ms);
        let entitled = (self.rate_per_s * elapsed_ms / 1000) as i64;
        let others: u64 = self.others.values().map(|t| t.report.admitted - t.admitted_before).sum();
        let excess = (self.admitted + others + self.gone_admitted) as i64 - entitled;
        let repay = (self.rate_per_s as i64 * REPAY_MS / 1000).max(1);
        let ppm = -excess * WHOLE_PPM as i64 / repay;
        self.correction_ppm = ppm.clamp(-LOWER_MAX_PPM, RAISE_MAX_PPM);
        if excess < -repay {
            // Demand below the limit earns no claim on the future.
            self.entitled_since_ms += (-excess - repay) as u64 * 1000 / self.rate_per_s.max(1);
        }
    }
}
