//! Tests of the record in the store, of instances whose time of day differs.

use test_case::test_case;

use super::*;
use crate::gateway::message_fields::PromptPart;

const BAD: PromptPart = PromptPart(1);
const OTHER: PromptPart = PromptPart(2);
/// Unix time at which the record is written, in ms.
const WRITTEN_UNIX_MS: u64 = 1_800_000_000_000;
/// Monotonic time of the instance that reads it, in ms.
const NOW_MS: u64 = 20_000;
/// Time after its last crash at which a part may be tried again, in ms.
const PROBE_DUE_MS: u64 = 10_000;
const HOUR_MS: u64 = 3_600_000;

/// A ledger with three crashes of `BAD`, the last one 3 s ago, and one of `OTHER`.
fn ledger() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for worker in 0..3 {
        let at_ms = NOW_MS - 5000 + worker * 1000;
        ledger.on_crash(worker, &format!("r{worker}"), &[BAD], at_ms);
    }
    ledger.on_crash(9, "r9", &[OTHER], NOW_MS - 3000);
    ledger.refresh(NOW_MS);
    ledger
}

fn record() -> StoredReports {
    StoredReports { written_unix_ms: WRITTEN_UNIX_MS, reports: ledger().reports(NOW_MS) }
}

fn due_in_ms(ledger: &CrashLedger) -> u64 {
    ledger.probe_due_in_ms(BAD, NOW_MS)
}

/// Guards against BUDGET at an instance that starts with a clock that is ahead, or reads what one with a
/// clock that is behind has written: by the difference, the crashes look hours old.
#[test_case(0, PROBE_DUE_MS - 3000; "at once")]
#[test_case(2000, PROBE_DUE_MS - 5000; "after two seconds")]
#[test_case(60_000, 0; "after a minute")]
#[test_case(3 * HOUR_MS, 0; "after three hours")]
#[test_case(u64::MAX - WRITTEN_UNIX_MS, 0; "at the end of the range of times")]
fn a_stored_part_stays_blocked_and_is_tried_again(passed_ms: u64, expected_due_in_ms: u64) {
    let mut started = CrashLedger::default();
    let stored = record().merge_into(&mut started, WRITTEN_UNIX_MS + passed_ms, NOW_MS);
    assert_eq!(started.blocked(), [BAD]);
    assert_eq!(due_in_ms(&started), expected_due_in_ms);
    assert_eq!(stored.blocked_digest(), ledger().blocked_digest());
}

/// Guards against clocks that step and change what an instance has seen itself.
#[test_case(0; "to the past")]
#[test_case(WRITTEN_UNIX_MS + 1_800_000; "half an hour ahead")]
#[test_case(WRITTEN_UNIX_MS + 3 * HOUR_MS; "three hours ahead")]
fn a_step_of_the_clock_does_not_change_the_ages_of_known_crashes(now_unix_ms: u64) {
    let mut known = ledger();
    record().merge_into(&mut known, now_unix_ms, NOW_MS);
    assert_eq!(known.blocked(), [BAD]);
    assert_eq!(due_in_ms(&known), PROBE_DUE_MS - 3000);
    assert_eq!(known.reports(NOW_MS), ledger().reports(NOW_MS));
}

#[test]
fn an_old_record_suspects_no_parts_that_are_not_blocked() {
    let mut started = CrashLedger::default();
    record().merge_into(&mut started, WRITTEN_UNIX_MS + HOUR_MS, NOW_MS);
    assert_eq!(started.suspected_count(), 1);
}
