//! Decisions about one call: which version and target, when to try again, and what the caller is told.

mod book;
mod budget;
mod outcome;
mod plan;
mod version;

pub use {
    book::{CandidateTarget, LoadReport, TargetBook, TargetStats, TargetWish},
    budget::{BudgetBook, DEFAULT_EXTRA_RETRIES, RetryBudget},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    version::{VersionChoice, choose_version},
};
