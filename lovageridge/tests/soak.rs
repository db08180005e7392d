//! A short soak test of the real binary, and each soak seed that has ever violated a guarantee.

use std::path::Path;

use standins::soak;
use test_case::test_case;

/// Number of instances in the deployment.
const INSTANCE_COUNT: usize = 6;

/// Runs one soak per case: a soak uses about twenty threads and six processes.
#[test_case(4; "planned work only")]
#[test_case(19; "kills pauses and links at once")]
#[test_case(22; "the store and workers at once")]
#[test_case(1002; "requests that crash workers")]
#[test_case(1005; "workers that limit their requests")]
fn guarantees_hold(seed: u64) {
    let outcome =
        soak::run_seed(Path::new(env!("CARGO_BIN_EXE_lovageridge")), seed, INSTANCE_COUNT);
    let outcome = outcome.expect("a deployment");
    let context = format!("seed {seed}: {:?}", outcome.ends);
    assert!(outcome.violations.is_empty(), "{context}: {:#?}", outcome.violations);
    // A soak in which most requests fail does not test the guarantees.
    assert!(outcome.ends.served > outcome.requests / 2, "{context}");
    assert!(outcome.ends.left > 0, "{context}");
}
