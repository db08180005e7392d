//! Asks the dispatch duty for an upstream and tells it how the request ended.

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
/// Retry hint when the dispatch duty is overloaded, in ms.
const OVERLOADED_RETRY_MS: u64 = 1000;
/// Time for which the ring of the dispatch duty may be full.
const RING_TIMEOUT: Duration = Duration::from_millis(200);

/// What the dispatch has to know of a request, the same for all its attempts.
#[derive(Clone, Debug)]
pub struct DispatchParams {
    /// What it waits for.
    pub pool: PoolKey,
    /// Partner that pays for it.
    pub partner: String,
    /// How urgent it is.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time by which its caller must have an outcome, in ms.
    pub deadline_ms: u64,
}

/// Waits for an upstream.
///
/// # Errors
/// Returns why the request gets none; it has not run in this attempt.
pub fn acquire(ctx: &Context, order: &DispatchParams, attempt: Attempt) -> Result<Choice, Refusal> {
    let ticket = ctx.next_ticket();
    let submit = DispatchRequest {
        ticket,
        pool: order.pool.clone(),
        partner: order.partner.clone(),
        priority: order.priority,
        cost_tokens: order.cost_tokens,
        deadline_ms: order.deadline_ms,
        attempt,
    };
    let overloaded = Refusal::new(Code::Overloaded, OVERLOADED_RETRY_MS);
    let (reply, decision) = flume::bounded(1);
    let event = Event::Submit { request: submit, reply };
    if ctx.dispatch.send_timeout(event, RING_TIMEOUT).is_err() {
        ctx.metrics.ring_drops.with_label_values(&["dispatch"]).inc();
        return Err(overloaded);
    }
    let wait_ms = order.deadline_ms.saturating_sub(ctx.clock.now_ms()) + DECISION_GRACE_MS;
    match decision.recv_timeout(Duration::from_millis(wait_ms)) {
        Ok(decision) => decision,
        Err(_) => {
            ctx.offer_dispatch(Event::Cancel { ticket });
            // A grant that crossed the cancellation is given back.
            if let Ok(Ok(choice)) = decision.try_recv() {
                finish(ctx, order, &choice, UpstreamOutcome::Abandoned);
            }
            Err(overloaded)
        }
    }
}

/// Tells how a request ended at its upstream; this must not be lost, or the slot would be.
pub fn finish(ctx: &Context, order: &DispatchParams, choice: &Choice, ended: UpstreamOutcome) {
    let event = Event::Done {
        pool: order.pool.clone(),
        upstream: choice.upstream.clone(),
        interactive: order.priority == Priority::Interactive,
        outcome: ended,
    };
    // The ring is closed only when the instance has stopped.
    let _ = ctx.dispatch.send(event);
}
