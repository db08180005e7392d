//! Client of plain services.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use attohttpc::header::HeaderName;
use attohttpc::header::HeaderValue;

use crate::outbound;
use crate::upstream::engine::CONNECT_TIMEOUT;
use crate::upstream::engine::is_connect_failure;

#[cfg(test)]
mod tests;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// A request to forward to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query string.
    pub path_and_query: &'a str,
    /// Headers to forward.
    pub headers: &'a [(String, String)],
    /// Complete request body.
    pub body: &'a [u8],
}

/// The complete response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainResponse {
    /// HTTP status code.
    pub status_code: u16,
    /// Headers of the response, except for values that are not visible ASCII.
    pub headers: Vec<(String, String)>,
    /// Complete response body.
    pub body: Vec<u8>,
}

/// Failure of a request to a plain service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service cannot have received any part of the request.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No response was received; the service may have run the request.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The service has run the request, but its response was truncated or too large.
    #[error("response truncated or too large: {0}")]
    Truncated(String),
}

/// Checks whether a connection to `addr` can be made, without sending anything.
///
/// # Errors
/// Returns [`Error::NotSent`] when the connection fails.
pub fn probe(addr: SocketAddr) -> Result<(), Error> {
    match TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
        Ok(_) => Ok(()),
        Err(error) => Err(Error::NotSent(error.to_string())),
    }
}

/// Sends `request` to the service at `addr` once, without retries.
///
/// # Errors
/// See [`Error`].
pub fn call(
    addr: SocketAddr,
    request: PlainRequest<'_>,
    traceparent: &str,
    timeout: Duration,
) -> Result<PlainResponse, Error> {
    let method = attohttpc::Method::from_bytes(request.method.as_bytes())
        .map_err(|e| Error::NotSent(e.to_string()))?;
    let path = request.path_and_query.split('?').next().unwrap_or_default();
    if method == attohttpc::Method::CONNECT || !outbound::keeps_path(path) {
        return Err(Error::NotSent("it cannot be sent with this method and path".to_owned()));
    }
    let url = format!("http://{addr}{}", request.path_and_query);
    let mut builder = outbound::request(method, url);
    for (name, value) in request.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            builder = builder.header(name, value);
        }
    }
    let response = builder
        .header("traceparent", traceparent)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout)
        .bytes(request.body)
        .send()
        .map_err(classify_error)?;
    read_response(response)
}

fn classify_error(error: attohttpc::Error) -> Error {
    if is_connect_failure(&error) {
        Error::NotSent(error.to_string())
    } else {
        Error::NoResponse(error.to_string())
    }
}

/// Reads the complete response and checks its length against the `content-length` header.
fn read_response(response: attohttpc::Response) -> Result<PlainResponse, Error> {
    let (status, headers, reader) = response.split();
    if !outbound::is_valid_status(status.as_u16()) {
        return Err(Error::NoResponse(format!("invalid status {}", status.as_u16())));
    }
    let expected_len: Option<u64> =
        headers.get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    reader
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|e| Error::Truncated(e.to_string()))?;
    let len = body.len() as u64;
    if len > MAX_RESPONSE_BYTES || expected_len.is_some_and(|expected| expected != len) {
        return Err(Error::Truncated(format!("{len} bytes of {expected_len:?}")));
    }
    let headers = headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Ok(PlainResponse { status_code: status.as_u16(), headers, body })
}
