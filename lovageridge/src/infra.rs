//! Clients of what the platform gives: the append-only log and the instance list.

pub mod list;
pub mod log;

use std::time::Duration;

/// A call to the platform that gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service could not be reached or did not answer in time; a write may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(#[from] attohttpc::Error),
    /// The service refused the call.
    #[error("status {status_code}")]
    Status {
        /// HTTP status.
        status_code: u16,
    },
    /// The answer was not in the expected form.
    #[error("malformed answer: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Time allowed for connecting to the platform.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends `request` and returns the body of a 2xx answer.
pub(crate) fn fetch_body<B: attohttpc::body::Body>(
    request: attohttpc::RequestBuilder<B>,
    timeout: Duration,
) -> Result<Vec<u8>, Error> {
    let answer = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout + CONNECT_TIMEOUT)
        .send()?;
    if !answer.is_success() {
        return Err(Error::Status { status_code: answer.status().as_u16() });
    }
    Ok(answer.bytes()?)
}
