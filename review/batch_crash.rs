//! A batch of requests with a prompt part that crashes workers, several times.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
use crate::site::free_port;
use crate::site::request;
use crate::site::unix_ms;

/// Zones of the instances; the workers are spread over them.
const ZONES: [&str; 3] = ["sohar-a", "sohar-b", "saham-c"];
const WORKERS: usize = 12;
const MODEL: &str = "m0";
/// Prompt part that crashes workers, and one that all requests share.
const DEADLY_PART: &str = "dead0001";
const SHARED_PART: &str = "5c1e07a2";
/// Events of a stream, and the time before each.
const EVENTS: u64 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(45);
/// Time to read a prompt, after which a worker begins to write.
const PREFILL: Duration = Duration::from_millis(50);
/// Time until a crashed worker is back, and time of a load from its disk.
const DOWN: Duration = Duration::from_secs(3);
const DISK_LOAD: Duration = Duration::from_millis(520);
const BEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Sound requests a second.
const SOUND_PER_S: u64 = 12;
/// Requests of a batch, number of batches, time to the first one and between them.
const BATCH: usize = 8;
const BATCHES: usize = 3;
const FIRST_BATCH_AT: Duration = Duration::from_secs(4);
const BATCH_INTERVAL: Duration = Duration::from_secs(5);
/// Crashes after which the part is known, the time for the instances to learn of it, and the requests that may
/// still reach workers later.
const CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_millis(3000);
const LATE_MAX: usize = 3;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Orders {
    accepted: u64,
    highest_fence: u64,
    holds_model: bool,
    loading_until: Option<Instant>,
}

struct ModelWorker {
    id: String,
    zone: String,
    addr: SocketAddr,
    store: SocketAddr,
    born: u64,
    is_deadly: bool,
    orders: Mutex<Orders>,
}

/// Runs a worker in a process of its own until it crashes or is killed; it prints what it runs.
///
/// Arguments: id, port, zone, address of the store, whether it holds the model, whether the part crashes it.
pub fn run_worker(arguments: &[String]) {
    exit_with_script();
    let [id, port, zone, store, holds_model, is_deadly] = arguments else { return };
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port.parse().unwrap_or(0)));
    let Ok(listener) = TcpListener::bind(addr) else { return };
    let orders = Orders {
        accepted: 0,
        highest_fence: 0,
        holds_model: holds_model == "true",
        loading_until: None,
    };
    let worker = Arc::new(ModelWorker {
        id: id.clone(),
        zone: zone.clone(),
        addr,
        store: store.parse().expect("the store's address"),
        born: unix_ms(),
        is_deadly: is_deadly == "true",
        orders: Mutex::new(orders),
    });
    let server = Arc::clone(&worker);
    http::serve(listener, move |stream, request| server.handle(stream, request));
    for sequence in 1.. {
        worker.beat(sequence);
        thread::sleep(BEAT_INTERVAL);
    }
}

impl ModelWorker {
    fn finish_load(&self) -> MutexGuard<'_, Orders> {
        let mut orders = lock(&self.orders);
        if orders.loading_until.is_some_and(|until| Instant::now() >= until) {
            orders.loading_until = None;
            orders.holds_model = true;
        }
        orders
    }

    fn models(&self) -> String {
        match self.finish_load().holds_model {
            true => format!("[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}]"),
            false => "[]".to_owned(),
        }
    }

    /// Writes its entry to the store.
    fn beat(&self, sequence: u64) {
        let entry = format!(
            "{{\"Service\":\"lm-pool\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":64,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":{},\
             \"AtHand\":{{\"InMemory\":[],\"OnDisk\":[\"{MODEL}\"]}},\"Seq\":{sequence},\"born\":{}}}",
            self.addr,
            self.zone,
            self.models(),
            self.born
        );
        let mut record = vec![self.id.len() as u8];
        record.extend_from_slice(self.id.as_bytes());
        record.extend_from_slice(entry.as_bytes());
        let mut body = (record.len() as u32).to_be_bytes().to_vec();
        body.extend_from_slice(&record);
        let mut bytes = format!(
            "POST /lovageridge/log-append?Topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        http::send(self.store, &bytes, Duration::from_secs(1));
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("x-lovageridge-attempt-id").unwrap_or("");
        let not_run =
            format!("X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n");
        if request
            .header("x-lovageridge-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return stream
                .write_all(&http::response("421 Misdirected Request", &not_run, b""))
                .is_ok();
        }
        match request.target() {
            "/lovageridge/report" => {
                let models = self.models();
                let orders = self.finish_load();
                let body = format!(
                    "{{\"Stage\":\"colocated\",\"Models\":{models},\"Busy\":{},\"Seq\":{},\"Waiting\":0,\"Running\":0,\
                     \"KvUsed\":0,\"KvTotal\":153608,\"Handles\":0,\"AtHand\":{{\"InMemory\":[],\
                     \"OnDisk\":[\"{MODEL}\"]}},\"born\":{}}}",
                    orders.loading_until.is_some(),
                    orders.accepted,
                    self.born
                );
                return stream.write_all(&http::response("200 OK", "", body.as_bytes())).is_ok();
            }
            "/lovageridge/order" => {
                let status = self.apply_order(&String::from_utf8_lossy(&request.body));
                return stream.write_all(&http::response(status, "", b"{}")).is_ok();
            }
            _ => {}
        }
        if !self.finish_load().holds_model {
            return stream
                .write_all(&http::response("421 Misdirected Request", &not_run, b""))
                .is_ok();
        }
        println!("runs {id}");
        thread::sleep(PREFILL);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
             X-Lovageridge-Server-Seal: {}.{id}\r\nX-Lovageridge-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let prefix = request.header("x-lovageridge-prompt-prefix").unwrap_or("");
        if self.is_deadly
            && prefix.split(',').any(|pair| pair.split(':').next() == Some(DEADLY_PART))
        {
            println!("crashes on {id}");
            std::process::exit(101);
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

    /// Applies an order, of which only the fields are read that matter for a single model.
    fn apply_order(&self, text: &str) -> &'static str {
        let number = |name: &str| -> Option<u64> {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            rest.split([',', '}']).next()?.trim().parse().ok()
        };
        let mut orders = self.finish_load();
        let fence = number("Fence").unwrap_or(0);
        if fence < orders.highest_fence {
            return "412 Precondition Failed";
        }
        orders.highest_fence = fence;
        if orders.loading_until.is_some()
            || number("Expected").is_some_and(|expected| expected != orders.accepted)
        {
            return "409 Conflict";
        }
        let loads = text.contains("\"model_load\"");
        if loads == orders.holds_model {
            return "200 OK";
        }
        orders.accepted += 1;
        orders.holds_model = false;
        orders.loading_until = loads.then(|| Instant::now() + DISK_LOAD);
        "202 Accepted"
    }
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"lot-grade\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/grade/\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":2,\
         \"Service\":\"lm-pool\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\"TargetGapMs\":250}}],\
         \"Services\":[{{\"Name\":\"lm-pool\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvTokens\":153608,\"KvTokenBytes\":327680,\"Models\":[\
         {{\"Name\":\"{MODEL}\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,\"AdapterMb\":40.0,\"WarmS\":0.28,\
         \"DiskS\":0.52}}],\"WeightsMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":3.7}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":10000}}}}"
    )
}

/// What the workers did, with the time.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    deadly_runs: Vec<(Instant, String)>,
}

/// Keeps a worker running: it is started again some seconds after each crash.
struct Keeper {
    child: Arc<Mutex<Option<Child>>>,
}

impl Keeper {
    fn start(
        at: usize,
        site: &Site,
        record: &Record,
        seen: &Arc<Mutex<Seen>>,
        over: &Arc<AtomicBool>,
        deadly: bool,
    ) -> Self {
        let (id, port) = (format!("i-e{at:03}"), free_port(Ipv4Addr::LOCALHOST));
        let (zone, store) = (ZONES[at % ZONES.len()], site.store.addr.to_string());
        let child: Arc<Mutex<Option<Child>>> = Arc::default();
        let (kept, record) = (Arc::clone(&child), record.clone());
        let (seen, over) = (Arc::clone(seen), Arc::clone(over));
        thread::spawn(move || {
            let program = std::env::current_exe().expect("this program");
            let mut holds_model = true;
            while !over.load(Ordering::SeqCst) {
                let started = Command::new(&program)
                    .args(["crash-worker", &id, &port.to_string(), zone, &store])
                    .args([holds_model.to_string(), deadly.to_string()])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .spawn();
                let Ok(mut process) = started else { return };
                let lines = BufReader::new(process.stdout.take().expect("its output")).lines();
                *lock(&kept) = Some(process);
                for line in lines.map_while(Result::ok) {
                    let now = Instant::now();
                    record.line(format!("worker {id} {line}"));
                    if line.starts_with("crashes") {
                        lock(&seen).crashes.push(now);
                    } else if let Some(run) =
                        line.strip_prefix("runs ").filter(|run| run.starts_with('x'))
                    {
                        lock(&seen).deadly_runs.push((now, run.to_owned()));
                    }
                }
                if let Some(mut process) = lock(&kept).take() {
                    let _ = process.wait();
                }
                holds_model = false;
                thread::sleep(DOWN);
            }
        });
        Self { child }
    }

    fn stop(&self) {
        if let Some(process) = lock(&self.child).as_mut() {
            let _ = process.kill();
        }
    }
}

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    // Requests of a batch that come one after the other, for comparison only.
    let spread = std::env::var("VARIANT").is_ok_and(|variant| variant == "spread");
    let mut site = Site::new(&config());
    let (seen, over) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
    let keepers: Vec<Keeper> = (0..WORKERS)
        .map(|at| Keeper::start(at, &site, record, &seen, &over, has_trouble))
        .collect();
    site.start_instances(&ZONES);
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = site.instances.iter().map(|one| one.front).collect();
    let sound: Arc<Mutex<Vec<u16>>> = Arc::default();
    let mut clients = Vec::new();
    let mut send = |id: String, to: SocketAddr, is_deadly: bool| {
        let (record, sound) = (record.clone(), Arc::clone(&sound));
        clients.push(thread::spawn(move || {
            record.line(format!("client sends {id}"));
            // Ids of prompt parts are hexadecimal.
            let own_part = id.replace('x', "e");
            let part = if is_deadly { format!("{DEADLY_PART}:90,") } else { String::new() };
            let headers = format!(
                "X-Lovageridge-Model: {MODEL}\r\nX-Lovageridge-Token-Count: 2368,25\r\n\
                 X-Lovageridge-Prompt-Prefix: {SHARED_PART}:568,{part}{own_part}:1800\r\n"
            );
            let bytes = request("POST", &format!("/grade/{id}"), &id, 3000, &headers, "reports");
            let answer = http::send(to, &bytes, Duration::from_secs(4));
            let end = if answer.complete { "complete" } else { "not complete" };
            record.line(format!("client gets {} for {id}, {end}", answer.status));
            if !is_deadly {
                lock(&sound).push(if answer.complete { answer.status } else { 0 });
            }
        }));
    };
    let start = Instant::now();
    let time = FIRST_BATCH_AT + BATCH_INTERVAL * BATCHES as u32;
    let (mut number, mut batches) = (0, 0);
    while start.elapsed() < time {
        if batches < BATCHES && start.elapsed() >= FIRST_BATCH_AT + BATCH_INTERVAL * batches as u32
        {
            record.line(format!("batch {} of requests with the part {DEADLY_PART}", batches + 1));
            for at in 0..BATCH {
                send(format!("x{batches}{at}"), fronts[at % fronts.len()], true);
                if spread {
                    thread::sleep(Duration::from_millis(250));
                }
            }
            batches += 1;
        }
        send(format!("a{number:05}"), fronts[number % fronts.len()], false);
        number += 1;
        thread::sleep(Duration::from_micros(1_000_000 / SOUND_PER_S));
    }
    for client in clients {
        let _ = client.join();
    }
    over.store(true, Ordering::SeqCst);
    keepers.iter().for_each(Keeper::stop);
    site.close();
    let seen = lock(&seen);
    let mut crashes = seen.crashes.clone();
    crashes.sort_unstable();
    let known_from = crashes.get(CRASHES - 1).map(|at| *at + CONTACT);
    let late: Vec<&str> = seen
        .deadly_runs
        .iter()
        .filter(|(at, _)| known_from.is_some_and(|from| *at > from))
        .map(|(_, id)| id.as_str())
        .collect();
    let sound = lock(&sound);
    let served = sound.iter().filter(|status| **status == 200).count();
    record.tell(format!(
        "{} crashes; {} requests with the part reached workers, {} of them later than 3 s after the fifth crash: {}",
        crashes.len(),
        seen.deadly_runs.len(),
        late.len(),
        late.join(" ")
    ));
    record.tell(format!("{served} of {} sound requests were served", sound.len()));
    if late.len() > LATE_MAX {
        record.tell("BUDGET: more than three requests with the part reached workers after that");
    }
    if served < sound.len() / 2 {
        println!("cannot run: fewer than half of the sound requests were served");
        std::process::exit(crate::site::EXIT_CANNOT_RUN);
    }
    late.len() > LATE_MAX
}
