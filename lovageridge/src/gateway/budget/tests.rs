//! Tests of the budget of repeated sends.

use crate::gateway::budget::Budget;
use crate::gateway::budget::BudgetRule;

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
