//! Shares the weight store's pace between leads without a coordinator.
//!
//! Each lead tells in its heartbeats how many loads it has in flight and waiting. A lead starts a
//! load while the sum in flight is below the slots of the store, and takes of the free slots its
//! part of those waiting. A store that answers slowly shrinks the slots for a while.

use crate::wire::StoreUse;

/// A load that takes longer than this many percent of its usual time counts as slow.
const SLOW_PCT: u64 = 170;
/// Part of the slots that remains after a slow load, in percent.
const SHRINK_PCT: u64 = 70;
/// Percent of the slots regained with each load at usual speed.
const REGAIN_PCT: u64 = 10;
/// Smallest part of the slots in use, in percent.
const FLOOR_PCT: u64 = 25;
/// Thousandths of a load in the start budget of one load.
const LOAD_MILLI: u64 = 1000;

/// Pace of one lead.
#[derive(Clone, Debug)]
pub struct Pace {
    scale_pct: u64,
    budget_milli: u64,
    refilled_ms: Option<u64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { scale_pct: 100, budget_milli: LOAD_MILLI, refilled_ms: None }
    }
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLimits {
    /// Loads at full speed at once.
    pub slots: u64,
    /// Loads started per second.
    pub loads_per_s: u64,
}

impl Pace {
    /// Tells whether a load may start now, given the own use and that of other leads.
    pub fn may_start(
        &mut self,
        limits: StoreLimits,
        own: StoreUse,
        others: &[StoreUse],
        now_ms: u64,
    ) -> bool {
        let waiting = u64::from(own.loads_waiting.max(1));
        let others_waiting: u64 = others.iter().map(|u| u64::from(u.loads_waiting)).sum();
        self.refill(limits, waiting, others_waiting, now_ms);
        let in_flight: u64 = others.iter().map(|u| u64::from(u.loads_in_flight)).sum::<u64>()
            + u64::from(own.loads_in_flight);
        let slots = (limits.slots * self.scale_pct / 100).max(1);
        let own_part = (slots * waiting).div_ceil(waiting + others_waiting);
        let has_slot = in_flight < slots && u64::from(own.loads_in_flight) < own_part;
        let idle_store_elsewhere = own.loads_in_flight == 0 && in_flight < slots;
        (has_slot || idle_store_elsewhere) && self.budget_milli >= LOAD_MILLI
    }

    /// Takes one load out of the start budget.
    pub fn on_start(&mut self) {
        self.budget_milli = self.budget_milli.saturating_sub(LOAD_MILLI);
    }

    /// Learns from a finished load.
    pub fn on_finish(&mut self, took_ms: u64, usual_ms: u64) {
        let slow = took_ms * 100 > usual_ms.max(1) * SLOW_PCT;
        self.scale_pct = if slow {
            (self.scale_pct * SHRINK_PCT / 100).max(FLOOR_PCT)
        } else {
            (self.scale_pct + REGAIN_PCT).min(100)
        };
    }

    /// Returns the part of the store's slots that is in use, in percent.
    pub fn scale_pct(&self) -> u64 {
        self.scale_pct
    }

    fn refill(&mut self, limits: StoreLimits, waiting: u64, others_waiting: u64, now_ms: u64) {
        let since_ms = now_ms - self.refilled_ms.unwrap_or(now_ms).min(now_ms);
        self.refilled_ms = Some(now_ms);
        let gained = since_ms * limits.loads_per_s * waiting / (waiting + others_waiting);
        self.budget_milli = (self.budget_milli + gained).min(limits.slots.max(1) * LOAD_MILLI);
    }
}
