//! The record of the crash ledger in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::crashes::CrashLedger;
use crate::gateway::crashes::PartReport;

#[cfg(test)]
mod tests;

/// Value of the record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredReports {
    /// Unix time at which it was written, in ms.
    pub written_unix_ms: u64,
    /// All observations of the instance that wrote it.
    pub reports: Vec<PartReport>,
}

impl StoredReports {
    /// Merges the record into `ledger`; returns the ledger that the record alone amounts to.
    ///
    /// The time that has passed since the record was written is known by the time of day only, which may
    /// jump. It therefore does not change the ages of crashes that the ledger knows, and a blocked part is
    /// not forgotten because of it: at most, its probe is due.
    pub fn merge_into(
        self,
        ledger: &mut CrashLedger,
        now_unix_ms: u64,
        now_ms: u64,
    ) -> CrashLedger {
        let passed_ms = now_unix_ms.saturating_sub(self.written_unix_ms);
        let mut reports = self.reports;
        let mut written = CrashLedger::default();
        written.merge(&reports, now_ms);
        for report in &mut reports {
            let passed_ms = match written.blocked().binary_search(&report.part) {
                Ok(_) => passed_ms.min(written.probe_due_in_ms(report.part, now_ms)),
                Err(_) => passed_ms,
            };
            report.probe_age_ms =
                report.probe_age_ms.map(|age_ms| age_ms.saturating_add(passed_ms));
            for crash in &mut report.crashes {
                let known_age_ms = ledger.crash_age_ms(report.part, crash.process, now_ms);
                crash.age_ms = known_age_ms.unwrap_or(crash.age_ms.saturating_add(passed_ms));
            }
        }
        ledger.merge(&reports, now_ms);
        written
    }
}
