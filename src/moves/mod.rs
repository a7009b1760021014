//! Moves of a pool to a new target version: evidence, tests, schedule, and the controller that decides.

mod clearance;
mod controller;
mod evidence;
mod message;
mod route_tests;
mod schedule;
mod sequential;

pub use {
    clearance::{Clearance, GateLease, LEASE_MS, may_look},
    controller::{ControllerStart, MoveController, MoveEffect, MovePhase, WINDOW_MS},
    evidence::{EvidenceWindow, LatencyCounts, RouteEvidence},
    message::{GateReport, GateWindow, PollReply, PollRequest},
    schedule::{MIN_MOVE_MS, MoveSchedule, TOP_SHARE, TRICKLE_SHARE},
    sequential::{RateTest, TestMemory, TestThresholds},
};
