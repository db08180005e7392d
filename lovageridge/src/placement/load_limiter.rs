//! Divides the capacity of the weight store among leads without a coordinator.
//!
//! Each instance reports in its heartbeats how many loads it has in flight and waiting. A lead
//! starts a load while the total in flight is below the slots of the store and its own loads in
//! flight are below its share, which is proportional to its waiting loads. Slow loads reduce the
//! slots until loads run at their usual speed again.

use crate::wire::StoreUsage;

/// A load that takes longer than this percentage of its usual time counts as slow.
const SLOW_LOAD_PCT: u64 = 170;
/// Share of the slots that remains after a slow load, in percent.
const BACKOFF_PCT: u64 = 70;
/// Share of the slots that is restored after each load at usual speed, in percent.
const RECOVERY_PCT: u64 = 10;
/// Smallest share of the slots that stays in use, in percent.
const MIN_SLOTS_PCT: u64 = 25;
/// Budget that the start of one load takes, in thousandths of a load.
const LOAD_MILLI: u64 = 1000;

/// Limits the loads that one lead starts from the weight store.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    slots_pct: u64,
    start_budget_milli: u64,
    last_refill_ms: Option<u64>,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self { slots_pct: 100, start_budget_milli: LOAD_MILLI, last_refill_ms: None }
    }
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLimits {
    /// Concurrent loads that the store serves at full speed.
    pub slots: u64,
    /// Loads started per second.
    pub loads_per_s: u64,
}

impl LoadLimiter {
    /// Returns whether a load may start now, given this lead's use of the store and that of others.
    pub fn may_start(
        &mut self,
        limits: StoreLimits,
        own: StoreUsage,
        others: &[StoreUsage],
        now_ms: u64,
    ) -> bool {
        let waiting = u64::from(own.loads_waiting.max(1));
        let others_waiting: u64 = others.iter().map(|u| u64::from(u.loads_waiting)).sum();
        self.refill(limits, waiting, others_waiting, now_ms);
        let in_flight: u64 = others.iter().map(|u| u64::from(u.loads_in_flight)).sum::<u64>()
            + u64::from(own.loads_in_flight);
        let slots = (limits.slots * self.slots_pct / 100).max(1);
        let own_share = (slots * waiting).div_ceil(waiting + others_waiting);
        let has_slot = in_flight < slots && u64::from(own.loads_in_flight) < own_share;
        let may_use_idle_slot = own.loads_in_flight == 0 && in_flight < slots;
        (has_slot || may_use_idle_slot) && self.start_budget_milli >= LOAD_MILLI
    }

    /// Subtracts one load from the start budget.
    pub fn on_start(&mut self) {
        self.start_budget_milli = self.start_budget_milli.saturating_sub(LOAD_MILLI);
    }

    /// Adapts the slots to the duration of a finished load.
    pub fn on_finish(&mut self, took_ms: u64, usual_ms: u64) {
        let slow = took_ms * 100 > usual_ms.max(1) * SLOW_LOAD_PCT;
        self.slots_pct = if slow {
            (self.slots_pct * BACKOFF_PCT / 100).max(MIN_SLOTS_PCT)
        } else {
            (self.slots_pct + RECOVERY_PCT).min(100)
        };
    }

    /// Returns the share of the store's slots that may be used, in percent.
    pub fn slots_pct(&self) -> u64 {
        self.slots_pct
    }

    fn refill(&mut self, limits: StoreLimits, waiting: u64, others_waiting: u64, now_ms: u64) {
        let elapsed_ms = now_ms - self.last_refill_ms.unwrap_or(now_ms).min(now_ms);
        self.last_refill_ms = Some(now_ms);
        let gained = elapsed_ms * limits.loads_per_s * waiting / (waiting + others_waiting);
        self.start_budget_milli =
            (self.start_budget_milli + gained).min(limits.slots.max(1) * LOAD_MILLI);
    }
}
