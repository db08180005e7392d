//! Planner: decides which model is loaded on which worker.
//!
//! It loads models that requests wait for, adds replicas of busy models and fills free memory. To
//! make room it evicts the models that cost least to lose.

use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Engine;
use crate::gateway::fleet::Call;
use crate::gateway::fleet::DEMAND_STALE_MS;
use crate::gateway::fleet::Decision;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::ModelKey;
use crate::gateway::fleet::worker::PendingLoad;
use crate::gateway::fleet::worker::WorkerState;
use crate::gateway::orders::OrderKind;
use crate::gateway::peers::DelayedModel;
use crate::gateway::peers::tag;

/// Delay between publishing an eviction and ordering it, in ms: time for a datagram to another
/// failure domain and for one back that reports requests in progress from there.
const EVICTION_NOTICE_MS: u64 = 9;
/// Period whose expected requests count towards the cost of an eviction, in s.
const EVICTION_HORIZON_S: f64 = 10.0;
/// Assumed requests per second for each adapter of a model, used while the measured rate is lower.
const PRIOR_RATE_PER_ADAPTER: f64 = 0.01;
/// Assumed requests per second for any model, added to those for its adapters.
const PRIOR_RATE: f64 = 0.02;
/// Fraction of the cost of an eviction that remains if other replicas can serve the requests.
const REPLICATED_COST_FACTOR: f64 = 0.08;
/// Additional cost of evicting a model with requests in progress on that worker, in ms: the unload
/// waits for them, and meanwhile the worker can load nothing else and the model accepts no
/// requests.
const BUSY_EVICTION_COST_MS: f64 = 60_000.0;
/// Highest cost of evictions per waiting request, in ms: about the time for which callers wait.
const MAX_COST_PER_WAITING_REQUEST_MS: f64 = 8000.0;
/// Concurrent requests that one replica serves well along with the other load of its worker.
pub(super) const RUNNING_REQUESTS_PER_REPLICA: u32 = 16;
/// Added to the cost of a placement in a failure domain that already has a replica, in ms: a
/// network partition or the failure of the domain would affect both.
const SAME_DOMAIN_PENALTY_MS: f64 = 1500.0;
/// Requests per second from which free memory is used for a further replica of a model.
const PRELOAD_REPLICA_RATE: f64 = 0.15;
/// Additional cost of a placement on a worker that limits its requests, in ms per waiting request.
const LIMITED_PENALTY_MS: f64 = 2000.0;
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

/// A model or adapter that requests wait for, summed over all instances.
#[derive(Clone, Debug)]
struct UnmetDemand {
    service: String,
    model: String,
    adapter: Option<String>,
    waiting: u32,
    slack_ms: u64,
    unreachable_workers: Vec<String>,
}

/// A worker on which a model can be loaded, with the required evictions.
pub(super) struct ModelPlacement {
    worker: String,
    evict: Vec<String>,
    load_ms: u64,
    pub(super) eviction_cost_ms: f64,
    pub(super) from_store: bool,
    evicts_running: bool,
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
        for (_, worker) in self.workers.iter_mut() {
            worker.finish_loads(now_ms);
        }
        self.store_load_starts_ms.retain(|at_ms| now_ms < at_ms + load_window_ms);
        let mut calls = Vec::new();
        self.cancel_obsolete_loads(now_ms);
        if may_order {
            for demand in self.unmet_demand(now_ms).into_iter().chain(self.uncached_demand(now_ms))
            {
                calls.extend(self.make_available(catalog, &demand, load_window_ms, now_ms));
            }
            self.add_replicas(catalog, load_window_ms, now_ms);
            self.preload_into_free_memory(catalog, now_ms);
        }
        calls.extend(self.due_calls(catalog, may_order, now_ms));
        calls
    }

    /// Cancels pending loads that are stalled and whose model is ready on another worker by now.
    fn cancel_obsolete_loads(&mut self, now_ms: u64) {
        let mut obsolete = Vec::new();
        for worker in self.workers.values() {
            let Some(load) = &worker.pending_load else { continue };
            let ready_elsewhere = || {
                self.workers
                    .values()
                    .any(|other| other.service == worker.service && other.is_ready(&load.model))
            };
            if worker.is_stalled(now_ms) && ready_elsewhere() {
                obsolete.push(worker.id.clone());
            }
        }
        for id in obsolete {
            if let Some(worker) = self.workers.get_mut(id.as_str()) {
                worker.cancel_pending_load();
            }
        }
    }

    /// Returns what requests wait for, most urgent first.
    fn unmet_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        let fresh =
            self.demand.values().filter(|report| now_ms <= report.received_ms + DEMAND_STALE_MS);
        let mut demands: Vec<UnmetDemand> = Vec::new();
        for target in fresh.flat_map(|report| report.waiting_targets.iter()) {
            let existing = demands.iter_mut().find(|demand| {
                demand.service == target.service
                    && demand.model == target.model
                    && demand.adapter == target.adapter
            });
            match existing {
                Some(demand) => {
                    demand.waiting += target.waiting;
                    demand.slack_ms = demand.slack_ms.max(target.slack_ms);
                    demand.unreachable_workers.extend(target.unreachable_workers.iter().cloned());
                }
                None => demands.push(UnmetDemand {
                    service: target.service.clone(),
                    model: target.model.clone(),
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

    /// Returns the recently requested models that are only in the weight store, with their request
    /// rates, highest first.
    fn uncached_models(&self, now_ms: u64) -> Vec<(f64, &ModelKey)> {
        let mut available: Vec<(&str, &str)> = Vec::new();
        for worker in self.workers.values().filter(|worker| !worker.leaving) {
            let ready = worker.models.keys().filter(|name| worker.is_ready(name));
            let cached = worker.in_memory.iter().chain(&worker.on_disk);
            let cached = cached.filter(|_| worker.is_responsive());
            available
                .extend(ready.chain(cached).map(|name| (worker.service.as_str(), name.as_str())));
        }
        available.sort_unstable();
        let requested =
            self.usage.iter().filter(|(_, usage)| now_ms <= usage.last_used_ms + RECENT_REQUEST_MS);
        let rows = requested.filter(|((service, model), _)| {
            available.binary_search(&(service.as_str(), model.as_str())).is_err()
        });
        let mut rows: Vec<(f64, &ModelKey)> =
            rows.map(|(key, usage)| (usage.rate_per_s(now_ms), key)).collect();
        rows.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        rows
    }

    /// Returns the demand for models that are only in the weight store, as long as further loads
    /// from there may start. Requests for these models are refused, so none of them is waiting.
    fn uncached_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        if self.store_loads_in_progress() >= self.store_limiter.limit() {
            return Vec::new();
        }
        let to_demand = |(rate_per_s, (service, model)): (f64, &ModelKey)| UnmetDemand {
            service: service.clone(),
            model: model.clone(),
            adapter: None,
            waiting: (rate_per_s * RECENT_REQUEST_MS as f64 / 1000.0).ceil() as u32,
            slack_ms: 0,
            unreachable_workers: Vec::new(),
        };
        self.uncached_models(now_ms).into_iter().map(to_demand).collect()
    }

    fn is_cached_on_any_worker(&self, service: &str, model: &str) -> bool {
        let of_service = self.workers.values().filter(|worker| {
            worker.service == service && !worker.leaving && worker.is_responsive()
        });
        of_service.into_iter().any(|worker| worker.has_cached_copy(model))
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
        let rows = self.uncached_models(now_ms).into_iter().filter_map(|(_, (service, model))| {
            let load_ms = catalog.engine(service)?.models.get(model.as_str())?.store_load_ms;
            let usable_in_ms =
                self.store_load_remaining_ms(service, model, now_ms).unwrap_or_else(|| {
                    queued += 1;
                    self.queued_store_load_remaining_ms(load_ms, queued, now_ms)
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
    /// expected to finish, in ms, if each load takes `load_ms`.
    fn queued_store_load_remaining_ms(&self, load_ms: u64, position: u64, now_ms: u64) -> u64 {
        let limit = self.store_limiter.limit();
        let batches = position.div_ceil(limit as u64);
        if self.store_loads_in_progress() < limit {
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
        let engine = catalog.engine(&demand.service)?;
        engine.models.get(demand.model.as_str())?;
        let usable = |worker: &&WorkerState| {
            worker.service == demand.service
                && !worker.leaving
                && worker.is_responsive()
                && !demand.unreachable_workers.contains(&worker.id)
        };
        let is_ready =
            self.workers.values().filter(usable).any(|worker| worker.is_ready(&demand.model));
        if is_ready {
            let adapter = demand.adapter.as_deref()?;
            return self.load_adapter(engine, demand, adapter, now_ms);
        }
        if self
            .workers
            .values()
            .filter(usable)
            .any(|worker| worker.is_load_underway(&demand.model, now_ms))
        {
            return None;
        }
        let waiting_requests = f64::from(demand.waiting.max(1));
        let placement = self.best_placement(
            engine,
            &demand.service,
            &demand.model,
            waiting_requests,
            false,
            now_ms,
        )?;
        self.plan_load(placement, &demand.model, load_window_ms, engine, now_ms);
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
        let has_adapter = |worker: &WorkerState| {
            worker
                .models
                .get(demand.model.as_str())
                .is_some_and(|model| model.adapters.contains(adapter))
        };
        let candidates: Vec<&WorkerState> = self
            .workers
            .values()
            .filter(|worker| {
                worker.service == demand.service
                    && !worker.leaving
                    && worker.is_responsive()
                    && worker.is_ready(&demand.model)
                    && !demand.unreachable_workers.contains(&worker.id)
            })
            .collect();
        if candidates.iter().any(|worker| has_adapter(worker)) {
            return None;
        }
        let callable = candidates.into_iter().filter(|worker| {
            worker.is_order_count_known() && !worker.call_in_flight && now_ms >= worker.next_call_ms
        });
        let id = callable
            .min_by_key(|worker| {
                let full = worker.adapter_count() >= engine.adapter_slots;
                (
                    full,
                    self.running_requests(&worker.id, &demand.model, now_ms),
                    worker.adapter_count(),
                )
            })
            .map(|worker| worker.id.clone())?;
        let fence = self.fence;
        let worker = self.workers.get_mut(id.as_str())?;
        let order = if worker.adapter_count() >= engine.adapter_slots {
            let (model, idle) = least_recently_used_adapter(worker, now_ms)?;
            worker.order(OrderKind::Unload, &model, Some(&idle), fence)?
        } else {
            worker.order(OrderKind::Load, &demand.model, Some(adapter), fence)?
        };
        worker.call_in_flight = true;
        Some((id, Call::Order(order)))
    }

    /// Returns the placement of `model` that adds least waiting time, if `waiting_requests`
    /// requests wait for the model. With `skip_limited`, workers that limit their requests are
    /// excluded.
    pub(super) fn best_placement(
        &self,
        engine: &Engine,
        service: &str,
        model: &str,
        waiting_requests: f64,
        skip_limited: bool,
        now_ms: u64,
    ) -> Option<ModelPlacement> {
        let model_info = engine.models.get(model)?;
        let is_cached = self.is_cached_on_any_worker(service, model);
        let mut best: Option<(f64, ModelPlacement)> = None;
        for worker in self.workers.values() {
            let is_candidate = worker.service == service
                && !worker.models.contains(model)
                && !(skip_limited && worker.limit_per_s.is_some());
            if !is_candidate || !worker.can_start_load(now_ms) {
                continue;
            }
            let from_store = !worker.has_cached_copy(model);
            if from_store && is_cached {
                continue;
            }
            let load_ms = if worker.in_memory.iter().any(|name| name == model) {
                model_info.memory_load_ms
            } else if !from_store {
                model_info.disk_load_ms
            } else {
                model_info.store_load_ms
            };
            let Some((evict, eviction_cost_ms)) =
                self.choose_evictions(engine, worker, model_info.size_mb, now_ms)
            else {
                continue;
            };
            if eviction_cost_ms > waiting_requests * MAX_COST_PER_WAITING_REQUEST_MS {
                continue;
            }
            let domain_has_replica = self.workers.values().any(|other| {
                other.service == service && other.domain == worker.domain && other.is_ready(model)
            });
            let domain_penalty_ms = if domain_has_replica { SAME_DOMAIN_PENALTY_MS } else { 0.0 };
            let limit_penalty_ms =
                if worker.limit_per_s.is_some() { LIMITED_PENALTY_MS } else { 0.0 };
            let cost = waiting_requests * (load_ms as f64 + limit_penalty_ms)
                + eviction_cost_ms
                + domain_penalty_ms;
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                let evicts_running =
                    evict.iter().any(|name| self.running_requests(&worker.id, name, now_ms) > 0);
                let placement = ModelPlacement {
                    worker: worker.id.clone(),
                    evict,
                    load_ms,
                    eviction_cost_ms,
                    from_store,
                    evicts_running,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Returns the models to evict from `worker` so that `size_mb` are free, and the cost of
    /// evicting them; `None` if this cannot be done.
    fn choose_evictions(
        &self,
        engine: &Engine,
        worker: &WorkerState,
        size_mb: u64,
        now_ms: u64,
    ) -> Option<(Vec<String>, f64)> {
        let mut free_mb = worker.free_mb(engine);
        if free_mb >= size_mb {
            return Some((Vec::new(), 0.0));
        }
        let size = |name: &str| engine.models.get(name).map_or(0, |model| model.size_mb);
        let mut victims: Vec<(f64, &String)> = worker
            .models
            .iter()
            .filter(|(_, model)| now_ms >= model.protected_until_ms)
            .map(|(name, _)| (self.eviction_cost_ms(engine, worker, name, now_ms), name))
            .collect();
        victims.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let missing_mb = size_mb - free_mb;
        // Evicting one model that is large enough often costs less than evicting two small ones.
        let single = victims.iter().find(|(_, name)| size(name) >= missing_mb);
        let mut evict = Vec::new();
        let mut total_cost_ms = 0.0;
        for (cost_ms, name) in &victims {
            if free_mb >= size_mb {
                break;
            }
            free_mb += size(name);
            total_cost_ms += cost_ms;
            evict.push((*name).clone());
        }
        let several = (free_mb >= size_mb).then_some((evict, total_cost_ms));
        match (single, several) {
            (Some((cost_ms, name)), Some((_, total_cost_ms))) if *cost_ms <= total_cost_ms => {
                Some((vec![(*name).clone()], *cost_ms))
            }
            (Some((cost_ms, name)), None) => Some((vec![(*name).clone()], *cost_ms)),
            (_, several) => several,
        }
    }

    /// Returns the estimated cost of evicting `model` from `worker`: the waiting time, in ms, that
    /// reloading it would add to the requests expected within `EVICTION_HORIZON_S`.
    fn eviction_cost_ms(
        &self,
        engine: &Engine,
        worker: &WorkerState,
        model: &str,
        now_ms: u64,
    ) -> f64 {
        let reload_ms = engine.models.get(model).map_or(0, |model| model.disk_load_ms);
        let rate_per_s = self.expected_rate(engine, &worker.service, model, now_ms);
        let cost_ms = rate_per_s * EVICTION_HORIZON_S * reload_ms as f64;
        let other_replicas =
            self.replica_count(&worker.service, model, now_ms).saturating_sub(1) as u32;
        let running = self.running_requests_total(model, now_ms);
        let others_suffice = other_replicas > 0
            && running <= other_replicas * RUNNING_REQUESTS_PER_REPLICA
            && !self.is_short_of_limits(&worker.service, model, Some(&worker.id), now_ms);
        let is_busy = self.running_requests(&worker.id, model, now_ms) > 0;
        let factor = if others_suffice { REPLICATED_COST_FACTOR } else { 1.0 };
        cost_ms * factor + if is_busy { BUSY_EVICTION_COST_MS } else { 0.0 }
    }

    /// Returns the expected requests per second for `model`.
    pub(super) fn expected_rate(
        &self,
        engine: &Engine,
        service: &str,
        model: &str,
        now_ms: u64,
    ) -> f64 {
        let adapters = engine.models.get(model).map_or(0, |model| model.adapter_count);
        let prior = PRIOR_RATE + PRIOR_RATE_PER_ADAPTER * f64::from(adapters);
        self.rate_per_s(service, model, now_ms).max(prior)
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
            let window_s = load_window_ms as f64 / 1000.0;
            let max_starts = engine.store_loads_per_s * window_s * STORE_BUDGET_PCT / 100.0;
            let recent = self.store_load_starts_ms.len();
            if recent as f64 >= max_starts
                || self.store_loads_in_progress() >= self.store_limiter.limit()
            {
                return;
            }
            self.store_load_starts_ms.push(now_ms);
        }
        let Some(worker) = self.workers.get_mut(placement.worker.as_str()) else { return };
        let usage = self.usage.get(&(worker.service.clone(), model.to_owned()));
        self.decisions.push(Decision {
            worker: placement.worker.clone(),
            model: model.to_owned(),
            evict: placement.evict.clone(),
            load_ms: placement.load_ms,
            eviction_cost_ms: placement.eviction_cost_ms,
            rate_per_s: usage.map_or(0.0, |usage| usage.rate_per_s(now_ms)),
            from_store: placement.from_store,
            store_load_limit: self.store_limiter.limit(),
        });
        let notice_ms = if placement.evict.is_empty() { 0 } else { EVICTION_NOTICE_MS };
        worker.pending_load = Some(PendingLoad {
            model: model.to_owned(),
            evict: placement.evict,
            not_before_ms: now_ms + notice_ms,
            load_ms: placement.load_ms,
            from_store: placement.from_store,
            evicts_running: placement.evicts_running,
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
        for id in idle_workers {
            let Some(worker) = self.workers.get(id.as_str()) else { continue };
            let Some(engine) = catalog.engine(&worker.service) else { continue };
            let free_mb = worker.free_mb(engine);
            let cached = worker.in_memory.iter().chain(&worker.on_disk);
            let fitting = cached.filter(|name| {
                let size_mb = engine.models.get(name.as_str()).map(|model| model.size_mb);
                size_mb.is_some_and(|size_mb| size_mb <= free_mb)
                    && !worker.models.contains(name.as_str())
            });
            let ranked = fitting.filter_map(|name| {
                let replicas = self.replica_count(&worker.service, name, now_ms);
                let rate = self.expected_rate(engine, &worker.service, name, now_ms);
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
            if let Some(worker) = self.workers.get_mut(id.as_str()) {
                worker.pending_load = Some(pending_load);
            }
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

/// Returns the next order of the pending load of `worker`: an eviction, or the load itself.
fn next_order(worker: &mut WorkerState, engine: &Engine, fence: u64, now_ms: u64) -> Option<Call> {
    let load = worker.pending_load.clone()?;
    if now_ms < load.not_before_ms || worker.load_remaining_ms(now_ms) > 0 {
        return None;
    }
    if let Some(victim) = load.evict.first() {
        return worker.order(OrderKind::Unload, victim, None, fence).map(Call::Order);
    }
    let size_mb = engine.models.get(load.model.as_str()).map_or(u64::MAX, |model| model.size_mb);
    if worker.leaving || worker.free_mb(engine) < size_mb {
        worker.pending_load = None;
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
