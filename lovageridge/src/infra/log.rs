//! Client of the platform's append-only log.
//!
//! Streams hold records of JSON text under growing offsets. Reads are taken to be linearizable:
//! a read that starts after an append took effect returns it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::infra::Error;
use crate::infra::fetch_body;
use crate::outbound;

/// Most bytes of records that one read asks for.
const READ_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Time allowed for an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time allowed for a read beyond the time that it may wait for records.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// Connection data of the log service.
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
    /// Reads the record as `T`; `None` for a record of an unknown form, which readers pass over.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(&self.data).ok()
    }
}

/// Part of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Page {
    /// Oldest offset that the service still holds.
    pub first_offset: u64,
    /// Offset that the next record will get.
    pub next_offset: u64,
    /// Records from the offset asked for, in order.
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
    /// After [`Error::NoAnswer`] the record may stand in the log; the caller reads on to find out.
    pub fn append(&self, stream: &str, record: &impl Serialize) -> Result<u64, Error> {
        self.append_within(stream, record, APPEND_TIMEOUT)
    }

    /// Appends `record` to `stream` and returns its offset, if the answer comes within `timeout`.
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
        let url = format!("http://{}/streams/{stream}", self.addr);
        let answer = fetch_body(outbound::post(url).text(text), timeout)?;
        Ok(serde_json::from_slice::<AppendResponse>(&answer)?.offset)
    }

    /// Reads `stream` from `from_offset`, waiting up to `wait_ms` for a first record.
    ///
    /// # Errors
    /// Returns an error when the service gives no usable answer in time.
    pub fn read(&self, stream: &str, from_offset: u64, wait_ms: u64) -> Result<Page, Error> {
        let url = format!(
            "http://{}/streams/{stream}?from={from_offset}&wait_ms={wait_ms}&max_bytes={READ_MAX_BYTES}",
            self.addr
        );
        let timeout = READ_TIMEOUT + Duration::from_millis(wait_ms);
        let answer = fetch_body(outbound::get(url), timeout)?;
        Ok(serde_json::from_slice(&answer)?)
    }
}
