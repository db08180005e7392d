//! Tests of the admission slice.

use test_case::test_case;

use crate::admission::budget::RetryBudget;
use crate::admission::limit::LimitReport;
use crate::admission::limit::ShareLimit;
use crate::admission::queue::FairQueue;
use crate::admission::queue::QueuedRequest;
use crate::document::Priority;

fn queued(ticket: u64, partner: &str, share_pct: u64, priority: Priority) -> QueuedRequest {
    QueuedRequest {
        ticket,
        partner: partner.to_owned(),
        share_pct,
        priority,
        cost_tokens: 100,
        arrived_ms: ticket,
        deadline_ms: 1_000_000,
        exclude: Vec::new(),
    }
}

fn pop_all(queue: &mut FairQueue, now_ms: u64) -> Vec<u64> {
    let mut tickets = Vec::new();
    while let Some((request, ())) = queue.pop(100, now_ms, |_| Some(())) {
        tickets.push(request.ticket);
    }
    tickets
}

#[test]
fn a_flood_does_not_delay_another_partner() {
    let mut queue = FairQueue::default();
    for ticket in 0..200 {
        queue.push(queued(ticket, "flood", 50, Priority::Standard));
    }
    for ticket in 200..204 {
        queue.push(queued(ticket, "small", 50, Priority::Standard));
    }
    let order = pop_all(&mut queue, 0);
    let last = order.iter().position(|t| *t == 203).expect("request 203 is served");
    assert!(last < 10, "the last request of the small partner is served at position {last}");
}

#[test_case(75, 25, 3)]
#[test_case(50, 50, 1)]
fn partners_are_served_in_proportion_to_their_shares(
    first_pct: u64,
    second_pct: u64,
    ratio: usize,
) {
    let mut queue = FairQueue::default();
    for ticket in 0..400 {
        let (partner, share) = if ticket % 2 == 0 { ("a", first_pct) } else { ("b", second_pct) };
        queue.push(queued(ticket, partner, share, Priority::Standard));
    }
    let order = pop_all(&mut queue, 0);
    let first = order[..200].iter().filter(|t| **t % 2 == 0).count();
    let second = 200 - first;
    assert!(first.abs_diff(second * ratio) <= 4, "{first} requests of a to {second} of b");
}

#[test]
fn batch_waits_behind_others_until_its_deadline_is_near() {
    let mut queue = FairQueue::default();
    let batch = QueuedRequest { deadline_ms: 60_000, ..queued(0, "a", 50, Priority::Batch) };
    queue.push(batch);
    queue.push(queued(1, "a", 50, Priority::Interactive));
    queue.push(queued(2, "b", 50, Priority::Standard));
    assert_eq!(pop_all(&mut queue.clone(), 0).last(), Some(&0));
    assert_eq!(pop_all(&mut queue, 59_000).first(), Some(&0));
}

#[test]
fn batch_requests_do_not_overtake_blocked_ones() {
    let mut queue = FairQueue::default();
    queue.push(queued(0, "a", 50, Priority::Batch));
    queue.push(queued(1, "a", 50, Priority::Interactive));
    let popped = queue.pop(100, 0, |r| (r.priority == Priority::Batch).then_some(()));
    assert!(popped.is_none(), "{popped:?}");
}

#[test]
fn retries_are_limited_to_a_tenth_of_new_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    (0..1000).for_each(|_| budget.on_new_request());
    let mut retries = 0;
    while budget.try_spend() {
        retries += 1;
    }
    assert!(retries <= 100, "{retries} retries for 1000 requests");
    assert!(retries > 0);
}

#[test]
fn a_share_grows_only_into_what_peers_left_free() {
    let mut limit = ShareLimit::new(1000, 2, 0);
    let busy = LimitReport {
        incarnation: 1,
        admitted_tokens: 0,
        requested_tokens: 0,
        requested_per_s: 900,
        share_ppm: 500_000,
    };
    limit.on_report("other", busy, 10);
    (0..200).for_each(|offset_ms| {
        let _ = limit.admit(50, 10 + offset_ms);
    });
    limit.rebalance(2, 300);
    assert!(limit.report(1).share_ppm <= 500_000, "{:?}", limit.report(1));
    let idle = LimitReport { requested_tokens: 1, requested_per_s: 0, share_ppm: 10_000, ..busy };
    limit.on_report("other", idle, 400);
    (0..200).for_each(|offset_ms| {
        let _ = limit.admit(50, 400 + offset_ms);
    });
    limit.rebalance(2, 700);
    let share_ppm = limit.report(1).share_ppm;
    assert!(share_ppm > 800_000 && share_ppm <= 990_000, "{share_ppm}");
}

#[test]
fn a_report_of_an_earlier_process_is_ignored() {
    let mut limit = ShareLimit::new(1000, 2, 0);
    let new = LimitReport {
        incarnation: 5,
        admitted_tokens: 0,
        requested_tokens: 0,
        requested_per_s: 0,
        share_ppm: 900_000,
    };
    limit.on_report("other", new, 10);
    limit.on_report(
        "other",
        LimitReport { incarnation: 4, requested_tokens: 99, share_ppm: 0, ..new },
        20,
    );
    (0..50).for_each(|offset_ms| {
        let _ = limit.admit(50, 30 + offset_ms);
    });
    limit.rebalance(2, 200);
    assert!(limit.report(1).share_ppm <= 500_000);
}
