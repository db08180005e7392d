//! Messages between gateway instances and the view of who is there.
//!
//! Datagrams carry heartbeats, demand, residency and new records of the store; a snapshot of all
//! records goes over TCP to an instance that cannot reach the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::directory::WorkerView;
use crate::gateway::sync::view::StoreView;
use crate::gateway::sync::view::Topic;
use crate::hashing;
use crate::sorted::Table;

pub mod driver;

#[cfg(test)]
mod tests;

/// Silence after which a peer no longer counts, in ms.
const PEER_TIMEOUT_MS: u64 = 4000;
/// Silence after which a peer is told nothing more, in ms; those that rely on this instance are heard
/// ten times as often.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Time for which reads of the store count as fresh, in ms; with a read of a follower less than the
/// two seconds in which changes have to be in force.
pub const READS_FRESH_MS: u64 = 1500;
/// Time between an instance's reports of demand to the lead in a small deployment, in ms.
const DEMAND_PERIOD_MIN_MS: u64 = 80;
/// Instances up to which a deployment is small.
const SMALL_DEPLOYMENT_INSTANCES: u64 = 8;
/// Longest time between reports of demand, in ms; a third of the time for which one counts.
const DEMAND_PERIOD_MAX_MS: u64 = 500;
/// Silence of all other failure domains that counts as a cut, in ms: two heartbeats and some.
const ISOLATION_DETECT_MS: u64 = 1200;
/// Silence after which they are taken to be gone and not cut off, in ms.
const ISOLATION_EXPIRY_MS: u64 = 60_000;
/// Time for which a silent instance counts where all share a budget, in ms; longer than cuts and
/// restarts take.
const BUDGET_SHARE_EXPIRY_MS: u64 = 120_000;

/// How new the records are that an instance has read from the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// End of the operator's records.
    pub operator_end: u64,
    /// End of the workers' records.
    pub workers_end: u64,
}

impl Progress {
    /// Returns the end of the records of `topic`.
    pub fn end(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operator => self.operator_end,
            Topic::Workers => self.workers_end,
        }
    }

    /// Notes that the records of `topic` have been read up to `end`.
    pub fn advance(&mut self, topic: Topic, end: u64) {
        let known = match topic {
            Topic::Operator => &mut self.operator_end,
            Topic::Workers => &mut self.workers_end,
        };
        *known = (*known).max(end);
    }

    /// Tells whether `other` covers records that are missing here.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.operator_end < other.operator_end || self.workers_end < other.workers_end
    }
}

/// The lead as an instance knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadInfo {
    /// Fencing number of its claim.
    pub fence: u64,
    /// Time since it was heard, in ms.
    pub age_ms: u64,
    /// Address of its port for peers; `None` when the sender leads.
    pub addr: Option<SocketAddr>,
}

impl LeadInfo {
    /// Returns the address of a lead that an instance has not heard itself; `known_fence` is the
    /// lead that it knows.
    pub fn contact_addr(
        &self,
        known_fence: Option<u64>,
        own_addr: SocketAddr,
    ) -> Option<SocketAddr> {
        let is_new = known_fence.is_none_or(|fence| fence < self.fence);
        self.addr.filter(|addr| is_new && *addr != own_addr)
    }
}

/// A target that requests wait for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingTarget {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Requests that wait.
    pub waiting: u32,
    /// Time within which the most urgent of them still meets its objective, in ms; none has any
    /// left when this is 0.
    pub slack_ms: u64,
    /// Workers that hold the target but are of no use there: not reached, or tried already.
    pub unreachable_workers: Vec<String>,
}

/// Use of a target since the last message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUse {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Requests that arrived.
    pub arrivals: u32,
}

/// Requests in progress of a model at a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRequests {
    /// Worker.
    pub worker: String,
    /// Model.
    pub model: String,
    /// Requests in progress.
    pub count: u32,
}

/// What an instance's callers want, for the lead.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Targets that requests wait for; replaces what was said before.
    pub waiting_targets: Vec<WaitingTarget>,
    /// Targets used since the last message.
    pub uses: Vec<TargetUse>,
    /// Requests in progress; replaces what was said before.
    pub running: Vec<RunningRequests>,
}

/// Part of the hash of a name, for messages in which names would take most of the room. What is said
/// of one of two that share a tag is taken for both.
pub type Tag = [u8; 4];

/// Returns the tag of a name that has several parts.
pub fn tag(parts: &[&str]) -> Tag {
    let [a, b, c, d, ..] = hashing::stable_hash(parts).to_le_bytes();
    [a, b, c, d]
}

/// Requests in progress at a worker, over all instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerLoad {
    /// Worker.
    pub worker: Tag,
    /// Requests in progress.
    pub running: u32,
}

/// A model that is asked for and cannot be used for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DelayedModel {
    /// Service and model.
    pub model: Tag,
    /// Time until it can be used at the earliest, in ms.
    pub usable_in_ms: u32,
}

/// What the lead tells in each heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Loads of the busiest workers, by tag; all others have little to do.
    pub loads: Vec<WorkerLoad>,
    /// Models that callers had better not wait for, by tag.
    pub delayed_models: Vec<DelayedModel>,
}

/// What the lead says that workers hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// Fencing number of the lead's claim.
    pub fence: u64,
    /// Number of the message; higher ones replace lower ones.
    pub sequence: u64,
    /// End of the claims in the store's log.
    pub claims_end_offset: u64,
    /// Workers, not always all of them.
    pub workers: Vec<WorkerView>,
    /// What else a heartbeat tells; `None` in a message that tells of changes only.
    pub status: Option<FleetStatus>,
}

/// Records that the sender has read from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordBatch {
    /// Topic.
    pub topic: Topic,
    /// Offset from which was read.
    pub start_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// The sender lives; asks for a heartbeat back when `ask` is set.
    Heartbeat {
        /// Whether the receiver shall answer.
        reply_requested: bool,
    },
    /// Demand of the sender's callers.
    Demand(Demand),
    /// What workers hold.
    Residency(Residency),
    /// Records of the store.
    Batch(RecordBatch),
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sender.
    pub sender: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Start of the sender's process.
    pub incarnation: u64,
    /// Whether the sender leaves common duties to larger instances.
    pub is_small: bool,
    /// What the sender has read from the store.
    pub progress: Progress,
    /// Time since the sender's own reads of the store, in ms; `None` when it does not read.
    pub read_age_ms: Option<u64>,
    /// The lead as the sender knows it.
    pub lead: Option<LeadInfo>,
    /// Content.
    pub payload: Payload,
}

/// Records of the store, for an instance that cannot reach it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Configuration as it lies in the store.
    pub config: Vec<u8>,
    /// What the records cover.
    pub progress: Progress,
    /// Records of workers by id.
    pub workers: Vec<(String, Vec<u8>)>,
}

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Failure domain; empty while it is only known by name.
    pub domain: String,
    /// Address of its port for peers.
    pub addr: SocketAddr,
    /// Start of its process.
    pub incarnation: u64,
    /// Time at which its address was read from the store, in ms; 0 if it was not.
    pub announced_ms: u64,
    /// Time it was last heard, in ms; `None` when it is only known by name.
    pub last_message_ms: Option<u64>,
    /// Whether it leaves common duties to larger instances.
    pub is_small: bool,
    /// What it has read from the store.
    pub progress: Progress,
    /// Time of its own reads of the store, in ms; `None` when it does not read.
    pub last_read_ms: Option<u64>,
}

/// Place of an instance among those of its failure domain: large ones come first, then by name.
#[derive(Clone, Copy, Debug)]
pub struct Rank<'a> {
    /// Failure domain.
    pub domain: &'a str,
    /// Name.
    pub instance_id: &'a str,
    /// Whether it leaves common duties to larger instances.
    pub is_small: bool,
}

impl Rank<'_> {
    fn comes_after(&self, name: &str, peer: &Peer) -> bool {
        (peer.is_small, name) < (self.is_small, self.instance_id)
    }
}

/// The other instances.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Table<String, Peer>,
}

impl Peers {
    /// Notes an announced address.
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

    /// Notes a datagram.
    pub fn on_message(&mut self, message: &Message, addr: SocketAddr, now_ms: u64) {
        let older = self.peers.get(message.sender.as_str());
        if older.is_some_and(|peer| peer.incarnation > message.incarnation) {
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

    /// Returns all known peers.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    /// Returns the peers heard lately.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.last_message_ms.is_some_and(|heard_ms| now_ms <= heard_ms + PEER_TIMEOUT_MS)
        })
    }

    /// Returns the number of instances that share what all may do together, the own one included;
    /// a silent one may be cut off from here and go on serving callers.
    pub fn budget_share_count(&self, now_ms: u64) -> u64 {
        let shares = |peer: &&Peer| {
            let known_ms = peer.last_message_ms.unwrap_or(0).max(peer.announced_ms);
            now_ms <= known_ms + BUDGET_SHARE_EXPIRY_MS
        };
        self.peers.values().filter(shares).count() as u64 + 1
    }

    /// Tells whether peers of other failure domains were heard a while ago but not lately.
    pub fn is_domain_isolated(&self, own_domain: &str, now_ms: u64) -> bool {
        let others = self.peers.values().filter(|peer| peer.domain != own_domain);
        let newest_ms = others.filter_map(|peer| peer.last_message_ms).max();
        newest_ms.is_some_and(|at_ms| {
            (at_ms + ISOLATION_DETECT_MS..at_ms + ISOLATION_EXPIRY_MS).contains(&now_ms)
        })
    }

    /// Returns the instance whose reads of the store `own` relies on: the first one with fresh reads
    /// that has read no less. An instance whose own reads fail relies on any of them, others only on
    /// those before them, so that one of a domain is left to read.
    pub fn reader(&self, own: Rank<'_>, view: &StoreView, now_ms: u64) -> Option<(&String, &Peer)> {
        let any = view.own_reads_fail(now_ms);
        let fresh = self.peers.iter().filter(|(_, peer)| {
            peer.domain == own.domain
                && peer.last_read_ms.is_some_and(|read_ms| now_ms < read_ms + READS_FRESH_MS)
                && !peer.progress.is_behind(&view.progress)
        });
        let first = fresh.min_by_key(|(name, peer)| (peer.is_small, *name))?;
        (any || own.comes_after(first.0, first.1)).then_some(first)
    }

    /// Tells whether no instance of its domain that was heard lately comes before `own`.
    pub fn is_first(&self, own: Rank<'_>, now_ms: u64) -> bool {
        !self.same_domain(own.domain, now_ms).any(|(name, peer)| own.comes_after(name, peer))
    }

    /// Returns the peers of `domain` that may still be there.
    pub fn same_domain(&self, domain: &str, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.unexpired(now_ms).filter(move |(_, peer)| peer.domain == domain)
    }

    /// Returns the peers that may still be there, though not heard lately: in a large deployment
    /// two instances seldom hear each other.
    pub fn unexpired(&self, now_ms: u64) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let known_ms = peer.last_message_ms.unwrap_or(0).max(peer.announced_ms);
            now_ms <= known_ms + PEER_EXPIRY_MS
        })
    }

    /// Returns a living peer that has read more of the store than `own`.
    pub fn ahead_of(&self, own: Progress, now_ms: u64) -> Option<(&String, &Peer)> {
        let ahead = self.live(now_ms).filter(|(_, peer)| own.is_behind(&peer.progress));
        ahead.max_by_key(|(_, peer)| (peer.progress.config_version, peer.progress.workers_end))
    }
}

/// Returns the time between reports of demand of one among `peers` instances, in ms, so that the lead
/// gets about as many a second whatever their number; requests that begin to wait are told at once.
pub fn demand_period_ms(peers: usize) -> u64 {
    (DEMAND_PERIOD_MIN_MS * peers as u64 / SMALL_DEPLOYMENT_INSTANCES)
        .clamp(DEMAND_PERIOD_MIN_MS, DEMAND_PERIOD_MAX_MS)
}

/// Decodes a datagram.
///
/// # Errors
/// Returns why it is no message.
pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
    postcard::from_bytes(bytes)
}
