//! What the lead knows about allotments: buckets of all accounts, instances in contact, and their reserves.
//!
//! Of the rate of an account, each part can be used in one place only: by the bucket, or by an instance as its
//! reserve. While an instance is in contact, its reserve's rate flows into the bucket, and what it uses of the
//! reserve nonetheless is taken out again when it reports. While it is silent, its rate is taken out of the
//! bucket until the reserve has expired.

use crate::gateway::allotments::AccountAnswer;
use crate::gateway::allotments::AccountQuestion;
use crate::gateway::allotments::Answer;
use crate::gateway::allotments::AppliedAnswer;
use crate::gateway::allotments::CONTACT_INTERVAL_MS;
use crate::gateway::allotments::HeldReserve;
use crate::gateway::allotments::IDLE_REPORTED_MS;
use crate::gateway::allotments::Limit;
use crate::gateway::allotments::Question;
use crate::gateway::allotments::RESERVE_VALID_MS;
use crate::gateway::allotments::Shortfall;
use crate::gateway::allotments::TAKEOVER_MS;
use crate::gateway::allotments::bucket::Bucket;
use crate::sorted::Table;

/// Time without a question after which an instance counts as silent, in ms.
pub const SILENT_MS: u64 = 600;
/// Time by which the lead counts a reserve as expired later than its holder, in ms, as clocks have ms only.
const EXPIRY_MARGIN_MS: u64 = 100;
/// Time after its last question after which an instance is forgotten, in ms.
const FORGET_MS: u64 = 60_000;
/// Time without tokens that were put back after which as many as the burst may be put back again, in ms: the window in
/// which the use of a limit is judged.
const CREDITED_MS: u64 = 8000;
/// Number of answers that are kept for repeated questions.
const ANSWERS_MAX: usize = 8;
/// Time whose grants decide the shares of reserves, in s at the full rate.
const SHARE_S: f64 = 4.0;
/// Part of the tolerated excess, as a divisor, that reserves may use early.
const EARLY_DIVISOR: u64 = 4;
/// Part of the tolerated excess, as a divisor, that a new lead's bucket starts with. Several changes of the lead
/// fit into a window.
const START_DIVISOR: u64 = 8;
/// Number of instances from which on the reserve of each is bounded. Among fewer, one may need all of the rate.
const BOUNDED_INSTANCES: usize = 8;
/// Largest reserve of an instance then, in percent of the rate.
const RESERVE_MAX_PCT: u64 = 30;
/// Instances without a report with which a new lead grants nothing of its own. For each of them it grants an eighth
/// less, which over a window is what a reserve of a fifth gives in the five seconds for which it is valid; what one
/// of the largest gives beyond that is within the tolerance. A lead that waited for an instance which was removed
/// for good granted nothing for six seconds after all others had started again.
const UNREPORTED_MAX: usize = 8;
/// Change of a reserve, in percent, below which the holder is not told.
const RESERVE_CHANGE_PCT: u64 = 10;
/// Scale of the weights at which they are normalized, far below the largest number.
const SCALE_MAX: f64 = 1e60;

/// What the lead knows about the configuration of an account in a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KnownLimit {
    /// It has this limit.
    Limited(Limit),
    /// It has none.
    Unlimited,
}

/// An instance, that is, one process of it.
#[derive(Clone, Debug)]
struct Instance {
    name: String,
    process: u64,
    heard_ms: u64,
    // Time of the last answer; its reserves are valid for some time after it.
    answered_ms: u64,
    started_ms: u64,
    // First question after a time of silence, until its answer is known to have been applied.
    returned: Option<u64>,
    answers: Vec<(u64, Answer)>,
    // Questions up to this number are not answered any more.
    floor: u64,
}

impl Instance {
    fn expires_ms(&self) -> u64 {
        self.answered_ms + RESERVE_VALID_MS + EXPIRY_MARGIN_MS
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        now_ms > self.heard_ms + SILENT_MS
    }
}

/// An instance's part of an account.
#[derive(Clone, Debug, Default)]
struct Holder {
    weight: f64,
    // Highest rate that its reserve may have.
    held: u64,
    // Question with whose answer a rate was sent, and that rate, until the answer is known to have been applied.
    sent: Option<(u64, u64)>,
    // Whether the reserve is known to have the rate `held`.
    is_confirmed: bool,
    // Reserve of a former lead, until it is known to have been replaced.
    former: Option<HeldReserve>,
    // Tokens that were taken out of the bucket during silence, and the time up to which.
    charged: f64,
    charged_until_ms: u64,
    used: u64,
}

impl Holder {
    /// Notes that the reserve has expired. Its holder is told the rate of the next one in any case.
    fn expire(&mut self) {
        self.held = 0;
        self.sent = None;
        self.is_confirmed = false;
    }

    /// Returns whether the reserve stays as it is although `wanted` would be its right rate now.
    fn keeps(&self, wanted: u64) -> bool {
        let change_pct = self.held.abs_diff(wanted).saturating_mul(100);
        self.is_confirmed && change_pct <= self.held.saturating_mul(RESERVE_CHANGE_PCT)
    }
}

/// An account with a limit.
#[derive(Clone, Debug)]
struct LimitedAccount {
    bucket: Bucket,
    holders: Table<u32, Holder>,
    total_weight: f64,
    scale: f64,
    // Sum of the rates of a former lead's reserves that have been replaced.
    taken_over: u64,
    spent: f64,
    last_use_ms: u64,
    // Whether an instance holds a reserve of a former lead.
    has_former: bool,
    // Tokens that were put back into the bucket, and when the last were.
    credited: f64,
    credited_ms: u64,
}

/// State of a lead.
#[derive(Clone, Debug)]
pub struct Ledger {
    fence: u64,
    claimed_ms: u64,
    slack: u64,
    // Time from which on accounts that no report mentions were not used; `None` during the takeover.
    unused_from_ms: Option<u64>,
    // Part of the rates that no instance without a report can hold as a reserve, during the takeover.
    free_part: f64,
    instances: Table<u32, Instance>,
    last_id: u32,
    accounts: Table<u64, LimitedAccount>,
}

impl Ledger {
    /// Returns the state of a lead whose claim succeeded at `now_ms`; `slack` is the number of tokens that are
    /// tolerated beyond the limits in a window.
    pub fn new(fence: u64, slack: u64, now_ms: u64) -> Self {
        Self {
            fence,
            claimed_ms: now_ms,
            slack,
            unused_from_ms: None,
            free_part: 0.0,
            instances: Table::new(),
            last_id: 0,
            accounts: Table::new(),
        }
    }

    /// Returns the fencing number of the lead.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the buckets are filled at the full rates.
    pub fn is_full(&self) -> bool {
        self.unused_from_ms.is_some()
    }

    /// Returns the part of the rates that may be granted; during the takeover, beside what was given up to this lead.
    fn granted_part(&self) -> f64 {
        if self.is_full() { 1.0 } else { self.free_part }
    }

    /// Applies the time and the names of all instances that are known; `None` if they may not be known yet. Returns
    /// whether the buckets are filled at the full rates from now on.
    pub fn tick(&mut self, known: Option<&[&str]>, now_ms: u64) -> bool {
        self.forget(now_ms);
        if self.is_full() {
            return false;
        }
        let has_reported = |name: &&str| self.instances.values().any(|one| one.name == *name);
        let unreported = known.map(|known| known.iter().filter(|name| !has_reported(name)).count());
        let all_reported = unreported == Some(0);
        let ids: Vec<u64> = self.accounts.keys().copied().collect();
        ids.iter().for_each(|id| self.advance(*id, now_ms));
        let is_bounded = known.is_some_and(|known| known.len() >= BOUNDED_INSTANCES);
        let unreported_part = match unreported.filter(|_| is_bounded) {
            Some(count) => count as f64 / UNREPORTED_MAX as f64,
            None => 1.0,
        };
        self.free_part = (1.0 - unreported_part).max(0.0);
        if !all_reported && now_ms < self.claimed_ms + TAKEOVER_MS {
            return false;
        }
        let unused_from_ms = if all_reported {
            let started_ms = self.instances.values().map(|one| one.started_ms).max();
            started_ms.unwrap_or(now_ms).max(now_ms.saturating_sub(IDLE_REPORTED_MS))
        } else {
            now_ms
        };
        for (_, account) in self.accounts.iter_mut() {
            // What reserves have not used is in the bucket already, and the former bucket may have been in debt.
            if !all_reported || account.has_former {
                continue;
            }
            // Nobody has used it since then, except by grants of this lead.
            let unused_ms = now_ms.saturating_sub(account.last_use_ms.max(unused_from_ms));
            let limit = account.bucket.limit();
            let saved =
                (limit.rate_per_s as f64 * unused_ms as f64 / 1000.0).min(limit.burst as f64);
            account.bucket.add((saved - account.spent - account.bucket.level()).max(0.0));
        }
        self.unused_from_ms = Some(unused_from_ms);
        true
    }

    /// Forgets instances that have long been silent and hold nothing.
    fn forget(&mut self, now_ms: u64) {
        let is_old = |one: &Instance| now_ms > one.heard_ms + FORGET_MS;
        let old: Vec<u32> =
            self.instances.iter().filter(|(_, one)| is_old(one)).map(|(id, _)| *id).collect();
        for id in old {
            let accounts: Vec<u64> = self.accounts.keys().copied().collect();
            accounts.iter().for_each(|account| self.advance(*account, now_ms));
            for (_, account) in self.accounts.iter_mut() {
                if let Some(holder) = account.holders.remove(&id) {
                    account.total_weight -= holder.weight;
                }
            }
            self.instances.remove(&id);
        }
    }

    /// Answers a question of an instance; `None` if it is an old one that was delayed. `known` tells the limit of an
    /// account as the lead has to apply it.
    pub fn on_question(
        &mut self,
        name: &str,
        question: &Question,
        known: impl Fn(&AccountQuestion) -> KnownLimit,
        now_ms: u64,
    ) -> Option<Answer> {
        let id = self.find_or_add(name, question, now_ms);
        let instance = self.instances.get_mut(&id)?;
        let answered = instance.answers.iter().find(|(number, _)| *number == question.number);
        if let Some((_, answer)) = answered {
            return Some(answer.clone());
        }
        if question.number <= instance.floor {
            return None;
        }
        self.on_heard(id, question.number, now_ms);
        if let Some(applied) = question.applied.filter(|applied| applied.fence == self.fence) {
            self.on_applied(id, applied, now_ms);
        }
        let mut parts = Vec::new();
        for asked in &question.accounts {
            let (granted, shortfall) = match known(asked) {
                KnownLimit::Limited(limit) => self.grant(id, asked, limit, now_ms),
                KnownLimit::Unlimited => (sum(&asked.costs), Shortfall::None),
            };
            parts.push(AccountAnswer {
                granted,
                shortfall,
                ..AccountAnswer::without_grant(asked.account)
            });
        }
        self.set_reserves(id, question.number, &mut parts);
        let Question { number, process, .. } = *question;
        let answer = Answer { number, process, fence: self.fence, accounts: parts };
        let instance = self.instances.get_mut(&id)?;
        instance.answered_ms = now_ms;
        instance.answers.push((number, answer.clone()));
        if instance.answers.len() > ANSWERS_MAX {
            let (number, _) = instance.answers.remove(0);
            instance.floor = instance.floor.max(number);
        }
        Some(answer)
    }

    fn find_or_add(&mut self, name: &str, question: &Question, now_ms: u64) -> u32 {
        let process = question.process;
        // A process that has started again is another instance; the reserve of the former one is counted until
        // it has expired.
        let is_same = |one: &Instance| one.process == process && one.name == name;
        if let Some((id, _)) = self.instances.iter().find(|(_, one)| is_same(one)) {
            return *id;
        }
        self.last_id += 1;
        let instance = Instance {
            name: name.to_owned(),
            process,
            heard_ms: now_ms,
            answered_ms: now_ms,
            started_ms: now_ms.saturating_sub(question.age_ms),
            returned: None,
            answers: Vec::new(),
            floor: question.number.saturating_sub(1),
        };
        self.instances.insert(self.last_id, instance);
        self.last_id
    }

    fn accounts_of(&self, id: u32) -> Vec<u64> {
        let held = self.accounts.iter().filter(|(_, account)| account.holders.contains(&id));
        held.map(|(account, _)| *account).collect()
    }

    fn on_heard(&mut self, id: u32, number: u64, now_ms: u64) {
        let Some(instance) = self.instances.get(&id) else { return };
        let was_silent = instance.is_silent(now_ms);
        let has_expired = now_ms >= instance.expires_ms();
        for account in self.accounts_of(id) {
            if was_silent {
                self.advance(account, now_ms);
            }
            let holder = self.accounts.get_mut(&account).and_then(|one| one.holders.get_mut(&id));
            if let Some(holder) = holder {
                holder.charged_until_ms = now_ms;
                if has_expired {
                    holder.expire();
                }
            }
        }
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.heard_ms = now_ms;
            if was_silent {
                instance.returned = Some(number);
            }
        }
    }

    /// Notes that an instance has applied an answer: former reserves are replaced, and what it did not use during
    /// its silence will not be used.
    fn on_applied(&mut self, id: u32, applied: AppliedAnswer, now_ms: u64) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        let has_returned = instance.returned.is_some_and(|number| number <= applied.number);
        if has_returned {
            instance.returned = None;
        }
        for key in self.accounts_of(id) {
            let has_former = |one: &LimitedAccount| {
                one.holders.get(&id).is_some_and(|holder| holder.former.is_some())
            };
            if self.accounts.get(&key).is_some_and(has_former) {
                self.advance(key, now_ms);
            }
            let Some(account) = self.accounts.get_mut(&key) else { continue };
            let Some(holder) = account.holders.get_mut(&id) else { continue };
            if let Some((number, rate)) = holder.sent
                && number <= applied.number
            {
                holder.held = rate;
                holder.sent = None;
                holder.is_confirmed = true;
            }
            let former = if holder.is_confirmed { holder.former.take() } else { None };
            let unused = if has_returned { std::mem::take(&mut holder.charged) } else { 0.0 };
            account.credit(unused, now_ms);
            if let Some(former) = former {
                account.taken_over += former.rate_per_s;
                // The former lead may have granted what the reserve has given since the last question.
                let doubled = former.rate_per_s.saturating_mul(CONTACT_INTERVAL_MS) / 1000;
                account.credit(former.unspent as f64 - doubled as f64, now_ms);
            }
        }
    }

    /// Applies a question about an account and grants tokens.
    fn grant(
        &mut self,
        id: u32,
        asked: &AccountQuestion,
        limit: Limit,
        now_ms: u64,
    ) -> (u64, Shortfall) {
        let start = self.start_level(limit, now_ms);
        let (claimed_ms, is_full) = (self.claimed_ms, self.is_full());
        let is_granting = self.granted_part() > 0.0;
        let account = self.accounts.get_or_insert_with(asked.account, || LimitedAccount {
            bucket: Bucket::new(limit, start, now_ms),
            holders: Table::new(),
            total_weight: 0.0,
            scale: 1.0,
            taken_over: 0,
            spent: 0.0,
            last_use_ms: claimed_ms.saturating_sub(IDLE_REPORTED_MS),
            has_former: false,
            credited: 0.0,
            credited_ms: 0,
        });
        if account.bucket.limit() != limit {
            account.bucket.set_limit(limit);
        }
        account.add_holder(id, asked, is_full, now_ms);
        self.advance(asked.account, now_ms);
        let rate = self.rate_of(asked.account);
        let Some(account) = self.accounts.get_mut(&asked.account) else {
            return (0, Shortfall::Unknown);
        };
        account.on_reserve_used(id, asked.reserve_used);
        let extra = if is_granting { asked.extra } else { 0 };
        let (granted, shortfall) = account.bucket.grant(&asked.costs, extra, rate);
        account.spent += granted as f64;
        account.add_weight(id, granted as f64);
        match shortfall {
            Shortfall::Wait(_) if !is_full => (granted, Shortfall::Unknown),
            shortfall => (granted, shortfall),
        }
    }

    fn start_level(&self, limit: Limit, now_ms: u64) -> f64 {
        match self.unused_from_ms {
            Some(from_ms) => {
                limit.rate_per_s as f64 * now_ms.saturating_sub(from_ms) as f64 / 1000.0
            }
            None => ((self.slack / START_DIVISOR).min(limit.rate_per_s)) as f64,
        }
    }

    /// Returns the rate at which the bucket of an account is filled, in tokens a second.
    fn rate_of(&self, account: u64) -> f64 {
        let Some(account) = self.accounts.get(&account) else { return 0.0 };
        let full = account.bucket.limit().rate_per_s;
        (account.taken_over.min(full) as f64).max(full as f64 * self.granted_part())
    }

    /// Fills the bucket of an account up to `now_ms`, less what silent instances may use.
    fn advance(&mut self, account: u64, now_ms: u64) {
        let rate = self.rate_of(account);
        let Some(account) = self.accounts.get_mut(&account) else { return };
        let mut charge = 0.0;
        for (id, holder) in account.holders.iter_mut() {
            let Some(instance) = self.instances.get(id) else { continue };
            if holder.held == 0 || !instance.is_silent(now_ms) {
                continue;
            }
            let until_ms = now_ms.min(instance.expires_ms());
            let silent_ms = until_ms.saturating_sub(holder.charged_until_ms);
            let part = holder.held as f64 * silent_ms as f64 / 1000.0;
            holder.charged_until_ms = holder.charged_until_ms.max(until_ms);
            holder.charged += part;
            charge += part;
            if now_ms >= instance.expires_ms() {
                holder.expire();
            }
        }
        account.bucket.advance(rate, charge, now_ms);
    }

    /// Sets the reserves of an instance in an answer: in proportion to the tokens granted, and with a sum over all
    /// instances within the rate. While instances without a report may hold all of it, they stay as a former lead has
    /// set them.
    fn set_reserves(&mut self, id: u32, number: u64, parts: &mut Vec<AccountAnswer>) {
        let (granted_part, slack) = (self.granted_part(), self.slack);
        let is_bounded = self.instances.len() >= BOUNDED_INSTANCES;
        let max_pct = if is_bounded { RESERVE_MAX_PCT } else { 100 };
        for (key, account) in self.accounts.iter_mut() {
            let place = parts.iter().position(|part| part.account == *key);
            let Some(holder) = account.holders.get(&id) else { continue };
            let wanted = match granted_part > 0.0 {
                true => account.wanted_reserve(id, granted_part, max_pct),
                false => holder.held,
            };
            let is_kept = holder.keeps(wanted);
            if is_kept && place.is_none() {
                continue;
            }
            let rate = if is_kept { holder.held } else { wanted };
            let early = account.early(rate, slack);
            if !is_kept && let Some(holder) = account.holders.get_mut(&id) {
                holder.held = holder.held.max(rate);
                holder.sent = Some((number, rate));
                holder.is_confirmed = false;
            }
            let place = place.unwrap_or_else(|| {
                parts.push(AccountAnswer::without_grant(*key));
                parts.len() - 1
            });
            parts[place].reserve_per_s = rate;
            parts[place].early = early;
        }
    }
}

impl LimitedAccount {
    /// Returns the rate that the reserve of an instance should have, if it may be `max_pct` of the rate and all of them
    /// together `granted_part` of it.
    fn wanted_reserve(&self, id: u32, granted_part: f64, max_pct: u64) -> u64 {
        let Some(holder) = self.holders.get(&id).filter(|_| self.total_weight > 0.0) else {
            return 0;
        };
        let full = self.bucket.limit().rate_per_s;
        let rate_per_s = (full as f64 * granted_part) as u64;
        let wanted = (rate_per_s as f64 * holder.weight / self.total_weight) as u64;
        let wanted = wanted.min(full * max_pct / 100);
        if holder.keeps(wanted) {
            return wanted;
        }
        let others = self.holders.iter().filter(|(other, _)| **other != id);
        let others = others.map(|(_, holder)| holder.held).fold(0, u64::saturating_add);
        wanted.min(rate_per_s.saturating_sub(others))
    }

    /// Returns the number of tokens that a reserve may use before it has given them. There are none while the
    /// bucket is in debt, since such use would add up over answers.
    fn early(&self, reserve_per_s: u64, slack: u64) -> u64 {
        let rate_per_s = self.bucket.limit().rate_per_s;
        if self.bucket.level() < 0.0 {
            return 0;
        }
        (slack / EARLY_DIVISOR).min(rate_per_s) * reserve_per_s / rate_per_s.max(1)
    }

    /// Puts tokens that were not used back into the bucket. They come from many instances one after the other, but
    /// together a bucket would not have saved up more than the burst.
    fn credit(&mut self, tokens: f64, now_ms: u64) {
        if now_ms > self.credited_ms + CREDITED_MS {
            self.credited = 0.0;
        }
        let free = (self.bucket.limit().burst as f64 - self.credited).max(0.0);
        let before = self.bucket.level();
        self.bucket.add(tokens.min(free));
        let added = (self.bucket.level() - before).max(0.0);
        if added > 0.0 {
            self.credited += added;
            self.credited_ms = now_ms;
        }
    }

    /// Adds the instance with what it states, unless it is known.
    fn add_holder(&mut self, id: u32, asked: &AccountQuestion, is_full: bool, now_ms: u64) {
        if self.holders.contains(&id) {
            return;
        }
        // Later uses are those of this lead's grants.
        self.last_use_ms = self.last_use_ms.max(now_ms.saturating_sub(asked.idle_ms));
        let held = asked.reserve.map_or(0, |reserve| reserve.rate_per_s);
        self.has_former |= held > 0;
        let weight = held as f64 * SHARE_S * self.scale;
        self.total_weight += weight;
        let holder = Holder {
            weight,
            held,
            is_confirmed: held == 0,
            former: asked.reserve.filter(|_| !is_full),
            charged_until_ms: now_ms,
            used: asked.reserve_used,
            ..Holder::default()
        };
        self.holders.insert(id, holder);
    }

    /// Takes what an instance has used of reserves out of the bucket, unless its silence has been charged.
    fn on_reserve_used(&mut self, id: u32, used: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let tokens = used.saturating_sub(holder.used) as f64;
        holder.used = holder.used.max(used);
        let charged = tokens.min(holder.charged);
        holder.charged -= charged;
        self.bucket.add(charged - tokens);
        self.spent += tokens;
        self.add_weight(id, tokens);
    }

    /// Counts granted tokens towards the share of an instance. Older ones count less the more are granted.
    fn add_weight(&mut self, id: u32, tokens: f64) {
        let memory = self.bucket.limit().rate_per_s as f64 * SHARE_S;
        if tokens <= 0.0 || memory <= 0.0 {
            return;
        }
        self.scale *= (tokens / memory).min(1.0).exp();
        let weight = tokens * self.scale;
        self.total_weight += weight;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.weight += weight;
        }
        if self.scale > SCALE_MAX {
            self.holders.iter_mut().for_each(|(_, holder)| holder.weight /= self.scale);
            self.total_weight /= self.scale;
            self.scale = 1.0;
        }
    }
}

fn sum(costs: &[u64]) -> u64 {
    costs.iter().copied().fold(0, u64::saturating_add)
}
