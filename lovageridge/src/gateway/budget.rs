//! Budget of repeated sends that all instances share by equal parts.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Part of the common budget that is used, in percent, since instances count apart.
const USED_PCT: u64 = 70;
/// Slices into which the window is divided.
const SLICES: u64 = 10;

/// What bounds repeated sends.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Repeated sends allowed for 1000 requests.
    pub permille: u64,
    /// Repeated sends free in a window, for all instances together.
    pub slack: u64,
    /// Window in ms.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Repeated sends of one instance to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slices: VecDeque<Slice>,
}

impl Budget {
    fn slice(&mut self, rule: &BudgetRule, now_ms: u64) -> &mut Slice {
        let number = now_ms * SLICES / rule.window_ms.max(1);
        let is_current = self.slices.back().is_some_and(|slice| slice.number == number);
        if !is_current {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        while self.slices.front().is_some_and(|slice| slice.number + SLICES <= number) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Notes a request of a caller.
    pub fn on_request(&mut self, rule: &BudgetRule, now_ms: u64) {
        self.slice(rule, now_ms).requests += 1;
    }

    /// Takes one repeated send, if this instance's part of the budget allows it.
    pub fn take(&mut self, rule: &BudgetRule, instances: u64, now_ms: u64) -> bool {
        self.slice(rule, now_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        // In thousandths, so that small parts of many instances are not rounded away.
        let free = rule.slack * 1000 / instances.max(1);
        let allowed = (requests * rule.permille + free) * USED_PCT / 100;
        // One repeat a window remains even where many instances divide a small slack.
        let granted = (repeats + 1) * 1000 <= allowed.max(1000);
        if granted {
            self.slice(rule, now_ms).repeats += 1;
        }
        granted
    }
}
