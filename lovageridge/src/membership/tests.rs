//! Tests of the membership slice.

use std::net::SocketAddr;

use crate::membership::FAR_PER_BEAT;
use crate::membership::Identity;
use crate::membership::Members;
use crate::membership::NEAR_MAX;
use crate::wire::Beat;
use crate::wire::StoreUse;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn members() -> Members {
    Members::new(Identity {
        instance_id: "own".to_owned(),
        domain: "a".to_owned(),
        beat_ms: 150,
        suspect_ms: 700,
    })
}

fn beat(domain: &str, port: u16, incarnation: u64) -> Beat {
    Beat {
        incarnation,
        domain: domain.to_owned(),
        peers_addr: addr(port),
        callers_addr: addr(port),
        config_version: 1,
        leaving: false,
        leads: Vec::new(),
        store: StoreUse::default(),
    }
}

#[test]
fn silence_is_suspected_and_a_new_beat_clears_it() {
    let mut view = members();
    view.on_beat("x", &beat("a", 1, 1), 1000);
    assert!(view.is_alive("x", 1600));
    assert!(!view.is_alive("x", 1701));
    view.on_beat("x", &beat("a", 1, 1), 2000);
    assert!(view.is_alive("x", 2100));
}

#[test]
fn a_beat_of_an_earlier_process_is_ignored() {
    let mut view = members();
    view.on_beat("x", &beat("a", 2, 9), 1000);
    view.on_beat("x", &beat("a", 1, 8), 1100);
    assert_eq!(view.peers_addr("x"), Some(addr(2)));
}

#[test]
fn the_cost_of_a_beat_does_not_grow_with_the_venture() {
    let mut view = members();
    for at in 0..339 {
        let domain = if at % 8 == 0 { "a" } else { "b" };
        view.on_beat(&format!("m{at}"), &beat(domain, at, 1), 1000);
    }
    let mut reached = Vec::new();
    for _ in 0..200 {
        let targets = view.beat_targets();
        assert!(targets.len() <= NEAR_MAX + FAR_PER_BEAT);
        reached.extend(targets);
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 339, "every member gets heartbeats in turn");
}

#[test]
fn only_one_instance_is_first_in_line_for_a_cell() {
    let ids = ["own", "x", "y", "z"];
    let mut firsts = 0;
    for own in ids {
        let mut view = Members::new(Identity {
            instance_id: own.to_owned(),
            domain: "a".to_owned(),
            beat_ms: 150,
            suspect_ms: 700,
        });
        for (at, other) in ids.iter().enumerate().filter(|(_, id)| **id != own) {
            view.on_beat(other, &beat("a", at as u16, 1), 1000);
        }
        firsts += usize::from(view.own_rank("lm/a/0", "a", 1100) == Some(0));
    }
    assert_eq!(firsts, 1);
}
