//! Dispatch decisions: a state machine without I/O, driven by events and time.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::budget::RetryBudget;
use crate::admission::limit::LimitReport;
use crate::admission::limit::ShareLimit;
use crate::admission::predict::ServiceTimes;
use crate::admission::queue::FairQueue;
use crate::admission::queue::QueuedRequest;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Refusal;
use crate::dispatch::cells::Cells;
use crate::document::Config;
use crate::document::Priority;
use crate::document::Target;
use crate::routing::Availability;
use crate::routing::Choice;
use crate::routing::RoutedWorkers;
use crate::routing::plain::PlainUpstreams;
use crate::sorted::Table;
use crate::wire::AdmittedTotal;
use crate::wire::ColdStartRequest;
use crate::wire::Progress;
use crate::wire::TargetUsage;

/// Minimum time between cold-start requests for the same target, in ms.
const COLD_START_REQUEST_PERIOD_MS: u64 = 200;
/// A waiting request is refused when less than this is left before its deadline, in ms.
const DEADLINE_MARGIN_MS: u64 = 20;
/// Retry hint for full queues, in ms.
const QUEUE_FULL_RETRY_MS: u64 = 1000;
/// Retry hint when there is no better estimate, in ms.
const DEFAULT_RETRY_MS: u64 = 2000;
/// Maximum number of times that a request is sent to another upstream.
const MAX_REROUTES: u32 = 8;

/// The upstreams that a request can run on; requests with the same key share a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolKey {
    /// Replicas of a model, or of an adapter on it.
    Target(Target),
    /// Upstreams of the plain service with this name.
    Plain(String),
}

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// Number that identifies this request for an upstream within the instance.
    pub ticket: u64,
    /// Upstreams that it can run on.
    pub pool: PoolKey,
    /// Partner whose limits and share apply.
    pub partner: String,
    /// Priority of the request.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time by which the caller must have a response, in ms.
    pub deadline_ms: u64,
    /// Whether it is the first attempt, a reroute or a retry.
    pub attempt: Attempt,
}

/// Whether a request is new or is sent again after an upstream did not complete it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first attempt.
    First,
    /// The previous upstream refused the request without running it.
    Reroute {
        /// Upstreams not to use.
        exclude: Vec<String>,
        /// Number of attempts that failed before this one.
        failed_attempts: u32,
    },
    /// The previous upstream failed; the retry is charged to the retry budget.
    Retry {
        /// Upstreams not to use.
        exclude: Vec<String>,
        /// Number of attempts that failed before this one.
        failed_attempts: u32,
    },
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamOutcome {
    /// With a complete response.
    Whole {
        /// Time that the request took at the upstream, in ms.
        took_ms: u64,
        /// Tokens generated.
        tokens: u64,
    },
    /// The connection was interrupted or could not be made.
    Broken,
    /// The upstream does not have the target in memory.
    NotResident,
    /// The upstream is shutting down and refuses new requests.
    Leaving,
    /// The request ended for another reason: the caller disconnected, the deadline passed, or the
    /// upstream was busy or rejected the request.
    Abandoned,
}

/// An action for the I/O driver to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to this upstream.
    Grant {
        /// The request's ticket.
        ticket: u64,
        /// Upstream to send it to.
        choice: Choice,
        /// Time that the request waited for a cold target, in ms; `None` if it was not cold.
        cold_wait_ms: Option<u64>,
    },
    /// Refuse the request; it has not run in this attempt.
    Refuse {
        /// The request's ticket.
        ticket: u64,
        /// Code and retry hint for the caller.
        refusal: Refusal,
    },
    /// Send a cold-start request to the lead of its cell.
    RequestColdStart(ColdStartRequest),
}

/// Queue and statistics of one pool key.
#[derive(Debug, Default)]
struct Pool {
    queue: FairQueue,
    service_times: ServiceTimes,
    in_flight: u32,
    interactive_in_flight: u32,
    /// Highest number of interactive requests in flight since the last usage report.
    peak_interactive_in_flight: u32,
    last_cold_start_request_ms: Option<u64>,
    /// Time at which the lead expects the target to be loaded.
    expected_ready_ms: Option<u64>,
    /// Whether the requests in the queue have waited for a target without a replica.
    cold: bool,
    used_since_report: bool,
}

/// State of the dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    config: Arc<Config>,
    workers: RoutedWorkers,
    plain_upstreams: PlainUpstreams,
    cells: Cells,
    pools: Table<PoolKey, Pool>,
    /// Pool of each waiting request, by ticket.
    pool_of: Table<u64, PoolKey>,
    waiting_by_partner: Table<String, usize>,
    rate_limits: Table<String, ShareLimit>,
    retry_budget: RetryBudget,
    instance_count: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates the dispatcher of an instance in `domain`; `seed` seeds its random choices.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            config: Arc::new(Config::empty()),
            workers: RoutedWorkers::new(domain),
            plain_upstreams: PlainUpstreams::default(),
            cells: Cells::new(domain),
            pools: Table::new(),
            pool_of: Table::new(),
            waiting_by_partner: Table::new(),
            rate_limits: Table::new(),
            retry_budget: RetryBudget::default(),
            instance_count: 1,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the known workers and the load on them.
    pub fn workers(&mut self) -> &mut RoutedWorkers {
        &mut self.workers
    }

    /// Returns the known upstreams of plain services.
    pub fn plain_upstreams(&mut self) -> &mut PlainUpstreams {
        &mut self.plain_upstreams
    }

    /// Returns the known cells.
    pub fn cells(&mut self) -> &mut Cells {
        &mut self.cells
    }

    /// Applies a configuration; partners whose rate has changed start with a new rate limit.
    pub fn on_config(&mut self, config: Arc<Config>) {
        let partners = &config.partners;
        self.rate_limits.retain(|name, limit| {
            partners.get(name).is_some_and(|p| p.limit_tokens_per_s == limit.rate_per_s())
        });
        self.config = config;
    }

    /// Sets the number of instances that share the partners' rate limits and the workers' slots.
    pub fn on_instances(&mut self, instances: u64) {
        self.instance_count = instances.max(1);
        self.workers.on_instances(instances);
    }

    /// Applies another instance's report of the tokens that it has admitted.
    pub fn on_admitted(
        &mut self,
        from: &str,
        incarnation: u64,
        totals: &[AdmittedTotal],
        now_ms: u64,
    ) {
        for total in totals {
            let report = LimitReport {
                incarnation,
                admitted_tokens: total.tokens,
                requested_tokens: total.requested_tokens,
                requested_per_s: total.requested_per_s,
                share_ppm: total.share_ppm,
            };
            if let Some(limit) = self.rate_limit_of(&total.partner, now_ms) {
                limit.on_report(from, report, now_ms);
            }
        }
    }

    /// Adjusts this instance's shares of the rate limits and returns its totals for its peers.
    pub fn exchange_limits(&mut self, now_ms: u64) -> Vec<AdmittedTotal> {
        let instances = self.instance_count;
        self.rate_limits
            .iter_mut()
            .map(|(partner, limit)| {
                limit.rebalance(instances, now_ms);
                let report = limit.report(0);
                AdmittedTotal {
                    partner: partner.clone(),
                    tokens: report.admitted_tokens,
                    requested_tokens: report.requested_tokens,
                    requested_per_s: report.requested_per_s,
                    share_ppm: report.share_ppm,
                }
            })
            .collect()
    }

    fn rate_limit_of(&mut self, partner: &str, now_ms: u64) -> Option<&mut ShareLimit> {
        let rate_per_s = self.config.partners.get(partner)?.limit_tokens_per_s;
        if rate_per_s == 0 {
            return None;
        }
        let instances = self.instance_count;
        let new_limit = || ShareLimit::new(rate_per_s, instances, now_ms);
        Some(self.rate_limits.get_or_insert_with(partner.to_owned(), new_limit))
    }

    /// Handles a new request: grants, queues or refuses it.
    pub fn on_submit(&mut self, request: DispatchRequest, now_ms: u64) -> Vec<Action> {
        let ticket = request.ticket;
        if let Err(refusal) = self.check_admission(&request, now_ms) {
            return vec![Action::Refuse { ticket, refusal }];
        }
        let share_pct = self.config.partners.get(&request.partner).map_or(1, |p| p.share_pct);
        let exclude = match request.attempt {
            Attempt::First => Vec::new(),
            Attempt::Reroute { exclude, .. } | Attempt::Retry { exclude, .. } => exclude,
        };
        let queued = QueuedRequest {
            ticket,
            partner: request.partner.clone(),
            share_pct,
            priority: request.priority,
            cost_tokens: request.cost_tokens.max(1),
            arrived_ms: now_ms,
            deadline_ms: request.deadline_ms,
            exclude,
        };
        let key = request.pool;
        let pool = self.pools.get_or_insert_with(key.clone(), Pool::default);
        pool.used_since_report = true;
        pool.queue.push(queued);
        self.pool_of.insert(ticket, key.clone());
        *self.waiting_by_partner.get_or_insert_with(request.partner, || 0) += 1;
        let mut actions = self.grant_waiting(&key, now_ms);
        self.request_cold_start_if_due(&key, now_ms, &mut actions);
        actions
    }

    fn check_admission(&mut self, request: &DispatchRequest, now_ms: u64) -> Result<(), Refusal> {
        match &request.attempt {
            Attempt::First => {
                self.retry_budget.on_new_request();
                self.check_queue(request)?;
                self.check_deadline(request, now_ms)?;
                self.check_rate_limit(request, now_ms)
            }
            Attempt::Reroute { failed_attempts, .. } if *failed_attempts > MAX_REROUTES => {
                Err(Refusal::new(Code::NoUpstream, DEFAULT_RETRY_MS))
            }
            Attempt::Reroute { .. } => Ok(()),
            Attempt::Retry { failed_attempts, .. } => {
                if *failed_attempts > MAX_REROUTES || !self.retry_budget.try_spend() {
                    return Err(Refusal::new(Code::RetriesExhausted, DEFAULT_RETRY_MS));
                }
                Ok(())
            }
        }
    }

    fn check_queue(&self, request: &DispatchRequest) -> Result<(), Refusal> {
        let waiting = self.waiting_by_partner.get(&request.partner).copied().unwrap_or(0);
        let queue_max = self.config.partners.get(&request.partner).map_or(0, |p| p.queue_max);
        if waiting >= queue_max {
            return Err(Refusal::new(Code::QueueFull, QUEUE_FULL_RETRY_MS));
        }
        Ok(())
    }

    /// Refuses a request that is predicted to end after its deadline.
    fn check_deadline(&self, request: &DispatchRequest, now_ms: u64) -> Result<(), Refusal> {
        let Some(pool) = self.pools.get(&request.pool) else { return Ok(()) };
        let share_pct = self.config.partners.get(&request.partner).map_or(1, |p| p.share_pct);
        let tokens_before = pool.queue.tokens_ahead(&request.partner, share_pct, request.priority);
        let slots = match &request.pool {
            PoolKey::Target(target) => self.workers.guaranteed_slots(target),
            PoolKey::Plain(_) => 1,
        };
        let load_wait_ms = pool.expected_ready_ms.map_or(0, |at| at.saturating_sub(now_ms));
        let wait_ms = if pool.queue.is_empty() && load_wait_ms == 0 {
            0
        } else {
            load_wait_ms
                + pool.service_times.wait_ms(tokens_before, slots.max(u64::from(pool.in_flight)))
        };
        let end_ms = now_ms + wait_ms + pool.service_times.expected_ms(request.cost_tokens);
        if wait_ms > 0 && end_ms > request.deadline_ms {
            let over_ms = end_ms - request.deadline_ms;
            return Err(Refusal::new(Code::DeadlineUnreachable, over_ms.max(100)));
        }
        Ok(())
    }

    fn check_rate_limit(&mut self, request: &DispatchRequest, now_ms: u64) -> Result<(), Refusal> {
        let Some(limit) = self.rate_limit_of(&request.partner, now_ms) else { return Ok(()) };
        limit
            .admit(request.cost_tokens, now_ms)
            .map_err(|retry_ms| Refusal::new(Code::RateLimited, retry_ms.max(1)))
    }

    /// Handles the end of a request at its upstream and grants waiting requests.
    pub fn on_done(
        &mut self,
        pool: &PoolKey,
        upstream: &str,
        interactive: bool,
        outcome: UpstreamOutcome,
        now_ms: u64,
    ) -> Vec<Action> {
        let connection_failed = outcome == UpstreamOutcome::Broken;
        match pool {
            PoolKey::Plain(_) => self.plain_upstreams.on_done(upstream, connection_failed, now_ms),
            PoolKey::Target(target) => {
                self.workers.on_done(upstream, interactive, connection_failed, now_ms);
                match outcome {
                    UpstreamOutcome::NotResident => self.workers.on_not_resident(upstream, target),
                    UpstreamOutcome::Leaving => self.workers.on_leaving(upstream),
                    _ => {}
                }
            }
        }
        if let Some(pool_state) = self.pools.get_mut(pool) {
            pool_state.in_flight = pool_state.in_flight.saturating_sub(1);
            pool_state.interactive_in_flight =
                pool_state.interactive_in_flight.saturating_sub(u32::from(interactive));
            if let UpstreamOutcome::Whole { took_ms, tokens } = outcome {
                pool_state.service_times.observe(took_ms, tokens);
            }
        }
        // The freed slot may serve any target on the same worker.
        self.grant_all(now_ms)
    }

    /// Removes a waiting request that was cancelled.
    pub fn on_cancel(&mut self, ticket: u64) {
        let Some(key) = self.pool_of.remove(&ticket) else { return };
        let removed = self.pools.get_mut(&key).and_then(|pool| pool.queue.remove(ticket));
        if let Some(queued) = removed {
            self.decrement_waiting(&queued.partner);
        }
    }

    /// Handles a lead's reply to a cold-start request for `target` in `cell`.
    pub fn on_progress(&mut self, cell: &str, target: &Target, progress: Progress, now_ms: u64) {
        match progress {
            Progress::NoCapacity => self.cells.on_no_capacity(cell, target, now_ms),
            Progress::Expected { eta_ms } => {
                if let Some(pool) = self.pools.get_mut(&PoolKey::Target(target.clone())) {
                    pool.expected_ready_ms = Some(now_ms + eta_ms);
                }
            }
            Progress::Resident | Progress::NotLead => {}
        }
    }

    /// Refuses requests that cannot be served in time, grants those that have an upstream, and
    /// requests cold starts for the others.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.refuse_late_requests(now_ms);
        let keys: Vec<PoolKey> = self.waiting_pools();
        for key in keys {
            actions.extend(self.grant_waiting(&key, now_ms));
            self.request_cold_start_if_due(&key, now_ms, &mut actions);
        }
        actions
    }

    /// Grants waiting requests of all pools, as far as their upstreams have free slots.
    pub fn grant_all(&mut self, now_ms: u64) -> Vec<Action> {
        let keys = self.waiting_pools();
        keys.iter().flat_map(|key| self.grant_waiting(key, now_ms)).collect()
    }

    fn waiting_pools(&self) -> Vec<PoolKey> {
        let waiting = self.pools.iter().filter(|(_, pool)| !pool.queue.is_empty());
        waiting.map(|(key, _)| key.clone()).collect()
    }

    fn refuse_late_requests(&mut self, now_ms: u64) -> Vec<Action> {
        let mut late = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            let times = pool.service_times;
            let ready_ms = pool.expected_ready_ms.map_or(now_ms, |at| at.max(now_ms));
            late.extend(pool.queue.drain(|w| {
                let end_ms = ready_ms + times.expected_ms(w.cost_tokens).max(DEADLINE_MARGIN_MS);
                end_ms > w.deadline_ms
            }));
        }
        late.into_iter().map(|w| self.refuse(&w, Code::DeadlineUnreachable)).collect()
    }

    fn refuse(&mut self, queued: &QueuedRequest, code: Code) -> Action {
        self.pool_of.remove(&queued.ticket);
        self.decrement_waiting(&queued.partner);
        Action::Refuse { ticket: queued.ticket, refusal: Refusal::new(code, DEFAULT_RETRY_MS) }
    }

    fn decrement_waiting(&mut self, partner: &str) {
        if let Some(count) = self.waiting_by_partner.get_mut(partner) {
            *count = count.saturating_sub(1);
        }
    }

    fn grant_waiting(&mut self, key: &PoolKey, now_ms: u64) -> Vec<Action> {
        let mut granted = Vec::new();
        let Some(pool) = self.pools.get_mut(key) else { return Vec::new() };
        let slots = match key {
            PoolKey::Plain(service) => self.config.services.get(service).map_or(0, |s| s.slots),
            PoolKey::Target(_) => 0,
        };
        let service_ms = pool.service_times.mean_ms();
        loop {
            let (workers, plain_upstreams, rng) =
                (&mut self.workers, &mut self.plain_upstreams, &mut self.rng);
            let popped = pool.queue.pop(service_ms, now_ms, |queued| match key {
                PoolKey::Target(target) => choose_replica(workers, target, queued, rng, now_ms),
                PoolKey::Plain(service) => {
                    plain_upstreams.choose(service, slots, &queued.exclude, rng, now_ms)
                }
            });
            let Some((queued, choice)) = popped else { break };
            pool.in_flight += 1;
            pool.interactive_in_flight += u32::from(queued.priority == Priority::Interactive);
            pool.peak_interactive_in_flight =
                pool.peak_interactive_in_flight.max(pool.interactive_in_flight);
            pool.expected_ready_ms = None;
            let cold_wait_ms = pool.cold.then(|| now_ms.saturating_sub(queued.arrived_ms));
            granted.push((queued, choice, cold_wait_ms));
        }
        pool.cold &= !pool.queue.is_empty();
        granted
            .into_iter()
            .map(|(queued, choice, cold_wait_ms)| {
                self.pool_of.remove(&queued.ticket);
                self.decrement_waiting(&queued.partner);
                Action::Grant { ticket: queued.ticket, choice, cold_wait_ms }
            })
            .collect()
    }

    fn request_cold_start_if_due(&mut self, key: &PoolKey, now_ms: u64, actions: &mut Vec<Action>) {
        let PoolKey::Target(target) = key else { return };
        let Some(pool) = self.pools.get_mut(key) else { return };
        let is_due = pool
            .last_cold_start_request_ms
            .is_none_or(|at| now_ms >= at + COLD_START_REQUEST_PERIOD_MS);
        if pool.queue.is_empty() || !is_due {
            return;
        }
        let Some(model) = self.config.models.get(&target.model) else { return };
        let interactive = pool.queue.iter().any(|w| w.priority == Priority::Interactive);
        let availability = self.workers.availability(target, interactive, now_ms);
        if availability == Availability::Free {
            return;
        }
        let Some(cell_view) = self.cells.preferred_cell(&model.service, target, now_ms) else {
            return;
        };
        pool.last_cold_start_request_ms = Some(now_ms);
        pool.cold |= availability == Availability::Cold;
        let earliest_ms = pool.queue.iter().map(|w| w.deadline_ms).min().unwrap_or(now_ms);
        let request = ColdStartRequest {
            cell: cell_view.cell.clone(),
            target: target.clone(),
            waiting: pool.queue.len() as u32,
            deadline_in_ms: earliest_ms.saturating_sub(now_ms),
            cold: availability == Availability::Cold,
        };
        actions.push(Action::RequestColdStart(request));
    }

    /// Returns the usage of targets that were used since the last call or are in use.
    pub fn take_usage(&mut self) -> Vec<TargetUsage> {
        let mut usage = Vec::new();
        for (key, pool) in self.pools.iter_mut() {
            let PoolKey::Target(target) = key else { continue };
            if pool.used_since_report || pool.in_flight > 0 || !pool.queue.is_empty() {
                pool.used_since_report = false;
                usage.push(TargetUsage {
                    target: target.clone(),
                    in_flight: pool.in_flight,
                    waiting: pool.queue.len() as u32,
                    interactive_peak: pool.peak_interactive_in_flight,
                });
                pool.peak_interactive_in_flight = pool.interactive_in_flight;
            }
        }
        usage
    }

    /// Returns the number of waiting requests and the number of requests at upstreams.
    pub fn counts(&self) -> (usize, usize) {
        let waiting = self.pools.values().map(|p| p.queue.len()).sum();
        let in_flight = self.pools.values().map(|p| p.in_flight as usize).sum();
        (waiting, in_flight)
    }
}

/// Chooses a replica; when no other can take the request, one that failed before is tried again.
fn choose_replica(
    workers: &mut RoutedWorkers,
    target: &Target,
    queued: &QueuedRequest,
    rng: &mut impl Rng,
    now_ms: u64,
) -> Option<Choice> {
    let interactive = queued.priority == Priority::Interactive;
    let first = workers.choose(target, interactive, &queued.exclude, rng, now_ms);
    if first.is_some() || queued.exclude.is_empty() {
        return first;
    }
    workers.choose(target, interactive, &[], rng, now_ms)
}
