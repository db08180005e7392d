//! I/O driver of workers' limits: learns and spreads them, and requests and grants sends.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::directory::Worker;
use crate::gateway::eventlog::Severity;
use crate::gateway::limits::Grant;
use crate::gateway::limits::LimitReport;
use crate::gateway::limits::WAIT_MAX_MS;
use crate::gateway::limits::exchange::Receipt;
use crate::gateway::limits::exchange::ReceivedRequests;
use crate::gateway::limits::exchange::Requester;
use crate::gateway::limits::granting::GrantingView;
use crate::gateway::limits::granting::Requested;
use crate::gateway::limits::granting::UNANSWERED_MAX;
use crate::gateway::limits::is_news;
use crate::gateway::limits::schedules::ScheduledSend;
use crate::gateway::limits::schedules::Schedules;
use crate::gateway::message_fields::StatedLimit;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver::send;
use crate::gateway::peers::driver::send_to_all;
use crate::sorted::Table;
use crate::telemetry::events;

/// Time to wait for the answer of the granting instance before the request is repeated; a round trip
/// takes a few ms.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of times that it is sent to the same instance.
const GRANT_SENDS: u32 = 2;
/// Time for which a worker is not used when no instance granted a send, in ms.
const UNGRANTED_MS: u64 = 300;
/// Longest time for which a worker is not used after a send was denied, in ms.
const DENIED_MAX_MS: u64 = 5000;
/// Largest number of limits in a message.
const REPORTS_MAX: usize = 64;
/// Shortest time between two messages about the limit of the same worker, in ms.
const TELL_INTERVAL_MS: u64 = 250;

/// State of requesting and granting sends.
#[derive(Default)]
pub struct LimitTracker {
    schedules: RefCell<Schedules>,
    // Requests for sends that wait for an answer, by number.
    pending: RefCell<Table<u64, Waiting>>,
    last_number: Cell<u64>,
    received: RefCell<ReceivedRequests>,
    view: RefCell<GrantingView>,
}

/// A request for a send that waits for its answer.
struct Waiting {
    max_wait_ms: u64,
    sender: oneshot::Sender<Grant>,
}

/// A request for a send.
#[derive(Clone, Copy, Debug)]
pub struct SendRequest {
    /// Limit as the requester knows it.
    pub report: LimitReport,
    /// Time that it would wait before the send, in ms.
    pub max_wait_ms: u64,
    /// Whether another instance has passed the request on.
    pub is_relayed: bool,
}

/// Applies what a worker states in its response to a request sent at `sent_ms`.
pub fn on_response(gateway: &Gateway, worker: &mut Worker, stated: StatedLimit, sent_ms: u64) {
    let now_ms = gateway.now_ms();
    let per_ks = match stated {
        StatedLimit::None => None,
        StatedLimit::PerKs(per_ks) => Some(per_ks),
        // The worker still is in need; the last valid number holds on.
        StatedLimit::Invalid => match worker.limit.per_ks(now_ms) {
            Some(per_ks) => Some(per_ks),
            None => return,
        },
    };
    let before = worker.limit.per_ks(now_ms);
    if !worker.limit.on_stated(per_ks, sent_ms) {
        return;
    }
    log_limit(gateway, &worker.record.id, per_ks);
    if is_raised(before, per_ks) {
        worker.limited_until_ms = 0;
    }
    if now_ms >= worker.limit_told_ms + TELL_INTERVAL_MS {
        worker.limit_told_ms = now_ms;
        if let Some(report) = worker.limit.report(worker.key, now_ms) {
            send_to_all(gateway, Payload::Limit(report));
        }
    }
}

fn log_limit(gateway: &Gateway, worker_id: &str, per_ks: Option<u32>) {
    let line = gateway.log.line(events::LIMIT_STATED, Severity::Notable);
    line.text("worker", worker_id)
        .text("requests_per_s", per_ks.map_or(StatedLimit::None, StatedLimit::PerKs))
        .emit();
}

/// Applies a statement that another instance knows of.
pub fn on_report(gateway: &Gateway, report: &LimitReport) {
    let now_ms = gateway.now_ms();
    let mut directory = gateway.directory.borrow_mut();
    let Some(worker) = directory.get_by_key_mut(report.worker) else {
        return directory.on_detached_limit(report, now_ms);
    };
    let at_ms = now_ms.saturating_sub(report.age_ms);
    let before = worker.limit.per_ks(now_ms);
    if worker.limit.on_stated(report.per_ks, at_ms) {
        log_limit(gateway, &worker.record.id, report.per_ks);
        if is_raised(before, report.per_ks) {
            worker.limited_until_ms = 0;
            gateway.state_changed.notify_waiters();
        }
    }
}

/// Sends the limits that were stated recently to an instance that has sent a heartbeat: it may have started
/// since, or have missed them.
pub fn send_recent(gateway: &Gateway, to: SocketAddr) {
    let now_ms = gateway.now_ms();
    let directory = gateway.directory.borrow();
    let recent = directory.iter().filter_map(|worker| worker.limit.report(worker.key, now_ms));
    let recent = recent.filter(LimitReport::is_recent);
    let reports = recent.choose_multiple(&mut rand::rng(), REPORTS_MAX);
    if !reports.is_empty() {
        send(gateway, to, Payload::Limits(reports));
    }
}

/// Returns whether a limit has risen or ended.
fn is_raised(before: Option<u32>, now: Option<u32>) -> bool {
    before.is_some_and(|before| now.is_none_or(|now| now > before))
}

/// Returns whether a limit has fallen so far that sends granted before have to be granted anew.
fn has_fallen(before: Option<u32>, now: Option<u32>) -> bool {
    before.zip(now).is_some_and(|(before, now)| is_news(before, now) && now < before)
}

/// Returns the limit of a worker, in requests in 1000 s; `None` if it has none.
fn known_limit(gateway: &Gateway, worker_id: &str) -> Option<u32> {
    let now_ms = gateway.now_ms();
    gateway.directory.borrow().get(worker_id).and_then(|worker| worker.limit.per_ks(now_ms))
}

/// Returns whether a worker limits its requests.
pub fn is_limited(gateway: &Gateway, worker_id: &str) -> bool {
    known_limit(gateway, worker_id).is_some()
}

/// Obtains a send to a worker, waiting for up to `max_wait_ms`; returns whether the request may be sent
/// now. If not, a worker has to be chosen again: this one is not chosen for some time, unless its limit
/// has changed.
pub async fn acquire(gateway: &Rc<Gateway>, worker_id: &str, max_wait_ms: u64) -> bool {
    let now_ms = gateway.now_ms();
    let report = {
        let directory = gateway.directory.borrow();
        let limited = directory.get(worker_id).filter(|one| one.limit.per_ks(now_ms).is_some());
        limited.and_then(|one| one.limit.report(one.key, now_ms))
    };
    let Some(report) = report else { return true };
    let request = SendRequest { report, max_wait_ms, is_relayed: false };
    let grant = request_grant(gateway, &request).await;
    let (result, until_ms) = match grant {
        Some(Grant::After(wait_ms)) => {
            let granted = known_limit(gateway, worker_id);
            if wait_ms > 0 {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            if has_fallen(granted, known_limit(gateway, worker_id)) {
                count(gateway, "outdated");
                return false;
            }
            count(gateway, "granted");
            return true;
        }
        Some(Grant::Denied(wait_ms)) => ("denied", wait_ms.min(DENIED_MAX_MS)),
        None => ("unanswered", UNGRANTED_MS),
    };
    count(gateway, result);
    let now_ms = gateway.now_ms();
    if let Some(worker) = gateway.directory.borrow_mut().get_mut(worker_id) {
        worker.limited_until_ms = now_ms + until_ms.max(1);
    }
    false
}

fn count(gateway: &Gateway, result: &str) {
    gateway.metrics.limit_grants_total.with_label_values(&[result]).inc();
}

/// Obtains a grant from the instance that grants sends to the worker.
async fn request_grant(gateway: &Gateway, request: &SendRequest) -> Option<Grant> {
    let SendRequest { report, max_wait_ms, .. } = request;
    let give_up_ms = gateway.now_ms() + max_wait_ms;
    let mut pending: Option<Pending<'_>> = None;
    for _ in 0..=UNANSWERED_MAX {
        let Some((name, addr)) = granting_peer(gateway, report.worker, false) else {
            return Some(grant(gateway, request));
        };
        // With the same number, a send that was granted but whose answer was lost is not counted twice.
        let mut asked = match pending.take() {
            Some(pending) if pending.addr == addr => pending,
            _ => Pending::new(gateway, addr, *max_wait_ms),
        };
        if let Some(grant) = ask(&mut asked, request).await {
            return Some(grant);
        }
        pending = Some(asked);
        if gateway.limits.view.borrow_mut().on_unanswered(&name, gateway.now_ms()) {
            let line = gateway.log.line(events::GRANTING_SILENT, Severity::Notable);
            line.text("silent", &name).emit();
        }
        if gateway.now_ms() >= give_up_ms {
            break;
        }
    }
    None
}

/// Returns the name and address of the instance that grants sends to a worker; `None` if it is this one.
fn granting_peer(gateway: &Gateway, worker: u64, is_relayed: bool) -> Option<(String, SocketAddr)> {
    let now_ms = gateway.now_ms();
    let settings = gateway.settings();
    let requested = Requested { worker, own: &settings.instance_id, is_relayed };
    let peers = gateway.peers.borrow();
    let names = peers.unexpired(now_ms).map(|(name, _)| name.as_str());
    let name = gateway.limits.view.borrow().granting_instance(requested, names, now_ms);
    peers.get(name).map(|peer| (name.to_owned(), peer.addr))
}

/// A request that waits for its answer. Dropping it removes it, also when its caller disconnects.
struct Pending<'a> {
    gateway: &'a Gateway,
    addr: SocketAddr,
    number: u64,
    answer: oneshot::Receiver<Grant>,
}

impl<'a> Pending<'a> {
    fn new(gateway: &'a Gateway, addr: SocketAddr, max_wait_ms: u64) -> Self {
        let limits = &gateway.limits;
        let number = limits.last_number.get() + 1;
        limits.last_number.set(number);
        let (sender, answer) = oneshot::channel();
        limits.pending.borrow_mut().insert(number, Waiting { max_wait_ms, sender });
        Self { gateway, addr, number, answer }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.gateway.limits.pending.borrow_mut().remove(&self.number);
    }
}

async fn ask(pending: &mut Pending<'_>, request: &SendRequest) -> Option<Grant> {
    let SendRequest { report, max_wait_ms, is_relayed } = *request;
    let Pending { gateway, addr, number, ref mut answer } = *pending;
    for _ in 0..GRANT_SENDS {
        send(gateway, addr, Payload::GrantRequest { number, report, max_wait_ms, is_relayed });
        if let Ok(Ok(grant)) = timeout(GRANT_TIMEOUT, &mut *answer).await {
            return Some(grant);
        }
    }
    None
}

/// Answers another instance's request for a send, or passes it on.
pub fn on_grant_request(gateway: &Rc<Gateway>, from: Requester, request: SendRequest) {
    let max_wait_ms = request.max_wait_ms.min(WAIT_MAX_MS);
    let request = SendRequest { max_wait_ms, ..request };
    on_report(gateway, &request.report);
    let worker = request.report.worker;
    let receipt = gateway.limits.received.borrow_mut().on_request(from);
    match receipt {
        Receipt::Answered(granted) => answer(gateway, from, worker, granted),
        Receipt::InProgress => {}
        Receipt::New if granting_peer(gateway, worker, request.is_relayed).is_none() => {
            let granted = grant(gateway, &request);
            gateway.limits.received.borrow_mut().on_answer(from, granted);
            answer(gateway, from, worker, granted);
        }
        Receipt::New => {
            let gateway = Rc::clone(gateway);
            let relayed = SendRequest { is_relayed: true, ..request };
            tokio::task::spawn_local(async move {
                let granted = request_grant(&gateway, &relayed).await;
                let received = &gateway.limits.received;
                match granted {
                    Some(granted) => {
                        received.borrow_mut().on_answer(from, granted);
                        answer(&gateway, from, worker, granted);
                    }
                    None => received.borrow_mut().on_no_answer(from),
                }
            });
        }
    }
}

fn answer(gateway: &Gateway, to: Requester, worker: u64, grant: Grant) {
    let now_ms = gateway.now_ms();
    let directory = gateway.directory.borrow();
    let report =
        directory.get_by_key(worker).and_then(|worker| worker.limit.report(worker.key, now_ms));
    send(gateway, to.addr, Payload::Grant { number: to.number, grant, report });
}

/// Takes the answer to a request for a send.
pub fn on_grant(gateway: &Gateway, number: u64, grant: Grant, report: Option<&LimitReport>) {
    if let Some(report) = report {
        on_report(gateway, report);
    }
    let mut pending = gateway.limits.pending.borrow_mut();
    // An answer to another request, such as a forged one, leaves the request waiting.
    let is_possible = pending.get(&number).is_some_and(|one| grant.is_possible(one.max_wait_ms));
    if is_possible && let Some(waiting) = pending.remove(&number) {
        // The requester may have stopped waiting.
        let _ = waiting.sender.send(grant);
    }
}

/// Notes that an instance has sent a message, so that it is asked again if it was silent.
pub fn on_message_from(gateway: &Gateway, name: &str) {
    gateway.limits.view.borrow_mut().on_message(name);
}

/// Grants a send as the instance that is responsible for the worker.
fn grant(gateway: &Gateway, request: &SendRequest) -> Grant {
    let SendRequest { report, max_wait_ms, .. } = *request;
    let now_ms = gateway.now_ms();
    let known = {
        let directory = gateway.directory.borrow();
        directory.get_by_key(report.worker).map(|worker| worker.limit.per_ks(now_ms))
    };
    let is_known = known.is_some();
    // An instance that has not read the worker's record yet goes by the requester's statement.
    let Some(per_ks) = known.unwrap_or(report.per_ks) else { return Grant::After(0) };
    let send = ScheduledSend { worker: report.worker, is_known, per_ks, max_wait_ms };
    gateway.limits.schedules.borrow_mut().grant(send, now_ms)
}
