//! The gate beside each target. All calls to the target pass through it, so it has the exact outcome of each.

mod state;

pub use state::{DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, TicketId};
