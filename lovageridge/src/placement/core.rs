//! Decisions of a cell's lead. This module does no I/O; events and the clock are passed in.
//!
//! The lead fences a worker and reads its state before it sends it orders. It has at most one call
//! outstanding to each worker, so orders reach a worker in the order of their fencing numbers.

mod calls;
mod plan;

use crate::document::Config;
use crate::document::Target;
use crate::infra::list::ListedInstance;
use crate::leadership::claimant::HeldEpoch;
use crate::leadership::claimant::OrderPermission;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::call::Purpose;
use crate::placement::call::fencing_number;
use crate::placement::demand::Demand;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::load_limiter::LoadLimiter;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::sorted::Table;
use crate::upstream::engine::Phase;
use crate::wire::ColdStartRequest;
use crate::wire::Progress;
use crate::wire::StoreUsage;
use crate::wire::UsageReport;

/// Time between state reads of a worker that is loading or unloading, in ms.
const ACTIVE_POLL_PERIOD_MS: u64 = 40;
/// Consecutive calls without a response after which a worker's replicas no longer count.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Longest time that an order may take to reach a worker, in ms.
pub const ORDER_TRANSIT_MAX_MS: u64 = 2500;

/// At most a worker's slots divided by this number are reserved for interactive requests.
const RESERVED_SLOTS_DIVISOR: u32 = 4;
/// Time without requests after which a model counts as idle, in ms.
const IDLE_AFTER_MS: u64 = 1000;

/// A load that takes longer than this multiple of the usual reload time is taken to have read the
/// weights from the store rather than from the worker's cached copy.
const RELOAD_TOLERANCE_FACTOR: u64 = 2;

/// Action that the planner requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a worker.
    Call(Call),
    /// Append a record to the cell's decision log.
    Append(Record),
}

/// Counters of decisions and finished loads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Loads decided.
    pub loads_decided: u64,
    /// Replicas evicted to free memory for another load.
    pub evictions: u64,
    /// Replicas unloaded after their keep-alive time.
    pub idle_unloads: u64,
    /// Loads that have finished.
    pub loads_finished: u64,
    /// Total duration of finished loads, in ms.
    pub load_time_sum_ms: u64,
}

/// Planner for one cell that this instance leads.
#[derive(Debug)]
pub struct CellPlanner {
    cell: String,
    held_epoch: HeldEpoch,
    checks_fencing: bool,
    sequence: u64,
    workers: Table<String, Worker>,
    demand: Demand,
    load_limiter: LoadLimiter,
    load_started_ms: Table<(String, Target), u64>,
    no_capacity_until_ms: Table<Target, u64>,
    last_load_decided_ms: Table<String, u64>,
    pending_unloads: Vec<(String, Target)>,
    fenced_out: bool,
    totals: Totals,
}

/// Input of a tick in addition to the planner's state.
#[derive(Clone, Copy, Debug)]
pub struct TickInput<'a> {
    /// Current configuration.
    pub config: &'a Config,
    /// Use of the weight store by other instances and by the other cells that this instance leads.
    pub other_usage: &'a [StoreUsage],
    /// Whether orders may be sent.
    pub permission: OrderPermission,
    /// Current time, in ms.
    pub now_ms: u64,
}

impl CellPlanner {
    /// Returns the planner of a lead that has just acquired an epoch of `cell`.
    ///
    /// `unsettled` holds the decisions of earlier leads whose result is unknown. Each reserves its
    /// memory until a state read after the latest possible arrival of its order shows whether the
    /// worker has the replica. Engines that check fencing refuse such orders, so nothing is
    /// reserved for them.
    pub fn new(
        cell: impl Into<String>,
        held: HeldEpoch,
        checks_fencing: bool,
        unsettled: &[LoadDecision],
    ) -> Self {
        let mut planner = Self {
            cell: cell.into(),
            held_epoch: held,
            checks_fencing,
            sequence: 0,
            workers: Table::new(),
            demand: Demand::default(),
            load_limiter: LoadLimiter::default(),
            load_started_ms: Table::new(),
            no_capacity_until_ms: Table::new(),
            last_load_decided_ms: Table::new(),
            pending_unloads: Vec::new(),
            fenced_out: false,
            totals: Totals::default(),
        };
        if !checks_fencing {
            planner.inherit_reservations(unsettled);
        }
        planner
    }

    fn inherit_reservations(&mut self, unsettled: &[LoadDecision]) {
        let settled_after_ms = self.held_epoch.prior_lease_end_ms + ORDER_TRANSIT_MAX_MS;
        for (at, load) in unsettled.iter().enumerate() {
            let unknown = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
            let id = load.worker.clone();
            let worker =
                self.workers.get_or_insert_with(id, || Worker::new(load.worker.clone(), unknown));
            worker.reservations.push(Reservation {
                // Decisions of this epoch count up from 0, so inherited ones count down from the
                // maximum.
                sequence: u64::MAX - at as u64,
                target: load.target.clone(),
                size_mb: load.size_mb,
                accelerators: load.accelerators.clone(),
                stage: Stage::Inherited { settled_after_ms },
                decided_ms: 0,
                deadline_ms: u64::MAX,
            });
        }
    }

    /// Returns the name of the cell.
    pub fn cell(&self) -> &str {
        &self.cell
    }

    /// Returns the epoch under which this lead orders.
    pub fn epoch(&self) -> u64 {
        self.held_epoch.epoch
    }

    /// Returns the held epoch with the end of the earlier lease.
    pub fn held_epoch(&self) -> HeldEpoch {
        self.held_epoch
    }

    /// Returns whether the engines of the cell check fencing numbers.
    pub fn checks_fencing(&self) -> bool {
        self.checks_fencing
    }

    /// Returns whether a worker has refused an order because it has accepted a higher fencing
    /// number.
    pub fn is_fenced_out(&self) -> bool {
        self.fenced_out
    }

    /// Returns the counters since this lead started.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the workers in order of name.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Updates the workers of the cell from the platform's list.
    ///
    /// A worker that is no longer listed was reclaimed by the platform and is removed with its
    /// ledger.
    pub fn on_list<'a>(
        &mut self,
        listed: impl IntoIterator<Item = &'a ListedInstance>,
        now_ms: u64,
    ) {
        let mut present = Vec::new();
        for upstream in listed {
            present.push(upstream.id.clone());
            let worker = self.workers.get_or_insert_with(upstream.id.clone(), || {
                Worker::new(&upstream.id, upstream.addr)
            });
            if worker.addr != upstream.addr {
                worker.addr = upstream.addr;
                worker.fenced_epoch = 0;
            }
            worker.listed_leaving = upstream.leaving;
        }
        present.sort_unstable();
        self.workers.retain(|id, worker| {
            let listed = present.binary_search(id).is_ok();
            worker.listed_leaving |= !listed;
            // The ledger of an unlisted worker is kept while an order may still reach it.
            let has_open_orders =
                !worker.reservations.is_empty() && worker.failures < UNREACHABLE_AFTER_FAILURES;
            listed || has_open_orders
        });
        let workers = &self.workers;
        self.load_started_ms.retain(|(id, _), _| workers.contains(id));
        self.demand.expire(now_ms);
    }

    /// Records callers waiting at the instance `from` and returns what they can expect.
    pub fn on_cold_start_request(
        &mut self,
        config: &Config,
        from: &str,
        request: &ColdStartRequest,
        now_ms: u64,
    ) -> Progress {
        self.demand.on_cold_start_request(from, request, now_ms);
        self.progress(config, &request.target, now_ms)
    }

    /// Records the requests in progress at the instance `from`.
    pub fn on_usage_report(&mut self, from: &str, report: &UsageReport, now_ms: u64) {
        self.demand.on_usage_report(from, report, now_ms);
    }

    /// Records that the log has confirmed the decision with `sequence`.
    pub fn on_logged(&mut self, sequence: u64) {
        for (_, worker) in self.workers.iter_mut() {
            for reservation in &mut worker.reservations {
                if reservation.sequence == sequence && reservation.stage == Stage::Planned {
                    reservation.stage = Stage::Logged;
                }
            }
        }
    }

    /// Applies the result of a call and returns the records to append.
    pub fn on_call_result(
        &mut self,
        config: &Config,
        result: CallResult,
        now_ms: u64,
    ) -> Vec<Record> {
        let Some(worker) = self.workers.get_mut(&result.worker) else { return Vec::new() };
        // A call of an earlier epoch is not the one that is outstanding now.
        if result.epoch != self.held_epoch.epoch {
            return Vec::new();
        }
        worker.call_started_ms = None;
        match result.result {
            Ok(state) => {
                // A restarted worker has lost its fencing number and must be fenced again.
                let lost_fence =
                    self.checks_fencing && state.fence < fencing_number(self.held_epoch.epoch, 0);
                if lost_fence {
                    worker.fenced_epoch = 0;
                }
                let settled = worker.apply_state(state, result.started_ms);
                if result.purpose == Purpose::Fence && !lost_fence {
                    worker.fenced_epoch = self.held_epoch.epoch;
                }
                let id = result.worker;
                self.track_loads(config, &id, now_ms);
                settled.iter().filter_map(|r| self.settled_record_of(r)).collect()
            }
            Err(failure) => self.on_call_failure(&result.worker, &result.purpose, failure, now_ms),
        }
    }

    fn settled_record_of(&self, reservation: &Reservation) -> Option<Record> {
        let inherited = matches!(reservation.stage, Stage::Inherited { .. });
        (!inherited).then_some(Record::Settled {
            epoch: self.held_epoch.epoch,
            sequence: reservation.sequence,
        })
    }

    fn on_call_failure(
        &mut self,
        id: &str,
        purpose: &Purpose,
        failure: Failure,
        now_ms: u64,
    ) -> Vec<Record> {
        let Some(worker) = self.workers.get_mut(id) else { return Vec::new() };
        match failure {
            Failure::Fenced => {
                self.fenced_out = true;
                worker.fenced_epoch = 0;
            }
            Failure::Refused => {}
            Failure::NotSent | Failure::NoAnswer => {
                worker.failures += 1;
                worker.last_failure_ms = now_ms;
            }
        }
        if let Purpose::Unload { target } = purpose
            && matches!(failure, Failure::Fenced | Failure::Refused)
        {
            // After any other failure the unload stays pending and is ordered again.
            self.pending_unloads
                .retain(|(worker_id, pending)| worker_id != id || pending != target);
        }
        let Purpose::Load { sequence } = *purpose else { return Vec::new() };
        match failure {
            // The order may still arrive or may have been carried out: keep the reservation and
            // order the load again.
            Failure::NoAnswer => Vec::new(),
            // An earlier attempt of the same order may have arrived; only a refusal settles it.
            Failure::NotSent => Vec::new(),
            Failure::Fenced | Failure::Refused => {
                worker.reservations.retain(|r| r.sequence != sequence);
                vec![Record::Settled { epoch: self.held_epoch.epoch, sequence }]
            }
        }
    }

    /// Records when loads on the worker `id` start and finish.
    fn track_loads(&mut self, config: &Config, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        for held in &worker.state.held {
            let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
            self.demand.start_tracking(&target, now_ms);
            let key = (id.to_owned(), target);
            if held.phase == Phase::Loading {
                self.load_started_ms.get_or_insert_with(key, || now_ms);
            } else if let Some(started_ms) = self.load_started_ms.remove(&key) {
                let took_ms = now_ms - started_ms;
                self.totals.loads_finished += 1;
                self.totals.load_time_sum_ms += took_ms;
                self.demand.record_use(&key.1, now_ms);
                if let Some(model) = config.models.get(&held.model)
                    && held.adapter.is_none()
                    && took_ms > model.reload_ms * RELOAD_TOLERANCE_FACTOR
                {
                    self.load_limiter.on_finish(took_ms, model.load_ms);
                }
            }
        }
        let worker_id = id;
        let is_gone = |target: &Target| worker.held(target).is_none();
        self.load_started_ms.retain(|(id, target), _| id != worker_id || !is_gone(target));
    }

    /// Returns the slots of `worker` to keep free for interactive requests.
    pub fn reserved_slots(&self, worker: &Worker) -> u32 {
        let models = worker.state.held.iter().filter(|h| h.adapter.is_none());
        let demanded_slots: u32 = models
            .map(|held| {
                let base = Target { model: held.model.clone(), adapter: None };
                let replicas =
                    self.usable_workers().filter(|w| w.is_resident(&base)).count().max(1);
                self.demand.interactive_peak(&held.model).div_ceil(replicas as u32)
            })
            .sum();
        demanded_slots.min(worker.state.slots as u32 / RESERVED_SLOTS_DIVISOR)
    }

    /// Returns the number of accelerators that hold an idle model, counted once for each model.
    pub fn idle_accelerators(&self, now_ms: u64) -> u64 {
        let mut idle = 0;
        for held in self.workers.values().flat_map(|w| w.state.held.iter()) {
            let target = Target { model: held.model.clone(), adapter: None };
            let unused = held.adapter.is_none()
                && held.phase == Phase::Resident
                && self.demand.idle_ms(&target, now_ms) >= IDLE_AFTER_MS;
            if unused {
                idle += held.accelerators.len() as u64;
            }
        }
        idle
    }

    /// Returns the loads of this cell that use or wait for the weight store.
    pub fn store_usage(&self) -> StoreUsage {
        let mut store = StoreUsage::default();
        for worker in self.workers.values() {
            for held in worker.state.held.iter().filter(|h| h.phase == Phase::Loading) {
                match held.adapter {
                    None if worker.has_checkpoint(&held.model) => {}
                    None => store.loads_in_flight += 1,
                    Some(_) => store.adapters_in_flight += 1,
                }
            }
            for reservation in &worker.reservations {
                let local = worker.has_checkpoint(&reservation.target.model);
                match (&reservation.target.adapter, reservation.stage) {
                    (None, _) if local => {}
                    (None, Stage::Sent) => store.loads_in_flight += 1,
                    (None, Stage::Planned | Stage::Logged) => store.loads_waiting += 1,
                    (Some(_), Stage::Sent) => store.adapters_in_flight += 1,
                    _ => {}
                }
            }
        }
        store
    }

    /// Returns what a caller that waits for `target` can expect.
    pub fn progress(&self, config: &Config, target: &Target, now_ms: u64) -> Progress {
        if self.usable_workers().any(|w| w.is_resident(target)) {
            return Progress::Resident;
        }
        if self.no_capacity_until_ms.contains(target) {
            return Progress::NoCapacity;
        }
        let model = Target { model: target.model.clone(), adapter: None };
        let load_ms = self.min_load_ms(config, &target.model);
        if self.usable_workers().any(|w| w.is_resident(&model)) {
            return Progress::Expected { eta_ms: ACTIVE_POLL_PERIOD_MS };
        }
        let load_in_progress = self.load_started_ms.iter().find(|((_, t), _)| *t == model);
        let eta_ms = match load_in_progress {
            Some((_, started_ms)) => (started_ms + load_ms).saturating_sub(now_ms),
            None => load_ms + self.store_wait_ms(config, load_ms),
        };
        Progress::Expected { eta_ms }
    }

    /// Returns the shortest usual load time of the model `name` on any worker, in ms.
    fn min_load_ms(&self, config: &Config, name: &str) -> u64 {
        let Some(model) = config.models.get(name) else { return 0 };
        self.usable_workers().map(|w| w.load_ms(name, model)).min().unwrap_or(model.load_ms)
    }

    /// Returns the expected wait of a new load for the weight store, in ms.
    fn store_wait_ms(&self, config: &Config, load_ms: u64) -> u64 {
        let store = self.store_usage();
        let loads_ahead = u64::from(store.loads_in_flight + store.loads_waiting);
        (loads_ahead / config.venture.store_slots.max(1)) * load_ms
    }

    fn usable_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| w.failures < UNREACHABLE_AFTER_FAILURES && !w.is_leaving())
    }

    /// Plans loads and unloads and returns the calls and log records that are due.
    pub fn tick(&mut self, input: &TickInput<'_>) -> Vec<Action> {
        self.demand.expire(input.now_ms);
        self.no_capacity_until_ms.retain(|_, until_ms| *until_ms > input.now_ms);
        self.drop_obsolete_unloads();
        let mut actions = Vec::new();
        self.cancel_blocked(input.now_ms, &mut actions);
        if input.permission != OrderPermission::Wait {
            self.plan_loads(input, &mut actions);
            self.plan_idle_unloads(input);
        }
        self.call_workers(input, &mut actions);
        actions
    }

    /// Drops unloads that have been carried out, and those of replicas that are in use again if no
    /// load waits for their memory.
    fn drop_obsolete_unloads(&mut self) {
        let (workers, demand) = (&self.workers, &self.demand);
        self.pending_unloads.retain(|(id, target)| {
            let Some(worker) = workers.get(id) else { return false };
            let memory_needed = !worker.reservations.is_empty();
            worker.is_resident(target) && (memory_needed || !demand.is_busy(target))
        });
    }
}
