//! Callers that reuse connections, never retry, and record the outcome of each request.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lovageridge::context::lock;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::platform::caller::Caller;
use crate::platform::caller::CallerRequest;

/// Deadline that callers send, in ms; longer than the time limit of the routes.
pub const DEADLINE_MS: u64 = 6_000;
/// Time after the deadline for which a caller still waits for the response.
const READ_MARGIN: Duration = Duration::from_secs(2);
/// Upper limit of the pause between two requests of a caller, in ms.
const MAX_PAUSE_MS: u64 = 60;
/// Pause after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// One request in this many is ended early by its caller, who disconnects.
const DISCONNECT_EVERY: u32 = 12;
/// Upper limit of the time after which such a caller disconnects, in ms.
const MAX_DISCONNECT_DELAY_MS: u64 = 400;
/// One request in this many is sent on a new connection to a random instance.
const RECONNECT_EVERY: u32 = 10;
/// Prompt part that crashes workers.
pub const CRASHING_PART: &str = "dead";
/// One request in this many has it while such requests come.
const CRASHING_PART_EVERY: u64 = 5;
/// Number of models that callers request; a worker has memory for fewer.
pub const MODEL_COUNT: usize = 6;

/// Kind of a request, which selects its route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Call on the idempotent route `look`.
    Look,
    /// Call on the non-idempotent route `book`, which may run only once.
    Book,
    /// Stream that may run only once.
    StreamOnce,
    /// Stream that another worker may resume.
    StreamAgain,
    /// Idempotent call on the route that this version of the configuration added.
    Probe(u64),
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Look | Self::StreamAgain | Self::Probe(_))
    }

    /// Returns whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamAgain)
    }

    fn path(self, id: &str) -> String {
        match self {
            Self::Look => format!("/look/{id}"),
            Self::Book => format!("/book/{id}"),
            Self::StreamOnce => format!("/stream/once/{id}"),
            Self::StreamAgain => format!("/stream/again/{id}"),
            Self::Probe(version) => format!("/v{version}/{id}"),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The caller received a response, complete or truncated.
    Answered {
        /// HTTP status.
        status_code: u16,
        /// Request id that the response names, if any.
        id: Option<String>,
        /// Receipt of the worker that ran the request; `None` if an instance responded itself.
        receipt: Option<String>,
        /// Body, or the part of it that was received.
        body: String,
        /// Whether the body was received to its end.
        complete: bool,
    },
    /// The connection ended or the read timed out before the response headers were complete.
    Unanswered,
    /// The caller disconnected without reading a response.
    CallerDisconnected,
}

/// A request that was sent, with its outcome.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Request id, unique within a run.
    pub id: String,
    /// Kind, which selects the route.
    pub kind: RequestKind,
    /// Request path.
    pub path: String,
    /// Whether its prompt has the part that crashes workers.
    pub has_crashing_part: bool,
    /// Index of the instance that it was sent to.
    pub instance: usize,
    /// Time at which its last byte was written.
    pub sent_at: Instant,
    /// Time at which the caller stopped waiting or had the response.
    pub ended_at: Instant,
    /// How the request ended.
    pub end: RequestEnd,
}

/// State that all callers of a run share.
pub struct LoadGenerator {
    /// Address that callers connect to, for each instance.
    pub ports: Vec<SocketAddr>,
    /// Requests that have ended so far.
    pub requests: Mutex<Vec<SentRequest>>,
    /// Newest version of the configuration whose route callers request; `None` before the first
    /// fault.
    pub probed_version: Mutex<Option<u64>>,
    /// Whether some requests have the prompt part that crashes workers.
    pub sends_crashing_part: AtomicBool,
    /// Set to stop the callers.
    pub stopped: AtomicBool,
    /// Seed from which callers derive their random choices.
    pub seed: u64,
}

impl LoadGenerator {
    /// Runs caller `number` until `stopped` is set.
    pub fn run_caller(&self, number: usize) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (number as u64) << 32);
        let mut instance = number % self.ports.len();
        let mut connection: Option<Caller> = None;
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            if rng.random_ratio(1, RECONNECT_EVERY) {
                instance = rng.random_range(0..self.ports.len());
                connection = None;
            }
            let Some(caller) = connection.take().or_else(|| connect(self.ports[instance])) else {
                thread::sleep(RECONNECT_DELAY);
                continue;
            };
            count += 1;
            let id = format!("s{}c{number}n{count}", self.seed);
            let kind = self.random_kind(&mut rng);
            let request = build_request(&mut rng, kind, &id);
            let has_crashing_part = kind.is_streaming()
                && count % CRASHING_PART_EVERY == 0
                && self.sends_crashing_part.load(Ordering::Relaxed);
            let request = match kind.is_streaming() {
                true => add_prompt(request, number, has_crashing_part),
                false => request,
            };
            let mut record = SentRequest {
                id,
                kind,
                path: request.path.clone(),
                has_crashing_part,
                instance,
                sent_at: Instant::now(),
                ended_at: Instant::now(),
                end: RequestEnd::Unanswered,
            };
            connection = self.send(&mut rng, caller, &request, &mut record);
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        }
    }

    fn random_kind(&self, rng: &mut StdRng) -> RequestKind {
        let version = *lock(&self.probed_version);
        match (rng.random_range(0..5), version) {
            (0, Some(version)) => RequestKind::Probe(version),
            (0 | 1, _) => RequestKind::Look,
            (2, _) => RequestKind::Book,
            (3, _) => RequestKind::StreamOnce,
            _ => RequestKind::StreamAgain,
        }
    }

    /// Sends a request and records how it ended; returns the connection if it can be reused.
    fn send(
        &self,
        rng: &mut StdRng,
        mut caller: Caller,
        request: &CallerRequest,
        record: &mut SentRequest,
    ) -> Option<Caller> {
        caller.write(&request.to_bytes()).ok()?;
        record.sent_at = Instant::now();
        let disconnects = rng.random_ratio(1, DISCONNECT_EVERY);
        let (end, connection) = if disconnects {
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_DISCONNECT_DELAY_MS)));
            drop(caller);
            (RequestEnd::CallerDisconnected, None)
        } else {
            read_response(caller)
        };
        record.ended_at = Instant::now();
        record.end = end;
        lock(&self.requests).push(record.clone());
        connection
    }
}

fn connect(to: SocketAddr) -> Option<Caller> {
    let caller = Caller::connect(to).ok()?;
    caller.set_read_timeout(Duration::from_millis(DEADLINE_MS) + READ_MARGIN).ok()?;
    Some(caller)
}

fn build_request(rng: &mut StdRng, kind: RequestKind, id: &str) -> CallerRequest {
    let path = kind.path(id);
    let request = match kind {
        RequestKind::Look | RequestKind::Probe(_) => CallerRequest::get(&path, id),
        RequestKind::Book => CallerRequest::post(&path, id),
        RequestKind::StreamOnce | RequestKind::StreamAgain => CallerRequest::post(&path, id)
            .for_model(&format!("m{}", rng.random_range(0..MODEL_COUNT))),
    };
    CallerRequest { deadline_ms: DEADLINE_MS, ..request }
}

/// Adds the parts of a prompt: one that all share, one of the caller, and one of the request.
fn add_prompt(request: CallerRequest, caller: usize, has_crashing_part: bool) -> CallerRequest {
    let (caller, own) = (format!("c{caller}"), request.id.clone());
    let parts: &[&str] = match has_crashing_part {
        true => &["f0", &caller, CRASHING_PART, &own],
        false => &["f0", &caller, &own],
    };
    request.with_prompt(parts)
}

fn read_response(mut caller: Caller) -> (RequestEnd, Option<Caller>) {
    let Ok(response) = caller.read_response() else { return (RequestEnd::Unanswered, None) };
    let server_closes = response.header("connection").is_some_and(|value| value == "close");
    let connection = (response.complete && !server_closes).then_some(caller);
    let text = |name: &str| response.header(name).map(str::to_owned);
    let end = RequestEnd::Answered {
        status_code: response.status_code,
        id: text("x-lovageridge-attempt-id"),
        receipt: text("x-lovageridge-server-seal"),
        complete: response.complete,
        body: response.body,
    };
    (end, connection)
}
