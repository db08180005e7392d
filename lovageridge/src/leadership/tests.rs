//! Tests of the leadership slice.

use test_case::test_case;

use crate::leadership::claimant::Held;
use crate::leadership::claimant::Permission;
use crate::leadership::claimant::permission;
use crate::leadership::fold::Claim;
use crate::leadership::fold::Fold;
use crate::leadership::fold::Record;

fn claim(instance_id: &str, prior_epoch: u64, first_offset: u64) -> Record {
    Record::Claim(Claim {
        cell: "c".to_owned(),
        instance_id: instance_id.to_owned(),
        incarnation: 1,
        prior_epoch,
        first_offset,
    })
}

fn lead(fold: &Fold) -> (&str, u64) {
    fold.lead("c").map_or(("", 0), |lead| (lead.instance_id.as_str(), lead.epoch))
}

#[test]
fn of_two_racing_claims_the_first_wins() {
    let mut fold = Fold::default();
    fold.apply(0, claim("a", 0, 0));
    fold.apply(1, claim("b", 0, 0));
    assert_eq!(lead(&fold), ("a", 1));
    fold.apply(2, claim("b", 1, 0));
    assert_eq!(lead(&fold), ("b", 3));
}

#[test]
fn a_claim_on_expired_records_is_judged_alike_by_all() {
    let mut old = Fold::default();
    old.apply(0, claim("a", 0, 0));
    // Retention passes; a newcomer finds nothing and claims on nothing.
    let mut new = Fold::default();
    new.on_bounds(7, 7);
    assert!(new.is_complete());
    for fold in [&mut old, &mut new] {
        fold.apply(7, claim("b", 0, 7));
    }
    assert_eq!(lead(&old), ("b", 8));
    assert_eq!(lead(&new), ("b", 8));
}

#[test]
fn a_reader_from_the_middle_judges_only_after_a_checkpoint() {
    let mut full = Fold::default();
    full.apply(0, claim("a", 0, 0));
    let checkpoint = full.checkpoint();
    let mut reader = Fold::default();
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

#[test_case(true, None, 0, true; "engines that check need no proof")]
#[test_case(false, None, 5000, false; "no proof, no order")]
#[test_case(false, Some(4000), 5000, true; "within the lease")]
#[test_case(false, Some(3000), 4300, false; "past the lease")]
#[test_case(false, Some(900), 950, false; "before the predecessor's lease is over")]
fn orders_need_a_proof(checks: bool, proof_ms: Option<u64>, now_ms: u64, may: bool) {
    let held = Held { epoch: 3, prior_lease_over_ms: 1000 };
    let permission = permission(checks, held, proof_ms, 1200, now_ms);
    assert_eq!(permission != Permission::Wait, may);
}
