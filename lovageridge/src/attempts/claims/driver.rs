//! Threads for idempotency claims: batched appends to the log, and a reader that follows the
//! stream.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;

use crate::attempts::claims::key_table::KeyTable;
use crate::attempts::claims::key_table::Record;
use crate::attempts::claims::key_table::STREAM;
use crate::attempts::claims::key_table::StoredResponse;
use crate::batch;
use crate::batch::BatchLimits;
use crate::context::Context;
use crate::context::lock;

/// Most records that may wait for an append.
const RING_CAPACITY: usize = 2048;
/// Most records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// How records are batched into one append.
const BATCHING: BatchLimits = BatchLimits {
    first_item_timeout: Duration::from_millis(RETRY_DELAY_MS),
    window: Duration::from_millis(10),
    max_items: MAX_BATCH_RECORDS,
};
/// Longest wait for another request that holds the key to finish.
const HOLDER_WAIT: Duration = Duration::from_millis(1000);
/// Number of threads that append records.
pub const APPEND_THREADS: usize = 3;
/// Timeout of an append, twice the response time of a slow log. The stream shows which appends took
/// effect, so a longer wait would only delay the claims behind it.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that one read waits for a first record, in ms.
const READ_WAIT_MS: u64 = 1000;
/// Delay after a failed call to the log, in ms.
const RETRY_DELAY_MS: u64 = 200;
/// Most records that an append thread keeps for another try while the log is unreachable.
const MAX_UNCONFIRMED_RECORDS: usize = 20_000;

/// Result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request holds the key and may run.
    Won,
    /// The key was used with a request of different content.
    Mismatch,
    /// Another request holds the key, and its response is known.
    Completed(StoredResponse),
    /// Another request holds the key; its outcome is not known.
    Held,
    /// The log did not confirm the claim in time; the request must not run.
    Unavailable,
}

/// A request that claims a key.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Hash of partner, service and key.
    pub key: &'a str,
    /// ID of the request.
    pub request_id: &'a str,
    /// Hash of method, path and body.
    pub fingerprint: &'a str,
}

/// Idempotency claims of one instance.
pub struct Claims {
    key_table: Mutex<KeyTable>,
    table_changed: Condvar,
    /// Whether the stream has been read to its end; claims are refused until then.
    caught_up: Mutex<bool>,
    ring: Sender<Record>,
    /// Held by the thread that collects a batch. Concurrent collection would make small batches.
    collect_lock: Mutex<()>,
}

impl Claims {
    /// Returns the claims, and the receiving end of the ring of records to append.
    pub fn new() -> (Self, Receiver<Record>) {
        let (ring, records) = flume::bounded(RING_CAPACITY);
        let claims = Self {
            key_table: Mutex::default(),
            table_changed: Condvar::new(),
            caught_up: Mutex::new(false),
            ring,
            collect_lock: Mutex::default(),
        };
        (claims, records)
    }

    /// Claims a key and waits up to `timeout` for the log to show which request holds it.
    ///
    /// A claim without a result in time is voided: the request never runs, even if the claim
    /// appears in the log later.
    pub fn claim(&self, claim: Claim<'_>, timeout: Duration) -> ClaimOutcome {
        if !*lock(&self.caught_up) {
            return ClaimOutcome::Unavailable;
        }
        let holder_deadline = Instant::now() + timeout.min(HOLDER_WAIT);
        if let Some(outcome) = self.wait_while_held(claim, holder_deadline) {
            return outcome;
        }
        let record = Record::Claim {
            key: claim.key.to_owned(),
            request_id: claim.request_id.to_owned(),
            fingerprint: claim.fingerprint.to_owned(),
        };
        if self.ring.try_send(record).is_err() {
            return ClaimOutcome::Unavailable;
        }
        let outcome = match self.wait_for_outcome(claim, timeout) {
            Some(ClaimOutcome::Held) => self.wait_while_held(claim, holder_deadline),
            other => other,
        };
        outcome.unwrap_or_else(|| {
            self.void(claim.key, claim.request_id);
            ClaimOutcome::Unavailable
        })
    }

    /// Waits until the request that holds the key has finished, but no longer than `deadline`.
    ///
    /// Returns `None` if the key is free, and [`ClaimOutcome::Held`] if it is still held. A caller
    /// that repeats a call at once therefore gets the response to the first call, or runs if the
    /// first call was voided.
    fn wait_while_held(&self, claim: Claim<'_>, deadline: Instant) -> Option<ClaimOutcome> {
        let mut table = lock(&self.key_table);
        loop {
            let outcome = claim_outcome(&table, claim)?;
            let remaining = deadline.checked_duration_since(Instant::now());
            let Some(remaining) = remaining.filter(|_| outcome == ClaimOutcome::Held) else {
                return Some(outcome);
            };
            table = match self.table_changed.wait_timeout(table, remaining) {
                Ok((table, _)) => table,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn wait_for_outcome(&self, claim: Claim<'_>, timeout: Duration) -> Option<ClaimOutcome> {
        let deadline = Instant::now() + timeout;
        let mut table = lock(&self.key_table);
        loop {
            if let Some(outcome) = claim_outcome(&table, claim) {
                return Some(outcome);
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            table = match self.table_changed.wait_timeout(table, remaining) {
                Ok((table, _)) => table,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// Releases the key of a request that has certainly not run.
    pub fn void(&self, key: &str, request_id: &str) {
        let record = Record::Void { key: key.to_owned(), request_id: request_id.to_owned() };
        // If the ring is full, the key stays held: repeated requests are refused, and nothing runs
        // twice.
        let _ = self.ring.try_send(record);
    }

    /// Stores a response for repeated requests; `record` is a [`Record::Answered`].
    pub fn store_response(&self, record: Record) {
        // If the ring is full, repeated requests are refused because the outcome is unknown.
        let _ = self.ring.try_send(record);
    }

    /// Applies one record and marks the stream as read to its end.
    #[cfg(test)]
    pub fn apply_for_test(&self, offset: u64, record: Record) {
        lock(&self.key_table).apply(offset, record);
        *lock(&self.caught_up) = true;
        self.table_changed.notify_all();
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        lock(&self.key_table).len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn claim_outcome(table: &KeyTable, claim: Claim<'_>) -> Option<ClaimOutcome> {
    let state = table.get(claim.key)?;
    if state.request_id == claim.request_id {
        return Some(ClaimOutcome::Won);
    }
    if state.fingerprint != claim.fingerprint {
        return Some(ClaimOutcome::Mismatch);
    }
    Some(match &state.response {
        Some(response) => ClaimOutcome::Completed(response.clone()),
        None => ClaimOutcome::Held,
    })
}

/// Follows the stream and applies its records until the instance stops.
pub fn run_tail(ctx: &Context, claims: &Claims) {
    while !ctx.is_stopped() {
        let from_offset = lock(&claims.key_table).next_offset();
        let Ok(page) = ctx.log.read(STREAM, from_offset, READ_WAIT_MS) else {
            ctx.pause_ms(RETRY_DELAY_MS);
            continue;
        };
        let mut table = lock(&claims.key_table);
        table.on_first_offset(page.first_offset);
        for entry in &page.records {
            if let Some(record) = entry.decode::<Record>() {
                table.apply(entry.offset, record);
            }
        }
        let at_end = page.records.last().is_none_or(|e| e.offset + 1 >= page.next_offset);
        drop(table);
        if at_end {
            *lock(&claims.caught_up) = true;
        }
        claims.table_changed.notify_all();
    }
}

/// Appends records in batches until the instance stops; runs in [`APPEND_THREADS`] threads.
///
/// The threads take turns to collect a batch but append concurrently, so that an append whose
/// response is lost does not delay the claims behind it. If all threads wait for lost responses,
/// `APPEND_TIMEOUT` keeps the delay short.
///
/// Records can therefore reach the log out of order: a void also applies to a claim that follows
/// it, and a response is stored only if its claim is already in the log. Claims are appended once:
/// if the log's response is lost, the stream shows whether they took effect. Voids and responses
/// are appended again until the log has confirmed them.
pub fn run_appends(ctx: &Context, claims: &Claims, records: &Receiver<Record>) {
    let mut unconfirmed: VecDeque<Record> = VecDeque::new();
    while !ctx.is_stopped() {
        let collect_guard = lock(&claims.collect_lock);
        let mut batch = batch::receive_batch(records, BATCHING);
        drop(collect_guard);
        let collected = batch.len();
        let space = MAX_BATCH_RECORDS.saturating_sub(collected);
        batch.extend(unconfirmed.drain(..space.min(unconfirmed.len())));
        if batch.is_empty() {
            continue;
        }
        let records = Record::Batch(batch.clone());
        let result = ctx.log.append_within(STREAM, &records, APPEND_TIMEOUT);
        let label = if result.is_ok() { "ok" } else { "failed" };
        ctx.metrics.log_appends_total.with_label_values(&[STREAM, label]).inc();
        if result.is_err() {
            unconfirmed.extend(batch.into_iter().filter(|r| !matches!(r, Record::Claim { .. })));
            while unconfirmed.len() > MAX_UNCONFIRMED_RECORDS {
                unconfirmed.pop_front();
            }
            ctx.pause_ms(RETRY_DELAY_MS);
        }
    }
}
