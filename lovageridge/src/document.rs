//! The venture's document: its typed sections and the configuration that they make up.

pub mod parse;
#[cfg(test)]
mod tests;

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::Table;

/// Maximum number of sections in one document.
pub const MAX_SECTIONS: usize = 20_000;

/// Kinds of section: the part of a section's name before the first dot, or all of it.
pub const SECTION_KINDS: [&str; 6] = ["venture", "team", "partner", "service", "model", "adapter"];

/// Urgency of a request; a lower value takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// A person is waiting.
    Interactive,
    /// A program is waiting.
    Standard,
    /// Nobody is waiting before the deadline.
    Batch,
}

impl Priority {
    /// Names of the priorities, most urgent first.
    pub const NAMES: [&'static str; 3] = ["interactive", "standard", "batch"];

    /// Returns the priority called `name`, `None` when the name is unknown.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "interactive" => Some(Self::Interactive),
            "standard" => Some(Self::Standard),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }

    /// Returns the name of the priority.
    pub fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// The venture as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Venture {
    /// Name of the venture.
    pub name: String,
    /// Weight of tail cold-start latency relative to idle accelerator hours, in percent.
    pub cold_start_weight_pct: u64,
    /// Model loads from the weight store that may be started per second.
    pub store_loads_per_s: u64,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_slots: u64,
    /// Maximum number of concurrent adapter loads from the weight store.
    pub store_adapter_slots: u64,
    /// Maximum time for which an idle model stays loaded, in s.
    pub keep_alive_max_s: u64,
    /// Time for which the log keeps records, in s.
    pub log_retention_s: u64,
}

/// A team that edits sections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// SHA-256 of the team's token, in hexadecimal.
    pub token_sha256: String,
    /// Patterns of the sections that the team may edit; a `*` at the end matches any suffix.
    pub sections: Vec<String>,
}

impl Team {
    /// Returns whether the team may edit `section`.
    pub fn owns(&self, section: &str) -> bool {
        self.sections.iter().any(|pattern| match pattern.strip_suffix('*') {
            Some(prefix) => section.starts_with(prefix),
            None => pattern == section,
        })
    }
}

/// A partner whose callers use the venture's models.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Partner {
    /// SHA-256 of each API key, in hexadecimal.
    pub keys_sha256: Vec<String>,
    /// Share of the capacity that the partner gets under contention, in percent.
    pub share_pct: u64,
    /// Rate limit over all instances, in tokens per second; 0 for none.
    pub limit_tokens_per_s: u64,
    /// Maximum number of requests that wait on one instance.
    pub queue_max: usize,
    /// Longest deadline that a caller may request, in ms.
    pub deadline_max_ms: u64,
    /// Deadline of a request that specifies none, in ms.
    pub deadline_default_ms: u64,
    /// Most urgent priority that callers may request.
    pub priority_max: Priority,
}

/// What the upstreams of a service are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A group of upstreams that do the same work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Whether the upstreams are engines or a plain service.
    pub kind: ServiceKind,
    /// Whether the engines refuse orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Number of cells into which the upstreams of one failure domain are divided.
    pub cells_per_domain: u64,
    /// Path under which callers reach a plain service.
    pub path: String,
    /// Methods whose requests may be retried, since a repetition has no further effect.
    pub idempotent_methods: Vec<String>,
    /// Maximum number of concurrent calls to one upstream.
    pub slots: u64,
}

/// A model and the resources that it needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Service whose engines hold the model.
    pub service: String,
    /// Size of the weights, in MB.
    pub size_mb: u64,
    /// Number of accelerators over which the weights are spread.
    pub accelerators: u64,
    /// Maximum number of replicas in one cell.
    pub replicas_max: u64,
    /// Usual load time from the weight store, in ms.
    pub load_ms: u64,
    /// Usual load time from the worker's host memory or disk, in ms.
    pub reload_ms: u64,
    /// Partners that may use the model; empty for all.
    pub partners: Vec<String>,
}

/// An adapter of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adapter {
    /// Model that the adapter is applied to.
    pub model: String,
    /// Size of the adapter, in MB.
    pub size_mb: u64,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version of the document; grows with each accepted edit.
    pub version: u64,
    /// The venture as a whole.
    pub venture: Venture,
    /// Teams by name.
    pub teams: Table<String, Team>,
    /// Partners by name.
    pub partners: Table<String, Partner>,
    /// Services by name.
    pub services: Table<String, Service>,
    /// Models by name.
    pub models: Table<String, Model>,
    /// Adapters by name.
    pub adapters: Table<String, Adapter>,
}

impl Config {
    /// Returns a configuration without sections, as before the first accepted edit.
    pub fn empty() -> Self {
        Self {
            version: 0,
            venture: parse::default_venture(),
            teams: Table::new(),
            partners: Table::new(),
            services: Table::new(),
            models: Table::new(),
            adapters: Table::new(),
        }
    }

    /// Returns the model or adapter that callers request as `name`, `None` when there is neither.
    pub fn target(&self, name: &str) -> Option<Target> {
        if self.models.contains(name) {
            return Some(Target { model: name.to_owned(), adapter: None });
        }
        let adapter = self.adapters.get(name)?;
        Some(Target { model: adapter.model.clone(), adapter: Some(name.to_owned()) })
    }
}

/// A model, with the adapter that a request needs on it, if any.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Target {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<String>,
}
