//! Chooses a worker for a request.

use crate::gateway::directory::Directory;
use crate::gateway::directory::Worker;
use crate::gateway::directory::estimate::expected_loads;

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
/// Largest random addition to a cost in the even choice, relative to it.
const EVEN_TIE_JITTER: f64 = 0.02;
/// Requests by which the cost of a worker with an idle connection may be above the level of the others. With 2
/// there are a twentieth fewer new connections, but more late starts.
const IDLE_MARGIN_REQUESTS: f64 = 1.0;
/// Remaining time below which an idle connection is used first, in ms. It saves a sixth of the new connections.
const EXPIRES_SOON_MS: u64 = 1500;
/// Power of a worker's pace in its cost for requests of a model. With 1 the slow workers stay idle while the
/// fast ones have queues; with 0 more requests begin late.
const MODEL_PACE_POWER: f64 = 0.25;
/// The same for requests without a model. They are short, so that the pace says more of the response time than
/// the load.
const PLAIN_PACE_POWER: f64 = 1.0;
/// Latency factor up to which workers of a model differ by chance and by the prompts that they read. Its full
/// weight made the workers more uneven than at present while the lead was silent.
const ORDINARY_LATENCY_FACTOR: f64 = 2.0;

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
    let holding = holding_workers(directory, requirements, now_ms)?;
    let average_ms = average_first_byte_ms(&holding);
    let is_open = |worker: &&Worker| is_eligible(worker, requirements, now_ms);
    let scored = holding.into_iter().filter(is_open).map(|worker| {
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

/// A worker of the even choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Expected number of requests at it.
    pub load: f64,
}

/// Result of the even choice.
#[derive(Clone, Debug)]
pub struct EvenChoice<'a> {
    /// The chosen worker.
    pub chosen: Candidate<'a>,
    /// All workers that the request could be sent to.
    pub candidates: Vec<Candidate<'a>>,
}

impl Candidate<'_> {
    /// Returns the expected load as a whole number of requests.
    pub fn requests(&self) -> u32 {
        self.load.round() as u32
    }
}

impl EvenChoice<'_> {
    /// Changes the choice to the worker that would begin first, if the chosen one would begin after `limit_ms`.
    pub fn within(self, directory: &Directory, limit_ms: Option<u64>, now_ms: u64) -> Self {
        let wait_ms = |candidate: &Candidate<'_>| {
            directory.wait_with_load_ms(candidate.worker, candidate.requests(), now_ms)
        };
        if limit_ms.is_none_or(|limit_ms| wait_ms(&self.chosen) <= limit_ms) {
            return self;
        }
        let first = self.candidates.iter().min_by_key(|candidate| wait_ms(candidate)).copied();
        Self { chosen: first.unwrap_or(self.chosen), ..self }
    }

    /// Returns the load of the chosen worker relative to the average of the candidates.
    pub fn relative_load(&self) -> f64 {
        let sum: f64 = self.candidates.iter().map(|candidate| candidate.load).sum();
        let mean = sum / self.candidates.len() as f64;
        if mean > 0.0 { self.chosen.load / mean } else { 1.0 }
    }
}

/// Chooses a worker so that the load is even and connections are reused; `idle_ms` returns the remaining time of
/// the idle connection to a worker, in ms, if there is one.
///
/// Among the workers with an idle connection whose cost is not clearly above the common level of water-filling, the
/// choice is the one whose connection is about to expire; or else the one at which a request of this instance ended
/// last, since only this instance knows of that place; or else the one of lowest cost. Without such a worker, one is
/// drawn as in [`choose`].
///
/// # Errors
/// Returns the reason if no worker can be chosen.
pub fn choose_even<'a>(
    directory: &'a Directory,
    requirements: &Requirements<'_>,
    now_ms: u64,
    idle_ms: impl Fn(&Worker) -> Option<u64>,
    mut jitter: impl FnMut() -> f64,
) -> Result<EvenChoice<'a>, ChooseError> {
    let holding = holding_workers(directory, requirements, now_ms)?;
    let first_byte_ms = average_first_byte_ms(&holding);
    let is_open = |worker: &&Worker| is_eligible(worker, requirements, now_ms);
    let workers: Vec<&Worker> = holding.into_iter().filter(is_open).collect();
    let loads = expected_loads(&workers, now_ms);
    let candidates = workers.iter().zip(loads).map(|(worker, load)| Candidate { worker, load });
    let candidates: Vec<Candidate<'a>> = candidates.collect();
    let states_pace = directory.states_pace(requirements.service);
    let speed_factor = |worker: &Worker| match (states_pace, requirements.model) {
        (false, Some(_)) => softened(latency_factor(worker, first_byte_ms)),
        (false, None) => latency_factor(worker, first_byte_ms),
        (true, Some(_)) => worker.pace.factor(now_ms).powf(MODEL_PACE_POWER),
        (true, None) => worker.pace.factor(now_ms).powf(PLAIN_PACE_POWER),
    };
    let scored = candidates.iter().map(|candidate| {
        let worker = candidate.worker;
        let requests =
            candidate.load + BASE_REQUESTS + domain_requests(worker, requirements.domain);
        let cost = with_trouble(worker, requests * speed_factor(worker), now_ms);
        (*candidate, cost * (1.0 + EVEN_TIE_JITTER * jitter()))
    });
    let mut scored: Vec<(Candidate<'a>, f64)> = scored.collect();
    scored.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    let costs: Vec<f64> = scored.iter().map(|(_, cost)| *cost).collect();
    let unreported =
        scored.iter().map(|(candidate, _)| unreported_requests(candidate.worker, now_ms)).sum();
    let level = fill(&costs, unreported).0.max(costs.first().copied().unwrap_or(0.0));
    let near = scored.iter().take_while(|(_, cost)| *cost <= level + IDLE_MARGIN_REQUESTS);
    let connected: Vec<(Candidate<'a>, u64)> =
        near.filter_map(|(candidate, _)| Some((*candidate, idle_ms(candidate.worker)?))).collect();
    let chosen = among_connected(&connected, now_ms).or_else(|| {
        let index = draw_balanced(&costs, unreported, jitter());
        scored.get(index).map(|(candidate, _)| *candidate)
    });
    let chosen = chosen.ok_or(ChooseError::NoneEligible)?;
    Ok(EvenChoice { chosen, candidates })
}

/// Returns the worker whose idle connection is used, of those with the remaining time of their connections, in ms,
/// in ascending order of cost.
fn among_connected<'a>(connected: &[(Candidate<'a>, u64)], now_ms: u64) -> Option<Candidate<'a>> {
    let expiring = connected.iter().filter(|(_, idle_ms)| *idle_ms < EXPIRES_SOON_MS);
    let left = connected.iter().filter_map(|(candidate, _)| {
        Some((candidate, candidate.worker.left_places.unreported_ms(now_ms)?))
    });
    let expiring = expiring.min_by_key(|(_, idle_ms)| *idle_ms).map(|(candidate, _)| *candidate);
    expiring
        .or_else(|| left.max_by_key(|(_, left_ms)| *left_ms).map(|(candidate, _)| *candidate))
        .or_else(|| connected.first().map(|(candidate, _)| *candidate))
}

/// Returns the workers of the service that take new requests and hold the model and adapter.
fn holding_workers<'a>(
    directory: &'a Directory,
    requirements: &Requirements<'_>,
    now_ms: u64,
) -> Result<Vec<&'a Worker>, ChooseError> {
    let is_ready = |worker: &&Worker| {
        worker.record.service == requirements.service && worker.accepts_new_requests(now_ms)
    };
    let holds = |worker: &&Worker| match requirements.model {
        Some(model) => worker.holds(model, requirements.adapter, now_ms),
        None => true,
    };
    let ready: Vec<&Worker> = directory.iter().filter(is_ready).collect();
    if ready.is_empty() {
        return Err(ChooseError::NoWorker);
    }
    let holding: Vec<&Worker> = ready.into_iter().filter(holds).collect();
    if holding.is_empty() { Err(ChooseError::NotLoaded) } else { Ok(holding) }
}

/// Returns the average time to first byte of `workers`, in ms; 0 before any response.
fn average_first_byte_ms(workers: &[&Worker]) -> f64 {
    let times = workers.iter().filter_map(|worker| worker.health.average_first_byte_ms());
    let (count, sum_ms) = times.fold((0.0, 0.0), |(n, sum), ms| (n + 1.0, sum + ms));
    if count > 0.0 { sum_ms / count } else { 0.0 }
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
    let (level, filled) = fill(costs, unreported);
    let mut remaining = draw * unreported;
    for (index, cost) in costs[..filled].iter().enumerate() {
        remaining -= level - cost;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}

/// Returns the common level to which `unreported` requests raise the lowest costs, and how many of these there are.
fn fill(costs: &[f64], unreported: f64) -> (f64, usize) {
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
    (level, filled)
}

fn cost(worker: &Worker, domain: &str, average_ms: f64, now_ms: u64) -> f64 {
    let requests =
        f64::from(worker.load_estimate(now_ms)) + BASE_REQUESTS + domain_requests(worker, domain);
    with_trouble(worker, requests * latency_factor(worker, average_ms), now_ms)
}

fn domain_requests(worker: &Worker, domain: &str) -> f64 {
    if worker.record.domain == domain { 0.0 } else { OTHER_DOMAIN_REQUESTS }
}

fn latency_factor(worker: &Worker, average_ms: f64) -> f64 {
    match worker.health.average_first_byte_ms() {
        Some(ms) if average_ms > 0.0 => {
            (ms / average_ms).clamp(LATENCY_FACTOR_MIN, LATENCY_FACTOR_MAX)
        }
        _ => 1.0,
    }
}

/// Returns a latency factor in which differences up to the ordinary weigh as little as those of the pace.
fn softened(factor: f64) -> f64 {
    let ordinary = factor.min(ORDINARY_LATENCY_FACTOR);
    ordinary.powf(MODEL_PACE_POWER) * factor / ordinary
}

/// Returns `cost`, raised for a worker that fails, is avoided or limits its requests.
fn with_trouble(worker: &Worker, cost: f64, now_ms: u64) -> f64 {
    let failure_factor = 1.0 + FAILURE_WEIGHT * worker.health.failure_rate(now_ms);
    let avoided_factor = if worker.health.is_avoided(now_ms) { AVOIDED_FACTOR } else { 1.0 };
    let is_limited = worker.limit.recent_per_ks(now_ms).is_some();
    let limited_factor = if is_limited { LIMITED_FACTOR } else { 1.0 };
    cost * failure_factor * avoided_factor * limited_factor
}
