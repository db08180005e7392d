//! The workers' own records in the platform's store.

use std::net::SocketAddr;

use hyper::header::HeaderValue;
use serde::Deserialize;

use crate::gateway::directory::LoadedModel;
use crate::gateway::directory::WorkerRecord;
use crate::platform::Error;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WorkerJson {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: String,
    // Time until a worker that is reclaimed at short notice is gone.
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Vec<LoadedModelJson>,
    #[serde(default)]
    at_hand: CachedCopiesJson,
    // Start of the worker, as Unix time.
    #[serde(default, rename = "born")]
    born_ms: u64,
}

/// A model in the memory of a worker, as records and reports show it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LoadedModelJson {
    name: String,
    #[serde(default)]
    adapters: Vec<AdapterJson>,
}

/// An adapter is named by a bare string or by an object.
#[derive(Deserialize)]
#[serde(untagged)]
enum AdapterJson {
    Bare(String),
    Named {
        #[serde(rename = "Name")]
        name: String,
    },
}

/// Copies of weights outside the accelerators' memory.
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

/// Returns the name of an adapter without its model and version (MODEL/NAME@VERSION).
pub(super) fn adapter_name(text: &str) -> String {
    let name = text.rsplit_once('/').map_or(text, |(_, name)| name);
    name.split('@').next().unwrap_or(name).to_owned()
}

/// Reads the record of the worker `id`.
///
/// # Errors
/// Returns which field is missing or has no usable value; such a record names no worker to use.
pub fn parse(id: &str, bytes: &[u8]) -> Result<WorkerRecord, Error> {
    // Requests and orders name the worker that they are for in a header.
    if HeaderValue::from_str(id).is_err() {
        return Err(Error::field("Id", "cannot be sent as a header"));
    }
    let text: WorkerJson = serde_json::from_slice(bytes)?;
    let addr: SocketAddr = text
        .address
        .parse()
        .map_err(|_| Error::field("Address", format!("{:?} is no IP and port", text.address)))?;
    let leaving = match text.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(Error::field("State", format!("{other:?} is unknown"))),
    };
    let mut models: Vec<LoadedModel> =
        text.models.into_iter().map(LoadedModelJson::into_loaded).collect();
    models.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    Ok(WorkerRecord {
        id: id.to_owned(),
        service: text.service,
        addr,
        domain: text.zone,
        slots: text.slots,
        leaving,
        remaining_ms: text.remaining_ms.map(|ms| ms as u64),
        start_unix_ms: text.born_ms,
        models,
        in_memory: text.at_hand.in_memory,
        on_disk: text.at_hand.on_disk,
    })
}
