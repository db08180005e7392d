//! A generation: one or more streams at engines that give the caller one whole answer.

use std::time::Duration;

use log::info;

use crate::admission::queue;
use crate::attempts::grant;
use crate::attempts::grant::Order;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;
use crate::context::Context;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::Ended;
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

/// Time between tokens after which a stream counts as broken, in ms.
const SILENCE_LIMIT_MS: u64 = 4000;

/// A generation that a caller asks for.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Name of the request.
    pub request_id: String,
    /// Model and adapter.
    pub target: Target,
    /// Prompt text or chat messages.
    pub input: serde_json::Value,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// What the dispatch has to know.
    pub order: Order,
    /// Span of the request.
    pub parent: SpanContext,
}

/// The caller has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

/// How a generation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// All tokens were delivered.
    Whole {
        /// Number of tokens.
        tokens: u64,
    },
    /// The caller left; the engine was told by closing its stream.
    CallerGone,
}

/// Progress of a generation over its attempts.
struct Progress {
    delivered: u64,
    text: String,
    ran: Ran,
    exclude: Vec<String>,
    count: u32,
    arrived_ms: u64,
    last_token_ms: Option<u64>,
}

/// What one attempt came to.
enum Step {
    Finished,
    Gone,
    Again(Attempt),
    Failed(Failure),
}

/// Runs `generation` and hands each token to `deliver` once and in order.
///
/// # Errors
/// Returns what the caller is told when the answer is not whole.
pub fn run(
    ctx: &Context,
    generation: &Generation,
    mut deliver: impl FnMut(&TokenEvent) -> Result<(), CallerGone>,
) -> Result<End, Failure> {
    let mut progress = Progress {
        delivered: 0,
        text: String::new(),
        ran: Ran::NotRun,
        exclude: Vec::new(),
        count: 0,
        arrived_ms: ctx.clock.now_ms(),
        last_token_ms: None,
    };
    let mut attempt = Attempt::First;
    loop {
        match run_attempt(ctx, generation, &mut progress, attempt, &mut deliver) {
            Step::Finished => return Ok(End::Whole { tokens: progress.delivered }),
            Step::Gone => return Ok(End::CallerGone),
            Step::Again(next) => attempt = next,
            Step::Failed(mut failure) => {
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
    deliver: &mut impl FnMut(&TokenEvent) -> Result<(), CallerGone>,
) -> Step {
    let queue_span = Span::start(generation.parent, "queue");
    let begun_ms = ctx.clock.now_ms();
    let acquired = grant::acquire(ctx, &generation.order, attempt);
    queue_span.close(&ctx.tracer);
    let choice = match acquired {
        Ok(choice) => choice,
        Err(refusal) => return Step::Failed(refusal.into()),
    };
    let waited_s = (ctx.clock.now_ms() - begun_ms) as f64 / 1000.0;
    let priority = generation.order.priority.name();
    ctx.metrics.queue_wait_seconds.with_label_values(&[priority]).observe(waited_s);
    let mut span = Span::start(generation.parent, "attempt");
    span.note("upstream", &choice.upstream);
    let started_ms = ctx.clock.now_ms();
    let first = progress.delivered;
    let result = stream_tokens(ctx, generation, progress, &choice, span.context(), deliver);
    let tokens = progress.delivered - first;
    let (ended, step) = conclude(ctx, generation, progress, &choice, result);
    let ended = match ended {
        Ended::Whole { .. } => Ended::Whole { took_ms: ctx.clock.now_ms() - started_ms, tokens },
        other => other,
    };
    span.note("ended", format!("{ended:?}"));
    span.close(&ctx.tracer);
    grant::finish(ctx, &generation.order, &choice, ended);
    step
}

/// Why a stream was left.
enum Break {
    Gone,
    Deadline,
    Upstream(Error),
}

fn stream_tokens(
    ctx: &Context,
    generation: &Generation,
    progress: &mut Progress,
    choice: &Choice,
    span: SpanContext,
    deliver: &mut impl FnMut(&TokenEvent) -> Result<(), CallerGone>,
) -> Result<(), Break> {
    let left_ms = generation.order.deadline_ms.saturating_sub(ctx.clock.now_ms());
    if left_ms == 0 {
        return Err(Break::Deadline);
    }
    let request = GenerateRequest {
        request_id: generation.request_id.clone(),
        model: generation.target.model.clone(),
        adapter: generation.target.adapter.clone(),
        input: generation.input.clone(),
        max_tokens: generation.max_tokens,
        priority: engine_priority(&generation.order, ctx.clock.now_ms()) as u8,
        resume_tokens: progress.delivered,
        resume_text: progress.text.clone(),
    };
    let silence = Duration::from_millis(SILENCE_LIMIT_MS.min(left_ms));
    let total = Duration::from_millis(left_ms);
    let opened = stream::generate(choice.addr, &request, &span.header(), silence, total);
    let mut tokens = match opened {
        Ok(tokens) => tokens,
        Err(error) => {
            if matches!(error, Error::Broken(_)) {
                progress.ran = Ran::Unknown;
            }
            return Err(at_deadline(ctx, generation, error));
        }
    };
    progress.ran = Ran::Ran;
    loop {
        let event = tokens.next_event().map_err(|e| at_deadline(ctx, generation, e))?;
        if event.index < progress.delivered {
            continue;
        }
        if event.index > progress.delivered {
            return Err(Break::Upstream(Error::Broken("a token is missing".to_owned())));
        }
        note_token(ctx, progress);
        deliver(&event).map_err(|CallerGone| Break::Gone)?;
        progress.delivered += 1;
        progress.text.push_str(&event.text);
        if event.finish_reason.is_some() {
            return Ok(());
        }
        if ctx.clock.now_ms() >= generation.order.deadline_ms {
            return Err(Break::Deadline);
        }
    }
}

/// Returns the priority that the engine is told: batch requests near their deadline are urgent.
fn engine_priority(order: &Order, now_ms: u64) -> Priority {
    let urgent = queue::is_urgent(order.deadline_ms, 0, now_ms);
    if order.priority == Priority::Batch && urgent { Priority::Interactive } else { order.priority }
}

fn at_deadline(ctx: &Context, generation: &Generation, error: Error) -> Break {
    if ctx.clock.now_ms() >= generation.order.deadline_ms {
        Break::Deadline
    } else {
        Break::Upstream(error)
    }
}

fn note_token(ctx: &Context, progress: &mut Progress) {
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

fn conclude(
    ctx: &Context,
    generation: &Generation,
    progress: &mut Progress,
    choice: &Choice,
    result: Result<(), Break>,
) -> (Ended, Step) {
    let error = match result {
        Ok(()) => return (Ended::Whole { took_ms: 0, tokens: 0 }, Step::Finished),
        Err(Break::Gone) => return (Ended::Abandoned, Step::Gone),
        Err(Break::Deadline) => {
            let message = "the deadline passed while the request ran";
            let failure =
                Failure { ran: progress.ran, ..Failure::ran(Code::DeadlinePassed, message) };
            return (Ended::Abandoned, Step::Failed(failure));
        }
        Err(Break::Upstream(error)) => error,
    };
    let detail = format!("request={} upstream={} {error}", generation.request_id, choice.upstream);
    info!("{}", events::ATTEMPT_BROKEN.text(&ctx.own.instance_id, &detail));
    progress.count += 1;
    let reroute = |exclude: Vec<String>, count| Step::Again(Attempt::Reroute { exclude, count });
    match error {
        Error::NotResident => {
            (Ended::NotResident, reroute(progress.exclude.clone(), progress.count))
        }
        Error::Leaving => (Ended::Leaving, reroute(progress.exclude.clone(), progress.count)),
        Error::Busy => {
            progress.exclude.push(choice.upstream.clone());
            (Ended::Abandoned, reroute(progress.exclude.clone(), progress.count))
        }
        Error::NotSent(_) => {
            progress.exclude.push(choice.upstream.clone());
            (Ended::Broken, reroute(progress.exclude.clone(), progress.count))
        }
        Error::Broken(_) => {
            progress.exclude.push(choice.upstream.clone());
            if progress.delivered > 0 {
                ctx.metrics.resumes_total.inc();
            }
            let exclude = progress.exclude.clone();
            let again = Attempt::Retry { exclude, count: progress.count };
            (Ended::Broken, Step::Again(again))
        }
        Error::Rejected { status_code, reason } => {
            let message = format!("the engine answered {status_code}: {reason}");
            (Ended::Abandoned, Step::Failed(Failure::not_run(Code::BadRequest, message)))
        }
    }
}
