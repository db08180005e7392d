//! Tests of the split into events.

use test_case::test_case;

use crate::gateway::relay::EventCut;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in odd pieces")]
#[test_case(1000; "at once")]
fn whole_events_come_out_whatever_the_pieces(piece_bytes: usize) {
    let stream: String = (1..=5).map(event).collect();
    let mut cut = EventCut::default();
    let mut out = Vec::new();
    for piece in stream.as_bytes().chunks(piece_bytes) {
        let events = cut.push(piece);
        assert!(events.is_empty() || events.ends_with(b"\n\n"));
        out.extend_from_slice(&events);
    }
    assert_eq!(out, stream.as_bytes());
    assert_eq!(cut.last_id(), Some(5));
}

#[test]
fn a_continued_stream_has_each_event_once() {
    let mut cut = EventCut::default();
    let mut out = Vec::new();
    let broken = format!("{}{}id: 3\ndata: tok", event(1), event(2));
    out.extend_from_slice(&cut.push(broken.as_bytes()));
    cut.drop_partial();
    // The next worker repeats the last event before it goes on.
    let rest: String = (2..=4).map(event).collect();
    out.extend_from_slice(&cut.push(rest.as_bytes()));
    let expected: String = (1..=4).map(event).collect();
    assert_eq!(out, expected.as_bytes());
}

#[test]
fn the_end_of_a_complete_stream_is_passed_on_as_it_is() {
    let mut cut = EventCut::default();
    let events = cut.push(b"id: 1\r\ndata: a\r\n\r\n: comment without end");
    assert_eq!(&events[..], b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(&cut.finish()[..], b": comment without end");
}
