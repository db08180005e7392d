//! Tests of limits that workers state, and of the sends granted under them.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use super::*;
use crate::gateway::limits::granting::GrantingView;
use crate::gateway::limits::granting::Requested;

/// Window in which sends are counted, in ms.
const WINDOW_MS: u64 = 4000;

fn most_in_window(sends_ms: &[u64]) -> usize {
    let count =
        |from: &u64| sends_ms.iter().filter(|at| (*from..*from + WINDOW_MS).contains(*at)).count();
    sends_ms.iter().map(count).max().unwrap_or(0)
}

fn allowed(per_ks: u32) -> usize {
    (1.5 * f64::from(per_ks) / 1000.0 * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
}

/// Guards against LIMIT: more sends than a worker allows in a window.
#[test_case(0; "none")]
#[test_case(300; "one in three seconds")]
#[test_case(1000; "one a second")]
#[test_case(4300; "four a second")]
#[test_case(40_000; "forty a second")]
fn granted_sends_stay_within_the_limit_and_use_it(per_ks: u32) {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut scheduler = SendScheduler::new(0);
        let mut sends_ms = Vec::new();
        let mut now_ms = 0;
        while now_ms < 60_000 {
            now_ms += rng.random_range(0..30);
            if let Grant::After(wait_ms) = scheduler.grant(per_ks, 100, now_ms) {
                sends_ms.push(now_ms + wait_ms);
            }
        }
        assert!(most_in_window(&sends_ms) <= allowed(per_ks), "seed {seed}");
        let possible = f64::from(per_ks) * 60.0 / 1000.0;
        assert!(sends_ms.len() as f64 >= possible * 0.8 - 1.0, "seed {seed}: {}", sends_ms.len());
    }
}

/// Guards against LIMIT when the granting instance changes, at any time.
#[test]
fn a_change_of_the_granting_instance_stays_within_the_limit() {
    for per_ks in [300, 1000, 4300] {
        for change_ms in (8000..12_000).step_by(50) {
            let mut scheduler = SendScheduler::new(0);
            let mut sends_ms = Vec::new();
            for now_ms in (0..30_000).step_by(20) {
                if now_ms == change_ms {
                    scheduler = SendScheduler::new(now_ms);
                }
                // Sends were saved up before the change.
                let idle = (change_ms - 2000..change_ms - 20).contains(&now_ms);
                if !idle && matches!(scheduler.grant(per_ks, 0, now_ms), Grant::After(_)) {
                    sends_ms.push(now_ms);
                }
            }
            assert!(most_in_window(&sends_ms) <= allowed(per_ks), "{per_ks} at {change_ms}");
        }
    }
}

#[test]
fn a_denied_send_is_possible_after_the_time_that_was_told() {
    let mut scheduler = SendScheduler::new(0);
    assert_eq!(scheduler.grant(1000, 0, 0), Grant::After(0));
    let Grant::Denied(wait_ms) = scheduler.grant(1000, 0, 0) else { panic!("granted") };
    assert!(matches!(scheduler.grant(1000, 0, wait_ms - 1), Grant::Denied(_)));
    assert_eq!(scheduler.grant(1000, 0, wait_ms), Grant::After(0));
}

#[test]
fn a_limit_falls_rises_and_ends_with_the_newest_statement() {
    let mut limit = KnownLimit::default();
    assert!(!limit.on_stated(None, 10));
    assert!(limit.on_stated(Some(2000), 20));
    assert!(limit.on_stated(Some(1000), 30));
    assert!(!limit.on_stated(Some(1050), 40));
    // A response to a request from before the limit does not end it.
    assert!(!limit.on_stated(None, 15));
    assert_eq!(limit.per_ks(50), Some(1050));
    assert!(limit.on_stated(Some(9000), 50));
    assert!(limit.on_stated(None, 60));
    assert_eq!(limit.per_ks(70), None);
    assert_eq!(limit.report(7, 100), Some(LimitReport { worker: 7, per_ks: None, age_ms: 40 }));
}

#[test]
fn a_limit_that_nobody_states_is_forgotten() {
    let mut limit = KnownLimit::default();
    limit.on_stated(Some(2000), 1000);
    assert_eq!(limit.per_ks(1000 + LIMIT_TTL_MS - 1), Some(2000));
    assert_eq!(limit.per_ks(1000 + LIMIT_TTL_MS), None);
}

#[test]
fn instances_agree_on_the_granting_one_and_share_the_workers() {
    let names: Vec<String> = (0..90).map(|number| format!("edge-{number}")).collect();
    let mut counts = vec![0; names.len()];
    for worker in 0..900 {
        let view = GrantingView::default();
        let requested = Requested { worker, own: &names[0], is_relayed: false };
        let peers = || names[1..].iter().map(String::as_str);
        let forward = view.granting_instance(requested, peers(), 0);
        let backward = view.granting_instance(requested, peers().rev(), 0);
        assert_eq!(forward, backward);
        let index = names.iter().position(|name| name == forward);
        counts[index.expect("one of the instances")] += 1;
    }
    assert!(counts.iter().all(|count| *count < 30), "{counts:?}");
}
