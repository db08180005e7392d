//! Keeps the crash ledger in the store, for instances that start or cannot reach others, and claims probes
//! of blocked parts there.
//!
//! A change of the blocked parts is written at once by the instance that saw its cause. Crashes that do not
//! block a part yet are written by the lead, which others send them to, and by instances that do not hear it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use tokio::time::timeout;

use crate::clock::unix_ms;
use crate::gateway::Gateway;
use crate::gateway::codec;
use crate::gateway::connection::HttpClient;
use crate::gateway::crashes::CrashLedger;
use crate::gateway::crashes::driver::broadcast;
use crate::gateway::crashes::driver::update;
use crate::gateway::crashes::stored::StoredReports;
use crate::gateway::eventlog::Severity;
use crate::gateway::message_fields::PromptPart;
use crate::gateway::sync;
use crate::platform::store;
use crate::telemetry::events;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the ledger is reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between calls to the store after a failed one, in ms.
const CALL_INTERVAL_MS: u64 = 3000;
/// Time between reads by an instance that is apart from others, in ms.
const APART_READ_INTERVAL_MS: u64 = 1500;
/// Time without a message from the lead after which an instance counts as apart, in ms; a successor has
/// mostly been heard by then.
const LEAD_SILENT_MS: u64 = 2000;
/// Shortest time between writes of crashes that do not block a part, in ms.
const CRASHES_WRITE_INTERVAL_MS: u64 = 1000;
/// Longest time until an instance reads again after another one wrote first, in ms; the time is random, so
/// that not all of them write at once.
const CONTENTION_DELAY_MAX_MS: u64 = 400;
/// Time that the lead leaves to the instance that saw the last crash to update the store, in ms.
const LEAD_STORE_DELAY_MS: u64 = 2000;
/// Time after a failed claim of a probe during which no further one is made, in ms.
const CLAIM_RETRY_MS: u64 = 5000;

/// Claims the next probe of `part` in the store, so that one request of all instances is sent.
pub async fn claim_probe(gateway: &Gateway, part: PromptPart) -> bool {
    let tracker = &gateway.crashes;
    let now_ms = gateway.now_ms();
    let is_due = || tracker.ledger.borrow().probe_due_in_ms(part, gateway.now_ms()) == 0;
    if now_ms < tracker.next_claim_ms.get() || !is_due() {
        return false;
    }
    tracker.next_claim_ms.set(now_ms + CLAIM_RETRY_MS);
    let mut client = HttpClient::new(gateway.settings().store_addr);
    let Ok(log_end) = read_store(gateway, &mut client).await else { return false };
    // Another instance may have claimed it, or the part may no longer be blocked.
    if !is_due() || tracker.ledger.borrow().blocked_among(&[part]).is_empty() {
        return false;
    }
    let now_ms = gateway.now_ms();
    tracker.ledger.borrow_mut().start_probe(part, now_ms);
    if write_store(gateway, &mut client, log_end).await != StoreOutcome::Done {
        return false;
    }
    tracker.next_claim_ms.set(0);
    broadcast(gateway, vec![part]);
    true
}

/// Has what this instance knows written again after a restore of the store: the lead compares it with the
/// record then, as if nothing of it had been stored.
pub fn on_store_restored(gateway: &Gateway) {
    set_stored(gateway, &CrashLedger::default());
    gateway.crashes.store_due.notify_one();
}

/// End of the topic when it was read.
#[derive(Clone, Copy, Debug)]
struct LogEnd {
    era: u64,
    offset: u64,
}

/// Result of bringing the record up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreOutcome {
    Done,
    /// Another instance wrote it first.
    Contended,
    Failed,
}

/// Times of the next calls to the store, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct CallTimes {
    retry_at_ms: u64,
    apart_read_at_ms: u64,
    crashes_write_at_ms: u64,
}

/// Keeps the ledger current and the store up to date, until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let mut client = HttpClient::new(gateway.settings().store_addr);
    let mut times = CallTimes::default();
    gateway.crashes.is_read_due.set(true);
    loop {
        client.set_addr(gateway.settings().store_addr);
        sync_store_if_due(&gateway, &mut client, &mut times).await;
        // Whether a verdict has changed or the interval has passed, the ledger is reviewed.
        let _ = timeout(REVIEW_INTERVAL, gateway.crashes.store_due.notified()).await;
        if !gateway.crashes.ledger.borrow().is_empty() {
            let now_ms = gateway.now_ms();
            let is_origin = gateway.crashes.is_origin.get();
            update(&gateway, is_origin, |ledger| ledger.refresh(now_ms));
        }
    }
}

async fn sync_store_if_due(gateway: &Gateway, client: &mut HttpClient, times: &mut CallTimes) {
    let now_ms = gateway.now_ms();
    let is_apart = is_apart(gateway, now_ms);
    // Whether some of the others are cut off is not known in a large deployment, where two given
    // instances rarely exchange messages, so each instance also reads after a crash of its own.
    let is_due = gateway.crashes.is_read_due.get()
        || (is_apart && now_ms >= times.apart_read_at_ms)
        || is_write_due(gateway, times, now_ms);
    if !is_due || now_ms < times.retry_at_ms {
        return;
    }
    if is_apart {
        times.apart_read_at_ms = now_ms + APART_READ_INTERVAL_MS;
    }
    match sync_store(gateway, client, times).await {
        StoreOutcome::Done => {}
        StoreOutcome::Contended => {
            gateway.crashes.is_read_due.set(true);
            times.retry_at_ms = now_ms + rand::random_range(0..CONTENTION_DELAY_MAX_MS);
        }
        StoreOutcome::Failed => times.retry_at_ms = now_ms + CALL_INTERVAL_MS,
    }
}

/// Reads the store and writes the ledger there if that is due.
async fn sync_store(
    gateway: &Gateway,
    client: &mut HttpClient,
    times: &mut CallTimes,
) -> StoreOutcome {
    gateway.crashes.is_read_due.set(false);
    let before = gateway.crashes.ledger.borrow().blocked().to_vec();
    let Ok(log_end) = read_store(gateway, client).await else {
        gateway.crashes.is_read_due.set(true);
        client.close();
        return StoreOutcome::Failed;
    };
    // Others that this instance reaches may be cut off from those that wrote the record.
    let mut news = gateway.crashes.ledger.borrow().blocked().to_vec();
    news.retain(|part| !before.contains(part));
    broadcast(gateway, news);
    let now_ms = gateway.now_ms();
    if !is_write_due(gateway, times, now_ms) {
        return StoreOutcome::Done;
    }
    let result = write_store(gateway, client, log_end).await;
    if result == StoreOutcome::Done {
        times.crashes_write_at_ms = now_ms + CRASHES_WRITE_INTERVAL_MS;
    }
    result
}

/// Returns whether this instance may miss what others see: it hears no other instance, none of another
/// failure domain, or not the lead.
fn is_apart(gateway: &Gateway, now_ms: u64) -> bool {
    let peers = gateway.peers.borrow();
    let hears_lead = gateway.election.borrow().fence().is_some()
        || gateway
            .lead
            .borrow()
            .as_ref()
            .is_some_and(|lead| now_ms < lead.received_at_ms + LEAD_SILENT_MS);
    !hears_lead
        || peers.live(now_ms).next().is_none()
        || peers.is_domain_isolated(&gateway.settings().domain, now_ms)
}

/// Returns whether this instance should write the ledger to the store.
fn is_write_due(gateway: &Gateway, times: &CallTimes, now_ms: u64) -> bool {
    is_blocked_write_due(gateway, now_ms)
        || (now_ms >= times.crashes_write_at_ms && is_crashes_write_due(gateway, now_ms))
}

/// The same because of the blocked parts: the instance that saw the last change writes at once, the lead
/// later in its place.
fn is_blocked_write_due(gateway: &Gateway, now_ms: u64) -> bool {
    let tracker = &gateway.crashes;
    if tracker.ledger.borrow().blocked_digest() == tracker.stored_digest.get() {
        return false;
    }
    let leads = gateway.election.borrow().fence().is_some();
    let lead_due = leads && now_ms >= tracker.verdicts_changed_ms.get() + LEAD_STORE_DELAY_MS;
    tracker.is_origin.get() || lead_due
}

/// The same because of crashes that do not block a part.
fn is_crashes_write_due(gateway: &Gateway, now_ms: u64) -> bool {
    let tracker = &gateway.crashes;
    let writes = gateway.election.borrow().fence().is_some() || is_apart(gateway, now_ms);
    writes && tracker.ledger.borrow().has_news_for(&tracker.stored_crashes.borrow())
}

/// Reads the record of the ledger and merges it; returns the end of the topic.
async fn read_store(gateway: &Gateway, client: &mut HttpClient) -> Result<LogEnd, ()> {
    let path = store::newest_path(store::CRASHES_TOPIC, None);
    let call = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new(), STORE_TIMEOUT);
    let response = call.await;
    let page = match &response {
        Ok(response) if sync::check_era(gateway, response).is_err() => {
            count_call(gateway, "crashes", "other_era");
            return Err(());
        }
        Ok(response) if response.status_code == 200 => store::parse_newest(&response.body),
        // The store creates the topic with its first record.
        Ok(response) if response.status_code == 404 => Ok(store::NewestPage::default()),
        _ => {
            count_call(gateway, "crashes", "failed");
            return Err(());
        }
    };
    let era = gateway.store.borrow().progress.era;
    let Ok(page) = page else {
        count_call(gateway, "crashes", "malformed");
        return Err(());
    };
    count_call(gateway, "crashes", "ok");
    let mut stored_ledger = CrashLedger::default();
    for record in page.records.iter().filter(|record| record.key == store::CRASHES_KEY) {
        match postcard::from_bytes::<StoredReports>(&record.value) {
            Ok(stored) => update(gateway, false, |ledger| {
                stored_ledger = stored.merge_into(ledger, unix_ms(), gateway.now_ms());
            }),
            Err(error) => {
                let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
                line.text("topic", store::CRASHES_TOPIC).text("reason", error).emit();
            }
        }
    }
    set_stored(gateway, &stored_ledger);
    Ok(LogEnd { era, offset: page.end_offset })
}

/// Records what the store holds.
fn set_stored(gateway: &Gateway, stored: &CrashLedger) {
    gateway.crashes.stored_digest.set(stored.blocked_digest());
    gateway.crashes.stored_crashes.replace(stored.crash_states());
}

/// Writes the ledger to the store if nothing was written there since it was read up to `log_end`.
async fn write_store(gateway: &Gateway, client: &mut HttpClient, log_end: LogEnd) -> StoreOutcome {
    let written = gateway.crashes.ledger.borrow().clone();
    let reports = written.reports(gateway.now_ms());
    let value = StoredReports { written_unix_ms: unix_ms(), reports };
    let Some(value) = codec::encode(gateway, "crash reports", &value) else {
        return StoreOutcome::Failed;
    };
    let body = Bytes::from(store::frame_keyed(store::CRASHES_KEY, &value));
    let path = store::append_path(store::CRASHES_TOPIC, Some(log_end.offset));
    let call = client.call(Method::POST, &path, HeaderMap::new(), body, STORE_TIMEOUT);
    let (result, label) = match call.await {
        // The record was written to another log than the one that was read.
        Ok(response)
            if sync::check_era(gateway, &response).is_err()
                || sync::check_era_since(gateway, log_end.era).is_err() =>
        {
            (StoreOutcome::Contended, "other_era")
        }
        Ok(response) if response.status_code == 200 => (StoreOutcome::Done, "ok"),
        Ok(response) if response.status_code == 412 => (StoreOutcome::Contended, "contended"),
        _ => (StoreOutcome::Failed, "failed"),
    };
    count_call(gateway, "crashes_write", label);
    if result == StoreOutcome::Done {
        set_stored(gateway, &written);
    }
    result
}

fn count_call(gateway: &Gateway, call: &str, result: &str) {
    gateway.metrics.store_calls_total.with_label_values(&[call, result]).inc();
}
