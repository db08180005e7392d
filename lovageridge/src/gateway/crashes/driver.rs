//! I/O driver of the crash ledger: confirms crashes, exchanges observations with other instances and
//! refuses requests with blocked parts.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::connection;
use crate::gateway::crashes::CrashLedger;
use crate::gateway::crashes::CrashState;
use crate::gateway::crashes::PartReport;
use crate::gateway::crashes::SURVIVAL_MS;
use crate::gateway::crashes::Survival;
use crate::gateway::crashes::persist::claim_probe;
use crate::gateway::eventlog::Severity;
use crate::gateway::message_fields::PromptPart;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver::send;
use crate::gateway::peers::driver::send_to_all;
use crate::gateway::response::Refusal;
use crate::sorted::Table;
use crate::telemetry::events;

/// Timeout of connecting to a worker whose connection broke.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of such attempts; a process that ends may close its connections before its port.
const CHECKS: u32 = 2;
/// Pause between them.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Shortest Retry-After for a blocked part, in ms.
const RETRY_AFTER_MIN_MS: u64 = 1000;

/// Longest time for which a further send of a request waits for the check of its last worker; a connection is
/// refused within a round trip.
const CHECK_WAIT_MAX: Duration = Duration::from_millis(100);

/// A check whether a worker has crashed, while it goes on.
struct Check {
    requests: Vec<BeginningRequest>,
    // Whether the first attempt to connect has ended: a crash is mostly known by then.
    is_attempted: bool,
}

/// A request whose response had just begun, or had not yet, when its connection broke.
struct BeginningRequest {
    id: String,
    parts: Vec<PromptPart>,
    // Process of the worker that it was sent to.
    process: u64,
}

/// The crash ledger of an instance and the state of its driver.
#[derive(Default)]
pub struct CrashTracker {
    /// Observations and blocked parts.
    pub ledger: RefCell<CrashLedger>,
    // By worker.
    checks: RefCell<Table<String, Check>>,
    check_attempted: Notify,
    // Digest of the blocked parts that the store is known to hold.
    pub(super) stored_digest: Cell<u64>,
    // All crashes that the store is known to hold.
    pub(super) stored_crashes: RefCell<Vec<CrashState>>,
    // Whether this instance saw what changed the blocked parts last.
    pub(super) is_origin: Cell<bool>,
    pub(super) verdicts_changed_ms: Cell<u64>,
    pub(super) store_due: Notify,
    // Whether the store has to be read: at the start, and after a crash that no blocked part explains.
    pub(super) is_read_due: Cell<bool>,
    pub(super) next_claim_ms: Cell<u64>,
}

/// Records that the connection to a worker broke during a request. `first_data_ms` is the monotonic
/// time of the first data of the response, in ms, if there was any.
pub fn on_interrupted(
    gateway: &Rc<Gateway>,
    call: &Call,
    in_flight: &InFlight,
    first_data_ms: Option<u64>,
) {
    let now_ms = gateway.now_ms();
    let had_begun = first_data_ms.is_some_and(|at_ms| now_ms >= at_ms + SURVIVAL_MS);
    let parts = &call.fields.prompt_parts;
    if had_begun || parts.is_empty() {
        return;
    }
    let Some(process) = in_flight.process else { return };
    let worker_id = in_flight.worker_id.as_str();
    let addr = {
        let directory = gateway.directory.borrow();
        // Workers that leave end the streams that they still have.
        let worker = directory.get(worker_id).filter(|worker| !worker.is_leaving());
        let Some(worker) = worker else { return };
        worker.record.addr
    };
    let request = BeginningRequest { id: call.id().to_owned(), parts: parts.clone(), process };
    let mut checks = gateway.crashes.checks.borrow_mut();
    if let Some(check) = checks.get_mut(worker_id) {
        return check.requests.push(request);
    }
    checks.insert(worker_id.to_owned(), Check { requests: vec![request], is_attempted: false });
    let (gateway, worker_id) = (Rc::clone(gateway), worker_id.to_owned());
    tokio::task::spawn_local(async move { check_worker(&gateway, &worker_id, addr).await });
}

/// Returns whether no process listens on `addr`, after [`CHECKS`] attempts to connect with pauses between them.
/// `on_accepted` is called after each attempt that did not show it.
async fn refuses_connections(addr: SocketAddr, on_accepted: impl Fn()) -> bool {
    for attempt in 0..CHECKS {
        if attempt > 0 {
            tokio::time::sleep(CHECK_PAUSE).await;
        }
        if connection::is_refused(addr, CHECK_TIMEOUT).await {
            return true;
        }
        on_accepted();
    }
    false
}

/// Waits until it is known whether those of `worker_ids` whose connections broke have crashed, so that a request
/// is not sent on after the crash that blocks a part of its prompt.
pub async fn wait_for_checks(gateway: &Gateway, worker_ids: &[String]) {
    let tracker = &gateway.crashes;
    let is_unknown = || {
        let checks = tracker.checks.borrow();
        worker_ids.iter().any(|id| checks.get(id).is_some_and(|check| !check.is_attempted))
    };
    let waiting = async {
        loop {
            let attempted = tracker.check_attempted.notified();
            if !is_unknown() {
                return;
            }
            attempted.await;
        }
    };
    // After that time, the request goes on without the result.
    let _ = timeout(CHECK_WAIT_MAX, waiting).await;
}

/// Checks whether a worker has crashed; if so, records it for the requests that were beginning.
async fn check_worker(gateway: &Gateway, worker_id: &str, addr: SocketAddr) {
    let tracker = &gateway.crashes;
    let on_accepted = || {
        if let Some(check) = tracker.checks.borrow_mut().get_mut(worker_id) {
            check.is_attempted = true;
        }
        tracker.check_attempted.notify_waiters();
    };
    let has_crashed = refuses_connections(addr, on_accepted).await;
    let check = tracker.checks.borrow_mut().remove(worker_id);
    let requests = check.map(|check| check.requests).unwrap_or_default();
    tracker.check_attempted.notify_waiters();
    let line = gateway.log.line(events::WORKER_CRASH_CHECKED, Severity::Notable);
    line.text("worker", worker_id)
        .text("crashed", has_crashed)
        .number("requests", requests.len() as u64)
        .emit();
    if !has_crashed {
        return;
    }
    let now_ms = gateway.now_ms();
    gateway.pool.borrow_mut().remove_worker(worker_id);
    if let Some(worker) = gateway.directory.borrow_mut().get_mut(worker_id) {
        worker.health.on_unreachable(now_ms);
    }
    let mut parts: Vec<PromptPart> = Vec::new();
    let mut is_unexplained = false;
    update(gateway, true, |ledger| {
        for request in &requests {
            is_unexplained |= ledger.blocked_among(&request.parts).is_empty();
            if ledger.on_crash(request.process, &request.id, &request.parts, now_ms) {
                parts.extend(&request.parts);
            }
        }
    });
    if is_unexplained {
        gateway.crashes.is_read_due.set(true);
        gateway.crashes.store_due.notify_one();
    }
    broadcast(gateway, parts);
}

/// Records that the response to a request with `parts` has outlasted its beginning, at the monotonic
/// time `began_ms`, in ms.
pub fn on_survival(gateway: &Gateway, parts: &[PromptPart], began_ms: u64) {
    if parts.is_empty() {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut survival = Survival::Unsuspected;
    update(gateway, true, |ledger| survival = ledger.on_survival(parts, began_ms, now_ms));
    if survival == Survival::Acquitted {
        broadcast(gateway, parts.to_vec());
    }
}

/// Applies observations of another instance.
pub fn on_evidence(gateway: &Gateway, reports: &[PartReport]) {
    let now_ms = gateway.now_ms();
    update(gateway, false, |ledger| {
        ledger.merge(reports, now_ms);
    });
}

/// Compares the digest of another instance's ledger with the own one, and sends what is known here if
/// they differ.
pub fn on_digest(gateway: &Gateway, digest: u64, reply_requested: bool, from: SocketAddr) {
    let ledger = gateway.crashes.ledger.borrow();
    let own = ledger.digest();
    if own == digest {
        return;
    }
    if !ledger.is_empty() {
        send(gateway, from, Payload::CrashEvidence(ledger.reports(gateway.now_ms())));
    }
    if reply_requested {
        send(gateway, from, Payload::EvidenceDigest { digest: own, reply_requested: false });
    }
}

/// Sends the digest of the ledger to an instance that has sent a heartbeat, unless it is empty.
pub fn send_digest(gateway: &Gateway, to: SocketAddr) {
    let ledger = gateway.crashes.ledger.borrow();
    if !ledger.is_empty() {
        let digest = ledger.digest();
        send(gateway, to, Payload::EvidenceDigest { digest, reply_requested: true });
    }
}

/// Sends the observations about `parts` to all instances.
pub(super) fn broadcast(gateway: &Gateway, mut parts: Vec<PromptPart>) {
    parts.sort_unstable();
    parts.dedup();
    let mut reports = gateway.crashes.ledger.borrow().reports(gateway.now_ms());
    reports.retain(|report| parts.binary_search(&report.part).is_ok());
    if !reports.is_empty() {
        send_to_all(gateway, Payload::CrashEvidence(reports));
    }
}

/// Changes the ledger and reports changes of the blocked parts. `is_origin` tells whether this
/// instance observed the change itself.
pub(super) fn update(gateway: &Gateway, is_origin: bool, change: impl FnOnce(&mut CrashLedger)) {
    let mut ledger = gateway.crashes.ledger.borrow_mut();
    let before = ledger.blocked().to_vec();
    change(&mut ledger);
    let metrics = &gateway.metrics;
    metrics.suspected_parts.set(ledger.suspected_count() as i64);
    if before == ledger.blocked() {
        return;
    }
    metrics.blocked_parts.set(ledger.blocked().len() as i64);
    for part in ledger.blocked().iter().filter(|part| !before.contains(part)) {
        gateway.log.line(events::PART_BLOCKED, Severity::Notable).text("part", part).emit();
    }
    for part in before.iter().filter(|part| !ledger.blocked().contains(part)) {
        gateway.log.line(events::PART_UNBLOCKED, Severity::Notable).text("part", part).emit();
    }
    drop(ledger);
    let tracker = &gateway.crashes;
    tracker.is_origin.set(is_origin);
    tracker.verdicts_changed_ms.set(gateway.now_ms());
    tracker.store_due.notify_one();
    gateway.state_changed.notify_waiters();
}

/// Result of checking the prompt parts of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The request has just become the probe of a blocked part. That took calls to the store, so its
    /// worker has to be chosen anew.
    ProbeClaimed,
}

/// Refuses a request with a blocked part, unless the part is due to be tried again. `was_sent` tells
/// whether the request was sent to a worker before, `can_be_sent` whether a worker can take it now.
///
/// # Errors
/// Returns the refusal.
pub async fn admit(
    gateway: &Gateway,
    call: &Call,
    was_sent: bool,
    can_be_sent: bool,
) -> Result<Admission, Refusal> {
    let blocked = gateway.crashes.ledger.borrow().blocked_among(&call.fields.prompt_parts);
    if blocked.is_empty() || (call.is_probe.get() && !was_sent) {
        return Ok(Admission::Admitted);
    }
    if let [part] = blocked[..]
        && !was_sent
        && can_be_sent
        && claim_probe(gateway, part).await
    {
        call.is_probe.set(true);
        let line = gateway.log.line(events::PART_PROBED, Severity::Notable);
        line.text("part", part).text("request", call.id()).emit();
        return Ok(Admission::ProbeClaimed);
    }
    gateway.metrics.blocked_requests_total.inc();
    let now_ms = gateway.now_ms();
    let ledger = gateway.crashes.ledger.borrow();
    let due_in_ms = blocked.iter().map(|part| ledger.probe_due_in_ms(*part, now_ms)).max();
    let retry_after_ms = due_in_ms.unwrap_or(0).max(RETRY_AFTER_MIN_MS);
    Err(Refusal::not_run("a part of the prompt crashes workers", retry_after_ms))
}
