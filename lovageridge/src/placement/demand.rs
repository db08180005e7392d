//! Demand for targets: callers who wait, requests in progress, idle times.

use crate::document::Target;
use crate::placement::keep::IdleTimes;
use crate::sorted::Table;
use crate::wire::ColdAsk;
use crate::wire::UseReport;

/// Time for which an ask counts, in ms; askers repeat it while callers wait.
const ASK_VALID_MS: u64 = 1500;
/// Time for which a report of requests in progress counts, in ms.
const USE_VALID_MS: u64 = 3000;

/// Time for which room is kept after the last interactive requests, in ms.
const PEAK_HOLD_MS: u64 = 30_000;

/// Callers of one instance who wait for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Ask {
    waiting: u32,
    deadline_ms: u64,
    cold: bool,
    at_ms: u64,
}

/// Use of one target.
#[derive(Clone, Debug, Default)]
struct Usage {
    last_use_ms: u64,
    idle_times: IdleTimes,
    reports: Table<String, InUse>,
    peaks: Table<String, Peak>,
}

/// Use of a target by one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct InUse {
    in_flight: u32,
    at_ms: u64,
}

/// Most interactive requests that one instance lately had in progress at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Peak {
    count: u32,
    at_ms: u64,
}

/// A target that callers wait for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// What they wait for.
    pub target: Target,
    /// Earliest deadline, in ms.
    pub deadline_ms: u64,
    /// Number of callers.
    pub waiting: u32,
    /// Whether an instance sees no replica at all.
    pub cold: bool,
}

/// Demand on one cell.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    asks: Table<Target, Table<String, Ask>>,
    usage: Table<Target, Usage>,
    pooled: IdleTimes,
}

impl Demand {
    /// Counts callers of the instance `from`; a repeated ask replaces the earlier one.
    pub fn on_ask(&mut self, from: &str, ask: &ColdAsk, now_ms: u64) {
        let entry = Ask {
            waiting: ask.waiting,
            deadline_ms: now_ms + ask.deadline_in_ms,
            cold: ask.cold,
            at_ms: now_ms,
        };
        let by_instance = self.asks.get_or_insert_with(ask.target.clone(), Table::new);
        by_instance.insert(from.to_owned(), entry);
        self.touch(&ask.target, now_ms);
    }

    /// Counts requests in progress at the instance `from`.
    pub fn on_use(&mut self, from: &str, report: &UseReport, now_ms: u64) {
        for used in &report.used {
            self.touch(&used.target, now_ms);
            if let Some(usage) = self.usage.get_mut(&used.target) {
                let in_use = InUse { in_flight: used.in_flight, at_ms: now_ms };
                usage.reports.insert(from.to_owned(), in_use);
                usage.note_peak(from, used.interactive_peak, now_ms);
            }
        }
    }

    /// Notes a use of `target`, and of its model when it is an adapter.
    pub fn touch(&mut self, target: &Target, now_ms: u64) {
        if target.adapter.is_some() {
            self.touch(&Target { model: target.model.clone(), adapter: None }, now_ms);
        }
        if let Some(usage) = self.usage.get_mut(target) {
            let idle_ms = now_ms.saturating_sub(usage.last_use_ms);
            if idle_ms > USE_VALID_MS {
                usage.idle_times.observe(idle_ms);
                self.pooled.observe(idle_ms);
            }
            usage.last_use_ms = now_ms;
            return;
        }
        let usage = Usage { last_use_ms: now_ms, ..Usage::default() };
        self.usage.insert(target.clone(), usage);
    }

    /// Starts the history of a target that is held but was never seen in use.
    ///
    /// A new lead cannot tell for how long it has been idle, so its idle time starts now.
    pub fn know(&mut self, target: &Target, now_ms: u64) {
        if !self.usage.contains(target) {
            let usage = Usage { last_use_ms: now_ms, ..Usage::default() };
            self.usage.insert(target.clone(), usage);
        }
    }

    /// Drops asks and reports that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.asks.retain(|_, by_instance| {
            by_instance.retain(|_, ask| now_ms.saturating_sub(ask.at_ms) < ASK_VALID_MS);
            !by_instance.is_empty()
        });
        for (_, usage) in self.usage.iter_mut() {
            usage.peaks.retain(|_, p| now_ms.saturating_sub(p.at_ms) < PEAK_HOLD_MS);
            usage.reports.retain(|_, r| now_ms.saturating_sub(r.at_ms) < USE_VALID_MS);
        }
    }

    /// Returns what callers wait for, the earliest deadline first.
    pub fn wanted(&self) -> Vec<Wanted> {
        let mut wanted: Vec<Wanted> = self
            .asks
            .iter()
            .map(|(target, by_instance)| Wanted {
                target: target.clone(),
                deadline_ms: by_instance.values().map(|a| a.deadline_ms).min().unwrap_or(0),
                waiting: by_instance.values().map(|a| a.waiting).sum(),
                cold: by_instance.values().any(|a| a.cold),
            })
            .collect();
        wanted.sort_by_key(|w| w.deadline_ms);
        wanted
    }

    /// Tells whether callers wait for `target` or an adapter of it, or requests are in progress.
    pub fn is_busy(&self, target: &Target) -> bool {
        let concerns = |other: &Target| {
            other == target || (target.adapter.is_none() && other.model == target.model)
        };
        let asked = self.asks.keys().any(concerns);
        asked || self.usage.iter().any(|(t, usage)| concerns(t) && usage.is_in_flight())
    }

    /// Returns the interactive requests that all instances lately had in progress on `model` and
    /// its adapters.
    pub fn interactive_peak(&self, model: &str) -> u32 {
        let usages = self.usage.iter().filter(|(target, _)| target.model == model);
        usages.flat_map(|(_, usage)| usage.peaks.values()).map(|peak| peak.count).sum()
    }

    /// Returns the time since the last use of `target`, in ms; long for one that was never used.
    pub fn idle_ms(&self, target: &Target, now_ms: u64) -> u64 {
        self.usage.get(target).map_or(u64::MAX / 4, |u| now_ms.saturating_sub(u.last_use_ms))
    }

    /// Returns the idle times of `target` and those of all targets.
    pub fn idle_times(&self, target: &Target) -> (IdleTimes, &IdleTimes) {
        let own = self.usage.get(target).map(|u| u.idle_times.clone()).unwrap_or_default();
        (own, &self.pooled)
    }
}

impl Usage {
    /// Holds the highest recent peak, so that room is there when interactive requests come back.
    fn note_peak(&mut self, from: &str, count: u32, now_ms: u64) {
        let held = self.peaks.get(from).filter(|p| now_ms < p.at_ms + PEAK_HOLD_MS);
        if held.is_none_or(|p| count >= p.count) {
            self.peaks.insert(from.to_owned(), Peak { count, at_ms: now_ms });
        }
    }

    fn is_in_flight(&self) -> bool {
        self.reports.values().any(|r| r.in_flight > 0)
    }
}
