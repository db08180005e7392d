//! Streams on their way from a worker to a caller.
//!
//! Streams that may be continued elsewhere are passed on by whole events, so that the next worker
//! can go on after the last one delivered; others are passed on byte by byte.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::answer::Broken;
use crate::gateway::attempt;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::Tries;
use crate::gateway::attempt::send::Arriving;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::call::OutcomeFields;
use crate::gateway::catalog::RouteKind;
use crate::gateway::eventlog::Weight;
use crate::gateway::link;
use crate::telemetry::events;

#[cfg(test)]
mod tests;

/// Pause after which a stream that may be continued elsewhere is taken from a silent worker, at
/// least, in ms; callers leave after two seconds.
const SILENT_MIN_MS: u64 = 1200;
/// Multiple of the wanted pause after which the same is done.
const SILENT_GAPS: u64 = 5;
/// Largest event that is held back until it is whole, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits a stream into whole events and remembers the last one passed on.
#[derive(Clone, Debug, Default)]
pub struct EventCut {
    held: BytesMut,
    last_id: Option<u64>,
}

impl EventCut {
    /// Adds bytes and returns the whole events among what is held, without those delivered before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.held) {
            let event = self.held.split_to(end);
            let id = event_id(&event);
            let delivered = id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last));
            if !delivered {
                self.last_id = id.or(self.last_id);
                out.extend_from_slice(&event);
            }
        }
        out.freeze()
    }

    /// Forgets the part of an event that was not completed.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }

    /// Returns the id of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns what is held at the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Tells whether a single event exceeds what is held back.
    pub fn is_overfull(&self) -> bool {
        self.held.len() > EVENT_MAX_BYTES
    }
}

/// Returns the offset after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (unix, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().filter_map(|line| line.strip_prefix("id:")).next_back()?;
    id.trim().parse().ok()
}

struct Source {
    body: Incoming,
    arriving: ArrivingRest,
}

struct ArrivingRest {
    outcome: OutcomeFields,
    sender: hyper::client::conn::http1::SendRequest<link::SendBody>,
    in_flight: InFlight,
}

/// A stream on its way.
pub struct Relay {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    tries: Tries,
    source: Option<Source>,
    cut: EventCut,
    resumable: bool,
    delivered: bool,
    pace: Pace,
}

/// When a caller got the events of its stream.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first_ms: Option<u64>,
    last_ms: u64,
    longest_gap_ms: u64,
}

impl Pace {
    fn on_events(&mut self, now_ms: u64) {
        match self.first_ms {
            None => self.first_ms = Some(now_ms),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms),
        }
        self.last_ms = now_ms;
    }
}

enum Read {
    Data(Bytes),
    End,
    Broke(hyper::Error),
    Silent,
    OutOfTime,
}

impl Relay {
    /// Returns a stream whose first worker answers.
    pub fn new(gateway: &Rc<Gateway>, call: &Rc<Call>, tries: Tries, arriving: Arriving) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            tries,
            source: Some(Source::new(arriving)),
            cut: EventCut::default(),
            resumable: call.route.kind == RouteKind::Stream { resumable: true },
            delivered: false,
            pace: Pace::default(),
        }
    }

    /// Returns the next bytes for the caller, `None` at the end.
    pub async fn next(mut self) -> (Option<Result<Bytes, Broken>>, Self) {
        loop {
            let Some(source) = &mut self.source else { return (None, self) };
            let read = source.read(&self.gateway, &self.call, self.resumable).await;
            match read {
                Read::Data(bytes) if !self.resumable => {
                    self.on_delivered();
                    return (Some(Ok(bytes)), self);
                }
                Read::Data(bytes) => {
                    let events = self.cut.push(&bytes);
                    if self.cut.is_overfull() {
                        return self.break_off("an event is too large");
                    }
                    if !events.is_empty() {
                        self.on_delivered();
                        return (Some(Ok(events)), self);
                    }
                }
                Read::End => {
                    let rest = self.cut.finish();
                    self.end();
                    let rest = (!rest.is_empty()).then_some(Ok(rest));
                    return (rest, self);
                }
                Read::OutOfTime => return self.break_off("the time limit has passed"),
                // Silence alone is no reason to end a stream that nobody else can continue.
                Read::Silent if !attempt::can_switch(&self.gateway, &self.call, &self.tries) => {}
                Read::Silent => {
                    if !self.switch("the worker fell silent", "").await {
                        return self.break_off("the worker fell silent");
                    }
                }
                Read::Broke(error) => {
                    let cause = "the worker broke off";
                    if !self.switch(cause, &link::error_text(&error)).await {
                        return self.break_off(cause);
                    }
                }
            }
        }
    }

    fn on_delivered(&mut self) {
        self.delivered = true;
        self.pace.on_events(self.gateway.now_ms());
    }

    fn end(&mut self) {
        let Some(source) = self.source.take() else { return };
        let ArrivingRest { outcome, sender, in_flight } = source.arriving;
        attempt::keep(&self.gateway, &in_flight.worker_id, sender, &outcome);
        let first_ms = self.pace.first_ms.unwrap_or(self.call.arrived_ms);
        let line = self.gateway.log.line(events::STREAM_ENDED, Weight::Routine);
        line.text("request", self.call.id())
            .text("worker", &in_flight.worker_id)
            .text("model", self.call.fields.model.as_deref().unwrap_or(""))
            .number("first_event_ms", first_ms.saturating_sub(self.call.arrived_ms))
            .number("objective_ms", self.call.route.objective_ms)
            .number("longest_gap_ms", self.pace.longest_gap_ms)
            .number("gap_objective_ms", self.call.route.gap_ms)
            .number("total_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .number("sends", self.tries.sends)
            .close();
    }

    fn note_broken(&mut self, cause: &'static str, detail: &str) {
        // Dropping the connection ends the work of the worker before another one starts.
        let Some(source) = self.source.take() else { return };
        let worker_id = source.arriving.in_flight.worker_id.clone();
        if let Some(worker) = self.gateway.directory.borrow_mut().get_mut(&worker_id) {
            worker.health.on_failure(self.gateway.now_ms());
        }
        let line = self.gateway.log.line(events::STREAM_BROKEN, Weight::Notable);
        line.text("request", self.call.id())
            .text("worker", &worker_id)
            .text("cause", cause)
            .text("detail", detail)
            .number("after_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .number("last_event", self.cut.last_id().map_or(-1, i128::from))
            .text("resumable", self.resumable)
            .close();
    }

    /// Leaves the worker and goes on at another one; tells whether there is one.
    async fn switch(&mut self, cause: &'static str, detail: &str) -> bool {
        self.note_broken(cause, detail);
        self.resumable && self.resume().await
    }

    async fn resume(&mut self) -> bool {
        self.cut.drop_partial();
        let last_event = match self.cut.last_id() {
            Some(id) => Some(id.to_string()),
            // Without an id nothing says where another worker would have to go on.
            None if self.delivered => return false,
            None => None,
        };
        let resumed =
            attempt::resume(&self.gateway, &self.call, &mut self.tries, last_event.as_deref());
        match resumed.await {
            Some(arriving) => {
                let line = self.gateway.log.line(events::STREAM_RESUMED, Weight::Notable);
                line.text("request", self.call.id())
                    .text("worker", &arriving.in_flight.worker_id)
                    .text("last_event", last_event.unwrap_or_default())
                    .close();
                self.source = Some(Source::new(arriving));
                true
            }
            None => false,
        }
    }

    fn break_off(mut self, cause: &'static str) -> (Option<Result<Bytes, Broken>>, Self) {
        self.source = None;
        let line = self.gateway.log.line(events::STREAM_CUT, Weight::Notable);
        line.text("request", self.call.id())
            .text("cause", cause)
            .number("after_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .text("workers", self.tries.workers.join(","))
            .close();
        let outcome = [self.call.route.name.as_str(), "broken off"];
        self.gateway.metrics.requests_total.with_label_values(&outcome).inc();
        (Some(Err(Broken(cause))), self)
    }
}

impl Source {
    fn new(arriving: Arriving) -> Self {
        let Arriving { response, outcome, sender, in_flight } = arriving;
        let body = response.into_body();
        Self { body, arriving: ArrivingRest { outcome, sender, in_flight } }
    }

    async fn read(&mut self, gateway: &Gateway, call: &Call, resumable: bool) -> Read {
        loop {
            let left_ms = call.give_up_ms.saturating_sub(gateway.now_ms());
            if left_ms == 0 {
                return Read::OutOfTime;
            }
            let silent_ms = (call.route.gap_ms * SILENT_GAPS).max(SILENT_MIN_MS);
            let limit_ms = if resumable { left_ms.min(silent_ms) } else { left_ms };
            let frame = timeout(Duration::from_millis(limit_ms), self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Read::Data(data),
                    _ => {}
                },
                Ok(Some(Err(error))) => return Read::Broke(error),
                Ok(None) => return Read::End,
                Err(_) if limit_ms == left_ms => return Read::OutOfTime,
                Err(_) => return Read::Silent,
            }
        }
    }
}
