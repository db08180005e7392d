//! What model workers hold: which models are loaded where, decided by the lead.
//!
//! The state follows from workers' reports and the answers to orders. Each order names the number
//! of orders that the worker must have accepted before, so that an order that was held up cannot
//! take effect after a newer one.

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
pub mod residency;
mod store_limiter;
pub mod worker;

#[cfg(test)]
mod tests;

use crate::gateway::fleet::store_limiter::StoreLoadLimiter;
use crate::gateway::fleet::worker::WorkerState;

/// Time in which the estimate of a model's rate forgets, in ms.
const RATE_DECAY_MS: f64 = 12_000.0;
/// Age at which what an instance said no longer counts, in ms.
const DEMAND_STALE_MS: u64 = 1500;

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask for a report.
    Report,
    /// Give an order.
    Order(Order),
}

/// A load that was decided, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Worker.
    pub worker: String,
    /// Model.
    pub model: String,
    /// Models that are given up for it.
    pub evict: Vec<String>,
    /// Expected time of the load, in ms.
    pub load_ms: u64,
    /// What the loss of the models given up costs, in ms of waiting.
    pub eviction_cost_ms: f64,
    /// Requests a second for the model.
    pub rate_per_s: f64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Loads from there that may go on at once, as learned so far.
    pub store_load_limit: usize,
}

/// Name of a model with its service.
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

/// State of the lead over all model workers.
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
    /// Returns the state of a lead that has just gained `fence`.
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

    /// Takes over a worker's record.
    pub fn on_worker_record(&mut self, record: &WorkerRecord, now_ms: u64) {
        match self.workers.get_mut(record.id.as_str()) {
            Some(site) if site.start_unix_ms == record.start_unix_ms => {
                if let Some(load) = site.on_record(record, now_ms) {
                    self.store_limiter.on_load_finished(load);
                }
            }
            _ => {
                let site = WorkerState::new(record, now_ms);
                self.workers.insert(record.id.clone(), site);
            }
        }
    }

    /// Drops a worker.
    pub fn on_worker_removed(&mut self, id: &str) {
        self.workers.remove(id);
    }

    /// Drops the workers for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.workers.retain(|id, _| keep(id));
    }

    /// Takes over what the callers of an instance want.
    pub fn on_demand(&mut self, instance_id: &str, demand: Demand, now_ms: u64) {
        for used in &demand.uses {
            let key = (used.service.clone(), used.model.clone());
            let model = self.usage.get_or_insert_with(key, ModelUsage::default);
            model.add_arrivals(f64::from(used.arrivals), now_ms);
            model.last_used_ms = now_ms;
            if let Some(adapter) = &used.adapter {
                for (_, site) in self.workers.iter_mut() {
                    site.on_adapter_used(&used.model, adapter, now_ms);
                }
            }
        }
        let rows = demand.running.into_iter().map(|row| ((row.worker, row.model), row.count));
        let heard = InstanceDemand {
            received_ms: now_ms,
            waiting_targets: demand.waiting_targets,
            running: rows.collect(),
        };
        self.demand.insert(instance_id.to_owned(), heard);
    }

    /// Returns what the workers hold, for all instances.
    pub fn views(&self, now_ms: u64) -> Vec<WorkerView> {
        self.workers
            .values()
            .filter(|site| site.is_order_count_known())
            .map(|site| site.view(now_ms))
            .collect()
    }

    /// Returns the requests in progress of the busiest workers over all instances, by tag; `most`
    /// workers at most.
    pub fn busiest_workers(&self, most: usize, now_ms: u64) -> Vec<WorkerLoad> {
        let mut running: Table<&str, u32> = Table::new();
        for heard in
            self.demand.values().filter(|heard| now_ms <= heard.received_ms + DEMAND_STALE_MS)
        {
            for ((worker, _), count) in heard.running.iter() {
                *running.get_or_insert_with(worker.as_str(), || 0) += count;
            }
        }
        let mut loads: Vec<WorkerLoad> = running
            .iter()
            .map(|(worker, count)| WorkerLoad { worker: tag(&[worker]), running: *count })
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running));
        loads.truncate(most);
        loads.sort_by_key(|load| load.worker);
        loads
    }

    /// Returns the loads decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns a worker's state.
    pub fn worker(&self, id: &str) -> Option<&WorkerState> {
        self.workers.get(id)
    }

    /// Returns a worker's state for changes.
    pub fn worker_mut(&mut self, id: &str) -> Option<&mut WorkerState> {
        self.workers.get_mut(id)
    }

    /// Returns the requests in progress of `model` at `worker`, over all instances.
    fn running_requests(&self, worker: &str, model: &str, now_ms: u64) -> u32 {
        let key = (worker.to_owned(), model.to_owned());
        let fresh =
            self.demand.values().filter(|heard| now_ms <= heard.received_ms + DEMAND_STALE_MS);
        fresh.filter_map(|heard| heard.running.get(&key)).sum()
    }

    /// Returns the requests in progress of `model` over all workers and instances.
    fn running_requests_total(&self, model: &str, now_ms: u64) -> u32 {
        let fresh =
            self.demand.values().filter(|heard| now_ms <= heard.received_ms + DEMAND_STALE_MS);
        let rows = fresh.flat_map(|heard| heard.running.iter());
        rows.filter(|((_, name), _)| name == model).map(|(_, count)| count).sum()
    }

    fn rate_per_s(&self, service: &str, model: &str, now_ms: u64) -> f64 {
        let key = (service.to_owned(), model.to_owned());
        self.usage.get(&key).map_or(0.0, |model| model.rate_per_s(now_ms))
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
