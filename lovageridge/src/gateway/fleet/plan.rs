//! Which model goes where: serves waiting requests, adds replicas of busy models, fills free
//! memory, and gives up what costs least.

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

/// Time between the notice that a model is given up and the order, in ms: a datagram to another
/// failure domain and one back, that tells of requests in progress there.
const EVICTION_NOTICE_MS: u64 = 9;
/// Time over which the loss of a model is judged, in s.
const EVICTION_HORIZON_S: f64 = 10.0;
/// Requests a second that a model gets for each of its adapters until its true rate is known.
const PRIOR_RATE_PER_ADAPTER: f64 = 0.01;
/// Requests a second that any model is assumed to get.
const PRIOR_RATE: f64 = 0.02;
/// Part of a model's loss that remains while it has a replica elsewhere.
const REPLICATED_COST_FACTOR: f64 = 0.08;
/// Loss of an unload that must wait for requests in progress, in ms; meanwhile the worker can load
/// nothing else and the model takes no requests.
const BUSY_EVICTION_COST_MS: f64 = 60_000.0;
/// Loss up to which others are given up for one waiting request, in ms: about the time for which
/// callers wait.
const MAX_COST_PER_WAITING_REQUEST_MS: f64 = 8000.0;
/// Requests in progress that one replica serves well beside what else its worker does.
const RUNNING_REQUESTS_PER_REPLICA: u32 = 16;
/// Requests a second from which a model has a second replica.
const SECOND_REPLICA_RATE: f64 = 3.0;
/// Loss up to which others are given up for a further replica, for each request a second that it
/// is for, in ms: about what an overloaded worker adds to the wait of each request.
const MAX_REPLICA_COST_PER_RATE_MS: f64 = 1000.0;
/// Added to the cost of a replica in a failure domain that has one, in ms: a cut or the loss of the
/// domain would take both.
const SAME_DOMAIN_PENALTY_MS: f64 = 1500.0;
/// Rate from which free memory is used for a further replica, in requests a second.
const PRELOAD_REPLICA_RATE: f64 = 0.15;
/// Part of the permitted loads from the weight store that is used, in percent.
const STORE_BUDGET_PCT: f64 = 80.0;
/// Time for which a model that only the weight store has counts as asked for, in ms: a load from there
/// and some.
const RECENT_REQUEST_MS: u64 = 15_000;
/// Time until a model can be used from which callers are told, in ms; shorter than callers' patience.
const MIN_REPORTED_DELAY_MS: u64 = 1000;
/// Time since its last use after which an adapter may be given up, in ms.
const ADAPTER_IDLE_MS: u64 = 400;

/// A target that requests wait for, over all instances.
#[derive(Clone, Debug)]
struct UnmetDemand {
    service: String,
    model: String,
    adapter: Option<String>,
    waiting: u32,
    slack_ms: u64,
    unreachable_workers: Vec<String>,
}

/// A place for a model.
struct ModelPlacement {
    worker: String,
    evict: Vec<String>,
    load_ms: u64,
    eviction_cost_ms: f64,
    from_store: bool,
    evicts_running: bool,
}

impl Fleet {
    /// Decides loads and returns the calls that are due.
    pub fn tick(
        &mut self,
        catalog: &Catalog,
        may_order: bool,
        load_window_ms: u64,
        now_ms: u64,
    ) -> Vec<(String, Call)> {
        for (_, site) in self.workers.iter_mut() {
            site.finish_loads(now_ms);
        }
        self.store_load_starts_ms.retain(|at_ms| now_ms < at_ms + load_window_ms);
        let mut calls = Vec::new();
        self.cancel_obsolete_loads(now_ms);
        if may_order {
            for need in self.unmet_demand(now_ms).into_iter().chain(self.uncached_demand(now_ms)) {
                calls.extend(self.make_available(catalog, &need, load_window_ms, now_ms));
            }
            self.add_replicas(catalog, load_window_ms, now_ms);
            self.preload_into_free_memory(catalog, now_ms);
        }
        calls.extend(self.due_calls(catalog, may_order, now_ms));
        calls
    }

    /// Drops goals whose models to give up have come into use since, and held-up goals for models
    /// that are present elsewhere by now.
    fn cancel_obsolete_loads(&mut self, now_ms: u64) {
        let mut vain = Vec::new();
        for site in self.workers.values() {
            let Some(goal) = &site.pending_load else { continue };
            let elsewhere = || {
                self.workers
                    .values()
                    .any(|other| other.service == site.service && other.is_ready(&goal.model))
            };
            if site.is_stalled(now_ms) && elsewhere() {
                vain.push(site.id.clone());
            }
        }
        for id in vain {
            if let Some(site) = self.workers.get_mut(id.as_str()) {
                site.cancel_pending_load();
            }
        }
    }

    fn unmet_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        let fresh =
            self.demand.values().filter(|heard| now_ms <= heard.received_ms + DEMAND_STALE_MS);
        let mut needs: Vec<UnmetDemand> = Vec::new();
        for want in fresh.flat_map(|heard| heard.waiting_targets.iter()) {
            let same = needs.iter_mut().find(|need| {
                need.service == want.service
                    && need.model == want.model
                    && need.adapter == want.adapter
            });
            match same {
                Some(need) => {
                    need.waiting += want.waiting;
                    need.slack_ms = need.slack_ms.max(want.slack_ms);
                    need.unreachable_workers.extend(want.unreachable_workers.iter().cloned());
                }
                None => needs.push(UnmetDemand {
                    service: want.service.clone(),
                    model: want.model.clone(),
                    adapter: want.adapter.clone(),
                    waiting: want.waiting,
                    slack_ms: want.slack_ms,
                    unreachable_workers: want.unreachable_workers.clone(),
                }),
            }
        }
        // Those that can still meet their objective go first, most callers before few.
        needs.sort_by_key(|need| {
            (need.slack_ms == 0, std::cmp::Reverse(need.waiting), need.slack_ms)
        });
        needs
    }

    /// Returns the models that were asked for lately and that only the weight store has, with their
    /// requests a second, most first.
    fn uncached_models(&self, now_ms: u64) -> Vec<(f64, &ModelKey)> {
        let mut at_hand: Vec<(&str, &str)> = Vec::new();
        for site in self.workers.values().filter(|site| !site.leaving) {
            let present = site.models.keys().filter(|name| site.is_ready(name));
            let copies = site.in_memory.iter().chain(&site.on_disk);
            let copies = copies.filter(|_| site.is_responsive());
            at_hand
                .extend(present.chain(copies).map(|name| (site.service.as_str(), name.as_str())));
        }
        at_hand.sort_unstable();
        let asked =
            self.usage.iter().filter(|(_, used)| now_ms <= used.last_used_ms + RECENT_REQUEST_MS);
        let rows = asked.filter(|((service, model), _)| {
            at_hand.binary_search(&(service.as_str(), model.as_str())).is_err()
        });
        let mut rows: Vec<(f64, &ModelKey)> =
            rows.map(|(key, used)| (used.rate_per_s(now_ms), key)).collect();
        rows.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        rows
    }

    /// Returns what only the weight store has, as long as that takes further loads. Callers of these
    /// models are refused, so they do not wait.
    fn uncached_demand(&self, now_ms: u64) -> Vec<UnmetDemand> {
        if self.store_loads_in_progress() >= self.store_limiter.limit() {
            return Vec::new();
        }
        let need = |(rate_per_s, (service, model)): (f64, &ModelKey)| UnmetDemand {
            service: service.clone(),
            model: model.clone(),
            adapter: None,
            waiting: (rate_per_s * RECENT_REQUEST_MS as f64 / 1000.0).ceil() as u32,
            slack_ms: 0,
            unreachable_workers: Vec::new(),
        };
        self.uncached_models(now_ms).into_iter().map(need).collect()
    }

    fn is_cached_on_any_worker(&self, service: &str, model: &str) -> bool {
        let of_service = self
            .workers
            .values()
            .filter(|site| site.service == service && !site.leaving && site.is_responsive());
        of_service.into_iter().any(|site| site.has_cached_copy(model))
    }

    /// Returns the models that are asked for and cannot be used for a while, by tag: those that only
    /// the weight store has; `most` of them at most.
    pub fn delayed_models(&self, catalog: &Catalog, most: usize, now_ms: u64) -> Vec<DelayedModel> {
        let mut queued = 0;
        let rows = self.uncached_models(now_ms).into_iter().filter_map(|(_, (service, model))| {
            let load_ms = catalog.engine(service)?.models.get(model.as_str())?.store_load_ms;
            let due_ms =
                self.store_load_remaining_ms(service, model, now_ms).unwrap_or_else(|| {
                    queued += 1;
                    self.queued_store_load_remaining_ms(load_ms, queued, now_ms)
                });
            let late = DelayedModel { model: tag(&[service, model]), usable_in_ms: due_ms as u32 };
            (due_ms >= MIN_REPORTED_DELAY_MS).then_some(late)
        });
        let mut late: Vec<DelayedModel> = rows.take(most).collect();
        late.sort_by_key(|late| late.model);
        late
    }

    /// Returns the time until a load of `model` from the weight store is due, in ms.
    fn store_load_remaining_ms(&self, service: &str, model: &str, now_ms: u64) -> Option<u64> {
        let sites = self.workers.values().filter(|site| site.service == service && !site.leaving);
        sites.filter_map(|site| site.store_load_remaining_ms(model, now_ms)).min()
    }

    /// Returns the time until the load at a place of the queue for the weight store, from 1 on, is due
    /// when each takes `load_ms`.
    fn queued_store_load_remaining_ms(&self, load_ms: u64, place: u64, now_ms: u64) -> u64 {
        let limit = self.store_limiter.limit();
        let rounds = place.div_ceil(limit as u64);
        if self.store_loads_in_progress() < limit {
            return rounds * load_ms;
        }
        let ahead_ms =
            self.workers.values().filter_map(|site| site.any_store_load_remaining_ms(now_ms)).min();
        rounds * load_ms + ahead_ms.unwrap_or(0)
    }

    /// Starts what brings a target into use; returns an order for an adapter.
    fn make_available(
        &mut self,
        catalog: &Catalog,
        need: &UnmetDemand,
        load_window_ms: u64,
        now_ms: u64,
    ) -> Option<(String, Call)> {
        let engine = catalog.engine(&need.service)?;
        engine.models.get(need.model.as_str())?;
        let usable = |site: &&WorkerState| {
            site.service == need.service
                && !site.leaving
                && site.is_responsive()
                && !need.unreachable_workers.contains(&site.id)
        };
        let present = self.workers.values().filter(usable).any(|site| site.is_ready(&need.model));
        if present {
            let adapter = need.adapter.as_deref()?;
            return self.load_adapter(engine, need, adapter, now_ms);
        }
        if self
            .workers
            .values()
            .filter(usable)
            .any(|site| site.is_load_underway(&need.model, now_ms))
        {
            return None;
        }
        let weight = f64::from(need.waiting.max(1));
        let place = self.best_placement(engine, &need.service, &need.model, weight, now_ms)?;
        self.plan_load(place, &need.model, load_window_ms, engine, now_ms);
        None
    }

    fn load_adapter(
        &mut self,
        engine: &Engine,
        need: &UnmetDemand,
        adapter: &str,
        now_ms: u64,
    ) -> Option<(String, Call)> {
        let has = |site: &WorkerState| {
            site.models.get(need.model.as_str()).is_some_and(|held| held.adapters.contains(adapter))
        };
        let candidates: Vec<&WorkerState> = self
            .workers
            .values()
            .filter(|site| {
                site.service == need.service
                    && !site.leaving
                    && site.is_responsive()
                    && site.is_ready(&need.model)
                    && !need.unreachable_workers.contains(&site.id)
            })
            .collect();
        if candidates.iter().any(|site| has(site)) {
            return None;
        }
        let free = candidates.into_iter().filter(|site| {
            site.is_order_count_known() && !site.call_in_flight && now_ms >= site.next_call_ms
        });
        let id = free
            .min_by_key(|site| {
                let full = site.adapter_count() >= engine.adapter_slots;
                (full, self.running_requests(&site.id, &need.model, now_ms), site.adapter_count())
            })
            .map(|site| site.id.clone())?;
        let fence = self.fence;
        let site = self.workers.get_mut(id.as_str())?;
        let order = if site.adapter_count() >= engine.adapter_slots {
            let (model, idle) = least_recently_used_adapter(site, now_ms)?;
            site.order(OrderKind::Unload, &model, Some(&idle), fence)?
        } else {
            site.order(OrderKind::Load, &need.model, Some(adapter), fence)?
        };
        site.call_in_flight = true;
        Some((id, Call::Order(order)))
    }

    /// Returns the place where `model` costs least; `weight` requests wait for it.
    fn best_placement(
        &self,
        engine: &Engine,
        service: &str,
        model: &str,
        weight: f64,
        now_ms: u64,
    ) -> Option<ModelPlacement> {
        let sizes = engine.models.get(model)?;
        let any_copy = self.is_cached_on_any_worker(service, model);
        let mut best: Option<(f64, ModelPlacement)> = None;
        for site in self.workers.values() {
            let fits = site.service == service && !site.models.contains(model);
            if !fits || !site.can_start_load(now_ms) {
                continue;
            }
            let from_store = !site.has_cached_copy(model);
            if from_store && any_copy {
                continue;
            }
            let load_ms = if site.in_memory.iter().any(|name| name == model) {
                sizes.memory_load_ms
            } else if !from_store {
                sizes.disk_load_ms
            } else {
                sizes.store_load_ms
            };
            let Some((evict, loss_ms)) = self.choose_evictions(engine, site, sizes.size_mb, now_ms)
            else {
                continue;
            };
            if loss_ms > weight * MAX_COST_PER_WAITING_REQUEST_MS {
                continue;
            }
            let beside = self.workers.values().any(|other| {
                other.service == service && other.domain == site.domain && other.is_ready(model)
            });
            let same_domain_ms = if beside { SAME_DOMAIN_PENALTY_MS } else { 0.0 };
            let cost = weight * load_ms as f64 + loss_ms + same_domain_ms;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let evicts_running =
                    evict.iter().any(|name| self.running_requests(&site.id, name, now_ms) > 0);
                let place = ModelPlacement {
                    worker: site.id.clone(),
                    evict,
                    load_ms,
                    eviction_cost_ms: loss_ms,
                    from_store,
                    evicts_running,
                };
                best = Some((cost, place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// Returns what must go from `site` for `size_mb`, and what its loss costs in ms of waiting.
    fn choose_evictions(
        &self,
        engine: &Engine,
        site: &WorkerState,
        size_mb: u64,
        now_ms: u64,
    ) -> Option<(Vec<String>, f64)> {
        let mut free_mb = site.free_mb(engine);
        if free_mb >= size_mb {
            return Some((Vec::new(), 0.0));
        }
        let size = |name: &str| engine.models.get(name).map_or(0, |model| model.size_mb);
        let mut victims: Vec<(f64, &String)> = site
            .models
            .iter()
            .filter(|(_, held)| now_ms >= held.protected_until_ms)
            .map(|(name, _)| (self.eviction_cost_ms(engine, site, name, now_ms), name))
            .collect();
        victims.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let missing_mb = size_mb - free_mb;
        // One that is large enough often costs less than two small ones.
        let single = victims.iter().find(|(_, name)| size(name) >= missing_mb);
        let mut evict = Vec::new();
        let mut loss_ms = 0.0;
        for (loss, name) in &victims {
            if free_mb >= size_mb {
                break;
            }
            free_mb += size(name);
            loss_ms += loss;
            evict.push((*name).clone());
        }
        let several = (free_mb >= size_mb).then_some((evict, loss_ms));
        match (single, several) {
            (Some((loss, name)), Some((_, sum))) if *loss <= sum => {
                Some((vec![(*name).clone()], *loss))
            }
            (Some((loss, name)), None) => Some((vec![(*name).clone()], *loss)),
            (_, several) => several,
        }
    }

    /// Returns what the loss of `model` at `site` costs in ms of waiting.
    fn eviction_cost_ms(
        &self,
        engine: &Engine,
        site: &WorkerState,
        model: &str,
        now_ms: u64,
    ) -> f64 {
        let reload_ms = engine.models.get(model).map_or(0, |model| model.disk_load_ms);
        let rate_per_s = self.expected_rate(engine, &site.service, model, now_ms);
        let loss_ms = rate_per_s * EVICTION_HORIZON_S * reload_ms as f64;
        let others = self.replica_count(&site.service, model, now_ms).saturating_sub(1) as u32;
        let running = self.running_requests_total(model, now_ms);
        let spare = others > 0 && running <= others * RUNNING_REQUESTS_PER_REPLICA;
        let blocked = self.running_requests(&site.id, model, now_ms) > 0;
        let share = if spare { REPLICATED_COST_FACTOR } else { 1.0 };
        loss_ms * share + if blocked { BUSY_EVICTION_COST_MS } else { 0.0 }
    }

    fn expected_rate(&self, engine: &Engine, service: &str, model: &str, now_ms: u64) -> f64 {
        let adapters = engine.models.get(model).map_or(0, |model| model.adapter_count);
        let prior = PRIOR_RATE + PRIOR_RATE_PER_ADAPTER * f64::from(adapters);
        self.rate_per_s(service, model, now_ms).max(prior)
    }

    /// Returns the number of replicas in use or on their way.
    fn replica_count(&self, service: &str, model: &str, now_ms: u64) -> usize {
        let sites = self
            .workers
            .values()
            .filter(|site| site.service == service && !site.leaving && site.is_responsive());
        sites.filter(|site| site.is_ready(model) || site.is_load_underway(model, now_ms)).count()
    }

    fn plan_load(
        &mut self,
        place: ModelPlacement,
        model: &str,
        load_window_ms: u64,
        engine: &Engine,
        now_ms: u64,
    ) {
        if place.from_store {
            let window_s = load_window_ms as f64 / 1000.0;
            let most = engine.store_loads_per_s * window_s * STORE_BUDGET_PCT / 100.0;
            let recent = self.store_load_starts_ms.len();
            if recent as f64 >= most || self.store_loads_in_progress() >= self.store_limiter.limit()
            {
                return;
            }
            self.store_load_starts_ms.push(now_ms);
        }
        let Some(site) = self.workers.get_mut(place.worker.as_str()) else { return };
        let used = self.usage.get(&(site.service.clone(), model.to_owned()));
        self.decisions.push(Decision {
            worker: place.worker.clone(),
            model: model.to_owned(),
            evict: place.evict.clone(),
            load_ms: place.load_ms,
            eviction_cost_ms: place.eviction_cost_ms,
            rate_per_s: used.map_or(0.0, |used| used.rate_per_s(now_ms)),
            from_store: place.from_store,
            store_load_limit: self.store_limiter.limit(),
        });
        let notice_ms = if place.evict.is_empty() { 0 } else { EVICTION_NOTICE_MS };
        site.pending_load = Some(PendingLoad {
            model: model.to_owned(),
            evict: place.evict,
            not_before_ms: now_ms + notice_ms,
            load_ms: place.load_ms,
            from_store: place.from_store,
            evicts_running: place.evicts_running,
        });
    }

    /// Returns the number of loads from the weight store that are on their way or planned.
    fn store_loads_in_progress(&self) -> usize {
        let planned =
            |site: &WorkerState| site.pending_load.as_ref().is_some_and(|goal| goal.from_store);
        self.workers.values().filter(|site| planned(site) || site.is_loading_from_store()).count()
    }

    /// Gives busy models a second replica, so that the loss of a worker leaves their callers with
    /// one, and more where their requests pile up.
    fn add_replicas(&mut self, catalog: &Catalog, load_window_ms: u64, now_ms: u64) {
        let busy: Vec<(String, String)> = self
            .usage
            .iter()
            .filter(|((_, name), model)| {
                model.rate_per_s(now_ms) >= SECOND_REPLICA_RATE
                    || self.running_requests_total(name, now_ms) > RUNNING_REQUESTS_PER_REPLICA
            })
            .map(|(key, _)| key.clone())
            .collect();
        for (service, model) in busy {
            let Some(engine) = catalog.engine(&service) else { continue };
            let rate = self.rate_per_s(&service, &model, now_ms);
            let by_rate = 1 + usize::from(rate >= SECOND_REPLICA_RATE);
            let running = self.running_requests_total(&model, now_ms);
            let by_running = 1 + (running / RUNNING_REQUESTS_PER_REPLICA) as usize;
            if self.replica_count(&service, &model, now_ms) >= by_rate.max(by_running) {
                continue;
            }
            if self.workers.values().any(|site| site.is_load_underway(&model, now_ms)) {
                continue;
            }
            let Some(place) = self.best_placement(engine, &service, &model, 1.0, now_ms) else {
                continue;
            };
            if place.eviction_cost_ms <= rate * MAX_REPLICA_COST_PER_RATE_MS && !place.from_store {
                self.plan_load(place, &model, load_window_ms, engine, now_ms);
            }
        }
    }

    /// Uses free memory for what is close at hand and most likely to be asked for.
    fn preload_into_free_memory(&mut self, catalog: &Catalog, now_ms: u64) {
        let free: Vec<String> = self
            .workers
            .values()
            .filter(|site| site.can_start_load(now_ms))
            .map(|site| site.id.clone())
            .collect();
        for id in free {
            let Some(site) = self.workers.get(id.as_str()) else { continue };
            let Some(engine) = catalog.engine(&site.service) else { continue };
            let free_mb = site.free_mb(engine);
            let at_hand = site.in_memory.iter().chain(&site.on_disk);
            let fitting = at_hand.filter(|name| {
                let size_mb = engine.models.get(name.as_str()).map(|model| model.size_mb);
                size_mb.is_some_and(|size_mb| size_mb <= free_mb)
                    && !site.models.contains(name.as_str())
            });
            let valued = fitting.filter_map(|name| {
                let replicas = self.replica_count(&site.service, name, now_ms);
                let rate = self.expected_rate(engine, &site.service, name, now_ms);
                let wanted = replicas == 0 || rate >= PRELOAD_REPLICA_RATE;
                wanted.then(|| (rate * REPLICATED_COST_FACTOR.powi(replicas as i32), name))
            });
            let best = valued.max_by(|(a, _), (b, _)| a.total_cmp(b));
            let Some((_, model)) = best.map(|(value, name)| (value, name.clone())) else {
                continue;
            };
            let in_memory = site.in_memory.contains(&model);
            let Some(sizes) = engine.models.get(model.as_str()) else { continue };
            let load_ms = if in_memory { sizes.memory_load_ms } else { sizes.disk_load_ms };
            let goal = PendingLoad {
                model,
                evict: Vec::new(),
                not_before_ms: now_ms,
                load_ms,
                from_store: false,
                evicts_running: false,
            };
            if let Some(site) = self.workers.get_mut(id.as_str()) {
                site.pending_load = Some(goal);
            }
        }
    }

    fn due_calls(
        &mut self,
        catalog: &Catalog,
        may_order: bool,
        now_ms: u64,
    ) -> Vec<(String, Call)> {
        let fence = self.fence;
        let mut calls = Vec::new();
        for (id, site) in self.workers.iter_mut() {
            let Some(engine) = catalog.engine(&site.service) else { continue };
            if site.call_in_flight || now_ms < site.next_call_ms {
                continue;
            }
            let call = if site.is_order_count_known() {
                may_order.then(|| next_order(site, engine, fence, now_ms)).flatten()
            } else {
                Some(Call::Report)
            };
            if let Some(call) = call {
                site.call_in_flight = true;
                calls.push((id.clone(), call));
            }
        }
        calls
    }
}

/// Returns the next order towards the goal of `site`.
fn next_order(site: &mut WorkerState, engine: &Engine, fence: u64, now_ms: u64) -> Option<Call> {
    let goal = site.pending_load.clone()?;
    if now_ms < goal.not_before_ms || site.load_remaining_ms(now_ms) > 0 {
        return None;
    }
    if let Some(victim) = goal.evict.first() {
        return site.order(OrderKind::Unload, victim, None, fence).map(Call::Order);
    }
    let size_mb = engine.models.get(goal.model.as_str()).map_or(u64::MAX, |model| model.size_mb);
    if site.leaving || site.free_mb(engine) < size_mb {
        site.pending_load = None;
        return None;
    }
    site.order(OrderKind::Load, &goal.model, None, fence).map(Call::Order)
}

/// Returns the adapter at `site` that has not been used for longest.
fn least_recently_used_adapter(site: &WorkerState, now_ms: u64) -> Option<(String, String)> {
    let adapters = site.models.iter().flat_map(|(model, held)| {
        held.adapters.iter().map(move |(name, adapter)| (adapter.last_used_ms, model, name))
    });
    let idle = adapters.filter(|(used_ms, _, _)| now_ms >= used_ms + ADAPTER_IDLE_MS);
    idle.min().map(|(_, model, name)| (model.clone(), name.clone()))
}
