//! One model worker as the lead knows it.

use std::net::SocketAddr;

use crate::gateway::catalog::Engine;
use crate::gateway::directory::LoadedModel;
use crate::gateway::directory::WorkerRecord;
use crate::gateway::directory::WorkerView;
use crate::gateway::orders::Order;
use crate::gateway::orders::OrderKind;
use crate::gateway::orders::OrderOutcome;
use crate::gateway::orders::WorkerReport;
use crate::sorted::Table;

/// Time after a conflict with an order in progress before the next try, in ms.
const CONFLICT_RETRY_MS: u64 = 25;
/// Conflicts in a row after which the number of accepted orders is read anew.
const CONFLICTS_BEFORE_REPORT: u32 = 12;
/// Time between reports while one is needed, in ms; reports lag by some hundred ms.
const REPORT_RETRY_MS: u64 = 120;
/// Reports in a row, while a worker stays busy, that follow each other that closely: unloads and loads
/// from memory or disk end meanwhile.
const REPORTS_BEFORE_BACKOFF: u32 = 8;
/// Doublings of the time between reports after these.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Reports in a row that tell of an order in progress after which it is taken for a load from the
/// weight store: they span 3.6 s, and loads from disk take less than 3 s.
const STORE_LOAD_BUSY_REPORTS: u32 = 12;
/// Time for which a worker counts as busy at least while a load from the weight store goes on, in ms.
const MIN_STORE_LOAD_REMAINING_MS: u64 = 500;
/// Calls without answer in a row after which the worker no longer counts.
const MAX_FAILED_CALLS: u32 = 2;
/// Pause after calls without answer, in ms.
const FAILED_CALL_RETRY_MS: u64 = 600;
/// Added to the time of a load before its model counts as present, in ms.
const LOAD_MARGIN_MS: u64 = 10;
/// Time from the acceptance of an adapter's load to its use, in ms; loads take 5 to 10 ms.
const ADAPTER_READY_MS: u64 = 14;
/// Time for which a newly loaded model is kept for those who wait for it, in ms.
const NEW_MODEL_PROTECTION_MS: u64 = 600;
/// Time after which an unload is held up by requests in progress, in ms; else it takes 100 ms.
const UNLOAD_STALLED_MS: u64 = 350;
/// Age of an operation from which a worker's record is held against it, in ms; records lag.
const RECORD_LAG_MS: u64 = 2500;

/// State of a model at a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelState {
    /// In use.
    Ready,
    /// Being loaded from a copy at hand until about this time, in ms.
    Loading {
        /// Time.
        due_ms: u64,
    },
    /// Being loaded from the weight store, until the worker's own record shows it: other loads may
    /// slow it down.
    LoadingFromStore {
        /// Start, in ms.
        started_ms: u64,
        /// Time that it takes at full speed, in ms.
        nominal_ms: u64,
    },
    /// Being unloaded; its memory is free once the next order is accepted.
    Unloading,
}

/// An adapter at a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerAdapter {
    /// Time from which it can be used, in ms.
    pub ready_ms: u64,
    /// Time of its last use, in ms.
    pub last_used_ms: u64,
}

/// A model at a worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// State.
    pub state: ModelState,
    /// Adapters.
    pub adapters: Table<String, WorkerAdapter>,
    /// Time until which it is not given up, in ms.
    pub protected_until_ms: u64,
}

impl WorkerModel {
    fn is_loading_from_store(&self) -> bool {
        matches!(self.state, ModelState::LoadingFromStore { .. })
    }

    fn store_load_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        match self.state {
            ModelState::LoadingFromStore { started_ms: since_ms, nominal_ms: load_ms } => {
                Some((since_ms + load_ms).saturating_sub(now_ms).max(MIN_STORE_LOAD_REMAINING_MS))
            }
            _ => None,
        }
    }
}

/// A load that is to be carried out at a worker, after room has been made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingLoad {
    /// Model to load.
    pub model: String,
    /// Models to give up first.
    pub evict: Vec<String>,
    /// Time from which orders go out, in ms; instances learn of it before.
    pub not_before_ms: u64,
    /// Expected time of the load itself, in ms.
    pub load_ms: u64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Whether models with requests in progress are given up all the same.
    pub evicts_running: bool,
}

/// A load from the weight store that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedStoreLoad {
    /// Time until the worker's record showed it, in ms.
    pub observed_ms: u64,
    /// Time at full speed, in ms.
    pub nominal_ms: u64,
}

/// A model worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Worker.
    pub id: String,
    /// Address.
    pub addr: SocketAddr,
    /// Service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Start of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models it holds or is loading.
    pub models: Table<String, WorkerModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
    /// What it is to load.
    pub pending_load: Option<PendingLoad>,
    /// Whether a call is outstanding.
    pub call_in_flight: bool,
    /// Time before which no call goes out, in ms.
    pub next_call_ms: u64,
    orders_accepted: Option<u64>,
    consecutive_conflicts: u32,
    consecutive_failed_calls: u32,
    // Reports in a row that told of an order in progress.
    consecutive_busy_reports: u32,
    last_change_ms: u64,
}

impl WorkerState {
    /// Returns a worker of which only its record is known.
    pub fn new(record: &WorkerRecord, now_ms: u64) -> Self {
        let mut site = Self {
            id: record.id.clone(),
            addr: record.addr,
            service: record.service.clone(),
            domain: record.domain.clone(),
            start_unix_ms: record.start_unix_ms,
            leaving: record.leaving,
            models: Table::new(),
            in_memory: record.in_memory.clone(),
            on_disk: record.on_disk.clone(),
            pending_load: None,
            call_in_flight: false,
            next_call_ms: 0,
            orders_accepted: None,
            consecutive_conflicts: 0,
            consecutive_failed_calls: 0,
            consecutive_busy_reports: 0,
            last_change_ms: now_ms,
        };
        site.set_models(&record.models, &[], now_ms);
        site
    }

    /// Takes over a newer record of the same start; returns a load from the weight store that it shows
    /// to have ended.
    pub fn on_record(&mut self, record: &WorkerRecord, now_ms: u64) -> Option<FinishedStoreLoad> {
        self.addr = record.addr;
        self.leaving = record.leaving;
        self.in_memory.clone_from(&record.in_memory);
        self.on_disk.clone_from(&record.on_disk);
        let settled = now_ms > self.last_change_ms + RECORD_LAG_MS && self.pending_load.is_none();
        if settled && !self.call_in_flight && self.differs_from_record(&record.models) {
            // What was assumed of an order has not come true.
            self.orders_accepted = None;
        }
        self.finish_store_load(&record.models, now_ms)
    }

    fn finish_store_load(
        &mut self,
        models: &[LoadedModel],
        now_ms: u64,
    ) -> Option<FinishedStoreLoad> {
        let mut ended = None;
        for (name, held) in self.models.iter_mut() {
            if let ModelState::LoadingFromStore { started_ms: since_ms, nominal_ms: load_ms } =
                held.state
                && models.iter().any(|loaded| loaded.model == *name)
            {
                held.state = ModelState::Ready;
                held.protected_until_ms = now_ms + NEW_MODEL_PROTECTION_MS;
                ended = Some(FinishedStoreLoad {
                    observed_ms: now_ms.saturating_sub(since_ms),
                    nominal_ms: load_ms,
                });
            }
        }
        ended
    }

    fn differs_from_record(&self, models: &[LoadedModel]) -> bool {
        let settled = self.models.iter().filter(|(_, held)| !held.is_loading_from_store());
        let settled: Vec<&String> = settled.map(|(name, _)| name).collect();
        let same = settled.iter().all(|name| models.iter().any(|loaded| loaded.model == **name))
            && models.iter().all(|loaded| self.models.contains(loaded.model.as_str()));
        !same
    }

    /// Tells whether the worker is taken up by a load from the weight store, or by an order of an
    /// earlier lead that takes as long.
    pub fn is_loading_from_store(&self) -> bool {
        self.consecutive_busy_reports >= STORE_LOAD_BUSY_REPORTS
            || self.models.values().any(WorkerModel::is_loading_from_store)
    }

    fn set_models(&mut self, models: &[LoadedModel], coming: &[(String, String)], now_ms: u64) {
        let old = std::mem::take(&mut self.models);
        for loaded in models {
            let before = old.get(loaded.model.as_str());
            let coming = coming.iter().filter(|(model, _)| *model == loaded.model);
            let coming = coming.map(|(_, adapter)| adapter);
            let adapters = loaded.adapters.iter().chain(coming).map(|name| {
                let known = before.and_then(|held| held.adapters.get(name.as_str()));
                let fresh = WorkerAdapter { ready_ms: now_ms, last_used_ms: now_ms };
                (name.clone(), known.copied().unwrap_or(fresh))
            });
            let held = WorkerModel {
                state: ModelState::Ready,
                adapters: adapters.collect(),
                protected_until_ms: before.map_or(0, |held| held.protected_until_ms),
            };
            self.models.insert(loaded.model.clone(), held);
        }
    }

    /// Tells whether it is known how many orders the worker has accepted.
    pub fn is_order_count_known(&self) -> bool {
        self.orders_accepted.is_some()
    }

    /// Tells whether the worker answers calls.
    pub fn is_responsive(&self) -> bool {
        self.consecutive_failed_calls < MAX_FAILED_CALLS
    }

    /// Tells whether it has a copy of `model` in host memory or on disk.
    pub fn has_cached_copy(&self, model: &str) -> bool {
        self.in_memory.iter().chain(&self.on_disk).any(|name| name == model)
    }

    /// Returns the time until a load of `model` from the weight store is due, in ms.
    pub fn store_load_remaining_ms(&self, model: &str, now_ms: u64) -> Option<u64> {
        let planned =
            self.pending_load.as_ref().filter(|goal| goal.from_store && goal.model == model);
        let loading = self.models.get(model).and_then(|held| held.store_load_remaining_ms(now_ms));
        loading.or(planned.map(|goal| goal.load_ms))
    }

    /// Returns the time until its load from the weight store is due, in ms.
    pub fn any_store_load_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        self.models.values().find_map(|held| held.store_load_remaining_ms(now_ms))
    }

    /// Tells whether it can take a new goal.
    pub fn can_start_load(&self, now_ms: u64) -> bool {
        self.is_order_count_known()
            && self.is_responsive()
            && !self.leaving
            && self.pending_load.is_none()
            && self.load_remaining_ms(now_ms) == 0
            && !self.is_unloading()
    }

    fn is_unloading(&self) -> bool {
        self.models.values().any(|held| held.state == ModelState::Unloading)
    }

    /// Returns the time until the load in progress is over, in ms.
    pub fn load_remaining_ms(&self, now_ms: u64) -> u64 {
        let loading = self.models.values().filter_map(|held| match held.state {
            ModelState::Loading { due_ms } => Some(due_ms.saturating_sub(now_ms)),
            _ => held.store_load_remaining_ms(now_ms),
        });
        loading.max().unwrap_or(0)
    }

    /// Tells whether `model` can be used there.
    pub fn is_ready(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|held| held.state == ModelState::Ready)
            && !self.is_to_be_evicted(model)
    }

    /// Tells whether `model` is on its way there and not held up by an unload.
    pub fn is_load_underway(&self, model: &str, now_ms: u64) -> bool {
        let held = self.models.get(model);
        let loading = held.is_some_and(|held| {
            matches!(held.state, ModelState::Loading { .. } | ModelState::LoadingFromStore { .. })
        });
        let planned = self.pending_load.as_ref().is_some_and(|goal| goal.model == model);
        loading || (planned && !self.is_stalled(now_ms))
    }

    /// Tells whether the goal waits for an unload that takes longer than usual.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.pending_load
            .as_ref()
            .is_some_and(|goal| now_ms > goal.not_before_ms + UNLOAD_STALLED_MS)
    }

    /// Drops the goal.
    pub fn cancel_pending_load(&mut self) {
        self.pending_load = None;
    }

    fn is_to_be_evicted(&self, model: &str) -> bool {
        self.pending_load.as_ref().is_some_and(|goal| goal.evict.iter().any(|name| name == model))
    }

    /// Returns the number of adapters there, those on their way included.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(|held| held.adapters.len()).sum()
    }

    /// Returns the memory that models may take; places for adapters are kept free.
    pub fn memory_for_models_mb(engine: &Engine) -> u64 {
        let adapter_mb = engine.models.values().map(|model| model.adapter_mb).max().unwrap_or(0);
        engine.memory_mb.saturating_sub(adapter_mb * engine.adapter_slots as u64)
    }

    /// Returns the memory left beside what it holds and is loading, in MB.
    pub fn free_mb(&self, engine: &Engine) -> u64 {
        let size = |name: &str| engine.models.get(name).map_or(0, |model| model.size_mb);
        let used: u64 = self
            .models
            .iter()
            .filter(|(_, held)| held.state != ModelState::Unloading)
            .map(|(name, _)| size(name))
            .sum();
        Self::memory_for_models_mb(engine).saturating_sub(used)
    }

    /// Notes the use of an adapter.
    pub fn on_adapter_used(&mut self, model: &str, adapter: &str, now_ms: u64) {
        let held = self.models.get_mut(model);
        if let Some(adapter) = held.and_then(|held| held.adapters.get_mut(adapter)) {
            adapter.last_used_ms = now_ms;
        }
    }

    /// Ends loads whose time has passed; tells whether there were any.
    pub fn finish_loads(&mut self, now_ms: u64) -> bool {
        let mut finished = false;
        for (_, held) in self.models.iter_mut() {
            if matches!(held.state, ModelState::Loading { due_ms } if now_ms >= due_ms) {
                held.state = ModelState::Ready;
                held.protected_until_ms = now_ms + NEW_MODEL_PROTECTION_MS;
                finished = true;
            }
        }
        finished
    }

    /// Returns an order with the worker's present count.
    pub fn order(
        &self,
        kind: OrderKind,
        model: &str,
        adapter: Option<&str>,
        fence: u64,
    ) -> Option<Order> {
        Some(Order {
            kind,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            expected_orders: self.orders_accepted?,
            fence,
        })
    }

    /// Takes over the answer to an order; `load_ms` is the expected time if it loads a model.
    pub fn on_order_outcome(
        &mut self,
        order: &Order,
        answer: OrderOutcome,
        load_ms: u64,
        now_ms: u64,
    ) {
        self.call_in_flight = false;
        self.last_change_ms = now_ms;
        if answer != OrderOutcome::Unknown {
            self.consecutive_failed_calls = 0;
        }
        if answer != OrderOutcome::Conflict {
            self.consecutive_conflicts = 0;
        }
        match answer {
            OrderOutcome::Accepted => self.on_accepted(order, load_ms, now_ms),
            OrderOutcome::AlreadyHolds => self.on_already_holds(order, now_ms),
            OrderOutcome::Conflict => self.on_conflict(now_ms),
            OrderOutcome::Fenced => self.orders_accepted = None,
            OrderOutcome::OtherInstance | OrderOutcome::Refused { .. } => {
                self.orders_accepted = None;
                self.pending_load = None;
                self.next_call_ms = now_ms + REPORT_RETRY_MS;
            }
            OrderOutcome::Unknown => self.on_no_answer(now_ms),
        }
    }

    fn on_accepted(&mut self, order: &Order, load_ms: u64, now_ms: u64) {
        self.orders_accepted = Some(order.expected_orders + 1);
        if order.adapter.is_some() {
            return self.on_adapter_order(order, now_ms);
        }
        // The worker carries out one order at a time, so earlier unloads are over.
        self.models.retain(|_, held| held.state != ModelState::Unloading);
        match order.kind {
            OrderKind::Load => {
                let due_ms = now_ms + load_ms + LOAD_MARGIN_MS;
                let from_store = self.pending_load.as_ref().is_some_and(|goal| goal.from_store);
                let state = if from_store {
                    ModelState::LoadingFromStore { started_ms: now_ms, nominal_ms: load_ms }
                } else {
                    ModelState::Loading { due_ms }
                };
                let held = WorkerModel {
                    state,
                    adapters: Table::new(),
                    protected_until_ms: due_ms + NEW_MODEL_PROTECTION_MS,
                };
                self.models.insert(order.model.clone(), held);
                self.pending_load = None;
            }
            OrderKind::Unload => {
                if let Some(held) = self.models.get_mut(order.model.as_str()) {
                    held.state = ModelState::Unloading;
                }
                self.remove_eviction(&order.model);
            }
        }
    }

    fn on_adapter_order(&mut self, order: &Order, now_ms: u64) {
        let Some(held) = self.models.get_mut(order.model.as_str()) else { return };
        let Some(adapter) = &order.adapter else { return };
        match order.kind {
            OrderKind::Load => {
                let entry =
                    WorkerAdapter { ready_ms: now_ms + ADAPTER_READY_MS, last_used_ms: now_ms };
                held.adapters.insert(adapter.clone(), entry);
            }
            OrderKind::Unload => {
                held.adapters.remove(adapter.as_str());
            }
        }
    }

    fn on_already_holds(&mut self, order: &Order, now_ms: u64) {
        match (&order.adapter, order.kind) {
            (Some(_), kind) => {
                if kind == OrderKind::Unload {
                    // An adapter that is not in use goes at once, which counts as an order.
                    self.orders_accepted = Some(order.expected_orders + 1);
                }
                self.on_adapter_order(order, now_ms);
            }
            (None, OrderKind::Load) => {
                let held = WorkerModel {
                    state: ModelState::Ready,
                    adapters: Table::new(),
                    protected_until_ms: now_ms + NEW_MODEL_PROTECTION_MS,
                };
                self.models.get_or_insert_with(order.model.clone(), || held);
                self.pending_load = None;
            }
            (None, OrderKind::Unload) => {
                self.models.remove(order.model.as_str());
                self.remove_eviction(&order.model);
            }
        }
    }

    fn remove_eviction(&mut self, model: &str) {
        if let Some(goal) = &mut self.pending_load {
            goal.evict.retain(|name| name != model);
        }
    }

    fn on_conflict(&mut self, now_ms: u64) {
        self.consecutive_conflicts += 1;
        let busy_ms = self.load_remaining_ms(now_ms);
        self.next_call_ms = now_ms + busy_ms.clamp(CONFLICT_RETRY_MS, REPORT_RETRY_MS);
        let explained = self.is_unloading() || busy_ms > 0;
        if !explained || self.consecutive_conflicts.is_multiple_of(CONFLICTS_BEFORE_REPORT) {
            self.orders_accepted = None;
        }
    }

    fn on_no_answer(&mut self, now_ms: u64) {
        self.consecutive_failed_calls += 1;
        if self.is_responsive() {
            // The same order goes out again; its count voids the one without answer.
            self.next_call_ms = now_ms;
        } else {
            self.pending_load = None;
            self.orders_accepted = None;
            self.next_call_ms = now_ms + FAILED_CALL_RETRY_MS;
        }
    }

    /// Takes over a report, or that there was none.
    pub fn on_report(&mut self, report: Option<WorkerReport>, now_ms: u64) {
        self.call_in_flight = false;
        let Some(report) = report else {
            self.consecutive_failed_calls += 1;
            self.next_call_ms = now_ms + FAILED_CALL_RETRY_MS;
            return;
        };
        self.consecutive_failed_calls = 0;
        if report.start_unix_ms != 0 && report.start_unix_ms != self.start_unix_ms {
            // Another start of the worker; its own record follows.
            self.next_call_ms = now_ms + FAILED_CALL_RETRY_MS;
            return;
        }
        if report.busy {
            let doublings = self
                .consecutive_busy_reports
                .saturating_sub(REPORTS_BEFORE_BACKOFF)
                .min(MAX_BACKOFF_DOUBLINGS);
            self.consecutive_busy_reports += 1;
            self.next_call_ms = now_ms + (REPORT_RETRY_MS << doublings);
            return;
        }
        self.consecutive_busy_reports = 0;
        self.in_memory = report.in_memory;
        self.on_disk = report.on_disk;
        self.set_models(&report.models, &report.loading_adapters, now_ms);
        self.orders_accepted = Some(report.orders_accepted);
        self.consecutive_conflicts = 0;
        self.last_change_ms = now_ms;
    }

    /// Returns what instances may use there.
    pub fn view(&self, now_ms: u64) -> WorkerView {
        let usable = self.models.iter().filter(|(name, _)| self.is_ready(name));
        let models = usable.map(|(name, held)| {
            let ready = held.adapters.iter().filter(|(_, adapter)| now_ms >= adapter.ready_ms);
            let adapters = ready.map(|(adapter, _)| adapter.clone()).collect();
            LoadedModel { model: name.clone(), adapters }
        });
        WorkerView {
            id: self.id.clone(),
            start_unix_ms: self.start_unix_ms,
            models: models.collect(),
        }
    }
}
