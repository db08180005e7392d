//! Tests of splitting a stream into events.

use test_case::test_case;

use crate::gateway::relay::EventSplitter;
use crate::gateway::relay::boundary::EventBoundary;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in odd chunks")]
#[test_case(1000; "at once")]
fn events_are_split_whatever_the_chunk_size(chunk_bytes: usize) {
    let stream: String = (1..=5).map(event).collect();
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    for piece in stream.as_bytes().chunks(chunk_bytes) {
        let events = splitter.push(piece);
        assert!(events.is_empty() || events.ends_with(b"\n\n"));
        out.extend_from_slice(&events);
    }
    assert_eq!(out, stream.as_bytes());
    assert_eq!(splitter.last_id(), Some(5));
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    let truncated = format!("{}{}id: 3\ndata: tok", event(1), event(2));
    out.extend_from_slice(&splitter.push(truncated.as_bytes()));
    splitter.discard_partial();
    // The next worker repeats the last event before it continues.
    let rest: String = (2..=4).map(event).collect();
    out.extend_from_slice(&splitter.push(rest.as_bytes()));
    let expected: String = (1..=4).map(event).collect();
    assert_eq!(out, expected.as_bytes());
}

#[test]
fn the_end_of_a_complete_stream_is_forwarded_unchanged() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\r\ndata: a\r\n\r\n: comment without end");
    assert_eq!(&events[..], b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(&splitter.finish()[..], b": comment without end");
}

#[test_case("", false; "nothing")]
#[test_case("id: 1\ndata: a\n\n", false; "a whole event")]
#[test_case("id: 1\r\ndata: a\r\n\r\n", false; "a whole event with carriage returns")]
#[test_case("data: a\n\n: comment", false; "a comment without end")]
#[test_case("data: a\n\nda", true; "part of a line")]
#[test_case("data: a\n\nid: 2\n", true; "a whole line")]
#[test_case("data: a\n\nid: 2\n: comment\n", true; "a comment within an event")]
#[test_case("data: a\n", true; "no blank line")]
fn the_end_of_a_stream_is_inside_an_event_or_not(text: &str, expected: bool) {
    for chunk_bytes in [1, 3, 100] {
        let mut boundary = EventBoundary::default();
        text.as_bytes().chunks(chunk_bytes).for_each(|piece| boundary.push(piece));
        assert_eq!(boundary.is_inside_event(), expected, "{chunk_bytes} bytes at a time");
    }
}
