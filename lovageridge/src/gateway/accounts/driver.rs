//! Checks the keys of requests, and keeps the knowledge fresh that the configuration is the newest one.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::accounts::Account;
use crate::gateway::accounts::PresentedKey;
use crate::gateway::accounts::admission;
use crate::gateway::accounts::admission::Admission;
use crate::gateway::accounts::admission::KeyCheck;
use crate::gateway::accounts::admission::Knowledge;
use crate::gateway::accounts::freshness::Answer;
use crate::gateway::accounts::freshness::AnswerResult;
use crate::gateway::accounts::freshness::Due;
use crate::gateway::accounts::freshness::Freshness;
use crate::gateway::accounts::freshness::FreshnessMessage;
use crate::gateway::accounts::freshness::InForce;
use crate::gateway::catalog::Catalog;
use crate::gateway::eventlog::Severity;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver::send;
use crate::gateway::response::Refusal;
use crate::telemetry::events;

/// Interval at which it is checked whether a question is due; a fraction of the shortest time between two.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The same while keys do not depend on fresh knowledge.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Peers that are asked at once when knowledge was not renewed in time.
const PEERS_ASKED: usize = 3;
/// Number of these that are of other failure domains, if there are any.
const OTHER_DOMAINS_ASKED: usize = 2;
/// Share of the limit after which an instance that relies on another one reads the store itself, in percent:
/// three rounds of questions after half of a limit of 5000 ms have then led to nothing.
const OWN_READ_PCT: u64 = 65;
/// Part of the limit for which a read may wait for records, so that knowledge is renewed before half of the
/// limit has passed: its age is up to two reads.
const READ_WAIT_DIVISOR: u64 = 6;
/// Age of the own reads up to which an unknown key is refused for good where knowledge need not be fresh, in
/// ms: two reads that wait for 1500 ms, and a margin.
const READS_CURRENT_MS: u64 = 4000;
/// Retry-After of requests whose key cannot be judged, in ms; random, so that callers do not return together.
const RETRY_AFTER_MS: std::ops::Range<u64> = 200..500;

/// State of the check of keys.
pub struct KeyChecker {
    freshness: RefCell<Freshness>,
    question_due: Notify,
    is_refusing: Cell<bool>,
}

impl Default for KeyChecker {
    fn default() -> Self {
        Self {
            freshness: RefCell::new(Freshness::new(rand::random())),
            question_due: Notify::new(),
            is_refusing: Cell::new(false),
        }
    }
}

/// Returns whether keys may be used only with fresh knowledge.
fn needs_freshness(gateway: &Gateway) -> bool {
    gateway.settings().strict_revoke
        && gateway.catalog().is_some_and(|catalog| !catalog.accounts.is_empty())
}

/// Returns whether requests with a key can be served now, as far as fresh knowledge is needed for that.
pub fn is_fresh(gateway: &Gateway) -> bool {
    let revoke_ms = gateway.settings().revoke_ms;
    !needs_freshness(gateway) || gateway.accounts.freshness.borrow().is_valid(revoke_ms, boot_ms())
}

/// Checks the key of a request; returns the account that it belongs to, or `None` if it needs none.
///
/// # Errors
/// Returns the refusal of a request that must not be served here.
pub fn check(
    gateway: &Gateway,
    catalog: &Catalog,
    is_public: bool,
    key: &PresentedKey,
) -> Result<Option<Account>, Refusal> {
    let accounts = &catalog.accounts;
    if accounts.is_empty() {
        return Ok(None);
    }
    let decision = admission::admit(accounts, is_public, key, knowledge(gateway));
    let (result, decided) = match decision {
        Admission::Admit(index) => {
            let account = index.and_then(|index| accounts.get(index)).cloned();
            (KeyCheck::Ok, Ok(account))
        }
        Admission::Reject(result) => {
            let cause = "the request has no valid key";
            (result, Err(Refusal::failed(StatusCode::UNAUTHORIZED, cause)))
        }
        Admission::Defer(result) => {
            let cause = "the configuration may be outdated";
            (result, Err(Refusal::not_run(cause, rand::random_range(RETRY_AFTER_MS))))
        }
    };
    if !is_public {
        gateway.metrics.key_checks_total.with_label_values(&[result.name()]).inc();
    }
    if result == KeyCheck::Stale {
        note_state(gateway);
    }
    decided
}

fn knowledge(gateway: &Gateway) -> Knowledge {
    let settings = gateway.settings();
    let now_ms = boot_ms();
    let freshness = gateway.accounts.freshness.borrow();
    let is_doubtful = if settings.strict_revoke {
        if !freshness.is_valid(settings.revoke_ms, now_ms) {
            return Knowledge::Stale;
        }
        freshness.is_overdue(settings.revoke_ms, now_ms)
    } else {
        let reads_are_old = freshness.age_ms(now_ms).is_none_or(|age_ms| age_ms > READS_CURRENT_MS);
        let is_unreachable = gateway.store.borrow().is_unreachable();
        is_unreachable || (reads_are_old && reader_addr(gateway).is_none())
    };
    let has_newer = gateway.store.borrow().heard.is_newer();
    if is_doubtful || has_newer { Knowledge::Doubtful } else { Knowledge::Current }
}

/// Records a read of the operator's records that was sent at `sent_ms` (boot time), after all that it returned
/// has been applied; it has returned all records.
pub fn on_read(gateway: &Gateway, sent_ms: u64) {
    gateway.accounts.freshness.borrow_mut().on_read(sent_ms);
    note_state(gateway);
}

/// Has a question sent at once that is due since a configuration has come into force: the first one, or one
/// that a peer had before this instance.
pub fn on_config(gateway: &Gateway) {
    gateway.accounts.freshness.borrow_mut().on_config();
    gateway.accounts.question_due.notify_one();
}

/// Returns whether the operator's records should be read by this instance itself, since the one that it
/// relies on did not renew its knowledge.
pub fn needs_own_read(gateway: &Gateway) -> bool {
    let limit_ms = gateway.settings().revoke_ms * OWN_READ_PCT / 100;
    let age_ms = gateway.accounts.freshness.borrow().age_ms(boot_ms());
    needs_freshness(gateway) && age_ms.is_none_or(|age_ms| age_ms >= limit_ms)
}

/// Returns the longest time for which a read of the operator's records may wait, in ms.
pub fn read_wait_max_ms(gateway: &Gateway) -> u64 {
    match needs_freshness(gateway) {
        true => gateway.settings().revoke_ms / READ_WAIT_DIVISOR,
        false => u64::MAX,
    }
}

/// Renews the knowledge until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let interval = if needs_freshness(&gateway) { CHECK_INTERVAL } else { IDLE_INTERVAL };
        renew(&gateway);
        // Whether a question has become due meanwhile or not, the state is checked anew.
        let _ = timeout(interval, gateway.accounts.question_due.notified()).await;
    }
}

fn renew(gateway: &Gateway) {
    note_state(gateway);
    if !needs_freshness(gateway) {
        return;
    }
    let now_ms = boot_ms();
    let revoke_ms = gateway.settings().revoke_ms;
    let reader = reader_addr(gateway);
    let due = gateway.accounts.freshness.borrow().due(revoke_ms, reader.is_some(), now_ms);
    let addrs = match due {
        Due::Nobody => return,
        Due::Reader => reader.into_iter().collect(),
        Due::Peers => reader.into_iter().chain(some_peers(gateway, reader)).collect::<Vec<_>>(),
    };
    if needs_own_read(gateway) {
        // Wakes the tail, which decides anew whom to rely on.
        gateway.reader_advanced.notify_waiters();
    }
    // The time is taken before the question is sent.
    let number = gateway.accounts.freshness.borrow_mut().question(boot_ms());
    for addr in addrs {
        gateway.metrics.freshness_questions_total.with_label_values(&["sent"]).inc();
        send(gateway, addr, Payload::Freshness(FreshnessMessage::Question { number }));
    }
}

fn reader_addr(gateway: &Gateway) -> Option<SocketAddr> {
    let settings = gateway.settings();
    let (peers, store) = (gateway.peers.borrow(), gateway.store.borrow());
    peers.reader(settings.rank(), &store, gateway.now_ms()).map(|(_, peer)| peer.addr)
}

/// Returns a few peers of the own and of other failure domains.
fn some_peers(gateway: &Gateway, reader: Option<SocketAddr>) -> Vec<SocketAddr> {
    let now_ms = gateway.now_ms();
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let others = || {
        let known = peers.unexpired(now_ms).filter(|(_, peer)| Some(peer.addr) != reader);
        known.map(|(_, peer)| (peer.domain == settings.domain, peer.addr))
    };
    let mut rng = rand::rng();
    let mut choose = |is_own: bool, count: usize| {
        let of_kind = others().filter(|(own, _)| *own == is_own).map(|(_, addr)| addr);
        of_kind.choose_multiple(&mut rng, count)
    };
    let mut chosen = choose(false, OTHER_DOMAINS_ASKED);
    chosen.extend(choose(true, PEERS_ASKED - chosen.len()));
    chosen
}

/// Handles a message of a peer about the freshness of configurations.
pub fn on_message(gateway: &Gateway, message: FreshnessMessage, from: SocketAddr) {
    match message {
        FreshnessMessage::Question { number } => {
            let Some(in_force) = in_force(gateway) else { return };
            let revoke_ms = gateway.settings().revoke_ms;
            let freshness = gateway.accounts.freshness.borrow();
            let answer = freshness.answer(number, in_force, revoke_ms, boot_ms());
            if let Some(answer) = answer {
                send(gateway, from, Payload::Freshness(FreshnessMessage::Answer(answer)));
            }
        }
        FreshnessMessage::Answer(answer) => on_answer(gateway, &answer),
    }
}

fn on_answer(gateway: &Gateway, answer: &Answer) {
    let Some(own) = in_force(gateway) else { return };
    let result = gateway.accounts.freshness.borrow_mut().on_answer(answer, &own);
    gateway.metrics.freshness_questions_total.with_label_values(&[result.name()]).inc();
    if result == AnswerResult::Renewed {
        note_state(gateway);
    }
}

fn in_force(gateway: &Gateway) -> Option<InForce> {
    let store = gateway.store.borrow();
    let config = store.config.as_ref()?;
    let progress = store.progress;
    let (era, version) = (progress.era, progress.config_version);
    Some(InForce { era, version, document: config.id })
}

/// Logs when requests with a key begin to be refused for lack of fresh knowledge, and when that ends.
fn note_state(gateway: &Gateway) {
    let freshness = gateway.accounts.freshness.borrow();
    let age_ms = freshness.age_ms(boot_ms());
    let age_ms = age_ms.map_or(-1, |age_ms| i64::try_from(age_ms).unwrap_or(i64::MAX));
    gateway.metrics.accounts_age_ms.set(age_ms);
    let is_refusing = !is_fresh(gateway);
    if gateway.accounts.is_refusing.replace(is_refusing) == is_refusing {
        return;
    }
    if is_refusing {
        let line = gateway.log.line(events::ACCOUNTS_STALE, Severity::Notable);
        line.number("age_ms", age_ms).emit();
    } else {
        let source = freshness.source().map_or("", |source| source.name());
        let line = gateway.log.line(events::ACCOUNTS_FRESH, Severity::Notable);
        line.text("source", source).number("age_ms", age_ms).emit();
    }
}
