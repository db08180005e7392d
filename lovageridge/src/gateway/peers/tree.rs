//! The tree by which an instance sends an update to all others of a large failure domain.
//!
//! The sender orders the members and gives each child the members below it, so that instances that
//! know different members still agree on one tree.

use std::net::SocketAddr;

use crate::gateway::peers::Peers;

pub mod driver;

#[cfg(test)]
mod tests;

/// Instances of a failure domain up to which each gets updates directly from their sender.
pub const DIRECT_MEMBERS_MAX: usize = 60;
/// Most instances that an instance sends the same update to.
pub const FAN_OUT: usize = 8;
/// Consecutive updates that take different children of the sender, so that one that has failed holds up
/// only some of them.
const TURNS: u64 = 3;

/// A child, and the members that it forwards to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Branch<T> {
    /// The child.
    pub child: T,
    /// Members below the child, in order.
    pub below: Vec<T>,
}

/// Returns the children of an instance that has to reach `members`, with the members below each.
pub fn branches<T: Clone>(members: &[T]) -> Vec<Branch<T>> {
    let (children, rest) = members.split_at(members.len().min(FAN_OUT));
    let branch = |(at, child): (usize, &T)| Branch {
        child: child.clone(),
        below: rest.iter().skip(at).step_by(FAN_OUT).cloned().collect(),
    };
    children.iter().enumerate().map(branch).collect()
}

/// Returns whether updates take the tree in `domain`, which holds this instance or not.
pub fn is_large(peers: &Peers, domain: &str, holds_own: bool, now_ms: u64) -> bool {
    peers.same_domain(domain, now_ms).count() + usize::from(holds_own) > DIRECT_MEMBERS_MAX
}

/// Returns the other members of `domain` in the order for update number `turn`: large instances first, and
/// those last that have been silent for some time and may be gone.
pub fn order(peers: &Peers, domain: &str, turn: u64, now_ms: u64) -> Vec<SocketAddr> {
    let live: Vec<&String> = peers.live(now_ms).map(|(name, _)| name).collect();
    let members = peers.same_domain(domain, now_ms);
    let mut ranked: Vec<(bool, bool, &String, SocketAddr)> = members
        .map(|(name, peer)| (live.binary_search(&name).is_err(), peer.is_small, name, peer.addr))
        .collect();
    ranked.sort_unstable();
    let live = ranked.iter().filter(|(is_silent, ..)| !is_silent).count();
    let candidates = if live == 0 { ranked.len() } else { live };
    let skipped = (turn % TURNS) as usize * FAN_OUT;
    if let Some(skipped) = skipped.checked_rem(candidates) {
        ranked[..candidates].rotate_left(skipped);
    }
    ranked.into_iter().map(|(.., addr)| addr).collect()
}
