//! Requests of many models: a Zipf popularity, with models that wake up and fall idle.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::replay::Deployment;
use crate::replay::RUN_MS;

/// Exponent of the popularity.
const ZIPF_EXPONENT: f64 = 0.9;
/// Part of the models that wakes up or falls idle within an hour, in percent.
const CHURN_PCT_PER_H: u32 = 14;
/// Part of the models that is awake at the start, in percent.
const AWAKE_PCT: u32 = 30;
/// Requests that come together, at most.
const BURST_MAX: u64 = 6;
/// Time within which they come, in ms.
const BURST_MS: u64 = 4000;
/// Length of the steps in which models wake up and fall idle, in ms.
const STEP_MS: u64 = 60_000;

/// One request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Request {
    /// Time of arrival, in ms.
    pub at_ms: u64,
    /// Number of the model.
    pub model: usize,
}

/// Requests in order of time.
#[derive(Clone, Debug)]
pub struct Workload {
    requests: Vec<Request>,
}

impl Workload {
    /// Returns the workload of `deployment` for `seed`.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = deployment.config.models.len();
        let weights: Vec<f64> =
            (0..count).map(|rank| 1.0 / ((rank + 1) as f64).powf(ZIPF_EXPONENT)).collect();
        let mut awake: Vec<bool> =
            (0..count).map(|_| rng.random_range(0..100) < AWAKE_PCT).collect();
        let steps_per_h = 3_600_000 / STEP_MS;
        let bursts_per_step =
            deployment.requests_per_h as f64 / steps_per_h as f64 / ((BURST_MAX + 1) as f64 / 2.0);
        let mut requests = Vec::new();
        for step in 0..RUN_MS / STEP_MS {
            churn(&mut awake, steps_per_h, &mut rng);
            let active: Vec<usize> = (0..count).filter(|at| awake[*at]).collect();
            let total: f64 = active.iter().map(|at| weights[*at]).sum();
            for &model in &active {
                let expected = bursts_per_step * weights[model] / total;
                for _ in 0..poisson(expected, &mut rng) {
                    burst(&mut requests, model, step * STEP_MS, &mut rng);
                }
            }
        }
        requests.sort_unstable();
        Self { requests }
    }

    /// Returns the requests.
    pub fn requests(&self) -> &[Request] {
        &self.requests
    }
}

/// Wakes models up and lets others fall idle, so that about as many are awake as at the start.
fn churn(awake: &mut [bool], steps_per_h: u64, rng: &mut SmallRng) {
    let per_step = f64::from(CHURN_PCT_PER_H) / 100.0 / steps_per_h as f64;
    let wake = per_step / 2.0 / (1.0 - f64::from(AWAKE_PCT) / 100.0);
    let sleep = per_step / 2.0 / (f64::from(AWAKE_PCT) / 100.0);
    for model in awake {
        let chance = if *model { sleep } else { wake };
        if rng.random_bool(chance) {
            *model = !*model;
        }
    }
}

fn burst(requests: &mut Vec<Request>, model: usize, step_ms: u64, rng: &mut SmallRng) {
    let start_ms = step_ms + rng.random_range(0..STEP_MS);
    for _ in 0..rng.random_range(1..=BURST_MAX) {
        let at_ms = start_ms + rng.random_range(0..BURST_MS);
        requests.push(Request { at_ms, model });
    }
}

fn poisson(mean: f64, rng: &mut SmallRng) -> u64 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
