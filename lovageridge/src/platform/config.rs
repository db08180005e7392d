//! The operator's configuration as it lies in the platform's store.

use serde::Deserialize;

use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Engine;
use crate::gateway::catalog::Limits;
use crate::gateway::catalog::Model;
use crate::gateway::catalog::Route;
use crate::gateway::catalog::RouteKind;
use crate::gateway::catalog::Service;
use crate::platform::Error;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ConfigJson {
    version: u64,
    routes: Vec<RouteJson>,
    services: Vec<ServiceJson>,
    #[serde(default)]
    limits: LimitsJson,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteJson {
    name: String,
    host: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    target_gap_ms: f64,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitJson>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SplitJson {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceJson {
    name: String,
    #[serde(default)]
    max_conns: u32,
    #[serde(default)]
    engine: Option<EngineJson>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EngineJson {
    #[serde(default)]
    slots: u32,
    models: Vec<ModelJson>,
    // Memory of one worker for weights and adapters together.
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ModelJson {
    name: String,
    // Size of this model's weights.
    weights_mb: f64,
    load_s: f64,
    #[serde(default)]
    warm_s: Option<f64>,
    #[serde(default)]
    disk_s: Option<f64>,
    // In a model of the configuration this counts its adapters.
    #[serde(default)]
    adapters: u32,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct LimitsJson {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Reads a configuration.
///
/// # Errors
/// Returns what part of the text is malformed, or which field has no usable value.
pub fn parse(bytes: &[u8]) -> Result<Catalog, Error> {
    let text: ConfigJson = serde_json::from_slice(bytes)?;
    let routes = text.routes.into_iter().map(route).collect::<Result<Vec<_>, _>>()?;
    let services = text.services.into_iter().map(service).collect();
    let limits = limits(&text.limits);
    Ok(Catalog::new(text.version, routes, services, limits))
}

fn route(text: RouteJson) -> Result<Route, Error> {
    let kind = match text.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "streaming" => RouteKind::Stream { resumable: text.resumable },
        // A kind that is not known here must not be repeated.
        _ => RouteKind::Once,
    };
    let mut targets: Vec<(String, f64)> =
        text.traffic_split.into_iter().map(|split| (split.service, split.weight)).collect();
    if targets.is_empty() {
        let service =
            text.service.ok_or_else(|| Error::field("Service", "the route names no service"))?;
        targets.push((service, 1.0));
    }
    Ok(Route {
        name: text.name,
        host: text.host,
        path_prefix: text.path_prefix,
        kind,
        timeout_ms: text.timeout_ms as u64,
        objective_ms: text.target_latency_ms as u64,
        gap_objective_ms: text.target_gap_ms as u64,
        rank: text.priority,
        max_workers: text.max_attempts.max(1),
        targets,
    })
}

fn service(text: ServiceJson) -> (String, Service) {
    let engine = text.engine.map(|engine| Engine {
        slots: engine.slots,
        memory_mb: engine.weights_mb as u64,
        adapter_slots: engine.adapter_slots as usize,
        store_loads_per_s: engine.loads_per_s,
        models: engine.models.into_iter().map(model).collect(),
    });
    (text.name, Service { max_connections: text.max_conns, engine })
}

fn model(text: ModelJson) -> (String, Model) {
    let ms = |seconds: f64| (seconds * 1000.0) as u64;
    let store_ms = ms(text.load_s);
    let model = Model {
        size_mb: text.weights_mb.ceil() as u64,
        adapter_count: text.adapters,
        adapter_mb: text.adapter_mb.ceil() as u64,
        memory_load_ms: text.warm_s.map_or(store_ms, ms),
        disk_load_ms: text.disk_s.map_or(store_ms, ms),
        store_load_ms: store_ms,
    };
    (text.name, model)
}

fn limits(text: &LimitsJson) -> Limits {
    let default = Limits::default();
    Limits {
        max_header_bytes: text.max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: text.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout_ms: text.header_timeout_ms.unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: text.idle_timeout_ms.unwrap_or(default.idle_timeout_ms),
    }
}
