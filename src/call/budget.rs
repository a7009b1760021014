//! The retry budget: retries are a bounded share of calls, so that they don't multiply over many hops.

/// Retries allowed for each call, in thousandths.
const RETRIES_PER_MILLE: u64 = 100;
/// Most retries that can be saved up, in thousandths of a retry.
const MAX_SAVED: u64 = 20_000;
/// Cost of a retry of a request that may have run, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Cost of a retry of a request that certainly did not run, in thousandths.
const NOT_RUN_COST: u64 = 250;

/// A token bucket filled by calls and emptied by retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Takes note of a call.
    pub fn add_call(&mut self) {
        self.saved = (self.saved + RETRIES_PER_MILLE).min(MAX_SAVED);
    }

    /// Takes a retry of a request that may have run. Returns false if the budget is used up.
    pub fn take_retry(&mut self) -> bool {
        self.take(RETRY_COST)
    }

    /// Takes a retry of a request that did not run. Returns false if the budget is used up.
    pub fn take_not_run(&mut self) -> bool {
        self.take(NOT_RUN_COST)
    }

    fn take(&mut self, cost: u64) -> bool {
        let enough = self.saved >= cost;
        if enough {
            self.saved -= cost;
        }
        enough
    }
}
