//! Messages between a move's controller and the gates of its pool.

use {
    super::{clearance::Clearance, counts::OutcomeCounts},
    crate::macros::value_type,
    indexmap::IndexMap,
    std::sync::Arc,
};

value_type! {
    /// What one gate has counted since its daemon started.
    pub struct GateReport {
        /// Name of the gate's daemon.
        pub gate: Arc<str>,
        /// Start of the daemon; counters of another start don't continue these.
        pub instance: u64,
        /// Version of the gate's target.
        pub version: Arc<str>,
        /// Whether the target takes work.
        pub is_serving: bool,
        /// Slots of the target.
        pub slots: u32,
        /// Calls that run.
        pub in_flight: u32,
        /// Outcomes by route.
        pub routes: IndexMap<Arc<str>, OutcomeCounts>,
    }
}

value_type! {
    /// What one gate counted in one window.
    #[derive(Default)]
    pub struct WindowCounts {
        /// Outcomes by route.
        pub routes: IndexMap<Arc<str>, OutcomeCounts>,
    }
}

value_type! {
    /// Asks a gate for its report and hands it the clearance.
    pub struct PollRequest {
        /// Pool that moves.
        pub pool: Arc<str>,
        /// Identity of the move.
        pub move_id: u64,
        /// The controller's clearance; `None` from a daemon that only looks.
        pub clearance: Option<Clearance>,
    }
}

value_type! {
    /// The gate's answer.
    pub struct PollReply {
        /// What the gate has counted.
        pub report: GateReport,
        /// Clearance that the gate holds for the move.
        pub held: Option<Clearance>,
        /// Time left of the lease of its holder, in milliseconds.
        pub lease_left_ms: u64,
        /// Whether the sent clearance was taken over.
        pub accepted: bool,
        /// What the gate counted in its last windows, oldest first; only for a daemon that looks.
        pub recent: Vec<WindowCounts>,
    }
}
