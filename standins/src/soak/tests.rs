//! The checks notice what they are for, and a seed always gives the same plan.

use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use crate::platform::worker::Run;
use crate::platform::worker::events;
use crate::soak::callers::RequestEnd;
use crate::soak::callers::RequestKind;
use crate::soak::callers::SentRequest;
use crate::soak::check::EVENTS_PER_STREAM;
use crate::soak::check::FaultPeriod;
use crate::soak::check::Observations;
use crate::soak::check::WorkerObservations;
use crate::soak::check::find_violations;
use crate::soak::plan::DeploymentSize;
use crate::soak::plan::FAULT_WINDOW_MS;
use crate::soak::plan::Fault;
use crate::soak::plan::plan;

const SIZE: DeploymentSize = DeploymentSize { instances: 6, workers: 5 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn response(status_code: u16, receipt: Option<&str>, body: &str) -> RequestEnd {
    RequestEnd::Answered {
        status_code,
        id: Some("r1".to_owned()),
        receipt: receipt.map(str::to_owned),
        body: body.to_owned(),
        complete: true,
    }
}

/// A booking that was sent at `start`, answered by the worker p0 after 20 ms, and ran there once.
fn valid_observations(start: Instant) -> Observations {
    let path = "/book/r1".to_owned();
    let sent = SentRequest {
        id: "r1".to_owned(),
        kind: RequestKind::Book,
        path: path.clone(),
        instance: 0,
        sent_at: start,
        ended_at: start + ms(20),
        end: response(200, Some("seal-p0"), "POST /book/r1 by p0"),
    };
    let run = Run {
        id: "r1".to_owned(),
        path,
        deadline_ms: Some(3000),
        has_forged_headers: false,
        started_at: start + ms(5),
        ended_at: Some(start + ms(15)),
        cancelled: false,
    };
    let worker = WorkerObservations {
        id: "p0".to_owned(),
        runs: vec![run],
        fences: vec![1, 2, 2],
        peak_mb: 180,
        leaving_since: None,
    };
    Observations {
        requests: vec![sent],
        workers: vec![worker],
        instance_starts: vec![(0, start - ms(5000))],
        config_versions: vec![(1, start - ms(5000))],
        ..Observations::default()
    }
}

/// Returns the promise that is broken once `spoil` has changed sound evidence.
fn violated_guarantees(spoil: impl Fn(&mut Observations, Instant)) -> Vec<&'static str> {
    let start = Instant::now() + ms(10_000);
    let mut seen = valid_observations(start);
    assert_eq!(find_violations(&seen), []);
    spoil(&mut seen, start);
    let mut found: Vec<&str> =
        find_violations(&seen).iter().map(|breach| breach.guarantee).collect();
    found.dedup();
    found
}

fn add_copies(seen: &mut Observations, count: usize, change: impl Fn(&mut SentRequest)) {
    let (sent, run) = (seen.requests[0].clone(), seen.workers[0].runs[0].clone());
    for at in 0..count {
        let mut sent =
            SentRequest { id: format!("m{at}"), kind: RequestKind::Look, ..sent.clone() };
        change(&mut sent);
        seen.workers[0].runs.push(Run { id: sent.id.clone(), ended_at: None, ..run.clone() });
        seen.requests.push(sent);
    }
}

#[test]
fn a_booking_that_runs_twice_or_after_a_refusal_is_detected() {
    let twice = violated_guarantees(|seen, _| {
        let run = seen.workers[0].runs[0].clone();
        seen.workers[0].runs.push(run);
    });
    assert_eq!(twice, ["runs at most once"]);
    let refused = violated_guarantees(|seen, _| seen.requests[0].end = response(503, None, ""));
    assert_eq!(refused, ["a refused call has not run"]);
}

#[test_case(200, Some("seal-p0"), "POST /book/r2 by p0", "an answer is the worker's own and whole"; "another's answer")]
#[test_case(200, Some("seal-p0"), "POST /book/r1 by p", "an answer is the worker's own and whole"; "a part of it")]
#[test_case(200, None, "POST /book/r1 by p0", "a success is a worker's"; "no receipt")]
#[test_case(502, Some("seal-p0"), "", "an answer is the worker's own and whole"; "a status that the worker did not give")]
#[test_case(404, None, "", "proper requests are not denied"; "denied")]
fn an_invalid_response_is_detected(
    status_code: u16,
    receipt: Option<&str>,
    body: &str,
    promise: &'static str,
) {
    let found = violated_guarantees(|seen, _| {
        seen.requests[0].end = response(status_code, receipt, body);
    });
    assert_eq!(found, [promise]);
}

#[test]
fn a_stream_with_missing_or_repeated_events_is_detected() {
    let stream = |body: String| {
        violated_guarantees(move |seen, _| {
            seen.requests[0].kind = RequestKind::StreamOnce;
            seen.requests[0].end = response(200, Some("seal-e0"), &body);
        })
    };
    assert!(stream(events(EVENTS_PER_STREAM)).is_empty());
    let promise = ["an answer is the worker's own and whole"];
    assert_eq!(stream(events(EVENTS_PER_STREAM - 1)), promise);
    assert_eq!(stream(format!("{}{}", events(EVENTS_PER_STREAM), events(1))), promise);
}

#[test]
fn runs_that_no_caller_requested_are_detected() {
    let promise = ["only what callers sent runs"];
    assert_eq!(
        violated_guarantees(|seen, _| seen.workers[0].runs[0].id = "other".to_owned()),
        promise
    );
    assert_eq!(
        violated_guarantees(|seen, _| seen.workers[0].runs[0].path = "/look/r1".to_owned()),
        promise
    );
    assert_eq!(
        violated_guarantees(|seen, _| seen.workers[0].runs[0].has_forged_headers = true),
        promise
    );
}

#[test]
fn exceeded_memory_and_decreasing_fences_are_detected() {
    assert_eq!(
        violated_guarantees(|seen, _| seen.workers[0].peak_mb = 201),
        ["memory is never exceeded"]
    );
    let found = violated_guarantees(|seen, _| seen.workers[0].fences = vec![1, 3, 2]);
    assert_eq!(found, ["fencing numbers never fall"]);
}

#[test]
fn late_responses_are_detected_unless_the_instance_had_a_fault() {
    let held = |seen: &mut Observations| {
        add_copies(seen, 8, |sent| {
            sent.ended_at = sent.sent_at + ms(3600);
            sent.end = response(504, None, "");
        });
    };
    assert_eq!(violated_guarantees(|seen, _| held(seen)), ["answered at the time limit"]);
    let paused = violated_guarantees(|seen, start| {
        held(seen);
        let trouble = FaultPeriod { fault: Fault::Pause(0), from: start - ms(2000), to: start };
        seen.fault_periods.push(trouble);
    });
    assert!(paused.is_empty());
}

#[test]
fn work_that_continues_after_the_caller_disconnected_is_detected() {
    let found = violated_guarantees(|seen, _| {
        add_copies(seen, 8, |sent| sent.end = RequestEnd::CallerDisconnected)
    });
    assert_eq!(found, ["the work of callers that left ends"]);
}

#[test]
fn a_request_lost_during_planned_work_is_detected_and_one_during_a_kill_is_not() {
    let lost = |fault: Fault| {
        violated_guarantees(move |seen, start| {
            seen.requests[0].end = RequestEnd::Unanswered;
            seen.fault_periods.push(FaultPeriod { fault, from: start, to: start + ms(1000) });
        })
    };
    assert_eq!(lost(Fault::Terminate(0)), ["planned work loses no request"]);
    assert!(lost(Fault::Kill(0)).is_empty());
}

#[test_case(2100, true; "in force too late")]
#[test_case(1900, false; "still in time")]
fn a_configuration_applied_late_is_detected(after_ms: u64, noticed: bool) {
    let found = violated_guarantees(|seen, start| {
        seen.config_versions.push((2, start - ms(after_ms)));
        seen.requests[0].kind = RequestKind::Probe(2);
        seen.requests[0].end = response(404, None, "");
        seen.workers[0].runs.clear();
    });
    assert_eq!(found == ["a configuration is soon in force"], noticed, "{found:?}");
}

#[test]
fn a_return_to_an_older_configuration_is_detected() {
    let found = violated_guarantees(|seen, start| {
        let probe = SentRequest {
            id: "r2".to_owned(),
            kind: RequestKind::Probe(2),
            ..seen.requests[0].clone()
        };
        let later =
            SentRequest { sent_at: start + ms(100), ended_at: start + ms(110), ..probe.clone() };
        let known = SentRequest { end: response(503, None, ""), ..probe };
        seen.requests = vec![known, SentRequest { end: response(404, None, ""), ..later }];
        seen.workers[0].runs.clear();
    });
    assert_eq!(found, ["a configuration is never followed by an older one"]);
}

#[test]
fn new_work_at_a_leaving_worker_is_detected() {
    let found =
        violated_guarantees(|seen, start| seen.workers[0].leaving_since = Some(start - ms(2500)));
    assert_eq!(found, ["a leaving worker gets nothing new"]);
    assert!(
        violated_guarantees(|seen, start| seen.workers[0].leaving_since = Some(start - ms(1500)))
            .is_empty()
    );
}

#[test]
fn requests_that_fail_after_recovery_are_detected() {
    let found = violated_guarantees(|seen, start| {
        seen.recovery_deadline = Some(start - ms(10));
        seen.workers[0].runs.clear();
        seen.requests[0].end = response(503, None, "");
    });
    assert_eq!(found, ["everything is served again"]);
}

#[test]
fn plans_are_deterministic_and_differ_between_seeds() {
    assert_eq!(plan(7, SIZE), plan(7, SIZE));
    let plans: Vec<_> = (1..20).map(|seed| plan(seed, SIZE)).collect();
    assert!(plans.windows(2).all(|pair| pair[0] != pair[1]));
    for step in plans.iter().flatten() {
        assert!(step.start_ms <= FAULT_WINDOW_MS && step.duration_ms > 0, "{step:?}");
    }
    let planned = plan(4, SIZE);
    assert!(planned.iter().all(|step| step.fault.is_planned()), "{planned:?}");
    let kinds = plans.iter().flatten().filter(|step| !step.fault.is_planned()).count();
    assert!(kinds > plans.len(), "seeds without unplanned faults: {kinds}");
}
