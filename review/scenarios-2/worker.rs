//! Stand-in for a worker of the platform: runs plain requests and streams, holds models, and carries out
//! orders to load and unload them.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Server;
use crate::record::Record;
use crate::record::unix_ms;

/// Time to load or unload a model.
const ORDER_TIME: Duration = Duration::from_millis(300);

/// Interval at which a waiting request looks for a place.
const QUEUE_POLL: Duration = Duration::from_millis(5);
/// Length from which on a body is a long one.
const LONG_BODY_BYTES: usize = 64 << 10;

/// What a worker is and how it answers.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: &'static str,
    pub service: &'static str,
    /// Models that it holds at the start.
    pub models: &'static [&'static str],
    /// Requests that it processes at the same time.
    pub slots: usize,
    /// Requests that wait for one of these places; further ones are rejected.
    pub queue: usize,
    /// Events of a stream.
    pub events: u64,
    /// Time before each event.
    pub event_interval: Duration,
    /// Whether answers have neither a length nor chunks and end with their connection.
    pub is_unframed: bool,
    /// Whether it answers requests with a long body before it reads the body.
    pub reads_late: bool,
    /// Whether it goes on with a run whose connection closes.
    pub ignores_close: bool,
}

/// A request that a worker has worked on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub started: Instant,
    /// End of the work; `None` while it goes on.
    pub ended: Option<Instant>,
    /// Time until which it was preempted, if it was.
    pub preempted_until: Option<Instant>,
}

#[derive(Default)]
struct State {
    models: Vec<String>,
    orders_accepted: u64,
    highest_fence: u64,
    busy_until: Option<Instant>,
    running: usize,
    waiting: usize,
    draining: bool,
    sequence: u64,
    runs: Vec<Run>,
}

struct Shared {
    spec: Spec,
    born_ms: u64,
    started: Instant,
    state: Mutex<State>,
    record: Arc<Record>,
}

/// A running worker.
pub struct Worker {
    server: Server,
    shared: Arc<Shared>,
}

impl Worker {
    pub fn start(spec: Spec, record: &Arc<Record>) -> Self {
        let models = spec.models.iter().map(|name| (*name).to_owned()).collect();
        let state = State { models, ..State::default() };
        let shared = Arc::new(Shared {
            spec,
            born_ms: unix_ms(),
            started: Instant::now(),
            state: Mutex::new(state),
            record: Arc::clone(record),
        });
        let handler = Arc::clone(&shared);
        let reads_late = shared.spec.reads_late;
        let server = Server::start_with(
            Arc::new(move |stream, request| handler.handle(stream, request)),
            Arc::new(move |head| reads_late && has_long_body(head)),
        );
        Self { server, shared }
    }

    pub fn id(&self) -> &'static str {
        self.shared.spec.id
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the worker's next status report for the store.
    pub fn status_report(&self) -> String {
        let mut state = self.shared.state.lock().unwrap();
        state.sequence += 1;
        let Spec { service, slots, .. } = &self.shared.spec;
        let reported = if state.draining { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
             \"Slots\":{slots},\"State\":\"{reported}\",\"ColdLeftMs\":0,\"Seq\":{},\"Stage\":\"colocated\",\
             \"Models\":{},\"AtHand\":{{\"InMemory\":[],\"OnDisk\":[]}},\"born\":{}}}",
            self.addr(),
            state.sequence,
            models_json(&state.models),
            self.shared.born_ms
        )
    }

    /// Preempts the newest run that has not been preempted yet, for this time, as when the worker's memory runs
    /// out.
    pub fn preempt_newest(&self, time: Duration) {
        let mut state = self.shared.state.lock().unwrap();
        let runs = state.runs.iter_mut().rev();
        let newest = runs
            .filter(|run| run.ended.is_none() && run.preempted_until.is_none())
            .max_by_key(|run| run.started);
        let Some(run) = newest else { return };
        run.preempted_until = Some(Instant::now() + time);
        let Spec { id, .. } = self.shared.spec;
        self.shared.record.line(&format!(
            "worker {id} preempts {} for {} ms",
            run.id,
            time.as_millis()
        ));
    }

    pub fn set_draining(&self) {
        self.shared.state.lock().unwrap().draining = true;
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state.lock().unwrap().runs.clone()
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> usize {
        self.shared.state.lock().unwrap().running
    }

    /// Returns the number of requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.shared.state.lock().unwrap().waiting
    }

    /// Ends the worker: its port refuses connections.
    pub fn close(self) {
        self.shared.record.line(&format!("worker {} has exited", self.shared.spec.id));
        self.server.close();
    }
}

fn has_long_body(head: &Message) -> bool {
    let length = head.header("content-length").and_then(|length| length.parse().ok());
    length.is_some_and(|length: usize| length >= LONG_BODY_BYTES)
}

fn models_json(models: &[String]) -> String {
    let rows =
        models.iter().map(|name| format!("{{\"Name\":\"{name}\",\"Version\":1,\"Adapters\":[]}}"));
    format!("[{}]", rows.collect::<Vec<_>>().join(","))
}

/// Returns the value of a field of a flat JSON object.
fn field(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim_matches('"').to_owned())
}

impl Shared {
    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let expected = request.header("x-lovageridge-expect-instance");
        if expected.is_some_and(|id| id != self.spec.id) {
            return self.reject(stream, request, "421 Misdirected Request");
        }
        match request.path() {
            "/lovageridge/report" => self.report(stream),
            "/lovageridge/order" => self.order(stream, request),
            "/healthz" => http::respond(stream, "200 OK", "", b""),
            _ => self.run(stream, request),
        }
    }

    fn reject(&self, stream: &mut TcpStream, request: &Message, status: &str) -> bool {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        self.record.line(&format!("worker {} rejects {id}: {status}", self.spec.id));
        let headers = format!(
            "X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n\
             X-Lovageridge-Server-Load: {}\r\n",
            self.load()
        );
        http::respond(stream, status, &headers, b"")
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{},{},{}", state.running, state.waiting, self.spec.slots)
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"Stage\":\"colocated\",\"Models\":{},\"Busy\":{},\"Seq\":{},\"Waiting\":{},\"Running\":{},\
             \"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":{}}}",
            models_json(&state.models),
            state.busy_until.is_some_and(|until| Instant::now() < until),
            state.orders_accepted,
            state.waiting,
            state.running,
            self.born_ms
        );
        drop(state);
        http::respond(stream, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn order(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let number =
            |name: &str| field(&request.body, name).and_then(|text| text.parse::<u64>().ok());
        let model = field(&request.body, "Model").unwrap_or_default();
        let is_load = field(&request.body, "Operation").as_deref() == Some("model_load");
        let mut state = self.state.lock().unwrap();
        let fence = number("Fence").unwrap_or(0);
        let is_held = state.models.contains(&model);
        let is_busy = state.busy_until.is_some_and(|until| Instant::now() < until);
        let status = if fence < state.highest_fence {
            "412 Precondition Failed"
        } else if is_busy || number("Expected").is_some_and(|count| count != state.orders_accepted)
        {
            "409 Conflict"
        } else if is_load == is_held {
            "200 OK"
        } else {
            state.orders_accepted += 1;
            state.busy_until = Some(Instant::now() + ORDER_TIME);
            if is_load {
                state.models.push(model.clone())
            } else {
                state.models.retain(|one| *one != model)
            }
            "202 Accepted"
        };
        state.highest_fence = state.highest_fence.max(fence);
        drop(state);
        self.record.line(&format!(
            "worker {} gets an order, load {is_load}, model {model}, fence {fence}: {status}",
            self.spec.id
        ));
        http::respond(stream, status, "", b"{}")
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let model = request.header("x-lovageridge-model").map(str::to_owned);
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        {
            let mut state = self.state.lock().unwrap();
            if model.as_ref().is_some_and(|model| !state.models.contains(model)) {
                drop(state);
                return self.reject(stream, request, "421 Misdirected Request");
            }
            if state.running >= self.spec.slots && state.waiting >= self.spec.queue {
                drop(state);
                return self.reject(stream, request, "503 Service Unavailable");
            }
            state.waiting += 1;
        }
        let Some(at) = self.begin(stream, id) else { return false };
        self.record.line(&format!("worker {} runs {id}", self.spec.id));
        let keep = if model.is_some() {
            self.stream(stream, request, at)
        } else {
            self.plain(stream, request)
        };
        {
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            state.runs[at].ended = Some(Instant::now());
        }
        let end = if keep.is_some() { "completes" } else { "cancels, as its caller has left," };
        self.record.line(&format!("worker {} {end} {id}", self.spec.id));
        keep.unwrap_or(false) && !self.spec.is_unframed
    }

    /// Waits for a place and begins a run there; returns its index, or `None` if the caller leaves meanwhile.
    fn begin(&self, stream: &TcpStream, id: &str) -> Option<usize> {
        loop {
            let mut state = self.state.lock().unwrap();
            let has_left = http::has_left(stream);
            if has_left || state.running < self.spec.slots {
                state.waiting -= 1;
            }
            if has_left {
                return None;
            }
            if state.running < self.spec.slots {
                state.running += 1;
                let started = Instant::now();
                let run = Run { id: id.to_owned(), started, ended: None, preempted_until: None };
                state.runs.push(run);
                return Some(state.runs.len() - 1);
            }
            drop(state);
            thread::sleep(QUEUE_POLL);
        }
    }

    fn head(&self, request: &Message, more: &str) -> String {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 200 OK\r\nX-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Server-Seal: seal-{}\r\n\
             X-Lovageridge-Server-Load: {}\r\n{more}\r\n",
            self.spec.id,
            self.load()
        )
    }

    fn plain(&self, stream: &mut TcpStream, request: &Message) -> Option<bool> {
        thread::sleep(self.spec.event_interval);
        let body = format!("{} {}", self.spec.id, request.target());
        let head = self.head(request, &format!("Content-Length: {}\r\n", body.len()));
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        Some(true)
    }

    /// Answers with a stream; returns `None` if the caller has left.
    fn stream(&self, stream: &mut TcpStream, request: &Message, at: usize) -> Option<bool> {
        let framing = if self.spec.is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let head = self.head(request, &format!("Content-Type: text/event-stream\r\n{framing}"));
        stream.write_all(head.as_bytes()).ok()?;
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in after + 1..=self.spec.events {
            self.wait(stream, self.time_to_step())?;
            let preempted_until = self.state.lock().unwrap().runs[at].preempted_until;
            if let Some(until) = preempted_until {
                self.wait(stream, until.saturating_duration_since(Instant::now()))?;
            }
            let event = format!("id: {id}\ndata: token {id}\n\n");
            let bytes = match self.spec.is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            self.write(stream, bytes.as_bytes())?;
        }
        if !self.spec.is_unframed {
            self.write(stream, b"0\r\n\r\n")?;
        }
        Some(true)
    }

    /// Returns the time to the next step of the batch, at which each stream in it gets an event.
    fn time_to_step(&self) -> Duration {
        let interval_us = self.spec.event_interval.as_micros() as u64;
        let elapsed_us = self.started.elapsed().as_micros() as u64;
        Duration::from_micros(interval_us - elapsed_us % interval_us)
    }

    /// Writes a part of an answer; returns `None` if that ends the run, since the caller has left.
    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
        (stream.write_all(bytes).is_ok() || self.spec.ignores_close).then_some(())
    }

    /// Waits for `time`; returns `None` if the caller leaves meanwhile and that ends the run.
    fn wait(&self, stream: &TcpStream, time: Duration) -> Option<()> {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(());
            }
            thread::sleep(left.min(Duration::from_millis(5)));
            if !self.spec.ignores_close && http::has_left(stream) {
                return None;
            }
        }
    }
}
