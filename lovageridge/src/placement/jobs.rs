//! Threads around the placement duty: calls to workers, appends to the log, the tail of claims.

use std::collections::VecDeque;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::context::Context;
use crate::leadership::fold;
use crate::leadership::fold::Fold;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::event::Event;
use crate::placement::record;
use crate::placement::record::LoadDecision;
use crate::telemetry::events;
use crate::upstream::engine;

/// Most records that one thread keeps while the log is down.
const KEPT_RECORDS: usize = 4096;
/// Wait of a read of the claims, in ms; short, since each read renews the leases.
const READ_WAIT_MS: u64 = 250;
/// Pause after a failed read, in ms.
const RETRY_MS: u64 = 150;
/// Parts of the log's retention after which the leads are appended again.
const CHECKPOINT_PARTS: u64 = 4;

/// Work for the thread that appends to the log and reads decisions.
pub(super) enum LogJob {
    Append { stream: String, record: record::Record, logged: Option<(String, u64, u64)> },
    ReadUndone { cell: String, epoch: u64 },
    Claim(fold::Record),
    Release { records: Vec<fold::Record>, done: Sender<()> },
}

/// Makes calls to workers until the ring closes.
///
/// The time limit is checked immediately before the order is written. A process that is paused
/// between that check and the write can still send a late order; `docs/PROOFS.md` says what follows.
pub(super) fn run_caller(ctx: &Context, ring: &Receiver<(String, u64, Call)>) {
    while let Ok((cell, epoch, call)) = ring.recv() {
        let begun_ms = ctx.clock.now_ms();
        let result = match &call.order {
            Some(_) if begun_ms >= call.not_after_ms => Err(Failure::NotSent),
            Some(order) => engine::order(call.addr, order).map_err(failure),
            None => engine::state(call.addr).map_err(failure),
        };
        let result =
            CallResult { worker: call.worker, purpose: call.purpose, epoch, begun_ms, result };
        if ctx.lead.send(Event::Result { cell, result }).is_err() {
            return;
        }
    }
}

fn failure(error: engine::Error) -> Failure {
    match error {
        engine::Error::NotSent(_) => Failure::NotSent,
        engine::Error::NoAnswer(_) | engine::Error::Malformed(_) => Failure::NoAnswer,
        engine::Error::Fenced => Failure::Fenced,
        engine::Error::Refused { .. } => Failure::Refused,
    }
}

/// Appends records and reads decisions until the ring closes.
pub(super) fn run_log_jobs(ctx: &Context, ring: &Receiver<LogJob>) {
    let mut kept: VecDeque<(String, record::Record)> = VecDeque::new();
    loop {
        append_kept(ctx, &mut kept);
        let job = match ring.recv_timeout(Duration::from_millis(RETRY_MS)) {
            Ok(job) => job,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match job {
            LogJob::Append { stream, record, logged } => {
                let appended = append(ctx, &stream, &record);
                if let Some((cell, epoch, sequence)) = logged {
                    retry_decision(ctx, &stream, &record, appended);
                    ctx.offer_lead(Event::Logged { cell, epoch, sequence });
                } else if !appended && kept.len() < KEPT_RECORDS {
                    kept.push_back((stream, record));
                }
            }
            LogJob::Claim(record) => drop(append(ctx, fold::STREAM, &record)),
            LogJob::ReadUndone { cell, epoch } => {
                let decisions = read_undone(ctx, &cell);
                ctx.offer_lead(Event::Undone { cell, epoch, decisions });
            }
            LogJob::Release { records, done } => {
                for record in &records {
                    append(ctx, fold::STREAM, record);
                }
                let _ = done.send(());
            }
        }
    }
}

/// Appends what an outage of the log kept back: decisions of leads whose engines check fencing.
fn append_kept(ctx: &Context, kept: &mut VecDeque<(String, record::Record)>) {
    while let Some((stream, record)) = kept.front() {
        if ctx.is_stopped() || !append(ctx, stream, record) {
            return;
        }
        kept.pop_front();
    }
}

fn append(ctx: &Context, stream: &str, record: &impl serde::Serialize) -> bool {
    let result = ctx.log.append(stream, record);
    let label = if result.is_ok() { "ok" } else { "failed" };
    let kind = stream.split('.').next().unwrap_or(stream);
    ctx.metrics.log_appends_total.with_label_values(&[kind, label]).inc();
    if let Err(error) = &result {
        events::LOG_UNREACHABLE.note(&ctx.own.instance_id, &error.to_string());
    }
    result.is_ok()
}

/// Appends a decision again until the log has confirmed it; a duplicate changes nothing.
fn retry_decision(ctx: &Context, stream: &str, record: &record::Record, first: bool) {
    let mut appended = first;
    while !appended && !ctx.is_stopped() {
        ctx.pause_ms(RETRY_MS);
        appended = append(ctx, stream, record);
    }
}

/// Reads the unsettled decisions of `cell`, until the log answers.
fn read_undone(ctx: &Context, cell: &str) -> Vec<LoadDecision> {
    let stream = record::stream(cell);
    let mut records = Vec::new();
    let mut from_offset = 0;
    while !ctx.is_stopped() {
        let Ok(page) = ctx.log.read(&stream, from_offset, 0) else {
            ctx.pause_ms(RETRY_MS);
            continue;
        };
        records.extend(page.records.iter().filter_map(|e| e.decode::<record::Record>()));
        from_offset = page.records.last().map_or(page.next_offset, |e| e.offset + 1);
        if from_offset >= page.next_offset {
            break;
        }
    }
    record::undone(records)
}

/// Tails the `cells` stream until the instance stops; each read to the end is a proof of lead.
pub(super) fn run_claims(ctx: &Context) {
    let mut fold = Fold::default();
    let mut last_checkpoint_ms = ctx.clock.now_ms();
    while !ctx.is_stopped() {
        let begun_ms = ctx.clock.now_ms();
        let Ok(page) = ctx.log.read(fold::STREAM, fold.next_offset(), READ_WAIT_MS) else {
            ctx.pause_ms(RETRY_MS);
            continue;
        };
        fold.on_bounds(page.first_offset, page.next_offset);
        for entry in &page.records {
            let Some(record) = entry.decode::<fold::Record>() else { continue };
            if matches!(record, fold::Record::Checkpoint { .. }) {
                last_checkpoint_ms = ctx.clock.now_ms();
            }
            fold.apply(entry.offset, record);
        }
        let at_end = page.records.last().is_none_or(|e| e.offset + 1 >= page.next_offset);
        if at_end {
            ctx.offer_lead(Event::Claims { fold: Box::new(fold.clone()), begun_ms });
            checkpoint_if_due(ctx, &fold, &mut last_checkpoint_ms);
        }
    }
}

fn checkpoint_if_due(ctx: &Context, fold: &Fold, last_checkpoint_ms: &mut u64) {
    let retention_s = ctx.config.current().venture.log_retention_s;
    let part_ms = retention_s * 1000 / CHECKPOINT_PARTS;
    let stagger_ms = ctx.own.incarnation_hash() % (part_ms / 2 + 1);
    let due_ms = *last_checkpoint_ms + part_ms + stagger_ms;
    let has_leads = fold.leads().next().is_some();
    if has_leads
        && fold.is_complete()
        && ctx.clock.now_ms() >= due_ms
        && append(ctx, fold::STREAM, &fold.checkpoint())
    {
        *last_checkpoint_ms = ctx.clock.now_ms();
    }
}
