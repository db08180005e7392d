//! Rate limits of accounts over all instances.
//!
//! The lead keeps a token bucket for each limited account and grants tokens to the instances that ask for
//! them. An instance that cannot reach the lead uses a reserve, a part of the rate that the lead has set
//! aside for it. See `docs/design/allotments.md`.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::accounts::Allotment;

pub mod asker;
pub mod bucket;
pub mod driver;
pub mod ledger;
pub mod stock;

#[cfg(test)]
mod tests;

/// Time after the sending of a question for which the tokens of its answer may be used, in ms. It bounds the
/// difference between the tokens granted and those used in a window.
pub const STOCK_VALID_MS: u64 = 500;
/// Time after the sending of the last answered question for which a reserve may be used, in ms.
pub const RESERVE_VALID_MS: u64 = 5000;
/// Time between questions that only show that the instance is in contact, in ms. Two may be lost before the lead
/// counts its reserves as in use.
pub const CONTACT_INTERVAL_MS: u64 = 200;
/// Time after its claim at which a new lead no longer waits for reports, in ms: all reserves that its
/// predecessor may have granted have expired, with the time that a renewal is valid as a margin.
pub const TAKEOVER_MS: u64 = 6200;
/// Time after the start of the last successful claim or renewal for which a lead grants tokens, in ms. It is
/// shorter than the time for which others wait before they claim.
pub const PROOF_VALID_MS: u64 = 1000;
/// Time for which a report states the last use of an account, in ms.
pub const IDLE_REPORTED_MS: u64 = 5000;

/// Rate limit of an account, in its units.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// Units a second.
    pub rate_per_s: u64,
    /// Units that may be used at once after a time of rest.
    pub burst: u64,
}

impl Limit {
    /// Returns the limit that the configuration states. Without a stated burst, a second's units may be used at
    /// once.
    pub fn of(allotment: &Allotment) -> Self {
        let rate_per_s = allotment.rate_per_s;
        let burst = if allotment.burst == 0 { rate_per_s } else { allotment.burst };
        Self { rate_per_s, burst }
    }

    /// Returns the limit with the part of the tolerance that is granted: a quarter of `overshoot_permille` of the
    /// rate, and half of `slack`. Granted tokens that expire unused, and reserves, would otherwise make the limit lower
    /// than it is configured; the rest is left for reserves that overlap with grants.
    pub fn with_tolerance(self, overshoot_permille: u64, slack: u64) -> Self {
        let raised = self.rate_per_s.saturating_mul(overshoot_permille) / (4 * 1000);
        Self {
            rate_per_s: self.rate_per_s.saturating_add(raised),
            burst: self.burst.saturating_add(slack / 2),
        }
    }
}

/// The answer of a lead that an instance has applied last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AppliedAnswer {
    /// Fencing number of the lead.
    pub fence: u64,
    /// Number of the question.
    pub number: u64,
}

/// A reserve that an instance holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldReserve {
    /// Tokens a second.
    pub rate_per_s: u64,
    /// Tokens that it has given and that were not used.
    pub unspent: u64,
}

/// Part of a question that concerns one account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountQuestion {
    /// Hash of the account's name.
    pub account: u64,
    /// Limit in the configuration of the asking instance.
    pub limit: Limit,
    /// Costs of the waiting requests, as far as its stock does not cover them.
    pub costs: Vec<u64>,
    /// Tokens that it is likely to need soon.
    pub extra: u64,
    /// Reserve that it holds; `None` without one.
    pub reserve: Option<HeldReserve>,
    /// Tokens of reserves that it has used since its start.
    pub reserve_used: u64,
    /// Time since the last use of the account there, in ms.
    pub idle_ms: u64,
}

/// Question of an instance to the lead. Without accounts it shows that the instance is in contact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// Number, unique among those of the process. A repeated question has the same number.
    pub number: u64,
    /// Identifies the process.
    pub process: u64,
    /// Time since the start of the process, in ms.
    pub age_ms: u64,
    /// Last answer that the process has applied; `None` before the first.
    pub applied: Option<AppliedAnswer>,
    /// Accounts that the question is about.
    pub accounts: Vec<AccountQuestion>,
}

/// What a lead says about the costs that an answer does not grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Shortfall {
    /// All are granted.
    None,
    /// The bucket will hold the first of them after this time, in ms.
    Wait(u64),
    /// The lead does not know yet what its predecessor has granted.
    Unknown,
}

/// Part of an answer that concerns one account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountAnswer {
    /// Hash of the account's name.
    pub account: u64,
    /// Granted tokens.
    pub granted: u64,
    /// What is not granted.
    pub shortfall: Shortfall,
    /// Rate of the reserve from now on, in tokens a second.
    pub reserve_per_s: u64,
    /// Tokens of the reserve that may be used before it has given them.
    pub early: u64,
}

impl AccountAnswer {
    /// Returns an answer that grants nothing, for an account that was not asked about.
    pub fn without_grant(account: u64) -> Self {
        Self { account, granted: 0, shortfall: Shortfall::None, reserve_per_s: 0, early: 0 }
    }
}

/// Answer of the lead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Number of the question.
    pub number: u64,
    /// Process that asked.
    pub process: u64,
    /// Fencing number of the lead.
    pub fence: u64,
    /// Accounts that were asked about or whose reserve has changed. Other reserves stay as they are, and are valid
    /// for longer.
    pub accounts: Vec<AccountAnswer>,
}

/// Returns the fencing number of a lead that may grant tokens at `now_ms`; `proof` is that number and the time at which
/// its last successful claim or renewal was sent.
pub fn proved_fence(proof: Option<(u64, u64)>, now_ms: u64) -> Option<u64> {
    let (fence, proved_ms) = proof?;
    (now_ms < proved_ms.saturating_add(PROOF_VALID_MS)).then_some(fence)
}

/// Message about allotments.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AllotmentMessage {
    /// To the lead.
    Question(Question),
    /// From the lead.
    Answer(Answer),
}
