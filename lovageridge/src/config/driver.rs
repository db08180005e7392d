//! The I/O thread of the configuration.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::config::SharedConfig;
use crate::config::record::Record;
use crate::config::record::STREAM;
use crate::config::record::Snapshot;
use crate::context::Context;
use crate::telemetry::events;
use crate::wire;
use crate::wire::PeerRequest;
use crate::wire::PeerResponse;

/// How long one read of the log waits for a new record, in ms.
const LONG_POLL_MS: u64 = 1000;
/// Delay before the next attempt after a failed read, in ms.
const RETRY_DELAY_MS: u64 = 200;
/// Timeout of each step of a request for a snapshot: connecting, reading and writing.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of checkpoints appended within the retention time of the log, if none is delayed.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Reads the `config` stream and applies its records until the instance stops.
pub fn run(ctx: &Context) {
    let mut last_checkpoint_ms = ctx.clock.now_ms();
    while !ctx.is_stopped() {
        fetch_from_peers(ctx);
        let from_offset = ctx.config.lock().next_offset();
        match ctx.log.read(STREAM, from_offset, LONG_POLL_MS) {
            Ok(page) => {
                ctx.config.update(|state| state.skip_to(page.first_offset));
                for entry in page.records {
                    let Some(record) = entry.decode::<Record>() else { continue };
                    if matches!(record, Record::Checkpoint(_)) {
                        last_checkpoint_ms = ctx.clock.now_ms();
                    }
                    apply(ctx, entry.offset, record);
                }
                append_checkpoint_if_due(ctx, &mut last_checkpoint_ms);
            }
            Err(error) => {
                events::LOG_UNREACHABLE.log_warning(&ctx.own.instance_id, &error.to_string());
                ctx.pause_ms(RETRY_DELAY_MS);
            }
        }
    }
}

fn apply(ctx: &Context, offset: u64, record: Record) {
    let before = ctx.config.current().version;
    let verdict = ctx.config.update(|state| state.apply(offset, record));
    let after = ctx.config.current().version;
    if after != before {
        info!(
            "{}",
            events::CONFIG_ACCEPTED.text(&ctx.own.instance_id, &format!("version {after}"))
        );
        ctx.metrics.config_version.set(after as i64);
    } else if let Some(verdict) = verdict {
        warn!("{}", events::CONFIG_REJECTED.text(&ctx.own.instance_id, &format!("{verdict:?}")));
    }
}

/// Appends a checkpoint of the document before the edits that it consists of expire in the log.
///
/// The wait differs between instances, so that usually only one of them appends.
fn append_checkpoint_if_due(ctx: &Context, last_checkpoint_ms: &mut u64) {
    let config = ctx.config.current();
    if config.version == 0 || !ctx.config.lock().is_complete() {
        return;
    }
    let interval_ms = config.venture.log_retention_s * 1000 / CHECKPOINTS_PER_RETENTION;
    let jitter_ms = ctx.own.stagger_hash() % (interval_ms / 2 + 1);
    if ctx.clock.now_ms() < *last_checkpoint_ms + interval_ms + jitter_ms {
        return;
    }
    let record = Record::Checkpoint(ctx.config.snapshot());
    if ctx.log.append(STREAM, &record).is_ok() {
        *last_checkpoint_ms = ctx.clock.now_ms();
    }
}

/// Fetches the document from another instance that reports a newer version.
///
/// An instance that cannot reach the log gets its configuration this way.
fn fetch_from_peers(ctx: &Context) {
    let own_version = ctx.config.current().version;
    for peers_addr in peers_with_newer_config(ctx, own_version) {
        let Some(snapshot) = fetch_snapshot(peers_addr, own_version) else { continue };
        let version = snapshot.version;
        if ctx.config.update(|state| state.install_snapshot(snapshot)) {
            info!("{}", events::CONFIG_FROM_PEER.text(&ctx.own.instance_id, &version.to_string()));
            ctx.metrics.config_version.set(version as i64);
            return;
        }
    }
}

fn peers_with_newer_config(ctx: &Context, own_version: u64) -> Vec<SocketAddr> {
    let now_ms = ctx.clock.now_ms();
    let members = ctx.members();
    let newer = |version: u64| version > own_version;
    let newer_members = members.alive(now_ms).filter(|(_, m)| newer(m.config_version));
    newer_members.map(|(_, m)| m.peers_addr).collect()
}

fn fetch_snapshot(peers_addr: SocketAddr, known_version: u64) -> Option<Snapshot> {
    let mut stream = TcpStream::connect_timeout(&peers_addr, PEER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(PEER_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(PEER_TIMEOUT)).ok()?;
    wire::write_frame(&mut stream, &PeerRequest::Document { known_version }).ok()?;
    match wire::read_frame(&mut stream).ok()? {
        PeerResponse::Document(snapshot) => Some(snapshot),
        PeerResponse::UpToDate => None,
    }
}

/// Answers the request of another instance for a newer document.
pub fn serve_snapshot(shared: &Arc<SharedConfig>, mut stream: TcpStream) {
    let timeouts_set = stream
        .set_read_timeout(Some(PEER_TIMEOUT))
        .and_then(|()| stream.set_write_timeout(Some(PEER_TIMEOUT)));
    if timeouts_set.is_err() {
        return;
    }
    let Ok(PeerRequest::Document { known_version }) = wire::read_frame(&mut stream) else {
        return;
    };
    let response = if shared.current().version > known_version {
        PeerResponse::Document(shared.snapshot())
    } else {
        PeerResponse::UpToDate
    };
    // The other instance repeats its request when this response is lost.
    let _ = wire::write_frame(&mut stream, &response);
}
