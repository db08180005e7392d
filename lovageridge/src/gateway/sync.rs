//! Tails of the platform's store: the operator's configuration and the workers' records.
//!
//! An instance that cannot reach the store takes both from a peer that has read further.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;

use crate::gateway::Gateway;
use crate::gateway::directory::Change;
use crate::gateway::eventlog::Weight;
use crate::gateway::link::Link;
use crate::gateway::peers::Progress;
use crate::gateway::peers::Snapshot;
use crate::platform;
use crate::platform::store;
use crate::platform::store::KeyedRecord;
use crate::sorted::Table;
use crate::telemetry::events;

#[cfg(test)]
mod tests;

/// Time for which a read waits for a record, in ms.
const READ_WAIT_MS: u64 = 1500;
/// Time for an answer beyond what it waits for; a slow store takes a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between reads of the configuration, in ms.
const CONFIG_GAP_MS: u64 = 150;
/// Shortest time between reads of the workers' records, in ms; half of the time in which a leaving
/// worker must get no new work, less a read.
const WORKERS_GAP_MS: u64 = 700;
/// Time from the first read after the store's return to the next one, in ms: half of the time in
/// which a configuration has to be in force, so that all instances together do not overrun the store.
const RETURN_GAP_MS: u64 = 1000;
/// Pause after a failed read, in ms.
const RETRY_MS: u64 = 250;
/// Time after the store's return in which removals may be of living workers, in ms.
const BESIDE_OUTAGE_MS: u64 = 1000;
/// Time after the store's return until which the records of living workers are back, in ms: two
/// seconds and a read.
const LAPSED_BACK_MS: u64 = 2300;
/// Failures to read that last this long count as an outage, in ms.
const OUTAGE_MIN_MS: u64 = 800;

/// What has been read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// How far it has been read.
    pub progress: Progress,
    /// The configuration as it lies there.
    pub config: Vec<u8>,
    /// The workers' records as they lie there.
    pub workers: Table<String, Vec<u8>>,
    failing_since_ms: Option<u64>,
    last_ok_ms: Option<u64>,
    recovered_ms: Option<u64>,
}

impl StoreView {
    /// Notes an answer of the store; tells whether it had been away.
    pub fn on_answer(&mut self, now_ms: u64) -> bool {
        let was_away =
            self.failing_since_ms.take().is_some_and(|since| now_ms >= since + OUTAGE_MIN_MS);
        if was_away {
            self.recovered_ms = Some(now_ms);
        }
        self.last_ok_ms = Some(now_ms);
        was_away
    }

    /// Notes a call without answer; tells whether it is the first.
    pub fn on_failure(&mut self, now_ms: u64) -> bool {
        let first = self.failing_since_ms.is_none();
        // The last answer dates the begin, since the failed call may have waited for long.
        let since_ms = self.last_ok_ms.unwrap_or(now_ms);
        self.failing_since_ms.get_or_insert(since_ms);
        first
    }

    /// Tells whether the store cannot be reached from here.
    pub fn is_away(&self) -> bool {
        self.failing_since_ms.is_some()
    }

    /// Returns until when a worker stays in use whose record is found removed now; `None` when the
    /// removal is no matter of an outage.
    pub fn keep_removed_until_ms(&self, now_ms: u64) -> Option<u64> {
        let recovered_ms = self.recovered_ms?;
        (now_ms <= recovered_ms + BESIDE_OUTAGE_MS).then_some(recovered_ms + LAPSED_BACK_MS)
    }
}

/// A topic of newest records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Topic {
    Operator,
    Workers,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Self::Operator => store::OPERATOR_TOPIC,
            Self::Workers => store::WORKERS_TOPIC,
        }
    }

    fn gap_ms(self) -> u64 {
        match self {
            Self::Operator => CONFIG_GAP_MS,
            Self::Workers => WORKERS_GAP_MS,
        }
    }
}

/// Tails the operator's records until the process ends.
pub async fn run_operator(gateway: Rc<Gateway>) {
    run_tail(&gateway, Topic::Operator).await;
}

/// Tails the workers' records until the process ends.
pub async fn run_workers(gateway: Rc<Gateway>) {
    run_tail(&gateway, Topic::Workers).await;
}

async fn run_tail(gateway: &Gateway, topic: Topic) {
    let mut link = Link::new(gateway.settings().store_addr);
    let mut next_offset: Option<u64> = None;
    loop {
        let started_ms = gateway.now_ms();
        link.set_addr(gateway.settings().store_addr);
        let returns = gateway.store.borrow().is_away();
        let result = match next_offset {
            None => read_newest(gateway, &mut link, topic).await,
            Some(offset) => read_on(gateway, &mut link, topic, offset).await,
        };
        match result {
            Ok(offset) => {
                next_offset = offset;
                let passed_ms = gateway.now_ms() - started_ms;
                let gap_ms = if returns { RETURN_GAP_MS } else { topic.gap_ms() };
                pause(gap_ms.saturating_sub(passed_ms)).await;
            }
            Err(reason) => {
                note_failure(gateway, topic, &reason);
                link.close_kept();
                pause(RETRY_MS).await;
            }
        }
    }
}

async fn pause(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

/// Reads the newest record of each key; returns the offset to go on from.
async fn read_newest(
    gateway: &Gateway,
    link: &mut Link,
    topic: Topic,
) -> Result<Option<u64>, String> {
    let mut after: Option<String> = None;
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut end_offset = None;
    loop {
        let path = store::newest_path(topic.name(), after.as_deref());
        let page = match get(gateway, link, "newest", &path, CALL_TIMEOUT).await? {
            (200, body) => store::parse_newest(&body).map_err(|error| error.to_string())?,
            (404, _) => break,
            (status, _) => return Err(format!("status {status}")),
        };
        // Pages are no snapshot: reading on from the first page's end misses nothing.
        end_offset = end_offset.or(Some(page.end_offset));
        after = page.records.last().map(|record| record.key.clone());
        records.extend(page.records);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    note_answer(gateway, topic);
    if topic == Topic::Workers {
        drop_missing(gateway, &records);
    }
    let end = end_offset.unwrap_or(0);
    for record in records {
        apply(gateway, topic, record);
    }
    advance(gateway, topic, end);
    Ok(Some(end))
}

/// Removes the workers that have no record any more.
fn drop_missing(gateway: &Gateway, records: &[KeyedRecord]) {
    let mut keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
    keys.sort_unstable();
    let known: Vec<String> =
        gateway.directory.borrow().iter().map(|worker| worker.record.id.clone()).collect();
    for id in known {
        if keys.binary_search(&id.as_str()).is_err() {
            remove_worker(gateway, &id);
        }
    }
}

/// Reads on from `offset`; returns the offset to go on from, `None` when records have expired.
async fn read_on(
    gateway: &Gateway,
    link: &mut Link,
    topic: Topic,
    offset: u64,
) -> Result<Option<u64>, String> {
    // While the store is away no read waits, so that its return is noticed within a second.
    let wait_ms = if gateway.store.borrow().is_away() { 0 } else { READ_WAIT_MS };
    let path = store::read_path(topic.name(), offset, wait_ms);
    let limit = Duration::from_millis(wait_ms) + CALL_TIMEOUT;
    let body = match get(gateway, link, "read", &path, limit).await? {
        (200, body) => body,
        (410 | 404, _) => return Ok(None),
        (status, _) => return Err(format!("status {status}")),
    };
    let tail = store::parse_tail(&body, offset).map_err(|error| error.to_string())?;
    note_answer(gateway, topic);
    let mut next = offset;
    for (at, record) in &tail.records {
        next = at + 1;
        match store::parse_keyed(*at, record) {
            Ok(record) => apply(gateway, topic, record),
            Err(error) => note_bad_record(gateway, topic, "", &error),
        }
    }
    advance(gateway, topic, next);
    Ok(Some(next))
}

async fn get(
    gateway: &Gateway,
    link: &mut Link,
    call: &'static str,
    path: &str,
    limit: Duration,
) -> Result<(u16, Bytes), String> {
    let answer = link.call(Method::GET, path, HeaderMap::new(), Bytes::new(), limit).await;
    let result = match &answer {
        Ok(answer) if answer.status_code == 200 => "ok",
        Ok(_) => "refused",
        Err(_) => "no_answer",
    };
    gateway.metrics.store_calls_total.with_label_values(&[call, result]).inc();
    let answer = answer.map_err(|error| error.to_string())?;
    Ok((answer.status_code, answer.body))
}

fn note_answer(gateway: &Gateway, topic: Topic) {
    if gateway.store.borrow_mut().on_answer(gateway.now_ms()) {
        let line = gateway.log.line(events::STORE_REACHABLE, Weight::Notable);
        line.text("topic", topic.name()).close();
    }
}

fn note_failure(gateway: &Gateway, topic: Topic, reason: &str) {
    if gateway.store.borrow_mut().on_failure(gateway.now_ms()) {
        let line = gateway.log.line(events::STORE_UNREACHABLE, Weight::Notable);
        line.text("topic", topic.name()).text("reason", reason).close();
    }
}

fn note_bad_record(gateway: &Gateway, topic: Topic, key: &str, error: &platform::Error) {
    gateway.metrics.bad_records_total.with_label_values(&[topic.name()]).inc();
    let line = gateway.log.line(events::RECORD_SKIPPED, Weight::Routine);
    line.text("topic", topic.name()).text("key", key).text("reason", error).close();
}

fn advance(gateway: &Gateway, topic: Topic, end: u64) {
    let mut store = gateway.store.borrow_mut();
    let known = match topic {
        Topic::Operator => &mut store.progress.operator_end,
        Topic::Workers => &mut store.progress.workers_end,
    };
    *known = (*known).max(end);
}

fn apply(gateway: &Gateway, topic: Topic, record: KeyedRecord) {
    match topic {
        Topic::Operator if record.key == store::CONFIG_KEY => apply_config(gateway, &record.value),
        Topic::Operator => {}
        Topic::Workers if record.value.is_empty() => remove_worker(gateway, &record.key),
        Topic::Workers => apply_worker(gateway, &record.key, &record.value),
    }
}

/// Puts a configuration in force, unless a newer one is.
fn apply_config(gateway: &Gateway, bytes: &[u8]) {
    let catalog = match platform::config::parse(bytes) {
        Ok(catalog) => catalog,
        Err(error) => return note_bad_record(gateway, Topic::Operator, "config", &error),
    };
    let before = gateway.catalog().map(|catalog| catalog.version);
    if before.is_some_and(|version| version >= catalog.version) {
        return;
    }
    let line = gateway.log.line(events::CONFIG_IN_FORCE, Weight::Notable);
    line.number("version", catalog.version)
        .number("before", before.map_or(-1, i128::from))
        .number("routes", catalog.route_count() as u64)
        .close();
    gateway.metrics.config_version.set(catalog.version as i64);
    let mut store = gateway.store.borrow_mut();
    store.config = bytes.to_vec();
    store.progress.config_version = catalog.version;
    drop(store);
    *gateway.catalog.borrow_mut() = Some(Rc::new(catalog));
    gateway.changed.notify_waiters();
}

fn apply_worker(gateway: &Gateway, id: &str, bytes: &[u8]) {
    let record = match platform::workers::parse(id, bytes) {
        Ok(record) => record,
        Err(error) => return note_bad_record(gateway, Topic::Workers, id, &error),
    };
    let now_ms = gateway.now_ms();
    gateway.store.borrow_mut().workers.insert(id.to_owned(), bytes.to_vec());
    if let Some(fleet) = gateway.fleet.borrow_mut().as_mut()
        && gateway.catalog().is_some_and(|catalog| catalog.engine(&record.service).is_some())
    {
        fleet.on_record(&record, now_ms);
    }
    let service = record.service.clone();
    let leaving = record.leaving;
    let change = gateway.directory.borrow_mut().on_record(record, now_ms);
    if matches!(change, Change::Joined | Change::Leaving) {
        let line = gateway.log.line(events::WORKER_CHANGED, Weight::Notable);
        line.text("worker", id).text("service", service).text("leaving", leaving).close();
    }
    if change != Change::None {
        after_worker_change(gateway);
    }
}

fn remove_worker(gateway: &Gateway, id: &str) {
    let keep_until_ms = gateway.store.borrow().keep_removed_until_ms(gateway.now_ms());
    if gateway.directory.borrow_mut().on_removed(id, keep_until_ms) == Change::Gone {
        forget_worker(gateway, id);
    }
}

fn forget_worker(gateway: &Gateway, id: &str) {
    gateway.store.borrow_mut().workers.remove(id);
    gateway.pool.borrow_mut().forget(id);
    if let Some(fleet) = gateway.fleet.borrow_mut().as_mut() {
        fleet.on_gone(id);
    }
    gateway.log.line(events::WORKER_GONE, Weight::Notable).text("worker", id).close();
    after_worker_change(gateway);
}

fn after_worker_change(gateway: &Gateway) {
    gateway.metrics.workers.set(gateway.directory.borrow().len() as i64);
    gateway.changed.notify_waiters();
    gateway.fleet_due.notify_one();
}

/// Drops workers whose records lapsed beside an outage and did not come back.
pub fn drop_lapsed(gateway: &Gateway) {
    let gone = gateway.directory.borrow_mut().drop_lapsed(gateway.now_ms());
    for id in gone {
        forget_worker(gateway, &id);
    }
}

/// Returns what has been read, for a peer.
pub fn snapshot(gateway: &Gateway) -> Snapshot {
    let store = gateway.store.borrow();
    let workers = store.workers.iter().map(|(id, bytes)| (id.clone(), bytes.clone()));
    Snapshot { config: store.config.clone(), progress: store.progress, workers: workers.collect() }
}

/// Takes over what a peer has read.
pub fn apply_snapshot(gateway: &Gateway, snapshot: &Snapshot) {
    if !snapshot.config.is_empty() {
        apply_config(gateway, &snapshot.config);
    }
    let own_end = gateway.store.borrow().progress.workers_end;
    if snapshot.progress.workers_end > own_end {
        let known: Vec<String> =
            gateway.directory.borrow().iter().map(|worker| worker.record.id.clone()).collect();
        for id in known {
            if snapshot.workers.iter().all(|(key, _)| *key != id) {
                remove_worker(gateway, &id);
            }
        }
        for (id, bytes) in &snapshot.workers {
            apply_worker(gateway, id, bytes);
        }
    }
    let mut store = gateway.store.borrow_mut();
    store.progress.operator_end = store.progress.operator_end.max(snapshot.progress.operator_end);
    store.progress.workers_end = store.progress.workers_end.max(snapshot.progress.workers_end);
}
