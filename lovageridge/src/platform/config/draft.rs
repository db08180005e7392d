//! Reader of a configuration that may have faults, with the location of each value.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::gateway::accounts::KeyDigest;
use crate::gateway::draft::Draft;
use crate::gateway::draft::DraftAccount;
use crate::gateway::draft::DraftEntry;
use crate::gateway::draft::DraftRoute;
use crate::gateway::draft::DraftService;
use crate::gateway::draft::Finding;
use crate::gateway::draft::Stated;
use crate::gateway::draft::differences::ACCOUNT_KIND;
use crate::platform::config;
use crate::platform::config::AccountJson;
use crate::platform::config::LimitsJson;
use crate::platform::config::RouteJson;
use crate::platform::config::ServiceJson;
use crate::platform::config::TOKEN_UNIT;
use crate::sorted::Table;

/// Location of the whole document.
const ROOT: &str = "$";
/// Field of accounts whose value must not be shown.
const KEYS_FIELD: &str = "ApiKeys";
/// Types of routes.
const ROUTE_TYPES: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

/// Reads what can be read of a configuration, and the errors of what cannot.
pub fn read(bytes: &[u8]) -> (Draft, Vec<Finding>) {
    let mut findings = Vec::new();
    let document: Value = match serde_json::from_slice(bytes) {
        Ok(document) => document,
        Err(error) => return (Draft::default(), vec![Finding::error(ROOT, error.to_string())]),
    };
    let version_path = format!("{ROOT}.Version");
    let version = document.get("Version").and_then(Value::as_u64);
    if version.is_none() {
        findings.push(Finding::error(&version_path, "is not a whole number of 0 or more"));
    }
    let routes: Vec<Entry<'_, RouteJson>> = entries(&document, "Routes", true, &mut findings);
    let services: Vec<Entry<'_, ServiceJson>> = entries(&document, "Services", true, &mut findings);
    let accounts: Vec<Entry<'_, AccountJson>> = entries(&document, "Tenants", false, &mut findings);
    let limits = limits(&document, &mut findings);
    let named =
        |kind, name: &str, value| DraftEntry { kind, name: name.to_owned(), fields: fields(value) };
    let mut all: Vec<DraftEntry> = Vec::new();
    all.extend(routes.iter().map(|entry| named("route", &entry.json.name, entry.value)));
    all.extend(services.iter().map(|entry| named("service", &entry.json.name, entry.value)));
    all.extend(accounts.iter().map(|entry| named(ACCOUNT_KIND, &entry.json.name, entry.value)));
    all.extend(document.get("Limits").map(|value| named("limits", "", value)));
    let draft = Draft {
        version: Stated::new(version_path, version.unwrap_or(0)),
        routes: routes.into_iter().map(|entry| route(entry, &mut findings)).collect(),
        services: services.into_iter().map(service).collect(),
        accounts: accounts.into_iter().map(account).collect(),
        max_header_bytes: Stated::new(
            format!("{ROOT}.Limits.MaxHeaderBytes"),
            limits.max_header_bytes,
        ),
        entries: all,
    };
    // Whatever an instance would not take is an error, even if its location is not known.
    if findings.is_empty() && config::parse(bytes).is_err() {
        findings.push(Finding::error(ROOT, "instances cannot read the configuration"));
    }
    (draft, findings)
}

/// An entry of a list in the document.
struct Entry<'a, T> {
    path: String,
    json: T,
    value: &'a Value,
}

fn entries<'a, T: DeserializeOwned>(
    document: &'a Value,
    list: &str,
    is_required: bool,
    findings: &mut Vec<Finding>,
) -> Vec<Entry<'a, T>> {
    let path = format!("{ROOT}.{list}");
    let items = match document.get(list) {
        Some(Value::Array(items)) => items,
        None if !is_required => return Vec::new(),
        found => {
            let text = if found.is_some() { "is not a list" } else { "is missing" };
            findings.push(Finding::error(&path, text));
            return Vec::new();
        }
    };
    let mut entries = Vec::new();
    for (index, value) in items.iter().enumerate() {
        let path = format!("{path}[{index}]");
        match T::deserialize(value) {
            Ok(json) => entries.push(Entry { path, json, value }),
            Err(error) => findings.push(locate::<T>(&path, value, &error)),
        }
    }
    entries
}

/// Returns the finding for an entry that cannot be read. The text never repeats a value, which may be a key.
fn locate<T: DeserializeOwned>(path: &str, value: &Value, error: &serde_json::Error) -> Finding {
    let Value::Object(fields) = value else {
        return Finding::error(path, "is not an object");
    };
    if let Some(missing) = missing_field(error)
        && !fields.contains_key(&missing)
    {
        return Finding::error(&format!("{path}.{missing}"), "is missing");
    }
    // The field at fault is the one without which the entry can be read or lacks only that field.
    let at_fault = fields.keys().find(|name| {
        let mut others = fields.clone();
        others.remove(*name);
        let result = T::deserialize(Value::Object(others));
        result.err().is_none_or(|error| missing_field(&error).as_ref() == Some(*name))
    });
    match at_fault {
        Some(name) => Finding::error(&format!("{path}.{name}"), "has an unusable value"),
        None => Finding::error(path, "has several unusable values"),
    }
}

fn missing_field(error: &serde_json::Error) -> Option<String> {
    let text = error.to_string();
    text.strip_prefix("missing field `")?.split('`').next().map(str::to_owned)
}

fn limits(document: &Value, findings: &mut Vec<Finding>) -> LimitsJson {
    let Some(value) = document.get("Limits") else { return LimitsJson::default() };
    LimitsJson::deserialize(value).unwrap_or_else(|error| {
        findings.push(locate::<LimitsJson>(&format!("{ROOT}.Limits"), value, &error));
        LimitsJson::default()
    })
}

/// Returns the text of each field, without keys of accounts.
fn fields(value: &Value) -> Table<String, String> {
    let fields = value.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, _)| *name != KEYS_FIELD);
    shown.map(|(name, value)| (name.clone(), value.to_string())).collect()
}

fn route(entry: Entry<'_, RouteJson>, findings: &mut Vec<Finding>) -> DraftRoute {
    let Entry { path, json, .. } = entry;
    let at = |field: &str| format!("{path}.{field}");
    let mut targets = Vec::new();
    for (index, split) in json.traffic_split.into_iter().enumerate() {
        let place = |field: &str| at(&format!("TrafficSplit[{index}].{field}"));
        let service = Stated::new(place("Service"), split.service);
        targets.push((service, Stated::new(place("Weight"), split.weight)));
    }
    if targets.is_empty() {
        match json.service {
            Some(service) => {
                targets.push((Stated::new(at("Service"), service), Stated::new(at("Service"), 1.0)))
            }
            None => findings.push(Finding::error(&at("Service"), "is missing")),
        }
    }
    DraftRoute {
        name: Stated::new(at("Name"), json.name),
        host: Stated::new(at("Host"), json.host),
        path_prefix: Stated::new(at("PathPrefix"), json.path_prefix),
        has_known_kind: Stated::new(
            at("RouteType"),
            ROUTE_TYPES.contains(&json.route_type.as_str()),
        ),
        timeout_ms: Stated::new(at("TimeoutMs"), json.timeout_ms),
        objective_ms: Stated::new(at("TargetLatencyMs"), json.target_latency_ms),
        gap_objective_ms: Stated::new(at("TargetGapMs"), json.target_gap_ms),
        attempts: Stated::new(at("MaxAttempts"), json.max_attempts),
        targets,
    }
}

fn service(entry: Entry<'_, ServiceJson>) -> DraftService {
    let Entry { path, json, .. } = entry;
    let memory_mb = json.engine.as_ref().map_or(0.0, |engine| engine.weights_mb);
    let models = json.engine.map(|engine| engine.models).unwrap_or_default();
    let models = models.into_iter().enumerate().map(|(index, model)| {
        let place = |field: &str| format!("{path}.Engine.Models[{index}].{field}");
        let name = Stated::new(place("Name"), model.name);
        (name, Stated::new(place("WeightsMb"), model.weights_mb))
    });
    let models = models.collect();
    DraftService { name: Stated::new(format!("{path}.Name"), json.name), memory_mb, models }
}

fn account(entry: Entry<'_, AccountJson>) -> DraftAccount {
    let Entry { path, json, .. } = entry;
    let at = |field: &str| format!("{path}.{field}");
    let keys =
        json.api_keys.iter().enumerate().map(|(index, key)| {
            Stated::new(at(&format!("{KEYS_FIELD}[{index}]")), KeyDigest::of(key))
        });
    DraftAccount {
        keys: Stated::new(at(KEYS_FIELD), keys.collect()),
        rate_per_s: Stated::new(at("RatePerS"), json.rate_per_s),
        burst: Stated::new(at("Burst"), json.burst),
        plain_cost: if json.unit == TOKEN_UNIT { json.plain_tokens } else { 1.0 },
        name: Stated::new(at("Name"), json.name),
    }
}
