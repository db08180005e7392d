//! Tests of how instances find each other.

use std::thread;
use std::time::Duration;

use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::wait_for;

use crate::deployment;

/// Keys in a page of the newest records of the store.
const PAGE_KEYS: usize = 3;

/// Adds three instances at the same time, which know only the first one from their settings, and waits until they
/// have had the time to read the announcements twice.
fn add_instances(deployment: &mut Deployment) {
    for at in 1..4 {
        deployment.add_instance(&format!("edge-{at}")).expect("an instance");
    }
    assert!(wait_for(|| deployment.instances.iter().all(|instance| instance.is_ready())));
    thread::sleep(Duration::from_millis(4500));
}

/// Checks that an instance tells another one that a worker leaves; neither is the first one or the lead, whom all
/// know.
fn assert_find_each_other(deployment: &Deployment) {
    assert!(wait_for(|| deployment.lead().is_some()));
    let others: Vec<usize> = (1..4).filter(|at| Some(*at) != deployment.lead()).collect();
    let ask = |at: usize, id: &str| {
        let request = CallerRequest::get("/look/1", id);
        request.send(deployment.instances[others[at]].callers_addr).expect("a response")
    };
    let worker = deployment.worker("p1");
    worker.set_header("Server-Leaving", Some("1"));
    let mut number = 0;
    assert!(wait_for(|| {
        number += 1;
        ask(0, &format!("first{number}"));
        worker.requests() > 0
    }));
    thread::sleep(Duration::from_millis(300));
    let before = worker.requests();
    for number in 0..30 {
        assert_eq!(ask(1, &format!("after{number}")).status_code, 200);
    }
    assert_eq!(worker.requests(), before);
}

/// Guards against instances that do not find each other since the names of replaced ones fill the first page of
/// the announcements.
#[test]
fn instances_find_each_other_behind_the_names_of_replaced_ones() {
    let workers = vec![("p0", plain_worker(5)), ("p1", plain_worker(5))];
    let mut deployment = deployment(workers, 1);
    deployment.store.set_page_keys(PAGE_KEYS);
    for number in 0..PAGE_KEYS * 2 {
        let announcement = (std::net::SocketAddr::from(([127, 0, 0, 1], 1)), 1_u64);
        let value = postcard::to_stdvec(&announcement).expect("an announcement");
        deployment.store.put("keyed.peers", &format!("edge-{number:04}"), &value);
    }
    add_instances(&mut deployment);
    assert_find_each_other(&deployment);
    deployment.close();
}

/// Guards against instances that never find each other since the store refused their first read of the
/// announcements.
#[test]
fn instances_find_each_other_after_a_refused_read() {
    let workers = vec![("p0", plain_worker(5)), ("p1", plain_worker(5))];
    let mut deployment = deployment(workers, 1);
    deployment.store.refuse_announcements(3);
    add_instances(&mut deployment);
    assert_find_each_other(&deployment);
    deployment.close();
}
