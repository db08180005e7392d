//! Tests of requests and streams without faults: forwarding, disconnects, deadlines and shutdown.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standins::platform::caller::Caller;
use standins::platform::caller::CallerRequest;
use standins::platform::deployment::config;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::wait_for;
use standins::platform::worker::WorkerSpec;

use crate::deployment;
use crate::events;
use crate::small_deployment;

#[test]
fn each_route_type_returns_its_workers_response() {
    let deployment = small_deployment(1);
    let to = deployment.instances[0].callers_addr;
    let look = CallerRequest::get("/look/1?x=%20y", "id1").send(to).expect("a response");
    assert_eq!((look.status_code, look.body.as_str()), (200, "GET /look/1?x=%20y by p0"));
    assert_eq!(look.header("x-lovageridge-server-seal"), Some("seal-p0"));
    let book = CallerRequest::post("/book/1", "id2").send(to).expect("a response");
    assert_eq!((book.status_code, book.body.as_str()), (200, "POST /book/1 by p0"));
    for path in ["/stream/once/1", "/stream/again/1"] {
        let stream = CallerRequest::post(path, "id3").for_model("m0").send(to).expect("a response");
        assert_eq!((stream.status_code, stream.complete), (200, true));
        assert_eq!(stream.body, events(10));
    }
    let missing = CallerRequest::get("/none/1", "id4").send(to).expect("a response");
    assert_eq!(missing.status_code, 404);
    deployment.close();
}

#[test]
fn upstreams_get_the_remaining_time_and_no_forged_headers() {
    let deployment = small_deployment(1);
    let mut ask = CallerRequest::get("/look/1", "id1");
    ask.deadline_ms = 60_000;
    ask.headers =
        "X-Lovageridge-Hold: forged\r\nKv-From: forged\r\nX-Lovageridge-Expect-Instance: \
                   forged\r\n"
            .to_owned();
    let reply = ask.send(deployment.instances[0].callers_addr).expect("a response");
    assert_eq!(reply.status_code, 200);
    let runs = deployment.worker("p0").runs();
    assert!(!runs[0].has_forged_headers);
    // The route's timeout is 8 s.
    assert!(runs[0].deadline_ms.is_some_and(|ms| (7000..=8000).contains(&ms)), "{runs:?}");
    deployment.close();
}

#[test]
fn events_reach_the_caller_as_they_are_generated() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    let ask = CallerRequest::post("/stream/once/1", "id1").for_model("m0");
    let started = Instant::now();
    caller.write(&ask.to_bytes()).expect("sent");
    caller.read_until("token 2\n").expect("two events");
    // Ten events take 300 ms, the first two 60 ms.
    assert!(started.elapsed() < Duration::from_millis(180), "{:?}", started.elapsed());
    deployment.close();
}

#[test]
fn a_caller_that_disconnects_cancels_its_request_at_the_worker() {
    let deployment =
        deployment(vec![("e0", WorkerSpec { events: 200, ..engine_worker(&["m0"]) })], 1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    caller
        .write(&CallerRequest::post("/stream/once/1", "id1").for_model("m0").to_bytes())
        .expect("sent");
    caller.read_until("token 1\n").expect("an event");
    let disconnected = Instant::now();
    drop(caller);
    let cancelled = || deployment.worker("e0").runs().first().is_some_and(|run| run.cancelled);
    assert!(wait_for(cancelled));
    assert!(disconnected.elapsed() < Duration::from_millis(500), "{:?}", disconnected.elapsed());
    deployment.close();
}

#[test]
fn a_caller_that_disconnects_before_its_first_event_cancels_its_request_at_the_worker() {
    let deployment = deployment(vec![("e0", engine_worker(&["m0"]))], 1);
    deployment.worker("e0").set_behavior(standins::platform::worker::Behavior::Unresponsive);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    caller
        .write(&CallerRequest::post("/stream/once/1", "id1").for_model("m0").to_bytes())
        .expect("sent");
    assert!(wait_for(|| !deployment.worker("e0").runs().is_empty()));
    let disconnected = Instant::now();
    drop(caller);
    assert!(wait_for(|| deployment.worker("e0").runs()[0].cancelled));
    assert!(disconnected.elapsed() < Duration::from_millis(500), "{:?}", disconnected.elapsed());
    deployment.close();
}

#[test]
fn a_caller_that_disconnects_while_waiting_for_a_model_reaches_no_worker() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    // The model is on no disk, so it cannot be loaded within the caller's timeout.
    caller
        .write(&CallerRequest::post("/stream/once/1", "id1").for_model("m7").to_bytes())
        .expect("sent");
    thread::sleep(Duration::from_millis(100));
    drop(caller);
    thread::sleep(Duration::from_millis(1500));
    assert!(deployment.worker("e0").runs().is_empty());
    deployment.close();
}

/// Guards against targets with scheme and host that reach workers as they are, and then name another path there.
#[test]
fn a_target_with_a_host_reaches_the_worker_as_a_path() {
    let deployment = small_deployment(1);
    let ask = CallerRequest::get("http://site.example/look/1?x=1", "id1");
    let reply = ask.send(deployment.instances[0].callers_addr).expect("a response");
    assert_eq!(reply.status_code, 200);
    assert_eq!(deployment.worker("p0").runs()[0].path, "/look/1?x=1");
    deployment.close();
}

#[test]
fn connections_to_callers_and_workers_are_reused() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    for number in 0..20 {
        caller
            .write(&CallerRequest::get("/look/1", &format!("id{number}")).to_bytes())
            .expect("sent");
        let reply = caller.read_response().expect("a response");
        assert_eq!(reply.status_code, 200);
        assert_eq!(reply.header("x-lovageridge-attempt-id"), Some(format!("id{number}").as_str()));
    }
    assert_eq!(deployment.worker("p0").runs().len(), 20);
    deployment.close();
}

#[test]
fn a_request_is_cancelled_at_its_routes_timeout() {
    let deployment =
        deployment(vec![("p0", standins::platform::deployment::plain_worker(5000))], 1);
    let route = json!([{
        "Name": "book", "Host": "site.example", "PathPrefix": "/book/", "Service": "plain",
        "RouteType": "non_idempotent", "TimeoutMs": 600, "TargetLatencyMs": 100, "MaxAttempts": 1,
    }]);
    deployment.store.put("keyed.op", "config", &config(2, &json!({"Routes": route})));
    let version = || deployment.instances[0].metric("gateway_config_version ") == Some(2.0);
    assert!(wait_for(version));
    let started = Instant::now();
    let reply = CallerRequest::post("/book/1", "id1").send(deployment.instances[0].callers_addr);
    let reply = reply.expect("a response");
    // The worker got the request, so the status must not guarantee that it has not run.
    assert_eq!(reply.status_code, 504);
    assert!(started.elapsed() < Duration::from_millis(1100), "{:?}", started.elapsed());
    let cancelled = || deployment.worker("p0").runs()[0].cancelled;
    assert!(wait_for(cancelled));
    deployment.close();
}

#[test]
fn a_stopping_instance_interrupts_no_stream_and_refuses_late_requests() {
    let shape = WorkerSpec { events: 40, event_interval_ms: 100, ..engine_worker(&["m0"]) };
    let mut deployment = deployment(vec![("e0", shape)], 1);
    let to = deployment.instances[0].callers_addr;
    let long = |id: &str| {
        let ask = CallerRequest::post("/stream/once/1", id).for_model("m0");
        thread::spawn(move || ask.send(to).expect("a response"))
    };
    let before = long("before");
    thread::sleep(Duration::from_millis(300));
    deployment.instances[0].process.terminate();
    thread::sleep(Duration::from_millis(200));
    assert!(!deployment.instances[0].is_ready());
    let lingering = long("lingering");
    thread::sleep(Duration::from_millis(2700));
    let late =
        CallerRequest::post("/stream/once/1", "late").for_model("m0").send(to).expect("a response");
    assert_eq!(late.status_code, 503);
    assert!(late.header("retry-after").is_some());
    for stream in [before, lingering] {
        let reply = stream.join().expect("a thread");
        assert!(reply.complete, "a stream was truncated");
        assert_eq!(reply.body, events(40));
    }
    assert!(
        deployment.instances[0].process.wait(Duration::from_secs(6)),
        "the instance did not exit"
    );
    deployment.close();
}

#[test]
fn a_stopping_instance_refuses_requests_that_wait_for_a_model() {
    // Loads take longer than the grace period, and callers would wait for 8 s.
    let slow = WorkerSpec { load_ms: 20_000, ..engine_worker(&["m0", "m1"]) };
    let mut deployment = deployment(vec![("e0", slow)], 1);
    let routes = json!([{
        "Name": "patient", "Host": "site.example", "PathPrefix": "/stream/patient/",
        "RouteType": "streaming", "TimeoutMs": 15_000, "TargetLatencyMs": 3000, "MaxAttempts": 2,
        "Service": "engine", "Resumable": true, "TargetGapMs": 200,
    }]);
    deployment.store.put("keyed.op", "config", &config(2, &json!({"Routes": routes})));
    let to = deployment.instances[0].callers_addr;
    let in_force = || deployment.instances[0].metric("gateway_config_version ") == Some(2.0);
    assert!(wait_for(in_force));
    let ask = CallerRequest::post("/stream/patient/1", "id1").for_model("m5");
    let waiting = thread::spawn(move || ask.send(to));
    thread::sleep(Duration::from_millis(200));
    deployment.instances[0].process.terminate();
    let reply = waiting.join().expect("a thread").expect("a response");
    assert_eq!(reply.status_code, 503);
    assert!(
        deployment.instances[0].process.wait(Duration::from_secs(6)),
        "the instance did not exit"
    );
    assert!(deployment.worker("e0").runs().is_empty());
    deployment.close();
}

#[test]
fn callers_of_a_model_that_cannot_be_loaded_in_time_are_refused_at_once() {
    // Only the weight store has the model, and loading it from there takes longer than callers wait.
    let on_disk = vec!["m0".to_owned(), "m1".to_owned()];
    let shape =
        || WorkerSpec { on_disk: on_disk.clone(), load_ms: 20_000, ..engine_worker(&["m0", "m1"]) };
    let deployment = deployment(vec![("e0", shape()), ("e1", shape())], 2);
    let mut text: serde_json::Value =
        serde_json::from_slice(&config(2, &json!({}))).expect("a configuration");
    for model in text["Services"][1]["Engine"]["Models"].as_array_mut().expect("models") {
        model["LoadS"] = json!(20.0);
    }
    // With this objective, a stream waits for its model for up to 8.4 s.
    text["Routes"][3]["TargetLatencyMs"] = json!(3000);
    text["Routes"][3]["TimeoutMs"] = json!(20_000);
    deployment.store.put("keyed.op", "config", text.to_string().as_bytes());
    let in_force = |at: usize| deployment.instances[at].metric("gateway_config_version ");
    assert!(wait_for(|| (0..2).all(|at| in_force(at) == Some(2.0))));
    for at in 0..2 {
        let ask = CallerRequest::post("/stream/again/1", &format!("id{at}")).for_model("m7");
        let sent_at = Instant::now();
        let reply = ask.send(deployment.instances[at].callers_addr).expect("a response");
        assert_eq!(reply.status_code, 503);
        // The lead needs about a quarter of the objective to report that the load will be late.
        assert!(sent_at.elapsed() < Duration::from_millis(1000), "{:?}", sent_at.elapsed());
        let retry_after_s = reply.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(
            retry_after_s.is_some_and(|retry_after_s| (10.0..=50.0).contains(&retry_after_s)),
            "{retry_after_s:?}"
        );
    }
    let ask = CallerRequest::post("/stream/again/1", "held").for_model("m0");
    assert_eq!(
        ask.send(deployment.instances[0].callers_addr).expect("a response").body,
        events(10)
    );
    assert_eq!(deployment.workers.iter().map(|one| one.runs().len()).sum::<usize>(), 1);
    deployment.close();
}
