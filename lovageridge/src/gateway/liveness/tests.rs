//! Tests of what the answer of a worker tells about a run whose response has stopped.

use bytes::Bytes;
use hyper::HeaderMap;
use test_case::test_case;

use crate::gateway::connection;
use crate::gateway::connection::CallResponse;
use crate::gateway::liveness::RunState;
use crate::gateway::liveness::state_by_report;

/// Start time of the process that the request was sent to, as Unix time in ms.
const START_UNIX_MS: u64 = 100;

fn answer(status_code: u16, body: &str) -> Result<CallResponse, connection::Error> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    Ok(CallResponse { status_code, headers: HeaderMap::new(), body })
}

fn report(born: u64, counts: &str) -> Result<CallResponse, connection::Error> {
    answer(200, &format!("{{\"Busy\":false,\"Seq\":1,\"born\":{born}{counts}}}"))
}

/// Guards against streams that go on at another worker while the first one may be at work on them.
#[test_case(report(START_UNIX_MS, ",\"Running\":2,\"Waiting\":0"); "a run in progress")]
#[test_case(report(START_UNIX_MS, ",\"Running\":0,\"Waiting\":1"); "a request that waits")]
#[test_case(report(START_UNIX_MS, ""); "a report without counts")]
#[test_case(report(0, ",\"Running\":2,\"Waiting\":0"); "a report without a start time")]
#[test_case(answer(200, "not a report"); "another body")]
#[test_case(answer(404, ""); "no report")]
#[test_case(answer(503, ""); "a refusal")]
#[test_case(Err(connection::Error::NoAnswer("reset".to_owned())); "a reset")]
fn a_worker_that_answers_may_be_at_work(result: Result<CallResponse, connection::Error>) {
    assert_eq!(state_by_report(result, Some(START_UNIX_MS)), RunState::MayBeAtWork);
}

/// Guards against streams that wait for a worker that does not work on them any longer.
#[test_case(report(START_UNIX_MS + 1, ",\"Running\":2,\"Waiting\":0"); "a later start")]
#[test_case(report(START_UNIX_MS, ",\"Running\":0,\"Waiting\":0"); "no request")]
#[test_case(answer(421, ""); "another worker at its address")]
#[test_case(Err(connection::Error::Connect("refused".to_owned())); "a closed port")]
fn a_run_has_ended(result: Result<CallResponse, connection::Error>) {
    assert_eq!(state_by_report(result, Some(START_UNIX_MS)), RunState::Ended);
}
