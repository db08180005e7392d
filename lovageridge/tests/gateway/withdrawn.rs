//! Tests of workers that say in their responses that they want no further requests: for good, since they
//! leave, or for a time.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::caller::CallerResponse;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::wait_for;
use standins::platform::worker::Behavior;
use test_case::test_case;

use crate::deployment;

/// Requests that may have been on their way to a worker when it said that it wants none.
const STRAGGLERS_MAX: u64 = 2;

fn two_plain_workers(instances: usize) -> Deployment {
    deployment(vec![("p0", plain_worker(5)), ("p1", plain_worker(5))], instances)
}

fn ask(deployment: &Deployment, at: usize, id: &str) -> CallerResponse {
    let request = CallerRequest::get("/look/1", id);
    request.send(deployment.instances[at].callers_addr).expect("a response")
}

fn ask_until_reached(deployment: &Deployment, worker: &str, name: &str) {
    let before = deployment.worker(worker).requests();
    let mut number = 0;
    assert!(wait_for(|| {
        number += 1;
        ask(deployment, 0, &format!("{name}{number}"));
        deployment.worker(worker).requests() > before
    }));
}

/// Guards against requests to a worker that leaves, while its record still says that it is ready (DRAIN).
#[test]
fn a_worker_that_says_that_it_leaves_gets_no_further_requests() {
    let deployment = two_plain_workers(2);
    deployment.worker("p1").set_header("Server-Leaving", Some("1"));
    ask_until_reached(&deployment, "p1", "first");
    // The other instance learns of it from this one.
    thread::sleep(Duration::from_millis(200));
    let before = deployment.worker("p1").requests();
    for number in 0..30 {
        for at in 0..2 {
            assert_eq!(ask(&deployment, at, &format!("after{at}-{number}")).status_code, 200);
        }
    }
    assert_eq!(deployment.worker("p1").requests(), before);
    // A record that is removed and written again does not make it available.
    deployment.store.put("keyed.servers", "p1", b"");
    thread::sleep(Duration::from_millis(1000));
    deployment.announce(deployment.worker("p1"), "ready");
    thread::sleep(Duration::from_millis(1000));
    for number in 0..20 {
        ask(&deployment, 0, &format!("again{number}"));
    }
    assert_eq!(deployment.worker("p1").requests(), before);
    deployment.close();
}

/// Guards against a worker that stays unused after it has started again.
#[test]
fn a_worker_that_said_that_it_leaves_is_used_after_a_restart() {
    let deployment = two_plain_workers(1);
    deployment.worker("p1").set_header("Server-Leaving", Some("1"));
    ask_until_reached(&deployment, "p1", "first");
    deployment.worker("p1").set_header("Server-Leaving", None);
    deployment.worker("p1").restart(Duration::from_millis(50));
    thread::sleep(Duration::from_millis(300));
    deployment.announce(deployment.worker("p1"), "ready");
    ask_until_reached(&deployment, "p1", "later");
    deployment.close();
}

/// Guards against requests to a worker that has asked for none for a time (BUDGET).
#[test_case("2"; "whole seconds")]
#[test_case("2.25"; "fractions")]
fn a_worker_that_turns_requests_away_for_a_time_gets_none_meanwhile(retry_after: &str) {
    let deployment = two_plain_workers(1);
    let worker = deployment.worker("p1");
    worker.set_header("Retry-After", Some(retry_after));
    worker.set_behavior(Behavior::Overloaded);
    ask_until_reached(&deployment, "p1", "first");
    let refused_at = Instant::now();
    let before = worker.requests();
    let mut number = 0;
    while refused_at.elapsed() < Duration::from_millis(1900) {
        number += 1;
        assert_eq!(ask(&deployment, 0, &format!("after{number}")).status_code, 200);
    }
    let stragglers = worker.requests() - before;
    assert!(stragglers <= STRAGGLERS_MAX, "{stragglers} of {number} requests");
    worker.set_behavior(Behavior::Normal);
    ask_until_reached(&deployment, "p1", "later");
    deployment.close();
}

/// Guards against callers that are told to return while no worker takes their requests.
#[test]
fn a_request_is_refused_with_the_time_at_which_a_worker_takes_requests_again() {
    let deployment = two_plain_workers(1);
    for worker in &deployment.workers {
        worker.set_header("Retry-After", Some("30"));
        worker.set_behavior(Behavior::Overloaded);
    }
    ask(&deployment, 0, "first");
    ask(&deployment, 0, "second");
    let before: u64 = deployment.workers.iter().map(|worker| worker.requests()).sum();
    let started = Instant::now();
    let refused = ask(&deployment, 0, "third");
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "refused after {:?}",
        started.elapsed()
    );
    assert_eq!(refused.status_code, 503);
    let retry_after = refused.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|seconds| seconds > 20.0), "Retry-After is {retry_after:?}");
    let after: u64 = deployment.workers.iter().map(|worker| worker.requests()).sum();
    assert_eq!(after, before);
    deployment.close();
}

/// Guards against times that are no times, and against a 503 without a time that closes a worker.
#[test_case("-5"; "negative")]
#[test_case("soon"; "no number")]
#[test_case("NaN"; "not a number")]
#[test_case(""; "empty")]
fn a_worker_that_names_no_usable_time_stays_in_use(retry_after: &str) {
    let deployment = two_plain_workers(1);
    let worker = deployment.worker("p1");
    worker.set_header("Retry-After", Some(retry_after));
    worker.set_behavior(Behavior::Overloaded);
    ask_until_reached(&deployment, "p1", "first");
    worker.set_behavior(Behavior::Normal);
    ask_until_reached(&deployment, "p1", "later");
    deployment.close();
}
