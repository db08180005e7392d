//! The callers' port: connections, limits on what callers send, and the choice of a route.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::answer::OutBody;
use crate::gateway::answer::Refusal;
use crate::gateway::attempt;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::RETRY_STOPPING_MS;
use crate::gateway::caller_timeouts::CallerStream;
use crate::gateway::caller_timeouts::CallerTimeouts;
use crate::gateway::caller_timeouts::Expired;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Limits;
use crate::gateway::catalog::Route;
use crate::gateway::eventlog::Weight;
use crate::gateway::link;
use crate::gateway::waits::Target;
use crate::platform;
use crate::platform::headers;
use crate::telemetry::events;

/// Smallest buffer that the HTTP library accepts for heads, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8192;
/// Time for which a caller waits that names none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// When to come back to an instance that knows no configuration yet, in ms.
const RETRY_STARTING_MS: u64 = 500;
/// Answer to a caller whose request's head has not arrived in time.
const HEAD_TIMED_OUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Pause after a failed accept, for descriptors to come free.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers' connections until the process ends.
pub async fn run_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(serve_connection(gateway, stream));
            }
            Err(error) => {
                note_accept_failed(&gateway, "callers", &error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn note_accept_failed(gateway: &Gateway, port: &str, error: &std::io::Error) {
    let line = gateway.log.line(events::ACCEPT_FAILED, Weight::Notable);
    line.text("port", port).text("detail", error).close();
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    if link::tune(&stream).is_err() {
        // The caller has closed the connection already.
        return;
    }
    let limits = gateway.catalog().map_or_else(Limits::default, |catalog| catalog.limits.clone());
    let timeouts = Rc::new(CallerTimeouts::new(&limits));
    let stream = CallerStream::new(stream, &timeouts);
    let (for_service, for_requests) = (Rc::clone(&gateway), Rc::clone(&timeouts));
    let service =
        service_fn(move |request| handle(Rc::clone(&for_service), &for_requests, request));
    // The library's own limit counts an idle connection's wait for the next head as part of it.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    // Errors here are callers that went away or broke the protocol, which ends the connection.
    let expired = tokio::select! {
        biased;
        _ = &mut connection => return,
        expired = timeouts.expired() => Some(expired),
        () = gateway.close_told.notified() => None,
    };
    if expired == Some(Expired::Head) {
        let cause = "the head took too long";
        gateway.metrics.requests_total.with_label_values(&["", cause]).inc();
        let line = gateway.log.line(events::REQUEST_REFUSED, Weight::Notable);
        line.text("outcome", cause).number("status", StatusCode::REQUEST_TIMEOUT.as_u16()).close();
        let mut stream = connection.into_parts().io.into_inner();
        // A caller that no longer reads goes without the answer.
        let _ = stream.write_all(HEAD_TIMED_OUT).await;
        return;
    }
    Pin::new(&mut connection).graceful_shutdown();
    let _ = connection.await;
}

/// A request that has arrived and whose answer is not at its end.
pub struct InProgress {
    gateway: Rc<Gateway>,
    timeouts: Rc<CallerTimeouts>,
}

impl InProgress {
    fn new(gateway: &Rc<Gateway>, timeouts: &Rc<CallerTimeouts>) -> Self {
        gateway.count_in_progress(1);
        timeouts.on_request();
        Self { gateway: Rc::clone(gateway), timeouts: Rc::clone(timeouts) }
    }
}

// A caller that leaves drops its request wherever that waits.
impl Drop for InProgress {
    fn drop(&mut self) {
        self.gateway.count_in_progress(-1);
        self.timeouts.on_answered();
    }
}

fn handle(
    gateway: Rc<Gateway>,
    timeouts: &Rc<CallerTimeouts>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<OutBody>, Infallible>> + use<> {
    let counted = InProgress::new(&gateway, timeouts);
    answer(gateway, counted, request)
}

async fn answer(
    gateway: Rc<Gateway>,
    counted: InProgress,
    request: Request<Incoming>,
) -> Result<Response<OutBody>, Infallible> {
    let mut response = respond(&gateway, request).await;
    response.body_mut().keep_until_end(counted);
    if gateway.leaving.get() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<OutBody> {
    let arrived_ms = gateway.now_ms();
    let (parts, body) = request.into_parts();
    let fields = headers::read_call(&parts.headers);
    let id = fields.id.clone();
    let refuse = |refusal: Refusal| {
        let line = gateway.log.line(events::REQUEST_REFUSED, Weight::Notable);
        line.text("request", id.as_deref().unwrap_or(""))
            .text("path", parts.uri.path())
            .text("outcome", refusal.cause)
            .number("status", refusal.status.as_u16())
            .close();
        gateway.metrics.requests_total.with_label_values(&["", refusal.cause]).inc();
        refusal.into_response(id.as_deref())
    };
    // The body is read before any refusal, so that the answer is not lost to a reset.
    let limits = gateway.catalog().map_or_else(Limits::default, |catalog| catalog.limits.clone());
    let body = match read_body(body, &limits).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    if gateway.refusing.get() {
        // What begins now might not end before the kill.
        return refuse(Refusal::not_run("the instance is stopping", RETRY_STOPPING_MS));
    }
    let Some(catalog) = gateway.catalog() else {
        return refuse(Refusal::not_run("no configuration is known yet", RETRY_STARTING_MS));
    };
    if fields.id.is_none() {
        // Without an id no answer can be told from that to another request.
        return refuse(Refusal::failed(StatusCode::BAD_REQUEST, "the request has no id"));
    }
    let host = parts.headers.get(hyper::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.unwrap_or("").split(':').next().unwrap_or("").to_ascii_lowercase();
    let Some(route) = catalog.route(&host, parts.uri.path()).cloned() else {
        return refuse(Refusal::failed(StatusCode::NOT_FOUND, "no route matches"));
    };
    let service = draw_service(&route, &catalog, gateway);
    let waits_ms = fields.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
    let target = fields.model.clone().filter(|_| catalog.engine(&service).is_some());
    let target = target.map(|model| Target {
        service: service.clone(),
        model,
        adapter: fields.adapter.clone(),
    });
    // A resumed stream of a route that does not allow it is sent as it came: the worker decides.
    let call = Call {
        method: parts.method.clone(),
        uri: parts.uri.clone(),
        headers: parts.headers.clone(),
        body,
        fields,
        catalog,
        route,
        service,
        target,
        arrived_ms,
        give_up_ms: arrived_ms + waits_ms,
    };
    attempt::answer(gateway, call).await
}

/// Reads the whole body of a request.
async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let mut body = Limited::new(body, limits.body_bytes);
    let pause = Duration::from_millis(limits.idle_timeout_ms);
    let mut read: Vec<Bytes> = Vec::new();
    loop {
        match timeout(pause, body.frame()).await {
            Ok(None) if read.len() > 1 => return Ok(read.concat().into()),
            Ok(None) => return Ok(read.pop().unwrap_or_default()),
            // Trailers are not passed on.
            Ok(Some(Ok(frame))) => read.extend(frame.into_data()),
            Ok(Some(Err(error))) if error.is::<LengthLimitError>() => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                return Err(Refusal::failed(status, "the body is too large"));
            }
            Ok(Some(Err(_))) => {
                return Err(Refusal::failed(StatusCode::BAD_REQUEST, "the body broke off"));
            }
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                return Err(Refusal::failed(status, "the body took too long"));
            }
        }
    }
}

/// Draws one of the route's services by weight, of those with a worker if there are any.
fn draw_service(route: &Route, catalog: &Catalog, gateway: &Gateway) -> String {
    let directory = gateway.directory.borrow();
    let has_worker = |service: &str| {
        directory.iter().any(|worker| worker.record.service == service && !worker.record.leaving)
    };
    let known =
        route.targets.iter().filter(|(service, _)| catalog.services.contains(service.as_str()));
    let mut candidates: Vec<&(String, f64)> =
        known.filter(|(service, weight)| *weight > 0.0 && has_worker(service)).collect();
    if candidates.is_empty() {
        candidates = route.targets.iter().collect();
    }
    let total: f64 = candidates.iter().map(|(_, weight)| weight).sum();
    let mut left = rand::random::<f64>() * total;
    for (service, weight) in &candidates {
        left -= weight;
        if left <= 0.0 {
            return service.clone();
        }
    }
    candidates.last().map_or_else(String::new, |(service, _)| service.clone())
}

/// Answers the balancer's questions whether the instance is ready.
pub async fn run_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    let for_answers = Rc::clone(&gateway);
    run_plain(&gateway, "ready", listener, move |path: &str| {
        if path != platform::READY_PATH {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        let ready = for_answers.is_ready();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Vec::new())
    })
    .await;
}

/// Serves the metrics.
pub async fn run_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    let for_answers = Rc::clone(&gateway);
    run_plain(&gateway, "metrics", listener, move |_: &str| {
        let metrics = &for_answers.metrics;
        metrics.log_lines_dropped.set(for_answers.log.dropped() as i64);
        (StatusCode::OK, metrics.text())
    })
    .await;
}

async fn run_plain(
    gateway: &Gateway,
    port: &str,
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, Vec<u8>) + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                note_accept_failed(gateway, port, &error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = Rc::clone(&answer);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, body) = answer(request.uri().path());
            async move {
                let mut response = Response::new(OutBody::whole(body));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A questioner that went away needs no answer.
            let _ = connection.await;
        });
    }
}
