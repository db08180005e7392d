//! State shared by the threads of one instance.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use flume::Sender;

use crate::clock::Clock;
use crate::config::SharedConfig;
use crate::dispatch::driver::Event as DispatchEvent;
use crate::hashing;
use crate::infra::log::LogClient;
use crate::membership::Members;
use crate::placement::event::Event as LeadEvent;
use crate::settings::Settings;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::trace::Tracer;
use crate::wire;
use crate::wire::Message;
use crate::wire::StoreUsage;

/// Longest sleep within a pause, in ms, so that a stop is noticed quickly.
const MAX_PAUSE_STEP_MS: u64 = 50;

/// Identity of the running process.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// Name of the instance.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Start time of the process in ms since the Unix epoch; it distinguishes restarts.
    pub incarnation: u64,
}

impl OwnIdentity {
    /// Returns a hash that differs between instances, used to stagger their periodic work.
    pub fn stagger_hash(&self) -> u64 {
        hashing::stable_hash(&[&self.instance_id, &self.incarnation.to_string()])
    }
}

/// Shared state of an instance.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// Identity of the running process.
    pub own: OwnIdentity,
    /// Monotonic time.
    pub clock: Clock,
    /// Client of the platform's log.
    pub log: LogClient,
    /// Configuration in force.
    pub config: Arc<SharedConfig>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Records the spans of the instance.
    pub tracer: Tracer,
    /// Event queue of the dispatch driver.
    pub dispatch_queue: Sender<DispatchEvent>,
    /// Event queue of the placement driver.
    pub placement_queue: Sender<LeadEvent>,
    /// Socket for datagrams to other instances.
    pub peers_socket: UdpSocket,
    /// Usage of the weight store by the cells that this instance leads.
    pub store_usage: Mutex<StoreUsage>,
    /// Cells that the instance leads, announced in its heartbeats.
    pub led_cells: Mutex<Vec<wire::LedCell>>,
    members: Mutex<Members>,
    leaving: AtomicBool,
    stopped: AtomicBool,
    tickets: AtomicU64,
}

impl Context {
    /// Creates the shared state with a new clock and log client and an empty configuration.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Settings,
        own: OwnIdentity,
        metrics: Metrics,
        tracer: Tracer,
        dispatch_queue: Sender<DispatchEvent>,
        placement_queue: Sender<LeadEvent>,
        peers_socket: UdpSocket,
        members: Members,
    ) -> Self {
        Self {
            log: LogClient::new(settings.log_addr),
            settings,
            own,
            clock: Clock::start(),
            config: Arc::new(SharedConfig::new()),
            metrics,
            tracer,
            dispatch_queue,
            placement_queue,
            peers_socket,
            store_usage: Mutex::default(),
            led_cells: Mutex::default(),
            members: Mutex::new(members),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            tickets: AtomicU64::new(1),
        }
    }

    /// Locks and returns the table of known members.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Returns a number for a new request, unique within the process.
    pub fn next_ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Starts the shutdown: from now on the instance reports that it is not ready.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the threads are to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Signals all threads to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Sleeps for `pause_ms`, or until the instance stops.
    pub fn pause_ms(&self, pause_ms: u64) {
        let mut remaining_ms = pause_ms;
        while remaining_ms > 0 && !self.is_stopped() {
            let step_ms = remaining_ms.min(MAX_PAUSE_STEP_MS);
            thread::sleep(Duration::from_millis(step_ms));
            remaining_ms -= step_ms;
        }
    }

    /// Sends `message` to another instance as a datagram; it is not retried, as later messages replace
    /// a lost one.
    pub fn send_message(&self, to: std::net::SocketAddr, message: Message) {
        let bytes = wire::encode(&self.own.instance_id, message);
        self.send_bytes(to, &bytes);
    }

    /// Sends an encoded datagram and counts its bytes; a failed send is counted as dropped.
    pub fn send_bytes(&self, to: std::net::SocketAddr, bytes: &[u8]) {
        self.metrics.control_bytes_sent.inc_by(bytes.len() as u64);
        if self.peers_socket.send_to(bytes, to).is_err() {
            self.metrics.datagrams_dropped.inc();
        }
    }

    /// Queues an event for the dispatch driver; if the queue is full, the event is dropped and counted.
    pub fn offer_dispatch_event(&self, event: DispatchEvent) {
        if self.dispatch_queue.try_send(event).is_err() {
            self.metrics.ring_drops.with_label_values(&["dispatch"]).inc();
        }
    }

    /// Queues an event for the placement driver; if the queue is full, the event is dropped and counted.
    pub fn offer_placement_event(&self, event: LeadEvent) {
        if self.placement_queue.try_send(event).is_err() {
            self.metrics.ring_drops.with_label_values(&["placement"]).inc();
        }
    }
}

/// Locks `mutex`, even if it is poisoned: the values are only replaced completely, so that a panic leaves
/// them consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
