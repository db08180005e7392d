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
/// Largest datagram in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 60_000;
/// Largest message over TCP in bytes.
pub const FRAME_MAX_BYTES: usize = 32 * 1024 * 1024;

/// A datagram from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// Protocol version of the sender.
    pub version: u8,
    /// Name of the sender.
    pub from: String,
    /// What it says.
    pub message: Message,
}

/// What a datagram says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender lives.
    Heartbeat(Heartbeat),
    /// What a worker holds, from the lead of its cell.
    Worker(WorkerView),
    /// Callers wait for a target.
    ColdStartRequest(ColdStartRequest),
    /// What a lead does about a target.
    ColdStartReply(ColdStartReply),
    /// Targets that the sender has used.
    UsageReport(UsageReport),
    /// Tokens that the sender has admitted.
    Admitted(AdmittedReport),
}

/// Heartbeat of an instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Start time of the sender, to tell it from an earlier process of the same name.
    pub incarnation: u64,
    /// Failure domain of the sender.
    pub domain: String,
    /// Address of the sender's peers port.
    pub peers_addr: SocketAddr,
    /// Address of the sender's callers' port.
    pub callers_addr: SocketAddr,
    /// Version of the configuration in force at the sender.
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

/// Use of the weight store by one instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreUsage {
    /// Model loads in flight.
    pub loads_in_flight: u32,
    /// Model loads that wait for a slot.
    pub loads_waiting: u32,
    /// Adapter loads in flight.
    pub adapters_in_flight: u32,
}

/// A worker as its lead sees it.
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
    /// Grows with each report of the lead.
    pub sequence: u64,
    /// Whether the worker takes no new work.
    pub leaving: bool,
    /// Sequences batched at once.
    pub slots: u32,
    /// Sequences in progress or queued.
    pub load: u32,
    /// Slots kept free for interactive requests, by their recent number.
    pub reserved: u32,
    /// Models that take work, in order of name.
    pub resident: Vec<ResidentModel>,
}

/// A model that takes work on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidentModel {
    /// Name of the model.
    pub model: String,
    /// Adapters that take work, in order of name.
    pub adapters: Vec<String>,
}

/// Callers of one instance wait for a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdStartRequest {
    /// Cell whose lead is asked.
    pub cell: String,
    /// What they wait for.
    pub target: Target,
    /// How many wait.
    pub waiting: u32,
    /// Time until the earliest deadline, in ms.
    pub deadline_in_ms: u64,
    /// Whether the asker sees no replica at all.
    pub cold: bool,
}

/// What a lead does about a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdStartReply {
    /// Cell whose lead answers.
    pub cell: String,
    /// What was asked for.
    pub target: Target,
    /// State of the target.
    pub progress: Progress,
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// A replica takes work.
    Resident,
    /// A load is in flight or queued and should end in this time.
    Expected {
        /// Time until the replica takes work, in ms.
        eta_ms: u64,
    },
    /// No worker of the cell has room.
    NoCapacity,
    /// The instance does not lead the cell, or may not order now.
    NotLead,
}

/// Targets that an instance has used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Cell whose lead is told.
    pub cell: String,
    /// Targets with requests in progress or since the last report.
    pub usage: Vec<TargetUsage>,
}

/// Use of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUsage {
    /// What was used.
    pub target: Target,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Most interactive requests in progress at once since the last report.
    pub interactive_peak: u32,
}

/// Tokens that an instance has admitted since its start, by partner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedReport {
    /// Start time of the sender.
    pub incarnation: u64,
    /// Totals since the start; a lost report is made up for by the next.
    pub totals: Vec<AdmittedTotal>,
}

/// Tokens of one partner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedTotal {
    /// Name of the partner.
    pub partner: String,
    /// Tokens admitted since the sender's start.
    pub tokens: u64,
    /// Tokens asked for since the sender's start, refused ones included.
    pub requested_tokens: u64,
    /// Tokens asked for per second, smoothed.
    pub requested_per_s: u64,
    /// Part of the rate that the sender uses, in millionths.
    pub share_ppm: u64,
}

/// A question over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Asks for the document if it is newer than this version.
    Document {
        /// Version that the asker has.
        known_version: u64,
    },
}

/// An answer over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerResponse {
    /// The newest document.
    Document(Snapshot),
    /// The asker has the newest document.
    UpToDate,
}

/// Encodes a datagram.
pub fn encode(from: &str, message: Message) -> Vec<u8> {
    let datagram = Datagram { version: PROTOCOL_VERSION, from: from.to_owned(), message };
    postcard::to_stdvec(&datagram).unwrap_or_default()
}

/// Decodes a datagram; `None` for other versions and malformed bytes.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    if bytes.first() != Some(&PROTOCOL_VERSION) {
        return None;
    }
    postcard::from_bytes(bytes).ok()
}

/// Writes `value` as a frame: its length in 4 bytes, then its bytes.
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

/// Reads a frame.
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
