//! HTTP server of the administration port, built on `rouille`.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;

use crate::admin::api::AdminError;
use crate::admin::api::EditRequest;
use crate::admin::edits;
use crate::admin::explain;
use crate::admin::status;
use crate::callers::auth;
use crate::callers::server::CallersPort;
use crate::context::Context;
use crate::telemetry::events;

/// Longest wait for a request before the server checks whether the instance is stopping.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Team name recorded with the first edit, when the document has no teams yet.
const INITIAL_TEAM: &str = "founder";

/// Opens the administration port.
///
/// # Errors
/// Returns why the port cannot be opened.
pub fn listen(
    port: &Arc<CallersPort>,
    addr: SocketAddr,
) -> Result<Server<impl Fn(&Request) -> Response + Send + Sync + 'static>, String> {
    let port = Arc::clone(port);
    Server::new(addr, move |request| handle(&port.ctx, request)).map_err(|e| e.to_string())
}

/// Serves the port until the instance stops.
pub fn run<F>(ctx: &Context, server: &Server<F>)
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    while !ctx.is_stopped() {
        server.poll_timeout(POLL_TIMEOUT);
    }
}

fn handle(ctx: &Context, request: &Request) -> Response {
    let response = route(ctx, request);
    let status = response.status_code.to_string();
    ctx.metrics.admin_calls_total.with_label_values(&[&status]).inc();
    if matches!(response.status_code, 400..=499) {
        let detail = format!("{} {} status={status}", request.method(), request.raw_url());
        warn!("{}", events::ADMIN_REFUSED.text(&ctx.own.instance_id, &detail));
    }
    response
}

fn route(ctx: &Context, request: &Request) -> Response {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("GET", "/livez") => Response::text("ok\n"),
        ("GET", "/readyz") => readyz(ctx),
        ("GET", "/metrics") => Response::text(ctx.metrics.render()),
        _ => match authenticate(ctx, request) {
            Ok(team) => route_authenticated(ctx, request, &path, &team),
            Err(response) => response,
        },
    }
}

fn readyz(ctx: &Context) -> Response {
    if status::is_ready(ctx) {
        return Response::text("ready\n");
    }
    Response::text("not ready\n").with_status_code(503)
}

/// Returns the team whose token the request carries.
///
/// Before the first accepted edit there are no teams, so any request is allowed; that edit creates
/// the teams.
fn authenticate(ctx: &Context, request: &Request) -> Result<String, Response> {
    let config = ctx.config.current();
    if config.version == 0 {
        return Ok(INITIAL_TEAM.to_owned());
    }
    let token =
        request.header("authorization").and_then(auth::bearer_credential).unwrap_or_default();
    match auth::find_team(&config, token) {
        Some((name, _)) => Ok(name.to_owned()),
        None => Err(error(401, "unauthorized", "the token is missing or unknown")),
    }
}

fn route_authenticated(ctx: &Context, request: &Request, path: &str, team: &str) -> Response {
    let prefix = request.get_param("prefix").unwrap_or_default();
    match (request.method(), path) {
        ("GET", "/v1/sections") => json(200, &edits::sections(ctx, &prefix)),
        ("GET", "/v1/history") => match edits::history(ctx, &prefix) {
            Ok(history) => json(200, &history),
            Err(e) => error(503, "log_unavailable", &e.to_string()),
        },
        ("POST", "/v1/edits") => post_edit(ctx, request, team),
        ("GET", "/v1/status") => json(200, &status::collect(ctx)),
        ("GET", "/v1/spans") => recent_spans(ctx),
        ("POST", "/v1/drain") => drain(ctx, team),
        ("GET", _) => match (path.strip_prefix("/v1/sections/"), path.strip_prefix("/v1/explain/"))
        {
            (Some(name), _) => get_section(ctx, name),
            (_, Some(name)) => json(200, &explain::model(ctx, name)),
            _ => error(404, "not_found", "there is nothing at this path"),
        },
        _ => error(404, "not_found", "there is nothing at this path"),
    }
}

fn get_section(ctx: &Context, name: &str) -> Response {
    match edits::section(ctx, name) {
        Some(section) => json(200, &section),
        None => error(404, "not_found", "there is no such section"),
    }
}

fn post_edit(ctx: &Context, request: &Request, team: &str) -> Response {
    let Some(body) = request.data() else {
        return error(400, "bad_request", "the body is missing");
    };
    let mut bytes = Vec::new();
    if body.take(BODY_MAX_BYTES + 1).read_to_end(&mut bytes).is_err() {
        return error(400, "bad_request", "the body broke off");
    }
    if bytes.len() as u64 > BODY_MAX_BYTES {
        return error(413, "too_large", &format!("the body exceeds {BODY_MAX_BYTES} bytes"));
    }
    let edit: EditRequest = match serde_json::from_slice(&bytes) {
        Ok(edit) => edit,
        Err(e) => return error(400, "bad_request", &e.to_string()),
    };
    if let Err(message) = edits::check_limits(&edit) {
        return error(400, "bad_request", &message);
    }
    let reply = edits::submit(ctx, team, edit);
    json(reply.status(), &reply)
}

/// Makes the instance report that it is not ready; it serves requests until the process ends.
fn drain(ctx: &Context, team: &str) -> Response {
    let config = ctx.config.current();
    let owns_all = config.teams.get(team).is_some_and(|t| t.sections.iter().any(|s| s == "*"));
    if !owns_all {
        return error(403, "forbidden", "only a team that owns all sections may drain");
    }
    ctx.start_leaving();
    json(200, &serde_json::json!({ "leaving": true }))
}

fn recent_spans(ctx: &Context) -> Response {
    let spans: Vec<serde_json::Value> = ctx
        .tracer
        .recent()
        .iter()
        .map(|s| {
            serde_json::json!({
                "trace_id": format!("{:032x}", s.context.trace_id),
                "span_id": format!("{:016x}", s.context.span_id),
                "parent_id": format!("{:016x}", s.parent_id),
                "name": s.name,
                "start_unix_ms": s.start_unix_ms,
                "end_unix_ms": s.end_unix_ms,
                "attributes": s.attributes,
            })
        })
        .collect();
    json(200, &spans)
}

fn json(status: u16, value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).unwrap_or_default();
    Response::from_data("application/json", text).with_status_code(status)
}

fn error(status: u16, code: &str, message: &str) -> Response {
    json(status, &AdminError { code: code.to_owned(), message: message.to_owned() })
}
