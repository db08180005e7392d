//! Messages between gateway instances, and each instance's view of its peers.
//!
//! Heartbeats, demand, residency and new records of the store are sent as datagrams. What does not fit
//! into one or was lost is fetched from a peer over TCP (see [`crate::gateway::sync::transfer`]).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::accounts::freshness::FreshnessMessage;
use crate::gateway::allotments::AllotmentMessage;
use crate::gateway::crashes::PartReport;
use crate::gateway::directory::WorkerView;
use crate::gateway::limits::Grant;
use crate::gateway::limits::LimitReport;
use crate::gateway::sync::changes::RecordChanges;
use crate::gateway::sync::delta::Delta;
use crate::gateway::sync::view::StoreView;
use crate::gateway::sync::view::Topic;
use crate::hashing;
use crate::sorted::Table;

pub mod batches;
pub mod driver;
pub mod relays;
pub mod tree;

#[cfg(test)]
mod tests;

/// Time without a message after which a peer is no longer considered live, in ms.
const PEER_TIMEOUT_MS: u64 = 4000;
/// Time without a message after which nothing more is sent to a peer, in ms. Peers that rely on this
/// instance send it a heartbeat ten times as often.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Time for which reads of the store count as fresh, in ms. Together with a read by a follower it
/// stays below the two seconds within which changes must be in force.
pub const READS_FRESH_MS: u64 = 1500;
/// Time between an instance's demand reports to the lead in a small deployment, in ms.
const DEMAND_PERIOD_MIN_MS: u64 = 80;
/// Number of instances up to which a deployment is small.
const SMALL_DEPLOYMENT_INSTANCES: u64 = 8;
/// Longest time between demand reports, in ms; a third of the time for which the lead uses a report.
const DEMAND_PERIOD_MAX_MS: u64 = 500;
/// Time without a message from any other failure domain after which this one may be isolated, in
/// ms: two heartbeats and a margin.
const ISOLATION_DETECT_MS: u64 = 1200;
/// Time without a message after which the other failure domains are assumed to be gone rather than
/// unreachable, in ms.
const ISOLATION_EXPIRY_MS: u64 = 60_000;
/// Time for which an instance that sends no messages still counts in shared budgets, in ms; longer
/// than network partitions and restarts last.
const BUDGET_SHARE_EXPIRY_MS: u64 = 120_000;

/// How far an instance has read the records of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Number of times that the store has been restored from a copy; the offsets belong to this era.
    pub era: u64,
    /// Version of the configuration in force; 0 before the first one.
    pub config_version: u64,
    /// Offset after the last operator record read.
    pub operator_end: u64,
    /// Offset after the last worker record read.
    pub workers_end: u64,
}

impl Progress {
    /// Returns the offset after the last record read of `topic`.
    pub fn end(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operator => self.operator_end,
            Topic::Workers => self.workers_end,
        }
    }

    /// Raises the end offset of `topic` to `end`; a lower one is ignored.
    pub fn advance(&mut self, topic: Topic, end: u64) {
        let known = match topic {
            Topic::Operator => &mut self.operator_end,
            Topic::Workers => &mut self.workers_end,
        };
        *known = (*known).max(end);
    }

    /// Returns whether `other` covers records that are missing here.
    pub fn is_behind(&self, other: &Self) -> bool {
        let is_behind =
            self.operator_end < other.operator_end || self.workers_end < other.workers_end;
        self.era < other.era || (self.era == other.era && is_behind)
    }
}

/// What an instance knows about the lead.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadInfo {
    /// Fencing number of the lead's claim.
    pub fence: u64,
    /// Time since the lead's last message, in ms.
    pub age_ms: u64,
    /// Address of the lead's port for peers; `None` when the sender itself is the lead.
    pub addr: Option<SocketAddr>,
}

impl LeadInfo {
    /// Returns the lead's address if it is not `own_addr` and the lead is newer than the one with
    /// `known_fence`, the newest lead that this instance has received a message from.
    pub fn contact_addr(
        &self,
        known_fence: Option<u64>,
        own_addr: SocketAddr,
    ) -> Option<SocketAddr> {
        let is_new = known_fence.is_none_or(|fence| fence < self.fence);
        self.addr.filter(|addr| is_new && *addr != own_addr)
    }
}

/// A model or adapter that requests are waiting for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingTarget {
    /// Service that the model belongs to.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Adapter of the model; `None` when the requests need only the model.
    pub adapter: Option<String>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Longest time that any of them has left to meet its latency objective, in ms; 0 when all have
    /// missed it.
    pub slack_ms: u64,
    /// Workers that hold the target but cannot serve these requests: this instance cannot reach them
    /// or has already tried them.
    pub unreachable_workers: Vec<String>,
}

/// Use of a model or adapter since the last demand report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUse {
    /// Service that the model belongs to.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Adapter of the model; `None` for requests to the model itself.
    pub adapter: Option<String>,
    /// Number of requests that arrived.
    pub arrivals: u32,
}

/// Number of requests that an instance has in progress for a model at a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRequests {
    /// Id of the worker.
    pub worker: String,
    /// Name of the model.
    pub model: String,
    /// Number of requests in progress.
    pub count: u32,
}

/// Demand of an instance's callers, reported to the lead.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Targets that requests are waiting for; replaces the previous report's list.
    pub waiting_targets: Vec<WaitingTarget>,
    /// Targets used since the last report.
    pub uses: Vec<TargetUse>,
    /// Requests in progress; replaces the previous report's list.
    pub running: Vec<RunningRequests>,
}

/// Truncated hash of a name, for messages that names would make too long. Where two names share a
/// tag, a statement about one is applied to both.
pub type Tag = [u8; 4];

/// Returns the tag of a name that consists of several parts.
pub fn tag(parts: &[&str]) -> Tag {
    let [a, b, c, d, ..] = hashing::stable_hash(parts).to_le_bytes();
    [a, b, c, d]
}

/// Requests in progress at a worker, over all instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerLoad {
    /// Tag of the worker's id.
    pub worker: Tag,
    /// Number of requests in progress.
    pub running: u32,
}

/// A model that is in demand but cannot be used for some time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DelayedModel {
    /// Tag of the service and the model.
    pub model: Tag,
    /// Shortest time until the model can be used, in ms.
    pub usable_in_ms: u32,
}

/// State of all workers, which the lead sends with each heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Loads of the busiest workers, sorted by tag; all others have a low load.
    pub loads: Vec<WorkerLoad>,
    /// Models that requests should not wait for, sorted by tag.
    pub delayed_models: Vec<DelayedModel>,
}

/// The lead's view of which models and adapters the workers hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// Fencing number of the lead's claim.
    pub fence: u64,
    /// Sequence number of the message; a message with a higher one replaces earlier ones.
    pub sequence: u64,
    /// Offset after the last claim in the store's log.
    pub claims_end_offset: u64,
    /// State of workers; may cover only some of them.
    pub workers: Vec<WorkerView>,
    /// Loads and delayed models; `None` in a message that only reports changes.
    pub status: Option<FleetStatus>,
}

/// Consecutive records that the sender has read from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordBatch {
    /// Era of the store that the offsets belong to.
    pub era: u64,
    /// Topic that the records belong to.
    pub topic: Topic,
    /// Offset at which the read started.
    pub start_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// A configuration that the sender has read from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigUpdate {
    /// Era of the store that the offset belongs to.
    pub era: u64,
    /// Offset after the last operator record read.
    pub next_offset: u64,
    /// The configuration, relative to the one before it.
    pub change: Delta,
}

/// Payload of a [`Message`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Shows that the sender is alive.
    Heartbeat {
        /// Whether the receiver should reply with a heartbeat.
        reply_requested: bool,
    },
    /// Demand of the sender's callers, for the lead.
    Demand(Demand),
    /// Models and adapters that workers hold, from the lead.
    Residency(Residency),
    /// New records of the store.
    Batch(RecordBatch),
    /// New configuration of the operator.
    Config(ConfigUpdate),
    /// Observations of crashes.
    CrashEvidence(Vec<PartReport>),
    /// Digest of all observations of crashes that the sender knows.
    EvidenceDigest {
        /// The digest.
        digest: u64,
        /// Whether the receiver should reply with its own digest if it differs.
        reply_requested: bool,
    },
    /// A worker has said that it is shutting down; hash of its id and start time.
    WorkerLeaving(u64),
    /// Limit that a worker has stated.
    Limit(LimitReport),
    /// Request for a send to a worker that limits them.
    GrantRequest {
        /// Number of the request, unique among those of the sender's process.
        number: u64,
        /// Limit as the sender knows it.
        report: LimitReport,
        /// Time that the sender would wait before the send, in ms.
        max_wait_ms: u64,
        /// Whether the sender passes on the request of another instance.
        is_relayed: bool,
    },
    /// Answer to a `GrantRequest`.
    Grant {
        /// Number of the request.
        number: u64,
        /// The answer.
        grant: Grant,
        /// Limit as the sender knows it; `None` if it knows of none.
        report: Option<LimitReport>,
    },
    /// Limits that workers have stated recently.
    Limits(Vec<LimitReport>),
    /// New records of the store in compressed form: a [`RecordBatch`].
    PackedBatch(Delta),
    /// A datagram for the receiver and all other instances of its failure domain.
    Relay(Vec<u8>),
    /// A datagram of another instance that the sender passes on.
    Relayed {
        /// Address of the instance that the datagram is from.
        from: SocketAddr,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// How fresh the knowledge of the configuration is.
    Freshness(FreshnessMessage),
    /// Question or answer about accounts' limits.
    Allotment(AllotmentMessage),
    /// A datagram for the receiver and the members below it in a large failure domain (see [`tree`]).
    Spread {
        /// Address of the instance that the datagram is from; `None` if it is the sender.
        from: Option<SocketAddr>,
        /// The datagram in compressed form.
        datagram: Delta,
        /// Members that the receiver forwards it to.
        below: Vec<SocketAddr>,
    },
    /// New records of the workers without what the receiver knows; only within a `Spread`.
    Changes(RecordChanges),
    /// A [`Payload::Relay`] in compressed form, from an instance of a large failure domain.
    PackedRelay(Delta),
    /// The sender has missed records of the workers.
    ChangesWanted {
        /// Offset of the first one.
        next_offset: u64,
    },
    /// The sender no longer leads.
    LeadGivenUp {
        /// Fencing number of its claim.
        fence: u64,
    },
}

impl Payload {
    /// Returns the name of the kind of message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::Demand(_) => "demand",
            Self::Residency(_) => "residency",
            Self::Batch(_) | Self::PackedBatch(_) | Self::Changes(_) => "records",
            Self::Config(_) => "config",
            Self::CrashEvidence(_) | Self::EvidenceDigest { .. } => "crashes",
            Self::WorkerLeaving(_) => "leaving",
            Self::Limit(_) | Self::GrantRequest { .. } | Self::Grant { .. } | Self::Limits(_) => {
                "limits"
            }
            Self::Relay(_) | Self::PackedRelay(_) | Self::Relayed { .. } => "relay",
            Self::Spread { .. } => "spread",
            Self::ChangesWanted { .. } => "repair",
            Self::Freshness(_) => "freshness",
            Self::LeadGivenUp { .. } => "given_up",
            Self::Allotment(_) => "allotments",
        }
    }
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sender.
    pub sender: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Start time of the sender's process, as Unix time in ms; distinguishes restarts.
    pub incarnation: u64,
    /// Whether the sender leaves shared work, such as leading and reading the store, to larger
    /// instances.
    pub is_small: bool,
    /// How far the sender has read the store.
    pub progress: Progress,
    /// Time since the sender's own last reads of the store, in ms; `None` when it does not read.
    pub read_age_ms: Option<u64>,
    /// The lead known to the sender, if any.
    pub lead: Option<LeadInfo>,
    /// What the message is about.
    pub payload: Payload,
}

/// What an instance has read from the store, for one that lacks some of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Configuration; `None` if there is none or the receiver has it.
    pub config: Option<Delta>,
    /// Era of the store that the configuration was read in.
    pub config_era: u64,
    /// How far the sender has read the store.
    pub progress: Progress,
    /// Worker records as stored, by worker id, in compressed form; `None` if they were not asked for.
    pub workers: Option<Delta>,
}

/// What is known about another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Failure domain; empty while the instance is known only from its announcement.
    pub domain: String,
    /// Address of its port for peers.
    pub addr: SocketAddr,
    /// Start time of its process, as Unix time in ms.
    pub incarnation: u64,
    /// Time at which its announcement was read from the store, in ms; 0 if it was not.
    pub announced_ms: u64,
    /// Time of its last message, in ms; `None` while it is known only from its announcement.
    pub last_message_ms: Option<u64>,
    /// Whether it leaves shared work to larger instances.
    pub is_small: bool,
    /// How far it has read the store.
    pub progress: Progress,
    /// Time of its own last reads of the store, in ms; `None` when it does not read.
    pub last_read_ms: Option<u64>,
}

impl Peer {
    /// Returns the time of its last message or announcement, in ms.
    fn last_seen_ms(&self) -> u64 {
        self.last_message_ms.unwrap_or(0).max(self.announced_ms)
    }
}

/// Rank of an instance within its failure domain: large instances come first, then in order of name.
#[derive(Clone, Copy, Debug)]
pub struct Rank<'a> {
    /// Failure domain.
    pub domain: &'a str,
    /// Name of the instance.
    pub instance_id: &'a str,
    /// Whether it leaves shared work to larger instances.
    pub is_small: bool,
}

impl Rank<'_> {
    fn comes_after(&self, name: &str, peer: &Peer) -> bool {
        (peer.is_small, name) < (self.is_small, self.instance_id)
    }
}

/// The other instances, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Table<String, Peer>,
}

impl Peers {
    /// Records an announced address, unless this process or a later one of the peer is known.
    pub fn on_announced(&mut self, name: &str, addr: SocketAddr, incarnation: u64, now_ms: u64) {
        let known = self.peers.get(name).is_some_and(|peer| peer.incarnation >= incarnation);
        if !known {
            let peer = Peer {
                domain: String::new(),
                addr,
                incarnation,
                announced_ms: now_ms,
                last_message_ms: None,
                is_small: false,
                progress: Progress::default(),
                last_read_ms: None,
            };
            self.peers.insert(name.to_owned(), peer);
        }
    }

    /// Updates the sender's entry from a message, unless it is a late one of a process that has ended: a
    /// later process is known and not silent. An earlier start time alone does not show that, since the
    /// clock may have been set back before the instance started again.
    pub fn on_message(&mut self, message: &Message, addr: SocketAddr, now_ms: u64) {
        let older = self.peers.get(message.sender.as_str());
        let is_late = |peer: &Peer| {
            peer.incarnation > message.incarnation
                && now_ms <= peer.last_seen_ms() + PEER_TIMEOUT_MS
        };
        if older.is_some_and(is_late) {
            return;
        }
        let peer = Peer {
            domain: message.domain.clone(),
            addr,
            incarnation: message.incarnation,
            announced_ms: older.map_or(0, |peer| peer.announced_ms),
            last_message_ms: Some(now_ms),
            is_small: message.is_small,
            progress: message.progress,
            last_read_ms: message.read_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms)),
        };
        self.peers.insert(message.sender.clone(), peer);
    }

    /// Returns the peer with this name.
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns all peers, including expired ones.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    /// Returns the peers that have sent a message recently.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.last_message_ms.is_some_and(|message_ms| now_ms <= message_ms + PEER_TIMEOUT_MS)
        })
    }

    /// Returns the number of instances that share a budget, including this one. Instances without
    /// recent messages count too: they may only be unreachable from here and still serve callers.
    pub fn budget_share_count(&self, now_ms: u64) -> u64 {
        let counts = |peer: &&Peer| now_ms <= peer.last_seen_ms() + BUDGET_SHARE_EXPIRY_MS;
        self.peers.values().filter(counts).count() as u64 + 1
    }

    /// Returns whether peers of other failure domains have sent messages before but none recently.
    pub fn is_domain_isolated(&self, own_domain: &str, now_ms: u64) -> bool {
        let others = self.peers.values().filter(|peer| peer.domain != own_domain);
        let newest_ms = others.filter_map(|peer| peer.last_message_ms).max();
        newest_ms.is_some_and(|at_ms| {
            (at_ms + ISOLATION_DETECT_MS..at_ms + ISOLATION_EXPIRY_MS).contains(&now_ms)
        })
    }

    /// Returns the instance whose reads of the store `own` relies on: the first by rank that has
    /// fresh reads and is not behind `view`. An instance whose own reads fail relies on any of them,
    /// others only on one that ranks before them, so that one instance of a domain keeps reading. In a large
    /// domain it may be behind: records arrive through other instances, and a missed one may have been read
    /// from the store.
    pub fn reader(&self, own: Rank<'_>, view: &StoreView, now_ms: u64) -> Option<(&String, &Peer)> {
        let accepts_any = view.own_reads_fail(now_ms);
        let fresh = self.peers.iter().filter(|(_, peer)| {
            peer.domain == own.domain
                && peer.last_read_ms.is_some_and(|read_ms| now_ms < read_ms + READS_FRESH_MS)
                && (!peer.progress.is_behind(&view.progress)
                    || view.is_large() && peer.progress.era == view.progress.era)
        });
        let first = fresh.min_by_key(|(name, peer)| (peer.is_small, *name))?;
        (accepts_any || own.comes_after(first.0, first.1)).then_some(first)
    }

    /// Returns whether no unexpired peer of its domain ranks before `own`.
    pub fn is_first(&self, own: Rank<'_>, now_ms: u64) -> bool {
        !self.same_domain(own.domain, now_ms).any(|(name, peer)| own.comes_after(name, peer))
    }

    /// Returns the unexpired peers of `domain`.
    pub fn same_domain(&self, domain: &str, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.unexpired(now_ms).filter(move |(_, peer)| peer.domain == domain)
    }

    /// Returns the peers that are still sent updates, even without recent messages from them: in a
    /// large deployment two given instances rarely exchange heartbeats.
    pub fn unexpired(&self, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now_ms <= peer.last_seen_ms() + PEER_EXPIRY_MS)
    }

    /// Returns the live peer that is furthest ahead of `own` in reading the store; `None` if none is.
    pub fn ahead_of(&self, own: Progress, now_ms: u64) -> Option<(&String, &Peer)> {
        let ahead = self.live(now_ms).filter(|(_, peer)| own.is_behind(&peer.progress));
        ahead.max_by_key(|(_, peer)| {
            (peer.progress.era, peer.progress.config_version, peer.progress.workers_end)
        })
    }
}

/// Returns the time between demand reports of an instance with `peers` peers, in ms. It grows with
/// their number, so that the lead receives about the same number of reports per second. Requests that
/// begin to wait are reported without waiting for the period to end.
pub fn demand_period_ms(peers: usize) -> u64 {
    (DEMAND_PERIOD_MIN_MS * peers as u64 / SMALL_DEPLOYMENT_INSTANCES)
        .clamp(DEMAND_PERIOD_MIN_MS, DEMAND_PERIOD_MAX_MS)
}

/// Decodes a datagram.
///
/// # Errors
/// Returns an error if `bytes` is not a valid message.
pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
    postcard::from_bytes(bytes)
}
