//! What a stand-in for a worker is, how it responds, what makes it crash, and what it ran.

use std::time::Duration;
use std::time::Instant;

/// How the worker responds to requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Responds correctly.
    Normal,
    /// Runs the request without sending a response.
    Unresponsive,
    /// Closes the connection of a plain call after running it, without a response.
    Reset,
    /// Ends a stream in the middle of the event after this many.
    InterruptAfter(u64),
    /// Responds to plain calls with 500.
    ServerError,
    /// Runs a request and responds with this status, without stating whether it ran.
    FailureAfterRun(&'static str),
    /// Responds with 503 without running the request.
    Overloaded,
    /// Sends the response to a plain call twice.
    DuplicateResponse,
    /// Responds with the id of another request.
    WrongId,
    /// Runs the request, and sends the rejection of another one, with this status, before the response.
    RejectionOfAnother(&'static str),
    /// Responds without its receipt.
    MissingReceipt,
    /// Responds with neither a length nor chunks; the connection ends the body.
    Unframed,
    /// The same, but ends a stream in the middle of the event after this many.
    UnframedInterruptAfter(u64),
    /// Ends a stream in the middle of the event after this many, with the last chunk.
    ChunkedInterruptAfter(u64),
    /// Sends bytes without end until the caller disconnects.
    Endless(Endless),
    /// Pauses a stream for this time after this many events, as when its memory runs out, and goes on.
    PauseAfter(u64, Duration),
    /// Sends the headers of a stream after this time.
    DelayHead(Duration),
    /// Ends the run of a stream after this many events, and sends nothing more on its connection.
    LoseAfter(u64),
}

/// Where the bytes without end are in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// In the value of a header.
    Header,
    /// Interim responses without a final one.
    InterimResponses,
    /// In the body, which for a stream is a single event.
    Body,
    /// The same, with neither a length nor chunks.
    UnframedBody,
    /// In the body, in chunks of one byte.
    ByteChunks,
    /// These lines in the body, again and again.
    Lines(&'static str),
}

/// A request that the worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id; empty if none was sent.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Deadline that was sent to the worker, in ms.
    pub deadline_ms: Option<u64>,
    /// Whether the request had headers that callers may not set.
    pub has_forged_headers: bool,
    /// Names of client accounts that were sent with the request.
    pub accounts: Vec<String>,
    /// Whether the request had the caller's key.
    pub has_key: bool,
    /// Urgency that was sent with the request.
    pub urgency: Option<u8>,
    /// Start of the run.
    pub started_at: Instant,
    /// End of the run; `None` while it continues.
    pub ended_at: Option<Instant>,
    /// Whether the caller disconnected, or the connection failed, before the end of the run.
    pub cancelled: bool,
}

/// Specification of a worker: its service, sizes and durations.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the service that it belongs to.
    pub service: String,
    /// Failure domain that it is in.
    pub domain: String,
    /// Memory for models, in MB.
    pub memory_mb: u64,
    /// Size of each model, in MB.
    pub model_mb: u64,
    /// Time to load a model, in ms.
    pub load_ms: u64,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Models that it has on disk.
    pub on_disk: Vec<String>,
    /// Number of events in a stream.
    pub events: u64,
    /// Time before each event, in ms.
    pub event_interval_ms: u64,
    /// Time to run a plain call, in ms.
    pub work_ms: u64,
}

/// What makes the worker crash.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    // Id of a prompt part.
    pub part: String,
    // Time until the worker is back.
    pub down: Duration,
    pub point: CrashPoint,
}

/// When the worker crashes in the response to a request with the part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CrashPoint {
    // In a stream when the event after this many is due, in a plain response after half of its body.
    BeforeEvent(u64),
    // In a stream right after this event, in a plain response after its body.
    AfterEvent(u64),
}
