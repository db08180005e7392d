//! Formats of the platform's store: a log with conditional appends and reads of the newest record of
//! each key.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use serde::Deserialize;

use crate::outbound;
use crate::platform::Error;

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Key of the configuration in the operator's topic.
pub const CONFIG_KEY: &str = "config";
/// Topic of the records that workers write about themselves.
pub const WORKERS_TOPIC: &str = "keyed.servers";
/// Topic in which instances announce their addresses to other instances.
pub const PEERS_TOPIC: &str = "keyed.peers";
/// Topic of the prompt parts whose requests crash workers.
pub const CRASHES_TOPIC: &str = "keyed.crashes";
/// Key of the record in that topic.
pub const CRASHES_KEY: &str = "parts";
/// Topic of the claims to leadership.
pub const LEAD_TOPIC: &str = "lead";

/// Header with the number of times that the store has been restored from a copy.
const ERA_HEADER: &str = "store-era";
/// Largest usable number of restores; fencing numbers are composed of it.
const ERA_MAX: u64 = (1 << 20) - 1;

/// Limit of the size of a read, in KiB.
const READ_MAX_KIB: u32 = 1024;

/// A record of a keyed topic; an empty value deletes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the key; empty when the key is deleted.
    pub value: Vec<u8>,
    /// Offset of the record in the topic's partition.
    pub offset: u64,
}

/// One page of the newest records of a keyed topic, in order of key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NewestPage {
    /// Newest record of each key.
    pub records: Vec<KeyedRecord>,
    /// Whether there are further keys.
    pub has_more: bool,
    /// Offset after the last record of the partition.
    pub end_offset: u64,
}

/// Consecutive records read from a partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tail {
    /// Offset after the last record of the partition.
    pub end_offset: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewestPageJson {
    #[serde(rename = "items")]
    items: Vec<ItemJson>,
    #[serde(default)]
    has_more: bool,
    end_offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ItemJson {
    key: String,
    #[serde(default)]
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct AppendedJson {
    offset: u64,
    end_offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FirstOffsetJson {
    first_offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EndOffsetJson {
    end_offset: u64,
}

/// Returns how many times the store had been restored from a copy when it sent a response with these
/// headers; `None` if they do not tell or the number is unusable.
pub fn era(headers: &HeaderMap) -> Option<u64> {
    let era = headers.get(ERA_HEADER)?.to_str().ok()?.trim().parse().ok()?;
    (era <= ERA_MAX).then_some(era)
}

/// Returns the path of a read of the newest record of each key that follows `after`. Keys are of any writer, so
/// they may hold characters that end a query or are not allowed in one.
pub fn newest_path(topic: &str, after: Option<&str>) -> String {
    let after = after.map(|key| format!("&after={}", outbound::escaped(key)));
    let after = after.unwrap_or_default();
    format!("/lovageridge/log-newest?Topic={topic}&part=0{after}")
}

/// Returns the path of a read from `from_offset` that waits up to `wait_ms` for a record.
pub fn read_path(topic: &str, from_offset: u64, wait_ms: u64) -> String {
    format!(
        "/lovageridge/log-read?Topic={topic}&part=0&From={from_offset}\
         &MaxKb={READ_MAX_KIB}&WaitMs={wait_ms}"
    )
}

/// Returns the path of an append; with `at_offset` it succeeds only if the partition ends there.
pub fn append_path(topic: &str, at_offset: Option<u64>) -> String {
    let at = at_offset.map(|offset| format!("&At={offset}")).unwrap_or_default();
    format!("/lovageridge/log-append?Topic={topic}&part=0{at}")
}

/// Frames one record for an append: its length as four bytes, big-endian, then the record.
pub fn frame(record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(record.len() + 4);
    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Frames one record of a keyed topic for an append: the record is the length of the key as one byte,
/// the key and the value.
pub fn frame_keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(key.len() + value.len() + 1);
    record.push(key.len() as u8);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    frame(&record)
}

/// Parses a page of newest records.
///
/// # Errors
/// Returns an error if the JSON is malformed or a value is not base64.
pub fn parse_newest(bytes: &[u8]) -> Result<NewestPage, Error> {
    let json: NewestPageJson = serde_json::from_slice(bytes)?;
    let records = json.items.into_iter().map(|item| {
        let value = STANDARD
            .decode(&item.value)
            .map_err(|error| Error::field("Value", format!("is not base64: {error}")))?;
        Ok(KeyedRecord { key: item.key, value, offset: item.offset })
    });
    Ok(NewestPage {
        records: records.collect::<Result<_, Error>>()?,
        has_more: json.has_more,
        end_offset: json.end_offset,
    })
}

/// Parses the response to a read from `from_offset`: the end offset and the first retained offset as
/// eight bytes each, big-endian, then framed records.
///
/// # Errors
/// Returns an error if the response ends within an offset or a record.
pub fn parse_tail(bytes: &[u8], from_offset: u64) -> Result<Tail, Error> {
    let truncated = || Error::field("records", "the response is truncated");
    let read_u64 = |at: usize| -> Result<u64, Error> {
        let slice = bytes.get(at..at + 8).ok_or_else(truncated)?;
        Ok(slice.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    };
    let end_offset = read_u64(0)?;
    let first_offset = read_u64(8)?;
    let mut records = Vec::new();
    let mut at = 16;
    let mut offset = from_offset.max(first_offset);
    while at < bytes.len() {
        let length = bytes.get(at..at + 4).ok_or_else(truncated)?;
        let len = length.iter().fold(0, |value, byte| value << 8 | usize::from(*byte));
        let record = bytes.get(at + 4..at + 4 + len).ok_or_else(truncated)?;
        records.push((offset, record.to_vec()));
        offset += 1;
        at += 4 + len;
    }
    Ok(Tail { end_offset, records })
}

impl Tail {
    /// Returns whether these are all records of the topic from `from_offset` on.
    pub fn is_complete(&self, from_offset: u64) -> bool {
        let next_offset = self.records.last().map_or(from_offset, |(at, _)| at + 1);
        !self.has_gap(from_offset) && next_offset == self.end_offset
    }

    /// Returns whether records from `from_offset` on are missing that the store no longer retains.
    pub fn has_gap(&self, from_offset: u64) -> bool {
        self.records.first().is_some_and(|(at, _)| *at != from_offset)
    }
}

/// Splits a record of a keyed topic into key and value.
///
/// # Errors
/// Returns an error if the record ends before the end of its key.
pub fn parse_keyed(offset: u64, record: &[u8]) -> Result<KeyedRecord, Error> {
    let truncated = || Error::field("Key", "the record is truncated before the end of its key");
    let len = usize::from(*record.first().ok_or_else(truncated)?);
    let key = record.get(1..1 + len).ok_or_else(truncated)?;
    Ok(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: record[1 + len..].to_vec(),
        offset,
    })
}

/// Parses the response to an append; returns the offset of the first appended record and the offset
/// after the last one.
///
/// # Errors
/// Returns an error if the JSON is malformed.
pub fn parse_appended(bytes: &[u8]) -> Result<(u64, u64), Error> {
    let json: AppendedJson = serde_json::from_slice(bytes)?;
    Ok((json.offset, json.end_offset))
}

/// Returns the end offset of the partition from the response to a refused conditional append.
///
/// # Errors
/// Returns an error if the JSON is malformed.
pub fn parse_end_offset(bytes: &[u8]) -> Result<u64, Error> {
    let json: EndOffsetJson = serde_json::from_slice(bytes)?;
    Ok(json.end_offset)
}

/// Returns the first retained offset from the response to a read of expired records.
///
/// # Errors
/// Returns an error if the JSON is malformed.
pub fn parse_first_offset(bytes: &[u8]) -> Result<u64, Error> {
    let json: FirstOffsetJson = serde_json::from_slice(bytes)?;
    Ok(json.first_offset)
}
