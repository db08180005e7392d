//! Client of the platform's append-only log.
//!
//! A stream holds records of JSON text with increasing offsets. Reads are assumed to be linearizable:
//! a read that starts after an append has taken effect returns the appended record.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::infra::Error;
use crate::infra::fetch_body;
use crate::outbound;

/// Limit of the size of the records that a read requests, in bytes.
const READ_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout of a read, on top of the time that it may wait for records.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    addr: SocketAddr,
}

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: u64,
    /// JSON text of the record.
    pub data: String,
}

impl LogRecord {
    /// Decodes the record as `T`; `None` if it has another structure, in which case readers skip it.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(&self.data).ok()
    }
}

/// Consecutive records of a stream, as a read returns them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Page {
    /// Oldest offset that the service still retains.
    pub first_offset: u64,
    /// Offset that the next appended record will get.
    pub next_offset: u64,
    /// Records from the requested offset on, in order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl LogClient {
    /// Returns a client of the service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Appends `record` to `stream` and returns its offset.
    ///
    /// # Errors
    /// After [`Error::NoAnswer`] the record may or may not be in the log; the caller has to read the
    /// stream to find out.
    pub fn append(&self, stream: &str, record: &impl Serialize) -> Result<u64, Error> {
        self.append_within(stream, record, APPEND_TIMEOUT)
    }

    /// Appends `record` to `stream` and returns its offset; fails if the response takes longer than
    /// `timeout`.
    ///
    /// # Errors
    /// As for [`Self::append`].
    pub fn append_within(
        &self,
        stream: &str,
        record: &impl Serialize,
        timeout: Duration,
    ) -> Result<u64, Error> {
        let text = serde_json::to_string(record)?;
        let url = format!("http://{}/streams/{}", self.addr, outbound::escaped(stream));
        let response = fetch_body(outbound::post(url).text(text), timeout)?;
        Ok(serde_json::from_slice::<AppendResponse>(&response)?.offset)
    }

    /// Reads `stream` from `from_offset`, waiting up to `wait_ms` for a first record.
    ///
    /// # Errors
    /// Returns an error if the service does not send a valid response in time.
    pub fn read(&self, stream: &str, from_offset: u64, wait_ms: u64) -> Result<Page, Error> {
        let url = format!(
            "http://{}/streams/{}?from={from_offset}&wait_ms={wait_ms}&max_bytes={READ_MAX_BYTES}",
            self.addr,
            outbound::escaped(stream)
        );
        let timeout = READ_TIMEOUT + Duration::from_millis(wait_ms);
        let response = fetch_body(outbound::get(url), timeout)?;
        Ok(serde_json::from_slice(&response)?)
    }
}
