//! A generation: one or more engine streams that give the caller one complete response.

use std::time::Duration;

use log::info;

use crate::admission::queue;
use crate::attempts::grant;
use crate::attempts::grant::DispatchParams;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;
use crate::context::Context;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::UpstreamOutcome;
use crate::document::Priority;
use crate::document::Target;
use crate::routing::Choice;
use crate::telemetry::events;
use crate::telemetry::trace::Span;
use crate::telemetry::trace::SpanContext;
use crate::upstream::stream;
use crate::upstream::stream::Error;
use crate::upstream::stream::GenerateRequest;
use crate::upstream::stream::TokenEvent;

/// Time without a token after which a stream counts as interrupted, in ms.
const TOKEN_TIMEOUT_MS: u64 = 4000;

/// A generation requested by a caller.
#[derive(Clone, Debug)]
pub struct Generation {
    /// ID of the request.
    pub request_id: String,
    /// Model, and adapter if any, that generates.
    pub target: Target,
    /// Prompt text or chat messages.
    pub input: serde_json::Value,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Dispatch parameters of the request.
    pub dispatch: DispatchParams,
    /// Span of the request, parent of the spans of its attempts.
    pub parent_span: SpanContext,
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerDisconnected;

/// How a generation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GenerationEnd {
    /// All tokens were delivered.
    Complete {
        /// Number of tokens delivered.
        tokens: u64,
    },
    /// The caller disconnected; the engine's stream was closed, which cancels the generation there.
    CallerDisconnected,
}

/// Progress of a generation across its attempts.
struct Progress {
    delivered_tokens: u64,
    text: String,
    ran: Ran,
    exclude: Vec<String>,
    failed_attempts: u32,
    arrived_ms: u64,
    last_token_ms: Option<u64>,
}

/// Result of one attempt.
enum AttemptResult {
    Complete,
    CallerDisconnected,
    NextAttempt(Attempt),
    Failed(Failure),
}

/// Runs `generation` and passes each token to `deliver` once and in order.
///
/// # Errors
/// Returns the failure to report to the caller if the response is not complete.
pub fn run(
    ctx: &Context,
    generation: &Generation,
    mut deliver: impl FnMut(&TokenEvent) -> Result<(), CallerDisconnected>,
) -> Result<GenerationEnd, Failure> {
    let mut progress = Progress {
        delivered_tokens: 0,
        text: String::new(),
        ran: Ran::NotRun,
        exclude: Vec::new(),
        failed_attempts: 0,
        arrived_ms: ctx.clock.now_ms(),
        last_token_ms: None,
    };
    let mut attempt = Attempt::First;
    loop {
        match run_attempt(ctx, generation, &mut progress, attempt, &mut deliver) {
            AttemptResult::Complete => {
                return Ok(GenerationEnd::Complete { tokens: progress.delivered_tokens });
            }
            AttemptResult::CallerDisconnected => return Ok(GenerationEnd::CallerDisconnected),
            AttemptResult::NextAttempt(next) => attempt = next,
            AttemptResult::Failed(mut failure) => {
                if progress.ran != Ran::NotRun && failure.ran == Ran::NotRun {
                    failure.ran = progress.ran;
                }
                return Err(failure);
            }
        }
    }
}

fn run_attempt(
    ctx: &Context,
    generation: &Generation,
    progress: &mut Progress,
    attempt: Attempt,
    deliver: &mut impl FnMut(&TokenEvent) -> Result<(), CallerDisconnected>,
) -> AttemptResult {
    let queue_span = Span::start(generation.parent_span, "queue");
    let queued_ms = ctx.clock.now_ms();
    let acquired = grant::acquire(ctx, &generation.dispatch, attempt);
    queue_span.end(&ctx.tracer);
    let choice = match acquired {
        Ok(choice) => choice,
        Err(refusal) => return AttemptResult::Failed(refusal.into()),
    };
    let waited_s = (ctx.clock.now_ms() - queued_ms) as f64 / 1000.0;
    let priority = generation.dispatch.priority.name();
    ctx.metrics.queue_wait_seconds.with_label_values(&[priority]).observe(waited_s);
    let mut span = Span::start(generation.parent_span, "attempt");
    span.set_attribute("upstream", &choice.upstream);
    let started_ms = ctx.clock.now_ms();
    let delivered_before = progress.delivered_tokens;
    let result = stream_tokens(ctx, generation, progress, &choice, span.context(), deliver);
    let tokens = progress.delivered_tokens - delivered_before;
    let (outcome, attempt_result) = classify_result(ctx, generation, progress, &choice, result);
    let outcome = match outcome {
        UpstreamOutcome::Whole { .. } => {
            UpstreamOutcome::Whole { took_ms: ctx.clock.now_ms() - started_ms, tokens }
        }
        other => other,
    };
    span.set_attribute("ended", format!("{outcome:?}"));
    span.end(&ctx.tracer);
    grant::finish(ctx, &generation.dispatch, &choice, outcome);
    attempt_result
}

/// Why a stream ended early.
enum StreamError {
    CallerDisconnected,
    Deadline,
    Upstream(Error),
}

fn stream_tokens(
    ctx: &Context,
    generation: &Generation,
    progress: &mut Progress,
    choice: &Choice,
    span: SpanContext,
    deliver: &mut impl FnMut(&TokenEvent) -> Result<(), CallerDisconnected>,
) -> Result<(), StreamError> {
    let remaining_ms = generation.dispatch.deadline_ms.saturating_sub(ctx.clock.now_ms());
    if remaining_ms == 0 {
        return Err(StreamError::Deadline);
    }
    let request = GenerateRequest {
        request_id: generation.request_id.clone(),
        model: generation.target.model.clone(),
        adapter: generation.target.adapter.clone(),
        input: generation.input.clone(),
        max_tokens: generation.max_tokens,
        priority: engine_priority(&generation.dispatch, ctx.clock.now_ms()) as u8,
        resume_tokens: progress.delivered_tokens,
        resume_text: progress.text.clone(),
    };
    let token_timeout = Duration::from_millis(TOKEN_TIMEOUT_MS.min(remaining_ms));
    let total_timeout = Duration::from_millis(remaining_ms);
    let opened =
        stream::generate(choice.addr, &request, &span.traceparent(), token_timeout, total_timeout);
    let mut tokens = match opened {
        Ok(tokens) => tokens,
        Err(error) => {
            if matches!(error, Error::Interrupted(_)) {
                progress.ran = Ran::Unknown;
            }
            return Err(stream_error(ctx, generation, error));
        }
    };
    progress.ran = Ran::Ran;
    loop {
        let event = tokens.next_event().map_err(|e| stream_error(ctx, generation, e))?;
        if event.index < progress.delivered_tokens {
            continue;
        }
        if event.index > progress.delivered_tokens {
            return Err(StreamError::Upstream(Error::Interrupted("a token is missing".to_owned())));
        }
        observe_token_latency(ctx, progress);
        deliver(&event).map_err(|CallerDisconnected| StreamError::CallerDisconnected)?;
        progress.delivered_tokens += 1;
        progress.text.push_str(&event.text);
        if event.finish_reason.is_some() {
            return Ok(());
        }
        if ctx.clock.now_ms() >= generation.dispatch.deadline_ms {
            return Err(StreamError::Deadline);
        }
    }
}

/// Returns the priority for the engine: batch requests close to their deadline are interactive.
fn engine_priority(params: &DispatchParams, now_ms: u64) -> Priority {
    let urgent = queue::is_urgent(params.deadline_ms, 0, now_ms);
    if params.priority == Priority::Batch && urgent {
        Priority::Interactive
    } else {
        params.priority
    }
}

/// Returns `Deadline` for any error past the deadline, where the timeouts of the stream end.
fn stream_error(ctx: &Context, generation: &Generation, error: Error) -> StreamError {
    if ctx.clock.now_ms() >= generation.dispatch.deadline_ms {
        StreamError::Deadline
    } else {
        StreamError::Upstream(error)
    }
}

fn observe_token_latency(ctx: &Context, progress: &mut Progress) {
    let now_ms = ctx.clock.now_ms();
    match progress.last_token_ms {
        None => {
            let seconds = (now_ms - progress.arrived_ms) as f64 / 1000.0;
            ctx.metrics.first_token_seconds.observe(seconds);
        }
        Some(last_ms) => {
            ctx.metrics.between_tokens_seconds.observe((now_ms - last_ms) as f64 / 1000.0);
        }
    }
    progress.last_token_ms = Some(now_ms);
}

/// Returns the outcome for dispatch, with duration and tokens still zero, and the result of the
/// attempt.
fn classify_result(
    ctx: &Context,
    generation: &Generation,
    progress: &mut Progress,
    choice: &Choice,
    result: Result<(), StreamError>,
) -> (UpstreamOutcome, AttemptResult) {
    let error = match result {
        Ok(()) => {
            return (UpstreamOutcome::Whole { took_ms: 0, tokens: 0 }, AttemptResult::Complete);
        }
        Err(StreamError::CallerDisconnected) => {
            return (UpstreamOutcome::Abandoned, AttemptResult::CallerDisconnected);
        }
        Err(StreamError::Deadline) => {
            let message = "the deadline passed while the request ran";
            let failure =
                Failure { ran: progress.ran, ..Failure::ran(Code::DeadlinePassed, message) };
            return (UpstreamOutcome::Abandoned, AttemptResult::Failed(failure));
        }
        Err(StreamError::Upstream(error)) => error,
    };
    let detail = format!("request={} upstream={} {error}", generation.request_id, choice.upstream);
    info!("{}", events::ATTEMPT_BROKEN.text(&ctx.own.instance_id, &detail));
    progress.failed_attempts += 1;
    let reroute = |exclude: Vec<String>, count| {
        AttemptResult::NextAttempt(Attempt::Reroute { exclude, failed_attempts: count })
    };
    match error {
        Error::NotResident => (
            UpstreamOutcome::NotResident,
            reroute(progress.exclude.clone(), progress.failed_attempts),
        ),
        Error::Leaving => {
            (UpstreamOutcome::Leaving, reroute(progress.exclude.clone(), progress.failed_attempts))
        }
        Error::Busy => {
            progress.exclude.push(choice.upstream.clone());
            (
                UpstreamOutcome::Abandoned,
                reroute(progress.exclude.clone(), progress.failed_attempts),
            )
        }
        Error::NotSent(_) => {
            progress.exclude.push(choice.upstream.clone());
            (UpstreamOutcome::Broken, reroute(progress.exclude.clone(), progress.failed_attempts))
        }
        Error::Interrupted(_) => {
            progress.exclude.push(choice.upstream.clone());
            if progress.delivered_tokens > 0 {
                ctx.metrics.resumes_total.inc();
            }
            let exclude = progress.exclude.clone();
            let retry = Attempt::Retry { exclude, failed_attempts: progress.failed_attempts };
            (UpstreamOutcome::Broken, AttemptResult::NextAttempt(retry))
        }
        Error::Rejected { status_code, reason } => {
            let message = format!("the engine answered {status_code}: {reason}");
            (
                UpstreamOutcome::Abandoned,
                AttemptResult::Failed(Failure::not_run(Code::BadRequest, message)),
            )
        }
    }
}
