//! Machines of the system have been replaced many times before; the names of all of them are in the store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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

/// Zones of the instances.
const ZONES: [&str; 8] =
    ["sohar-a", "sohar-b", "saham-c", "sohar-a", "sohar-b", "saham-c", "sohar-a", "sohar-b"];
/// Machines that were replaced before, and how many of them run at the same time.
const REPLACED: usize = 520;
const GENERATION: usize = 40;
/// Plain services with one worker each.
const SERVICES: usize = 8;
/// Requests a second that each worker says it takes from all machines together.
const LIMIT_PER_S: f64 = 5.0;
/// Requests a second to each service, from all clients together.
const RATE_PER_S: u64 = 64;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(30);
/// Time for which instances are left alone before the load: they send to an announced name for 30 s.
const SETTLE: Duration = Duration::from_secs(34);
/// Time of the load, and the part of it in which the limits need not be kept yet.
const TIME: Duration = Duration::from_secs(14);
const CONTACT: Duration = Duration::from_secs(3);
/// Window in which requests are counted, and what the rule allows in it.
const WINDOW: Duration = Duration::from_secs(4);
const SHARE_MAX: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after an answer with the limit from which on its machine is bound by it.
const BOUND_AFTER: Duration = Duration::from_millis(500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that reached a worker: when, its service and the instance that its client sent it to.
type Arrival = (Instant, usize, usize);

fn worker_id(service: usize) -> String {
    format!("i-p{service:03}")
}

fn handle(
    service: usize,
    arrivals: &Mutex<Vec<Arrival>>,
    record: &Record,
    stream: &mut TcpStream,
    request: &Message,
) -> bool {
    let (id, worker) =
        (request.header("x-lovageridge-attempt-id").unwrap_or(""), worker_id(service));
    if request.header("x-lovageridge-expect-instance").is_some_and(|expected| expected != worker) {
        let headers =
            format!("X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Not-Executed: 1\r\n");
        return stream.write_all(&http::response("421 Misdirected Request", &headers, b"")).is_ok();
    }
    // The id ends with the instance that the client has sent it to.
    let instance = id.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    lock(arrivals).push((Instant::now(), service, instance));
    record.line(format!("worker {worker} gets and runs {id}"));
    thread::sleep(WORK);
    let headers = format!(
        "X-Lovageridge-Attempt-Id: {id}\r\nX-Lovageridge-Server-Seal: {worker}.{id}\r\n\
         Server-Limit: {LIMIT_PER_S}\r\n"
    );
    stream.write_all(&http::response("200 OK", &headers, b"free")).is_ok()
}

fn config() -> String {
    let route = |service: usize| {
        format!(
            "{{\"Name\":\"look-{service}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/look-{service}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,\
             \"Service\":\"app-{service}\",\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false}}"
        )
    };
    let app = |service: usize| {
        format!(
            "{{\"Name\":\"app-{service}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\
             \"Tls\":false}}"
        )
    };
    let routes: Vec<String> = (0..SERVICES).map(route).collect();
    let services: Vec<String> = (0..SERVICES).map(app).collect();
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":10000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the largest number of arrivals in a window.
fn busiest_window(arrivals: &[Instant]) -> usize {
    let count = |start: &Instant| {
        arrivals.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::new(&config());
    let born = unix_ms();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut addrs = Vec::new();
    for service in 0..SERVICES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        addrs.push(listener.local_addr().expect("its address"));
        let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
        http::serve(listener, move |stream, request| {
            handle(service, &arrivals, &record, stream, request)
        });
    }
    let store = site.store.clone();
    let beat = move |sequence: u64| {
        for (service, addr) in addrs.iter().enumerate() {
            let entry = format!(
                "{{\"Service\":\"app-{service}\",\"Address\":\"{addr}\",\"Zone\":\"sohar-a\",\"Version\":\"v1\",\
                 \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", &worker_id(service), entry.as_bytes());
        }
    };
    beat(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            beat(sequence);
        }
    });
    let mut replaced = 0;
    while has_trouble && replaced < REPLACED {
        let count = GENERATION.min(REPLACED - replaced);
        if !site.run_replaced_machines(replaced, count) {
            site.give_up("machines that are to be replaced did not start");
        }
        replaced += count;
    }
    record.tell(format!("{replaced} machines have run before and are gone"));
    site.start_numbered_instances(&ZONES, REPLACED);
    thread::sleep(SETTLE);
    let fronts: Vec<SocketAddr> = site.instances.iter().map(|one| one.front).collect();
    // Time from which each instance is bound by the limit of each service, and when that was first named.
    let bound_from: Arc<Mutex<BTreeMap<(usize, usize), Instant>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let mut clients = Vec::new();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < TIME {
        for service in 0..SERVICES {
            let at = (number + service) % fronts.len();
            let (to, record) = (fronts[at], record.clone());
            let (bound_from, statuses) = (Arc::clone(&bound_from), Arc::clone(&statuses));
            clients.push(thread::spawn(move || {
                let id = format!("l{service}{number:05}-{at}");
                record.line(format!("client sends {id}"));
                let bytes = request("GET", &format!("/look-{service}/{id}"), &id, 4000, "", "");
                let answer = http::send(to, &bytes, Duration::from_secs(4));
                record.line(format!("client gets {} for {id}", answer.status));
                if answer.head.header("server-limit").is_some() {
                    lock(&bound_from).entry((service, at)).or_insert(Instant::now() + BOUND_AFTER);
                }
                *lock(&statuses).entry(answer.status).or_default() += 1;
            }));
        }
        number += 1;
        thread::sleep(Duration::from_micros(1_000_000 / RATE_PER_S));
    }
    for client in clients {
        let _ = client.join();
    }
    site.close();
    let (arrivals, bound_from) = (lock(&arrivals), lock(&bound_from));
    let allowed = SHARE_MAX * LIMIT_PER_S * WINDOW.as_secs_f64() + SLACK;
    let mut is_broken = false;
    for service in 0..SERVICES {
        let named =
            bound_from.iter().filter(|((of, _), _)| *of == service).map(|(_, at)| *at).min();
        let counted = arrivals.iter().filter(|(at, of, instance)| {
            let is_bound = bound_from.get(&(service, *instance)).is_some_and(|bound| at >= bound);
            *of == service && is_bound && named.is_some_and(|named| *at >= named + CONTACT)
        });
        let counted: Vec<Instant> = counted.map(|(at, ..)| *at).collect();
        let most = busiest_window(&counted);
        let is_over = most as f64 > allowed;
        record.tell(format!(
            "{} got at most {most} requests in 4 s, {allowed} are allowed{}",
            worker_id(service),
            if is_over { ": LIMIT" } else { "" }
        ));
        is_broken |= is_over;
    }
    let statuses = lock(&statuses);
    record.tell(format!("answers to clients by status: {statuses:?}"));
    if statuses.get(&200).copied().unwrap_or(0) == 0 {
        println!("cannot run: no request was served");
        std::process::exit(crate::site::EXIT_CANNOT_RUN);
    }
    is_broken
}
