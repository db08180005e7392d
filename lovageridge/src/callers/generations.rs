//! Completions on the callers' port, streamed or as one response.

use tiny_http::Request;

use crate::attempts::generation;
use crate::attempts::generation::CallerDisconnected;
use crate::attempts::generation::Generation;
use crate::attempts::generation::GenerationEnd;
use crate::attempts::grant::DispatchParams;
use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::callers::openai::CompletionKind;
use crate::callers::openai::CompletionRenderer;
use crate::callers::openai::CompletionRequest;
use crate::callers::openai::MAX_TOKENS_LIMIT;
use crate::callers::reply;
use crate::callers::reply::EventStream;
use crate::callers::server::CallersPort;
use crate::callers::server::IncomingRequest;
use crate::clock::unix_ms;
use crate::context::Context;
use crate::dispatch::core::PoolKey;

/// Bytes of a request body that count as one token in the cost estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// Serves a completion.
///
/// # Errors
/// Returns the failure that was sent to the caller, for the metric of outcomes.
pub fn handle(
    port: &CallersPort,
    request: Request,
    incoming: IncomingRequest,
    kind: CompletionKind,
) -> Result<(), Failure> {
    let parsed = parse_request(&incoming, kind);
    let (completion, generation) = match parsed {
        Ok(parsed) => parsed,
        Err(failure) => {
            if failure.code == Code::BadRequest {
                port.ctx.metrics.malformed_total.inc();
            }
            // The caller may have disconnected.
            let _ = reply::error(request, &failure, &incoming.request_id);
            return Err(failure);
        }
    };
    let renderer = CompletionRenderer {
        kind,
        id: &generation.request_id,
        model: &completion.model,
        created_s: unix_ms() / 1000,
    };
    if completion.stream {
        respond_streaming(&port.ctx, request, &generation, &renderer)
    } else {
        respond_complete(&port.ctx, request, &generation, &renderer)
    }
}

fn parse_request(
    incoming: &IncomingRequest,
    kind: CompletionKind,
) -> Result<(CompletionRequest, Generation), Failure> {
    let bad_request = |message: String| Failure::not_run(Code::BadRequest, message);
    let completion: CompletionRequest =
        serde_json::from_slice(&incoming.body).map_err(|e| bad_request(e.to_string()))?;
    let input = completion.input(kind).map_err(|e| bad_request(e.to_owned()))?;
    let max_tokens = completion.max_tokens();
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        return Err(bad_request(format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")));
    }
    let Some(target) = incoming.config.target(&completion.model) else {
        let message = format!("there is no model or adapter '{}'", completion.model);
        return Err(Failure::not_run(Code::NotFound, message));
    };
    let model = incoming.config.models.get(&target.model);
    let is_allowed =
        model.is_some_and(|m| m.partners.is_empty() || m.partners.contains(&incoming.partner));
    if !is_allowed {
        let message = "the model is not open to the partner";
        return Err(Failure::not_run(Code::Forbidden, message));
    }
    let cost_tokens = max_tokens + incoming.body.len() as u64 / BYTES_PER_TOKEN;
    let dispatch = DispatchParams {
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
        dispatch,
        parent_span: incoming.span,
    };
    Ok((completion, generation))
}

/// Streams the tokens.
///
/// The response headers are sent with the first token, so that a refusal can have its own status.
fn respond_streaming(
    ctx: &Context,
    request: Request,
    generation: &Generation,
    renderer: &CompletionRenderer<'_>,
) -> Result<(), Failure> {
    let mut pending_request = Some(request);
    let mut event_stream: Option<EventStream> = None;
    let result = generation::run(ctx, generation, |event| {
        if let Some(request) = pending_request.take() {
            let stream = EventStream::open(request, &generation.request_id);
            event_stream = Some(stream.map_err(|_| CallerDisconnected)?);
        }
        let Some(stream) = &mut event_stream else { return Err(CallerDisconnected) };
        let chunk = renderer.render_chunk(&event.text, event.finish_reason.as_deref());
        stream.send_event(&chunk).map_err(|_| CallerDisconnected)
    });
    // Connection errors from here on mean that the caller has disconnected.
    match (&result, pending_request, event_stream) {
        (Ok(GenerationEnd::Complete { .. }), _, Some(mut stream)) => {
            let _ = stream.send_event("[DONE]").and_then(|()| stream.close());
        }
        (Err(failure), Some(request), _) => {
            let _ = reply::error(request, failure, &generation.request_id);
        }
        (Err(failure), None, Some(mut stream)) => {
            let text = reply::error_json(failure, &generation.request_id);
            let _ = stream.send_event(&text).and_then(|()| stream.close());
        }
        _ => {}
    }
    result.map(|_| ())
}

fn respond_complete(
    ctx: &Context,
    request: Request,
    generation: &Generation,
    renderer: &CompletionRenderer<'_>,
) -> Result<(), Failure> {
    let mut text = String::new();
    let mut finish_reason = String::new();
    let result = generation::run(ctx, generation, |event| {
        text.push_str(&event.text);
        finish_reason = event.finish_reason.clone().unwrap_or_default();
        Ok(())
    });
    // Connection errors from here on mean that the caller has disconnected.
    match &result {
        Ok(GenerationEnd::Complete { tokens }) => {
            let body = renderer.render_complete(&text, &finish_reason, *tokens).into_bytes();
            let headers = [
                ("content-type".to_owned(), "application/json".to_owned()),
                ("x-request-id".to_owned(), generation.request_id.clone()),
            ];
            let _ = reply::complete(request, 200, &headers, body);
        }
        Ok(GenerationEnd::CallerDisconnected) => {}
        Err(failure) => {
            let _ = reply::error(request, failure, &generation.request_id);
        }
    }
    result.map(|_| ())
}
