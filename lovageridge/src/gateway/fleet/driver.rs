//! I/O driver of the lead: runs the planner, makes its calls to workers, and publishes to peers
//! what the workers hold.

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
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::residency::ResidencyPublisher;
use crate::gateway::fleet::residency::max_delayed_models;
use crate::gateway::fleet::residency::max_worker_loads;
use crate::gateway::fleet::residency::update_interval_ms;
use crate::gateway::orders::Order;
use crate::gateway::orders::OrderOutcome;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::Payload;
use crate::gateway::peers::Residency;
use crate::gateway::peers::driver as peers_driver;
use crate::gateway::peers::relays::Recipients;
use crate::gateway::peers::relays::recipients;
use crate::gateway::peers::tree;
use crate::gateway::sync::delta::Delta;
use crate::platform::control;
use crate::platform::headers;
use crate::telemetry::events;

/// Longest time between two planner ticks while this instance leads.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Workers for which the shortest time between two ticks grows by one ms; what is reported meanwhile
/// shares a tick.
const WORKERS_PER_TICK_MS: usize = 16;
/// Time between checks for the lead while this instance does not lead.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an order or a report request to a worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of instances that get all views directly when they are new; more of them get them in the way
/// of other updates.
const DIRECT_NEWCOMERS_MAX: usize = 12;
/// The same in a large failure domain, where all views take 0.25 MB for each; the rotation brings more of them
/// all views within 2.4 s, and until then they use the workers' records.
const LARGE_DIRECT_NEWCOMERS_MAX: usize = 2;
/// Workers per datagram; keeps it far below the maximum size of a datagram.
const VIEWS_PER_MESSAGE: usize = 24;
/// The same through the tree of a large failure domain, where datagrams are compressed: more workers share the
/// names of their models.
const VIEWS_PER_SPREAD: usize = 192;

/// Runs the planner and makes its calls to workers whenever this instance is the lead.
pub async fn run(gateway: Rc<Gateway>) {
    let mut publisher = ResidencyPublisher::default();
    let mut message_number = 0;
    let mut last_tick_ms = 0;
    loop {
        let is_lead = gateway.fleet.borrow().is_some();
        let interval = if is_lead { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        // Ticks without a notification too, since loads finish and adapters become ready as time
        // passes.
        let _ = timeout(interval, gateway.planning_due.notified()).await;
        let spacing = tick_spacing(&gateway, last_tick_ms);
        if !spacing.is_zero() {
            tokio::time::sleep(spacing).await;
        }
        last_tick_ms = gateway.now_ms();
        let Some(calls) = tick(&gateway) else { continue };
        publish_residency(&gateway, &mut publisher, &mut message_number);
        for (worker, call) in calls {
            tokio::task::spawn_local(execute_call(Rc::clone(&gateway), worker, call));
        }
    }
}

/// Returns the time that is left until the next tick may begin.
fn tick_spacing(gateway: &Gateway, last_tick_ms: u64) -> Duration {
    let fleet = gateway.fleet.borrow();
    let workers = fleet.as_ref().map_or(0, Fleet::worker_count);
    let spacing_ms = (workers / WORKERS_PER_TICK_MS) as u64;
    let next_ms = last_tick_ms + spacing_ms.min(TICK_INTERVAL.as_millis() as u64);
    Duration::from_millis(next_ms.saturating_sub(gateway.now_ms()))
}

fn tick(gateway: &Gateway) -> Option<Vec<(String, Call)>> {
    let now_ms = gateway.now_ms();
    let catalog = gateway.catalog()?;
    let mut fleet = gateway.fleet.borrow_mut();
    let fleet = fleet.as_mut()?;
    for worker in gateway.directory.borrow().iter() {
        let per_ks = worker.limit.recent_per_ks(now_ms);
        fleet.set_limit(&worker.record.id, per_ks.map(|per_ks| f64::from(per_ks) / 1000.0));
    }
    fleet.set_update_interval(update_interval_ms(gateway.peers.borrow().unexpired(now_ms).count()));
    let may_order = gateway.election.borrow().may_order(gateway.settings().workers_check, now_ms);
    let calls = fleet.tick(&catalog, may_order, gateway.settings().load_window_ms, now_ms);
    gateway.metrics.plan_steps_total.inc_by(fleet.take_steps());
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

/// Sends the update that is due to all peers and applies it to this instance's directory;
/// `message_number` is the number of the last message sent.
fn publish_residency(
    gateway: &Gateway,
    publisher: &mut ResidencyPublisher,
    message_number: &mut u64,
) {
    let now_ms = gateway.now_ms();
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(known) = fleet.as_mut() else { return };
    let fence = known.fence();
    if !publisher.may_update(fence, known.update_interval_ms(), now_ms) {
        return;
    }
    let Some(update) = publisher.next_update(fence, &known.views(now_ms), now_ms) else { return };
    drop(fleet);
    *gateway.lead.borrow_mut() = Some(KnownLead {
        instance_id: gateway.settings().instance_id.clone(),
        fence,
        addr: None,
        received_at_ms: now_ms,
    });
    let peers = gateway.peers.borrow();
    let domain = &gateway.settings().domain;
    let recipients = recipients(&peers, domain, publisher.update_count(), now_ms);
    let new_names = publisher.take_new_peers(peers.unexpired(now_ms).map(|(name, _)| name));
    let new_peers = new_names.iter().filter_map(|name| peers.get(name).map(|peer| peer.addr));
    let new_peers: Vec<SocketAddr> = new_peers.collect();
    drop(peers);
    let status = update.is_heartbeat.then(|| fleet_status(gateway, now_ms)).flatten();
    send_views(gateway, fence, message_number, &update.views, status.as_ref(), &recipients);
    let is_large = !recipients.spread.is_empty();
    let direct_max = if is_large { LARGE_DIRECT_NEWCOMERS_MAX } else { DIRECT_NEWCOMERS_MAX };
    let newcomers = match new_peers.len() {
        0 => Recipients::default(),
        new if new > direct_max && is_large => Recipients::default(),
        new if new <= direct_max => Recipients { direct: new_peers, ..Recipients::default() },
        _ => recipients,
    };
    if newcomers != Recipients::default() {
        let views = publisher.all_views();
        send_views(gateway, fence, message_number, &views, status.as_ref(), &newcomers);
    }
    let mut directory = gateway.directory.borrow_mut();
    directory.refresh_views(fence, now_ms);
    let mut changed = status.is_some();
    if let Some(status) = &status {
        directory.on_status(status, now_ms);
    }
    for view in update.views {
        changed |= directory.on_view(view, fence, *message_number, now_ms);
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
    let workers = fleet.worker_count();
    let loads = fleet.busiest_workers(max_worker_loads(workers));
    Some(FleetStatus {
        loads,
        delayed_models: fleet.delayed_models(&catalog, max_delayed_models(workers), now_ms),
    })
}

fn send_views(
    gateway: &Gateway,
    fence: u64,
    message_number: &mut u64,
    views: &[WorkerView],
    status: Option<&FleetStatus>,
    recipients: &Recipients,
) {
    // The lead knows the end of the claims, since it has appended its own; receivers ignore an
    // offset that is not higher than theirs.
    let claims_end_offset = gateway.election.borrow().log_end_offset().unwrap_or(0);
    let chunk = if recipients.spread.is_empty() { VIEWS_PER_MESSAGE } else { VIEWS_PER_SPREAD };
    let mut chunks: Vec<&[WorkerView]> = views.chunks(chunk).collect();
    if chunks.is_empty() {
        // An empty message still announces the lead.
        chunks.push(&[]);
    }
    for (index, chunk) in chunks.into_iter().enumerate() {
        *message_number += 1;
        let status = status.filter(|_| index == 0).cloned();
        let workers = chunk.to_vec();
        let residency =
            Residency { fence, sequence: *message_number, claims_end_offset, workers, status };
        let message = peers_driver::build_message(gateway, Payload::Residency(residency));
        let Some(bytes) = codec::encode(gateway, "residency", &message) else { continue };
        for addr in &recipients.direct {
            peers_driver::send_bytes(gateway, *addr, "residency", &bytes);
        }
        tree::driver::spread(gateway, None, &bytes, &recipients.spread);
        if recipients.relays.is_empty() {
            continue;
        }
        let is_large = !recipients.spread.is_empty();
        let packed = is_large.then(|| Delta::new(None, &bytes).ok()).flatten();
        let payload = packed.map_or_else(|| Payload::Relay(bytes.to_vec()), Payload::PackedRelay);
        let message = peers_driver::build_message(gateway, payload);
        let Some(bytes) = codec::encode(gateway, "relay", &message) else { continue };
        for addr in &recipients.relays {
            peers_driver::send_bytes(gateway, *addr, "relay", &bytes);
        }
    }
}

async fn execute_call(gateway: Rc<Gateway>, worker: String, call: Call) {
    let target = gateway
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.worker(&worker).map(|state| (state.addr, fleet.fence())));
    let Some((addr, fence)) = target else { return };
    let mut client = HttpClient::for_worker(addr);
    let headers = headers::control_headers(&worker);
    match call {
        Call::Report => {
            let path = control::REPORT_PATH;
            let response =
                client.call(Method::GET, path, headers, Bytes::new(), CALL_TIMEOUT).await;
            let report = match response {
                Ok(response) if response.status_code == 200 => {
                    control::parse_report(&response.body).map_err(|error| error.to_string())
                }
                Ok(response) => Err(format!("status {}", response.status_code)),
                Err(error) => Err(error.to_string()),
            };
            if let Err(reason) = &report {
                let line = gateway.log.line(events::REPORT_MISSING, Severity::Notable);
                line.text("worker", &worker).text("reason", reason).emit();
            }
            let now_ms = gateway.now_ms();
            with_worker(&gateway, &worker, fence, |state| state.on_report(report.ok(), now_ms));
        }
        Call::Order(order) => {
            // Checked again, since the lead may have been lost since the order was planned.
            let now_ms = gateway.now_ms();
            let workers_check = gateway.settings().workers_check;
            let allowed = gateway.election.borrow().may_order(workers_check, now_ms);
            let mut detail = String::new();
            let outcome = if allowed {
                let body = control::encode_order(&order, &gateway.settings().instance_id);
                let path = control::ORDER_PATH;
                let response =
                    client.call(Method::POST, path, headers, Bytes::from(body), CALL_TIMEOUT).await;
                match response {
                    Ok(response) => control::order_answer(response.status_code),
                    Err(error) => {
                        detail = error.to_string();
                        OrderOutcome::Unknown
                    }
                }
            } else {
                detail = "not sent: this instance may no longer send orders".to_owned();
                OrderOutcome::Conflict
            };
            on_order_outcome(&gateway, &worker, fence, &order, outcome, &detail);
        }
    }
    gateway.planning_due.notify_one();
}

fn on_order_outcome(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    order: &Order,
    outcome: OrderOutcome,
    detail: &str,
) {
    let outcome_name = match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already_holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherInstance => "other_instance",
        OrderOutcome::Refused { .. } => "refused",
        OrderOutcome::Unknown => "unknown",
    };
    let labels = [order.kind.name(), outcome_name];
    gateway.metrics.orders_total.with_label_values(&labels).inc();
    let line = gateway.log.line(events::ORDER_ANSWERED, Severity::Notable);
    line.text("worker", worker)
        .text("order", order.kind.name())
        .text("model", &order.model)
        .text("adapter", order.adapter.as_deref().unwrap_or(""))
        .number("expected", order.expected_orders)
        .number("fence", order.fence)
        .text("answer", outcome_name)
        .text("detail", detail)
        .emit();
    if outcome == OrderOutcome::Fenced {
        gateway.election.borrow_mut().on_superseded();
    }
    let now_ms = gateway.now_ms();
    with_worker(gateway, worker, fence, |state| {
        let load_ms = state.pending_load.as_ref().map_or(0, |load| load.load_ms);
        state.on_order_outcome(order, outcome, load_ms, now_ms);
    });
}

fn with_worker(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    change: impl FnOnce(&mut crate::gateway::fleet::worker::WorkerState),
) {
    let mut fleet = gateway.fleet.borrow_mut();
    let fleet_of_term = fleet.as_mut().filter(|fleet| fleet.fence() == fence);
    if let Some(state) = fleet_of_term.and_then(|fleet| fleet.worker_mut(worker)) {
        change(state);
    }
}
