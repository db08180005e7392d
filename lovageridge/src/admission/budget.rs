//! Budget of retries as a share of fresh traffic, so that a brown-out does not multiply.

/// Retries allowed for each fresh request, in percent.
const RETRY_PCT: u64 = 10;
/// Hundredths of a retry that one retry costs.
const RETRY_COST: u64 = 100;
/// Largest saved budget, in hundredths of a retry.
const SAVED_MAX: u64 = 1000;

/// Budget of one instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn on_fresh(&mut self) {
        self.saved = (self.saved + RETRY_PCT).min(SAVED_MAX);
    }

    /// Takes one retry out of the budget; false when it is used up.
    pub fn take(&mut self) -> bool {
        let affordable = self.saved >= RETRY_COST;
        if affordable {
            self.saved -= RETRY_COST;
        }
        affordable
    }
}
