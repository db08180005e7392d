//! Estimates the load of workers at the present moment, from reports that are up to a second old.

use crate::gateway::directory::Directory;
use crate::gateway::directory::RESPONSE_LOAD_TTL_MS;
use crate::gateway::directory::Worker;

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

/// Time in which the difference between a worker's load and the average of the workers falls to 1/e, in ms:
/// requests that took a place have ended by then, and other instances have filled the free ones.
const RELAXATION_MS: f64 = 3000.0;
/// Time for which other instances do not know of a place that a request of this one has left, in ms: the
/// longest age of the loads in the lead's status.
const UNREPORTED_END_MS: u64 = 1000;
/// Number of such places that are remembered for each worker.
const REMEMBERED_ENDS: usize = 4;
/// Smallest increase of the time for which the machine was suspended that makes reports outdated, in ms.
const SUSPENSION_MIN_MS: u64 = 100;

/// Places at a worker that requests of this instance have left, and that no other request has taken since.
#[derive(Clone, Debug, Default)]
pub struct LeftPlaces {
    // Times at which they were left, in ms, in ascending order.
    left_ms: Vec<u64>,
}

impl LeftPlaces {
    /// Records that a request has ended.
    pub fn on_done(&mut self, now_ms: u64) {
        if self.left_ms.len() >= REMEMBERED_ENDS {
            self.left_ms.remove(0);
        }
        self.left_ms.push(now_ms);
    }

    /// Records that a request was sent, which takes the place that was left last.
    pub fn on_sent(&mut self) {
        self.left_ms.pop();
    }

    /// Returns the time at which a place was left last, in ms, if the other instances do not know of it yet.
    pub fn unreported_ms(&self, now_ms: u64) -> Option<u64> {
        let last_ms = self.left_ms.last().copied();
        last_ms.filter(|left_ms| now_ms < left_ms + UNREPORTED_END_MS)
    }
}

/// Requests of other instances at a worker, as reported.
#[derive(Clone, Copy, Debug)]
pub struct ReportedOthers {
    /// Number of requests.
    pub requests: u32,
    /// Age of the report, in ms.
    pub age_ms: u64,
}

/// Returns the expected requests of other instances at each of the workers of a model.
///
/// With its age, a report says less and less of a worker; its load approaches the average of the workers. A
/// worker without a report counts as one of average load. Otherwise it would seem empty, and get the
/// requests of all instances while the lead is silent.
pub fn expected_others(reports: &[Option<ReportedOthers>]) -> Vec<f64> {
    let known = || reports.iter().flatten().map(|report| f64::from(report.requests));
    let mean = known().sum::<f64>() / known().count().max(1) as f64;
    let expected = |report: &Option<ReportedOthers>| {
        report.map_or(mean, |report| {
            let weight = (-(report.age_ms as f64) / RELAXATION_MS).exp();
            mean + (f64::from(report.requests) - mean) * weight
        })
    };
    reports.iter().map(expected).collect()
}

/// Returns the expected number of requests at each of `workers`, which hold the same model.
pub fn expected_loads(workers: &[&Worker], now_ms: u64) -> Vec<f64> {
    let reports: Vec<Option<ReportedOthers>> =
        workers.iter().map(|worker| worker.reported_others(now_ms)).collect();
    let others = expected_others(&reports);
    workers
        .iter()
        .zip(others)
        .map(|(worker, others)| f64::from(worker.in_flight) + others)
        .collect()
}

impl Worker {
    /// Returns the requests of other instances at the worker according to the newest report, whether from a
    /// response or from the lead; `None` without a report that still counts.
    pub fn reported_others(&self, now_ms: u64) -> Option<ReportedOthers> {
        let lead_age_ms = self.reported_load_age_ms(now_ms);
        let response =
            self.response_load.filter(|(_, _, at_ms)| now_ms < at_ms + RESPONSE_LOAD_TTL_MS);
        if let Some((load, own_in_flight, at_ms)) = response {
            let age_ms = now_ms.saturating_sub(at_ms);
            if lead_age_ms.is_none_or(|lead_age_ms| age_ms <= lead_age_ms) {
                let requests = load.running.saturating_add(load.waiting);
                return Some(ReportedOthers {
                    requests: requests.saturating_sub(own_in_flight),
                    age_ms,
                });
            }
        }
        let requests = self.reported_load?.others;
        lead_age_ms.map(|age_ms| ReportedOthers { requests, age_ms })
    }
}

impl Directory {
    /// Discards the loads and paces whose age is not known, since the machine was suspended; returns whether
    /// it was. `now_ms` does not count the time of suspension, `boot_ms` does. Without accounts, this applies only
    /// to services whose workers state their pace.
    pub fn on_clocks(&mut self, has_accounts: bool, now_ms: u64, boot_ms: u64) -> bool {
        let offset_ms = boot_ms.saturating_sub(now_ms);
        let known_ms = self.clock_offset_ms.replace(offset_ms);
        let was_suspended =
            known_ms.is_some_and(|known_ms| offset_ms > known_ms + SUSPENSION_MIN_MS);
        if was_suspended {
            let paced_services = &self.paced_services;
            let is_evened = |worker: &&mut Worker| {
                has_accounts || paced_services.contains(worker.record.service.as_str())
            };
            let workers = self.workers.iter_mut().map(|(_, worker)| worker);
            for worker in workers.filter(is_evened) {
                worker.response_load = None;
                worker.reported_load = None;
                worker.left_places = LeftPlaces::default();
                worker.pace.forget_statement();
            }
        }
        was_suspended
    }
}
