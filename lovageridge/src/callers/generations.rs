//! Completions on the callers' port, streamed or whole.

use tiny_http::Request;

use crate::attempts::generation;
use crate::attempts::generation::CallerGone;
use crate::attempts::generation::End;
use crate::attempts::generation::Generation;
use crate::attempts::grant::Order;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::callers::openai::CompletionRequest;
use crate::callers::openai::Frame;
use crate::callers::openai::Kind;
use crate::callers::openai::MAX_MAX_TOKENS;
use crate::callers::reply;
use crate::callers::reply::EventStream;
use crate::callers::server::Incoming;
use crate::callers::server::Port;
use crate::clock::unix_ms;
use crate::context::Context;
use crate::dispatch::core::PoolKey;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Serves a completion.
///
/// # Errors
/// Returns the failure that the caller was told, for the count of outcomes.
pub fn handle(
    port: &Port,
    request: Request,
    incoming: Incoming,
    kind: Kind,
) -> Result<(), Failure> {
    let parsed = parse(&incoming, kind);
    let (completion, generation) = match parsed {
        Ok(parsed) => parsed,
        Err(failure) => {
            if failure.code == Code::BadRequest {
                port.ctx.metrics.malformed_total.inc();
            }
            // A caller that has left needs no refusal.
            let _ = reply::error(request, &failure, &incoming.request_id);
            return Err(failure);
        }
    };
    let frame = Frame {
        kind,
        id: &generation.request_id,
        model: &completion.model,
        created_s: unix_ms() / 1000,
    };
    if completion.stream {
        stream(&port.ctx, request, &generation, &frame)
    } else {
        whole(&port.ctx, request, &generation, &frame)
    }
}

fn parse(incoming: &Incoming, kind: Kind) -> Result<(CompletionRequest, Generation), Failure> {
    let bad = |message: String| Failure::not_run(Code::BadRequest, message);
    let completion: CompletionRequest =
        serde_json::from_slice(&incoming.body).map_err(|e| bad(e.to_string()))?;
    let input = completion.input(kind).map_err(|e| bad(e.to_owned()))?;
    let max_tokens = completion.max_tokens();
    if max_tokens == 0 || max_tokens > MAX_MAX_TOKENS {
        return Err(bad(format!("max_tokens must be from 1 to {MAX_MAX_TOKENS}")));
    }
    let Some(target) = incoming.config.target(&completion.model) else {
        let message = format!("there is no model or adapter '{}'", completion.model);
        return Err(Failure::not_run(Code::NotFound, message));
    };
    let model = incoming.config.models.get(&target.model);
    let open =
        model.is_some_and(|m| m.partners.is_empty() || m.partners.contains(&incoming.partner));
    if !open {
        let message = "the model is not open to the partner";
        return Err(Failure::not_run(Code::Forbidden, message));
    }
    let cost_tokens = max_tokens + incoming.body.len() as u64 / BYTES_PER_TOKEN;
    let order = Order {
        pool: PoolKey::Target(target.clone()),
        partner: incoming.partner.clone(),
        priority: incoming.priority,
        cost_tokens,
        deadline_ms: incoming.deadline_ms,
    };
    let generation = Generation {
        request_id: incoming.request_id.clone(),
        target,
        input,
        max_tokens,
        order,
        parent: incoming.span,
    };
    Ok((completion, generation))
}

/// Streams the tokens; the head is sent with the first token, so a refusal has a status of its own.
fn stream(
    ctx: &Context,
    request: Request,
    generation: &Generation,
    frame: &Frame<'_>,
) -> Result<(), Failure> {
    let mut unopened = Some(request);
    let mut opened: Option<EventStream> = None;
    let result = generation::run(ctx, generation, |event| {
        if let Some(request) = unopened.take() {
            let stream = EventStream::open(request, &generation.request_id);
            opened = Some(stream.map_err(|_| CallerGone)?);
        }
        let Some(stream) = &mut opened else { return Err(CallerGone) };
        let chunk = frame.chunk(&event.text, event.finish_reason.as_deref());
        stream.event(&chunk).map_err(|_| CallerGone)
    });
    // From here on errors of the connection mean that the caller has left.
    match (&result, unopened, opened) {
        (Ok(End::Whole { .. }), _, Some(mut stream)) => {
            let _ = stream.event("[DONE]").and_then(|()| stream.close());
        }
        (Err(failure), Some(request), _) => {
            let _ = reply::error(request, failure, &generation.request_id);
        }
        (Err(failure), None, Some(mut stream)) => {
            let text = reply::error_text(failure, &generation.request_id);
            let _ = stream.event(&text).and_then(|()| stream.close());
        }
        _ => {}
    }
    result.map(|_| ())
}

fn whole(
    ctx: &Context,
    request: Request,
    generation: &Generation,
    frame: &Frame<'_>,
) -> Result<(), Failure> {
    let mut text = String::new();
    let mut finish_reason = String::new();
    let result = generation::run(ctx, generation, |event| {
        text.push_str(&event.text);
        finish_reason = event.finish_reason.clone().unwrap_or_default();
        Ok(())
    });
    // From here on errors of the connection mean that the caller has left.
    match &result {
        Ok(End::Whole { tokens }) => {
            let body = frame.whole(&text, &finish_reason, *tokens).into_bytes();
            let headers = [
                ("content-type".to_owned(), "application/json".to_owned()),
                ("x-request-id".to_owned(), generation.request_id.clone()),
            ];
            let _ = reply::whole(request, 200, &headers, body);
        }
        Ok(End::CallerGone) => {}
        Err(failure) => {
            let _ = reply::error(request, failure, &generation.request_id);
        }
    }
    result.map(|_| ())
}
