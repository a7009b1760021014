//! Retry budgets: limit retries to a share of the calls, so that retries don't multiply over several hops.

use std::{collections::HashMap, sync::Arc};

/// Tokens gained per call, in thousandths of a retry: over eight hops, retries at most double the work of the last hop.
const RETRIES_PER_MILLE: u64 = 100;
/// Default of the `extra_retries` setting: retries per pool that all daemons together may make beyond the share of the
/// calls that `RETRIES_PER_MILLE` allows.
pub const DEFAULT_EXTRA_RETRIES: u32 = 240;
/// Capacity of a budget that isn't shared with other daemons, in retries.
const DEFAULT_CAPACITY: f64 = 20.0;
/// Capacity of all daemons' budgets of a pool together, as a fraction of the extra retries; the rest is left for the
/// downstream calls that a retried run makes again.
const SAVED_FRACTION: f64 = 0.5;
/// Tokens for a retry of a request that reached a target, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Tokens for a retry of a request that reached no target, in thousandths of a retry: it costs only a hop between
/// daemons.
const NOT_RUN_COST: u64 = 50;

/// Capacity of the bucket for requests that reached no target, in thousandths of a retry.
const MAX_NOT_RUN_TOKENS: u64 = 15_000;

/// Token bucket that calls fill and retries empty. Retries of requests that reached no target use a separate bucket.
/// Tokens are thousandths of a retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    capacity: u64,
    tokens: u64,
    not_run_tokens: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl RetryBudget {
    /// Creates a full bucket of `capacity` retries.
    pub fn new(capacity: f64) -> Self {
        let capacity = to_thousandths(capacity);
        Self {
            capacity,
            tokens: capacity,
            not_run_tokens: MAX_NOT_RUN_TOKENS,
        }
    }

    /// Sets the capacity, in retries; tokens above it are lost.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = to_thousandths(capacity);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the tokens for one call to both buckets.
    pub fn add_call(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_MILLE).min(self.capacity);
        self.not_run_tokens = (self.not_run_tokens + RETRIES_PER_MILLE).min(MAX_NOT_RUN_TOKENS);
    }

    /// Spends the tokens for a hedged attempt or a retry of a request that reached a target. Returns false and spends
    /// nothing if there are too few.
    pub fn take_retry(&mut self) -> bool {
        spend(&mut self.tokens, RETRY_COST)
    }

    /// Spends the tokens for a retry of a request that reached no target. Returns false and spends nothing if there are
    /// too few.
    pub fn take_not_run(&mut self) -> bool {
        spend(&mut self.not_run_tokens, NOT_RUN_COST)
    }
}

/// Retry budgets of a daemon, one per pool.
#[derive(Debug)]
pub struct PoolBudgets {
    capacity: f64,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl PoolBudgets {
    /// Creates the budgets of one of `daemons` daemons that share `extra_retries`, in retries per pool.
    pub fn new(extra_retries: u32, daemons: usize) -> Self {
        Self {
            capacity: capacity_per_daemon(extra_retries, daemons),
            budgets: HashMap::new(),
        }
    }

    /// Sets the capacity of all budgets to this daemon's part of `extra_retries` among `daemons` daemons.
    pub fn set_daemon_count(&mut self, extra_retries: u32, daemons: usize) {
        self.capacity = capacity_per_daemon(extra_retries, daemons);
        for budget in self.budgets.values_mut() {
            budget.set_capacity(self.capacity);
        }
    }

    /// Returns the budget of a pool; a new one is full.
    pub fn for_pool(&mut self, pool: &Arc<str>) -> &mut RetryBudget {
        let capacity = self.capacity;
        self.budgets
            .entry(Arc::clone(pool))
            .or_insert_with(|| RetryBudget::new(capacity))
    }

    /// Removes the budgets of unknown pools.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.budgets.retain(|pool, _| is_known(pool));
    }
}

fn capacity_per_daemon(extra_retries: u32, daemons: usize) -> f64 {
    f64::from(extra_retries) * SAVED_FRACTION / daemons.max(1) as f64
}

fn to_thousandths(retries: f64) -> u64 {
    (retries * RETRY_COST as f64) as u64
}

fn spend(tokens: &mut u64, cost: u64) -> bool {
    let is_enough = *tokens >= cost;
    if is_enough {
        *tokens -= cost;
    }
    is_enough
}
