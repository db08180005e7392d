//! The platform's store: a log with conditional appends and the newest record of each key.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tiny_http::Request;
use tiny_http::Response;

use crate::http;
use crate::http::HttpServer;

/// Time for which a silent store keeps a call.
const SILENCE: Duration = Duration::from_secs(20);

/// How the store answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// With 503 to every call.
    Refusing,
    /// Not at all.
    Silent,
    /// Writes are done, but their answers are lost.
    LosingWrites,
}

#[derive(Default)]
struct Topic {
    first_offset: u64,
    records: VecDeque<Vec<u8>>,
    // Newest records by key with their offsets; a dropped key is gone.
    newest: Vec<(String, Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, record: Vec<u8>, keyed: bool) {
        if keyed {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            let value = record[len + 1..].to_vec();
            self.newest.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                self.newest.push((key, value, self.end()));
            }
        }
        self.records.push_back(record);
    }
}

struct State {
    topics: Vec<(String, Topic)>,
    manner: Manner,
    calls: u64,
}

struct Shared {
    state: Mutex<State>,
    grown: Condvar,
}

/// A running store.
pub struct StoreStandIn {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl StoreStandIn {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Returns why no port can be had.
    pub fn start() -> Result<Self, anyhow::Error> {
        let state = State { topics: Vec::new(), manner: Manner::Sound, calls: 0 };
        let shared = Arc::new(Shared { state: Mutex::new(state), grown: Condvar::new() });
        let for_calls = Arc::clone(&shared);
        let server = HttpServer::start(move |request| for_calls.answer(request))?;
        Ok(Self { server, shared })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes how the store answers.
    pub fn set_manner(&self, manner: Manner) {
        self.shared.lock().manner = manner;
        self.shared.grown.notify_all();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Writes a keyed record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.shared.lock().topic(topic).append(record, true);
        self.shared.grown.notify_all();
    }

    /// Forgets all records of a topic but the newest of each key.
    pub fn forget_history(&self, topic: &str) {
        let mut state = self.shared.lock();
        let topic = state.topic(topic);
        topic.first_offset = topic.end();
        topic.records.clear();
    }

    /// Returns the number of records ever written to a topic.
    pub fn end(&self, topic: &str) -> u64 {
        self.shared.lock().topic(topic).end()
    }

    /// Stops the store.
    pub fn close(self) {
        self.set_manner(Manner::Refusing);
        self.server.close();
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

    fn answer(&self, mut request: Request) {
        let manner = {
            let mut state = self.lock();
            state.calls += 1;
            state.manner
        };
        match manner {
            Manner::Refusing => return http::json(request, 503, &json!({})),
            Manner::Silent => return http::hold(request, SILENCE),
            Manner::Sound | Manner::LosingWrites => {}
        }
        let name = http::query(&request, "Topic").unwrap_or_default().to_owned();
        match http::path(&request) {
            "/lovageridge/log-append" => {
                let at: Option<u64> = http::query(&request, "At").and_then(|at| at.parse().ok());
                let mut body = Vec::new();
                // A body that breaks off appends nothing, as its length then does not fit.
                let _ = request.as_reader().read_to_end(&mut body);
                let (status_code, text) = self.append(&name, at, &body);
                if manner == Manner::LosingWrites {
                    return http::hold(request, SILENCE);
                }
                http::json(request, status_code, &text);
            }
            "/lovageridge/log-read" => self.read(request, &name),
            "/lovageridge/log-newest" => {
                let text = self.newest(&name);
                http::json(request, 200, &text);
            }
            _ => http::json(request, 404, &json!({})),
        }
    }

    fn append(&self, name: &str, at: Option<u64>, body: &[u8]) -> (u16, serde_json::Value) {
        let mut state = self.lock();
        let topic = state.topic(name);
        if at.is_some_and(|at| at != topic.end()) {
            return (412, json!({"EndOffset": topic.end()}));
        }
        let offset = topic.end();
        let mut rest = body;
        while rest.len() >= 4 {
            let (head, tail) = rest.split_at(4);
            let len = head.iter().fold(0, |value, byte| value << 8 | usize::from(*byte));
            topic.append(tail[..len.min(tail.len())].to_vec(), name.starts_with("keyed."));
            rest = &tail[len.min(tail.len())..];
        }
        let end = topic.end();
        self.grown.notify_all();
        (200, json!({"Offset": offset, "EndOffset": end}))
    }

    fn read(&self, request: Request, name: &str) {
        let number = |key: &str| http::query(&request, key).and_then(|text| text.parse().ok());
        let from: u64 = number("From").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let sound = matches!(state.manner, Manner::Sound | Manner::LosingWrites);
            let topic = state.topic(name);
            if from < topic.first_offset {
                let first = topic.first_offset;
                drop(state);
                return http::json(request, 410, &json!({"FirstOffset": first}));
            }
            let left = until.saturating_duration_since(Instant::now());
            if topic.end() > from || left.is_zero() || !sound {
                break;
            }
            let waited = self.grown.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let topic = state.topic(name);
        let mut bytes = topic.end().to_be_bytes().to_vec();
        bytes.extend_from_slice(&topic.first_offset.to_be_bytes());
        let skipped = (from - topic.first_offset) as usize;
        for record in topic.records.iter().skip(skipped) {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        drop(state);
        // A caller that has left needs no answer.
        let _ = request.respond(Response::from_data(bytes));
    }

    fn newest(&self, name: &str) -> serde_json::Value {
        let mut state = self.lock();
        let topic = state.topic(name);
        let row = |(key, value, offset): &(String, Vec<u8>, u64)| json!({"Key": key, "Value": STANDARD.encode(value), "Offset": offset});
        let items: Vec<serde_json::Value> = topic.newest.iter().map(row).collect();
        json!({"items": items, "HasMore": false, "EndOffset": topic.end()})
    }
}
