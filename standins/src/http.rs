//! A small HTTP server for stand-ins: a thread for each request, on a loopback port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::anyhow;
use serde::Serialize;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::process::listen;

/// Threads that accept requests.
const ACCEPT_THREADS: usize = 2;
/// Longest wait for a request, so that a stop is noticed.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// A running server.
pub struct HttpServer {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// Returns why the port cannot be had.
    pub fn start(handler: impl Fn(Request) + Send + Sync + 'static) -> Result<Self, anyhow::Error> {
        let server = Server::from_listener(listen()?, None).map_err(|e| anyhow!("{e}"))?;
        let addr = server.server_addr().to_ip().ok_or_else(|| anyhow!("no IP address"))?;
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..ACCEPT_THREADS)
            .map(|_| {
                let (server, handler) = (Arc::clone(&server), Arc::clone(&handler));
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || accept(&server, &handler, &stopped))
            })
            .collect();
        Ok(Self { addr, stopped, threads })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting requests.
    pub fn close(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A thread that has panicked has nothing left to end.
            let _ = thread.join();
        }
    }
}

fn accept<F: Fn(Request) + Send + Sync + 'static>(
    server: &Server,
    handler: &Arc<F>,
    stopped: &AtomicBool,
) {
    while !stopped.load(Ordering::Relaxed) {
        if let Ok(Some(request)) = server.recv_timeout(ACCEPT_TIMEOUT) {
            let handler = Arc::clone(handler);
            thread::spawn(move || handler(request));
        }
    }
}

/// Returns the value of the query parameter `name`.
pub fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let (_, query) = request.url().split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
}

/// Returns the path without its query.
pub fn path(request: &Request) -> &str {
    request.url().split('?').next().unwrap_or_default()
}

/// Reads the body as text.
pub fn body_text(request: &mut Request) -> String {
    let mut text = String::new();
    // A body that breaks off is cut short, as it would be for a real service.
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Replies with JSON.
pub fn json(request: Request, status_code: u16, value: &impl Serialize) {
    let text = serde_json::to_string(value).unwrap_or_default();
    // A caller that has left needs no answer.
    let _ = request.respond(Response::from_string(text).with_status_code(status_code));
}

/// Leaves the request without an answer: the caller's connection stays open and silent.
pub fn hold(request: Request, time: Duration) {
    let writer = request.into_writer();
    thread::sleep(time);
    drop(writer);
}
