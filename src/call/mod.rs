//! Decisions about one call: which version and target, when to try again, and what the caller is told.

mod book;
mod budget;
mod load;
mod outcome;
mod plan;
mod version;

pub use {
    book::{CandidateTarget, TargetBook, TargetStats, TargetWish},
    budget::{BudgetBook, DEFAULT_EXTRA_RETRIES, RetryBudget},
    load::{LoadReport, RankCounts},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    version::{VersionChoice, choose_version},
};
