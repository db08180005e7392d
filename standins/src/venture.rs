//! Ventures for scenarios: the document and the settings, in the form that operators write.

use std::fmt::Write;
use std::net::SocketAddr;

use lovageridge::hashing::sha256_hex;

/// API key of the growers' partner.
pub const GROWERS_KEY: &str = "growers-key";
/// API key of the boards' partner.
pub const BOARDS_KEY: &str = "boards-key";
/// Token of the team that owns all sections.
pub const OPS_TOKEN: &str = "ops-token";
/// Token of a team that owns the sections of the boards' models.
pub const BOARDS_TOKEN: &str = "boards-token";

/// What a venture is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Entry instances, spread over the domains.
    pub entries: usize,
    /// Engine workers, spread over the domains.
    pub workers: usize,
    /// Upstreams of the booking service.
    pub bookings: usize,
    /// Models, called `model-00` and so on.
    pub models: usize,
    /// Adapters, called `adapter-00` and so on, spread over the models.
    pub adapters: usize,
    /// Size of each model, in MB.
    pub model_mb: u64,
    /// Memory of each accelerator, in MB.
    pub accelerator_mb: u64,
    /// Accelerators of each worker.
    pub accelerators: usize,
    /// Host memory of each worker for copies of checkpoints, in MB.
    pub host_mb: u64,
    /// Sequences batched at once.
    pub slots: usize,
    /// Time of one token, in ms.
    pub token_ms: u64,
    /// Speed of one load, in MB per s.
    pub store_mb_per_s: u64,
    /// Loads that the store starts per second.
    pub store_loads_per_s: u64,
    /// Loads at full speed at once.
    pub store_slots: u64,
    /// Whether engines check fencing.
    pub fencing: bool,
    /// Most replicas of a model in a cell.
    pub replicas_max: u64,
    /// Longest keep-alive, in s.
    pub keep_alive_s: u64,
    /// Weight of cold starts against idle time, in percent.
    pub cold_weight_pct: u64,
    /// Rate limit of the boards' partner in tokens per second; 0 for none.
    pub boards_limit: u64,
    /// Retention of the log, in s.
    pub retention_s: u64,
    /// Whether entries export their spans.
    pub traces: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            domains: vec!["sohar-a".into(), "sohar-b".into(), "saham-c".into()],
            entries: 6,
            workers: 12,
            bookings: 3,
            models: 8,
            adapters: 8,
            model_mb: 8000,
            accelerator_mb: 20_000,
            accelerators: 2,
            host_mb: 32_000,
            slots: 16,
            token_ms: 15,
            store_mb_per_s: 10_000,
            store_loads_per_s: 4,
            store_slots: 4,
            fencing: true,
            replicas_max: 1,
            keep_alive_s: 600,
            cold_weight_pct: 70,
            boards_limit: 0,
            retention_s: 3600,
            traces: false,
        }
    }
}

impl Shape {
    /// Returns the name of model `at`.
    pub fn model(at: usize) -> String {
        format!("model-{at:02}")
    }

    /// Returns the venture's document.
    pub fn document(&self) -> String {
        let mut text = format!(
            "[venture]\nname = scenario\ncold_start_weight_pct = {}\nstore_loads_per_s = {}\n\
             store_slots = {}\nkeep_alive_max_s = {}\nlog_retention_s = {}\n\n",
            self.cold_weight_pct,
            self.store_loads_per_s,
            self.store_slots,
            self.keep_alive_s,
            self.retention_s
        );
        self.write_teams(&mut text);
        self.write_services(&mut text);
        for at in 0..self.models {
            let _ = write!(
                text,
                "[model.{}]\nservice = lm-pool\nsize_mb = {}\nload_ms = {}\nreplicas_max = {}\n\n",
                Self::model(at),
                self.model_mb,
                self.model_mb * 1000 / self.store_mb_per_s,
                self.replicas_max
            );
        }
        for at in 0..self.adapters {
            let model = Self::model(at % self.models.max(1));
            let _ = write!(text, "[adapter.adapter-{at:02}]\nmodel = {model}\nsize_mb = 50\n\n");
        }
        text
    }

    fn write_teams(&self, text: &mut String) {
        let _ = write!(
            text,
            "[team.ops]\ntoken_sha256 = {}\nsections = *\n\n\
             [team.boards]\ntoken_sha256 = {}\nsections = model.boards-*, partner.boards\n\n\
             [partner.growers]\nkeys_sha256 = {}\nshare_pct = 70\nqueue_max = 4000\n\n\
             [partner.boards]\nkeys_sha256 = {}\nshare_pct = 30\nqueue_max = 4000\n\
             limit_tokens_per_s = {}\n\n",
            sha256_hex(OPS_TOKEN),
            sha256_hex(BOARDS_TOKEN),
            sha256_hex(GROWERS_KEY),
            sha256_hex(BOARDS_KEY),
            self.boards_limit
        );
    }

    fn write_services(&self, text: &mut String) {
        let checks = if self.fencing { "yes" } else { "no" };
        let _ = write!(
            text,
            "[service.lm-pool]\nkind = engine\nchecks_fencing = {checks}\n\n\
             [service.booking-app]\nkind = plain\npath = /booking\nslots = 64\n\n"
        );
    }
}

/// Addresses of one entry instance.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddrs {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Administration port.
    pub admin: SocketAddr,
    /// Peers port.
    pub peers: SocketAddr,
    /// Address under which other instances reach the peers port.
    pub advertised_peers: SocketAddr,
    /// The log as this instance reaches it.
    pub log: SocketAddr,
    /// The list as this instance reaches it.
    pub list: SocketAddr,
    /// The trace collector, if spans are exported.
    pub traces: Option<SocketAddr>,
}

/// Returns the settings of an entry instance.
pub fn settings(id: &str, domain: &str, region: &str, addrs: &EntryAddrs, timing: &str) -> String {
    let traces = addrs.traces.map(|addr| format!("traces = {addr}\n")).unwrap_or_default();
    format!(
        "[instance]\nid = {id}\ndomain = {domain}\nregion = {region}\n\n\
         [listen]\ncallers = {}\nadmin = {}\npeers = {}\nadvertised_peers = {}\n\n\
         [platform]\nlog = {}\nlist = {}\n{traces}\n[timing]\n{timing}\n",
        addrs.callers, addrs.admin, addrs.peers, addrs.advertised_peers, addrs.log, addrs.list
    )
}
