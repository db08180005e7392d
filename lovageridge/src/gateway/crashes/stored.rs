//! The record of the crash ledger in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::crashes::CrashLedger;
use crate::gateway::crashes::PartReport;

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
            report.probe_age_ms =
                report.probe_age_ms.map(|age_ms| age_ms.saturating_add(passed_ms));
            for crash in &mut report.crashes {
                crash.age_ms = crash.age_ms.saturating_add(passed_ms);
            }
        }
        ledger.merge(&reports, now_ms);
        written
    }
}
