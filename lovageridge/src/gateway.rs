//! The gateway: callers' HTTP on one side, upstreams on the other, on the users' platform.
//!
//! All work of an instance runs on one thread: requests, the tail of the store's records, messages
//! between instances, the claims of leadership and, on the lead, what model workers hold. Decisions
//! are plain functions of state and time; the `duty` modules do the input and output. The log is
//! written by a second thread.

pub mod attempt;
pub mod budget;
pub mod caller_timeouts;
pub mod catalog;
pub mod codec;
pub mod connection;
pub mod directory;
pub mod eventlog;
pub mod fleet;
pub mod lead;
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
use crate::gateway::budget::RetryBudget;
use crate::gateway::budget::RetryLimits;
use crate::gateway::catalog::Catalog;
use crate::gateway::directory::Directory;
use crate::gateway::eventlog::EventLog;
use crate::gateway::fleet::Fleet;
use crate::gateway::lead::Election;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::Peers;
use crate::gateway::pool::Pool;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::sync::view::StoreView;
use crate::gateway::waits::WaitingRequests;
use crate::hashing;
use crate::sorted::Table;

/// The lead as heard from itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownLead {
    /// Name of the instance.
    pub instance_id: String,
    /// Fencing number.
    pub fence: u64,
    /// Address of its port for peers; `None` on the lead itself.
    pub addr: Option<SocketAddr>,
    /// Time it was heard, in ms.
    pub received_at_ms: u64,
}

/// State of one gateway instance.
pub struct Gateway {
    /// Start of the process, as Unix time in ms.
    pub incarnation: u64,
    /// Monotonic time.
    pub clock: Clock,
    /// Configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// What has been read from the store.
    pub store: RefCell<StoreView>,
    /// Told when another instance of the domain has read more of the store.
    pub reader_advanced: Notify,
    /// Workers.
    pub directory: RefCell<Directory>,
    /// Kept connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Told when a worker, a configuration or what workers hold has changed.
    pub state_changed: Notify,
    /// Other instances.
    pub peers: RefCell<Peers>,
    /// Socket for datagrams to them.
    pub socket: UdpSocket,
    /// Claims of leadership.
    pub election: RefCell<Election>,
    /// Lead that was heard last.
    pub lead: RefCell<Option<KnownLead>>,
    /// State of the model workers while this instance leads.
    pub fleet: RefCell<Option<Fleet>>,
    /// Told when the lead has something to decide.
    pub planning_due: Notify,
    /// Requests that wait for a model.
    pub waits: RefCell<WaitingRequests>,
    /// Told when the lead should hear of the waiting requests.
    pub demand_report_due: Notify,
    /// Structured log.
    pub log: EventLog,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Set when the instance is told to stop.
    pub shutting_down: Cell<bool>,
    /// Set when a stopping instance takes no further requests.
    pub refusing_requests: Cell<bool>,
    /// Told when connections of callers shall end after the request in progress.
    pub drain_started: Notify,
    settings: RefCell<Rc<GatewaySettings>>,
    retry_budgets: RefCell<Table<String, RetryBudget>>,
    in_progress: Cell<usize>,
}

impl Gateway {
    /// Joins the parts of an instance.
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
        Self {
            incarnation,
            clock,
            catalog: RefCell::default(),
            store: RefCell::default(),
            reader_advanced: Notify::new(),
            directory: RefCell::default(),
            pool: RefCell::default(),
            state_changed: Notify::new(),
            peers: RefCell::default(),
            socket,
            election: RefCell::new(election),
            lead: RefCell::default(),
            fleet: RefCell::default(),
            planning_due: Notify::new(),
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

    /// Returns the monotonic time in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts changed settings in force.
    pub fn apply_settings(&self, settings: GatewaySettings) {
        self.election.borrow_mut().set_lease_ms(settings.takeover_wait_ms());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Tells whether the balancer shall send callers here.
    pub fn is_ready(&self) -> bool {
        let has_workers =
            self.catalog().is_some_and(|catalog| self.directory.borrow().serves_any(&catalog));
        has_workers && !self.shutting_down.get() && !self.is_partitioned()
    }

    /// Tells whether the other failure domains cannot be reached: then callers are better served by
    /// instances elsewhere.
    pub fn is_partitioned(&self) -> bool {
        let now_ms = self.now_ms();
        let settings = self.settings();
        self.peers.borrow().is_domain_isolated(&settings.domain, now_ms)
            && self.directory.borrow().are_other_domains_unreachable(&settings.domain, now_ms)
    }

    /// Waits until a stopping instance begins no further request.
    pub async fn wait_until_refusing(&self) {
        while !self.refusing_requests.get() {
            self.drain_started.notified().await;
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    fn change_in_progress(&self, change: isize) {
        let count = self.in_progress.get().saturating_add_signed(change);
        self.in_progress.set(count);
        self.metrics.in_progress.set(count as i64);
    }

    fn retry_budget_rule(&self) -> RetryLimits {
        let settings = self.settings.borrow();
        RetryLimits {
            retry_permille: settings.retry_permille,
            free_retries: settings.retry_slack,
            window_ms: settings.retry_window_ms,
        }
    }

    /// Notes a request of a caller to `service`.
    pub fn on_request(&self, service: &str) {
        let rule = self.retry_budget_rule();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(service.to_owned(), RetryBudget::default);
        budget.on_request(&rule, self.now_ms());
    }

    /// Takes a repeated send to `service` out of the budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let rule = self.retry_budget_rule();
        let now_ms = self.now_ms();
        // An instance that has not heard of others yet knows of its seeds.
        let seeds = self.settings.borrow().seeds.len() as u64;
        let instances = self.peers.borrow().budget_share_count(now_ms).max(seeds);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(service.to_owned(), RetryBudget::default);
        let granted = budget.try_take(&rule, instances, now_ms);
        if !granted {
            self.metrics.budget_refused_total.with_label_values(&[service]).inc();
        }
        granted
    }
}
