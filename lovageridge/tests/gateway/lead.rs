//! Tests of leader election and of the loads that the lead orders.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::LEASE_MS;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::wait_for;
use standins::platform::store::Behavior;
use standins::platform::worker::WorkerSpec;

use crate::deployment;
use crate::events;

/// Longest time from the failure of a lead to the first order of its successor: the validity of a
/// renewal, the lease, and one second to detect the expiry and claim the lease.
const TAKEOVER_MAX: Duration = Duration::from_millis(1200 + LEASE_MS + 1000);

fn two_engines(instances: usize) -> Deployment {
    deployment(vec![("e0", engine_worker(&["m0"])), ("e1", engine_worker(&["m1"]))], instances)
}

fn stream(deployment: &Deployment, at: usize, id: &str, model: &str) -> String {
    let ask = CallerRequest::post("/stream/again/1", id).for_model(model);
    let reply = ask.send(deployment.instances[at].callers_addr).expect("a response");
    if reply.complete && reply.status_code == 200 { reply.body } else { String::new() }
}

fn assert_memory_within_capacity(deployment: &Deployment) {
    for worker in &deployment.workers {
        assert!(worker.peak_mb() <= 200, "{} used {} MB", worker.id(), worker.peak_mb());
    }
}

#[test]
fn free_memory_is_filled_and_one_instance_leads() {
    let deployment = two_engines(3);
    let filled = || deployment.workers.iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    thread::sleep(Duration::from_millis(500));
    let leads = deployment.instances.iter().filter(|one| one.metric("gateway_leads ") == Some(1.0));
    assert_eq!(leads.count(), 1);
    assert_memory_within_capacity(&deployment);
    deployment.close();
}

#[test]
fn callers_of_a_cold_model_at_several_instances_cause_one_load() {
    let deployment = two_engines(3);
    let filled = || deployment.workers.iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    thread::sleep(Duration::from_millis(800));
    let loaded: Vec<String> = deployment.workers.iter().flat_map(|one| one.loads()).collect();
    let cold = (2..8).map(|at| format!("m{at}")).find(|name| !loaded.contains(name));
    let cold = cold.expect("a model that is not loaded");
    thread::scope(|scope| {
        for at in 0..9 {
            let (deployment, cold) = (&deployment, &cold);
            scope.spawn(move || {
                let body = stream(deployment, at % 3, &format!("id{at}"), cold);
                assert_eq!(body, events(10));
            });
        }
    });
    let loads = deployment.workers.iter().flat_map(|one| one.loads()).filter(|m| *m == cold);
    assert_eq!(loads.count(), 1);
    assert_memory_within_capacity(&deployment);
    deployment.close();
}

#[test]
fn a_killed_lead_is_replaced_by_one_with_a_higher_fencing_number() {
    let mut deployment = two_engines(3);
    assert!(wait_for(|| deployment.lead().is_some()));
    let filled = || deployment.workers.iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    let lead = deployment.lead().expect("a lead");
    deployment.instances[lead].process.kill();
    let killed = Instant::now();
    let other = (lead + 1) % 3;
    let loaded: Vec<String> = deployment.workers.iter().flat_map(|one| one.loads()).collect();
    let cold = (2..8).map(|at| format!("m{at}")).find(|name| !loaded.contains(name));
    let cold = cold.expect("a model that is not loaded");
    let served = || stream(&deployment, other, "cold", &cold) == events(10);
    assert!(wait_for(served), "the successor did not load the model");
    assert!(killed.elapsed() <= TAKEOVER_MAX + Duration::from_secs(2), "{:?}", killed.elapsed());
    for worker in &deployment.workers {
        assert!(
            worker.fences().windows(2).all(|pair| pair[0] <= pair[1]),
            "fencing numbers decreased"
        );
    }
    assert_memory_within_capacity(&deployment);
    deployment.close();
}

#[test]
fn a_paused_lead_that_wakes_gives_no_order_after_its_successor() {
    let deployment = two_engines(3);
    assert!(wait_for(|| deployment.lead().is_some()));
    let lead = deployment.lead().expect("a lead");
    deployment.instances[lead].process.pause();
    let others: Vec<usize> = (0..3).filter(|at| *at != lead).collect();
    let has_successor =
        || others.iter().any(|at| deployment.instances[*at].metric("gateway_leads ") == Some(1.0));
    assert!(wait_for(has_successor));
    thread::sleep(TAKEOVER_MAX);
    deployment.instances[lead].process.resume();
    let stepped_down = || deployment.instances[lead].metric("gateway_leads ") == Some(0.0);
    assert!(wait_for(stepped_down));
    for (at, model) in ["m4", "m5", "m6"].iter().enumerate() {
        stream(&deployment, at, &format!("id{at}"), model);
    }
    for worker in &deployment.workers {
        assert!(
            worker.fences().windows(2).all(|pair| pair[0] <= pair[1]),
            "fencing numbers decreased"
        );
    }
    assert_memory_within_capacity(&deployment);
    deployment.close();
}

#[test]
fn cold_models_are_loaded_while_the_store_is_down() {
    let deployment = two_engines(2);
    let filled = || deployment.workers.iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    deployment.store.set_behavior(Behavior::Unresponsive);
    thread::sleep(Duration::from_millis(1500));
    let loaded: Vec<String> = deployment.workers.iter().flat_map(|one| one.loads()).collect();
    let cold = (2..8).map(|at| format!("m{at}")).find(|name| !loaded.contains(name));
    let served = stream(&deployment, 0, "cold", &cold.expect("a model that is not loaded"));
    assert_eq!(served, events(10));
    assert_memory_within_capacity(&deployment);
    deployment.close();
}

#[test]
fn all_instances_killed_at_once_serve_again_in_time() {
    let mut deployment = two_engines(3);
    assert!(wait_for(|| deployment.lead().is_some()));
    for instance in &mut deployment.instances {
        instance.process.kill();
    }
    let killed = Instant::now();
    for at in 0..3 {
        deployment.restart(at).expect("an instance");
    }
    assert!(wait_for(|| deployment.instances.iter().all(|one| one.is_ready())));
    // Half of the time within which requests have to be served again.
    assert!(killed.elapsed() < Duration::from_secs(6), "{:?}", killed.elapsed());
    assert_eq!(stream(&deployment, 0, "after", "m0"), events(10));
    deployment.close();
}

#[test]
fn a_worker_restarted_under_its_id_is_filled_again() {
    let mut deployment = two_engines(2);
    let filled = || deployment.workers.iter().all(|worker| worker.loads().len() == 1);
    assert!(wait_for(filled));
    let shape = WorkerSpec { models: Vec::new(), ..engine_worker(&[]) };
    thread::sleep(Duration::from_millis(20));
    let again = standins::platform::worker::WorkerStandIn::start("e1", shape);
    let old = std::mem::replace(&mut deployment.workers[1], again.expect("a worker"));
    old.close();
    deployment.announce(&deployment.workers[1], "ready");
    let filled = || deployment.workers[1].loads().len() >= 2;
    assert!(wait_for(filled), "the restarted worker got no models");
    assert_memory_within_capacity(&deployment);
    deployment.close();
}
