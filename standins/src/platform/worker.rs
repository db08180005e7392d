//! A worker of the platform: answers plain calls and streams, holds models, obeys orders.
//!
//! It counts what really ran, what was broken off, and the most memory that was ever in use.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform::wire::Listener;
use crate::platform::wire::Request;
use crate::platform::wire::write_response;

/// Time between looks whether a caller is still there.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How the worker answers requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// As it should.
    Normal,
    /// Not at all, though it runs the request.
    Unresponsive,
    /// Resets the connection after running the request.
    Reset,
    /// Breaks streams off in the middle of the event after this many.
    InterruptAfter(u64),
    /// With 500.
    ServerError,
    /// With 503, not run.
    Overloaded,
    /// Twice.
    DuplicateResponse,
    /// With the id of another request.
    WrongId,
    /// Without its receipt.
    MissingReceipt,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Path.
    pub path: String,
    /// Time that the worker was given, in ms.
    pub deadline_ms: Option<u64>,
    /// Headers that a caller may not set but that arrived.
    pub has_forged_headers: bool,
    /// Start.
    pub started_at: Instant,
    /// Time of its end, once it has ended.
    pub ended_at: Option<Instant>,
    /// Whether its caller left before the end.
    pub cancelled: bool,
}

/// Sizes and times of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Memory for models, in MB.
    pub memory_mb: u64,
    /// Size of every model, in MB.
    pub model_mb: u64,
    /// Time of a load, in ms.
    pub load_ms: u64,
    /// Models held at the start.
    pub models: Vec<String>,
    /// Models on its disk.
    pub on_disk: Vec<String>,
    /// Events of a stream.
    pub events: u64,
    /// Time before each event, in ms.
    pub event_interval_ms: u64,
    /// Time of a plain call, in ms.
    pub work_ms: u64,
}

#[derive(Default)]
struct State {
    behavior: Option<Behavior>,
    resident_models: Vec<String>,
    busy_until: Option<Instant>,
    loading_model: Option<String>,
    orders_accepted: u64,
    highest_fence: u64,
    fences: Vec<u64>,
    loads: Vec<String>,
    peak_mb: u64,
    runs: Vec<Run>,
    requests: u64,
}

struct Shared {
    id: String,
    born_ms: u64,
    spec: WorkerSpec,
    state: Mutex<State>,
}

/// A running worker.
pub struct WorkerStandIn {
    listener: Listener,
    shared: Arc<Shared>,
}

impl WorkerStandIn {
    /// Starts a worker.
    ///
    /// # Errors
    /// Returns why no port can be had.
    pub fn start(id: &str, shape: WorkerSpec) -> Result<Self, anyhow::Error> {
        let state = State { resident_models: shape.models.clone(), ..State::default() };
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            born_ms: lovageridge::clock::unix_ms(),
            spec: shape,
            state: Mutex::new(state),
        });
        let for_calls = Arc::clone(&shared);
        let listener =
            Listener::start(move |stream, request| for_calls.handle_request(stream, request))?;
        Ok(Self { listener, shared })
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Changes how it answers.
    pub fn set_behavior(&self, manner: Behavior) {
        self.shared.lock().behavior = Some(manner);
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests that arrived, refused ones included.
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }

    /// Returns the models that were loaded, in order.
    pub fn loads(&self) -> Vec<String> {
        self.shared.lock().loads.clone()
    }

    /// Returns the fencing numbers of accepted orders, in order.
    pub fn fences(&self) -> Vec<u64> {
        self.shared.lock().fences.clone()
    }

    /// Returns the most memory that was ever in use, in MB.
    pub fn peak_mb(&self) -> u64 {
        self.shared.lock().peak_mb
    }

    /// Returns the worker's own record for the store.
    pub fn record(&self, state: &str) -> Vec<u8> {
        self.record_at(self.addr(), state)
    }

    /// Returns its record with the address of a relay in front of it.
    pub fn record_at(&self, addr: SocketAddr, state: &str) -> Vec<u8> {
        let held: Vec<serde_json::Value> = self
            .shared
            .finish_due_load()
            .iter()
            .map(|name| json!({"Name": name, "Adapters": []}))
            .collect();
        let shape = &self.shared.spec;
        let record = json!({
            "Service": shape.service, "Address": addr.to_string(), "Zone": shape.domain,
            "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Stage": "colocated",
            "Models": held, "AtHand": {"InMemory": [], "OnDisk": shape.on_disk}, "Seq": 1,
            "born": self.shared.born_ms,
        });
        record.to_string().into_bytes()
    }

    /// Stops accepting connections.
    pub fn close(self) {
        self.listener.close();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a load whose time has passed and returns the models held.
    fn finish_due_load(&self) -> Vec<String> {
        let mut state = self.lock();
        if state.busy_until.is_some_and(|until| Instant::now() >= until) {
            state.busy_until = None;
            if let Some(model) = state.loading_model.take() {
                state.resident_models.push(model);
            }
        }
        state.resident_models.clone()
    }

    /// Answers one request; false when the connection is to be closed.
    fn handle_request(&self, stream: &mut TcpStream, head: &Request) -> bool {
        let held = self.finish_due_load();
        let expected = head.header("x-lovageridge-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return self.respond_refused(stream, head, "421 Misdirected Request");
        }
        match head.path.as_str() {
            "/lovageridge/report" => return self.respond_report(stream, &held),
            "/lovageridge/order" => return self.handle_order(stream, head),
            _ => {}
        }
        self.lock().requests += 1;
        let manner = self.lock().behavior.unwrap_or(Behavior::Normal);
        let target = head.header("x-lovageridge-model").map(|name| name.split('/').next());
        if target.flatten().is_some_and(|model| !held.iter().any(|name| name == model)) {
            return self.respond_refused(stream, head, "421 Misdirected Request");
        }
        if manner == Behavior::Overloaded {
            return self.respond_refused(stream, head, "503 Service Unavailable");
        }
        let at = self.record_run(head);
        let keeps = if head.path.starts_with("/stream/") {
            self.respond_stream(stream, head, manner)
        } else {
            self.respond_plain(stream, head, manner)
        };
        let mut state = self.lock();
        state.runs[at].ended_at = Some(Instant::now());
        state.runs[at].cancelled = keeps.is_none();
        keeps.unwrap_or(false)
    }

    fn record_run(&self, head: &Request) -> usize {
        let forged =
            head.header("x-lovageridge-hold").is_some() || head.header("kv-from").is_some();
        let run = Run {
            id: head.header("x-lovageridge-attempt-id").unwrap_or_default().to_owned(),
            path: head.path.clone(),
            deadline_ms: head.header("x-lovageridge-deadline-ms").and_then(|ms| ms.parse().ok()),
            has_forged_headers: forged,
            started_at: Instant::now(),
            ended_at: None,
            cancelled: false,
        };
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    fn response_head(&self, head: &Request, status: &str, manner: Behavior) -> String {
        let id = head.header("x-lovageridge-attempt-id").unwrap_or_default();
        let id = if manner == Behavior::WrongId { "another" } else { id };
        let seal = match manner {
            Behavior::MissingReceipt => String::new(),
            _ => format!("X-Lovageridge-Server-Seal: seal-{}\r\n", self.id),
        };
        format!("HTTP/1.1 {status}\r\nX-Lovageridge-Attempt-Id: {id}\r\n{seal}")
    }

    /// Answers a plain call; `None` when the caller left, else whether the connection stays.
    fn respond_plain(
        &self,
        stream: &mut TcpStream,
        head: &Request,
        manner: Behavior,
    ) -> Option<bool> {
        let until = Instant::now() + Duration::from_millis(self.spec.work_ms);
        while Instant::now() < until {
            thread::sleep(POLL_INTERVAL.min(until - Instant::now()));
            if is_disconnected(stream) {
                return None;
            }
        }
        if manner == Behavior::Unresponsive {
            return wait_for_disconnect(stream);
        }
        if manner == Behavior::Reset {
            return Some(false);
        }
        let failing = manner == Behavior::ServerError;
        let status = if failing { "500 Internal Server Error" } else { "200 OK" };
        let body = format!("{} {} by {}", head.method, head.path, self.id);
        let start = self.response_head(head, status, manner);
        let text = format!("{start}Content-Length: {}\r\n\r\n{body}", body.len());
        let copies = if manner == Behavior::DuplicateResponse { 2 } else { 1 };
        Some(stream.write_all(text.repeat(copies).as_bytes()).is_ok())
    }

    /// Answers with a stream; `None` when the caller left, else whether the connection stays.
    fn respond_stream(
        &self,
        stream: &mut TcpStream,
        head: &Request,
        manner: Behavior,
    ) -> Option<bool> {
        if manner == Behavior::Unresponsive {
            return wait_for_disconnect(stream);
        }
        let start = self.response_head(head, "200 OK", manner);
        let text =
            format!("{start}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        let after: u64 = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in after + 1..=self.spec.events {
            thread::sleep(Duration::from_millis(self.spec.event_interval_ms));
            if is_disconnected(stream) {
                return None;
            }
            let event = event(id);
            if manner == Behavior::InterruptAfter(id - 1) {
                let part = &event[..event.len() / 2];
                stream.write_all(chunk(part).as_bytes()).ok()?;
                return Some(false);
            }
            stream.write_all(chunk(&event).as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
        Some(true)
    }

    fn respond_refused(&self, stream: &mut TcpStream, head: &Request, status: &str) -> bool {
        let id = head.header("x-lovageridge-attempt-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n\
             X-Lovageridge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    fn respond_report(&self, stream: &mut TcpStream, held: &[String]) -> bool {
        let state = self.lock();
        let models: Vec<serde_json::Value> =
            held.iter().map(|name| json!({"Name": name, "Version": 1, "Adapters": []})).collect();
        let body = json!({
            "Stage": "colocated", "Models": models, "Busy": state.busy_until.is_some(),
            "Seq": state.orders_accepted, "Waiting": 0, "Running": 0, "Handles": 0,
            "AtHand": {"InMemory": [], "OnDisk": self.spec.on_disk}, "born": self.born_ms,
        });
        drop(state);
        write_response(stream, "200 OK", body.to_string().as_bytes())
    }

    fn handle_order(&self, stream: &mut TcpStream, head: &Request) -> bool {
        let Ok(order) = serde_json::from_slice::<serde_json::Value>(&head.body) else {
            return write_response(stream, "400 Bad Request", b"{}");
        };
        let status = self.apply_order(&order);
        write_response(stream, status, b"{}")
    }

    fn apply_order(&self, order: &serde_json::Value) -> &'static str {
        let mut state = self.lock();
        let fence = order["Fence"].as_u64().unwrap_or(0);
        if fence < state.highest_fence {
            return "412 Precondition Failed";
        }
        state.highest_fence = fence;
        let expected = order["Expected"].as_u64();
        let differs = expected.is_some_and(|expected| expected != state.orders_accepted);
        if state.busy_until.is_some() || differs {
            return "409 Conflict";
        }
        let model = order["Model"].as_str().unwrap_or_default().to_owned();
        state.orders_accepted += 1;
        state.fences.push(fence);
        if order["Operation"] == "model_unload" {
            state.resident_models.retain(|name| *name != model);
            return "202 Accepted";
        }
        state.loads.push(model.clone());
        let used_mb = (state.resident_models.len() as u64 + 1) * self.spec.model_mb;
        state.peak_mb = state.peak_mb.max(used_mb);
        state.loading_model = Some(model);
        state.busy_until = Some(Instant::now() + Duration::from_millis(self.spec.load_ms));
        "202 Accepted"
    }
}

/// Returns the events 1 to `count` of a stream.
pub fn events(count: u64) -> String {
    (1..=count).map(event).collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Tells whether the other side has closed the connection.
fn is_disconnected(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let left = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    left || stream.set_nonblocking(false).is_err()
}

fn wait_for_disconnect(stream: &TcpStream) -> Option<bool> {
    while !is_disconnected(stream) {
        thread::sleep(POLL_INTERVAL);
    }
    None
}
