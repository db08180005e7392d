//! Outcomes reported to callers, with whether their request ran.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No upstream can have run it.
    NotRun,
    /// An upstream ran it.
    Ran,
    /// An upstream may have run it.
    Unknown,
}

/// Stable code of a refusal or failure, as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The partner may not use the model.
    Forbidden,
    /// The path, model or adapter does not exist.
    NotFound,
    /// The body is too large.
    TooLarge,
    /// The partner's rate is used up.
    RateLimited,
    /// Too many requests of the partner are waiting.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The instance has too many requests.
    Overloaded,
    /// The instance is shutting down.
    ShuttingDown,
    /// No configuration has been accepted yet.
    NoConfiguration,
    /// No upstream accepts the request.
    NoUpstream,
    /// Upstreams failed and the retry budget is used up.
    RetriesExhausted,
    /// The upstream failed.
    UpstreamFailed,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// Another request with the same idempotency key is running or has an unknown outcome.
    KeyInUse,
    /// The idempotency key was used with a different request.
    KeyMismatch,
    /// The log cannot record the idempotency key now.
    ClaimUnavailable,
}

impl Code {
    /// Returns the HTTP status of the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::KeyInUse => 409,
            Self::TooLarge => 413,
            Self::KeyMismatch => 422,
            Self::RateLimited | Self::QueueFull => 429,
            Self::UpstreamFailed => 502,
            Self::DeadlinePassed => 504,
            Self::DeadlineUnreachable
            | Self::Overloaded
            | Self::ShuttingDown
            | Self::NoConfiguration
            | Self::NoUpstream
            | Self::RetriesExhausted
            | Self::ClaimUnavailable => 503,
        }
    }

    /// Returns the name of the code as callers see it.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::RateLimited => "rate_limited",
            Self::QueueFull => "queue_full",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::Overloaded => "overloaded",
            Self::ShuttingDown => "shutting_down",
            Self::NoConfiguration => "no_configuration",
            Self::NoUpstream => "no_upstream",
            Self::RetriesExhausted => "retries_exhausted",
            Self::UpstreamFailed => "upstream_failed",
            Self::DeadlinePassed => "deadline_passed",
            Self::KeyInUse => "key_in_use",
            Self::KeyMismatch => "key_mismatch",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }
}

/// A refusal of a request that has not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason, as callers see it.
    pub code: Code,
    /// Time after which a retry may succeed, in ms.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Returns a refusal with a retry hint.
    pub fn new(code: Code, retry_after_ms: u64) -> Self {
        Self { code, retry_after_ms }
    }
}

/// A failure reported to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Reason, as callers see it.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which a retry may succeed, in ms; `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation.
    pub message: String,
}

impl Failure {
    /// Returns a failure of a request that no upstream has run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::NotRun, retry_after_ms: None, message: message.into() }
    }

    /// Returns a failure of a request that an upstream may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::Unknown, retry_after_ms: None, message: message.into() }
    }

    /// Returns a failure of a request that an upstream ran.
    pub fn ran(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::Ran, retry_after_ms: None, message: message.into() }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let message = match refusal.code {
            Code::RateLimited => "the partner's token rate is used up",
            Code::QueueFull => "too many requests of the partner are waiting",
            Code::DeadlineUnreachable => "the request cannot be served before its deadline",
            Code::RetriesExhausted => "upstreams failed and the retry budget is used up",
            Code::NoUpstream => "no upstream takes the request",
            _ => "the request was not admitted",
        };
        Self {
            code: refusal.code,
            ran: Ran::NotRun,
            retry_after_ms: Some(refusal.retry_after_ms),
            message: message.to_owned(),
        }
    }
}
