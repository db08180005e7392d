//! The lead's state of one model worker.

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

/// Shortest delay before an order is retried after a conflict with an order in progress, in ms.
const CONFLICT_RETRY_MS: u64 = 25;
/// Consecutive conflicts after which the number of accepted orders is read again from a report.
const CONFLICTS_BEFORE_REPORT: u32 = 12;
/// Interval of report requests while a report is needed, in ms; reports lag by several hundred ms.
const REPORT_RETRY_MS: u64 = 120;
/// Consecutive reports of a busy worker that are requested at this interval; unloads and loads from
/// memory or disk finish in that time.
const REPORTS_BEFORE_BACKOFF: u32 = 8;
/// Maximum number of times that the interval is doubled after these.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Consecutive reports of a busy worker after which the order in progress is taken for a load from
/// the weight store: they span 3.6 s, and loads from disk take less than 3 s.
const STORE_LOAD_BUSY_REPORTS: u32 = 12;
/// Shortest remaining time that is assumed for an unfinished load from the weight store, in ms.
const MIN_STORE_LOAD_REMAINING_MS: u64 = 500;
/// Consecutive calls without response after which the worker counts as unresponsive.
const MAX_FAILED_CALLS: u32 = 2;
/// Delay before the next call after failed calls, in ms.
const FAILED_CALL_RETRY_MS: u64 = 600;
/// Added to the expected duration of a load before its model counts as ready, in ms.
const LOAD_MARGIN_MS: u64 = 10;
/// Time from the acceptance of an adapter's load until the adapter counts as ready, in ms; loads
/// take 5 to 10 ms.
const ADAPTER_READY_MS: u64 = 14;
/// Time for which a newly loaded model is not evicted, so that waiting requests reach it, in ms.
const NEW_MODEL_PROTECTION_MS: u64 = 600;
/// Time after which an unload counts as delayed by requests in progress, in ms; otherwise it takes
/// 100 ms.
const UNLOAD_STALLED_MS: u64 = 350;
/// Time after a change before a worker's record is compared with the state here, in ms; records
/// lag.
const RECORD_LAG_MS: u64 = 2500;

/// State of a model on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelState {
    /// Ready for requests.
    Ready,
    /// Being loaded from a cached copy, in host memory or on disk.
    Loading {
        /// Expected end, in ms.
        due_ms: u64,
    },
    /// Being loaded from the weight store. It counts as finished only when the worker's record
    /// shows the model, since concurrent loads may slow it down.
    LoadingFromStore {
        /// Start, in ms.
        started_ms: u64,
        /// Duration at full speed, in ms.
        nominal_ms: u64,
    },
    /// Being unloaded; its memory is free by the time that the worker accepts the next order.
    Unloading,
}

/// An adapter on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerAdapter {
    /// Time from which it can be used, in ms.
    pub ready_ms: u64,
    /// Time of its last use, in ms.
    pub last_used_ms: u64,
}

/// A model on a worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// Whether it is ready, being loaded or being unloaded.
    pub state: ModelState,
    /// Adapters by name, including those being loaded.
    pub adapters: Table<String, WorkerAdapter>,
    /// Time until which it is not evicted, in ms.
    pub protected_until_ms: u64,
}

impl WorkerModel {
    fn is_loading_from_store(&self) -> bool {
        matches!(self.state, ModelState::LoadingFromStore { .. })
    }

    fn store_load_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        match self.state {
            ModelState::LoadingFromStore { started_ms, nominal_ms } => Some(
                (started_ms + nominal_ms).saturating_sub(now_ms).max(MIN_STORE_LOAD_REMAINING_MS),
            ),
            _ => None,
        }
    }
}

/// A planned load, to be ordered once the required evictions are done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingLoad {
    /// Model to load.
    pub model: String,
    /// Models that remain to be evicted first.
    pub evict: Vec<String>,
    /// Earliest time for its orders, in ms; by then instances have been notified of the evictions.
    pub not_before_ms: u64,
    /// Expected duration of the load itself, in ms.
    pub load_ms: u64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Whether any of the evicted models had requests in progress when the load was planned.
    pub evicts_running: bool,
}

/// A finished load from the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedStoreLoad {
    /// Time from the start until the worker's record showed the model, in ms.
    pub observed_ms: u64,
    /// Duration at full speed, in ms.
    pub nominal_ms: u64,
}

/// State of a model worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Id of the worker.
    pub id: String,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Start of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
    /// Whether it is leaving and gets no further loads.
    pub leaving: bool,
    /// Models in accelerator memory by name, including those being loaded or unloaded.
    pub models: Table<String, WorkerModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
    /// Requests per second that it takes from all instances, if it limits them.
    pub limit_per_s: Option<f64>,
    /// Next load, if one is planned.
    pub pending_load: Option<PendingLoad>,
    /// Whether a call to it is in flight.
    pub call_in_flight: bool,
    /// Earliest time of the next call, in ms.
    pub next_call_ms: u64,
    // `None` until a report confirms the state here.
    orders_accepted: Option<u64>,
    consecutive_conflicts: u32,
    consecutive_failed_calls: u32,
    // Consecutive reports with an order in progress.
    consecutive_busy_reports: u32,
    last_change_ms: u64,
    revision: u64,
}

impl WorkerState {
    /// Returns the state of a worker of which only the record is known.
    pub fn new(record: &WorkerRecord, now_ms: u64) -> Self {
        let mut worker = Self {
            id: record.id.clone(),
            addr: record.addr,
            service: record.service.clone(),
            domain: record.domain.clone(),
            start_unix_ms: record.start_unix_ms,
            leaving: record.leaving,
            models: Table::new(),
            in_memory: record.in_memory.clone(),
            on_disk: record.on_disk.clone(),
            limit_per_s: None,
            pending_load: None,
            call_in_flight: false,
            next_call_ms: 0,
            orders_accepted: None,
            consecutive_conflicts: 0,
            consecutive_failed_calls: 0,
            consecutive_busy_reports: 0,
            last_change_ms: now_ms,
            revision: 0,
        };
        worker.set_models(&record.models, &[], now_ms);
        worker
    }

    /// Applies a newer record of the same start; returns the load from the weight store that the
    /// record shows as finished, if any.
    pub fn on_record(&mut self, record: &WorkerRecord, now_ms: u64) -> Option<FinishedStoreLoad> {
        self.addr = record.addr;
        self.leaving = record.leaving;
        self.in_memory.clone_from(&record.in_memory);
        self.on_disk.clone_from(&record.on_disk);
        let settled = now_ms > self.last_change_ms + RECORD_LAG_MS && self.pending_load.is_none();
        if settled && !self.call_in_flight && self.differs_from_record(&record.models) {
            // An order did not have the assumed effect, so the state must be read from a report.
            self.orders_accepted = None;
        }
        self.finish_store_load(&record.models, now_ms)
    }

    fn finish_store_load(
        &mut self,
        models: &[LoadedModel],
        now_ms: u64,
    ) -> Option<FinishedStoreLoad> {
        let mut finished = None;
        for (name, model) in self.models.iter_mut() {
            if let ModelState::LoadingFromStore { started_ms, nominal_ms } = model.state
                && models.iter().any(|loaded| loaded.model == *name)
            {
                model.state = ModelState::Ready;
                model.protected_until_ms = now_ms + NEW_MODEL_PROTECTION_MS;
                finished = Some(FinishedStoreLoad {
                    observed_ms: now_ms.saturating_sub(started_ms),
                    nominal_ms,
                });
            }
        }
        finished
    }

    fn differs_from_record(&self, models: &[LoadedModel]) -> bool {
        let compared = self.models.iter().filter(|(_, model)| !model.is_loading_from_store());
        let compared: Vec<&String> = compared.map(|(name, _)| name).collect();
        let same = compared.iter().all(|name| models.iter().any(|loaded| loaded.model == **name))
            && models.iter().all(|loaded| self.models.contains(loaded.model.as_str()));
        !same
    }

    /// Returns whether the worker is loading a model from the weight store, or has been busy for as
    /// long with an order of an earlier lead.
    pub fn is_loading_from_store(&self) -> bool {
        self.consecutive_busy_reports >= STORE_LOAD_BUSY_REPORTS
            || self.models.values().any(WorkerModel::is_loading_from_store)
    }

    fn set_models(
        &mut self,
        models: &[LoadedModel],
        loading_adapters: &[(String, String)],
        now_ms: u64,
    ) {
        let old = std::mem::take(&mut self.models);
        for loaded in models {
            let previous = old.get(loaded.model.as_str());
            let loading = loading_adapters.iter().filter(|(model, _)| *model == loaded.model);
            let loading = loading.map(|(_, adapter)| adapter);
            let adapters = loaded.adapters.iter().chain(loading).map(|name| {
                let known = previous.and_then(|model| model.adapters.get(name.as_str()));
                let fresh = WorkerAdapter { ready_ms: now_ms, last_used_ms: now_ms };
                (name.clone(), known.copied().unwrap_or(fresh))
            });
            let model = WorkerModel {
                state: ModelState::Ready,
                adapters: adapters.collect(),
                protected_until_ms: previous.map_or(0, |model| model.protected_until_ms),
            };
            self.models.insert(loaded.model.clone(), model);
        }
    }

    /// Returns a number that changes whenever the state may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Marks the state as changed.
    pub fn touch(&mut self) {
        self.revision += 1;
    }

    /// Returns whether an adapter has become ready after `since_ms`.
    pub fn has_new_adapter(&self, since_ms: u64, now_ms: u64) -> bool {
        let adapters = self.models.values().flat_map(|model| model.adapters.values());
        adapters.into_iter().any(|adapter| {
            let ready_ms = adapter.ready_ms;
            since_ms < ready_ms && ready_ms <= now_ms
        })
    }

    /// Returns whether the number of orders that the worker has accepted is known.
    pub fn is_order_count_known(&self) -> bool {
        self.orders_accepted.is_some()
    }

    /// Returns whether the worker responds to calls.
    pub fn is_responsive(&self) -> bool {
        self.consecutive_failed_calls < MAX_FAILED_CALLS
    }

    /// Returns whether the worker has a copy of `model` in host memory or on disk.
    pub fn has_cached_copy(&self, model: &str) -> bool {
        self.in_memory.iter().chain(&self.on_disk).any(|name| name == model)
    }

    /// Returns the expected time until a running or planned load of `model` from the weight store
    /// finishes, in ms; `None` without such a load.
    pub fn store_load_remaining_ms(&self, model: &str, now_ms: u64) -> Option<u64> {
        let planned =
            self.pending_load.as_ref().filter(|load| load.from_store && load.model == model);
        let loading =
            self.models.get(model).and_then(|known| known.store_load_remaining_ms(now_ms));
        loading.or(planned.map(|load| load.load_ms))
    }

    /// Returns the expected time until its running load from the weight store finishes, in ms;
    /// `None` without such a load.
    pub fn any_store_load_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        self.models.values().find_map(|model| model.store_load_remaining_ms(now_ms))
    }

    /// Returns whether a new load can be planned for the worker.
    pub fn can_start_load(&self, now_ms: u64) -> bool {
        self.is_order_count_known()
            && self.is_responsive()
            && !self.leaving
            && self.pending_load.is_none()
            && self.load_remaining_ms(now_ms) == 0
            && !self.is_unloading()
    }

    fn is_unloading(&self) -> bool {
        self.models.values().any(|model| model.state == ModelState::Unloading)
    }

    /// Returns the expected time until its running load finishes, in ms; 0 without one.
    pub fn load_remaining_ms(&self, now_ms: u64) -> u64 {
        let loading = self.models.values().filter_map(|model| match model.state {
            ModelState::Loading { due_ms } => Some(due_ms.saturating_sub(now_ms)),
            _ => model.store_load_remaining_ms(now_ms),
        });
        loading.max().unwrap_or(0)
    }

    /// Returns whether requests for `model` can be sent to the worker.
    pub fn is_ready(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|known| known.state == ModelState::Ready)
            && !self.is_pending_eviction(model)
    }

    /// Returns whether `model` is being loaded on the worker, or its load is planned and not
    /// delayed by an unload.
    pub fn is_load_underway(&self, model: &str, now_ms: u64) -> bool {
        let known = self.models.get(model);
        let loading = known.is_some_and(|known| {
            matches!(known.state, ModelState::Loading { .. } | ModelState::LoadingFromStore { .. })
        });
        let planned = self.pending_load.as_ref().is_some_and(|load| load.model == model);
        loading || (planned && !self.is_stalled(now_ms))
    }

    /// Returns whether the pending load is delayed by an unload that takes longer than usual.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.pending_load
            .as_ref()
            .is_some_and(|load| now_ms > load.not_before_ms + UNLOAD_STALLED_MS)
    }

    /// Cancels the pending load.
    pub fn cancel_pending_load(&mut self) {
        self.pending_load = None;
    }

    fn is_pending_eviction(&self, model: &str) -> bool {
        self.pending_load.as_ref().is_some_and(|load| load.evict.iter().any(|name| name == model))
    }

    /// Returns the number of adapters on the worker, including those being loaded.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(|model| model.adapters.len()).sum()
    }

    /// Returns the accelerator memory for models, in MB; the memory of all adapter slots is
    /// reserved.
    pub fn memory_for_models_mb(engine: &Engine) -> u64 {
        let adapter_mb = engine.models.largest_adapter_mb();
        engine.memory_mb.saturating_sub(adapter_mb * engine.adapter_slots as u64)
    }

    /// Returns the accelerator memory that its models, including those being loaded, leave free, in
    /// MB.
    pub fn free_mb(&self, engine: &Engine) -> u64 {
        let size = |name: &str| engine.models.get(name).map_or(0, |model| model.size_mb);
        let used: u64 = self
            .models
            .iter()
            .filter(|(_, model)| model.state != ModelState::Unloading)
            .map(|(name, _)| size(name))
            .sum();
        Self::memory_for_models_mb(engine).saturating_sub(used)
    }

    /// Records the use of an adapter.
    pub fn on_adapter_used(&mut self, model: &str, adapter: &str, now_ms: u64) {
        let known = self.models.get_mut(model);
        if let Some(adapter) = known.and_then(|known| known.adapters.get_mut(adapter)) {
            adapter.last_used_ms = now_ms;
        }
    }

    /// Marks models as ready once the expected end of their load has passed; returns whether there
    /// were any.
    pub fn finish_loads(&mut self, now_ms: u64) -> bool {
        let mut finished = false;
        for (_, model) in self.models.iter_mut() {
            if matches!(model.state, ModelState::Loading { due_ms } if now_ms >= due_ms) {
                model.state = ModelState::Ready;
                model.protected_until_ms = now_ms + NEW_MODEL_PROTECTION_MS;
                finished = true;
            }
        }
        finished
    }

    /// Returns an order that carries the worker's current order count; `None` while it is unknown.
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

    /// Applies the outcome of an order; `load_ms` is the expected duration if it loads a model.
    pub fn on_order_outcome(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        load_ms: u64,
        now_ms: u64,
    ) {
        self.call_in_flight = false;
        self.last_change_ms = now_ms;
        if outcome != OrderOutcome::Unknown {
            self.consecutive_failed_calls = 0;
        }
        if outcome != OrderOutcome::Conflict {
            self.consecutive_conflicts = 0;
        }
        match outcome {
            OrderOutcome::Accepted => self.on_accepted(order, load_ms, now_ms),
            OrderOutcome::AlreadyHolds => self.on_already_holds(order, now_ms),
            OrderOutcome::Conflict => self.on_conflict(now_ms),
            OrderOutcome::Fenced => self.orders_accepted = None,
            OrderOutcome::OtherInstance | OrderOutcome::Refused { .. } => {
                self.orders_accepted = None;
                self.pending_load = None;
                self.next_call_ms = now_ms + REPORT_RETRY_MS;
            }
            OrderOutcome::Unknown => self.on_no_response(now_ms),
        }
    }

    fn on_accepted(&mut self, order: &Order, load_ms: u64, now_ms: u64) {
        self.orders_accepted = Some(order.expected_orders + 1);
        if order.adapter.is_some() {
            return self.on_adapter_order(order, now_ms);
        }
        // The worker executes one order at a time, so earlier unloads have finished.
        self.models.retain(|_, model| model.state != ModelState::Unloading);
        match order.kind {
            OrderKind::Load => {
                let due_ms = now_ms + load_ms + LOAD_MARGIN_MS;
                let from_store = self.pending_load.as_ref().is_some_and(|load| load.from_store);
                let state = if from_store {
                    ModelState::LoadingFromStore { started_ms: now_ms, nominal_ms: load_ms }
                } else {
                    ModelState::Loading { due_ms }
                };
                let model = WorkerModel {
                    state,
                    adapters: Table::new(),
                    protected_until_ms: due_ms + NEW_MODEL_PROTECTION_MS,
                };
                self.models.insert(order.model.clone(), model);
                self.pending_load = None;
            }
            OrderKind::Unload => {
                if let Some(model) = self.models.get_mut(order.model.as_str()) {
                    model.state = ModelState::Unloading;
                }
                self.remove_eviction(&order.model);
            }
        }
    }

    fn on_adapter_order(&mut self, order: &Order, now_ms: u64) {
        let Some(model) = self.models.get_mut(order.model.as_str()) else { return };
        let Some(adapter) = &order.adapter else { return };
        match order.kind {
            OrderKind::Load => {
                let loading =
                    WorkerAdapter { ready_ms: now_ms + ADAPTER_READY_MS, last_used_ms: now_ms };
                model.adapters.insert(adapter.clone(), loading);
            }
            OrderKind::Unload => {
                model.adapters.remove(adapter.as_str());
            }
        }
    }

    fn on_already_holds(&mut self, order: &Order, now_ms: u64) {
        match (&order.adapter, order.kind) {
            (Some(_), kind) => {
                if kind == OrderKind::Unload {
                    // The worker unloads an unused adapter at once and counts the order as
                    // accepted.
                    self.orders_accepted = Some(order.expected_orders + 1);
                }
                self.on_adapter_order(order, now_ms);
            }
            (None, OrderKind::Load) => {
                let model = WorkerModel {
                    state: ModelState::Ready,
                    adapters: Table::new(),
                    protected_until_ms: now_ms + NEW_MODEL_PROTECTION_MS,
                };
                self.models.get_or_insert_with(order.model.clone(), || model);
                self.pending_load = None;
            }
            (None, OrderKind::Unload) => {
                self.models.remove(order.model.as_str());
                self.remove_eviction(&order.model);
            }
        }
    }

    fn remove_eviction(&mut self, model: &str) {
        if let Some(load) = &mut self.pending_load {
            load.evict.retain(|name| name != model);
        }
    }

    fn on_conflict(&mut self, now_ms: u64) {
        self.consecutive_conflicts += 1;
        let remaining_ms = self.load_remaining_ms(now_ms);
        self.next_call_ms = now_ms + remaining_ms.clamp(CONFLICT_RETRY_MS, REPORT_RETRY_MS);
        // A conflict while the worker is not busy means that the order count here is wrong.
        let is_busy = self.is_unloading() || remaining_ms > 0;
        if !is_busy || self.consecutive_conflicts.is_multiple_of(CONFLICTS_BEFORE_REPORT) {
            self.orders_accepted = None;
        }
    }

    fn on_no_response(&mut self, now_ms: u64) {
        self.consecutive_failed_calls += 1;
        if self.is_responsive() {
            // The same order is sent again; as it carries the same order count, the worker accepts
            // only one of the two.
            self.next_call_ms = now_ms;
        } else {
            self.pending_load = None;
            self.orders_accepted = None;
            self.next_call_ms = now_ms + FAILED_CALL_RETRY_MS;
        }
    }

    /// Applies a report; `None` stands for a failed request.
    pub fn on_report(&mut self, report: Option<WorkerReport>, now_ms: u64) {
        self.call_in_flight = false;
        let Some(report) = report else {
            self.consecutive_failed_calls += 1;
            self.next_call_ms = now_ms + FAILED_CALL_RETRY_MS;
            return;
        };
        self.consecutive_failed_calls = 0;
        if report.start_unix_ms != 0 && report.start_unix_ms != self.start_unix_ms {
            // The worker has restarted; its new record will follow.
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

    /// Returns the models and adapters that instances may use on the worker.
    pub fn view(&self, now_ms: u64) -> WorkerView {
        let usable = self.models.iter().filter(|(name, _)| self.is_ready(name));
        let models = usable.map(|(name, model)| {
            let ready = model.adapters.iter().filter(|(_, adapter)| now_ms >= adapter.ready_ms);
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
