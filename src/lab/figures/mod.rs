//! A small, seeded driver of the pure move decisions: no network, no processes. It feeds the controller with the
//! evidence that gates would report for versions of known badness and counts what came of it.

mod counts;
mod exposure;
mod rule;
mod scenario;
mod table;
mod trial;

pub use {
    rule::MoveRule,
    scenario::{MoveScenario, VersionFault, long_scenarios, short_scenarios},
    table::{FigureRow, measure, render},
    trial::{TrialOutcome, run_trial},
};
