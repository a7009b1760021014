//! The retry budget: retries are a bounded share of calls, so that they don't multiply over many hops.

use std::{collections::HashMap, sync::Arc};

/// Retries allowed for each call, in thousandths: eight hops of calls at most double the work of the last.
const RETRIES_PER_MILLE: u64 = 100;
/// Retries beyond their share of the calls that all daemons together may save up for a pool, where the settings state no
/// other number.
pub const DEFAULT_EXTRA_RETRIES: u32 = 240;
/// Retries that a lone budget can save up.
const LONE_RETRIES: f64 = 20.0;
/// Part of the extra retries that is saved up; the rest is left to calls that a repeated run makes again.
const SAVED_PART: f64 = 0.5;
/// Cost of a retry of a request that reached a target, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Cost of a retry of a request that no target got, in thousandths: it costs only a hop between daemons.
const NOT_RUN_COST: u64 = 50;

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
        Self::new(LONE_RETRIES)
    }
}

impl RetryBudget {
    /// Makes a full bucket of `max_saved` retries.
    pub fn new(max_saved: f64) -> Self {
        let max_saved = to_thousandths(max_saved);
        Self {
            max_saved,
            saved: max_saved,
            saved_hops: MAX_SAVED_HOPS,
        }
    }

    /// Changes the number of retries that can be saved up.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = to_thousandths(max_saved);
        self.saved = self.saved.min(self.max_saved);
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

/// The budgets of a daemon, one for each pool.
#[derive(Debug)]
pub struct PoolBudgets {
    max_saved: f64,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl PoolBudgets {
    /// Makes an empty book of one of `daemons` daemons that may save up `extra_retries` together.
    pub fn new(extra_retries: u32, daemons: usize) -> Self {
        Self {
            max_saved: part_of(extra_retries, daemons),
            budgets: HashMap::new(),
        }
    }

    /// Takes note of how many daemons there are.
    pub fn set_daemon_count(&mut self, extra_retries: u32, daemons: usize) {
        self.max_saved = part_of(extra_retries, daemons);
        for budget in self.budgets.values_mut() {
            budget.set_max_saved(self.max_saved);
        }
    }

    /// Returns the budget of a pool.
    pub fn of(&mut self, pool: &Arc<str>) -> &mut RetryBudget {
        let max_saved = self.max_saved;
        self.budgets
            .entry(Arc::clone(pool))
            .or_insert_with(|| RetryBudget::new(max_saved))
    }

    /// Forgets pools that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.budgets.retain(|pool, _| is_known(pool));
    }
}

fn part_of(extra_retries: u32, daemons: usize) -> f64 {
    f64::from(extra_retries) * SAVED_PART / daemons.max(1) as f64
}

fn to_thousandths(retries: f64) -> u64 {
    (retries * RETRY_COST as f64) as u64
}

fn take(saved: &mut u64, cost: u64) -> bool {
    let is_enough = *saved >= cost;
    if is_enough {
        *saved -= cost;
    }
    is_enough
}
