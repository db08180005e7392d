//! Threads of the idempotency claims: batched appends and a tail of the stream.

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
use crate::context::Context;
use crate::context::lock;
use crate::ring;
use crate::ring::Batching;

/// Records that wait for an append.
const RING_CAPACITY: usize = 2048;
/// Most records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Batches of records for one append.
const BATCHING: Batching = Batching {
    first_wait: Duration::from_millis(RETRY_DELAY_MS),
    window: Duration::from_millis(10),
    max: MAX_BATCH_RECORDS,
};
/// Longest wait for the end of another request that holds the key.
const HOLDER_WAIT: Duration = Duration::from_millis(1000);
/// Threads that append.
pub const APPEND_THREADS: usize = 3;
/// Time for the answer to an append, twice that of a slow log; the tail shows what took effect, so
/// that a longer wait would only hold up the claims behind it.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait of one read for a first record, in ms.
const READ_WAIT_MS: u64 = 1000;
/// Pause after a failed call to the log, in ms.
const RETRY_DELAY_MS: u64 = 200;
/// Records kept for appending again while the log is down.
const MAX_UNCONFIRMED_RECORDS: usize = 20_000;

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request holds the key and may run.
    Won,
    /// The key was used with a request of another content.
    Mismatch,
    /// Another request holds the key and its answer is known.
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
    /// Name of the request.
    pub request_id: &'a str,
    /// Hash of method, path and body.
    pub fingerprint: &'a str,
}

/// Claims of one instance.
pub struct Claims {
    key_table: Mutex<KeyTable>,
    table_changed: Condvar,
    caught_up: Mutex<bool>,
    ring: Sender<Record>,
    /// Held by the thread that collects a batch, so that the batches stay large.
    collect_lock: Mutex<()>,
}

impl Claims {
    /// Returns the claims and the ring of records to append.
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

    /// Claims a key and waits for the log's verdict, at most `timeout`.
    ///
    /// A claim without verdict in time is voided: the request never runs, even if the claim
    /// turns up in the log later.
    pub fn claim(&self, claim: Claim<'_>, timeout: Duration) -> ClaimOutcome {
        if !*lock(&self.caught_up) {
            return ClaimOutcome::Unavailable;
        }
        let held_until = Instant::now() + timeout.min(HOLDER_WAIT);
        if let Some(verdict) = self.wait_while_held(claim, held_until) {
            return verdict;
        }
        let record = Record::Claim {
            key: claim.key.to_owned(),
            request_id: claim.request_id.to_owned(),
            fingerprint: claim.fingerprint.to_owned(),
        };
        if self.ring.try_send(record).is_err() {
            return ClaimOutcome::Unavailable;
        }
        let verdict = match self.wait_for_outcome(claim, timeout) {
            Some(ClaimOutcome::Held) => self.wait_while_held(claim, held_until),
            other => other,
        };
        verdict.unwrap_or_else(|| {
            self.void(claim.key, claim.request_id);
            ClaimOutcome::Unavailable
        })
    }

    /// Waits until the request that holds the key has ended, at most until `until`.
    ///
    /// Returns `None` when the key is free, and [`Verdict::Held`] when it is held still. So a caller
    /// that repeats a call at once gets the first call's answer, or runs if that one was voided.
    fn wait_while_held(&self, claim: Claim<'_>, until: Instant) -> Option<ClaimOutcome> {
        let mut fold = lock(&self.key_table);
        loop {
            let verdict = claim_outcome(&fold, claim)?;
            let left = until.checked_duration_since(Instant::now());
            let Some(left) = left.filter(|_| verdict == ClaimOutcome::Held) else {
                return Some(verdict);
            };
            fold = match self.table_changed.wait_timeout(fold, left) {
                Ok((fold, _)) => fold,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn wait_for_outcome(&self, claim: Claim<'_>, timeout: Duration) -> Option<ClaimOutcome> {
        let until = Instant::now() + timeout;
        let mut fold = lock(&self.key_table);
        loop {
            if let Some(verdict) = claim_outcome(&fold, claim) {
                return Some(verdict);
            }
            let left = until.checked_duration_since(Instant::now())?;
            fold = match self.table_changed.wait_timeout(fold, left) {
                Ok((fold, _)) => fold,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// Gives a key up whose request has certainly not run.
    pub fn void(&self, key: &str, request_id: &str) {
        let record = Record::Void { key: key.to_owned(), request_id: request_id.to_owned() };
        // Without room the key stays held: a repeated request is refused, and nothing runs twice.
        let _ = self.ring.try_send(record);
    }

    /// Keeps the answer for repeated requests.
    pub fn store_response(&self, record: Record) {
        // Without room a repeated request is told that the outcome is not known.
        let _ = self.ring.try_send(record);
    }

    /// Folds one record, and counts as having read the whole stream.
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

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn claim_outcome(fold: &KeyTable, claim: Claim<'_>) -> Option<ClaimOutcome> {
    let state = fold.get(claim.key)?;
    if state.request_id == claim.request_id {
        return Some(ClaimOutcome::Won);
    }
    if state.fingerprint != claim.fingerprint {
        return Some(ClaimOutcome::Mismatch);
    }
    Some(match &state.response {
        Some(answer) => ClaimOutcome::Completed(answer.clone()),
        None => ClaimOutcome::Held,
    })
}

/// Tails the stream until the instance stops.
pub fn run_tail(ctx: &Context, claims: &Claims) {
    while !ctx.is_stopped() {
        let from_offset = lock(&claims.key_table).next_offset();
        let Ok(page) = ctx.log.read(STREAM, from_offset, READ_WAIT_MS) else {
            ctx.pause_ms(RETRY_DELAY_MS);
            continue;
        };
        let mut fold = lock(&claims.key_table);
        fold.on_first_offset(page.first_offset);
        for entry in &page.records {
            if let Some(record) = entry.decode::<Record>() {
                fold.apply(entry.offset, record);
            }
        }
        let at_end = page.records.last().is_none_or(|e| e.offset + 1 >= page.next_offset);
        drop(fold);
        if at_end {
            *lock(&claims.caught_up) = true;
        }
        claims.table_changed.notify_all();
    }
}

/// Appends records in batches until the instance stops, in one of [`APPEND_THREADS`] threads.
///
/// The threads collect in turn and append at the same time, so that an append whose answer is lost
/// does not hold up the claims behind it; when all threads wait for lost answers, not for long. Records may then reach the log in another order: a void
/// holds for a claim that comes after it, and an answer is kept only once its claim is in the log.
/// Claims are appended once: when the answer is lost, the tail shows whether they took effect.
/// Voids and answers are appended again until the log has confirmed them.
pub fn run_appends(ctx: &Context, claims: &Claims, records: &Receiver<Record>) {
    let mut unconfirmed: VecDeque<Record> = VecDeque::new();
    while !ctx.is_stopped() {
        let turn = lock(&claims.collect_lock);
        let mut batch = ring::collect(records, BATCHING);
        drop(turn);
        let fresh = batch.len();
        let room = MAX_BATCH_RECORDS.saturating_sub(fresh);
        batch.extend(unconfirmed.drain(..room.min(unconfirmed.len())));
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
