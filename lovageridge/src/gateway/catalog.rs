//! The configuration in force: routes, services, their models, and limits on callers.

use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another worker may continue it after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time to an answer, in ms.
    pub timeout_ms: u64,
    /// Time to the answer or the first event that callers want, in ms.
    pub objective_ms: u64,
    /// Longest pause between events that callers want, in ms.
    pub gap_objective_ms: u64,
    /// Rank among routes; 0 is the most urgent.
    pub rank: u32,
    /// Number of workers to which one request may be sent.
    pub max_workers: u32,
    /// Services with their weights.
    pub targets: Vec<(String, f64)>,
}

/// A model of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Size of the weights in MB.
    pub size_mb: u64,
    /// Number of its adapters.
    pub adapter_count: u32,
    /// Size of one adapter in MB.
    pub adapter_mb: u64,
    /// Time of a load from the worker's host memory, in ms.
    pub memory_load_ms: u64,
    /// Time of a load from the worker's disk, in ms.
    pub disk_load_ms: u64,
    /// Time of a load from the weight store at full speed, in ms.
    pub store_load_ms: u64,
}

/// What the workers of a service with models are alike in.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Accelerator memory for weights and adapters of one worker, in MB.
    pub memory_mb: u64,
    /// Adapters that one worker can hold.
    pub adapter_slots: usize,
    /// Loads from the weight store allowed a second.
    pub store_loads_per_s: f64,
    /// Models by name.
    pub models: Table<String, Model>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one worker accepts from all callers together.
    pub max_connections: u32,
    /// Models, if the workers are model engines.
    pub engine: Option<Engine>,
}

/// Largest head of a request until a configuration is known, in bytes; all are answered 503 then.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Largest body until then, in bytes; what a refusal has to read at most.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Longest time for a head until then, in ms; callers allow a new connection a second.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
/// Idle time until then, in ms; a start without the store may take about as long.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Limits on callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive, in ms.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout_ms: DEFAULT_HEADER_TIMEOUT_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }
}

/// A configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version, which only grows.
    pub version: u64,
    /// Services by name.
    pub services: Table<String, Service>,
    /// Limits on callers.
    pub limits: Limits,
    // By host; for one host the longest prefix comes first.
    routes: Vec<Route>,
}

impl Catalog {
    /// Joins the parts of a configuration.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Table<String, Service>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| {
            let longest_first = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(longest_first)
        });
        Self { version, services, limits, routes }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self.routes.partition_point(|route| route.host.as_str() < host);
        let same_host = self.routes[start..].iter().take_while(|route| route.host == host);
        same_host.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the engine of `service`.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service).and_then(|service| service.engine.as_ref())
    }
}
