//! Schedules of granted sends, by worker.

use crate::gateway::limits::Grant;
use crate::gateway::limits::SendScheduler;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Time after which the schedule of an unused worker is dropped, in ms.
const SCHEDULE_TTL_MS: u64 = 60_000;
/// Number of schedules from which on workers that this instance does not know get none.
const SCHEDULES_MAX: usize = 1024;
/// Time after which an unknown worker that got none may be asked for again, in ms.
const FULL_RETRY_MS: u64 = 300;

/// A request for a send to a limited worker.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledSend {
    /// Key of the worker.
    pub worker: u64,
    /// Whether this instance knows the worker from its record.
    pub is_known: bool,
    /// Limit, in requests in 1000 s.
    pub per_ks: u32,
    /// Time that the requester would wait, in ms.
    pub max_wait_ms: u64,
}

/// Schedules of all workers that this instance grants sends to.
#[derive(Clone, Debug, Default)]
pub struct Schedules {
    schedules: Table<u64, SendScheduler>,
}

impl Schedules {
    /// Grants a send if it is possible.
    pub fn grant(&mut self, send: ScheduledSend, now_ms: u64) -> Grant {
        let ScheduledSend { worker, is_known, per_ks, max_wait_ms } = send;
        if !self.schedules.contains(&worker) {
            self.schedules.retain(|_, one| now_ms < one.last_used_ms() + SCHEDULE_TTL_MS);
            if !is_known && self.schedules.len() >= SCHEDULES_MAX {
                return Grant::Denied(FULL_RETRY_MS);
            }
        }
        let schedule = self.schedules.get_or_insert_with(worker, || SendScheduler::new(now_ms));
        schedule.grant(per_ks, max_wait_ms, now_ms)
    }
}
