//! Tests of streams whose worker sends nothing for some time: it has preempted them, or it is gone.

use std::time::Duration;

use standins::platform::caller::CallerRequest;
use standins::platform::caller::CallerResponse;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::engine_worker;
use standins::platform::worker::Behavior;
use standins::platform::worker::WorkerSpec;
use standins::relay::Mode;
use standins::relay::Relay;
use test_case::test_case;

use crate::deployment;
use crate::events;

/// Time for which streams are preempted; longer than the silence of 1.2 s after which a worker is checked.
const PREEMPTED: Duration = Duration::from_millis(2000);
/// Time to the headers of a response; longer than the 2 s after which a worker is checked.
const QUEUED: Duration = Duration::from_millis(2500);

/// A worker with this behavior in the instance's domain, which is tried first, and a sound one.
fn engines(behavior: Behavior) -> Deployment {
    let elsewhere = WorkerSpec { domain: "b".to_owned(), ..engine_worker(&["m0"]) };
    let deployment = deployment(vec![("e0", engine_worker(&["m0"])), ("e1", elsewhere)], 1);
    deployment.worker("e0").set_behavior(behavior);
    deployment
}

fn ask(deployment: &Deployment) -> CallerResponse {
    let ask = CallerRequest::post("/stream/again/1", "id1").for_model("m0");
    ask.send(deployment.instances[0].callers_addr).expect("a response")
}

/// Guards against streams that go on at another worker while the first one is still at work on them.
#[test_case(Behavior::PauseAfter(0, PREEMPTED), false; "before the first event")]
#[test_case(Behavior::PauseAfter(4, PREEMPTED), false; "between two events")]
#[test_case(Behavior::PauseAfter(4, PREEMPTED), true; "at a worker that goes on without its connection")]
#[test_case(Behavior::DelayHead(QUEUED), false; "before the headers")]
#[test_case(Behavior::DelayHead(QUEUED), true; "before the headers, at a worker that goes on without its connection")]
fn a_preempted_stream_stays_at_its_worker(behavior: Behavior, ignores_close: bool) {
    let deployment = engines(behavior);
    if ignores_close {
        deployment.worker("e0").ignore_close();
    }
    let reply = ask(&deployment);
    assert_eq!((reply.complete, reply.body), (true, events(10)));
    assert_eq!(deployment.worker("e1").requests(), 0);
    let runs = deployment.worker("e0").runs();
    assert!(runs.len() == 1 && !runs[0].cancelled, "{runs:?}");
    deployment.close();
}

/// Guards against streams that start at another worker after a response to another request, while the first worker, which
/// goes on without its connection, works on them.
#[test]
fn a_stream_does_not_run_at_two_workers_after_a_response_to_another_request() {
    let deployment = engines(Behavior::RejectionOfAnother("503 Service Unavailable"));
    deployment.worker("e0").ignore_close();
    ask(&deployment);
    let first = deployment.worker("e0").runs();
    let first_end = first.first().and_then(|run| run.ended_at);
    let second = deployment.worker("e1").runs();
    let overlaps = second.iter().any(|run| first_end.is_none_or(|end| run.started_at < end));
    assert!(!overlaps, "{first:?} {second:?}");
    deployment.close();
}

/// Guards against preempted streams that are cut since the other workers reject them.
#[test]
fn a_preempted_stream_is_complete_while_all_other_workers_are_full() {
    let deployment = engines(Behavior::PauseAfter(4, PREEMPTED));
    deployment.worker("e1").set_behavior(Behavior::Overloaded);
    let reply = ask(&deployment);
    assert_eq!((reply.complete, reply.body), (true, events(10)));
    deployment.close();
}

/// Guards against streams that wait for a worker which does not work on them any longer.
#[test]
fn a_stream_whose_worker_has_no_request_left_is_resumed_elsewhere() {
    let deployment = engines(Behavior::LoseAfter(4));
    let reply = ask(&deployment);
    assert_eq!((reply.complete, reply.body), (true, events(10)));
    assert_eq!(deployment.worker("e1").runs().len(), 1);
    deployment.close();
}

/// Guards against streams that wait for a worker which cannot be reached, or which has started again.
#[test_case(Mode::Silent; "unreachable")]
#[test_case(Mode::Refuse; "ended")]
fn a_stream_whose_worker_is_gone_is_resumed_elsewhere(mode: Mode) {
    let slow = WorkerSpec { event_interval_ms: 100, ..engine_worker(&["m0"]) };
    let elsewhere = WorkerSpec { domain: "b".to_owned(), ..engine_worker(&["m0"]) };
    let deployment = deployment(vec![("e1", elsewhere)], 1);
    let worker = standins::platform::worker::WorkerStandIn::start("e0", slow).expect("a worker");
    let relay = Relay::start(worker.addr()).expect("a relay to the worker");
    deployment.store.put("keyed.servers", "e0", &worker.record_at(relay.addr(), "ready"));
    std::thread::sleep(Duration::from_millis(1500));
    let reply = std::thread::scope(|scope| {
        let reply = scope.spawn(|| ask(&deployment));
        std::thread::sleep(Duration::from_millis(450));
        relay.set_mode(mode);
        reply.join().expect("a response")
    });
    assert_eq!((reply.complete, reply.body), (true, events(10)));
    assert_eq!(worker.runs().len(), 1);
    assert_eq!(deployment.worker("e1").runs().len(), 1);
    relay.close();
    worker.close();
    deployment.close();
}
