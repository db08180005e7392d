//! Chooses a worker for a request.

use crate::gateway::directory::Directory;
use crate::gateway::directory::Worker;

#[cfg(test)]
mod tests;

/// Requests added to the load of a worker in another failure domain: requests to it are lost during
/// a partition between the domains, and traffic between domains is charged for.
const OTHER_DOMAIN_REQUESTS: f64 = 1.5;
/// Weight of the failure rate: the cost of a worker is multiplied by 1 + rate * weight.
const FAILURE_WEIGHT: f64 = 24.0;
/// Cost factor of an avoided worker, so that it is chosen only if no other is left.
const AVOIDED_FACTOR: f64 = 50.0;
/// Cost factor of a worker that limits its requests, so that its limit is left for requests that only
/// it can serve.
const LIMITED_FACTOR: f64 = 4.0;
/// Largest random addition to a cost, relative to it, so that instances do not all choose the same
/// worker among equals.
const TIE_JITTER: f64 = 0.05;
/// Typical duration of a request at a model worker, in ms; streams take about 3 s.
const REQUEST_DURATION_MS: u64 = 3000;
/// Requests added to every load, so that differences between nearly idle workers stay small.
const BASE_REQUESTS: f64 = 1.0;
/// Lower bound of the latency factor: a worker's time to first byte relative to the average.
const LATENCY_FACTOR_MIN: f64 = 0.5;
/// Upper bound of the latency factor.
const LATENCY_FACTOR_MAX: f64 = 8.0;

/// Requirements of a request on its worker.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the worker must belong to.
    pub service: &'a str,
    /// Model that must be loaded, if the service has models.
    pub model: Option<&'a str>,
    /// Adapter of the model that must be loaded, if any.
    pub adapter: Option<&'a str>,
    /// Failure domain of this instance; its workers are preferred.
    pub domain: &'a str,
    /// Ids of workers that have been tried; they are excluded.
    pub tried: &'a [String],
    /// Whether avoided workers are excluded: a request that may run only once cannot be retried
    /// elsewhere. `false` for a request that has nothing better to wait for.
    pub skip_avoided: bool,
}

/// Reason why no worker was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChooseError {
    /// No worker of the service takes new requests.
    NoWorker,
    /// No such worker holds the model and adapter.
    NotLoaded,
    /// All workers that hold them are avoided or have been tried.
    NoneEligible,
}

/// Chooses a worker with a low cost; `jitter` returns random numbers in 0..1.
///
/// # Errors
/// Returns the reason if no worker can be chosen.
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
        let is_open = worker.blocked_until_ms(now_ms).is_none();
        !avoided && is_open && !requirements.tried.contains(&worker.record.id)
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

/// Returns whether a worker may get a request with these requirements now.
pub fn is_eligible(worker: &Worker, requirements: &Requirements<'_>, now_ms: u64) -> bool {
    worker.record.service == requirements.service
        && worker.accepts_new_requests(now_ms)
        && worker.blocked_until_ms(now_ms).is_none()
        && !(requirements.skip_avoided && worker.health.is_avoided(now_ms))
        && requirements.model.is_none_or(|model| worker.holds(model, requirements.adapter, now_ms))
        && !requirements.tried.contains(&worker.record.id)
}

/// Returns the time at which the first worker that meets `requirements`, but takes no request now because of
/// its limit or since it has asked for none, takes one again, in ms; `None` if there is no such worker.
pub fn blocked_until_ms(
    directory: &Directory,
    requirements: &Requirements<'_>,
    now_ms: u64,
) -> Option<u64> {
    let meets = |worker: &&Worker| {
        worker.record.service == requirements.service
            && worker.accepts_new_requests(now_ms)
            && requirements
                .model
                .is_none_or(|model| worker.holds(model, requirements.adapter, now_ms))
            && !(requirements.skip_avoided && worker.health.is_avoided(now_ms))
            && !requirements.tried.contains(&worker.record.id)
    };
    directory.iter().filter(meets).filter_map(|worker| worker.blocked_until_ms(now_ms)).min()
}

/// Estimates the requests that other instances have sent to a worker since the lead's last report.
fn unreported_requests(worker: &Worker, now_ms: u64) -> f64 {
    let age_ms = worker.reported_load_age_ms(now_ms).unwrap_or(0).min(REQUEST_DURATION_MS);
    f64::from(worker.load_estimate(now_ms)) * age_ms as f64 / REQUEST_DURATION_MS as f64
}

/// Returns an index into `costs`, which are sorted in ascending order.
///
/// `unreported` requests are distributed by water-filling: added to the lowest costs, they raise
/// them to a common level. Each index is returned with a probability proportional to the gap
/// between its cost and that level, selected by `draw` in 0..1.
///
/// All instances receive the loads at the same time. If each of them chose the lowest cost, all
/// requests would go to one worker until the next report.
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
    let failure_factor = 1.0 + FAILURE_WEIGHT * worker.health.failure_rate(now_ms);
    let avoided_factor = if worker.health.is_avoided(now_ms) { AVOIDED_FACTOR } else { 1.0 };
    let is_limited = worker.limit.recent_per_ks(now_ms).is_some();
    let limited_factor = if is_limited { LIMITED_FACTOR } else { 1.0 };
    (f64::from(worker.load_estimate(now_ms)) + BASE_REQUESTS + domain_requests)
        * latency_factor
        * failure_factor
        * avoided_factor
        * limited_factor
}
