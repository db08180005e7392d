//! Thread of the configuration duty.

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

/// Longest wait of one read for a first record, in ms.
const LONG_POLL_MS: u64 = 1000;
/// Pause after a failed read, in ms.
const RETRY_DELAY_MS: u64 = 200;
/// Time allowed for each step of asking another instance.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Parts of the log's retention after which the document is appended again.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Tails the `config` stream until the instance stops.
pub fn run(ctx: &Context) {
    let mut last_checkpoint_ms = ctx.clock.now_ms();
    while !ctx.is_stopped() {
        fetch_from_peers(ctx);
        let from_offset = ctx.config.lock().next_offset();
        match ctx.log.read(STREAM, from_offset, LONG_POLL_MS) {
            Ok(page) => {
                ctx.config.update(|fold| fold.skip_to(page.first_offset));
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
    let verdict = ctx.config.update(|fold| fold.apply(offset, record));
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

/// Appends the document again before the records that it rests on expire.
///
/// Instances wait for different times, so that usually one of them appends.
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

/// Takes the document from another instance that has a newer one, or when there is none yet.
///
/// This serves an instance that starts while the log is down or is cut off from it.
fn fetch_from_peers(ctx: &Context) {
    let own_version = ctx.config.current().version;
    for peers_addr in peers_with_newer_config(ctx, own_version) {
        let Some(snapshot) = fetch_snapshot(peers_addr, own_version) else { continue };
        let version = snapshot.version;
        if ctx.config.update(|fold| fold.install_snapshot(snapshot)) {
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

/// Answers one question of another instance.
pub fn serve_snapshot(store: &Arc<SharedConfig>, mut stream: TcpStream) {
    let timeouts_set = stream
        .set_read_timeout(Some(PEER_TIMEOUT))
        .and_then(|()| stream.set_write_timeout(Some(PEER_TIMEOUT)));
    if timeouts_set.is_err() {
        return;
    }
    let Ok(PeerRequest::Document { known_version }) = wire::read_frame(&mut stream) else {
        return;
    };
    let response = if store.current().version > known_version {
        PeerResponse::Document(store.snapshot())
    } else {
        PeerResponse::UpToDate
    };
    // The asker repeats its question when this answer is lost.
    let _ = wire::write_frame(&mut stream, &response);
}
