//! Decisions about one call: which version and target, when to try again, and what the caller is told.

mod book;
mod budget;
mod load;
mod outcome;
mod plan;
mod version;

pub use {
    book::{CandidateTarget, TargetSelector, TargetStats, TargetWish},
    budget::{DEFAULT_EXTRA_RETRIES, PoolBudgets, RetryBudget},
    load::{LoadReport, RankCounts},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    version::{VersionChoice, choose_version},
};
