//! Clients of the platform's services: the append-only log and the list of instances.

pub mod list;
pub mod log;

use std::time::Duration;

/// Failure of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service could not be reached or did not respond in time; a write may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(#[from] attohttpc::Error),
    /// The service responded with an error status.
    #[error("status {status_code}")]
    Status {
        /// HTTP status code of the response.
        status_code: u16,
    },
    /// The response was not JSON of the expected structure.
    #[error("malformed answer: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Timeout for connecting to a service of the platform.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends `request` and returns the body of a 2xx response.
pub(crate) fn fetch_body<B: attohttpc::body::Body>(
    request: attohttpc::RequestBuilder<B>,
    timeout: Duration,
) -> Result<Vec<u8>, Error> {
    let response = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout + CONNECT_TIMEOUT)
        .send()?;
    if !response.is_success() {
        return Err(Error::Status { status_code: response.status().as_u16() });
    }
    Ok(response.bytes()?)
}
