//! HTTP server of the platform's stand-ins. Each connection has a thread, so that a call that waits
//! delays no other.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::process::listen;

/// Pause between checks whether a suspended port opens again.
const SUSPENDED_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// A complete HTTP request.
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body; empty without a content length.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first header with this lowercase name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Iterates over the values of all headers with this lowercase name.
    pub fn headers(&self, name: &str) -> impl Iterator<Item = &str> {
        self.headers.iter().filter(move |(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path without its query.
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns the value of the query parameter `name` as sent, without decoding.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Open connections of a port, and whether it currently takes new ones.
#[derive(Default)]
pub struct PortState {
    addr: Mutex<Option<SocketAddr>>,
    suspended_until: Mutex<Option<Instant>>,
    // Time until which the port of a process that has ended still takes connections, without an answer.
    lingers_until: Mutex<Option<Instant>>,
    connections: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl PortState {
    /// Refuses new connections for `time` and then resets all open ones, as if the process had crashed and
    /// were started again.
    pub fn suspend(&self, time: Duration) {
        self.refuse(time);
        self.reset_connections();
    }

    /// Refuses new connections for `time`; open ones go on.
    pub fn refuse(&self, time: Duration) {
        *lock(&self.suspended_until) = Some(Instant::now() + time);
        // Each connection wakes the accepting thread, which closes its port.
        let addr = *lock(&self.addr);
        while self.is_suspended() && addr.is_some_and(|addr| TcpStream::connect(addr).is_ok()) {
            thread::sleep(SUSPENDED_POLL_INTERVAL);
        }
    }

    /// Resets all open connections at once, as if the process had crashed, and closes the port `linger` later; until
    /// then, it takes connections that nobody serves. It opens again after `time`.
    pub fn suspend_with_linger(&self, linger: Duration, time: Duration) {
        let now = Instant::now();
        *lock(&self.lingers_until) = Some(now + linger);
        *lock(&self.suspended_until) = Some(now + time);
        self.reset_connections();
    }

    fn lingers(&self) -> bool {
        lock(&self.lingers_until).is_some_and(|until| Instant::now() < until)
    }

    fn reset_connections(&self) {
        for (_, stream) in lock(&self.connections).drain(..) {
            // Errors mean that the connection has ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the port refuses connections.
    pub fn is_suspended(&self) -> bool {
        lock(&self.suspended_until).is_some_and(|until| Instant::now() < until)
    }

    fn add(&self, peer: SocketAddr, stream: &TcpStream) {
        lock(&self.connections).extend(stream.try_clone().map(|stream| (peer, stream)));
    }

    /// Closes the second handle of a connection, so that the connection ends with its thread.
    fn remove(&self, peer: SocketAddr) {
        lock(&self.connections).retain(|(addr, _)| *addr != peer);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A port whose connections are served until it is closed.
pub struct Listener {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Listener {
    /// Listens on a free loopback port; `handler` writes the response to a request and returns false
    /// when the connection is to be closed.
    ///
    /// # Errors
    /// Fails when it cannot listen on a free port.
    pub fn start(
        handler: impl Fn(&mut TcpStream, &Request) -> bool + Send + Sync + 'static,
    ) -> Result<Self, anyhow::Error> {
        Self::start_with(Arc::default(), handler)
    }

    /// Like `start`; `port` suspends the listener.
    ///
    /// # Errors
    /// Fails when it cannot listen on a free port.
    pub fn start_with(
        port: Arc<PortState>,
        handler: impl Fn(&mut TcpStream, &Request) -> bool + Send + Sync + 'static,
    ) -> Result<Self, anyhow::Error> {
        let listener = listen()?;
        let addr = listener.local_addr()?;
        *lock(&port.addr) = Some(addr);
        let stopped = Arc::new(AtomicBool::new(false));
        let thread_stopped = Arc::clone(&stopped);
        let handler = Arc::new(handler);
        let thread =
            thread::spawn(move || accept_connections(listener, &port, &handler, &thread_stopped));
        Ok(Self { addr, stopped, thread })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the port: when this returns, connections to it are refused.
    pub fn close(self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread; if the connection fails, the thread has ended already.
        let _ = TcpStream::connect(self.addr);
        // A thread that panicked has closed its port as well.
        let _ = self.thread.join();
    }
}

fn accept_connections<F>(
    listener: TcpListener,
    port: &Arc<PortState>,
    handler: &Arc<F>,
    stopped: &Arc<AtomicBool>,
) where
    F: Fn(&mut TcpStream, &Request) -> bool + Send + Sync + 'static,
{
    let mut listener = Some(listener);
    let mut unserved = Vec::new();
    loop {
        if port.is_suspended() {
            if !port.lingers() {
                listener = None;
                unserved.clear();
            }
            thread::sleep(SUSPENDED_POLL_INTERVAL);
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            continue;
        }
        let addr = *lock(&port.addr);
        let open = listener.take().or_else(|| TcpListener::bind(addr?).ok());
        let Some(open) = open else { continue };
        let accepted = open.accept();
        listener = Some(open);
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok((stream, peer)) = accepted else { continue };
        if port.is_suspended() {
            // It stands as long as the port.
            unserved.push(stream);
            continue;
        }
        port.add(peer, &stream);
        let (handler, stopped) = (Arc::clone(handler), Arc::clone(stopped));
        // A failed connection only ends its thread; tests look at the stand-in's counts instead.
        let port = Arc::clone(port);
        thread::spawn(move || {
            serve_connection(stream, &*handler, &stopped);
            port.remove(peer);
        });
    }
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &impl Fn(&mut TcpStream, &Request) -> bool,
    stopped: &AtomicBool,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if stopped.load(Ordering::Relaxed) || !handler(&mut stream, &request) {
            return;
        }
    }
}

/// Writes a response; returns false when the connection has failed.
pub fn write_response(stream: &mut TcpStream, status: &str, body: &[u8]) -> bool {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut slots);
        if let Ok(httparse::Status::Complete(len)) = parsed.parse(buffer) {
            let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
            let headers = parsed.headers.iter();
            let headers =
                headers.map(|header| (header.name.to_ascii_lowercase(), text(header.value)));
            let headers: Vec<(String, String)> = headers.collect();
            let method = parsed.method?.to_owned();
            let path = parsed.path?.to_owned();
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.and_then(|(_, text)| text.parse().ok()).unwrap_or(0);
            while buffer.len() < len + length {
                read_more(stream, buffer)?;
            }
            let body = buffer[len..len + length].to_vec();
            buffer.drain(..len + length);
            return Some(Request { method, path, headers, body });
        }
        read_more(stream, buffer)?;
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 4096];
    let count = stream.read(&mut bytes).ok()?;
    buffer.extend_from_slice(&bytes[..count]);
    (count > 0).then_some(())
}
