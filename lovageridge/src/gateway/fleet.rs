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
mod plan;
mod replicas;
pub mod residency;
mod store_limiter;
pub mod worker;

#[cfg(test)]
mod tests;

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
    waiting_targets: Vec<WaitingTarget>,
    // Requests in progress by worker and model.
    running: Table<(String, String), u32>,
}

/// The lead's state of all model workers, for one term.
#[derive(Clone, Debug)]
pub struct Fleet {
    fence: u64,
    workers: Table<String, WorkerState>,
    usage: Table<ModelKey, ModelUsage>,
    demand: Table<String, InstanceDemand>,
    store_load_starts_ms: Vec<u64>,
    store_limiter: StoreLoadLimiter,
    decisions: Vec<Decision>,
}

impl Fleet {
    /// Returns the initial state of a lead whose claim has the fencing number `fence`.
    pub fn new(fence: u64) -> Self {
        Self {
            fence,
            workers: Table::new(),
            usage: Table::new(),
            demand: Table::new(),
            store_load_starts_ms: Vec::new(),
            store_limiter: StoreLoadLimiter::default(),
            decisions: Vec::new(),
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
                if let Some(load) = worker.on_record(record, now_ms) {
                    self.store_limiter.on_load_finished(load);
                }
            }
            _ => {
                let worker = WorkerState::new(record, now_ms);
                self.workers.insert(record.id.clone(), worker);
            }
        }
    }

    /// Removes a worker.
    pub fn on_worker_removed(&mut self, id: &str) {
        self.workers.remove(id);
    }

    /// Removes the workers for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.workers.retain(|id, _| keep(id));
    }

    /// Applies a demand report of an instance.
    pub fn on_demand(&mut self, instance_id: &str, demand: Demand, now_ms: u64) {
        for target in &demand.uses {
            let key = (target.service.clone(), target.model.clone());
            let usage = self.usage.get_or_insert_with(key, ModelUsage::default);
            usage.add_arrivals(f64::from(target.arrivals), now_ms);
            usage.last_used_ms = now_ms;
            if let Some(adapter) = &target.adapter {
                for (_, worker) in self.workers.iter_mut() {
                    worker.on_adapter_used(&target.model, adapter, now_ms);
                }
            }
        }
        let rows = demand.running.into_iter().map(|row| ((row.worker, row.model), row.count));
        let instance_demand = InstanceDemand {
            received_ms: now_ms,
            waiting_targets: demand.waiting_targets,
            running: rows.collect(),
        };
        self.demand.insert(instance_id.to_owned(), instance_demand);
    }

    /// Returns what each worker holds, to be published to all instances. Workers whose state is not
    /// confirmed by a report are left out.
    pub fn views(&self, now_ms: u64) -> Vec<WorkerView> {
        self.workers
            .values()
            .filter(|worker| worker.is_order_count_known())
            .map(|worker| worker.view(now_ms))
            .collect()
    }

    /// Returns the requests in progress, over all instances, of the `max_workers` busiest workers,
    /// sorted by tag.
    pub fn busiest_workers(&self, max_workers: usize, now_ms: u64) -> Vec<WorkerLoad> {
        let mut running: Table<&str, u32> = Table::new();
        for report in
            self.demand.values().filter(|report| now_ms <= report.received_ms + DEMAND_STALE_MS)
        {
            for ((worker, _), count) in report.running.iter() {
                *running.get_or_insert_with(worker.as_str(), || 0) += count;
            }
        }
        let mut loads: Vec<WorkerLoad> = running
            .iter()
            .map(|(worker, count)| WorkerLoad { worker: tag(&[worker]), running: *count })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running));
        loads.truncate(max_workers);
        loads.sort_by_key(|load| load.worker);
        loads
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
        self.workers.get_mut(id)
    }

    /// Returns the number of requests in progress for `model` on `worker`, over all instances.
    fn running_requests(&self, worker: &str, model: &str, now_ms: u64) -> u32 {
        let key = (worker.to_owned(), model.to_owned());
        let fresh =
            self.demand.values().filter(|report| now_ms <= report.received_ms + DEMAND_STALE_MS);
        fresh.filter_map(|report| report.running.get(&key)).sum()
    }

    /// Returns the number of requests in progress for `model`, over all workers and instances.
    fn running_requests_total(&self, model: &str, now_ms: u64) -> u32 {
        let fresh =
            self.demand.values().filter(|report| now_ms <= report.received_ms + DEMAND_STALE_MS);
        let rows = fresh.flat_map(|report| report.running.iter());
        rows.filter(|((_, name), _)| name == model).map(|(_, count)| count).sum()
    }

    fn rate_per_s(&self, service: &str, model: &str, now_ms: u64) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        self.usage.get(&key).map_or(0.0, |usage| usage.rate_per_s(now_ms))
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
