//! Decisions of the dispatch duty; pure state, driven by events and time.

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

/// Time between asks for the same target, in ms.
const COLD_START_REQUEST_PERIOD_MS: u64 = 200;
/// Time before its deadline at which a waiting request is refused, in ms.
const DEADLINE_MARGIN_MS: u64 = 20;
/// Retry hint for full queues, in ms.
const QUEUE_FULL_RETRY_MS: u64 = 1000;
/// Retry hint when there is no better ground for one, in ms.
const DEFAULT_RETRY_MS: u64 = 2000;
/// Times that a request may be sent to another upstream.
const MAX_REROUTES: u32 = 8;

/// What a request waits for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolKey {
    /// Replicas of a model, or of an adapter on it.
    Target(Target),
    /// Upstreams of a plain service.
    Plain(String),
}

/// A request that asks for an upstream.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// Number of the request on this instance.
    pub ticket: u64,
    /// What it waits for.
    pub pool: PoolKey,
    /// Partner that pays for it.
    pub partner: String,
    /// How urgent it is.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time by which its caller must have an outcome, in ms.
    pub deadline_ms: u64,
    /// Why it is submitted.
    pub attempt: Attempt,
}

/// Whether a request is new or is sent on after an upstream did not finish it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first attempt.
    First,
    /// An upstream refused it without running it.
    Reroute {
        /// Upstreams to leave out.
        exclude: Vec<String>,
        /// Number of this attempt.
        failed_attempts: u32,
    },
    /// An upstream failed; this is charged to the retry budget.
    Retry {
        /// Upstreams to leave out.
        exclude: Vec<String>,
        /// Number of this attempt.
        failed_attempts: u32,
    },
}

/// How an upstream ended a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamOutcome {
    /// With a whole answer.
    Whole {
        /// Time at the upstream, in ms.
        took_ms: u64,
        /// Tokens generated.
        tokens: u64,
    },
    /// The connection broke or could not be made.
    Broken,
    /// It does not hold the target.
    NotResident,
    /// It is leaving and refuses new work.
    Leaving,
    /// The caller left or the deadline passed.
    Abandoned,
}

/// What the dispatch wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request goes to this upstream.
    Grant {
        /// Number of the request.
        ticket: u64,
        /// Where it goes.
        choice: Choice,
        /// Time that it waited for a target that was cold, in ms.
        cold_wait_ms: Option<u64>,
    },
    /// The request is refused without having run.
    Refuse {
        /// Number of the request.
        ticket: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The lead of this cell is asked for a target.
    RequestColdStart(ColdStartRequest),
}

/// Requests that wait for one pool.
#[derive(Debug, Default)]
struct Pool {
    queue: FairQueue,
    service_times: ServiceTimes,
    in_flight: u32,
    interactive_in_flight: u32,
    peak_interactive_in_flight: u32,
    last_cold_start_request_ms: Option<u64>,
    expected_ready_ms: Option<u64>,
    /// Whether the waiting requests found no replica.
    cold: bool,
    used_since_report: bool,
}

/// State of the dispatch duty.
#[derive(Debug)]
pub struct Dispatcher {
    config: Arc<Config>,
    replicas: RoutedWorkers,
    plain_upstreams: PlainUpstreams,
    cells: Cells,
    pools: Table<PoolKey, Pool>,
    pool_of: Table<u64, PoolKey>,
    waiting_by_partner: Table<String, usize>,
    rate_limits: Table<String, ShareLimit>,
    retry_budget: RetryBudget,
    instance_count: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Returns the state of an instance in `domain`; `seed` fixes its random choices.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            config: Arc::new(Config::empty()),
            replicas: RoutedWorkers::new(domain),
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

    /// Returns the view of the replicas.
    pub fn replicas(&mut self) -> &mut RoutedWorkers {
        &mut self.replicas
    }

    /// Returns the view of the plain upstreams.
    pub fn plain_upstreams(&mut self) -> &mut PlainUpstreams {
        &mut self.plain_upstreams
    }

    /// Returns the view of the cells.
    pub fn cells(&mut self) -> &mut Cells {
        &mut self.cells
    }

    /// Takes over a configuration.
    pub fn on_config(&mut self, config: Arc<Config>) {
        let partners = &config.partners;
        self.rate_limits.retain(|name, limit| {
            partners.get(name).is_some_and(|p| p.limit_tokens_per_s == limit.rate_per_s())
        });
        self.config = config;
    }

    /// Takes over the number of instances that share the partners' limits.
    pub fn on_instances(&mut self, instances: u64) {
        self.instance_count = instances.max(1);
        self.replicas.on_instances(instances);
    }

    /// Takes over what another instance has admitted.
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

    /// Divides the limits anew and returns the own totals to tell the others.
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
        let make = || ShareLimit::new(rate_per_s, instances, now_ms);
        Some(self.rate_limits.get_or_insert_with(partner.to_owned(), make))
    }

    /// Takes a request in: it is granted, queued or refused.
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
        let waiting = QueuedRequest {
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
        pool.queue.push(waiting);
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
            Attempt::Reroute { failed_attempts: count, .. } if *count > MAX_REROUTES => {
                Err(Refusal::new(Code::NoUpstream, DEFAULT_RETRY_MS))
            }
            Attempt::Reroute { .. } => Ok(()),
            Attempt::Retry { failed_attempts: count, .. } => {
                if *count > MAX_REROUTES || !self.retry_budget.try_spend() {
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

    /// Refuses a request whose predicted end lies behind its deadline.
    fn check_deadline(&self, request: &DispatchRequest, now_ms: u64) -> Result<(), Refusal> {
        let Some(pool) = self.pools.get(&request.pool) else { return Ok(()) };
        let share_pct = self.config.partners.get(&request.partner).map_or(1, |p| p.share_pct);
        let ahead = pool.queue.tokens_ahead(&request.partner, share_pct, request.priority);
        let slots = match &request.pool {
            PoolKey::Target(target) => self.replicas.guaranteed_slots(target),
            PoolKey::Plain(_) => 1,
        };
        let load_wait_ms = pool.expected_ready_ms.map_or(0, |at| at.saturating_sub(now_ms));
        let wait_ms = if pool.queue.is_empty() && load_wait_ms == 0 {
            0
        } else {
            load_wait_ms + pool.service_times.wait_ms(ahead, slots.max(u64::from(pool.in_flight)))
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

    /// Ends a request at its upstream and lets the next ones go.
    pub fn on_done(
        &mut self,
        pool: &PoolKey,
        upstream: &str,
        interactive: bool,
        outcome: UpstreamOutcome,
        now_ms: u64,
    ) -> Vec<Action> {
        let broken = outcome == UpstreamOutcome::Broken;
        match pool {
            PoolKey::Plain(_) => self.plain_upstreams.on_done(upstream, broken, now_ms),
            PoolKey::Target(target) => {
                self.replicas.on_done(upstream, interactive, broken, now_ms);
                match outcome {
                    UpstreamOutcome::NotResident => self.replicas.on_not_resident(upstream, target),
                    UpstreamOutcome::Leaving => self.replicas.on_leaving(upstream),
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
        // A finished request may make room for any target on the same worker.
        self.grant_all(now_ms)
    }

    /// Removes a request whose caller has left.
    pub fn on_cancel(&mut self, ticket: u64) {
        let Some(key) = self.pool_of.remove(&ticket) else { return };
        let removed = self.pools.get_mut(&key).and_then(|pool| pool.queue.remove(ticket));
        if let Some(waiting) = removed {
            self.decrement_waiting(&waiting.partner);
        }
    }

    /// Takes over a lead's answer about `target` in `cell`.
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

    /// Refuses what cannot be served in time, lets go what can, asks for what is missing.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.refuse_late_requests(now_ms);
        let keys: Vec<PoolKey> = self.waiting_pools();
        for key in keys {
            actions.extend(self.grant_waiting(&key, now_ms));
            self.request_cold_start_if_due(&key, now_ms, &mut actions);
        }
        actions
    }

    /// Lets go what can go in all pools.
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
            let service = pool.service_times;
            let ready_ms = pool.expected_ready_ms.map_or(now_ms, |at| at.max(now_ms));
            late.extend(pool.queue.drain(|w| {
                let end_ms = ready_ms + service.expected_ms(w.cost_tokens).max(DEADLINE_MARGIN_MS);
                end_ms > w.deadline_ms
            }));
        }
        late.into_iter().map(|w| self.refuse(&w, Code::DeadlineUnreachable)).collect()
    }

    fn refuse(&mut self, waiting: &QueuedRequest, code: Code) -> Action {
        self.pool_of.remove(&waiting.ticket);
        self.decrement_waiting(&waiting.partner);
        Action::Refuse { ticket: waiting.ticket, refusal: Refusal::new(code, DEFAULT_RETRY_MS) }
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
            let (replicas, plain, rng) =
                (&mut self.replicas, &mut self.plain_upstreams, &mut self.rng);
            let popped = pool.queue.pop(service_ms, now_ms, |waiting| match key {
                PoolKey::Target(target) => choose_replica(replicas, target, waiting, rng, now_ms),
                PoolKey::Plain(service) => {
                    plain.choose(service, slots, &waiting.exclude, rng, now_ms)
                }
            });
            let Some((waiting, choice)) = popped else { break };
            pool.in_flight += 1;
            pool.interactive_in_flight += u32::from(waiting.priority == Priority::Interactive);
            pool.peak_interactive_in_flight =
                pool.peak_interactive_in_flight.max(pool.interactive_in_flight);
            pool.expected_ready_ms = None;
            let cold_wait_ms = pool.cold.then(|| now_ms.saturating_sub(waiting.arrived_ms));
            granted.push((waiting, choice, cold_wait_ms));
        }
        pool.cold &= !pool.queue.is_empty();
        granted
            .into_iter()
            .map(|(waiting, choice, cold_wait_ms)| {
                self.pool_of.remove(&waiting.ticket);
                self.decrement_waiting(&waiting.partner);
                Action::Grant { ticket: waiting.ticket, choice, cold_wait_ms }
            })
            .collect()
    }

    fn request_cold_start_if_due(&mut self, key: &PoolKey, now_ms: u64, actions: &mut Vec<Action>) {
        let PoolKey::Target(target) = key else { return };
        let Some(pool) = self.pools.get_mut(key) else { return };
        let due = pool
            .last_cold_start_request_ms
            .is_none_or(|at| now_ms >= at + COLD_START_REQUEST_PERIOD_MS);
        if pool.queue.is_empty() || !due {
            return;
        }
        let Some(model) = self.config.models.get(&target.model) else { return };
        let interactive = pool.queue.iter().any(|w| w.priority == Priority::Interactive);
        let availability = self.replicas.availability(target, interactive, now_ms);
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

    /// Returns the targets used since the last call, or in use.
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

    /// Returns the number of waiting requests and of requests at upstreams.
    pub fn counts(&self) -> (usize, usize) {
        let waiting = self.pools.values().map(|p| p.queue.len()).sum();
        let in_flight = self.pools.values().map(|p| p.in_flight as usize).sum();
        (waiting, in_flight)
    }
}

/// Chooses a replica; when all others are left out, one that failed before is tried again.
fn choose_replica(
    replicas: &mut RoutedWorkers,
    target: &Target,
    waiting: &QueuedRequest,
    rng: &mut impl Rng,
    now_ms: u64,
) -> Option<Choice> {
    let interactive = waiting.priority == Priority::Interactive;
    let first = replicas.choose(target, interactive, &waiting.exclude, rng, now_ms);
    if first.is_some() || waiting.exclude.is_empty() {
        return first;
    }
    replicas.choose(target, interactive, &[], rng, now_ms)
}
