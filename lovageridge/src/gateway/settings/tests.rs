//! Tests of what follows from the settings.

use test_case::test_case;

use crate::gateway::settings::CLAIM_JITTER_MS;
use crate::gateway::settings::GatewaySettingsBuilder;

/// Pattern: a deployment in which some instances have half a core and most have an eighth; a small
/// one that leads 90 others cannot keep up.
#[test_case(120, 500, true; "a small one after a large one")]
#[test_case(120, 250, true; "a small one after a usual one")]
#[test_case(250, 250, false; "equal ones by chance")]
#[test_case(120, 120, false; "small ones among themselves by chance")]
fn a_small_instance_claims_after_all_larger_ones(own: u64, other: u64, expected: bool) {
    let settings = |cpu_permille: u64| {
        GatewaySettingsBuilder::new("n1", "a").cpu_permille(cpu_permille).build()
    };
    let earliest_own_ms = settings(own).claim_delay_ms(0);
    let latest_other_ms = settings(other).claim_delay_ms(CLAIM_JITTER_MS - 1);
    assert_eq!(earliest_own_ms > latest_other_ms, expected);
}
