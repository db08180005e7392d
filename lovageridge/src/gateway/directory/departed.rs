//! Workers that were removed, so that older records of them that a restored store holds are recognized, and
//! that a worker which has said that it leaves stays unused if its record comes back.

use crate::gateway::directory::Worker;
use crate::gateway::directory::WorkerRecord;
use crate::sorted::Table;

/// Time for which a removed worker is remembered, in ms; longer than the time that a restore takes back.
const RETENTION_MS: u64 = 60_000;
/// Most removed workers that are remembered.
const WORKERS_MAX: usize = 512;

/// A worker's announcement that it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedDeparture {
    // Time at which the store had not accepted it yet, see `Directory::set_records_complete`.
    accepted_after_ms: u64,
    // Whether the worker is terminated at a time that it has named, whatever it is running then.
    is_time_limited: bool,
}

/// Whether a worker that has ended may have exited by itself, after the end of its last run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitState {
    /// It has not announced that it leaves.
    Unannounced,
    /// It is terminated at a time that it has named, whatever it is running then.
    Terminated,
    /// It has announced its exit, but goes on for longer.
    NotDue,
    /// It may have exited as announced.
    Due,
}

impl ExitState {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unannounced => "unannounced",
            Self::Terminated => "terminated",
            Self::NotDue => "not_due",
            Self::Due => "due",
        }
    }
}

impl AnnouncedDeparture {
    /// Returns what is announced after `record` has been received, which the store accepted after
    /// `accepted_after_ms`.
    pub fn after(
        known: Option<Self>,
        record: &WorkerRecord,
        accepted_after_ms: u64,
    ) -> Option<Self> {
        let new = record.leaving.then_some(Self { accepted_after_ms, is_time_limited: false });
        let departure = known.or(new)?;
        let is_time_limited = departure.is_time_limited || record.remaining_ms.is_some();
        Some(Self { is_time_limited, ..departure })
    }

    /// Returns whether the worker may have exited by itself: it goes on for at least `drain_ms` after the store has
    /// accepted the announcement.
    pub fn exit_state(self, drain_ms: u64, boot_ms: u64) -> ExitState {
        if self.is_time_limited {
            ExitState::Terminated
        } else if boot_ms < self.accepted_after_ms + drain_ms {
            ExitState::NotDue
        } else {
            ExitState::Due
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    start_unix_ms: u64,
    sequence: u64,
    leaving: bool,
    closed_until_ms: u64,
    removed_ms: u64,
    announced: AnnouncedDeparture,
}

impl Departure {
    fn is_of(&self, start_unix_ms: u64) -> bool {
        self.start_unix_ms == start_unix_ms
    }
}

/// The workers that were removed lately, by id.
#[derive(Clone, Debug, Default)]
pub struct DepartedWorkers {
    workers: Table<String, Departure>,
}

impl DepartedWorkers {
    /// Records that `worker` is removed, which the store accepted after `accepted_after_ms`.
    pub fn on_removed(&mut self, worker: &Worker, accepted_after_ms: u64, now_ms: u64) {
        self.workers.retain(|_, departure| now_ms < departure.removed_ms + RETENTION_MS);
        if self.workers.len() >= WORKERS_MAX {
            let oldest = self.workers.iter().min_by_key(|(_, departure)| departure.removed_ms);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.workers.remove(id.as_str());
            }
        }
        let departure = Departure {
            start_unix_ms: worker.record.start_unix_ms,
            sequence: worker.record.sequence,
            leaving: worker.is_leaving(),
            closed_until_ms: worker.closed_until_ms,
            removed_ms: now_ms,
            // Some workers announce that they leave by the removal of their record alone.
            announced: worker
                .departure
                .unwrap_or(AnnouncedDeparture { accepted_after_ms, is_time_limited: false }),
        };
        self.workers.insert(worker.record.id.clone(), departure);
    }

    /// Returns whether the worker of `record` was leaving when it was removed, and has not started again.
    pub fn was_leaving(&self, record: &WorkerRecord, now_ms: u64) -> bool {
        self.workers.get(record.id.as_str()).is_some_and(|departure| {
            departure.leaving
                && departure.start_unix_ms == record.start_unix_ms
                && now_ms < departure.removed_ms + RETENTION_MS
        })
    }

    /// Returns the announcement of the removed worker with `id` and this start time that it leaves.
    pub fn announced(&self, id: &str, start_unix_ms: u64) -> Option<AnnouncedDeparture> {
        let departure = self.workers.get(id).filter(|departure| departure.is_of(start_unix_ms))?;
        Some(departure.announced)
    }

    /// Returns the time until which the worker of `record` has asked for no further requests, in ms; 0 if it
    /// has not since its start.
    pub fn closed_until_ms(&self, record: &WorkerRecord) -> u64 {
        let departure = self.workers.get(record.id.as_str());
        let is_same = |departure: &&Departure| departure.start_unix_ms == record.start_unix_ms;
        departure.filter(is_same).map_or(0, |departure| departure.closed_until_ms)
    }

    /// Returns whether `record` was written before the worker's removal.
    pub fn is_outdated(&self, record: &WorkerRecord, now_ms: u64) -> bool {
        let Some(departure) = self.workers.get(record.id.as_str()) else { return false };
        if now_ms >= departure.removed_ms + RETENTION_MS {
            return false;
        }
        let is_same_start = record.start_unix_ms == departure.start_unix_ms;
        let is_not_newer = departure.sequence > 0 && record.sequence <= departure.sequence;
        // A worker that was leaving does not return before it starts again.
        record.start_unix_ms < departure.start_unix_ms
            || is_same_start && (departure.leaving || is_not_newer)
    }
}
