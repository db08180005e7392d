//! Tests of a store that comes back from an older copy of itself.

use std::thread;
use std::time::Duration;

use serde_json::json;
use standins::platform::caller::CallerRequest;
use standins::platform::deployment::config;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::route;
use standins::platform::deployment::wait_for;
use test_case::test_case;

use crate::deployment;
use crate::small_deployment;

/// Time within which a configuration has to be in force.
const IN_FORCE: Duration = Duration::from_millis(3000);

/// Guards against a cursor that points behind a record of the restored log, whose offset was given out before:
/// the change would never be read (CONFIG).
#[test]
fn a_change_at_an_offset_that_was_lost_comes_into_force() {
    let deployment = small_deployment(3);
    let version = |at: usize| deployment.instances[at].metric("gateway_config_version ");
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", &config(2, &json!({})));
    assert!(wait_for(|| (0..3).all(|at| version(at) == Some(2.0))));
    deployment.store.restore(&copy);
    deployment.store.put("keyed.op", "config", &config(3, &json!({})));
    thread::sleep(IN_FORCE);
    for at in 0..3 {
        assert_eq!(version(at), Some(3.0), "instance {at}");
    }
    deployment.close();
}

/// Guards against a read that was sent before a restore and answered after it, with records from an offset that
/// points into another log by then: those before it would never be read (CONFIG, DRAIN).
#[test]
fn reads_that_wait_during_a_restore_skip_no_records() {
    let deployment = deployment(vec![("p0", plain_worker(5)), ("p1", plain_worker(5))], 1);
    let version = || deployment.instances[0].metric("gateway_config_version ");
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", &config(2, &json!({})));
    for _ in 0..2 {
        deployment.announce(deployment.worker("p1"), "ready");
    }
    assert!(wait_for(|| version() == Some(2.0)));
    thread::sleep(Duration::from_millis(1500));
    let (p0, p1) = (deployment.worker("p0"), deployment.worker("p1"));
    deployment.store.restore_and_put(
        &copy,
        &[
            ("keyed.op", "config", config(3, &json!({}))),
            ("keyed.op", "other", b"1".to_vec()),
            ("keyed.op", "other", b"2".to_vec()),
            ("keyed.servers", "p1", p1.record("draining")),
            ("keyed.servers", "p0", p0.record("ready")),
            ("keyed.servers", "p0", p0.record("ready")),
        ],
    );
    thread::sleep(IN_FORCE);
    assert_eq!(version(), Some(3.0));
    let before = p1.requests();
    for number in 0..20 {
        let request = CallerRequest::get("/look/1", &format!("after{number}"));
        let reply = request.send(deployment.instances[0].callers_addr).expect("a response");
        assert_eq!(reply.status_code, 200);
    }
    assert_eq!(p1.requests(), before);
    deployment.close();
}

/// Guards against instances that return to an older configuration that the restored store holds (CONFIG).
#[test]
fn a_configuration_that_the_store_has_lost_stays_in_force() {
    let mut deployment = small_deployment(3);
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", &config(2, &json!({})));
    let is_newest = |one: &standins::platform::deployment::Instance| {
        one.metric("gateway_config_version ") == Some(2.0)
    };
    assert!(wait_for(|| deployment.instances.iter().all(is_newest)));
    deployment.store.restore(&copy);
    // An instance that starts now finds only the copy in the store.
    deployment.add_instance("edge-3").expect("an instance");
    assert!(wait_for(|| is_newest(&deployment.instances[3])));
    for _ in 0..20 {
        assert!(deployment.instances.iter().all(is_newest));
        thread::sleep(Duration::from_millis(100));
    }
    deployment.close();
}

/// Guards against a document that is ignored since another one of its version was lost with a restore (CONFIG).
#[test]
fn another_document_of_the_same_version_comes_into_force_after_a_restore() {
    let deployment = small_deployment(3);
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", &config(2, &json!({})));
    let version = |at: usize| deployment.instances[at].metric("gateway_config_version ");
    assert!(wait_for(|| (0..3).all(|at| version(at) == Some(2.0))));
    deployment.store.restore(&copy);
    let routes = json!([route("new", "idempotent", "plain", false)]);
    deployment.store.put("keyed.op", "config", &config(2, &json!({"Routes": routes})));
    thread::sleep(IN_FORCE);
    for instance in &deployment.instances {
        let ask = |path: &str| CallerRequest::get(path, "id1").send(instance.callers_addr);
        assert_eq!(ask("/new/1").expect("a response").status_code, 200);
        assert_eq!(ask("/look/1").expect("a response").status_code, 404);
    }
    deployment.close();
}

/// Guards against a lead that gets a fencing number which another one had before the restore (ONE).
#[test]
fn a_lead_after_a_restore_has_a_higher_fencing_number() {
    let workers = vec![
        ("e0", engine_worker(&["m0"])),
        ("e1", engine_worker(&["m1"])),
        ("p0", plain_worker(5)),
    ];
    let mut deployment = deployment(workers, 0);
    let copy = deployment.store.copy();
    for name in ["edge-0", "edge-1"] {
        deployment.add_instance(name).expect("an instance");
    }
    let filled = || deployment.workers[..2].iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    let fences = || deployment.workers.iter().flat_map(|one| one.fences()).collect::<Vec<u64>>();
    let before = fences().into_iter().max().expect("an order");
    let lead = deployment.lead().expect("a lead");
    deployment.instances[lead].process.kill();
    deployment.store.restore(&copy);
    let other = &deployment.instances[1 - lead];
    assert!(wait_for(|| other.metric("gateway_leads ") == Some(1.0)));
    let loaded: Vec<String> = deployment.workers.iter().flat_map(|one| one.loads()).collect();
    let cold = (2..8).map(|at| format!("m{at}")).find(|name| !loaded.contains(name));
    let request = CallerRequest::post("/stream/again/1", "cold")
        .for_model(&cold.expect("a model that is not loaded"));
    request.send(other.callers_addr).expect("a response");
    let count = |fence: u64| fences().into_iter().filter(|one| *one > fence).count();
    assert!(wait_for(|| count(before) > 0), "orders had the numbers {:?}", fences());
    deployment.close();
}

/// Guards against a worker that comes back into use, since the copy still says that it is ready (DRAIN).
#[test_case(true; "after it said that it leaves")]
#[test_case(false; "without a word")]
fn a_worker_that_left_in_the_lost_time_gets_no_requests(says_leaving: bool) {
    let deployment = deployment(vec![("p0", plain_worker(5)), ("p1", plain_worker(5))], 1);
    let to = deployment.instances[0].callers_addr;
    let ask = |id: &str| CallerRequest::get("/look/1", id).send(to).expect("a response");
    let copy = deployment.store.copy();
    if says_leaving {
        deployment.announce(deployment.worker("p1"), "draining");
        thread::sleep(Duration::from_millis(1500));
    }
    deployment.store.put("keyed.servers", "p1", b"");
    thread::sleep(Duration::from_millis(1500));
    deployment.store.restore(&copy);
    thread::sleep(Duration::from_millis(2000));
    let before = deployment.worker("p1").requests();
    for number in 0..20 {
        assert_eq!(ask(&format!("after{number}")).status_code, 200);
    }
    assert_eq!(deployment.worker("p1").requests(), before);
    deployment.close();
}
