//! A caller that writes and reads plain bytes, so that it can break off, wait or misbehave.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Id of the request.
    pub id: String,
    /// Time for which the caller waits, in ms.
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: String,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Returns a GET request.
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

    /// Returns a POST request.
    pub fn post(path: &str, id: &str) -> Self {
        Self { method: "POST", body: b"the body".to_vec(), ..Self::get(path, id) }
    }

    /// Adds the model that it needs.
    pub fn for_model(mut self, model: &str) -> Self {
        self.headers.push_str(&format!("X-Lovageridge-Model: {model}\r\n"));
        self
    }

    /// Returns the bytes of the request.
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

    /// Sends it on a new connection and reads the answer to its end.
    ///
    /// # Errors
    /// Returns why there is no connection, or no head of an answer.
    pub fn send(&self, to: SocketAddr) -> Result<CallerResponse, anyhow::Error> {
        let mut caller = Caller::connect(to)?;
        caller.write(&self.to_bytes())?;
        caller.read_response()
    }
}

/// An answer as far as it came.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status_code: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl CallerResponse {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects.
    ///
    /// # Errors
    /// Returns why there is no connection.
    pub fn connect(to: SocketAddr) -> Result<Self, anyhow::Error> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Changes the longest wait for bytes.
    ///
    /// # Errors
    /// Returns that the connection has ended.
    pub fn set_read_timeout(&self, timeout: Duration) -> Result<(), anyhow::Error> {
        Ok(self.stream.set_read_timeout(Some(timeout))?)
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// Returns that the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), anyhow::Error> {
        Ok(self.stream.write_all(bytes)?)
    }

    /// Reads until `text` has arrived.
    ///
    /// # Errors
    /// Returns that the connection has ended before.
    pub fn read_until(&mut self, text: &str) -> Result<(), anyhow::Error> {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            anyhow::ensure!(self.read_more()?, "the connection ended before {text:?}");
        }
        Ok(())
    }

    /// Reads one answer.
    ///
    /// # Errors
    /// Returns that the connection ended before the head was whole.
    pub fn read_response(&mut self) -> Result<CallerResponse, anyhow::Error> {
        let (len, status_code, headers) = loop {
            let mut slots = [httparse::EMPTY_HEADER; 64];
            let mut response = httparse::Response::new(&mut slots);
            if let httparse::Status::Complete(len) = response.parse(&self.buffer)? {
                let row = |header: &httparse::Header<'_>| {
                    let value = String::from_utf8_lossy(header.value).into_owned();
                    (header.name.to_ascii_lowercase(), value)
                };
                let headers: Vec<(String, String)> = response.headers.iter().map(row).collect();
                break (len, response.code.unwrap_or(0), headers);
            }
            anyhow::ensure!(self.read_more()?, "the connection ended without an answer");
        };
        self.buffer.drain(..len);
        let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone());
        let (body, whole) = match find("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => self.read_sized_body(length),
            None if find("transfer-encoding").is_some() => self.read_chunked_body(),
            None => (Vec::new(), true),
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallerResponse { status_code, headers, body, complete: whole })
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
