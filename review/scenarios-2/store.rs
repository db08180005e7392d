//! Stand-in for the platform's store: logs with conditional appends, and the newest record of each key.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Server;

/// Keys in a page of the newest records; the interface allows 500 at most.
const PAGE_KEYS: usize = 500;
/// Bytes of the values in such a page; the interface allows 1 MB at most.
const PAGE_BYTES: usize = 1 << 20;
const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

#[derive(Default)]
struct Topic {
    name: String,
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<Vec<Topic>>,
    changed: Condvar,
}

/// A running store.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        Self { server: Server::start(move |stream, call| handler.handle(stream, call)), shared }
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes a keyed record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        with_topic(&mut self.shared.topics.lock().unwrap(), topic).records.push(record);
        self.shared.changed.notify_all();
    }
}

fn with_topic<'a>(topics: &'a mut Vec<Topic>, name: &str) -> &'a mut Topic {
    let at = topics.iter().position(|topic| topic.name == name).unwrap_or_else(|| {
        topics.push(Topic { name: name.to_owned(), records: Vec::new() });
        topics.len() - 1
    });
    &mut topics[at]
}

impl Topic {
    /// Returns key, value and offset of the newest record of each key, in order of key.
    fn newest(&self) -> Vec<(String, Vec<u8>, usize)> {
        let mut rows: Vec<(String, Vec<u8>, usize)> = Vec::new();
        for (offset, record) in self.records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            rows.retain(|(known, ..)| *known != key);
            if !value.is_empty() {
                rows.push((key, value.to_vec(), offset));
            }
        }
        rows.sort();
        rows
    }
}

impl Shared {
    fn handle(&self, stream: &mut TcpStream, call: &Message) -> bool {
        let topic = call.query("Topic").unwrap_or_default();
        match call.path() {
            "/lovageridge/log-append" => self.append(stream, call, &topic),
            "/lovageridge/log-read" => self.read(stream, call, &topic),
            "/lovageridge/log-newest" => self.newest(stream, call, &topic),
            _ => http::respond(stream, "404 Not Found", "", b"{}"),
        }
    }

    fn append(&self, stream: &mut TcpStream, call: &Message, name: &str) -> bool {
        let mut topics = self.topics.lock().unwrap();
        let topic = with_topic(&mut topics, name);
        let offset = topic.records.len();
        if call.query("At").is_some_and(|at| at.parse() != Ok(offset)) {
            let body = format!("{{\"EndOffset\":{offset}}}");
            drop(topics);
            return http::respond(stream, "412 Precondition Failed", "", body.as_bytes());
        }
        let mut rest = call.body.as_slice();
        while rest.len() >= 4 {
            let (length, tail) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            topic.records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let body = format!("{{\"Offset\":{offset},\"EndOffset\":{}}}", topic.records.len());
        drop(topics);
        self.changed.notify_all();
        http::respond(stream, "200 OK", "", body.as_bytes())
    }

    fn read(&self, stream: &mut TcpStream, call: &Message, name: &str) -> bool {
        let number = |key: &str| call.query(key).and_then(|text| text.parse().ok()).unwrap_or(0);
        let from = number("From") as usize;
        let until = Instant::now() + Duration::from_millis(number("WaitMs"));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = with_topic(&mut topics, name).records.len();
            if from > end {
                drop(topics);
                return http::respond(stream, "410 Gone", "", b"{\"FirstOffset\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = &with_topic(&mut topics, name).records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in &records[from..] {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        drop(topics);
        http::respond(stream, "200 OK", "", &body)
    }

    fn newest(&self, stream: &mut TcpStream, call: &Message, name: &str) -> bool {
        let after = call.query("after");
        let (rows, end) = {
            let mut topics = self.topics.lock().unwrap();
            let topic = with_topic(&mut topics, name);
            (topic.newest(), topic.records.len())
        };
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, value, offset) in rows {
            if after.as_ref().is_some_and(|after| key <= *after) {
                continue;
            }
            bytes += value.len();
            if items.len() == PAGE_KEYS || (bytes > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            let value = base64(&value);
            items.push(format!("{{\"Key\":{key:?},\"Value\":\"{value}\",\"Offset\":{offset}}}"));
        }
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"EndOffset\":{end}}}");
        http::respond(stream, "200 OK", "", body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) as usize & 63;
            text.push(if place > part.len() { '=' } else { BASE64[index] as char });
        }
    }
    text
}
