//! Snapshots: what an instance has read from the store, for a peer that is missing it.

use std::fmt::Display;

use crate::gateway::Gateway;
use crate::gateway::codec;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers::Snapshot;
use crate::gateway::sync::SOURCE_SNAPSHOT;
use crate::gateway::sync::apply_config;
use crate::gateway::sync::apply_worker;
use crate::gateway::sync::delta;
use crate::gateway::sync::delta::Delta;
use crate::gateway::sync::delta::DocumentId;
use crate::gateway::sync::note_era;
use crate::gateway::sync::remove_worker;
use crate::gateway::sync::restore;
use crate::gateway::sync::view::EraChange;
use crate::gateway::sync::view::Topic;
use crate::telemetry::events;

/// Returns what this instance has read, for a peer that has the configuration with `known_config`.
pub fn snapshot(
    gateway: &Gateway,
    known_config: Option<DocumentId>,
    with_workers: bool,
) -> Snapshot {
    let store = gateway.store.borrow();
    let config = store.config.as_ref().filter(|config| known_config != Some(config.id));
    let config = config.and_then(|config| {
        compressed(gateway, "configuration", config.since(known_config).cloned())
    });
    let workers = with_workers.then(|| {
        let workers = store.workers.iter().map(|(id, bytes)| (id.as_str(), bytes.as_slice()));
        let bytes = codec::encode(gateway, "records", &workers.collect::<Vec<_>>())?;
        compressed(gateway, "records", Delta::new(None, &bytes))
    });
    let workers = workers.flatten();
    let config_era = store.config.as_ref().map_or(0, |config| config.era);
    Snapshot { config, config_era, progress: store.progress, workers }
}

/// Returns the compressed document; a failure is logged with `what`, and `None` is returned.
fn compressed(gateway: &Gateway, what: &str, delta: Result<Delta, delta::Error>) -> Option<Delta> {
    match delta {
        Ok(delta) => Some(delta),
        Err(error) => {
            let line = gateway.log.line(events::ENCODE_FAILED, Severity::Notable);
            line.text("what", what).text("reason", error).emit();
            None
        }
    }
}

/// Applies what is newer in a snapshot than here.
pub async fn apply_snapshot(gateway: &Gateway, snapshot: Snapshot) {
    if let Some(change) = &snapshot.config {
        match restore(gateway, change) {
            Ok(document) => {
                apply_config(gateway, document, snapshot.config_era, SOURCE_SNAPSHOT).await;
            }
            Err(error) => return log_skipped_document(gateway, Topic::Operator, &error),
        }
    }
    // The offsets and the workers' records of another era say nothing about this one.
    if note_era(gateway, snapshot.progress.era) == EraChange::Outdated {
        return;
    }
    // A snapshot without the configuration that its offset covers must not hide that it is missing.
    let own_version = gateway.store.borrow().progress.config_version;
    if snapshot.progress.config_version <= own_version {
        let operator_end = snapshot.progress.operator_end;
        gateway.store.borrow_mut().advance_if_newer(Topic::Operator, operator_end);
    }
    let Some(workers) = &snapshot.workers else { return };
    let workers = workers.restore(&[]).map_err(|error| error.to_string()).and_then(|bytes| {
        postcard::from_bytes::<Vec<(String, Vec<u8>)>>(&bytes).map_err(|error| error.to_string())
    });
    match workers {
        Ok(workers) => apply_worker_snapshot(gateway, &workers, snapshot.progress.workers_end),
        Err(error) => log_skipped_document(gateway, Topic::Workers, &error),
    }
}

fn log_skipped_document(gateway: &Gateway, topic: Topic, error: &impl Display) {
    let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
    line.text("topic", topic.name()).text("key", "").text("reason", error).emit();
}

fn apply_worker_snapshot(gateway: &Gateway, workers: &[(String, Vec<u8>)], workers_end: u64) {
    let own_end = gateway.store.borrow().progress.workers_end;
    if workers_end > own_end {
        let known: Vec<String> =
            gateway.directory.borrow().iter().map(|worker| worker.record.id.clone()).collect();
        for id in known {
            if workers.iter().all(|(key, _)| *key != id) {
                remove_worker(gateway, &id);
            }
        }
        for (id, bytes) in workers {
            apply_worker(gateway, id, bytes);
        }
    }
    gateway.store.borrow_mut().advance_if_newer(Topic::Workers, workers_end);
}
