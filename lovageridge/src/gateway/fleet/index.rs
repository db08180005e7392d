//! What the planner looks up about models and workers, kept up to date as these change.
//!
//! Names are resolved to numbers once, and sums over workers and instances are adjusted by each
//! change. The cost of a look at a model thus depends neither on the number of workers nor on that of
//! instances.

use crate::gateway::fleet::ModelKey;
use crate::gateway::fleet::ModelUsage;
use crate::gateway::fleet::worker::WorkerState;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Largest number of model names; further ones, which callers may make up, are ignored.
const MAX_MODELS: usize = 1 << 16;

/// A replica of a model at a worker that is in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Number of the worker.
    pub worker: usize,
    /// Whether it is ready; otherwise it is being loaded or planned.
    pub is_ready: bool,
}

/// State of a model over all workers and instances.
#[derive(Clone, Debug, Default)]
pub struct ModelEntry {
    /// Service and name.
    pub key: ModelKey,
    /// Replicas at workers that respond and do not leave.
    pub replicas: Vec<Replica>,
    /// Numbers of the workers with a cached copy that respond and do not leave.
    pub cached: Vec<usize>,
    /// Requests in progress.
    pub running: u32,
    /// Rate and last use.
    pub usage: Option<ModelUsage>,
    // Number of workers that do not leave and have it ready or, if they respond, cached.
    available: u32,
}

impl ModelEntry {
    /// Returns whether a worker could serve it without the weight store.
    pub fn is_available(&self) -> bool {
        self.available > 0
    }

    /// Returns the estimated request rate, per second.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        self.usage.as_ref().map_or(0.0, |usage| usage.rate_per_s(now_ms))
    }
}

/// What a worker contributes to the entry of a model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Contribution {
    model: usize,
    replica: Option<Replica>,
    is_cached: bool,
    is_available: bool,
}

/// State of a worker that decides on its contributions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Basis {
    start_unix_ms: u64,
    revision: u64,
    is_leaving: bool,
    is_responsive: bool,
    is_stalled: bool,
}

#[derive(Clone, Debug)]
struct WorkerEntry {
    id: String,
    basis: Option<Basis>,
    contributions: Vec<Contribution>,
    // Requests in progress by number of the model.
    running: Vec<(usize, u32)>,
}

/// Requests in progress that an instance has reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningRow {
    /// Number of the worker.
    pub worker: usize,
    /// Number of the model.
    pub model: usize,
    /// Number of requests.
    pub count: u32,
}

/// Entries of all models and workers.
#[derive(Clone, Debug, Default)]
pub struct FleetIndex {
    model_numbers: Table<String, Table<String, usize>>,
    models: Vec<ModelEntry>,
    worker_numbers: Table<String, usize>,
    workers: Vec<WorkerEntry>,
}

impl FleetIndex {
    /// Returns the entries of all models, by number.
    pub fn models(&self) -> &[ModelEntry] {
        &self.models
    }

    /// Returns the entry of the model with `number`.
    pub fn model(&self, number: usize) -> &ModelEntry {
        &self.models[number]
    }

    /// Returns the number of a model, if it is known.
    pub fn model_number(&self, service: &str, model: &str) -> Option<usize> {
        self.model_numbers.get(service)?.get(model).copied()
    }

    /// Returns the entry of a model, if it is known.
    pub fn model_named(&self, service: &str, model: &str) -> Option<&ModelEntry> {
        self.model_number(service, model).map(|number| &self.models[number])
    }

    /// Returns the number of a model, adding it if necessary; `None` if there are too many.
    pub fn number_of_model(&mut self, service: &str, model: &str) -> Option<usize> {
        if let Some(number) = self.model_number(service, model) {
            return Some(number);
        }
        if self.models.len() >= MAX_MODELS {
            return None;
        }
        let number = self.models.len();
        let key = (service.to_owned(), model.to_owned());
        self.models.push(ModelEntry { key, ..ModelEntry::default() });
        let numbers = self.model_numbers.get_or_insert_with(service.to_owned(), Table::new);
        numbers.insert(model.to_owned(), number);
        Some(number)
    }

    /// Records arrivals of requests for the model with `number`.
    pub fn on_arrivals(&mut self, number: usize, arrivals: u32, now_ms: u64) {
        let usage = self.models[number].usage.get_or_insert_with(ModelUsage::default);
        usage.add_arrivals(f64::from(arrivals), now_ms);
        usage.last_used_ms = now_ms;
    }

    /// Returns the id of the worker with `number`.
    pub fn worker_id(&self, number: usize) -> &str {
        &self.workers[number].id
    }

    /// Returns the number of a worker, if it has been described.
    pub fn worker_number(&self, id: &str) -> Option<usize> {
        self.worker_numbers.get(id).copied()
    }

    /// Replaces what is known of a worker, if it has changed.
    pub fn describe(&mut self, worker: &WorkerState, now_ms: u64) {
        let number = self.number_of_worker(&worker.id);
        let basis = Basis {
            start_unix_ms: worker.start_unix_ms,
            revision: worker.revision(),
            is_leaving: worker.leaving,
            is_responsive: worker.is_responsive(),
            is_stalled: worker.is_stalled(now_ms),
        };
        if self.workers[number].basis == Some(basis) {
            return;
        }
        self.withdraw(number);
        let contributions = self.contributions(worker, number, now_ms);
        for contribution in &contributions {
            let entry = &mut self.models[contribution.model];
            entry.replicas.extend(contribution.replica);
            entry.available += u32::from(contribution.is_available);
            if contribution.is_cached {
                entry.cached.push(number);
            }
        }
        let entry = &mut self.workers[number];
        entry.contributions = contributions;
        entry.basis = Some(basis);
    }

    /// Removes what is known of a worker.
    pub fn forget(&mut self, id: &str) {
        if let Some(number) = self.worker_number(id) {
            self.withdraw(number);
        }
    }

    fn withdraw(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.basis = None;
        for contribution in std::mem::take(&mut worker.contributions) {
            let entry = &mut self.models[contribution.model];
            entry.replicas.retain(|replica| replica.worker != number);
            entry.cached.retain(|cached| *cached != number);
            entry.available -= u32::from(contribution.is_available);
        }
    }

    fn number_of_worker(&mut self, id: &str) -> usize {
        let next = self.workers.len();
        let number = *self.worker_numbers.get_or_insert_with(id.to_owned(), || next);
        if number == next {
            self.workers.push(WorkerEntry {
                id: id.to_owned(),
                basis: None,
                contributions: Vec::new(),
                running: Vec::new(),
            });
        }
        number
    }

    fn contributions(
        &mut self,
        worker: &WorkerState,
        number: usize,
        now_ms: u64,
    ) -> Vec<Contribution> {
        if worker.leaving {
            return Vec::new();
        }
        let is_responsive = worker.is_responsive();
        let mut rows: Table<usize, Contribution> = Table::new();
        let held = worker.models.keys();
        let planned = worker.pending_load.as_ref().map(|load| &load.model);
        for name in held.chain(planned) {
            let Some(model) = self.number_of_model(&worker.service, name) else { continue };
            let is_ready = worker.is_ready(name);
            let is_replica = is_ready || worker.is_load_underway(name, now_ms);
            let replica = Replica { worker: number, is_ready };
            let row = Contribution {
                model,
                replica: (is_responsive && is_replica).then_some(replica),
                is_cached: false,
                is_available: is_ready,
            };
            rows.insert(model, row);
        }
        if is_responsive {
            for name in worker.in_memory.iter().chain(&worker.on_disk) {
                let Some(model) = self.number_of_model(&worker.service, name) else { continue };
                let empty = Contribution { model, ..Contribution::default() };
                let row = rows.get_or_insert_with(model, || empty);
                row.is_cached = true;
                row.is_available = true;
            }
        }
        rows.values().copied().collect()
    }

    /// Adds requests in progress that an instance reports.
    pub fn add_running(&mut self, rows: &[RunningRow]) {
        for row in rows {
            self.models[row.model].running += row.count;
            let running = &mut self.workers[row.worker].running;
            match running.iter_mut().find(|(model, _)| *model == row.model) {
                Some((_, count)) => *count += row.count,
                None => running.push((row.model, row.count)),
            }
        }
    }

    /// Removes requests that were added before.
    pub fn remove_running(&mut self, rows: &[RunningRow]) {
        for row in rows {
            let model = &mut self.models[row.model];
            model.running = model.running.saturating_sub(row.count);
            let running = &mut self.workers[row.worker].running;
            for (_, count) in running.iter_mut().filter(|(model, _)| *model == row.model) {
                *count = count.saturating_sub(row.count);
            }
            running.retain(|(_, count)| *count > 0);
        }
    }

    /// Returns the requests in progress for the model with `model` at the worker `id`.
    pub fn running_at(&self, id: &str, model: usize) -> u32 {
        let Some(number) = self.worker_number(id) else { return 0 };
        let running = &self.workers[number].running;
        running.iter().find(|(known, _)| *known == model).map_or(0, |(_, count)| *count)
    }

    /// Returns the requests in progress of each worker that has some, by id.
    pub fn running_by_worker(&self) -> impl Iterator<Item = (&str, u32)> {
        self.workers
            .iter()
            .filter(|worker| !worker.running.is_empty())
            .map(|worker| (worker.id.as_str(), worker.running.iter().map(|(_, count)| count).sum()))
    }
}
