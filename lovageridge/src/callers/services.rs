//! Plain services on the callers' port: method, path, headers and body are forwarded.

use tiny_http::Request;

use crate::attempts::grant::DispatchParams;
use crate::attempts::outcome::Failure;
use crate::attempts::plain;
use crate::attempts::plain::PlainCall;
use crate::callers::reply;
use crate::callers::server::CallersPort;
use crate::callers::server::IncomingRequest;
use crate::callers::server::header_value;
use crate::dispatch::core::PoolKey;
use crate::upstream::service::PlainRequest;

/// Headers that apply to one connection only or that this system sets; sorted for binary search.
const NOT_FORWARDED: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "server",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Serves a request to the plain service `service`.
///
/// # Errors
/// Returns the failure that was sent to the caller, for the metric of outcomes.
pub fn handle(
    port: &CallersPort,
    request: Request,
    incoming: IncomingRequest,
    service: &str,
) -> Result<(), Failure> {
    let method = request.method().to_string();
    let path_and_query = request.url().to_owned();
    let headers = forwarded_headers(&request);
    let methods = incoming.config.services.get(service).map(|s| &s.idempotent_methods);
    let call = PlainCall {
        request_id: incoming.request_id.clone(),
        service: service.to_owned(),
        idempotent: methods.is_some_and(|m| m.contains(&method)),
        idempotency_key: header_value(&request, "idempotency-key").map(str::to_owned),
        request: PlainRequest {
            method: &method,
            path_and_query: &path_and_query,
            headers: &headers,
            body: &incoming.body,
        },
        dispatch: DispatchParams {
            pool: PoolKey::Plain(service.to_owned()),
            partner: incoming.partner.clone(),
            priority: incoming.priority,
            cost_tokens: 1,
            deadline_ms: incoming.deadline_ms,
        },
        parent_span: incoming.span,
    };
    let result = plain::run(&port.ctx, &port.claims, &call);
    // Connection errors from here on mean that the caller has disconnected.
    match result {
        Ok(response) => {
            let mut headers: Vec<(String, String)> =
                response.headers.into_iter().filter(|(name, _)| is_forwarded(name)).collect();
            headers.push(("x-request-id".to_owned(), incoming.request_id));
            let _ = reply::complete(request, response.status_code, &headers, response.body);
            Ok(())
        }
        Err(failure) => {
            let _ = reply::error(request, &failure, &incoming.request_id);
            Err(failure)
        }
    }
}

fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    request
        .headers()
        .iter()
        .map(|h| (h.field.as_str().as_str().to_ascii_lowercase(), h.value.as_str().to_owned()))
        .filter(|(name, _)| is_forwarded(name))
        .collect()
}

fn is_forwarded(name: &str) -> bool {
    NOT_FORWARDED.binary_search(&name).is_err()
}
