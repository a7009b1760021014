//! The users' rule on what a bad version may get.

use crate::clock::TimePoint;

/// Part of all calls, and calls beside it, that a bad version may get.
const MAX_EXPOSURE: (f64, u64) = (0.10, 50);
/// Bad answers from which on a version gets nothing more after a time, and that time, in milliseconds.
const ROLLBACK_LIMIT: (u64, u64) = (50, 5_000);

/// What the new version got so far.
#[derive(Debug, Default)]
pub(super) struct ExposureTracker {
    calls: u64,
    bad_answers: u64,
    /// When the bad answers were as many as the rule counts.
    limit_reached_at: Option<TimePoint>,
    /// Whether a call came too long after that.
    is_late: bool,
}

impl ExposureTracker {
    /// Counts a call to the new version.
    pub(super) fn add_call(&mut self, is_bad_answer: bool, now: TimePoint) {
        self.calls += 1;
        self.bad_answers += u64::from(is_bad_answer);
        if self.bad_answers >= ROLLBACK_LIMIT.0 {
            self.limit_reached_at.get_or_insert(now);
        }
        self.is_late |= self
            .limit_reached_at
            .is_some_and(|at| now.ms_since(at) > ROLLBACK_LIMIT.1);
    }

    /// Tells whether a bad version got too much of the calls that the pool has until the deadline.
    pub(super) fn is_exceeded(&self, pool_calls: f64) -> bool {
        let allowed = pool_calls * MAX_EXPOSURE.0 + MAX_EXPOSURE.1 as f64;
        self.is_late || self.calls as f64 > allowed
    }
}
