//! Tests of the budget of repeated sends.

use std::net::SocketAddr;

use test_case::test_case;

use crate::gateway::budget::Budget;
use crate::gateway::budget::BudgetRule;
use crate::gateway::peers::Content;
use crate::gateway::peers::Message;
use crate::gateway::peers::Peers;
use crate::gateway::peers::Progress;

const RULE: BudgetRule = BudgetRule { permille: 200, slack: 56, window_ms: 10_000 };

/// Every request fails and asks for a repeat; traffic is even over `instances`.
fn worst_window(instances: u64, requests_per_s: u64) -> (u64, u64) {
    let mut budgets: Vec<Budget> = vec![Budget::default(); instances as usize];
    let (mut repeats, mut requests) = (0, 0);
    let gap_ms = 1000 / requests_per_s;
    for step in 0..(10_000 / gap_ms) {
        let now_ms = 50_000 + step * gap_ms;
        let budget = &mut budgets[(step % instances) as usize];
        budget.on_request(&RULE, now_ms);
        requests += 1;
        repeats += u64::from(budget.take(&RULE, instances, now_ms));
    }
    (repeats, requests)
}

#[test]
fn repeats_of_all_instances_stay_inside_the_common_budget_when_everything_fails() {
    for instances in [6, 8, 30] {
        let (repeats, requests) = worst_window(instances, 50);
        let allowed = requests * RULE.permille / 1000 + RULE.slack;
        assert!(repeats <= allowed, "{instances} instances: {repeats} of {allowed}");
        assert!(repeats * 10 >= allowed * 4, "{instances} instances: only {repeats} of {allowed}");
    }
}

#[test]
fn a_window_that_has_passed_frees_its_repeats() {
    let mut budget = Budget::default();
    let mut taken = 0;
    while budget.take(&RULE, 8, 1000) {
        taken += 1;
    }
    assert_eq!(taken, RULE.slack / 8 * 70 / 100);
    assert!(!budget.take(&RULE, 8, 10_900));
    assert!(budget.take(&RULE, 8, 11_100));
}

/// Returns what an instance knows that has heard `others` until `heard_ms`.
fn peers(others: u64, heard_ms: u64) -> Peers {
    let mut peers = Peers::default();
    for number in 0..others {
        let message = Message {
            from: format!("n{number}"),
            domain: "a".to_owned(),
            incarnation: 1,
            is_small: false,
            progress: Progress::default(),
            read_age_ms: None,
            lead: None,
            content: Content::Heartbeat { ask: false },
        };
        let addr = SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16));
        peers.on_message(&message, addr, heard_ms);
    }
    peers
}

#[test_case(6)]
#[test_case(8)]
#[test_case(30)]
fn repeats_stay_inside_the_common_budget_while_instances_cannot_hear_each_other(instances: u64) {
    // All are cut off from each other at 50 s; every request fails and asks for a repeat.
    let peers = peers(instances - 1, 50_000);
    let mut budgets: Vec<Budget> = vec![Budget::default(); instances as usize];
    let mut sent: Vec<(u64, bool)> = Vec::new();
    for step in 0..30_u64 * 50 {
        let now_ms = 50_000 + step * 20;
        let budget = &mut budgets[(step % instances) as usize];
        budget.on_request(&RULE, now_ms);
        sent.push((now_ms, budget.take(&RULE, peers.sharing_count(now_ms), now_ms)));
    }
    for (from_ms, _) in &sent {
        let within = |at_ms: &u64| (*from_ms..from_ms + RULE.window_ms).contains(at_ms);
        let window: Vec<bool> =
            sent.iter().filter(|(at, _)| within(at)).map(|(_, again)| *again).collect();
        let repeats = window.iter().filter(|again| **again).count() as u64;
        let allowed = window.len() as u64 * RULE.permille / 1000 + RULE.slack;
        assert!(repeats <= allowed, "from {from_ms}: {repeats} of {allowed}");
    }
}
