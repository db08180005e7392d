//! Tests of splitting a stream into events.

use std::time::Duration;
use std::time::Instant;

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

/// Guards against events that are found only with one kind of line end, or depending on how the stream is cut.
#[test_case("\n"; "line feeds")]
#[test_case("\r\n"; "carriage returns and line feeds")]
#[test_case("\r"; "carriage returns")]
fn events_are_split_whatever_their_line_ends(line_end: &str) {
    let lines = |id: u64| format!(": on\n\n{}", event(id)).replace('\n', line_end);
    let stream: String = (1..=5).map(lines).collect();
    for chunk_bytes in 1..=stream.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for piece in stream.as_bytes().chunks(chunk_bytes) {
            out.extend_from_slice(&splitter.push(piece));
        }
        // The last line end may be incomplete until the stream has ended.
        let missing = stream.len() - out.len();
        assert!(missing == 0 || (line_end == "\r" && missing <= lines(5).len()), "{missing} bytes");
        out.extend_from_slice(&splitter.finish());
        assert_eq!(out, stream.as_bytes(), "{chunk_bytes} bytes at a time");
        assert_eq!(splitter.last_id(), Some(5));
    }
}

/// Guards against a repeated event at the end of a stream whose line ends are carriage returns.
#[test]
fn a_repeated_event_at_the_end_of_a_stream_is_not_forwarded() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(event(1).as_bytes());
    assert_eq!(&first[..], event(1).as_bytes());
    splitter.discard_partial();
    let repeated = event(1).replace('\n', "\r");
    assert!(splitter.push(repeated.as_bytes()).is_empty());
    assert!(splitter.finish().is_empty());
}

/// Guards against an instance that stands still while it examines a stream: the time grows with the length alone.
#[test_case("\n", 1; "line feeds one by one")]
#[test_case("\n", 1 << 20; "line feeds at once")]
#[test_case("\r\n", 3; "carriage returns and line feeds in odd chunks")]
#[test_case("\r", 1 << 20; "carriage returns at once")]
#[test_case("data: a\n\n", 1 << 20; "short events at once")]
#[test_case("data: a\r\n\r\n", 1 << 20; "short events with carriage returns at once")]
#[test_case("data: x", 1; "an event without end byte by byte")]
#[test_case(": on\n", 1; "comments byte by byte")]
fn a_long_stream_is_split_in_time(lines: &str, chunk_bytes: usize) {
    let stream = lines.repeat((1 << 20) / lines.len());
    let started = Instant::now();
    let mut splitter = EventSplitter::default();
    let mut forwarded = 0;
    for piece in stream.as_bytes().chunks(chunk_bytes) {
        forwarded += splitter.push(piece).len();
    }
    forwarded += splitter.finish().len();
    assert_eq!(forwarded, stream.len());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against comments and blank lines that count as events: they tell nothing of where to resume, and a
/// stream of them alone has no end.
#[test]
fn comments_and_blank_lines_are_no_events() {
    let mut splitter = EventSplitter::default();
    let mut boundary = EventBoundary::default();
    let comments = "\n\r\n: on\n\n";
    assert_eq!(&splitter.push(comments.as_bytes())[..], comments.as_bytes());
    boundary.push(comments.as_bytes());
    assert!(!splitter.has_forwarded());
    assert_eq!(boundary.bytes_since_event(), comments.len());
    splitter.push(event(1).as_bytes());
    boundary.push(event(1).as_bytes());
    assert!(splitter.has_forwarded());
    assert_eq!(boundary.bytes_since_event(), 0);
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
