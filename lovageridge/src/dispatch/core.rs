//! Decisions of the dispatch duty; pure state, driven by events and time.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::budget::RetryBudget;
use crate::admission::limit::Report;
use crate::admission::limit::ShareLimit;
use crate::admission::predict::ServiceTimes;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Waiting;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Refusal;
use crate::dispatch::cells::Cells;
use crate::document::Config;
use crate::document::Priority;
use crate::document::Target;
use crate::routing::Availability;
use crate::routing::Choice;
use crate::routing::Replicas;
use crate::routing::plain::PlainUpstreams;
use crate::sorted::Table;
use crate::wire::AdmittedTotal;
use crate::wire::ColdStartRequest;
use crate::wire::Progress;
use crate::wire::TargetUsage;

/// Time between asks for the same target, in ms.
const ASK_PERIOD_MS: u64 = 200;
/// Time before its deadline at which a waiting request is refused, in ms.
const REFUSE_AHEAD_MS: u64 = 20;
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
pub struct Submit {
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
        count: u32,
    },
    /// An upstream failed; this is charged to the retry budget.
    Retry {
        /// Upstreams to leave out.
        exclude: Vec<String>,
        /// Number of this attempt.
        count: u32,
    },
}

/// How an upstream ended a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
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
    Ask(ColdStartRequest),
}

/// Requests that wait for one pool.
#[derive(Debug, Default)]
struct Pool {
    queue: FairQueue,
    service: ServiceTimes,
    in_flight: u32,
    interactive: u32,
    interactive_peak: u32,
    asked_ms: Option<u64>,
    expected_ms: Option<u64>,
    /// Whether the waiting requests found no replica.
    cold: bool,
    used: bool,
}

/// State of the dispatch duty.
#[derive(Debug)]
pub struct Core {
    config: Arc<Config>,
    replicas: Replicas,
    plain: PlainUpstreams,
    cells: Cells,
    pools: Table<PoolKey, Pool>,
    pool_of: Table<u64, PoolKey>,
    waiting_by_partner: Table<String, usize>,
    limits: Table<String, ShareLimit>,
    budget: RetryBudget,
    instances: u64,
    rng: SmallRng,
}

impl Core {
    /// Returns the state of an instance in `domain`; `seed` fixes its random choices.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            config: Arc::new(Config::empty()),
            replicas: Replicas::new(domain),
            plain: PlainUpstreams::default(),
            cells: Cells::new(domain),
            pools: Table::new(),
            pool_of: Table::new(),
            waiting_by_partner: Table::new(),
            limits: Table::new(),
            budget: RetryBudget::default(),
            instances: 1,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the view of the replicas.
    pub fn replicas(&mut self) -> &mut Replicas {
        &mut self.replicas
    }

    /// Returns the view of the plain upstreams.
    pub fn plain(&mut self) -> &mut PlainUpstreams {
        &mut self.plain
    }

    /// Returns the view of the cells.
    pub fn cells(&mut self) -> &mut Cells {
        &mut self.cells
    }

    /// Takes over a configuration.
    pub fn on_config(&mut self, config: Arc<Config>) {
        let partners = &config.partners;
        self.limits.retain(|name, limit| {
            partners.get(name).is_some_and(|p| p.limit_tokens_per_s == limit.rate_per_s())
        });
        self.config = config;
    }

    /// Takes over the number of instances that share the partners' limits.
    pub fn on_instances(&mut self, instances: u64) {
        self.instances = instances.max(1);
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
            let report = Report {
                incarnation,
                admitted: total.tokens,
                asked: total.requested_tokens,
                asked_per_s: total.requested_per_s,
                part_ppm: total.share_ppm,
            };
            if let Some(limit) = self.limit_of(&total.partner, now_ms) {
                limit.on_report(from, report, now_ms);
            }
        }
    }

    /// Divides the limits anew and returns the own totals to tell the others.
    pub fn exchange(&mut self, now_ms: u64) -> Vec<AdmittedTotal> {
        let instances = self.instances;
        self.limits
            .iter_mut()
            .map(|(partner, limit)| {
                limit.on_exchange(instances, now_ms);
                let report = limit.report(0);
                AdmittedTotal {
                    partner: partner.clone(),
                    tokens: report.admitted,
                    requested_tokens: report.asked,
                    requested_per_s: report.asked_per_s,
                    share_ppm: report.part_ppm,
                }
            })
            .collect()
    }

    fn limit_of(&mut self, partner: &str, now_ms: u64) -> Option<&mut ShareLimit> {
        let rate_per_s = self.config.partners.get(partner)?.limit_tokens_per_s;
        if rate_per_s == 0 {
            return None;
        }
        let instances = self.instances;
        let make = || ShareLimit::new(rate_per_s, instances, now_ms);
        Some(self.limits.get_or_insert_with(partner.to_owned(), make))
    }

    /// Takes a request in: it is granted, queued or refused.
    pub fn on_submit(&mut self, submit: Submit, now_ms: u64) -> Vec<Action> {
        let ticket = submit.ticket;
        if let Err(refusal) = self.check(&submit, now_ms) {
            return vec![Action::Refuse { ticket, refusal }];
        }
        let share_pct = self.config.partners.get(&submit.partner).map_or(1, |p| p.share_pct);
        let exclude = match submit.attempt {
            Attempt::First => Vec::new(),
            Attempt::Reroute { exclude, .. } | Attempt::Retry { exclude, .. } => exclude,
        };
        let waiting = Waiting {
            ticket,
            partner: submit.partner.clone(),
            share_pct,
            priority: submit.priority,
            cost_tokens: submit.cost_tokens.max(1),
            arrived_ms: now_ms,
            deadline_ms: submit.deadline_ms,
            exclude,
        };
        let key = submit.pool;
        let pool = self.pools.get_or_insert_with(key.clone(), Pool::default);
        pool.used = true;
        pool.queue.push(waiting);
        self.pool_of.insert(ticket, key.clone());
        *self.waiting_by_partner.get_or_insert_with(submit.partner, || 0) += 1;
        let mut actions = self.pump(&key, now_ms);
        self.ask_if_due(&key, now_ms, &mut actions);
        actions
    }

    fn check(&mut self, submit: &Submit, now_ms: u64) -> Result<(), Refusal> {
        match &submit.attempt {
            Attempt::First => {
                self.budget.on_fresh();
                self.check_queue(submit)?;
                self.check_deadline(submit, now_ms)?;
                self.check_limit(submit, now_ms)
            }
            Attempt::Reroute { count, .. } if *count > MAX_REROUTES => {
                Err(Refusal::new(Code::NoUpstream, DEFAULT_RETRY_MS))
            }
            Attempt::Reroute { .. } => Ok(()),
            Attempt::Retry { count, .. } => {
                if *count > MAX_REROUTES || !self.budget.take() {
                    return Err(Refusal::new(Code::RetriesExhausted, DEFAULT_RETRY_MS));
                }
                Ok(())
            }
        }
    }

    fn check_queue(&self, submit: &Submit) -> Result<(), Refusal> {
        let waiting = self.waiting_by_partner.get(&submit.partner).copied().unwrap_or(0);
        let queue_max = self.config.partners.get(&submit.partner).map_or(0, |p| p.queue_max);
        if waiting >= queue_max {
            return Err(Refusal::new(Code::QueueFull, QUEUE_FULL_RETRY_MS));
        }
        Ok(())
    }

    /// Refuses a request whose predicted end lies behind its deadline.
    fn check_deadline(&self, submit: &Submit, now_ms: u64) -> Result<(), Refusal> {
        let Some(pool) = self.pools.get(&submit.pool) else { return Ok(()) };
        let share_pct = self.config.partners.get(&submit.partner).map_or(1, |p| p.share_pct);
        let ahead = pool.queue.ahead(&submit.partner, share_pct, submit.priority);
        let slots = match &submit.pool {
            PoolKey::Target(target) => self.replicas.certain_slots(target),
            PoolKey::Plain(_) => 1,
        };
        let cold_ms = pool.expected_ms.map_or(0, |at| at.saturating_sub(now_ms));
        let wait_ms = if pool.queue.is_empty() && cold_ms == 0 {
            0
        } else {
            cold_ms + pool.service.wait_ms(ahead, slots.max(u64::from(pool.in_flight)))
        };
        let end_ms = now_ms + wait_ms + pool.service.expected_ms(submit.cost_tokens);
        if wait_ms > 0 && end_ms > submit.deadline_ms {
            let over_ms = end_ms - submit.deadline_ms;
            return Err(Refusal::new(Code::DeadlineUnreachable, over_ms.max(100)));
        }
        Ok(())
    }

    fn check_limit(&mut self, submit: &Submit, now_ms: u64) -> Result<(), Refusal> {
        let Some(limit) = self.limit_of(&submit.partner, now_ms) else { return Ok(()) };
        limit
            .admit(submit.cost_tokens, now_ms)
            .map_err(|retry_ms| Refusal::new(Code::RateLimited, retry_ms.max(1)))
    }

    /// Ends a request at its upstream and lets the next ones go.
    pub fn on_done(
        &mut self,
        pool: &PoolKey,
        upstream: &str,
        interactive: bool,
        ended: Ended,
        now_ms: u64,
    ) -> Vec<Action> {
        let broken = ended == Ended::Broken;
        match pool {
            PoolKey::Plain(_) => self.plain.on_done(upstream, broken, now_ms),
            PoolKey::Target(target) => {
                self.replicas.on_done(upstream, interactive, broken, now_ms);
                match ended {
                    Ended::NotResident => self.replicas.on_not_resident(upstream, target),
                    Ended::Leaving => self.replicas.on_leaving(upstream),
                    _ => {}
                }
            }
        }
        if let Some(state) = self.pools.get_mut(pool) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.interactive = state.interactive.saturating_sub(u32::from(interactive));
            if let Ended::Whole { took_ms, tokens } = ended {
                state.service.observe(took_ms, tokens);
            }
        }
        // A finished request may make room for any target on the same worker.
        self.pump_all(now_ms)
    }

    /// Removes a request whose caller has left.
    pub fn on_cancel(&mut self, ticket: u64) {
        let Some(key) = self.pool_of.remove(&ticket) else { return };
        let removed = self.pools.get_mut(&key).and_then(|pool| pool.queue.remove(ticket));
        if let Some(waiting) = removed {
            self.count_out(&waiting.partner);
        }
    }

    /// Takes over a lead's answer about `target` in `cell`.
    pub fn on_progress(&mut self, cell: &str, target: &Target, progress: Progress, now_ms: u64) {
        match progress {
            Progress::NoCapacity => self.cells.on_no_room(cell, target, now_ms),
            Progress::Expected { eta_ms } => {
                if let Some(pool) = self.pools.get_mut(&PoolKey::Target(target.clone())) {
                    pool.expected_ms = Some(now_ms + eta_ms);
                }
            }
            Progress::Resident | Progress::NotLead => {}
        }
    }

    /// Refuses what cannot be served in time, lets go what can, asks for what is missing.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.refuse_late(now_ms);
        let keys: Vec<PoolKey> = self.waiting_pools();
        for key in keys {
            actions.extend(self.pump(&key, now_ms));
            self.ask_if_due(&key, now_ms, &mut actions);
        }
        actions
    }

    /// Lets go what can go in all pools.
    pub fn pump_all(&mut self, now_ms: u64) -> Vec<Action> {
        let keys = self.waiting_pools();
        keys.iter().flat_map(|key| self.pump(key, now_ms)).collect()
    }

    fn waiting_pools(&self) -> Vec<PoolKey> {
        let waiting = self.pools.iter().filter(|(_, pool)| !pool.queue.is_empty());
        waiting.map(|(key, _)| key.clone()).collect()
    }

    fn refuse_late(&mut self, now_ms: u64) -> Vec<Action> {
        let mut late = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            let service = pool.service;
            let ready_ms = pool.expected_ms.map_or(now_ms, |at| at.max(now_ms));
            late.extend(pool.queue.drain(|w| {
                let end_ms = ready_ms + service.expected_ms(w.cost_tokens).max(REFUSE_AHEAD_MS);
                end_ms > w.deadline_ms
            }));
        }
        late.into_iter().map(|w| self.refuse(&w, Code::DeadlineUnreachable)).collect()
    }

    fn refuse(&mut self, waiting: &Waiting, code: Code) -> Action {
        self.pool_of.remove(&waiting.ticket);
        self.count_out(&waiting.partner);
        Action::Refuse { ticket: waiting.ticket, refusal: Refusal::new(code, DEFAULT_RETRY_MS) }
    }

    fn count_out(&mut self, partner: &str) {
        if let Some(count) = self.waiting_by_partner.get_mut(partner) {
            *count = count.saturating_sub(1);
        }
    }

    fn pump(&mut self, key: &PoolKey, now_ms: u64) -> Vec<Action> {
        let mut granted = Vec::new();
        let Some(pool) = self.pools.get_mut(key) else { return Vec::new() };
        let slots = match key {
            PoolKey::Plain(service) => self.config.services.get(service).map_or(0, |s| s.slots),
            PoolKey::Target(_) => 0,
        };
        let service_ms = pool.service.mean_ms();
        loop {
            let (replicas, plain, rng) = (&mut self.replicas, &mut self.plain, &mut self.rng);
            let popped = pool.queue.pop(service_ms, now_ms, |waiting| match key {
                PoolKey::Target(target) => choose_replica(replicas, target, waiting, rng, now_ms),
                PoolKey::Plain(service) => {
                    plain.choose(service, slots, &waiting.exclude, rng, now_ms)
                }
            });
            let Some((waiting, choice)) = popped else { break };
            pool.in_flight += 1;
            pool.interactive += u32::from(waiting.priority == Priority::Interactive);
            pool.interactive_peak = pool.interactive_peak.max(pool.interactive);
            pool.expected_ms = None;
            let cold_wait_ms = pool.cold.then(|| now_ms.saturating_sub(waiting.arrived_ms));
            granted.push((waiting, choice, cold_wait_ms));
        }
        pool.cold &= !pool.queue.is_empty();
        granted
            .into_iter()
            .map(|(waiting, choice, cold_wait_ms)| {
                self.pool_of.remove(&waiting.ticket);
                self.count_out(&waiting.partner);
                Action::Grant { ticket: waiting.ticket, choice, cold_wait_ms }
            })
            .collect()
    }

    fn ask_if_due(&mut self, key: &PoolKey, now_ms: u64, actions: &mut Vec<Action>) {
        let PoolKey::Target(target) = key else { return };
        let Some(pool) = self.pools.get_mut(key) else { return };
        let due = pool.asked_ms.is_none_or(|at| now_ms >= at + ASK_PERIOD_MS);
        if pool.queue.is_empty() || !due {
            return;
        }
        let Some(model) = self.config.models.get(&target.model) else { return };
        let interactive = pool.queue.iter().any(|w| w.priority == Priority::Interactive);
        let availability = self.replicas.availability(target, interactive, now_ms);
        if availability == Availability::Free {
            return;
        }
        let Some(home) = self.cells.home(&model.service, target, now_ms) else { return };
        pool.asked_ms = Some(now_ms);
        pool.cold |= availability == Availability::Cold;
        let earliest_ms = pool.queue.iter().map(|w| w.deadline_ms).min().unwrap_or(now_ms);
        let ask = ColdStartRequest {
            cell: home.cell.clone(),
            target: target.clone(),
            waiting: pool.queue.len() as u32,
            deadline_in_ms: earliest_ms.saturating_sub(now_ms),
            cold: availability == Availability::Cold,
        };
        actions.push(Action::Ask(ask));
    }

    /// Returns the targets used since the last call, or in use.
    pub fn take_used(&mut self) -> Vec<TargetUsage> {
        let mut used = Vec::new();
        for (key, pool) in self.pools.iter_mut() {
            let PoolKey::Target(target) = key else { continue };
            if pool.used || pool.in_flight > 0 || !pool.queue.is_empty() {
                pool.used = false;
                used.push(TargetUsage {
                    target: target.clone(),
                    in_flight: pool.in_flight,
                    waiting: pool.queue.len() as u32,
                    interactive_peak: pool.interactive_peak,
                });
                pool.interactive_peak = pool.interactive;
            }
        }
        used
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
    replicas: &mut Replicas,
    target: &Target,
    waiting: &Waiting,
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
