//! HTTP server of the platform's stand-ins. Each connection has a thread, so that a call that waits
//! delays no other.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use crate::process::listen;

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
        let listener = listen()?;
        let addr = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let thread_stopped = Arc::clone(&stopped);
        let handler = Arc::new(handler);
        let thread =
            thread::spawn(move || accept_connections(&listener, &handler, &thread_stopped));
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

fn accept_connections<F>(listener: &TcpListener, handler: &Arc<F>, stopped: &Arc<AtomicBool>)
where
    F: Fn(&mut TcpStream, &Request) -> bool + Send + Sync + 'static,
{
    for stream in listener.incoming().flatten() {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let (handler, stopped) = (Arc::clone(handler), Arc::clone(stopped));
        // A failed connection only ends its thread; tests look at the stand-in's counts instead.
        thread::spawn(move || serve_connection(stream, &*handler, &stopped));
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
