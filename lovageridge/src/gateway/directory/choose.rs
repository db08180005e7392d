//! Choice of the worker for a request.

use crate::gateway::directory::Directory;
use crate::gateway::directory::Worker;

#[cfg(test)]
mod tests;

/// Requests that a worker in another failure domain counts as more loaded by: requests to it are
/// lost when the domains are cut from each other, and their bytes are paid for.
const OTHER_DOMAIN_REQUESTS: f64 = 1.5;
/// Factor on the load of a worker all of whose answers fail.
const FAILURE_FACTOR: f64 = 24.0;
/// Factor on the load of a worker that is avoided: it is chosen only when nobody else is left.
const AVOIDED_FACTOR: f64 = 50.0;
/// Difference in load that counts as a tie, so that instances do not all choose the same worker.
const TIE_JITTER: f64 = 0.05;
/// Time of a request at a model worker, in ms: streams of the deployments seen take about 3 s.
const REQUEST_DURATION_MS: u64 = 3000;
/// Base load, so that differences between idle workers stay small.
const BASE_REQUESTS: f64 = 1.0;
/// Bounds of the factor that a worker's answer time gives against the average.
const LATENCY_FACTOR_MIN: f64 = 0.5;
/// Upper one of these bounds.
const LATENCY_FACTOR_MAX: f64 = 8.0;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Model, if the service has models.
    pub model: Option<&'a str>,
    /// Adapter of the model.
    pub adapter: Option<&'a str>,
    /// Failure domain of the instance.
    pub domain: &'a str,
    /// Workers that were tried.
    pub tried: &'a [String],
    /// Whether avoided workers are out of the question; a request that may run once has no
    /// second try, but one that waits for nothing better takes what there is.
    pub skip_avoided: bool,
}

/// Why no worker was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChooseError {
    /// No worker of the service is known and ready.
    NoWorker,
    /// No ready worker holds the target.
    NotLoaded,
    /// Those that hold it are avoided or were tried.
    NoneEligible,
}

/// Chooses a worker; `jitter` in 0..1 breaks ties between equals.
///
/// # Errors
/// Returns what is lacking.
pub fn choose<'a>(
    directory: &'a Directory,
    requirements: &Requirements<'_>,
    now_ms: u64,
    mut jitter: impl FnMut() -> f64,
) -> Result<&'a Worker, ChooseError> {
    let is_ready = |worker: &&Worker| {
        worker.record.service == requirements.service && worker.accepts_new_requests(now_ms)
    };
    let holds = |worker: &&Worker| match requirements.model {
        Some(model) => worker.holds(model, requirements.adapter, now_ms),
        None => true,
    };
    let is_eligible = |worker: &&Worker| {
        let avoided = requirements.skip_avoided && worker.health.is_avoided(now_ms);
        !avoided && !requirements.tried.contains(&worker.record.id)
    };
    let ready: Vec<&Worker> = directory.iter().filter(is_ready).collect();
    if ready.is_empty() {
        return Err(ChooseError::NoWorker);
    }
    let holding: Vec<&Worker> = ready.into_iter().filter(holds).collect();
    if holding.is_empty() {
        return Err(ChooseError::NotLoaded);
    }
    let times = holding.iter().filter_map(|worker| worker.health.average_first_byte_ms());
    let (count, sum_ms) = times.fold((0.0, 0.0), |(n, sum), ms| (n + 1.0, sum + ms));
    let average_ms = if count > 0.0 { sum_ms / count } else { 0.0 };
    let scored = holding.into_iter().filter(is_eligible).map(|worker| {
        let cost =
            cost(worker, requirements.domain, average_ms, now_ms) * (1.0 + TIE_JITTER * jitter());
        (worker, cost)
    });
    let mut scored: Vec<(&Worker, f64)> = scored.collect();
    scored.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    let unreported = scored.iter().map(|(worker, _)| unreported_requests(worker, now_ms)).sum();
    let costs: Vec<f64> = scored.iter().map(|(_, cost)| *cost).collect();
    let index = draw_balanced(&costs, unreported, jitter());
    scored.get(index).map(|(worker, _)| *worker).ok_or(ChooseError::NoneEligible)
}

/// Estimates the requests that other instances have sent to a worker since its load was told.
fn unreported_requests(worker: &Worker, now_ms: u64) -> f64 {
    let age_ms = worker.reported_load_age_ms(now_ms).unwrap_or(0).min(REQUEST_DURATION_MS);
    f64::from(worker.load_estimate(now_ms)) * age_ms as f64 / REQUEST_DURATION_MS as f64
}

/// Returns the place of one of `costs`, which rise, in the way in which `unseen` requests would even
/// them out: each gets the part that it lies below the common level, `draw` in 0..1 decides.
///
/// All instances hear loads at the same time. If each chose the least one, all requests went to one
/// worker until the next loads are told.
fn draw_balanced(costs: &[f64], unreported: f64, draw: f64) -> usize {
    let mut sum = 0.0;
    let mut level = 0.0;
    let mut filled = 0;
    for cost in costs {
        let raised = (sum + cost + unreported) / (filled + 1) as f64;
        if *cost >= raised {
            break;
        }
        sum += cost;
        filled += 1;
        level = raised;
    }
    let mut remaining = draw * unreported;
    for (index, cost) in costs[..filled].iter().enumerate() {
        remaining -= level - cost;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}

fn cost(worker: &Worker, domain: &str, average_ms: f64, now_ms: u64) -> f64 {
    let domain_requests = if worker.record.domain == domain { 0.0 } else { OTHER_DOMAIN_REQUESTS };
    let latency_factor = match worker.health.average_first_byte_ms() {
        Some(ms) if average_ms > 0.0 => {
            (ms / average_ms).clamp(LATENCY_FACTOR_MIN, LATENCY_FACTOR_MAX)
        }
        _ => 1.0,
    };
    let failure_factor = 1.0 + FAILURE_FACTOR * worker.health.failure_rate(now_ms);
    let avoided_factor = if worker.health.is_avoided(now_ms) { AVOIDED_FACTOR } else { 1.0 };
    (f64::from(worker.load_estimate(now_ms)) + BASE_REQUESTS + domain_requests)
        * latency_factor
        * failure_factor
        * avoided_factor
}
