//! A model worker sends line ends without end in the body of a stream.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::site::Balancer;
use crate::site::HOST;
use crate::site::Record;
use crate::site::Site;
use crate::site::request;
use crate::site::unix_ms;

/// Zones of the instances and of the workers of each service.
const ZONES: [&str; 3] = ["sohar-a", "sohar-b", "saham-c"];
const MODEL: &str = "m0";
/// Events of a stream, and the time before each.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(45);
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(30);
/// Time limit of bookings on their route, and how much later they must have an answer.
const BOOK_TIMEOUT: Duration = Duration::from_millis(1200);
const BOOK_SLACK: Duration = Duration::from_millis(500);
/// Bookings and streams a second.
const BOOKS_PER_S: u64 = 24;
const STREAMS_PER_S: u64 = 3;
/// Time of the load, and the part of it in which the worker is in trouble.
const TIME: Duration = Duration::from_secs(16);
const TROUBLE_FROM: Duration = Duration::from_secs(6);
const TROUBLE_TIME: Duration = Duration::from_millis(5500);
/// Time without an event after which a client abandons its stream: four times the objective.
const PATIENCE: Duration = Duration::from_secs(12);
/// Most requests over their time that the rule leaves alone, by number.
const LATE_MAX: usize = 7;

struct ModelWorker {
    id: String,
    born: u64,
    is_troubled: AtomicBool,
    record: Record,
}

impl ModelWorker {
    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        if request
            .header("x-lovageridge-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers = "X-Lovageridge-Not-Executed: 1\r\n";
            return stream
                .write_all(&http::response("421 Misdirected Request", headers, b""))
                .is_ok();
        }
        match request.target() {
            "/lovageridge/report" => {
                let body = format!(
                    "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}],\
                     \"Busy\":false,\"Seq\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":153608,\
                     \"Handles\":0,\"AtHand\":{{\"InMemory\":[\"{MODEL}\"],\"OnDisk\":[\"{MODEL}\"]}},\"born\":{}}}",
                    self.born
                );
                return stream.write_all(&http::response("200 OK", "", body.as_bytes())).is_ok();
            }
            // The worker holds the only model, so an order asks for what already holds.
            "/lovageridge/order" => {
                return stream.write_all(&http::response("200 OK", "", b"{}")).is_ok();
            }
            _ => {}
        }
        let id = request.header("x-lovageridge-attempt-id").unwrap_or("");
        self.record.line(format!("worker {} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
             X-Lovageridge-Server-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        if self.is_troubled.load(Ordering::SeqCst) {
            return self.flood(stream, id);
        }
        for number in 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Sends line ends until the caller closes.
    fn flood(&self, stream: &mut TcpStream, id: &str) -> bool {
        self.record.line(format!("worker {} answers {id} with line ends without end", self.id));
        let line_ends = "\n".repeat(1 << 20);
        let chunk = format!("{:x}\r\n{line_ends}\r\n", line_ends.len());
        let mut sent = 0_u64;
        while stream.write_all(chunk.as_bytes()).is_ok() {
            sent += line_ends.len() as u64;
        }
        self.record.line(format!(
            "worker {} sees the connection of {id} closed after {sent} bytes",
            self.id
        ));
        false
    }
}

fn handle_booking(worker: &str, stream: &mut TcpStream, request: &Message) -> bool {
    if request.header("x-lovageridge-expect-instance").is_some_and(|expected| expected != worker) {
        let headers = "X-Lovageridge-Not-Executed: 1\r\n";
        return stream.write_all(&http::response("421 Misdirected Request", headers, b"")).is_ok();
    }
    let id = request.header("x-lovageridge-attempt-id").unwrap_or("");
    thread::sleep(WORK);
    let headers =
        format!("X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Server-Seal: {worker}.{id}\r\n");
    stream.write_all(&http::response("200 OK", &headers, format!("booked {id}").as_bytes())).is_ok()
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[\
         {{\"Name\":\"board-digest\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/digest/\",\"RouteType\":\"streaming\",\
         \"TimeoutMs\":25000,\"TargetLatencyMs\":3000,\"Priority\":0,\"Service\":\"lm-pool\",\"MaxAttempts\":2,\
         \"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":250}},\
         {{\"Name\":\"slot-commit\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/commit/\",\"RouteType\":\"non_idempotent\",\
         \"TimeoutMs\":{},\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"booking-app\",\"MaxAttempts\":2,\
         \"Sticky\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"lm-pool\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvTokens\":153608,\"KvTokenBytes\":327680,\"Models\":[\
         {{\"Name\":\"{MODEL}\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,\"AdapterMb\":40.0,\"WarmS\":0.28,\
         \"DiskS\":0.52}}],\"WeightsMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":3.7}}}},\
         {{\"Name\":\"booking-app\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":10000}}}}",
        BOOK_TIMEOUT.as_millis()
    )
}

/// A booking: its id, the instance that it was sent to, when it was sent, how long it took, and its status.
type Booking = (String, usize, Duration, Duration, u16);

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::new(&config());
    let born = unix_ms();
    let mut models = Vec::new();
    let mut entries = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let addr = listener.local_addr().expect("its address");
        let is_troubled = AtomicBool::new(false);
        let worker = Arc::new(ModelWorker {
            id: format!("i-e00{at}"),
            born,
            is_troubled,
            record: record.clone(),
        });
        let server = Arc::clone(&worker);
        http::serve(listener, move |stream, request| server.handle(stream, request));
        entries.push((worker.id.clone(), "lm-pool", 64, addr, *zone));
        models.push(worker);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let addr = listener.local_addr().expect("its address");
        let id = format!("i-b00{at}");
        entries.push((id.clone(), "booking-app", 6, addr, *zone));
        http::serve(listener, move |stream, request| handle_booking(&id, stream, request));
    }
    let store = site.store.clone();
    let beat = move |sequence: u64| {
        for (id, service, slots, addr, zone) in &entries {
            let models = match *service {
                "lm-pool" => format!(
                    ",\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}],\
                     \"AtHand\":{{\"InMemory\":[\"{MODEL}\"],\"OnDisk\":[\"{MODEL}\"]}}"
                ),
                _ => String::new(),
            };
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
                 \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0{models},\"Seq\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", id, entry.as_bytes());
        }
    };
    beat(1);
    site.start_instances(&ZONES);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            beat(sequence);
        }
    });
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = site.instances.iter().map(|one| one.front).collect();
    let bookings: Arc<Mutex<Vec<Booking>>> = Arc::default();
    let balancer = Balancer::start(&site.instances, record);
    let stream_record = record.clone();
    let mut clients = Vec::new();
    let start = Instant::now();
    let mut number = 0_u64;
    while start.elapsed() < TIME {
        let elapsed = start.elapsed();
        let is_troubled =
            has_trouble && (TROUBLE_FROM..TROUBLE_FROM + TROUBLE_TIME).contains(&elapsed);
        models[0].is_troubled.store(is_troubled, Ordering::SeqCst);
        let at = balancer.choose(number as usize % fronts.len());
        let (to, record, bookings) = (fronts[at], record.clone(), Arc::clone(&bookings));
        clients.push(thread::spawn(move || {
            let id = format!("b{number:05}");
            let sent = start.elapsed();
            record.line(format!("client sends {id} to instance {at}"));
            let bytes = request("POST", &format!("/commit/{id}"), &id, 2500, "", "slot");
            let answer = http::send(to, &bytes, Duration::from_millis(2500));
            let took = start.elapsed() - sent;
            record.line(format!(
                "client gets {} for {id} after {} ms",
                answer.status,
                took.as_millis()
            ));
            bookings.lock().unwrap_or_else(PoisonError::into_inner).push((
                id,
                at,
                sent,
                took,
                answer.status,
            ));
        }));
        if number % (BOOKS_PER_S / STREAMS_PER_S) == 0 {
            let at =
                balancer.choose((number / (BOOKS_PER_S / STREAMS_PER_S)) as usize % fronts.len());
            let (to, record) = (fronts[at], stream_record.clone());
            clients.push(thread::spawn(move || {
                let id = format!("d{number:05}");
                record.line(format!("client sends {id} to instance {at}"));
                let headers = format!(
                    "X-Lovageridge-Model: {MODEL}\r\nX-Lovageridge-Token-Count: 826,200\r\n\
                     X-Lovageridge-Prompt-Prefix: 5c1e07a2:198,{number:08x}:628\r\n"
                );
                let bytes =
                    request("POST", &format!("/digest/{id}"), &id, 25000, &headers, "prompt");
                let answer = http::send_stream(to, &bytes, PATIENCE);
                record.line(format!(
                    "client gets {} for {id}: {} bytes, {}",
                    answer.status,
                    answer.body_bytes,
                    if answer.complete { "complete" } else { "not complete" }
                ));
            }));
        }
        number += 1;
        thread::sleep(Duration::from_micros(1_000_000 / BOOKS_PER_S));
    }
    for client in clients {
        let _ = client.join();
    }
    record.tell(format!("{} readiness probes were missed", balancer.misses()));
    site.close();
    let bookings = bookings.lock().unwrap_or_else(PoisonError::into_inner);
    // Judged are bookings that had no answer within the time limit of their route.
    let over: Vec<&Booking> =
        bookings.iter().filter(|(_, _, _, took, _)| *took > BOOK_TIMEOUT).collect();
    let late = over.iter().filter(|(_, _, _, took, _)| *took > BOOK_TIMEOUT + BOOK_SLACK).count();
    for (id, at, sent, took, status) in &over {
        record.line(format!(
            "{id} to instance {at}, sent at {} ms, had no answer within its time limit: {status} after {} ms",
            sent.as_millis(),
            took.as_millis()
        ));
    }
    let by_status =
        |status: u16| bookings.iter().filter(|(_, _, _, _, got)| *got == status).count();
    record.tell(format!(
        "{} bookings, {} answered 200, {} without any answer; {} had none at their TimeoutMs, {late} of these none \
         half a second later",
        bookings.len(),
        by_status(200),
        by_status(0),
        over.len()
    ));
    let is_broken = late > LATE_MAX && late * 2 > over.len();
    if is_broken {
        record.tell("CONFIG: more than half of the requests over their TimeoutMs had no answer half a second later");
    }
    if by_status(200) < bookings.len() / 4 {
        println!("cannot run: fewer than a quarter of the bookings were served");
        std::process::exit(crate::site::EXIT_CANNOT_RUN);
    }
    is_broken
}
