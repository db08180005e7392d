//! What the scenarios have in common: the operator's configuration, status reports and callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// Host of all routes.
pub const HOST: &str = "site.example";

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub gap_ms: u64,
    pub max_attempts: u32,
    pub is_resumable: bool,
}

/// Returns a configuration with these routes, of the services `plain` and `engine`.
pub fn config(version: u64, routes: &[Route], models: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        let Route { name, kind, service, timeout_ms, objective_ms, gap_ms, max_attempts, is_resumable } =
            route;
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"RouteType\":\"{kind}\",\
             \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{objective_ms},\"TargetGapMs\":{gap_ms},\
             \"Priority\":0,\"Service\":\"{service}\",\"MaxAttempts\":{max_attempts},\"Sticky\":false,\
             \"Resumable\":{is_resumable}}}"
        )
    });
    let models = models.iter().map(|name| {
        format!(
            "{{\"Name\":\"{name}\",\"WeightsMb\":90000,\"LoadS\":6,\"WarmS\":0.4,\"DiskS\":1.2,\
             \"Adapters\":0,\"AdapterMb\":0}}"
        )
    });
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"plain\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}},\
         {{\"Name\":\"engine\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Engine\":{{\"Slots\":64,\
         \"WeightsMb\":200000,\"AdapterSlots\":8,\"LoadsPerS\":3.7,\"Models\":[{}]}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,\
         \"IdleTimeoutMs\":30000}}}}",
        routes.collect::<Vec<_>>().join(","),
        models.collect::<Vec<_>>().join(",")
    )
}

/// Writes the workers' status reports to the store at the usual interval, until it is stopped.
pub struct Reports {
    is_stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Reports {
    pub fn start(store: &Arc<Store>, workers: &[Arc<Worker>]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stopped, store, workers) =
            (Arc::clone(&is_stopped), Arc::clone(store), workers.to_vec());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                for worker in &workers {
                    store.put("keyed.servers", worker.id(), &worker.status_report());
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
        Self { is_stopped, thread }
    }

    pub fn close(self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.join().expect("the reports have not panicked");
    }
}

/// Creates a temporary folder.
pub fn temporary_folder() -> PathBuf {
    let name = format!("scenario-{}-{}", std::process::id(), crate::record::unix_ms());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Returns a request for a stream of `model`, with a short body.
pub fn stream_request(route: &str, id: &str, model: &str, deadline_ms: u64) -> String {
    stream_request_with(route, id, model, deadline_ms, "hi")
}

/// Returns a request for a stream of `model`.
pub fn stream_request_with(
    route: &str,
    id: &str,
    model: &str,
    deadline_ms: u64,
    body: &str,
) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
         X-Lovageridge-Model: {model}\r\nX-Lovageridge-Token-Count: 826,290\r\n\
         X-Lovageridge-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// How a stream ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// Complete, with this last event.
    Complete { last_event: u64 },
    /// The instance closed the connection before the end, after this event.
    Closed { last_event: u64 },
    /// The caller lost patience.
    Abandoned { last_event: u64 },
    /// Another status than 200.
    Refused { status: u16 },
}

/// Sends a request for a stream on `connection` and reads the answer to its end; the caller leaves after
/// `patience` without an event.
pub fn call_stream(
    connection: &mut Connection,
    request: &str,
    id: &str,
    patience: Duration,
    record: &Record,
) -> End {
    record.line(&format!("caller sends {id}"));
    connection.set_patience(patience).expect("a time-out can be set");
    if connection.send(request).is_err() {
        return End::Closed { last_event: 0 };
    }
    let end = read_stream(connection);
    record.line(&format!("caller of {id}: {end:?}"));
    end
}

fn read_stream(connection: &mut Connection) -> End {
    let Some(head) = connection.read_head() else { return End::Closed { last_event: 0 } };
    if head.status() != 200 {
        return End::Refused { status: head.status() };
    }
    let mut text = String::new();
    let last_event = |text: &str| {
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).next_back().unwrap_or(0)
    };
    loop {
        let read_from = std::time::Instant::now();
        match connection.read_chunk() {
            Some(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Some(None) => return End::Complete { last_event: last_event(&text) },
            None => {
                let last_event = last_event(&text);
                let waited = read_from.elapsed();
                return match connection.patience().is_some_and(|patience| waited >= patience) {
                    true => End::Abandoned { last_event },
                    false => End::Closed { last_event },
                };
            }
        }
    }
}

/// Opens a connection to an instance.
pub fn connect(addr: SocketAddr) -> Connection {
    Connection::open(addr).expect("the instance accepts connections")
}
