//! Replicas of models: how many there are, whether they suffice, and further ones for busy models.

use crate::gateway::catalog::Catalog;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::plan::RUNNING_REQUESTS_PER_REPLICA;

/// Requests per second from which a model gets a second replica.
const SECOND_REPLICA_RATE: f64 = 3.0;
/// Highest cost of evictions for a further replica, in ms per request per second that the model
/// gets: about the waiting time that an overloaded worker adds to each request.
const MAX_REPLICA_COST_PER_RATE_MS: f64 = 1000.0;
/// Share of a worker's limit on requests that counts for one of its models, in percent.
const LIMIT_SHARE_PCT: f64 = 50.0;

impl Fleet {
    /// Returns the number of replicas that are ready, being loaded or planned.
    pub(super) fn replica_count(&self, service: &str, model: &str, now_ms: u64) -> usize {
        let workers = self.workers.values().filter(|worker| {
            worker.service == service && !worker.leaving && worker.is_responsive()
        });
        workers
            .filter(|worker| worker.is_ready(model) || worker.is_load_underway(model, now_ms))
            .count()
    }

    /// Returns whether all workers with a replica of `model`, other than `except`, limit their requests
    /// and their limits are too low for its request rate.
    pub(super) fn is_short_of_limits(
        &self,
        service: &str,
        model: &str,
        except: Option<&str>,
        now_ms: u64,
    ) -> bool {
        let replicas = self.workers.values().filter(|worker| {
            worker.service == service
                && !worker.leaving
                && worker.is_responsive()
                && except != Some(worker.id.as_str())
                && (worker.is_ready(model) || worker.is_load_underway(model, now_ms))
        });
        let limits: Option<Vec<f64>> = replicas.map(|worker| worker.limit_per_s).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else { return false };
        let usable_per_s = limits.iter().sum::<f64>() * LIMIT_SHARE_PCT / 100.0;
        usable_per_s < self.rate_per_s(service, model, now_ms)
    }

    /// Adds a second replica of busy models, so that one remains when a worker fails, further replicas
    /// of models with many requests in progress, and replicas of models that only workers at their
    /// limits hold.
    pub(super) fn add_replicas(&mut self, catalog: &Catalog, load_window_ms: u64, now_ms: u64) {
        let busy: Vec<(String, String)> = self
            .usage
            .iter()
            .filter(|((service, name), usage)| {
                usage.rate_per_s(now_ms) >= SECOND_REPLICA_RATE
                    || self.running_requests_total(name, now_ms) > RUNNING_REQUESTS_PER_REPLICA
                    || self.is_short_of_limits(service, name, None, now_ms)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for (service, model) in busy {
            let Some(engine) = catalog.engine(&service) else { continue };
            let rate = self.rate_per_s(&service, &model, now_ms);
            let replicas_for_rate = 1 + usize::from(rate >= SECOND_REPLICA_RATE);
            let running = self.running_requests_total(&model, now_ms);
            let replicas_for_running = 1 + (running / RUNNING_REQUESTS_PER_REPLICA) as usize;
            let is_short = self.is_short_of_limits(&service, &model, None, now_ms);
            if !is_short
                && self.replica_count(&service, &model, now_ms)
                    >= replicas_for_rate.max(replicas_for_running)
            {
                continue;
            }
            if self.workers.values().any(|worker| worker.is_load_underway(&model, now_ms)) {
                continue;
            }
            let Some(placement) =
                self.best_placement(engine, &service, &model, 1.0, is_short, now_ms)
            else {
                continue;
            };
            if placement.eviction_cost_ms <= rate * MAX_REPLICA_COST_PER_RATE_MS
                && !placement.from_store
            {
                self.plan_load(placement, &model, load_window_ms, engine, now_ms);
            }
        }
    }
}
