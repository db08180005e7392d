//! Keep-alive times of idle models, from each model's history of idle times.
//!
//! The idle times of a model are counted in a histogram with buckets of doubling length. The
//! keep-alive time is the bucket limit with the lowest expected cost: idle accelerator time against
//! cold starts, weighted by `cold_start_weight_pct` of the venture's document.

/// Upper limit of the first bucket, in s.
const FIRST_BUCKET_LIMIT_S: u64 = 4;
/// Number of buckets; the last one has no upper limit.
const BUCKETS: usize = 16;
/// Total count that the histogram of all models adds to that of one model, in thousandths.
const PRIOR_WEIGHT_MILLI: u64 = 2000;
/// Count of one observation, in thousandths.
const OBSERVATION_MILLI: u64 = 1000;
/// Share of the old counts that remains after each new observation, in thousandths.
const DECAY_MILLI: u64 = 970;
/// Cost of a second of cold start, in seconds of idle time of one accelerator at equal weights.
const COLD_START_COST_FACTOR: u64 = 200;

/// Histogram of idle times; its counts are in thousandths and decay with new observations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IdleTimes {
    counts_milli: [u64; BUCKETS],
}

/// Costs of keeping a model resident and of loading it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeepAliveCost {
    /// Time of a cold start, in ms.
    pub load_ms: u64,
    /// Number of accelerators that the model occupies.
    pub accelerators: u64,
    /// Weight of cold starts relative to idle time, in percent.
    pub cold_start_weight_pct: u64,
    /// Longest keep-alive time, in s.
    pub max_s: u64,
}

fn bucket_limit_s(bucket: usize) -> u64 {
    FIRST_BUCKET_LIMIT_S << bucket
}

fn bucket_of(idle_ms: u64) -> usize {
    (0..BUCKETS - 1).find(|&bucket| idle_ms < bucket_limit_s(bucket) * 1000).unwrap_or(BUCKETS - 1)
}

impl IdleTimes {
    /// Adds an idle time that ended with a request.
    pub fn observe(&mut self, idle_ms: u64) {
        for count in &mut self.counts_milli {
            *count = *count * DECAY_MILLI / 1000;
        }
        self.counts_milli[bucket_of(idle_ms)] += OBSERVATION_MILLI;
    }

    /// Returns the counts plus a prior from those of all models, for models with little history.
    fn with_prior(&self, pooled: &Self) -> [u64; BUCKETS] {
        let pooled_sum: u64 = pooled.counts_milli.iter().sum();
        let mut counts = self.counts_milli;
        for (count, pool) in counts.iter_mut().zip(pooled.counts_milli) {
            *count += (pool * PRIOR_WEIGHT_MILLI).checked_div(pooled_sum).unwrap_or(0);
        }
        counts
    }

    /// Returns the keep-alive time with the lowest expected cost, in ms.
    pub fn keep_alive_ms(&self, pooled: &Self, cost: KeepAliveCost) -> u64 {
        let counts = self.with_prior(pooled);
        let sum: u64 = counts.iter().sum();
        if sum == 0 {
            return cost.max_s * 1000 * cost.cold_start_weight_pct / 100;
        }
        let mut cheapest = (expected_cost(&counts, None, cost), 0);
        for bucket in (0..BUCKETS - 1).filter(|&bucket| bucket_limit_s(bucket) <= cost.max_s) {
            cheapest = cheapest
                .min((expected_cost(&counts, Some(bucket), cost), bucket_limit_s(bucket) * 1000));
        }
        cheapest.1
    }
}

/// Returns the expected cost if the model is kept up to the limit of `bucket`, or not at all for
/// `None`.
///
/// The unit is arbitrary but the same for all buckets.
fn expected_cost(counts_milli: &[u64; BUCKETS], bucket: Option<usize>, cost: KeepAliveCost) -> u64 {
    let weight = cost.cold_start_weight_pct;
    let cold_cost = weight * COLD_START_COST_FACTOR * cost.load_ms;
    let idle_cost_per_s = (100 - weight) * cost.accelerators * 1000;
    let kept_s = bucket.map_or(0, bucket_limit_s);
    let mut sum = 0;
    for (at, count) in counts_milli.iter().enumerate() {
        let within_keep_alive = bucket.is_some_and(|bucket| at <= bucket);
        let idle_s = if within_keep_alive { bucket_limit_s(at) * 3 / 4 } else { kept_s };
        let cold = if within_keep_alive { 0 } else { cold_cost };
        sum += count * (idle_s * idle_cost_per_s + cold) / 1000;
    }
    sum
}
