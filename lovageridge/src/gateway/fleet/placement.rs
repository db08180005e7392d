//! Where to load a model: on which worker, and which models have to be evicted there. These are the ones
//! that cost least to lose.

use crate::gateway::catalog::Engine;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::index::ModelEntry;
use crate::gateway::fleet::worker::WorkerState;

/// Period whose expected requests count towards the cost of an eviction, in s.
const EVICTION_HORIZON_S: f64 = 10.0;
/// Assumed requests per second for each adapter of a model, used while the measured rate is lower.
const PRIOR_RATE_PER_ADAPTER: f64 = 0.01;
/// Assumed requests per second for any model, added to those for its adapters.
const PRIOR_RATE: f64 = 0.02;
/// Fraction of the cost of an eviction that remains if other replicas can serve the requests.
pub(super) const REPLICATED_COST_FACTOR: f64 = 0.08;
/// Additional cost of evicting a model with requests in progress on that worker, in ms: the unload
/// waits for them, and meanwhile the worker can load nothing else and the model accepts no
/// requests.
const BUSY_EVICTION_COST_MS: f64 = 60_000.0;
/// Highest cost of evictions per waiting request, in ms: about the time for which callers wait.
const MAX_COST_PER_WAITING_REQUEST_MS: f64 = 8000.0;
/// Slots of a worker per concurrent request that one replica serves well along with the other load of
/// its worker.
const SLOTS_PER_REPLICA_REQUEST: u32 = 4;
/// Least number of concurrent requests that one replica serves well.
const MIN_REQUESTS_PER_REPLICA: u32 = 3;
/// Concurrent requests that one replica serves well if the slots of its worker are not known.
const DEFAULT_REQUESTS_PER_REPLICA: u32 = 16;
/// Added to the cost of a placement in a failure domain that already has a replica, in ms: a
/// network partition or the failure of the domain would affect both.
const SAME_DOMAIN_PENALTY_MS: f64 = 1500.0;
/// Additional cost of a placement on a worker that limits its requests, in ms per waiting request.
const LIMITED_PENALTY_MS: f64 = 2000.0;

/// A worker on which a model can be loaded, with the required evictions.
pub(super) struct ModelPlacement {
    pub(super) worker: String,
    pub(super) evict: Vec<String>,
    pub(super) load_ms: u64,
    pub(super) eviction_cost_ms: f64,
    pub(super) from_store: bool,
    pub(super) evicts_running: bool,
}

/// What a placement is sought for.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest {
    /// Number of the model.
    pub(super) model: usize,
    /// Number of requests that wait for it.
    pub(super) waiting_requests: f64,
    /// Whether workers that limit their requests are excluded.
    pub(super) skip_limited: bool,
    /// Whether the weights come from the weight store; otherwise from a copy on the worker.
    pub(super) from_store: bool,
}

impl Fleet {
    /// Returns the placement of the model with this number that adds least waiting time, if
    /// `waiting_requests` requests wait for it. With `skip_limited`, workers that limit their requests
    /// are excluded.
    pub(super) fn best_placement(
        &mut self,
        engine: &Engine,
        model: usize,
        waiting_requests: f64,
        skip_limited: bool,
        now_ms: u64,
    ) -> Option<ModelPlacement> {
        let from_store = self.index.model(model).cached.is_empty();
        let request = PlacementRequest { model, waiting_requests, skip_limited, from_store };
        self.find_placement(engine, request, now_ms)
    }

    /// Returns the best placement for `request`.
    pub(super) fn find_placement(
        &mut self,
        engine: &Engine,
        request: PlacementRequest,
        now_ms: u64,
    ) -> Option<ModelPlacement> {
        let PlacementRequest { model, waiting_requests, skip_limited, from_store } = request;
        let entry = self.index.model(model);
        let (service, name) = &entry.key;
        let model_info = engine.models.get(name.as_str())?;
        let cached = entry.cached.iter().map(|number| self.index.worker_id(*number));
        let candidates: Vec<&WorkerState> = if from_store {
            self.workers.values().filter(|worker| worker.service == *service).collect()
        } else {
            cached.filter_map(|id| self.workers.get(id)).collect()
        };
        let mut steps = 0;
        let mut best: Option<(f64, ModelPlacement)> = None;
        for worker in candidates {
            steps += 1;
            if worker.models.contains(name.as_str())
                || (from_store && worker.has_cached_copy(name))
                || (skip_limited && worker.limit_per_s.is_some())
                || !worker.can_start_load(now_ms)
            {
                continue;
            }
            let load_ms = if from_store {
                model_info.store_load_ms
            } else if worker.in_memory.iter().any(|cached| cached == name) {
                model_info.memory_load_ms
            } else {
                model_info.disk_load_ms
            };
            steps += worker.models.len() as u64;
            let Some((evict, eviction_cost_ms)) =
                self.choose_evictions(engine, worker, model_info.size_mb, now_ms)
            else {
                continue;
            };
            if eviction_cost_ms > waiting_requests * MAX_COST_PER_WAITING_REQUEST_MS {
                continue;
            }
            let limit_penalty_ms =
                if worker.limit_per_s.is_some() { LIMITED_PENALTY_MS } else { 0.0 };
            let cost = waiting_requests * (load_ms as f64 + limit_penalty_ms)
                + eviction_cost_ms
                + self.domain_penalty_ms(entry, worker);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                let evicts_running =
                    evict.iter().any(|victim| self.running_requests(worker, victim) > 0);
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
        self.steps += steps;
        best.map(|(_, placement)| placement)
    }

    fn domain_penalty_ms(&self, entry: &ModelEntry, worker: &WorkerState) -> f64 {
        let ready = entry.replicas.iter().filter(|replica| replica.is_ready);
        let others = ready.filter_map(|replica| {
            self.workers.get(self.index.worker_id(replica.worker)).map(|other| &other.domain)
        });
        let has_replica = others.into_iter().any(|domain| *domain == worker.domain);
        if has_replica { SAME_DOMAIN_PENALTY_MS } else { 0.0 }
    }

    /// Returns the requests in progress for `model` at `worker`, over all instances.
    fn running_requests(&self, worker: &WorkerState, model: &str) -> u32 {
        let number = self.index.model_number(&worker.service, model);
        number.map_or(0, |number| self.index.running_at(&worker.id, number))
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
        let Some(number) = self.index.model_number(&worker.service, model) else { return 0.0 };
        let entry = self.index.model(number);
        let rate_per_s = expected_rate(engine, entry, now_ms);
        let cost_ms = rate_per_s * EVICTION_HORIZON_S * reload_ms as f64;
        let other_replicas = entry.replicas.len().saturating_sub(1) as u32;
        let others_suffice = other_replicas > 0
            && entry.running <= other_replicas * requests_per_replica(engine)
            && !self.is_short_of_limits(entry, Some(&worker.id), now_ms);
        let is_busy = self.index.running_at(&worker.id, number) > 0;
        let factor = if others_suffice { REPLICATED_COST_FACTOR } else { 1.0 };
        cost_ms * factor + if is_busy { BUSY_EVICTION_COST_MS } else { 0.0 }
    }
}

/// Returns the expected requests per second for a model.
pub(super) fn expected_rate(engine: &Engine, entry: &ModelEntry, now_ms: u64) -> f64 {
    let adapters = engine.models.get(entry.key.1.as_str()).map_or(0, |model| model.adapter_count);
    let prior = PRIOR_RATE + PRIOR_RATE_PER_ADAPTER * f64::from(adapters);
    entry.rate_per_s(now_ms).max(prior)
}

/// Returns the number of concurrent requests that one replica serves well along with the other load of
/// its worker.
pub(super) fn requests_per_replica(engine: &Engine) -> u32 {
    match engine.slots {
        0 => DEFAULT_REQUESTS_PER_REPLICA,
        slots => (slots / SLOTS_PER_REPLICA_REQUEST).max(MIN_REQUESTS_PER_REPLICA),
    }
}
