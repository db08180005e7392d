//! The lead's view of what each model worker holds, and its decisions on which model to load where.
//!
//! The view is built from workers' records, their reports and their responses to orders. Each order
//! carries the number of orders that the worker must have accepted before it, so that a delayed
//! order cannot take effect after a newer one.

use crate::gateway::directory::WorkerRecord;
use crate::gateway::directory::WorkerView;
use crate::gateway::orders::Order;
use crate::gateway::peers::Demand;
use crate::gateway::peers::WaitingTarget;
use crate::gateway::peers::WorkerLoad;
use crate::gateway::peers::tag;
use crate::sorted::Table;

pub mod driver;
mod index;
mod placement;
mod plan;
mod replicas;
pub mod residency;
mod store_limiter;
pub mod worker;

#[cfg(test)]
mod tests;

use crate::gateway::fleet::index::FleetIndex;
use crate::gateway::fleet::index::RunningRow;
use crate::gateway::fleet::plan::TargetKey;
use crate::gateway::fleet::store_limiter::StoreLoadLimiter;
use crate::gateway::fleet::worker::WorkerState;

/// Time constant with which the estimate of a model's request rate decays, in ms.
const RATE_DECAY_MS: f64 = 12_000.0;
/// Age from which an instance's demand report is ignored, in ms.
const DEMAND_STALE_MS: u64 = 1500;

/// A call to a worker, made by the I/O driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Request a report.
    Report,
    /// Send an order.
    Order(Order),
}

/// A planned load, with the figures that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Id of the worker that loads the model.
    pub worker: String,
    /// Name of the model to load.
    pub model: String,
    /// Models to evict first.
    pub evict: Vec<String>,
    /// Expected duration of the load, in ms.
    pub load_ms: u64,
    /// Estimated cost of the evictions, in ms of additional waiting time of requests.
    pub eviction_cost_ms: f64,
    /// Estimated request rate of the model, per second.
    pub rate_per_s: f64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Limit on concurrent loads from the weight store at the time of the decision.
    pub store_load_limit: usize,
}

/// Service and name of a model.
type ModelKey = (String, String);

#[derive(Clone, Debug, Default)]
struct ModelUsage {
    rate_per_s: f64,
    rate_updated_ms: u64,
    last_used_ms: u64,
}

#[derive(Clone, Debug)]
struct InstanceDemand {
    received_ms: u64,
    // Each with the number of its model.
    waiting_targets: Vec<(usize, WaitingTarget)>,
    // Requests in progress; empty once the report is too old.
    running: Vec<RunningRow>,
}

/// A view of a worker and the state that it was made from.
#[derive(Clone, Debug)]
struct CachedView {
    revision: u64,
    made_ms: u64,
    view: WorkerView,
}

/// The lead's state of all model workers, for one term.
#[derive(Clone, Debug)]
pub struct Fleet {
    fence: u64,
    workers: Table<String, WorkerState>,
    index: FleetIndex,
    views: Table<String, CachedView>,
    demand: Table<String, InstanceDemand>,
    store_load_starts_ms: Vec<u64>,
    store_limiter: StoreLoadLimiter,
    decisions: Vec<Decision>,
    next_preload_ms: u64,
    update_interval_ms: u64,
    // Target at which the next tick goes on, if the last one had to stop before its end.
    resume_at: Option<TargetKey>,
    // Model and worker at which replicas and free memory are looked at first, for the same reason.
    next_replica_model: usize,
    next_idle_worker: usize,
    // Number of steps at which the present tick ends.
    steps_limit: u64,
    steps: u64,
}

impl Fleet {
    /// Returns the initial state of a lead whose claim has the fencing number `fence`.
    pub fn new(fence: u64) -> Self {
        Self {
            fence,
            workers: Table::new(),
            index: FleetIndex::default(),
            views: Table::new(),
            demand: Table::new(),
            store_load_starts_ms: Vec::new(),
            store_limiter: StoreLoadLimiter::default(),
            decisions: Vec::new(),
            next_preload_ms: 0,
            update_interval_ms: 0,
            resume_at: None,
            next_replica_model: 0,
            next_idle_worker: 0,
            steps_limit: 0,
            steps: 0,
        }
    }

    /// Returns the fencing number of the lead's claim.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Applies a worker's record.
    pub fn on_worker_record(&mut self, record: &WorkerRecord, now_ms: u64) {
        match self.workers.get_mut(record.id.as_str()) {
            Some(worker) if worker.start_unix_ms == record.start_unix_ms => {
                worker.touch();
                if let Some(load) = worker.on_record(record, now_ms) {
                    self.store_limiter.on_load_finished(load, now_ms);
                }
            }
            _ => {
                let worker = WorkerState::new(record, now_ms);
                self.views.remove(record.id.as_str());
                self.workers.insert(record.id.clone(), worker);
            }
        }
        if let Some(worker) = self.workers.get(record.id.as_str()) {
            self.index.describe(worker, now_ms);
        }
    }

    /// Removes a worker.
    pub fn on_worker_removed(&mut self, id: &str) {
        self.workers.remove(id);
        self.views.remove(id);
        self.index.forget(id);
    }

    /// Sets the requests per second that a worker takes from all instances, if it limits them.
    pub fn set_limit(&mut self, id: &str, limit_per_s: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.limit_per_s = limit_per_s;
        }
    }

    /// Sets the shortest time between two updates to the instances, in ms. Evictions wait for one.
    pub fn set_update_interval(&mut self, update_interval_ms: u64) {
        self.update_interval_ms = update_interval_ms;
    }

    /// Returns the shortest time between two updates to the instances, in ms.
    pub fn update_interval_ms(&self) -> u64 {
        self.update_interval_ms
    }

    /// Applies a demand report of an instance.
    pub fn on_demand(&mut self, instance_id: &str, demand: Demand, now_ms: u64) {
        for target in &demand.uses {
            let Some(number) = self.index.number_of_model(&target.service, &target.model) else {
                continue;
            };
            self.index.on_arrivals(number, target.arrivals, now_ms);
            if let Some(adapter) = &target.adapter {
                for replica in &self.index.model(number).replicas {
                    let id = self.index.worker_id(replica.worker);
                    if let Some(worker) = self.workers.get_mut(id) {
                        worker.on_adapter_used(&target.model, adapter, now_ms);
                    }
                }
            }
        }
        let mut running = Vec::new();
        for row in &demand.running {
            let Some(worker) = self.workers.get(row.worker.as_str()) else { continue };
            let model = self.index.number_of_model(&worker.service, &row.model);
            let (Some(worker), Some(model)) = (self.index.worker_number(&row.worker), model) else {
                continue;
            };
            running.push(RunningRow { worker, model, count: row.count });
        }
        let mut waiting_targets = Vec::new();
        for target in demand.waiting_targets {
            if let Some(number) = self.index.number_of_model(&target.service, &target.model) {
                waiting_targets.push((number, target));
            }
        }
        self.index.add_running(&running);
        let report = InstanceDemand { received_ms: now_ms, waiting_targets, running };
        if let Some(previous) = self.demand.insert(instance_id.to_owned(), report) {
            self.index.remove_running(&previous.running);
        }
    }

    /// Ends the effect of reports that are too old.
    fn expire_reports(&mut self, now_ms: u64) {
        for (_, report) in self.demand.iter_mut() {
            if !report.is_fresh(now_ms) {
                self.index.remove_running(&std::mem::take(&mut report.running));
                report.waiting_targets.clear();
            }
        }
    }

    /// Returns what each worker holds, sorted by id, to be published to all instances. Workers whose
    /// state is not confirmed by a report are left out.
    pub fn views(&mut self, now_ms: u64) -> Vec<&WorkerView> {
        for (id, worker) in self.workers.iter() {
            let cached = self.views.get(id.as_str());
            let is_current = cached.is_some_and(|cached| {
                cached.revision == worker.revision()
                    && !worker.has_new_adapter(cached.made_ms, now_ms)
            });
            if !is_current {
                let (revision, view) = (worker.revision(), worker.view(now_ms));
                self.views.insert(id.clone(), CachedView { revision, made_ms: now_ms, view });
            }
        }
        self.workers
            .iter()
            .filter(|(_, worker)| worker.is_order_count_known())
            .filter_map(|(id, _)| self.views.get(id.as_str()).map(|cached| &cached.view))
            .collect()
    }

    /// Returns the requests in progress, over all instances, of the `max_workers` busiest workers,
    /// sorted by tag.
    pub fn busiest_workers(&self, max_workers: usize) -> Vec<WorkerLoad> {
        let running = self.index.running_by_worker();
        let mut loads: Vec<WorkerLoad> = running
            .map(|(worker, running)| WorkerLoad { worker: tag(&[worker]), running })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running));
        loads.truncate(max_workers);
        loads.sort_by_key(|load| load.worker);
        loads
    }

    /// Returns the number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of steps of the planner since the last call: models, workers and replicas
    /// that it has looked at.
    pub fn take_steps(&mut self) -> u64 {
        std::mem::take(&mut self.steps)
    }

    /// Returns the loads planned since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns a worker's state.
    pub fn worker(&self, id: &str) -> Option<&WorkerState> {
        self.workers.get(id)
    }

    /// Returns a worker's state for modification.
    pub fn worker_mut(&mut self, id: &str) -> Option<&mut WorkerState> {
        let worker = self.workers.get_mut(id)?;
        worker.touch();
        Some(worker)
    }

    /// Changes a worker's state and what the planner looks up of it.
    fn change_worker(&mut self, id: &str, now_ms: u64, change: impl FnOnce(&mut WorkerState)) {
        let Some(worker) = self.worker_mut(id) else { return };
        change(worker);
        if let Some(worker) = self.workers.get(id) {
            self.index.describe(worker, now_ms);
        }
    }
}

impl InstanceDemand {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms <= self.received_ms + DEMAND_STALE_MS
    }
}

impl ModelUsage {
    fn rate_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.rate_updated_ms) as f64;
        self.rate_per_s * (-age_ms / RATE_DECAY_MS).exp()
    }

    fn add_arrivals(&mut self, arrivals: f64, now_ms: u64) {
        self.rate_per_s = self.rate_per_s(now_ms) + arrivals * 1000.0 / RATE_DECAY_MS;
        self.rate_updated_ms = now_ms;
    }
}
