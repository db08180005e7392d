//! Limits of workers that have no record.
//!
//! An instance that starts may hear of a limit before it has read the worker's record, and the record of a
//! worker may be removed and written again.

use crate::gateway::limits::KnownLimit;
use crate::gateway::limits::LimitReport;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Number of limits that are kept.
const DETACHED_MAX: usize = 256;

/// Limits by the key of their worker.
#[derive(Clone, Debug, Default)]
pub struct DetachedLimits {
    limits: Table<u64, KnownLimit>,
}

impl DetachedLimits {
    /// Applies a statement about a worker without a record.
    pub fn on_report(&mut self, report: &LimitReport, now_ms: u64) {
        let mut limit = self.limits.get(&report.worker).copied().unwrap_or_default();
        limit.on_stated(report.per_ks, now_ms.saturating_sub(report.age_ms));
        self.keep(report.worker, limit, now_ms);
    }

    /// Keeps the limit of a worker whose record is removed, unless there is none.
    pub fn keep(&mut self, worker: u64, limit: KnownLimit, now_ms: u64) {
        if limit.per_ks(now_ms).is_none() {
            self.limits.remove(&worker);
            return;
        }
        self.limits.insert(worker, limit);
        if self.limits.len() > DETACHED_MAX {
            self.limits.retain(|_, one| one.per_ks(now_ms).is_some());
        }
        if self.limits.len() > DETACHED_MAX {
            self.remove_oldest();
        }
    }

    /// Returns the limit of a worker whose record has been read, and no longer keeps it.
    pub fn take(&mut self, worker: u64) -> KnownLimit {
        self.limits.remove(&worker).unwrap_or_default()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.stated_ms());
        if let Some(worker) = oldest.map(|(worker, _)| *worker) {
            self.limits.remove(&worker);
        }
    }
}
