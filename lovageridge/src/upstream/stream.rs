//! Client of a model engine's `/generate` endpoint, which streams tokens.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::outbound;
use crate::upstream::engine::CONNECT_TIMEOUT;
use crate::upstream::engine::is_connect_failure;

#[cfg(test)]
mod tests;

/// Maximum length of a line in a stream, and of the lines between two events, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Header that carries the reason of a refusal.
pub const REASON_HEADER: &str = "x-refused";
/// Reason of an engine that does not have the target in memory.
pub const REASON_NOT_RESIDENT: &str = "not_resident";
/// Reason of an engine that is shutting down.
pub const REASON_LEAVING: &str = "leaving";

/// Body of a generation request to an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GenerateRequest {
    /// Id of the request, by which the engine can cancel it.
    pub request_id: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Prompt text or chat messages, as the caller sent them.
    pub input: Value,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of tokens that the caller already has; the generation continues after them.
    #[serde(default)]
    pub resume_tokens: u64,
    /// Text of those tokens.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume_text: String,
}

/// One event of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenEvent {
    /// Index of the token in the complete response, from 0.
    pub index: u64,
    /// Text of the token.
    pub text: String,
    /// Reason why the generation ended; only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Failure of a generation to start or to continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made; the engine has not received the request.
    #[error("not sent: {0}")]
    NotSent(attohttpc::Error),
    /// The response was interrupted, stalled or unusable; the engine may have run the request.
    #[error("interrupted: {0}")]
    Interrupted(String),
    /// The engine does not have the target in memory.
    #[error("the target is not resident")]
    NotResident,
    /// The engine is shutting down.
    #[error("the engine is shutting down")]
    Leaving,
    /// The engine is at capacity.
    #[error("the engine is at capacity")]
    Busy,
    /// The engine rejects the request as invalid.
    #[error("rejected with status {status_code}")]
    Rejected {
        /// HTTP status code.
        status_code: u16,
        /// Body of the response.
        reason: String,
    },
}

/// A stream of tokens; dropping it closes the connection, which cancels the generation.
pub struct TokenStream {
    reader: BufReader<attohttpc::ResponseReader>,
}

/// Starts a generation at the engine at `addr`.
///
/// `read_timeout` limits the time between bytes, `total_timeout` the duration of the entire stream.
///
/// # Errors
/// See [`Error`]; the engine has not run the request unless the error is [`Error::Interrupted`].
pub fn generate(
    addr: SocketAddr,
    request: &GenerateRequest,
    traceparent: &str,
    read_timeout: Duration,
    total_timeout: Duration,
) -> Result<TokenStream, Error> {
    let started = Instant::now();
    let text = serde_json::to_string(request).map_err(|e| Error::Interrupted(e.to_string()))?;
    let response = outbound::post(format!("http://{addr}/generate"))
        .header("traceparent", traceparent)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(read_timeout)
        .timeout(total_timeout)
        .text(text)
        .send()
        .map_err(|e| {
            // Until `read_timeout` has passed, only the shorter connect timeout can expire.
            let is_connect_timeout = is_timeout(&e) && started.elapsed() < read_timeout;
            if is_connect_timeout || is_connect_failure(&e) {
                Error::NotSent(e)
            } else {
                Error::Interrupted(e.to_string())
            }
        })?;
    let status_code = response.status().as_u16();
    let reason = response.headers().get(REASON_HEADER).and_then(|v| v.to_str().ok());
    match (status_code, reason) {
        (200, _) => {
            let (_, _, reader) = response.split();
            Ok(TokenStream { reader: BufReader::new(reader) })
        }
        _ if !outbound::is_valid_status(status_code) => {
            Err(Error::Interrupted(format!("invalid status {status_code}")))
        }
        (_, Some(REASON_NOT_RESIDENT)) => Err(Error::NotResident),
        (_, Some(REASON_LEAVING)) => Err(Error::Leaving),
        (429 | 503, _) => Err(Error::Busy),
        (400..500, _) => {
            let reason = response.text_utf8().unwrap_or_default();
            Err(Error::Rejected { status_code, reason })
        }
        _ => Err(Error::Interrupted(format!("status {status_code}"))),
    }
}

fn is_timeout(error: &attohttpc::Error) -> bool {
    matches!(error.kind(), attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::TimedOut)
}

impl TokenStream {
    /// Returns the next event; the stream ends with the event that has a `finish_reason`.
    ///
    /// # Errors
    /// Returns [`Error::Interrupted`] when the stream ends or stalls before its last event, or holds no event
    /// in too many bytes.
    pub fn next_event(&mut self) -> Result<TokenEvent, Error> {
        let mut skipped_bytes = 0;
        while skipped_bytes <= MAX_LINE_BYTES {
            let line = self.read_line().map_err(|e| Error::Interrupted(e.to_string()))?;
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                return serde_json::from_str(data).map_err(|e| Error::Interrupted(e.to_string()));
            }
            skipped_bytes += line.len() as u64;
        }
        Err(Error::Interrupted("too many bytes without an event".to_owned()))
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        let mut limited = io::Read::take(&mut self.reader, MAX_LINE_BYTES);
        if limited.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line)
    }
}
