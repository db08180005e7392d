//! Whom the lead sends its updates to: instances of small failure domains directly, those of large
//! ones through an instance of the domain, which passes them on.
//!
//! Consecutive updates to a domain take different instances, so that one that has failed holds up
//! only some of them; changes are repeated by later ones.

use std::net::SocketAddr;

use crate::gateway::peers::Peers;
use crate::gateway::peers::tree;

#[cfg(test)]
mod tests;

/// Peers in a failure domain up to which each gets its updates directly.
const DIRECT_PEERS_MAX: usize = 12;
/// Instances of a failure domain that take turns in passing updates on.
const RELAYS_PER_DOMAIN: usize = 3;

/// Announced instances up to which each gets updates directly before its failure domain is known: three domains
/// that are not large.
const UNKNOWN_DIRECT_MAX: usize = 3 * tree::DIRECT_MEMBERS_MAX;
/// Instances of a large failure domain that an update is sent to while none of them has sent a message.
const TRIED_MAX: usize = 3;

/// Addresses that an update goes to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Instances that get it for themselves.
    pub direct: Vec<SocketAddr>,
    /// Instances that also pass it on to the others of their failure domain.
    pub relays: Vec<SocketAddr>,
    /// Members of the own failure domain that get it through a tree, in order; empty in a small one.
    pub spread: Vec<SocketAddr>,
}

/// Returns the recipients of the update with this number, from an instance in `own_domain`, for all
/// unexpired peers.
pub fn recipients(peers: &Peers, own_domain: &str, update: u64, now_ms: u64) -> Recipients {
    let mut domains: Vec<&str> = Vec::new();
    for (_, peer) in peers.unexpired(now_ms) {
        if let Err(index) = domains.binary_search(&peer.domain.as_str()) {
            domains.insert(index, &peer.domain);
        }
    }
    let mut recipients = Recipients::default();
    for domain in domains {
        if domain == own_domain && tree::is_large(peers, domain, true, now_ms) {
            recipients.spread = tree::order(peers, domain, update, now_ms);
            continue;
        }
        let is_unknown_few =
            domain.is_empty() && peers.same_domain(domain, now_ms).count() <= UNKNOWN_DIRECT_MAX;
        if tree::is_large(peers, domain, false, now_ms)
            && !is_unknown_few
            && relay(peers, domain, update, now_ms).is_none()
        {
            // A domain that is cut off or not known yet is tried at a few of its instances.
            let tried = tree::order(peers, domain, update, now_ms).into_iter().take(TRIED_MAX);
            if domain.is_empty() {
                recipients.direct.extend(tried);
            } else {
                recipients.relays.extend(tried);
            }
            continue;
        }
        let members = || peers.same_domain(domain, now_ms);
        let relay = relay(peers, domain, update, now_ms);
        // The domain of a peer that has sent nothing yet is not known.
        let is_direct =
            domain.is_empty() || domain == own_domain || members().count() <= DIRECT_PEERS_MAX;
        match relay.filter(|_| !is_direct) {
            Some(relay) => recipients.relays.push(relay),
            None => recipients.direct.extend(members().map(|(_, peer)| peer.addr)),
        }
    }
    recipients
}

/// Returns the instance of `domain` whose turn it is; `None` if none has sent a message recently.
fn relay(peers: &Peers, domain: &str, update: u64, now_ms: u64) -> Option<SocketAddr> {
    let live = peers.live(now_ms).filter(|(_, peer)| peer.domain == domain);
    let mut ranked: Vec<(bool, &String, SocketAddr)> =
        live.map(|(name, peer)| (peer.is_small, name, peer.addr)).collect();
    ranked.sort_unstable();
    ranked.truncate(RELAYS_PER_DOMAIN);
    let turn = update.checked_rem(ranked.len() as u64)?;
    ranked.get(turn as usize).map(|(_, _, addr)| *addr)
}
