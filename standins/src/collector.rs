//! Stand-in for a trace collector: takes spans as OTLP in JSON and keeps what it was sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use lovageridge::context::lock;
use serde_json::Value;
use serde_json::json;
use tiny_http::Request;

use crate::http;
use crate::http::HttpServer;

/// Path that takes spans.
const TRACES_PATH: &str = "/v1/traces";

/// A span as the collector was sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpanRow {
    /// Trace, in hexadecimal digits.
    pub trace_id: String,
    /// The span, in hexadecimal digits.
    pub span_id: String,
    /// Span that this one is part of; empty for none.
    pub parent_id: String,
    /// Name of the hop.
    pub name: String,
    /// Instance that sent it.
    pub instance_id: String,
}

#[derive(Debug, Default)]
struct State {
    spans: Vec<SpanRow>,
    refuse: bool,
}

/// A running collector.
pub struct Collector {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Collector {
    /// Starts a collector.
    ///
    /// # Errors
    /// Returns why its port cannot be had.
    pub fn start() -> Result<Self, anyhow::Error> {
        let state: Arc<Mutex<State>> = Arc::default();
        let for_handler = Arc::clone(&state);
        let server = HttpServer::start(move |request| handle(&for_handler, request))?;
        Ok(Self { server, state })
    }

    /// Returns the address of the collector.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Makes the collector refuse spans, or take them again.
    pub fn set_refuse(&self, refuse: bool) {
        lock(&self.state).refuse = refuse;
    }

    /// Returns the spans taken so far.
    pub fn spans(&self) -> Vec<SpanRow> {
        lock(&self.state).spans.clone()
    }

    /// Stops the collector.
    pub fn close(self) {
        self.server.close();
    }
}

fn handle(state: &Mutex<State>, mut request: Request) {
    if http::path(&request) != TRACES_PATH {
        return http::json(request, 404, &json!({ "error": "no such path" }));
    }
    if lock(state).refuse {
        return http::json(request, 503, &json!({ "error": "outage" }));
    }
    let text = http::body_text(&mut request);
    let Ok(value) = serde_json::from_str::<Value>(&text) else {
        return http::json(request, 400, &json!({ "error": "malformed spans" }));
    };
    lock(state).spans.extend(rows(&value));
    http::json(request, 200, &json!({}));
}

fn items<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value[key].as_array().into_iter().flatten()
}

fn rows(value: &Value) -> Vec<SpanRow> {
    let mut rows = Vec::new();
    for resource in items(value, "resourceSpans") {
        let mut attributes = items(&resource["resource"], "attributes");
        let instance = attributes.find(|a| a["key"] == "service.instance.id");
        let instance_id = instance.map(|a| text(&a["value"]["stringValue"])).unwrap_or_default();
        for span in items(resource, "scopeSpans").flat_map(|scope| items(scope, "spans")) {
            rows.push(SpanRow {
                trace_id: text(&span["traceId"]),
                span_id: text(&span["spanId"]),
                parent_id: text(&span["parentSpanId"]),
                name: text(&span["name"]),
                instance_id: instance_id.clone(),
            });
        }
    }
    rows
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
