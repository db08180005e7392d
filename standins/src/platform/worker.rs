//! Stand-in for a worker of the platform: runs plain calls and streams, holds models, and carries
//! out orders to load and unload them.
//!
//! It records which requests ran, which of them were cancelled, and its peak memory use.

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

mod spec;

use crate::platform::wire::Listener;
use crate::platform::wire::PortState;
use crate::platform::wire::Request;
use crate::platform::wire::write_response;
pub use crate::platform::worker::spec::Behavior;
use crate::platform::worker::spec::Crash;
use crate::platform::worker::spec::CrashPoint;
pub use crate::platform::worker::spec::Endless;
pub use crate::platform::worker::spec::Run;
pub use crate::platform::worker::spec::WorkerSpec;

/// Pause between checks whether the caller is still connected.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that are written at once in a response without end.
const ENDLESS_WRITE_BYTES: usize = 8192;

#[derive(Default)]
struct State {
    behavior: Option<Behavior>,
    crash: Option<Crash>,
    // Value of the header that limits the requests a second, if any.
    limit: Option<String>,
    // Whether runs go on when their connection closes.
    ignores_close: bool,
    // Time between the last data of a response that ends with its connection and its end.
    end_pause: Duration,
    // Time by which the start time in the reports is later than the one in the record, in ms.
    report_start_offset_ms: u64,
    // Time for which the port stays open after a crash.
    linger: Duration,
    // Whether streams end at the deadline that is sent with their request.
    stops_at_deadline: bool,
    // Further headers of all responses.
    headers: Vec<(String, String)>,
    arrivals: Vec<Instant>,
    born_ms: u64,
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
    spec: WorkerSpec,
    state: Mutex<State>,
    port: Arc<PortState>,
}

/// A running stand-in for a worker.
pub struct WorkerStandIn {
    listener: Listener,
    shared: Arc<Shared>,
}

impl WorkerStandIn {
    /// Starts a worker; it writes no record to the store.
    ///
    /// # Errors
    /// Fails when it cannot listen on a free port.
    pub fn start(id: &str, spec: WorkerSpec) -> Result<Self, anyhow::Error> {
        let state = State {
            resident_models: spec.models.clone(),
            born_ms: lovageridge::clock::unix_ms(),
            ..State::default()
        };
        let port = Arc::new(PortState::default());
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            spec,
            state: Mutex::new(state),
            port: Arc::clone(&port),
        });
        let handler_state = Arc::clone(&shared);
        let listener = Listener::start_with(port, move |stream, request| {
            handler_state.handle_request(stream, request)
        })?;
        Ok(Self { listener, shared })
    }

    /// Returns the worker's id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address that the worker listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Changes how the worker responds to requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.lock().behavior = Some(behavior);
    }

    /// Makes the worker crash whenever it begins to respond to a request with the prompt part `part`;
    /// it is back after `down`, with a new start time.
    pub fn crash_on_part(&self, part: &str, down: Duration) {
        self.crash_after_events(part, 0, down);
    }

    /// Makes the worker crash in each stream of a request with the prompt part `part` after `events`
    /// complete events, and in each plain response to such a request after half of its body.
    pub fn crash_after_events(&self, part: &str, events: u64, down: Duration) {
        self.set_crash(part, CrashPoint::BeforeEvent(events), down);
    }

    /// Makes the worker exit right after the event `event` in each stream of a request with the prompt part `part`,
    /// and in each plain response to such a request after its body; its port closes before its connections do.
    pub fn exit_after_event(&self, part: &str, event: u64, down: Duration) {
        self.set_crash(part, CrashPoint::AfterEvent(event), down);
    }

    fn set_crash(&self, part: &str, point: CrashPoint, down: Duration) {
        self.shared.lock().crash = Some(Crash { part: part.to_owned(), down, point });
    }

    /// Restarts the worker: it is back after `down`, with a new start time.
    pub fn restart(&self, down: Duration) {
        self.shared.restart(down);
    }

    /// Returns whether the worker is down after a crash.
    pub fn is_down(&self) -> bool {
        self.shared.port.is_suspended()
    }

    /// Names a limit on the requests a second in all responses from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.shared.lock().limit = limit.map(str::to_owned);
    }

    /// Sends a header with all responses from now on; `None` ends that.
    pub fn set_header(&self, name: &str, value: Option<&str>) {
        let mut state = self.shared.lock();
        state.headers.retain(|(known, _)| known != name);
        state.headers.extend(value.map(|value| (name.to_owned(), value.to_owned())));
    }

    /// Makes the worker go on with streams whose connection closes.
    pub fn ignore_close(&self) {
        self.shared.lock().ignores_close = true;
    }

    /// Makes the worker pause for `time` between the last data of a response that ends with its connection, and its
    /// end.
    pub fn pause_before_end(&self, time: Duration) {
        self.shared.lock().end_pause = time;
    }

    /// Makes the worker state a start time in its reports that is later by `offset_ms` than in its record.
    pub fn report_later_start(&self, offset_ms: u64) {
        self.shared.lock().report_start_offset_ms = offset_ms;
    }

    /// Makes the port take connections for `time` after a crash.
    pub fn linger_after_crash(&self, time: Duration) {
        self.shared.lock().linger = time;
    }

    /// Closes the port for `time`; requests in progress and open connections go on.
    pub fn refuse_connections(&self, time: Duration) {
        self.shared.port.refuse(time);
    }

    /// Makes the worker end streams at the deadline that is sent with their request.
    pub fn stop_at_deadline(&self) {
        self.shared.lock().stops_at_deadline = true;
    }

    /// Returns when requests arrived, in order, including refused ones.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns the start time of the worker, as Unix time in ms; it changes with a crash.
    pub fn born_ms(&self) -> u64 {
        self.shared.lock().born_ms
    }

    /// Returns the requests that ran, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests received, including refused ones.
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }

    /// Returns the models that were ordered to load, in order.
    pub fn loads(&self) -> Vec<String> {
        self.shared.lock().loads.clone()
    }

    /// Returns the fencing numbers of accepted orders, in order.
    pub fn fences(&self) -> Vec<u64> {
        self.shared.lock().fences.clone()
    }

    /// Returns the peak memory use, in MB.
    pub fn peak_mb(&self) -> u64 {
        self.shared.lock().peak_mb
    }

    /// Returns the worker's record for the store, with this state.
    pub fn record(&self, state: &str) -> Vec<u8> {
        self.record_at(self.addr(), state)
    }

    /// Returns the worker's record with another address, for example that of a relay.
    pub fn record_at(&self, addr: SocketAddr, state: &str) -> Vec<u8> {
        let resident: Vec<serde_json::Value> = self
            .shared
            .finish_due_load()
            .iter()
            .map(|name| json!({"Name": name, "Adapters": []}))
            .collect();
        let spec = &self.shared.spec;
        let record = json!({
            "Service": spec.service, "Address": addr.to_string(), "Zone": spec.domain,
            "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Stage": "colocated",
            "Models": resident, "AtHand": {"InMemory": [], "OnDisk": spec.on_disk}, "Seq": 1,
            "born": self.born_ms(),
        });
        record.to_string().into_bytes()
    }

    /// Returns the record of a worker that is terminated after `remaining`, whatever it is running then.
    pub fn reclaimed_record(&self, remaining: Duration) -> Vec<u8> {
        let mut record: serde_json::Value =
            serde_json::from_slice(&self.record("draining")).unwrap_or_default();
        record["RemainingMs"] = json!(remaining.as_millis() as u64);
        record.to_string().into_bytes()
    }

    /// Closes the port.
    pub fn close(self) {
        self.listener.close();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Completes a load whose time has passed; returns the resident models.
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

    /// Responds to one request; returns false when the connection is to be closed.
    fn handle_request(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let resident = self.finish_due_load();
        let expected = request.header("x-lovageridge-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return self.respond_refused(stream, request, "421 Misdirected Request");
        }
        match request.path.as_str() {
            "/lovageridge/report" => return self.respond_report(stream, &resident),
            "/lovageridge/order" => return self.handle_order(stream, request),
            "/healthz" => return write_response(stream, "200 OK", b""),
            _ => {}
        }
        self.lock().requests += 1;
        self.lock().arrivals.push(Instant::now());
        let behavior = self.lock().behavior.unwrap_or(Behavior::Normal);
        let target = request.header("x-lovageridge-model").map(|name| name.split('/').next());
        if target.flatten().is_some_and(|model| !resident.iter().any(|name| name == model)) {
            return self.respond_refused(stream, request, "421 Misdirected Request");
        }
        if behavior == Behavior::Overloaded {
            return self.respond_refused(stream, request, "503 Service Unavailable");
        }
        let at = self.record_run(request);
        if let Behavior::RejectionOfAnother(status) = behavior {
            // Errors mean that the caller has left.
            let _ = stream.write_all(self.rejection("another", status).as_bytes());
        }
        let keep_open = if request.path.starts_with("/stream/") {
            self.respond_stream(stream, request, behavior)
        } else {
            self.respond_plain(stream, request, behavior)
        };
        let mut state = self.lock();
        state.runs[at].ended_at.get_or_insert_with(Instant::now);
        state.runs[at].cancelled = keep_open.is_none();
        keep_open.unwrap_or(false)
    }

    fn record_run(&self, request: &Request) -> usize {
        let forged =
            request.header("x-lovageridge-hold").is_some() || request.header("kv-from").is_some();
        let run = Run {
            id: request.header("x-lovageridge-attempt-id").unwrap_or_default().to_owned(),
            path: request.path.clone(),
            deadline_ms: request.header("x-lovageridge-deadline-ms").and_then(|ms| ms.parse().ok()),
            has_forged_headers: forged,
            accounts: request.headers("x-lovageridge-tenant").map(str::to_owned).collect(),
            has_key: request.header("authorization").is_some(),
            urgency: request
                .header("x-lovageridge-request-urgency")
                .and_then(|urgency| urgency.parse().ok()),
            started_at: Instant::now(),
            ended_at: None,
            cancelled: false,
        };
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    fn further_headers(&self) -> String {
        let state = self.lock();
        let limit = state.limit.iter().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let others = state.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        limit.chain(others).collect()
    }

    fn response_head(&self, request: &Request, status: &str, behavior: Behavior) -> String {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        let id = if behavior == Behavior::WrongId { "another" } else { id };
        let receipt = match behavior {
            Behavior::MissingReceipt => String::new(),
            _ => format!("X-Lovageridge-Server-Seal: seal-{}\r\n", self.id),
        };
        let others = self.further_headers();
        format!("HTTP/1.1 {status}\r\nX-Lovageridge-Attempt-Id: {id}\r\n{receipt}{others}")
    }

    /// Runs a plain call; returns `None` when the caller disconnected, else whether the connection
    /// stays open.
    fn respond_plain(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        behavior: Behavior,
    ) -> Option<bool> {
        let until = Instant::now() + Duration::from_millis(self.spec.work_ms);
        while Instant::now() < until {
            thread::sleep(POLL_INTERVAL.min(until - Instant::now()));
            if is_disconnected(stream) {
                return None;
            }
        }
        if behavior == Behavior::Unresponsive {
            return wait_for_disconnect(stream);
        }
        if behavior == Behavior::Reset {
            return Some(false);
        }
        if let Behavior::Endless(place) = behavior {
            return self.respond_endless(stream, request, place);
        }
        let status = match behavior {
            Behavior::ServerError => "500 Internal Server Error",
            Behavior::FailureAfterRun(status) => status,
            _ => "200 OK",
        };
        let body = format!("{} {} by {}", request.method, request.path, self.id);
        let start = self.response_head(request, status, behavior);
        if behavior == Behavior::Unframed {
            let crash = self.due_crash(request);
            let is_cut = crash
                .as_ref()
                .is_some_and(|crash| matches!(crash.point, CrashPoint::BeforeEvent(_)));
            let sent = if is_cut { &body[..body.len() / 2] } else { &body };
            // Errors mean that the caller has left.
            let _ = stream.write_all(format!("{start}\r\n{sent}").as_bytes());
            if !is_cut {
                self.pause_at_end();
            }
            if let Some(crash) = crash {
                self.restart(crash.down);
            }
            return Some(false);
        }
        let text = format!("{start}Content-Length: {}\r\n\r\n{body}", body.len());
        let copies = if behavior == Behavior::DuplicateResponse { 2 } else { 1 };
        Some(stream.write_all(text.repeat(copies).as_bytes()).is_ok())
    }

    /// Responds with a stream; returns `None` when the caller disconnected, else whether the
    /// connection stays open.
    fn respond_stream(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        behavior: Behavior,
    ) -> Option<bool> {
        if behavior == Behavior::Unresponsive {
            return wait_for_disconnect(stream);
        }
        if let Behavior::Endless(place) = behavior {
            return self.respond_endless(stream, request, place);
        }
        let unframed = matches!(behavior, Behavior::Unframed | Behavior::UnframedInterruptAfter(_));
        let chunk = |text: &str| if unframed { text.to_owned() } else { chunk(text) };
        let status = match behavior {
            Behavior::FailureAfterRun(status) => status,
            _ => "200 OK",
        };
        if let Behavior::DelayHead(delay) = behavior {
            self.pause(stream, delay)?;
        }
        let start = self.response_head(request, status, behavior);
        let framing = if unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let text = format!("{start}Content-Type: text/event-stream\r\n{framing}\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        let crash = self.due_crash(request);
        let stops_at = self.stop_time(request);
        let after: u64 =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in after + 1..=self.spec.events {
            thread::sleep(Duration::from_millis(self.spec.event_interval_ms));
            let is_due_before = |crash: &&Crash| matches!(crash.point, CrashPoint::BeforeEvent(count) if count < id);
            if let Some(crash) = crash.as_ref().filter(is_due_before) {
                self.restart(crash.down);
                return Some(false);
            }
            match behavior {
                Behavior::PauseAfter(count, time) if count + 1 == id => self.pause(stream, time)?,
                Behavior::LoseAfter(count) if count + 1 == id => {
                    self.end_runs(request);
                    return wait_for_disconnect(stream);
                }
                _ => {}
            }
            if self.has_left(stream) {
                return None;
            }
            if stops_at.is_some_and(|at| Instant::now() >= at) {
                return Some(false);
            }
            let event = event(id);
            if behavior == Behavior::InterruptAfter(id - 1) {
                let part = &event[..event.len() / 2];
                stream.write_all(chunk(part).as_bytes()).ok()?;
                return Some(false);
            }
            if behavior == Behavior::UnframedInterruptAfter(id - 1) {
                stream.write_all(&event.as_bytes()[..event.len() / 2]).ok()?;
                return Some(false);
            }
            if behavior == Behavior::ChunkedInterruptAfter(id - 1) {
                let text = format!("{}0\r\n\r\n", chunk(&event[..event.len() / 2]));
                stream.write_all(text.as_bytes()).ok()?;
                return Some(true);
            }
            self.write(stream, &chunk(&event))?;
            let is_due_after = |crash: &&Crash| crash.point == CrashPoint::AfterEvent(id);
            if let Some(crash) = crash.as_ref().filter(is_due_after) {
                self.pause_at_end();
                self.restart(crash.down);
                return Some(false);
            }
        }
        if unframed {
            self.pause_at_end();
            return Some(false);
        }
        self.write(stream, "0\r\n\r\n")?;
        Some(true)
    }

    fn pause_at_end(&self) {
        let time = self.lock().end_pause;
        thread::sleep(time);
    }

    /// Waits for `time`; returns `None` if the caller's disconnection ends the run meanwhile.
    fn pause(&self, stream: &TcpStream, time: Duration) -> Option<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.has_left(stream) {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
        Some(())
    }

    /// Returns when a stream that starts now ends by its deadline, if that ends it.
    fn stop_time(&self, request: &Request) -> Option<Instant> {
        let deadline_ms = request.header("x-lovageridge-deadline-ms")?.parse().ok()?;
        let stops = self.lock().stops_at_deadline;
        stops.then(|| Instant::now() + Duration::from_millis(deadline_ms))
    }

    /// Returns whether the caller has disconnected and that ends the run.
    fn has_left(&self, stream: &TcpStream) -> bool {
        !self.lock().ignores_close && is_disconnected(stream)
    }

    /// Writes a part of a stream; returns `None` if that fails and ends the run.
    fn write(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        (stream.write_all(text.as_bytes()).is_ok() || self.lock().ignores_close).then_some(())
    }

    fn end_runs(&self, request: &Request) {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        let mut state = self.lock();
        let runs = state.runs.iter_mut().filter(|run| run.id == id && run.ended_at.is_none());
        runs.for_each(|run| run.ended_at = Some(Instant::now()));
    }

    /// Sends bytes without end; returns `None` once the caller has disconnected.
    fn respond_endless(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        place: Endless,
    ) -> Option<bool> {
        let start = self.response_head(request, "200 OK", Behavior::Normal);
        let filler = match place {
            Endless::Lines(lines) => lines.repeat(ENDLESS_WRITE_BYTES / lines.len()),
            _ => "x".repeat(ENDLESS_WRITE_BYTES),
        };
        let chunk = format!("{:x}\r\n{filler}\r\n", filler.len());
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(200);
        let byte_chunks = "1\r\nx\r\n".repeat(ENDLESS_WRITE_BYTES);
        let chunked = format!("{start}Transfer-Encoding: chunked\r\n\r\n");
        let (head, more) = match place {
            Endless::Header => (format!("{start}X-Long: "), filler),
            Endless::InterimResponses => (interim.clone(), interim),
            Endless::Body | Endless::Lines(_) => (chunked, chunk),
            Endless::ByteChunks => (chunked, byte_chunks),
            Endless::UnframedBody => (format!("{start}\r\n"), filler),
        };
        stream.write_all(head.as_bytes()).ok()?;
        loop {
            stream.write_all(more.as_bytes()).ok()?;
        }
    }

    /// Returns the crash that a request causes, if it has the prompt part that makes the worker crash.
    fn due_crash(&self, request: &Request) -> Option<Crash> {
        let crash = self.lock().crash.clone()?;
        let prefix = request.header("x-lovageridge-prompt-prefix").unwrap_or_default();
        let has_part =
            prefix.split(',').any(|pair| pair.split(':').next() == Some(crash.part.as_str()));
        has_part.then_some(crash)
    }

    fn restart(&self, down: Duration) {
        let linger = {
            let mut state = self.lock();
            // A restart within the same ms has another start time as well.
            state.born_ms = lovageridge::clock::unix_ms().max(state.born_ms + 1);
            state.linger
        };
        match linger.is_zero() {
            true => self.port.suspend(down),
            false => self.port.suspend_with_linger(linger, down),
        }
    }

    fn respond_refused(&self, stream: &mut TcpStream, request: &Request, status: &str) -> bool {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or_default();
        stream.write_all(self.rejection(id, status).as_bytes()).is_ok()
    }

    /// Returns the response to the request `id` that states that it was not executed.
    fn rejection(&self, id: &str, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n\
             X-Lovageridge-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
            self.id,
            self.further_headers()
        )
    }

    fn respond_report(&self, stream: &mut TcpStream, resident: &[String]) -> bool {
        let state = self.lock();
        let models: Vec<serde_json::Value> = resident
            .iter()
            .map(|name| json!({"Name": name, "Version": 1, "Adapters": []}))
            .collect();
        let running = state.runs.iter().filter(|run| run.ended_at.is_none()).count();
        let body = json!({
            "Stage": "colocated", "Models": models, "Busy": state.busy_until.is_some(),
            "Seq": state.orders_accepted, "Waiting": 0, "Running": running, "Handles": 0,
            "AtHand": {"InMemory": [], "OnDisk": self.spec.on_disk},
            "born": state.born_ms + state.report_start_offset_ms,
        });
        drop(state);
        write_response(stream, "200 OK", body.to_string().as_bytes())
    }

    fn handle_order(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let Ok(order) = serde_json::from_slice::<serde_json::Value>(&request.body) else {
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

/// Returns the text of the events 1 to `count` of a stream.
pub fn events(count: u64) -> String {
    (1..=count).map(event).collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns whether the other side has closed the connection.
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
