//! Batches of workers' records without what the other instances of a failure domain know already.
//!
//! A worker writes its record every 1.2 s, mostly with nothing but a higher sequence number. Such a record
//! takes about ten bytes here: a tag of the rest of the record and the number.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::platform::store::KeyedRecord;
use crate::platform::workers;
use crate::sorted::Table;

pub mod driver;

#[cfg(test)]
mod tests;

/// Largest batch in a datagram before compression, in bytes.
const CHANGES_MAX_BYTES: usize = 40 << 10;
/// Time for which batches are kept for others that missed them, in ms; several repair intervals.
const KEPT_MS: u64 = 5000;
/// Most bytes of batches that are kept.
const KEPT_MAX_BYTES: usize = 1 << 20;
/// Most bytes that are sent to an instance that asks for missing batches: a twentieth of a second of the
/// slowest link.
const REPAIR_MAX_BYTES: usize = 64 << 10;

/// Truncated digest of a worker's id and its record without the sequence number. Two of 3,000 records share
/// one with a probability of 2^-25; such records are sent whole.
pub type RecordTag = [u8; 6];

/// A record that differs from the known one only in its sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewSequence {
    /// Tag of the rest of the record.
    pub tag: RecordTag,
    /// Offset of the record, from the start of the batch.
    pub offset_in_batch: u64,
    /// The sequence number.
    pub sequence: u64,
}

/// A whole record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewRecord {
    /// Offset of the record, from the start of the batch.
    pub offset_in_batch: u64,
    /// Id of the worker.
    pub key: String,
    /// The record; empty if it was deleted.
    pub value: Vec<u8>,
}

/// The newest record of each worker among consecutive records of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordChanges {
    /// Era of the store that the offsets belong to.
    pub era: u64,
    /// Offset at which the batch starts.
    pub start_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Records of which only the sequence number is new, in the order of the log.
    pub sequences: Vec<NewSequence>,
    /// All other records, in the order of the log.
    pub records: Vec<NewRecord>,
}

impl RecordChanges {
    /// Divides the batch into parts that fit into a datagram, in the order of the log.
    pub fn into_parts(self) -> Vec<Self> {
        let records: usize =
            self.records.iter().map(|record| record.key.len() + record.value.len() + 8).sum();
        let len = records + self.sequences.len() * size_of::<NewSequence>();
        let middle = (self.next_offset - self.start_offset) / 2;
        if len <= CHANGES_MAX_BYTES || middle == 0 {
            return vec![self];
        }
        let (first, second) = self.divide(middle);
        let mut parts = first.into_parts();
        parts.extend(second.into_parts());
        parts
    }

    fn divide(mut self, middle: u64) -> (Self, Self) {
        let at = self.sequences.partition_point(|change| change.offset_in_batch < middle);
        let mut sequences = self.sequences.split_off(at);
        let at = self.records.partition_point(|record| record.offset_in_batch < middle);
        let mut records = self.records.split_off(at);
        sequences.iter_mut().for_each(|change| change.offset_in_batch -= middle);
        records.iter_mut().for_each(|record| record.offset_in_batch -= middle);
        let start_offset = self.start_offset + middle;
        let second =
            Self { era: self.era, start_offset, next_offset: self.next_offset, sequences, records };
        (Self { next_offset: start_offset, ..self }, second)
    }
}

#[derive(Clone, Debug)]
struct KnownRecord {
    tag: Option<RecordTag>,
    value: Vec<u8>,
}

/// The newest record of each worker as read from the store, whether it is used or not.
#[derive(Clone, Debug, Default)]
pub struct KnownRecords {
    records: Table<String, KnownRecord>,
    keys_by_tag: Table<RecordTag, String>,
}

impl KnownRecords {
    /// Records the newest record of a worker; an empty one deletes it.
    pub fn on_record(&mut self, key: &str, value: &[u8]) {
        let known = self.records.get(key);
        let before = known.and_then(|known| known.tag);
        let is_same = known.is_some_and(|known| differ_in_sequence(&known.value, value).is_some());
        let tag = if is_same { before } else { tag(key, value) };
        if before != tag {
            if let Some(before) = before
                && self.keys_by_tag.get(&before).is_some_and(|known| known == key)
            {
                self.keys_by_tag.remove(&before);
            }
            if let Some(tag) = tag
                && !self.keys_by_tag.contains(&tag)
            {
                self.keys_by_tag.insert(tag, key.to_owned());
            }
        }
        if value.is_empty() {
            self.records.remove(key);
        } else {
            self.records.insert(key.to_owned(), KnownRecord { tag, value: value.to_vec() });
        }
    }

    /// Forgets the workers for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.records.retain(|key, _| keep(key));
        let records = &self.records;
        self.keys_by_tag.retain(|_, key| records.contains(key.as_str()));
    }

    /// Returns the batch that brings an instance with these records from `start_offset` to `next_offset`.
    /// `newest` holds the newest record of each worker in the order of the log.
    pub fn changes(
        &self,
        era: u64,
        start_offset: u64,
        next_offset: u64,
        newest: &[KeyedRecord],
    ) -> RecordChanges {
        let mut changes = RecordChanges { era, start_offset, next_offset, ..Default::default() };
        for record in newest {
            let offset_in_batch = record.offset - start_offset;
            match self.new_sequence(record) {
                Some((tag, sequence)) => {
                    changes.sequences.push(NewSequence { tag, offset_in_batch, sequence });
                }
                None => changes.records.push(NewRecord {
                    offset_in_batch,
                    key: record.key.clone(),
                    value: record.value.clone(),
                }),
            }
        }
        changes
    }

    fn new_sequence(&self, record: &KeyedRecord) -> Option<(RecordTag, u64)> {
        let known = self.records.get(record.key.as_str())?;
        let sequence = differ_in_sequence(&known.value, &record.value)?;
        let tag = known.tag.filter(|tag| self.keys_by_tag.get(tag) == Some(&record.key))?;
        Some((tag, sequence))
    }

    /// Returns the records of a batch from `own_offset` on, in the order of the log; `None` if some of
    /// those that they differ from are not known here.
    pub fn restore(&self, changes: &RecordChanges, own_offset: u64) -> Option<Vec<KeyedRecord>> {
        let first = own_offset.saturating_sub(changes.start_offset);
        let mut restored = Vec::new();
        for change in changes.sequences.iter().filter(|change| change.offset_in_batch >= first) {
            let key = self.keys_by_tag.get(&change.tag)?;
            let known = self.records.get(key.as_str())?;
            restored.push(KeyedRecord {
                key: key.clone(),
                value: workers::with_sequence(&known.value, change.sequence)?,
                offset: changes.start_offset + change.offset_in_batch,
            });
        }
        let records = changes.records.iter().filter(|record| record.offset_in_batch >= first);
        restored.extend(records.map(|record| KeyedRecord {
            key: record.key.clone(),
            value: record.value.clone(),
            offset: changes.start_offset + record.offset_in_batch,
        }));
        restored.sort_unstable_by_key(|record| record.offset);
        Some(restored)
    }
}

/// Returns the sequence number of `record` if it differs from `known` in nothing else.
fn differ_in_sequence(known: &[u8], record: &[u8]) -> Option<u64> {
    let (digits, sequence) = workers::sequence(record)?;
    let (known_digits, _) = workers::sequence(known)?;
    let is_same = record[..digits.start] == known[..known_digits.start]
        && record[digits.end..] == known[known_digits.end..];
    is_same.then_some(sequence)
}

/// Returns the tag of a record; `None` if it has no sequence number.
fn tag(key: &str, value: &[u8]) -> Option<RecordTag> {
    let (digits, _) = workers::sequence(value)?;
    let mut hasher = Sha256::new();
    for part in [key.as_bytes(), &value[..digits.start], &value[digits.end..]] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut tag = RecordTag::default();
    tag.copy_from_slice(&hasher.finalize()[..size_of::<RecordTag>()]);
    Some(tag)
}

/// A batch as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptBatch<T> {
    /// Era of the store that the offsets belong to.
    pub era: u64,
    /// Offset at which the batch starts.
    pub start_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Size of the batch, in bytes.
    pub len: usize,
    /// The batch.
    pub batch: T,
}

/// Batches received lately: for others that missed them, and for this instance if an earlier one is late.
#[derive(Clone, Debug)]
pub struct KeptBatches<T> {
    // In order of their arrival, with its time in ms.
    kept: Vec<(u64, KeptBatch<T>)>,
}

impl<T> Default for KeptBatches<T> {
    fn default() -> Self {
        Self { kept: Vec::new() }
    }
}

impl<T> KeptBatches<T> {
    /// Keeps a batch, unless it is kept already, and drops old ones.
    pub fn push(&mut self, batch: KeptBatch<T>, now_ms: u64) {
        self.kept.retain(|(at_ms, _)| now_ms < at_ms + KEPT_MS);
        let is_same = |(_, kept): &(u64, KeptBatch<T>)| {
            (kept.era, kept.start_offset, kept.next_offset)
                == (batch.era, batch.start_offset, batch.next_offset)
        };
        if !self.kept.iter().any(is_same) {
            self.kept.push((now_ms, batch));
        }
        let mut len: usize = self.kept.iter().map(|(_, kept)| kept.len).sum();
        while len > KEPT_MAX_BYTES && self.kept.len() > 1 {
            len -= self.kept.remove(0).1.len;
        }
    }

    /// Returns the batch of `era` that holds the record at `offset`.
    pub fn at(&self, era: u64, offset: u64) -> Option<&KeptBatch<T>> {
        let batches = self.kept.iter().map(|(_, kept)| kept).filter(|kept| kept.era == era);
        batches
            .filter(|kept| (kept.start_offset..kept.next_offset).contains(&offset))
            .max_by_key(|kept| kept.next_offset)
    }

    /// Returns the batches that follow `offset` without a gap, up to a number of bytes.
    pub fn following(&self, era: u64, offset: u64) -> Vec<&KeptBatch<T>> {
        let mut found = Vec::new();
        let mut next_offset = offset;
        let mut len = 0;
        while let Some(kept) = self.at(era, next_offset) {
            len += kept.len;
            if len > REPAIR_MAX_BYTES && !found.is_empty() {
                break;
            }
            next_offset = kept.next_offset;
            found.push(kept);
        }
        found
    }
}
