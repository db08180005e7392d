//! The workers known to this instance: their records, loads, health and loaded models.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::catalog::Catalog;
use crate::gateway::limits::KnownLimit;
use crate::gateway::limits::LimitReport;
use crate::gateway::limits::detached::DetachedLimits;
use crate::gateway::message_fields::ReportedLoad;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::Tag;
use crate::gateway::peers::WorkerLoad;
use crate::gateway::peers::tag;
use crate::hashing;
use crate::sorted::Table;

pub mod choose;
pub mod departed;
pub mod estimate;
pub mod health;
pub mod pace;
pub mod queueing;

#[cfg(test)]
pub(crate) mod tests;

use crate::gateway::directory::departed::AnnouncedDeparture;
use crate::gateway::directory::departed::DepartedWorkers;
use crate::gateway::directory::departed::ExitState;
use crate::gateway::directory::estimate::LeftPlaces;
use crate::gateway::directory::health::Health;
use crate::gateway::directory::pace::Pace;
use crate::gateway::directory::queueing::Durations;

/// Time for which the result of contacting a worker counts for the reachability of its failure
/// domain, in ms.
const REACHABILITY_WINDOW_MS: u64 = 2500;
/// Time for which a load reported in a worker's response is used, in ms.
const RESPONSE_LOAD_TTL_MS: u64 = 1500;
/// Time for which the status in a heartbeat of the lead is used, in ms; five heartbeat intervals.
const LEAD_STATUS_TTL_MS: u64 = 1500;
/// Assumed age of a load when the lead's heartbeat arrives, in ms: half of the longest interval
/// between two reports of an instance, plus the transmission time.
const LEAD_STATUS_LAG_MS: u64 = 260;
/// Time for which a worker gets no requests for a target that it reported as not loaded, in ms.
const ABSENT_TTL_MS: u64 = 400;
/// Time without messages from the lead after which the workers' own records are used again, in ms.
const LEAD_VIEW_TTL_MS: u64 = 3000;

/// A model in the accelerator memory of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Names of its loaded adapters, sorted.
    pub adapters: Vec<String>,
}

/// A worker's own record, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRecord {
    /// Id of the worker. It may stay the same over a restart, which changes `start_unix_ms`.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// Time until it terminates, in ms; `None` unless it leaves at short notice.
    pub remaining_ms: Option<u64>,
    /// Start time of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
    /// Number that grows with each record of the worker; 0 if it numbers none.
    pub sequence: u64,
    /// Models in accelerator memory, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
}

/// The models of a worker that requests may use, as published by the lead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// Id of the worker.
    pub id: String,
    /// Start time of the worker that the view describes, as Unix time in ms.
    pub start_unix_ms: u64,
    /// Models that may be used, sorted by name.
    pub models: Vec<LoadedModel>,
}

#[derive(Clone, Debug)]
struct ReceivedView {
    fence: u64,
    sequence: u64,
    confirmed_ms: u64,
    view: WorkerView,
}

/// Requests of other instances at a worker, computed from the lead's heartbeat.
#[derive(Clone, Copy, Debug)]
struct LeadReportedLoad {
    others: u32,
    received_ms: u64,
}

/// A worker and what this instance has observed of it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest record.
    pub record: WorkerRecord,
    /// Time at which this instance received the record, in ms.
    pub record_received_ms: u64,
    /// Requests of this instance that are in progress at the worker.
    pub in_flight: u32,
    /// The same, by model; without requests that need no model.
    pub in_flight_by_model: Table<String, u32>,
    /// Health as observed from its responses.
    pub health: Health,
    /// Hash of its id, which stays the same over a restart.
    pub key: u64,
    /// Hash of its id and start time.
    pub process: u64,
    /// Announcement in its records that it leaves.
    pub departure: Option<AnnouncedDeparture>,
    /// Whether it has said in a response that it is shutting down; holds until it starts again.
    pub said_leaving: bool,
    /// Time until which it has asked for no further requests, in ms.
    pub closed_until_ms: u64,
    /// Limit that it states on the rate of its requests.
    pub limit: KnownLimit,
    /// Time until which it gets no requests because of its limit, in ms.
    pub limited_until_ms: u64,
    /// Time at which other instances were last told of its limit, in ms.
    pub limit_told_ms: u64,
    /// Places that requests of this instance have left.
    pub left_places: LeftPlaces,
    /// How long work takes at it.
    pub pace: Pace,
    // Load from a response, own requests in progress at that time, and the time, in ms.
    response_load: Option<(ReportedLoad, u32, u64)>,
    reported_load: Option<LeadReportedLoad>,
    tag: Tag,
    view: Option<ReceivedView>,
    // Model, adapter and the time until which they count as not loaded, in ms.
    absent_targets: Vec<(String, Option<String>, u64)>,
    // Time of the worker's removal, in ms; set while its record is missing but may return.
    expires_ms: Option<u64>,
}

/// Effect of a record, or of its removal, on the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No change.
    None,
    /// A worker is new or has restarted.
    Joined,
    /// A worker has started to leave.
    Leaving,
    /// A worker was removed.
    Removed,
    /// Another field of a worker's record changed.
    Updated,
}

/// All workers known to this instance.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    workers: Table<String, Worker>,
    // Models reported by the lead as not usable before a time, in ms; sorted by tag.
    delayed_models: Vec<(Tag, u64)>,
    status_received_ms: u64,
    // Fencing number and sequence number of the lead's newest message.
    newest_message: Option<(u64, u64)>,
    detached_limits: DetachedLimits,
    departed: DepartedWorkers,
    records_complete_ms: u64,
    durations: Durations,
    // Services of which a worker has stated its pace.
    paced_services: Table<String, ()>,
    // Difference between the time since the machine started and the monotonic time, in ms.
    clock_offset_ms: Option<u64>,
}

impl Directory {
    /// Records a request of `service` that has ended after `duration_ms` at its worker.
    pub fn on_ended(&mut self, service: &str, duration_ms: u64) {
        self.durations.on_ended(service, duration_ms);
    }

    /// Compares a request that has ended after `duration_ms` at the worker with `id` with those before.
    pub fn on_ended_at(&mut self, id: &str, duration_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(average_ms) = self.durations.average_ms(&worker.record.service) {
            worker.pace.on_ended(duration_ms as f64, average_ms);
        }
    }

    /// Records the load and the pace in a response of the worker with `id`.
    pub fn on_response_load(&mut self, id: &str, load: ReportedLoad, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.on_response_load(load, now_ms);
        if let Some(pace_pct) = load.pace_pct {
            worker.pace.on_stated(pace_pct, now_ms);
            self.paced_services.get_or_insert_with(worker.record.service.clone(), || ());
        }
    }

    /// Returns whether the load of the workers of `service` is kept even, and connections to them are kept for
    /// reuse. Elsewhere the choice is the one of [`choose::choose`], which must stay as it is.
    pub fn is_evened(&self, has_accounts: bool, service: &str) -> bool {
        has_accounts || self.states_pace(service)
    }

    /// Returns whether a worker of `service` has stated its pace.
    pub fn states_pace(&self, service: &str) -> bool {
        self.paced_services.contains(service)
    }

    /// Applies a worker's record, unless it is of an earlier start than the known one.
    pub fn on_record(&mut self, record: WorkerRecord, now_ms: u64) -> Change {
        let Some(worker) = self.workers.get_mut(record.id.as_str()) else {
            let id = record.id.clone();
            let mut worker = Worker::new(record, self.records_complete_ms, now_ms);
            worker.limit = self.detached_limits.take(worker.key);
            worker.said_leaving = self.departed.was_leaving(&worker.record, now_ms);
            worker.closed_until_ms = self.departed.closed_until_ms(&worker.record);
            self.workers.insert(id, worker);
            return Change::Joined;
        };
        if record.start_unix_ms < worker.record.start_unix_ms {
            // The record describes an earlier start of the worker.
            return Change::None;
        }
        if record.start_unix_ms > worker.record.start_unix_ms {
            let in_flight = worker.in_flight;
            let by_model = worker.in_flight_by_model.clone();
            let limit = worker.limit;
            if worker.departure.is_some() {
                self.departed.on_removed(worker, self.records_complete_ms, now_ms);
            }
            *worker = Worker::new(record, self.records_complete_ms, now_ms);
            // It holds until a response of the new process states another one, or none.
            worker.limit = limit;
            worker.in_flight = in_flight;
            worker.in_flight_by_model = by_model;
            return Change::Joined;
        }
        worker.expires_ms = None;
        // A leaving worker does not become available again before it restarts.
        let leaving = worker.record.leaving || record.leaving;
        let change = match (worker.record.leaving, leaving) {
            (false, true) => Change::Leaving,
            _ if worker.record == record => Change::None,
            _ => Change::Updated,
        };
        worker.departure =
            AnnouncedDeparture::after(worker.departure, &record, self.records_complete_ms);
        worker.record = WorkerRecord { leaving, ..record };
        worker.record_received_ms = now_ms;
        change
    }

    /// Returns whether `record` was written before the worker was removed here; a store that has been
    /// restored from a copy holds such records.
    pub fn is_outdated(&self, record: &WorkerRecord, now_ms: u64) -> bool {
        !self.workers.contains(record.id.as_str()) && self.departed.is_outdated(record, now_ms)
    }

    /// Sets the last time, since the machine started, in ms, at which all records in the store were known here: what
    /// is applied from now on was accepted later.
    pub fn set_records_complete(&mut self, boot_ms: u64) {
        self.records_complete_ms = boot_ms;
    }

    /// Returns whether the process of a worker that was started at `start_unix_ms` has announced that it leaves, by
    /// its record or the removal of the record.
    pub fn is_departing(&self, id: &str, start_unix_ms: u64) -> bool {
        self.departure(id, start_unix_ms).is_some()
    }

    /// Returns whether that process, which has ended, may have exited by itself, at least `drain_ms` after its
    /// announcement. `boot_ms` is the time since the machine started.
    pub fn exit_state(
        &self,
        id: &str,
        start_unix_ms: u64,
        drain_ms: u64,
        boot_ms: u64,
    ) -> ExitState {
        self.departure(id, start_unix_ms)
            .map_or(ExitState::Unannounced, |departure| departure.exit_state(drain_ms, boot_ms))
    }

    fn departure(&self, id: &str, start_unix_ms: u64) -> Option<AnnouncedDeparture> {
        match self.workers.get(id) {
            Some(worker) if worker.record.start_unix_ms == start_unix_ms => worker.departure,
            _ => self.departed.announced(id, start_unix_ms),
        }
    }

    /// Applies the removal of a worker's record.
    ///
    /// `expires_ms` is set if the record may have expired only because the store was unavailable.
    /// The worker then stays in use until that time, in case its record is published again.
    pub fn on_removed(&mut self, id: &str, expires_ms: Option<u64>, now_ms: u64) -> Change {
        let Some(worker) = self.workers.get_mut(id) else { return Change::None };
        if let Some(expires_ms) = expires_ms {
            worker.expires_ms.get_or_insert(expires_ms);
            return Change::None;
        }
        self.detached_limits.keep(worker.key, worker.limit, now_ms);
        self.departed.on_removed(worker, self.records_complete_ms, now_ms);
        self.workers.remove(id);
        Change::Removed
    }

    /// Applies a statement about the limit of a worker that has no record.
    pub fn on_detached_limit(&mut self, report: &LimitReport, now_ms: u64) {
        self.detached_limits.on_report(report, now_ms);
    }

    /// Removes the workers whose records were not published again in time; returns their ids.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<String> {
        let mut removed = Vec::new();
        self.workers.retain(|id, worker| {
            let stays = !worker.has_expired(now_ms);
            if !stays {
                self.detached_limits.keep(worker.key, worker.limit, now_ms);
                self.departed.on_removed(worker, self.records_complete_ms, now_ms);
                removed.push(id.clone());
            }
            stays
        });
        removed
    }

    /// Applies the view of a worker that the lead with `fence` sent in its message `sequence`;
    /// returns whether the usable models may have changed.
    pub fn on_view(&mut self, view: WorkerView, fence: u64, sequence: u64, now_ms: u64) -> bool {
        let Some(worker) = self.workers.get_mut(view.id.as_str()) else { return false };
        if view.start_unix_ms != worker.record.start_unix_ms {
            return false;
        }
        let newer =
            worker.view.as_ref().is_none_or(|old| (old.fence, old.sequence) < (fence, sequence));
        if !newer {
            return false;
        }
        let changed = worker.view.as_ref().is_none_or(|old| old.view != view);
        worker.view = Some(ReceivedView { fence, sequence, confirmed_ms: now_ms, view });
        changed
    }

    /// Returns whether message `sequence` of the lead with `fence` is the newest one so far. Messages that
    /// another instance passes on may be late, by seconds if that one was paused.
    pub fn on_lead_message(&mut self, fence: u64, sequence: u64) -> bool {
        let is_newest = self.newest_message < Some((fence, sequence));
        if is_newest {
            self.newest_message = Some((fence, sequence));
        }
        is_newest
    }

    /// Applies the status from a heartbeat of the lead.
    pub fn on_status(&mut self, status: &FleetStatus, now_ms: u64) {
        let delayed = status
            .delayed_models
            .iter()
            .map(|delayed| (delayed.model, now_ms + u64::from(delayed.usable_in_ms)));
        self.delayed_models = delayed.collect();
        self.status_received_ms = now_ms;
        self.on_reported_loads(&status.loads, now_ms);
    }

    /// Returns the time before which `model` cannot be used, in ms, or `None` if the lead has not
    /// reported one recently.
    pub fn unavailable_until_ms(&self, service: &str, model: &str, now_ms: u64) -> Option<u64> {
        if now_ms >= self.status_received_ms + LEAD_STATUS_TTL_MS {
            return None;
        }
        let key = tag(&[service, model]);
        let index = self.delayed_models.binary_search_by_key(&key, |(tag, _)| *tag).ok()?;
        Some(self.delayed_models[index].1)
    }

    fn on_reported_loads(&mut self, loads: &[WorkerLoad], now_ms: u64) {
        for (_, worker) in self.workers.iter_mut() {
            let index = loads.binary_search_by_key(&worker.tag, |load| load.worker);
            let running = index.map_or(0, |index| loads[index].running);
            let others = running.saturating_sub(worker.in_flight);
            worker.reported_load = Some(LeadReportedLoad { others, received_ms: now_ms });
        }
    }

    /// Extends the validity of the views from the lead with `fence`, as it still sends messages.
    pub fn refresh_views(&mut self, fence: u64, now_ms: u64) {
        let views = self.workers.iter_mut().filter_map(|(_, worker)| worker.view.as_mut());
        for view in views.filter(|view| view.fence == fence) {
            view.confirmed_ms = now_ms;
        }
    }

    /// Records that the worker with this hash of its id and start time has said that it is shutting down.
    pub fn on_said_leaving(&mut self, process: u64) {
        let workers = self.workers.iter_mut().map(|(_, worker)| worker);
        if let Some(worker) = workers.into_iter().find(|worker| worker.process == process) {
            worker.said_leaving = true;
        }
    }

    /// Returns the worker with `id`, if it is known.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns the worker with `id` for changes, if it is known.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Returns the worker with this hash of its id, if it is known.
    pub fn get_by_key(&self, key: u64) -> Option<&Worker> {
        self.iter().find(|worker| worker.key == key)
    }

    /// Returns the worker with this hash of its id for changes, if it is known.
    pub fn get_by_key_mut(&mut self, key: u64) -> Option<&mut Worker> {
        self.workers.iter_mut().map(|(_, worker)| worker).find(|worker| worker.key == key)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the number of known workers, including those that are leaving.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether workers of other failure domains were recently unreachable and none of them
    /// has responded since.
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

    /// Returns whether at least one worker of a service in `catalog` is known.
    pub fn serves_any(&self, catalog: &Catalog) -> bool {
        self.iter().any(|worker| catalog.services.contains(worker.record.service.as_str()))
    }
}

impl Worker {
    fn new(record: WorkerRecord, records_complete_ms: u64, now_ms: u64) -> Self {
        Self {
            tag: tag(&[&record.id]),
            record_received_ms: now_ms,
            in_flight: 0,
            in_flight_by_model: Table::new(),
            health: Health::default(),
            key: hashing::stable_hash(&[&record.id]),
            process: hashing::stable_hash(&[&record.id, &record.start_unix_ms.to_string()]),
            departure: AnnouncedDeparture::after(None, &record, records_complete_ms),
            said_leaving: false,
            closed_until_ms: 0,
            limit: KnownLimit::default(),
            limited_until_ms: 0,
            limit_told_ms: 0,
            left_places: LeftPlaces::default(),
            pace: Pace::default(),
            response_load: None,
            reported_load: None,
            view: None,
            absent_targets: Vec::new(),
            expires_ms: None,
            record,
        }
    }

    fn has_expired(&self, now_ms: u64) -> bool {
        self.expires_ms.is_some_and(|expires_ms| now_ms >= expires_ms)
    }

    /// Returns the time until which it takes no request, because of its limit or since it has asked for none,
    /// in ms; `None` if it takes requests now.
    pub fn blocked_until_ms(&self, now_ms: u64) -> Option<u64> {
        let limited = self.is_at_limit(now_ms).then_some(self.limited_until_ms);
        let closed = (now_ms < self.closed_until_ms).then_some(self.closed_until_ms);
        limited.max(closed)
    }

    /// Returns whether its limit allows no request now.
    pub fn is_at_limit(&self, now_ms: u64) -> bool {
        now_ms < self.limited_until_ms && self.limit.per_ks(now_ms).is_some()
    }

    /// Returns whether it is shutting down, by its record or by its responses.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.said_leaving
    }

    /// Returns whether new requests may be sent to the worker.
    pub fn accepts_new_requests(&self, now_ms: u64) -> bool {
        !self.is_leaving() && !self.has_expired(now_ms)
    }

    /// Returns the models that it holds: those of the lead's view, or those of the worker's record
    /// if there is no view or only an outdated one.
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

    /// Returns whether it can serve `model` with `adapter` now.
    pub fn holds(&self, model: &str, adapter: Option<&str>, now_ms: u64) -> bool {
        let models = self.models(now_ms);
        let Ok(index) = models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)) else {
            return false;
        };
        let has_adapter = adapter.is_none_or(|name| {
            models[index].adapters.binary_search_by(|loaded| loaded.as_str().cmp(name)).is_ok()
        });
        let is_marked_absent = self.absent_targets.iter().any(|(m, a, until_ms)| {
            m == model && (a.is_none() || a.as_deref() == adapter) && now_ms < *until_ms
        });
        has_adapter && !is_marked_absent
    }

    /// Records that the worker reported `model`, or `adapter` if given, as not loaded.
    pub fn on_absent(&mut self, model: &str, adapter: Option<&str>, now_ms: u64) {
        self.absent_targets.retain(|(_, _, until_ms)| now_ms < *until_ms);
        let until_ms = now_ms + ABSENT_TTL_MS;
        self.absent_targets.push((model.to_owned(), adapter.map(str::to_owned), until_ms));
    }

    /// Returns whether requests of this instance are in progress at it for a model that `view` does not
    /// list.
    pub fn runs_requests_beyond(&self, view: &WorkerView) -> bool {
        let is_listed = |model: &str| {
            view.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)).is_ok()
        };
        self.in_flight_by_model.keys().any(|model| !is_listed(model))
    }

    /// Records that a request is sent to the worker.
    pub fn on_sent(&mut self, model: Option<&str>) {
        self.in_flight += 1;
        if let Some(model) = model {
            *self.in_flight_by_model.get_or_insert_with(model.to_owned(), || 0) += 1;
        }
    }

    /// Records that a request at the worker has ended.
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

    /// Records the load that the worker reported in a response.
    pub fn on_response_load(&mut self, load: ReportedLoad, now_ms: u64) {
        self.response_load = Some((load, self.in_flight, now_ms));
    }

    /// Returns the age of the latest load report, in ms, whether from a response or from the lead;
    /// `None` without any report.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let response_age_ms = self.response_load.map(|(_, _, at_ms)| now_ms.saturating_sub(at_ms));
        response_age_ms.into_iter().chain(self.reported_load_age_ms(now_ms)).min()
    }

    /// Returns the age of the load that the lead reported, in ms, or `None` if it is outdated.
    pub fn reported_load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let reported = self
            .reported_load
            .filter(|reported| now_ms < reported.received_ms + LEAD_STATUS_TTL_MS)?;
        Some(now_ms.saturating_sub(reported.received_ms) + LEAD_STATUS_LAG_MS)
    }

    /// Estimates the number of requests at the worker: this instance's requests in progress plus
    /// those of other instances according to the latest report.
    pub fn load_estimate(&self, now_ms: u64) -> u32 {
        let response_load =
            self.response_load.filter(|(_, _, at_ms)| now_ms < at_ms + RESPONSE_LOAD_TTL_MS);
        let reported_age_ms = self.reported_load_age_ms(now_ms);
        let is_newer = |at_ms: u64| reported_age_ms.is_none_or(|age_ms| now_ms - at_ms <= age_ms);
        let others = match (response_load, self.reported_load) {
            (Some((load, own_in_flight, at_ms)), _) if is_newer(at_ms) => {
                (load.running + load.waiting).saturating_sub(own_in_flight)
            }
            (_, Some(reported)) if reported_age_ms.is_some() => reported.others,
            _ => 0,
        };
        self.in_flight + others
    }
}
