//! Tests with a simulated weight store that slows all loads down beyond its concurrency.

use test_case::test_case;

use crate::gateway::fleet::store_limiter::StoreLoadLimiter;
use crate::gateway::fleet::worker::FinishedStoreLoad;

const STEP_MS: u64 = 100;
/// Time until a worker's record shows a load.
const LAG_MS: u64 = 1200;

/// Returns the number of loads that are seen as finished after `until_ms`, if there is always a model to
/// load and the store serves `full_speed` loads at once, each in `nominal_ms`.
fn loads_finished(full_speed: usize, nominal_ms: u64, until_ms: u64) -> usize {
    let mut limiter = StoreLoadLimiter::default();
    // Start and remaining work of each load, in ms; then the time at which it is seen as finished.
    let mut running: Vec<(u64, f64)> = Vec::new();
    let mut ended: Vec<(u64, u64)> = Vec::new();
    let mut finished = 0;
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let slowdown = (running.len() as f64 / full_speed as f64).max(1.0);
        running.iter_mut().for_each(|(_, left_ms)| *left_ms -= STEP_MS as f64 / slowdown);
        let done = running.extract_if(.., |(_, left_ms)| *left_ms <= 0.0);
        ended.extend(done.map(|(started_ms, _)| (started_ms, now_ms + LAG_MS)));
        for (started_ms, _) in ended.extract_if(.., |(_, seen_ms)| now_ms >= *seen_ms) {
            let observed_ms = now_ms - started_ms;
            limiter.on_load_finished(FinishedStoreLoad { observed_ms, nominal_ms }, now_ms);
            finished += 1;
        }
        while running.len() + ended.len() < limiter.limit() {
            running.push((now_ms, nominal_ms as f64));
        }
    }
    finished
}

/// A store that serves two loads of 13 s at once. Doubling the limit started eight loads at once, which
/// would all have ended after 53 s, so that three models were loaded in a minute and none in the next half.
#[test_case(2, 13_200; "two at once, slow loads")]
#[test_case(1, 6000; "one at a time")]
#[test_case(4, 6000; "four at once")]
#[test_case(8, 6000; "eight at once")]
fn most_of_the_stores_rate_is_used_once_its_concurrency_is_known(
    full_speed: usize,
    nominal_ms: u64,
) {
    let settled_ms = nominal_ms * 10;
    let until_ms = settled_ms + 20 * nominal_ms;
    let first = loads_finished(full_speed, nominal_ms, settled_ms);
    let later = loads_finished(full_speed, nominal_ms, until_ms) - first;
    // The lag until a load is seen keeps its place meanwhile.
    let possible = full_speed as f64 * 20.0 * nominal_ms as f64 / (nominal_ms + LAG_MS) as f64;
    assert!(later as f64 >= 0.8 * possible, "{later} of {possible:.0}");
}

/// The first minute counts too: each set of loads takes 14 s, and the first one is a single load.
#[test]
fn a_slow_store_is_used_from_the_start() {
    let finished = loads_finished(2, 13_200, 60_000);
    assert!(finished >= 6, "{finished} loads in a minute, seven are possible");
}

/// Loads that end late because more were started than the store serves do not count as late again once
/// the limit is lower.
#[test]
fn loads_from_before_a_change_do_not_count() {
    let mut limiter = StoreLoadLimiter::default();
    let load = |observed_ms| FinishedStoreLoad { observed_ms, nominal_ms: 6000 };
    limiter.on_load_finished(load(6500), 10_000);
    assert_eq!(limiter.limit(), 2);
    limiter.on_load_finished(load(6500), 17_000);
    limiter.on_load_finished(load(6500), 17_000);
    assert_eq!(limiter.limit(), 3);
    limiter.on_load_finished(load(30_000), 20_000);
    assert_eq!(limiter.limit(), 3, "started before the limit was raised");
    limiter.on_load_finished(load(13_000), 31_000);
    let lowered = limiter.limit();
    assert!(lowered < 3);
    limiter.on_load_finished(load(13_000), 31_100);
    assert_eq!(limiter.limit(), lowered);
}
