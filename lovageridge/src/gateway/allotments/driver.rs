//! I/O driver of allotments: asks the lead for tokens, and grants them as the lead.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::accounts::Account;
use crate::gateway::accounts::Allotment;
use crate::gateway::allotments::AccountQuestion;
use crate::gateway::allotments::AllotmentMessage;
use crate::gateway::allotments::Answer;
use crate::gateway::allotments::Limit;
use crate::gateway::allotments::Question;
use crate::gateway::allotments::asker::Asker;
use crate::gateway::allotments::asker::Requested;
use crate::gateway::allotments::asker::Verdict;
use crate::gateway::allotments::ledger::KnownLimit;
use crate::gateway::allotments::ledger::Ledger;
use crate::gateway::allotments::proved_fence;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver::send;
use crate::gateway::response::Refusal;
use crate::hashing;
use crate::sorted::Table;
use crate::telemetry::events;

/// Interval of the checks while a request waits or a question is not answered.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the checks otherwise, where accounts have limits.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the checks where no account has a limit.
const UNUSED_INTERVAL: Duration = Duration::from_millis(500);
/// Retry-After while the limit cannot be checked, in ms; another instance may be able to.
const RETRY_AFTER_UNAVAILABLE_MS: u64 = 300;
/// Range of the random part of Retry-After, in ms, beyond half of the wait.
const RETRY_JITTER_MS: u64 = 200;
/// Time between two log lines about the same account, in ms.
const LOG_INTERVAL_MS: u64 = 1000;

/// Limits of a configuration, by hash of the account's name.
#[derive(Clone, Debug, Default)]
struct KnownLimits {
    // Era of the store and version of the configuration.
    version: (u64, u64),
    limits: Table<u64, Limit>,
}

/// Refusals of an account since the last log line about it.
#[derive(Clone, Copy, Debug, Default)]
struct Exceeded {
    logged_ms: Option<u64>,
    refused: u64,
}

/// State of asking for tokens and of granting them.
pub struct AllotmentTracker {
    asker: RefCell<Asker>,
    ledger: RefCell<Option<Ledger>>,
    // Requests that wait for a decision, by number.
    waiting: RefCell<Table<u64, oneshot::Sender<Verdict>>>,
    due: Notify,
    known: RefCell<KnownLimits>,
    exceeded: RefCell<Table<u64, Exceeded>>,
    uses_reserve: Cell<bool>,
    // Whether all announced addresses have been read from the store.
    has_read_peers: Cell<bool>,
}

impl AllotmentTracker {
    /// Returns the state of a process that has just started; `process` identifies it.
    pub fn new(process: u64) -> Self {
        Self {
            asker: RefCell::new(Asker::new(process, boot_ms())),
            ledger: RefCell::default(),
            waiting: RefCell::default(),
            due: Notify::new(),
            known: RefCell::default(),
            exceeded: RefCell::default(),
            uses_reserve: Cell::new(false),
            has_read_peers: Cell::new(false),
        }
    }

    /// Notes whether all announced addresses of instances have been read from the store.
    pub fn set_has_read_peers(&self, has_read: bool) {
        self.has_read_peers.set(has_read);
    }
}

fn account_key(account: &Account) -> u64 {
    hashing::stable_hash(&[&account.name])
}

/// Counts a request towards the limit of its account, waiting for a grant until `until_ms` at most.
///
/// # Errors
/// Returns the refusal of a request that is beyond the limit or cannot be checked.
pub async fn admit(
    gateway: &Rc<Gateway>,
    account: &Account,
    tokens: u64,
    until_ms: u64,
) -> Result<(), Refusal> {
    let Some(allotment) = &account.allotment else { return Ok(()) };
    let key = account_key(account);
    let now_ms = boot_ms();
    let until_ms = now_ms.saturating_add(until_ms.saturating_sub(gateway.now_ms()));
    let tracker = &gateway.allotments;
    let requested = {
        let mut asker = tracker.asker.borrow_mut();
        asker.request((key, granted_limit(gateway, allotment)), tokens, until_ms, now_ms)
    };
    let verdict = match requested {
        Requested::Decided(verdict) => verdict,
        Requested::Waiting(ticket) => Waiting::new(gateway, ticket).wait().await,
    };
    gateway.metrics.allotment_wait_s.observe((boot_ms() - now_ms) as f64 / 1000.0);
    let count = |result: &str| {
        let labels = [account.name.as_str(), result];
        gateway.metrics.allotment_tokens_total.with_label_values(&labels).inc_by(tokens);
    };
    match verdict {
        Verdict::Admitted => {
            count("admitted");
            Ok(())
        }
        Verdict::Exceeded(wait_ms) => {
            count("exceeded");
            log_exceeded(gateway, account, key);
            let jitter_ms = rand::random_range(0..=wait_ms / 2 + RETRY_JITTER_MS);
            let retry_after_ms = Some(wait_ms.saturating_add(jitter_ms));
            let status = StatusCode::TOO_MANY_REQUESTS;
            Err(Refusal { status, cause: "the limit of the account is used up", retry_after_ms })
        }
        Verdict::Unavailable => {
            count("unavailable");
            let jitter_ms = rand::random_range(0..=RETRY_JITTER_MS);
            let retry_after_ms = RETRY_AFTER_UNAVAILABLE_MS + jitter_ms;
            Err(Refusal::not_run("the limit of the account cannot be checked", retry_after_ms))
        }
    }
}

/// Counts a further run of an admitted request towards the limit of its account. It is not refused: what is beyond
/// the limit is taken from later requests.
pub fn charge(gateway: &Gateway, account: &Account, tokens: u64) {
    let Some(allotment) = &account.allotment else { return };
    let tracker = &gateway.allotments;
    let account_limit = (account_key(account), granted_limit(gateway, allotment));
    tracker.asker.borrow_mut().charge(account_limit, tokens, boot_ms());
    let labels = [account.name.as_str(), "repeated"];
    gateway.metrics.allotment_tokens_total.with_label_values(&labels).inc_by(tokens);
    tracker.due.notify_one();
}

/// Returns what a request was counted as that was admitted `admitted_ago_ms` ago and certainly has not run. Like
/// other granted tokens, these are used soon or not at all.
pub fn refund(gateway: &Gateway, account: &Account, tokens: u64, admitted_ago_ms: u64) {
    let now_ms = boot_ms();
    let admitted_ms = now_ms.saturating_sub(admitted_ago_ms);
    let mut asker = gateway.allotments.asker.borrow_mut();
    if asker.refund(account_key(account), tokens, admitted_ms, now_ms) {
        let labels = [account.name.as_str(), "refunded"];
        gateway.metrics.allotment_tokens_total.with_label_values(&labels).inc_by(tokens);
    }
}

/// Returns the limit that is granted of an allotment.
fn granted_limit(gateway: &Gateway, allotment: &Allotment) -> Limit {
    let settings = gateway.settings();
    Limit::of(allotment).with_tolerance(settings.quota_overshoot_permille, settings.quota_slack)
}

fn log_exceeded(gateway: &Gateway, account: &Account, key: u64) {
    let now_ms = gateway.now_ms();
    let mut exceeded = gateway.allotments.exceeded.borrow_mut();
    let row = exceeded.get_or_insert_with(key, Exceeded::default);
    row.refused += 1;
    if row.logged_ms.is_none_or(|logged_ms| now_ms >= logged_ms + LOG_INTERVAL_MS) {
        let line = gateway.log.line(events::ALLOTMENT_EXCEEDED, Severity::Notable);
        line.text("account", &account.name).number("refused", row.refused).emit();
        *row = Exceeded { logged_ms: Some(now_ms), refused: 0 };
    }
}

/// A request that waits for a decision. Dropping it withdraws the request, also when its caller disconnects.
struct Waiting<'a> {
    gateway: &'a Rc<Gateway>,
    ticket: u64,
    verdict: oneshot::Receiver<Verdict>,
}

impl<'a> Waiting<'a> {
    fn new(gateway: &'a Rc<Gateway>, ticket: u64) -> Self {
        let (sender, verdict) = oneshot::channel();
        gateway.allotments.waiting.borrow_mut().insert(ticket, sender);
        Self { gateway, ticket, verdict }
    }

    async fn wait(mut self) -> Verdict {
        tick(self.gateway);
        // The checks are more frequent from now on.
        self.gateway.allotments.due.notify_one();
        (&mut self.verdict).await.unwrap_or(Verdict::Unavailable)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let tracker = &self.gateway.allotments;
        if tracker.waiting.borrow_mut().remove(&self.ticket).is_some() {
            tracker.asker.borrow_mut().withdraw(self.ticket);
        }
    }
}

/// Asks for tokens and reports to the lead until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let tracker = &gateway.allotments;
        let is_busy = tracker.asker.borrow().is_busy();
        let interval = match (is_busy, has_limits(&gateway)) {
            (true, _) => BUSY_INTERVAL,
            (false, true) => IDLE_INTERVAL,
            (false, false) => UNUSED_INTERVAL,
        };
        let _ = timeout(interval, tracker.due.notified()).await;
        tick(&gateway);
    }
}

/// Updates the known limits; returns whether any account has one.
pub fn has_limits(gateway: &Gateway) -> bool {
    let mut known = gateway.allotments.known.borrow_mut();
    let Some(catalog) = gateway.catalog() else { return false };
    let version = (gateway.store.borrow().progress.era, catalog.version);
    if known.version != version {
        let limited = catalog.accounts.iter().filter_map(|account| {
            account
                .allotment
                .as_ref()
                .map(|allotment| (account_key(account), granted_limit(gateway, allotment)))
        });
        *known = KnownLimits { version, limits: limited.collect() };
    }
    !known.limits.is_empty()
}

fn tick(gateway: &Rc<Gateway>) {
    let tracker = &gateway.allotments;
    if !has_limits(gateway) && !tracker.asker.borrow().is_busy() {
        return;
    }
    let now_ms = boot_ms();
    update_ledger(gateway, now_ms);
    let own_fence = gateway.election.borrow().fence();
    let heard = gateway.lead.borrow().as_ref().map(|lead| (lead.fence, lead.addr));
    let lead = match own_fence {
        Some(fence) => Some((fence, None)),
        // A message of this instance's own earlier time as the lead names no address.
        None => heard.filter(|(_, addr)| addr.is_some()),
    };
    let polled = {
        let mut asker = tracker.asker.borrow_mut();
        asker.on_lead(lead.map(|(fence, _)| fence));
        asker.poll(now_ms)
    };
    decide(gateway, polled.decisions);
    log_reserve_use(gateway, now_ms);
    for question in polled.questions {
        gateway.metrics.allotment_questions_total.with_label_values(&["sent"]).inc();
        match lead {
            Some((_, Some(addr))) => {
                let message = AllotmentMessage::Question(question);
                send(gateway, addr, Payload::Allotment(message));
            }
            Some((_, None)) => {
                let own_id = gateway.settings().instance_id.clone();
                let version = tracker.known.borrow().version;
                if let Some(answer) = answer(gateway, &own_id, version, &question) {
                    apply(gateway, &answer);
                }
            }
            None => {}
        }
    }
}

fn decide(gateway: &Gateway, decisions: Vec<(u64, Verdict)>) {
    let mut waiting = gateway.allotments.waiting.borrow_mut();
    for (ticket, verdict) in decisions {
        if let Some(sender) = waiting.remove(&ticket) {
            // The caller may have left.
            let _ = sender.send(verdict);
        }
    }
}

fn log_reserve_use(gateway: &Gateway, now_ms: u64) {
    let tracker = &gateway.allotments;
    let asker = tracker.asker.borrow();
    let uses_reserve = asker.is_silent() && asker.holds_reserve(now_ms);
    if tracker.uses_reserve.replace(uses_reserve) != uses_reserve {
        let line = gateway.log.line(events::ALLOTMENT_RESERVE, Severity::Notable);
        line.text("in_use", uses_reserve).text("lead_answers", !asker.is_silent()).emit();
    }
}

/// Returns the fencing number if this instance leads and has proved so recently.
fn own_fence(gateway: &Gateway, now_ms: u64) -> Option<u64> {
    proved_fence(gateway.election.borrow().proof(), now_ms)
}

/// Creates the state of granting when this instance becomes the lead, drops it when the lead is lost, and applies
/// the time.
fn update_ledger(gateway: &Gateway, now_ms: u64) {
    let mut ledger = gateway.allotments.ledger.borrow_mut();
    let fence = gateway.election.borrow().fence();
    if ledger.as_ref().is_some_and(|ledger| Some(ledger.fence()) != fence) {
        *ledger = None;
    }
    let Some(fence) = own_fence(gateway, now_ms) else { return };
    let settings = gateway.settings();
    let log = |is_full: bool| {
        let line = gateway.log.line(events::ALLOTMENT_LEAD, Severity::Notable);
        line.number("fence", fence).text("full_rate", is_full).emit();
    };
    let ledger = ledger.get_or_insert_with(|| {
        log(false);
        Ledger::new(fence, settings.quota_slack, now_ms)
    });
    let peers = gateway.peers.borrow();
    let names = peers.unexpired(gateway.now_ms()).map(|(name, _)| name.as_str());
    let names: Vec<&str> = names.chain([settings.instance_id.as_str()]).collect();
    let known = gateway.allotments.has_read_peers.get().then_some(names.as_slice());
    if ledger.tick(known, now_ms) {
        log(true);
    }
}

/// Answers a question as the lead; `version` is the era and the version of the asking instance's configuration.
fn answer(
    gateway: &Gateway,
    name: &str,
    version: (u64, u64),
    question: &Question,
) -> Option<Answer> {
    let now_ms = boot_ms();
    update_ledger(gateway, now_ms);
    let fence = own_fence(gateway, now_ms)?;
    has_limits(gateway);
    let known = gateway.allotments.known.borrow();
    let limit = |asked: &AccountQuestion| match known.limits.get(&asked.account) {
        Some(limit) => KnownLimit::Limited(*limit),
        // The account or its limit is new.
        None if version > known.version => KnownLimit::Limited(asked.limit),
        None => KnownLimit::Unlimited,
    };
    let mut ledger = gateway.allotments.ledger.borrow_mut();
    let ledger = ledger.as_mut().filter(|ledger| ledger.fence() == fence)?;
    ledger.on_question(name, question, limit, now_ms)
}

fn apply(gateway: &Gateway, answer: &Answer) {
    let tracker = &gateway.allotments;
    let decisions = tracker.asker.borrow_mut().on_answer(answer, boot_ms());
    gateway.metrics.allotment_questions_total.with_label_values(&["answered"]).inc();
    decide(gateway, decisions);
    if tracker.asker.borrow().is_busy() {
        tracker.due.notify_one();
    }
}

/// Handles a message of the instance `name`, which knows the configuration `version` (with the era of the store).
pub fn on_message(
    gateway: &Gateway,
    (name, from): (&str, SocketAddr),
    version: (u64, u64),
    message: &AllotmentMessage,
) {
    match message {
        AllotmentMessage::Question(question) => match answer(gateway, name, version, question) {
            Some(answer) => {
                send(gateway, from, Payload::Allotment(AllotmentMessage::Answer(answer)));
            }
            None => gateway.metrics.allotment_questions_total.with_label_values(&["ignored"]).inc(),
        },
        AllotmentMessage::Answer(answer) => apply(gateway, answer),
    }
}
