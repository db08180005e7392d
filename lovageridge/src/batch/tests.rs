//! Tests of receiving in batches.

use std::time::Duration;

use crate::batch::BatchLimits;
use crate::batch::receive_batch;

const LIMITS: BatchLimits = BatchLimits {
    first_item_timeout: Duration::from_millis(50),
    window: Duration::from_millis(20),
    max_items: 3,
};

#[test]
fn a_batch_ends_at_its_item_limit_and_after_its_window() {
    let (sender, receiver) = flume::bounded(8);
    (0..5).for_each(|item| sender.send(item).expect("the channel has room"));
    assert_eq!(receive_batch(&receiver, LIMITS), vec![0, 1, 2]);
    assert_eq!(receive_batch(&receiver, LIMITS), vec![3, 4]);
    assert!(receive_batch(&receiver, LIMITS).is_empty());
}
