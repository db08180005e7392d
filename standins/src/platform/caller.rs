//! An HTTP caller that writes and reads raw bytes, so that it can disconnect, pause or send malformed
//! requests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Default timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Request id.
    pub id: String,
    /// Deadline that is sent with the request, in ms.
    pub deadline_ms: u64,
    /// Additional headers, each with its line end.
    pub headers: String,
    /// Body, sent with its content length.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Returns a GET request without a body.
    pub fn get(path: &str, id: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms: 10_000,
            headers: String::new(),
            body: Vec::new(),
        }
    }

    /// Returns a POST request with a short body.
    pub fn post(path: &str, id: &str) -> Self {
        Self { method: "POST", body: b"the body".to_vec(), ..Self::get(path, id) }
    }

    /// Adds the header that names the model.
    pub fn for_model(mut self, model: &str) -> Self {
        self.headers.push_str(&format!("X-Lovageridge-Model: {model}\r\n"));
        self
    }

    /// Adds the header with the parts of the prompt.
    pub fn with_prompt(mut self, parts: &[&str]) -> Self {
        let pairs: Vec<String> = parts.iter().map(|id| format!("{id}:100")).collect();
        self.headers.push_str(&format!("X-Lovageridge-Prompt-Prefix: {}\r\n", pairs.join(",")));
        self
    }

    /// Returns the complete request as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: {}\r\n\
             X-Lovageridge-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.headers,
            self.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the response.
    ///
    /// # Errors
    /// Fails when the connection cannot be made or ends before the response headers are complete.
    pub fn send(&self, to: SocketAddr) -> Result<CallerResponse, anyhow::Error> {
        let mut caller = Caller::connect(to)?;
        caller.write(&self.to_bytes())?;
        caller.read_response()
    }
}

/// A response, or the part of it that was received.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status_code: u16,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body, without the chunk framing.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl CallerResponse {
    /// Returns the value of the first header with this lowercase name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects with the default read timeout.
    ///
    /// # Errors
    /// Fails when the connection cannot be made.
    pub fn connect(to: SocketAddr) -> Result<Self, anyhow::Error> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Changes the timeout of a read.
    ///
    /// # Errors
    /// Fails when the socket does not accept the timeout.
    pub fn set_read_timeout(&self, timeout: Duration) -> Result<(), anyhow::Error> {
        Ok(self.stream.set_read_timeout(Some(timeout))?)
    }

    /// Writes raw bytes.
    ///
    /// # Errors
    /// Fails when the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), anyhow::Error> {
        Ok(self.stream.write_all(bytes)?)
    }

    /// Reads until `text` has been received; the bytes stay in the buffer.
    ///
    /// # Errors
    /// Fails when the connection ends or the read times out before.
    pub fn read_until(&mut self, text: &str) -> Result<(), anyhow::Error> {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            anyhow::ensure!(self.read_more()?, "the connection ended before {text:?}");
        }
        Ok(())
    }

    /// Reads one response; a body that is truncated is not an error.
    ///
    /// # Errors
    /// Fails when the connection ends or the read times out before the headers are complete.
    pub fn read_response(&mut self) -> Result<CallerResponse, anyhow::Error> {
        let (len, status_code, headers) = loop {
            let mut slots = [httparse::EMPTY_HEADER; 64];
            let mut response = httparse::Response::new(&mut slots);
            if let httparse::Status::Complete(len) = response.parse(&self.buffer)? {
                let pair = |header: &httparse::Header<'_>| {
                    let value = String::from_utf8_lossy(header.value).into_owned();
                    (header.name.to_ascii_lowercase(), value)
                };
                let headers: Vec<(String, String)> = response.headers.iter().map(pair).collect();
                break (len, response.code.unwrap_or(0), headers);
            }
            anyhow::ensure!(
                self.read_more()?,
                "the connection ended before the response headers were complete"
            );
        };
        self.buffer.drain(..len);
        let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone());
        let (body, complete) = match find("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => self.read_sized_body(length),
            None if find("transfer-encoding").is_some() => self.read_chunked_body(),
            None => (Vec::new(), true),
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallerResponse { status_code, headers, body, complete })
    }

    fn read_sized_body(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.read_more().unwrap_or(false) {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    fn read_chunked_body(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let size = httparse::parse_chunk_size(&self.buffer);
            if let Ok(httparse::Status::Complete((head, size))) = size {
                let size = size as usize;
                if self.buffer.len() >= head + size + 2 {
                    body.extend_from_slice(&self.buffer[head..head + size]);
                    self.buffer.drain(..head + size + 2);
                    if size == 0 {
                        return (body, true);
                    }
                    continue;
                }
            }
            if size.is_err() || !self.read_more().unwrap_or(false) {
                return (body, false);
            }
        }
    }

    fn read_more(&mut self) -> Result<bool, anyhow::Error> {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}
