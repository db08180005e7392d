//! Tests of the bound on schedules.

use super::*;

fn send_to(worker: u64, is_known: bool) -> ScheduledSend {
    ScheduledSend { worker, is_known, per_ks: 1000, max_wait_ms: 0 }
}

/// Guards against a limited worker that gets no requests because forged requests for sends to workers
/// that do not exist have filled the schedules.
#[test]
fn a_known_worker_is_scheduled_whatever_others_are_named() {
    let mut schedules = Schedules::default();
    for worker in 1..5000 {
        schedules.grant(send_to(worker, false), 1000);
    }
    assert_eq!(schedules.schedules.len(), SCHEDULES_MAX);
    assert_eq!(schedules.grant(send_to(7000, true), 1000), Grant::After(0));
    // Its schedule is kept.
    assert!(matches!(schedules.grant(send_to(7000, true), 1000), Grant::Denied(_)));
}

#[test]
fn schedules_of_unused_workers_are_dropped() {
    let mut schedules = Schedules::default();
    for worker in 0..100 {
        schedules.grant(send_to(worker, true), 1000);
    }
    schedules.grant(send_to(100, true), 1000 + SCHEDULE_TTL_MS);
    assert_eq!(schedules.schedules.len(), 1);
}
