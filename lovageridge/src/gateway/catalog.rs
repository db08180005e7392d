//! The configuration in force: routes, services, their models, and limits on callers.

use crate::gateway::accounts::Account;
use crate::gateway::accounts::Accounts;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Whether and how requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests may run at most once.
    Once,
    /// Responses are streams of events.
    Stream {
        /// Whether another worker may resume a stream after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests must name in their headers.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How requests may be retried.
    pub kind: RouteKind,
    /// Timeout of a request, in ms.
    pub timeout_ms: u64,
    /// Objective for the time to the response or its first event, in ms.
    pub objective_ms: u64,
    /// Objective for the longest gap between two events of a stream, in ms.
    pub gap_objective_ms: u64,
    /// Priority rank among routes; 0 is the most urgent.
    pub rank: u32,
    /// Maximum number of workers to which one request may be sent.
    pub max_workers: u32,
    /// Services with their weights.
    pub targets: Vec<(String, f64)>,
    /// Whether requests need no key.
    pub is_public: bool,
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
    /// Time to load it from the worker's host memory, in ms.
    pub memory_load_ms: u64,
    /// Time to load it from the worker's disk, in ms.
    pub disk_load_ms: u64,
    /// Time to load it from the weight store at full bandwidth, in ms.
    pub store_load_ms: u64,
}

/// Properties common to all workers of a service with models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests in one batch.
    pub slots: u32,
    /// Accelerator memory for weights and adapters of one worker, in MB.
    pub memory_mb: u64,
    /// Number of adapters that one worker can hold.
    pub adapter_slots: usize,
    /// Loads from the weight store allowed per second.
    pub store_loads_per_s: f64,
    /// Models by name.
    pub models: Models,
}

/// Models of an engine by name, with what is looked up of all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Models {
    models: Table<String, Model>,
    largest_adapter_mb: u64,
    smallest_mb: u64,
}

impl Models {
    /// Returns the model with this name.
    pub fn get(&self, name: &str) -> Option<&Model> {
        self.models.get(name)
    }

    /// Returns whether there is a model with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.models.contains(name)
    }

    /// Returns the size of the largest adapter, in MB; 0 without models.
    pub fn largest_adapter_mb(&self) -> u64 {
        self.largest_adapter_mb
    }

    /// Returns the size of the smallest model, in MB; 0 without models.
    pub fn smallest_mb(&self) -> u64 {
        self.smallest_mb
    }
}

impl FromIterator<(String, Model)> for Models {
    fn from_iter<I: IntoIterator<Item = (String, Model)>>(rows: I) -> Self {
        let models = Table::from_iter(rows);
        let sizes = || models.values();
        Self {
            largest_adapter_mb: sizes().map(|model| model.adapter_mb).max().unwrap_or(0),
            smallest_mb: sizes().map(|model| model.size_mb).min().unwrap_or(0),
            models,
        }
    }
}

/// A service and the capabilities of its workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one worker accepts from all callers together.
    pub max_connections: u32,
    /// Path at a worker that tells whether it is healthy; `None` if the configuration names none.
    pub health_path: Option<String>,
    /// Engine and models; `None` if the workers do not serve models.
    pub engine: Option<Engine>,
}

/// Limit on request headers until a configuration is known, in bytes; all requests get a 503 then.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Limit on request bodies until then, in bytes: the most that has to be read before a refusal.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout for request headers until then, in ms; callers allow one second for a new connection.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
/// Idle timeout until then, in ms; a start without the store may take about as long.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Limits that protect the instance from large or slow requests and from idle connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of request headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which request headers must arrive, in ms.
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

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version, which increases with every change.
    pub version: u64,
    /// Services by name.
    pub services: Table<String, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Client accounts; empty if requests need no key.
    pub accounts: Accounts,
    // Sorted by host, then by the length of the prefix with the longest first.
    routes: Vec<Route>,
    // Least urgent rank of the routes of each service.
    least_urgent_ranks: Table<String, u32>,
    // Distinct ranks, in order.
    route_ranks: Vec<u32>,
    account_ranks: Vec<u32>,
}

impl Catalog {
    /// Returns the configuration made up of these parts.
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
        let mut least_urgent_ranks: Table<String, u32> = Table::new();
        for route in &routes {
            for (service, _) in &route.targets {
                let rank = least_urgent_ranks.get_or_insert_with(service.clone(), || route.rank);
                *rank = route.rank.max(*rank);
            }
        }
        Self {
            version,
            services,
            limits,
            accounts: Accounts::default(),
            route_ranks: distinct(routes.iter().map(|route| route.rank)),
            account_ranks: Vec::new(),
            routes,
            least_urgent_ranks,
        }
    }

    /// Returns the configuration with these client accounts.
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        let account_ranks = distinct(accounts.iter().map(|account| account.rank));
        Self { accounts, account_ranks, ..self }
    }

    /// Returns whether requests of `account` on a route with `rank` come before others at the workers of
    /// `service`.
    pub fn is_urgent(&self, service: &str, account: Option<&Account>, rank: u32) -> bool {
        let least_urgent_account = self.least_urgent_account_rank();
        let account = account.map_or(least_urgent_account, |account| account.rank);
        self.least_urgent_ranks
            .get(service)
            .is_some_and(|least_urgent| (account, rank) < (least_urgent_account, *least_urgent))
    }

    /// Returns the place of requests of `account` on a route with `rank` among all pairs of ranks of accounts
    /// and routes, and the number of these pairs; the rank of the account goes before that of the route.
    /// Requests without an account come last. Returns `None` without accounts.
    pub fn priority(&self, account: Option<&Account>, rank: u32) -> Option<(usize, usize)> {
        let (accounts, routes) = (&self.account_ranks, &self.route_ranks);
        let least_urgent = accounts.last()?;
        let account = account.map_or(*least_urgent, |account| account.rank);
        let place = accounts.partition_point(|one| *one < account) * routes.len()
            + routes.partition_point(|one| *one < rank);
        Some((place, accounts.len() * routes.len()))
    }

    fn least_urgent_account_rank(&self) -> u32 {
        self.account_ranks.last().copied().unwrap_or(0)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self.routes.partition_point(|route| route.host.as_str() < host);
        let same_host = self.routes[start..].iter().take_while(|route| route.host == host);
        same_host.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the number of routes, over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the engine of `service`, or `None` if it is unknown or serves no models.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service).and_then(|service| service.engine.as_ref())
    }
}

/// Returns the distinct ranks in order.
fn distinct(ranks: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut ranks: Vec<u32> = ranks.collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}
