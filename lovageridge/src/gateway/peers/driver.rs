//! I/O driver for messages between instances: heartbeats, records and demand reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::KnownLead;
use crate::gateway::accounts;
use crate::gateway::allotments;
use crate::gateway::codec;
use crate::gateway::connection;
use crate::gateway::connection::CallResponse;
use crate::gateway::connection::HttpClient;
use crate::gateway::crashes;
use crate::gateway::eventlog::Severity;
use crate::gateway::lead;
use crate::gateway::limits;
use crate::gateway::limits::driver::SendRequest;
use crate::gateway::limits::exchange::Requester;
use crate::gateway::peers;
use crate::gateway::peers::ConfigUpdate;
use crate::gateway::peers::Demand;
use crate::gateway::peers::LeadInfo;
use crate::gateway::peers::Message;
use crate::gateway::peers::Payload;
use crate::gateway::peers::RecordBatch;
use crate::gateway::peers::Residency;
use crate::gateway::peers::RunningRequests;
use crate::gateway::peers::batches;
use crate::gateway::peers::tree;
use crate::gateway::peers::tree::driver::Update;
use crate::gateway::sync;
use crate::gateway::sync::document::StoredConfig;
use crate::gateway::waits::Target;
use crate::platform::store;
use crate::platform::store::KeyedRecord;
use crate::telemetry::events;

/// Time between heartbeats, in ms.
const HEARTBEAT_MS: u64 = 500;
/// Number of peers that each heartbeat is sent to; with these the identity of the lead reaches every
/// instance within a few heartbeats.
const HEARTBEAT_PEERS: usize = 3;
/// Time between reads of the announced addresses while no peer is live or some were not read, in ms.
const ANNOUNCEMENTS_READ_MS: u64 = 3000;
/// Age up to which a record may be missing from the copy that the store is restored from, in ms.
const RESTORE_LOSS_MAX_MS: u64 = 60_000;
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay of a demand report that was triggered early, in ms, so that requests that begin to wait
/// together share one report.
const DEMAND_BATCH_DELAY_MS: u64 = 1;
/// Largest datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 64 << 10;
/// Largest change of a configuration in a datagram, in bytes.
const BATCH_MAX_BYTES: usize = 48 << 10;
/// Time without a message from the lead after which it is no longer included in messages, in ms.
const LEAD_ADVERTISE_MS: u64 = 4000;

/// Record by which an instance publishes its address in the store.
#[derive(Deserialize, Serialize)]
struct Announcement {
    addr: SocketAddr,
    incarnation: u64,
}

/// Sends a message with `payload` to a peer.
pub fn send(gateway: &Gateway, to: SocketAddr, payload: Payload) {
    let kind = payload.kind();
    if let Some(bytes) = codec::encode(gateway, "message", &build_message(gateway, payload)) {
        send_bytes(gateway, to, kind, &bytes);
    }
}

/// Sends an encoded message of a kind to a peer. A message that the socket does not accept is counted but not
/// logged: a later message replaces it, and a congested link would flood the log.
pub fn send_bytes(gateway: &Gateway, to: SocketAddr, kind: &str, bytes: &[u8]) {
    gateway.metrics.datagram_bytes_total.inc_by(bytes.len() as u64);
    gateway.metrics.peer_bytes_total.with_label_values(&[kind]).inc_by(bytes.len() as u64);
    if gateway.socket.try_send_to(bytes, to).is_err() {
        gateway.metrics.datagrams_dropped_total.inc();
    }
}

/// Returns a message with `payload` and the current state of this instance.
pub fn build_message(gateway: &Gateway, payload: Payload) -> Message {
    let now_ms = gateway.now_ms();
    let store = gateway.store.borrow();
    let lead = gateway.lead.borrow();
    let lead = lead.as_ref().filter(|lead| now_ms <= lead.received_at_ms + LEAD_ADVERTISE_MS);
    let lead_info = lead.map(|lead| LeadInfo {
        fence: lead.fence,
        age_ms: now_ms - lead.received_at_ms,
        addr: lead.addr,
    });
    Message {
        sender: gateway.settings().instance_id.clone(),
        domain: gateway.settings().domain.clone(),
        incarnation: gateway.incarnation,
        is_small: gateway.settings().is_small(),
        progress: store.progress,
        read_age_ms: store.last_read_ms(now_ms).map(|read_ms| now_ms - read_ms),
        lead: lead_info,
        payload,
    }
}

/// Receives datagrams until the process ends.
pub async fn run_receiver(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (len, from) = match gateway.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log_dropped(&gateway, "", &error.to_string());
                tokio::time::sleep(Duration::from_millis(DEMAND_BATCH_DELAY_MS)).await;
                continue;
            }
        };
        match peers::decode(&buffer[..len]) {
            Ok(message) => on_message(&gateway, message, from),
            Err(error) => log_dropped(&gateway, &from.to_string(), &error.to_string()),
        }
    }
}

pub(super) fn log_dropped(gateway: &Gateway, from: &str, reason: &str) {
    gateway.metrics.datagrams_dropped_total.inc();
    let line = gateway.log.line(events::DATAGRAM_DROPPED, Severity::Routine);
    line.text("from", from).text("reason", reason).emit();
}

fn on_message(gateway: &Rc<Gateway>, message: Message, from: SocketAddr) {
    if message.sender == gateway.settings().instance_id {
        return;
    }
    let now_ms = gateway.now_ms();
    gateway.peers.borrow_mut().on_message(&message, from, now_ms);
    sync::note_era(gateway, message.progress.era);
    if let Some(read_age_ms) = message.read_age_ms {
        sync::on_peer_read(gateway, &message.progress, read_age_ms);
    }
    limits::driver::on_message_from(gateway, &message.sender);
    if gateway.store.borrow_mut().heard.on_heard(message.progress.config_version, now_ms) {
        gateway.metrics.config_version_heard.set(message.progress.config_version as i64);
        gateway.config_heard.notify_one();
    }
    if let Some(lead) = message.lead {
        step_down_for(gateway, lead.fence);
        announce_to_lead(gateway, &lead);
    }
    match message.payload {
        Payload::Heartbeat { reply_requested } => {
            if reply_requested {
                send(gateway, from, Payload::Heartbeat { reply_requested: false });
                crashes::driver::send_digest(gateway, from);
                limits::driver::send_recent(gateway, from);
            }
        }
        Payload::Demand(demand) => {
            if let Some(fleet) = gateway.fleet.borrow_mut().as_mut() {
                fleet.on_demand(&message.sender, demand, now_ms);
            }
            gateway.planning_due.notify_one();
        }
        Payload::Residency(residency) => {
            let sender =
                Sender { message_era: message.progress.era, incarnation: message.incarnation };
            on_residency(gateway, &message.sender, sender, residency, from);
        }
        Payload::Batch(batch) => sync::apply_batch(gateway, &batch),
        Payload::Config(update) => {
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move {
                sync::apply_config_update(&gateway, update).await;
            });
        }
        Payload::WorkerLeaving(process) => {
            gateway.directory.borrow_mut().on_said_leaving(process);
            gateway.state_changed.notify_waiters();
        }
        Payload::Limit(report) => limits::driver::on_report(gateway, &report),
        Payload::Limits(reports) => {
            reports.iter().for_each(|report| limits::driver::on_report(gateway, report));
        }
        Payload::GrantRequest { number, report, max_wait_ms, is_relayed } => {
            let requester = Requester { addr: from, incarnation: message.incarnation, number };
            let request = SendRequest { report, max_wait_ms, is_relayed };
            limits::driver::on_grant_request(gateway, requester, request);
        }
        Payload::Grant { number, grant, report } => {
            limits::driver::on_grant(gateway, number, grant, report.as_ref());
        }
        Payload::PackedBatch(packed) => match batches::unpack(&packed) {
            Ok(batch) => sync::apply_batch(gateway, &batch),
            Err(error) => log_dropped(gateway, &from.to_string(), &error.to_string()),
        },
        Payload::Relay(datagram) => on_relay(gateway, datagram, from),
        Payload::PackedRelay(packed) => match packed.restore(&[]) {
            Ok(datagram) => on_relay(gateway, datagram, from),
            Err(error) => log_dropped(gateway, &from.to_string(), &error.to_string()),
        },
        Payload::Relayed { from, datagram } => on_relayed(gateway, &datagram, from),
        Payload::Allotment(inner) => {
            let version = (message.progress.era, message.progress.config_version);
            allotments::driver::on_message(gateway, (&message.sender, from), version, &inner);
        }
        Payload::Spread { from: origin, datagram, below } => {
            let update = Update { from: origin.unwrap_or(from), datagram };
            tree::driver::on_spread(gateway, update, &below);
        }
        // Whether a batch follows the records known here is checked where it is unpacked.
        Payload::Changes(_) => {}
        Payload::LeadGivenUp { fence } => lead::driver::on_given_up(gateway, fence),
        Payload::ChangesWanted { next_offset } => {
            tree::driver::on_changes_wanted(gateway, next_offset, from);
        }
        Payload::CrashEvidence(reports) => crashes::driver::on_evidence(gateway, &reports),
        Payload::EvidenceDigest { digest, reply_requested } => {
            crashes::driver::on_digest(gateway, digest, reply_requested, from);
        }
        Payload::Freshness(message) => accounts::driver::on_message(gateway, message, from),
    }
    sync::on_peer_message(gateway, now_ms);
}

/// Applies an update of the lead and passes it on to the others of the failure domain.
fn on_relay(gateway: &Gateway, datagram: Vec<u8>, from: SocketAddr) {
    on_relayed(gateway, &datagram, from);
    if !tree::driver::pass_on(gateway, from, &datagram) {
        send_to_domain(gateway, Payload::Relayed { from, datagram });
    }
}

/// Applies a datagram that has reached this instance through another one. It shows nothing about the link
/// to the instance `from` that it is from, so only updates of the lead are taken from it.
pub(super) fn on_relayed(gateway: &Gateway, datagram: &[u8], from: SocketAddr) {
    match peers::decode(datagram) {
        Ok(message) => {
            let sender =
                Sender { message_era: message.progress.era, incarnation: message.incarnation };
            if let Payload::Residency(residency) = message.payload
                && message.sender != gateway.settings().instance_id
            {
                on_residency(gateway, &message.sender, sender, residency, from);
            }
        }
        Err(error) => log_dropped(gateway, &from.to_string(), &error.to_string()),
    }
}

/// Sends a heartbeat to a newer lead that this instance has not received a message from, so that the
/// lead includes it in its residency updates.
fn announce_to_lead(gateway: &Gateway, lead: &LeadInfo) {
    let known_fence = gateway.lead.borrow().as_ref().map(|known| known.fence);
    if let Some(addr) = lead.contact_addr(known_fence, gateway.settings().peers_addr) {
        send(gateway, addr, Payload::Heartbeat { reply_requested: false });
    }
}

/// Gives up leadership if `fence` is higher than this instance's own fencing number.
fn step_down_for(gateway: &Gateway, fence: u64) {
    let own = gateway.election.borrow().fence();
    if own.is_some_and(|own| own < fence) {
        gateway.election.borrow_mut().on_superseded();
        gateway.planning_due.notify_one();
    }
}

/// Process that sent a message, and the era of the store that it knew.
#[derive(Clone, Copy, Debug)]
struct Sender {
    message_era: u64,
    incarnation: u64,
}

fn on_residency(
    gateway: &Gateway,
    name: &str,
    sender: Sender,
    residency: Residency,
    from: SocketAddr,
) {
    let now_ms = gateway.now_ms();
    let known = gateway.lead.borrow().as_ref().map(|lead| lead.fence);
    if known.is_some_and(|fence| fence > residency.fence) {
        return;
    }
    step_down_for(gateway, residency.fence);
    if known != Some(residency.fence) {
        let line = gateway.log.line(events::LEAD_HEARD, Severity::Notable);
        line.text("lead", name).number("fence", residency.fence).emit();
    }
    let mut directory = gateway.directory.borrow_mut();
    let is_newest = directory.on_lead_message(residency.fence, residency.sequence);
    let mut changed = false;
    let mut is_demand_affected = false;
    if is_newest {
        *gateway.lead.borrow_mut() = Some(KnownLead {
            instance_id: name.to_owned(),
            fence: residency.fence,
            addr: Some(from),
            received_at_ms: now_ms,
        });
        if sender.message_era == gateway.store.borrow().progress.era {
            let mut election = gateway.election.borrow_mut();
            let end_offset = residency.claims_end_offset;
            election.on_lead_message(name, sender.incarnation, end_offset, now_ms);
        }
        directory.refresh_views(residency.fence, now_ms);
    }
    if let Some(status) = residency.status.as_ref().filter(|_| is_newest) {
        directory.on_status(status, now_ms);
        // Wakes requests that wait for a delayed model, so that they are refused early.
        changed |= !status.delayed_models.is_empty();
    }
    for view in residency.workers {
        let worker = directory.get(&view.id);
        let is_affected = worker.is_some_and(|worker| worker.runs_requests_beyond(&view));
        if directory.on_view(view, residency.fence, residency.sequence, now_ms) {
            changed = true;
            is_demand_affected |= is_affected;
        }
    }
    drop(directory);
    if changed {
        gateway.state_changed.notify_waiters();
    }
    if is_demand_affected {
        // An early report shows the lead that a model that it is about to evict has requests in
        // progress here.
        gateway.demand_report_due.notify_one();
    }
}

/// Announces the instance and sends heartbeats until the process ends.
pub async fn run_heartbeats(gateway: Rc<Gateway>) {
    let mut client = HttpClient::new(gateway.settings().store_addr);
    let mut announced: Option<Announced> = None;
    let mut last_read_ms: Option<u64> = None;
    // Whether all addresses were read after the own one was announced: of two instances that start at the same
    // time, one then finds the other.
    let mut has_read_all = false;
    loop {
        let now_ms = gateway.now_ms();
        client.set_addr(gateway.settings().store_addr);
        let has_no_live_peers = gateway.peers.borrow().live(now_ms).next().is_none();
        let is_read_needed = has_no_live_peers || !has_read_all;
        let read_due = last_read_ms
            .is_none_or(|read_ms| is_read_needed && now_ms >= read_ms + ANNOUNCEMENTS_READ_MS);
        let era = gateway.store.borrow().progress.era;
        if announced.is_none_or(|announced| announced.may_be_lost(era, now_ms))
            && announce(&gateway, &mut client).await
        {
            announced = Some(Announced { era, at_ms: now_ms });
            has_read_all = false;
        }
        if read_due {
            last_read_ms = Some(now_ms);
            let are_read = read_announcements(&gateway, &mut client).await;
            gateway.allotments.set_has_read_peers(are_read);
            has_read_all = are_read && announced.is_some();
            gateway.store.borrow_mut().startup.on_peers_known(gateway.now_ms());
            gateway.config_heard.notify_one();
            let settings = gateway.settings();
            let others = settings.seeds.iter().filter(|addr| **addr != settings.peers_addr);
            others.for_each(|addr| {
                send(&gateway, *addr, Payload::Heartbeat { reply_requested: true })
            });
        }
        send_heartbeats(&gateway);
        sync::drop_expired_workers(&gateway);
        gateway.pool.borrow_mut().expire(now_ms);
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// When this instance published its address.
#[derive(Clone, Copy, Debug)]
struct Announced {
    era: u64,
    at_ms: u64,
}

impl Announced {
    /// Returns whether a restore of the store that led to `era` may have lost the announcement.
    fn may_be_lost(self, era: u64, now_ms: u64) -> bool {
        self.era < era && now_ms < self.at_ms + RESTORE_LOSS_MAX_MS
    }
}

async fn announce(gateway: &Gateway, client: &mut HttpClient) -> bool {
    let announcement =
        Announcement { addr: gateway.settings().peers_addr, incarnation: gateway.incarnation };
    let Some(value) = codec::encode(gateway, "announcement", &announcement) else { return false };
    let body = store::frame_keyed(&gateway.settings().instance_id, &value);
    let path = store::append_path(store::PEERS_TOPIC, None);
    let call = client.call(Method::POST, &path, HeaderMap::new(), Bytes::from(body), STORE_TIMEOUT);
    let result = success_body(gateway, call.await);
    record_store_call(gateway, "announce", &result);
    result.is_ok()
}

/// Returns the body of a response with status 200, otherwise the reason for the failure.
fn success_body(
    gateway: &Gateway,
    response: Result<CallResponse, connection::Error>,
) -> Result<Bytes, String> {
    match response {
        Ok(response) if response.status_code == 200 => {
            sync::check_era(gateway, &response).map(|()| response.body)
        }
        Ok(response) => Err(format!("status {}", response.status_code)),
        Err(error) => Err(error.to_string()),
    }
}

fn record_store_call<T>(gateway: &Gateway, call: &str, result: &Result<T, String>) {
    let name = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.store_calls_total.with_label_values(&[call, name]).inc();
    if let Err(reason) = result {
        let line = gateway.log.line(events::STORE_CALL_FAILED, Severity::Routine);
        line.text("call", call).text("result", name).text("reason", reason).emit();
    }
}

/// Reads the announced addresses and sends a heartbeat to each; returns whether all were read.
async fn read_announcements(gateway: &Gateway, client: &mut HttpClient) -> bool {
    let mut after: Option<String> = None;
    loop {
        let path = store::newest_path(store::PEERS_TOPIC, after.as_deref());
        let call = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new(), STORE_TIMEOUT);
        let page = success_body(gateway, call.await)
            .and_then(|body| store::parse_newest(&body).map_err(|error| error.to_string()));
        record_store_call(gateway, "peers", &page);
        let Ok(page) = page else { return false };
        after = page.records.last().map(|record| record.key.clone());
        on_announcements(gateway, page.records);
        if !page.has_more || after.is_none() {
            return true;
        }
    }
}

/// Applies announcements that were read from the store.
fn on_announcements(gateway: &Gateway, records: Vec<KeyedRecord>) {
    for record in records {
        let announcement: Announcement = match postcard::from_bytes(&record.value) {
            Ok(announcement) => announcement,
            Err(error) => {
                let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
                line.text("topic", store::PEERS_TOPIC)
                    .text("key", &record.key)
                    .text("reason", error)
                    .emit();
                continue;
            }
        };
        if record.key != gateway.settings().instance_id {
            let Announcement { addr, incarnation } = announcement;
            let now_ms = gateway.now_ms();
            gateway.peers.borrow_mut().on_announced(&record.key, addr, incarnation, now_ms);
            send(gateway, addr, Payload::Heartbeat { reply_requested: true });
        }
    }
}

/// Sends a heartbeat to a few live peers, to any one known peer, and, when it is due, to the instance
/// whose reads this one relies on.
fn send_heartbeats(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let peers = gateway.peers.borrow();
    let mut rng = rand::rng();
    let mut addrs: Vec<SocketAddr> =
        peers.live(now_ms).map(|(_, peer)| peer.addr).choose_multiple(&mut rng, HEARTBEAT_PEERS);
    addrs.extend(peers.iter().map(|(_, peer)| peer.addr).choose(&mut rng));
    addrs.sort_unstable();
    addrs.dedup();
    let mut store = gateway.store.borrow_mut();
    let reader = store.take_due_notification(now_ms).and_then(|name| peers.get(name));
    let reader_addr = reader.map(|peer| peer.addr).filter(|addr| !addrs.contains(addr));
    drop(store);
    drop(peers);
    for addr in addrs {
        send(gateway, addr, Payload::Heartbeat { reply_requested: true });
    }
    if let Some(addr) = reader_addr {
        send(gateway, addr, Payload::Heartbeat { reply_requested: false });
    }
}

/// Reports to the other instances of the domain when and how far this one has read the store. Does
/// nothing while this instance itself relies on another one's reads.
pub fn report_reads(gateway: &Gateway) {
    if gateway.store.borrow().reader.is_none() {
        send_to_domain(gateway, Payload::Heartbeat { reply_requested: false });
    }
}

/// Sends the records of a read to the other instances of the domain. Does nothing while this instance
/// itself relies on another one's reads.
pub fn send_batch(gateway: &Gateway, batch: RecordBatch) {
    if gateway.store.borrow().reader.is_some() {
        return;
    }
    match batches::payloads(batch) {
        Some(payloads) => payloads.into_iter().for_each(|part| send_to_domain(gateway, part)),
        // Instances that are behind then read from the store.
        None => report_reads(gateway),
    }
}

/// Sends the configuration in force to the other instances of the domain; `next_offset` is the offset after
/// the last operator record read. Does nothing while this instance itself relies on another one's reads.
pub fn send_config(gateway: &Gateway, next_offset: u64) {
    let store = gateway.store.borrow();
    if store.reader.is_some() {
        return;
    }
    let change = store.config.as_ref().map(StoredConfig::change);
    let era = store.progress.era;
    let change = match change {
        Some(Ok(change)) if change.len() <= BATCH_MAX_BYTES => Some(change.clone()),
        _ => None,
    };
    drop(store);
    match change {
        Some(change) => {
            let update = Payload::Config(ConfigUpdate { era, next_offset, change });
            if tree::driver::send(gateway, &update) {
                report_reads(gateway);
            } else {
                send_to_domain(gateway, update);
            }
        }
        // Instances that are behind then fetch it.
        None => report_reads(gateway),
    }
}

/// Sends a message with `payload` to all peers.
pub fn send_to_all(gateway: &Gateway, payload: Payload) {
    let now_ms = gateway.now_ms();
    let kind = payload.kind();
    let Some(bytes) = codec::encode(gateway, "message", &build_message(gateway, payload)) else {
        return;
    };
    for (_, peer) in gateway.peers.borrow().unexpired(now_ms) {
        send_bytes(gateway, peer.addr, kind, &bytes);
    }
}

/// Sends a message with `payload` to the other instances of the failure domain.
pub fn send_to_domain(gateway: &Gateway, payload: Payload) {
    let now_ms = gateway.now_ms();
    let kind = payload.kind();
    let Some(bytes) = codec::encode(gateway, "message", &build_message(gateway, payload)) else {
        return;
    };
    for (_, peer) in gateway.peers.borrow().same_domain(&gateway.settings().domain, now_ms) {
        send_bytes(gateway, peer.addr, kind, &bytes);
    }
}

/// Reports demand to the lead periodically, and early when requests begin to wait.
pub async fn run_demand(gateway: Rc<Gateway>) {
    loop {
        let peers = gateway.peers.borrow().unexpired(gateway.now_ms()).count();
        let period = Duration::from_millis(peers::demand_period_ms(peers));
        if timeout(period, gateway.demand_report_due.notified()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(DEMAND_BATCH_DELAY_MS)).await;
        }
        report_demand(&gateway);
    }
}

fn report_demand(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let is_lead = gateway.election.borrow().fence().is_some();
    let to = gateway.lead.borrow().as_ref().and_then(|lead| lead.addr);
    if !is_lead && to.is_none() {
        return;
    }
    let demand = collect_demand(gateway, now_ms);
    if is_lead {
        if let Some(fleet) = gateway.fleet.borrow_mut().as_mut() {
            fleet.on_demand(&gateway.settings().instance_id, demand, now_ms);
        }
        gateway.planning_due.notify_one();
    } else if let Some(to) = to {
        send(gateway, to, Payload::Demand(demand));
    }
}

fn collect_demand(gateway: &Gateway, now_ms: u64) -> Demand {
    let directory = gateway.directory.borrow();
    let unreachable = |target: &Target| {
        let holders = directory.iter().filter(|worker| {
            worker.record.service == target.service
                && (worker.health.is_avoided(now_ms) || now_ms < worker.closed_until_ms)
                && worker.holds(&target.model, None, now_ms)
        });
        holders.map(|worker| worker.record.id.clone()).collect()
    };
    let running = directory.iter().flat_map(|worker| {
        worker.in_flight_by_model.iter().map(|(model, count)| RunningRequests {
            worker: worker.record.id.clone(),
            model: model.clone(),
            count: *count,
        })
    });
    let running = running.collect();
    let mut waits = gateway.waits.borrow_mut();
    let waiting_targets = waits.demand(unreachable, now_ms);
    Demand { waiting_targets, uses: waits.take_arrivals(), running }
}
