//! A call to a plain service: passed through, at most once unless it is idempotent.

use std::time::Duration;

use log::warn;

use crate::attempts::claims::driver::Claim;
use crate::attempts::claims::driver::Claims;
use crate::attempts::claims::driver::Verdict;
use crate::attempts::claims::fold::KeptAnswer;
use crate::attempts::claims::fold::Record;
use crate::attempts::grant;
use crate::attempts::grant::Order;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;
use crate::context::Context;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::Ended;
use crate::hashing;
use crate::telemetry::events;
use crate::telemetry::trace::Span;
use crate::telemetry::trace::SpanContext;
use crate::upstream::service;
use crate::upstream::service::Error;
use crate::upstream::service::PlainAnswer;
use crate::upstream::service::PlainRequest;

/// Longest wait for the log's verdict on a claim, in ms.
const CLAIM_TIMEOUT_MS: u64 = 3500;
/// Largest body kept for repeated requests, in bytes.
const KEPT_BODY_MAX_BYTES: usize = 8 * 1024;
/// Retry hint while the log cannot take claims, in ms.
const CLAIM_RETRY_MS: u64 = 2000;

/// A plain call that a caller asks for.
#[derive(Clone, Debug)]
pub struct PlainCall<'a> {
    /// Name of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Whether the call may be sent again without changing the result.
    pub idempotent: bool,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// The call to pass through.
    pub request: PlainRequest<'a>,
    /// What the dispatch has to know.
    pub order: Order,
    /// Span of the request.
    pub parent: SpanContext,
}

/// Runs `call` and returns the whole answer.
///
/// # Errors
/// Returns what the caller is told, with the truth about whether the call ran.
pub fn run(ctx: &Context, claims: &Claims, call: &PlainCall<'_>) -> Result<PlainAnswer, Failure> {
    let Some(key) = call.key.as_deref().filter(|_| !call.idempotent) else {
        return send(ctx, call);
    };
    let partner = &call.order.partner;
    let key = hashing::sha256_hex(&format!("{partner}\n{}\n{key}", call.service));
    let body = String::from_utf8_lossy(call.request.body);
    let content = format!("{}\n{}\n{body}", call.request.method, call.request.path);
    let fingerprint = hashing::sha256_hex(&content);
    let claim = Claim { key: &key, request_id: &call.request_id, fingerprint: &fingerprint };
    let left_ms = call.order.deadline_ms.saturating_sub(ctx.clock.now_ms());
    let timeout = Duration::from_millis(left_ms.min(CLAIM_TIMEOUT_MS));
    let span = Span::start(call.parent, "claim");
    let verdict = claims.claim(claim, timeout);
    span.close(&ctx.tracer);
    match verdict {
        Verdict::Won => {}
        other => return refused_claim(other),
    }
    let result = send(ctx, call);
    match &result {
        Ok(answer) => claims.answered(answered(&key, call, answer)),
        Err(failure) if failure.ran == Ran::NotRun => claims.void(&key, &call.request_id),
        Err(_) => {}
    }
    result
}

fn answered(key: &str, call: &PlainCall<'_>, answer: &PlainAnswer) -> Record {
    let content_type = answer.headers.iter().find(|(name, _)| name == "content-type");
    let small = answer.body.len() <= KEPT_BODY_MAX_BYTES;
    let text = String::from_utf8(answer.body.clone()).ok();
    Record::Answered {
        key: key.to_owned(),
        request_id: call.request_id.clone(),
        status_code: answer.status_code,
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: text.filter(|_| small),
    }
}

fn refused_claim(verdict: Verdict) -> Result<PlainAnswer, Failure> {
    match verdict {
        Verdict::Answered(KeptAnswer { status_code, content_type, body: Some(body) }) => {
            let headers = vec![
                ("content-type".to_owned(), content_type),
                ("x-lovageridge-replayed".to_owned(), "yes".to_owned()),
            ];
            Ok(PlainAnswer { status_code, headers, body: body.into_bytes() })
        }
        Verdict::Answered(_) => Err(Failure::ran(
            Code::KeyInUse,
            "the call with this idempotency key has run; its answer was too large to keep",
        )),
        Verdict::Mismatch => Err(Failure::not_run(
            Code::KeyMismatch,
            "the idempotency key was used with another request",
        )),
        Verdict::Held | Verdict::Won => Err(Failure::unknown(
            Code::KeyInUse,
            "a call with this idempotency key is in progress or has an unknown outcome",
        )),
        Verdict::Unavailable => Err(Failure {
            retry_after_ms: Some(CLAIM_RETRY_MS),
            ..Failure::not_run(Code::ClaimUnavailable, "the idempotency key cannot be kept now")
        }),
    }
}

/// Sends the call, again only where it is certain that it has not run, or harmless if it has.
fn send(ctx: &Context, call: &PlainCall<'_>) -> Result<PlainAnswer, Failure> {
    let mut attempt = Attempt::First;
    let mut exclude: Vec<String> = Vec::new();
    let mut count = 0;
    let mut maybe_ran = false;
    loop {
        let queue_span = Span::start(call.parent, "queue");
        let acquired = grant::acquire(ctx, &call.order, attempt);
        queue_span.close(&ctx.tracer);
        let choice = acquired.map_err(|refusal| {
            let mut failure = Failure::from(refusal);
            if maybe_ran {
                failure.ran = Ran::Unknown;
            }
            failure
        })?;
        let mut span = Span::start(call.parent, "attempt");
        span.note("upstream", &choice.upstream);
        let begun_ms = ctx.clock.now_ms();
        let left_ms = call.order.deadline_ms.saturating_sub(begun_ms);
        let result = send_once(call, choice.addr, span.context(), left_ms);
        span.close(&ctx.tracer);
        let error = match result {
            Ok(answer) => {
                let took_ms = ctx.clock.now_ms() - begun_ms;
                grant::finish(ctx, &call.order, &choice, Ended::Whole { took_ms, tokens: 1 });
                return Ok(answer);
            }
            Err(error) => error,
        };
        grant::finish(ctx, &call.order, &choice, Ended::Broken);
        let detail = format!("request={} upstream={} {error}", call.request_id, choice.upstream);
        warn!("{}", events::ATTEMPT_BROKEN.text(&ctx.own.instance_id, &detail));
        count += 1;
        exclude.push(choice.upstream);
        maybe_ran |= !matches!(error, Error::NotSent(_));
        match error {
            Error::NotSent(_) => attempt = Attempt::Reroute { exclude: exclude.clone(), count },
            _ if call.idempotent => attempt = Attempt::Retry { exclude: exclude.clone(), count },
            Error::Truncated(_) => {
                let message = "the service ran the call, but its answer broke off";
                return Err(Failure::ran(Code::UpstreamFailed, message));
            }
            Error::NoAnswer(_) => {
                warn!("{}", events::OUTCOME_UNKNOWN.text(&ctx.own.instance_id, &detail));
                let message = "the service gave no answer; the call may have run";
                return Err(Failure::unknown(Code::UpstreamFailed, message));
            }
        }
    }
}

fn send_once(
    call: &PlainCall<'_>,
    addr: std::net::SocketAddr,
    span: SpanContext,
    left_ms: u64,
) -> Result<PlainAnswer, Error> {
    if left_ms == 0 {
        return Err(Error::NotSent("the deadline has passed".to_owned()));
    }
    if !call.idempotent {
        service::probe(addr)?;
    }
    service::call(addr, call.request, &span.header(), Duration::from_millis(left_ms))
}
