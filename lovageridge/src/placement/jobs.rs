//! Threads of the placement driver: calls to workers, appends to the log, reads of claims.

use std::collections::VecDeque;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::context::Context;
use crate::leadership::lead_table;
use crate::leadership::lead_table::LeadTable;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::event::Event;
use crate::placement::record;
use crate::placement::record::LoadDecision;
use crate::telemetry::events;
use crate::upstream::engine;

/// Most records that one thread keeps for retry while the log is unreachable.
const PENDING_RECORDS_MAX: usize = 4096;
/// Longest wait of a long-poll read of the claims, in ms; short, since each read renews the leases.
const CLAIMS_READ_WAIT_MS: u64 = 250;
/// Delay before a failed read or append is retried, in ms.
const RETRY_DELAY_MS: u64 = 150;
/// Number of checkpoints of the leads that are appended within the retention time of the log.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Job for a thread that appends to the log and reads decisions.
pub(super) enum LogJob {
    Append { stream: String, record: record::Record, notify_logged: Option<(String, u64, u64)> },
    ReadUnsettled { cell: String, epoch: u64 },
    Claim(lead_table::Record),
    Release { records: Vec<lead_table::Record>, done: Sender<()> },
}

/// Makes calls to workers until the queue closes.
///
/// The time limit is checked immediately before the order is sent. A process that is paused between
/// that check and the write can still send a late order; `docs/PROOFS.md` describes the effect.
pub(super) fn run_worker_calls(ctx: &Context, queue: &Receiver<(String, u64, Call)>) {
    while let Ok((cell, epoch, call)) = queue.recv() {
        let started_ms = ctx.clock.now_ms();
        let result = match &call.order {
            Some(_) if started_ms >= call.not_after_ms => Err(Failure::NotSent),
            Some(order) => engine::send_order(call.addr, order).map_err(failure),
            None => engine::fetch_state(call.addr).map_err(failure),
        };
        let result =
            CallResult { worker: call.worker, purpose: call.purpose, epoch, started_ms, result };
        if ctx.placement_queue.send(Event::CallResult { cell, result }).is_err() {
            return;
        }
    }
}

fn failure(error: engine::Error) -> Failure {
    match error {
        engine::Error::NotSent(_) => Failure::NotSent,
        engine::Error::NoResponse(_) | engine::Error::Malformed(_) => Failure::NoAnswer,
        engine::Error::Fenced => Failure::Fenced,
        engine::Error::Refused { .. } => Failure::Refused,
    }
}

/// Appends records and reads decisions until the queue closes.
pub(super) fn run_log_jobs(ctx: &Context, queue: &Receiver<LogJob>) {
    let mut pending: VecDeque<(String, record::Record)> = VecDeque::new();
    loop {
        append_pending(ctx, &mut pending);
        let job = match queue.recv_timeout(Duration::from_millis(RETRY_DELAY_MS)) {
            Ok(job) => job,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match job {
            LogJob::Append { stream, record, notify_logged } => {
                let appended = append(ctx, &stream, &record);
                if let Some((cell, epoch, sequence)) = notify_logged {
                    append_until_confirmed(ctx, &stream, &record, appended);
                    ctx.offer_placement_event(Event::DecisionLogged { cell, epoch, sequence });
                } else if !appended && pending.len() < PENDING_RECORDS_MAX {
                    pending.push_back((stream, record));
                }
            }
            LogJob::Claim(record) => drop(append(ctx, lead_table::STREAM, &record)),
            LogJob::ReadUnsettled { cell, epoch } => {
                let decisions = read_unsettled(ctx, &cell);
                ctx.offer_placement_event(Event::UnsettledRead { cell, epoch, decisions });
            }
            LogJob::Release { records, done } => {
                for record in &records {
                    append(ctx, lead_table::STREAM, record);
                }
                let _ = done.send(());
            }
        }
    }
}

/// Appends the records that could not be appended while the log was unreachable.
///
/// No order waits for them: they are decisions for engines that check fencing, settlements or
/// unloads.
fn append_pending(ctx: &Context, pending: &mut VecDeque<(String, record::Record)>) {
    while let Some((stream, record)) = pending.front() {
        if ctx.is_stopped() || !append(ctx, stream, record) {
            return;
        }
        pending.pop_front();
    }
}

fn append(ctx: &Context, stream: &str, record: &impl serde::Serialize) -> bool {
    let result = ctx.log.append(stream, record);
    let label = if result.is_ok() { "ok" } else { "failed" };
    let kind = stream.split('.').next().unwrap_or(stream);
    ctx.metrics.log_appends_total.with_label_values(&[kind, label]).inc();
    if let Err(error) = &result {
        events::LOG_UNREACHABLE.log_warning(&ctx.own.instance_id, &error.to_string());
    }
    result.is_ok()
}

/// Retries the append of a decision until the log confirms it; a duplicate has no effect.
fn append_until_confirmed(
    ctx: &Context,
    stream: &str,
    record: &record::Record,
    appended_before: bool,
) {
    let mut appended = appended_before;
    while !appended && !ctx.is_stopped() {
        ctx.pause_ms(RETRY_DELAY_MS);
        appended = append(ctx, stream, record);
    }
}

/// Reads the unsettled decisions of `cell`, and retries until the log responds.
fn read_unsettled(ctx: &Context, cell: &str) -> Vec<LoadDecision> {
    let stream = record::stream_name(cell);
    let mut records = Vec::new();
    let mut from_offset = 0;
    while !ctx.is_stopped() {
        let Ok(page) = ctx.log.read(&stream, from_offset, 0) else {
            ctx.pause_ms(RETRY_DELAY_MS);
            continue;
        };
        records.extend(page.records.iter().filter_map(|e| e.decode::<record::Record>()));
        from_offset = page.records.last().map_or(page.next_offset, |e| e.offset + 1);
        if from_offset >= page.next_offset {
            break;
        }
    }
    record::unsettled(records)
}

/// Follows the `cells` stream until the instance stops; each read to its end renews the leases.
pub(super) fn run_claim_reader(ctx: &Context) {
    let mut lead_table = LeadTable::default();
    let mut last_checkpoint_ms = ctx.clock.now_ms();
    while !ctx.is_stopped() {
        let started_ms = ctx.clock.now_ms();
        let Ok(page) =
            ctx.log.read(lead_table::STREAM, lead_table.next_offset(), CLAIMS_READ_WAIT_MS)
        else {
            ctx.pause_ms(RETRY_DELAY_MS);
            continue;
        };
        lead_table.on_bounds(page.first_offset, page.next_offset);
        for entry in &page.records {
            let Some(record) = entry.decode::<lead_table::Record>() else { continue };
            if matches!(record, lead_table::Record::Checkpoint { .. }) {
                last_checkpoint_ms = ctx.clock.now_ms();
            }
            lead_table.apply(entry.offset, record);
        }
        let at_end = page.records.last().is_none_or(|e| e.offset + 1 >= page.next_offset);
        if at_end {
            ctx.offer_placement_event(Event::LeadTableRead {
                lead_table: Box::new(lead_table.clone()),
                started_ms,
            });
            checkpoint_if_due(ctx, &lead_table, &mut last_checkpoint_ms);
        }
    }
}

fn checkpoint_if_due(ctx: &Context, lead_table: &LeadTable, last_checkpoint_ms: &mut u64) {
    let retention_s = ctx.config.current().venture.log_retention_s;
    let interval_ms = retention_s * 1000 / CHECKPOINTS_PER_RETENTION;
    let stagger_ms = ctx.own.stagger_hash() % (interval_ms / 2 + 1);
    let due_ms = *last_checkpoint_ms + interval_ms + stagger_ms;
    let has_leads = lead_table.leads().next().is_some();
    if has_leads
        && lead_table.is_complete()
        && ctx.clock.now_ms() >= due_ms
        && append(ctx, lead_table::STREAM, &lead_table.checkpoint())
    {
        *last_checkpoint_ms = ctx.clock.now_ms();
    }
}
