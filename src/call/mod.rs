//! Decisions about a call, without I/O: choice of version and target, retries and hedging, and the outcome for the
//! caller.

mod budget;
mod candidate;
mod expectation;
mod load;
mod outcome;
mod plan;
mod recent_routes;
mod run_estimate;
mod selector;
mod split;
mod target_stats;
mod version;

pub use {
    budget::{DEFAULT_EXTRA_RETRIES, PoolBudgets, RetryBudget},
    candidate::{CandidateTarget, MissingTarget, TargetCriteria, TargetNeed},
    expectation::AnswerForecast,
    load::{LoadReport, RankCounts, TargetLoad},
    outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    plan::{CallPlan, CallRules, CallStep},
    recent_routes::RecentRoutes,
    run_estimate::{TargetRoutes, assumed_run_ms},
    selector::TargetSelector,
    split::SplitSequence,
    target_stats::TargetStats,
    version::{VersionChoice, choose_version},
};
