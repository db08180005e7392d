//! Connections to upstreams, workers and the store.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Body of requests that the product sends.
pub type SendBody = Full<Bytes>;

/// Time after which unacknowledged data ends a connection, so that a silent peer is noticed.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection ends.
const KEEPALIVE_PROBES: u32 = 2;
/// Largest answer of a call whose body is read as a whole, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Why a call gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be had; nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The call may have arrived.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// An answer whose body has been read.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status_code: u16,
    /// Body.
    pub body: Bytes,
}

/// Returns the text of an error of a connection with its cause.
pub fn error_text(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Opens a connection to `addr`.
///
/// # Errors
/// Returns why there is none; nothing has been sent then.
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
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Connect(error.to_string()))?;
    // The outcome of each call is reported by the call itself.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sets the options that make a silent peer end the connection.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// A kept connection for calls one after another, opened again when it is lost.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    sender: Option<SendRequest<SendBody>>,
}

impl HttpClient {
    /// Returns a link that connects at its first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, sender: None }
    }

    /// Changes the address; a connection to another one is closed.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        if addr != self.addr {
            self.addr = addr;
            self.close();
        }
    }

    /// Closes the kept connection; the next call opens another one.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Makes a call and reads its whole answer; a call without answer drops the connection.
    ///
    /// # Errors
    /// Returns whether the call may have arrived.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout_limit: Duration,
    ) -> Result<CallResponse, Error> {
        let kept = self.sender.take();
        let calling = exchange(self.addr, kept, method, path, headers, body, timeout_limit);
        let (answer, sender) = match timeout(timeout_limit, calling).await {
            Ok(result) => result?,
            Err(_) => return Err(Error::NoAnswer("timed out".to_owned())),
        };
        self.sender = Some(sender);
        Ok(answer)
    }
}

async fn exchange(
    addr: SocketAddr,
    reused: Option<SendRequest<SendBody>>,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
    timeout_limit: Duration,
) -> Result<(CallResponse, SendRequest<SendBody>), Error> {
    let mut sender = match reused {
        Some(sender) if sender.is_ready() => sender,
        _ => dial(addr, timeout_limit).await?,
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| Error::Connect(format!("path {path:?}")))?;
    *request.headers_mut() = headers;
    let host = hyper::header::HeaderValue::from_str(&addr.to_string())
        .map_err(|error| Error::Connect(error.to_string()))?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let no_answer = |error: hyper::Error| Error::NoAnswer(error.to_string());
    let response = sender.send_request(request).await.map_err(no_answer)?;
    let status_code = response.status().as_u16();
    let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect().await;
    let body = body.map_err(|error| Error::NoAnswer(error.to_string()))?.to_bytes();
    Ok((CallResponse { status_code, body }, sender))
}
