//! Connections to upstreams, workers and the store.

use std::cell::Cell;
use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::outbound;

#[cfg(test)]
mod tests;

/// Body of an outgoing request.
pub type SendBody = Full<Bytes>;

/// Time after which unacknowledged data closes a connection; detects unresponsive peers.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same where callers may pause; it also closes connections whose peer leaves no room for data.
const SLOW_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Unsent bytes up to which a connection of a slow caller takes more, so that progress is seen in time and the
/// socket holds little.
const SLOW_UNSENT_BYTES: u32 = 16 << 10;
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time without any part of a response that is being transferred.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for the transfer of a response; the largest one takes it at about 6 Mbit/s.
const TRANSFER_MAX: Duration = Duration::from_secs(10);
/// Largest response body that a call to the store accepts, in bytes.
const STORE_RESPONSE_MAX_BYTES: usize = 8 << 20;
/// Largest response body that a call to a worker accepts, in bytes; many workers are called at the same
/// time.
const WORKER_RESPONSE_MAX_BYTES: usize = 256 << 10;
/// Largest response headers, in bytes.
const RESPONSE_HEADERS_MAX_BYTES: usize = 64 << 10;
/// Largest number of interim responses before a final one.
const INTERIM_RESPONSES_MAX: u32 = 16;

/// Why a call has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no connection; nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// There is no complete response; the request may have arrived.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status code.
    pub status_code: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Returns the text of a connection error, including its source.
pub fn error_text(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Opens a connection to `addr`.
///
/// # Errors
/// Returns `Error::Connect` if the connection fails; nothing has been sent.
pub async fn dial(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<SendRequest<SendBody>, Error> {
    let connecting = timeout(connect_timeout, TcpStream::connect(addr));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::Connect(error.to_string())),
        Err(_) => return Err(Error::Connect("timed out".to_owned())),
    };
    tune(&stream).map_err(|error| Error::Connect(error.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(RESPONSE_HEADERS_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Connect(error.to_string()))?;
    // Errors are reported by each call on the connection.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Bounds the interim responses to a request; the returned future completes when there are too many.
pub fn limit_interim_responses<B>(request: &mut Request<B>) -> impl Future<Output = ()> + use<B> {
    let exceeded = Arc::new(Notify::new());
    let (notify, received) = (Arc::clone(&exceeded), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) >= INTERIM_RESPONSES_MAX {
            notify.notify_one();
        }
    });
    async move { exceeded.notified().await }
}

/// Returns whether `addr` refuses connections, that is, whether no process listens there.
pub async fn is_refused(addr: SocketAddr, connect_timeout: Duration) -> bool {
    match timeout(connect_timeout, TcpStream::connect(addr)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns whether a response has a length or chunks, so that its end differs from that of a connection that
/// breaks.
pub fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    // Only chunks mark an end, and only if they are the last coding.
    let is_chunked = |codings: &HeaderValue| {
        let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
        last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
    };
    response.body().is_end_stream()
        || match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(codings) => is_chunked(codings),
            None => headers.contains_key(CONTENT_LENGTH),
        }
}

/// Sets the socket options that close a connection whose peer stops responding.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    tune_with(stream, USER_TIMEOUT)
}

/// Sets the same options for a caller that may pause for longer.
pub fn tune_slow(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(SLOW_UNSENT_BYTES)?;
    tune_with(stream, SLOW_USER_TIMEOUT)
}

fn tune_with(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// A client that makes one call at a time on a persistent connection, and reconnects when needed.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    response_max_bytes: usize,
    sender: Option<SendRequest<SendBody>>,
}

impl HttpClient {
    /// Returns a client for the store that connects at its first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, response_max_bytes: STORE_RESPONSE_MAX_BYTES, sender: None }
    }

    /// Returns a client for a worker that connects at its first call.
    pub fn for_worker(addr: SocketAddr) -> Self {
        Self { response_max_bytes: WORKER_RESPONSE_MAX_BYTES, ..Self::new(addr) }
    }

    /// Changes the address; a connection to the previous one is closed.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        if addr != self.addr {
            self.addr = addr;
            self.close();
        }
    }

    /// Closes the connection; the next call opens a new one.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Opens a connection for the next call, unless there is one.
    ///
    /// # Errors
    /// Returns `Error::Connect` if the connection fails.
    pub async fn connect(&mut self, connect_timeout: Duration) -> Result<(), Error> {
        if !self.sender.as_ref().is_some_and(SendRequest::is_ready) {
            self.sender = Some(dial(self.addr, connect_timeout).await?);
        }
        Ok(())
    }

    /// Makes a call and reads the complete response within `call_timeout`; a failed call closes the
    /// connection.
    ///
    /// # Errors
    /// Returns `Error::Connect` if nothing was sent, `Error::NoAnswer` if the request may have
    /// arrived.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<CallResponse, Error> {
        let request = build_request(self.addr, method, path, headers, body)?;
        let limits = ResponseLimits {
            body_max_bytes: self.response_max_bytes,
            head: call_timeout,
            progress: call_timeout,
            total: call_timeout,
        };
        self.exchange(request, &limits, || {}).await
    }

    /// Reads `path`, however long the response takes while it keeps arriving: `head_timeout` bounds the
    /// time to its head. `on_progress` is called whenever a part of a
    /// successful response has arrived.
    ///
    /// # Errors
    /// As for `call`.
    pub async fn read(
        &mut self,
        path: &str,
        head_timeout: Duration,
        on_progress: impl Fn(),
    ) -> Result<CallResponse, Error> {
        let request = build_request(self.addr, Method::GET, path, HeaderMap::new(), Bytes::new())?;
        let limits = ResponseLimits {
            body_max_bytes: self.response_max_bytes,
            head: head_timeout,
            progress: PROGRESS_TIMEOUT,
            total: head_timeout + TRANSFER_MAX,
        };
        self.exchange(request, &limits, on_progress).await
    }

    async fn exchange(
        &mut self,
        request: Request<SendBody>,
        limits: &ResponseLimits,
        on_progress: impl Fn(),
    ) -> Result<CallResponse, Error> {
        let reused = self.sender.take();
        let received_bytes = Cell::new(0);
        let on_progress = |bytes: usize| {
            received_bytes.set(bytes);
            on_progress();
        };
        let calling = exchange(self.addr, reused, request, limits, on_progress);
        let (response, sender) = match timeout(limits.total, calling).await {
            Ok(result) => result?,
            Err(_) => return Err(timed_out(received_bytes.get())),
        };
        self.sender = Some(sender);
        Ok(response)
    }
}

fn build_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<SendBody>, Error> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| Error::Connect(format!("path {path:?}")))?;
    *request.headers_mut() = headers;
    let host = HeaderValue::from_str(&addr.to_string())
        .map_err(|error| Error::Connect(error.to_string()))?;
    request.headers_mut().insert(hyper::header::HOST, host);
    Ok(request)
}

/// Limits of a response.
struct ResponseLimits {
    body_max_bytes: usize,
    // Time to connect, and time from the request to the head of the response.
    head: Duration,
    // Longest time without a part of the body.
    progress: Duration,
    // Longest time of the whole call.
    total: Duration,
}

fn timed_out(received_bytes: usize) -> Error {
    Error::NoAnswer(format!("timed out after {received_bytes} bytes"))
}

async fn exchange(
    addr: SocketAddr,
    reused: Option<SendRequest<SendBody>>,
    mut request: Request<SendBody>,
    limits: &ResponseLimits,
    on_progress: impl Fn(usize),
) -> Result<(CallResponse, SendRequest<SendBody>), Error> {
    let mut sender = match reused {
        Some(sender) if sender.is_ready() => sender,
        _ => dial(addr, limits.head).await?,
    };
    let interim_exceeded = limit_interim_responses(&mut request);
    let no_answer = |error: hyper::Error| Error::NoAnswer(error.to_string());
    let response = tokio::select! {
        response = sender.send_request(request) => response.map_err(no_answer)?,
        () = interim_exceeded => {
            return Err(Error::NoAnswer("too many interim responses".to_owned()));
        }
        () = tokio::time::sleep(limits.head) => return Err(timed_out(0)),
    };
    let status_code = response.status().as_u16();
    if !outbound::is_valid_status(status_code) {
        return Err(Error::NoAnswer(format!("invalid status {status_code}")));
    }
    let headers = response.headers().clone();
    let is_success = response.status() == StatusCode::OK;
    let on_progress = |bytes: usize| {
        if is_success {
            on_progress(bytes);
        }
    };
    on_progress(0);
    let body = read_body(response.into_body(), limits, on_progress).await?;
    Ok((CallResponse { status_code, headers, body }, sender))
}

/// Reads a body; `on_progress` is called with the number of bytes so far whenever a part has arrived.
async fn read_body(
    body: Incoming,
    limits: &ResponseLimits,
    on_progress: impl Fn(usize),
) -> Result<Bytes, Error> {
    let expected_bytes = body.size_hint().exact().unwrap_or(0).min(limits.body_max_bytes as u64);
    let mut body = Limited::new(body, limits.body_max_bytes);
    let mut bytes = BytesMut::with_capacity(expected_bytes as usize);
    loop {
        let Ok(frame) = timeout(limits.progress, body.frame()).await else {
            return Err(timed_out(bytes.len()));
        };
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|error| Error::NoAnswer(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
            on_progress(bytes.len());
        }
    }
}
