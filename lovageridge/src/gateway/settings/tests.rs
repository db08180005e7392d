//! Tests of values derived from the settings.

use test_case::test_case;

use crate::gateway::settings::CLAIM_JITTER_MS;
use crate::gateway::settings::GatewaySettingsBuilder;

/// Guards against a small instance winning the lead in a deployment where some instances have half a
/// core and most an eighth: as the lead of 90 others it would be overloaded.
#[test_case(120, 500, true; "a small instance after a large one")]
#[test_case(120, 250, true; "a small instance after a medium one")]
#[test_case(250, 250, false; "equal instances in random order")]
#[test_case(120, 120, false; "small instances in random order")]
fn a_small_instance_claims_after_all_larger_ones(own: u64, other: u64, expected: bool) {
    let settings = |cpu_permille: u64| {
        GatewaySettingsBuilder::new("n1", "a").cpu_permille(cpu_permille).build()
    };
    let earliest_own_ms = settings(own).claim_delay_ms(0);
    let latest_other_ms = settings(other).claim_delay_ms(CLAIM_JITTER_MS - 1);
    assert_eq!(earliest_own_ms > latest_other_ms, expected);
}
