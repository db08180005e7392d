//! Tests of limits without a worker's record.

use super::*;
use crate::gateway::limits::LIMIT_TTL_MS;

fn stated(per_ks: Option<u32>, at_ms: u64) -> KnownLimit {
    let mut limit = KnownLimit::default();
    limit.on_stated(Some(1000), at_ms);
    limit.on_stated(per_ks, at_ms);
    limit
}

#[test]
fn a_limit_that_has_ended_is_not_kept() {
    let mut detached = DetachedLimits::default();
    detached.keep(1, stated(Some(2000), 1000), 1000);
    detached.keep(1, stated(None, 1100), 1100);
    detached.keep(2, KnownLimit::default(), 1100);
    assert_eq!((detached.take(1), detached.take(2)), Default::default());
}

/// Guards against LIMIT at an instance that hears of limits before it reads the workers' records.
#[test]
fn a_limit_is_known_once_the_record_is_read() {
    let report = |per_ks, age_ms| LimitReport { worker: 1, per_ks: Some(per_ks), age_ms };
    let mut detached = DetachedLimits::default();
    detached.on_report(&report(2000, 100), 1000);
    detached.on_report(&report(9000, 500), 1000);
    let limit = detached.take(1);
    assert_eq!(limit.per_ks(1000), Some(2000));
    assert_eq!(limit.report(1, 1000), Some(report(2000, 100)));
    assert_eq!(detached.take(1), KnownLimit::default());
}

/// Guards against limits of workers that are gone for good: they fill the memory, or displace newer ones.
#[test]
fn the_latest_limits_stay_within_the_bound() {
    let mut detached = DetachedLimits::default();
    for worker in 0..5000 {
        detached.keep(worker, stated(Some(2000), 1000 + worker), 1000 + worker);
    }
    assert_eq!(detached.limits.len(), DETACHED_MAX);
    assert_eq!(detached.take(4999).per_ks(6000), Some(2000));
    let late_ms = 7000 + LIMIT_TTL_MS;
    for worker in 10_000..10_002 {
        detached.keep(worker, stated(Some(2000), late_ms), late_ms);
    }
    assert_eq!(detached.limits.len(), 2);
}
