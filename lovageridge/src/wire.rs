//! Messages between instances, and their encoding by `postcard`.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::record::Snapshot;
use crate::document::Target;

/// Version of the protocol; datagrams of another version are dropped and counted.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest datagram, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 60_000;
/// Largest message over TCP, in bytes.
pub const FRAME_MAX_BYTES: usize = 32 * 1024 * 1024;

/// A datagram from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// Protocol version of the sender.
    pub version: u8,
    /// Name of the sending instance.
    pub from: String,
    /// Content of the datagram.
    pub message: Message,
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Sent periodically to show that the sender is alive.
    Heartbeat(Heartbeat),
    /// State of a worker, from the lead of its cell.
    Worker(WorkerView),
    /// Callers wait for a model or adapter.
    ColdStartRequest(ColdStartRequest),
    /// Reply of a lead to a cold-start request.
    ColdStartReply(ColdStartReply),
    /// Models and adapters that the sender has used.
    UsageReport(UsageReport),
    /// Tokens that the sender has admitted for each partner.
    Admitted(AdmittedReport),
}

/// Heartbeat of an instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Start time of the sender; distinguishes it from an earlier process of the same name.
    pub incarnation: u64,
    /// Failure domain of the sender.
    pub domain: String,
    /// Address of the sender's port for messages from other instances.
    pub peers_addr: SocketAddr,
    /// Address of the sender's port for callers.
    pub callers_addr: SocketAddr,
    /// Version of the sender's current configuration.
    pub config_version: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Cells that the sender leads.
    pub leads: Vec<LedCell>,
    /// Use of the weight store by the sender's cells.
    pub store: StoreUsage,
}

/// A cell that an instance leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedCell {
    /// Name of the cell.
    pub cell: String,
    /// Epoch of the lead.
    pub epoch: u64,
}

/// Loads of one instance that use or wait for the weight store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreUsage {
    /// Model loads in flight.
    pub loads_in_flight: u32,
    /// Model loads that wait for a slot.
    pub loads_waiting: u32,
    /// Adapter loads in flight.
    pub adapters_in_flight: u32,
}

/// State of a worker as reported by its lead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// Name of the worker.
    pub worker: String,
    /// Cell of the worker.
    pub cell: String,
    /// Service of the worker.
    pub service: String,
    /// Failure domain of the worker.
    pub domain: String,
    /// Address of the worker's HTTP port.
    pub addr: SocketAddr,
    /// Epoch of the lead that reports.
    pub epoch: u64,
    /// Number of the report within the epoch; a higher one replaces a lower one.
    pub sequence: u64,
    /// Whether the worker takes no new work because it will be reclaimed.
    pub leaving: bool,
    /// Sequences that the worker batches at once.
    pub slots: u32,
    /// Sequences in progress or queued.
    pub load: u32,
    /// Slots reserved for interactive requests, based on their recent peak.
    pub reserved: u32,
    /// Models that can serve requests, in order of name.
    pub resident: Vec<ResidentModel>,
}

/// A model that can serve requests on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidentModel {
    /// Name of the model.
    pub model: String,
    /// Adapters that can serve requests, in order of name.
    pub adapters: Vec<String>,
}

/// Request of an instance whose callers wait for a model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdStartRequest {
    /// Cell whose lead receives the request.
    pub cell: String,
    /// Model or adapter that the callers wait for.
    pub target: Target,
    /// Number of waiting callers.
    pub waiting: u32,
    /// Time until the earliest deadline, in ms.
    pub deadline_in_ms: u64,
    /// Whether the sender knows of no replica.
    pub cold: bool,
}

/// Reply of a lead to a cold-start request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdStartReply {
    /// Cell of the lead that replies.
    pub cell: String,
    /// Model or adapter of the request.
    pub target: Target,
    /// Progress of its load.
    pub progress: Progress,
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// A replica can serve requests.
    Resident,
    /// A load is in flight or queued.
    Expected {
        /// Expected time until the replica can serve requests, in ms.
        eta_ms: u64,
    },
    /// No worker of the cell has memory for the load.
    NoCapacity,
    /// The instance does not lead the cell, or may not send orders yet.
    NotLead,
}

/// Use of models and adapters by one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Cell whose lead receives the report.
    pub cell: String,
    /// Targets with requests in progress now or at some time since the last report.
    pub usage: Vec<TargetUsage>,
}

/// Use of one model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUsage {
    /// Model or adapter that was used.
    pub target: Target,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Highest number of interactive requests in progress at once since the last report.
    pub interactive_peak: u32,
}

/// Tokens that an instance has admitted since its start, for each partner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedReport {
    /// Start time of the sender.
    pub incarnation: u64,
    /// Totals since the start, so that a lost report needs no retransmission.
    pub totals: Vec<AdmittedTotal>,
}

/// Token totals of one partner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedTotal {
    /// Name of the partner.
    pub partner: String,
    /// Tokens admitted since the sender's start.
    pub tokens: u64,
    /// Tokens requested since the sender's start, including those of refused requests.
    pub requested_tokens: u64,
    /// Smoothed rate of requested tokens per second.
    pub requested_per_s: u64,
    /// Share of the partner's rate that the sender uses, in millionths.
    pub share_ppm: u64,
}

/// A request to another instance over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Requests the configuration document if it is newer than a known version.
    Document {
        /// Version that the sender has.
        known_version: u64,
    },
}

/// A response to a `PeerRequest`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerResponse {
    /// The newest document that the responder has.
    Document(Snapshot),
    /// The responder has no newer document.
    UpToDate,
}

/// Encodes a datagram.
pub fn encode(from: &str, message: Message) -> Vec<u8> {
    let datagram = Datagram { version: PROTOCOL_VERSION, from: from.to_owned(), message };
    postcard::to_stdvec(&datagram).unwrap_or_default()
}

/// Decodes a datagram; returns `None` for other protocol versions and malformed bytes.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    if bytes.first() != Some(&PROTOCOL_VERSION) {
        return None;
    }
    postcard::from_bytes(bytes).ok()
}

/// Writes `value` as a frame: its encoded length in 4 little-endian bytes, then its encoding.
///
/// # Errors
/// Returns the error of the writer, or `InvalidData` for a value that is too large.
pub fn write_frame(out: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    out.write_all(&(bytes.len() as u32).to_le_bytes())?;
    out.write_all(&bytes)?;
    out.flush()
}

/// Reads a frame that `write_frame` has written.
///
/// # Errors
/// Returns the error of the reader, or `InvalidData` for a frame that is too large or malformed.
pub fn read_frame<T: DeserializeOwned>(input: &mut impl Read) -> io::Result<T> {
    let mut len = [0; 4];
    input.read_exact(&mut len)?;
    let len = u32::from_le_bytes(len) as usize;
    if len > FRAME_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    input.take(len as u64).read_to_end(&mut bytes)?;
    postcard::from_bytes(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
