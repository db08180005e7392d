//! Tests of the view of other instances.

use std::net::SocketAddr;

use test_case::test_case;

use crate::gateway::peers;
use crate::gateway::peers::Content;
use crate::gateway::peers::LeadSeen;
use crate::gateway::peers::Message;
use crate::gateway::peers::Peers;
use crate::gateway::peers::Progress;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn beat(from: &str, domain: &str, incarnation: u64, workers_end: u64) -> Message {
    Message {
        from: from.to_owned(),
        domain: domain.to_owned(),
        incarnation,
        progress: Progress { config_version: 3, operator_end: 5, workers_end },
        read_age_ms: None,
        lead: Some(LeadSeen { fence: 4, age_ms: 20 }),
        content: Content::Beat { ask: true },
    }
}

#[test]
fn messages_survive_their_encoding_and_garbage_is_no_message() {
    let message = beat("n1", "a", 7, 9);
    let bytes = peers::encode(&message);
    assert_eq!(peers::decode(&bytes), Some(message));
    for len in 0..bytes.len() {
        assert_eq!(peers::decode(&bytes[..len]), None, "cut at {len}");
    }
    assert_eq!(peers::decode(&[0xff; 200]), None);
}

#[test]
fn a_datagram_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut peers = Peers::default();
    peers.on_message(&beat("n1", "a", 8, 1), addr(2), 100);
    peers.on_message(&beat("n1", "a", 7, 1), addr(1), 200);
    peers.on_announced("n1", addr(3), 7, 300);
    let (_, peer) = peers.iter().next().expect("a peer");
    assert_eq!((peer.addr, peer.heard_ms), (addr(2), Some(100)));
    peers.on_announced("n1", addr(4), 9, 300);
    let (_, peer) = peers.iter().next().expect("a peer");
    assert_eq!((peer.addr, peer.heard_ms), (addr(4), None));
}

#[test]
fn records_are_taken_from_a_living_peer_that_has_read_further() {
    let mut peers = Peers::default();
    peers.on_message(&beat("dead", "a", 1, 99), addr(1), 0);
    peers.on_message(&beat("behind", "a", 1, 4), addr(2), 9000);
    peers.on_message(&beat("ahead", "b", 1, 12), addr(3), 9000);
    let own = Progress { config_version: 3, operator_end: 5, workers_end: 8 };
    let found = peers.ahead_of(own, 9100).map(|(name, _)| name.as_str());
    assert_eq!(found, Some("ahead"));
    let own = Progress { workers_end: 12, ..own };
    assert!(peers.ahead_of(own, 9100).is_none());
}

/// Pattern: a failure domain is cut off for some seconds while clients still reach it.
#[test_case(900, false; "a lost beat is no cut")]
#[test_case(1300, true; "two beats missed by all other domains are")]
#[test_case(70_000, false; "domains that are gone for good are not waited for")]
fn silence_of_all_other_domains_counts_as_a_cut(silent_ms: u64, expected: bool) {
    let mut peers = Peers::default();
    peers.on_message(&beat("near", "a", 1, 1), addr(1), 10_000 + silent_ms);
    peers.on_message(&beat("far1", "b", 1, 1), addr(2), 9000);
    peers.on_message(&beat("far2", "c", 1, 1), addr(3), 10_000);
    assert_eq!(peers.are_others_silent("a", 10_000 + silent_ms), expected);
}

#[test]
fn an_instance_that_has_heard_nobody_yet_is_not_cut_off() {
    let mut peers = Peers::default();
    assert!(!peers.are_others_silent("a", 5000));
    peers.on_announced("far", addr(1), 1, 300);
    assert!(!peers.are_others_silent("a", 5000));
    peers.on_message(&beat("near", "a", 1, 1), addr(2), 100);
    assert!(!peers.are_others_silent("a", 5000));
}

#[test]
fn a_silent_or_announced_instance_keeps_its_share_for_a_while() {
    let mut peers = Peers::default();
    assert_eq!(peers.sharing_count(0), 1);
    peers.on_message(&beat("n1", "a", 1, 1), addr(1), 1000);
    peers.on_announced("n2", addr(2), 1, 2000);
    assert_eq!(peers.sharing_count(60_000), 3);
    assert_eq!(peers.sharing_count(121_500), 2);
    assert_eq!(peers.sharing_count(122_500), 1);
}

#[test]
fn an_instance_that_was_not_heard_lately_still_gets_news() {
    let mut peers = Peers::default();
    peers.on_message(&beat("seldom", "a", 1, 1), addr(1), 1000);
    peers.on_message(&beat("gone", "a", 1, 1), addr(2), 0);
    let names = |now_ms: u64| peers.known(now_ms).map(|(name, _)| name.clone()).collect::<Vec<_>>();
    assert_eq!(names(12_000), ["gone", "seldom"]);
    assert_eq!(names(30_500), ["seldom"]);
}
