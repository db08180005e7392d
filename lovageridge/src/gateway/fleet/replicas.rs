//! Replicas of models: how many there are, whether they suffice, and further ones for busy models.

use crate::gateway::catalog::Catalog;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::index::ModelEntry;
use crate::gateway::fleet::placement::PlacementRequest;
use crate::gateway::fleet::placement::requests_per_replica;

/// Requests per second from which a model gets a second replica.
const SECOND_REPLICA_RATE: f64 = 3.0;
/// Concurrent requests for which a further replica is added at once, whatever their rate.
const MANY_REQUESTS: u32 = 16;
/// Highest cost of evictions for a further replica, in ms per request per second that the model
/// gets: about the waiting time that an overloaded worker adds to each request.
const MAX_REPLICA_COST_PER_RATE_MS: f64 = 1000.0;
/// Share of the slots of all workers with a replica that its requests use from which a replica is worth a
/// load from the weight store, in percent.
const SATURATED_PCT: u32 = 80;
/// Typical duration of a request at a model worker, in s.
const REQUEST_DURATION_S: f64 = 3.0;
/// Share of a worker's limit on requests that counts for one of its models, in percent.
const LIMIT_SHARE_PCT: f64 = 50.0;

impl Fleet {
    /// Returns whether all workers with a replica of a model, other than `except`, limit their requests
    /// and their limits are too low for its request rate.
    pub(super) fn is_short_of_limits(
        &self,
        entry: &ModelEntry,
        except: Option<&str>,
        now_ms: u64,
    ) -> bool {
        let ids = entry.replicas.iter().map(|replica| self.index.worker_id(replica.worker));
        let replicas = ids.filter(|id| except != Some(id)).filter_map(|id| self.workers.get(id));
        let limits: Option<Vec<f64>> = replicas.map(|worker| worker.limit_per_s).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else { return false };
        let usable_per_s = limits.iter().sum::<f64>() * LIMIT_SHARE_PCT / 100.0;
        usable_per_s < entry.rate_per_s(now_ms)
    }

    /// Adds a second replica of busy models, so that one remains when a worker fails, further replicas
    /// of models with many requests in progress, and replicas of models that only workers at their
    /// limits hold.
    pub(super) fn add_replicas(&mut self, catalog: &Catalog, load_window_ms: u64, now_ms: u64) {
        let models = self.index.models().len();
        let first = self.next_replica_model;
        for number in (first..models).chain(0..first.min(models)) {
            if self.steps >= self.steps_limit {
                self.next_replica_model = number;
                return;
            }
            let entry = self.index.model(number);
            let is_possible = entry.usage.is_some() && !entry.cached.is_empty();
            if !is_possible || entry.replicas.iter().any(|replica| !replica.is_ready) {
                continue;
            }
            self.steps += 1;
            let (service, model) = &entry.key;
            let Some(engine) = catalog.engine(service) else { continue };
            let rate = entry.rate_per_s(now_ms);
            let replicas_for_rate = 1 + usize::from(rate >= SECOND_REPLICA_RATE);
            // A few requests that came at once end before another replica is loaded.
            let sustained = (rate * REQUEST_DURATION_S).min(f64::from(entry.running)) as u32;
            let replicas_for_running = 1
                + (entry.running / MANY_REQUESTS).max(sustained / requests_per_replica(engine))
                    as usize;
            let wanted = replicas_for_rate.max(replicas_for_running);
            let is_short = self.is_short_of_limits(entry, None, now_ms);
            let suffices = wanted == 1 || entry.replicas.len() >= wanted;
            if suffices && !is_short {
                continue;
            }
            let model = model.clone();
            let Some(placement) = self.best_placement(engine, number, 1.0, is_short, now_ms) else {
                continue;
            };
            if placement.eviction_cost_ms <= rate * MAX_REPLICA_COST_PER_RATE_MS {
                self.plan_load(placement, &model, load_window_ms, engine, now_ms);
            }
        }
    }

    /// Loads a replica of the busiest model from the weight store whose requests fill the slots of all
    /// workers with a replica, if no further worker has a copy.
    pub(super) fn add_stored_replicas(
        &mut self,
        catalog: &Catalog,
        load_window_ms: u64,
        now_ms: u64,
    ) {
        let saturated = self.index.models().iter().enumerate().filter(|(_, entry)| {
            let slots = catalog.engine(&entry.key.0).map_or(0, |engine| engine.slots);
            slots > 0
                && !entry.replicas.is_empty()
                && entry.replicas.iter().all(|replica| replica.is_ready)
                && entry.cached.len() <= entry.replicas.len()
                && entry.running * 100 >= entry.replicas.len() as u32 * slots * SATURATED_PCT
        });
        let busiest = saturated
            .max_by(|(_, a), (_, b)| a.rate_per_s(now_ms).total_cmp(&b.rate_per_s(now_ms)));
        let Some((model, entry)) = busiest else { return };
        let (service, name) = entry.key.clone();
        let rate = entry.rate_per_s(now_ms);
        let Some(engine) = catalog.engine(&service) else { return };
        // A replica serves no more than this, so such a model without any copy comes first.
        let replica_rate = f64::from(engine.slots) / REQUEST_DURATION_S;
        if self.uncached_models(now_ms).first().is_some_and(|(rate, _)| *rate >= replica_rate) {
            return;
        }
        if !self.may_load_from_store(engine, load_window_ms) {
            return;
        }
        let request =
            PlacementRequest { model, waiting_requests: 1.0, skip_limited: true, from_store: true };
        if let Some(placement) = self.find_placement(engine, request, now_ms)
            && placement.eviction_cost_ms <= rate * MAX_REPLICA_COST_PER_RATE_MS
        {
            self.plan_load(placement, &name, load_window_ms, engine, now_ms);
        }
    }
}
