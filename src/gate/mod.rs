//! The gate beside each target: it alone admits calls to the target, so it knows exactly what ran.

mod state;

pub use state::{GateAdmission, GateArrival, GateRefusal, GateState, GateWake, TicketId};
