//! Limits that workers state on the rate of their requests, for all instances together.
//!
//! For each limited worker, one instance grants the sends of all of them. It is chosen by rendezvous
//! hashing, so that no election is needed and the work is spread. If it does not answer, the next one
//! takes its place and starts without saved-up sends.

use serde::Deserialize;
use serde::Serialize;

pub mod detached;
pub mod driver;
pub mod exchange;
pub mod granting;
pub mod schedules;

#[cfg(test)]
mod tests;

/// Time without a response that states it after which a limit is forgotten, in ms.
const LIMIT_TTL_MS: u64 = 600_000;
/// Time without such a response after which the worker is chosen as if it had no limit, in ms. Its limit
/// still holds, so that not all instances send at once until one of them has a response.
const RECENT_MS: u64 = 30_000;
/// Smallest rate that is granted, in requests in 1000 s: a worker that takes none is still asked for
/// its limit once in a while.
const RATE_MIN_PER_KS: u32 = 200;
/// Time for which unused sends are saved up, in ms.
const BURST_MS: f64 = 500.0;
/// Longest wait for a send, in ms.
pub const WAIT_MAX_MS: u64 = 2000;
/// Relative change of a limit that other instances are told of, in percent.
const NEWS_PCT: u32 = 10;

/// What an instance knows about the limit of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownLimit {
    // Requests in 1000 s, `None` without a limit, and the time at which the request to whose response
    // the statement belongs was sent, in ms.
    stated: Option<(Option<u32>, u64)>,
}

/// A statement of a worker's limit, for other instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// Hash of the worker's id.
    pub worker: u64,
    /// Requests in 1000 s; `None` if the worker states no limit any longer.
    pub per_ks: Option<u32>,
    /// Time since the statement, in ms.
    pub age_ms: u64,
}

impl LimitReport {
    /// Returns whether the statement still counts in the choice of a worker.
    pub fn is_recent(&self) -> bool {
        self.age_ms < RECENT_MS
    }
}

impl KnownLimit {
    /// Applies a statement made at `at_ms`; an older one than the known one is ignored. Returns whether
    /// it is worth telling others.
    pub fn on_stated(&mut self, per_ks: Option<u32>, at_ms: u64) -> bool {
        let before = match self.stated {
            Some((_, known_at_ms)) if at_ms < known_at_ms => return false,
            Some((before, _)) => before,
            None => None,
        };
        self.stated = (per_ks.is_some() || self.stated.is_some()).then_some((per_ks, at_ms));
        match (before, per_ks) {
            (Some(before), Some(now)) => is_news(before, now),
            (before, now) => before != now,
        }
    }

    /// Returns the limit in requests in 1000 s; `None` if there is none or it is outdated.
    pub fn per_ks(&self, now_ms: u64) -> Option<u32> {
        let (per_ks, at_ms) = self.stated?;
        per_ks.filter(|_| now_ms < at_ms + LIMIT_TTL_MS)
    }

    /// Returns the limit if it was stated recently, in requests in 1000 s.
    pub fn recent_per_ks(&self, now_ms: u64) -> Option<u32> {
        let (_, at_ms) = self.stated?;
        self.per_ks(now_ms).filter(|_| now_ms < at_ms + RECENT_MS)
    }

    /// Returns the time of the statement, in ms; `None` if nothing was ever stated.
    pub fn stated_ms(&self) -> Option<u64> {
        self.stated.map(|(_, at_ms)| at_ms)
    }

    /// Returns the statement with its age; `None` if nothing was ever stated.
    pub fn report(&self, worker: u64, now_ms: u64) -> Option<LimitReport> {
        let (per_ks, at_ms) = self.stated?;
        Some(LimitReport { worker, per_ks, age_ms: now_ms.saturating_sub(at_ms) })
    }
}

/// Returns whether a limit has changed noticeably.
pub fn is_news(before: u32, now: u32) -> bool {
    u64::from(before.abs_diff(now)) * 100 > u64::from(before) * u64::from(NEWS_PCT)
}

/// Answer to a request for a send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// The request may be sent after this time, in ms.
    After(u64),
    /// No send is possible within the time that the requester would wait; the next one is possible
    /// after this time, in ms.
    Denied(u64),
}

impl Grant {
    /// Returns whether this can be the answer to a requester that would wait for `max_wait_ms`.
    pub fn is_possible(self, max_wait_ms: u64) -> bool {
        match self {
            Self::After(wait_ms) => wait_ms <= max_wait_ms,
            Self::Denied(_) => true,
        }
    }
}

/// Grants sends to one worker at its limit.
#[derive(Clone, Copy, Debug)]
pub struct SendScheduler {
    // Time up to which the granted sends use up the rate, in ms.
    used_until_ms: f64,
    // Rate of the last granted send, in requests in 1000 s.
    per_ks: u32,
    last_used_ms: u64,
}

impl SendScheduler {
    /// Returns a scheduler that has saved up nothing.
    pub fn new(now_ms: u64) -> Self {
        let used_until_ms = now_ms as f64 + BURST_MS;
        Self { used_until_ms, per_ks: RATE_MIN_PER_KS, last_used_ms: now_ms }
    }

    /// Grants a send at a rate of `per_ks` requests in 1000 s, if it is possible within `max_wait_ms` and
    /// [`WAIT_MAX_MS`].
    pub fn grant(&mut self, per_ks: u32, max_wait_ms: u64, now_ms: u64) -> Grant {
        self.last_used_ms = now_ms;
        let max_wait_ms = max_wait_ms.min(WAIT_MAX_MS);
        let per_ks = per_ks.max(RATE_MIN_PER_KS);
        let interval_ms = 1_000_000.0 / f64::from(per_ks);
        let now = now_ms as f64;
        if per_ks > self.per_ks {
            // What was granted takes less time at the higher rate.
            let owed_ms = (self.used_until_ms - BURST_MS - now).max(0.0);
            let saved_ms = owed_ms * (1.0 - f64::from(self.per_ks) / f64::from(per_ks));
            self.used_until_ms -= saved_ms;
        }
        self.per_ks = per_ks;
        let used_until_ms = self.used_until_ms.max(now);
        let wait_ms = (used_until_ms - BURST_MS - now).max(0.0).ceil() as u64;
        if wait_ms > max_wait_ms {
            return Grant::Denied(wait_ms);
        }
        self.used_until_ms = used_until_ms + interval_ms;
        Grant::After(wait_ms)
    }

    /// Returns the time of the last request for a send, in ms.
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms
    }
}
