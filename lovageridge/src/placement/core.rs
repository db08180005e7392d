//! Decisions of a cell's lead; pure state, driven by events and time.
//!
//! The lead fences a worker, then reads it, then orders. It has at most one call outstanding to
//! each worker, so orders reach a worker in the order of their fencing numbers.

use crate::document::Config;
use crate::document::Target;
use crate::leadership::claimant::Held as HeldEpoch;
use crate::leadership::claimant::Permission;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::call::Purpose;
use crate::placement::call::fence_number;
use crate::placement::demand::Demand;
use crate::placement::demand::Wanted;
use crate::placement::evict;
use crate::placement::evict::Room;
use crate::placement::keep::KeepCost;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::pace::Pace;
use crate::placement::pace::StoreLimits;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::platform::list::Listed;
use crate::sorted::Table;
use crate::upstream::engine::FencedOrder;
use crate::upstream::engine::Order;
use crate::upstream::engine::Phase;
use crate::wire::ColdAsk;
use crate::wire::Progress;
use crate::wire::StoreUse;
use crate::wire::UseReport;

/// Time between reads of a worker at rest, in ms.
const POLL_MS: u64 = 1000;
/// Time between reads of a worker that loads or unloads, in ms.
const POLL_ACTIVE_MS: u64 = 40;
/// Consecutive failed calls after which a worker's replicas no longer count.
const UNREACHABLE_FAILURES: u32 = 3;
/// Pause after each consecutive failed call, in ms.
const FAILURE_PAUSE_MS: u64 = 200;
/// Longest pause after failed calls, in ms.
const FAILURE_PAUSE_MAX_MS: u64 = 2000;
/// Time for which a read is the ground of orders, in ms; shorter than the restart of an engine.
const READ_FRESH_MS: u64 = 500;
/// Time for which an order may be on its way to a worker, in ms.
pub const ORDER_LIFE_MS: u64 = 2500;
/// Time for which a target without room is not planned again, in ms.
const NO_ROOM_MS: u64 = 300;
/// Time after a load before another replica of the same model is decided for load, in ms.
const SCALE_OUT_PAUSE_MS: u64 = 1000;

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
        let workers = &self.workers;
        self.unload.retain(|(id, target)| workers.get(id).is_some_and(|w| w.is_resident(target)));
        let mut actions = Vec::new();
        if around.permission != Permission::Wait {
            self.plan(around, &mut actions);
            self.plan_idle_unloads(around);
        }
        self.call_workers(around, &mut actions);
        actions
    }

    fn plan(&mut self, around: &Surroundings<'_>, actions: &mut Vec<Action>) {
        for wanted in self.demand.wanted() {
            if let Some(missing) = self.missing(around, &wanted) {
                self.plan_load(around, &missing, &wanted, actions);
            }
        }
    }

    /// Returns what has to be loaded next for `wanted`: its model, its adapter, or another replica.
    fn missing(&mut self, around: &Surroundings<'_>, wanted: &Wanted) -> Option<Target> {
        let config = around.config;
        let model = config.models.get(&wanted.target.model)?;
        if let Some(adapter) = &wanted.target.adapter {
            config.adapters.get(adapter)?;
        }
        if self.no_room.contains(&wanted.target) {
            return None;
        }
        let base = Target { model: wanted.target.model.clone(), adapter: None };
        let replicas = self.usable().filter(|w| w.counts(&base)).count() as u64;
        if replicas == 0 {
            return Some(base);
        }
        let has_adapter = self.usable().any(|w| w.counts(&wanted.target));
        if !has_adapter {
            let on_resident = self.usable().any(|w| w.is_resident(&base));
            return on_resident.then(|| wanted.target.clone());
        }
        let quiet_ms = model.load_ms + SCALE_OUT_PAUSE_MS;
        let scaled_ms = self.scaled.get(&wanted.target.model).copied();
        let ripe = scaled_ms.is_none_or(|at| around.now_ms >= at + quiet_ms);
        (!wanted.cold && ripe && replicas < model.replicas_max).then_some(base)
    }

    fn plan_load(
        &mut self,
        around: &Surroundings<'_>,
        target: &Target,
        wanted: &Wanted,
        actions: &mut Vec<Action>,
    ) {
        let config = around.config;
        let waiting = u64::from(self.store_use().loads_waiting);
        if target.adapter.is_none() && waiting >= config.venture.store_slots {
            return;
        }
        let Some((size_mb, count)) = size_of(config, target) else { return };
        let Some((id, room)) = self.best_room(around, target, size_mb, count) else {
            self.no_room.insert(wanted.target.clone(), around.now_ms + NO_ROOM_MS);
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.totals.loads_decided += 1;
        self.totals.evictions += room.victims.len() as u64;
        self.scaled.insert(target.model.clone(), around.now_ms);
        self.unload.extend(room.victims.into_iter().map(|victim| (id.clone(), victim)));
        actions.push(Action::Append(Record::Load(LoadDecision {
            epoch: self.held.epoch,
            sequence,
            worker: id.clone(),
            target: target.clone(),
            size_mb,
            accelerators: room.accelerators.clone(),
        })));
        let stage = if self.checks_fencing { Stage::Logged } else { Stage::Planned };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reservations.push(Reservation {
                sequence,
                target: target.clone(),
                size_mb,
                accelerators: room.accelerators,
                stage,
                made_ms: around.now_ms,
                deadline_ms: wanted.deadline_ms,
            });
        }
    }

    /// Returns the worker on which `target` costs least, and the room there.
    fn best_room(
        &self,
        around: &Surroundings<'_>,
        target: &Target,
        size_mb: u64,
        count: usize,
    ) -> Option<(String, Room)> {
        let base = Target { model: target.model.clone(), adapter: None };
        let ready = self.usable().filter(|w| w.ready_epoch == self.held.epoch && w.failures == 0);
        let rooms = ready.filter(|w| !w.counts(target)).filter_map(|worker| {
            let room = match &target.adapter {
                None => evict::find_room(
                    around.config,
                    worker,
                    &self.demand,
                    size_mb,
                    count,
                    around.now_ms,
                )?,
                Some(_) => adapter_room(worker, &base, size_mb)?,
            };
            let remote = !worker.has_checkpoint(&target.model);
            let occupied = worker.state.held.len() + worker.reservations.len();
            Some(((remote, room.cost, occupied), worker.id.clone(), room))
        });
        rooms.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, id, room)| (id, room))
    }

    fn plan_idle_unloads(&mut self, around: &Surroundings<'_>) {
        let config = around.config;
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for held in worker.state.held.iter().filter(|h| h.phase == Phase::Resident) {
                let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
                let key = (worker.id.clone(), target);
                if self.is_idle_past_keep(config, worker, &key.1, around.now_ms)
                    && !self.unload.contains(&key)
                {
                    due.push(key);
                }
            }
        }
        self.totals.idle_unloads += due.len() as u64;
        self.unload.extend(due);
    }

    fn is_idle_past_keep(
        &self,
        config: &Config,
        worker: &Worker,
        target: &Target,
        now_ms: u64,
    ) -> bool {
        if worker.ready_epoch != self.held.epoch || self.demand.is_busy(target) {
            return false;
        }
        if worker.reservations.iter().any(|r| r.target.model == target.model) {
            return false;
        }
        let model = config.models.get(&target.model);
        let cost = KeepCost {
            load_ms: model.map_or(0, |m| worker.load_ms(&target.model, m)),
            accelerators: model.map_or(1, |m| m.accelerators),
            cold_start_weight_pct: config.venture.cold_start_weight_pct,
            max_s: config.venture.keep_alive_max_s,
        };
        let (own, pooled) = self.demand.idle_times(target);
        self.demand.idle_ms(target, now_ms) > own.keep_alive_ms(pooled, cost)
    }

    fn call_workers(&mut self, around: &Surroundings<'_>, actions: &mut Vec<Action>) {
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            if let Some((purpose, order)) = self.next_call(around, &id) {
                self.begin_call(around, &id, purpose, order, actions);
            }
        }
    }

    fn begin_call(
        &mut self,
        around: &Surroundings<'_>,
        id: &str,
        purpose: Purpose,
        order: Option<Order>,
        actions: &mut Vec<Action>,
    ) {
        let fresh_until_ms = match purpose {
            Purpose::Poll | Purpose::Fence => u64::MAX,
            Purpose::Load { .. } | Purpose::Unload { .. } => self.fresh_until_ms(id),
        };
        let not_after_ms = match around.permission {
            Permission::Until { until_ms } => until_ms.min(fresh_until_ms),
            Permission::Wait => 0,
        };
        let order = order.map(|order| {
            self.sequence += 1;
            FencedOrder { fence: fence_number(self.held.epoch, self.sequence), order }
        });
        if let Purpose::Unload { target } = &purpose {
            let unload = (id.to_owned(), target.clone());
            self.unload.retain(|pending| *pending != unload);
            actions.push(Action::Append(Record::Unload {
                epoch: self.held.epoch,
                worker: id.to_owned(),
                target: target.clone(),
            }));
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.busy_since_ms = Some(around.now_ms);
        if let Purpose::Load { sequence } = purpose {
            let mut orders = worker.reservations.iter_mut();
            if let Some(reservation) = orders.find(|r| r.sequence == sequence) {
                reservation.stage = Stage::Sent;
            }
        }
        let call = Call { worker: id.to_owned(), addr: worker.addr, purpose, order, not_after_ms };
        actions.push(Action::Call(call));
    }

    /// Returns the time until which the last read of the worker `id` may be the ground of an order.
    ///
    /// A worker that restarts forgets its fencing number and refuses connections for longer than
    /// this time, so an order that is written in time meets the process that was read.
    fn fresh_until_ms(&self, id: &str) -> u64 {
        let read_ms = self.workers.get(id).and_then(|worker| worker.read_ms);
        read_ms.map_or(0, |at| at + READ_FRESH_MS)
    }

    /// Returns the next call to the worker `id`, if one is due.
    fn next_call(
        &mut self,
        around: &Surroundings<'_>,
        id: &str,
    ) -> Option<(Purpose, Option<Order>)> {
        let worker = self.workers.get(id)?;
        if worker.busy_since_ms.is_some() || self.is_pausing(worker, around.now_ms) {
            return None;
        }
        let may_order = around.permission != Permission::Wait;
        if worker.ready_epoch != self.held.epoch {
            let fence = (Purpose::Fence, Some(Order::Fence));
            return if may_order && !self.fenced_out {
                Some(fence)
            } else {
                self.poll(worker, around)
            };
        }
        let order = if may_order { self.next_order(around, id) } else { None };
        if order.is_some() && around.now_ms >= self.fresh_until_ms(id) {
            return Some((Purpose::Poll, None));
        }
        match order {
            Some((purpose, order)) => {
                self.note_start(id, &purpose);
                Some((purpose, Some(order)))
            }
            None => self.poll(self.workers.get(id)?, around),
        }
    }

    fn next_order(&mut self, around: &Surroundings<'_>, id: &str) -> Option<(Purpose, Order)> {
        self.next_unload(id).or_else(|| self.next_load(around, id))
    }

    /// Takes the load that `purpose` begins out of the pace, unless it is ordered again or local.
    fn note_start(&mut self, id: &str, purpose: &Purpose) {
        let Purpose::Load { sequence } = purpose else { return };
        let Some(worker) = self.workers.get(id) else { return };
        let found = worker.reservations.iter().find(|r| r.sequence == *sequence);
        let from_store = found.is_some_and(|r| {
            r.stage == Stage::Logged
                && r.target.adapter.is_none()
                && !worker.has_checkpoint(&r.target.model)
        });
        if from_store {
            self.pace.on_start();
        }
    }

    fn is_pausing(&self, worker: &Worker, now_ms: u64) -> bool {
        let pause_ms = (u64::from(worker.failures) * FAILURE_PAUSE_MS).min(FAILURE_PAUSE_MAX_MS);
        worker.failures > 0 && now_ms < worker.failed_ms + pause_ms
    }

    fn next_unload(&self, id: &str) -> Option<(Purpose, Order)> {
        let worker = self.workers.get(id)?;
        let mut pending = self.unload.iter().filter(|(worker_id, _)| worker_id == id);
        let (_, target) = pending.find(|(_, target)| worker.is_resident(target))?;
        let order = match &target.adapter {
            None => Order::Unload { model: target.model.clone() },
            Some(adapter) => Order::UnloadAdapter { adapter: adapter.clone() },
        };
        Some((Purpose::Unload { target: target.clone() }, order))
    }

    fn next_load(&mut self, around: &Surroundings<'_>, id: &str) -> Option<(Purpose, Order)> {
        let own = self.store_use();
        let worker = self.workers.get(id)?;
        let mut ripe: Vec<&Reservation> = worker
            .reservations
            .iter()
            .filter(|r| matches!(r.stage, Stage::Logged | Stage::Sent) && worker.fits_now(r))
            .collect();
        ripe.sort_by_key(|r| r.deadline_ms);
        let venture = &around.config.venture;
        let limits =
            StoreLimits { slots: venture.store_slots, loads_per_s: venture.store_loads_per_s };
        let adapters: u32 = around.others.iter().map(|u| u.adapters_in_flight).sum();
        let adapters = u64::from(adapters + own.adapters_in_flight);
        for reservation in ripe {
            let again = reservation.stage == Stage::Sent;
            let is_adapter = reservation.target.adapter.is_some();
            // A copy of its own takes nothing from the store.
            let local = !is_adapter && worker.has_checkpoint(&reservation.target.model);
            let may_start = match (again || local, is_adapter) {
                (true, _) => true,
                (false, true) => adapters < venture.store_adapter_slots,
                (false, false) => self.pace.may_start(limits, own, around.others, around.now_ms),
            };
            if !may_start {
                continue;
            }
            let purpose = Purpose::Load { sequence: reservation.sequence };
            return Some((purpose, load_order(reservation)));
        }
        None
    }

    fn poll(&self, worker: &Worker, around: &Surroundings<'_>) -> Option<(Purpose, Option<Order>)> {
        let active = !worker.reservations.is_empty()
            || worker.state.held.iter().any(|h| h.phase != Phase::Resident);
        let period_ms = if active { POLL_ACTIVE_MS } else { POLL_MS };
        let due = worker.read_ms.is_none_or(|at| around.now_ms >= at + period_ms);
        due.then_some((Purpose::Poll, None))
    }
}

/// Returns the size of `target` in MB and the number of its accelerators.
fn size_of(config: &Config, target: &Target) -> Option<(u64, usize)> {
    let model = config.models.get(&target.model)?;
    match &target.adapter {
        None => Some((model.size_mb, model.accelerators as usize)),
        Some(adapter) => Some((config.adapters.get(adapter)?.size_mb, model.accelerators as usize)),
    }
}

/// Returns room for an adapter where its model is resident, on the model's own accelerators.
fn adapter_room(worker: &Worker, base: &Target, size_mb: u64) -> Option<Room> {
    let held = worker.held(base).filter(|held| held.phase == Phase::Resident)?;
    let need_mb = crate::placement::ledger::share_mb(size_mb, held.accelerators.len());
    let fits = held.accelerators.iter().all(|&a| worker.free_mb(a) >= need_mb);
    let room = Room { accelerators: held.accelerators.clone(), victims: Vec::new(), cost: 0 };
    fits.then_some(room)
}

fn load_order(reservation: &Reservation) -> Order {
    match &reservation.target.adapter {
        None => Order::Load {
            model: reservation.target.model.clone(),
            size_mb: reservation.size_mb,
            accelerators: reservation.accelerators.clone(),
        },
        Some(adapter) => Order::LoadAdapter {
            adapter: adapter.clone(),
            model: reservation.target.model.clone(),
            size_mb: reservation.size_mb,
        },
    }
}
