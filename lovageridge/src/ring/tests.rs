//! Tests of the rings.

use std::time::Duration;

use crate::ring::Batching;
use crate::ring::collect;

const BATCHING: Batching =
    Batching { first_wait: Duration::from_millis(50), window: Duration::from_millis(20), max: 3 };

#[test]
fn a_batch_ends_at_its_limit_and_with_its_window() {
    let (sender, ring) = flume::bounded(8);
    (0..5).for_each(|item| sender.send(item).expect("room"));
    assert_eq!(collect(&ring, BATCHING), vec![0, 1, 2]);
    assert_eq!(collect(&ring, BATCHING), vec![3, 4]);
    assert!(collect(&ring, BATCHING).is_empty());
}
