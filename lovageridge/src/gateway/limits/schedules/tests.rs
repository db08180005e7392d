//! Tests of the bound on schedules.

use super::*;

fn send_to(worker: u64) -> ScheduledSend {
    ScheduledSend { worker, per_ks: 1000, max_wait_ms: 0 }
}

#[test]
fn schedules_of_unused_workers_are_dropped() {
    let mut schedules = Schedules::default();
    for worker in 0..100 {
        schedules.grant(send_to(worker), 1000);
    }
    schedules.grant(send_to(100), 1000 + SCHEDULE_TTL_MS);
    assert_eq!(schedules.schedules.len(), 1);
}
