//! Messages between a move's controller and the gates of its pool.

use {
    super::{clearance::Clearance, evidence::RouteEvidence},
    crate::macros::value_type,
    indexmap::IndexMap,
    std::sync::Arc,
};

value_type! {
    /// State of one gate, with the outcomes counted since its daemon started.
    pub struct GateReport {
        /// Name of the gate's daemon.
        pub gate: Arc<str>,
        /// Identity of this run of the daemon; each run counts from 0.
        pub instance: u64,
        /// Version of the gate's target.
        pub version: Arc<str>,
        /// Whether the target accepts calls.
        pub is_serving: bool,
        /// Calls that the target can run at the same time.
        pub slots: u32,
        /// Calls in flight.
        pub in_flight: u32,
        /// Outcomes by route.
        pub routes: IndexMap<Arc<str>, RouteEvidence>,
    }
}

value_type! {
    /// Outcomes that one gate counted in one window.
    #[derive(Default)]
    pub struct GateWindow {
        /// Outcomes by route.
        pub routes: IndexMap<Arc<str>, RouteEvidence>,
    }
}

value_type! {
    /// Requests a gate's report and delivers the clearance.
    pub struct PollRequest {
        /// Pool of the move.
        pub pool: Arc<str>,
        /// Identity of the move.
        pub move_id: u64,
        /// The controller's clearance; `None` from an observer, which checks whether it can take over the move.
        pub clearance: Option<Clearance>,
    }
}

value_type! {
    /// Reply of a gate to a [`PollRequest`].
    pub struct PollReply {
        /// State and counts of the gate.
        pub report: GateReport,
        /// Clearance that the gate holds for the move.
        pub held: Option<Clearance>,
        /// Remaining time of the holder's lease, in milliseconds.
        pub lease_left_ms: u64,
        /// Whether the gate stored the clearance of the request.
        pub accepted: bool,
        /// Outcomes of the gate's last windows, oldest first; empty in the reply to a controller.
        pub recent: Vec<GateWindow>,
    }
}
