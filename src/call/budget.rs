//! The retry budget: retries are a bounded share of calls, so that they don't multiply over many hops.

/// Retries allowed for each call, in thousandths: eight hops of calls at most double the work of the last.
const RETRIES_PER_MILLE: u64 = 100;
/// Retries that a daemon can save up where its settings state no other number.
pub const DEFAULT_SAVED_RETRIES: u32 = 20;
/// Cost of a retry of a request that reached a target, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Cost of a retry of a request that no target got, in thousandths: it costs only a hop between daemons.
const NOT_RUN_COST: u64 = 250;

/// Most retries without a target that can be saved up, in thousandths.
const MAX_SAVED_HOPS: u64 = 15_000;

/// A token bucket filled by calls and emptied by retries. Those that reach no target have a bucket of their own.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    max_saved: u64,
    saved: u64,
    saved_hops: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_SAVED_RETRIES)
    }
}

impl RetryBudget {
    /// Makes a full bucket of `max_saved` retries.
    pub fn new(max_saved: u32) -> Self {
        let max_saved = u64::from(max_saved) * RETRY_COST;
        Self {
            max_saved,
            saved: max_saved,
            saved_hops: MAX_SAVED_HOPS,
        }
    }

    /// Takes note of a call.
    pub fn add_call(&mut self) {
        self.saved = (self.saved + RETRIES_PER_MILLE).min(self.max_saved);
        self.saved_hops = (self.saved_hops + RETRIES_PER_MILLE).min(MAX_SAVED_HOPS);
    }

    /// Takes a retry of a request that may have run. Returns false if the budget is used up.
    pub fn take_retry(&mut self) -> bool {
        take(&mut self.saved, RETRY_COST)
    }

    /// Takes a retry of a request that did not run. Returns false if the budget is used up.
    pub fn take_not_run(&mut self) -> bool {
        take(&mut self.saved_hops, NOT_RUN_COST)
    }
}

fn take(saved: &mut u64, cost: u64) -> bool {
    let is_enough = *saved >= cost;
    if is_enough {
        *saved -= cost;
    }
    is_enough
}
