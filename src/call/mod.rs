//! Decisions about a call, without I/O: choice of version and target, retries and hedging, and the outcome for the
//! caller.

mod budget;
mod load;
mod outcome;
mod plan;
mod selector;
mod version;

pub use {
    budget::{BudgetBook, DEFAULT_EXTRA_RETRIES, RetryBudget},
    load::{LoadReport, RankCounts},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    selector::{CandidateTarget, TargetBook, TargetCriteria, TargetStats},
    version::{VersionChoice, choose_version},
};
