//! I/O driver of updates that take the tree of a large failure domain.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use crate::gateway::Gateway;
use crate::gateway::codec;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver;
use crate::gateway::peers::tree;
use crate::gateway::sync;
use crate::gateway::sync::changes;
use crate::gateway::sync::changes::RecordChanges;
use crate::gateway::sync::delta::Delta;
use crate::telemetry::events;

/// A datagram that takes the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// Address of the instance that it is from.
    pub from: SocketAddr,
    /// The datagram in compressed form.
    pub datagram: Delta,
}

/// Returns the other members of this instance's failure domain in the order for the next update; `None` if the
/// domain is not large.
fn next_order(gateway: &Gateway) -> Option<Vec<SocketAddr>> {
    let now_ms = gateway.now_ms();
    let peers = gateway.peers.borrow();
    let domain = &gateway.settings().domain;
    if !tree::is_large(&peers, domain, true, now_ms) {
        return None;
    }
    let turn = gateway.store.borrow_mut().take_turn();
    Some(tree::order(&peers, domain, turn, now_ms))
}

/// Sends a message with `payload` through the tree; returns false if the failure domain is not large.
pub fn send(gateway: &Gateway, payload: &Payload) -> bool {
    let Some(members) = next_order(gateway) else { return false };
    let message = driver::build_message(gateway, payload.clone());
    if let Some(bytes) = codec::encode(gateway, "message", &message) {
        spread(gateway, None, &bytes, &members);
    }
    true
}

/// Passes the datagram of another instance on through the tree; returns false if the failure domain is not
/// large.
pub fn pass_on(gateway: &Gateway, from: SocketAddr, datagram: &[u8]) -> bool {
    let Some(members) = next_order(gateway) else { return false };
    spread(gateway, Some(from), datagram, &members);
    true
}

/// Sends a datagram through the tree to `members`; `from` is the instance that it is from if it is another one.
pub fn spread(
    gateway: &Gateway,
    from: Option<SocketAddr>,
    datagram: &[u8],
    members: &[SocketAddr],
) {
    if members.is_empty() {
        return;
    }
    match Delta::new(None, datagram) {
        Ok(packed) => forward(gateway, from, &packed, members),
        Err(error) => {
            let line = gateway.log.line(events::ENCODE_FAILED, Severity::Notable);
            line.text("what", "spread").text("reason", error).emit();
        }
    }
}

fn forward(gateway: &Gateway, from: Option<SocketAddr>, datagram: &Delta, members: &[SocketAddr]) {
    for branch in tree::branches(members) {
        let datagram = datagram.clone();
        driver::send(
            gateway,
            branch.child,
            Payload::Spread { from, datagram, below: branch.below },
        );
    }
}

/// Forwards an update to the members below this instance and applies it. It shows nothing about the link to
/// the instance that it is from, nor that the instance is alive.
pub fn on_spread(gateway: &Rc<Gateway>, update: Update, below: &[SocketAddr]) {
    forward(gateway, Some(update.from), &update.datagram, below);
    let bytes = match update.datagram.restore(&[]) {
        Ok(bytes) => bytes,
        Err(error) => {
            return driver::log_dropped(gateway, &update.from.to_string(), &error.to_string());
        }
    };
    let Ok(message) = peers::decode(&bytes) else {
        return driver::log_dropped(gateway, &update.from.to_string(), "malformed update");
    };
    if message.sender == gateway.settings().instance_id {
        return;
    }
    match message.payload {
        Payload::Residency(_) => driver::on_relayed(gateway, &bytes, update.from),
        Payload::Changes(batch) => changes::driver::on_changes(gateway, &batch, update),
        Payload::Config(update) => {
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move {
                sync::apply_config_update(&gateway, update).await;
            });
        }
        _ => driver::log_dropped(gateway, &update.from.to_string(), "not an update"),
    }
}

/// Sends the workers' records of a read through the tree. Does nothing while this instance itself relies on
/// another one's reads.
pub fn send_changes(gateway: &Gateway, batch: RecordChanges) {
    if gateway.store.borrow().reader.is_some() {
        return;
    }
    for part in batch.into_parts() {
        let Some(members) = next_order(gateway) else { break };
        let message = driver::build_message(gateway, Payload::Changes(part.clone()));
        let Some(bytes) = codec::encode(gateway, "message", &message) else { break };
        let Ok(datagram) = Delta::new(None, &bytes) else { break };
        forward(gateway, None, &datagram, &members);
        let update = Update { from: gateway.settings().peers_addr, datagram };
        changes::driver::keep(gateway, &part, update);
    }
    // Each member learns directly how far this instance has read, so that it notices what it misses.
    driver::report_reads(gateway);
}

/// Asks for the workers' records from `next_offset` on: the reader first, then another member that has them.
pub fn ask_for_changes(gateway: &Gateway, next_offset: u64, attempt: u32) {
    let now_ms = gateway.now_ms();
    let peers = gateway.peers.borrow();
    let store = gateway.store.borrow();
    let reader = store.reader.as_deref();
    let era = store.progress.era;
    let addr = if attempt == 0 {
        reader.and_then(|name| peers.get(name)).map(|peer| peer.addr)
    } else {
        let live = peers.live(now_ms).filter(|(name, peer)| {
            peer.domain == gateway.settings().domain
                && peer.progress.era == era
                && peer.progress.workers_end > next_offset
                && reader != Some(name.as_str())
        });
        live.map(|(_, peer)| peer.addr).choose(&mut rand::rng())
    };
    drop(store);
    drop(peers);
    if let Some(addr) = addr {
        driver::send(gateway, addr, Payload::ChangesWanted { next_offset });
    }
}

/// Sends the kept batches that follow `next_offset` to the instance that asked for them.
pub fn on_changes_wanted(gateway: &Gateway, next_offset: u64, to: SocketAddr) {
    let store = gateway.store.borrow();
    let kept = store.kept.following(store.progress.era, next_offset);
    let updates: Vec<Update> = kept.into_iter().map(|kept| kept.batch.clone()).collect();
    drop(store);
    for Update { from, datagram } in updates {
        let payload = Payload::Spread { from: Some(from), datagram, below: Vec::new() };
        driver::send(gateway, to, payload);
    }
}
