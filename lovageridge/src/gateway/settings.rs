//! Settings of an instance that serves as a gateway, whatever file they come from.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::gateway::peers::Rank;

#[cfg(test)]
mod tests;

/// Wait of a new lead unless the settings name one, in ms; as in the platform's example.
pub const DEFAULT_LEASE_MS: u64 = 3000;
/// Time to stop unless the settings name one, in ms; as in the platform's example.
pub const DEFAULT_GRACE_MS: u64 = 8000;
/// Share of repeated sends unless the settings name one, in 1/1000; as in the platform's example.
pub const DEFAULT_RETRY_PERMILLE: u64 = 200;
/// Free repeated sends unless the settings name them: fewer than any deployment seen allows.
pub const DEFAULT_RETRY_SLACK: u64 = 50;
/// Window of repeated sends unless the settings name one, in ms; as in the platform's example.
pub const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Window of loads from the weight store unless the settings name one, in ms; as in the platform's example.
pub const DEFAULT_LOAD_WINDOW_MS: u64 = 5000;
/// Share of a core unless the settings name one, in 1/1000.
pub const DEFAULT_CPU_PERMILLE: u64 = 1000;
/// Share of a core below which an instance leaves common duties to larger ones, in 1/1000: a lead of
/// 90 instances takes up to a fifth of a core.
const SMALL_CPU_PERMILLE: u64 = 200;
/// Time by which claims are spread, in ms; several appends to the store fit in.
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
    /// Address on which the balancer asks whether the instance is ready.
    pub ready_addr: SocketAddr,
    /// Address of the UDP and TCP port for other instances.
    pub peers_addr: SocketAddr,
    /// Address of the metrics.
    pub metrics_addr: SocketAddr,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Ports for peers of a few instances, for a start without the store.
    pub seeds: Vec<SocketAddr>,
    /// Time between the last order of one lead and the first of the next, in ms.
    pub lease_ms: u64,
    /// Time between the signal to stop and the kill, in ms.
    pub grace_ms: u64,
    /// Share of repeated sends to a service that all instances may make together, in 1/1000.
    pub retry_permille: u64,
    /// Repeated sends in a window that are free for all instances together.
    pub retry_slack: u64,
    /// Window of the two figures above, in ms.
    pub retry_window_ms: u64,
    /// Window over which loads from the weight store are counted, in ms.
    pub load_window_ms: u64,
    /// Whether workers refuse orders with a lower fencing number than they have seen.
    pub workers_check: bool,
    /// Share of a core that the process may use, in 1/1000.
    pub cpu_permille: u64,
}

impl GatewaySettings {
    /// Returns the time that a new lead leaves after the last order of the one before, in ms; where
    /// workers check fencing numbers these keep the two apart.
    pub fn takeover_wait_ms(&self) -> u64 {
        if self.workers_check { 0 } else { self.lease_ms }
    }

    /// Tells whether the instance leaves common duties to larger ones.
    pub fn is_small(&self) -> bool {
        self.cpu_permille < SMALL_CPU_PERMILLE
    }

    /// Returns its place among the instances of its failure domain.
    pub fn rank(&self) -> Rank<'_> {
        Rank { domain: &self.domain, instance_id: &self.instance_id, is_small: self.is_small() }
    }

    /// Returns the time by which the instance delays a claim of the lead, in ms: spread by `random`,
    /// and after all larger instances on a small one.
    pub fn claim_delay_ms(&self, random: u64) -> u64 {
        random % CLAIM_JITTER_MS + if self.is_small() { CLAIM_JITTER_MS } else { 0 }
    }

    /// Returns `newer` with the identity and the ports of these settings, which hold until the
    /// process ends.
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
    /// Starts with the name and failure domain of the instance; ports are chosen by the system.
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
            retry_permille: DEFAULT_RETRY_PERMILLE,
            retry_slack: DEFAULT_RETRY_SLACK,
            retry_window_ms: DEFAULT_RETRY_WINDOW_MS,
            load_window_ms: DEFAULT_LOAD_WINDOW_MS,
            workers_check: false,
            cpu_permille: DEFAULT_CPU_PERMILLE,
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
        /// Sets the address of the metrics.
        metrics_addr: SocketAddr;
        /// Sets the address of the platform's store.
        store_addr: SocketAddr;
        /// Sets the peers to ask when the store is away.
        seeds: Vec<SocketAddr>;
        /// Sets the wait of a new lead in ms.
        lease_ms: u64;
        /// Sets the time to stop in ms.
        grace_ms: u64;
        /// Sets the share of repeated sends in 1/1000.
        retry_permille: u64;
        /// Sets the free repeated sends in a window.
        retry_slack: u64;
        /// Sets the window of repeated sends in ms.
        retry_window_ms: u64;
        /// Sets the window of loads from the weight store in ms.
        load_window_ms: u64;
        /// Sets whether workers check fencing numbers.
        workers_check: bool;
        /// Sets the share of a core that the process may use, in 1/1000.
        cpu_permille: u64;
    }

    /// Returns the settings.
    pub fn build(self) -> GatewaySettings {
        self.settings
    }
}
