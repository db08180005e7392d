//! Accepts requests on the callers' port and handles each in its own thread.

use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::warn;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

use crate::attempts::claims::driver::Claims;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;
use crate::callers::auth;
use crate::callers::generations;
use crate::callers::openai::CompletionKind;
use crate::callers::openai::ModelEntry;
use crate::callers::openai::ModelList;
use crate::callers::reply;
use crate::callers::services;
use crate::context::Context;
use crate::context::lock;
use crate::document::Config;
use crate::document::Priority;
use crate::document::ServiceKind;
use crate::outbound;
use crate::telemetry::events;
use crate::telemetry::trace::Span;
use crate::telemetry::trace::SpanContext;

/// Number of threads that accept requests.
pub const ACCEPT_THREADS: usize = 4;
/// Longest wait for a request before a check whether the instance stops.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Stack size of a request's thread, in bytes.
const REQUEST_STACK_BYTES: usize = 256 * 1024;
/// Retry hint of an instance that is overloaded or has no configuration yet, in ms.
const BUSY_RETRY_MS: u64 = 1000;
/// Maximum total size of a request's header names and values, in bytes.
const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// State that the threads of the callers' port share.
pub struct CallersPort {
    /// Shared state of the instance.
    pub ctx: Arc<Context>,
    /// Claims of idempotency keys.
    pub claims: Arc<Claims>,
    in_progress: AtomicUsize,
}

impl CallersPort {
    /// Creates the state of a port without requests.
    pub fn new(ctx: Arc<Context>, claims: Arc<Claims>) -> Self {
        Self { ctx, claims, in_progress: AtomicUsize::new(0) }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}

/// The parts of a request that completions and plain services have in common.
pub struct IncomingRequest {
    /// Id of the request.
    pub request_id: String,
    /// Time of arrival, in ms.
    pub arrived_ms: u64,
    /// Configuration that applies to the request, even if a newer one is accepted meanwhile.
    pub config: Arc<Config>,
    /// Name of the partner that the API key belongs to.
    pub partner: String,
    /// Priority, at most the partner's highest one.
    pub priority: Priority,
    /// Time by which the caller must have a response, in ms.
    pub deadline_ms: u64,
    /// Context of the request's trace span.
    pub span: SpanContext,
    /// Complete request body.
    pub body: Vec<u8>,
}

/// Accepts requests until the instance stops.
pub fn run(port: &Arc<CallersPort>, server: &Server) {
    while !port.ctx.is_stopped() {
        match server.recv_timeout(ACCEPT_TIMEOUT) {
            Ok(Some(request)) => spawn_handler(port, request),
            Ok(None) => {}
            Err(error) => {
                let detail = error.to_string();
                warn!("{}", events::THREAD_FAILED.text(&port.ctx.own.instance_id, &detail));
                port.ctx.pause_ms(10);
            }
        }
    }
}

fn spawn_handler(port: &Arc<CallersPort>, request: Request) {
    let ctx = &port.ctx;
    let already_in_progress = port.in_progress.fetch_add(1, Ordering::SeqCst);
    if already_in_progress >= ctx.settings.limits.max_requests {
        return refuse_early(port, request, Code::Overloaded);
    }
    // Shared, so that the request can be refused here when the thread cannot be started.
    let shared_request = Arc::new(Mutex::new(Some(request)));
    let (thread_request, thread_port) = (Arc::clone(&shared_request), Arc::clone(port));
    let spawned = thread::Builder::new().stack_size(REQUEST_STACK_BYTES).spawn(move || {
        let request = lock(&thread_request).take();
        if let Some(request) = request {
            handle(&thread_port, request);
        }
        on_request_finished(&thread_port);
    });
    if spawned.is_err() {
        let request = lock(&shared_request).take();
        if let Some(request) = request {
            refuse_early(port, request, Code::Overloaded);
        }
    }
}

fn on_request_finished(port: &CallersPort) {
    let remaining = port.in_progress.fetch_sub(1, Ordering::SeqCst) - 1;
    port.ctx.metrics.requests_in_progress.set(remaining as i64);
}

fn refuse_early(port: &CallersPort, request: Request, code: Code) {
    let request_id = new_request_id();
    let failure = Failure {
        retry_after_ms: Some(BUSY_RETRY_MS),
        ..Failure::not_run(code, "the instance takes no further requests now")
    };
    count_outcome(&port.ctx, "", &Err(failure.clone()));
    // The caller may have disconnected.
    let _ = reply::error(request, &failure, &request_id);
    on_request_finished(port);
}

fn new_request_id() -> String {
    format!("req-{:016x}", rand::random::<u64>())
}

/// Counts the outcome of a request in the metrics; `partner` is empty when it is unknown.
pub fn count_outcome(ctx: &Context, partner: &str, outcome: &Result<(), Failure>) {
    let (code, ran) = match outcome {
        Ok(()) => ("ok", "ran"),
        Err(failure) => {
            let ran = match failure.ran {
                Ran::NotRun => "not_run",
                Ran::Ran => "ran",
                Ran::Unknown => "unknown",
            };
            (failure.code.name(), ran)
        }
    };
    ctx.metrics.outcomes_total.with_label_values(&[partner, code, ran]).inc();
}

/// Returns the value of a header, if the request has it.
pub fn header_value<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str())
}

fn handle(port: &CallersPort, mut request: Request) {
    let ctx = &port.ctx;
    ctx.metrics.requests_in_progress.set(port.in_progress() as i64);
    let request_id = new_request_id();
    let parent = header_value(&request, "traceparent").and_then(SpanContext::parse_traceparent);
    let mut span = Span::start(parent.unwrap_or_else(SpanContext::root), "entry");
    span.set_attribute("request_id", &request_id);
    span.set_attribute("url", request.url());
    let incoming = read_request(ctx, &mut request, request_id.clone(), span.context());
    let (partner, outcome) = match incoming {
        Err(failure) => {
            if failure.code == Code::BadRequest || failure.code == Code::TooLarge {
                ctx.metrics.malformed_total.inc();
            }
            // The caller may have disconnected.
            let _ = reply::error(request, &failure, &request_id);
            (String::new(), Err(failure))
        }
        Ok(incoming) => {
            let partner = incoming.partner.clone();
            (partner, route(port, request, incoming))
        }
    };
    if let Err(failure) = &outcome {
        span.set_attribute("code", failure.code.name());
    }
    span.end(&ctx.tracer);
    count_outcome(ctx, &partner, &outcome);
}

/// Reads and validates the parts that all requests have in common.
fn read_request(
    ctx: &Context,
    request: &mut Request,
    request_id: String,
    span: SpanContext,
) -> Result<IncomingRequest, Failure> {
    let arrived_ms = ctx.clock.now_ms();
    let config = ctx.config.current();
    if config.version == 0 {
        let message = "no configuration has been accepted yet";
        return Err(with_retry_hint(Failure::not_run(Code::NoConfiguration, message)));
    }
    let header_bytes: usize =
        request.headers().iter().map(|h| h.field.as_str().as_str().len() + h.value.len()).sum();
    if header_bytes > HEADERS_MAX_BYTES {
        return Err(Failure::not_run(Code::TooLarge, "the headers are too large"));
    }
    let key = header_value(request, "authorization")
        .and_then(auth::bearer_credential)
        .unwrap_or_default();
    let Some((name, partner)) = auth::find_partner(&config, key) else {
        return Err(Failure::not_run(Code::Unauthorized, "the API key is missing or unknown"));
    };
    let priority = read_priority(request, partner.priority_max)?;
    let deadline_in_ms =
        read_deadline(request, partner.deadline_default_ms, partner.deadline_max_ms)?;
    let partner = name.to_owned();
    let body = read_body(request, ctx.settings.limits.max_body_bytes)?;
    Ok(IncomingRequest {
        request_id,
        arrived_ms,
        partner,
        priority,
        deadline_ms: arrived_ms + deadline_in_ms,
        span,
        body,
        config,
    })
}

fn with_retry_hint(failure: Failure) -> Failure {
    Failure { retry_after_ms: Some(BUSY_RETRY_MS), ..failure }
}

fn read_priority(request: &Request, most_urgent: Priority) -> Result<Priority, Failure> {
    let Some(name) = header_value(request, "x-priority") else {
        return Ok(most_urgent.max(Priority::Standard));
    };
    match Priority::from_name(name) {
        Some(priority) => Ok(priority.max(most_urgent)),
        None => {
            let known = Priority::NAMES.join(", ");
            Err(Failure::not_run(Code::BadRequest, format!("x-priority is none of {known}")))
        }
    }
}

fn read_deadline(request: &Request, default_ms: u64, max_ms: u64) -> Result<u64, Failure> {
    let Some(text) = header_value(request, "x-deadline-ms") else { return Ok(default_ms) };
    match text.trim().parse::<u64>() {
        Ok(deadline_ms) if deadline_ms > 0 => Ok(deadline_ms.min(max_ms)),
        _ => Err(Failure::not_run(Code::BadRequest, "x-deadline-ms is not a number of ms")),
    }
}

fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, Failure> {
    let too_large =
        || Failure::not_run(Code::TooLarge, format!("the body exceeds {max_bytes} bytes"));
    if request.body_length().is_some_and(|len| len > max_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    request
        .as_reader()
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|_| Failure::not_run(Code::BadRequest, "the body broke off"))?;
    if body.len() > max_bytes {
        return Err(too_large());
    }
    Ok(body)
}

fn route(port: &CallersPort, request: Request, incoming: IncomingRequest) -> Result<(), Failure> {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let method = request.method().clone();
    match (&method, path) {
        (Method::Post, "/v1/chat/completions") => {
            generations::handle(port, request, incoming, CompletionKind::Chat)
        }
        (Method::Post, "/v1/completions") => {
            generations::handle(port, request, incoming, CompletionKind::Text)
        }
        (Method::Get, "/v1/models") => list_models(request, &incoming),
        _ => match find_plain_service(&incoming.config, path) {
            Some(service) => services::handle(port, request, incoming, &service),
            None => {
                let failure = Failure::not_run(Code::NotFound, "there is nothing at this path");
                // The caller may have disconnected.
                let _ = reply::error(request, &failure, &incoming.request_id);
                Err(failure)
            }
        },
    }
}

/// Returns the plain service with the longest path that is `path` or a parent of it.
fn find_plain_service(config: &Config, path: &str) -> Option<String> {
    if !outbound::keeps_path(path) {
        return None;
    }
    let covers_path = |base: &str| {
        path.strip_prefix(base).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let plain = config.services.iter().filter(|(_, s)| s.kind == ServiceKind::Plain);
    let matching = plain.filter(|(_, s)| covers_path(&s.path));
    matching.max_by_key(|(_, s)| s.path.len()).map(|(name, _)| name.clone())
}

fn list_models(request: Request, incoming: &IncomingRequest) -> Result<(), Failure> {
    let config = &incoming.config;
    let models = config.models.keys().map(|id| ModelEntry { id, object: "model", parent: None });
    let adapters = config.adapters.iter().map(|(id, adapter)| ModelEntry {
        id,
        object: "model",
        parent: Some(&adapter.model),
    });
    let list = ModelList { object: "list", data: models.chain(adapters).collect() };
    let body = serde_json::to_vec(&list).unwrap_or_default();
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    // The caller may have disconnected.
    let _ = reply::complete(request, 200, &headers, body);
    Ok(())
}
