//! Keep-alive of idle models from each model's own history of idle times.
//!
//! The idle times of a model are counted in classes of doubling length. The keep-alive is the
//! class limit at which the expected cost is least: idle accelerator time against cold starts,
//! weighed by the one weight of the venture's document.

/// Shortest class limit in s.
const FIRST_BUCKET_LIMIT_S: u64 = 4;
/// Number of classes; the last one is open.
const BUCKETS: usize = 16;
/// Count that one pooled observation adds to a model's own class, in thousandths.
const PRIOR_WEIGHT_MILLI: u64 = 2000;
/// Thousandths that one observation counts.
const OBSERVATION_MILLI: u64 = 1000;
/// Part of the old counts that remains with each new observation, in thousandths.
const DECAY_MILLI: u64 = 970;
/// Idle accelerator time that equals the same time of cold start at equal weights.
const COLD_START_COST_FACTOR: u64 = 200;

/// Counts of idle times by class, in thousandths.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IdleTimes {
    counts_milli: [u64; BUCKETS],
}

/// What keeping and loading a model costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeepAliveCost {
    /// Time of a cold start, in ms.
    pub load_ms: u64,
    /// Accelerators that the model takes.
    pub accelerators: u64,
    /// Weight of cold starts against idle time, in percent.
    pub cold_start_weight_pct: u64,
    /// Longest keep-alive, in s.
    pub max_s: u64,
}

fn bucket_limit_s(bucket: usize) -> u64 {
    FIRST_BUCKET_LIMIT_S << bucket
}

fn bucket_of(idle_ms: u64) -> usize {
    (0..BUCKETS - 1).find(|&class| idle_ms < bucket_limit_s(class) * 1000).unwrap_or(BUCKETS - 1)
}

impl IdleTimes {
    /// Counts an idle time that ended with a request.
    pub fn observe(&mut self, idle_ms: u64) {
        for count in &mut self.counts_milli {
            *count = *count * DECAY_MILLI / 1000;
        }
        self.counts_milli[bucket_of(idle_ms)] += OBSERVATION_MILLI;
    }

    /// Returns the counts mixed with those of all models, so that a new model has a history.
    fn with_prior(&self, pooled: &Self) -> [u64; BUCKETS] {
        let pooled_sum: u64 = pooled.counts_milli.iter().sum();
        let mut counts = self.counts_milli;
        for (count, pool) in counts.iter_mut().zip(pooled.counts_milli) {
            *count += (pool * PRIOR_WEIGHT_MILLI).checked_div(pooled_sum).unwrap_or(0);
        }
        counts
    }

    /// Returns the keep-alive of least expected cost, in ms.
    pub fn keep_alive_ms(&self, pooled: &Self, cost: KeepAliveCost) -> u64 {
        let counts = self.with_prior(pooled);
        let sum: u64 = counts.iter().sum();
        if sum == 0 {
            return cost.max_s * 1000 * cost.cold_start_weight_pct / 100;
        }
        let mut cheapest = (expected_cost(&counts, None, cost), 0);
        for class in (0..BUCKETS - 1).filter(|&class| bucket_limit_s(class) <= cost.max_s) {
            cheapest = cheapest
                .min((expected_cost(&counts, Some(class), cost), bucket_limit_s(class) * 1000));
        }
        cheapest.1
    }
}

/// Returns the cost of one idle time if the model is kept to the end of `class`.
///
/// The unit is arbitrary, but the same for all classes.
fn expected_cost(counts_milli: &[u64; BUCKETS], bucket: Option<usize>, cost: KeepAliveCost) -> u64 {
    let weight = cost.cold_start_weight_pct;
    let cold_cost = weight * COLD_START_COST_FACTOR * cost.load_ms;
    let idle_cost_per_s = (100 - weight) * cost.accelerators * 1000;
    let kept_s = bucket.map_or(0, bucket_limit_s);
    let mut sum = 0;
    for (at, count) in counts_milli.iter().enumerate() {
        let within_keep_alive = bucket.is_some_and(|class| at <= class);
        let idle_s = if within_keep_alive { bucket_limit_s(at) * 3 / 4 } else { kept_s };
        let cold = if within_keep_alive { 0 } else { cold_cost };
        sum += count * (idle_s * idle_cost_per_s + cold) / 1000;
    }
    sum
}
