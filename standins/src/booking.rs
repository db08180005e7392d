//! Stand-in for a plain booking service; it counts the runs of each booking.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use lovageridge::context::lock;
use lovageridge::sorted::Table;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::client::ATTEMPT_HEADER;
use crate::http;
use crate::http::HttpServer;

/// Time for which a lost answer keeps its connection open.
const LOST_HOLD: Duration = Duration::from_millis(3000);

/// Faults of a booking service, each as one in so many calls; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub struct BookingFaults {
    /// Calls that run, but are not answered.
    pub lose_every: u64,
    /// Calls that are answered late.
    pub late_every: u64,
    /// Time by which late answers are late, in ms.
    pub late_ms: u64,
    /// Calls whose answer breaks off.
    pub truncate_every: u64,
}

#[derive(Debug, Default)]
struct State {
    runs: Table<String, u64>,
    attempts: Table<String, u64>,
    calls: u64,
    faults: BookingFaults,
}

/// A running booking service.
pub struct Booking {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Booking {
    /// Starts a service without bookings.
    ///
    /// # Errors
    /// Returns why its port cannot be had.
    pub fn start() -> Result<Self, anyhow::Error> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_handler = Arc::clone(&state);
        let server = HttpServer::start(move |request| handle(&for_handler, request))?;
        Ok(Self { server, state })
    }

    /// Returns the address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: BookingFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns how often each booking has run.
    pub fn runs(&self) -> Table<String, u64> {
        lock(&self.state).runs.clone()
    }

    /// Returns how often each call of a caller has run, by its name.
    pub fn attempts(&self) -> Table<String, u64> {
        lock(&self.state).attempts.clone()
    }

    /// Stops the service.
    pub fn close(self) {
        self.server.close();
    }
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let slot = http::body_text(&mut request);
    if *request.method() == Method::Get {
        return http::json(request, 200, &json!({ "free": 12 }));
    }
    let named = request.headers().iter().find(|h| h.field.equiv(ATTEMPT_HEADER));
    let attempt = named.map(|h| h.value.as_str().to_owned()).unwrap_or_default();
    let (call, faults) = {
        let mut state = lock(state);
        state.calls += 1;
        *state.attempts.get_or_insert_with(attempt, || 0) += 1;
        *state.runs.get_or_insert_with(slot.clone(), || 0) += 1;
        (state.calls, state.faults)
    };
    let hit = |every: u64| every > 0 && call.is_multiple_of(every);
    if hit(faults.lose_every) {
        return http::hold(request, LOST_HOLD);
    }
    if hit(faults.late_every) {
        thread::sleep(Duration::from_millis(faults.late_ms));
    }
    if hit(faults.truncate_every) {
        return truncate(request);
    }
    http::json(request, 201, &json!({ "booked": slot }));
}

/// Announces more bytes than it sends, then breaks the framing.
fn truncate(request: Request) {
    let mut out = request.into_writer();
    let head = "HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n";
    // A caller that has left needs no answer.
    let _ = write!(out, "{head}40\r\n{{\"booked\"");
    let _ = out.flush();
    thread::sleep(LOST_HOLD);
}
