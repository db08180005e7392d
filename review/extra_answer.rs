//! A worker sends a second copy of an answer late, where the answer to another request is due.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::site::HOST;
use crate::site::Record;
use crate::site::Site;
use crate::site::request;
use crate::site::unix_ms;

/// Zones, one worker and one instance each.
const ZONES: [&str; 3] = ["sohar-a", "sohar-b", "saham-c"];
/// Requests that a worker runs at once, and those that may wait for a place.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(30);
/// Bookings that come at once at the start.
const BURST: usize = 240;
/// Bookings a second after that, and for how long.
const RATE_PER_S: u64 = 60;
const TIME: Duration = Duration::from_secs(9);
/// When the disruption begins after the burst, how long it lasts, and of how many answers it spoils one.
const TROUBLE_FROM: Duration = Duration::from_secs(2);
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const ANSWERS_PER_EXTRA: u64 = 34;
/// Number of workers that it concerns.
const TROUBLED_WORKERS: usize = 1;

/// A worker of the booking service.
struct Worker {
    id: String,
    present: AtomicU32,
    running: AtomicU32,
    answers: AtomicU64,
    // Answers to requests that it has turned away as it was full.
    rejections: Mutex<Vec<Vec<u8>>>,
    trouble: Mutex<Option<(Instant, Instant)>>,
    record: Record,
    // Runs by request id, over all workers.
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Worker {
    fn is_troubled(&self) -> bool {
        let trouble = *self.trouble.lock().unwrap_or_else(PoisonError::into_inner);
        trouble.is_some_and(|(from, until)| (from..until).contains(&Instant::now()))
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or("").to_owned();
        if request
            .header("x-lovageridge-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers =
                format!("X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n");
            return stream
                .write_all(&http::response("421 Misdirected Request", &headers, b""))
                .is_ok();
        }
        if self.present.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.present.fetch_sub(1, Ordering::SeqCst);
            let headers =
                format!("X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n");
            let answer = http::response("503 Service Unavailable", &headers, b"");
            self.record.line(format!("worker {} is full and rejects {id}", self.id));
            self.rejections.lock().unwrap_or_else(PoisonError::into_inner).push(answer.clone());
            return stream.write_all(&answer).is_ok();
        }
        while self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1));
        }
        self.record.line(format!("worker {} runs {id}", self.id));
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(id.clone())
            .or_default()
            .push(self.id.clone());
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.present.fetch_sub(1, Ordering::SeqCst);
        let headers = format!(
            "X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Server-Seal: {}.{id}\r\n",
            self.id
        );
        let answer = http::response("200 OK", &headers, format!("booked {id}").as_bytes());
        let mut bytes = Vec::new();
        if self.is_troubled()
            && self.answers.fetch_add(1, Ordering::SeqCst) % ANSWERS_PER_EXTRA == 10
        {
            if let Some(copy) = self.rejections.lock().unwrap_or_else(PoisonError::into_inner).pop()
            {
                self.record.line(format!(
                    "worker {} sends an extra answer before the one to {id}: {}",
                    self.id,
                    String::from_utf8_lossy(&copy).replace("\r\n", " | ")
                ));
                bytes.extend_from_slice(&copy);
            }
        }
        bytes.extend_from_slice(&answer);
        stream.write_all(&bytes).is_ok()
    }
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"slot-commit\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/commit/\",\
         \"RouteType\":\"non_idempotent\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,\
         \"Service\":\"booking-app\",\"MaxAttempts\":1,\"Sticky\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"booking-app\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":10000}}}}"
    )
}

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::new(&config());
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let born = unix_ms();
    let mut workers: Vec<(Arc<Worker>, SocketAddr, &str)> = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let worker = Arc::new(Worker {
            id: format!("i-b00{number}"),
            present: AtomicU32::new(0),
            running: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            rejections: Mutex::default(),
            trouble: Mutex::new(None),
            record: record.clone(),
            runs: Arc::clone(&runs),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let addr = listener.local_addr().expect("its address");
        let server = Arc::clone(&worker);
        http::serve(listener, move |stream, request| server.handle(stream, request));
        workers.push((worker, addr, *zone));
    }
    let store = site.store.clone();
    let entries: Vec<(String, SocketAddr, String)> = workers
        .iter()
        .map(|(worker, addr, zone)| (worker.id.clone(), *addr, (*zone).to_owned()))
        .collect();
    let beat = move |sequence: u64| {
        for (id, addr, zone) in &entries {
            let entry = format!(
                "{{\"Service\":\"booking-app\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
                 \"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{sequence},\"born\":{born}}}"
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
    let fronts: Vec<SocketAddr> = site.instances.iter().map(|one| one.front).collect();
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    let mut send = |number: usize| {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        let to = fronts[number % fronts.len()];
        clients.push(thread::spawn(move || {
            let id = format!("a{number:05}");
            record.line(format!("client sends {id}"));
            let bytes = request("POST", &format!("/commit/{id}"), &id, 2500, "", "slot");
            let answer = http::send(to, &bytes, Duration::from_millis(2500));
            record.line(format!(
                "client gets {} for {id}: {:?}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            ));
            answers.lock().unwrap_or_else(PoisonError::into_inner).insert(id, answer);
        }));
    };
    (0..BURST).for_each(&mut send);
    let start = Instant::now();
    if has_trouble {
        let from = start + TROUBLE_FROM;
        for (worker, ..) in workers.iter().take(TROUBLED_WORKERS) {
            *worker.trouble.lock().unwrap_or_else(PoisonError::into_inner) =
                Some((from, from + TROUBLE_TIME));
        }
    }
    let mut number = BURST;
    while start.elapsed() < TIME {
        send(number);
        number += 1;
        thread::sleep(Duration::from_micros(1_000_000 / RATE_PER_S));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    site.close();
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut twice, mut refused, mut mixed) = (0, 0, 0);
    for (id, answer) in answers.iter() {
        let ran = runs.get(id).map_or(&[][..], Vec::as_slice);
        if ran.len() > 1 {
            twice += 1;
            record.tell(format!(
                "TWICE: {id} ran at {}; its client got {}",
                ran.join(" and "),
                answer.status
            ));
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            refused += 1;
            record.tell(format!(
                "REFUSED: {id} was answered {} and ran at {}",
                answer.status,
                ran.join(" and ")
            ));
        }
        if answer.status == 200 && answer.body != format!("booked {id}").as_bytes() {
            mixed += 1;
            record.tell(format!(
                "MIXED: {id} was answered {:?}",
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    let served = answers.values().filter(|answer| answer.status == 200).count();
    record.tell(format!(
        "{} bookings, {served} answered 200; ran twice {twice}, refused though run {refused}, mixed {mixed}",
        answers.len()
    ));
    if served < answers.len() / 2 {
        println!("cannot run: fewer than half of the bookings were served");
        std::process::exit(crate::site::EXIT_CANNOT_RUN);
    }
    twice + refused + mixed > 0
}
