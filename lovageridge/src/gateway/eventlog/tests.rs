//! Tests of the structured log: its format, its rate limit, and readers that stop reading.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::gateway::eventlog::BATCH_LINES;
use crate::gateway::eventlog::EventLog;
use crate::gateway::eventlog::QUEUE_LINES;
use crate::gateway::eventlog::ROUTINE_BURST;
use crate::gateway::eventlog::Severity;
use crate::telemetry::events;

/// Output whose writes block while `written` is locked.
#[derive(Clone, Default)]
struct BlockableOutput {
    written: Arc<Mutex<Vec<u8>>>,
}

impl BlockableOutput {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_for(&self, lines: usize) -> Vec<serde_json::Value> {
        self.wait_until(|records| records.len() >= lines)
    }

    /// Waits until the last line is about the event `name`.
    fn wait_for_last(&self, name: &str) -> Vec<serde_json::Value> {
        self.wait_until(|records| records.last().is_some_and(|record| record["name"] == name))
    }

    fn wait_until(&self, is_done: impl Fn(&[serde_json::Value]) -> bool) -> Vec<serde_json::Value> {
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let text = String::from_utf8(self.lock().clone()).expect("text");
            let records = text.lines().map(|line| serde_json::from_str(line).expect("JSON"));
            let records: Vec<serde_json::Value> = records.collect();
            if is_done(&records) || Instant::now() > until {
                return records;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for BlockableOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_line_is_one_json_object_for_any_text() {
    let out = BlockableOutput::default();
    let log = EventLog::start("n\"1", Clock::start(), out.clone()).expect("a log");
    let line = log.line(events::REQUEST_REFUSED, Severity::Notable);
    line.text("request", "a\nb\"c\\").number("status", 503_u16).emit();
    let records = out.wait_for(1);
    assert_eq!(records[0]["instance"], "n\"1");
    assert_eq!(records[0]["request"], "a\nb\"c\\");
    assert_eq!((&records[0]["status"], &records[0]["event"]), (&503.into(), &"E0701".into()));
}

/// Counts each line as written or as reported to be dropped: the count that [`EventLog::dropped`] returns
/// starts anew with each line that is queued, which may happen at any moment of the burst.
#[test]
fn a_stalled_reader_does_not_block_and_drops_are_reported() {
    let out = BlockableOutput::default();
    let log = EventLog::start("n1", Clock::start(), out.clone()).expect("a log");
    let write_lock = out.lock();
    let started = Instant::now();
    for _ in 0..QUEUE_LINES * 3 {
        log.line(events::STREAM_CUT, Severity::Notable).text("request", "id").emit();
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    drop(write_lock);
    out.wait_for(QUEUE_LINES);
    log.line(events::REQUEST_REFUSED, Severity::Notable).emit();
    let records = out.wait_for_last("request_refused");
    let dropped = records.iter().filter_map(|record| record["lines_dropped_before"].as_u64());
    let dropped: u64 = dropped.sum();
    assert_eq!(records.len() + dropped as usize, QUEUE_LINES * 3 + 1);
    assert_eq!(log.dropped(), 0);
    // At most what the queue and one write of the writer hold is kept.
    assert!(records.len() <= QUEUE_LINES + BATCH_LINES + 2, "{} lines kept", records.len());
}

#[test]
fn routine_lines_are_rate_limited_and_failures_are_not() {
    let out = BlockableOutput::default();
    let log = EventLog::start("n1", Clock::start(), out.clone()).expect("a log");
    for _ in 0..1000 {
        log.line(events::REQUEST_ANSWERED, Severity::Routine).emit();
        log.line(events::REQUEST_REFUSED, Severity::Notable).emit();
    }
    let records = out.wait_for(1000 + ROUTINE_BURST as usize);
    let count = |name: &str| records.iter().filter(|row| row["name"] == name).count();
    assert_eq!(count("request_refused"), 1000);
    // The burst, and the lines that the rate limit allows if this test takes a second.
    assert!(count("request_answered") <= ROUTINE_BURST as usize + 60);
}
