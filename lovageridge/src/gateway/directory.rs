//! Workers as this instance knows them: their records, loads, health, and what they hold.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::catalog::Catalog;
use crate::gateway::message_fields::ReportedLoad;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::Tag;
use crate::gateway::peers::WorkerLoad;
use crate::gateway::peers::tag;
use crate::sorted::Table;

pub mod choose;
pub mod health;

#[cfg(test)]
pub(crate) mod tests;

use crate::gateway::directory::health::Health;

/// Time for which a try to reach a worker tells of the path to its failure domain, in ms.
const REACHABILITY_WINDOW_MS: u64 = 2500;
/// Time for which a load told by an answer counts, in ms.
const RESPONSE_LOAD_TTL_MS: u64 = 1500;
/// Time for which a load told by the lead counts, in ms; five of its heartbeats.
const LEAD_STATUS_TTL_MS: u64 = 1500;
/// Age of a load when the lead tells it, in ms: half of the longest time between two reports of an
/// instance, and the way.
const LEAD_STATUS_LAG_MS: u64 = 260;
/// Time for which a worker is not asked again for a target that it said it does not hold, in ms.
const ABSENT_TTL_MS: u64 = 400;
/// Silence of the lead after which the workers' own records count again, in ms.
const LEAD_VIEW_TTL_MS: u64 = 3000;

/// A model in the accelerator memory of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Its adapters, in order.
    pub adapters: Vec<String>,
}

/// A worker's own record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRecord {
    /// Id of this start of the worker.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time until it is gone, if it leaves at short notice, in ms.
    pub remaining_ms: Option<u64>,
    /// Start of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
    /// Models in accelerator memory, by name.
    pub models: Vec<LoadedModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
}

/// What the lead says a worker holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// Worker.
    pub id: String,
    /// Start of the worker that the view is about.
    pub start_unix_ms: u64,
    /// Models that may be used, by name.
    pub models: Vec<LoadedModel>,
}

#[derive(Clone, Debug)]
struct ReceivedView {
    fence: u64,
    message_number: u64,
    confirmed_ms: u64,
    view: WorkerView,
}

/// Requests of other instances at a worker, as the lead told.
#[derive(Clone, Copy, Debug)]
struct LeadReportedLoad {
    others: u32,
    received_ms: u64,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its newest record.
    pub record: WorkerRecord,
    /// Time of the record here, in ms.
    pub record_received_ms: u64,
    /// Requests of this instance in progress there.
    pub in_flight: u32,
    /// The same by model.
    pub in_flight_by_model: Table<String, u32>,
    /// Health as answers show it.
    pub health: Health,
    response_load: Option<(ReportedLoad, u32, u64)>,
    reported_load: Option<LeadReportedLoad>,
    tag: Tag,
    view: Option<ReceivedView>,
    absent_targets: Vec<(String, Option<String>, u64)>,
    // Set while the record is gone but may come back.
    expires_ms: Option<u64>,
}

/// What a record or its removal changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// A worker is new or has started again.
    Joined,
    /// A worker is leaving.
    Leaving,
    /// A worker is gone.
    Removed,
    /// Something else about a worker.
    Updated,
}

/// All workers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    workers: Table<String, Worker>,
    // Models that cannot be used before a time, in ms, as the lead told; sorted by tag.
    delayed_models: Vec<(Tag, u64)>,
    late_received_ms: u64,
}

impl Directory {
    /// Takes over a worker's record.
    pub fn on_record(&mut self, record: WorkerRecord, now_ms: u64) -> Change {
        let Some(worker) = self.workers.get_mut(record.id.as_str()) else {
            let id = record.id.clone();
            self.workers.insert(id, Worker::new(record, now_ms));
            return Change::Joined;
        };
        if record.start_unix_ms < worker.record.start_unix_ms {
            // A record of an earlier start says nothing of this one.
            return Change::None;
        }
        if record.start_unix_ms > worker.record.start_unix_ms {
            let in_flight = worker.in_flight;
            let by_model = worker.in_flight_by_model.clone();
            *worker = Worker::new(record, now_ms);
            worker.in_flight = in_flight;
            worker.in_flight_by_model = by_model;
            return Change::Joined;
        }
        worker.expires_ms = None;
        // A worker that has said that it leaves does not come back under this start.
        let leaving = worker.record.leaving || record.leaving;
        let change = match (worker.record.leaving, leaving) {
            (false, true) => Change::Leaving,
            _ if worker.record == record => Change::None,
            _ => Change::Updated,
        };
        worker.record = WorkerRecord { leaving, ..record };
        worker.record_received_ms = now_ms;
        change
    }

    /// Takes over that a worker's record is gone; with `keep_until_ms` it may be of a living worker
    /// whose record lapsed during an outage of the store, and the worker stays in use until then.
    pub fn on_removed(&mut self, id: &str, expires_ms: Option<u64>) -> Change {
        match (expires_ms, self.workers.get_mut(id)) {
            (Some(until_ms), Some(worker)) => {
                worker.expires_ms.get_or_insert(until_ms);
                Change::None
            }
            (None, Some(_)) => {
                self.workers.remove(id);
                Change::Removed
            }
            (_, None) => Change::None,
        }
    }

    /// Drops the workers whose records lapsed and did not come back; returns their ids.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<String> {
        let mut removed = Vec::new();
        self.workers.retain(|id, worker| {
            let stays = !worker.has_expired(now_ms);
            if !stays {
                removed.push(id.clone());
            }
            stays
        });
        removed
    }

    /// Takes over what the lead with `fence` says of a worker in its message `number`.
    pub fn on_view(
        &mut self,
        view: WorkerView,
        fence: u64,
        message_number: u64,
        now_ms: u64,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(view.id.as_str()) else { return false };
        if view.start_unix_ms != worker.record.start_unix_ms {
            return false;
        }
        let newer = worker
            .view
            .as_ref()
            .is_none_or(|v| (v.fence, v.message_number) < (fence, message_number));
        if !newer {
            return false;
        }
        let changed = worker.view.as_ref().is_none_or(|old| old.view != view);
        worker.view = Some(ReceivedView { fence, message_number, confirmed_ms: now_ms, view });
        changed
    }

    /// Takes over what the lead tells in a heartbeat.
    pub fn on_status(&mut self, status: &FleetStatus, now_ms: u64) {
        let late = status
            .delayed_models
            .iter()
            .map(|late| (late.model, now_ms + u64::from(late.usable_in_ms)));
        self.delayed_models = late.collect();
        self.late_received_ms = now_ms;
        self.on_reported_loads(&status.loads, now_ms);
    }

    /// Returns the time before which `model` cannot be used, in ms, if the lead has said so lately.
    pub fn unavailable_until_ms(&self, service: &str, model: &str, now_ms: u64) -> Option<u64> {
        if now_ms >= self.late_received_ms + LEAD_STATUS_TTL_MS {
            return None;
        }
        let key = tag(&[service, model]);
        let index = self.delayed_models.binary_search_by_key(&key, |(tag, _)| *tag).ok()?;
        Some(self.delayed_models[index].1)
    }

    fn on_reported_loads(&mut self, loads: &[WorkerLoad], now_ms: u64) {
        for (_, worker) in self.workers.iter_mut() {
            let index = loads.binary_search_by_key(&worker.tag, |load| load.worker);
            let running = index.map_or(0, |at| loads[at].running);
            let others = running.saturating_sub(worker.in_flight);
            worker.reported_load = Some(LeadReportedLoad { others, received_ms: now_ms });
        }
    }

    /// Notes that the lead was heard, so that what it said before still counts.
    pub fn refresh_views(&mut self, fence: u64, now_ms: u64) {
        let views = self.workers.iter_mut().filter_map(|(_, worker)| worker.view.as_mut());
        for view in views.filter(|view| view.fence == fence) {
            view.confirmed_ms = now_ms;
        }
    }

    /// Returns a worker.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a worker for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Tells whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Tells whether workers of other failure domains were tried lately and none answered.
    pub fn are_other_domains_unreachable(&self, own_domain: &str, now_ms: u64) -> bool {
        let other_workers = || self.iter().filter(|worker| worker.record.domain != own_domain);
        let is_recent = |at_ms: u64| now_ms <= at_ms + REACHABILITY_WINDOW_MS;
        let any_unreachable = other_workers()
            .any(|worker| worker.health.last_unreachable_ms().is_some_and(is_recent));
        let any_responded = other_workers().any(|worker| {
            let unreachable_ms = worker.health.last_unreachable_ms().unwrap_or(0);
            worker
                .health
                .last_response_ms()
                .is_some_and(|at_ms| is_recent(at_ms) && at_ms >= unreachable_ms)
        });
        any_unreachable && !any_responded
    }

    /// Tells whether some worker of a service of `catalog` is known.
    pub fn serves_any(&self, catalog: &Catalog) -> bool {
        self.iter().any(|worker| catalog.services.contains(worker.record.service.as_str()))
    }
}

impl Worker {
    fn new(record: WorkerRecord, now_ms: u64) -> Self {
        Self {
            tag: tag(&[&record.id]),
            record,
            record_received_ms: now_ms,
            in_flight: 0,
            in_flight_by_model: Table::new(),
            health: Health::default(),
            response_load: None,
            reported_load: None,
            view: None,
            absent_targets: Vec::new(),
            expires_ms: None,
        }
    }

    fn has_expired(&self, now_ms: u64) -> bool {
        self.expires_ms.is_some_and(|until_ms| now_ms >= until_ms)
    }

    /// Tells whether it takes new work.
    pub fn accepts_new_requests(&self, now_ms: u64) -> bool {
        !self.record.leaving && !self.has_expired(now_ms)
    }

    /// Returns the models it holds, as the lead says or, without a lead, its own record.
    pub fn models(&self, now_ms: u64) -> &[LoadedModel] {
        match &self.view {
            Some(view) => {
                let view_expired = now_ms > view.confirmed_ms + LEAD_VIEW_TTL_MS;
                let record_newer = self.record_received_ms > view.confirmed_ms + LEAD_VIEW_TTL_MS;
                if view_expired && record_newer { &self.record.models } else { &view.view.models }
            }
            None => &self.record.models,
        }
    }

    /// Tells whether it can serve `model` with `adapter` now.
    pub fn holds(&self, model: &str, adapter: Option<&str>, now_ms: u64) -> bool {
        let models = self.models(now_ms);
        let Ok(index) = models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)) else {
            return false;
        };
        let has_adapter = adapter.is_none_or(|name| {
            models[index].adapters.binary_search_by(|held| held.as_str().cmp(name)).is_ok()
        });
        let is_marked_absent = self.absent_targets.iter().any(|(m, a, until_ms)| {
            m == model && (a.is_none() || a.as_deref() == adapter) && now_ms < *until_ms
        });
        has_adapter && !is_marked_absent
    }

    /// Notes that it said it does not hold a target.
    pub fn on_absent(&mut self, model: &str, adapter: Option<&str>, now_ms: u64) {
        self.absent_targets.retain(|(_, _, until_ms)| now_ms < *until_ms);
        let until_ms = now_ms + ABSENT_TTL_MS;
        self.absent_targets.push((model.to_owned(), adapter.map(str::to_owned), until_ms));
    }

    /// Notes a request that goes to it.
    pub fn on_sent(&mut self, model: Option<&str>) {
        self.in_flight += 1;
        if let Some(model) = model {
            *self.in_flight_by_model.get_or_insert_with(model.to_owned(), || 0) += 1;
        }
    }

    /// Notes that a request there has ended.
    pub fn on_done(&mut self, model: Option<&str>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(model) = model else { return };
        let remaining =
            self.in_flight_by_model.get(model).map_or(0, |count| count.saturating_sub(1));
        if remaining == 0 {
            self.in_flight_by_model.remove(model);
        } else {
            self.in_flight_by_model.insert(model.to_owned(), remaining);
        }
    }

    /// Notes the load that an answer told.
    pub fn on_response_load(&mut self, load: ReportedLoad, now_ms: u64) {
        self.response_load = Some((load, self.in_flight, now_ms));
    }

    /// Returns the age of what is known of its load, in ms: of the newer one of what an answer and
    /// what the lead told.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let response_age_ms = self.response_load.map(|(_, _, at_ms)| now_ms.saturating_sub(at_ms));
        response_age_ms.into_iter().chain(self.reported_load_age_ms(now_ms)).min()
    }

    /// Returns the age of the load that the lead told, in ms, as long as it counts.
    pub fn reported_load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let told =
            self.reported_load.filter(|told| now_ms < told.received_ms + LEAD_STATUS_TTL_MS)?;
        Some(now_ms.saturating_sub(told.received_ms) + LEAD_STATUS_LAG_MS)
    }

    /// Estimates the requests there: the own ones, and the others as last told.
    pub fn load_estimate(&self, now_ms: u64) -> u32 {
        let response_load =
            self.response_load.filter(|(_, _, at_ms)| now_ms < at_ms + RESPONSE_LOAD_TTL_MS);
        let told_age_ms = self.reported_load_age_ms(now_ms);
        let is_newer = |at_ms: u64| told_age_ms.is_none_or(|age_ms| now_ms - at_ms <= age_ms);
        let others = match (response_load, self.reported_load) {
            (Some((load, own_then, at_ms)), _) if is_newer(at_ms) => {
                (load.running + load.waiting).saturating_sub(own_then)
            }
            (_, Some(told)) if told_age_ms.is_some() => told.others,
            _ => 0,
        };
        self.in_flight + others
    }
}
