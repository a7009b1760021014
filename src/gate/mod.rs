//! The gate beside each target. All calls to the target pass through it, so it has the exact outcome of each.

mod arrival;
mod brake;
mod cold;
mod forecast;
mod nested;
mod outcome;
mod pace;
mod refusal;
mod route_check;
mod run_times;
mod state;

pub use {
    arrival::GateArrival,
    brake::RunBrake,
    cold::ColdPacer,
    nested::NestedRoutes,
    outcome::{DequeueOutcome, GateAdmission, TicketId},
    pace::TargetPace,
    refusal::GateRefusal,
    route_check::{GateTable, ProxyCall, REDIRECT_GRACE_MS},
    run_times::RunTimes,
    state::GateState,
};
