//! Tests of limits that workers state, and of the sends granted under them.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use super::*;
use crate::gateway::limits::granting::GrantingView;
use crate::gateway::limits::granting::Requested;
use crate::gateway::limits::granting::UNANSWERED_MAX;

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

/// Guards against a worker that gets no requests for hours because forged requests have taken the sends.
#[test_case(3_600_000; "an hour")]
#[test_case(u64::MAX; "at the end of the range of times")]
fn sends_are_granted_only_a_short_time_ahead(forged_wait_ms: u64) {
    let mut scheduler = SendScheduler::new(0);
    for _ in 0..1000 {
        scheduler.grant(1000, forged_wait_ms, 0);
    }
    let later_ms = WAIT_MAX_MS + 1000;
    assert_eq!(scheduler.grant(1000, 0, later_ms), Grant::After(0));
}

/// Guards against requests that are held for hours by a forged answer.
#[test]
fn an_answer_that_names_a_longer_wait_than_was_asked_for_is_impossible() {
    assert!(Grant::After(150).is_possible(150));
    assert!(Grant::Denied(9000).is_possible(150));
    for wait_ms in [151, WAIT_MAX_MS, u64::MAX] {
        assert!(!Grant::After(wait_ms).is_possible(150), "{wait_ms} ms");
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

/// Guards against a limit that all instances forget at the same time, so that each of them sends at once.
#[test]
fn instances_do_not_all_send_at_once_when_a_limit_is_no_longer_stated() {
    let mut limits = vec![KnownLimit::default(); 90];
    for limit in &mut limits {
        limit.on_stated(Some(1000), 1000);
    }
    let mut scheduler = SendScheduler::new(0);
    let mut sends_ms = Vec::new();
    // Responses to the first of these requests come after their end.
    for now_ms in (1000..61_000).step_by(200) {
        for limit in &limits {
            let is_free = match limit.per_ks(now_ms) {
                Some(per_ks) => matches!(scheduler.grant(per_ks, 0, now_ms), Grant::After(_)),
                None => true,
            };
            if is_free && now_ms > 31_000 {
                sends_ms.push(now_ms);
            }
        }
    }
    let most = most_in_window(&sends_ms);
    assert!(most <= allowed(1000), "{most} sends, {} are allowed", allowed(1000));
}

#[test]
fn a_limit_that_was_not_stated_recently_does_not_count_against_a_worker() {
    let mut limit = KnownLimit::default();
    limit.on_stated(Some(2000), 1000);
    let later_ms = 1000 + RECENT_MS;
    assert_eq!(limit.recent_per_ks(later_ms - 1), Some(2000));
    assert_eq!(limit.recent_per_ks(later_ms), None);
}

/// Guards against a worker that gets no requests for seconds after its limit has risen.
#[test_case(200, 1, 3000; "one in five seconds")]
#[test_case(2000, 5, 1000; "two a second, granted ahead")]
fn sends_do_not_wait_at_the_old_rate_after_a_rise(per_ks: u32, granted: usize, wait_min_ms: u64) {
    let mut scheduler = SendScheduler::new(0);
    for _ in 0..granted {
        assert!(matches!(scheduler.grant(per_ks, WAIT_MAX_MS, 0), Grant::After(_)));
    }
    let denied = scheduler.grant(per_ks, 0, 1000);
    assert!(matches!(denied, Grant::Denied(wait_ms) if wait_ms > wait_min_ms), "{denied:?}");
    // The sends that were granted take 50 ms each at the new rate.
    assert!(matches!(scheduler.grant(20_000, 150, 1100), Grant::After(_)));
}

/// Interval at which an instance hears from others, in ms.
const HEARTBEAT_MS: u64 = 500;
/// Number of messages that it gets in this time.
const HEARTBEAT_MESSAGES: usize = 8;
/// Number of times that a request for a send is made to the same instance.
const GRANT_SENDS: usize = 2;

/// Key of the worker that the instances send to.
const WORKER: u64 = 7;

/// Index of the sender and of the receiver of a datagram.
#[derive(Clone, Copy)]
struct Path {
    from: usize,
    to: usize,
}

/// An instance that requests sends to one worker and grants them.
struct Requester {
    view: GrantingView,
    scheduler: SendScheduler,
}

/// Instances that lose a share of their datagrams. The first `cut` ones and the granting instance do not
/// reach each other at all.
struct LossyInstances {
    names: Vec<String>,
    requesters: Vec<Requester>,
    loss: f64,
    cut: usize,
    granting_at: usize,
    rng: StdRng,
}

impl LossyInstances {
    fn new(count: usize, loss: f64, cut: usize, seed: u64) -> Self {
        let requester =
            |_| Requester { view: GrantingView::default(), scheduler: SendScheduler::new(0) };
        let names: Vec<String> = (0..count).map(|number| format!("edge-{number}")).collect();
        let others = names[1..].iter().map(String::as_str);
        let requested = Requested { worker: WORKER, own: &names[0], is_relayed: false };
        let name = GrantingView::default().granting_instance(requested, others, 0);
        let granting_at = names.iter().position(|one| one == name).expect("an instance");
        assert!(granting_at >= cut);
        Self {
            names,
            requesters: (0..count).map(requester).collect(),
            loss,
            cut,
            granting_at,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let is_cut = (from == self.granting_at && to < self.cut)
            || (to == self.granting_at && from < self.cut);
        is_cut || self.rng.random_bool(self.loss)
    }

    fn exchange_heartbeats(&mut self) {
        for at in 0..self.names.len() {
            for _ in 0..HEARTBEAT_MESSAGES {
                let from = self.rng.random_range(0..self.names.len());
                if !self.is_lost(from, at) {
                    self.requesters[at].view.on_message(&self.names[from]);
                }
            }
        }
    }

    /// Returns the index of the instance that grants a send requested at instance `at`.
    fn granting(&self, at: usize, is_relayed: bool, now_ms: u64) -> usize {
        let own = self.names[at].as_str();
        let others = self.names.iter().map(String::as_str).filter(|name| *name != own);
        let requested = Requested { worker: WORKER, own, is_relayed };
        let name = self.requesters[at].view.granting_instance(requested, others, now_ms);
        self.names.iter().position(|one| one == name).expect("an instance")
    }

    /// Requests a send at an instance; `is_relayed` tells whether it passes on another one's request.
    fn request(&mut self, at: usize, is_relayed: bool, per_ks: u32, now_ms: u64) -> Option<Grant> {
        for _ in 0..=UNANSWERED_MAX {
            let to = self.granting(at, false, now_ms);
            if to == at {
                return Some(self.requesters[at].scheduler.grant(per_ks, 0, now_ms));
            }
            if let Some(grant) = self.ask(Path { from: at, to }, is_relayed, per_ks, now_ms) {
                self.requesters[at].view.on_message(&self.names[to]);
                return Some(grant);
            }
            self.requesters[at].view.on_unanswered(&self.names[to], now_ms);
        }
        None
    }

    fn ask(&mut self, path: Path, is_relayed: bool, per_ks: u32, now_ms: u64) -> Option<Grant> {
        let Path { from, to } = path;
        let mut answer = None;
        for _ in 0..GRANT_SENDS {
            if self.is_lost(from, to) {
                continue;
            }
            // A repeated request gets the same answer.
            if answer.is_none() {
                answer = match self.granting(to, is_relayed, now_ms) == to {
                    true => Some(self.requesters[to].scheduler.grant(per_ks, 0, now_ms)),
                    false => self.request(to, true, per_ks, now_ms),
                };
            }
            if answer.is_some() && !self.is_lost(to, from) {
                return answer;
            }
        }
        None
    }
}

/// Guards against LIMIT where datagrams are lost, or links between some instances are cut: an instance
/// that seems silent to some and grants the sends of others, beside the one that takes its place.
#[test_case(0.03, 0; "three in a hundred are lost")]
#[test_case(0.1, 0; "one in ten is lost")]
#[test_case(0.25, 0; "one in four is lost")]
#[test_case(0.0, 30; "a third of the instances do not reach the granting one")]
#[test_case(0.1, 30; "both")]
fn sends_stay_within_the_limit_when_datagrams_are_lost(loss: f64, cut: usize) {
    for (seed, per_ks) in [(1, 2000), (2, 10_000), (3, 40_000)] {
        let mut instances = LossyInstances::new(90, loss, cut, seed);
        let mut sends_ms = Vec::new();
        for now_ms in 0..30_000 {
            if now_ms % HEARTBEAT_MS == 0 {
                instances.exchange_heartbeats();
            }
            let at = instances.rng.random_range(0..90);
            // Three times the limit.
            if instances.rng.random_bool(f64::from(per_ks) * 3.0 / 1_000_000.0)
                && let Some(Grant::After(wait_ms)) = instances.request(at, false, per_ks, now_ms)
            {
                sends_ms.push(now_ms + wait_ms);
            }
        }
        let most = most_in_window(&sends_ms);
        assert!(most <= allowed(per_ks), "{most} sends of {} at {per_ks}", allowed(per_ks));
        assert!(sends_ms.len() as f64 > f64::from(per_ks) * 30.0 / 1000.0 * 0.6);
    }
}
