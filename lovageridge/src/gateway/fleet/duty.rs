//! Carries out what the lead decides: calls to workers, and news of what they hold to peers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::LeadHeard;
use crate::gateway::directory::WorkerView;
use crate::gateway::eventlog::Weight;
use crate::gateway::fleet::Call;
use crate::gateway::link::Link;
use crate::gateway::orders::Order;
use crate::gateway::orders::OrderAnswer;
use crate::gateway::peers;
use crate::gateway::peers::Content;
use crate::gateway::peers::Residency;
use crate::gateway::peers::duty as peers_duty;
use crate::platform::control;
use crate::platform::headers;
use crate::sorted::Table;
use crate::telemetry::events;

/// Longest time between looks at what is due while the instance leads.
const LOOK: Duration = Duration::from_millis(15);
/// Time between looks while it does not.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// Time between full accounts of what workers hold, in ms; peers miss the lead after 900 ms.
const FULL_MS: u64 = 300;
/// Time for a worker's answer to an order or report.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Workers in one datagram, so that it stays far below the largest one.
const VIEWS_PER_MESSAGE: usize = 24;

/// What was last told to peers.
#[derive(Default)]
struct Told {
    fence: u64,
    number: u64,
    full_ms: u64,
    views: Table<String, WorkerView>,
}

/// Leads the model workers whenever the instance is the lead.
pub async fn run(gateway: Rc<Gateway>) {
    let mut told = Told::default();
    loop {
        let leads = gateway.fleet.borrow().is_some();
        let look = if leads { LOOK } else { IDLE_LOOK };
        // A look is due in any case: loads end and adapters become ready as time passes.
        let _ = timeout(look, gateway.fleet_due.notified()).await;
        let Some(calls) = tick(&gateway) else { continue };
        tell(&gateway, &mut told);
        for (worker, call) in calls {
            tokio::task::spawn_local(carry_out(Rc::clone(&gateway), worker, call));
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
        let line = gateway.log.line(events::LOAD_PLANNED, Weight::Notable);
        line.text("worker", &decision.worker)
            .text("model", &decision.model)
            .text("evict", decision.evict.join(","))
            .number("load_ms", decision.load_ms)
            .number("loss_ms", decision.loss_ms as i64)
            .number("requests_per_1000_s", (decision.rate_per_s * 1000.0) as i64)
            .text("from_store", decision.from_store)
            .close();
    }
    Some(calls)
}

/// Tells peers, and this instance itself, what has changed; everything once in a while.
fn tell(gateway: &Gateway, told: &mut Told) {
    let now_ms = gateway.now_ms();
    let Some((fence, views)) =
        gateway.fleet.borrow().as_ref().map(|fleet| (fleet.fence(), fleet.views(now_ms)))
    else {
        return;
    };
    if told.fence != fence {
        *told = Told { fence, ..Told::default() };
    }
    let full = now_ms >= told.full_ms + FULL_MS;
    let changed = views
        .into_iter()
        .filter(|view| full || told.views.get(view.id.as_str()) != Some(view))
        .collect::<Vec<_>>();
    if changed.is_empty() && !full {
        return;
    }
    if full {
        told.full_ms = now_ms;
    }
    let claims_end = gateway.election.borrow().end_offset().unwrap_or(0);
    *gateway.lead.borrow_mut() = Some(LeadHeard {
        instance_id: gateway.settings().instance_id.clone(),
        fence,
        addr: None,
        at_ms: now_ms,
    });
    let mut news = false;
    let mut chunks: Vec<&[WorkerView]> = changed.chunks(VIEWS_PER_MESSAGE).collect();
    if chunks.is_empty() {
        // An empty account still tells who leads.
        chunks.push(&[]);
    }
    for chunk in chunks {
        told.number += 1;
        for view in chunk {
            told.views.insert(view.id.clone(), view.clone());
            let mut directory = gateway.directory.borrow_mut();
            news |= directory.on_view(view.clone(), fence, told.number, now_ms);
        }
        let residency =
            Residency { fence, number: told.number, claims_end, workers: chunk.to_vec() };
        let message = peers_duty::message(gateway, Content::Residency(residency));
        let bytes = peers::encode(&message);
        let addrs: Vec<_> =
            gateway.peers.borrow().known(now_ms).map(|(_, peer)| peer.addr).collect();
        for addr in addrs {
            peers_duty::send_bytes(gateway, addr, &bytes);
        }
    }
    if news {
        gateway.changed.notify_waiters();
    }
}

async fn carry_out(gateway: Rc<Gateway>, worker: String, call: Call) {
    let target = gateway
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.site(&worker).map(|site| (site.addr, fleet.fence())));
    let Some((addr, fence)) = target else { return };
    let mut link = Link::new(addr);
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
                let line = gateway.log.line(events::REPORT_MISSING, Weight::Notable);
                line.text("worker", &worker).text("reason", reason).close();
            }
            let now_ms = gateway.now_ms();
            with_site(&gateway, &worker, fence, |site| site.on_report(report.ok(), now_ms));
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
                        OrderAnswer::Unknown
                    }
                }
            } else {
                detail = "not sent: the lead may no longer order".to_owned();
                OrderAnswer::Conflict
            };
            on_answer(&gateway, &worker, fence, &order, answer, &detail);
        }
    }
    gateway.fleet_due.notify_one();
}

fn on_answer(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    order: &Order,
    answer: OrderAnswer,
    detail: &str,
) {
    let answer_name = match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::AlreadyHolds => "already_holds",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::OtherInstance => "other_instance",
        OrderAnswer::Refused { .. } => "refused",
        OrderAnswer::Unknown => "unknown",
    };
    let labels = [order.kind.name(), answer_name];
    gateway.metrics.orders_total.with_label_values(&labels).inc();
    let line = gateway.log.line(events::ORDER_ANSWERED, Weight::Notable);
    line.text("worker", worker)
        .text("order", order.kind.name())
        .text("model", &order.model)
        .text("adapter", order.adapter.as_deref().unwrap_or(""))
        .number("expected", order.expected)
        .number("fence", order.fence)
        .text("answer", answer_name)
        .text("detail", detail)
        .close();
    if answer == OrderAnswer::Fenced {
        gateway.election.borrow_mut().on_superseded();
    }
    let now_ms = gateway.now_ms();
    with_site(gateway, worker, fence, |site| {
        let load_ms = site.goal.as_ref().map_or(0, |goal| goal.load_ms);
        site.on_answer(order, answer, load_ms, now_ms);
    });
}

fn with_site(
    gateway: &Gateway,
    worker: &str,
    fence: u64,
    change: impl FnOnce(&mut crate::gateway::fleet::site::Site),
) {
    let mut fleet = gateway.fleet.borrow_mut();
    let same_lead = fleet.as_mut().filter(|fleet| fleet.fence() == fence);
    if let Some(site) = same_lead.and_then(|fleet| fleet.site_mut(worker)) {
        change(site);
    }
}
