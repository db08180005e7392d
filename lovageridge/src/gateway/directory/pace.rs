//! How long work takes at a worker, relative to the other workers of its service and to its own usual time.

#[cfg(test)]
mod tests;

/// Time in which the weight of a stated pace halves, in ms; the pace changes about every 600 ms.
const HALF_LIFE_MS: f64 = 300.0;
/// Time after which a worker counts as usual again if it has stated no pace, in ms.
const STATED_TTL_MS: u64 = 1500;
/// Values that an average is taken over; later ones replace earlier ones gradually.
const AVERAGED_VALUES: u32 = 24;
/// Number of values that an average starts with: those of a usual worker.
const ASSUMED_VALUES: u32 = 4;
/// Lower bound of each factor; an instance sees few requests of a worker, and they differ in length.
const FACTOR_MIN: f64 = 0.25;
/// Upper bound of each factor.
const FACTOR_MAX: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    count: u32,
}

impl Default for Average {
    fn default() -> Self {
        Self { mean: 1.0, count: ASSUMED_VALUES }
    }
}

impl Average {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(AVERAGED_VALUES);
        self.mean += (value.clamp(FACTOR_MIN, FACTOR_MAX) - self.mean) / f64::from(self.count);
    }
}

/// The pace that a worker states, and the one observed in the durations of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    // Factor and time, in ms, of the latest statement.
    stated: Option<(f64, u64)>,
    usual_statement: Average,
    observed: Average,
}

impl Pace {
    /// Records that the worker has stated that work takes `pace_pct` percent of the usual time.
    pub fn on_stated(&mut self, pace_pct: u32, now_ms: u64) {
        let factor = (f64::from(pace_pct) / 100.0).clamp(FACTOR_MIN, FACTOR_MAX);
        self.stated = Some((factor, now_ms));
        self.usual_statement.add(factor);
    }

    /// Records a request that has ended after `duration_ms`; `average_ms` is the average of the service.
    pub fn on_ended(&mut self, duration_ms: f64, average_ms: f64) {
        if average_ms > 0.0 {
            self.observed.add(duration_ms / average_ms);
        }
    }

    /// Discards the latest statement, whose age is not known.
    pub fn forget_statement(&mut self) {
        self.stated = None;
    }

    /// Returns the time that work takes at this worker now, relative to the average of its service.
    ///
    /// The worker's usual time shows in the durations, whether or not its statements include it. They count
    /// relative to their own average, so that it is not counted twice.
    pub fn factor(&self, now_ms: u64) -> f64 {
        let deviation = match self.stated {
            Some((factor, at_ms)) if now_ms < at_ms + STATED_TTL_MS => {
                let age_ms = now_ms.saturating_sub(at_ms) as f64;
                let weight = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
                (factor / self.usual_statement.mean - 1.0) * weight
            }
            _ => 0.0,
        };
        (self.observed.mean * (1.0 + deviation)).clamp(FACTOR_MIN, FACTOR_MAX)
    }
}
