//! Demand for models and adapters: waiting callers, requests in progress, idle times.

use crate::document::Target;
use crate::placement::keep_alive::IdleTimes;
use crate::sorted::Table;
use crate::wire::ColdStartRequest;
use crate::wire::UsageReport;

/// Validity of a cold-start request, in ms; instances repeat it while callers wait.
const REQUEST_VALID_MS: u64 = 1500;
/// Validity of a usage report, in ms.
const USAGE_VALID_MS: u64 = 3000;

/// Time for which slots stay reserved after the last interactive requests, in ms.
const PEAK_RETENTION_MS: u64 = 30_000;

/// Callers of one instance that wait for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct WaitingCallers {
    waiting: u32,
    deadline_ms: u64,
    cold: bool,
    received_ms: u64,
}

/// Usage of one target.
#[derive(Clone, Debug, Default)]
struct Usage {
    last_use_ms: u64,
    idle_times: IdleTimes,
    reports: Table<String, InstanceUsage>,
    interactive_peaks: Table<String, Peak>,
}

/// Usage of a target by one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct InstanceUsage {
    in_flight: u32,
    received_ms: u64,
}

/// Highest recent number of interactive requests that one instance had in progress at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Peak {
    count: u32,
    observed_ms: u64,
}

/// A target that callers wait for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetDemand {
    /// Model or adapter that they wait for.
    pub target: Target,
    /// Earliest deadline of the callers, in ms.
    pub deadline_ms: u64,
    /// Number of waiting callers.
    pub waiting: u32,
    /// Whether some instance knows of no replica.
    pub cold: bool,
}

/// Demand for the targets of one cell.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    waiting_callers: Table<Target, Table<String, WaitingCallers>>,
    usage: Table<Target, Usage>,
    all_idle_times: IdleTimes,
}

impl Demand {
    /// Records the waiting callers of the instance `from`; a repeated request replaces the earlier
    /// one.
    pub fn on_cold_start_request(&mut self, from: &str, request: &ColdStartRequest, now_ms: u64) {
        let entry = WaitingCallers {
            waiting: request.waiting,
            deadline_ms: now_ms + request.deadline_in_ms,
            cold: request.cold,
            received_ms: now_ms,
        };
        let by_instance =
            self.waiting_callers.get_or_insert_with(request.target.clone(), Table::new);
        by_instance.insert(from.to_owned(), entry);
        self.record_use(&request.target, now_ms);
    }

    /// Records the requests in progress at the instance `from`.
    pub fn on_usage_report(&mut self, from: &str, report: &UsageReport, now_ms: u64) {
        for used in &report.usage {
            self.record_use(&used.target, now_ms);
            if let Some(usage) = self.usage.get_mut(&used.target) {
                let in_use = InstanceUsage { in_flight: used.in_flight, received_ms: now_ms };
                usage.reports.insert(from.to_owned(), in_use);
                usage.record_peak(from, used.interactive_peak, now_ms);
            }
        }
    }

    /// Records a use of `target`, and of its base model if it is an adapter.
    pub fn record_use(&mut self, target: &Target, now_ms: u64) {
        if target.adapter.is_some() {
            self.record_use(&Target { model: target.model.clone(), adapter: None }, now_ms);
        }
        if let Some(usage) = self.usage.get_mut(target) {
            let idle_ms = now_ms.saturating_sub(usage.last_use_ms);
            if idle_ms > USAGE_VALID_MS {
                usage.idle_times.observe(idle_ms);
                self.all_idle_times.observe(idle_ms);
            }
            usage.last_use_ms = now_ms;
            return;
        }
        let usage = Usage { last_use_ms: now_ms, ..Usage::default() };
        self.usage.insert(target.clone(), usage);
    }

    /// Starts tracking a resident target for which no use was reported yet.
    ///
    /// A new lead does not know how long the target has been idle, so its idle time starts now.
    pub fn start_tracking(&mut self, target: &Target, now_ms: u64) {
        if !self.usage.contains(target) {
            let usage = Usage { last_use_ms: now_ms, ..Usage::default() };
            self.usage.insert(target.clone(), usage);
        }
    }

    /// Drops expired requests and reports.
    pub fn expire(&mut self, now_ms: u64) {
        self.waiting_callers.retain(|_, by_instance| {
            by_instance
                .retain(|_, callers| now_ms.saturating_sub(callers.received_ms) < REQUEST_VALID_MS);
            !by_instance.is_empty()
        });
        for (_, usage) in self.usage.iter_mut() {
            usage
                .interactive_peaks
                .retain(|_, p| now_ms.saturating_sub(p.observed_ms) < PEAK_RETENTION_MS);
            usage.reports.retain(|_, r| now_ms.saturating_sub(r.received_ms) < USAGE_VALID_MS);
        }
    }

    /// Returns the targets that callers wait for, earliest deadline first.
    pub fn waiting_targets(&self) -> Vec<TargetDemand> {
        let mut targets: Vec<TargetDemand> = self
            .waiting_callers
            .iter()
            .map(|(target, by_instance)| TargetDemand {
                target: target.clone(),
                deadline_ms: by_instance.values().map(|a| a.deadline_ms).min().unwrap_or(0),
                waiting: by_instance.values().map(|a| a.waiting).sum(),
                cold: by_instance.values().any(|a| a.cold),
            })
            .collect();
        targets.sort_by_key(|w| w.deadline_ms);
        targets
    }

    /// Returns whether callers wait for `target` or one of its adapters, or requests on them are in
    /// progress.
    pub fn is_busy(&self, target: &Target) -> bool {
        let is_affected = |other: &Target| {
            other == target || (target.adapter.is_none() && other.model == target.model)
        };
        let has_waiting_callers = self.waiting_callers.keys().any(is_affected);
        has_waiting_callers
            || self.usage.iter().any(|(t, usage)| is_affected(t) && usage.has_requests_in_flight())
    }

    /// Returns the sum over all instances of the recent peak of interactive requests on `model` and
    /// its adapters.
    pub fn interactive_peak(&self, model: &str) -> u32 {
        let usages = self.usage.iter().filter(|(target, _)| target.model == model);
        usages.flat_map(|(_, usage)| usage.interactive_peaks.values()).map(|peak| peak.count).sum()
    }

    /// Returns the time since the last use of `target`, in ms; a very large value if it was never
    /// used.
    pub fn idle_ms(&self, target: &Target, now_ms: u64) -> u64 {
        self.usage.get(target).map_or(u64::MAX / 4, |u| now_ms.saturating_sub(u.last_use_ms))
    }

    /// Returns the idle times of `target` and those of all targets together.
    pub fn idle_times(&self, target: &Target) -> (IdleTimes, &IdleTimes) {
        let own = self.usage.get(target).map(|u| u.idle_times.clone()).unwrap_or_default();
        (own, &self.all_idle_times)
    }
}

impl Usage {
    /// Keeps the highest recent peak, so that slots are free when interactive requests return.
    fn record_peak(&mut self, from: &str, count: u32, now_ms: u64) {
        let recent =
            self.interactive_peaks.get(from).filter(|p| now_ms < p.observed_ms + PEAK_RETENTION_MS);
        if recent.is_none_or(|p| count >= p.count) {
            self.interactive_peaks.insert(from.to_owned(), Peak { count, observed_ms: now_ms });
        }
    }

    fn has_requests_in_flight(&self) -> bool {
        self.reports.values().any(|r| r.in_flight > 0)
    }
}
