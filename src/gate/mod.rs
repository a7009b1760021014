//! The gate beside each target. All calls to the target pass through it, so it has the exact outcome of each.

mod arrival;
mod cold;
mod forecast;
mod nested;
mod refusal;
mod run_times;
mod state;

pub use {
    arrival::GateArrival,
    cold::ColdPacer,
    nested::{NestedRoutes, NestedVerdict},
    refusal::GateRefusal,
    run_times::RunTimes,
    state::{DequeueOutcome, GateAdmission, GateState, TicketId},
};
