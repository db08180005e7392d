//! Structured log on standard output: one JSON object per line, written by a separate thread.
//!
//! Lines go through a bounded queue, so that a slow reader never blocks a request. Routine lines are
//! rate-limited; lines about failures are dropped only when the queue is full. Dropped lines are
//! counted, and the next line that is queued reports their number.

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

/// Number of lines that may wait for the writer thread.
const QUEUE_LINES: usize = 4096;
/// Number of further lines that one write includes, so that a burst needs few system calls.
const BATCH_LINES: usize = 63;
/// Rate limit of routine lines per second; enough for 30 requests a second with two lines each.
const ROUTINE_PER_S: u64 = 60;
/// Number of routine lines that may be written in a burst.
const ROUTINE_BURST: u64 = 120;

/// Stack size of the writer thread, in bytes; it only concatenates and writes text.
const STACK_BYTES: usize = 64 << 10;

/// Importance of a line; decides whether it is rate-limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// A normal event, such as an answered request; rate-limited.
    Routine,
    /// A failure or a change of state; not rate-limited.
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
    /// Starts the writer thread, which ends when the log is dropped.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        instance_id: impl Into<String>,
        clock: Clock,
        out: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (queue, lines) = flume::bounded::<String>(QUEUE_LINES);
        let builder = thread::Builder::new().name("event-log".to_owned()).stack_size(STACK_BYTES);
        builder.spawn(move || write_lines(&lines, out))?;
        Ok(Self {
            instance_id: instance_id.into(),
            queue,
            clock,
            tokens: Cell::new(ROUTINE_BURST),
            refilled_ms: Cell::new(0),
            dropped: Arc::new(AtomicU64::new(0)),
        })
    }

    /// Returns the number of dropped lines that no later line has reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts a line for `event`; it is written by [`Line::emit`].
    pub fn line(&self, event: Event, severity: Severity) -> Line<'_> {
        if severity == Severity::Routine && !self.take_token() {
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
        let refill = (now_ms - self.refilled_ms.get()) * ROUTINE_PER_S / 1000;
        if refill > 0 {
            self.refilled_ms.set(now_ms);
            self.tokens.set((self.tokens.get() + refill).min(ROUTINE_BURST));
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
        // Waiting lines go out in the same write. Their number is limited, since lines that the
        // writer holds do not count towards the queue's bound.
        text.extend(lines.try_iter().take(BATCH_LINES));
        // An error means that the reader is gone, so there is nobody to report it to.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}

/// A log line under construction; it is not written before [`Line::emit`].
pub struct Line<'a> {
    log: &'a EventLog,
    // `None` if the line was dropped by the rate limit.
    text: Option<String>,
}

impl Line<'_> {
    /// Adds a field with a string value.
    pub fn text(mut self, key: &str, value: impl Display) -> Self {
        if let Some(text) = &mut self.text {
            text.push_str(&format!(",\"{key}\":{}", json_string(&value.to_string())));
        }
        self
    }

    /// Adds a field with an integer value.
    pub fn number(mut self, key: &str, value: impl Into<i128>) -> Self {
        if let Some(text) = &mut self.text {
            text.push_str(&format!(",\"{key}\":{}", value.into()));
        }
        self
    }

    /// Passes the line to the writer thread without blocking.
    pub fn emit(self) {
        if let Some(text) = self.text {
            self.log.enqueue(text);
        }
    }
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
