//! What an instance has read from the store, and when it reads next.
//!
//! One instance of a failure domain reads for all of them: the first one with fresh reads, large
//! instances before small ones, then in order of name. The others follow it and receive the records as
//! datagrams. They read from the store themselves when a datagram was lost or the reader's last read
//! is no longer fresh.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::peers::Peer;
use crate::gateway::peers::Progress;
use crate::gateway::peers::READS_FRESH_MS;
use crate::gateway::peers::tree::driver::Update;
use crate::gateway::sync::changes::KeptBatches;
use crate::gateway::sync::changes::KnownRecords;
use crate::gateway::sync::changes::RecordChanges;
use crate::gateway::sync::document::StoredConfig;
use crate::gateway::sync::heard::HeardConfig;
use crate::gateway::sync::startup::Startup;
use crate::gateway::sync::transfer::EncodedSnapshot;
use crate::platform::store;
use crate::platform::store::KeyedRecord;
use crate::sorted::Table;

/// Time for which a read waits for a record when no other instance relies on this one, in ms.
const READ_WAIT_MS: u64 = 1500;
/// The same for an instance that reads for others, in ms; half of the time for which its reads count
/// as fresh.
const SHARED_READ_WAIT_MS: u64 = 700;
/// Shortest time between reads of the configuration, in ms.
const CONFIG_GAP_MS: u64 = 150;
/// Shortest time between reads of the workers' records, in ms; half of the time within which requests
/// to a leaving worker must stop, minus the duration of a read.
const WORKERS_GAP_MS: u64 = 700;
/// The same in a large failure domain, where a record takes up to three hops to the other instances.
const LARGE_WORKERS_GAP_MS: u64 = 350;
/// Time to wait for a batch after its sender was seen to be ahead, in ms; many times the latency of a
/// datagram within a failure domain.
const BATCH_WAIT_MS: u64 = 60;
/// Time to wait for a batch after its sender was seen to be ahead in a large failure domain, in ms: three
/// hops, of each of which a batch to all children takes up to 70 ms of a link of 10 Mbit/s.
const LARGE_BATCH_WAIT_MS: u64 = 250;
/// Time after which an instance that was asked for missing batches counts as silent, in ms.
const REPAIR_WAIT_MS: u64 = 250;
/// Instances that are asked for missing batches before the store is read.
const REPAIR_ATTEMPTS: u32 = 2;
/// Time after which a configuration is read from the store that neither a datagram nor a transfer from
/// another instance has brought, in ms.
const TRANSFER_WAIT_MS: u64 = 600;
/// The same in a large failure domain, in ms: the way through the tree takes 400 ms, and more instances fetch it.
const LARGE_TRANSFER_WAIT_MS: u64 = 1200;
/// Time after a failed read for which an instance relies on any other reader of its domain, in ms;
/// equal to the time for which reads count as fresh.
const OWN_FAILURE_RECENT_MS: u64 = 1500;
/// Time between heartbeats to the instance whose reads this one relies on, in ms; much less than the
/// time after which that instance stops sending to a peer.
const READER_NOTIFY_MS: u64 = 3000;
/// Time after the store has recovered during which a missing record may belong to a live worker, in
/// ms.
const SUSPECT_REMOVAL_MS: u64 = 1000;
/// Time after the store has recovered within which live workers write their records again, in ms: two
/// seconds and a read.
const REREGISTRATION_MS: u64 = 2300;
/// Time after a restore of the store for which it may hold outdated records, in ms.
const RESTORED_RECENT_MS: u64 = 60_000;
/// Time for which reads must fail to count as an outage, in ms.
const OUTAGE_MIN_MS: u64 = 800;

/// A keyed topic of the store that is read here.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Topic {
    /// Records of the operator, of which the configuration is used.
    Operator,
    /// Records that workers write about themselves.
    Workers,
}

impl Topic {
    /// Returns the topic's name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => store::OPERATOR_TOPIC,
            Self::Workers => store::WORKERS_TOPIC,
        }
    }

    /// Returns the shortest time between two reads of the topic, in ms.
    pub fn min_gap_ms(self) -> u64 {
        match self {
            Self::Operator => CONFIG_GAP_MS,
            Self::Workers => WORKERS_GAP_MS,
        }
    }
}

/// How the era of a response or message compares with the newest one known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It is the same.
    None,
    /// The store has been restored from a copy since.
    Restored,
    /// The response or message is from before a restore.
    Outdated,
}

/// Next step in reading a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStep {
    /// Read the newest record of each key.
    ReadNewest,
    /// Read the records that follow an offset.
    ReadFrom {
        /// Offset of the first record to read.
        offset: u64,
        /// Time for which the read waits for a record, in ms.
        wait_ms: u64,
    },
    /// Ask another instance for the workers' records that follow an offset.
    Ask {
        /// Offset of the first one.
        offset: u64,
        /// Number of instances that were asked before.
        attempt: u32,
    },
    /// Wait for records from another instance.
    Follow {
        /// Time at which the wait ends, in ms.
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct TopicState {
    next_offset: Option<u64>,
    // Time of the last own read that succeeded.
    last_read_ms: Option<u64>,
    // Time since which the followed instance has been ahead.
    behind_since_ms: Option<u64>,
}

/// Search for batches that were missed.
#[derive(Clone, Copy, Debug, Default)]
struct Repair {
    // Time at which a batch arrived that does not follow the records known here, in ms.
    gap_ms: Option<u64>,
    attempts: u32,
    asked_ms: u64,
}

/// What this instance has read from the store, and whether the store is reachable.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// How far the store has been read.
    pub progress: Progress,
    /// The configuration in force as stored; `None` before the first one.
    pub config: Option<StoredConfig>,
    /// The newest configuration that other instances have.
    pub heard: HeardConfig,
    /// Worker records as stored, by worker id.
    pub workers: Table<String, Vec<u8>>,
    /// Batches received lately in a large failure domain.
    pub kept: KeptBatches<Update>,
    /// The transfer of all records that was last sent in a large failure domain.
    pub last_snapshot: Option<EncodedSnapshot>,
    /// State until the first records are there.
    pub startup: Startup,
    is_large: bool,
    known: Option<KnownRecords>,
    // Number of updates that this instance has sent through the tree.
    turns: u64,
    repair: Repair,
    /// Instance whose reads this one relies on; `None` when it reads the store itself.
    pub reader: Option<String>,
    reader_notified_ms: Option<u64>,
    // Time at which a part of a transfer from another instance last arrived.
    transferring_ms: u64,
    operator_state: TopicState,
    workers_state: TopicState,
    // Last time, since the machine started, at which all records of workers in the store were known here.
    workers_complete_ms: u64,
    failing_since_ms: Option<u64>,
    // Time of the last own read that failed, and the number of consecutive failures.
    last_failure_ms: Option<u64>,
    consecutive_failures: u32,
    last_answer_ms: Option<u64>,
    recovered_ms: Option<u64>,
    // Time at which a restore of the store was noticed.
    restored_ms: Option<u64>,
}

impl StoreView {
    fn state(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Operator => &self.operator_state,
            Topic::Workers => &self.workers_state,
        }
    }

    fn state_mut(&mut self, topic: Topic) -> &mut TopicState {
        match topic {
            Topic::Operator => &mut self.operator_state,
            Topic::Workers => &mut self.workers_state,
        }
    }

    /// Returns the next step for `topic`. `reader` is the instance whose reads to rely on, and
    /// `is_shared` is set when others may rely on this instance.
    pub fn step(
        &mut self,
        topic: Topic,
        reader: Option<&Peer>,
        is_shared: bool,
        now_ms: u64,
    ) -> ReadStep {
        let Some(offset) = self.state(topic).next_offset else {
            return self.step_to_newest(topic, reader, now_ms);
        };
        let (Some(reader), Some(fresh_until_ms)) = (reader, reader.and_then(fresh_until_ms)) else {
            // While the store is unreachable reads do not wait, so that its recovery is noticed soon.
            let wait_ms = match (self.is_unreachable(), is_shared) {
                (true, _) => 0,
                (false, true) => SHARED_READ_WAIT_MS,
                (false, false) => READ_WAIT_MS,
            };
            return ReadStep::ReadFrom { offset, wait_ms };
        };
        let gap_ms = self.repair.gap_ms.filter(|_| topic == Topic::Workers);
        let is_large = self.is_large;
        let is_tree = is_large && topic == Topic::Workers;
        let state = self.state_mut(topic);
        if reader.progress.end(topic) <= offset && gap_ms.is_none() {
            state.behind_since_ms = None;
            return ReadStep::Follow { until_ms: fresh_until_ms };
        }
        let behind_since_ms = *state.behind_since_ms.get_or_insert(now_ms);
        let wait_until_ms = match topic {
            Topic::Workers if is_tree => {
                let late_ms = behind_since_ms + LARGE_BATCH_WAIT_MS;
                gap_ms.map_or(late_ms, |gap_ms| late_ms.min(gap_ms + BATCH_WAIT_MS))
            }
            Topic::Workers => behind_since_ms + BATCH_WAIT_MS,
            // The configuration is fetched from another instance meanwhile.
            Topic::Operator => {
                let wait_ms = if is_large { LARGE_TRANSFER_WAIT_MS } else { TRANSFER_WAIT_MS };
                behind_since_ms.max(self.transferring_ms) + wait_ms
            }
        };
        if now_ms < wait_until_ms {
            return ReadStep::Follow { until_ms: wait_until_ms };
        }
        if is_tree && let Some(step) = self.repair_step(offset, now_ms) {
            return step;
        }
        let state = self.state_mut(topic);
        // The batch must have been lost.
        state.behind_since_ms = None;
        ReadStep::ReadFrom { offset, wait_ms: 0 }
    }

    /// Returns the step that leads to the newest records: another instance is asked for them first if this
    /// one relies on it.
    fn step_to_newest(&mut self, topic: Topic, reader: Option<&Peer>, now_ms: u64) -> ReadStep {
        let has_all = reader.is_some_and(|reader| {
            reader.progress.operator_end > 0 && reader.progress.workers_end > 0
        });
        if !has_all {
            return ReadStep::ReadNewest;
        }
        let transferring_ms = self.transferring_ms;
        let since_ms = *self.state_mut(topic).behind_since_ms.get_or_insert(now_ms);
        let until_ms = since_ms.max(transferring_ms) + TRANSFER_WAIT_MS;
        if now_ms < until_ms { ReadStep::Follow { until_ms } } else { ReadStep::ReadNewest }
    }

    /// Returns the step that brings missed batches from other instances; `None` if the store has to be read.
    fn repair_step(&mut self, offset: u64, now_ms: u64) -> Option<ReadStep> {
        let attempt = self.repair.attempts;
        let until_ms = self.repair.asked_ms + REPAIR_WAIT_MS;
        if attempt > 0 && now_ms < until_ms {
            return Some(ReadStep::Follow { until_ms });
        }
        if attempt >= REPAIR_ATTEMPTS {
            self.repair = Repair::default();
            return None;
        }
        self.repair.attempts += 1;
        self.repair.asked_ms = now_ms;
        Some(ReadStep::Ask { offset, attempt })
    }

    /// Records that a batch has arrived that does not follow the records known here.
    pub fn on_gap(&mut self, now_ms: u64) {
        self.repair.gap_ms.get_or_insert(now_ms);
    }

    /// Returns the number of instances that were asked for missing batches.
    pub fn repair_attempts(&self) -> u32 {
        self.repair.attempts
    }

    /// Sets whether the failure domain is large, so that updates take the tree.
    pub fn set_large(&mut self, is_large: bool) {
        self.is_large = is_large;
        if !is_large {
            self.known = None;
            self.repair = Repair::default();
        }
    }

    /// Returns the time at which a part of a transfer from another instance last arrived, in ms.
    pub fn transferring_ms(&self) -> u64 {
        self.transferring_ms
    }

    /// Returns whether the failure domain is large.
    pub fn is_large(&self) -> bool {
        self.is_large
    }

    /// Returns the shortest time between two reads of `topic`, in ms.
    pub fn min_gap_ms(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Workers if self.is_large => LARGE_WORKERS_GAP_MS,
            topic => topic.min_gap_ms(),
        }
    }

    /// Returns the number of the next update through the tree.
    pub fn take_turn(&mut self) -> u64 {
        self.turns += 1;
        self.turns
    }

    /// Returns the newest records of the workers, which batches are relative to.
    pub fn known_records(&mut self) -> &mut KnownRecords {
        let workers = &self.workers;
        self.known.get_or_insert_with(|| {
            let mut known = KnownRecords::default();
            workers.iter().for_each(|(key, value)| known.on_record(key, value));
            known
        })
    }

    /// Returns the records of a batch that are new here, and records them as read; `None` if the batch does not
    /// follow the records known here, or these are not the ones that it is relative to.
    pub fn take_changes(&mut self, batch: &RecordChanges) -> Option<Vec<KeyedRecord>> {
        let own = self.next_offset(Topic::Workers)?;
        if batch.era != self.progress.era || !(batch.start_offset..batch.next_offset).contains(&own)
        {
            return None;
        }
        let records = self.known_records().restore(batch, own)?;
        self.advance(Topic::Workers, batch.next_offset);
        Some(records)
    }

    /// Records the newest record of a worker as read, whether it is used or not; an empty one deletes it.
    pub fn on_worker_record(&mut self, key: &str, value: &[u8]) {
        if let Some(known) = &mut self.known {
            known.on_record(key, value);
        }
    }

    /// Sets the instance whose reads this one relies on; returns whether it has changed.
    pub fn set_reader(&mut self, reader: Option<&str>) -> bool {
        if self.reader.as_deref() == reader {
            return false;
        }
        self.reader = reader.map(str::to_owned);
        self.reader_notified_ms = None;
        true
    }

    /// Returns the instance whose reads this one relies on if a heartbeat to it is due, and counts
    /// that heartbeat as sent. The heartbeats keep this instance among the peers that it sends to.
    pub fn take_due_notification(&mut self, now_ms: u64) -> Option<&str> {
        let due = self.reader_notified_ms.is_none_or(|at_ms| now_ms >= at_ms + READER_NOTIFY_MS);
        let reader = self.reader.as_deref().filter(|_| due)?;
        self.reader_notified_ms = Some(now_ms);
        Some(reader)
    }

    /// Compares an era of the store with the newest one known. After a restore offsets are given out again,
    /// so all that was read by offset is read anew; the configuration in force stays.
    pub fn on_era(&mut self, era: u64, now_ms: u64) -> EraChange {
        match era.cmp(&self.progress.era) {
            Ordering::Equal => EraChange::None,
            Ordering::Less => EraChange::Outdated,
            Ordering::Greater => {
                let has_read = self.last_answer_ms.is_some();
                let config_version = self.progress.config_version;
                self.repair = Repair::default();
                self.progress = Progress { era, config_version, ..Progress::default() };
                for topic in [Topic::Operator, Topic::Workers] {
                    let state = self.state_mut(topic);
                    state.next_offset = None;
                    state.behind_since_ms = None;
                }
                if !has_read {
                    return EraChange::None;
                }
                self.restored_ms = Some(now_ms);
                if self.is_large {
                    self.startup.restart(now_ms);
                }
                // Live workers write their records again, as after an outage.
                self.recovered_ms = Some(now_ms);
                EraChange::Restored
            }
        }
    }

    /// Returns whether the store may still hold records that were outdated before its restore.
    pub fn was_restored(&self, now_ms: u64) -> bool {
        self.restored_ms.is_some_and(|restored_ms| now_ms < restored_ms + RESTORED_RECENT_MS)
    }

    /// Returns whether the store has ever said which era it is in.
    pub fn knows_era(&self) -> bool {
        self.progress.era > 0
    }

    /// Returns whether the newest records of a topic have to be read.
    pub fn needs_newest(&self) -> bool {
        self.operator_state.next_offset.is_none() || self.workers_state.next_offset.is_none()
    }

    /// Returns the offset of the next record to read of `topic`; `None` when the newest records must
    /// be read first.
    pub fn next_offset(&self, topic: Topic) -> Option<u64> {
        self.state(topic).next_offset
    }

    /// Records that another instance has read `topic` up to `offset` and has passed on all it has read.
    pub fn advance_if_newer(&mut self, topic: Topic, offset: u64) {
        self.progress.advance(topic, offset);
        let state = self.state_mut(topic);
        let own = state.next_offset.unwrap_or(0);
        state.next_offset = (offset > 0).then_some(own.max(offset)).or(state.next_offset);
    }

    /// Records that a part of a transfer from another instance has arrived.
    pub fn on_transfer_progress(&mut self, now_ms: u64) {
        self.transferring_ms = now_ms;
    }

    /// Records that `topic` has been read up to `offset`, by this instance or another one.
    pub fn advance(&mut self, topic: Topic, offset: u64) {
        let state = self.state_mut(topic);
        state.next_offset = Some(offset);
        state.behind_since_ms = None;
        if topic == Topic::Workers {
            self.repair = Repair::default();
        }
        self.progress.advance(topic, offset);
    }

    /// Records that the store no longer retains the next records of `topic`, so that the newest
    /// records are read instead.
    pub fn on_expired(&mut self, topic: Topic) {
        self.state_mut(topic).next_offset = None;
    }

    /// Returns the last time, since the machine started, in ms, at which all records of workers in the store were
    /// known here; 0 if that is not known.
    pub fn workers_complete_ms(&self) -> u64 {
        self.workers_complete_ms
    }

    /// Records that all records of workers that the store had at `boot_ms`, the time since the machine started, are
    /// known here.
    pub fn on_workers_complete(&mut self, boot_ms: u64) {
        self.workers_complete_ms = self.workers_complete_ms.max(boot_ms);
    }

    /// The same for a peer that knew all records `age_ms` ago, if this instance has read at least as far. The
    /// time for which the message has travelled is not known, so that a record counts as later by it than it was.
    pub fn on_peer_complete(&mut self, progress: &Progress, age_ms: u64, boot_ms: u64) {
        let own = &self.progress;
        if progress.era == own.era && progress.workers_end <= own.workers_end {
            self.on_workers_complete(boot_ms.saturating_sub(age_ms));
        }
    }

    /// Records a successful read of `topic`; returns whether it ends an outage of the store.
    pub fn on_answer(&mut self, topic: Topic, now_ms: u64) -> bool {
        self.state_mut(topic).last_read_ms = Some(now_ms);
        self.last_failure_ms = None;
        self.consecutive_failures = 0;
        self.record_answer(now_ms, now_ms)
    }

    /// Records that a part of the response to a read of `topic` has arrived. Others keep relying on the
    /// reads of this instance meanwhile.
    pub fn on_progress(&mut self, topic: Topic, now_ms: u64) {
        let state = self.state_mut(topic);
        if state.last_read_ms.is_some() {
            state.last_read_ms = Some(now_ms);
        }
    }

    /// Records that another instance of the domain read the store at `read_ms`; returns whether this
    /// ends an outage of the store.
    pub fn on_peer_read(&mut self, read_ms: u64, now_ms: u64) -> bool {
        if self.last_failure_ms.is_some_and(|failed_ms| read_ms <= failed_ms) {
            return false;
        }
        self.record_answer(read_ms, now_ms)
    }

    fn record_answer(&mut self, answered_ms: u64, now_ms: u64) -> bool {
        let was_unreachable =
            self.failing_since_ms.take().is_some_and(|since| now_ms >= since + OUTAGE_MIN_MS);
        if was_unreachable {
            self.recovered_ms = Some(now_ms);
        }
        self.last_answer_ms = self.last_answer_ms.max(Some(answered_ms));
        was_unreachable
    }

    /// Records a failed read; returns whether it is the first one in a row.
    pub fn on_failure(&mut self, now_ms: u64) -> bool {
        let is_first = self.failing_since_ms.is_none();
        self.last_failure_ms = Some(now_ms);
        self.consecutive_failures += 1;
        // The outage is dated from the last successful read, since the failed call may have waited
        // for a long time.
        let since_ms = self.last_answer_ms.unwrap_or(now_ms);
        self.failing_since_ms.get_or_insert(since_ms);
        is_first
    }

    /// Returns the number of consecutive failures of own reads.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns whether neither this instance nor the one it relies on reaches the store.
    pub fn is_unreachable(&self) -> bool {
        self.failing_since_ms.is_some()
    }

    /// Returns whether an own read has failed recently, so that the reads of any other instance are
    /// preferred.
    pub fn own_reads_fail(&self, now_ms: u64) -> bool {
        self.last_failure_ms.is_some_and(|failed_ms| now_ms < failed_ms + OWN_FAILURE_RECENT_MS)
    }

    /// Returns the older of the times at which this instance itself last read the two topics; `None`
    /// when it does not read the store or its reads fail.
    pub fn last_read_ms(&self, now_ms: u64) -> Option<u64> {
        if self.last_failure_ms.is_some() {
            return None;
        }
        let read_ms = self.operator_state.last_read_ms?.min(self.workers_state.last_read_ms?);
        (now_ms < read_ms + READS_FRESH_MS).then_some(read_ms)
    }

    /// Returns the time until which a worker is kept in use whose record is missing now; `None` if
    /// the removal takes effect immediately because no outage has just ended.
    pub fn keep_removed_until_ms(&self, now_ms: u64) -> Option<u64> {
        let recovered_ms = self.recovered_ms?;
        (now_ms <= recovered_ms + SUSPECT_REMOVAL_MS).then_some(recovered_ms + REREGISTRATION_MS)
    }
}

fn fresh_until_ms(reader: &Peer) -> Option<u64> {
    reader.last_read_ms.map(|read_ms| read_ms + READS_FRESH_MS)
}
