//! Transfers of the configuration and of all records between instances over TCP.
//!
//! An instance that hears of a newer configuration and does not get it as a datagram fetches it from any
//! instance that has it. An instance that cannot reach the store fetches the workers' records as well.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::codec;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers::Payload;
use crate::gateway::peers::Progress;
use crate::gateway::peers::Snapshot;
use crate::gateway::peers::driver::send_to_domain;
use crate::gateway::serve::ACCEPT_RETRY_DELAY;
use crate::gateway::sync;
use crate::gateway::sync::delta::DocumentId;
use crate::gateway::sync::startup;
use crate::gateway::sync::startup::Situation;
use crate::gateway::sync::startup::StartStep;
use crate::telemetry::events;

/// Longest time without any progress of a transfer, for either side.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time of a transfer, for either side.
const TRANSFER_MAX: Duration = Duration::from_secs(10);
/// Most transfers that an instance serves at the same time; others ask again, mostly elsewhere.
const UPLOADS_MAX: u32 = 4;
/// Largest transfer, in bytes.
const SNAPSHOT_MAX_BYTES: u64 = 16 << 20;
/// Largest request for a transfer, in bytes.
const REQUEST_MAX_BYTES: usize = 64;
/// Most bytes of a transfer that are written at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Interval at which an instance checks whether it needs a transfer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same until the instance has its first records.
const START_INTERVAL: Duration = Duration::from_millis(startup::POLL_MS);
/// Most transfers that an instance of a large failure domain serves at the same time: at a start of all of
/// them, an instance that has the records after half of the time serves others from then on.
const LARGE_UPLOADS_MAX: u32 = 1;
/// Time for which a transfer of all records is sent again to others, in ms; much shorter than the time for
/// which members keep the batches that follow it.
const SNAPSHOT_REUSE_MS: u64 = 1000;
/// Time for which the datagram with a new configuration may be on its way, in ms.
const DATAGRAM_WAIT_MS: u64 = 60;
/// The same in a large failure domain, in ms: three hops, of each of which an update of 20 KB to all children
/// takes 130 ms of a link of 10 Mbit/s.
const LARGE_DATAGRAM_WAIT_MS: u64 = 400;
/// Bounds of the pause after a failed transfer, in ms.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 30..120;
/// Time after which a configuration is fetched from another failure domain, in ms; the links between
/// domains carry it once for each domain in the meantime.
const OTHER_DOMAINS_WAIT_MS: u64 = 500;
/// Time after which an old configuration is logged, in ms.
const BEHIND_LOG_MS: u64 = 1000;

/// Request for a transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct TransferRequest {
    /// Configuration that the sender has.
    known_config: Option<DocumentId>,
    /// Whether the workers' records are wanted too.
    with_workers: bool,
}

/// A transfer of all records as last sent.
#[derive(Clone, Debug)]
pub struct EncodedSnapshot {
    encoded_ms: u64,
    progress: Progress,
    bytes: Rc<Vec<u8>>,
}

/// Fetches what this instance is missing from others, until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let is_pending = gateway.store.borrow().startup.is_pending();
        let interval = if is_pending { START_INTERVAL } else { CHECK_INTERVAL };
        let _ = timeout(interval, gateway.config_heard.notified()).await;
        if is_pending && !start(&gateway).await {
            continue;
        }
        if needs_all_records(&gateway) {
            fetch_all_records(&gateway).await;
        } else if gateway.store.borrow().heard.is_newer() {
            let wait_ms = match gateway.store.borrow().is_large() {
                true => LARGE_DATAGRAM_WAIT_MS,
                false => DATAGRAM_WAIT_MS,
            };
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            fetch_config(&gateway).await;
        }
    }
}

/// Carries out the next step towards the first records of this instance; returns whether to proceed as an
/// instance of a small failure domain.
async fn start(gateway: &Gateway) -> bool {
    if !gateway.store.borrow().needs_newest() {
        on_started(gateway);
        return true;
    }
    let (step, is_read_new) = next_start_step(gateway);
    if is_read_new {
        gateway.reader_advanced.notify_waiters();
    }
    match step {
        StartStep::Proceed => return true,
        StartStep::Read | StartStep::Wait(_) => return false,
        StartStep::Copy(name) => {
            let addr = gateway.peers.borrow().get(&name).map(|peer| peer.addr);
            let Some(addr) = addr else { return false };
            let is_copied = fetch(gateway, &name, addr, true).await;
            if is_copied && !gateway.store.borrow().needs_newest() {
                gateway.store.borrow_mut().startup.on_copied();
                on_started(gateway);
            } else {
                let pause_ms = rand::random_range(RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
    false
}

/// Returns the next step, and whether it is the first one that allows to read from the store.
fn next_start_step(gateway: &Gateway) -> (StartStep, bool) {
    let now_ms = gateway.now_ms();
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut store = gateway.store.borrow_mut();
    let (progress, transferring_ms) = (store.progress, store.transferring_ms());
    let situation = Situation::new(&peers, settings.rank(), progress, transferring_ms, now_ms);
    let might_read = store.startup.may_read();
    let step = store.startup.step(&situation, now_ms);
    (step, store.startup.may_read() && !might_read)
}

/// Tells the others of a large failure domain that they can copy the records of this instance.
fn on_started(gateway: &Gateway) {
    let mut store = gateway.store.borrow_mut();
    let is_large = store.startup.is_large();
    let is_copied = store.startup.is_copied();
    let elapsed_ms = store.startup.on_complete(gateway.now_ms());
    drop(store);
    if let Some(elapsed_ms) = elapsed_ms.filter(|_| is_large) {
        let source = if is_copied { "peer" } else { "store" };
        let line = gateway.log.line(events::START_COPIED, Severity::Notable);
        line.text("source", source).number("elapsed_ms", elapsed_ms).emit();
        send_to_domain(gateway, Payload::Heartbeat { reply_requested: false });
    }
}

fn needs_all_records(gateway: &Gateway) -> bool {
    let store = gateway.store.borrow();
    gateway.catalog().is_none() || store.is_unreachable() || store.needs_newest()
}

async fn fetch_all_records(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let own = gateway.store.borrow().progress;
    let ahead = gateway.peers.borrow().ahead_of(own, now_ms).map(|(n, p)| (n.clone(), p.addr));
    if let Some((name, addr)) = ahead {
        fetch(gateway, &name, addr, true).await;
    }
}

/// Fetches the configuration until no newer one is known of.
async fn fetch_config(gateway: &Gateway) {
    while gateway.store.borrow().heard.is_newer() {
        log_if_behind(gateway);
        let Some((name, addr)) = choose_holder(gateway) else { return };
        if !fetch(gateway, &name, addr, false).await {
            let pause_ms = rand::random_range(RETRY_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Returns an instance that has a newer configuration, of this failure domain if there is one.
fn choose_holder(gateway: &Gateway) -> Option<(String, SocketAddr)> {
    let now_ms = gateway.now_ms();
    let store = gateway.store.borrow();
    let peers = gateway.peers.borrow();
    let settings = gateway.settings();
    let version = store.progress.config_version;
    let holders = |own_domain: bool| {
        let newer = peers.live(now_ms).filter(|(_, peer)| {
            peer.progress.config_version > version && (peer.domain == settings.domain) == own_domain
        });
        newer.choose(&mut rand::rng()).map(|(name, peer)| (name.clone(), peer.addr))
    };
    let is_late = now_ms >= store.heard.since_ms() + OTHER_DOMAINS_WAIT_MS;
    holders(true).or_else(|| is_late.then(|| holders(false)).flatten())
}

fn log_if_behind(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let mut store = gateway.store.borrow_mut();
    if store.heard.take_due_report(now_ms, BEHIND_LOG_MS) {
        let line = gateway.log.line(events::CONFIG_BEHIND, Severity::Notable);
        line.number("version", store.progress.config_version)
            .number("newest_heard", store.heard.version())
            .number("age_ms", now_ms - store.heard.since_ms())
            .emit();
    }
}

/// Fetches the configuration of a peer, and the workers' records if they are wanted; returns whether the
/// transfer succeeded.
async fn fetch(gateway: &Gateway, name: &str, addr: SocketAddr, with_workers: bool) -> bool {
    let known_config = gateway.store.borrow().config.as_ref().map(|config| config.id);
    let request = TransferRequest { known_config, with_workers };
    let fetched = match timeout(TRANSFER_MAX, receive(gateway, addr, &request)).await {
        Ok(fetched) => fetched,
        Err(_) => Err("timed out".to_owned()),
    };
    let (snapshot, bytes) = match fetched {
        Ok(fetched) => fetched,
        Err(reason) => {
            let line = gateway.log.line(events::SNAPSHOT_FAILED, Severity::Routine);
            line.text("peer", name).text("reason", reason).emit();
            return false;
        }
    };
    let line = gateway.log.line(events::RECORDS_FROM_PEER, Severity::Notable);
    line.text("peer", name)
        .number("config_version", snapshot.progress.config_version)
        .number("workers_end", snapshot.progress.workers_end)
        .number("bytes", bytes as u64)
        .emit();
    sync::snapshots::apply_snapshot(gateway, snapshot).await;
    true
}

async fn receive(
    gateway: &Gateway,
    addr: SocketAddr,
    request: &TransferRequest,
) -> Result<(Snapshot, usize), String> {
    let request = postcard::to_stdvec(request).map_err(|error| error.to_string())?;
    let connecting = timeout(PROGRESS_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = connecting.map_err(|_| "no connection".to_owned())?;
    let mut stream = stream.map_err(|error| error.to_string())?;
    stream.write_all(&request).await.map_err(|error| error.to_string())?;
    stream.shutdown().await.map_err(|error| error.to_string())?;
    let mut bytes = Vec::new();
    let mut body = stream.take(SNAPSHOT_MAX_BYTES);
    loop {
        let Ok(read) = timeout(PROGRESS_TIMEOUT, body.read_buf(&mut bytes)).await else {
            return Err(format!("timed out after {} bytes", bytes.len()));
        };
        if read.map_err(|error| error.to_string())? == 0 {
            break;
        }
        gateway.store.borrow_mut().on_transfer_progress(gateway.now_ms());
    }
    if bytes.is_empty() {
        return Err("busy".to_owned());
    }
    let snapshot = postcard::from_bytes(&bytes).map_err(|error| error.to_string())?;
    Ok((snapshot, bytes.len()))
}

/// Serves transfers to peers until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let line = gateway.log.line(events::ACCEPT_FAILED, Severity::Notable);
                line.text("port", "peers").text("detail", error).emit();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let is_large = gateway.store.borrow().is_large();
        let uploads_max = if is_large { LARGE_UPLOADS_MAX } else { UPLOADS_MAX };
        if gateway.uploads.get() >= uploads_max {
            gateway.metrics.transfers_total.with_label_values(&["busy"]).inc();
            continue;
        }
        gateway.uploads.set(gateway.uploads.get() + 1);
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            // A peer that did not get the transfer asks again.
            let is_done =
                timeout(TRANSFER_MAX, send(&gateway, stream)).await.is_ok_and(|sent| sent.is_ok());
            let result = if is_done { "ok" } else { "failed" };
            gateway.metrics.transfers_total.with_label_values(&[result]).inc();
            gateway.uploads.set(gateway.uploads.get() - 1);
        });
    }
}

async fn send(gateway: &Gateway, mut stream: TcpStream) -> Result<(), std::io::Error> {
    let mut request = Vec::with_capacity(REQUEST_MAX_BYTES);
    let reading = (&mut stream).take(REQUEST_MAX_BYTES as u64);
    let mut reading = std::pin::pin!(reading);
    timeout(PROGRESS_TIMEOUT, reading.read_to_end(&mut request)).await??;
    let request: TransferRequest = postcard::from_bytes(&request).map_err(std::io::Error::other)?;
    let Some(bytes) = encoded_snapshot(gateway, &request) else { return Ok(()) };
    gateway.metrics.peer_bytes_total.with_label_values(&["transfer"]).inc_by(bytes.len() as u64);
    for chunk in bytes.chunks(CHUNK_BYTES) {
        timeout(PROGRESS_TIMEOUT, stream.write_all(chunk)).await??;
    }
    timeout(PROGRESS_TIMEOUT, stream.shutdown()).await?
}

/// Returns the transfer for a request. That of all records is reused in a large failure domain, since its
/// compression takes an instance with a tenth of a core 0.1 s.
fn encoded_snapshot(gateway: &Gateway, request: &TransferRequest) -> Option<Rc<Vec<u8>>> {
    let now_ms = gateway.now_ms();
    let store = gateway.store.borrow();
    let is_reusable = store.is_large() && request.known_config.is_none() && request.with_workers;
    let progress = store.progress;
    if let Some(last) = store.last_snapshot.as_ref().filter(|_| is_reusable)
        && now_ms < last.encoded_ms + SNAPSHOT_REUSE_MS
        && (last.progress.era, last.progress.config_version)
            == (progress.era, progress.config_version)
    {
        return Some(Rc::clone(&last.bytes));
    }
    drop(store);
    let snapshot = sync::snapshots::snapshot(gateway, request.known_config, request.with_workers);
    let bytes = Rc::new(codec::encode(gateway, "snapshot", &snapshot)?);
    if is_reusable {
        let bytes = Rc::clone(&bytes);
        let last = EncodedSnapshot { encoded_ms: now_ms, progress: snapshot.progress, bytes };
        gateway.store.borrow_mut().last_snapshot = Some(last);
    }
    Some(bytes)
}
