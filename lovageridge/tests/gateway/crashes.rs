//! Tests of requests whose prompts crash the workers that respond to them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::wait_for;
use standins::platform::store::Behavior;
use standins::platform::worker;
use test_case::test_case;

use crate::deployment;
use crate::events;

/// Id of the part that crashes workers.
const BAD_PART: &str = "bad0";
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(300);
/// Number of crashes from which on requests with the part are limited.
const CRASHES_BEFORE_LIMIT: usize = 5;
/// Time after that crash from which on they are limited.
const CONTACT: Duration = Duration::from_millis(3000);
/// Number of such requests that may still reach workers.
const LATE_RUNS_MAX: usize = 3;
/// Time within which a blocked part is tried again: its first probe is due after 10 s, and a claim that
/// failed is repeated after 5 s.
const FIRST_PROBE: Duration = Duration::from_secs(16);
/// Number of groups of instances that reach the store but not each other.
const SEPARATE_GROUPS: usize = 7;
/// Pause between two requests with the part to such groups: long enough that a group alone learns too late.
const SEPARATE_ROUND: Duration = Duration::from_millis(400);
/// Pause between two requests with the part.
const ROUND: Duration = Duration::from_millis(120);

const WORKERS: [&str; 8] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"];

/// Starts workers that crash on `BAD_PART`.
fn crashing_deployment(workers: &[&'static str], instances: usize) -> Deployment {
    let workers = workers.iter().map(|id| (*id, engine_worker(&["m0", "m1"]))).collect();
    let deployment = deployment(workers, instances);
    for worker in &deployment.workers {
        worker.crash_on_part(BAD_PART, DOWN);
    }
    deployment
}

/// A deployment whose crashed workers register again.
struct Incident {
    deployment: Deployment,
    registered: Vec<u64>,
    sent: usize,
}

impl Incident {
    fn new(instances: usize) -> Self {
        Self::with_workers(&WORKERS, instances)
    }

    fn with_workers(workers: &[&'static str], instances: usize) -> Self {
        let deployment = crashing_deployment(workers, instances);
        let registered = deployment.workers.iter().map(|worker| worker.born_ms()).collect();
        Self { deployment, registered, sent: 0 }
    }

    /// Adds instances that reach the store and each other, but no earlier instance.
    fn add_separate_group(&mut self, size: usize) -> Vec<usize> {
        self.deployment.separate_next_instances();
        let first = self.deployment.instances.len();
        for at in first..first + size {
            self.deployment.add_instance(&format!("edge-{at}")).expect("an instance");
        }
        let added = &self.deployment.instances[first..];
        assert!(wait_for(|| added.iter().all(|one| one.is_ready())));
        (first..first + size).collect()
    }

    fn register_restarted_workers(&mut self) {
        for (worker, registered) in self.deployment.workers.iter().zip(&mut self.registered) {
            if worker.born_ms() != *registered {
                *registered = worker.born_ms();
                self.deployment.announce(worker, "ready");
            }
        }
    }

    /// Sends a request with the bad part to an instance; returns the status, 0 without a response.
    fn send_bad(&mut self, at: usize, path: &str) -> u16 {
        self.sent += 1;
        let (caller, own) = (format!("c{}", self.sent % 3), format!("own{}", self.sent));
        let ask = CallerRequest::post(path, &format!("bad-{}", self.sent))
            .for_model("m0")
            .with_prompt(&["f0", &caller, BAD_PART, &own]);
        let reply = ask.send(self.deployment.instances[at].callers_addr);
        self.register_restarted_workers();
        reply.map_or(0, |reply| reply.status_code)
    }

    /// Sends a sound request that shares all other parts; returns whether it was served.
    fn send_sound(&mut self, at: usize) -> bool {
        self.sent += 1;
        let (caller, own) = (format!("c{}", self.sent % 3), format!("own{}", self.sent));
        let ask = CallerRequest::post("/stream/once/1", &format!("sound-{}", self.sent))
            .for_model("m0")
            .with_prompt(&["f0", &caller, &own]);
        let reply = ask.send(self.deployment.instances[at].callers_addr);
        self.register_restarted_workers();
        reply.is_ok_and(|reply| reply.complete && reply.body == events(10))
    }

    /// Returns the start times of the runs with the bad part, in order.
    fn bad_runs(&self) -> Vec<Instant> {
        let runs = self.deployment.workers.iter().flat_map(|worker| worker.runs());
        let mut starts: Vec<Instant> =
            runs.filter(|run| run.id.starts_with("bad")).map(|run| run.started_at).collect();
        starts.sort_unstable();
        starts
    }

    /// Sends requests with the bad part, and sound ones, to the instances in turn until `until`.
    fn send_until(&mut self, until: Instant, instances: &[usize]) {
        for round in 0.. {
            if Instant::now() >= until {
                return;
            }
            self.send_bad(instances[round % instances.len()], "/stream/once/1");
            thread::sleep(ROUND);
        }
    }

    /// Sends until the part is blocked at the given instances.
    fn send_until_blocked(&mut self, instances: &[usize]) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until && !instances.iter().all(|at| self.blocks(*at)) {
            self.send_bad(instances[self.sent % instances.len()], "/stream/once/1");
            thread::sleep(ROUND);
        }
        assert!(instances.iter().all(|at| self.blocks(*at)), "the part is not blocked");
    }

    fn blocks(&self, at: usize) -> bool {
        self.deployment.instances[at].metric("gateway_blocked_parts ") == Some(1.0)
    }

    fn assert_few_late_runs(&self) {
        let runs = self.bad_runs();
        let limited_from = runs.get(CRASHES_BEFORE_LIMIT - 1).map(|at| *at + CONTACT);
        let late = runs.iter().filter(|at| limited_from.is_some_and(|from| **at > from)).count();
        assert!(late <= LATE_RUNS_MAX, "{late} late runs of {}", runs.len());
    }
}

/// Guards against requests with one prompt part crashing one worker after the other (BUDGET).
#[test]
fn a_prompt_part_that_crashes_workers_stops_reaching_them() {
    let mut incident = Incident::new(3);
    incident.send_until(Instant::now() + Duration::from_secs(9), &[0, 1, 2]);
    incident.assert_few_late_runs();
    incident.deployment.close();
}

/// Guards against BUDGET on routes whose streams are resumed on another worker after a crash.
#[test]
fn resumed_streams_do_not_spread_the_crash() {
    let mut incident = Incident::new(3);
    let until = Instant::now() + Duration::from_secs(7);
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        incident.send_bad(round % 3, "/stream/again/1");
        thread::sleep(ROUND);
    }
    incident.assert_few_late_runs();
    assert!(incident.bad_runs().len() <= 6, "{} runs", incident.bad_runs().len());
    incident.deployment.close();
}

/// Guards against LOST: sound requests that share all other parts are refused with the cause.
#[test]
fn sound_requests_that_share_the_other_parts_are_served() {
    let mut incident = Incident::new(3);
    for round in 0..12 {
        assert!(incident.send_sound(round % 3), "before the crashes, round {round}");
    }
    incident.send_until_blocked(&[0, 1, 2]);
    assert!(wait_for(|| (0..3).all(|at| incident.send_sound(at))));
    let served = (0..15).filter(|round| incident.send_sound(round % 3)).count();
    assert_eq!(served, 15);
    let status_code = incident.send_bad(0, "/stream/once/1");
    assert_eq!(status_code, 503);
    incident.deployment.close();
}

/// Guards against instances that were restarted, killed together or frozen and do not know the part.
#[test]
fn a_blocked_part_stays_blocked_over_kills_and_pauses() {
    let mut incident = Incident::new(3);
    incident.deployment.instances[2].process.pause();
    incident.send_until_blocked(&[0, 1]);
    let before = incident.bad_runs().len();
    incident.deployment.instances[2].process.resume();
    let stored = || incident.deployment.store.end_offset("keyed.crashes") > 0;
    assert!(wait_for(stored), "the blocked part is not in the store");
    assert!(wait_for(|| incident.blocks(2)), "the resumed instance does not block the part");
    incident.send_bad(2, "/stream/once/1");
    for instance in &mut incident.deployment.instances {
        instance.process.kill();
    }
    for at in 0..3 {
        incident.deployment.restart(at).expect("an instance");
    }
    let restarted = Instant::now();
    assert!(wait_for(|| incident.deployment.instances.iter().all(|one| one.is_ready())));
    assert!(wait_for(|| (0..3).all(|at| incident.blocks(at))), "the part is forgotten");
    assert!(restarted.elapsed() < CONTACT, "{:?}", restarted.elapsed());
    for at in 0..3 {
        assert_eq!(incident.send_bad(at, "/stream/once/1"), 503);
    }
    assert_eq!(incident.bad_runs().len(), before);
    incident.deployment.close();
}

/// Guards against a blocked part that is forgotten with the store's last records: instances that start later
/// would learn of it by crashes (BUDGET).
#[test]
fn a_blocked_part_is_written_again_after_a_restore() {
    let mut incident = Incident::new(3);
    let copy = incident.deployment.store.copy();
    incident.send_until_blocked(&[0, 1, 2]);
    let stored = || incident.deployment.store.end_offset("keyed.crashes") > 0;
    assert!(wait_for(stored), "the blocked part is not in the store");
    incident.deployment.store.restore(&copy);
    assert!(wait_for(stored), "the blocked part is not in the store after the restore");
    for instance in &mut incident.deployment.instances {
        instance.process.kill();
    }
    let before = incident.bad_runs().len();
    for at in 0..3 {
        incident.deployment.restart(at).expect("an instance");
    }
    assert!(wait_for(|| incident.deployment.instances.iter().all(|one| one.is_ready())));
    assert!(wait_for(|| (0..3).all(|at| incident.blocks(at))), "the part is forgotten");
    assert_eq!(incident.bad_runs().len(), before);
    incident.deployment.close();
}

/// Guards against a part that stays blocked although it no longer crashes workers.
#[test]
fn a_part_that_no_longer_crashes_workers_is_unblocked_by_one_probe() {
    let mut incident = Incident::new(3);
    incident.send_until_blocked(&[0, 1, 2]);
    for worker in &incident.deployment.workers {
        worker.crash_on_part("none", DOWN);
    }
    let before = incident.bad_runs().len();
    let until = Instant::now() + Duration::from_secs(13);
    let mut served = 0;
    while Instant::now() < until && served < 3 {
        let at = incident.sent % 3;
        served += usize::from(incident.send_bad(at, "/stream/once/1") == 200);
        if served == 1 {
            assert_eq!(incident.bad_runs().len(), before + 1);
        }
        thread::sleep(ROUND);
    }
    assert_eq!(served, 3);
    incident.deployment.close();
}

/// Guards against evidence that is lost while the store is down and the lead is away.
#[test]
fn a_part_is_blocked_without_the_store_and_without_a_lead() {
    let mut incident = Incident::new(3);
    assert!(wait_for(|| incident.deployment.lead().is_some()));
    let lead = incident.deployment.lead().expect("a lead");
    incident.deployment.store.set_behavior(Behavior::Unresponsive);
    incident.deployment.instances[lead].process.pause();
    let others: Vec<usize> = (0..3).filter(|at| *at != lead).collect();
    incident.send_until_blocked(&others);
    assert!(incident.bad_runs().len() <= CRASHES_BEFORE_LIMIT);
    incident.deployment.close();
}

/// Guards against BUDGET where some instances reach the store and each other but not the rest: each such
/// group would learn of the part by crashes of its own.
#[test]
fn groups_of_instances_that_reach_only_the_store_learn_of_a_blocked_part() {
    let mut incident = Incident::new(2);
    let groups = [incident.add_separate_group(2), incident.add_separate_group(2)];
    for at in groups.iter().flatten() {
        assert!(wait_for(|| incident.send_sound(*at)), "instance {at} does not serve");
    }
    incident.send_until_blocked(&[0, 1]);
    let stored = || incident.deployment.store.end_offset("keyed.crashes") > 0;
    assert!(wait_for(stored), "the blocked part is not in the store");
    let before = incident.bad_runs().len();
    for group in &groups {
        for round in 0..8 {
            incident.send_bad(group[round % group.len()], "/stream/once/1");
            thread::sleep(ROUND);
        }
    }
    let late = incident.bad_runs().len() - before;
    assert!(late <= LATE_RUNS_MAX, "{late} runs after the part was blocked");
    incident.deployment.close();
}

/// Guards against a sound part that stays blocked because the request chosen as its probe could not be
/// sent.
#[test]
fn a_probe_is_not_spent_on_a_request_that_cannot_be_sent() {
    let mut incident = Incident::new(3);
    incident.send_until_blocked(&[0, 1, 2]);
    for worker in &incident.deployment.workers {
        worker.crash_on_part("none", DOWN);
    }
    let until = Instant::now() + FIRST_PROBE;
    let mut served = false;
    while Instant::now() < until && !served {
        for at in 0..3 {
            // No worker has this model.
            let ask = CallerRequest::post("/stream/once/1", &format!("unknown-{}", incident.sent))
                .for_model("m9")
                .with_prompt(&["f0", BAD_PART, "own"]);
            let reply = ask.send(incident.deployment.instances[at].callers_addr);
            assert_eq!(reply.map_or(0, |reply| reply.status_code), 503);
        }
        served = incident.send_bad(incident.sent % 3, "/stream/once/1") == 200;
        thread::sleep(ROUND);
    }
    assert!(served, "the part is still blocked");
    incident.deployment.close();
}

/// Guards against BUDGET where groups of instances reach the store but not each other: each of them sees too
/// few crashes by itself to block the part.
#[test]
fn groups_of_instances_that_reach_only_the_store_add_up_their_crashes() {
    let mut incident = Incident::new(2);
    for _ in 1..SEPARATE_GROUPS {
        incident.add_separate_group(2);
    }
    for at in 0..2 * SEPARATE_GROUPS {
        assert!(wait_for(|| incident.send_sound(at)), "instance {at} does not serve");
    }
    let until = Instant::now() + Duration::from_secs(12);
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        // One instance of each group.
        incident.send_bad(round % SEPARATE_GROUPS * 2, "/stream/once/1");
        thread::sleep(SEPARATE_ROUND);
    }
    incident.assert_few_late_runs();
    incident.deployment.close();
}

/// Guards against BUDGET where all instances are killed before they have seen enough crashes.
#[test]
fn crashes_before_all_instances_were_killed_are_remembered() {
    let mut incident = Incident::new(3);
    for at in 0..2 {
        let runs = incident.bad_runs().len();
        assert!(wait_for(|| {
            incident.send_bad(at, "/stream/once/1");
            incident.bad_runs().len() > runs
        }));
        thread::sleep(Duration::from_secs(2));
        for instance in &mut incident.deployment.instances {
            instance.process.kill();
        }
        for at in 0..3 {
            incident.deployment.restart(at).expect("an instance");
        }
        assert!(wait_for(|| (0..3).all(|at| incident.send_sound(at))));
    }
    let runs = incident.bad_runs().len();
    incident.send_bad(2, "/stream/once/1");
    assert_eq!(incident.bad_runs().len(), runs + 1);
    let all_block = || (0..3).all(|at| incident.blocks(at));
    assert!(wait_for(all_block), "the part is not blocked after {} crashes", runs + 1);
    incident.deployment.close();
}

/// Guards against BUDGET where responses have no length: those that a crash cuts off between two events would
/// clear the part of all earlier crashes.
#[test]
fn crashes_in_streams_without_length_count_against_the_part() {
    let mut incident = Incident::new(3);
    for one in &incident.deployment.workers {
        one.set_behavior(worker::Behavior::Unframed);
        one.crash_after_events(BAD_PART, 2, DOWN);
    }
    incident.send_until(Instant::now() + Duration::from_secs(9), &[0, 1, 2]);
    incident.assert_few_late_runs();
    incident.deployment.close();
}

/// Guards against BUDGET where the restart of a crashed worker is not known yet, and its next crash is taken for
/// the one before: while the store is down, the few workers of a model crash one after the other.
#[test_case(&WORKERS[..1]; "one worker")]
#[test_case(&WORKERS[..2]; "two workers")]
fn crashes_of_a_worker_count_while_its_restart_is_not_known(workers: &[&'static str]) {
    let mut incident = Incident::with_workers(workers, 3);
    for at in 0..3 {
        assert!(wait_for(|| incident.send_sound(at)), "instance {at} does not serve");
    }
    incident.deployment.store.set_behavior(Behavior::Unresponsive);
    incident.send_until(Instant::now() + Duration::from_secs(9), &[0, 1, 2]);
    incident.assert_few_late_runs();
    assert!(!incident.bad_runs().is_empty());
    incident.deployment.close();
}

/// Guards against a request that is sent to a further worker after the crash that blocks its part.
#[test]
fn a_stream_is_not_resumed_after_the_crash_that_blocks_its_part() {
    for _ in 0..3 {
        let mut incident = Incident::new(3);
        let mut runs = Vec::new();
        while runs.len() < 6 && !incident.blocks(0) {
            let before = incident.bad_runs().len();
            incident.send_bad(0, "/stream/again/1");
            runs.push(incident.bad_runs().len() - before);
            thread::sleep(ROUND);
        }
        assert_eq!(
            runs.last(),
            Some(&1),
            "{runs:?} runs of the requests before the part was blocked"
        );
        incident.deployment.close();
    }
}
