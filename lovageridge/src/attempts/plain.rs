//! Calls to plain services, forwarded at most once unless they are idempotent.

use std::time::Duration;

use log::warn;

use crate::attempts::claims::driver::Claim;
use crate::attempts::claims::driver::ClaimOutcome;
use crate::attempts::claims::driver::Claims;
use crate::attempts::claims::key_table::Record;
use crate::attempts::claims::key_table::StoredResponse;
use crate::attempts::grant;
use crate::attempts::grant::DispatchParams;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;
use crate::context::Context;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::UpstreamOutcome;
use crate::hashing;
use crate::telemetry::events;
use crate::telemetry::trace::Span;
use crate::telemetry::trace::SpanContext;
use crate::upstream::service;
use crate::upstream::service::Error;
use crate::upstream::service::PlainRequest;
use crate::upstream::service::PlainResponse;

/// Longest wait for the result of a claim, in ms.
const CLAIM_TIMEOUT_MS: u64 = 3500;
/// Largest response body stored for repeated requests, in bytes.
const MAX_STORED_BODY_BYTES: usize = 8 * 1024;
/// Retry hint while the log does not confirm claims, in ms.
const CLAIM_RETRY_AFTER_MS: u64 = 2000;

/// A call to a plain service, requested by a caller.
#[derive(Clone, Debug)]
pub struct PlainCall<'a> {
    /// ID of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Whether the call may be sent again without changing the result.
    pub idempotent: bool,
    /// Idempotency key that the caller sent, if any.
    pub idempotency_key: Option<String>,
    /// HTTP request to forward.
    pub request: PlainRequest<'a>,
    /// Dispatch parameters of the request.
    pub dispatch: DispatchParams,
    /// Span of the request, parent of the spans of its attempts.
    pub parent_span: SpanContext,
}

/// Runs `call` and returns the complete response.
///
/// # Errors
/// Returns the failure to report to the caller, with whether the call ran.
pub fn run(ctx: &Context, claims: &Claims, call: &PlainCall<'_>) -> Result<PlainResponse, Failure> {
    let Some(key) = call.idempotency_key.as_deref().filter(|_| !call.idempotent) else {
        return send(ctx, call);
    };
    let partner = &call.dispatch.partner;
    let key = hashing::sha256_hex(&format!("{partner}\n{}\n{key}", call.service));
    let body = String::from_utf8_lossy(call.request.body);
    let content = format!("{}\n{}\n{body}", call.request.method, call.request.path_and_query);
    let fingerprint = hashing::sha256_hex(&content);
    let claim = Claim { key: &key, request_id: &call.request_id, fingerprint: &fingerprint };
    let remaining_ms = call.dispatch.deadline_ms.saturating_sub(ctx.clock.now_ms());
    let timeout = Duration::from_millis(remaining_ms.min(CLAIM_TIMEOUT_MS));
    let span = Span::start(call.parent_span, "claim");
    let outcome = claims.claim(claim, timeout);
    span.end(&ctx.tracer);
    match outcome {
        ClaimOutcome::Won => {}
        other => return replay_or_refuse(other),
    }
    let result = send(ctx, call);
    match &result {
        Ok(response) => claims.store_response(response_record(&key, call, response)),
        Err(failure) if failure.ran == Ran::NotRun => claims.void(&key, &call.request_id),
        Err(_) => {}
    }
    result
}

fn response_record(key: &str, call: &PlainCall<'_>, response: &PlainResponse) -> Record {
    let content_type = response.headers.iter().find(|(name, _)| name == "content-type");
    let fits = response.body.len() <= MAX_STORED_BODY_BYTES;
    let text = String::from_utf8(response.body.clone()).ok();
    Record::Answered {
        key: key.to_owned(),
        request_id: call.request_id.clone(),
        status_code: response.status_code,
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: text.filter(|_| fits),
    }
}

fn replay_or_refuse(outcome: ClaimOutcome) -> Result<PlainResponse, Failure> {
    match outcome {
        ClaimOutcome::Completed(StoredResponse { status_code, content_type, body: Some(body) }) => {
            let headers = vec![
                ("content-type".to_owned(), content_type),
                ("x-lovageridge-replayed".to_owned(), "yes".to_owned()),
            ];
            Ok(PlainResponse { status_code, headers, body: body.into_bytes() })
        }
        ClaimOutcome::Completed(_) => Err(Failure::ran(
            Code::KeyInUse,
            "the call with this idempotency key has run; its answer was too large to keep",
        )),
        ClaimOutcome::Mismatch => Err(Failure::not_run(
            Code::KeyMismatch,
            "the idempotency key was used with another request",
        )),
        ClaimOutcome::Held | ClaimOutcome::Won => Err(Failure::unknown(
            Code::KeyInUse,
            "a call with this idempotency key is in progress or has an unknown outcome",
        )),
        ClaimOutcome::Unavailable => Err(Failure {
            retry_after_ms: Some(CLAIM_RETRY_AFTER_MS),
            ..Failure::not_run(Code::ClaimUnavailable, "the idempotency key cannot be kept now")
        }),
    }
}

/// Sends the call, and sends it again only if it has certainly not run or is idempotent.
fn send(ctx: &Context, call: &PlainCall<'_>) -> Result<PlainResponse, Failure> {
    let mut attempt = Attempt::First;
    let mut exclude: Vec<String> = Vec::new();
    let mut failed_attempts = 0;
    let mut may_have_run = false;
    loop {
        let queue_span = Span::start(call.parent_span, "queue");
        let acquired = grant::acquire(ctx, &call.dispatch, attempt);
        queue_span.end(&ctx.tracer);
        let choice = acquired.map_err(|refusal| {
            let mut failure = Failure::from(refusal);
            if may_have_run {
                failure.ran = Ran::Unknown;
            }
            failure
        })?;
        let mut span = Span::start(call.parent_span, "attempt");
        span.set_attribute("upstream", &choice.upstream);
        let started_ms = ctx.clock.now_ms();
        let remaining_ms = call.dispatch.deadline_ms.saturating_sub(started_ms);
        let result = send_once(call, choice.addr, span.context(), remaining_ms);
        span.end(&ctx.tracer);
        let error = match result {
            Ok(response) => {
                let took_ms = ctx.clock.now_ms() - started_ms;
                grant::finish(
                    ctx,
                    &call.dispatch,
                    &choice,
                    UpstreamOutcome::Whole { took_ms, tokens: 1 },
                );
                return Ok(response);
            }
            Err(error) => error,
        };
        grant::finish(ctx, &call.dispatch, &choice, UpstreamOutcome::Broken);
        let detail = format!("request={} upstream={} {error}", call.request_id, choice.upstream);
        warn!("{}", events::ATTEMPT_BROKEN.text(&ctx.own.instance_id, &detail));
        failed_attempts += 1;
        exclude.push(choice.upstream);
        may_have_run |= !matches!(error, Error::NotSent(_));
        match error {
            Error::NotSent(_) => {
                attempt = Attempt::Reroute { exclude: exclude.clone(), failed_attempts }
            }
            _ if call.idempotent => {
                attempt = Attempt::Retry { exclude: exclude.clone(), failed_attempts }
            }
            Error::Truncated(_) => {
                let message = "the service ran the call, but its answer broke off";
                return Err(Failure::ran(Code::UpstreamFailed, message));
            }
            Error::NoResponse(_) => {
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
    remaining_ms: u64,
) -> Result<PlainResponse, Error> {
    if remaining_ms == 0 {
        return Err(Error::NotSent("the deadline has passed".to_owned()));
    }
    if !call.idempotent {
        service::probe(addr)?;
    }
    service::call(addr, call.request, &span.traceparent(), Duration::from_millis(remaining_ms))
}
