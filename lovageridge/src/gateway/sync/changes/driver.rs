//! I/O driver of batches of workers' records without what is known already.

use crate::gateway::Gateway;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers;
use crate::gateway::peers::Payload;
use crate::gateway::peers::tree::driver::Update;
use crate::gateway::sync;
use crate::gateway::sync::changes::KeptBatch;
use crate::gateway::sync::changes::RecordChanges;
use crate::gateway::sync::view::EraChange;
use crate::gateway::sync::view::Topic;
use crate::telemetry::events;

/// Applies a batch that another instance of the failure domain has read, and those after it that came earlier.
pub fn on_changes(gateway: &Gateway, batch: &RecordChanges, update: Update) {
    if sync::note_era(gateway, batch.era) != EraChange::None {
        return;
    }
    let Some(own) = gateway.store.borrow().next_offset(Topic::Workers) else {
        return keep(gateway, batch, update);
    };
    if batch.next_offset <= own {
        return;
    }
    keep(gateway, batch, update);
    if own < batch.start_offset {
        gateway.store.borrow_mut().on_gap(gateway.now_ms());
        gateway.reader_advanced.notify_waiters();
        return;
    }
    let mut is_applied = apply(gateway, batch);
    while is_applied && let Some(next) = kept_next(gateway) {
        is_applied = apply(gateway, &next);
    }
    if !is_applied {
        gateway.store.borrow_mut().on_gap(gateway.now_ms());
        gateway.reader_advanced.notify_waiters();
    }
}

/// Keeps a batch for others that miss it.
pub fn keep(gateway: &Gateway, batch: &RecordChanges, update: Update) {
    let kept = KeptBatch {
        era: batch.era,
        start_offset: batch.start_offset,
        next_offset: batch.next_offset,
        len: update.datagram.len(),
        batch: update,
    };
    let now_ms = gateway.now_ms();
    gateway.store.borrow_mut().kept.push(kept, now_ms);
}

fn kept_next(gateway: &Gateway) -> Option<RecordChanges> {
    let store = gateway.store.borrow();
    let own = store.next_offset(Topic::Workers)?;
    let kept = store.kept.at(store.progress.era, own)?;
    let bytes = kept.batch.datagram.restore(&[]).ok()?;
    match peers::decode(&bytes).ok()?.payload {
        Payload::Changes(batch) => Some(batch),
        _ => None,
    }
}

/// Applies the records of a batch that are new here; returns whether those were known that it is relative to.
fn apply(gateway: &Gateway, batch: &RecordChanges) -> bool {
    let mut store = gateway.store.borrow_mut();
    let own = store.next_offset(Topic::Workers).unwrap_or(0);
    let asked = store.repair_attempts();
    let taken = store.take_changes(batch);
    drop(store);
    let Some(records) = taken else { return false };
    for record in records {
        sync::apply_worker_record(gateway, &record);
    }
    if asked > 0 {
        let source = if asked == 1 { "reader" } else { "peer" };
        log_gap(gateway, own, source);
    }
    true
}

/// Logs that records from `offset` on were missed, and where they were taken from.
pub fn log_gap(gateway: &Gateway, offset: u64, source: &str) {
    let line = gateway.log.line(events::RECORDS_GAP, Severity::Routine);
    line.number("offset", offset).text("source", source).emit();
}
