//! Tests of models whose workers have more requests than slots.

use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::caller::CallerResponse;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::wait_for;

use crate::deployment;

/// Header with the running requests, the waiting ones and the slots of a worker.
const LOAD_HEADER: &str = "X-Lovageridge-Server-Load";

fn ask(deployment: &Deployment, id: &str) -> CallerResponse {
    let ask = CallerRequest::post("/stream/again/1", id).for_model("m0");
    ask.send(deployment.instances[0].callers_addr).expect("a response")
}

/// Guards against callers that wait in a worker's queue until they give up: those that would be late are
/// refused at once, with the time at which a place is likely, and have not run.
#[test]
fn a_request_for_a_model_whose_worker_is_full_is_refused_at_once() {
    let deployment = deployment(vec![("e0", engine_worker(&["m0"]))], 1);
    let worker = deployment.worker("e0");
    assert!(wait_for(|| ask(&deployment, "warm").status_code == 200));
    worker.set_header(LOAD_HEADER, Some("8,80,8"));
    assert_eq!(ask(&deployment, "first").status_code, 200);
    let before = worker.requests();
    let started = Instant::now();
    let refused = ask(&deployment, "second");
    assert!(started.elapsed() < Duration::from_millis(500), "after {:?}", started.elapsed());
    assert_eq!((refused.status_code, worker.requests()), (503, before));
    let retry_after = refused.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|seconds| seconds > 0.2), "Retry-After is {retry_after:?}");
    // The load is outdated after a while.
    worker.set_header(LOAD_HEADER, None);
    assert!(wait_for(|| ask(&deployment, "later").status_code == 200));
    deployment.close();
}
