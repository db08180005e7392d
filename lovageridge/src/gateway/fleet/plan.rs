//! Planner: decides which model is loaded on which worker.
//!
//! It loads models that requests wait for, adds replicas of busy models and fills free memory. A tick
//! looks only at the workers that can help, and stops after a bounded number of steps; the next one goes
//! on from there.

use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Engine;
use crate::gateway::fleet::Call;
use crate::gateway::fleet::Decision;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::index::ModelEntry;
use crate::gateway::fleet::placement::ModelPlacement;
use crate::gateway::fleet::placement::REPLICATED_COST_FACTOR;
use crate::gateway::fleet::placement::expected_rate;
use crate::gateway::fleet::worker::PendingLoad;
use crate::gateway::fleet::worker::WorkerState;
use crate::gateway::orders::OrderKind;
use crate::gateway::peers::DelayedModel;
use crate::gateway::peers::WaitingTarget;
use crate::gateway::peers::tag;

/// Delay between publishing an eviction and ordering it, in ms: time for a datagram to another
/// failure domain and for one back that reports requests in progress from there.
const EVICTION_NOTICE_MS: u64 = 9;
/// Requests per second from which free memory is used for a further replica of a model.
const PRELOAD_REPLICA_RATE: f64 = 0.15;
/// Share of the permitted rate of loads from the weight store that is used, in percent.
const STORE_BUDGET_PCT: f64 = 80.0;
/// Time since its last request during which a model that is only in the weight store counts as in
/// demand, in ms: slightly longer than a load from there.
const RECENT_REQUEST_MS: u64 = 15_000;
/// Shortest time until a model is usable that is reported as a delay, in ms; shorter than callers'
/// timeouts.
const MIN_REPORTED_DELAY_MS: u64 = 1000;
/// Time since its last use after which an adapter may be evicted, in ms.
const ADAPTER_IDLE_MS: u64 = 400;
/// Interval at which free memory is filled, in ms.
const PRELOAD_INTERVAL_MS: u64 = 60;
/// Steps after which a tick looks at nothing further.
pub(super) const MAX_STEPS_PER_TICK: u64 = 4000;
/// Steps after which a tick makes no further target available, so that some are left for replicas.
const MAX_STEPS_FOR_TARGETS: u64 = 3000;

/// Number of a model, and the adapter if one is meant.
pub(super) type TargetKey = (usize, Option<String>);

/// A model or adapter that requests wait for, summed over all instances.
#[derive(Clone, Debug)]
struct UnmetDemand {
    model: usize,
    adapter: Option<String>,
    waiting: u32,
    slack_ms: u64,
    unreachable_workers: Vec<String>,
}

impl Fleet {
    /// Plans loads and returns the calls that are due, by worker.
    pub fn tick(
        &mut self,
        catalog: &Catalog,
        may_order: bool,
        load_window_ms: u64,
        now_ms: u64,
    ) -> Vec<(String, Call)> {
        self.expire_reports(now_ms);
        for (_, worker) in self.workers.iter_mut() {
            if worker.finish_loads(now_ms) {
                worker.touch();
            }
            self.index.describe(worker, now_ms);
        }
        self.store_load_starts_ms.retain(|at_ms| now_ms < at_ms + load_window_ms);
        let mut calls = Vec::new();
        self.cancel_obsolete_loads(now_ms);
        if may_order {
            self.steps_limit = self.steps + MAX_STEPS_PER_TICK;
            self.add_stored_replicas(catalog, load_window_ms, now_ms);
            self.make_demand_available(catalog, load_window_ms, &mut calls, now_ms);
            self.add_replicas(catalog, load_window_ms, now_ms);
            if now_ms >= self.next_preload_ms {
                self.next_preload_ms = now_ms + PRELOAD_INTERVAL_MS;
                self.preload_into_free_memory(catalog, now_ms);
            }
        }
        calls.extend(self.due_calls(catalog, may_order, now_ms));
        calls
    }

    /// Plans loads for all that requests wait for, until the steps of this tick are used up.
    fn make_demand_available(
        &mut self,
        catalog: &Catalog,
        load_window_ms: u64,
        calls: &mut Vec<(String, Call)>,
        now_ms: u64,
    ) {
        let mut demands = self.unmet_demand(now_ms);
        demands.extend(self.uncached_demand(now_ms));
        let resume_at = self.resume_at.take();
        if let Some(key) = resume_at
            && let Some(index) = demands.iter().position(|demand| demand.is_for(&key))
        {
            demands.rotate_left(index);
        }
        let steps_limit = self.steps + MAX_STEPS_FOR_TARGETS;
        for demand in demands {
            if self.steps >= steps_limit.min(self.steps_limit) {
                self.resume_at = Some((demand.model, demand.adapter));
                break;
            }
            calls.extend(self.make_available(catalog, &demand, load_window_ms, now_ms));
        }
    }

    /// Cancels pending loads that are stalled and whose model is ready on another worker by now.
    fn cancel_obsolete_loads(&mut self, now_ms: u64) {
        let mut obsolete = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.is_stalled(now_ms)) {
            let Some(load) = &worker.pending_load else { continue };
            let entry = self.index.model_named(&worker.service, &load.model);
            if entry.is_some_and(|entry| entry.replicas.iter().any(|replica| replica.is_ready)) {
                obsolete.push(worker.id.clone());
            }
        }
        for id in obsolete {
            self.change_worker(&id, now_ms, WorkerState::cancel_pending_load);
        }
    }

    /// Returns what requests wait for, most urgent first.
    fn unmet_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        let reports = self.demand.values().filter(|report| report.is_fresh(now_ms));
        let mut targets: Vec<&(usize, WaitingTarget)> =
            reports.flat_map(|report| &report.waiting_targets).collect();
        targets.sort_by(|(a, target_a), (b, target_b)| {
            (a, &target_a.adapter).cmp(&(b, &target_b.adapter))
        });
        let mut demands: Vec<UnmetDemand> = Vec::new();
        for (model, target) in targets {
            let last = demands.last_mut();
            match last.filter(|last| last.model == *model && last.adapter == target.adapter) {
                Some(demand) => {
                    demand.waiting += target.waiting;
                    demand.slack_ms = demand.slack_ms.max(target.slack_ms);
                    demand.unreachable_workers.extend(target.unreachable_workers.iter().cloned());
                }
                None => demands.push(UnmetDemand {
                    model: *model,
                    adapter: target.adapter.clone(),
                    waiting: target.waiting,
                    slack_ms: target.slack_ms,
                    unreachable_workers: target.unreachable_workers.clone(),
                }),
            }
        }
        // Targets whose objective can still be met come first, then those with the most requests.
        demands.sort_by_key(|demand| {
            (demand.slack_ms == 0, std::cmp::Reverse(demand.waiting), demand.slack_ms)
        });
        demands
    }

    /// Returns the numbers of the recently requested models that are only in the weight store, with
    /// their request rates, highest first.
    pub(super) fn uncached_models(&self, now_ms: u64) -> Vec<(f64, usize)> {
        let is_requested = |entry: &ModelEntry| {
            let last_used_ms = entry.usage.as_ref().map(|usage| usage.last_used_ms);
            last_used_ms.is_some_and(|used_ms| now_ms <= used_ms + RECENT_REQUEST_MS)
        };
        let entries = self.index.models().iter().enumerate();
        let uncached = entries.filter(|(_, entry)| !entry.is_available() && is_requested(entry));
        let mut rows: Vec<(f64, usize)> =
            uncached.map(|(number, entry)| (entry.rate_per_s(now_ms), number)).collect();
        rows.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        rows
    }

    /// Returns the demand for models that are only in the weight store, as long as further loads
    /// from there may start. Requests for these models are refused, so none of them is waiting.
    fn uncached_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        if self.store_loads_in_progress() >= self.store_limiter.limit() {
            return Vec::new();
        }
        let to_demand = |(rate_per_s, model): (f64, usize)| UnmetDemand {
            model,
            adapter: None,
            waiting: (rate_per_s * RECENT_REQUEST_MS as f64 / 1000.0).ceil() as u32,
            slack_ms: 0,
            unreachable_workers: Vec::new(),
        };
        self.uncached_models(now_ms).into_iter().map(to_demand).collect()
    }

    /// Returns up to `max_models` models that are in demand and will not be usable for a while,
    /// since they are only in the weight store; sorted by tag.
    pub fn delayed_models(
        &self,
        catalog: &Catalog,
        max_models: usize,
        now_ms: u64,
    ) -> Vec<DelayedModel> {
        let mut queued = 0;
        let loads_in_progress = self.store_loads_in_progress();
        let rows = self.uncached_models(now_ms).into_iter().filter_map(|(_, number)| {
            let (service, model) = &self.index.model(number).key;
            let load_ms = catalog.engine(service)?.models.get(model.as_str())?.store_load_ms;
            let usable_in_ms =
                self.store_load_remaining_ms(service, model, now_ms).unwrap_or_else(|| {
                    queued += 1;
                    self.queued_store_load_remaining_ms(load_ms, queued, loads_in_progress, now_ms)
                });
            let delayed =
                DelayedModel { model: tag(&[service, model]), usable_in_ms: usable_in_ms as u32 };
            (usable_in_ms >= MIN_REPORTED_DELAY_MS).then_some(delayed)
        });
        let mut delayed: Vec<DelayedModel> = rows.take(max_models).collect();
        delayed.sort_by_key(|delayed| delayed.model);
        delayed
    }

    /// Returns the time until the first planned or running load of `model` from the weight store is
    /// expected to finish, in ms; `None` without such a load.
    fn store_load_remaining_ms(&self, service: &str, model: &str, now_ms: u64) -> Option<u64> {
        let workers =
            self.workers.values().filter(|worker| worker.service == service && !worker.leaving);
        workers.filter_map(|worker| worker.store_load_remaining_ms(model, now_ms)).min()
    }

    /// Returns the time until the load at `position` (from 1) of the queue for the weight store is
    /// expected to finish, in ms, if each load takes `load_ms` and `loads_in_progress` are running.
    fn queued_store_load_remaining_ms(
        &self,
        load_ms: u64,
        position: u64,
        loads_in_progress: usize,
        now_ms: u64,
    ) -> u64 {
        let limit = self.store_limiter.limit();
        let batches = position.div_ceil(limit as u64);
        if loads_in_progress < limit {
            return batches * load_ms;
        }
        let next_end_ms = self
            .workers
            .values()
            .filter_map(|worker| worker.any_store_load_remaining_ms(now_ms))
            .min();
        batches * load_ms + next_end_ms.unwrap_or(0)
    }

    /// Plans the load of a model that no worker can serve; for an adapter of a model that is ready,
    /// returns the order that loads it or first makes room for it.
    fn make_available(
        &mut self,
        catalog: &Catalog,
        demand: &UnmetDemand,
        load_window_ms: u64,
        now_ms: u64,
    ) -> Option<(String, Call)> {
        self.steps += 1;
        let entry = self.index.model(demand.model);
        let (service, model) = entry.key.clone();
        let engine = catalog.engine(&service)?;
        engine.models.get(model.as_str())?;
        let is_cached = !entry.cached.is_empty();
        let mut is_underway = false;
        for replica in &entry.replicas {
            let is_reachable = || {
                let id = self.index.worker_id(replica.worker);
                !demand.unreachable_workers.iter().any(|unreachable| unreachable == id)
            };
            self.steps += 1;
            if replica.is_ready && is_reachable() {
                let adapter = demand.adapter.as_deref()?;
                return self.load_adapter(engine, demand, adapter, now_ms);
            }
            is_underway |= !replica.is_ready && is_reachable();
        }
        if is_underway || (!is_cached && !self.may_load_from_store(engine, load_window_ms)) {
            return None;
        }
        let waiting_requests = f64::from(demand.waiting.max(1));
        let placement =
            self.best_placement(engine, demand.model, waiting_requests, false, now_ms)?;
        self.plan_load(placement, &model, load_window_ms, engine, now_ms);
        None
    }

    /// Returns an order that loads the adapter on the least busy worker with its model, or evicts
    /// an idle adapter there if no slot is free.
    fn load_adapter(
        &mut self,
        engine: &Engine,
        demand: &UnmetDemand,
        adapter: &str,
        now_ms: u64,
    ) -> Option<(String, Call)> {
        let entry = self.index.model(demand.model);
        let model = entry.key.1.clone();
        let has_adapter = |worker: &WorkerState| {
            let known = worker.models.get(model.as_str());
            known.is_some_and(|known| known.adapters.contains(adapter))
        };
        let ready = entry.replicas.iter().filter(|replica| replica.is_ready);
        let candidates: Vec<&WorkerState> = ready
            .filter_map(|replica| self.workers.get(self.index.worker_id(replica.worker)))
            .filter(|worker| !demand.unreachable_workers.contains(&worker.id))
            .collect();
        self.steps += candidates.len() as u64;
        if candidates.iter().any(|worker| has_adapter(worker)) {
            return None;
        }
        let callable = candidates.into_iter().filter(|worker| {
            worker.is_order_count_known() && !worker.call_in_flight && now_ms >= worker.next_call_ms
        });
        let id = callable
            .min_by_key(|worker| {
                let full = worker.adapter_count() >= engine.adapter_slots;
                let running = self.index.running_at(&worker.id, demand.model);
                (full, running, worker.adapter_count())
            })
            .map(|worker| worker.id.clone())?;
        let fence = self.fence;
        let worker = self.workers.get_mut(id.as_str())?;
        let order = if worker.adapter_count() >= engine.adapter_slots {
            let (held, idle) = least_recently_used_adapter(worker, now_ms)?;
            worker.order(OrderKind::Unload, &held, Some(&idle), fence)?
        } else {
            worker.order(OrderKind::Load, &model, Some(adapter), fence)?
        };
        worker.call_in_flight = true;
        Some((id, Call::Order(order)))
    }

    /// Returns whether a further load from the weight store may start.
    pub(super) fn may_load_from_store(&self, engine: &Engine, load_window_ms: u64) -> bool {
        let window_s = load_window_ms as f64 / 1000.0;
        let max_starts = engine.store_loads_per_s * window_s * STORE_BUDGET_PCT / 100.0;
        (self.store_load_starts_ms.len() as f64) < max_starts
            && self.store_loads_in_progress() < self.store_limiter.limit()
    }

    /// Plans a load on the worker of `placement`, unless that would exceed the limits on loads from
    /// the weight store.
    pub(super) fn plan_load(
        &mut self,
        placement: ModelPlacement,
        model: &str,
        load_window_ms: u64,
        engine: &Engine,
        now_ms: u64,
    ) {
        if placement.from_store {
            if !self.may_load_from_store(engine, load_window_ms) {
                return;
            }
            self.store_load_starts_ms.push(now_ms);
        }
        let Some(worker) = self.workers.get(placement.worker.as_str()) else { return };
        let entry = self.index.model_named(&worker.service, model);
        self.decisions.push(Decision {
            worker: placement.worker.clone(),
            model: model.to_owned(),
            evict: placement.evict.clone(),
            load_ms: placement.load_ms,
            eviction_cost_ms: placement.eviction_cost_ms,
            rate_per_s: entry.map_or(0.0, |entry| entry.rate_per_s(now_ms)),
            from_store: placement.from_store,
            store_load_limit: self.store_limiter.limit(),
        });
        let notice_ms = match placement.evict.is_empty() {
            true => 0,
            false => EVICTION_NOTICE_MS + self.update_interval_ms,
        };
        let pending_load = PendingLoad {
            model: model.to_owned(),
            evict: placement.evict,
            not_before_ms: now_ms + notice_ms,
            load_ms: placement.load_ms,
            from_store: placement.from_store,
            evicts_running: placement.evicts_running,
        };
        self.change_worker(&placement.worker, now_ms, |worker| {
            worker.pending_load = Some(pending_load);
        });
    }

    /// Returns the number of loads from the weight store that are running or planned.
    fn store_loads_in_progress(&self) -> usize {
        let planned =
            |worker: &WorkerState| worker.pending_load.as_ref().is_some_and(|load| load.from_store);
        self.workers
            .values()
            .filter(|worker| planned(worker) || worker.is_loading_from_store())
            .count()
    }

    /// Loads into free memory those cached models that are most likely to be requested.
    fn preload_into_free_memory(&mut self, catalog: &Catalog, now_ms: u64) {
        let idle_workers: Vec<String> = self
            .workers
            .values()
            .filter(|worker| worker.can_start_load(now_ms))
            .map(|worker| worker.id.clone())
            .collect();
        let first = self.next_idle_worker.min(idle_workers.len());
        self.next_idle_worker = 0;
        for (at, id) in idle_workers.into_iter().enumerate().skip(first) {
            if self.steps >= self.steps_limit {
                self.next_idle_worker = at;
                break;
            }
            let Some(worker) = self.workers.get(id.as_str()) else { continue };
            let Some(engine) = catalog.engine(&worker.service) else { continue };
            let free_mb = worker.free_mb(engine);
            self.steps += 1;
            if free_mb < engine.models.smallest_mb() {
                continue;
            }
            self.steps += (worker.in_memory.len() + worker.on_disk.len()) as u64;
            let cached = worker.in_memory.iter().chain(&worker.on_disk);
            let fitting = cached.filter(|name| {
                let size_mb = engine.models.get(name.as_str()).map(|model| model.size_mb);
                size_mb.is_some_and(|size_mb| size_mb <= free_mb)
                    && !worker.models.contains(name.as_str())
            });
            let ranked = fitting.filter_map(|name| {
                let entry = self.index.model_named(&worker.service, name)?;
                let replicas = entry.replicas.len();
                let rate = expected_rate(engine, entry, now_ms);
                let is_useful = replicas == 0 || rate >= PRELOAD_REPLICA_RATE;
                is_useful.then(|| (rate * REPLICATED_COST_FACTOR.powi(replicas as i32), name))
            });
            let best = ranked.max_by(|(a, _), (b, _)| a.total_cmp(b));
            let Some((_, model)) = best.map(|(value, name)| (value, name.clone())) else {
                continue;
            };
            let in_memory = worker.in_memory.contains(&model);
            let Some(model_info) = engine.models.get(model.as_str()) else { continue };
            let load_ms =
                if in_memory { model_info.memory_load_ms } else { model_info.disk_load_ms };
            let pending_load = PendingLoad {
                model,
                evict: Vec::new(),
                not_before_ms: now_ms,
                load_ms,
                from_store: false,
                evicts_running: false,
            };
            self.change_worker(&id, now_ms, |worker| worker.pending_load = Some(pending_load));
        }
    }

    /// Returns the report requests and orders that are due, by worker.
    fn due_calls(
        &mut self,
        catalog: &Catalog,
        may_order: bool,
        now_ms: u64,
    ) -> Vec<(String, Call)> {
        let fence = self.fence;
        let mut calls = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            let Some(engine) = catalog.engine(&worker.service) else { continue };
            if worker.call_in_flight || now_ms < worker.next_call_ms {
                continue;
            }
            let call = if worker.is_order_count_known() {
                may_order.then(|| next_order(worker, engine, fence, now_ms)).flatten()
            } else {
                Some(Call::Report)
            };
            if let Some(call) = call {
                worker.call_in_flight = true;
                calls.push((id.clone(), call));
            }
        }
        calls
    }
}

impl UnmetDemand {
    fn is_for(&self, (model, adapter): &TargetKey) -> bool {
        self.model == *model && self.adapter == *adapter
    }
}

/// Returns the next order of the pending load of `worker`: an eviction, or the load itself.
fn next_order(worker: &mut WorkerState, engine: &Engine, fence: u64, now_ms: u64) -> Option<Call> {
    let load = worker.pending_load.as_ref().filter(|load| now_ms >= load.not_before_ms)?.clone();
    if worker.load_remaining_ms(now_ms) > 0 {
        return None;
    }
    if let Some(victim) = load.evict.first() {
        return worker.order(OrderKind::Unload, victim, None, fence).map(Call::Order);
    }
    let size_mb = engine.models.get(load.model.as_str()).map_or(u64::MAX, |model| model.size_mb);
    if worker.leaving || worker.free_mb(engine) < size_mb {
        worker.pending_load = None;
        worker.touch();
        return None;
    }
    worker.order(OrderKind::Load, &load.model, None, fence).map(Call::Order)
}

/// Returns the least recently used adapter of `worker`, with its model, if it is idle for long
/// enough.
fn least_recently_used_adapter(worker: &WorkerState, now_ms: u64) -> Option<(String, String)> {
    let adapters = worker.models.iter().flat_map(|(model, state)| {
        state.adapters.iter().map(move |(name, adapter)| (adapter.last_used_ms, model, name))
    });
    let idle = adapters.filter(|(last_used_ms, _, _)| now_ms >= last_used_ms + ADAPTER_IDLE_MS);
    idle.min().map(|(_, model, name)| (model.clone(), name.clone()))
}
