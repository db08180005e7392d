//! Retry budget per service, which all instances share in equal parts.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Part of the shared budget that is used, in percent; the rest allows for instances that count
/// independently of each other.
const USABLE_PCT: u64 = 70;
/// Number of slices into which the window is divided.
const WINDOW_SLICES: u64 = 10;

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per 1000 requests.
    pub retry_permille: u64,
    /// Additional retries allowed per window, for all instances together.
    pub free_retries: u64,
    /// Length of the sliding window, in ms.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Requests and retries of one instance to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    fn current_slice(&mut self, limits: &RetryLimits, now_ms: u64) -> &mut Slice {
        let index = now_ms * WINDOW_SLICES / limits.window_ms.max(1);
        let is_current = self.slices.back().is_some_and(|slice| slice.index == index);
        if !is_current {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        while self.slices.front().is_some_and(|slice| slice.index + WINDOW_SLICES <= index) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a request from a caller.
    pub fn on_request(&mut self, limits: &RetryLimits, now_ms: u64) {
        self.current_slice(limits, now_ms).requests += 1;
    }

    /// Takes one retry out of the budget; returns whether this instance's part of it allows one.
    pub fn try_take(&mut self, limits: &RetryLimits, instances: u64, now_ms: u64) -> bool {
        self.current_slice(limits, now_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        // In thousandths of a retry, so that small parts of many instances do not round to zero.
        let free_permille = limits.free_retries * 1000 / instances.max(1);
        let allowed = (requests * limits.retry_permille + free_permille) * USABLE_PCT / 100;
        // At least one retry per window is allowed, however many instances share the budget.
        let granted = (retries + 1) * 1000 <= allowed.max(1000);
        if granted {
            self.current_slice(limits, now_ms).retries += 1;
        }
        granted
    }
}
