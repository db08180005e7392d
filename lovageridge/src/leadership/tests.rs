//! Tests of leadership.

use test_case::test_case;

use crate::leadership::claimant::HeldEpoch;
use crate::leadership::claimant::OrderPermission;
use crate::leadership::claimant::order_permission;
use crate::leadership::lead_table::Claim;
use crate::leadership::lead_table::LeadTable;
use crate::leadership::lead_table::Record;

fn claim(instance_id: &str, prior_epoch: u64, first_offset: u64) -> Record {
    Record::Claim(Claim {
        cell: "c".to_owned(),
        instance_id: instance_id.to_owned(),
        incarnation: 1,
        prior_epoch,
        first_offset,
    })
}

fn lead(lead_table: &LeadTable) -> (&str, u64) {
    lead_table.lead("c").map_or(("", 0), |lead| (lead.instance_id.as_str(), lead.epoch))
}

#[test]
fn first_of_two_concurrent_claims_wins() {
    let mut lead_table = LeadTable::default();
    lead_table.apply(0, claim("a", 0, 0));
    lead_table.apply(1, claim("b", 0, 0));
    assert_eq!(lead(&lead_table), ("a", 1));
    lead_table.apply(2, claim("b", 1, 0));
    assert_eq!(lead(&lead_table), ("b", 3));
}

#[test]
fn readers_agree_on_a_claim_after_records_expired() {
    let mut old = LeadTable::default();
    old.apply(0, claim("a", 0, 0));
    // All records expire; a new reader finds an empty stream and claims without a prior epoch.
    let mut new = LeadTable::default();
    new.on_bounds(7, 7);
    assert!(new.is_complete());
    for lead_table in [&mut old, &mut new] {
        lead_table.apply(7, claim("b", 0, 7));
    }
    assert_eq!(lead(&old), ("b", 8));
    assert_eq!(lead(&new), ("b", 8));
}

#[test]
fn a_reader_with_a_gap_waits_for_a_checkpoint() {
    let mut full = LeadTable::default();
    full.apply(0, claim("a", 0, 0));
    let checkpoint = full.checkpoint();
    let mut reader = LeadTable::default();
    reader.on_bounds(1, 3);
    assert!(!reader.is_complete());
    for (offset, record) in [(1, claim("b", 1, 0)), (2, checkpoint)] {
        full.apply(offset, record.clone());
        reader.apply(offset, record);
    }
    assert!(reader.is_complete());
    assert_eq!(lead(&reader), ("b", 2));
    assert_eq!(lead(&full), lead(&reader));
}

#[test_case(true, None, 0, true; "engines that check fencing need no lease")]
#[test_case(false, None, 5000, false; "no orders before the first read of the claims")]
#[test_case(false, Some(4000), 5000, true; "within the lease")]
#[test_case(false, Some(3000), 4300, false; "after the lease")]
#[test_case(false, Some(900), 950, false; "before the end of the earlier lease")]
fn orders_need_a_valid_lease(
    checks: bool,
    lease_renewed_ms: Option<u64>,
    now_ms: u64,
    expected: bool,
) {
    let held = HeldEpoch { epoch: 3, prior_lease_end_ms: 1000 };
    let permission = order_permission(checks, held, lease_renewed_ms, 1200, now_ms);
    assert_eq!(permission != OrderPermission::Wait, expected);
}
