//! A small but complete deployment: stand-ins for the store and the workers, and gateway instances
//! that run the real binary.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform::caller::CallerRequest;
use crate::platform::store::StoreStandIn;
use crate::platform::worker::WorkerSpec;
use crate::platform::worker::WorkerStandIn;
use crate::process::Process;
use crate::process::Workspace;
use crate::process::free_port;

/// Timeout of `wait_for`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Lease in these deployments, in ms; short, so that tests of a takeover run fast.
pub const LEASE_MS: u64 = 800;
/// Number of instances whose addresses differ only in the last byte.
const ADDRESSES_PER_BLOCK: usize = 250;
/// Grace period in which an instance has to stop, in s.
pub const GRACE_S: u64 = 6;

/// Shortest time between a worker's announcement that it leaves and its exit, in ms. An instance that alone reads the
/// store learns up to 1.5 s, the longest wait of a read, less precisely when the store accepted the announcement.
pub const DRAIN_MS: u64 = 4000;

/// A gateway instance that runs as a process.
pub struct Instance {
    /// Process of the real binary.
    pub process: Process,
    /// Address that callers connect to.
    pub callers_addr: SocketAddr,
    /// Address of the readiness check.
    pub ready_addr: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_addr: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
}

/// A running deployment.
pub struct Deployment {
    /// Stand-in for the store.
    pub store: StoreStandIn,
    /// Stand-ins for the workers that `start` was given.
    pub workers: Vec<WorkerStandIn>,
    /// Gateway instances, in the order of their start.
    pub instances: Vec<Instance>,
    binary: PathBuf,
    workspace: Workspace,
    next_is_separate: bool,
}

/// Returns the specification of a plain worker, whose calls take `work_ms`.
pub fn plain_worker(work_ms: u64) -> WorkerSpec {
    WorkerSpec {
        service: "plain".to_owned(),
        domain: "a".to_owned(),
        memory_mb: 0,
        model_mb: 0,
        load_ms: 0,
        models: Vec::new(),
        on_disk: Vec::new(),
        events: 0,
        event_interval_ms: 0,
        work_ms,
    }
}

/// Returns the specification of an engine worker that starts with `models` loaded. Its memory holds
/// two models, and all models are on its disk.
pub fn engine_worker(models: &[&str]) -> WorkerSpec {
    WorkerSpec {
        service: "engine".to_owned(),
        memory_mb: 200,
        model_mb: 90,
        load_ms: 300,
        models: models.iter().map(|name| (*name).to_owned()).collect(),
        on_disk: (0..8).map(|at| format!("m{at}")).collect(),
        events: 10,
        event_interval_ms: 30,
        ..plain_worker(0)
    }
}

/// Returns a route of a configuration, for the paths below `/{name}/`.
pub fn route(name: &str, kind: &str, service: &str, resumable: bool) -> serde_json::Value {
    json!({
        "Name": name, "Host": "site.example", "PathPrefix": format!("/{name}/"),
        "RouteType": kind, "TimeoutMs": 8000, "TargetLatencyMs": 300, "Priority": 0,
        "Service": service, "MaxAttempts": 2, "Sticky": false, "Resumable": resumable,
        "TargetGapMs": 200,
    })
}

/// Returns the routes of a configuration that does not replace them.
pub fn default_routes() -> Vec<serde_json::Value> {
    vec![
        route("look", "idempotent", "plain", false),
        route("book", "non_idempotent", "plain", false),
        route("stream/once", "streaming", "engine", false),
        route("stream/again", "streaming", "engine", true),
    ]
}

/// Returns a configuration; each field of `changes` replaces the top-level field of that name.
pub fn config(version: u64, changes: &serde_json::Value) -> Vec<u8> {
    let model = |at: u32| {
        json!({"Name": format!("m{at}"), "WeightsMb": 90.0, "LoadS": 2.0, "WarmS": 0.3,
               "DiskS": 0.3, "Adapters": 0, "AdapterMb": 0.0})
    };
    let mut text = json!({
        "Version": version,
        "Routes": default_routes(),
        "Services": [
            {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100},
            {"Name": "engine", "HealthPath": "/healthz", "MaxConns": 100, "Engine": {
                "Slots": 8, "WeightsMb": 200.0, "AdapterSlots": 0, "LoadsPerS": 4.0,
                "Models": (0..8).map(model).collect::<Vec<_>>()}},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000,
                   "IdleTimeoutMs": 2000},
    });
    if let Some(changes) = changes.as_object() {
        for (key, value) in changes {
            text[key] = value.clone();
        }
    }
    text.to_string().into_bytes()
}

/// Waits until `holds` returns true; returns false after a timeout.
pub fn wait_for(mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

impl Deployment {
    /// Starts a store with a configuration, these workers and a number of gateway instances, and
    /// waits until the instances are ready.
    ///
    /// # Errors
    /// Fails when one of them cannot be started or an instance does not become ready.
    pub fn start(
        binary: impl Into<PathBuf>,
        workers: Vec<(&str, WorkerSpec)>,
        instances: usize,
    ) -> Result<Self, anyhow::Error> {
        let store = StoreStandIn::start()?;
        store.put("keyed.op", "config", &config(1, &json!({})));
        let workers = workers.into_iter().map(|(id, spec)| WorkerStandIn::start(id, spec));
        let mut deployment = Self {
            store,
            workers: workers.collect::<Result<_, _>>()?,
            instances: Vec::new(),
            binary: binary.into(),
            workspace: Workspace::new()?,
            next_is_separate: false,
        };
        for worker in &deployment.workers {
            deployment.announce(worker, "ready");
        }
        for at in 0..instances {
            deployment.add_instance(&format!("edge-{at}"))?;
        }
        for instance in &deployment.instances {
            anyhow::ensure!(wait_for(|| instance.is_ready()), "an instance did not become ready");
        }
        Ok(deployment)
    }

    /// Writes a worker's record with this state to the store.
    pub fn announce(&self, worker: &WorkerStandIn, state: &str) {
        self.store.put("keyed.servers", worker.id(), &worker.record(state));
    }

    /// Starts an additional instance; it finds its peers through the first one.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn add_instance(&mut self, name: &str) -> Result<(), anyhow::Error> {
        self.add_instance_with_store(name, self.store.addr())
    }

    /// Starts an additional instance that connects to the store at `store`, for example through a
    /// relay.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn add_instance_with_store(
        &mut self,
        name: &str,
        store: SocketAddr,
    ) -> Result<(), anyhow::Error> {
        let port = || free_port().map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
        let (callers, ready) = (port()?, port()?);
        // Every instance has its own IP address, since all peers use the same port number.
        let number = self.instances.len();
        let (block, place) = (number / ADDRESSES_PER_BLOCK, number % ADDRESSES_PER_BLOCK);
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, block as u8, 2 + place as u8));
        let peers_port = match self.instances.last() {
            Some(last) if !self.next_is_separate => last.metrics_addr.port() - 1,
            _ => free_port_pair()?,
        };
        self.next_is_separate = false;
        let text = format!(
            "NodeName={name}\nZone=a\nIp={ip}\nListen.Front={callers}\nListen.Ready={ready}\n\
             InternalPorts={peers_port},{}\nSeeds=127.0.0.2:1\nPlatform.Address={store}\n\
             Bounds.LeaseMs={LEASE_MS}\nBounds.GraceS={GRACE_S}\nBounds.RequireFence=true\n\
             Bounds.BudgetSlack=50\nBounds.DrainMs={DRAIN_MS}\n",
            peers_port + 8
        );
        let settings_file = self.workspace.write(&format!("{name}.conf"), &text)?;
        let log_file = self.workspace.path().join(format!("{name}.log"));
        let process = start_gateway(&self.binary, &settings_file, &log_file)?;
        let metrics = SocketAddr::new(ip, peers_port + 1);
        let instance = Instance {
            process,
            callers_addr: callers,
            ready_addr: ready,
            metrics_addr: metrics,
            settings_file,
            log_file,
        };
        self.instances.push(instance);
        Ok(())
    }

    /// Makes the instances that are added from now on unknown to the earlier ones, and the reverse, as
    /// if their links were cut; all of them reach the store.
    pub fn separate_next_instances(&mut self) {
        for at in 0..self.instances.len() {
            self.store.put("keyed.peers", &format!("edge-{at}"), b"");
        }
        self.next_is_separate = true;
    }

    /// Starts an instance again that has exited.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn restart(&mut self, at: usize) -> Result<(), anyhow::Error> {
        let instance = &mut self.instances[at];
        instance.process =
            start_gateway(&self.binary, &instance.settings_file, &instance.log_file)?;
        Ok(())
    }

    /// Sets `key` in the settings file of an instance, without a signal to the process.
    ///
    /// # Errors
    /// Fails when the file cannot be read or written.
    pub fn change_settings(&self, at: usize, key: &str, value: &str) -> Result<(), anyhow::Error> {
        let path = &self.instances[at].settings_file;
        let text = std::fs::read_to_string(path)?;
        let start = format!("{key}=");
        let kept = text.lines().filter(|line| !line.starts_with(&start));
        let lines: Vec<String> =
            kept.map(str::to_owned).chain([format!("{start}{value}")]).collect();
        std::fs::write(path, lines.join("\n"))?;
        Ok(())
    }

    /// Returns the worker with this id, which has to exist.
    pub fn worker(&self, id: &str) -> &WorkerStandIn {
        let found = self.workers.iter().find(|worker| worker.id() == id);
        found.expect("a worker of the deployment")
    }

    /// Returns the index of the instance that reports to be the lead, if any does.
    pub fn lead(&self) -> Option<usize> {
        self.instances.iter().position(|instance| instance.metric("gateway_leads ") == Some(1.0))
    }

    /// Kills the instances and stops the stand-ins.
    pub fn close(mut self) {
        for instance in &mut self.instances {
            instance.process.kill();
        }
        for worker in self.workers {
            worker.close();
        }
        self.store.close();
        self.workspace.close();
    }
}

/// Returns the lower of two consecutive free ports, which no other deployment gets.
fn free_port_pair() -> Result<u16, anyhow::Error> {
    let mut lower = free_port()?;
    loop {
        let upper = free_port()?;
        if upper == lower + 1 {
            return Ok(lower);
        }
        lower = upper;
    }
}

fn start_gateway(binary: &Path, settings: &Path, log: &Path) -> Result<Process, anyhow::Error> {
    let arguments = ["gateway".to_owned(), "--settings".to_owned(), settings.display().to_string()];
    Process::start_command(binary, &arguments, log)
}

impl Instance {
    /// Returns whether the readiness check of the instance succeeds.
    pub fn is_ready(&self) -> bool {
        let request = CallerRequest::get("/lovageridge/readiness", "ready");
        request.send(self.ready_addr).is_ok_and(|response| response.status_code == 200)
    }

    /// Returns the value of the first metric whose line starts with `start`; `None` if there is none
    /// or the metrics cannot be read.
    pub fn metric(&self, start: &str) -> Option<f64> {
        let response = CallerRequest::get("/metrics", "metrics").send(self.metrics_addr).ok()?;
        let line = response.body.lines().find(|line| line.starts_with(start))?.to_owned();
        line.rsplit(' ').next()?.parse().ok()
    }
}
