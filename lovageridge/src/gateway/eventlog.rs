//! Structured log on standard output: one JSON object a line, written by a thread of its own.
//!
//! Lines go through a bounded ring, so that a slow reader never holds up a request. Routine lines
//! are bounded to a rate; lines about failures are dropped only when the ring is full. Drops are
//! counted and told by the next line that gets through.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use flume::Sender;

use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::telemetry::events::Event;

#[cfg(test)]
mod tests;

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 4096;
/// Further lines in one write, so that a burst costs few calls of the system.
const BATCH_LINES: usize = 63;
/// Routine lines a second; 30 requests a second with two lines each fit.
const ROUTINE_PER_S: u64 = 60;
/// Routine lines that may come at once.
const ROUTINE_BURST: u64 = 120;

/// Stack of the writing thread, in bytes; it only joins and writes text.
const STACK_BYTES: usize = 64 << 10;

/// How much a line matters when the volume must be bounded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// A decision that went as usual.
    Routine,
    /// A failure, or a change of what the process believes.
    Notable,
}

/// Writer of the structured log.
pub struct EventLog {
    instance_id: String,
    queue: Sender<String>,
    clock: Clock,
    tokens: Cell<u64>,
    refilled_ms: Cell<u64>,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the writing thread; it ends when the log is dropped.
    ///
    /// # Errors
    /// Returns why the thread could not be started.
    pub fn start(
        instance_id: impl Into<String>,
        clock: Clock,
        out: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (ring, lines) = flume::bounded::<String>(QUEUE_LINES);
        let builder = thread::Builder::new().name("event-log".to_owned()).stack_size(STACK_BYTES);
        builder.spawn(move || write_lines(&lines, out))?;
        Ok(Self {
            instance_id: instance_id.into(),
            queue: ring,
            clock,
            tokens: Cell::new(ROUTINE_BURST),
            refilled_ms: Cell::new(0),
            dropped: Arc::new(AtomicU64::new(0)),
        })
    }

    /// Returns the number of lines that were not written.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts a line for `event`.
    pub fn line(&self, event: Event, weight: Severity) -> Line<'_> {
        if weight == Severity::Routine && !self.take_token() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Line { log: self, text: None };
        }
        let mut text = String::with_capacity(256);
        text.push_str(&format!(
            "{{\"t_ms\":{},\"event\":\"E{:04}\",\"name\":\"{}\",\"instance\":{}",
            unix_ms(),
            event.number,
            event.name,
            json_string(&self.instance_id)
        ));
        Line { log: self, text: Some(text) }
    }

    fn take_token(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let gained = (now_ms - self.refilled_ms.get()) * ROUTINE_PER_S / 1000;
        if gained > 0 {
            self.refilled_ms.set(now_ms);
            self.tokens.set((self.tokens.get() + gained).min(ROUTINE_BURST));
        }
        let tokens = self.tokens.get();
        self.tokens.set(tokens.saturating_sub(1));
        tokens > 0
    }

    fn enqueue(&self, mut text: String) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            text.push_str(&format!(",\"lines_dropped_before\":{dropped}"));
        }
        text.push_str("}\n");
        if self.queue.try_send(text).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

fn write_lines(lines: &flume::Receiver<String>, mut out: impl Write) {
    while let Ok(mut text) = lines.recv() {
        // Lines that wait already go out in the same write, but no more than fit into one: those
        // that a writer holds are not counted by the ring.
        text.extend(lines.try_iter().take(BATCH_LINES));
        // A reader that went away leaves nobody to tell.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}

/// A line that is being put together.
pub struct Line<'a> {
    log: &'a EventLog,
    text: Option<String>,
}

impl Line<'_> {
    /// Adds a text.
    pub fn text(mut self, key: &str, value: impl Display) -> Self {
        if let Some(text) = &mut self.text {
            text.push_str(&format!(",\"{key}\":{}", json_string(&value.to_string())));
        }
        self
    }

    /// Adds a number.
    pub fn number(mut self, key: &str, value: impl Into<i128>) -> Self {
        if let Some(text) = &mut self.text {
            text.push_str(&format!(",\"{key}\":{}", value.into()));
        }
        self
    }

    /// Hands the line to the writer.
    pub fn emit(self) {
        if let Some(text) = self.text {
            self.log.enqueue(text);
        }
    }
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
