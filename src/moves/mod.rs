//! Moves of a pool to a new target version: outcome counts, statistical tests, the schedule of traffic shares, and the
//! controller that decides on them.

mod clearance;
mod controller;
mod counts;
mod message;
mod route_tests;
mod schedule;
mod sequential;

pub use {
    clearance::{Clearance, GateLease, LEASE_MS, may_check_takeover},
    controller::{MoveController, MoveEffect, MovePhase, TakeoverState, WINDOW_MS},
    counts::{ComparisonWindow, LatencyHistogram, OutcomeCounts},
    message::{GateReport, PollReply, PollRequest, WindowCounts},
    schedule::{MIN_MOVE_MS, MIN_SHARE, MoveSchedule, TOP_SHARE},
    sequential::{RateTest, TestMemory, TestThresholds},
};
