//! A deployment with a relay on each link that can fail, and the injection of faults into it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform::deployment::Deployment;
use crate::platform::deployment::config;
use crate::platform::deployment::default_routes;
use crate::platform::deployment::engine_worker;
use crate::platform::deployment::plain_worker;
use crate::platform::deployment::route;
use crate::platform::deployment::wait_for;
use crate::platform::store::Behavior as StoreBehavior;
use crate::platform::worker::Behavior as WorkerBehavior;
use crate::platform::worker::WorkerSpec;
use crate::platform::worker::WorkerStandIn;
use crate::relay::Mode;
use crate::relay::Relay;
use crate::soak::callers::CRASHING_PART;
use crate::soak::check::FaultPeriod;
use crate::soak::check::StatedLimit;
use crate::soak::check::WorkerObservations;
use crate::soak::plan::DeploymentSize;
use crate::soak::plan::Fault;
use crate::soak::plan::Step;

/// Time limit of the routes, in ms.
pub const ROUTE_TIMEOUT_MS: u64 = 3_000;
/// Number of plain workers; they have the lower indices.
const PLAIN_WORKERS: usize = 2;
/// Number of engine workers.
const ENGINE_WORKERS: usize = 3;
/// Time that a plain worker takes for a call, in ms.
const WORK_MS: u64 = 20;
/// Largest difference between two successive versions of the configuration, which are not numbered
/// consecutively.
const MAX_VERSION_STEP: u64 = 3;
/// Minimum time from a worker's announcement that it leaves to its end: the 2 s for which it may
/// still get requests, plus the time limit of a request.
const LEAVING_TIME: Duration = Duration::from_millis(2_000 + ROUTE_TIMEOUT_MS);

/// Time for which a worker is down after a crash that a request has caused.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// A worker and the relay in front of it; restarts and replacements of the worker stay in the slot.
struct WorkerSlot {
    worker: WorkerStandIn,
    relay: Relay,
    // Number of replacements so far, which is part of the worker's id.
    replacements: usize,
    leaving_since: Option<Instant>,
    // Number of active faults of the link; a crash counts as one.
    active_faults: usize,
    // Whether a request has crashed the worker, and it is not back yet.
    is_down: bool,
    active_limits: usize,
    limits: Vec<StatedLimit>,
}

impl WorkerSlot {
    fn start(at: usize, replacements: usize, spec: WorkerSpec) -> Result<Self, anyhow::Error> {
        let worker = WorkerStandIn::start(&worker_id(at, replacements), spec)?;
        worker.crash_on_part(CRASHING_PART, DOWN_TIME);
        Ok(Self {
            relay: Relay::start(worker.addr())?,
            worker,
            replacements,
            leaving_since: None,
            active_faults: 0,
            is_down: false,
            active_limits: 0,
            limits: Vec::new(),
        })
    }

    fn state_limit(&mut self, per_s: Option<f64>) {
        self.worker.set_limit(per_s.map(|per_s| per_s.to_string()).as_deref());
        self.limits.push(StatedLimit { per_s, since: Instant::now() });
    }

    fn observations(&self) -> WorkerObservations {
        WorkerObservations {
            id: self.worker.id().to_owned(),
            runs: self.worker.runs(),
            fences: self.worker.fences(),
            peak_mb: self.worker.peak_mb(),
            leaving_since: self.leaving_since,
            limits: self.limits.clone(),
        }
    }
}

/// Relays of an instance and the number of active faults of each kind.
struct InstanceLinks {
    store: Relay,
    callers: Relay,
    store_link_faults: usize,
    caller_link_faults: usize,
    pending_restarts: usize,
    active_pauses: usize,
}

/// A running deployment into which faults can be injected.
pub struct Site {
    deployment: Deployment,
    links: Vec<InstanceLinks>,
    worker_slots: Vec<WorkerSlot>,
    // Workers that crashed or left; their observations are still checked.
    retired_slots: Vec<WorkerSlot>,
    active_store_faults: usize,
    /// Periods of faults and planned work so far.
    pub fault_periods: Vec<FaultPeriod>,
    /// Versions of the configuration with the time at which the store acknowledged them.
    pub config_versions: Vec<(u64, Instant)>,
    /// Index and time of each start of an instance.
    pub instance_starts: Vec<(usize, Instant)>,
    /// Indices of instances that exited although they were not stopped.
    pub unexpected_exits: Vec<usize>,
}

impl Site {
    /// Starts a deployment with this number of instances and waits until they are ready.
    ///
    /// # Errors
    /// Fails when a stand-in, a relay or an instance cannot be started or does not become ready.
    pub fn start(binary: &Path, instances: usize) -> Result<Self, anyhow::Error> {
        let deployment = Deployment::start(binary, Vec::new(), 0)?;
        let mut site = Self {
            deployment,
            links: Vec::new(),
            worker_slots: Vec::new(),
            retired_slots: Vec::new(),
            active_store_faults: 0,
            fault_periods: Vec::new(),
            config_versions: Vec::new(),
            instance_starts: Vec::new(),
            unexpected_exits: Vec::new(),
        };
        site.write_config(1);
        for at in 0..PLAIN_WORKERS + ENGINE_WORKERS {
            site.worker_slots.push(WorkerSlot::start(at, 0, worker_spec(at))?);
            site.announce(at, "ready");
        }
        for at in 0..instances {
            let store = Relay::start(site.deployment.store.addr())?;
            site.deployment.add_instance_with_store(&format!("edge-{at}"), store.addr())?;
            let callers = Relay::start(site.deployment.instances[at].callers_addr)?;
            site.instance_starts.push((at, Instant::now()));
            site.links.push(InstanceLinks {
                store,
                callers,
                store_link_faults: 0,
                caller_link_faults: 0,
                pending_restarts: 0,
                active_pauses: 0,
            });
        }
        for instance in &site.deployment.instances {
            let ready = wait_for(|| instance.is_ready());
            anyhow::ensure!(ready, "an instance did not become ready");
        }
        Ok(site)
    }

    /// Returns the numbers of instances and workers.
    pub fn size(&self) -> DeploymentSize {
        DeploymentSize { instances: self.links.len(), workers: self.worker_slots.len() }
    }

    /// Returns the address that callers connect to, for each instance.
    pub fn ports(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|links| links.callers.addr()).collect()
    }

    /// Begins the fault of a step and records its period.
    ///
    /// # Errors
    /// Never fails at present; returns a result like `end_fault`.
    pub fn begin_fault(&mut self, step: &Step) -> Result<(), anyhow::Error> {
        let from = Instant::now();
        match step.fault {
            Fault::Terminate(at) => {
                self.links[at].pending_restarts += 1;
                self.deployment.instances[at].process.terminate();
            }
            Fault::Kill(at) => {
                self.links[at].pending_restarts += 1;
                self.deployment.instances[at].process.kill();
            }
            Fault::Pause(at) => {
                self.links[at].active_pauses += 1;
                self.deployment.instances[at].process.pause();
            }
            Fault::ReloadSettings(at) => self.deployment.instances[at].process.hang_up(),
            Fault::Configure => {
                let newest = self.config_versions.last().map_or(1, |(version, _)| *version);
                self.write_config(newest + 1 + step.duration_ms % MAX_VERSION_STEP);
            }
            Fault::ReplaceWorker(at) => self.start_leaving(at),
            Fault::CrashWorker(at) => self.crash_worker(at),
            Fault::StoreLink(at, mode) => {
                self.links[at].store_link_faults += 1;
                self.links[at].store.set_mode(mode);
            }
            Fault::CallerLink(at, mode) => {
                self.links[at].caller_link_faults += 1;
                self.links[at].callers.set_mode(mode);
            }
            Fault::WorkerLink(at, mode) => {
                self.worker_slots[at].active_faults += 1;
                self.worker_slots[at].relay.set_mode(mode);
            }
            Fault::WorkerBehavior(at, behavior) => {
                self.worker_slots[at].worker.set_behavior(behavior)
            }
            Fault::Store(behavior) => self.begin_store_fault(behavior),
            Fault::TruncateHistory => {
                self.deployment.store.truncate_history("keyed.op");
                self.deployment.store.truncate_history("keyed.servers");
            }
            // Callers send such requests while the fault lasts.
            Fault::CrashingPart => {}
            Fault::LimitWorker(at, per_10_s) => {
                self.worker_slots[at].active_limits += 1;
                self.worker_slots[at].state_limit(Some(f64::from(per_10_s) / 10.0));
            }
            Fault::ExpireWorkers => {
                self.begin_store_fault(StoreBehavior::Unavailable);
                for slot in &self.worker_slots {
                    self.deployment.store.put("keyed.servers", slot.worker.id(), b"");
                }
            }
        }
        let to = from + Duration::from_millis(step.duration_ms);
        self.fault_periods.push(FaultPeriod { fault: step.fault, from, to });
        Ok(())
    }

    /// Removes the fault of a step, unless another step still keeps it active.
    ///
    /// # Errors
    /// Fails when an instance or a worker cannot be started again.
    pub fn end_fault(&mut self, step: &Step) -> Result<(), anyhow::Error> {
        match step.fault {
            Fault::Terminate(at) | Fault::Kill(at) => {
                self.links[at].pending_restarts -= 1;
                if self.links[at].pending_restarts == 0 {
                    self.restart_instance(at)?;
                }
            }
            Fault::Pause(at) => {
                self.links[at].active_pauses -= 1;
                if self.links[at].active_pauses == 0 {
                    self.deployment.instances[at].process.resume();
                }
            }
            Fault::StoreLink(at, _) => {
                self.links[at].store_link_faults -= 1;
                if self.links[at].store_link_faults == 0 {
                    self.links[at].store.set_mode(Mode::Pass);
                }
            }
            Fault::CallerLink(at, _) => {
                self.links[at].caller_link_faults -= 1;
                if self.links[at].caller_link_faults == 0 {
                    self.links[at].callers.set_mode(Mode::Pass);
                }
            }
            Fault::WorkerLink(at, _) => {
                self.worker_slots[at].active_faults =
                    self.worker_slots[at].active_faults.saturating_sub(1);
                if self.worker_slots[at].active_faults == 0 {
                    self.worker_slots[at].relay.set_mode(Mode::Pass);
                }
            }
            Fault::WorkerBehavior(at, _) => {
                self.worker_slots[at].worker.set_behavior(WorkerBehavior::Normal)
            }
            Fault::CrashWorker(at) => self.start_worker(at, false)?,
            Fault::ReplaceWorker(at) => {
                // Another step may have replaced the worker already, or the replacement may have
                // announced only now that it leaves.
                let left = self.worker_slots[at].leaving_since;
                if left.is_some_and(|left| left.elapsed() >= LEAVING_TIME) {
                    self.start_worker(at, true)?;
                }
            }
            Fault::Store(_) => self.end_store_fault(),
            Fault::ExpireWorkers => {
                self.end_store_fault();
                for at in 0..self.worker_slots.len() {
                    if self.worker_slots[at].leaving_since.is_none() {
                        self.announce(at, "ready");
                    }
                }
            }
            Fault::LimitWorker(at, _) => {
                let slot = &mut self.worker_slots[at];
                // The worker may have been replaced by one without a limit.
                slot.active_limits = slot.active_limits.saturating_sub(1);
                if slot.active_limits == 0 {
                    slot.state_limit(None);
                }
            }
            Fault::ReloadSettings(_)
            | Fault::Configure
            | Fault::TruncateHistory
            | Fault::CrashingPart => {}
        }
        Ok(())
    }

    /// Makes the relays of workers that requests have crashed refuse connections, and announces workers that
    /// are back.
    pub fn follow_crashed_workers(&mut self) {
        for at in 0..self.worker_slots.len() {
            let slot = &mut self.worker_slots[at];
            let is_down = slot.worker.is_down();
            if is_down == slot.is_down {
                continue;
            }
            slot.is_down = is_down;
            if is_down {
                slot.relay.set_mode(Mode::Refuse);
                continue;
            }
            // A fault of the link may have begun meanwhile.
            slot.relay.set_mode(if slot.active_faults == 0 { Mode::Pass } else { Mode::Reset });
            let state = if slot.leaving_since.is_some() { "draining" } else { "ready" };
            self.announce(at, state);
        }
    }

    /// Records instances that exited although they were not stopped, and starts them again.
    ///
    /// # Errors
    /// Fails when an instance cannot be started again.
    pub fn restart_exited_instances(&mut self) -> Result<(), anyhow::Error> {
        for at in 0..self.links.len() {
            if self.links[at].pending_restarts == 0
                && self.deployment.instances[at].process.has_ended()
            {
                self.unexpected_exits.push(at);
                self.restart_instance(at)?;
            }
        }
        Ok(())
    }

    /// Returns the observations of all workers, including those that crashed or left.
    pub fn worker_observations(&self) -> Vec<WorkerObservations> {
        self.worker_slots.iter().chain(&self.retired_slots).map(WorkerSlot::observations).collect()
    }

    /// Returns the complete log of each instance.
    pub fn logs(&self) -> Vec<String> {
        self.deployment.instances.iter().map(|one| one.process.log()).collect()
    }

    /// Stops all processes, stand-ins and relays.
    pub fn close(self) {
        for slot in self.worker_slots.into_iter().chain(self.retired_slots) {
            slot.relay.close();
            slot.worker.close();
        }
        self.deployment.close();
        for links in self.links {
            links.store.close();
            links.callers.close();
        }
    }

    fn write_config(&mut self, version: u64) {
        let mut all = default_routes();
        let added = self.config_versions.iter().map(|(version, _)| *version).chain([version]);
        all.extend(added.map(|one| route(&format!("v{one}"), "idempotent", "plain", false)));
        for route in &mut all {
            route["TimeoutMs"] = json!(ROUTE_TIMEOUT_MS);
        }
        let text = config(version, &json!({"Routes": all}));
        self.deployment.store.put("keyed.op", "config", &text);
        self.config_versions.push((version, Instant::now()));
    }

    fn announce(&self, at: usize, state: &str) {
        let slot = &self.worker_slots[at];
        let record = slot.worker.record_at(slot.relay.addr(), state);
        self.deployment.store.put("keyed.servers", slot.worker.id(), &record);
    }

    fn start_leaving(&mut self, at: usize) {
        if self.worker_slots[at].leaving_since.is_none() {
            self.announce(at, "draining");
            self.worker_slots[at].leaving_since = Some(Instant::now());
        }
    }

    fn crash_worker(&mut self, at: usize) {
        self.worker_slots[at].active_faults += 1;
        self.worker_slots[at].relay.set_mode(Mode::Reset);
    }

    /// Starts a worker in the slot of one that has crashed or left.
    fn start_worker(&mut self, at: usize, new_id: bool) -> Result<(), anyhow::Error> {
        let slot = &self.worker_slots[at];
        if new_id {
            self.deployment.store.put("keyed.servers", slot.worker.id(), b"");
        }
        // A worker that starts again has no models loaded.
        let empty = WorkerSpec { models: Vec::new(), ..worker_spec(at) };
        let mut started = WorkerSlot::start(at, slot.replacements + usize::from(new_id), empty)?;
        if !new_id && slot.active_limits > 0 {
            started.active_limits = slot.active_limits;
            started.state_limit(slot.limits.last().and_then(|limit| limit.per_s));
        }
        let retired = std::mem::replace(&mut self.worker_slots[at], started);
        retired.relay.set_mode(Mode::Reset);
        self.retired_slots.push(retired);
        self.announce(at, "ready");
        Ok(())
    }

    fn begin_store_fault(&mut self, behavior: StoreBehavior) {
        self.active_store_faults += 1;
        self.deployment.store.set_behavior(behavior);
    }

    fn end_store_fault(&mut self) {
        self.active_store_faults -= 1;
        if self.active_store_faults == 0 {
            self.deployment.store.set_behavior(StoreBehavior::Normal);
        }
    }

    fn restart_instance(&mut self, at: usize) -> Result<(), anyhow::Error> {
        // An instance that does not exit within its grace period is killed, as the platform does.
        self.deployment.instances[at].process.kill();
        self.deployment.restart(at)?;
        if self.links[at].active_pauses > 0 {
            self.deployment.instances[at].process.pause();
        }
        self.instance_starts.push((at, Instant::now()));
        Ok(())
    }
}

fn worker_id(at: usize, starts: usize) -> String {
    let kind = if at < PLAIN_WORKERS { "p" } else { "e" };
    format!("{kind}{at}-{starts}")
}

fn worker_spec(at: usize) -> WorkerSpec {
    if at < PLAIN_WORKERS {
        return plain_worker(WORK_MS);
    }
    let first = 2 * (at - PLAIN_WORKERS);
    engine_worker(&[&format!("m{first}"), &format!("m{}", first + 1)])
}
