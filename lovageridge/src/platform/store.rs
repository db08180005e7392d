//! Calls to the platform's store: a log with conditional appends and newest records by key.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::platform::Error;

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Key of the configuration in the operator's topic.
pub const CONFIG_KEY: &str = "config";
/// Topic of the workers' own records.
pub const WORKERS_TOPIC: &str = "keyed.servers";
/// Topic in which instances announce their addresses to each other.
pub const PEERS_TOPIC: &str = "keyed.peers";
/// Topic of the claims of leadership.
pub const LEAD_TOPIC: &str = "lead";

/// Largest part of a topic that one read returns, in KiB.
const READ_MAX_KIB: u32 = 1024;

/// A record of a keyed topic; without a value its key is dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value, empty when the key is dropped.
    pub value: Vec<u8>,
    /// Offset of the record.
    pub offset: u64,
}

/// One page of the newest records by key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewestPage {
    /// Records, one a key.
    pub records: Vec<KeyedRecord>,
    /// Whether there are further keys.
    pub has_more: bool,
    /// Offset after the last record of the partition.
    pub end_offset: u64,
}

/// Records read from a partition.
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

/// Path of a read of the newest record of each key after `after`.
pub fn newest_path(topic: &str, after: Option<&str>) -> String {
    let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
    format!("/lovageridge/log-newest?Topic={topic}&part=0{after}")
}

/// Path of a read from `from_offset` that waits up to `wait_ms` for a record.
pub fn read_path(topic: &str, from_offset: u64, wait_ms: u64) -> String {
    format!(
        "/lovageridge/log-read?Topic={topic}&part=0&From={from_offset}\
         &MaxKb={READ_MAX_KIB}&WaitMs={wait_ms}"
    )
}

/// Path of an append, on condition that the partition ends at `at_offset`.
pub fn append_path(topic: &str, at_offset: Option<u64>) -> String {
    let at = at_offset.map(|offset| format!("&At={offset}")).unwrap_or_default();
    format!("/lovageridge/log-append?Topic={topic}&part=0{at}")
}

/// Frames one record for an append.
pub fn frame(record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(record.len() + 4);
    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Frames one record of a keyed topic for an append.
pub fn frame_keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(key.len() + value.len() + 1);
    record.push(key.len() as u8);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    frame(&record)
}

/// Reads a page of newest records.
///
/// # Errors
/// Returns what part of the text is malformed.
pub fn parse_newest(bytes: &[u8]) -> Result<NewestPage, Error> {
    let text: NewestPageJson = serde_json::from_slice(bytes)?;
    let records = text.items.into_iter().map(|item| {
        let value = STANDARD
            .decode(&item.value)
            .map_err(|error| Error::field("Value", format!("is not base64: {error}")))?;
        Ok(KeyedRecord { key: item.key, value, offset: item.offset })
    });
    Ok(NewestPage {
        records: records.collect::<Result<_, Error>>()?,
        has_more: text.has_more,
        end_offset: text.end_offset,
    })
}

/// Reads the answer to a read from `from_offset`.
///
/// # Errors
/// Returns where the framing is broken.
pub fn parse_tail(bytes: &[u8], from_offset: u64) -> Result<Tail, Error> {
    let short = || Error::field("records", "the answer ends early");
    let number = |at: usize| -> Result<u64, Error> {
        let slice = bytes.get(at..at + 8).ok_or_else(short)?;
        Ok(slice.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    };
    let end_offset = number(0)?;
    let first_offset = number(8)?;
    let mut records = Vec::new();
    let mut at = 16;
    let mut offset = from_offset.max(first_offset);
    while at < bytes.len() {
        let head = bytes.get(at..at + 4).ok_or_else(short)?;
        let len = head.iter().fold(0, |value, byte| value << 8 | usize::from(*byte));
        let record = bytes.get(at + 4..at + 4 + len).ok_or_else(short)?;
        records.push((offset, record.to_vec()));
        offset += 1;
        at += 4 + len;
    }
    Ok(Tail { end_offset, records })
}

/// Splits a record of a keyed topic.
///
/// # Errors
/// Returns that the record is shorter than its key.
pub fn parse_keyed(offset: u64, record: &[u8]) -> Result<KeyedRecord, Error> {
    let short = || Error::field("Key", "the record ends within its key");
    let len = usize::from(*record.first().ok_or_else(short)?);
    let key = record.get(1..1 + len).ok_or_else(short)?;
    Ok(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: record[1 + len..].to_vec(),
        offset,
    })
}

/// Returns the offsets of the first appended record and after the last one.
///
/// # Errors
/// Returns what part of the text is malformed.
pub fn parse_appended(bytes: &[u8]) -> Result<(u64, u64), Error> {
    let text: AppendedJson = serde_json::from_slice(bytes)?;
    Ok((text.offset, text.end_offset))
}

/// Returns the end offset that a refused conditional append tells.
///
/// # Errors
/// Returns what part of the text is malformed.
pub fn parse_end_offset(bytes: &[u8]) -> Result<u64, Error> {
    let text: EndOffsetJson = serde_json::from_slice(bytes)?;
    Ok(text.end_offset)
}

/// Returns the first offset that is retained, as a read of expired records tells.
///
/// # Errors
/// Returns what part of the text is malformed.
pub fn parse_first_offset(bytes: &[u8]) -> Result<u64, Error> {
    let text: FirstOffsetJson = serde_json::from_slice(bytes)?;
    Ok(text.first_offset)
}
