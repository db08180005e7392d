//! Tests of membership.

use std::net::SocketAddr;

use crate::membership::Identity;
use crate::membership::Members;
use crate::membership::ROTATING_PER_HEARTBEAT;
use crate::membership::SAME_DOMAIN_MAX;
use crate::wire::Heartbeat;
use crate::wire::StoreUsage;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn members() -> Members {
    Members::new(Identity {
        instance_id: "own".to_owned(),
        domain: "a".to_owned(),
        heartbeat_ms: 150,
        suspect_ms: 700,
    })
}

fn heartbeat(domain: &str, port: u16, incarnation: u64) -> Heartbeat {
    Heartbeat {
        incarnation,
        domain: domain.to_owned(),
        peers_addr: addr(port),
        callers_addr: addr(port),
        config_version: 1,
        leaving: false,
        leads: Vec::new(),
        store: StoreUsage::default(),
    }
}

#[test]
fn a_silent_member_is_suspected_until_its_next_heartbeat() {
    let mut view = members();
    view.on_heartbeat("x", &heartbeat("a", 1, 1), 1000);
    assert!(view.is_alive("x", 1600));
    assert!(!view.is_alive("x", 1701));
    view.on_heartbeat("x", &heartbeat("a", 1, 1), 2000);
    assert!(view.is_alive("x", 2100));
}

#[test]
fn a_heartbeat_of_an_earlier_process_is_ignored() {
    let mut view = members();
    view.on_heartbeat("x", &heartbeat("a", 2, 9), 1000);
    view.on_heartbeat("x", &heartbeat("a", 1, 8), 1100);
    assert_eq!(view.peers_addr("x"), Some(addr(2)));
}

#[test]
fn heartbeat_targets_are_bounded_and_rotate_over_all_members() {
    let mut view = members();
    for at in 0..339 {
        let domain = if at % 8 == 0 { "a" } else { "b" };
        view.on_heartbeat(&format!("m{at}"), &heartbeat(domain, at, 1), 1000);
    }
    let mut reached = Vec::new();
    for _ in 0..200 {
        let targets = view.heartbeat_targets();
        assert!(targets.len() <= SAME_DOMAIN_MAX + ROTATING_PER_HEARTBEAT);
        reached.extend(targets);
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 339, "every member receives heartbeats in turn");
}

#[test]
fn only_one_instance_has_the_first_rank_for_a_cell() {
    let ids = ["own", "x", "y", "z"];
    let mut firsts = 0;
    for own in ids {
        let mut view = Members::new(Identity {
            instance_id: own.to_owned(),
            domain: "a".to_owned(),
            heartbeat_ms: 150,
            suspect_ms: 700,
        });
        for (at, other) in ids.iter().enumerate().filter(|(_, id)| **id != own) {
            view.on_heartbeat(other, &heartbeat("a", at as u16, 1), 1000);
        }
        firsts += usize::from(view.own_rank("lm/a/0", "a", 1100) == Some(0));
    }
    assert_eq!(firsts, 1);
}
