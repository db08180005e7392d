//! What an instance knows about its allotments: stocks, waiting requests, and questions to the lead.

use crate::gateway::allotments::AccountQuestion;
use crate::gateway::allotments::Answer;
use crate::gateway::allotments::AppliedAnswer;
use crate::gateway::allotments::CONTACT_INTERVAL_MS;
use crate::gateway::allotments::IDLE_REPORTED_MS;
use crate::gateway::allotments::Limit;
use crate::gateway::allotments::Question;
use crate::gateway::allotments::STOCK_VALID_MS;
use crate::gateway::allotments::Shortfall;
use crate::gateway::allotments::stock::Stock;
use crate::sorted::Table;

/// Longest time that a request waits for a grant, in ms.
pub const WAIT_MAX_MS: u64 = 150;
/// Longest time that a request waits where no lead has answered since the start of the process, in ms: after a
/// start of all instances it takes that long until one of them leads.
const START_WAIT_MAX_MS: u64 = 1500;
/// Time after the start for which requests wait that long, in ms.
const START_MS: u64 = 5000;
/// Times after the first sending at which an unanswered question is sent again, in ms.
const REPEATS_MS: [u64; 2] = [40, 80];
/// Shortest time between two questions while the first is not answered, in ms; some round trips.
const QUESTION_INTERVAL_MS: u64 = 20;
/// Time after which a request whose need a new lead could not judge is asked about again, in ms.
const UNKNOWN_AGAIN_MS: u64 = 40;
/// Largest number of costs in a question about one account.
const COSTS_MAX: usize = 32;

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be sent.
    Admitted,
    /// The account's limit is used up; the bucket holds the tokens after this time, in ms.
    Exceeded(u64),
    /// No lead answers and there is no reserve.
    Unavailable,
}

/// Result of a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requested {
    /// It is decided.
    Decided(Verdict),
    /// It waits under this number.
    Waiting(u64),
}

/// What has to be done now.
#[derive(Clone, Debug, Default)]
pub struct Polled {
    /// Questions to send to the lead.
    pub questions: Vec<Question>,
    /// Decisions on waiting requests, by their numbers.
    pub decisions: Vec<(u64, Verdict)>,
}

#[derive(Clone, Debug)]
struct Waiter {
    ticket: u64,
    account: u64,
    cost: u64,
    until_ms: u64,
    // Question that states its cost.
    asked: Option<u64>,
    // Time from which on it is asked about again.
    again_ms: u64,
}

#[derive(Clone, Debug)]
struct Sent {
    question: Question,
    at_ms: u64,
    repeats: usize,
    is_answered: bool,
    // Use of reserves at that time, by account.
    reserves_used: Vec<(u64, u64)>,
}

/// State of an instance.
#[derive(Clone, Debug)]
pub struct Asker {
    process: u64,
    started_ms: u64,
    stocks: Table<u64, Stock>,
    // Use of reserves as stated in answered questions, by account.
    reported_used: Table<u64, u64>,
    waiters: Vec<Waiter>,
    sent: Vec<Sent>,
    last_number: u64,
    last_ticket: u64,
    applied: Option<AppliedAnswer>,
    // Time of the newest question that was answered.
    answered_ms: Option<u64>,
    last_sent_ms: Option<u64>,
    lead: Option<u64>,
    is_silent: bool,
    // Whether the lead should learn soon that its answer was applied.
    is_receipt_due: bool,
}

impl Asker {
    /// Returns the state of a process that has just started.
    pub fn new(process: u64, now_ms: u64) -> Self {
        Self {
            process,
            started_ms: now_ms,
            stocks: Table::new(),
            reported_used: Table::new(),
            waiters: Vec::new(),
            sent: Vec::new(),
            last_number: 0,
            last_ticket: 0,
            applied: None,
            answered_ms: None,
            last_sent_ms: None,
            lead: None,
            is_silent: false,
            is_receipt_due: false,
        }
    }

    /// Returns whether the lead does not answer, so that reserves are used.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Returns whether a request waits or a question may have to be repeated.
    pub fn is_busy(&self) -> bool {
        !self.waiters.is_empty()
            || self.is_receipt_due
            || self.sent.iter().any(|sent| !sent.is_answered)
    }

    /// Notes the fencing number of the lead that is asked from now on; `None` while none is known.
    pub fn on_lead(&mut self, fence: Option<u64>) {
        if self.lead != fence {
            self.lead = fence;
            // Questions to the former lead are not repeated to the new one, which is asked about all anew.
            self.waiters.iter_mut().for_each(|waiter| waiter.asked = None);
            self.sent.iter_mut().for_each(|sent| sent.repeats = REPEATS_MS.len());
        }
    }

    /// Requests the cost of a request, which waits for it until `until_ms` at most.
    pub fn request(
        &mut self,
        (account, limit): (u64, Limit),
        cost: u64,
        until_ms: u64,
        now_ms: u64,
    ) -> Requested {
        let has_waiters = self.waiters.iter().any(|waiter| waiter.account == account);
        let stock = self.stocks.get_or_insert_with(account, Stock::default);
        stock.limit = limit;
        let admitted = !has_waiters && stock.take(cost, now_ms)
            || self.is_silent && stock.take_reserve(cost, now_ms);
        if admitted {
            return Requested::Decided(Verdict::Admitted);
        }
        let is_starting = self.answered_ms.is_none() && now_ms < self.started_ms + START_MS;
        let wait_ms = if is_starting { START_WAIT_MAX_MS } else { WAIT_MAX_MS };
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let until_ms = until_ms.min(now_ms + wait_ms);
        self.waiters.push(Waiter {
            ticket,
            account,
            cost,
            until_ms,
            asked: None,
            again_ms: now_ms,
        });
        Requested::Waiting(ticket)
    }

    /// Counts a further run of an admitted request, which is not refused. The lead takes what the stock does not
    /// cover out of the bucket.
    pub fn charge(&mut self, (account, limit): (u64, Limit), cost: u64, now_ms: u64) {
        let stock = self.stocks.get_or_insert_with(account, Stock::default);
        stock.limit = limit;
        stock.charge(cost, now_ms);
        let reported = self.reported_used.get(&account).copied().unwrap_or(0);
        self.is_receipt_due |= reported != stock.reserve_used();
    }

    /// Takes back what a request was counted as that was admitted at `admitted_ms` and has not run; returns whether it
    /// can still be used.
    pub fn refund(&mut self, account: u64, cost: u64, admitted_ms: u64, now_ms: u64) -> bool {
        let is_usable = now_ms < admitted_ms + STOCK_VALID_MS;
        if is_usable && let Some(stock) = self.stocks.get_mut(&account) {
            stock.add(cost, admitted_ms);
        }
        is_usable
    }

    /// Returns whether any account has a reserve here.
    pub fn holds_reserve(&self, now_ms: u64) -> bool {
        self.stocks.values().any(|stock| stock.holds_reserve(now_ms))
    }

    /// Withdraws a waiting request, whose caller has left.
    pub fn withdraw(&mut self, ticket: u64) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Applies the time: repeats questions, asks new ones, and decides requests that have waited for too long.
    pub fn poll(&mut self, now_ms: u64) -> Polled {
        self.sent.retain(|sent| now_ms < sent.at_ms + STOCK_VALID_MS);
        let answered_ms = self.answered_ms;
        let is_missed = |sent: &Sent| {
            !sent.is_answered
                && now_ms >= sent.at_ms + WAIT_MAX_MS
                && answered_ms.is_none_or(|answered_ms| answered_ms < sent.at_ms)
        };
        if self.lead.is_none() || self.sent.iter().any(is_missed) {
            self.is_silent = true;
        }
        let decisions = self.decide(now_ms);
        let mut questions = Vec::new();
        if self.lead.is_some() {
            questions.extend(self.repeat(now_ms));
            questions.extend(self.ask(now_ms));
        }
        Polled { questions, decisions }
    }

    /// Decides waiting requests by the reserve: those that have waited for too long, and all if the lead is silent.
    fn decide(&mut self, now_ms: u64) -> Vec<(u64, Verdict)> {
        let mut decisions = Vec::new();
        let (stocks, is_silent) = (&mut self.stocks, self.is_silent);
        self.waiters.retain(|waiter| {
            let is_over = now_ms >= waiter.until_ms;
            if !is_over && !is_silent {
                return true;
            }
            let Some(stock) = stocks.get_mut(&waiter.account) else { return false };
            // A lead that has answered without granting is in contact.
            let may_use_reserve = is_silent || waiter.asked.is_some();
            let verdict = if may_use_reserve && stock.take_reserve(waiter.cost, now_ms) {
                Verdict::Admitted
            } else if !is_over {
                return true;
            } else {
                let wait_ms = stock.reserve_wait_ms(waiter.cost, now_ms);
                wait_ms.map_or(Verdict::Unavailable, Verdict::Exceeded)
            };
            decisions.push((waiter.ticket, verdict));
            false
        });
        decisions
    }

    fn repeat(&mut self, now_ms: u64) -> Vec<Question> {
        let mut questions = Vec::new();
        for sent in self.sent.iter_mut().filter(|sent| !sent.is_answered) {
            let due_ms = REPEATS_MS.get(sent.repeats).map(|after_ms| sent.at_ms + after_ms);
            if due_ms.is_some_and(|due_ms| now_ms >= due_ms) {
                sent.repeats += 1;
                questions.push(sent.question.clone());
            }
        }
        questions
    }

    fn is_introduced(&self) -> bool {
        self.applied.is_some_and(|applied| Some(applied.fence) == self.lead)
    }

    fn ask(&mut self, now_ms: u64) -> Option<Question> {
        let since_ms = self.last_sent_ms.map_or(u64::MAX, |sent_ms| now_ms.saturating_sub(sent_ms));
        let is_open = self.sent.last().is_some_and(|sent| !sent.is_answered);
        let needs_tokens =
            self.waiters.iter().any(|waiter| waiter.asked.is_none() && now_ms >= waiter.again_ms);
        let needs_contact =
            !self.is_introduced() || self.stocks.values().any(|stock| stock.holds_reserve(now_ms));
        let is_due = self.is_receipt_due
            || needs_tokens && (!is_open || since_ms >= QUESTION_INTERVAL_MS)
            || needs_contact && since_ms >= CONTACT_INTERVAL_MS;
        is_due.then(|| self.question(now_ms))
    }

    fn question(&mut self, now_ms: u64) -> Question {
        self.last_number += 1;
        let number = self.last_number;
        let is_introduced = self.is_introduced();
        let mut accounts = Vec::new();
        for (account, stock) in self.stocks.iter() {
            let is_open =
                |waiter: &&mut Waiter| waiter.account == *account && waiter.asked.is_none();
            let open = self.waiters.iter_mut().filter(is_open);
            let mut covered = stock.tokens(now_ms);
            let mut costs: Vec<u64> = Vec::new();
            for waiter in open.take(COSTS_MAX) {
                waiter.asked = Some(number);
                let missing = waiter.cost.saturating_sub(covered);
                covered = covered.saturating_sub(waiter.cost);
                costs.push(missing);
            }
            let idle_ms =
                stock.last_use_ms().map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
            let reported = self.reported_used.get(account).copied().unwrap_or(0);
            let reserve = stock.held_reserve(now_ms);
            let is_news = !is_introduced && (reserve.is_some() || idle_ms < IDLE_REPORTED_MS);
            if costs.is_empty() && reported == stock.reserve_used() && !is_news {
                continue;
            }
            accounts.push(AccountQuestion {
                account: *account,
                limit: stock.limit,
                extra: if costs.is_empty() { 0 } else { stock.extra(now_ms) },
                costs,
                reserve: reserve.filter(|_| !is_introduced),
                reserve_used: stock.reserve_used(),
                idle_ms,
            });
        }
        let age_ms = now_ms.saturating_sub(self.started_ms);
        let applied = self.applied;
        let question = Question { number, process: self.process, age_ms, applied, accounts };
        let reserves_used = self.stocks.iter().map(|(account, one)| (*account, one.reserve_used()));
        self.sent.push(Sent {
            question: question.clone(),
            at_ms: now_ms,
            repeats: 0,
            is_answered: false,
            reserves_used: reserves_used.collect(),
        });
        self.last_sent_ms = Some(now_ms);
        self.is_receipt_due = false;
        question
    }

    /// Applies an answer; returns decisions on waiting requests.
    pub fn on_answer(&mut self, answer: &Answer, now_ms: u64) -> Vec<(u64, Verdict)> {
        let is_older = self.applied.is_some_and(|applied| answer.fence < applied.fence);
        let found = self.sent.iter_mut().find(|sent| sent.question.number == answer.number);
        let Some(sent) = found.filter(|sent| !sent.is_answered) else { return Vec::new() };
        if answer.process != self.process || is_older {
            return Vec::new();
        }
        sent.is_answered = true;
        let sent = sent.clone();
        self.answered_ms = self.answered_ms.max(Some(sent.at_ms));
        self.apply_reserves(answer, &sent);
        let mut decisions = Vec::new();
        for part in &answer.accounts {
            let Some(stock) = self.stocks.get_mut(&part.account) else { continue };
            stock.add(part.granted, sent.at_ms);
            let mut is_short = false;
            self.waiters.retain_mut(|waiter| {
                if waiter.account != part.account {
                    return true;
                }
                if !is_short && stock.take(waiter.cost, now_ms) {
                    decisions.push((waiter.ticket, Verdict::Admitted));
                    return false;
                }
                is_short = true;
                if waiter.asked != Some(answer.number) {
                    return true;
                }
                waiter.asked = None;
                match part.shortfall {
                    Shortfall::Wait(wait_ms) => {
                        decisions.push((waiter.ticket, Verdict::Exceeded(wait_ms)));
                        false
                    }
                    Shortfall::None => true,
                    Shortfall::Unknown => {
                        waiter.again_ms = now_ms + UNKNOWN_AGAIN_MS;
                        true
                    }
                }
            });
        }
        decisions
    }

    fn apply_reserves(&mut self, answer: &Answer, sent: &Sent) {
        let applied = AppliedAnswer { fence: answer.fence, number: answer.number };
        let former = self.applied;
        if former >= Some(applied) {
            return;
        }
        let is_same_lead = former.is_some_and(|former| former.fence == answer.fence);
        self.applied = Some(applied);
        self.is_receipt_due = !is_same_lead || self.is_silent;
        self.is_silent = false;
        for part in &sent.question.accounts {
            self.reported_used.insert(part.account, part.reserve_used);
        }
        for (account, stock) in self.stocks.iter_mut() {
            let used = sent.reserves_used.iter().find(|(id, _)| id == account);
            let used = used.map_or(0, |(_, used)| *used);
            match answer.accounts.iter().find(|part| part.account == *account) {
                Some(part) => stock.set_reserve(part.reserve_per_s, part.early, sent.at_ms, used),
                None if is_same_lead => stock.renew_reserve(sent.at_ms, used),
                None => {}
            }
        }
    }
}
