//! Responses on the callers' port: complete, streamed, or a typed error.

use std::io;
use std::io::Write;

use serde::Serialize;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use crate::attempts::outcome::Code;
use crate::attempts::outcome::Failure;
use crate::attempts::outcome::Ran;

/// Body of an error response.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Details of the error.
    pub error: ErrorDetail<'a>,
}

/// Details of an error.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail<'a> {
    /// Code that clients can rely on.
    pub code: Code,
    /// Whether the request ran at an upstream.
    pub ran: Ran,
    /// Time after which a retry may succeed, in ms; `None` without such an estimate.
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    pub request_id: &'a str,
    /// Human-readable explanation.
    pub message: &'a str,
}

/// Returns the JSON body of an error response for `failure`.
pub fn error_json(failure: &Failure, request_id: &str) -> String {
    let error = ErrorDetail {
        code: failure.code,
        ran: failure.ran,
        retry_after_ms: failure.retry_after_ms,
        request_id,
        message: &failure.message,
    };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// Sends a complete response.
///
/// # Errors
/// Returns the connection error; the caller has disconnected.
pub fn complete(
    request: Request,
    status_code: u16,
    headers: &[(String, String)],
    body: Vec<u8>,
) -> io::Result<()> {
    let mut response = Response::from_data(body).with_status_code(status_code);
    for (name, value) in headers {
        if let Some(header) = header(name, value) {
            response.add_header(header);
        }
    }
    request.respond(response)
}

/// Sends an error response.
///
/// # Errors
/// Returns the connection error; the caller has disconnected.
pub fn error(request: Request, failure: &Failure, request_id: &str) -> io::Result<()> {
    let mut headers = vec![
        ("content-type".to_owned(), "application/json".to_owned()),
        ("x-request-id".to_owned(), request_id.to_owned()),
    ];
    if let Some(retry_ms) = failure.retry_after_ms {
        headers.push(("retry-after".to_owned(), retry_ms.div_ceil(1000).max(1).to_string()));
    }
    let body = error_json(failure, request_id).into_bytes();
    complete(request, failure.code.status(), &headers, body)
}

/// A stream of server-sent events in progress.
pub struct EventStream {
    // `tiny_http` returns its writer as a trait object.
    writer: Box<dyn Write + Send + 'static>,
}

impl EventStream {
    /// Sends the response headers.
    ///
    /// # Errors
    /// Returns the connection error; the caller has disconnected.
    pub fn open(request: Request, request_id: &str) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n\
             transfer-encoding: chunked\r\nx-request-id: {request_id}\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one event without buffering.
    ///
    /// # Errors
    /// Returns the connection error; the caller has disconnected.
    pub fn send_event(&mut self, data: &str) -> io::Result<()> {
        let text = format!("data: {data}\n\n");
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Ends the stream.
    ///
    /// # Errors
    /// Returns the connection error; the caller has disconnected.
    pub fn close(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
