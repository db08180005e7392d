//! Membership: the platform's list, which lags, merged with heartbeats.
//!
//! Suspicion is local and does not transfer the lead of a cell; only the log does. In each round an
//! instance sends heartbeats to the members of its own failure domain, up to a limit, and to a few
//! others in rotation, so that its cost does not grow with the number of instances.

pub mod driver;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use crate::hashing;
use crate::infra::list::ENTRY_SERVICE;
use crate::infra::list::ListedInstance;
use crate::sorted::Table;
use crate::wire::Heartbeat;
use crate::wire::LedCell;
use crate::wire::StoreUsage;

/// Most members of the same failure domain that receive every heartbeat.
pub const SAME_DOMAIN_MAX: usize = 8;
/// Number of other members that receive a heartbeat in each round.
pub const ROTATING_PER_HEARTBEAT: usize = 3;
/// Time for which a listed member that has sent no heartbeat yet is considered alive, in ms.
const FIRST_HEARTBEAT_GRACE_MS: u64 = 3000;
/// Time after which a member that is not listed and sends no heartbeats is removed, in ms.
const REMOVE_AFTER_MS: u64 = 60_000;

/// Another entry instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Failure domain of the member.
    pub domain: String,
    /// Address of its port for messages from other instances.
    pub peers_addr: SocketAddr,
    /// Start time of its process; 0 before its first heartbeat.
    pub incarnation: u64,
    /// Time at which its last heartbeat was received, in ms.
    pub last_heartbeat_ms: Option<u64>,
    /// Time at which it was first listed or sent a heartbeat, in ms.
    pub first_seen_ms: u64,
    /// Whether the last list contains it.
    pub listed: bool,
    /// Whether it is shutting down or about to be reclaimed.
    pub leaving: bool,
    /// Version of its current configuration.
    pub config_version: u64,
    /// Cells that it leads.
    pub leads: Vec<LedCell>,
    /// Its use of the weight store.
    pub store: StoreUsage,
}

/// Identity and heartbeat timing of this instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Time between heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Time without heartbeats after which a same-domain member is suspected, in ms.
    pub suspect_ms: u64,
}

/// The other instances and the upstreams, as this instance knows them.
#[derive(Clone, Debug)]
pub struct Members {
    own: Identity,
    members: Table<String, Member>,
    upstreams: Vec<ListedInstance>,
    list_read_ms: Option<u64>,
    /// Position from which the next members of the rotation are taken.
    rotation_cursor: usize,
}

impl Members {
    /// Returns a membership without other instances or upstreams.
    pub fn new(own: Identity) -> Self {
        Self {
            own,
            members: Table::new(),
            upstreams: Vec::new(),
            list_read_ms: None,
            rotation_cursor: 0,
        }
    }

    /// Applies a list that was read from the platform.
    pub fn on_list(&mut self, list: &[ListedInstance], now_ms: u64) {
        self.list_read_ms = Some(now_ms);
        self.upstreams = list.iter().filter(|l| l.service != ENTRY_SERVICE).cloned().collect();
        self.members.iter_mut().for_each(|(_, m)| m.listed = false);
        for listed in list.iter().filter(|l| l.service == ENTRY_SERVICE) {
            self.on_listed_entry(listed, now_ms);
        }
        self.remove_expired(now_ms);
    }

    fn on_listed_entry(&mut self, listed: &ListedInstance, now_ms: u64) {
        let Some(peers_addr) = listed.peers_addr else { return };
        if listed.id == self.own.instance_id {
            return;
        }
        let member = self.members.get_or_insert_with(listed.id.clone(), || Member {
            domain: listed.domain.clone(),
            peers_addr,
            incarnation: 0,
            last_heartbeat_ms: None,
            first_seen_ms: now_ms,
            listed: true,
            leaving: false,
            config_version: 0,
            leads: Vec::new(),
            store: StoreUsage::default(),
        });
        member.listed = true;
        member.leaving |= listed.leaving;
    }

    /// Applies a heartbeat; one from an earlier process of the same name is ignored.
    pub fn on_heartbeat(&mut self, from: &str, heartbeat: &Heartbeat, now_ms: u64) {
        if from == self.own.instance_id {
            return;
        }
        let known = self.members.get(from);
        if known.is_some_and(|m| m.incarnation > heartbeat.incarnation) {
            return;
        }
        let first_seen_ms = known.map_or(now_ms, |m| m.first_seen_ms);
        let listed = known.is_some_and(|m| m.listed);
        let member = Member {
            domain: heartbeat.domain.clone(),
            peers_addr: heartbeat.peers_addr,
            incarnation: heartbeat.incarnation,
            last_heartbeat_ms: Some(now_ms),
            first_seen_ms,
            listed,
            leaving: heartbeat.leaving,
            config_version: heartbeat.config_version,
            leads: heartbeat.leads.clone(),
            store: heartbeat.store,
        };
        self.members.insert(from.to_owned(), member);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.members.retain(|_, m| {
            let last_ms = m.last_heartbeat_ms.unwrap_or(m.first_seen_ms);
            m.listed || now_ms.saturating_sub(last_ms) < REMOVE_AFTER_MS
        });
    }

    fn is_same_domain(&self, member: &Member) -> bool {
        member.domain == self.own.domain
    }

    /// Returns the time without heartbeats after which `member` is suspected, in ms.
    fn suspect_after_ms(&self, member: &Member) -> u64 {
        if self.is_same_domain(member) && self.members.len() <= SAME_DOMAIN_MAX {
            return self.own.suspect_ms;
        }
        let rounds = self.members.len().div_ceil(ROTATING_PER_HEARTBEAT) as u64;
        self.own.suspect_ms + 3 * rounds * self.own.heartbeat_ms
    }

    /// Returns whether the member `id` is considered alive.
    pub fn is_alive(&self, id: &str, now_ms: u64) -> bool {
        if id == self.own.instance_id {
            return true;
        }
        self.members.get(id).is_some_and(|member| self.is_member_alive(member, now_ms))
    }

    fn is_member_alive(&self, member: &Member, now_ms: u64) -> bool {
        match member.last_heartbeat_ms {
            Some(at_ms) => now_ms.saturating_sub(at_ms) < self.suspect_after_ms(member),
            None => {
                member.listed
                    && now_ms.saturating_sub(member.first_seen_ms) < FIRST_HEARTBEAT_GRACE_MS
            }
        }
    }

    /// Returns the members that are considered alive.
    pub fn alive(&self, now_ms: u64) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(move |(_, m)| self.is_member_alive(m, now_ms))
    }

    /// Returns all members, including those that are suspected.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    /// Returns the address for messages to the member `id`.
    pub fn peers_addr(&self, id: &str) -> Option<SocketAddr> {
        self.members.get(id).map(|member| member.peers_addr)
    }

    /// Returns the upstreams of the last list.
    pub fn upstreams(&self) -> &[ListedInstance] {
        &self.upstreams
    }

    /// Returns the time at which the list was last read, in ms.
    pub fn list_read_ms(&self) -> Option<u64> {
        self.list_read_ms
    }

    /// Returns the lead of `cell` according to the heartbeats: the live member with the highest
    /// epoch.
    pub fn lead_of(&self, cell: &str, now_ms: u64) -> Option<(&str, SocketAddr, u64)> {
        self.alive(now_ms)
            .filter_map(|(id, m)| {
                let lead = m.leads.iter().find(|lead| lead.cell == cell)?;
                Some((id.as_str(), m.peers_addr, lead.epoch))
            })
            .max_by_key(|(_, _, epoch)| *epoch)
    }

    /// Returns the rank of this instance among the candidates for `cell` in `domain`.
    ///
    /// Candidates are the live instances of the domain that are not leaving. Instances of other
    /// domains are candidates only if the domain has no known instance.
    pub fn own_rank(&self, cell: &str, domain: &str, now_ms: u64) -> Option<usize> {
        let own_is_local = self.own.domain == domain;
        let domain_has_entries = own_is_local || self.members.values().any(|m| m.domain == domain);
        if domain_has_entries && !own_is_local {
            return None;
        }
        let mut ids: Vec<&str> = self
            .alive(now_ms)
            .filter(|(_, m)| !m.leaving && (!domain_has_entries || m.domain == domain))
            .map(|(id, _)| id.as_str())
            .collect();
        ids.push(&self.own.instance_id);
        hashing::rendezvous_order(cell, &mut ids, |id| id);
        ids.iter().position(|id| *id == self.own.instance_id)
    }

    /// Returns the addresses for the next round of heartbeats and advances the rotation.
    pub fn heartbeat_targets(&mut self) -> Vec<SocketAddr> {
        let (same_domain, other_domain): (Vec<&Member>, Vec<&Member>) =
            self.members.values().partition(|m| m.domain == self.own.domain);
        let split = same_domain.len().min(SAME_DOMAIN_MAX);
        let mut targets: Vec<SocketAddr> =
            same_domain[..split].iter().map(|m| m.peers_addr).collect();
        let rest: Vec<&Member> = same_domain[split..].iter().copied().chain(other_domain).collect();
        for step in 0..ROTATING_PER_HEARTBEAT.min(rest.len()) {
            targets.push(rest[(self.rotation_cursor + step) % rest.len()].peers_addr);
        }
        self.rotation_cursor =
            self.rotation_cursor.wrapping_add(ROTATING_PER_HEARTBEAT) % rest.len().max(1);
        targets
    }

    /// Returns the use of the weight store by each live member.
    pub fn store_usages(&self, now_ms: u64) -> Vec<StoreUsage> {
        self.alive(now_ms).map(|(_, m)| m.store).collect()
    }
}
