//! Asks the process of a worker whether it goes on after the end of a response without length.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::connection;
use crate::gateway::connection::CallResponse;
use crate::gateway::connection::Error;
use crate::gateway::connection::HttpClient;
use crate::gateway::directory::departed::ExitState;
use crate::gateway::endings::Ending;
use crate::gateway::endings::ProcessState;
use crate::gateway::endings::Waits;
use crate::gateway::endings::has_started_since;
use crate::gateway::eventlog::Severity;
use crate::platform::control;
use crate::platform::headers;
use crate::sorted::Table;
use crate::telemetry::events;

/// Number of connections on which a process is asked: the first one may be an idle one that it has closed, and those
/// that are made while it ends are reset.
const CONNECTIONS_MAX: u32 = 3;
/// Timeout of a question; the time for which a response waits for the answer ends it before.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a response that broke off is remembered, in ms; longer than a check takes.
const BREAK_RETENTION_MS: u64 = 60_000;

/// What an instance keeps to tell how responses have ended.
#[derive(Default)]
pub struct EndingTracker {
    // By worker and start time of its process.
    contacts: RefCell<Table<(String, u64), Weak<Contact>>>,
    // Time at which a response of a process last broke off, in ms.
    breaks: RefCell<Table<u64, u64>>,
}

/// A connection to the process of a worker, shared by its responses. It is opened while a stream runs at a worker that
/// leaves, since such a worker may close its port before it ends its streams.
pub struct Contact {
    question: Question,
    client: Mutex<Client>,
}

struct Client {
    http: HttpClient,
    // Time of the last question, and what it has shown.
    last: Option<(Instant, ProcessState)>,
}

/// A call that the process of a worker answers at once, and what tells its answer from that of another process.
struct Question {
    path: String,
    addr: SocketAddr,
    worker_id: String,
    start_unix_ms: Option<u64>,
}

impl Question {
    /// Returns the question to the process that runs a request; `None` if its service has none.
    fn new(call: &Call, in_flight: &InFlight) -> Option<Self> {
        let path = match call.target {
            Some(_) => control::REPORT_PATH.to_owned(),
            None => call.catalog.services.get(&call.service)?.health_path.clone()?,
        };
        Some(Self {
            path,
            addr: in_flight.addr,
            worker_id: in_flight.worker_id.clone(),
            start_unix_ms: in_flight.start_unix_ms,
        })
    }
}

impl Contact {
    fn new(question: Question) -> Self {
        let http = HttpClient::for_worker(question.addr);
        Self { question, client: Mutex::new(Client { http, last: None }) }
    }

    /// Returns the state of the process after `ended`; by then, it had worked on a response for at least `age_ms`.
    async fn process_state(&self, ended: Instant, age_ms: u64, waits: Waits) -> ProcessState {
        let mut client = self.client.lock().await;
        // Streams of a batch end at the same time; one answer tells it of all of them.
        if let Some((_, state)) = client.last.filter(|(asked, _)| *asked >= ended) {
            return state;
        }
        let asked = Instant::now();
        let state = self.find_state(&mut client.http, age_ms, waits).await;
        client.last = Some((asked, state));
        state
    }

    async fn find_state(&self, http: &mut HttpClient, age_ms: u64, waits: Waits) -> ProcessState {
        for _ in 0..CONNECTIONS_MAX {
            if http.connect(waits.connect).await.is_err() {
                return port_state(self.question.addr, waits.connect).await;
            }
            match timeout(waits.answer, self.ask(http)).await {
                Ok(Ok(response)) if self.is_other_process(&response, age_ms) => {
                    return ProcessState::Gone;
                }
                Ok(Ok(_)) => return ProcessState::Answering,
                Ok(Err(_)) => {}
                Err(_) => return ProcessState::Silent,
            }
        }
        // It resets connections beyond the number that it accepts.
        ProcessState::Silent
    }

    async fn ask(&self, http: &mut HttpClient) -> Result<CallResponse, Error> {
        let headers = headers::control_headers(&self.question.worker_id);
        let path = &self.question.path;
        http.call(Method::GET, path, headers, Bytes::new(), CALL_TIMEOUT).await
    }

    fn is_other_process(&self, response: &CallResponse, age_ms: u64) -> bool {
        if response.status_code == StatusCode::MISDIRECTED_REQUEST.as_u16() {
            return true;
        }
        let Some(known_unix_ms) = self.question.start_unix_ms else { return false };
        let report = control::parse_report(&response.body);
        report.is_ok_and(|report| has_started_since(report.start_unix_ms, known_unix_ms, age_ms))
    }
}

async fn port_state(addr: SocketAddr, connect_timeout: Duration) -> ProcessState {
    match connection::is_refused(addr, connect_timeout).await {
        true => ProcessState::Gone,
        false => ProcessState::Silent,
    }
}

/// Returns the contact with the process that runs a request, if that process has announced that it leaves. It has
/// worked on the response for at least `age_ms`.
pub fn contact(
    gateway: &Gateway,
    call: &Call,
    in_flight: &InFlight,
    age_ms: u64,
) -> Option<Rc<Contact>> {
    let start_unix_ms = in_flight.start_unix_ms?;
    let worker_id = in_flight.worker_id.as_str();
    if !gateway.directory.borrow().is_departing(worker_id, start_unix_ms) {
        return None;
    }
    let mut contacts = gateway.endings.contacts.borrow_mut();
    contacts.retain(|_, contact| contact.strong_count() > 0);
    let key = (worker_id.to_owned(), start_unix_ms);
    if let Some(contact) = contacts.get(&key).and_then(Weak::upgrade) {
        return Some(contact);
    }
    let contact = Rc::new(Contact::new(Question::new(call, in_flight)?));
    contacts.insert(key, Rc::downgrade(&contact));
    let opened = Rc::clone(&contact);
    let waits = Waits::of_stream(to_deadline_ms(gateway, call));
    tokio::task::spawn_local(
        async move { opened.process_state(Instant::now(), age_ms, waits).await },
    );
    Some(contact)
}

/// Records that a response broke off: it ended inside an event, with a reset, or before its length.
pub fn on_broken_off(gateway: &Gateway, in_flight: &InFlight) {
    let Some(process) = in_flight.process else { return };
    let now_ms = gateway.now_ms();
    let mut breaks = gateway.endings.breaks.borrow_mut();
    breaks.retain(|_, broken_ms| now_ms < *broken_ms + BREAK_RETENTION_MS);
    breaks.insert(process, now_ms);
}

/// A response without length whose connection has ended regularly.
pub struct EndedResponse<'a> {
    /// The request that it answers.
    pub in_flight: &'a InFlight,
    /// Contact with its process, if there is one.
    pub contact: Option<&'a Contact>,
    /// Monotonic time at which its head arrived, in ms.
    pub began_ms: u64,
    /// Monotonic time of its last data, in ms.
    pub last_data_ms: u64,
    /// Whether it is a stream.
    pub is_stream: bool,
}

/// Returns whether the worker has ended a response, rather than its process in it.
pub async fn is_complete(gateway: &Gateway, call: &Call, response: &EndedResponse<'_>) -> bool {
    let (ended, ended_ms, ended_boot_ms) = (Instant::now(), gateway.now_ms(), boot_ms());
    let EndedResponse { in_flight, contact, began_ms, last_data_ms, is_stream } = response;
    let age_ms = ended_ms - began_ms;
    let to_deadline_ms = to_deadline_ms(gateway, call);
    let waits = match is_stream {
        true => Waits::of_stream(to_deadline_ms),
        false => Waits::of_plain(call.objective_at_ms().saturating_sub(ended_ms), to_deadline_ms),
    };
    let process = match (contact, Question::new(call, in_flight)) {
        (Some(contact), _) => contact.process_state(ended, age_ms, waits).await,
        (None, Some(question)) => Contact::new(question).process_state(ended, age_ms, waits).await,
        (None, None) => port_state(in_flight.addr, waits.connect).await,
    };
    let ending = Ending {
        process,
        exit: exit_state(gateway, in_flight, ended_boot_ms),
        others_broke_off: broken_ms(gateway, in_flight).is_some_and(|ms| ms >= *last_data_ms),
        pause_ms: is_stream.then_some(ended_ms - last_data_ms),
        gap_objective_ms: call.route.gap_objective_ms,
    };
    log(gateway, call, in_flight, &ending);
    ending.is_complete()
}

fn to_deadline_ms(gateway: &Gateway, call: &Call) -> u64 {
    call.deadline_at_ms.saturating_sub(gateway.now_ms())
}

/// Returns whether the process of a request may have exited by itself at `boot_ms`, the time since the machine started.
fn exit_state(gateway: &Gateway, in_flight: &InFlight, boot_ms: u64) -> ExitState {
    let Some(start_unix_ms) = in_flight.start_unix_ms else { return ExitState::Unannounced };
    let drain_ms = gateway.settings().drain_ms;
    let directory = gateway.directory.borrow();
    directory.exit_state(&in_flight.worker_id, start_unix_ms, drain_ms, boot_ms)
}

/// Returns the time at which a response of the process of a request last broke off, in ms.
fn broken_ms(gateway: &Gateway, in_flight: &InFlight) -> Option<u64> {
    gateway.endings.breaks.borrow().get(&in_flight.process?).copied()
}

fn log(gateway: &Gateway, call: &Call, in_flight: &InFlight, ending: &Ending) {
    let severity = match ending.process {
        ProcessState::Gone => Severity::Notable,
        ProcessState::Answering | ProcessState::Silent => Severity::Routine,
    };
    let line = gateway.log.line(events::WORKER_END_CHECKED, severity);
    line.text("request", call.id())
        .text("worker", &in_flight.worker_id)
        .text("process", ending.process.name())
        .text("exit", ending.exit.name())
        .text("others_broke_off", ending.others_broke_off)
        .number("pause_ms", ending.pause_ms.map_or(-1, i128::from))
        .text("complete", ending.is_complete())
        .emit();
}
