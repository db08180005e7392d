//! Budget of retries as a share of fresh traffic, so that a brown-out does not multiply.

/// Retries allowed for each fresh request, in percent.
const RETRY_PCT: u64 = 10;
/// Hundredths of a retry that one retry costs.
const RETRY_COST_PCT: u64 = 100;
/// Largest saved budget, in hundredths of a retry.
const MAX_BALANCE_PCT: u64 = 1000;

/// Budget of one instance.
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
    /// Notes a fresh request.
    pub fn on_new_request(&mut self) {
        self.balance_pct = (self.balance_pct + RETRY_PCT).min(MAX_BALANCE_PCT);
    }

    /// Takes one retry out of the budget; false when it is used up.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.balance_pct >= RETRY_COST_PCT;
        if affordable {
            self.balance_pct -= RETRY_COST_PCT;
        }
        affordable
    }
}
