//! Simulation of moves with a seeded random generator, without network or processes. It feeds the controller with the
//! evidence that gates would report for new versions with known faults, and measures the outcomes.

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
