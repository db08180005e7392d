//! Parser of the operator's configuration as stored in the platform's store.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;

use crate::gateway::accounts::Account;
use crate::gateway::accounts::Accounts;
use crate::gateway::accounts::Allotment;
use crate::gateway::accounts::AllotmentUnit;
use crate::gateway::accounts::KeyDigest;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::Engine;
use crate::gateway::catalog::Limits;
use crate::gateway::catalog::Model;
use crate::gateway::catalog::Route;
use crate::gateway::catalog::RouteKind;
use crate::gateway::catalog::Service;
use crate::platform::Error;

pub mod draft;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ConfigJson {
    version: u64,
    routes: Vec<RouteJson>,
    services: Vec<ServiceJson>,
    #[serde(default)]
    limits: LimitsJson,
    #[serde(default)]
    tenants: Vec<AccountJson>,
}

/// Unit of limits that count tokens; others count requests.
const TOKEN_UNIT: &str = "token_stream";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct AccountJson {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default, deserialize_with = "whole")]
    priority: u32,
    #[serde(default)]
    unit: String,
    #[serde(default)]
    plain_tokens: f64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
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
    #[serde(default, deserialize_with = "whole")]
    priority: u32,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitJson>,
    #[serde(default = "default_max_attempts", deserialize_with = "whole")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
}

fn default_max_attempts() -> u32 {
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
    #[serde(default, deserialize_with = "whole")]
    max_conns: u32,
    #[serde(default)]
    health_path: Option<String>,
    #[serde(default)]
    engine: Option<EngineJson>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EngineJson {
    #[serde(default, deserialize_with = "whole")]
    slots: u32,
    models: Vec<ModelJson>,
    // Memory of one worker for weights and adapters together, unlike the field of a model.
    weights_mb: f64,
    #[serde(default, deserialize_with = "whole")]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ModelJson {
    name: String,
    // Size of the model's weights.
    weights_mb: f64,
    load_s: f64,
    #[serde(default)]
    warm_s: Option<f64>,
    #[serde(default)]
    disk_s: Option<f64>,
    // Number of adapters; in reports and worker records the field of this name lists them.
    #[serde(default, deserialize_with = "whole")]
    adapters: u32,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct LimitsJson {
    max_header_bytes: Option<f64>,
    max_body_bytes: Option<f64>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Deserializes a number that may have a fraction, which is cut off.
pub(super) fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let value = f64::deserialize(deserializer)?;
    if (0.0..=f64::from(u32::MAX)).contains(&value) {
        Ok(value as u32)
    } else {
        Err(D::Error::custom(format!("{value} is not a number from 0 to {}", u32::MAX)))
    }
}

/// Parses a configuration.
///
/// # Errors
/// Returns an error if the JSON is malformed or a route names no service.
pub fn parse(bytes: &[u8]) -> Result<Catalog, Error> {
    let json: ConfigJson = serde_json::from_slice(bytes)?;
    let routes = json.routes.into_iter().map(route).collect::<Result<Vec<_>, _>>()?;
    let services = json.services.into_iter().map(service).collect();
    let limits = limits(&json.limits);
    let mut accounts = Accounts::default();
    for tenant in &json.tenants {
        accounts.add(account(tenant), tenant.api_keys.iter().map(|key| KeyDigest::of(key)));
    }
    Ok(Catalog::new(json.version, routes, services, limits).with_accounts(accounts))
}

fn account(json: &AccountJson) -> Account {
    let unit = match json.unit.as_str() {
        TOKEN_UNIT => AllotmentUnit::Tokens { plain_request: json.plain_tokens as u64 },
        _ => AllotmentUnit::Requests,
    };
    let allotment =
        Allotment { unit, rate_per_s: json.rate_per_s as u64, burst: json.burst as u64 };
    let is_limited = allotment.rate_per_s > 0;
    Account {
        name: json.name.clone(),
        rank: json.priority,
        allotment: is_limited.then_some(allotment),
    }
}

fn route(json: RouteJson) -> Result<Route, Error> {
    let kind = match json.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "streaming" => RouteKind::Stream { resumable: json.resumable },
        // Requests on a route of an unknown type must not be retried.
        _ => RouteKind::Once,
    };
    let mut targets: Vec<(String, f64)> =
        json.traffic_split.into_iter().map(|split| (split.service, split.weight)).collect();
    if targets.is_empty() {
        let service =
            json.service.ok_or_else(|| Error::field("Service", "the route names no service"))?;
        targets.push((service, 1.0));
    }
    Ok(Route {
        name: json.name,
        host: json.host,
        path_prefix: json.path_prefix,
        kind,
        timeout_ms: json.timeout_ms as u64,
        objective_ms: json.target_latency_ms as u64,
        gap_objective_ms: json.target_gap_ms as u64,
        rank: json.priority,
        max_workers: json.max_attempts.max(1),
        targets,
        is_public: json.public,
    })
}

fn service(json: ServiceJson) -> (String, Service) {
    let engine = json.engine.map(|engine| Engine {
        slots: engine.slots,
        memory_mb: engine.weights_mb as u64,
        adapter_slots: engine.adapter_slots as usize,
        store_loads_per_s: engine.loads_per_s,
        models: engine.models.into_iter().map(model).collect(),
    });
    let service =
        Service { max_connections: json.max_conns, health_path: json.health_path, engine };
    (json.name, service)
}

fn model(json: ModelJson) -> (String, Model) {
    let ms = |seconds: f64| (seconds * 1000.0) as u64;
    let store_ms = ms(json.load_s);
    let model = Model {
        size_mb: json.weights_mb.ceil() as u64,
        adapter_count: json.adapters,
        adapter_mb: json.adapter_mb.ceil() as u64,
        memory_load_ms: json.warm_s.map_or(store_ms, ms),
        disk_load_ms: json.disk_s.map_or(store_ms, ms),
        store_load_ms: store_ms,
    };
    (json.name, model)
}

fn limits(json: &LimitsJson) -> Limits {
    let default = Limits::default();
    Limits {
        max_header_bytes: json
            .max_header_bytes
            .map_or(default.max_header_bytes, |bytes| bytes as usize),
        max_body_bytes: json.max_body_bytes.map_or(default.max_body_bytes, |bytes| bytes as usize),
        header_timeout_ms: json.header_timeout_ms.map_or(default.header_timeout_ms, |ms| ms as u64),
        idle_timeout_ms: json.idle_timeout_ms.map_or(default.idle_timeout_ms, |ms| ms as u64),
    }
}
