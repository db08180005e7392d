//! Tests of splitting a stream into events.

use test_case::test_case;

use crate::gateway::relay::EventSplitter;

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
