//! Formats of the workers' control interface: orders to workers and reports from them.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::directory::LoadedModel;
use crate::gateway::orders::Order;
use crate::gateway::orders::OrderKind;
use crate::gateway::orders::OrderOutcome;
use crate::gateway::orders::WorkerReport;
use crate::platform::Error;
use crate::platform::workers::CachedCopiesJson;
use crate::platform::workers::LoadedModelJson;
use crate::platform::workers::adapter_name;

/// Path at a worker that accepts orders.
pub const ORDER_PATH: &str = "/lovageridge/order";
/// Path at a worker that returns its report.
pub const REPORT_PATH: &str = "/lovageridge/report";

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderJson<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    // Number of orders that the worker must have accepted before this one.
    expected: u64,
    holder: &'a str,
    fence: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportJson {
    #[serde(default)]
    models: Vec<LoadedModelJson>,
    busy: bool,
    // Number of accepted orders; the field of this name in the worker's record has another meaning.
    seq: u64,
    #[serde(default)]
    running: Option<u32>,
    #[serde(default)]
    waiting: Option<u32>,
    #[serde(default)]
    at_hand: CachedCopiesJson,
    // Adapters that are being fetched, as MODEL/NAME@VERSION.
    #[serde(default)]
    coming: Vec<String>,
    #[serde(default, rename = "born")]
    born_ms: u64,
}

/// Encodes an order in the name of the instance `holder`, which is the lead.
pub fn encode_order(order: &Order, holder: &str) -> Vec<u8> {
    let json = OrderJson {
        operation: match order.kind {
            OrderKind::Load => "model_load",
            OrderKind::Unload => "model_unload",
        },
        model: &order.model,
        adapter: order.adapter.as_deref(),
        expected: order.expected_orders,
        holder,
        fence: order.fence,
    };
    // Serializing strings and numbers into memory cannot fail.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Returns the meaning of the HTTP status with which a worker answers an order.
pub fn order_answer(status_code: u16) -> OrderOutcome {
    match status_code {
        202 => OrderOutcome::Accepted,
        200 => OrderOutcome::AlreadyHolds,
        409 => OrderOutcome::Conflict,
        412 => OrderOutcome::Fenced,
        421 => OrderOutcome::OtherInstance,
        other => OrderOutcome::Refused { status_code: other },
    }
}

/// Parses a worker's report.
///
/// # Errors
/// Returns an error if the JSON is malformed.
pub fn parse_report(bytes: &[u8]) -> Result<WorkerReport, Error> {
    let json: ReportJson = serde_json::from_slice(bytes)?;
    let mut models: Vec<LoadedModel> =
        json.models.into_iter().map(LoadedModelJson::into_loaded).collect();
    models.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    let loading_adapters = json.coming.iter().filter_map(|entry| {
        entry.rsplit_once('/').map(|(model, _)| (model.to_owned(), adapter_name(entry)))
    });
    Ok(WorkerReport {
        models,
        busy: json.busy,
        orders_accepted: json.seq,
        running: json.running.unwrap_or(0),
        waiting: json.waiting.unwrap_or(0),
        is_idle: json.running == Some(0) && json.waiting == Some(0),
        in_memory: json.at_hand.in_memory,
        on_disk: json.at_hand.on_disk,
        loading_adapters: loading_adapters.collect(),
        start_unix_ms: json.born_ms,
    })
}
