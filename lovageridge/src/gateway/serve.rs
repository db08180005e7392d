//! HTTP servers of an instance: callers' port with limits and routing, readiness and metrics.

use std::cell::Cell;
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
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::accounts;
use crate::gateway::allotments;
use crate::gateway::attempt;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::RETRY_AFTER_STOPPING_MS;
use crate::gateway::body::BodyBuffer;
use crate::gateway::caller_timeouts::CallerStream;
use crate::gateway::caller_timeouts::CallerTimeouts;
use crate::gateway::caller_timeouts::ExpiredTimeout;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Limits;
use crate::gateway::catalog::Route;
use crate::gateway::connection;
use crate::gateway::eventlog::Severity;
use crate::gateway::memory;
use crate::gateway::memory::driver::BodyReservation;
use crate::gateway::response::Refusal;
use crate::gateway::response::ResponseBody;
use crate::gateway::waits::Target;
use crate::platform;
use crate::platform::headers;
use crate::telemetry::events;

/// Smallest header buffer that the HTTP library accepts, in bytes.
const HEADER_BUFFER_MIN_BYTES: usize = 8192;
/// Deadline of a request that names none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Retry-After of an instance that has no configuration yet, in ms.
const RETRY_AFTER_STARTING_MS: u64 = 500;
/// Response to a caller whose request headers have not arrived in time.
const HEADER_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Pause after a failed accept, during which file descriptors may be freed.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers' connections until the process ends.
pub async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(serve_connection(gateway, stream));
            }
            Err(error) => {
                log_accept_failed(&gateway, "callers", &error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn log_accept_failed(gateway: &Gateway, port: &str, error: &std::io::Error) {
    let line = gateway.log.line(events::ACCEPT_FAILED, Severity::Notable);
    line.text("port", port).text("detail", error).emit();
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let is_limited = gateway.memory.is_limited();
    let tuned = if is_limited { connection::tune_slow(&stream) } else { connection::tune(&stream) };
    if tuned.is_err() {
        // The caller has closed the connection already.
        return;
    }
    let limits = gateway.catalog().map_or_else(Limits::default, |catalog| catalog.limits.clone());
    let timeouts = Rc::new(CallerTimeouts::new(&limits));
    let stream = CallerStream::new(stream, &timeouts);
    let (service_gateway, service_timeouts) = (Rc::clone(&gateway), Rc::clone(&timeouts));
    let service =
        service_fn(move |request| handle(Rc::clone(&service_gateway), &service_timeouts, request));
    // The library's own header timeout would also count the idle time before a request.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(HEADER_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    // Errors here mean that the caller has disconnected or violated the protocol.
    let expired = tokio::select! {
        biased;
        _ = &mut connection => return,
        () = timeouts.wait_cut() => return,
        expired = timeouts.wait_expired() => Some(expired),
        () = gateway.drain_started.notified() => None,
    };
    if expired == Some(ExpiredTimeout::Headers) {
        let cause = "the head took too long";
        gateway.metrics.requests_total.with_label_values(&["", cause]).inc();
        let line = gateway.log.line(events::REQUEST_REFUSED, Severity::Notable);
        line.text("outcome", cause).number("status", StatusCode::REQUEST_TIMEOUT.as_u16()).emit();
        let mut stream = connection.into_parts().io.into_inner();
        // The caller may have disconnected; then nobody needs the response.
        let _ = stream.write_all(HEADER_TIMEOUT_RESPONSE).await;
        return;
    }
    Pin::new(&mut connection).graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = timeouts.wait_cut() => {}
    }
}

/// Counts a request as in progress until its response has been sent or dropped.
pub struct InProgressGuard {
    gateway: Rc<Gateway>,
    /// Timeouts of the caller's connection.
    pub timeouts: Rc<CallerTimeouts>,
}

impl InProgressGuard {
    fn new(gateway: &Rc<Gateway>, timeouts: &Rc<CallerTimeouts>) -> Self {
        gateway.change_in_progress(1);
        timeouts.on_request();
        Self { gateway: Rc::clone(gateway), timeouts: Rc::clone(timeouts) }
    }
}

// When a caller disconnects, its request's future is dropped at whatever point it has reached.
impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.gateway.change_in_progress(-1);
        self.timeouts.on_response_end();
    }
}

fn handle(
    gateway: Rc<Gateway>,
    timeouts: &Rc<CallerTimeouts>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<ResponseBody>, Infallible>> + use<> {
    let guard = InProgressGuard::new(&gateway, timeouts);
    respond_tracked(gateway, guard, request)
}

async fn respond_tracked(
    gateway: Rc<Gateway>,
    guard: InProgressGuard,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = dispatch(&gateway, request).await;
    response.body_mut().attach_guard(guard);
    if gateway.shutting_down.get() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

async fn dispatch(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived_ms = gateway.now_ms();
    let (parts, body) = request.into_parts();
    let fields = headers::parse_request(&parts.headers);
    let id = fields.id.clone();
    let refuse = |refusal: Refusal| {
        let line = gateway.log.line(events::REQUEST_REFUSED, Severity::Notable);
        line.text("request", id.as_deref().unwrap_or(""))
            .text("path", parts.uri.path())
            .text("outcome", refusal.cause)
            .number("status", refusal.status.as_u16())
            .emit();
        gateway.metrics.requests_total.with_label_values(&["", refusal.cause]).inc();
        refusal.into_response(id.as_deref())
    };
    // Refusing before the body has been read could reset the connection and lose the response.
    let limits = gateway.catalog().map_or_else(Limits::default, |catalog| catalog.limits.clone());
    let body = match read_body(gateway, body, &limits).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    if gateway.refusing_requests.get() {
        // A request that starts now might not finish before the process is killed.
        return refuse(Refusal::not_run("the instance is stopping", RETRY_AFTER_STOPPING_MS));
    }
    let Some(catalog) = gateway.catalog() else {
        return refuse(Refusal::not_run("no configuration is known yet", RETRY_AFTER_STARTING_MS));
    };
    if fields.id.is_none() {
        // Without an id, a response cannot be matched to its request.
        return refuse(Refusal::failed(StatusCode::BAD_REQUEST, "the request has no id"));
    }
    let host = parts.headers.get(hyper::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.unwrap_or("").split(':').next().unwrap_or("").to_ascii_lowercase();
    let Some(route) = catalog.route(&host, parts.uri.path()).cloned() else {
        return refuse(Refusal::failed(StatusCode::NOT_FOUND, "no route matches"));
    };
    let account = match accounts::driver::check(gateway, &catalog, route.is_public, &fields.key) {
        Ok(account) => account,
        Err(refusal) => return refuse(refusal),
    };
    let service = pick_service(&route, &catalog, gateway);
    let timeout_ms = fields.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
    let target = fields.model.clone().filter(|_| catalog.engine(&service).is_some());
    let target = target.map(|model| Target {
        service: service.clone(),
        model,
        adapter: fields.adapter.clone(),
    });
    // A request to resume a stream is forwarded even on a route that is not resumable; the worker
    // decides.
    let mut call = Call {
        method: parts.method.clone(),
        uri: origin_form(&parts.uri),
        headers: parts.headers.clone(),
        body,
        fields,
        account,
        catalog,
        route,
        service,
        target,
        arrived_ms,
        admitted_ms: arrived_ms,
        deadline_at_ms: arrived_ms + timeout_ms,
        is_probe: Cell::new(false),
    };
    if let Some((account, cost)) = call.allotment_cost() {
        let until_ms = call.deadline_at_ms;
        if let Err(refusal) = allotments::driver::admit(gateway, account, cost, until_ms).await {
            return refuse(refusal);
        }
        call.admitted_ms = gateway.now_ms();
    }
    attempt::handle(gateway, call).await
}

/// Returns the path and query of a target. Callers may send it with scheme and host, as to a proxy.
fn origin_form(target: &Uri) -> Uri {
    target.path_and_query().map_or_else(|| target.clone(), |path| Uri::from(path.clone()))
}

/// Reads the body of a request, within the limits on its size and on pauses. A body that does not fit
/// into the memory is read to its end as well, without keeping it.
async fn read_body(gateway: &Gateway, body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    // Longer bodies are refused by their length.
    let announced_bytes = body.size_hint().exact().unwrap_or(0).min(limits.max_body_bytes as u64);
    let mut reservation = BodyReservation::new(&gateway.memory, announced_bytes);
    let mut body = Limited::new(body, limits.max_body_bytes);
    let frame_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let mut buffer = BodyBuffer::with_expected(announced_bytes as usize);
    loop {
        match timeout(frame_timeout, body.frame()).await {
            Ok(None) => {
                let finished = reservation.finish(buffer.finish());
                return finished.map_err(|class| memory::driver::refuse(gateway, class));
            }
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded.
                if let Ok(part) = frame.into_data() {
                    if reservation.cover((buffer.bytes() + part.len()) as u64) {
                        buffer.push(part);
                    } else {
                        buffer = BodyBuffer::default();
                    }
                }
            }
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

/// Picks one of the route's services at random by weight, preferring services that have workers.
fn pick_service(route: &Route, catalog: &Catalog, gateway: &Gateway) -> String {
    let directory = gateway.directory.borrow();
    let has_worker = |service: &str| {
        directory.iter().any(|worker| worker.record.service == service && !worker.is_leaving())
    };
    let known =
        route.targets.iter().filter(|(service, _)| catalog.services.contains(service.as_str()));
    let mut candidates: Vec<&(String, f64)> =
        known.filter(|(service, weight)| *weight > 0.0 && has_worker(service)).collect();
    if candidates.is_empty() {
        candidates = route.targets.iter().collect();
    }
    let total: f64 = candidates.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rand::random::<f64>() * total;
    for (service, weight) in &candidates {
        remaining -= weight;
        if remaining <= 0.0 {
            return service.clone();
        }
    }
    candidates.last().map_or_else(String::new, |(service, _)| service.clone())
}

/// Serves the readiness probe of the load balancer.
pub async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler_gateway = Rc::clone(&gateway);
    serve_status_port(&gateway, "ready", listener, move |path: &str| {
        if path != platform::READY_PATH {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        let ready = handler_gateway.is_ready();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Vec::new())
    })
    .await;
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler_gateway = Rc::clone(&gateway);
    serve_status_port(&gateway, "metrics", listener, move |_: &str| {
        let metrics = &handler_gateway.metrics;
        metrics.log_lines_dropped.set(handler_gateway.log.dropped() as i64);
        (StatusCode::OK, metrics.text())
    })
    .await;
}

async fn serve_status_port(
    gateway: &Gateway,
    port: &str,
    listener: TcpListener,
    handler: impl Fn(&str) -> (StatusCode, Vec<u8>) + 'static,
) {
    let handler = Rc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log_accept_failed(gateway, port, &error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = Rc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, body) = handler(request.uri().path());
            async move {
                let mut response = Response::new(ResponseBody::complete(body));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Errors mean that the client has disconnected.
            let _ = connection.await;
        });
    }
}
