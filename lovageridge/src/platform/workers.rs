//! Parser of the records that workers write about themselves to the platform's store.

use std::net::SocketAddr;
use std::ops::Range;

use hyper::header::HeaderValue;
use serde::Deserialize;

use crate::gateway::directory::LoadedModel;
use crate::gateway::directory::WorkerRecord;
use crate::platform::Error;
use crate::platform::config;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WorkerJson {
    service: String,
    address: String,
    zone: String,
    #[serde(deserialize_with = "config::whole")]
    slots: u32,
    state: String,
    // Time left, in ms, until a worker that is being reclaimed at short notice is stopped.
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Vec<LoadedModelJson>,
    #[serde(default)]
    at_hand: CachedCopiesJson,
    // Start time of the worker, as Unix time in ms.
    #[serde(default, rename = "born")]
    born_ms: u64,
    #[serde(default)]
    seq: u64,
}

/// A model in the accelerator memory of a worker, as listed in records and reports.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LoadedModelJson {
    name: String,
    #[serde(default)]
    adapters: Vec<AdapterJson>,
}

/// An adapter, which is given as a string or as an object with a name.
#[derive(Deserialize)]
#[serde(untagged)]
enum AdapterJson {
    Bare(String),
    Named {
        #[serde(rename = "Name")]
        name: String,
    },
}

/// Models of which a worker has a cached copy outside accelerator memory.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
pub(super) struct CachedCopiesJson {
    pub(super) in_memory: Vec<String>,
    pub(super) on_disk: Vec<String>,
}

impl LoadedModelJson {
    pub(super) fn into_loaded(self) -> LoadedModel {
        let adapters = self.adapters.into_iter().map(|adapter| match adapter {
            AdapterJson::Bare(name) | AdapterJson::Named { name } => adapter_name(&name),
        });
        let mut adapters: Vec<String> = adapters.collect();
        adapters.sort_unstable();
        LoadedModel { model: self.name, adapters }
    }
}

/// Returns the NAME of an adapter that is given as MODEL/NAME@VERSION; model and version may be
/// missing.
pub(super) fn adapter_name(full_name: &str) -> String {
    let name = full_name.rsplit_once('/').map_or(full_name, |(_, name)| name);
    name.split('@').next().unwrap_or(name).to_owned()
}

/// Parses the record of the worker `id`.
///
/// # Errors
/// Returns an error if the JSON is malformed, or the id, the address or the state is unusable.
pub fn parse(id: &str, bytes: &[u8]) -> Result<WorkerRecord, Error> {
    // Requests and orders carry the id of their worker in a header.
    if HeaderValue::from_str(id).is_err() {
        return Err(Error::field("Id", "cannot be sent as a header"));
    }
    let json: WorkerJson = serde_json::from_slice(bytes)?;
    let addr: SocketAddr = json.address.parse().map_err(|_| {
        Error::field("Address", format!("{:?} is not an IP address and port", json.address))
    })?;
    let leaving = match json.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(Error::field("State", format!("{other:?} is unknown"))),
    };
    let mut models: Vec<LoadedModel> =
        json.models.into_iter().map(LoadedModelJson::into_loaded).collect();
    models.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    Ok(WorkerRecord {
        id: id.to_owned(),
        service: json.service,
        addr,
        domain: json.zone,
        slots: json.slots,
        leaving,
        remaining_ms: json.remaining_ms.map(|ms| ms as u64),
        start_unix_ms: json.born_ms,
        sequence: json.seq,
        models,
        in_memory: json.at_hand.in_memory,
        on_disk: json.at_hand.on_disk,
    })
}

/// Returns where the sequence number of a record is, and the number; `None` if there is none, or if it is not
/// written in the shortest form.
pub fn sequence(record: &[u8]) -> Option<(Range<usize>, u64)> {
    let start = member_start(record, b"Seq")?;
    let len = record[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let digits = std::str::from_utf8(&record[start..start + len]).ok()?;
    let ends_here =
        matches!(record.get(start + len), Some(b',' | b'}' | b' ' | b'\n' | b'\r' | b'\t'));
    let sequence: u64 = digits.parse().ok()?;
    (ends_here && sequence.to_string() == digits).then_some((start..start + len, sequence))
}

/// Returns a record with another sequence number; `None` if it has none.
pub fn with_sequence(record: &[u8], sequence: u64) -> Option<Vec<u8>> {
    let (digits, _) = self::sequence(record)?;
    let number = sequence.to_string();
    Some([&record[..digits.start], number.as_bytes(), &record[digits.end..]].concat())
}

/// Returns where the value of the first member `name` of a JSON object starts, outside of nested values.
fn member_start(json: &[u8], name: &[u8]) -> Option<usize> {
    let skip_spaces =
        |at: usize| at + json[at..].iter().take_while(|b| b.is_ascii_whitespace()).count();
    let mut depth = 0;
    let mut at = 0;
    while at < json.len() {
        match json[at] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let end = string_end(json, at)?;
                let after = skip_spaces(end);
                if depth == 1 && json[at + 1..end - 1] == *name && json.get(after) == Some(&b':') {
                    return Some(skip_spaces(after + 1));
                }
                at = end;
                continue;
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// Returns the position after the JSON string that starts at `start`.
fn string_end(json: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match json.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}
