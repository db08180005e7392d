//! Carries out what the lead decides: calls to workers, and messages to peers on what they hold.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::KnownLead;
use crate::gateway::codec;
use crate::gateway::connection::HttpClient;
use crate::gateway::directory::WorkerView;
use crate::gateway::eventlog::Severity;
use crate::gateway::fleet::Call;
use crate::gateway::fleet::residency::MAX_DELAYED_MODELS;
use crate::gateway::fleet::residency::MAX_WORKER_LOADS;
use crate::gateway::fleet::residency::ResidencyPublisher;
use crate::gateway::orders::Order;
use crate::gateway::orders::OrderOutcome;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::Payload;
use crate::gateway::peers::Residency;
use crate::gateway::peers::driver as peers_duty;
use crate::platform::control;
use crate::platform::headers;
use crate::telemetry::events;

/// Longest time between looks at what is due while the instance leads.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Time between looks while it does not.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a worker's answer to an order or report.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Workers in one datagram, so that it stays far below the largest one.
const VIEWS_PER_MESSAGE: usize = 24;

/// Leads the model workers whenever the instance is the lead.
pub async fn run(gateway: Rc<Gateway>) {
    let mut updates = ResidencyPublisher::default();
    let mut number = 0;
    loop {
        let leads = gateway.fleet.borrow().is_some();
        let look = if leads { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        // A look is due in any case: loads end and adapters become ready as time passes.
        let _ = timeout(look, gateway.planning_due.notified()).await;
        let Some(calls) = tick(&gateway) else { continue };
        publish_residency(&gateway, &mut updates, &mut number);
        for (worker, call) in calls {
            tokio::task::spawn_local(execute_call(Rc::clone(&gateway), worker, call));
        }
    }
}

fn tick(gateway: &Gateway) -> Option<Vec<(String, Call)>> {
    let now_ms = gateway.now_ms();
    let catalog = gateway.catalog()?;
    let mut fleet = gateway.fleet.borrow_mut();
    let fleet = fleet.as_mut()?;
    let may_order = gateway.election.borrow().may_order(gateway.settings().workers_check, now_ms);
    let calls = fleet.tick(&catalog, may_order, gateway.settings().load_window_ms, now_ms);
    for decision in fleet.take_decisions() {
        let line = gateway.log.line(events::LOAD_PLANNED, Severity::Notable);
        line.text("worker", &decision.worker)
            .text("model", &decision.model)
            .text("evict", decision.evict.join(","))
            .number("load_ms", decision.load_ms)
            .number("loss_ms", decision.eviction_cost_ms as i64)
            .number("requests_per_1000_s", (decision.rate_per_s * 1000.0) as i64)
            .text("from_store", decision.from_store)
            .number("store_limit", decision.store_load_limit as u64)
            .emit();
    }
    Some(calls)
}

/// Tells peers, and this instance itself, what is due; `number` counts the messages.
fn publish_residency(gateway: &Gateway, updates: &mut ResidencyPublisher, number: &mut u64) {
    let now_ms = gateway.now_ms();
    let Some((fence, views)) =
        gateway.fleet.borrow().as_ref().map(|fleet| (fleet.fence(), fleet.views(now_ms)))
    else {
        return;
    };
    let Some(due) = updates.next_update(fence, views, now_ms) else { return };
    *gateway.lead.borrow_mut() = Some(KnownLead {
        instance_id: gateway.settings().instance_id.clone(),
        fence,
        addr: None,
        received_at_ms: now_ms,
    });
    let known: Vec<(String, SocketAddr)> = gateway
        .peers
        .borrow()
        .unexpired(now_ms)
        .map(|(name, peer)| (name.clone(), peer.addr))
        .collect();
    let newcomers = updates.take_new_peers(known.iter().map(|(name, _)| name));
    let (new, old): (Vec<_>, Vec<_>) =
        known.into_iter().partition(|(name, _)| newcomers.binary_search(name).is_ok());
    let status = due.is_heartbeat.then(|| fleet_status(gateway, now_ms)).flatten();
    send_views(gateway, fence, number, &due.views, status.as_ref(), &old);
    if !new.is_empty() {
        send_views(gateway, fence, number, &updates.all_views(), status.as_ref(), &new);
    }
    let mut directory = gateway.directory.borrow_mut();
    directory.refresh_views(fence, now_ms);
    let mut changed = status.is_some();
    if let Some(status) = &status {
        directory.on_status(status, now_ms);
    }
    for view in due.views {
        changed |= directory.on_view(view, fence, *number, now_ms);
    }
    drop(directory);
    if changed {
        gateway.state_changed.notify_waiters();
    }
}

fn fleet_status(gateway: &Gateway, now_ms: u64) -> Option<FleetStatus> {
    let catalog = gateway.catalog()?;
    let fleet = gateway.fleet.borrow();
    let fleet = fleet.as_ref()?;
    let loads = fleet.busiest_workers(MAX_WORKER_LOADS, now_ms);
    Some(FleetStatus {
        loads,
        delayed_models: fleet.delayed_models(&catalog, MAX_DELAYED_MODELS, now_ms),
    })
}

fn send_views(
    gateway: &Gateway,
    fence: u64,
    number: &mut u64,
    views: &[WorkerView],
    status: Option<&FleetStatus>,
    to: &[(String, SocketAddr)],
) {
    // A lead knows the end, as it has appended its claim; receivers take only a higher one over.
    let claims_end = gateway.election.borrow().log_end_offset().unwrap_or(0);
    let mut chunks: Vec<&[WorkerView]> = views.chunks(VIEWS_PER_MESSAGE).collect();
    if chunks.is_empty() {
        // An empty message still tells who leads.
        chunks.push(&[]);
    }
    for (at, chunk) in chunks.into_iter().enumerate() {
        *number += 1;
        let status = status.filter(|_| at == 0).cloned();
        let workers = chunk.to_vec();
        let residency =
            Residency { fence, sequence: *number, claims_end_offset: claims_end, workers, status };
        let message = peers_duty::build_message(gateway, Payload::Residency(residency));
        let Some(bytes) = codec::encode(gateway, "residency", &message) else { continue };
        for (_, addr) in to {
            peers_duty::send_bytes(gateway, *addr, &bytes);
        }
    }
}

async fn execute_call(gateway: Rc<Gateway>, worker: String, call: Call) {
    let target = gateway
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.worker(&worker).map(|site| (site.addr, fleet.fence())));
    let Some((addr, fence)) = target else { return };
    let mut link = HttpClient::new(addr);
    let headers = headers::control_headers(&worker);
    match call {
        Call::Report => {
            let path = control::REPORT_PATH;
            let asked = link.call(Method::GET, path, headers, Bytes::new(), CALL_TIMEOUT).await;
            let report = match asked {
                Ok(answer) if answer.status_code == 200 => {
                    control::parse_report(&answer.body).map_err(|error| error.to_string())
                }
                Ok(answer) => Err(format!("status {}", answer.status_code)),
                Err(error) => Err(error.to_string()),
            };
            if let Err(reason) = &report {
                let line = gateway.log.line(events::REPORT_MISSING, Severity::Notable);
                line.text("worker", &worker).text("reason", reason).emit();
            }
            let now_ms = gateway.now_ms();
            with_worker(&gateway, &worker, fence, |site| site.on_report(report.ok(), now_ms));
        }
        Call::Order(order) => {
            // Checked again here, since the lead may have been lost since the decision.
            let now_ms = gateway.now_ms();
            let checks = gateway.settings().workers_check;
            let allowed = gateway.election.borrow().may_order(checks, now_ms);
            let mut detail = String::new();
            let answer = if allowed {
                let body = control::encode_order(&order, &gateway.settings().instance_id);
                let path = control::ORDER_PATH;
                let asked =
                    link.call(Method::POST, path, headers, Bytes::from(body), CALL_TIMEOUT).await;
                match asked {
                    Ok(answer) => control::order_answer(answer.status_code),
                    Err(error) => {
                        detail = error.to_string();
                        OrderOutcome::Unknown
                    }
                }
            } else {
                detail = "not sent: the lead may no longer order".to_owned();
                OrderOutcome::Conflict
            };
            on_order_outcome(&gateway, &worker, fence, &order, answer, &detail);
        }
    }
    gateway.planning_due.notify_one();
}

fn on_order_outcome(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    order: &Order,
    answer: OrderOutcome,
    detail: &str,
) {
    let answer_name = match answer {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already_holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherInstance => "other_instance",
        OrderOutcome::Refused { .. } => "refused",
        OrderOutcome::Unknown => "unknown",
    };
    let labels = [order.kind.name(), answer_name];
    gateway.metrics.orders_total.with_label_values(&labels).inc();
    let line = gateway.log.line(events::ORDER_ANSWERED, Severity::Notable);
    line.text("worker", worker)
        .text("order", order.kind.name())
        .text("model", &order.model)
        .text("adapter", order.adapter.as_deref().unwrap_or(""))
        .number("expected", order.expected_orders)
        .number("fence", order.fence)
        .text("answer", answer_name)
        .text("detail", detail)
        .emit();
    if answer == OrderOutcome::Fenced {
        gateway.election.borrow_mut().on_superseded();
    }
    let now_ms = gateway.now_ms();
    with_worker(gateway, worker, fence, |site| {
        let load_ms = site.pending_load.as_ref().map_or(0, |goal| goal.load_ms);
        site.on_order_outcome(order, answer, load_ms, now_ms);
    });
}

fn with_worker(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    change: impl FnOnce(&mut crate::gateway::fleet::worker::WorkerState),
) {
    let mut fleet = gateway.fleet.borrow_mut();
    let same_lead = fleet.as_mut().filter(|fleet| fleet.fence() == fence);
    if let Some(site) = same_lead.and_then(|fleet| fleet.worker_mut(worker)) {
        change(site);
    }
}
