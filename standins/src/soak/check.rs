//! The promises, checked against what callers and workers saw. Pure.

use std::time::Duration;
use std::time::Instant;

use crate::platform::worker::Run;
use crate::platform::worker::events;
use crate::soak::callers::RequestEnd;
use crate::soak::callers::RequestKind;
use crate::soak::callers::SentRequest;
use crate::soak::plan::Fault;
use crate::soak::site::ROUTE_TIMEOUT_MS;

/// Events of a whole stream.
pub const EVENTS_PER_STREAM: u64 = 10;
/// Time for which nothing may have failed before a promise with a time bound holds (`ContactMs`).
pub const FAULT_FREE_TIME: Duration = Duration::from_millis(3000);
/// Time in which an acknowledged configuration has to be in force (`ConfigApplyMs`).
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2000);
/// Time after which a leaving worker gets nothing new (`DrainMs`).
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time in which the work for a caller that left ends, and that a request may stay unanswered after
/// its route's time limit, by the platform's rules.
const COMPLETION_SLACK: Duration = Duration::from_millis(500);
/// Time after its last byte for which a request may cross the end of an idle connection
/// (`LossSlackMs`).
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(200);
/// Requests of a caller that may run on more workers than the route allows, by the platform's rules.
const MAX_EXCESS_REQUESTS: usize = 3;
/// Most workers of one request, as the deployment's routes have it.
const MAX_ATTEMPTS: usize = 2;
/// Share of the work for callers that left which may go on for longer, by the platform's rules.
const MAX_LATE_SHARE: f64 = 0.25;
/// Requests that a share is taken of at least.
const MIN_SAMPLE_SIZE: usize = 8;
/// Memory of a worker, in MB, as the deployment has it.
const WORKER_MEMORY_MB: u64 = 200;

/// A time during which something was harmed.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// What it was.
    pub fault: Fault,
    /// Start.
    pub from: Instant,
    /// End.
    pub to: Instant,
}

/// One start of a worker.
#[derive(Clone, Debug)]
pub struct WorkerObservations {
    /// Id.
    pub id: String,
    /// Runs.
    pub runs: Vec<Run>,
    /// Fencing numbers of accepted orders.
    pub fences: Vec<u64>,
    /// Most memory in use, in MB.
    pub peak_mb: u64,
    /// Time at which the store took the record that says that it leaves.
    pub leaving_since: Option<Instant>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests.
    pub requests: Vec<SentRequest>,
    /// Starts of workers.
    pub workers: Vec<WorkerObservations>,
    /// Faults and planned work.
    pub fault_periods: Vec<FaultPeriod>,
    /// Versions of the configuration with the time of their acknowledgement.
    pub config_versions: Vec<(u64, Instant)>,
    /// Starts of instances.
    pub instance_starts: Vec<(usize, Instant)>,
    /// Instances that ended though nobody stopped them.
    pub unexpected_exits: Vec<usize>,
    /// Failed requests that no log names.
    pub unlogged_failures: Vec<String>,
    /// Time from which everything has to be served again.
    pub recovery_deadline: Option<Instant>,
}

/// A broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Which.
    pub guarantee: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Returns the promises that were broken.
pub fn find_violations(seen: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut tell = |promise: &'static str, detail: String| {
        found.push(Violation { guarantee: promise, detail })
    };
    let runs = runs_by_id(seen);
    check_responses(seen, &mut tell);
    check_attempts(seen, &runs, &mut tell);
    check_run_requests(seen, &runs, &mut tell);
    check_workers(seen, &mut tell);
    check_time_limits(seen, &mut tell);
    check_cancellation(seen, &runs, &mut tell);
    check_planned_work(seen, &runs, &mut tell);
    check_configuration(seen, &mut tell);
    check_leaving_workers(seen, &mut tell);
    check_recovery(seen, &mut tell);
    for instance in &seen.unexpected_exits {
        tell("instances end only when told to", format!("instance {instance}"));
    }
    for id in &seen.unlogged_failures {
        tell("each failed request is in a log", id.clone());
    }
    found
}

type RunsById<'a> = Vec<(&'a str, Vec<&'a Run>)>;

fn runs_by_id(seen: &Observations) -> RunsById<'_> {
    let mut all: Vec<&Run> = seen.workers.iter().flat_map(|worker| &worker.runs).collect();
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

/// A success is a worker's own whole answer to this request; what broke off never looks whole.
fn check_responses(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    for sent in &seen.requests {
        let RequestEnd::Answered { status_code, id, receipt, body, complete: whole } = &sent.end
        else {
            continue;
        };
        let Some(receipt) = receipt else {
            if *status_code < 300 {
                tell("a success is a worker's", format!("{}: no receipt", sent.id));
            }
            continue;
        };
        let worker = receipt.trim_start_matches("seal-");
        let method = if matches!(sent.kind, RequestKind::Book) { "POST" } else { "GET" };
        let expected = match sent.kind {
            RequestKind::StreamOnce | RequestKind::StreamAgain => events(EVENTS_PER_STREAM),
            _ => format!("{method} {} by {worker}", sent.path),
        };
        // Workers fail with this status only.
        let sound = match *status_code {
            200 if *whole => *body == expected,
            200 => expected.starts_with(body.as_str()),
            status_code => status_code == 500,
        };
        if !sound || id.as_deref().is_some_and(|id| id != sent.id) {
            tell("an answer is the worker's own and whole", format!("{sent:?}"));
        }
    }
}

fn check_attempts(
    seen: &Observations,
    runs: &RunsById<'_>,
    tell: &mut impl FnMut(&'static str, String),
) {
    let mut beyond = 0;
    for sent in &seen.requests {
        let times = runs_of(runs, &sent.id).len();
        if !sent.kind.may_repeat() && times > 1 {
            tell("runs at most once", format!("{} ran {times} times", sent.id));
        }
        let RequestEnd::Answered { status_code, receipt: None, .. } = &sent.end else { continue };
        let promised = matches!(status_code, 408 | 421 | 429 | 503);
        if !sent.kind.may_repeat() && promised && times > 0 {
            tell("a refused call has not run", format!("{}: {status_code}, ran", sent.id));
        }
        // Every configuration of the run allows all these requests.
        if matches!(status_code, 400..500)
            && !promised
            && !matches!(sent.kind, RequestKind::Probe(_))
        {
            tell("proper requests are not denied", format!("{}: {status_code}", sent.id));
        }
    }
    for (_, times) in runs {
        beyond += usize::from(times.len() > MAX_ATTEMPTS);
    }
    if beyond > MAX_EXCESS_REQUESTS {
        tell("attempts are bounded", format!("{beyond} requests ran on too many workers"));
    }
}

fn check_run_requests(
    seen: &Observations,
    runs: &RunsById<'_>,
    tell: &mut impl FnMut(&'static str, String),
) {
    let mut known: Vec<(&str, &str)> =
        seen.requests.iter().map(|sent| (sent.id.as_str(), sent.path.as_str())).collect();
    known.sort_unstable();
    for (id, times) in runs {
        let path = known.binary_search_by(|(known, _)| known.cmp(id)).map(|at| known[at].1);
        if path.is_err()
            || times.iter().any(|run| run.has_forged_headers || path != Ok(run.path.as_str()))
        {
            tell("only what callers sent runs", format!("{id}: {times:?}"));
        }
    }
}

fn check_workers(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    for worker in &seen.workers {
        if worker.peak_mb > WORKER_MEMORY_MB {
            tell("memory is never exceeded", format!("{}: {} MB", worker.id, worker.peak_mb));
        }
        if worker.fences.windows(2).any(|pair| pair[0] > pair[1]) {
            tell("fencing numbers never fall", format!("{}: {:?}", worker.id, worker.fences));
        }
    }
}

/// Requests still unanswered at their route's limit are answered half a second later, mostly.
fn check_time_limits(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    let limit = Duration::from_millis(ROUTE_TIMEOUT_MS);
    let reached = |sent: &&SentRequest| {
        sent.end != RequestEnd::CallerDisconnected
            && sent.ended_at - sent.sent_at >= limit
            && is_instance_undisturbed(seen, sent.instance, sent.sent_at, sent.ended_at)
    };
    let reached: Vec<&SentRequest> = seen.requests.iter().filter(reached).collect();
    let late =
        reached.iter().filter(|sent| sent.ended_at - sent.sent_at > limit + COMPLETION_SLACK);
    let late: Vec<&str> = late.map(|sent| sent.id.as_str()).collect();
    if late.len() >= MIN_SAMPLE_SIZE / 2 && late.len() * 2 > reached.len() {
        tell("answered at the time limit", format!("{late:?} of {} are late", reached.len()));
    }
}

fn check_cancellation(
    seen: &Observations,
    runs: &RunsById<'_>,
    tell: &mut impl FnMut(&'static str, String),
) {
    let (mut stopped, mut late) = (0, Vec::new());
    for sent in seen
        .requests
        .iter()
        .filter(|sent| sent.end == RequestEnd::CallerDisconnected && sent.kind.may_repeat())
    {
        if !no_fault_during(seen, sent.sent_at, sent.ended_at + COMPLETION_SLACK, |_| true) {
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
        tell("the work of callers that left ends", format!("{late:?} of {all} go on"));
    }
}

/// Around planned work alone, no request is lost.
fn check_planned_work(
    seen: &Observations,
    runs: &RunsById<'_>,
    tell: &mut impl FnMut(&'static str, String),
) {
    for sent in &seen.requests {
        let broken = match &sent.end {
            RequestEnd::Unanswered => true,
            RequestEnd::Answered { complete: whole, .. } => !whole,
            RequestEnd::CallerDisconnected => false,
        };
        if !broken
            || !no_fault_during(seen, sent.sent_at, sent.ended_at, |fault| !fault.is_planned())
        {
            continue;
        }
        // A request may cross the end of a connection on which nothing waited.
        let crossed =
            sent.end == RequestEnd::Unanswered && sent.ended_at <= sent.sent_at + IDLE_CLOSE_WINDOW;
        if !crossed || !runs_of(runs, &sent.id).is_empty() {
            tell("planned work loses no request", format!("{sent:?}"));
        }
    }
}

fn check_configuration(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    // Per instance: the start of its process and the newest version that it showed.
    let mut shown: Vec<(usize, Instant, u64, Instant)> = Vec::new();
    let mut probes: Vec<(&SentRequest, u64, bool)> = Vec::new();
    for sent in &seen.requests {
        if let (RequestKind::Probe(version), RequestEnd::Answered { status_code, .. }) =
            (sent.kind, &sent.end)
        {
            probes.push((sent, version, *status_code != 404));
        }
    }
    probes.sort_by_key(|(sent, _, _)| sent.sent_at);
    for (sent, version, known) in probes {
        let starts = seen.instance_starts.iter().filter(|(at, _)| *at == sent.instance);
        let Some((_, start)) = starts.filter(|(_, time)| *time <= sent.sent_at).max() else {
            continue;
        };
        if !known {
            let acknowledged = seen.config_versions.iter().find(|(one, _)| *one == version);
            let due =
                acknowledged.is_some_and(|(_, time)| sent.sent_at > *time + CONFIG_APPLY_TIME);
            if due && is_instance_undisturbed(seen, sent.instance, sent.sent_at, sent.ended_at) {
                tell("a configuration is soon in force", format!("{sent:?}"));
            }
            let older = shown.iter().any(|(instance, one, newest, since)| {
                *instance == sent.instance
                    && one == start
                    && *newest >= version
                    && sent.sent_at > *since
            });
            if older {
                tell("a configuration is never followed by an older one", format!("{sent:?}"));
            }
            continue;
        }
        shown.push((sent.instance, *start, version, sent.ended_at));
    }
}

fn check_leaving_workers(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    for worker in &seen.workers {
        let Some(left) = worker.leaving_since else { continue };
        for run in worker.runs.iter().filter(|run| run.started_at > left + DRAIN_TIME) {
            let sent = seen.requests.iter().find(|sent| sent.id == run.id);
            let bound = sent.is_some_and(|sent| {
                is_instance_undisturbed(seen, sent.instance, left, run.started_at)
            });
            if bound {
                tell("a leaving worker gets nothing new", format!("{}: {run:?}", worker.id));
            }
        }
    }
}

/// Once all faults are over for a while, every request is served.
fn check_recovery(seen: &Observations, tell: &mut impl FnMut(&'static str, String)) {
    let Some(recovered) = seen.recovery_deadline else { return };
    for sent in seen.requests.iter().filter(|sent| sent.sent_at >= recovered) {
        let served = match &sent.end {
            RequestEnd::Answered { status_code, complete: whole, .. } => {
                *status_code == 200 && *whole
            }
            RequestEnd::Unanswered => false,
            RequestEnd::CallerDisconnected => true,
        };
        if !served {
            tell("everything is served again", format!("{sent:?}"));
        }
    }
}

/// Tells whether nothing that `counts` happened from `CONTACT` before `from` to `to`.
fn no_fault_during(
    seen: &Observations,
    from: Instant,
    to: Instant,
    counts: impl Fn(Fault) -> bool,
) -> bool {
    let overlaps =
        |trouble: &&FaultPeriod| trouble.from <= to && trouble.to + FAULT_FREE_TIME >= from;
    !seen.fault_periods.iter().filter(overlaps).any(|trouble| counts(trouble.fault))
}

/// Tells whether an instance ran undisturbed, and the store with it, from `CONTACT` before `from` to
/// `to`. Workers may have failed.
fn is_instance_undisturbed(
    seen: &Observations,
    instance: usize,
    from: Instant,
    to: Instant,
) -> bool {
    no_fault_during(seen, from, to, |fault| match fault {
        Fault::Terminate(at)
        | Fault::Kill(at)
        | Fault::Pause(at)
        | Fault::StoreLink(at, _)
        | Fault::CallerLink(at, _) => at == instance,
        Fault::Store(_) | Fault::ExpireWorkers | Fault::TruncateHistory => true,
        // Answers that are late at a worker may lie with its link.
        Fault::WorkerLink(..) => true,
        Fault::ReloadSettings(_)
        | Fault::Configure
        | Fault::ReplaceWorker(_)
        | Fault::WorkerBehavior(..)
        | Fault::CrashWorker(_) => false,
    })
}
