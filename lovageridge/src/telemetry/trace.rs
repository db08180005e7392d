//! Spans with W3C trace context, kept for status and handed to the exporter over a bounded ring.

use std::collections::VecDeque;
use std::sync::Mutex;

use flume::Receiver;
use flume::Sender;
use flume::TrySendError;

use crate::clock::unix_ms;
use crate::context::lock;

/// Spans that wait for the exporter; beyond that the newest is dropped.
const EXPORT_QUEUE_CAPACITY: usize = 4096;
/// Finished spans kept for the administration port.
const MAX_RECENT_SPANS: usize = 512;

/// Identity of a span within its trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpanContext {
    /// Trace that the span belongs to.
    pub trace_id: u128,
    /// The span itself.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl SpanContext {
    /// Returns the start of a new trace.
    pub fn root() -> Self {
        Self { trace_id: rand::random::<u128>() | 1, span_id: 0, sampled: true }
    }

    /// Reads a `traceparent` header; `None` for a malformed one.
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

    /// Returns the `traceparent` header.
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

/// A finished span.
#[derive(Clone, Debug)]
pub struct FinishedSpan {
    /// Identity of the span.
    pub context: SpanContext,
    /// Span that this one is part of; 0 for none.
    pub parent_id: u64,
    /// Name of the hop.
    pub name: &'static str,
    /// Start, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// End, in ms since the Unix epoch.
    pub end_unix_ms: u64,
    /// Further facts.
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

    /// Returns the identity, as the parent of further spans.
    pub fn context(&self) -> SpanContext {
        self.context
    }

    /// Adds a fact.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<String>) {
        self.attributes.push((key, value.into()));
    }

    /// Ends the span and hands it to `tracer`.
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

/// Takes finished spans.
pub struct Tracer {
    export_queue: Option<Sender<FinishedSpan>>,
    recent: Mutex<VecDeque<FinishedSpan>>,
    dropped_total: prometheus::IntCounter,
}

impl Tracer {
    /// Returns a tracer without an exporter.
    pub fn without_exporter(
        dropped: prometheus::IntCounter,
    ) -> (Self, Option<Receiver<FinishedSpan>>) {
        (Self { export_queue: None, recent: Mutex::default(), dropped_total: dropped }, None)
    }

    /// Returns a tracer and the ring that its exporter reads.
    pub fn with_exporter(
        dropped: prometheus::IntCounter,
    ) -> (Self, Option<Receiver<FinishedSpan>>) {
        let (sender, receiver) = flume::bounded(EXPORT_QUEUE_CAPACITY);
        (
            Self { export_queue: Some(sender), recent: Mutex::default(), dropped_total: dropped },
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

    /// Returns the finished spans that are still kept.
    pub fn recent(&self) -> Vec<FinishedSpan> {
        lock(&self.recent).iter().cloned().collect()
    }
}
