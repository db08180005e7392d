//! Spans with W3C trace context, kept for the administration port and sent to the exporter through a
//! bounded queue.

use std::collections::VecDeque;
use std::sync::Mutex;

use flume::Receiver;
use flume::Sender;
use flume::TrySendError;

use crate::clock::unix_ms;
use crate::context::lock;

/// Most spans that wait for the exporter; further spans are dropped.
const EXPORT_QUEUE_CAPACITY: usize = 4096;
/// Number of latest finished spans kept for the administration port.
const MAX_RECENT_SPANS: usize = 512;

/// Identity of a span within its trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpanContext {
    /// Trace that the span belongs to.
    pub trace_id: u128,
    /// Id of the span; 0 for the root context of a trace.
    pub span_id: u64,
    /// Whether spans of the trace are recorded.
    pub sampled: bool,
}

impl SpanContext {
    /// Returns the root context of a new trace with a random id.
    pub fn root() -> Self {
        Self { trace_id: rand::random::<u128>() | 1, span_id: 0, sampled: true }
    }

    /// Parses a `traceparent` header; `None` if it is malformed.
    pub fn parse_traceparent(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let id_lengths_match = version.len() == 2 && trace.len() == 32 && span.len() == 16;
        if !id_lengths_match || flags.len() != 2 || version == "ff" {
            return None;
        }
        let trace_id = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
        let span_id = u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(Self { trace_id, span_id, sampled: flags & 1 == 1 })
    }

    /// Returns the value of the `traceparent` header.
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

/// A finished span.
#[derive(Clone, Debug)]
pub struct FinishedSpan {
    /// Identity of the span.
    pub context: SpanContext,
    /// Id of the parent span; 0 for none.
    pub parent_id: u64,
    /// Name of the step, such as `queue` or `attempt`.
    pub name: &'static str,
    /// Start, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// End, in ms since the Unix epoch.
    pub end_unix_ms: u64,
    /// Attributes as key and value.
    pub attributes: Vec<(&'static str, String)>,
}

/// A span in progress.
#[derive(Debug)]
pub struct Span {
    context: SpanContext,
    parent_id: u64,
    name: &'static str,
    start_unix_ms: u64,
    attributes: Vec<(&'static str, String)>,
}

impl Span {
    /// Starts a span called `name` within `parent`.
    pub fn start(parent: SpanContext, name: &'static str) -> Self {
        let context = SpanContext { span_id: rand::random::<u64>() | 1, ..parent };
        Self {
            context,
            parent_id: parent.span_id,
            name,
            start_unix_ms: unix_ms(),
            attributes: Vec::new(),
        }
    }

    /// Returns the context to use as the parent of child spans.
    pub fn context(&self) -> SpanContext {
        self.context
    }

    /// Adds an attribute.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<String>) {
        self.attributes.push((key, value.into()));
    }

    /// Ends the span and records it with `tracer`.
    pub fn end(self, tracer: &Tracer) {
        tracer.record(FinishedSpan {
            context: self.context,
            parent_id: self.parent_id,
            name: self.name,
            start_unix_ms: self.start_unix_ms,
            end_unix_ms: unix_ms(),
            attributes: self.attributes,
        });
    }
}

/// Keeps the latest finished spans and queues all of them for export.
pub struct Tracer {
    export_queue: Option<Sender<FinishedSpan>>,
    recent: Mutex<VecDeque<FinishedSpan>>,
    dropped_total: prometheus::IntCounter,
}

impl Tracer {
    /// Returns a tracer that only keeps the latest spans, and no receiver.
    pub fn without_exporter(
        dropped_total: prometheus::IntCounter,
    ) -> (Self, Option<Receiver<FinishedSpan>>) {
        (Self { export_queue: None, recent: Mutex::default(), dropped_total }, None)
    }

    /// Returns a tracer and the receiver that its exporter reads.
    pub fn with_exporter(
        dropped_total: prometheus::IntCounter,
    ) -> (Self, Option<Receiver<FinishedSpan>>) {
        let (sender, receiver) = flume::bounded(EXPORT_QUEUE_CAPACITY);
        (
            Self { export_queue: Some(sender), recent: Mutex::default(), dropped_total },
            Some(receiver),
        )
    }

    fn record(&self, span: FinishedSpan) {
        if !span.context.sampled {
            return;
        }
        let mut recent = lock(&self.recent);
        if recent.len() == MAX_RECENT_SPANS {
            recent.pop_front();
        }
        recent.push_back(span.clone());
        drop(recent);
        let Some(queue) = &self.export_queue else { return };
        if let Err(TrySendError::Full(_)) = queue.try_send(span) {
            self.dropped_total.inc();
        }
    }

    /// Returns the latest finished spans, oldest first.
    pub fn recent(&self) -> Vec<FinishedSpan> {
        lock(&self.recent).iter().cloned().collect()
    }
}
