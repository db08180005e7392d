//! Estimates how long a request would wait at a worker, and whether it should be sent there at all.
//!
//! A worker of a model that is in higher demand than its workers can serve begins with each request
//! later than the one before, until all are late or abandoned. If requests that would miss their
//! objective are refused instead, those that are sent are in time.

use crate::gateway::directory::Directory;
use crate::gateway::directory::Worker;
use crate::gateway::directory::choose::Requirements;
use crate::gateway::directory::choose::is_eligible;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Requests that the average duration is taken over; later ones replace earlier ones gradually.
const AVERAGED_REQUESTS: u32 = 16;
/// Requests beyond the limit at which none are admitted, relative to those that are not reported yet.
const BEYOND_LIMIT: f64 = 0.25;
/// Requests below the limit up to which all are admitted, relative to those that are not reported yet.
const BELOW_LIMIT: f64 = 1.75;
/// Largest random addition to the time after which a refused caller should return, in ms; those that
/// were refused together then return one after the other.
const RETURN_SPREAD_MS: f64 = 1500.0;

/// Average duration of the requests of each service, in ms.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    // Average and number of requests.
    averages_ms: Table<String, (f64, u32)>,
}

impl Durations {
    /// Records a request of `service` that has ended after `duration_ms` at its worker.
    pub fn on_ended(&mut self, service: &str, duration_ms: u64) {
        let known = match self.averages_ms.get_mut(service) {
            Some(known) => known,
            None => self.averages_ms.get_or_insert_with(service.to_owned(), || (0.0, 0)),
        };
        let (average_ms, count) = known;
        *count = (*count + 1).min(AVERAGED_REQUESTS);
        *average_ms += (duration_ms as f64 - *average_ms) / f64::from(*count);
    }

    /// Returns the average duration of a request of `service`, in ms; `None` before the first one has
    /// ended.
    pub fn average_ms(&self, service: &str) -> Option<f64> {
        self.averages_ms.get(service).map(|(average_ms, _)| *average_ms)
    }
}

/// Returns the time until a worker with `slots` and `load` requests begins with another one, in ms; 0 if
/// its slots are not known.
pub fn expected_wait_ms(load: u32, slots: u32, duration_ms: f64) -> u64 {
    if slots == 0 {
        return 0;
    }
    let ahead = (load + 1).saturating_sub(slots);
    (f64::from(ahead) * duration_ms / f64::from(slots)) as u64
}

/// What is known of a worker when a request may be sent to it.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests at the worker.
    pub load: u32,
    /// Number of requests that it processes at the same time; 0 if it is not known.
    pub slots: u32,
    /// Age of the load, in ms.
    pub age_ms: u64,
    /// Average duration of a request, in ms.
    pub duration_ms: f64,
}

impl Occupancy {
    /// Returns the share of requests, from 0 to 1, that may be sent if they may wait for `limit_ms`.
    ///
    /// All instances see the same load at the same time. A sharp limit would let all of them send, and
    /// then none, so the share falls over as many requests as may have come since the load was reported.
    pub fn admitted_share(&self, limit_ms: u64) -> f64 {
        if self.slots == 0 {
            return 1.0;
        }
        let slots = f64::from(self.slots);
        let duration_ms = self.duration_ms.max(1.0);
        let unreported = (slots * self.age_ms as f64 / duration_ms).clamp(1.0, slots);
        let queue = slots * limit_ms as f64 / duration_ms;
        let none_from = slots + queue + unreported * BEYOND_LIMIT;
        // What is clearly in time is sent, however old the load is.
        let uncertain = (unreported * BELOW_LIMIT).min((queue / 2.0).max(slots / 4.0));
        let all_until = slots + queue - uncertain;
        ((none_from - f64::from(self.load)) / (none_from - all_until)).clamp(0.0, 1.0)
    }
}

/// Returns the time after which a refused caller should return, in ms: when the requests that wait
/// beyond `limit_ms` have begun; `random` in 0..1 spreads the callers.
pub fn retry_after_ms(wait_ms: u64, limit_ms: u64, random: f64) -> u64 {
    wait_ms.saturating_sub(limit_ms) + (random * RETURN_SPREAD_MS) as u64
}

impl Directory {
    /// Returns the expected duration of a request at `worker`, in ms, by its own pace if the workers of its
    /// service state theirs; `None` while durations are not known.
    fn duration_at_ms(&self, worker: &Worker, now_ms: u64) -> Option<f64> {
        let average_ms = self.durations.average_ms(&worker.record.service)?;
        let is_paced = self.states_pace(&worker.record.service);
        Some(if is_paced { average_ms * worker.pace.factor(now_ms) } else { average_ms })
    }

    /// Returns the time until `worker` begins with another request, in ms; 0 while durations are not known.
    pub fn wait_at_ms(&self, worker: &Worker, now_ms: u64) -> u64 {
        self.wait_with_load_ms(worker, worker.load_estimate(now_ms), now_ms)
    }

    /// Returns the same if there are `load` requests at `worker`.
    pub fn wait_with_load_ms(&self, worker: &Worker, load: u32, now_ms: u64) -> u64 {
        let Some(duration_ms) = self.duration_at_ms(worker, now_ms) else { return 0 };
        expected_wait_ms(load, worker.record.slots, duration_ms)
    }

    /// Returns the share of requests, from 0 to 1, that may be sent to `worker` if they may wait there for
    /// `limit_ms`.
    pub fn admitted_share(&self, worker: &Worker, limit_ms: u64, now_ms: u64) -> f64 {
        self.admitted_share_with_load(worker, worker.load_estimate(now_ms), limit_ms, now_ms)
    }

    /// Returns the same if there are `load` requests at `worker`.
    pub fn admitted_share_with_load(
        &self,
        worker: &Worker,
        load: u32,
        limit_ms: u64,
        now_ms: u64,
    ) -> f64 {
        let Some(duration_ms) = self.duration_at_ms(worker, now_ms) else { return 1.0 };
        let occupancy = Occupancy {
            load,
            slots: worker.record.slots,
            age_ms: worker.load_age_ms(now_ms).unwrap_or(0),
            duration_ms,
        };
        occupancy.admitted_share(limit_ms)
    }

    /// Returns the worker that meets `requirements` and would begin first, with the time until then, in
    /// ms.
    pub fn first_to_begin(
        &self,
        requirements: &Requirements<'_>,
        now_ms: u64,
    ) -> Option<(&Worker, u64)> {
        let eligible = self.iter().filter(|worker| is_eligible(worker, requirements, now_ms));
        let waits = eligible.map(|worker| (worker, self.wait_at_ms(worker, now_ms)));
        waits.min_by_key(|(_, wait_ms)| *wait_ms)
    }
}
