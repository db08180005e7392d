//! Exports finished spans over OTLP (JSON over HTTP) on a dedicated thread, without an async runtime.
//!
//! The queue of spans is bounded, and a batch that the collector does not accept is dropped and
//! counted, so an unreachable collector uses no extra memory and delays no request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use flume::Receiver;
use log::warn;
use opentelemetry::InstrumentationScope;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanContext as OtelContext;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceId;
use opentelemetry::trace::TraceState;
use opentelemetry_http::Bytes;
use opentelemetry_http::HttpClient;
use opentelemetry_http::HttpError;
use opentelemetry_http::Request;
use opentelemetry_http::Response;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanEvents;
use opentelemetry_sdk::trace::SpanExporter as _;
use opentelemetry_sdk::trace::SpanLinks;

use crate::batch;
use crate::batch::BatchLimits;
use crate::context::Context;
use crate::outbound;
use crate::telemetry::events;
use crate::telemetry::trace::FinishedSpan;

/// How spans are batched for one call to the collector.
const BATCH_LIMITS: BatchLimits = BatchLimits {
    first_item_timeout: Duration::from_millis(500),
    window: Duration::from_millis(500),
    max_items: 512,
};
/// Timeout for connecting to the collector.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a complete call to the collector.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Delay after a failed call, in ms.
const RETRY_DELAY_MS: u64 = 1000;
/// Path at which the collector accepts spans.
const TRACES_PATH: &str = "/v1/traces";

/// HTTP client of the exporter, based on the same HTTP library as all other outgoing calls.
#[derive(Clone, Copy, Debug)]
struct CollectorClient;

#[async_trait::async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let mut call = outbound::post(request.uri().to_string())
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        for (name, value) in request.headers() {
            call = call.try_header(name.clone(), value.clone())?;
        }
        let response = call.bytes(request.into_body()).send()?;
        let status = response.status().as_u16();
        let body = response.bytes()?;
        Ok(Response::builder().status(status).body(Bytes::from(body))?)
    }
}

/// Exports `spans` to the collector at `addr` until the instance stops and the queue is empty.
pub fn run(ctx: &Context, addr: SocketAddr, spans: &Receiver<FinishedSpan>) {
    let exporter = match build_exporter(ctx, addr) {
        Ok(exporter) => exporter,
        Err(error) => {
            let detail = format!("collector={addr} {error}");
            warn!("{}", events::TRACES_UNREACHABLE.text(&ctx.own.instance_id, &detail));
            return;
        }
    };
    let mut reachable = true;
    while !ctx.is_stopped() || !spans.is_empty() {
        let batch = batch::receive_batch(spans, BATCH_LIMITS);
        if batch.is_empty() {
            continue;
        }
        let count = batch.len() as u64;
        let batch = batch.into_iter().map(to_span_data).collect();
        match futures_executor::block_on(exporter.export(batch)) {
            Ok(()) => {
                reachable = true;
                ctx.metrics.spans_exported_total.inc_by(count);
            }
            Err(error) => {
                ctx.metrics.spans_dropped_total.inc_by(count);
                if reachable {
                    let detail = format!("collector={addr} {error}");
                    warn!("{}", events::TRACES_UNREACHABLE.text(&ctx.own.instance_id, &detail));
                }
                reachable = false;
                if ctx.is_stopped() {
                    return;
                }
                ctx.pause_ms(RETRY_DELAY_MS);
            }
        }
    }
}

fn build_exporter(
    ctx: &Context,
    addr: SocketAddr,
) -> Result<SpanExporter, opentelemetry_otlp::ExporterBuildError> {
    let mut exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpJson)
        .with_http_client(CollectorClient)
        .with_endpoint(format!("http://{addr}{TRACES_PATH}"))
        .with_timeout(CALL_TIMEOUT)
        .build()?;
    let resource = Resource::builder_empty()
        .with_service_name("lovageridge")
        .with_attributes([
            KeyValue::new("service.instance.id", ctx.own.instance_id.clone()),
            KeyValue::new("lovageridge.failure_domain", ctx.own.domain.clone()),
        ])
        .build();
    exporter.set_resource(&resource);
    Ok(exporter)
}

fn to_span_data(span: FinishedSpan) -> SpanData {
    let context = OtelContext::new(
        TraceId::from(span.context.trace_id),
        SpanId::from(span.context.span_id),
        TraceFlags::SAMPLED,
        false,
        TraceState::default(),
    );
    let attributes = span.attributes.into_iter().map(|(key, value)| KeyValue::new(key, value));
    SpanData {
        span_context: context,
        parent_span_id: SpanId::from(span.parent_id),
        parent_span_is_remote: false,
        span_kind: SpanKind::Internal,
        name: span.name.into(),
        start_time: system_time(span.start_unix_ms),
        end_time: system_time(span.end_unix_ms),
        attributes: attributes.collect(),
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::builder("lovageridge").build(),
    }
}

fn system_time(unix_ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms)
}
