//! A small HTTP/1.1 server and client for stand-ins: one thread for each connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval at which a listener checks whether it is closed.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

/// Start line, header fields and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field; `name` is in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path and query.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a decoded value of the query, as form data is decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode_form(value))
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn decode_form(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the start line and the header fields; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length or chunks, or none.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Some(message)
}

/// Reads the body of a message whose head has been read.
fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> Option<()> {
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(())
}

/// Reads one chunk; `Some(None)` is the last one, `None` the end of the connection or an error.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some((length > 0).then_some(chunk))
}

/// A listening port; a thread serves each connection.
pub struct Server {
    addr: SocketAddr,
    is_closed: Arc<AtomicBool>,
    acceptor: thread::JoinHandle<()>,
}

/// Answers a request; returns whether the connection is kept.
type Handle = dyn Fn(&mut TcpStream, &Message) -> bool + Send + Sync;
/// Returns whether the body of a request, of which only the head has been read, is read after the answer.
type ReadsLate = dyn Fn(&Message) -> bool + Send + Sync;

impl Server {
    /// Listens on a free loopback port and answers each request with `handle`.
    pub fn start(
        handle: impl Fn(&mut TcpStream, &Message) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(Arc::new(handle), Arc::new(|_: &Message| false))
    }

    /// The same, but reads the bodies of some requests only after their answers.
    pub fn start_with(handle: Arc<Handle>, reads_late: Arc<ReadsLate>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener that can be polled");
        let addr = listener.local_addr().expect("the address of the listener");
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = Arc::clone(&is_closed);
        let acceptor = thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (handle, reads_late) = (Arc::clone(&handle), Arc::clone(&reads_late));
                        thread::spawn(move || serve(stream, &*handle, &*reads_late));
                    }
                    Err(_) => thread::sleep(ACCEPT_POLL),
                }
            }
        });
        Self { addr, is_closed, acceptor }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the port: further connections are refused. Those that exist go on.
    pub fn close(self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.acceptor.join().expect("the acceptor has not panicked");
    }
}

fn serve(stream: TcpStream, handle: &Handle, reads_late: &ReadsLate) {
    let prepared = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
    let (Ok(()), Ok(reading)) = (prepared, stream.try_clone()) else { return };
    let mut writing = stream;
    let mut reader = BufReader::new(reading);
    while let Some(mut request) = read_head(&mut reader) {
        let is_late = reads_late(&request);
        if !is_late && read_body(&mut reader, &mut request).is_none() {
            return;
        }
        let is_kept = handle(&mut writing, &request);
        if !is_kept || (is_late && read_body(&mut reader, &mut request).is_none()) {
            return;
        }
    }
}

/// Returns whether the other side has closed or reset the connection. Unread bytes hide a regular close.
pub fn has_left(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let left = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    left || stream.set_nonblocking(false).is_err()
}

/// Writes a response with a length; returns whether that succeeded.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// A caller's connection, kept over several requests.
pub struct Connection {
    writing: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let writing = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        writing.set_nodelay(true)?;
        let reader = BufReader::new(writing.try_clone()?);
        Ok(Self { writing, reader })
    }

    /// Sets the longest time without bytes after which a read fails.
    pub fn set_patience(&self, patience: Duration) -> std::io::Result<()> {
        self.writing.set_read_timeout(Some(patience))
    }

    /// Returns the longest time without bytes.
    pub fn patience(&self) -> Option<Duration> {
        self.writing.read_timeout().ok().flatten()
    }

    pub fn send(&mut self, request: &str) -> std::io::Result<()> {
        self.writing.write_all(request.as_bytes())
    }

    pub fn read_head(&mut self) -> Option<Message> {
        read_head(&mut self.reader)
    }

    pub fn read_message(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Reads one chunk, see [`read_chunk`].
    pub fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        read_chunk(&mut self.reader)
    }
}
