//! Stand-in for the platform's store: logs with conditional appends, and the newest record of each
//! key of a keyed topic.

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::platform::wire::Listener;
use crate::platform::wire::Request;

/// Time for which an unresponsive store keeps the connection of a call open.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(20);

/// Number of parts in which a response is sent at a limited rate.
const PACED_PARTS: usize = 50;

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Responds correctly.
    Normal,
    /// Responds to every call with 503.
    Unavailable,
    /// Does not respond.
    Unresponsive,
    /// Executes appends without sending a response.
    LoseWriteResponses,
}

#[derive(Clone, Default)]
struct Topic {
    first_offset: u64,
    records: VecDeque<Vec<u8>>,
    // Key, value and offset of the newest record of each key, sorted by key; deleted keys have no entry.
    newest: Vec<(String, Vec<u8>, u64)>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, record: Vec<u8>, keyed: bool) {
        if keyed {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            let value = record[len + 1..].to_vec();
            self.newest.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                let at = self.newest.partition_point(|(known, _, _)| *known < key);
                self.newest.insert(at, (key, value, self.end_offset()));
            }
        }
        self.records.push_back(record);
    }
}

/// Content of a store at some time.
pub struct StoreCopy {
    topics: Vec<(String, Topic)>,
}

struct State {
    topics: Vec<(String, Topic)>,
    // Number of restores from a copy; sent in each response.
    era: u64,
    behavior: Behavior,
    calls: u64,
    read_bytes: u64,
    bytes_per_s: Option<u64>,
    // Most keys in a response; `None` if there is no limit.
    page_keys: Option<usize>,
    // Number of the next reads of announcements that are refused.
    refused_announcements: u32,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running stand-in for the store.
pub struct StoreStandIn {
    listener: Listener,
    shared: Arc<Shared>,
}

impl StoreStandIn {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Fails when it cannot listen on a free port.
    pub fn start() -> Result<Self, anyhow::Error> {
        let state = State {
            topics: Vec::new(),
            era: 0,
            behavior: Behavior::Normal,
            calls: 0,
            read_bytes: 0,
            bytes_per_s: None,
            page_keys: None,
            refused_announcements: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let handler_state = Arc::clone(&shared);
        let listener =
            Listener::start(move |stream, request| handler_state.handle_call(stream, request))?;
        Ok(Self { listener, shared })
    }

    /// Returns the address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Changes how the store responds; reads that wait for records return at once unless the new
    /// behavior still serves reads.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.lock().behavior = behavior;
        self.shared.changed.notify_all();
    }

    /// Limits the number of keys in a response with the newest records.
    pub fn set_page_keys(&self, page_keys: usize) {
        self.shared.lock().page_keys = Some(page_keys);
    }

    /// Refuses the next reads of the announcements of instances.
    pub fn refuse_announcements(&self, reads: u32) {
        self.shared.lock().refused_announcements = reads;
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the number of bytes sent in response to reads so far.
    pub fn read_bytes(&self) -> u64 {
        self.shared.lock().read_bytes
    }

    /// Limits the rate at which each response to a read is sent, as a slow link does.
    pub fn set_read_rate(&self, bytes_per_s: u64) {
        self.shared.lock().bytes_per_s = Some(bytes_per_s);
    }

    /// Writes a keyed record; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.shared.lock().topic(topic).append(keyed_record(key, value), true);
        self.shared.changed.notify_all();
    }

    /// Returns a copy of all topics.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { topics: self.shared.lock().topics.clone() }
    }

    /// Replaces all topics by those of a copy; what was written since is lost.
    pub fn restore(&self, copy: &StoreCopy) {
        self.restore_and_put(copy, &[]);
    }

    /// The same, and writes keyed records (topic, key and value) before any further call is served.
    pub fn restore_and_put(&self, copy: &StoreCopy, records: &[(&str, &str, Vec<u8>)]) {
        let mut state = self.shared.lock();
        state.topics.clone_from(&copy.topics);
        state.era += 1;
        for (topic, key, value) in records {
            state.topic(topic).append(keyed_record(key, value), true);
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Drops all records of a topic, but not the newest one of each key.
    pub fn truncate_history(&self, topic: &str) {
        let mut state = self.shared.lock();
        let topic = state.topic(topic);
        topic.first_offset = topic.end_offset();
        topic.records.clear();
    }

    /// Returns the offset after the last record, which is the number of records ever written.
    pub fn end_offset(&self, topic: &str) -> u64 {
        self.shared.lock().topic(topic).end_offset()
    }

    /// Stops the store and closes its port.
    pub fn close(self) {
        self.set_behavior(Behavior::Unavailable);
        self.listener.close();
    }
}

impl State {
    fn topic(&mut self, name: &str) -> &mut Topic {
        let at = match self.topics.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.topics.insert(at, (name.to_owned(), Topic::default()));
                at
            }
        };
        &mut self.topics[at].1
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Responds to one call; returns false when the connection is to be closed.
    fn handle_call(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let behavior = {
            let mut state = self.lock();
            state.calls += 1;
            state.behavior
        };
        match behavior {
            Behavior::Unavailable => return self.write_json(stream, 503, &json!({})),
            Behavior::Unresponsive => return hold_connection(),
            Behavior::Normal | Behavior::LoseWriteResponses => {}
        }
        let name = request.query_param("Topic").unwrap_or_default();
        match request.path_without_query() {
            "/lovageridge/log-append" => {
                let at: Option<u64> = request.query_param("At").and_then(|at| at.parse().ok());
                let (status_code, text) = self.append(name, at, &request.body);
                if behavior == Behavior::LoseWriteResponses {
                    return hold_connection();
                }
                self.write_json(stream, status_code, &text)
            }
            "/lovageridge/log-read" => self.read(stream, request, name),
            "/lovageridge/log-newest" if self.refuses_announcement_read(name) => {
                self.write_json(stream, 503, &json!({}))
            }
            "/lovageridge/log-newest" => {
                let page = self.newest(name, request.query_param("after"));
                self.send_read(stream, page.to_string().as_bytes())
            }
            _ => self.write_json(stream, 404, &json!({})),
        }
    }

    fn append(&self, name: &str, at: Option<u64>, body: &[u8]) -> (u16, serde_json::Value) {
        let mut state = self.lock();
        let topic = state.topic(name);
        if at.is_some_and(|at| at != topic.end_offset()) {
            return (412, json!({"EndOffset": topic.end_offset()}));
        }
        let offset = topic.end_offset();
        let mut rest = body;
        while rest.len() >= 4 {
            let (head, tail) = rest.split_at(4);
            let len = head.iter().fold(0, |value, byte| value << 8 | usize::from(*byte));
            topic.append(tail[..len.min(tail.len())].to_vec(), name.starts_with("keyed."));
            rest = &tail[len.min(tail.len())..];
        }
        let end = topic.end_offset();
        self.changed.notify_all();
        (200, json!({"Offset": offset, "EndOffset": end}))
    }

    fn read(&self, stream: &mut TcpStream, request: &Request, name: &str) -> bool {
        let number = |key: &str| request.query_param(key).and_then(|text| text.parse().ok());
        let from: u64 = number("From").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let serves_reads =
                matches!(state.behavior, Behavior::Normal | Behavior::LoseWriteResponses);
            let topic = state.topic(name);
            if from < topic.first_offset || from > topic.end_offset() {
                let first = topic.first_offset;
                drop(state);
                return self.write_json(stream, 410, &json!({"FirstOffset": first}));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if topic.end_offset() > from || remaining.is_zero() || !serves_reads {
                break;
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let topic = state.topic(name);
        let mut bytes = topic.end_offset().to_be_bytes().to_vec();
        bytes.extend_from_slice(&topic.first_offset.to_be_bytes());
        let skipped = (from - topic.first_offset) as usize;
        for record in topic.records.iter().skip(skipped) {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        drop(state);
        self.send_read(stream, &bytes)
    }

    /// Sends the response to a read, at the limited rate if there is one.
    fn send_read(&self, stream: &mut TcpStream, body: &[u8]) -> bool {
        let bytes_per_s = {
            let mut state = self.lock();
            state.read_bytes += body.len() as u64;
            state.bytes_per_s
        };
        let Some(bytes_per_s) = bytes_per_s else { return self.write(stream, "200 OK", body) };
        let part_bytes = (body.len() / PACED_PARTS).max(1);
        let pause = Duration::from_secs_f64(part_bytes as f64 / bytes_per_s as f64);
        let head = self.head("200 OK", body.len());
        stream.write_all(head.as_bytes()).is_ok()
            && body.chunks(part_bytes).all(|part| {
                thread::sleep(pause);
                stream.write_all(part).is_ok()
            })
    }

    fn write_json(
        &self,
        stream: &mut TcpStream,
        status_code: u16,
        value: &serde_json::Value,
    ) -> bool {
        self.write(stream, &format!("{status_code} Status"), value.to_string().as_bytes())
    }

    fn write(&self, stream: &mut TcpStream, status: &str, body: &[u8]) -> bool {
        let mut bytes = self.head(status, body.len()).into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes).is_ok()
    }

    fn head(&self, status: &str, body_bytes: usize) -> String {
        let era = self.lock().era;
        format!("HTTP/1.1 {status}\r\nContent-Length: {body_bytes}\r\nStore-Era: {era}\r\n\r\n")
    }

    fn refuses_announcement_read(&self, name: &str) -> bool {
        let mut state = self.lock();
        let refuses =
            name == lovageridge::platform::store::PEERS_TOPIC && state.refused_announcements > 0;
        state.refused_announcements -= u32::from(refuses);
        refuses
    }

    fn newest(&self, name: &str, after: Option<&str>) -> serde_json::Value {
        let mut state = self.lock();
        let page_keys = state.page_keys.unwrap_or(usize::MAX);
        let topic = state.topic(name);
        let row = |(key, value, offset): &(String, Vec<u8>, u64)| json!({"Key": key, "Value": STANDARD.encode(value), "Offset": offset});
        let is_next = |key: &str| after.is_none_or(|after| key > after);
        let mut remaining = topic.newest.iter().filter(|(key, ..)| is_next(key));
        let items: Vec<serde_json::Value> = remaining.by_ref().take(page_keys).map(row).collect();
        let has_more = remaining.next().is_some();
        json!({"items": items, "HasMore": has_more, "EndOffset": topic.end_offset()})
    }
}

fn keyed_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

/// Keeps the connection of a call open without a response.
fn hold_connection() -> bool {
    thread::sleep(UNRESPONSIVE_TIME);
    false
}
