//! Requests an upstream from the dispatch driver and reports to it how the request ended.

use std::time::Duration;

use crate::attempts::outcome::Code;
use crate::attempts::outcome::Refusal;
use crate::context::Context;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::DispatchRequest;
use crate::dispatch::core::PoolKey;
use crate::dispatch::core::UpstreamOutcome;
use crate::dispatch::driver::Event;
use crate::document::Priority;
use crate::routing::Choice;

/// Time past the deadline after which a missing decision counts as a refusal, in ms.
const DECISION_GRACE_MS: u64 = 250;
/// Retry hint when the dispatch driver is overloaded, in ms.
const OVERLOADED_RETRY_MS: u64 = 1000;
/// Longest wait for space in the ring of the dispatch driver.
const RING_TIMEOUT: Duration = Duration::from_millis(200);

/// Dispatch parameters of a request, the same for all its attempts.
#[derive(Clone, Debug)]
pub struct DispatchParams {
    /// Pool of upstreams that can serve the request.
    pub pool: PoolKey,
    /// Partner that the request is charged to.
    pub partner: String,
    /// Priority that the caller requested.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time by which the caller must get a response, in ms.
    pub deadline_ms: u64,
}

/// Waits until dispatch grants an upstream or refuses the request.
///
/// # Errors
/// Returns why no upstream was granted; the request has not run in this attempt.
pub fn acquire(
    ctx: &Context,
    params: &DispatchParams,
    attempt: Attempt,
) -> Result<Choice, Refusal> {
    let ticket = ctx.next_ticket();
    let request = DispatchRequest {
        ticket,
        pool: params.pool.clone(),
        partner: params.partner.clone(),
        priority: params.priority,
        cost_tokens: params.cost_tokens,
        deadline_ms: params.deadline_ms,
        attempt,
    };
    let overloaded = Refusal::new(Code::Overloaded, OVERLOADED_RETRY_MS);
    let (reply, decision) = flume::bounded(1);
    let event = Event::Submit { request, reply };
    if ctx.dispatch_queue.send_timeout(event, RING_TIMEOUT).is_err() {
        ctx.metrics.ring_drops.with_label_values(&["dispatch"]).inc();
        return Err(overloaded);
    }
    let wait_ms = params.deadline_ms.saturating_sub(ctx.clock.now_ms()) + DECISION_GRACE_MS;
    match decision.recv_timeout(Duration::from_millis(wait_ms)) {
        Ok(decision) => decision,
        Err(_) => {
            ctx.offer_dispatch_event(Event::Cancel { ticket });
            // A grant that was sent before the cancellation took effect is returned.
            if let Ok(Ok(choice)) = decision.try_recv() {
                finish(ctx, params, &choice, UpstreamOutcome::Abandoned);
            }
            Err(overloaded)
        }
    }
}

/// Reports how a request ended at its upstream. Waits for space in the ring, since a lost report
/// would leave the slot occupied.
pub fn finish(ctx: &Context, params: &DispatchParams, choice: &Choice, outcome: UpstreamOutcome) {
    let event = Event::Done {
        pool: params.pool.clone(),
        upstream: choice.upstream.clone(),
        interactive: params.priority == Priority::Interactive,
        outcome,
    };
    // Sending fails only after the instance has stopped.
    let _ = ctx.dispatch_queue.send(event);
}
