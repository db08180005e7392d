//! The targets of rate limits over many instances, held by the way that the product uses.

use standins::limits;
use test_case::test_case;

/// Largest deviation over a run, in percent.
const ERROR_MAX_PCT: f64 = 1.0;
/// Most tokens in any second, over the limit.
const BURST_MAX: f64 = 1.25;
/// Number of the way that the product uses.
const BORROWING: usize = 3;

#[test_case(2, 50)]
#[test_case(2, 500)]
#[test_case(8, 50)]
#[test_case(8, 200)]
#[test_case(8, 500)]
#[test_case(85, 200)]
fn borrowing_holds_the_limit(instances: usize, exchange_ms: u64) {
    for seed in 1..=2 {
        let outcome = limits::run(BORROWING, instances, exchange_ms, seed);
        let what = format!("{instances} instances, {exchange_ms} ms, seed {seed}: {outcome:?}");
        assert!(outcome.error_pct.abs() <= ERROR_MAX_PCT, "{what}");
        assert!(outcome.burst <= BURST_MAX, "{what}");
    }
}

#[test]
fn fixed_windows_miss_the_limit() {
    let outcome = limits::run(0, 8, 500, 1);
    assert!(outcome.burst > BURST_MAX, "the comparison has lost its point: {outcome:?}");
}
