//! Retry budget in proportion to new traffic, so that retries do not amplify an overload.

/// Budget that each new request adds, in percent of a retry.
const RETRY_PCT: u64 = 10;
/// Cost of one retry, in percent of a retry.
const RETRY_COST_PCT: u64 = 100;
/// Largest balance, in percent of a retry.
const MAX_BALANCE_PCT: u64 = 1000;

/// Retry budget of one instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_pct: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_pct: MAX_BALANCE_PCT }
    }
}

impl RetryBudget {
    /// Adds a new request's contribution to the budget.
    pub fn on_new_request(&mut self) {
        self.balance_pct = (self.balance_pct + RETRY_PCT).min(MAX_BALANCE_PCT);
    }

    /// Spends one retry; returns false when the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.balance_pct >= RETRY_COST_PCT;
        if affordable {
            self.balance_pct -= RETRY_COST_PCT;
        }
        affordable
    }
}
