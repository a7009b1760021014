//! The gate beside each target: it alone admits calls to the target, so it knows exactly what ran.

mod state;

pub use state::{DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, TicketId};
