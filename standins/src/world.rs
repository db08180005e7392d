//! A whole venture on loopback: platform, engines, services, and entries as real processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::anyhow;
use lovageridge::config::record::SectionChange;
use lovageridge::document::parse;
use lovageridge::infra::list::ENTRY_SERVICE;
use lovageridge::infra::list::ListedInstance;
use lovageridge::outbound;
use serde_json::Value;

use crate::booking::Booking;
use crate::collector::Collector;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::list::List;
use crate::log::Log;
use crate::process::Process;
use crate::process::Workspace;
use crate::process::free_port;
use crate::relay::Mode;
use crate::relay::PeerRelay;
use crate::relay::Relay;
use crate::store::Store;
use crate::venture::EntryAddrs;
use crate::venture::OPS_TOKEN;
use crate::venture::Shape;
use crate::venture::settings;

/// Lag of the list.
const LIST_LAG: Duration = Duration::from_millis(2000);
/// Pause between checks of a condition.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the entries to take requests.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time allowed for a call to an administration port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(8);

/// An entry instance.
pub struct Entry {
    /// Name of the instance.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Addresses.
    pub addrs: EntryAddrs,
    /// The process, unless it is down.
    pub process: Option<Process>,
    /// The log as this entry reaches it.
    pub log_relay: Relay,
    /// The list as this entry reaches it.
    pub list_relay: Relay,
    peer_relay: PeerRelay,
    settings_file: PathBuf,
    log_file: PathBuf,
}

/// An engine worker behind a relay.
pub struct WorkerNode {
    /// The engine.
    pub engine: Engine,
    /// Its listed address.
    pub relay: Relay,
    /// Failure domain.
    pub domain: String,
}

/// A booking upstream behind a relay.
pub struct BookingNode {
    /// Name of the upstream.
    pub id: String,
    /// The service.
    pub booking: Booking,
    /// Its listed address.
    pub relay: Relay,
}

/// The venture.
pub struct World {
    /// What it is made of.
    pub shape: Shape,
    /// The log.
    pub log: Log,
    /// The list.
    pub list: List,
    /// The trace collector.
    pub collector: Collector,
    /// The weight store.
    pub store: Arc<Store>,
    /// Engine workers.
    pub workers: Vec<WorkerNode>,
    /// Booking upstreams.
    pub bookings: Vec<BookingNode>,
    /// Entry instances.
    pub entries: Vec<Entry>,
    binary: PathBuf,
    workspace: Workspace,
}

impl World {
    /// Starts the platform, the upstreams and the entries, and publishes the document.
    ///
    /// # Errors
    /// Returns what could not be started.
    pub fn start(binary: PathBuf, shape: Shape, timing: &str) -> Result<Self, anyhow::Error> {
        let log = Log::start()?;
        let list = List::start(LIST_LAG)?;
        let store =
            Arc::new(Store::new(shape.store_mb_per_s, shape.store_slots, shape.store_loads_per_s));
        let workspace = Workspace::new()?;
        let mut world = Self {
            shape,
            log,
            list,
            collector: Collector::start()?,
            store,
            workers: Vec::new(),
            bookings: Vec::new(),
            entries: Vec::new(),
            binary,
            workspace,
        };
        world.start_upstreams()?;
        for at in 0..world.shape.entries {
            world.add_entry(at, timing)?;
        }
        world.list_everything();
        for at in 0..world.entries.len() {
            world.start_entry(at)?;
        }
        world.publish_document()?;
        world.wait_ready()?;
        Ok(world)
    }

    fn domain_of(&self, at: usize) -> String {
        self.shape.domains[at % self.shape.domains.len()].clone()
    }

    fn start_upstreams(&mut self) -> Result<(), anyhow::Error> {
        for at in 0..self.shape.workers {
            let options = EngineOptions {
                id: format!("worker-{at:02}"),
                accelerators_mb: vec![self.shape.accelerator_mb; self.shape.accelerators],
                slots: self.shape.slots,
                host_mb: self.shape.host_mb,
                token_ms: self.shape.token_ms,
                checks_fencing: self.shape.fencing,
            };
            let engine = Engine::start(options, Arc::clone(&self.store))?;
            let relay = Relay::start(engine.addr())?;
            let domain = self.domain_of(at);
            self.workers.push(WorkerNode { engine, relay, domain });
        }
        for at in 0..self.shape.bookings {
            let booking = Booking::start()?;
            let relay = Relay::start(booking.addr())?;
            self.bookings.push(BookingNode { id: format!("booking-{at}"), booking, relay });
        }
        Ok(())
    }

    fn add_entry(&mut self, at: usize, timing: &str) -> Result<(), anyhow::Error> {
        let id = format!("entry-{at}");
        let domain = self.domain_of(at);
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let peers = local(free_port()?);
        let log_relay = Relay::start(self.log.addr())?;
        let list_relay = Relay::start(self.list.addr())?;
        let peer_relay = PeerRelay::start(peers)?;
        let addrs = EntryAddrs {
            callers: local(free_port()?),
            admin: local(free_port()?),
            peers,
            advertised_peers: peer_relay.addr(),
            log: log_relay.addr(),
            list: list_relay.addr(),
            traces: self.shape.traces.then(|| self.collector.addr()),
        };
        let text = settings(&id, &domain, "om-north", &addrs, timing);
        let settings_file = self.workspace.write(&format!("{id}.ini"), &text)?;
        let log_file = self.workspace.path().join(format!("{id}.log"));
        self.entries.push(Entry {
            id,
            domain,
            addrs,
            process: None,
            log_relay,
            list_relay,
            peer_relay,
            settings_file,
            log_file,
        });
        Ok(())
    }

    fn list_everything(&self) {
        let mut all = Vec::new();
        for entry in &self.entries {
            all.push(ListedInstance {
                id: entry.id.clone(),
                service: ENTRY_SERVICE.to_owned(),
                domain: entry.domain.clone(),
                addr: entry.addrs.callers,
                peers_addr: Some(entry.addrs.advertised_peers),
                leaving: false,
            });
        }
        for node in &self.workers {
            all.push(upstream(node.engine.id(), "lm-pool", &node.domain, node.relay.addr()));
        }
        for (at, node) in self.bookings.iter().enumerate() {
            all.push(upstream(&node.id, "booking-app", &self.domain_of(at), node.relay.addr()));
        }
        self.list.update(|list| *list = all);
    }

    /// Starts the process of entry `at`.
    ///
    /// # Errors
    /// Returns why it cannot be started.
    pub fn start_entry(&mut self, at: usize) -> Result<(), anyhow::Error> {
        let entry = self.entries.get_mut(at).ok_or_else(|| anyhow!("no entry {at}"))?;
        let process = Process::start(&self.binary, &entry.settings_file, &entry.log_file)?;
        entry.process = Some(process);
        Ok(())
    }

    /// Publishes the whole document as the first edit.
    fn publish_document(&self) -> Result<(), anyhow::Error> {
        let sections = parse::split(&self.shape.document())
            .map_err(|faults| anyhow!("the document has faults: {faults:?}"))?;
        let changes: Vec<SectionChange> = sections
            .iter()
            .map(|(section, body)| SectionChange {
                section: section.clone(),
                base_version: 0,
                body: Some(body.clone()),
            })
            .collect();
        let until = Instant::now() + READY_TIMEOUT;
        let mut last = anyhow!("no answer");
        while Instant::now() < until {
            match self.edit(0, OPS_TOKEN, "founding", &changes) {
                Ok((200, _)) => return Ok(()),
                Ok((status_code, body)) => last = anyhow!("status {status_code}: {body}"),
                Err(e) => last = e,
            }
            std::thread::sleep(CHECK_PAUSE);
        }
        Err(last.context("the document was not accepted"))
    }

    /// Sends an edit to the administration port of entry `at`; returns status and reply.
    ///
    /// # Errors
    /// Returns an error when there is no answer.
    pub fn edit(
        &self,
        at: usize,
        token: &str,
        edit_id: &str,
        changes: &[SectionChange],
    ) -> Result<(u16, Value), anyhow::Error> {
        let body = serde_json::json!({ "edit_id": edit_id, "changes": changes });
        let answer = outbound::post(format!("http://{}/v1/edits", self.entries[at].addrs.admin))
            .header("authorization", format!("Bearer {token}"))
            .timeout(ADMIN_TIMEOUT)
            .text(body.to_string())
            .send()?;
        let status_code = answer.status().as_u16();
        Ok((status_code, serde_json::from_slice(&answer.bytes()?)?))
    }

    /// Reads a path of the administration port of entry `at`.
    ///
    /// # Errors
    /// Returns an error when there is no answer.
    pub fn admin(&self, at: usize, path: &str) -> Result<(u16, String), anyhow::Error> {
        let answer = outbound::get(format!("http://{}{path}", self.entries[at].addrs.admin))
            .header("authorization", format!("Bearer {OPS_TOKEN}"))
            .timeout(ADMIN_TIMEOUT)
            .send()?;
        Ok((answer.status().as_u16(), answer.text_utf8()?))
    }

    /// Returns the status of entry `at` as JSON.
    pub fn status(&self, at: usize) -> Value {
        let text = self.admin(at, "/v1/status").map(|(_, text)| text).unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// Waits until `condition` holds.
    pub fn wait_until(&self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if condition(self) {
                return true;
            }
            std::thread::sleep(CHECK_PAUSE);
        }
        false
    }

    fn wait_ready(&self) -> Result<(), anyhow::Error> {
        let all_ready = self.wait_until(READY_TIMEOUT, |world| {
            let ready = |at| world.admin(at, "/readyz").is_ok_and(|(status, _)| status == 200);
            (0..world.entries.len()).all(ready)
        });
        let all_led = self.wait_until(READY_TIMEOUT, Self::is_led);
        if all_ready && all_led { Ok(()) } else { Err(anyhow!("the entries are not ready")) }
    }

    /// Tells whether each domain's cell has a lead that has fenced and read all its workers.
    fn is_led(&self) -> bool {
        let mut ready = 0;
        for at in 0..self.entries.len() {
            let status = self.status(at);
            for cell in status["cells"].as_array().into_iter().flatten() {
                let workers = cell["workers"].as_array().map(Vec::as_slice).unwrap_or_default();
                ready += workers.iter().filter(|w| w["ready"] == true).count();
            }
        }
        ready >= self.workers.len()
    }

    /// Returns the entry that leads `cell`, with its epoch.
    pub fn lead_of(&self, cell: &str) -> Option<(usize, u64)> {
        let live = (0..self.entries.len()).filter(|at| self.entries[*at].process.is_some());
        live.filter_map(|at| {
            let status = self.status(at);
            let cells = status["cells"].as_array()?;
            let found = cells.iter().find(|c| c["cell"] == cell)?;
            Some((at, found["epoch"].as_u64()?))
        })
        .max_by_key(|(_, epoch)| *epoch)
    }

    /// Cuts the entries of `domain` off from the log and the list, from their peers, or both.
    pub fn cut_domain(&self, domain: &str, from_platform: bool, from_peers: bool) {
        let inside: Vec<SocketAddr> = self.senders(|d| d == domain);
        let outside: Vec<SocketAddr> = self.senders(|d| d != domain);
        for entry in &self.entries {
            let is_inside = entry.domain == domain;
            if is_inside && from_platform {
                entry.log_relay.set_mode(Mode::Reset);
                entry.list_relay.set_mode(Mode::Reset);
            }
            if from_peers {
                entry.peer_relay.block(if is_inside { outside.clone() } else { inside.clone() });
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for entry in &self.entries {
            entry.log_relay.set_mode(Mode::Pass);
            entry.list_relay.set_mode(Mode::Pass);
            entry.peer_relay.block(Vec::new());
        }
    }

    fn senders(&self, in_domain: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let chosen = self.entries.iter().filter(|e| in_domain(&e.domain));
        chosen.map(|e| e.addrs.peers).collect()
    }

    /// Returns the loads of `model` that were started on all engines, or in one domain.
    pub fn loads(&self, model: &str, domain: Option<&str>) -> u64 {
        let nodes = self.workers.iter().filter(|n| domain.is_none_or(|d| n.domain == d));
        nodes.map(|n| n.engine.truth().loads.get(model).copied().unwrap_or(0)).sum()
    }

    /// Returns the load decisions for `model` in the log, all cells together.
    pub fn decisions(&self, model: &str) -> u64 {
        let streams = self.log.streams().into_iter().filter(|s| s.starts_with("decisions."));
        let mut seen = Vec::new();
        for stream in streams {
            for text in self.log.records(&stream) {
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                let load = &value["Load"];
                let target = &load["target"];
                if target["model"] == model && target["adapter"].is_null() {
                    seen.push((stream.clone(), load["epoch"].as_u64(), load["sequence"].as_u64()));
                }
            }
        }
        seen.sort_unstable();
        seen.dedup();
        seen.len() as u64
    }

    /// Returns the sum of a count over all engines.
    pub fn count(&self, count: impl Fn(&crate::engine::memory::Truth) -> u64) -> u64 {
        self.workers.iter().map(|n| count(&n.engine.truth())).sum()
    }

    /// Tells whether no accelerator ever held more than its memory.
    pub fn memory_held(&self) -> bool {
        self.workers.iter().all(|node| {
            let truth = node.engine.truth();
            truth.overcommits == 0
                && truth.peak_mb.iter().zip(&truth.total_mb).all(|(peak, total)| peak <= total)
        })
    }

    /// Returns the log files of all entries, for a report on a failure.
    pub fn entry_logs(&self) -> String {
        let logs = self.entries.iter().map(|e| {
            let text = std::fs::read_to_string(&e.log_file).unwrap_or_default();
            format!("--- {}\n{text}", e.id)
        });
        logs.collect()
    }

    /// Ends all processes and stand-ins.
    ///
    /// # Errors
    /// Returns an error when a process had to be killed.
    pub fn close(mut self) -> Result<(), anyhow::Error> {
        for entry in &mut self.entries {
            if let Some(process) = &entry.process {
                process.resume();
                process.terminate();
            }
        }
        let mut killed = Vec::new();
        for entry in &mut self.entries {
            if let Some(mut process) = entry.process.take()
                && !process.wait(Duration::from_secs(15))
            {
                process.kill();
                killed.push(entry.id.clone());
            }
        }
        self.workspace.close();
        if killed.is_empty() { Ok(()) } else { Err(anyhow!("killed {killed:?}")) }
            .context("an entry did not shut down")
    }
}

fn upstream(id: &str, service: &str, domain: &str, addr: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: id.to_owned(),
        service: service.to_owned(),
        domain: domain.to_owned(),
        addr,
        peers_addr: None,
        leaving: false,
    }
}
