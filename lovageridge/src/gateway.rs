//! The gateway: accepts callers' HTTP requests and forwards them to upstreams.
//!
//! All work of an instance runs on one thread: requests, reading of new records from the store,
//! messages between instances, leader election and, on the lead, the placement of models on
//! workers. Decisions are plain functions of state and time; the `driver` modules do the I/O. A
//! second thread writes the log.

pub mod accounts;
pub mod allotments;
pub mod attempt;
pub mod body;
pub mod budget;
pub mod caller_timeouts;
pub mod catalog;
pub mod codec;
pub mod connection;
pub mod crashes;
pub mod directory;
pub mod draft;
pub mod endings;
pub mod eventlog;
pub mod fleet;
pub mod lead;
pub mod limits;
pub mod liveness;
pub mod memory;
pub mod message_fields;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod pool;
pub mod relay;
pub mod reload;
pub mod response;
pub mod run;
pub mod serve;
pub mod settings;
pub mod sync;
pub mod waits;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::gateway::accounts::driver::KeyChecker;
use crate::gateway::allotments::driver::AllotmentTracker;
use crate::gateway::budget::RetryBudget;
use crate::gateway::budget::RetryLimits;
use crate::gateway::catalog::Catalog;
use crate::gateway::crashes::driver::CrashTracker;
use crate::gateway::directory::Directory;
use crate::gateway::endings::driver::EndingTracker;
use crate::gateway::eventlog::EventLog;
use crate::gateway::fleet::Fleet;
use crate::gateway::lead::Election;
use crate::gateway::limits::driver::LimitTracker;
use crate::gateway::memory::driver::Memory;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::Peers;
use crate::gateway::pool::Pool;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::sync::view::StoreView;
use crate::gateway::waits::WaitingRequests;
use crate::hashing;
use crate::sorted::Table;

/// The lead according to its last heartbeat, or this instance itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownLead {
    /// Instance id of the lead.
    pub instance_id: String,
    /// Fencing number of its lease.
    pub fence: u64,
    /// Address of its peer port; `None` on the lead itself.
    pub addr: Option<SocketAddr>,
    /// Monotonic time of the last message from it, in ms.
    pub received_at_ms: u64,
}

/// State of one gateway instance.
pub struct Gateway {
    /// Start of the process, as Unix time in ms.
    pub incarnation: u64,
    /// Monotonic clock.
    pub clock: Clock,
    /// Configuration in force; `None` until one has been received.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Records read from the store so far.
    pub store: RefCell<StoreView>,
    /// Notified when another instance of the domain has read further in the store.
    pub reader_advanced: Notify,
    /// Notified when another instance has a newer configuration.
    pub config_heard: Notify,
    /// Number of transfers to peers in progress.
    pub uploads: Cell<u32>,
    /// Known workers, with their load and health.
    pub directory: RefCell<Directory>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Notified when a worker, the configuration or the residency of a model has changed.
    pub state_changed: Notify,
    /// Other instances of the gateway.
    pub peers: RefCell<Peers>,
    /// UDP socket for messages between instances.
    pub socket: UdpSocket,
    /// State of the leader election.
    pub election: RefCell<Election>,
    /// Last known lead.
    pub lead: RefCell<Option<KnownLead>>,
    /// State of the model workers; `None` unless this instance leads.
    pub fleet: RefCell<Option<Fleet>>,
    /// Notified when the lead has to plan loads and evictions anew.
    pub planning_due: Notify,
    /// Prompt parts whose requests crash workers.
    pub crashes: CrashTracker,
    /// How responses of workers have ended.
    pub endings: EndingTracker,
    /// Keys of client accounts, and how fresh the knowledge of them is.
    pub accounts: KeyChecker,
    /// Sends to workers that limit them.
    pub limits: LimitTracker,
    /// Limits of accounts over all instances.
    pub allotments: AllotmentTracker,
    /// Bytes held for callers and upstreams.
    pub memory: Memory,
    /// Requests that wait for a model to be loaded.
    pub waits: RefCell<WaitingRequests>,
    /// Notified when the waiting requests have to be reported to the lead.
    pub demand_report_due: Notify,
    /// Structured event log.
    pub log: EventLog,
    /// Metrics of this instance.
    pub metrics: GatewayMetrics,
    /// Set once the instance has been asked to stop.
    pub shutting_down: Cell<bool>,
    /// Set once a stopping instance refuses further requests.
    pub refusing_requests: Cell<bool>,
    /// Notified when callers' connections have to close after the request in progress.
    pub drain_started: Notify,
    settings: RefCell<Rc<GatewaySettings>>,
    retry_budgets: RefCell<Table<String, RetryBudget>>,
    in_progress: Cell<usize>,
}

impl Gateway {
    /// Returns an instance that has read nothing from the store yet.
    pub fn new(
        settings: GatewaySettings,
        clock: Clock,
        socket: UdpSocket,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> Self {
        let incarnation = unix_ms();
        let stagger_seed = hashing::stable_hash(&[&settings.instance_id, &incarnation.to_string()]);
        let election = Election::new(
            settings.instance_id.clone(),
            incarnation,
            settings.takeover_wait_ms(),
            settings.claim_delay_ms(stagger_seed),
        );
        let memory = Memory::new(settings.memory_mb, metrics.memory_held_bytes.clone());
        Self {
            incarnation,
            clock,
            catalog: RefCell::default(),
            store: RefCell::default(),
            reader_advanced: Notify::new(),
            config_heard: Notify::new(),
            uploads: Cell::new(0),
            directory: RefCell::default(),
            pool: RefCell::default(),
            state_changed: Notify::new(),
            peers: RefCell::default(),
            socket,
            election: RefCell::new(election),
            lead: RefCell::default(),
            fleet: RefCell::default(),
            planning_due: Notify::new(),
            crashes: CrashTracker::default(),
            endings: EndingTracker::default(),
            accounts: KeyChecker::default(),
            limits: LimitTracker::default(),
            allotments: AllotmentTracker::new(incarnation),
            memory,
            waits: RefCell::default(),
            demand_report_due: Notify::new(),
            log,
            metrics,
            shutting_down: Cell::new(false),
            refusing_requests: Cell::new(false),
            drain_started: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
            retry_budgets: RefCell::default(),
            in_progress: Cell::new(0),
        }
    }

    /// Returns the monotonic time, in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies changed settings.
    pub fn apply_settings(&self, settings: GatewaySettings) {
        self.election.borrow_mut().set_lease_ms(settings.takeover_wait_ms());
        self.memory.set_memory_mb(settings.memory_mb);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the configuration in force; `None` until one has been received.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Tells whether the load balancer should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        let has_workers =
            self.catalog().is_some_and(|catalog| self.directory.borrow().serves_any(&catalog));
        has_workers
            && !self.shutting_down.get()
            && !self.is_partitioned()
            && accounts::driver::is_fresh(self)
    }

    /// Tells whether neither peers nor workers of the other failure domains can be reached; callers
    /// are then better served by instances elsewhere.
    pub fn is_partitioned(&self) -> bool {
        let now_ms = self.now_ms();
        let settings = self.settings();
        self.peers.borrow().is_domain_isolated(&settings.domain, now_ms)
            && self.directory.borrow().are_other_domains_unreachable(&settings.domain, now_ms)
    }

    /// Waits until a stopping instance refuses further requests.
    pub async fn wait_until_refusing(&self) {
        while !self.refusing_requests.get() {
            self.drain_started.notified().await;
        }
    }

    /// Returns the number of callers' requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    fn change_in_progress(&self, change: isize) {
        let count = self.in_progress.get().saturating_add_signed(change);
        self.in_progress.set(count);
        self.metrics.in_progress.set(count as i64);
    }

    fn retry_limits(&self) -> RetryLimits {
        let settings = self.settings.borrow();
        RetryLimits {
            retry_permille: settings.retry_permille,
            free_retries: settings.retry_slack,
            window_ms: settings.retry_window_ms,
        }
    }

    /// Counts a caller's request to `service` towards its retry budget.
    pub fn on_request(&self, service: &str) {
        let limits = self.retry_limits();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(service.to_owned(), RetryBudget::default);
        budget.on_request(&limits, self.now_ms());
    }

    /// Takes one retry out of the budget of `service`; `false` if the budget is used up.
    pub fn take_retry(&self, service: &str) -> bool {
        let limits = self.retry_limits();
        let now_ms = self.now_ms();
        // Until messages of peers have arrived, the number of seeds is the best estimate.
        let seeds = self.settings.borrow().seeds.len() as u64;
        let instances = self.peers.borrow().budget_share_count(now_ms).max(seeds);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(service.to_owned(), RetryBudget::default);
        let granted = budget.try_take(&limits, instances, now_ms);
        if !granted {
            self.metrics.budget_refused_total.with_label_values(&[service]).inc();
        }
        granted
    }
}
