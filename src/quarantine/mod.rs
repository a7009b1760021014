//! Quarantine of requests that end the targets that run them.
//!
//! A gate that sees its target end accuses the requests that were running there, and tells all daemons. An accused request
//! is a suspect: it runs at one target of the fleet, one run at a time, until a run ends well. After
//! [`ENDS_TO_HOLD`] ends without such a run it is held back everywhere, until a trial run after some time ends well.
//! Nothing here does I/O.

mod fingerprint;
mod message;
mod proven;
mod runs;
mod state;

pub use {
    fingerprint::{CallFingerprints, RequestFingerprint, RequestHead},
    message::{AccusedRequest, EndId, QuarantineNotice, SuspectRecord, TargetEnd},
    runs::{GateRuns, RunId},
    state::{ENDS_TO_HOLD, QuarantineState, RequestStanding, RunTurn},
};
