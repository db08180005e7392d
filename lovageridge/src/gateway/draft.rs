//! A configuration before it is sent: its entries as they are written, with their locations.
//!
//! The catalog of an instance keeps only what is in effect; here, entries that have none are found.

use crate::gateway::accounts::KeyDigest;
use crate::sorted::Table;

pub mod check;
pub mod differences;

#[cfg(test)]
mod tests;

/// A value and its location in the document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stated<T> {
    /// JSON path.
    pub path: String,
    /// Value.
    pub value: T,
}

impl<T> Stated<T> {
    /// Returns a value with its location.
    pub fn new(path: impl Into<String>, value: T) -> Self {
        Self { path: path.into(), value }
    }
}

/// Importance of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// The configuration is rejected, or a part of it cannot work.
    Error,
    /// A part of it has no effect, or contradicts another one.
    Warning,
}

/// A fault of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Importance.
    pub level: Level,
    /// JSON path.
    pub path: String,
    /// What is wrong there.
    pub text: String,
}

impl Finding {
    /// Returns an error.
    pub fn error(path: &str, text: impl Into<String>) -> Self {
        Self { level: Level::Error, path: path.to_owned(), text: text.into() }
    }

    /// Returns a warning.
    pub fn warning(path: &str, text: impl Into<String>) -> Self {
        Self { level: Level::Warning, path: path.to_owned(), text: text.into() }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Version.
    pub version: Stated<u64>,
    /// Routes.
    pub routes: Vec<DraftRoute>,
    /// Services.
    pub services: Vec<DraftService>,
    /// Client accounts.
    pub accounts: Vec<DraftAccount>,
    /// Largest size of request headers, in bytes; `None` if it is not stated.
    pub max_header_bytes: Stated<Option<f64>>,
    /// All entries with their fields, to compare versions.
    pub entries: Vec<DraftEntry>,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DraftRoute {
    /// Name.
    pub name: Stated<String>,
    /// Host.
    pub host: Stated<String>,
    /// Prefix of paths.
    pub path_prefix: Stated<String>,
    /// Whether its type is known.
    pub has_known_kind: Stated<bool>,
    /// Timeout, in ms.
    pub timeout_ms: Stated<f64>,
    /// Latency objective, in ms; 0 if none is stated.
    pub objective_ms: Stated<f64>,
    /// Objective for the gaps of a stream, in ms; 0 if none is stated.
    pub gap_objective_ms: Stated<f64>,
    /// Number of attempts.
    pub attempts: Stated<u32>,
    /// Services with their weights; the locations are those of the weights.
    pub targets: Vec<(Stated<String>, Stated<f64>)>,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DraftService {
    /// Name.
    pub name: Stated<String>,
    /// Memory of one worker for models, in MB.
    pub memory_mb: f64,
    /// Names and sizes of its models, in MB.
    pub models: Vec<(Stated<String>, Stated<f64>)>,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DraftAccount {
    /// Name.
    pub name: Stated<String>,
    /// Keys.
    pub keys: Stated<Vec<Stated<KeyDigest>>>,
    /// Rate limit, in units a second.
    pub rate_per_s: Stated<f64>,
    /// Burst, in units.
    pub burst: Stated<f64>,
    /// Cost of a request without a token count, in units.
    pub plain_cost: f64,
}

/// An entry that is compared with the one of the same kind and name in another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DraftEntry {
    /// What it is, such as a route.
    pub kind: &'static str,
    /// Name.
    pub name: String,
    /// Text of each field; without keys of accounts.
    pub fields: Table<String, String>,
}
