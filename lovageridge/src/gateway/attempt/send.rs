//! A single send of a request to one worker, and its result.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::attempt::Attempts;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::ChosenWorker;
use crate::gateway::attempt::SAME_WORKER_RETRY_DELAY_MS;
use crate::gateway::catalog::Route;
use crate::gateway::connection::SendBody;
use crate::gateway::connection::dial;
use crate::gateway::connection::error_text;
use crate::gateway::connection::limit_interim_responses;
use crate::gateway::crashes;
use crate::gateway::endings;
use crate::gateway::eventlog::Severity;
use crate::gateway::limits;
use crate::gateway::liveness;
use crate::gateway::liveness::RunState;
use crate::gateway::message_fields::ResponseFields;
use crate::gateway::message_fields::StatedLimit;
use crate::gateway::message_fields::UpstreamFields;
use crate::gateway::message_fields::part_list;
use crate::gateway::peers;
use crate::gateway::peers::Payload;
use crate::outbound;
use crate::platform::headers;
use crate::telemetry::events;

/// Timeout of connecting to a worker; within a region this takes 3 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest rank of routes that workers distinguish: they have ten urgency levels.
const RANK_MAX: u32 = 4;
/// Urgency levels of each rank: one for interactive routes, one for others.
const URGENCIES_PER_RANK: u32 = 2;
/// Number of urgencies that workers distinguish.
const URGENCIES: usize = 10;
/// Largest latency objective of an interactive route, in ms.
const INTERACTIVE_OBJECTIVE_MAX_MS: u64 = 1000;
/// Metric label of a send that the worker did not execute.
const NOT_EXECUTED: &str = "not_executed";

/// Counts a request as in progress at a worker until dropped.
pub struct InFlight {
    gateway: Rc<Gateway>,
    /// Id of the worker.
    pub worker_id: String,
    /// Process of the worker that it was sent to, see [`crashes::CrashLedger::current_process`]; `None` if the
    /// worker was not known.
    pub process: Option<u64>,
    /// Address of the worker.
    pub addr: SocketAddr,
    /// Start time of the process that it was sent to, as Unix time in ms; `None` if the worker was not known.
    pub start_unix_ms: Option<u64>,
    model: Option<String>,
    body_bytes: u64,
}

impl InFlight {
    fn new(gateway: &Rc<Gateway>, chosen: &ChosenWorker, call: &Call) -> Self {
        let model = call.target.as_ref().map(|target| target.model.as_str());
        let body_bytes = call.body.len() as u64;
        gateway.memory.upstreams.borrow_mut().on_sent(&chosen.id, body_bytes);
        let recorded = gateway.directory.borrow_mut().get_mut(&chosen.id).map(|worker| {
            worker.on_sent(model);
            worker.left_places.on_sent();
            (worker.process, worker.record.start_unix_ms)
        });
        let ledger = gateway.crashes.ledger.borrow();
        Self {
            gateway: Rc::clone(gateway),
            worker_id: chosen.id.clone(),
            process: recorded.map(|(process, _)| ledger.current_process(process)),
            addr: chosen.addr,
            start_unix_ms: recorded.map(|(_, start_unix_ms)| start_unix_ms),
            model: model.map(str::to_owned),
            body_bytes,
        }
    }
}

// Counted down on drop, since a disconnecting caller drops its request at any point.
impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(worker) = self.gateway.directory.borrow_mut().get_mut(&self.worker_id) {
            worker.on_done(self.model.as_deref());
            worker.left_places.on_done(self.gateway.now_ms());
        }
        let memory = &self.gateway.memory;
        if memory.upstreams.borrow_mut().on_done(&self.worker_id, self.body_bytes) {
            self.gateway.state_changed.notify_waiters();
        }
    }
}

/// A response whose headers have arrived, with the connection on which its body is arriving.
pub struct IncomingResponse {
    /// Response; its body has not been read.
    pub response: Response<Incoming>,
    /// Fields parsed from the response headers.
    pub outcome: ResponseFields,
    /// Connection, reusable once the body has been read.
    pub sender: SendRequest<SendBody>,
    /// Counts the request as in progress at the worker.
    pub in_flight: InFlight,
}

/// Result of one send.
pub enum SendResult {
    /// The worker has sent the response headers.
    Responded(Box<IncomingResponse>),
    /// Nothing was sent to the worker.
    NotSent,
    /// The worker states that it did not execute the request.
    NotExecuted {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The request may have run, but there is no usable response.
    Unknown {
        /// Cause, for the log and the response to the caller.
        cause: &'static str,
    },
    /// No response within the timeout of the send; the request may have run.
    TimedOut,
}

/// Sends a request to a worker and reads the response headers.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    chosen: &ChosenWorker,
    attempts: &mut Attempts,
    last_event_id: Option<&str>,
    timeout_ms: u64,
) -> SendResult {
    let started_ms = gateway.now_ms();
    let in_flight = InFlight::new(gateway, chosen, call);
    let pooled = gateway.pool.borrow_mut().take(&chosen.id, call.idle_max_ms(), started_ms);
    let reused = pooled.is_some();
    let connection_label = if reused { "reused" } else { "opened" };
    gateway.metrics.connections_total.with_label_values(&[connection_label]).inc();
    let remaining_ms = call.deadline_at_ms.saturating_sub(started_ms);
    let mut sender = match pooled {
        Some(sender) => sender,
        None => match dial(chosen.addr, CONNECT_TIMEOUT.min(millis(remaining_ms))).await {
            Ok(sender) => sender,
            Err(error) => {
                record_unreachable(gateway, call, chosen, &error.to_string());
                return SendResult::NotSent;
            }
        },
    };
    let mut request = match upstream_request(call, chosen, remaining_ms, last_event_id) {
        Ok(request) => request,
        Err(error) => {
            log_send_failed(
                gateway,
                call,
                chosen,
                "the request cannot be passed on",
                &error.to_string(),
            );
            return SendResult::NotSent;
        }
    };
    let interim_exceeded = limit_interim_responses(&mut request);
    let sending = async {
        tokio::select! {
            result = sender.try_send_request(request) => Some(result),
            () = interim_exceeded => None,
        }
    };
    let result = match wait_for_response(gateway, call, &in_flight, sending, timeout_ms).await {
        Some(Some(Ok(response))) => Ok(response),
        Some(None) => {
            let what = "too many interim responses";
            record_failed(gateway, call, attempts, chosen, "broken", what, "");
            return SendResult::Unknown { cause: "the worker sent no final response" };
        }
        Some(Some(Err(mut error))) => {
            if error.take_message().is_some() {
                // The connection had closed before any of the request was written.
                if !reused {
                    record_unreachable(gateway, call, chosen, "connection closed at once");
                }
                return SendResult::NotSent;
            }
            Err(error.into_error())
        }
        None => {
            let detail = format!("timed out after {} ms", gateway.now_ms() - started_ms);
            record_failed(gateway, call, attempts, chosen, "timeout", "no answer", &detail);
            return SendResult::TimedOut;
        }
    };
    let now_ms = gateway.now_ms();
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            crashes::driver::on_interrupted(gateway, call, &in_flight, None);
            endings::driver::on_broken_off(gateway, &in_flight);
            let (what, detail) = ("connection broke", error_text(&error));
            record_failed(gateway, call, attempts, chosen, "broken", what, &detail);
            return SendResult::Unknown { cause: "the worker's connection broke" };
        }
    };
    let outcome = headers::parse_response(response.headers());
    let status = response.status();
    if outcome.id.as_deref() != call.fields.id.as_deref() {
        // The response belongs to another request and states nothing about this one, which may have run.
        // Dropping `sender` closes the connection.
        let detail = format!("{status} to {}", outcome.id.as_deref().unwrap_or("none"));
        let what = "answer of another request";
        record_failed(gateway, call, attempts, chosen, "foreign", what, &detail);
        return SendResult::Unknown { cause: "the worker's answer was not for this request" };
    }
    if !outbound::is_valid_status(status.as_u16()) {
        // Dropping `sender` closes the connection.
        let what = "invalid status";
        record_failed(gateway, call, attempts, chosen, "broken", what, status.as_str());
        return SendResult::Unknown { cause: "the worker's answer had an invalid status" };
    }
    record_response(gateway, call, chosen, &outcome, status, now_ms - started_ms);
    // After an address is given to another worker, that one responds with 421.
    if outcome.leaving && status != StatusCode::MISDIRECTED_REQUEST {
        record_leaving(gateway, &chosen.id);
    }
    if outcome.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
        count_send(gateway, call, attempts, chosen, NOT_EXECUTED);
        log_send_failed(gateway, call, chosen, "not executed", status.as_str());
        return SendResult::NotExecuted { status };
    }
    if status.is_success() && (!outcome.has_receipt || outcome.encoded) {
        count_send(gateway, call, attempts, chosen, "no_receipt");
        log_send_failed(gateway, call, chosen, "answer without receipt", "");
        return SendResult::Unknown { cause: "the worker's answer had no receipt" };
    }
    count_send(gateway, call, attempts, chosen, "answered");
    SendResult::Responded(Box::new(IncomingResponse { response, outcome, sender, in_flight }))
}

/// Waits for `sending`, up to `timeout_ms` and until the deadline of a stream while its worker may be at work on it:
/// another worker could not start it then. Returns `None` after that time.
async fn wait_for_response<T>(
    gateway: &Gateway,
    call: &Call,
    in_flight: &InFlight,
    sending: impl Future<Output = T>,
    timeout_ms: u64,
) -> Option<T> {
    let mut sending = std::pin::pin!(sending);
    let started_ms = gateway.now_ms();
    loop {
        let remaining_ms = call.deadline_at_ms.saturating_sub(gateway.now_ms());
        let wait = millis(timeout_ms.min(remaining_ms));
        if let Ok(result) = timeout(wait, &mut sending).await {
            return Some(result);
        }
        let waited_ms = gateway.now_ms() - started_ms;
        let is_waiting = call.route.kind.is_stream() && gateway.now_ms() < call.deadline_at_ms;
        if !is_waiting
            || liveness::check(gateway, call, in_flight, waited_ms).await != RunState::MayBeAtWork
        {
            // The response may have arrived during the check.
            return timeout(Duration::ZERO, sending).await.ok();
        }
    }
}

/// Returns a duration of `value` ms.
pub(super) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn upstream_request(
    call: &Call,
    chosen: &ChosenWorker,
    remaining_ms: u64,
    last_event_id: Option<&str>,
) -> Result<Request<SendBody>, hyper::http::Error> {
    let urgency = call.target.as_ref().map(|_| urgency(call));
    let fields = UpstreamFields {
        remaining_ms,
        worker_id: &chosen.id,
        urgency,
        last_event_id,
        account: call.account.as_ref().map(|account| account.name.as_str()),
        withholds_key: !call.catalog.accounts.is_empty(),
    };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(Full::new(call.body.clone()))?;
    *request.headers_mut() = headers::upstream_headers(&call.headers, &fields)?;
    Ok(request)
}

/// Returns the urgency at the worker, 0 being the most urgent: by the ranks of the account and the route,
/// then by whether the route is interactive.
fn urgency(call: &Call) -> u8 {
    match call.catalog.priority(call.account.as_ref(), call.route.rank) {
        Some((place, places)) => account_urgency(place, places, &call.route),
        None => route_urgency(call.route.rank, &call.route),
    }
}

fn route_urgency(rank: u32, route: &Route) -> u8 {
    let class = if route.objective_ms <= INTERACTIVE_OBJECTIVE_MAX_MS { 0 } else { 1 };
    (rank.min(RANK_MAX) * URGENCIES_PER_RANK + class) as u8
}

/// Returns the urgency of a place among `places` in order of urgency. Where the urgencies suffice, routes of
/// the same place that are interactive come first; where there are too many places, neighbors share one.
fn account_urgency(place: usize, places: usize, route: &Route) -> u8 {
    if places * URGENCIES_PER_RANK as usize <= URGENCIES {
        return route_urgency(place as u32, route);
    }
    (place * URGENCIES / places.max(URGENCIES)) as u8
}

fn count_send(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
    chosen: &ChosenWorker,
    result: &'static str,
) {
    attempts.sends += 1;
    attempts.possible_runs += u32::from(result != NOT_EXECUTED);
    if !attempts.workers.contains(&chosen.id) {
        attempts.workers.push(chosen.id.clone());
    }
    gateway.metrics.sends_total.with_label_values(&[call.service.as_str(), result]).inc();
}

/// Records a send that the worker may have executed, but without a usable response.
fn record_failed(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
    chosen: &ChosenWorker,
    result: &'static str,
    what: &str,
    detail: &str,
) {
    count_send(gateway, call, attempts, chosen, result);
    if let Some(worker) = gateway.directory.borrow_mut().get_mut(&chosen.id) {
        worker.health.on_failure(gateway.now_ms());
    }
    log_send_failed(gateway, call, chosen, what, detail);
}

fn log_send_failed(
    gateway: &Gateway,
    call: &Call,
    chosen: &ChosenWorker,
    what: &str,
    detail: &str,
) {
    gateway
        .log
        .line(events::SEND_FAILED, Severity::Notable)
        .text("request", call.id())
        .text("worker", &chosen.id)
        .text("domain", &chosen.domain)
        .number("load", chosen.load)
        .text("what", what)
        .text("detail", detail)
        .text("prompt_parts", part_list(&call.fields.prompt_parts))
        .emit();
}

fn record_unreachable(gateway: &Gateway, call: &Call, chosen: &ChosenWorker, detail: &str) {
    gateway.metrics.sends_total.with_label_values(&[call.service.as_str(), "unreachable"]).inc();
    gateway.pool.borrow_mut().remove_worker(&chosen.id);
    if let Some(worker) = gateway.directory.borrow_mut().get_mut(&chosen.id) {
        worker.health.on_unreachable(gateway.now_ms());
    }
    log_send_failed(gateway, call, chosen, "unreachable", detail);
}

/// Records that a worker has said that it leaves, and tells the other instances of the failure domain.
fn record_leaving(gateway: &Gateway, id: &str) {
    let mut directory = gateway.directory.borrow_mut();
    let Some(worker) = directory.get_mut(id).filter(|worker| !worker.said_leaving) else { return };
    worker.said_leaving = true;
    let process = worker.process;
    let line = gateway.log.line(events::WORKER_SAID_LEAVING, Severity::Notable);
    line.text("worker", id).text("service", &worker.record.service).emit();
    drop(directory);
    peers::driver::send_to_domain(gateway, Payload::WorkerLeaving(process));
    gateway.state_changed.notify_waiters();
}

/// Records what a worker states in its response to this request.
fn record_response(
    gateway: &Gateway,
    call: &Call,
    chosen: &ChosenWorker,
    outcome: &ResponseFields,
    status: StatusCode,
    first_byte_ms: u64,
) {
    let now_ms = gateway.now_ms();
    let mut directory = gateway.directory.borrow_mut();
    if let Some(load) = outcome.load {
        directory.on_response_load(&chosen.id, load, now_ms);
        // A wait in the queue is no part of the duration, which a whole response that has just begun shows.
        let is_plain = call.target.is_none() && !call.route.kind.is_stream();
        if is_plain && load.waiting == 0 && status.is_success() && load.pace_pct.is_some() {
            directory.on_ended_at(&chosen.id, first_byte_ms);
            directory.on_ended(&call.service, first_byte_ms);
        }
    }
    let Some(worker) = directory.get_mut(&chosen.id) else { return };
    if outcome.limit != StatedLimit::None {
        let label = [call.service.as_str()];
        gateway.metrics.limited_responses_total.with_label_values(&label).inc();
    }
    limits::driver::on_response(gateway, worker, outcome.limit, now_ms - first_byte_ms);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let until_ms = outcome.retry_after_ms.map_or(0, |wait_ms| now_ms + wait_ms);
        worker.closed_until_ms = worker.closed_until_ms.max(until_ms);
    }
    match (&call.target, status) {
        (Some(target), StatusCode::MISDIRECTED_REQUEST) => {
            worker.on_absent(&target.model, target.adapter.as_deref(), now_ms);
        }
        (None, StatusCode::MISDIRECTED_REQUEST) => worker.health.on_unreachable(now_ms),
        _ if outcome.not_executed => worker.health.avoid(SAME_WORKER_RETRY_DELAY_MS, now_ms),
        _ if status.is_server_error() => worker.health.on_failure(now_ms),
        _ => worker.health.on_response(first_byte_ms, now_ms),
    }
}
