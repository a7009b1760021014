//! Times of the daemon's shutdown, and which calls of callers it still accepts.

use crate::{clock::TimePoint, http::CONNECT_TIMEOUT, settings::DaemonSettings};

/// Time before the drain limit at which the process exits in any case, in milliseconds.
const EXIT_MARGIN_MS: u64 = 150;
/// Time before the exit by which the last call must have ended, in milliseconds, so that its answer or refusal is written.
const LAST_ANSWER_MS: u64 = 100;
/// Time from the refusal of a gate to its arrival, in milliseconds.
const REFUSAL_RETURN_MS: u64 = 150;
/// Shortest time for which a call may wait at a gate while no shutdown has begun, in milliseconds. It matters only for drain
/// limits that are too short for a shutdown that cuts off no call.
const MIN_WAIT_MS: u64 = 1_000;

/// When callers have left a stopping daemon, and when it exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaveSchedule {
    /// When callers have learnt that the daemon stops. Those that come until then can't know better.
    pub callers_leave_by: TimePoint,
    /// When the process exits in any case, and cuts the calls that still run.
    pub exit_at: TimePoint,
}

impl LeaveSchedule {
    /// Returns the schedule of a shutdown that begins at `now`.
    pub fn starting_at(now: TimePoint, settings: &DaemonSettings) -> Self {
        Self {
            callers_leave_by: now.after_ms(settings.leave_ms),
            exit_at: now.after_ms(settings.drain_limit_ms.saturating_sub(EXIT_MARGIN_MS)),
        }
    }

    /// Returns whether a call that arrives at `now` is accepted: until the callers have left, and after that only if it
    /// ends before the exit at the latest. Others are refused, as the exit would cut them while their target runs them.
    pub fn admits(&self, deadline: TimePoint, now: TimePoint) -> bool {
        now < self.callers_leave_by || deadline <= self.answer_by()
    }

    /// Returns the time by which the last answer or refusal must be written.
    pub fn answer_by(&self) -> TimePoint {
        self.exit_at.before_ms(LAST_ANSWER_MS)
    }

    /// Returns the time by which a call that takes `run_ms` must have got a slot of a target, so that it is answered before
    /// the exit. One that has none can still be refused as not run.
    pub fn start_by(&self, run_ms: u64) -> TimePoint {
        let connect_ms = CONNECT_TIMEOUT.as_millis() as u64;
        self.answer_by()
            .before_ms(run_ms.max(connect_ms))
            .before_ms(REFUSAL_RETURN_MS)
    }

    /// Returns the time until which a call that is sent to a gate at `now` may wait there while no shutdown has begun: one
    /// that begins right afterwards must still leave time for its refusal.
    pub fn wait_limit(now: TimePoint, settings: &DaemonSettings) -> TimePoint {
        Self::starting_at(now, settings)
            .start_by(0)
            .max(now.after_ms(MIN_WAIT_MS))
    }
}
