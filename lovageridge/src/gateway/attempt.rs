//! Handling of a request: choice of a worker, retries, failover and the response.
//!
//! From the first byte written to a worker, a request may have run, unless the worker states that
//! it did not execute it. Without that statement, a non-idempotent request is not sent again, and is
//! not refused with a status that guarantees that it has not run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::accounts::Account;
use crate::gateway::allotments;
use crate::gateway::body::BodyBuffer;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Route;
use crate::gateway::catalog::RouteKind;
use crate::gateway::connection;
use crate::gateway::connection::SendBody;
use crate::gateway::crashes;
use crate::gateway::endings;
use crate::gateway::endings::driver::EndedResponse;
use crate::gateway::eventlog::Severity;
use crate::gateway::memory::budget::Class;
use crate::gateway::message_fields::RequestFields;
use crate::gateway::message_fields::ResponseFields;
use crate::gateway::pool::IDLE_MAX_MS;
use crate::gateway::pool::KEPT_IDLE_MAX_MS;
use crate::gateway::relay::Relay;
use crate::gateway::response;
use crate::gateway::response::Refusal;
use crate::gateway::response::ResponseBody;
use crate::gateway::waits::Target;
use crate::platform::headers;
use crate::telemetry::events;

mod acquire;
pub mod send;

use crate::gateway::attempt::acquire::acquire_worker;
use crate::gateway::attempt::acquire::find_worker;
use crate::gateway::attempt::acquire::is_evened;
use crate::gateway::attempt::acquire::retry_after_rejection_ms;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::attempt::send::IncomingResponse;
use crate::gateway::attempt::send::SendResult;
use crate::gateway::attempt::send::millis;
use crate::gateway::attempt::send::send;

/// Most retries at the same worker after it has stated that it did not execute the request.
const SAME_WORKER_RETRIES_MAX: u32 = 3;
/// Factor by which the queue of a worker may be longer for requests that come before others there.
const URGENT_QUEUE_FACTOR: u64 = 4;
/// Sends after which a request that workers have rejected goes to no further worker.
const REJECTED_SENDS_MAX: u32 = 4;
/// Delay before a retry at the same worker, in ms.
const SAME_WORKER_RETRY_DELAY_MS: u64 = 40;
/// Number of failed connections at which a request is refused.
const CONNECT_FAILURES_MAX: u32 = 5;
/// Bytes that are reserved for a non-streaming response of unknown length; beyond them, the largest length is.
const UNSIZED_RESPONSE_BYTES: u64 = 64 << 10;
/// Largest non-streaming response, in bytes; it is read to its end before it is forwarded.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 2 << 20;
/// Largest number of parts in which such a response may arrive; each of them costs time, however short it is.
const BUFFERED_RESPONSE_MAX_PARTS: usize = 64 << 10;
/// Shortest time after which callers abandon a stream without events, in ms.
const CALLER_TIMEOUT_MIN_MS: u64 = 2000;
/// Multiple of the latency objective for which callers wait for the first event, if that is longer;
/// given by the interface.
const CALLER_TIMEOUT_OBJECTIVES: u64 = 4;
/// Multiple of the gap objective for which callers wait for the next event, if that is longer;
/// given by the interface.
const CALLER_TIMEOUT_GAPS: u64 = 8;
/// Share of the caller's timeout for which a request waits for a model, in percent.
const MODEL_WAIT_PCT: u64 = 70;
/// Multiple of the latency objective after which a request without a response goes to another
/// worker; the retry misses the objective in any case.
const FAILOVER_OBJECTIVES: u64 = 2;
/// Shortest time without a response after which another worker is tried, in ms.
const FAILOVER_MIN_MS: u64 = 250;
/// Shortest time without response headers of a stream after which another worker is tried, in ms.
const FAILOVER_STREAM_MIN_MS: u64 = 2000;
/// Retry-After when workers are full or connections failed, in ms.
const RETRY_AFTER_BUSY_MS: u64 = 150;
/// Retry-After of an instance that is stopping, in ms; another instance takes the retry.
pub const RETRY_AFTER_STOPPING_MS: u64 = 50;

/// A caller's request with its route and service.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Fields parsed from the headers.
    pub fields: RequestFields,
    /// Client account that the request belongs to; `None` if it needs no key and has none.
    pub account: Option<Account>,
    /// Configuration that was in force when the request arrived.
    pub catalog: Rc<Catalog>,
    /// Route that matched the request.
    pub route: Route,
    /// Service picked among those of the route.
    pub service: String,
    /// Model that the request needs; `None` for plain services.
    pub target: Option<Target>,
    /// Monotonic time of arrival, in ms.
    pub arrived_ms: u64,
    /// Monotonic time at which it was admitted by the limit of its account, in ms.
    pub admitted_ms: u64,
    /// Monotonic time of the deadline, at which the request is cancelled, in ms.
    pub deadline_at_ms: u64,
    /// Whether the request is sent once although a part of its prompt is blocked.
    pub is_probe: Cell<bool>,
}

impl Call {
    /// Returns the request id for log lines; empty if there is none.
    pub fn id(&self) -> &str {
        self.fields.id.as_deref().unwrap_or("")
    }

    /// Returns the account of the caller, if it has a limit, and what a run of the request costs.
    pub fn allotment_cost(&self) -> Option<(&Account, u64)> {
        let account = self.account.as_ref()?;
        Some((account, account.allotment.as_ref()?.cost(self.fields.tokens)))
    }

    /// Returns the monotonic time at which the latency objective is missed, in ms.
    pub fn objective_at_ms(&self) -> u64 {
        self.arrived_ms + self.route.objective_ms
    }

    /// Returns the longest time for which a request without urgency may wait at a worker that this one is
    /// sent to, in ms.
    fn queue_limit_ms(&self) -> u64 {
        let is_urgent =
            self.catalog.is_urgent(&self.service, self.account.as_ref(), self.route.rank);
        self.route.objective_ms * if is_urgent { URGENT_QUEUE_FACTOR } else { 1 }
    }

    /// Returns the longest idle time of a connection that the request is sent on, in ms. A worker may have dropped
    /// an idle connection without notice, which shows only after the request was written; a request that may run
    /// only once could not be sent again.
    fn idle_max_ms(&self) -> u64 {
        if self.route.kind.is_retryable() { u64::MAX } else { IDLE_MAX_MS }
    }

    /// Returns the time until which the request waits for a model, in ms. `since_ms` is the time of
    /// its arrival or, when a stream is resumed, the present.
    fn wait_until_ms(&self, since_ms: u64) -> u64 {
        let caller_timeout_ms = if self.route.kind.is_stream() {
            let by_objective = self.route.objective_ms * CALLER_TIMEOUT_OBJECTIVES;
            CALLER_TIMEOUT_MIN_MS
                .max(by_objective)
                .max(self.route.gap_objective_ms * CALLER_TIMEOUT_GAPS)
        } else {
            self.deadline_at_ms.saturating_sub(self.arrived_ms)
        };
        let model_wait_ms = caller_timeout_ms * MODEL_WAIT_PCT / 100;
        self.deadline_at_ms.min(since_ms + model_wait_ms)
    }
}

/// Sends of a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Workers to which the request was sent.
    pub workers: Vec<String>,
    /// Number of sends, retries included.
    pub sends: u32,
    /// Number of sends after which the request may have run.
    pub possible_runs: u32,
    connect_failures: u32,
    same_worker_retries: u32,
    last_choice: Option<ChoiceInputs>,
}

/// Data on which the last choice of a worker was based, for the log.
#[derive(Clone, Copy, Debug)]
struct ChoiceInputs {
    // Time from the request's arrival to the first choice of a worker, in ms.
    first_choice_after_ms: u64,
    load: u32,
    load_age_ms: Option<u64>,
}

impl Attempts {
    fn record_choice(&mut self, chosen: &ChosenWorker, after_ms: u64) {
        let first_choice_after_ms =
            self.last_choice.map_or(after_ms, |choice| choice.first_choice_after_ms);
        let ChosenWorker { load, load_age_ms, .. } = *chosen;
        self.last_choice = Some(ChoiceInputs { first_choice_after_ms, load, load_age_ms });
    }
}

/// The worker chosen for a send.
#[derive(Clone, Debug)]
struct ChosenWorker {
    id: String,
    addr: std::net::SocketAddr,
    domain: String,
    load: u32,
    load_age_ms: Option<u64>,
    // Time until it is expected to begin with the request, in ms.
    wait_ms: u64,
    // Share of requests that may be sent there, from 0 to 1.
    admitted_share: f64,
    // Its load relative to the average of the workers that could be chosen; `None` without the even choice.
    relative_load: Option<f64>,
}

/// Handles a request, from the choice of a worker to the response.
pub async fn handle(gateway: &Rc<Gateway>, call: Call) -> Response<ResponseBody> {
    let call = Rc::new(call);
    gateway.on_request(&call.service);
    if let Some(target) = &call.target {
        gateway.waits.borrow_mut().on_arrival(target);
    }
    let mut attempts = Attempts::default();
    let result = send_with_retries(gateway, &call, &mut attempts).await;
    let first_byte_ms = gateway.now_ms() - call.arrived_ms;
    let (outcome, status) = match &result {
        Ok(response) => ("answered", response.status()),
        Err(refusal) => (refusal.cause, refusal.status),
    };
    gateway.metrics.requests_total.with_label_values(&[call.route.name.as_str(), outcome]).inc();
    let first_byte_histogram =
        gateway.metrics.first_byte_s.with_label_values(&[call.route.name.as_str()]);
    first_byte_histogram.observe(first_byte_ms as f64 / 1000.0);
    let late = first_byte_ms > call.route.objective_ms;
    let severity = if result.is_err() || late { Severity::Notable } else { Severity::Routine };
    let event = if result.is_ok() { events::REQUEST_ANSWERED } else { events::REQUEST_REFUSED };
    let line = gateway
        .log
        .line(event, severity)
        .text("request", call.id())
        .text("account", call.account.as_ref().map_or("", |account| &account.name))
        .text("route", &call.route.name)
        .text("model", call.target.as_ref().map_or("", |target| &target.model))
        .text("outcome", outcome)
        .number("status", status.as_u16())
        .number("first_byte_ms", first_byte_ms)
        .number("objective_ms", call.route.objective_ms)
        .number("sends", attempts.sends)
        .text("workers", attempts.workers.join(","))
        .number("config_version", call.catalog.version);
    let line = match attempts.last_choice {
        Some(choice) => line
            .number("chosen_after_ms", choice.first_choice_after_ms)
            .number("load", choice.load)
            .number("load_age_ms", choice.load_age_ms.map_or(-1, i128::from)),
        None => line,
    };
    let retry_after_ms = result.as_ref().err().and_then(|refusal| refusal.retry_after_ms);
    let line = match retry_after_ms {
        Some(retry_after_ms) => line.number("retry_after_ms", retry_after_ms),
        None => line,
    };
    line.emit();
    match result {
        Ok(response) => response,
        Err(refusal) => {
            if attempts.possible_runs == 0
                && let Some((account, cost)) = call.allotment_cost()
            {
                let admitted_ago_ms = gateway.now_ms().saturating_sub(call.admitted_ms);
                allotments::driver::refund(gateway, account, cost, admitted_ago_ms);
            }
            refusal.into_response(call.fields.id.as_deref())
        }
    }
}

async fn send_with_retries(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    attempts: &mut Attempts,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let wait_until_ms = call.wait_until_ms(call.arrived_ms);
        let chosen = tokio::select! {
            biased;
            chosen = acquire_worker(gateway, call, &attempts.workers, wait_until_ms) => chosen?,
            // A request that starts now might not finish before the process is killed.
            () = gateway.wait_until_refusing() => {
                return Err(Refusal::not_run("the instance is stopping", RETRY_AFTER_STOPPING_MS));
            }
        };
        attempts.record_choice(&chosen, gateway.now_ms() - call.arrived_ms);
        let timeout_ms = send_timeout_ms(gateway, call, attempts, &chosen);
        let last_event_id = None;
        let result = send(gateway, call, &chosen, attempts, last_event_id, timeout_ms).await;
        match result {
            SendResult::Responded(incoming) => {
                if let Some(response) = forward_response(gateway, call, attempts, *incoming).await?
                {
                    return Ok(response);
                }
            }
            SendResult::NotSent => {
                attempts.connect_failures += 1;
                if attempts.connect_failures >= CONNECT_FAILURES_MAX {
                    return Err(Refusal::not_run(
                        "no worker could be reached",
                        RETRY_AFTER_BUSY_MS,
                    ));
                }
            }
            SendResult::NotExecuted { status } => {
                on_not_executed(gateway, call, attempts, status).await?
            }
            SendResult::Unknown { cause } => {
                if !may_retry(gateway, call, attempts) {
                    return Err(Refusal::failed(StatusCode::BAD_GATEWAY, cause));
                }
            }
            SendResult::TimedOut => {
                let deadline_passed = gateway.now_ms() >= call.deadline_at_ms;
                if deadline_passed || !may_retry(gateway, call, attempts) {
                    return Err(Refusal::failed(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
                }
            }
        }
    }
}

/// Returns the time allowed for the headers of the response before another worker is tried, in ms.
fn send_timeout_ms(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    chosen: &ChosenWorker,
) -> u64 {
    let remaining_ms = call.deadline_at_ms.saturating_sub(gateway.now_ms());
    let more_attempts = attempts.possible_runs + 1 < call.route.max_workers;
    if !call.route.kind.is_retryable() || !more_attempts {
        return remaining_ms;
    }
    let tried: Vec<String> =
        attempts.workers.iter().chain(std::iter::once(&chosen.id)).cloned().collect();
    let has_other_worker = find_worker(gateway, call, &tried, true).is_ok();
    if !has_other_worker {
        return remaining_ms;
    }
    let failover_ms = if call.route.kind.is_stream() {
        call.route.objective_ms.max(FAILOVER_STREAM_MIN_MS)
    } else {
        (call.route.objective_ms * FAILOVER_OBJECTIVES).max(FAILOVER_MIN_MS)
    };
    remaining_ms.min(failover_ms)
}

/// Tells whether a request that may have run can be sent again; if so, takes a retry from the
/// budget.
fn may_retry(gateway: &Gateway, call: &Call, attempts: &Attempts) -> bool {
    let may_retry = call.route.kind.is_retryable()
        && attempts.possible_runs < call.route.max_workers
        && gateway.now_ms() < call.deadline_at_ms
        && gateway.take_retry(&call.service);
    if may_retry && let Some((account, cost)) = call.allotment_cost() {
        // The request runs again.
        allotments::driver::charge(gateway, account, cost);
    }
    may_retry
}

async fn on_not_executed(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
    status: StatusCode,
) -> Result<(), Refusal> {
    let retry_after_ms = retry_after_rejection_ms(gateway, call);
    let refusal = Refusal::not_run("the worker did not take the request", retry_after_ms);
    let now_ms = gateway.now_ms();
    if now_ms + SAME_WORKER_RETRY_DELAY_MS >= call.deadline_at_ms {
        return Err(refusal);
    }
    let has_other_worker = attempts.sends < REJECTED_SENDS_MAX
        && find_worker(gateway, call, &attempts.workers, true).is_ok();
    if has_other_worker || attempts.sends < call.route.max_workers {
        return if gateway.take_retry(&call.service) { Ok(()) } else { Err(refusal) };
    }
    // A worker that is loading the model may accept the request shortly after; a full one will not.
    let is_full = attempts.workers.last().is_some_and(|id| is_full(gateway, id));
    let retry_same_worker = status == StatusCode::SERVICE_UNAVAILABLE
        && call.target.is_some()
        && !is_full
        && attempts.same_worker_retries < SAME_WORKER_RETRIES_MAX
        && attempts.workers.len() == 1
        && gateway.take_retry(&call.service);
    if !retry_same_worker {
        return Err(refusal);
    }
    attempts.same_worker_retries += 1;
    attempts.workers.clear();
    tokio::time::sleep(Duration::from_millis(SAME_WORKER_RETRY_DELAY_MS)).await;
    Ok(())
}

/// Returns whether requests wait at a worker.
fn is_full(gateway: &Gateway, worker_id: &str) -> bool {
    let directory = gateway.directory.borrow();
    let worker = directory.get(worker_id);
    worker.is_some_and(|worker| directory.wait_at_ms(worker, gateway.now_ms()) > 0)
}

/// Forwards a response to the caller; returns `None` if another worker should be tried.
async fn forward_response(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    attempts: &mut Attempts,
    incoming: IncomingResponse,
) -> Result<Option<Response<ResponseBody>>, Refusal> {
    let status = incoming.response.status();
    // The worker did not state that the request has not run, as this status would to the caller.
    let is_misleading = response::guarantees_not_run(status);
    if (status.is_server_error() || is_misleading) && may_retry(gateway, call, attempts) {
        return Ok(None);
    }
    if is_misleading {
        let cause = "the worker failed without stating whether the request has run";
        return Err(Refusal::failed(StatusCode::BAD_GATEWAY, cause));
    }
    if call.route.kind.is_stream() && status.is_success() {
        return Ok(Some(stream_response(gateway, call, attempts, incoming)));
    }
    let IncomingResponse { response, outcome, sender, in_flight } = incoming;
    let is_framed = connection::is_framed(&response);
    let (parts, body) = response.into_parts();
    let began_ms = gateway.now_ms();
    let remaining_ms = call.deadline_at_ms.saturating_sub(began_ms);
    let reading = read_body(gateway, call, body, is_framed, &in_flight);
    let body = match timeout(millis(remaining_ms), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let line = gateway.log.line(events::ANSWER_BROKEN, Severity::Notable);
            line.text("request", call.id())
                .text("worker", &in_flight.worker_id)
                .text("reason", error)
                .emit();
            crashes::driver::on_interrupted(gateway, call, &in_flight, Some(began_ms));
            if may_retry(gateway, call, attempts) {
                return Ok(None);
            }
            let cause = "the worker's answer broke off";
            return Err(Refusal::failed(StatusCode::BAD_GATEWAY, cause));
        }
        Err(_) => {
            let cause = "the worker's answer was not complete in time";
            return Err(Refusal::failed(StatusCode::GATEWAY_TIMEOUT, cause));
        }
    };
    return_connection(gateway, &in_flight.worker_id, sender, &outcome);
    crashes::driver::on_survival(gateway, &call.fields.prompt_parts, began_ms);
    let mut caller_response = Response::new(ResponseBody::complete(body));
    *caller_response.status_mut() = parts.status;
    *caller_response.headers_mut() = headers::caller_headers(&parts.headers);
    Ok(Some(caller_response))
}

/// Reads the body of a response that is not a stream, once it fits into the memory.
///
/// # Errors
/// Returns the reason why the body is not complete.
async fn read_body(
    gateway: &Gateway,
    call: &Call,
    body: Incoming,
    is_framed: bool,
    in_flight: &InFlight,
) -> Result<Bytes, String> {
    let max_bytes = BUFFERED_RESPONSE_MAX_BYTES as u64;
    let announced_bytes = body.size_hint().exact().map(|bytes| bytes.min(max_bytes));
    let mut held = gateway.memory.reserve_none(Class::Response);
    held.grow(announced_bytes.unwrap_or(UNSIZED_RESPONSE_BYTES)).await;
    let mut body = Limited::new(body, BUFFERED_RESPONSE_MAX_BYTES);
    let mut buffer = BodyBuffer::with_expected(announced_bytes.unwrap_or(0) as usize);
    let began_ms = gateway.now_ms();
    let mut last_data_ms = began_ms;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            endings::driver::on_broken_off(gateway, in_flight);
            error.to_string()
        })?;
        last_data_ms = gateway.now_ms();
        if let Ok(part) = frame.into_data() {
            if (buffer.bytes() + part.len()) as u64 > held.bytes() {
                // All at once, so that no two responses wait for each other's part.
                held.grow(max_bytes).await;
            }
            buffer.push(part);
        }
        if buffer.parts() > BUFFERED_RESPONSE_MAX_PARTS {
            return Err("the body has too many parts".to_owned());
        }
    }
    let ended =
        EndedResponse { in_flight, contact: None, began_ms, last_data_ms, is_stream: false };
    if !is_framed && !endings::driver::is_complete(gateway, call, &ended).await {
        return Err("the worker ended in a body without length".to_owned());
    }
    Ok(held.attach(buffer.finish()))
}

/// Returns a connection to the pool, unless the worker closes it.
pub fn return_connection(
    gateway: &Gateway,
    worker_id: &str,
    sender: SendRequest<SendBody>,
    outcome: &ResponseFields,
) {
    if !outcome.closes_connection {
        let now_ms = gateway.now_ms();
        let is_evened = gateway
            .directory
            .borrow()
            .get(worker_id)
            .is_some_and(|worker| is_evened(gateway, &worker.record.service));
        let idle_max_ms = if is_evened { KEPT_IDLE_MAX_MS } else { IDLE_MAX_MS };
        let mut pool = gateway.pool.borrow_mut();
        pool.put(worker_id, sender, outcome.idle_timeout_ms, idle_max_ms, now_ms);
    }
}

fn stream_response(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    attempts: &Attempts,
    incoming: IncomingResponse,
) -> Response<ResponseBody> {
    let resumable = call.route.kind == RouteKind::Stream { resumable: true };
    let mut headers = headers::caller_headers(incoming.response.headers());
    if resumable {
        // The length of a resumed stream may differ from the one in the first worker's headers.
        headers.remove(hyper::header::CONTENT_LENGTH);
    }
    let status = incoming.response.status();
    let relay = Relay::new(gateway, call, attempts.clone(), incoming);
    // Without a limit on its memory, an instance reads a stream only as fast as its caller.
    let body = match gateway.memory.is_limited() {
        true => ResponseBody::stream_ahead(relay),
        false => ResponseBody::stream(relay),
    };
    let mut caller_response = Response::new(body);
    *caller_response.status_mut() = status;
    *caller_response.headers_mut() = headers;
    caller_response
}

/// Tells whether another worker could resume a stream at once.
pub fn can_fail_over(gateway: &Gateway, call: &Call, attempts: &Attempts) -> bool {
    attempts.possible_runs < call.route.max_workers
        && find_worker(gateway, call, &attempts.workers, true).is_ok()
}

/// Resumes a stream on another worker, after `last_event_id`; returns `None` if there is none in
/// time.
pub async fn resume(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    attempts: &mut Attempts,
    last_event_id: Option<&str>,
) -> Option<IncomingResponse> {
    let wait_until_ms = call.wait_until_ms(gateway.now_ms());
    while may_retry(gateway, call, attempts) {
        let chosen = acquire_worker(gateway, call, &attempts.workers, wait_until_ms).await.ok()?;
        let timeout_ms = send_timeout_ms(gateway, call, attempts, &chosen);
        match send(gateway, call, &chosen, attempts, last_event_id, timeout_ms).await {
            SendResult::Responded(incoming) if incoming.response.status().is_success() => {
                return Some(*incoming);
            }
            _ => {}
        }
    }
    None
}
