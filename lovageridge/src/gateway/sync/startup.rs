//! How an instance of a large failure domain gets its first records: from the store or from another instance.
//!
//! When all instances start together and each reads all records, they share the store's bandwidth for many
//! seconds. The first two of a domain by rank read; each of the others copies from one that has finished,
//! which doubles the number of those that have.

use crate::gateway::peers::Peers;
use crate::gateway::peers::Progress;
use crate::gateway::peers::Rank;
use crate::gateway::peers::tree::DIRECT_MEMBERS_MAX;

#[cfg(test)]
mod tests;

/// Time after the start within which the announced addresses should have been read, in ms; a slow store takes
/// half of it for the two calls.
const PEERS_WAIT_MS: u64 = 1000;
/// Time from the heartbeats to the announced instances until those that run have answered, in ms; instances
/// that were killed together start within a few hundred ms of each other.
const SETTLE_MS: u64 = 300;
/// Time of a read of all records, in ms: 2 MB on a link of 10 Mbit/s.
const READ_EXPECTED_MS: u64 = 1600;
/// Time without a new copy anywhere in the domain after which the store is read, in ms.
const COPY_WAIT_MS: u64 = 1500;
/// Time between two instances of a domain that stop waiting for a copy, in ms.
const READ_STAGGER_MS: u64 = 50;
/// Instances of a domain that read the store without waiting for a copy.
const READERS: usize = 2;
/// Time for which an instance prefers the holder that is assigned to it, in ms; that of two heartbeats across a
/// congested link.
const ASSIGNED_WAIT_MS: u64 = 100;
/// Time between two looks at the state of the peers, in ms.
pub const POLL_MS: u64 = 50;
/// Number of failure domains over which announced instances are assumed to be spread until they have answered.
const DOMAINS: usize = 3;

/// What a starting instance does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartStep {
    /// Proceed as an instance of a small domain.
    Proceed,
    /// Read all records from the store.
    Read,
    /// Copy the records of this instance.
    Copy(String),
    /// Look again at this time, in ms.
    Wait(u64),
}

/// A live member of the own failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Whether it has the configuration and the workers' records.
    pub has_all: bool,
}

/// What a starting instance knows about the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Situation<'a> {
    /// Live members of the own failure domain without this instance, in order of rank.
    pub members: Vec<Member<'a>>,
    /// Number of members that rank before this instance.
    pub own_rank: usize,
    /// Number of announced instances whose failure domain is not known yet.
    pub unknown: usize,
    /// Time at which a part of a transfer last arrived, in ms.
    pub transferring_ms: u64,
}

impl<'a> Situation<'a> {
    /// Returns the situation of `own`, which has read `progress` so far.
    pub fn new(
        peers: &'a Peers,
        own: Rank<'_>,
        progress: Progress,
        transferring_ms: u64,
        now_ms: u64,
    ) -> Self {
        let live = peers.live(now_ms).filter(|(_, peer)| peer.domain == own.domain);
        let mut ranked: Vec<(bool, &str, Progress)> =
            live.map(|(name, peer)| (peer.is_small, name.as_str(), peer.progress)).collect();
        ranked.sort_unstable_by_key(|(is_small, name, _)| (*is_small, *name));
        let has_all = |other: &Progress| {
            other.era >= progress.era && other.operator_end > 0 && other.workers_end > 0
        };
        Self {
            own_rank: ranked.partition_point(|(is_small, name, _)| {
                (*is_small, *name) < (own.is_small, own.instance_id)
            }),
            members: ranked
                .iter()
                .map(|(_, name, progress)| Member { name, has_all: has_all(progress) })
                .collect(),
            unknown: peers.same_domain("", now_ms).count(),
            transferring_ms,
        }
    }
}

/// State of an instance that has no records yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    started_ms: Option<u64>,
    peers_known_ms: Option<u64>,
    is_large: bool,
    is_done: bool,
    holders: usize,
    first_holder_ms: Option<u64>,
    // Time at which the number of instances that have the records last grew, in ms.
    last_holder_ms: u64,
    copies_tried: usize,
    may_read: bool,
    is_copied: bool,
}

impl Startup {
    /// Records that the announced addresses were read, or could not be.
    pub fn on_peers_known(&mut self, now_ms: u64) {
        self.peers_known_ms.get_or_insert(now_ms);
    }

    /// Starts again, after a restore of the store.
    pub fn restart(&mut self, now_ms: u64) {
        *self = Self { started_ms: Some(now_ms), peers_known_ms: Some(now_ms), ..Self::default() };
    }

    /// Records that this instance has the records; returns the time since its start, in ms, the first time.
    pub fn on_complete(&mut self, now_ms: u64) -> Option<u64> {
        let started_ms = self.started_ms.filter(|_| !self.is_done)?;
        self.is_done = true;
        Some(now_ms - started_ms)
    }

    /// Records that the records were copied from another instance.
    pub fn on_copied(&mut self) {
        self.is_copied = true;
    }

    /// Returns whether the records were copied from another instance.
    pub fn is_copied(&self) -> bool {
        self.is_copied
    }

    /// Returns whether the instance has no records yet.
    pub fn is_pending(&self) -> bool {
        !self.is_done
    }

    /// Returns whether the failure domain has turned out to be large.
    pub fn is_large(&self) -> bool {
        self.is_large
    }

    /// Returns whether the last step allows to read the newest records from the store.
    pub fn may_read(&self) -> bool {
        self.is_done || self.may_read
    }

    /// Returns the next step.
    pub fn step(&mut self, situation: &Situation<'_>, now_ms: u64) -> StartStep {
        let step = self.decide(situation, now_ms);
        self.may_read = matches!(step, StartStep::Proceed | StartStep::Read);
        step
    }

    fn decide(&mut self, situation: &Situation<'_>, now_ms: u64) -> StartStep {
        if self.is_done {
            return StartStep::Proceed;
        }
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let Some(known_ms) = self.peers_known_ms else {
            return match now_ms < started_ms + PEERS_WAIT_MS {
                true => StartStep::Wait(now_ms + POLL_MS),
                false => StartStep::Proceed,
            };
        };
        let expected = situation.members.len() + 1 + situation.unknown / DOMAINS;
        let settled_ms = known_ms + SETTLE_MS;
        self.is_large |= expected > DIRECT_MEMBERS_MAX;
        if !self.is_large || now_ms >= settled_ms && expected <= DIRECT_MEMBERS_MAX {
            return StartStep::Proceed;
        }
        let holders: Vec<&str> = situation
            .members
            .iter()
            .filter(|member| member.has_all)
            .map(|member| member.name)
            .collect();
        if holders.len() > self.holders {
            self.holders = holders.len();
            self.first_holder_ms.get_or_insert(now_ms);
            self.last_holder_ms = now_ms;
        }
        let expected_ms = match self.first_holder_ms {
            Some(_) => self.last_holder_ms.max(situation.transferring_ms),
            None => settled_ms + READ_EXPECTED_MS,
        };
        let stagger_ms = situation.own_rank as u64 * READ_STAGGER_MS;
        if now_ms >= expected_ms + COPY_WAIT_MS + stagger_ms {
            return StartStep::Read;
        }
        if let Some(holder) = self.holder(situation, &holders, now_ms) {
            return StartStep::Copy(holder.to_owned());
        }
        let is_reader = situation.own_rank < READERS && holders.is_empty();
        if is_reader && now_ms >= settled_ms {
            return StartStep::Read;
        }
        StartStep::Wait(now_ms + POLL_MS)
    }

    /// Returns the instance to copy from: the one whose turn it is to serve this one, another after some time.
    fn holder<'a>(
        &mut self,
        situation: &Situation<'a>,
        holders: &[&'a str],
        now_ms: u64,
    ) -> Option<&'a str> {
        let first_ms = self.first_holder_ms?;
        let assigned = assigned(situation.own_rank)
            .and_then(|rank| situation.members.get(rank))
            .filter(|member| member.has_all);
        if let Some(assigned) = assigned
            && self.copies_tried == 0
        {
            self.copies_tried = 1;
            return Some(assigned.name);
        }
        if now_ms < first_ms + ASSIGNED_WAIT_MS && situation.own_rank >= READERS {
            return None;
        }
        let at = (situation.own_rank + self.copies_tried).checked_rem(holders.len())?;
        self.copies_tried += 1;
        Some(holders[at])
    }
}

/// Returns the rank of the instance that the one with `rank` copies from: with each round of transfers the
/// first half of the instances serves the second.
fn assigned(rank: usize) -> Option<usize> {
    Some(rank - (1 << rank.checked_ilog2()?))
}
