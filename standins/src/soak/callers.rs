//! Callers that keep their connections, repeat nothing, and write down what they saw.

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

/// Time that callers grant, in ms; longer than the routes' own limit.
pub const DEADLINE_MS: u64 = 6_000;
/// Time after the deadline after which a caller reads no longer.
const READ_MARGIN: Duration = Duration::from_secs(2);
/// Longest pause between two requests of a caller, in ms.
const MAX_PAUSE_MS: u64 = 60;
/// Pause after a connection that could not be made.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// One request in this many is left by its caller.
const DISCONNECT_EVERY: u32 = 12;
/// Longest time after which a caller leaves, in ms.
const MAX_DISCONNECT_DELAY_MS: u64 = 400;
/// One request in this many goes out on a new connection, to any instance.
const RECONNECT_EVERY: u32 = 10;
/// Models that are asked for; workers have room for fewer.
pub const MODEL_COUNT: usize = 6;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Idempotent call.
    Look,
    /// Call that may run once.
    Book,
    /// Stream that may run once.
    StreamOnce,
    /// Stream that may be resumed.
    StreamAgain,
    /// Call on a route that a configuration version added.
    Probe(u64),
}

impl RequestKind {
    /// Tells whether it may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Look | Self::StreamAgain | Self::Probe(_))
    }

    /// Tells whether its answer is a stream.
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
    /// With an answer, whole or broken off.
    Answered {
        /// HTTP status.
        status_code: u16,
        /// Id of the request that it answers.
        id: Option<String>,
        /// Receipt of a worker.
        receipt: Option<String>,
        /// Body.
        body: String,
        /// Whether the body came to its end.
        complete: bool,
    },
    /// The connection ended, or the caller's time, without an answer.
    Unanswered,
    /// The caller left.
    CallerDisconnected,
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// Kind.
    pub kind: RequestKind,
    /// Path.
    pub path: String,
    /// Instance that it was sent to.
    pub instance: usize,
    /// Time of its last byte.
    pub sent_at: Instant,
    /// Time of its end.
    pub ended_at: Instant,
    /// How it ended.
    pub end: RequestEnd,
}

/// What callers share.
pub struct LoadGenerator {
    /// Ports of the instances.
    pub ports: Vec<SocketAddr>,
    /// Requests so far.
    pub requests: Mutex<Vec<SentRequest>>,
    /// Newest version whose route is asked for, with the time of its acknowledgement.
    pub probed_version: Mutex<Option<u64>>,
    /// Set when callers are to stop.
    pub stopped: AtomicBool,
    /// Seed.
    pub seed: u64,
}

impl LoadGenerator {
    /// Runs caller `number` until all are to stop.
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
            let ask = build_request(&mut rng, kind, &id);
            connection = self.send(&mut rng, caller, kind, &ask, instance);
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

    /// Sends a request and writes down its end; returns the connection if it can be used again.
    fn send(
        &self,
        rng: &mut StdRng,
        mut caller: Caller,
        kind: RequestKind,
        ask: &CallerRequest,
        instance: usize,
    ) -> Option<Caller> {
        caller.write(&ask.to_bytes()).ok()?;
        let sent = Instant::now();
        let leaves = rng.random_ratio(1, DISCONNECT_EVERY);
        let (end, kept) = if leaves {
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_DISCONNECT_DELAY_MS)));
            drop(caller);
            (RequestEnd::CallerDisconnected, None)
        } else {
            read_response(caller)
        };
        let row = SentRequest {
            id: ask.id.clone(),
            kind,
            path: ask.path.clone(),
            instance,
            sent_at: sent,
            ended_at: Instant::now(),
            end,
        };
        lock(&self.requests).push(row);
        kept
    }
}

fn connect(to: SocketAddr) -> Option<Caller> {
    let caller = Caller::connect(to).ok()?;
    caller.set_read_timeout(Duration::from_millis(DEADLINE_MS) + READ_MARGIN).ok()?;
    Some(caller)
}

fn build_request(rng: &mut StdRng, kind: RequestKind, id: &str) -> CallerRequest {
    let path = kind.path(id);
    let ask = match kind {
        RequestKind::Look | RequestKind::Probe(_) => CallerRequest::get(&path, id),
        RequestKind::Book => CallerRequest::post(&path, id),
        RequestKind::StreamOnce | RequestKind::StreamAgain => CallerRequest::post(&path, id)
            .for_model(&format!("m{}", rng.random_range(0..MODEL_COUNT))),
    };
    CallerRequest { deadline_ms: DEADLINE_MS, ..ask }
}

fn read_response(mut caller: Caller) -> (RequestEnd, Option<Caller>) {
    let Ok(reply) = caller.read_response() else { return (RequestEnd::Unanswered, None) };
    let closes = reply.header("connection").is_some_and(|value| value == "close");
    let kept = (reply.complete && !closes).then_some(caller);
    let text = |name: &str| reply.header(name).map(str::to_owned);
    let end = RequestEnd::Answered {
        status_code: reply.status_code,
        id: text("x-lovageridge-attempt-id"),
        receipt: text("x-lovageridge-server-seal"),
        complete: reply.complete,
        body: reply.body,
    };
    (end, kept)
}
