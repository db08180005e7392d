//! A model worker that is taken away at short notice ends in the middle of its streams.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
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
use crate::site::HOST;
use crate::site::Record;
use crate::site::Site;
use crate::site::exit_with_script;
use crate::site::request;
use crate::site::signal;
use crate::site::unix_ms;

/// Zones of the workers and of the instances.
const ZONES: [&str; 3] = ["sohar-a", "sohar-b", "saham-c"];
/// Model that all workers hold.
const MODEL: &str = "m0";
/// Number of workers; one of them is taken away.
const WORKERS: usize = 8;
/// Events of a stream, and the time before each.
const EVENTS: u64 = 90;
const EVENT_INTERVAL: Duration = Duration::from_millis(45);
/// Streams a second, and for how long.
const RATE_PER_S: u64 = 40;
const TIME: Duration = Duration::from_secs(8);
/// When the worker tells that it is taken away, and how long it remains.
const NOTICE_AT: Duration = Duration::from_secs(3);
const REMAINING: Duration = Duration::from_secs(2);
/// Time of silence after which the entry of a worker is removed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3600);

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}/{EVENTS}\n\n")
}

fn stream_body(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Runs a worker in a process of its own until it is killed; it prints its address and what it runs.
pub fn run_worker(id: &str) {
    exit_with_script();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("{}", listener.local_addr().expect("its address"));
    let (id, born) = (id.to_owned(), unix_ms());
    http::serve(listener, move |stream, request| handle(&id, born, stream, request));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn handle(worker: &str, born: u64, stream: &mut TcpStream, request: &Message) -> bool {
    if request.header("x-lovageridge-expect-instance").is_some_and(|expected| expected != worker) {
        let headers = "X-Lovageridge-Not-Executed: 1\r\n";
        return stream.write_all(&http::response("421 Misdirected Request", headers, b"")).is_ok();
    }
    match request.target() {
        "/lovageridge/report" => {
            let body = format!(
                "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}],\
                 \"Busy\":false,\"Seq\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":153608,\"Handles\":0,\
                 \"AtHand\":{{\"InMemory\":[\"{MODEL}\"],\"OnDisk\":[\"{MODEL}\"]}},\"born\":{born}}}"
            );
            let headers = "Content-Type: application/json\r\n";
            return stream.write_all(&http::response("200 OK", headers, body.as_bytes())).is_ok();
        }
        // All workers hold the only model, so an order asks for what already holds.
        "/lovageridge/order" => {
            return stream.write_all(&http::response("200 OK", "", b"{}")).is_ok();
        }
        _ => {}
    }
    let id = request.header("x-lovageridge-attempt-id").unwrap_or("");
    println!("runs {id}");
    // Neither a length nor chunks: the answer ends with its connection.
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
         X-Lovageridge-Server-Seal: {worker}.{id}\r\nX-Lovageridge-Weight-Versions: 1\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        if stream.write_all(event(id, number).as_bytes()).is_err() {
            return false;
        }
    }
    println!("ends {id}");
    false
}

fn config() -> String {
    let route = |name: &str, attempts: u32, resumable: bool, objective_ms: u32, timeout_ms: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"RouteType\":\"streaming\",\
             \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{objective_ms},\"Priority\":0,\"Service\":\"lm-pool\",\
             \"MaxAttempts\":{attempts},\"Sticky\":true,\"Resumable\":{resumable},\"TargetGapMs\":250}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"lm-pool\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvTokens\":153608,\
         \"KvTokenBytes\":327680,\"Models\":[{{\"Name\":\"{MODEL}\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\
         \"Adapters\":0,\"AdapterMb\":40.0,\"WarmS\":0.28,\"DiskS\":0.52}}],\"WeightsMb\":200000.0,\
         \"AdapterSlots\":8,\"LoadsPerS\":3.7}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":10000}}}}",
        route("gate-chat", 1, false, 400, 15000),
        route("board-digest", 2, true, 3000, 25000)
    )
}

struct Worker {
    id: String,
    zone: &'static str,
    addr: SocketAddr,
    born: u64,
    child: Child,
    is_leaving: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
}

impl Worker {
    fn start(id: &str, zone: &'static str, record: &Record) -> Self {
        let program = std::env::current_exe().expect("this program");
        let born = unix_ms();
        let mut child = Command::new(program)
            .args(["stream-worker", id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a worker process");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let addr = lines
            .next()
            .and_then(Result::ok)
            .and_then(|line| line.parse().ok())
            .expect("its address");
        let (record, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("worker {name} {line}"));
            }
        });
        let (is_leaving, is_gone) = (Arc::default(), Arc::default());
        Self { id: id.to_owned(), zone, addr, born, child, is_leaving, is_gone }
    }
}

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    // Without the notice the same end is a crash; for comparison only.
    let has_notice = std::env::var("VARIANT").map_or(true, |variant| variant != "crash");
    let mut site = Site::new(&config());
    let mut workers: Vec<Worker> = (0..WORKERS)
        .map(|at| Worker::start(&format!("i-e00{at}"), ZONES[at % ZONES.len()], record))
        .collect();
    let entries: Vec<_> = workers
        .iter()
        .map(|one| {
            (
                one.id.clone(),
                one.addr,
                one.zone,
                one.born,
                one.is_leaving.clone(),
                one.is_gone.clone(),
            )
        })
        .collect();
    let store = site.store.clone();
    let beat = move |sequence: u64| {
        for (id, addr, zone, born, is_leaving, is_gone) in &entries {
            if is_gone.load(Ordering::SeqCst) {
                continue;
            }
            let state = match is_leaving.load(Ordering::SeqCst) {
                true => format!("\"draining\",\"RemainingMs\":{}", REMAINING.as_millis()),
                false => "\"ready\"".to_owned(),
            };
            let entry = format!(
                "{{\"Service\":\"lm-pool\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":64,\
                 \"State\":{state},\"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\
                 \"Version\":1,\"Adapters\":[]}}],\"AtHand\":{{\"InMemory\":[\"{MODEL}\"],\"OnDisk\":[\"{MODEL}\"]}},\
                 \"Seq\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", id, entry.as_bytes());
        }
    };
    beat(1);
    site.start_instances(&ZONES);
    let beat = Arc::new(beat);
    let beating = Arc::clone(&beat);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            beating(sequence * 10);
        }
    });
    // The lead publishes what the workers hold after it has read their reports.
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = site.instances.iter().map(|one| one.front).collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let start = Instant::now();
    let (mut number, mut noticed, mut ended, mut removed) = (0, false, false, false);
    while start.elapsed() < TIME {
        let (client_record, answers) = (record.clone(), Arc::clone(&answers));
        let to = fronts[number % fronts.len()];
        let route = if number % 3 == 2 { "board-digest" } else { "gate-chat" };
        clients.push(thread::spawn(move || {
            let id = format!("s{number:04}");
            client_record.line(format!("client sends {id} to {route}"));
            let headers = format!(
                "X-Lovageridge-Model: {MODEL}\r\nX-Lovageridge-Token-Count: 826,290\r\n\
                 X-Lovageridge-Prompt-Prefix: 5c1e07a2:198,{number:08x}:628\r\n"
            );
            let bytes = request("POST", &format!("/{route}/{id}"), &id, 15000, &headers, "prompt");
            let answer = http::send(to, &bytes, Duration::from_secs(15));
            let events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
            let end = if answer.complete { "complete" } else { "broken off" };
            client_record
                .line(format!("client gets {} for {id}: {events} events, {end}", answer.status));
            answers.lock().unwrap_or_else(PoisonError::into_inner).push((id, route, answer));
        }));
        number += 1;
        thread::sleep(Duration::from_micros(1_000_000 / RATE_PER_S));
        if has_trouble && !noticed && start.elapsed() >= NOTICE_AT {
            noticed = true;
            if has_notice {
                record.line(format!("worker {} reports draining with RemainingMs", workers[0].id));
                workers[0].is_leaving.store(true, Ordering::SeqCst);
                beat(15);
            }
        }
        if has_trouble && !ended && start.elapsed() >= NOTICE_AT + REMAINING {
            ended = true;
            record.line(format!("worker {} is gone (SIGKILL)", workers[0].id));
            workers[0].is_gone.store(true, Ordering::SeqCst);
            signal(workers[0].child.id(), "KILL");
        }
        if ended && !removed && start.elapsed() >= NOTICE_AT + REMAINING + ENTRY_EXPIRY {
            removed = true;
            site.store.put("keyed.servers", &workers[0].id, b"");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    site.close();
    for worker in &mut workers {
        let _ = worker.child.kill();
        let _ = worker.child.wait();
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut truncated, mut whole, mut broken_off) = (0, 0, 0);
    for (id, route, answer) in answers.iter() {
        let is_whole = answer.body == stream_body(id).as_bytes();
        match (answer.status, answer.complete, is_whole) {
            (200, true, true) => whole += 1,
            (200, true, false) => {
                truncated += 1;
                let events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
                record.tell(format!(
                    "MIXED: {id} ({route}) ended as complete after {events} of {EVENTS} events"
                ));
            }
            _ => broken_off += 1,
        }
    }
    record.tell(format!(
        "{} streams: {whole} whole, {broken_off} refused or visibly broken off, {truncated} cut but complete",
        answers.len()
    ));
    if whole < answers.len() / 2 {
        println!("cannot run: fewer than half of the streams were served");
        std::process::exit(crate::site::EXIT_CANNOT_RUN);
    }
    truncated > 0
}
