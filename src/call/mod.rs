//! Decisions about a call, without I/O: choice of version and target, retries and hedging, and the outcome for the
//! caller.

mod budget;
mod expectation;
mod load;
mod outcome;
mod plan;
mod selector;
mod split;
mod target_stats;
mod version;

pub use {
    budget::{DEFAULT_EXTRA_RETRIES, PoolBudgets, RetryBudget},
    expectation::AnswerForecast,
    load::{LoadReport, RankCounts, TargetLoad},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    selector::{CandidateTarget, MissingTarget, TargetCriteria, TargetNeed, TargetSelector},
    split::SplitSequence,
    target_stats::TargetStats,
    version::{VersionChoice, choose_version},
};
