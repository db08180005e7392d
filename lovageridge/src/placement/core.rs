//! Decisions of a cell's lead; pure state, driven by events and time.
//!
//! The lead fences a worker, then reads it, then orders. It has at most one call outstanding to
//! each worker, so orders reach a worker in the order of their fencing numbers.

mod calls;
mod plan;

use crate::document::Config;
use crate::document::Target;
use crate::infra::list::Listed;
use crate::leadership::claimant::Held as HeldEpoch;
use crate::leadership::claimant::Permission;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::call::Purpose;
use crate::placement::call::fence_number;
use crate::placement::demand::Demand;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::pace::Pace;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::sorted::Table;
use crate::upstream::engine::Phase;
use crate::wire::ColdAsk;
use crate::wire::Progress;
use crate::wire::StoreUse;
use crate::wire::UseReport;

/// Time between reads of a worker that loads or unloads, in ms.
const POLL_ACTIVE_MS: u64 = 40;
/// Consecutive failed calls after which a worker's replicas no longer count.
const UNREACHABLE_FAILURES: u32 = 3;
/// Time for which an order may be on its way to a worker, in ms.
pub const ORDER_LIFE_MS: u64 = 2500;

/// Part of a worker's slots that is reserved for interactive requests at most.
const RESERVED_PART: u32 = 4;
/// Time without use after which a model counts as idle, in ms.
const IDLE_AFTER_MS: u64 = 1000;

/// Multiple of the usual time from host memory beyond which a load came from the store.
const RELOAD_TOLERANCE: u64 = 2;

/// What the lead wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a worker.
    Call(Call),
    /// Append a record to the cell's decisions.
    Append(Record),
}

/// Counters of what was decided and seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Loads decided.
    pub loads_decided: u64,
    /// Replicas given up to make room.
    pub evictions: u64,
    /// Replicas given up after their keep-alive.
    pub idle_unloads: u64,
    /// Loads seen to finish.
    pub loads_finished: u64,
    /// Sum of the times of finished loads, in ms.
    pub load_sum_ms: u64,
}

/// State of one led cell.
#[derive(Debug)]
pub struct Core {
    cell: String,
    held: HeldEpoch,
    checks_fencing: bool,
    sequence: u64,
    workers: Table<String, Worker>,
    demand: Demand,
    pace: Pace,
    loading_since: Table<(String, Target), u64>,
    no_room: Table<Target, u64>,
    scaled: Table<String, u64>,
    unload: Vec<(String, Target)>,
    fenced_out: bool,
    totals: Totals,
}

/// What the lead goes by at a tick, apart from its own state.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Use of the weight store by other instances, and by other cells of this one.
    pub others: &'a [StoreUse],
    /// Whether orders may go out.
    pub permission: Permission,
    /// Time, in ms.
    pub now_ms: u64,
}

impl Core {
    /// Returns the state of a lead that has just gained `held` for `cell`.
    ///
    /// `undone` are the predecessors' decisions that are not settled; each is counted as loaded
    /// until a read after every earlier order's life shows that it is not.
    pub fn new(
        cell: impl Into<String>,
        held: HeldEpoch,
        checks_fencing: bool,
        undone: &[LoadDecision],
    ) -> Self {
        let mut core = Self {
            cell: cell.into(),
            held,
            checks_fencing,
            sequence: 0,
            workers: Table::new(),
            demand: Demand::default(),
            pace: Pace::default(),
            loading_since: Table::new(),
            no_room: Table::new(),
            scaled: Table::new(),
            unload: Vec::new(),
            fenced_out: false,
            totals: Totals::default(),
        };
        if !checks_fencing {
            core.inherit(undone);
        }
        core
    }

    fn inherit(&mut self, undone: &[LoadDecision]) {
        let settled_after_ms = self.held.prior_lease_over_ms + ORDER_LIFE_MS;
        for (at, load) in undone.iter().enumerate() {
            let unknown = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
            let id = load.worker.clone();
            let worker =
                self.workers.get_or_insert_with(id, || Worker::new(load.worker.clone(), unknown));
            worker.reservations.push(Reservation {
                // Numbers of this epoch count up from 0; inherited ones count down from the top.
                sequence: u64::MAX - at as u64,
                target: load.target.clone(),
                size_mb: load.size_mb,
                accelerators: load.accelerators.clone(),
                stage: Stage::Inherited { settled_after_ms },
                made_ms: 0,
                deadline_ms: u64::MAX,
            });
        }
    }

    /// Returns the name of the cell.
    pub fn cell(&self) -> &str {
        &self.cell
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        self.held.epoch
    }

    /// Returns the held epoch with its waiting time.
    pub fn held(&self) -> HeldEpoch {
        self.held
    }

    /// Tells whether the engines check fencing.
    pub fn checks_fencing(&self) -> bool {
        self.checks_fencing
    }

    /// Tells whether a worker has refused an order for an old fencing number.
    pub fn is_fenced_out(&self) -> bool {
        self.fenced_out
    }

    /// Returns the counters.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the workers in order of name.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Takes over the workers of the cell from the list.
    ///
    /// A worker that left the list is forgotten with its ledger; the platform has reclaimed it.
    pub fn on_list<'a>(&mut self, listed: impl IntoIterator<Item = &'a Listed>, now_ms: u64) {
        let mut present = Vec::new();
        for upstream in listed {
            present.push(upstream.id.clone());
            let worker = self.workers.get_or_insert_with(upstream.id.clone(), || {
                Worker::new(&upstream.id, upstream.addr)
            });
            if worker.addr != upstream.addr {
                worker.addr = upstream.addr;
                worker.ready_epoch = 0;
            }
            worker.listed_leaving = upstream.leaving;
        }
        present.sort_unstable();
        self.workers.retain(|id, worker| {
            let listed = present.binary_search(id).is_ok();
            worker.listed_leaving |= !listed;
            // An order that may be on its way keeps the ledger of a worker that is not listed.
            let open = !worker.reservations.is_empty() && worker.failures < UNREACHABLE_FAILURES;
            listed || open
        });
        let workers = &self.workers;
        self.loading_since.retain(|(id, _), _| workers.contains(id));
        self.demand.expire(now_ms);
    }

    /// Counts callers that wait at the instance `from` and tells what to expect.
    pub fn on_ask(&mut self, config: &Config, from: &str, ask: &ColdAsk, now_ms: u64) -> Progress {
        self.demand.on_ask(from, ask, now_ms);
        self.progress(config, &ask.target, now_ms)
    }

    /// Counts requests in progress at the instance `from`.
    pub fn on_use(&mut self, from: &str, report: &UseReport, now_ms: u64) {
        self.demand.on_use(from, report, now_ms);
    }

    /// Notes that the decision with `sequence` stands in the log.
    pub fn on_logged(&mut self, sequence: u64) {
        for (_, worker) in self.workers.iter_mut() {
            for reservation in &mut worker.reservations {
                if reservation.sequence == sequence && reservation.stage == Stage::Planned {
                    reservation.stage = Stage::Logged;
                }
            }
        }
    }

    /// Takes over the result of a call; returns records to append.
    pub fn on_result(&mut self, config: &Config, result: CallResult, now_ms: u64) -> Vec<Record> {
        let Some(worker) = self.workers.get_mut(&result.worker) else { return Vec::new() };
        // An answer to a call of an earlier epoch says nothing about the call that is outstanding.
        if result.epoch != self.held.epoch {
            return Vec::new();
        }
        worker.busy_since_ms = None;
        match result.result {
            Ok(state) => {
                // A worker that has restarted has forgotten its fencing number: fence it again.
                let forgot = self.checks_fencing && state.fence < fence_number(self.held.epoch, 0);
                if forgot {
                    worker.ready_epoch = 0;
                }
                let settled = worker.on_state(state, result.begun_ms);
                if result.purpose == Purpose::Fence && !forgot {
                    worker.ready_epoch = self.held.epoch;
                }
                let id = result.worker;
                self.note_loads(config, &id, now_ms);
                settled.iter().filter_map(|r| self.settled_record(r)).collect()
            }
            Err(failure) => self.on_failure(&result.worker, &result.purpose, failure, now_ms),
        }
    }

    fn settled_record(&self, reservation: &Reservation) -> Option<Record> {
        let inherited = matches!(reservation.stage, Stage::Inherited { .. });
        (!inherited)
            .then_some(Record::Settled { epoch: self.held.epoch, sequence: reservation.sequence })
    }

    fn on_failure(
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
                worker.ready_epoch = 0;
            }
            Failure::Refused => {}
            Failure::NotSent | Failure::NoAnswer => {
                worker.failures += 1;
                worker.failed_ms = now_ms;
            }
        }
        if let Purpose::Unload { target } = purpose
            && matches!(failure, Failure::Fenced | Failure::Refused)
        {
            // Without an answer the unload stays pending and is ordered again.
            self.unload.retain(|(worker_id, pending)| worker_id != id || pending != target);
        }
        let Purpose::Load { sequence } = *purpose else { return Vec::new() };
        match failure {
            // The order may be on its way or done: the reservation stays and is ordered again.
            Failure::NoAnswer => Vec::new(),
            // An earlier sending of the same order may have arrived; only a refusal settles it.
            Failure::NotSent => Vec::new(),
            Failure::Fenced | Failure::Refused => {
                worker.reservations.retain(|r| r.sequence != sequence);
                vec![Record::Settled { epoch: self.held.epoch, sequence }]
            }
        }
    }

    /// Follows loads of the worker `id` from start to end.
    fn note_loads(&mut self, config: &Config, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        for held in &worker.state.held {
            let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
            self.demand.know(&target, now_ms);
            let key = (id.to_owned(), target);
            if held.phase == Phase::Loading {
                self.loading_since.get_or_insert_with(key, || now_ms);
            } else if let Some(since_ms) = self.loading_since.remove(&key) {
                let took_ms = now_ms - since_ms;
                self.totals.loads_finished += 1;
                self.totals.load_sum_ms += took_ms;
                self.demand.touch(&key.1, now_ms);
                if let Some(model) = config.models.get(&held.model)
                    && held.adapter.is_none()
                    && took_ms > model.reload_ms * RELOAD_TOLERANCE
                {
                    self.pace.on_finish(took_ms, model.load_ms);
                }
            }
        }
        let worker_id = id;
        let gone = |target: &Target| worker.held(target).is_none();
        self.loading_since.retain(|(id, target), _| id != worker_id || !gone(target));
    }

    /// Returns the slots of `worker` to keep free for interactive requests.
    pub fn reserved_slots(&self, worker: &Worker) -> u32 {
        let models = worker.state.held.iter().filter(|h| h.adapter.is_none());
        let wanted: u32 = models
            .map(|held| {
                let base = Target { model: held.model.clone(), adapter: None };
                let replicas = self.usable().filter(|w| w.is_resident(&base)).count().max(1);
                self.demand.interactive_peak(&held.model).div_ceil(replicas as u32)
            })
            .sum();
        wanted.min(worker.state.slots as u32 / RESERVED_PART)
    }

    /// Returns the number of accelerator shares that hold models nobody uses.
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

    /// Returns the use of the weight store by this cell.
    pub fn store_use(&self) -> StoreUse {
        let mut store = StoreUse::default();
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

    /// Tells what a caller that waits for `target` may expect.
    pub fn progress(&self, config: &Config, target: &Target, now_ms: u64) -> Progress {
        if self.usable().any(|w| w.is_resident(target)) {
            return Progress::Resident;
        }
        if self.no_room.contains(target) {
            return Progress::NoRoom;
        }
        let model = Target { model: target.model.clone(), adapter: None };
        let load_ms = self.quickest_load_ms(config, &target.model);
        if self.usable().any(|w| w.is_resident(&model)) {
            return Progress::Expected { eta_ms: POLL_ACTIVE_MS };
        }
        let since = self.loading_since.iter().find(|((_, t), _)| *t == model);
        let eta_ms = match since {
            Some((_, since_ms)) => (since_ms + load_ms).saturating_sub(now_ms),
            None => load_ms + self.queue_ms(config, load_ms),
        };
        Progress::Expected { eta_ms }
    }

    /// Returns the usual time of loading `name` where it is loaded quickest, in ms.
    fn quickest_load_ms(&self, config: &Config, name: &str) -> u64 {
        let Some(model) = config.models.get(name) else { return 0 };
        self.usable().map(|w| w.load_ms(name, model)).min().unwrap_or(model.load_ms)
    }

    /// Returns the time that a load waits for the weight store, in ms.
    fn queue_ms(&self, config: &Config, load_ms: u64) -> u64 {
        let store = self.store_use();
        let ahead = u64::from(store.loads_in_flight + store.loads_waiting);
        (ahead / config.venture.store_slots.max(1)) * load_ms
    }

    fn usable(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| w.failures < UNREACHABLE_FAILURES && !w.is_leaving())
    }

    /// Decides what to do now.
    pub fn tick(&mut self, around: &Surroundings<'_>) -> Vec<Action> {
        self.demand.expire(around.now_ms);
        self.no_room.retain(|_, until_ms| *until_ms > around.now_ms);
        self.drop_needless_unloads();
        let mut actions = Vec::new();
        self.withdraw_blocked(around.now_ms, &mut actions);
        if around.permission != Permission::Wait {
            self.plan(around, &mut actions);
            self.plan_idle_unloads(around);
        }
        self.call_workers(around, &mut actions);
        actions
    }

    /// Drops unloads that have been carried out, and those of replicas that are in use again while
    /// no load waits for their memory.
    fn drop_needless_unloads(&mut self) {
        let (workers, demand) = (&self.workers, &self.demand);
        self.unload.retain(|(id, target)| {
            let Some(worker) = workers.get(id) else { return false };
            let awaited = !worker.reservations.is_empty();
            worker.is_resident(target) && (awaited || !demand.is_busy(target))
        });
    }
}
