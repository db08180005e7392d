//! Orders to workers and their reports.

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

/// Path of orders at a worker.
pub const ORDER_PATH: &str = "/lovageridge/order";
/// Path of reports at a worker.
pub const REPORT_PATH: &str = "/lovageridge/report";

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderJson<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    // The number of orders that the worker must have accepted before this one.
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
    // In a report this counts accepted orders, unlike in the worker's record.
    seq: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    at_hand: CachedCopiesJson,
    // Adapters that are still being fetched, as MODEL/NAME@VERSION.
    #[serde(default)]
    coming: Vec<String>,
    #[serde(default, rename = "born")]
    born_ms: u64,
}

/// Writes an order.
pub fn encode_order(order: &Order, holder: &str) -> Vec<u8> {
    let text = OrderJson {
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
    // Plain strings and numbers always serialize.
    serde_json::to_vec(&text).unwrap_or_default()
}

/// Tells what a worker's status for an order means.
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

/// Reads a worker's report.
///
/// # Errors
/// Returns what part of the text is malformed.
pub fn parse_report(bytes: &[u8]) -> Result<WorkerReport, Error> {
    let text: ReportJson = serde_json::from_slice(bytes)?;
    let mut models: Vec<LoadedModel> =
        text.models.into_iter().map(LoadedModelJson::into_loaded).collect();
    models.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    let coming = text.coming.iter().filter_map(|entry| {
        entry.rsplit_once('/').map(|(model, _)| (model.to_owned(), adapter_name(entry)))
    });
    Ok(WorkerReport {
        models,
        busy: text.busy,
        orders_accepted: text.seq,
        running: text.running,
        waiting: text.waiting,
        in_memory: text.at_hand.in_memory,
        on_disk: text.at_hand.on_disk,
        loading_adapters: coming.collect(),
        start_unix_ms: text.born_ms,
    })
}
