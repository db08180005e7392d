//! Tails the platform's store: the operator's configuration and the workers' records.
//!
//! One instance of a failure domain reads them for all (see `view`). An instance that can neither
//! reach the store nor receive from such a reader fetches the records from a peer that is ahead (see
//! `transfer`). The configuration travels between instances in compressed form.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::accounts;
use crate::gateway::catalog::Catalog;
use crate::gateway::connection::CallResponse;
use crate::gateway::connection::HttpClient;
use crate::gateway::crashes;
use crate::gateway::directory::Change;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers;
use crate::gateway::peers::ConfigUpdate;
use crate::gateway::peers::Peer;
use crate::gateway::peers::Progress;
use crate::gateway::peers::RecordBatch;
use crate::gateway::peers::tree;
use crate::gateway::sync::changes::RecordChanges;
use crate::gateway::sync::delta::Delta;
use crate::gateway::sync::delta::DocumentId;
use crate::gateway::sync::document::StoredConfig;
use crate::gateway::sync::view::EraChange;
use crate::gateway::sync::view::ReadStep;
use crate::gateway::sync::view::Topic;
use crate::platform;
use crate::platform::store;
use crate::platform::store::KeyedRecord;
use crate::sorted::Table;
use crate::telemetry::events;

pub mod changes;
pub mod delta;
pub mod document;
pub mod heard;
pub mod snapshots;
pub mod startup;
pub mod transfer;
pub mod view;

#[cfg(test)]
mod tests;

/// Time within which the response to a read has to begin, on top of the time that the read itself waits
/// for a record; a slow store takes a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time from the first read after the store has recovered to the next one, in ms: half of the time
/// within which a configuration must be in force, so that all instances together do not overload the
/// store.
const RECOVERY_GAP_MS: u64 = 1000;
/// Pause after a failed read, in ms; eight fit into the time within which a change must be in force.
const RETRY_MS: u64 = 250;
/// Consecutive failed reads after which only the first instance of a domain keeps retrying at
/// `RETRY_MS`.
const FAST_RETRIES: u32 = 2;
/// Pause of the other instances after a failed read, in ms: a third of the time after which they count
/// as connected to a recovered store. The first instance informs them of the recovery.
const SLOW_RETRY_MS: u64 = 1000;
/// Sources of a configuration, as logged.
const SOURCE_STORE: &str = "store";
const SOURCE_BATCH: &str = "batch";
const SOURCE_SNAPSHOT: &str = "snapshot";
/// Largest configuration that is parsed between requests, in bytes; this takes a few ms.
const INLINE_PARSE_MAX_BYTES: usize = 64 << 10;

/// Tails the operator's records until the process ends.
pub async fn run_operator(gateway: Rc<Gateway>) {
    run_tail(&gateway, Topic::Operator).await;
}

/// Tails the workers' records until the process ends.
pub async fn run_workers(gateway: Rc<Gateway>) {
    run_tail(&gateway, Topic::Workers).await;
}

async fn run_tail(gateway: &Gateway, topic: Topic) {
    let mut client = HttpClient::new(gateway.settings().store_addr);
    loop {
        let started_ms = gateway.now_ms();
        client.set_addr(gateway.settings().store_addr);
        let was_unreachable = gateway.store.borrow().is_unreachable();
        let result = match next_step(gateway, topic, started_ms) {
            ReadStep::Follow { until_ms } => {
                let advanced = gateway.reader_advanced.notified();
                let time_ms = until_ms.saturating_sub(started_ms);
                // Whether the wait timed out or the reader got ahead, the next step is decided anew.
                let _ = timeout(Duration::from_millis(time_ms), advanced).await;
                continue;
            }
            ReadStep::Ask { offset, attempt } => {
                tree::driver::ask_for_changes(gateway, offset, attempt);
                continue;
            }
            ReadStep::ReadNewest => read_newest(gateway, &mut client, topic).await,
            ReadStep::ReadFrom { offset, wait_ms } => {
                read_from(gateway, &mut client, topic, offset, wait_ms).await
            }
        };
        match result {
            Ok(()) => {
                let elapsed_ms = gateway.now_ms() - started_ms;
                let gap_ms = match was_unreachable {
                    true => RECOVERY_GAP_MS,
                    false => gateway.store.borrow().min_gap_ms(topic),
                };
                pause(gap_ms.saturating_sub(elapsed_ms)).await;
            }
            Err(reason) => {
                record_failure(gateway, topic, &reason);
                client.close();
                pause(retry_ms(gateway)).await;
            }
        }
    }
}

fn next_step(gateway: &Gateway, topic: Topic, now_ms: u64) -> ReadStep {
    let needs_own_read = accounts::driver::needs_own_read(gateway);
    let wait_max_ms = accounts::driver::read_wait_max_ms(gateway);
    let peers = gateway.peers.borrow();
    let mut store = gateway.store.borrow_mut();
    let settings = gateway.settings();
    let reader = peers.reader(settings.rank(), &store, now_ms);
    let name = reader.map(|(name, _)| name.as_str());
    if store.set_reader(name) {
        let line = gateway.log.line(events::READER_CHANGED, Severity::Notable);
        line.text("reader", name.unwrap_or(&settings.instance_id)).emit();
        gateway.metrics.reads_store.set(i64::from(name.is_none()));
    }
    store.set_large(tree::is_large(&peers, &settings.domain, true, now_ms));
    if store.next_offset(topic).is_none() && !store.startup.may_read() {
        return ReadStep::Follow { until_ms: now_ms + startup::POLL_MS };
    }
    let is_shared = peers.same_domain(&settings.domain, now_ms).next().is_some();
    let reader = reader.map(|(_, peer)| peer);
    if topic == Topic::Workers {
        return store.step(topic, reader, is_shared, now_ms);
    }
    let needs_own_read = reader.is_some() && needs_own_read;
    match store.step(topic, reader.filter(|_| !needs_own_read), is_shared, now_ms) {
        ReadStep::ReadFrom { offset, .. } if needs_own_read => {
            ReadStep::ReadFrom { offset, wait_ms: 0 }
        }
        ReadStep::ReadFrom { offset, wait_ms } => {
            ReadStep::ReadFrom { offset, wait_ms: wait_ms.min(wait_max_ms) }
        }
        step => step,
    }
}

fn retry_ms(gateway: &Gateway) -> u64 {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let is_first = peers.is_first(settings.rank(), gateway.now_ms());
    let is_outage = gateway.store.borrow().consecutive_failures() > FAST_RETRIES;
    if is_outage && !is_first { SLOW_RETRY_MS } else { RETRY_MS }
}

async fn pause(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

/// Reads the newest record of each key.
async fn read_newest(
    gateway: &Gateway,
    client: &mut HttpClient,
    topic: Topic,
) -> Result<(), String> {
    let mut after: Option<String> = None;
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut end_offset = None;
    let mut era = None;
    let sent_ms = boot_ms();
    let is_complete;
    loop {
        let path = store::newest_path(topic.name(), after.as_deref());
        let page = match call_store(gateway, client, topic, "newest", &path, CALL_TIMEOUT).await? {
            (200, body) => store::parse_newest(&body).map_err(|error| error.to_string())?,
            (404, _) => {
                // A topic without records; after a first page it is not known what is missing.
                is_complete = after.is_none();
                break;
            }
            (status, _) => return Err(format!("status {status}")),
        };
        check_era_since(gateway, *era.get_or_insert(current_era(gateway)))?;
        // The pages are not one consistent snapshot. Continuing at the end offset of the first page
        // makes sure that no later record is missed.
        end_offset = end_offset.or(Some(page.end_offset));
        after = page.records.last().map(|record| record.key.clone());
        records.extend(page.records);
        if !page.has_more || after.is_none() {
            is_complete = !page.has_more;
            break;
        }
    }
    record_answer(gateway, topic);
    if topic == Topic::Workers {
        remove_missing_workers(gateway, &records);
    }
    for record in records {
        apply(gateway, topic, record, SOURCE_STORE).await;
    }
    check_era_since(gateway, era.unwrap_or(current_era(gateway)))?;
    gateway.store.borrow_mut().advance(topic, end_offset.unwrap_or(0));
    if is_complete {
        record_complete(gateway, topic, sent_ms);
    }
    peers::driver::report_reads(gateway);
    Ok(())
}

/// Records that all records of a topic are known here that the store had at `boot_ms`, the time since the machine
/// started.
fn record_complete(gateway: &Gateway, topic: Topic, boot_ms: u64) {
    match topic {
        Topic::Operator => accounts::driver::on_read(gateway, boot_ms),
        Topic::Workers => {
            gateway.store.borrow_mut().on_workers_complete(boot_ms);
            date_later_records(gateway);
        }
    }
}

/// Applies what a peer states in its message: it completed its last reads of the store `read_age_ms` ago, and has read
/// up to `progress`.
pub fn on_peer_read(gateway: &Gateway, progress: &Progress, read_age_ms: u64) {
    // A read fails if its response has not begun by then, so that the store wrote the response after that.
    let age_ms = read_age_ms + CALL_TIMEOUT.as_millis() as u64;
    gateway.store.borrow_mut().on_peer_complete(progress, age_ms, boot_ms());
    date_later_records(gateway);
}

/// Dates the records that are applied from now on: the store accepted them after all of those known here.
fn date_later_records(gateway: &Gateway) {
    let complete_ms = gateway.store.borrow().workers_complete_ms();
    gateway.directory.borrow_mut().set_records_complete(complete_ms);
}

/// Removes the workers that no longer have a record in the store.
fn remove_missing_workers(gateway: &Gateway, records: &[KeyedRecord]) {
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

/// Reads the records from `offset` on and sends them to the other instances of the domain.
async fn read_from(
    gateway: &Gateway,
    client: &mut HttpClient,
    topic: Topic,
    offset: u64,
    wait_ms: u64,
) -> Result<(), String> {
    let path = store::read_path(topic.name(), offset, wait_ms);
    let limit = Duration::from_millis(wait_ms) + CALL_TIMEOUT;
    let era = current_era(gateway);
    let sent_ms = boot_ms();
    let result = call_store(gateway, client, topic, "read", &path, limit).await?;
    // Another instance may have told of a restore in the meantime.
    check_era_since(gateway, era)?;
    let body = match result {
        (200, body) => body,
        (410 | 404, _) => {
            gateway.store.borrow_mut().on_expired(topic);
            return Ok(());
        }
        (status, _) => return Err(format!("status {status}")),
    };
    let tail = store::parse_tail(&body, offset).map_err(|error| error.to_string())?;
    record_answer(gateway, topic);
    if tail.records.is_empty() {
        if tail.is_complete(offset) {
            let complete_ms = match topic {
                // The freshness of keys counts from the start of a read.
                Topic::Operator => sent_ms,
                Topic::Workers => known_absent_ms(sent_ms, wait_ms, boot_ms()),
            };
            record_complete(gateway, topic, complete_ms);
        }
        peers::driver::report_reads(gateway);
        return Ok(());
    }
    if topic == Topic::Operator && tail.has_gap(offset) {
        // A configuration may be among the records that the store no longer returns.
        gateway.store.borrow_mut().on_expired(topic);
        return Ok(());
    }
    let next_offset = tail.records.last().map_or(offset, |(at, _)| at + 1);
    let is_complete = tail.is_complete(offset);
    let before = gateway.store.borrow().progress.config_version;
    let newest = newest_of_keys(gateway, topic, &tail.records);
    let changes = changes_of(gateway, topic, (offset, next_offset), &newest);
    for record in newest {
        apply(gateway, topic, record, SOURCE_STORE).await;
    }
    check_era_since(gateway, era)?;
    gateway.store.borrow_mut().advance(topic, next_offset);
    if topic == Topic::Operator && tail.end_offset > next_offset {
        // More has been written than one read returns; only the newest of it matters.
        gateway.store.borrow_mut().on_expired(topic);
    }
    if is_complete {
        record_complete(gateway, topic, sent_ms);
    }
    let has_new_config = gateway.store.borrow().progress.config_version > before;
    match topic {
        Topic::Operator if has_new_config => peers::driver::send_config(gateway, next_offset),
        Topic::Operator => peers::driver::report_reads(gateway),
        Topic::Workers => match changes {
            Some(changes) => tree::driver::send_changes(gateway, changes),
            None => {
                let records = tail.records;
                let batch = RecordBatch { era, topic, start_offset: offset, next_offset, records };
                peers::driver::send_batch(gateway, batch);
            }
        },
    }
    Ok(())
}

/// Returns the last time at which the store had no record for a read that was sent at `sent_ms`, waited for up to
/// `wait_ms` and was answered without records by `answered_ms`.
fn known_absent_ms(sent_ms: u64, wait_ms: u64, answered_ms: u64) -> u64 {
    let waited_until_ms = sent_ms + wait_ms;
    if answered_ms >= waited_until_ms { waited_until_ms } else { sent_ms }
}

/// Returns the batch that a reader of a large failure domain sends after a read of the workers' records from
/// one offset to another; `None` in a small one, or if this instance relies on another one's reads.
fn changes_of(
    gateway: &Gateway,
    topic: Topic,
    (start_offset, next_offset): (u64, u64),
    newest: &[KeyedRecord],
) -> Option<RecordChanges> {
    let mut store = gateway.store.borrow_mut();
    if topic != Topic::Workers || !store.is_large() {
        return None;
    }
    let era = store.progress.era;
    if store.reader.is_some() {
        drop(store);
        changes::driver::log_gap(gateway, start_offset, SOURCE_STORE);
        return None;
    }
    Some(store.known_records().changes(era, start_offset, next_offset, newest))
}

/// Returns the newest record of each key, in the order of the log. Earlier ones need not be applied.
fn newest_of_keys(gateway: &Gateway, topic: Topic, records: &[(u64, Vec<u8>)]) -> Vec<KeyedRecord> {
    let mut newest: Table<String, KeyedRecord> = Table::new();
    for (offset, record) in records {
        match store::parse_keyed(*offset, record) {
            Ok(record) => {
                newest.insert(record.key.clone(), record);
            }
            Err(error) => log_skipped_record(gateway, topic, "", &error),
        }
    }
    let mut newest: Vec<KeyedRecord> = newest.values().cloned().collect();
    newest.sort_unstable_by_key(|record| record.offset);
    newest
}

/// Applies the workers' records that another instance of the domain has read, unless earlier ones are
/// missing here.
pub fn apply_batch(gateway: &Gateway, batch: &RecordBatch) {
    if note_era(gateway, batch.era) != EraChange::None {
        return;
    }
    let own = gateway.store.borrow().next_offset(batch.topic);
    let Some(own) = own.filter(|own| (batch.start_offset..batch.next_offset).contains(own)) else {
        return;
    };
    let own_at = batch.records.partition_point(|(at, _)| *at < own);
    for record in newest_of_keys(gateway, batch.topic, &batch.records[own_at..]) {
        apply_worker_record(gateway, &record);
    }
    gateway.store.borrow_mut().advance(batch.topic, batch.next_offset);
}

/// Applies the configuration that another instance of the domain has read, if this one has the document
/// that it is relative to.
pub async fn apply_config_update(gateway: &Gateway, update: ConfigUpdate) {
    if note_era(gateway, update.era) != EraChange::None {
        return;
    }
    // Otherwise the configuration is fetched.
    if let Ok(document) = restore(gateway, &update.change) {
        tokio::select! {
            () = apply_config(gateway, document, update.era, SOURCE_BATCH) => {}
            () = hold_own_reads(gateway) => {}
        }
        // Only once the configuration is in force: a read from the offset after it would show that nothing is
        // missing here. A large one is parsed in a thread, and the store may be restored meanwhile.
        let mut store = gateway.store.borrow_mut();
        let is_same_era = store.progress.era == update.era;
        let own = store.next_offset(Topic::Operator).filter(|_| is_same_era);
        if own.is_some_and(|own| own <= update.next_offset) {
            store.advance(Topic::Operator, update.next_offset);
        }
    }
}

/// Keeps this instance from reading a configuration from the store that it already has and is parsing.
async fn hold_own_reads(gateway: &Gateway) {
    loop {
        gateway.store.borrow_mut().on_transfer_progress(gateway.now_ms());
        pause(RETRY_MS).await;
    }
}

fn restore(gateway: &Gateway, change: &Delta) -> Result<Bytes, delta::Error> {
    let store = gateway.store.borrow();
    let known = store.config.as_ref().map(|config| config.document.clone()).unwrap_or_default();
    drop(store);
    change.restore(&known).map(Bytes::from)
}

/// Updates the state of the store from the last message of the instance whose reads this one relies
/// on, and wakes the tails if that instance is ahead.
pub fn on_peer_message(gateway: &Gateway, now_ms: u64) {
    let peers = gateway.peers.borrow();
    let mut store = gateway.store.borrow_mut();
    let settings = gateway.settings();
    let reader = peers.reader(settings.rank(), &store, now_ms);
    let Some((_, Peer { last_read_ms: Some(read_ms), progress, .. })) = reader else { return };
    if store.on_peer_read(*read_ms, now_ms) {
        gateway.log.line(events::STORE_REACHABLE, Severity::Notable).text("topic", "").emit();
    }
    if store.progress.is_behind(progress) {
        gateway.reader_advanced.notify_waiters();
    }
}

/// Calls the store and counts the result; returns the status and the body of the response.
async fn call_store(
    gateway: &Gateway,
    client: &mut HttpClient,
    topic: Topic,
    call: &'static str,
    path: &str,
    limit: Duration,
) -> Result<(u16, Bytes), String> {
    // While a response arrives the store is reachable, however long it takes.
    let on_progress = || gateway.store.borrow_mut().on_progress(topic, gateway.now_ms());
    let response = client.read(path, limit, on_progress).await;
    let result = match &response {
        Ok(response) if response.status_code == 200 => "ok",
        Ok(_) => "refused",
        Err(_) => "no_answer",
    };
    gateway.metrics.store_calls_total.with_label_values(&[call, result]).inc();
    let response = response.map_err(|error| error.to_string())?;
    check_era(gateway, &response)?;
    Ok((response.status_code, response.body))
}

/// Compares the era of a response of the store with the newest one known and starts what a restore requires.
///
/// # Errors
/// Returns why the response cannot be used: it belongs to another era than the call, or is not known to be
/// of the store.
pub fn check_era(gateway: &Gateway, response: &CallResponse) -> Result<(), String> {
    let Some(era) = store::era(&response.headers) else {
        let knows_era = gateway.store.borrow().knows_era();
        return match knows_era {
            true => Err(format!("status {} without an era", response.status_code)),
            false => Ok(()),
        };
    };
    match note_era(gateway, era) {
        EraChange::None => Ok(()),
        EraChange::Restored => Err(format!("the store was restored from a copy (era {era})")),
        EraChange::Outdated => Err(format!("the response is from era {era}, before a restore")),
    }
}

fn current_era(gateway: &Gateway) -> u64 {
    gateway.store.borrow().progress.era
}

/// Checks that no restore of the store has become known since `era` was the newest one; offsets of that time
/// cannot be used any longer, even if the response to a call is of the new era.
///
/// # Errors
/// Returns that the store was restored.
pub fn check_era_since(gateway: &Gateway, era: u64) -> Result<(), String> {
    match current_era(gateway) {
        current if current == era => Ok(()),
        current => Err(format!("the store was restored during the call (era {current})")),
    }
}

/// Compares an era with the newest one known; after a restore, discards what depends on offsets and has the
/// records of this instance written again.
pub fn note_era(gateway: &Gateway, era: u64) -> EraChange {
    let now_ms = gateway.now_ms();
    let change = gateway.store.borrow_mut().on_era(era, now_ms);
    if gateway.store.borrow().progress.era == era {
        gateway.election.borrow_mut().on_era(era, now_ms);
    }
    if change == EraChange::Restored {
        let line = gateway.log.line(events::STORE_RESTORED, Severity::Notable);
        line.number("era", era).emit();
        gateway.metrics.store_era.set(era as i64);
        crashes::persist::on_store_restored(gateway);
        gateway.reader_advanced.notify_waiters();
        gateway.config_heard.notify_one();
    }
    change
}

/// Records a successful read and logs the end of an outage.
fn record_answer(gateway: &Gateway, topic: Topic) {
    if gateway.store.borrow_mut().on_answer(topic, gateway.now_ms()) {
        let line = gateway.log.line(events::STORE_REACHABLE, Severity::Notable);
        line.text("topic", topic.name()).emit();
    }
}

/// Records a failed read and logs it if it is the first one in a row.
fn record_failure(gateway: &Gateway, topic: Topic, reason: &str) {
    if gateway.store.borrow_mut().on_failure(gateway.now_ms()) {
        let line = gateway.log.line(events::STORE_UNREACHABLE, Severity::Notable);
        line.text("topic", topic.name()).text("reason", reason).emit();
    }
}

fn log_skipped_record(gateway: &Gateway, topic: Topic, key: &str, error: &platform::Error) {
    gateway.metrics.bad_records_total.with_label_values(&[topic.name()]).inc();
    let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
    line.text("topic", topic.name()).text("key", key).text("reason", error).emit();
}

async fn apply(gateway: &Gateway, topic: Topic, record: KeyedRecord, source: &str) {
    match topic {
        Topic::Operator if record.key == store::CONFIG_KEY => {
            let era = current_era(gateway);
            apply_config(gateway, Bytes::from(record.value), era, source).await;
        }
        Topic::Operator => {}
        Topic::Workers => apply_worker_record(gateway, &record),
    }
}

fn apply_worker_record(gateway: &Gateway, record: &KeyedRecord) {
    match record.value.as_slice() {
        [] => remove_worker(gateway, &record.key),
        value => apply_worker(gateway, &record.key, value),
    }
}

/// Puts a configuration from `source`, read in `era`, in force, unless its version or a newer one already
/// is. After a restore of the store the operator may have written another document under the same version.
async fn apply_config(gateway: &Gateway, document: Bytes, era: u64, source: &str) {
    let started = Instant::now();
    let catalog = match parse_config(&document).await {
        Ok(catalog) => catalog,
        Err(error) => return log_skipped_record(gateway, Topic::Operator, "config", &error),
    };
    let before = gateway.catalog().map(|catalog| catalog.version);
    let replaces = before.is_none_or(|version| {
        version < catalog.version
            || version == catalog.version
                && gateway.store.borrow().config.as_ref().is_some_and(|config| config.era < era)
    });
    if !replaces {
        return;
    }
    if before == Some(catalog.version) {
        let mut store = gateway.store.borrow_mut();
        let id = DocumentId::of(&document);
        if let Some(config) = store.config.as_mut().filter(|config| config.id == id) {
            config.era = era;
            return;
        }
    }
    let line = gateway.log.line(events::CONFIG_IN_FORCE, Severity::Notable);
    line.number("version", catalog.version)
        .number("before", before.map_or(-1, i128::from))
        .number("routes", catalog.route_count() as u64)
        .text("source", source)
        .number("bytes", document.len() as u64)
        .number("parse_us", started.elapsed().as_micros() as u64)
        .emit();
    gateway.metrics.config_version.set(catalog.version as i64);
    let mut store = gateway.store.borrow_mut();
    store.config = Some(StoredConfig::new(document, era, store.config.as_ref()));
    store.progress.config_version = catalog.version;
    store.heard.on_in_force(catalog.version);
    drop(store);
    *gateway.catalog.borrow_mut() = Some(Rc::new(catalog));
    accounts::driver::on_config(gateway);
    gateway.state_changed.notify_waiters();
}

/// Parses a configuration, a large one in a thread of its own, so that it does not delay requests.
async fn parse_config(document: &Bytes) -> Result<Catalog, platform::Error> {
    if document.len() <= INLINE_PARSE_MAX_BYTES {
        return platform::config::parse(document);
    }
    let in_thread = document.clone();
    let parsing = tokio::task::spawn_blocking(move || platform::config::parse(&in_thread));
    match parsing.await {
        Ok(parsed) => parsed,
        Err(_) => platform::config::parse(document),
    }
}

fn apply_worker(gateway: &Gateway, id: &str, bytes: &[u8]) {
    gateway.store.borrow_mut().on_worker_record(id, bytes);
    let record = match platform::workers::parse(id, bytes) {
        Ok(record) => record,
        Err(error) => return log_skipped_record(gateway, Topic::Workers, id, &error),
    };
    let now_ms = gateway.now_ms();
    let was_restored = gateway.store.borrow().was_restored(now_ms);
    if was_restored && gateway.directory.borrow().is_outdated(&record, now_ms) {
        let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
        let line = line.text("topic", Topic::Workers.name()).text("key", id);
        return line.text("reason", "written before the worker was removed").emit();
    }
    gateway.store.borrow_mut().workers.insert(id.to_owned(), bytes.to_vec());
    if let Some(fleet) = gateway.fleet.borrow_mut().as_mut()
        && gateway.catalog().is_some_and(|catalog| catalog.engine(&record.service).is_some())
    {
        fleet.on_worker_record(&record, now_ms);
    }
    let service = record.service.clone();
    let leaving = record.leaving;
    let change = gateway.directory.borrow_mut().on_record(record, now_ms);
    if matches!(change, Change::Joined | Change::Leaving) {
        let line = gateway.log.line(events::WORKER_CHANGED, Severity::Notable);
        line.text("worker", id).text("service", service).text("leaving", leaving).emit();
    }
    if change != Change::None {
        after_worker_change(gateway);
    }
}

fn remove_worker(gateway: &Gateway, id: &str) {
    gateway.store.borrow_mut().on_worker_record(id, &[]);
    let now_ms = gateway.now_ms();
    let keep_until_ms = gateway.store.borrow().keep_removed_until_ms(now_ms);
    let change = gateway.directory.borrow_mut().on_removed(id, keep_until_ms, now_ms);
    if change == Change::Removed {
        drop_worker(gateway, id);
    }
}

fn drop_worker(gateway: &Gateway, id: &str) {
    gateway.store.borrow_mut().workers.remove(id);
    gateway.pool.borrow_mut().remove_worker(id);
    if let Some(fleet) = gateway.fleet.borrow_mut().as_mut() {
        fleet.on_worker_removed(id);
    }
    gateway.log.line(events::WORKER_GONE, Severity::Notable).text("worker", id).emit();
    after_worker_change(gateway);
}

fn after_worker_change(gateway: &Gateway) {
    gateway.metrics.workers.set(gateway.directory.borrow().len() as i64);
    gateway.state_changed.notify_waiters();
    gateway.planning_due.notify_one();
}

/// Drops workers whose records expired around an outage of the store and were not written again.
pub fn drop_expired_workers(gateway: &Gateway) {
    let expired = gateway.directory.borrow_mut().remove_expired(gateway.now_ms());
    for id in expired {
        drop_worker(gateway, &id);
    }
}
