//! A small deployment on loopback addresses: the store, gateway instances as processes, and what a script
//! records of them.

use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "site.example";
/// Longest time until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two readiness probes of the balancer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Topic in which instances publish their names and addresses.
const PEERS_TOPIC: &str = "keyed.peers";

/// Exit status of a script that could not run.
pub const EXIT_CANNOT_RUN: i32 = 2;

/// What a script sent, got and ran, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Begins the record in the folder of the case.
    pub fn start(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A gateway instance.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address that clients connect to.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A deployment. Dropping it ends its processes and removes its files.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Instances in the order of their start.
    pub instances: Vec<Instance>,
    folder: PathBuf,
    internal_port: u16,
}

/// Returns the current Unix time, in ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a free port of an address.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

fn instance_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 11 + number as u8)
}

/// Returns a port that is free, with the next one, on the addresses of all instances.
fn internal_port(count: usize) -> u16 {
    loop {
        let port = free_port(instance_ip(0)) & !1;
        let is_free = |ip: Ipv4Addr, port: u16| TcpListener::bind((ip, port)).is_ok();
        if (0..count).all(|at| is_free(instance_ip(at), port) && is_free(instance_ip(at), port + 1))
        {
            return port;
        }
    }
}

impl Site {
    /// Starts the store with a configuration; instances follow with [`Self::start_instances`].
    pub fn new(config: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("lovageridge-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        store.put("keyed.op", "config", config.as_bytes());
        Self { store, instances: Vec::new(), folder, internal_port: internal_port(12) }
    }

    /// Starts one instance for each zone in `zones` and waits until all are ready.
    pub fn start_instances(&mut self, zones: &[&str]) {
        for zone in zones {
            let number = self.instances.len();
            let instance =
                self.instance(format!("edge-{zone}-{number}"), zone, instance_ip(number));
            self.instances.push(instance);
        }
        self.start_and_wait();
    }

    /// The same, with instances that are numbered from `first` on.
    pub fn start_numbered_instances(&mut self, zones: &[&str], first: usize) {
        for zone in zones {
            let number = self.instances.len();
            let name = format!("edge-{:04}", first + number);
            let instance = self.instance(name, zone, instance_ip(number));
            self.instances.push(instance);
        }
        self.start_and_wait();
    }

    /// Runs `count` instances that are numbered from `first` on until the store has their names, and then kills
    /// them; returns whether it got the names.
    pub fn run_replaced_machines(&mut self, first: usize, count: usize) -> bool {
        let known = self.store.key_count(PEERS_TOPIC);
        let ip = |at: usize| Ipv4Addr::new(127, 0, 1, 1 + at as u8);
        let machines = (0..count)
            .map(|at| self.instance(format!("edge-{:04}", first + at), "sohar-a", ip(at)));
        let mut machines: Vec<Instance> = machines.collect();
        machines.iter_mut().for_each(Instance::start);
        let until = Instant::now() + READY_TIMEOUT;
        while self.store.key_count(PEERS_TOPIC) < known + count && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        machines.iter_mut().for_each(Instance::kill);
        self.store.key_count(PEERS_TOPIC) == known + count
    }

    fn instance(&self, name: String, zone: &str, ip: Ipv4Addr) -> Instance {
        let (front, ready) = self.free_ports(ip);
        let (port, last_port) = (self.internal_port, self.internal_port + 15);
        let seeds: Vec<String> = (0..3).map(|at| format!("{}:8144", instance_ip(at))).collect();
        // The settings of an installation with three zones, as the users' pages list them.
        let text = format!(
            "NodeName={name}\nRole=gateway\nMachineClass=edge\nServes=edge,control_plane\nIp={ip}\nZone={zone}\n\
             Region=om-north\nListen.Front={ip}:{front}\nListen.Ready={ip}:{ready}\nListen.Control={ip}:8144\n\
             InternalPorts={port},{last_port}\nSeeds={}\nBootstrap=true\nLimits.CpuShare=0.25\nLimits.Cores=1\n\
             Limits.MemoryMb=260\nLimits.MaxFds=4100\nDiscovery=platform\nEntry=vip\nBeatIntervalMs=1200\n\
             Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.DowngradeMs=250\nBounds.OuterMs=5000\n\
             Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetSlack=56\nBounds.RecoveryS=12\n\
             Bounds.PassMs=120\nBounds.RetryAfterS=0\nBounds.RequireFence=true\nBounds.LeaseMs=3000\n\
             Bounds.ThawMs=300\nBounds.CeilingWindowS=5\nBounds.CeilingOvershoot=1.1\nPlatform.Address={}\n\
             Platform.form=log\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.parts=32\n\
             Platform.keep_s=300\nPlatform.PartMb=200\nPlatform.TtlMinMs=1000\n",
            seeds.join(","),
            self.store.addr
        );
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("settings can be written");
        Instance {
            front: SocketAddr::new(IpAddr::V4(ip), front),
            ready: SocketAddr::new(IpAddr::V4(ip), ready),
            log: self.folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        }
    }

    /// Returns two free ports of an address that are none of those between instances.
    fn free_ports(&self, ip: Ipv4Addr) -> (u16, u16) {
        let internal = self.internal_port..=self.internal_port + 15;
        loop {
            // Both are open at the same time, so that they differ.
            let listen = || TcpListener::bind((ip, 0)).expect("a free port");
            let (first, second) = (listen(), listen());
            let port = |listener: &TcpListener| listener.local_addr().expect("its address").port();
            let (first, second) = (port(&first), port(&second));
            if !internal.contains(&first) && !internal.contains(&second) {
                return (first, second);
            }
        }
    }

    fn start_and_wait(&mut self) {
        self.instances.iter_mut().filter(|one| one.child.is_none()).for_each(Instance::start);
        let until = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(Instance::is_ready) {
            if Instant::now() > until {
                self.give_up("the instances did not become ready");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Ends the script because the case cannot run.
    pub fn give_up(&mut self, reason: &str) -> ! {
        println!("cannot run: {reason}");
        self.close();
        std::process::exit(EXIT_CANNOT_RUN);
    }

    /// Ends all processes and removes the files of the run.
    pub fn close(&mut self) {
        let keep = std::env::var("KEEP_LOGS").ok();
        for instance in &mut self.instances {
            instance.kill();
            if let Some(folder) = &keep {
                let _ = std::fs::copy(
                    &instance.log,
                    Path::new(folder).join(format!("{}.log", instance.name)),
                );
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.close();
    }
}

impl Instance {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new("target/release/lovageridge")
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LOVAGERIDGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                println!("cannot run: target/release/lovageridge does not start: {error}");
                std::process::exit(EXIT_CANNOT_RUN);
            }
        }
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns whether the readiness check at an address succeeds.
pub fn is_ready(addr: SocketAddr) -> bool {
    let request = b"GET /lovageridge/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
    http::send(addr, request, Duration::from_millis(500)).status == 200
}

/// The balancer: it probes the readiness of the instances once a second and takes those out of rotation that
/// have missed two probes in a row.
pub struct Balancer {
    in_rotation: Vec<AtomicBool>,
    misses: AtomicUsize,
}

impl Balancer {
    /// Starts to probe the instances, which are ready.
    pub fn start(instances: &[Instance], record: &Record) -> Arc<Self> {
        let in_rotation = instances.iter().map(|_| AtomicBool::new(true)).collect();
        let balancer = Arc::new(Self { in_rotation, misses: AtomicUsize::new(0) });
        for (at, instance) in instances.iter().enumerate() {
            let (balancer, record) = (Arc::clone(&balancer), record.clone());
            let (addr, name) = (instance.ready, instance.name.clone());
            std::thread::spawn(move || balancer.probe(at, addr, &name, &record));
        }
        balancer
    }

    fn probe(&self, at: usize, addr: SocketAddr, name: &str, record: &Record) {
        let mut misses = 0;
        loop {
            let next = Instant::now() + PROBE_INTERVAL;
            if is_ready(addr) {
                misses = 0;
            } else {
                misses += 1;
                self.misses.fetch_add(1, Ordering::SeqCst);
                record.line(format!("{name} misses a readiness probe"));
            }
            self.in_rotation[at].store(misses < 2, Ordering::SeqCst);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    /// Returns the instance for a new connection of a client in the zone of the instance `home`, which is the
    /// only one there.
    pub fn choose(&self, home: usize) -> usize {
        let count = self.in_rotation.len();
        let is_in = |at: &usize| self.in_rotation[*at].load(Ordering::SeqCst);
        (0..count).map(|step| (home + step) % count).find(is_in).unwrap_or(home)
    }

    /// Returns the number of missed probes.
    pub fn misses(&self) -> usize {
        self.misses.load(Ordering::SeqCst)
    }
}

/// Ends this process, a worker that a script has started, as soon as the script has ended.
pub fn exit_with_script() {
    std::thread::spawn(|| {
        // The script holds the other end of the standard input and writes nothing.
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Sends a signal by its name to a process that this script has started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
}

/// Returns the lines of a request of a client, with its body.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
         X-Lovageridge-Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
