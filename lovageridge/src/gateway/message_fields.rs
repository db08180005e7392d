//! Header fields of requests and responses that the gateway uses, independent of the platform's
//! header names.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::accounts::PresentedKey;

/// Fields of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestFields {
    /// Id of the request; `None` if the caller sent none.
    pub id: Option<String>,
    /// Time for which the caller waits for the response, in ms.
    pub deadline_ms: Option<u64>,
    /// Model that the request needs.
    pub model: Option<String>,
    /// Adapter of the model that the request needs.
    pub adapter: Option<String>,
    /// Id of the last event received, when the caller resumes a stream.
    pub last_event_id: Option<String>,
    /// Parts of the prompt that other requests may share, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Key that the request presents.
    pub key: PresentedKey,
    /// Tokens of the prompt and the longest possible response; `None` if the caller states none.
    pub tokens: Option<u64>,
}

/// Hash of the id of a part of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart(pub u64);

impl Display for PromptPart {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Returns prompt parts as a comma-separated list, for log lines.
pub fn part_list(parts: &[PromptPart]) -> String {
    parts.iter().map(PromptPart::to_string).collect::<Vec<_>>().join(",")
}

/// Fields that the gateway adds to a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFields<'a> {
    /// Time until the request's deadline, in ms.
    pub remaining_ms: u64,
    /// Worker for which the request is meant; others refuse it.
    pub worker_id: &'a str,
    /// Urgency at the worker, 0 being the most urgent; `None` for plain services.
    pub urgency: Option<u8>,
    /// Id of the last event delivered, when a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Name of the client account that the request belongs to.
    pub account: Option<&'a str>,
    /// Whether the key that the caller presented is withheld.
    pub withholds_key: bool,
}

/// Limit on the rate of requests, over all instances, in a worker's response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedLimit {
    /// The worker states no limit.
    #[default]
    None,
    /// The worker takes this many requests in 1000 s.
    PerKs(u32),
    /// The worker states a limit that is not a number.
    Invalid,
}

impl Display for StatedLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::None => write!(formatter, "none"),
            Self::PerKs(per_ks) => write!(formatter, "{}", f64::from(*per_ks) / 1000.0),
            Self::Invalid => write!(formatter, "invalid"),
        }
    }
}

/// Load that a worker reports in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests in the queue.
    pub waiting: u32,
    /// Time that work takes at the moment, in percent of the usual time; `None` if it is not stated.
    pub pace_pct: Option<u32>,
}

/// Fields of an upstream's response headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseFields {
    /// Id of the request to which the response belongs.
    pub id: Option<String>,
    /// The worker states that it did not execute the request.
    pub not_executed: bool,
    /// The response carries the worker's receipt.
    pub has_receipt: bool,
    /// The body has a content encoding, so the worker did not write it.
    pub encoded: bool,
    /// Load that the worker reports; `None` if it reports none.
    pub load: Option<ReportedLoad>,
    /// Limit on the rate of requests that the worker states.
    pub limit: StatedLimit,
    /// Time for which the worker that rejected the request takes no further ones, in ms.
    pub retry_after_ms: Option<u64>,
    /// The worker is shutting down and takes no further requests.
    pub leaving: bool,
    /// Time after which the worker closes an idle connection, in ms.
    pub idle_timeout_ms: Option<u64>,
    /// The worker closes the connection after the response.
    pub closes_connection: bool,
}
