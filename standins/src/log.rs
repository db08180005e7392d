//! Stand-in for the platform's append-only log.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lovageridge::context::lock;
use lovageridge::infra::log::LogRecord;
use lovageridge::infra::log::Page;
use lovageridge::sorted::Table;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::http;
use crate::http::HttpServer;

/// Time for which an outage holds a connection without an answer.
const OUTAGE_HOLD: Duration = Duration::from_millis(8000);

/// Faults of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LogFaults {
    /// Answers are refused with status 503.
    pub refuse: bool,
    /// Connections stay silent.
    pub silent: bool,
    /// Added to each call, in ms.
    pub delay_ms: u64,
    /// Appends from now on that take effect, but are not answered.
    pub lose_answers: u64,
    /// Time for which records are kept, in ms; 0 for ever.
    pub retention_ms: u64,
}

/// Records of one stream.
#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: Vec<(Instant, String)>,
}

#[derive(Debug, Default)]
struct State {
    streams: Table<String, Stream>,
    faults: LogFaults,
    appends: u64,
    read_bytes: u64,
}

/// The log, shared by its handlers.
#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    appended: Condvar,
}

/// A running log.
pub struct Log {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Log {
    /// Starts an empty log.
    ///
    /// # Errors
    /// Returns why its port cannot be had.
    pub fn start() -> Result<Self, anyhow::Error> {
        let shared = Arc::new(Shared::default());
        let for_handler = Arc::clone(&shared);
        let server = HttpServer::start(move |request| handle(&for_handler, request))?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the log.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut lock(&self.shared.state).faults);
        self.shared.appended.notify_all();
    }

    /// Returns the records of `stream` that are still kept, as JSON text.
    pub fn records(&self, stream: &str) -> Vec<String> {
        let state = lock(&self.shared.state);
        let records = state.streams.get(stream).map(|s| &s.records);
        records.map(|r| r.iter().map(|(_, text)| text.clone()).collect()).unwrap_or_default()
    }

    /// Returns the names of all streams.
    pub fn streams(&self) -> Vec<String> {
        lock(&self.shared.state).streams.keys().cloned().collect()
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.shared.state).appends
    }

    /// Returns the bytes of records that readers were given.
    pub fn read_bytes(&self) -> u64 {
        lock(&self.shared.state).read_bytes
    }

    /// Stops the log.
    pub fn close(self) {
        self.server.close();
    }
}

fn handle(shared: &Shared, mut request: Request) {
    let path = http::path(&request).to_owned();
    if path == "/faults" && *request.method() == Method::Post {
        let text = http::body_text(&mut request);
        return set_faults(shared, request, &text);
    }
    let faults = lock(&shared.state).faults;
    thread::sleep(Duration::from_millis(faults.delay_ms));
    if faults.silent {
        return http::hold(request, OUTAGE_HOLD);
    }
    if faults.refuse {
        return http::json(request, 503, &json!({ "error": "outage" }));
    }
    let Some(stream) = path.strip_prefix("/streams/") else {
        return http::json(request, 404, &json!({ "error": "no such path" }));
    };
    match request.method() {
        Method::Post => append(shared, request, stream),
        _ => read(shared, request, stream),
    }
}

fn set_faults(shared: &Shared, request: Request, text: &str) {
    match serde_json::from_str(text) {
        Ok(faults) => {
            lock(&shared.state).faults = faults;
            http::json(request, 200, &faults);
        }
        Err(e) => http::json(request, 400, &json!({ "error": e.to_string() })),
    }
}

fn append(shared: &Shared, mut request: Request, stream: &str) {
    let text = http::body_text(&mut request);
    let mut state = lock(&shared.state);
    let lose = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    state.appends += 1;
    let records = state.streams.get_or_insert_with(stream.to_owned(), Stream::default);
    records.records.push((Instant::now(), text));
    let offset = records.first_offset + records.records.len() as u64 - 1;
    drop(state);
    shared.appended.notify_all();
    if lose {
        return http::hold(request, OUTAGE_HOLD);
    }
    http::json(request, 200, &json!({ "offset": offset }));
}

fn read(shared: &Shared, request: Request, stream: &str) {
    let number = |name| http::query(&request, name).and_then(|v| v.parse::<u64>().ok());
    let from_offset = number("from").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
    let mut state = lock(&shared.state);
    loop {
        expire(&mut state);
        let next = state.streams.get(stream).map_or(0, |s| s.first_offset + s.records.len() as u64);
        let Some(left) = until.checked_duration_since(Instant::now()) else { break };
        if next > from_offset || state.faults.silent || state.faults.refuse {
            break;
        }
        state = match shared.appended.wait_timeout(state, left) {
            Ok((state, _)) => state,
            Err(poisoned) => PoisonError::into_inner(poisoned).0,
        };
    }
    if state.faults.silent || state.faults.refuse {
        // An outage that begins during a long read breaks it off.
        drop(state);
        return http::json(request, 503, &json!({ "error": "outage" }));
    }
    let page = page(&mut state, stream, from_offset);
    drop(state);
    http::json(request, 200, &page);
}

fn page(state: &mut State, stream: &str, from_offset: u64) -> Page {
    let Some(found) = state.streams.get(stream) else {
        return Page { first_offset: 0, next_offset: 0, records: Vec::new() };
    };
    let start = from_offset.max(found.first_offset);
    let skip = (start - found.first_offset) as usize;
    let records: Vec<LogRecord> = found
        .records
        .iter()
        .skip(skip)
        .enumerate()
        .map(|(at, (_, text))| LogRecord { offset: start + at as u64, data: text.clone() })
        .collect();
    let page = Page {
        first_offset: found.first_offset,
        next_offset: found.first_offset + found.records.len() as u64,
        records,
    };
    state.read_bytes += page.records.iter().map(|r| r.data.len() as u64).sum::<u64>();
    page
}

fn expire(state: &mut State) {
    if state.faults.retention_ms == 0 {
        return;
    }
    let kept = Duration::from_millis(state.faults.retention_ms);
    for (_, stream) in state.streams.iter_mut() {
        let old = stream.records.iter().take_while(|(at, _)| at.elapsed() > kept).count();
        stream.records.drain(..old);
        stream.first_offset += old as u64;
    }
}
