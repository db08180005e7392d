//! What an instance has read from the store, and when it reads next.
//!
//! One instance of a failure domain reads for all of them: the first one whose reads are fresh, large
//! ones before small ones, then by name. The others follow it and take what it has read as
//! datagrams; they read by themselves when a datagram was lost or its reads grow old.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::peers::Peer;
use crate::gateway::peers::Progress;
use crate::gateway::peers::READS_FRESH_MS;
use crate::platform::store;
use crate::sorted::Table;

/// Time for which a read waits for a record when no other instance relies on it, in ms.
const READ_WAIT_MS: u64 = 1500;
/// The same for an instance that reads for others, in ms; half of the time for which they take its
/// reads as fresh.
const SHARED_READ_WAIT_MS: u64 = 700;
/// Shortest time between reads of the configuration, in ms.
const CONFIG_GAP_MS: u64 = 150;
/// Shortest time between reads of the workers' records, in ms; half of the time in which a leaving
/// worker must get no new work, less a read.
const WORKERS_GAP_MS: u64 = 700;
/// Time for which records may be on their way after their sender was seen to be ahead, in ms; many
/// times that of a datagram within a failure domain.
const BATCH_WAIT_MS: u64 = 60;
/// Time after a failed read for which an instance relies on any other reader of its domain, in ms;
/// as long as reads count as fresh.
const OWN_FAILURE_RECENT_MS: u64 = 1500;
/// Time after which an instance tells the one it relies on again that it does, in ms; much less than
/// the time for which that one knows it.
const READER_NOTIFY_MS: u64 = 3000;
/// Time after the store's return in which removals may be of living workers, in ms.
const SUSPECT_REMOVAL_MS: u64 = 1000;
/// Time after the store's return until which the records of living workers are back, in ms: two
/// seconds and a read.
const REREGISTRATION_MS: u64 = 2300;
/// Failures to read that last this long count as an outage, in ms.
const OUTAGE_MIN_MS: u64 = 800;

/// A topic of newest records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Topic {
    /// The operator's records.
    Operator,
    /// The workers' records.
    Workers,
}

impl Topic {
    /// Returns its name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => store::OPERATOR_TOPIC,
            Self::Workers => store::WORKERS_TOPIC,
        }
    }

    /// Returns the shortest time between two reads, in ms.
    pub fn min_gap_ms(self) -> u64 {
        match self {
            Self::Operator => CONFIG_GAP_MS,
            Self::Workers => WORKERS_GAP_MS,
        }
    }
}

/// What to do next about a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStep {
    /// Read the newest record of each key.
    ReadNewest,
    /// Read on.
    ReadFrom {
        /// Offset to read from.
        offset: u64,
        /// Time for which the read waits for a record, in ms.
        wait_ms: u64,
    },
    /// Wait for records from another instance until this time in ms.
    Follow {
        /// Time in ms.
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct TopicState {
    next_offset: Option<u64>,
    // Last own read that was answered.
    last_read_ms: Option<u64>,
    // Since when the followed instance is ahead.
    behind_since_ms: Option<u64>,
}

/// What has been read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// How far it has been read.
    pub progress: Progress,
    /// The configuration as it lies there.
    pub config: Vec<u8>,
    /// The workers' records as they lie there.
    pub workers: Table<String, Vec<u8>>,
    /// Instance whose reads this one relies on.
    pub reader: Option<String>,
    reader_notified_ms: Option<u64>,
    operator_state: TopicState,
    workers_state: TopicState,
    failing_since_ms: Option<u64>,
    // Last own read without answer, and how many there were in a row.
    last_failure_ms: Option<u64>,
    failures_in_row: u32,
    last_answer_ms: Option<u64>,
    recovered_ms: Option<u64>,
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

    /// Decides the next step for `topic`; `reader` is the instance to rely on, and `is_shared` tells
    /// whether others may rely on this one.
    pub fn step(
        &mut self,
        topic: Topic,
        reader: Option<&Peer>,
        is_shared: bool,
        now_ms: u64,
    ) -> ReadStep {
        let Some(offset) = self.state(topic).next_offset else { return ReadStep::ReadNewest };
        let (Some(reader), Some(fresh_until_ms)) = (reader, reader.and_then(fresh_until_ms)) else {
            // While the store is away no read waits, so that its return is noticed soon.
            let wait_ms = match (self.is_unreachable(), is_shared) {
                (true, _) => 0,
                (false, true) => SHARED_READ_WAIT_MS,
                (false, false) => READ_WAIT_MS,
            };
            return ReadStep::ReadFrom { offset, wait_ms };
        };
        let state = self.state_mut(topic);
        if reader.progress.end(topic) <= offset {
            state.behind_since_ms = None;
            return ReadStep::Follow { until_ms: fresh_until_ms };
        }
        let batch_until_ms = *state.behind_since_ms.get_or_insert(now_ms) + BATCH_WAIT_MS;
        if now_ms < batch_until_ms {
            return ReadStep::Follow { until_ms: batch_until_ms };
        }
        // The batch was lost.
        state.behind_since_ms = None;
        ReadStep::ReadFrom { offset, wait_ms: 0 }
    }

    /// Takes over which instance this one relies on; tells whether that has changed.
    pub fn set_reader(&mut self, reader: Option<&str>) -> bool {
        if self.reader.as_deref() == reader {
            return false;
        }
        self.reader = reader.map(str::to_owned);
        self.reader_notified_ms = None;
        true
    }

    /// Returns the instance that has to hear now and then that this one relies on it.
    pub fn take_due_notification(&mut self, now_ms: u64) -> Option<&str> {
        let due = self.reader_notified_ms.is_none_or(|at_ms| now_ms >= at_ms + READER_NOTIFY_MS);
        let reader = self.reader.as_deref().filter(|_| due)?;
        self.reader_notified_ms = Some(now_ms);
        Some(reader)
    }

    /// Returns the offset from which `topic` is to be read on.
    pub fn next_offset(&self, topic: Topic) -> Option<u64> {
        self.state(topic).next_offset
    }

    /// Notes that `topic` has been read up to `offset`, by the instance or for it.
    pub fn advance(&mut self, topic: Topic, offset: u64) {
        self.state_mut(topic).next_offset = Some(offset);
        self.progress.advance(topic, offset);
    }

    /// Notes that the records of `topic` at the next offset have expired.
    pub fn on_expired(&mut self, topic: Topic) {
        self.state_mut(topic).next_offset = None;
    }

    /// Notes an answer of the store to a read of `topic`; tells whether the store had been away.
    pub fn on_answer(&mut self, topic: Topic, now_ms: u64) -> bool {
        self.state_mut(topic).last_read_ms = Some(now_ms);
        self.last_failure_ms = None;
        self.failures_in_row = 0;
        self.record_answer(now_ms, now_ms)
    }

    /// Notes that another instance of the domain read the store at `read_ms`; tells whether the
    /// store had been away.
    pub fn on_peer_read(&mut self, read_ms: u64, now_ms: u64) -> bool {
        if self.last_failure_ms.is_some_and(|failed_ms| read_ms <= failed_ms) {
            return false;
        }
        self.record_answer(read_ms, now_ms)
    }

    fn record_answer(&mut self, answered_ms: u64, now_ms: u64) -> bool {
        let was_away =
            self.failing_since_ms.take().is_some_and(|since| now_ms >= since + OUTAGE_MIN_MS);
        if was_away {
            self.recovered_ms = Some(now_ms);
        }
        self.last_answer_ms = self.last_answer_ms.max(Some(answered_ms));
        was_away
    }

    /// Notes a read without answer; tells whether it is the first.
    pub fn on_failure(&mut self, now_ms: u64) -> bool {
        let first = self.failing_since_ms.is_none();
        self.last_failure_ms = Some(now_ms);
        self.failures_in_row += 1;
        // The last answer dates the begin, since the failed call may have waited for long.
        let since_ms = self.last_answer_ms.unwrap_or(now_ms);
        self.failing_since_ms.get_or_insert(since_ms);
        first
    }

    /// Returns the number of own reads without answer since the last answer.
    pub fn failures_in_row(&self) -> u32 {
        self.failures_in_row
    }

    /// Tells whether neither the instance nor another one it relies on reaches the store.
    pub fn is_unreachable(&self) -> bool {
        self.failing_since_ms.is_some()
    }

    /// Tells whether own reads have failed lately, so that those of any other instance are better.
    pub fn own_reads_fail(&self, now_ms: u64) -> bool {
        self.last_failure_ms.is_some_and(|failed_ms| now_ms < failed_ms + OWN_FAILURE_RECENT_MS)
    }

    /// Returns when both topics had last been read by the instance itself; `None` when it does not
    /// read, or in vain.
    pub fn last_read_ms(&self, now_ms: u64) -> Option<u64> {
        if self.last_failure_ms.is_some() {
            return None;
        }
        let read_ms = self.operator_state.last_read_ms?.min(self.workers_state.last_read_ms?);
        (now_ms < read_ms + READS_FRESH_MS).then_some(read_ms)
    }

    /// Returns until when a worker stays in use whose record is found removed now; `None` when the
    /// removal is no matter of an outage.
    pub fn keep_removed_until_ms(&self, now_ms: u64) -> Option<u64> {
        let recovered_ms = self.recovered_ms?;
        (now_ms <= recovered_ms + SUSPECT_REMOVAL_MS).then_some(recovered_ms + REREGISTRATION_MS)
    }
}

fn fresh_until_ms(reader: &Peer) -> Option<u64> {
    reader.last_read_ms.map(|read_ms| read_ms + READS_FRESH_MS)
}
