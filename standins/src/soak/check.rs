//! Checks the guarantees against what callers and workers observed. Does no I/O.

use std::time::Duration;
use std::time::Instant;

use crate::platform::worker::Run;
use crate::platform::worker::events;
use crate::soak::callers::RequestEnd;
use crate::soak::callers::RequestKind;
use crate::soak::callers::SentRequest;
use crate::soak::plan::Fault;
use crate::soak::site::ROUTE_TIMEOUT_MS;

/// Events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 10;
/// Time without faults after which guarantees with a time limit apply (`ContactMs`).
pub const FAULT_FREE_TIME: Duration = Duration::from_millis(3000);
/// Time within which an acknowledged configuration has to take effect (`ConfigApplyMs`).
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2000);
/// Time after which a leaving worker gets no new requests (`DrainMs`).
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// By the platform's rules, the time within which work has to end after its caller disconnected, and
/// the time after the route's limit within which a request has to be answered.
const COMPLETION_SLACK: Duration = Duration::from_millis(500);
/// Time after its last byte within which a request may be lost because the instance closes the idle
/// connection at the same moment (`LossSlackMs`).
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(200);
/// Requests that may run on more workers than the route allows, by the platform's rules.
const MAX_EXCESS_REQUESTS: usize = 3;
/// Maximum attempts of a request, as configured on the routes of the deployment.
const MAX_ATTEMPTS: usize = 2;
/// Share of the work of disconnected callers that may end late, by the platform's rules.
const MAX_LATE_SHARE: f64 = 0.25;
/// Minimum number of requests for a check of a share.
const MIN_SAMPLE_SIZE: usize = 8;
/// Number of crashes from which on requests with a part that crashes workers are limited, by the platform's rules.
const CRASHES_BEFORE_LIMIT: usize = 5;
/// Number of such requests that may still reach workers.
const MAX_LATE_RUNS: usize = 3;
/// Window in which the requests to a worker that limits them are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Multiple of its limit that may arrive in the window, by the platform's rules.
const LIMIT_FACTOR: f64 = 1.5;
/// Number of requests that may arrive beyond that.
const LIMIT_SLACK: f64 = 5.0;
/// Memory of a worker, in MB, as in the specification of the deployment's engine workers.
const WORKER_MEMORY_MB: u64 = 200;

/// Period during which a fault or planned work was in effect.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// Fault or planned work.
    pub fault: Fault,
    /// Start of the period.
    pub from: Instant,
    /// End of the period.
    pub to: Instant,
}

/// A limit that a worker states on the rate of its requests.
#[derive(Clone, Copy, Debug)]
pub struct StatedLimit {
    /// Requests a second from all instances together; `None` if it states no limit any longer.
    pub per_s: Option<f64>,
    /// Time from which on it states it.
    pub since: Instant,
}

/// What one worker process observed; a worker that is started again is a new one.
#[derive(Clone, Debug)]
pub struct WorkerObservations {
    /// Worker id.
    pub id: String,
    /// Requests that it ran.
    pub runs: Vec<Run>,
    /// Fencing numbers of the orders that it accepted, in order.
    pub fences: Vec<u64>,
    /// Peak memory use, in MB.
    pub peak_mb: u64,
    /// Time at which the store had the worker's record with the state `draining`; `None` while it is
    /// in service.
    pub leaving_since: Option<Instant>,
    /// Limits that it stated, in order.
    pub limits: Vec<StatedLimit>,
}

/// Everything that a run recorded for the checks.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests that callers sent.
    pub requests: Vec<SentRequest>,
    /// Observations of the workers, one entry for each start.
    pub workers: Vec<WorkerObservations>,
    /// Periods of faults and planned work.
    pub fault_periods: Vec<FaultPeriod>,
    /// Versions of the configuration with the time at which the store acknowledged them.
    pub config_versions: Vec<(u64, Instant)>,
    /// Index and time of each start of an instance.
    pub instance_starts: Vec<(usize, Instant)>,
    /// Indices of instances that exited although they were not stopped.
    pub unexpected_exits: Vec<usize>,
    /// Ids of failed requests that are missing from the log of their instance.
    pub unlogged_failures: Vec<String>,
    /// Time from which every request has to be served; `None` when this is not checked.
    pub recovery_deadline: Option<Instant>,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Observation that violates it.
    pub detail: String,
}

/// Checks all guarantees and returns the violations.
pub fn find_violations(observed: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut report =
        |guarantee: &'static str, detail: String| found.push(Violation { guarantee, detail });
    let runs = runs_by_id(observed);
    check_responses(observed, &mut report);
    check_attempts(observed, &runs, &mut report);
    check_run_requests(observed, &runs, &mut report);
    check_workers(observed, &mut report);
    check_time_limits(observed, &mut report);
    check_cancellation(observed, &runs, &mut report);
    check_planned_work(observed, &runs, &mut report);
    check_configuration(observed, &mut report);
    check_leaving_workers(observed, &mut report);
    check_crashing_part(observed, &mut report);
    check_limits(observed, &mut report);
    check_recovery(observed, &mut report);
    for instance in &observed.unexpected_exits {
        report("instances exit only when stopped", format!("instance {instance}"));
    }
    for id in &observed.unlogged_failures {
        report("every failed request is logged", id.clone());
    }
    found
}

type RunsById<'a> = Vec<(&'a str, Vec<&'a Run>)>;

fn runs_by_id(observed: &Observations) -> RunsById<'_> {
    let mut all: Vec<&Run> = observed.workers.iter().flat_map(|worker| &worker.runs).collect();
    all.sort_by(|a, b| a.id.cmp(&b.id));
    let groups = all.chunk_by(|a, b| a.id == b.id);
    groups.map(|group| (group[0].id.as_str(), group.to_vec())).collect()
}

fn runs_of<'a, 'b>(runs: &'b RunsById<'a>, id: &str) -> &'b [&'a Run] {
    match runs.binary_search_by(|(known, _)| known.cmp(&id)) {
        Ok(at) => &runs[at].1,
        Err(_) => &[],
    }
}

/// A successful response is a worker's complete response to this request, and a truncated response
/// never looks complete.
fn check_responses(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    for sent in &observed.requests {
        let RequestEnd::Answered { status_code, id, receipt, body, complete } = &sent.end else {
            continue;
        };
        let Some(receipt) = receipt else {
            if *status_code < 300 {
                report("every success comes from a worker", format!("{}: no receipt", sent.id));
            }
            continue;
        };
        let worker = receipt.trim_start_matches("seal-");
        let method = if matches!(sent.kind, RequestKind::Book) { "POST" } else { "GET" };
        let expected = match sent.kind {
            RequestKind::StreamOnce | RequestKind::StreamAgain => events(EVENTS_PER_STREAM),
            _ => format!("{method} {} by {worker}", sent.path),
        };
        // 500 is the only failure status that workers send with a receipt.
        let is_valid = match *status_code {
            200 if *complete => *body == expected,
            200 => expected.starts_with(body.as_str()),
            status_code => status_code == 500,
        };
        if !is_valid || id.as_deref().is_some_and(|id| id != sent.id) {
            report("a response is complete and from its worker", format!("{sent:?}"));
        }
    }
}

fn check_attempts(
    observed: &Observations,
    runs: &RunsById<'_>,
    report: &mut impl FnMut(&'static str, String),
) {
    let mut excess = 0;
    for sent in &observed.requests {
        let times = runs_of(runs, &sent.id).len();
        if !sent.kind.may_repeat() && times > 1 {
            report(
                "a non-idempotent request runs at most once",
                format!("{} ran {times} times", sent.id),
            );
        }
        let RequestEnd::Answered { status_code, receipt: None, .. } = &sent.end else { continue };
        let refused = matches!(status_code, 408 | 421 | 429 | 503);
        if !sent.kind.may_repeat() && refused && times > 0 {
            report("a refused request has not run", format!("{}: {status_code}, ran", sent.id));
        }
        // Every configuration of the run has the routes of these requests; the route of a probe may
        // be missing.
        if matches!(status_code, 400..500)
            && !refused
            && !matches!(sent.kind, RequestKind::Probe(_))
        {
            report("valid requests are not rejected", format!("{}: {status_code}", sent.id));
        }
    }
    for (_, times) in runs {
        excess += usize::from(times.len() > MAX_ATTEMPTS);
    }
    if excess > MAX_EXCESS_REQUESTS {
        report(
            "attempts per request are limited",
            format!("{excess} requests ran on too many workers"),
        );
    }
}

fn check_run_requests(
    observed: &Observations,
    runs: &RunsById<'_>,
    report: &mut impl FnMut(&'static str, String),
) {
    let mut known: Vec<(&str, &str)> =
        observed.requests.iter().map(|sent| (sent.id.as_str(), sent.path.as_str())).collect();
    known.sort_unstable();
    for (id, times) in runs {
        let path = known.binary_search_by(|(known, _)| known.cmp(id)).map(|at| known[at].1);
        if path.is_err()
            || times.iter().any(|run| run.has_forged_headers || path != Ok(run.path.as_str()))
        {
            report("workers run only requests that callers sent", format!("{id}: {times:?}"));
        }
    }
}

fn check_workers(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    for worker in &observed.workers {
        if worker.peak_mb > WORKER_MEMORY_MB {
            report(
                "worker memory is never exceeded",
                format!("{}: {} MB", worker.id, worker.peak_mb),
            );
        }
        if worker.fences.windows(2).any(|pair| pair[0] > pair[1]) {
            report("fencing numbers never decrease", format!("{}: {:?}", worker.id, worker.fences));
        }
    }
}

/// Most requests that are still unanswered at their route's time limit have to be answered within
/// `COMPLETION_SLACK`.
fn check_time_limits(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let limit = Duration::from_millis(ROUTE_TIMEOUT_MS);
    let reached = |sent: &&SentRequest| {
        sent.end != RequestEnd::CallerDisconnected
            && sent.ended_at - sent.sent_at >= limit
            && is_instance_undisturbed(observed, sent.instance, sent.sent_at, sent.ended_at)
    };
    let reached: Vec<&SentRequest> = observed.requests.iter().filter(reached).collect();
    let late =
        reached.iter().filter(|sent| sent.ended_at - sent.sent_at > limit + COMPLETION_SLACK);
    let late: Vec<&str> = late.map(|sent| sent.id.as_str()).collect();
    if late.len() >= MIN_SAMPLE_SIZE / 2 && late.len() * 2 > reached.len() {
        report(
            "requests are answered at their time limit",
            format!("{late:?} of {} are late", reached.len()),
        );
    }
}

fn check_cancellation(
    observed: &Observations,
    runs: &RunsById<'_>,
    report: &mut impl FnMut(&'static str, String),
) {
    let (mut stopped, mut late) = (0, Vec::new());
    for sent in observed
        .requests
        .iter()
        .filter(|sent| sent.end == RequestEnd::CallerDisconnected && sent.kind.may_repeat())
    {
        if !no_fault_during(observed, sent.sent_at, sent.ended_at + COMPLETION_SLACK, |_| true) {
            continue;
        }
        for run in runs_of(runs, &sent.id) {
            match run.ended_at {
                Some(ended) if ended <= sent.ended_at => {}
                Some(ended) if ended <= sent.ended_at + COMPLETION_SLACK => stopped += 1,
                _ => late.push(sent.id.as_str()),
            }
        }
    }
    let all = stopped + late.len();
    if all >= MIN_SAMPLE_SIZE && late.len() as f64 > all as f64 * MAX_LATE_SHARE {
        report("work ends after its caller disconnected", format!("{late:?} of {all} continued"));
    }
}

/// No request is lost while there is planned work but no fault.
fn check_planned_work(
    observed: &Observations,
    runs: &RunsById<'_>,
    report: &mut impl FnMut(&'static str, String),
) {
    for sent in &observed.requests {
        let lost = match &sent.end {
            RequestEnd::Unanswered => true,
            RequestEnd::Answered { complete, .. } => !complete,
            RequestEnd::CallerDisconnected => false,
        };
        if !lost
            || !no_fault_during(observed, sent.sent_at, sent.ended_at, |fault| !fault.is_planned())
        {
            continue;
        }
        // A request that is sent while the instance closes the idle connection may be lost.
        let lost_at_close =
            sent.end == RequestEnd::Unanswered && sent.ended_at <= sent.sent_at + IDLE_CLOSE_WINDOW;
        if !lost_at_close || !runs_of(runs, &sent.id).is_empty() {
            report("planned work loses no request", format!("{sent:?}"));
        }
    }
}

fn check_configuration(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    // Instance, start of its process, version whose route it served, time of that response.
    let mut served: Vec<(usize, Instant, u64, Instant)> = Vec::new();
    let mut probes: Vec<(&SentRequest, u64, bool)> = Vec::new();
    for sent in &observed.requests {
        if let (RequestKind::Probe(version), RequestEnd::Answered { status_code, .. }) =
            (sent.kind, &sent.end)
        {
            probes.push((sent, version, *status_code != 404));
        }
    }
    probes.sort_by_key(|(sent, _, _)| sent.sent_at);
    for (sent, version, known) in probes {
        let starts = observed.instance_starts.iter().filter(|(at, _)| *at == sent.instance);
        let Some((_, start)) = starts.filter(|(_, time)| *time <= sent.sent_at).max() else {
            continue;
        };
        if !known {
            let acknowledged = observed.config_versions.iter().find(|(one, _)| *one == version);
            let due =
                acknowledged.is_some_and(|(_, time)| sent.sent_at > *time + CONFIG_APPLY_TIME);
            if due && is_instance_undisturbed(observed, sent.instance, sent.sent_at, sent.ended_at)
            {
                report("a configuration takes effect in time", format!("{sent:?}"));
            }
            let reverted = served.iter().any(|(instance, one, newest, since)| {
                *instance == sent.instance
                    && one == start
                    && *newest >= version
                    && sent.sent_at > *since
            });
            if reverted {
                report("an instance never returns to an older configuration", format!("{sent:?}"));
            }
            continue;
        }
        served.push((sent.instance, *start, version, sent.ended_at));
    }
}

fn check_leaving_workers(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    for worker in &observed.workers {
        let Some(left) = worker.leaving_since else { continue };
        for run in worker.runs.iter().filter(|run| run.started_at > left + DRAIN_TIME) {
            let applies = find_request(observed, run).is_some_and(|sent| {
                is_instance_undisturbed(observed, sent.instance, left, run.started_at)
            });
            if applies {
                report("a leaving worker gets no new requests", format!("{}: {run:?}", worker.id));
            }
        }
    }
}

/// Few requests with the part that crashes workers reach workers once enough of these have crashed.
fn check_crashing_part(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let runs = observed.workers.iter().flat_map(|worker| &worker.runs);
    let mut bad: Vec<(&Run, &SentRequest)> =
        runs.filter_map(|run| Some((run, find_request(observed, run)?))).collect();
    bad.retain(|(_, sent)| sent.has_crashing_part);
    bad.sort_by_key(|(run, _)| run.started_at);
    let Some((fifth, _)) = bad.get(CRASHES_BEFORE_LIMIT - 1) else { return };
    let limited_from = fifth.started_at + FAULT_FREE_TIME;
    let is_late = |(run, sent): &&(&Run, &SentRequest)| {
        run.started_at > limited_from && is_sent_undisturbed(observed, run, sent)
    };
    let late: Vec<&str> = bad.iter().filter(is_late).map(|(run, _)| run.id.as_str()).collect();
    if late.len() > MAX_LATE_RUNS {
        let detail = format!("{late:?} of {} ran late", bad.len());
        report("requests that crash workers stop reaching them", detail);
    }
}

/// A worker that limits its requests gets few more from instances without a fault, once it has stated the limit
/// for `FAULT_FREE_TIME`.
fn check_limits(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    for worker in &observed.workers {
        let ends = worker.limits.iter().skip(1).map(|next| Some(next.since)).chain([None]);
        for (limit, end) in worker.limits.iter().zip(ends) {
            let Some(per_s) = limit.per_s else { continue };
            let from = limit.since + FAULT_FREE_TIME;
            let counts = |run: &&Run| {
                run.started_at >= from
                    && end.is_none_or(|end| run.started_at < end)
                    && find_request(observed, run)
                        .is_some_and(|sent| is_sent_undisturbed(observed, run, sent))
            };
            let counted = worker.runs.iter().filter(counts);
            let starts: Vec<Instant> = counted.map(|run| run.started_at).collect();
            let in_window = |from: &Instant| {
                starts.iter().filter(|at| **at >= *from && **at < *from + LIMIT_WINDOW).count()
            };
            let most = starts.iter().map(in_window).max().unwrap_or(0);
            if most as f64 > LIMIT_FACTOR * per_s * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK {
                let detail = format!("{}: {most} in 4 s at a limit of {per_s} a second", worker.id);
                report("a limit holds over all instances together", detail);
            }
        }
    }
}

fn find_request<'a>(observed: &'a Observations, run: &Run) -> Option<&'a SentRequest> {
    observed.requests.iter().find(|sent| sent.id == run.id)
}

/// Returns whether the instance that sent a request to a worker had no fault before the run.
fn is_sent_undisturbed(observed: &Observations, run: &Run, sent: &SentRequest) -> bool {
    is_instance_undisturbed(observed, sent.instance, run.started_at, run.started_at)
}

/// Every request is served after the deployment has had time to recover from the last fault.
fn check_recovery(observed: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let Some(recovered) = observed.recovery_deadline else { return };
    for sent in observed.requests.iter().filter(|sent| sent.sent_at >= recovered) {
        let served = match &sent.end {
            RequestEnd::Answered { status_code, complete, .. } => *status_code == 200 && *complete,
            RequestEnd::Unanswered => false,
            RequestEnd::CallerDisconnected => true,
        };
        if !served {
            report("every request is served after recovery", format!("{sent:?}"));
        }
    }
}

/// Returns whether no fault that `counts` selects was in effect between `FAULT_FREE_TIME` before
/// `from` and `to`.
fn no_fault_during(
    observed: &Observations,
    from: Instant,
    to: Instant,
    counts: impl Fn(Fault) -> bool,
) -> bool {
    let overlaps = |period: &&FaultPeriod| period.from <= to && period.to + FAULT_FREE_TIME >= from;
    !observed.fault_periods.iter().filter(overlaps).any(|period| counts(period.fault))
}

/// Returns whether the instance, the store and the links had no fault between `FAULT_FREE_TIME`
/// before `from` and `to`. Workers themselves may have failed.
fn is_instance_undisturbed(
    observed: &Observations,
    instance: usize,
    from: Instant,
    to: Instant,
) -> bool {
    no_fault_during(observed, from, to, |fault| match fault {
        Fault::Terminate(at)
        | Fault::Kill(at)
        | Fault::Pause(at)
        | Fault::StoreLink(at, _)
        | Fault::CallerLink(at, _) => at == instance,
        Fault::Store(_) | Fault::ExpireWorkers | Fault::TruncateHistory => true,
        // A faulty link to a worker can delay responses of any instance.
        Fault::WorkerLink(..) => true,
        Fault::ReloadSettings(_)
        | Fault::Configure
        | Fault::ReplaceWorker(_)
        | Fault::WorkerBehavior(..)
        | Fault::CrashWorker(_)
        | Fault::CrashingPart
        | Fault::LimitWorker(..) => false,
    })
}
