//! Tests of what an outage of the store means for removed records.

use crate::gateway::sync::StoreView;

/// Time in which a leaving worker must get no new work, counted for instances that have been in
/// touch with the store for three seconds, in ms.
const DRAIN_MS: u64 = 2000;
const IN_TOUCH_AFTER_MS: u64 = 3000;

#[test]
fn a_removal_without_an_outage_holds_at_once() {
    let mut view = StoreView::default();
    assert!(!view.on_answer(1000));
    assert_eq!(view.keep_removed_until_ms(1100), None);
    // A single failed call is no outage.
    view.on_failure(1300);
    assert!(!view.on_answer(1500));
    assert_eq!(view.keep_removed_until_ms(1500), None);
}

#[test]
fn a_worker_that_leaves_soon_after_an_outage_gets_no_work_for_longer_than_allowed() {
    let mut view = StoreView::default();
    view.on_answer(1000);
    view.on_failure(3000);
    assert!(view.on_answer(10_000));
    for removed_ms in 10_000..14_000 {
        let used_until_ms = view.keep_removed_until_ms(removed_ms).unwrap_or(removed_ms);
        let bound_ms = (removed_ms + DRAIN_MS).max(10_000 + IN_TOUCH_AFTER_MS);
        assert!(used_until_ms <= bound_ms, "removed at {removed_ms}: used until {used_until_ms}");
    }
    assert!(view.keep_removed_until_ms(10_000).is_some_and(|until_ms| until_ms >= 12_000));
}
