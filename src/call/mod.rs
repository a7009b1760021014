//! Decisions about one call: which version and target, when to try again, and what the caller is told.

mod book;
mod budget;
mod outcome;
mod plan;
mod version;

pub use {
    book::{CandidateTarget, TargetBook, TargetStats},
    budget::RetryBudget,
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallStep},
    version::{VersionChoice, choose_version},
};
