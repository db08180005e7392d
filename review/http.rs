//! A minimal HTTP/1.1 server and client on blocking sockets, for the stand-ins of the review.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its end.
    pub start: String,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this lowercase name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the value of a query parameter of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads one head; `None` if the connection ends or fails before.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        read_more(stream, buffer)?;
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Some(Message { start, headers: headers.collect(), body: Vec::new() })
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16384];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(count) => {
                buffer.extend_from_slice(&bytes[..count]);
                return Some(());
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// Reads one request with a length or without a body.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut request = read_head(stream, buffer)?;
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

/// Serves each connection in a thread; `handler` returns false when the connection is to be closed.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&mut TcpStream, &Message) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    if !handler(&mut stream, &request) {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns the bytes of a response with a length; `headers` are complete lines.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How an exchange of a client ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if there was no response.
    pub status: u16,
    /// Head of the response.
    pub head: Message,
    /// Body as far as it arrived, without the framing.
    pub body: Vec<u8>,
    /// Whether the end of the body arrived as its framing promises.
    pub complete: bool,
}

/// Sends a request on a new connection and reads the response.
pub fn send(to: SocketAddr, request: &[u8], time: Duration) -> Answer {
    let none = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return none;
    };
    let until = Instant::now() + time;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(time));
    if stream.write_all(request).is_err() {
        return none;
    }
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer) else { return none };
    let status = head.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, ..none };
    if let Some(length) = head.header("content-length").and_then(|text| text.parse::<usize>().ok())
    {
        while buffer.len() < length
            && Instant::now() < until
            && read_more(&mut stream, &mut buffer).is_some()
        {}
        answer.complete = buffer.len() >= length;
        buffer.truncate(length);
        answer.body = buffer;
    } else if head.header("transfer-encoding").is_some() {
        answer.complete = read_chunks(&mut stream, &mut buffer, &mut answer.body, until);
    }
    answer.head = head;
    answer
}

fn read_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
    until: Instant,
) -> bool {
    loop {
        if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
            let size = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
            if buffer.len() >= at + 2 + size + 2 {
                body.extend_from_slice(&buffer[at + 2..at + 2 + size]);
                buffer.drain(..at + 2 + size + 2);
                if size == 0 {
                    return true;
                }
                continue;
            }
        }
        if Instant::now() >= until || read_more(stream, buffer).is_none() {
            return false;
        }
    }
}

/// How the stream of a client ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamEnd {
    /// Status; 0 if there was no response.
    pub status: u16,
    /// Bytes of the body, with its framing.
    pub body_bytes: u64,
    /// Whether the body arrived to the last chunk.
    pub complete: bool,
}

/// Sends a request for a stream and reads the response, of which it keeps nothing, until it ends or no event with
/// an id has arrived for `patience`.
pub fn send_stream(to: SocketAddr, request: &[u8], patience: Duration) -> StreamEnd {
    let mut end = StreamEnd::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return end;
    };
    let _ = stream.set_read_timeout(Some(patience));
    let mut last_event = Instant::now();
    if stream.write_all(request).is_err() {
        return end;
    }
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer) else { return end };
    end.status = head.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    while !end.complete && last_event.elapsed() < patience {
        if buffer.windows(3).any(|three| three == b"id:") {
            last_event = Instant::now();
        }
        end.complete = buffer.ends_with(b"0\r\n\r\n");
        end.body_bytes += buffer.len() as u64;
        buffer.clear();
        if !end.complete && read_more(&mut stream, &mut buffer).is_none() {
            break;
        }
    }
    end
}
