//! Relays streams from a worker to a caller.
//!
//! Resumable streams are forwarded in complete events, so that another worker can resume after the
//! last event delivered; other streams are forwarded as the bytes arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::attempt;
use crate::gateway::attempt::Attempts;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::attempt::send::IncomingResponse;
use crate::gateway::catalog::RouteKind;
use crate::gateway::connection;
use crate::gateway::crashes;
use crate::gateway::crashes::SURVIVAL_MS;
use crate::gateway::endings;
use crate::gateway::endings::driver::Contact;
use crate::gateway::endings::driver::EndedResponse;
use crate::gateway::eventlog::Severity;
use crate::gateway::liveness;
use crate::gateway::liveness::RunState;
use crate::gateway::message_fields::ResponseFields;
use crate::gateway::message_fields::part_list;
use crate::gateway::response::StreamInterrupted;
use crate::telemetry::events;

pub mod ahead;
pub mod boundary;

#[cfg(test)]
mod tests;

use crate::gateway::relay::boundary::EventBoundary;

/// Shortest time without data after which a resumable stream moves to another worker if its worker cannot be at work
/// on it any longer, in ms; callers disconnect after two seconds.
const STALL_TIMEOUT_MIN_MS: u64 = 1200;
/// Multiple of the route's gap objective that is used instead if it is longer.
const STALL_TIMEOUT_GAPS: u64 = 5;
/// Most bytes without the end of an event, comments and blank lines included; many incomplete events are
/// buffered at the same time.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Splits a stream into complete events and records the id of the last one forwarded.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    // Beginning of a block of lines that has not ended.
    buffer: BytesMut,
    boundary: EventBoundary,
    last_id: Option<u64>,
    has_forwarded: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the complete events, without those forwarded before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let mut out = BytesMut::new();
        let mut rest = bytes;
        while let Some(end) = self.boundary.next_end(rest) {
            let (block, following) = rest.split_at(end.offset);
            self.buffer.extend_from_slice(block);
            self.end_block(end.is_event, &mut out);
            rest = following;
        }
        self.buffer.extend_from_slice(rest);
        out.freeze()
    }

    /// Moves the block in the buffer to `out`, unless it is an event that was forwarded before.
    fn end_block(&mut self, is_event: bool, out: &mut BytesMut) {
        let block = self.buffer.split();
        let id = event_id(&block);
        let forwarded = id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last));
        if !forwarded {
            self.last_id = id.or(self.last_id);
            self.has_forwarded |= is_event;
            out.extend_from_slice(&block);
        }
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.boundary = EventBoundary::default();
    }

    /// Returns the id of the last event forwarded; `None` if no event had a numeric id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an event was forwarded; comments and blank lines do not count.
    pub fn has_forwarded(&self) -> bool {
        self.has_forwarded
    }

    /// Returns the rest of the buffer at the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        let mut out = BytesMut::new();
        if let Some(is_event) = self.boundary.finish() {
            self.end_block(is_event, &mut out);
        }
        out.extend_from_slice(&self.buffer.split());
        out.freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.split(['\n', '\r']);
    let id = lines.filter_map(|line| line.strip_prefix("id:")).next_back()?;
    id.trim().parse().ok()
}

/// The response of the worker that serves the stream now.
struct Source {
    body: Incoming,
    upstream: Upstream,
}

/// A worker's response without its body.
struct Upstream {
    outcome: ResponseFields,
    sender: hyper::client::conn::http1::SendRequest<connection::SendBody>,
    in_flight: InFlight,
    // Monotonic time at which the response headers arrived, in ms.
    started_ms: u64,
    // Number of reads that returned data.
    reads: u64,
    // Monotonic time of the first data, in ms.
    first_data_ms: Option<u64>,
    // Monotonic time of the last data, in ms.
    last_data_ms: u64,
    // Whether the response was recorded as having outlasted its beginning.
    has_survived: bool,
    boundary: EventBoundary,
    // Whether the response has a length or chunks, so that its end is known.
    is_framed: bool,
    // Contact with a worker that leaves, to ask it about the end of a response that is not framed.
    contact: Option<Rc<Contact>>,
}

/// A stream that is relayed to a caller, resumed on other workers if necessary.
pub struct Relay {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    attempts: Attempts,
    source: Option<Source>,
    splitter: EventSplitter,
    resumable: bool,
    delivery: DeliveryTimes,
    // Time for which the caller has delayed the stream, in ms.
    caller_delay_ms: u64,
}

/// Times at which events were delivered to the caller.
#[derive(Clone, Copy, Debug, Default)]
struct DeliveryTimes {
    first_ms: Option<u64>,
    last_ms: u64,
    longest_gap_ms: u64,
}

impl DeliveryTimes {
    fn record(&mut self, now_ms: u64) {
        match self.first_ms {
            None => self.first_ms = Some(now_ms),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms),
        }
        self.last_ms = now_ms;
    }
}

/// Result of waiting for the worker's next bytes.
enum SourceRead {
    Data(Bytes),
    End,
    CutOff,
    Interrupted(hyper::Error),
    // No data for some time, on a connection that stands.
    Stalled,
    DeadlinePassed,
}

impl Relay {
    /// Returns a relay of the first worker's response.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        attempts: Attempts,
        incoming: IncomingResponse,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            attempts,
            source: Some(Source::new(incoming, gateway.now_ms())),
            splitter: EventSplitter::default(),
            resumable: call.route.kind == RouteKind::Stream { resumable: true },
            delivery: DeliveryTimes::default(),
            caller_delay_ms: 0,
        }
    }

    /// Returns the instance that relays the stream.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Returns the monotonic time until which the upstream may go on, in ms.
    pub fn deadline_at_ms(&self) -> u64 {
        self.call.deadline_at_ms + self.caller_delay_ms
    }

    /// Moves the deadline by a time for which the caller has delayed the stream.
    pub fn extend_deadline(&mut self, delay_ms: u64) {
        self.caller_delay_ms += delay_ms;
    }

    /// Returns the next bytes for the caller; `None` at the end of the stream.
    pub async fn next(mut self) -> (Option<Result<Bytes, StreamInterrupted>>, Self) {
        let deadline_at_ms = self.deadline_at_ms();
        loop {
            let Some(read) = self.read_source(deadline_at_ms).await else { return (None, self) };
            match read {
                SourceRead::Data(_) if self.bytes_since_event() > EVENT_MAX_BYTES => {
                    let cause = if self.is_inside_event() {
                        "an event is too large"
                    } else {
                        "too many bytes without an event"
                    };
                    if !self.fail_over(cause, "").await {
                        return self.abort(cause);
                    }
                }
                SourceRead::Data(bytes) if !self.resumable => {
                    self.record_delivery();
                    return (Some(Ok(bytes)), self);
                }
                SourceRead::Data(bytes) => {
                    let events = self.splitter.push(&bytes);
                    if !events.is_empty() {
                        self.record_delivery();
                        return (Some(Ok(events)), self);
                    }
                }
                SourceRead::CutOff => {
                    let cause = "the stream ended too early";
                    self.record_interruption();
                    if !self.fail_over(cause, "").await {
                        return self.abort(cause);
                    }
                }
                SourceRead::End => {
                    let rest = self.splitter.finish();
                    self.finish();
                    let rest = (!rest.is_empty()).then_some(Ok(rest));
                    return (rest, self);
                }
                SourceRead::DeadlinePassed => return self.abort("the time limit has passed"),
                SourceRead::Stalled => {
                    if !self.fail_over("the worker fell silent", "").await {
                        return self.abort("the worker fell silent");
                    }
                }
                SourceRead::Interrupted(error) => {
                    let cause = "the worker broke off";
                    self.record_interruption();
                    if !self.fail_over(cause, &connection::error_text(&error)).await {
                        return self.abort(cause);
                    }
                }
            }
        }
    }

    /// Waits for the worker's next bytes; `None` without a worker. `Stalled` means that the worker does not work on the
    /// stream any longer, or cannot be reached, and that another one could resume it.
    async fn read_source(&mut self, deadline_at_ms: u64) -> Option<SourceRead> {
        let Self { gateway, call, attempts, source, resumable, .. } = self;
        let source = source.as_mut()?;
        let gap_objective_ms = call.route.gap_objective_ms;
        let stall_timeout_ms = (gap_objective_ms * STALL_TIMEOUT_GAPS).max(STALL_TIMEOUT_MIN_MS);
        let wait_max_ms = if *resumable { stall_timeout_ms } else { u64::MAX };
        loop {
            let read = source.read(gateway, call, wait_max_ms, deadline_at_ms).await;
            if !matches!(read, SourceRead::Stalled) {
                return Some(read);
            }
            // A stream that no other worker can resume may still continue by itself.
            if !attempt::can_fail_over(gateway, call, attempts) {
                continue;
            }
            let Upstream { in_flight, last_data_ms, .. } = &source.upstream;
            let silent_ms = gateway.now_ms() - last_data_ms;
            if liveness::check(gateway, call, in_flight, silent_ms).await != RunState::MayBeAtWork {
                // Data may have arrived during the check.
                return Some(source.read(gateway, call, 0, deadline_at_ms).await);
            }
        }
    }

    fn bytes_since_event(&self) -> usize {
        self.source.as_ref().map_or(0, |source| source.upstream.boundary.bytes_since_event())
    }

    fn is_inside_event(&self) -> bool {
        self.source.as_ref().is_some_and(|source| source.upstream.boundary.is_inside_event())
    }

    fn record_delivery(&mut self) {
        self.delivery.record(self.gateway.now_ms());
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else { return };
        if let Some(began_ms) = source.upstream.first_data_ms {
            source.upstream.record_survival(&self.gateway, &self.call, began_ms);
        }
        let Upstream { outcome, sender, in_flight, is_framed, started_ms, .. } = source.upstream;
        let duration_ms = self.gateway.now_ms() - started_ms;
        let mut directory = self.gateway.directory.borrow_mut();
        directory.on_ended_at(&in_flight.worker_id, duration_ms);
        directory.on_ended(&self.call.service, duration_ms);
        drop(directory);
        attempt::return_connection(&self.gateway, &in_flight.worker_id, sender, &outcome);
        let first_ms = self.delivery.first_ms.unwrap_or(self.call.arrived_ms);
        let line = self.gateway.log.line(events::STREAM_ENDED, Severity::Routine);
        line.text("request", self.call.id())
            .text("worker", &in_flight.worker_id)
            .text("model", self.call.fields.model.as_deref().unwrap_or(""))
            .number("first_event_ms", first_ms.saturating_sub(self.call.arrived_ms))
            .number("objective_ms", self.call.route.objective_ms)
            .number("longest_gap_ms", self.delivery.longest_gap_ms)
            .number("gap_objective_ms", self.call.route.gap_objective_ms)
            .number("total_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .number("sends", self.attempts.sends)
            .text("framed", is_framed)
            .emit();
    }

    fn record_interruption(&self) {
        let Some(Source { upstream, .. }) = &self.source else { return };
        let Upstream { in_flight, first_data_ms, .. } = upstream;
        crashes::driver::on_interrupted(&self.gateway, &self.call, in_flight, *first_data_ms);
    }

    fn drop_failed_source(&mut self, cause: &'static str, detail: &str) {
        // Dropping the connection cancels the request at the worker before another worker starts.
        let Some(source) = self.source.take() else { return };
        let worker_id = source.upstream.in_flight.worker_id.clone();
        if let Some(worker) = self.gateway.directory.borrow_mut().get_mut(&worker_id) {
            worker.health.on_failure(self.gateway.now_ms());
        }
        let line = self.gateway.log.line(events::STREAM_BROKEN, Severity::Notable);
        line.text("request", self.call.id())
            .text("worker", &worker_id)
            .text("cause", cause)
            .text("detail", detail)
            .number("after_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .number("last_event", self.splitter.last_id().map_or(-1, i128::from))
            .text("resumable", self.resumable)
            .number("response_age_ms", self.gateway.now_ms() - source.upstream.started_ms)
            .number("reads", source.upstream.reads)
            .text("framed", source.upstream.is_framed)
            .text("prompt_parts", part_list(&self.call.fields.prompt_parts))
            .emit();
        let labels = [self.call.service.as_str(), cause];
        self.gateway.metrics.streams_broken_total.with_label_values(&labels).inc();
    }

    /// Drops the worker's response and resumes on another worker; returns whether that succeeded.
    async fn fail_over(&mut self, cause: &'static str, detail: &str) -> bool {
        self.drop_failed_source(cause, detail);
        self.resumable && self.resume().await
    }

    async fn resume(&mut self) -> bool {
        self.splitter.discard_partial();
        let last_event_id = match self.splitter.last_id() {
            Some(id) => Some(id.to_string()),
            // Without an event id, another worker cannot know where to resume.
            None if self.splitter.has_forwarded() => return false,
            None => None,
        };
        let resumed = attempt::resume(
            &self.gateway,
            &self.call,
            &mut self.attempts,
            last_event_id.as_deref(),
        );
        match resumed.await {
            Some(incoming) => {
                let line = self.gateway.log.line(events::STREAM_RESUMED, Severity::Notable);
                line.text("request", self.call.id())
                    .text("worker", &incoming.in_flight.worker_id)
                    .text("last_event", last_event_id.unwrap_or_default())
                    .emit();
                self.source = Some(Source::new(incoming, self.gateway.now_ms()));
                true
            }
            None => false,
        }
    }

    fn abort(mut self, cause: &'static str) -> (Option<Result<Bytes, StreamInterrupted>>, Self) {
        self.source = None;
        let line = self.gateway.log.line(events::STREAM_CUT, Severity::Notable);
        line.text("request", self.call.id())
            .text("cause", cause)
            .number("after_ms", self.gateway.now_ms() - self.call.arrived_ms)
            .text("workers", self.attempts.workers.join(","))
            .emit();
        let outcome = [self.call.route.name.as_str(), "broken off"];
        self.gateway.metrics.requests_total.with_label_values(&outcome).inc();
        (Some(Err(StreamInterrupted(cause))), self)
    }
}

impl Upstream {
    fn on_data(&mut self, gateway: &Gateway, call: &Call) {
        self.reads += 1;
        let now_ms = gateway.now_ms();
        self.last_data_ms = now_ms;
        if !self.is_framed && self.contact.is_none() {
            let age_ms = now_ms - self.started_ms;
            self.contact = endings::driver::contact(gateway, call, &self.in_flight, age_ms);
        }
        let began_ms = *self.first_data_ms.get_or_insert(now_ms);
        if now_ms >= began_ms + SURVIVAL_MS {
            self.record_survival(gateway, call, began_ms);
        }
    }

    fn record_survival(&mut self, gateway: &Gateway, call: &Call, began_ms: u64) {
        if !self.has_survived {
            self.has_survived = true;
            crashes::driver::on_survival(gateway, &call.fields.prompt_parts, began_ms);
        }
    }
}

impl Source {
    fn new(incoming: IncomingResponse, started_ms: u64) -> Self {
        let IncomingResponse { response, outcome, sender, in_flight } = incoming;
        let is_framed = connection::is_framed(&response);
        let body = response.into_body();
        Self {
            body,
            upstream: Upstream {
                outcome,
                sender,
                in_flight,
                started_ms,
                reads: 0,
                first_data_ms: None,
                last_data_ms: started_ms,
                has_survived: false,
                boundary: EventBoundary::default(),
                is_framed,
                contact: None,
            },
        }
    }

    /// Returns whether a response whose body has ended is not complete: it ends inside an event, or
    /// nothing marks its end and it has no events, or its worker has ended or reached the deadline before it.
    async fn is_cut_off(&self, gateway: &Gateway, call: &Call) -> bool {
        let Upstream {
            boundary,
            is_framed,
            reads,
            in_flight,
            contact,
            started_ms,
            last_data_ms,
            ..
        } = &self.upstream;
        if boundary.is_inside_event() {
            endings::driver::on_broken_off(gateway, in_flight);
            return true;
        }
        if *is_framed {
            return false;
        }
        // The worker stops at the deadline, which is extended here for a slow caller.
        if *reads == 0 || gateway.now_ms() >= call.deadline_at_ms {
            return true;
        }
        let ended = EndedResponse {
            in_flight,
            contact: contact.as_deref(),
            began_ms: *started_ms,
            last_data_ms: *last_data_ms,
            is_stream: true,
        };
        !endings::driver::is_complete(gateway, call, &ended).await
    }

    /// Waits up to `wait_max_ms` for the next bytes.
    async fn read(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        wait_max_ms: u64,
        deadline_at_ms: u64,
    ) -> SourceRead {
        loop {
            let remaining_ms = deadline_at_ms.saturating_sub(gateway.now_ms());
            if remaining_ms == 0 {
                return SourceRead::DeadlinePassed;
            }
            let timeout_ms = remaining_ms.min(wait_max_ms);
            let frame = timeout(Duration::from_millis(timeout_ms), self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        self.upstream.on_data(gateway, call);
                        self.upstream.boundary.push(&data);
                        return SourceRead::Data(data);
                    }
                    _ => {}
                },
                Ok(Some(Err(error))) => {
                    endings::driver::on_broken_off(gateway, &self.upstream.in_flight);
                    return SourceRead::Interrupted(error);
                }
                Ok(None) if self.is_cut_off(gateway, call).await => return SourceRead::CutOff,
                Ok(None) => return SourceRead::End,
                Err(_) if timeout_ms == remaining_ms => return SourceRead::DeadlinePassed,
                Err(_) => return SourceRead::Stalled,
            }
        }
    }
}
