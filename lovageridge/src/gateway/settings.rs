//! Settings of a gateway instance, independent of the file format that they are read from.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::gateway::peers::Rank;

#[cfg(test)]
mod tests;

/// Default of `lease_ms`; as in the platform's example.
pub const DEFAULT_LEASE_MS: u64 = 3000;
/// Default of `grace_ms`; as in the platform's example.
pub const DEFAULT_GRACE_MS: u64 = 8000;
/// Default of `drain_ms`; as in the platform's example.
pub const DEFAULT_DRAIN_MS: u64 = 2000;
/// Default of `retry_permille`; as in the platform's example.
pub const DEFAULT_RETRY_PERMILLE: u64 = 200;
/// Default of `retry_slack`; fewer than known deployments allow.
pub const DEFAULT_RETRY_SLACK: u64 = 50;
/// Default of `retry_window_ms`; as in the platform's example.
pub const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Default of `load_window_ms`; as in the platform's example.
pub const DEFAULT_LOAD_WINDOW_MS: u64 = 5000;
/// Default of `cpu_permille`: one core.
pub const DEFAULT_CPU_PERMILLE: u64 = 1000;
/// Default of `revoke_ms`; as in the platform's example.
pub const DEFAULT_REVOKE_MS: u64 = 5000;
/// Default of `quota_window_ms`; as in the platform's example.
pub const DEFAULT_QUOTA_WINDOW_MS: u64 = 8000;
/// Default of `quota_overshoot_permille`; as in the platform's example.
pub const DEFAULT_QUOTA_OVERSHOOT_PERMILLE: u64 = 100;
/// Share of a core below which an instance leaves shared work to larger instances, in 1/1000: the
/// lead of 90 instances uses up to a fifth of a core.
const SMALL_CPU_PERMILLE: u64 = 200;
/// Range of the random delay of claims, in ms; several appends to the store fit into it.
const CLAIM_JITTER_MS: u64 = 300;

/// Settings of one gateway instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance, unique in the deployment.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of the callers' port.
    pub callers_addr: SocketAddr,
    /// Address of the readiness port, which the load balancer polls.
    pub ready_addr: SocketAddr,
    /// Address of the port for other instances, for both UDP and TCP.
    pub peers_addr: SocketAddr,
    /// Address of the metrics port.
    pub metrics_addr: SocketAddr,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Peer addresses of a few instances, to find others when the store is unreachable at start.
    pub seeds: Vec<SocketAddr>,
    /// Time to leave between the last order of one lead and the first of the next, in ms.
    pub lease_ms: u64,
    /// Time between the signal to stop and the point at which the process is killed, in ms.
    pub grace_ms: u64,
    /// Shortest time between a worker's announcement that it leaves and its exit, in ms.
    pub drain_ms: u64,
    /// Retry budget of a service, shared by all instances: retries per request, in 1/1000.
    pub retry_permille: u64,
    /// Number of retries per window that all instances together may make beyond that share.
    pub retry_slack: u64,
    /// Window of the retry budget, in ms.
    pub retry_window_ms: u64,
    /// Window over which loads from the weight store are counted, in ms.
    pub load_window_ms: u64,
    /// Whether workers refuse orders whose fencing number is lower than one that they have seen.
    pub workers_check: bool,
    /// Share of a core that the process may use, in 1/1000.
    pub cpu_permille: u64,
    /// Memory that the process may use, in MB; `None` if it is not limited.
    pub memory_mb: Option<u64>,
    /// Whether requests with a withdrawn key must not run once `revoke_ms` have passed, even where the
    /// withdrawal is not known.
    pub strict_revoke: bool,
    /// Time from the withdrawal of a key until its requests must no longer run, in ms.
    pub revoke_ms: u64,
    /// Window over which the use of accounts' limits is judged, in ms.
    pub quota_window_ms: u64,
    /// Excess that is tolerated in a window, relative to the limit, in 1/1000.
    pub quota_overshoot_permille: u64,
    /// Units that are tolerated beyond that in a window.
    pub quota_slack: u64,
}

impl GatewaySettings {
    /// Returns the time that a new lead waits after the last order of its predecessor, in ms; 0 where
    /// workers check fencing numbers, since these reject orders of the predecessor.
    pub fn takeover_wait_ms(&self) -> u64 {
        if self.workers_check { 0 } else { self.lease_ms }
    }

    /// Returns whether the instance leaves shared work, such as leading, to larger instances.
    pub fn is_small(&self) -> bool {
        self.cpu_permille < SMALL_CPU_PERMILLE
    }

    /// Returns the rank of the instance within its failure domain.
    pub fn rank(&self) -> Rank<'_> {
        Rank { domain: &self.domain, instance_id: &self.instance_id, is_small: self.is_small() }
    }

    /// Returns the delay before the instance claims leadership, in ms. `random` spreads the claims; a
    /// small instance claims after all larger ones.
    pub fn claim_delay_ms(&self, random: u64) -> u64 {
        random % CLAIM_JITTER_MS + if self.is_small() { CLAIM_JITTER_MS } else { 0 }
    }

    /// Returns `newer` with the identity and the ports of these settings, which cannot change while
    /// the process runs.
    pub fn updated_with(&self, newer: Self) -> Self {
        Self {
            instance_id: self.instance_id.clone(),
            domain: self.domain.clone(),
            callers_addr: self.callers_addr,
            ready_addr: self.ready_addr,
            peers_addr: self.peers_addr,
            metrics_addr: self.metrics_addr,
            ..newer
        }
    }
}

/// Builds [`GatewaySettings`].
#[derive(Clone, Debug)]
pub struct GatewaySettingsBuilder {
    settings: GatewaySettings,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty;)*) => {
        $($(#[$doc])*
        pub fn $name(mut self, value: $kind) -> Self {
            self.settings.$name = value;
            self
        })*
    };
}

impl GatewaySettingsBuilder {
    /// Starts with the name and failure domain of the instance and default values; ports are 0, so
    /// that the system chooses them.
    pub fn new(instance_id: impl Into<String>, domain: impl Into<String>) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = GatewaySettings {
            instance_id: instance_id.into(),
            domain: domain.into(),
            callers_addr: any,
            ready_addr: any,
            peers_addr: any,
            metrics_addr: any,
            store_addr: any,
            seeds: Vec::new(),
            lease_ms: DEFAULT_LEASE_MS,
            grace_ms: DEFAULT_GRACE_MS,
            drain_ms: DEFAULT_DRAIN_MS,
            retry_permille: DEFAULT_RETRY_PERMILLE,
            retry_slack: DEFAULT_RETRY_SLACK,
            retry_window_ms: DEFAULT_RETRY_WINDOW_MS,
            load_window_ms: DEFAULT_LOAD_WINDOW_MS,
            workers_check: false,
            cpu_permille: DEFAULT_CPU_PERMILLE,
            memory_mb: None,
            strict_revoke: false,
            revoke_ms: DEFAULT_REVOKE_MS,
            quota_window_ms: DEFAULT_QUOTA_WINDOW_MS,
            quota_overshoot_permille: DEFAULT_QUOTA_OVERSHOOT_PERMILLE,
            quota_slack: 0,
        };
        Self { settings }
    }

    setters! {
        /// Sets the address of the callers' port.
        callers_addr: SocketAddr;
        /// Sets the address of the readiness port.
        ready_addr: SocketAddr;
        /// Sets the address of the port for peers.
        peers_addr: SocketAddr;
        /// Sets the address of the metrics port.
        metrics_addr: SocketAddr;
        /// Sets the address of the platform's store.
        store_addr: SocketAddr;
        /// Sets the peer addresses to contact when the store is unreachable.
        seeds: Vec<SocketAddr>;
        /// Sets the time between the orders of one lead and the next, in ms.
        lease_ms: u64;
        /// Sets the time in which the process has to stop, in ms.
        grace_ms: u64;
        /// Sets the shortest time between a worker's announcement that it leaves and its exit, in ms.
        drain_ms: u64;
        /// Sets the retry budget in retries per request, in 1/1000.
        retry_permille: u64;
        /// Sets the number of retries per window beyond the budget's share.
        retry_slack: u64;
        /// Sets the window of the retry budget, in ms.
        retry_window_ms: u64;
        /// Sets the window over which loads from the weight store are counted, in ms.
        load_window_ms: u64;
        /// Sets whether workers check fencing numbers.
        workers_check: bool;
        /// Sets the share of a core that the process may use, in 1/1000.
        cpu_permille: u64;
        /// Sets the memory that the process may use, in MB.
        memory_mb: Option<u64>;
        /// Sets whether withdrawn keys end even where the withdrawal is not known.
        strict_revoke: bool;
        /// Sets the time until requests with a withdrawn key must no longer run, in ms.
        revoke_ms: u64;
        /// Sets the window over which the use of accounts' limits is judged, in ms.
        quota_window_ms: u64;
        /// Sets the tolerated relative excess in a window, in 1/1000.
        quota_overshoot_permille: u64;
        /// Sets the units tolerated beyond that in a window.
        quota_slack: u64;
    }

    /// Returns the settings.
    pub fn build(self) -> GatewaySettings {
        self.settings
    }
}
