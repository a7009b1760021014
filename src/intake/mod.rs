//! Intake of request bodies at a gate: which body crosses the link next, so that none comes for a call that can't be served.

mod state;

pub use state::{BodyOffer, IntakeAdmission, IntakeId, IntakeLimits, IntakeState, STALL_MS};
