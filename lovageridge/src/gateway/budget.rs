//! Budget of repeated sends that all instances share by equal parts.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Part of the common budget that is used, in percent, since instances count apart.
const USABLE_PCT: u64 = 70;
/// Slices into which the window is divided.
const WINDOW_SLICES: u64 = 10;

/// What bounds repeated sends.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeated sends allowed for 1000 requests.
    pub retry_permille: u64,
    /// Repeated sends free in a window, for all instances together.
    pub free_retries: u64,
    /// Window in ms.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Repeated sends of one instance to one service.
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

    /// Notes a request of a caller.
    pub fn on_request(&mut self, limits: &RetryLimits, now_ms: u64) {
        self.current_slice(limits, now_ms).requests += 1;
    }

    /// Takes one repeated send, if this instance's part of the budget allows it.
    pub fn try_take(&mut self, limits: &RetryLimits, instances: u64, now_ms: u64) -> bool {
        self.current_slice(limits, now_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        // In thousandths, so that small parts of many instances are not rounded away.
        let free_permille = limits.free_retries * 1000 / instances.max(1);
        let allowed = (requests * limits.retry_permille + free_permille) * USABLE_PCT / 100;
        // One repeat a window remains even where many instances divide a small slack.
        let granted = (retries + 1) * 1000 <= allowed.max(1000);
        if granted {
            self.current_slice(limits, now_ms).retries += 1;
        }
        granted
    }
}
