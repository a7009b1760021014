//! Moves of a pool to a new target version: evidence from counted calls, statistical tests, the schedule of traffic shares,
//! and the controller that decides on them.

mod clearance;
mod controller;
mod evidence;
mod message;
mod route_tests;
mod schedule;
mod sequential;

pub use {
    clearance::{Clearance, GateLease, LEASE_MS, may_check_takeover},
    controller::{MoveController, MoveEffect, MovePhase, TakeoverState, WINDOW_MS},
    evidence::{EvidenceWindow, LatencyHistogram, RouteEvidence},
    message::{GateReport, GateWindow, PollReply, PollRequest},
    schedule::{MIN_MOVE_MS, MIN_SHARE, MoveSchedule, TOP_SHARE},
    sequential::{RateTest, TestMemory, TestThresholds},
};
