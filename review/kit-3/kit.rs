//! Parts that the scripts of this review share: instances of the deploy file and workers as processes, a worker that is
//! scripted by a closure, the platform's store, and the record of a run. Needs the standard library only.
#![allow(dead_code)]

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Record of what was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record in the file that the first argument of the program names.
    pub fn create() -> Arc<Self> {
        exit_on_panic();
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.now_ms());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ids of the processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that has been started, so that it ends with the program.
pub fn on_started(pid: u32) {
    PROCESSES.lock().unwrap().push(pid);
}

/// Notes that a process has ended and was waited for.
pub fn on_ended(pid: u32) {
    PROCESSES.lock().unwrap().retain(|known| *known != pid);
}

/// Ends all processes that are left.
fn end_processes() {
    let pids = PROCESSES.try_lock().map(|pids| pids.clone()).unwrap_or_default();
    for pid in pids {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// Makes a panic of any thread end the program as a case that could not run.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        end_processes();
        std::process::exit(2);
    }));
}

/// Ends the program with the result of the case: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, is_broken: bool) -> ! {
    end_processes();
    record.line(if is_broken { "RESULT the rule is broken" } else { "RESULT the rule holds" });
    std::process::exit(i32::from(is_broken))
}

/// Ends the program as a case that could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    end_processes();
    record.line(&format!("RESULT the case could not run: {why}"));
    std::process::exit(2)
}

/// Returns the wall-clock time in ms since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a free port of the loopback address.
pub fn free_port() -> u16 {
    free_port_of(Ipv4Addr::LOCALHOST)
}

fn free_port_of(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Returns the loopback address of an instance; runs at the same time have different ones.
fn instance_ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 100 + (pid % 100) as u8, (pid / 100 % 250) as u8, 10 + number)
}

/// A gateway instance as a process.
pub struct Instance {
    /// Name.
    pub name: String,
    /// Process; `None` after it has exited.
    pub child: Option<Child>,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// Settings that all instances of a run share.
pub struct Fleet {
    dir: PathBuf,
    internal_port: u16,
    store: SocketAddr,
    /// Further lines of the settings file; they replace earlier ones of the same key.
    pub extra: String,
    count: u8,
}

impl Fleet {
    /// Returns settings for instances that use this store, with files in a temporary folder.
    pub fn new(store: SocketAddr) -> Self {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        Self {
            dir,
            internal_port: free_port_of(instance_ip(0)),
            store,
            extra: String::new(),
            count: 0,
        }
    }

    /// Starts an instance in this zone.
    pub fn start(&mut self, zone: &str) -> Instance {
        let number = self.count;
        self.count += 1;
        let name = format!("edge-{zone}-{number}");
        let ip = instance_ip(number);
        let front = SocketAddr::from((ip, free_port_of(ip)));
        let ready = SocketAddr::from((ip, free_port_of(ip)));
        let port = self.internal_port;
        let text = format!(
            "NodeName={name}\nRole=gateway\nMachineClass=edge\nServes=edge,control_plane\nIp={ip}\nZone={zone}\n\
             Listen.Front={front}\nListen.Ready={ready}\nInternalPorts={port},{}\nSeeds={}:8144\n\
             Bootstrap=true\nLimits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
             BeatIntervalMs=1200\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.DowngradeMs=250\n\
             Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetSlack=56\nBounds.RequireFence=true\n\
             Bounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.CeilingWindowS=5\nBounds.CeilingOvershoot=1.1\n\
             Platform.Address={}\nPlatform.form=log\n{}",
            port + 15,
            instance_ip(0),
            self.store,
            self.extra
        );
        let settings = self.dir.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = self.dir.join(format!("{name}.log"));
        let mut instance = Instance { name, child: None, front, ready, settings, log };
        instance.run();
        instance
    }

    /// Removes the temporary folder, unless KEEP is set.
    pub fn close(self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Instance {
    /// Starts the process, as the deploy file does.
    pub fn run(&mut self) {
        let open = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new("target/release/lovageridge")
            .arg("gateway")
            .env("LOVAGERIDGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(open.try_clone().expect("a log file"))
            .stderr(open)
            .spawn()
            .expect("the program of the deploy file starts");
        on_started(child.id());
        self.child = Some(child);
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(signal).arg(self.pid().to_string()).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            on_ended(child.id());
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let text = "GET /lovageridge/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, text.as_bytes(), Duration::from_secs(1)).starts_with(b"HTTP/1.1 200")
    }

    /// Waits until the readiness check succeeds; returns whether it did.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends bytes on a new connection and returns what is received until its end or for `limit`.
pub fn exchange(to: SocketAddr, bytes: &[u8], limit: Duration) -> Vec<u8> {
    let mut received = Vec::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, limit) else { return received };
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(bytes).is_ok() {
        let _ = stream.read_to_end(&mut received);
    }
    received
}

/// A request as a worker receives it.
pub struct Received {
    /// Method, path and version.
    pub line: String,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Received {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the path with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the id of the client attempt.
    pub fn id(&self) -> &str {
        self.header("x-lovageridge-attempt-id")
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut request = Received { line, headers, body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16384];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

/// Starts a worker; `handler` answers a request and returns whether the connection stays open.
pub fn start_worker(
    handler: impl Fn(&mut TcpStream, &Received) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    start_connection_worker(move |stream| serve(stream, &handler))
}

/// Starts a worker; `handler` serves a connection.
pub fn start_connection_worker(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, handler: &impl Fn(&mut TcpStream, &Received) -> bool) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if !handler(&mut stream, &request) {
            return;
        }
    }
}

/// Returns the head of a worker's answer, without the empty line at its end.
pub fn answer_head(request: &Received, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Lovageridge-Attempt-Id: {}\r\nX-Lovageridge-Server-Seal: seal-{}\r\n",
        request.id(),
        request.id()
    )
}

/// Returns the record of a worker of a plain service.
pub fn worker_record(
    service: &str,
    zone: &str,
    addr: SocketAddr,
    state: &str,
    slots: u32,
) -> Vec<u8> {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
         \"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":{}}}",
        1_700_000_000_000_u64
    )
    .into_bytes()
}

/// Returns a route.
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    aim_ms: u64,
    attempts: u32,
    more: &str,
) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"site.example\",\"PathPrefix\":\"/{name}/\",\"RouteType\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{aim_ms},\"Priority\":0,\"Service\":\"{service}\",\
         \"MaxAttempts\":{attempts},\"Sticky\":false,\"Resumable\":false,\"TargetGapMs\":250{more}}}"
    )
}

/// Returns a configuration with these routes and services, each as JSON, and limits.
pub fn config(version: u64, routes: &[String], services: &[&str], limits: &str) -> Vec<u8> {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{limits}}}",
        routes.join(","),
        services.join(",")
    )
    .into_bytes()
}

/// Limits as in the installations.
pub const LIMITS: &str = "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";

/// A worker that runs as a process of the same program, with the arguments `worker ID PORT`.
pub struct WorkerProcess {
    /// Id, which it keeps over a new start.
    pub id: String,
    /// Port that it listens on.
    pub port: u16,
    child: Option<Child>,
}

impl WorkerProcess {
    /// Returns a worker that is not started yet.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), port: free_port(), child: None }
    }

    /// Starts the process. What it prints goes into the record and to `on_line`.
    pub fn start(&mut self, record: &Arc<Record>, on_line: impl Fn(&str) + Send + 'static) {
        let program = std::env::current_exe().expect("the program");
        let mut child = Command::new(program)
            .args(["worker", &self.id, &self.port.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the worker starts");
        on_started(child.id());
        let output = child.stdout.take().expect("its output");
        self.child = Some(child);
        let record = Arc::clone(record);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&line);
                on_line(&line);
            }
        });
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            on_ended(child.id());
        }
    }
}

/// Returns the id and the port if this process is a worker of a case; such a process ends with its parent.
pub fn worker_arguments() -> Option<(String, u16)> {
    let arguments: Vec<String> = std::env::args().collect();
    let port = arguments.get(3).filter(|_| arguments[1] == "worker")?.parse().ok()?;
    thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    Some((arguments[2].clone(), port))
}

/// Serves the connections of a worker's port until the process ends.
pub fn serve_port(port: u16, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("the port");
    let handler = Arc::new(handler);
    for stream in listener.incoming().flatten() {
        let handler = Arc::clone(&handler);
        let _ = stream.set_nodelay(true);
        thread::spawn(move || handler(stream));
    }
}

/// A topic of the store with one partition.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    // Key, value and offset of the newest record of each key, sorted by key.
    newest: Vec<(String, Vec<u8>, usize)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && !record.is_empty() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            self.newest.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                self.newest.push((key, value.to_vec(), self.records.len()));
                self.newest.sort();
            }
        }
        self.records.push(record);
    }
}

/// The platform's store: logs with conditional appends, and the newest record of each key of a keyed topic.
pub struct Store {
    addr: SocketAddr,
    shared: Arc<StoreState>,
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<Vec<(String, Topic)>>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let shared = Arc::new(StoreState::default());
        let state = Arc::clone(&shared);
        let addr = start_worker(move |stream, call| state.answer(stream, call));
        Self { addr, shared }
    }

    /// Returns the address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a keyed record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.shared.with_topic(topic, |topic| topic.append(record, true));
        self.shared.changed.notify_all();
    }
}

impl StoreState {
    fn with_topic<T>(&self, name: &str, change: impl FnOnce(&mut Topic) -> T) -> T {
        change(topic_of(&mut self.topics.lock().unwrap(), name))
    }

    fn answer(&self, stream: &mut TcpStream, call: &Received) -> bool {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let number = |name: &str| value(name).and_then(|text| text.parse::<usize>().ok());
        let topic = value("Topic").unwrap_or_default();
        let (status, body) = match path {
            "/lovageridge/log-append" => self.append(&topic, number("At"), &call.body),
            "/lovageridge/log-read" => {
                self.read(&topic, number("From").unwrap_or(0), number("WaitMs").unwrap_or(0))
            }
            "/lovageridge/log-newest" => (200, self.newest(&topic, value("after").as_deref())),
            _ => (404, b"{}".to_vec()),
        };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_ok()
    }

    fn append(&self, name: &str, at: Option<usize>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let result = self.with_topic(name, |topic| {
            let offset = topic.records.len();
            if at.is_some_and(|at| at != offset) {
                return (412, format!("{{\"EndOffset\":{offset}}}").into_bytes());
            }
            while body.len() >= 4 {
                let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                let end = (4 + length).min(body.len());
                topic.append(body[4..end].to_vec(), name.starts_with("keyed."));
                body = &body[end..];
            }
            let end = topic.records.len();
            (200, format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}").into_bytes())
        });
        self.changed.notify_all();
        result
    }

    fn read(&self, name: &str, from: usize, wait_ms: usize) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topic_of(&mut topics, name).records.len();
            if from > end {
                return (410, b"{\"FirstOffset\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let topic = topic_of(&mut topics, name);
        let mut bytes = (topic.records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for record in &topic.records[from..] {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        (200, bytes)
    }

    fn newest(&self, name: &str, after: Option<&str>) -> Vec<u8> {
        self.with_topic(name, |topic| {
            let rows = topic
                .newest
                .iter()
                .filter(|(key, _, _)| after.is_none_or(|after| key.as_str() > after));
            let items: Vec<String> = rows
                .map(|(key, value, offset)| {
                    format!(
                        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                        base64(value)
                    )
                })
                .collect();
            let end = topic.records.len();
            format!("{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{end}}}", items.join(","))
                .into_bytes()
        })
    }
}

fn topic_of<'a>(topics: &'a mut Vec<(String, Topic)>, name: &str) -> &'a mut Topic {
    let at = match topics.iter().position(|(known, _)| known == name) {
        Some(at) => at,
        None => {
            topics.push((name.to_owned(), Topic::default()));
            topics.len() - 1
        }
    };
    &mut topics[at].1
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
