//! Tests of workers that say in their responses that they want no further requests: for good, since they
//! leave, or for a time.

use std::thread;
use std::time::Duration;

use standins::platform::caller::CallerRequest;
use standins::platform::caller::CallerResponse;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::wait_for;

use crate::deployment;

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
