//! Targets that could serve a call, and what the call asks of them.

use std::sync::Arc;

/// Target that could serve a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTarget {
    /// Name of its daemon.
    pub name: Arc<str>,
    /// Number of calls that it serves concurrently.
    pub slots: u32,
    /// Whether it is in this daemon's data centre.
    pub is_near: bool,
    /// Whether the membership protocol suspects its daemon of having failed.
    pub is_suspect: bool,
}

/// Which targets are eligible for an attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TargetNeed {
    /// Also late ones, if none is expected to answer in time.
    #[default]
    Any,
    /// Those expected to answer in time, as after the refusal of a full gate.
    Room,
    /// The same, and with a load below `MAX_IDLE_LOAD`, as for a hedged attempt.
    Idle,
}

/// Reason for which no target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingTarget {
    /// There is none that has not been tried.
    None,
    /// None is expected to answer in time.
    NoRoom,
}

/// Selection criteria of a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetCriteria<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Cost of sending the call to another data centre, in milliseconds.
    pub cross_dc_cost_ms: f64,
    /// Time within which the answer is needed, in milliseconds; `None` if there is no limit.
    pub limit_ms: Option<f64>,
    /// Which targets are eligible.
    pub need: TargetNeed,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
}
