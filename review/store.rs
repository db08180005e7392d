//! Stand-in for the platform's store: logs with conditional appends, and the newest record of each key.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Largest number of keys in a response.
const PAGE_KEYS: usize = 500;
/// Header of all responses: the store is never restored from a copy here.
const ERA: &str = "Store-Era: 0\r\n";

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    // Value and offset of the newest record of each key.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    /// Address that it listens on.
    pub addr: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let addr = listener.local_addr().expect("the address of the store");
        let shared = Arc::new(Shared::default());
        let state = Arc::clone(&shared);
        http::serve(listener, move |stream, request| state.handle(stream, request));
        Self { shared, addr }
    }

    /// Writes a keyed record as the operator or a worker does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.shared.lock().entry(topic.to_owned()).or_default().append(record, true);
        self.shared.changed.notify_all();
    }

    /// Returns the number of keys that have a value.
    pub fn key_count(&self, topic: &str) -> usize {
        self.shared.lock().get(topic).map_or(0, |topic| topic.newest.len())
    }
}

impl Topic {
    fn append(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && !record.is_empty() {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            match &record[len + 1..] {
                [] => self.newest.remove(&key),
                value => self.newest.insert(key, (value.to_vec(), self.records.len() as u64)),
            };
        }
        self.records.push(record);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let path = request.target().split('?').next().unwrap_or("");
        let topic = request.query("Topic").unwrap_or("").to_owned();
        let (status, body) = match path {
            "/lovageridge/log-append" => self.append(&topic, request),
            "/lovageridge/log-read" => self.read(&topic, request),
            "/lovageridge/log-newest" => ("200 OK", self.newest(&topic, request.query("after"))),
            _ => ("404 Not Found", b"{}".to_vec()),
        };
        stream.write_all(&http::response(status, ERA, &body)).is_ok()
    }

    fn append(&self, name: &str, request: &Message) -> (&'static str, Vec<u8>) {
        let mut topics = self.lock();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        let at: Option<usize> = request.query("At").and_then(|at| at.parse().ok());
        if at.is_some_and(|at| at != offset) {
            return ("412 Precondition Failed", format!("{{\"EndOffset\":{offset}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((head, tail)) = rest.split_first_chunk::<4>() {
            let len = (u32::from_be_bytes(*head) as usize).min(tail.len());
            topic.append(tail[..len].to_vec(), name.starts_with("keyed."));
            rest = &tail[len..];
        }
        let end = topic.records.len();
        drop(topics);
        self.changed.notify_all();
        ("200 OK", format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}").into_bytes())
    }

    fn read(&self, name: &str, request: &Message) -> (&'static str, Vec<u8>) {
        let number =
            |key: &str| request.query(key).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let from = number("From") as usize;
        let until = Instant::now() + Duration::from_millis(number("WaitMs"));
        let mut topics = self.lock();
        loop {
            let end = topics.entry(name.to_owned()).or_default().records.len();
            if from > end {
                return ("410 Gone", b"{\"FirstOffset\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics =
                self.changed.wait_timeout(topics, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        let topic = topics.entry(name.to_owned()).or_default();
        let mut bytes = (topic.records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for record in &topic.records[from..] {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        ("200 OK", bytes)
    }

    /// Returns the newest records of the keys that follow `after`, in order of key, up to a page.
    fn newest(&self, name: &str, after: Option<&str>) -> Vec<u8> {
        let mut topics = self.lock();
        let topic = topics.entry(name.to_owned()).or_default();
        let rest = || {
            topic.newest.iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
        };
        let items = rest().take(PAGE_KEYS).map(|(key, (value, offset))| {
            format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let (has_more, end) = (rest().count() > PAGE_KEYS, topic.records.len());
        format!("{{\"items\":[{}],\"HasMore\":{has_more},\"EndOffset\":{end}}}", items.join(","))
            .into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= group.len() { digit } else { '=' });
        }
    }
    text
}
