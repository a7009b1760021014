//! The limit that the users set for the calls that a bad version may receive.

use crate::clock::TimePoint;

/// Highest exposure of a bad version: a fraction of all calls, plus a number of calls.
const MAX_EXPOSURE: (f64, u64) = (0.10, 50);
/// Number of bad responses that requires a stop, and the time within which the version must be stopped, in milliseconds.
const ROLLBACK_LIMIT: (u64, u64) = (50, 5_000);

/// Calls that the new version has received, compared with the limit.
#[derive(Debug, Default)]
pub(super) struct ExposureTracker {
    calls: u64,
    bad_responses: u64,
    /// When the bad responses reached the number of [`ROLLBACK_LIMIT`].
    limit_reached_at: Option<TimePoint>,
    /// Whether a call came later than [`ROLLBACK_LIMIT`] allows.
    is_late: bool,
}

impl ExposureTracker {
    /// Counts a call to the new version.
    pub(super) fn add_call(&mut self, is_bad_response: bool, now: TimePoint) {
        self.calls += 1;
        self.bad_responses += u64::from(is_bad_response);
        if self.bad_responses >= ROLLBACK_LIMIT.0 {
            self.limit_reached_at.get_or_insert(now);
        }
        self.is_late |= self
            .limit_reached_at
            .is_some_and(|at| now.ms_since(at) > ROLLBACK_LIMIT.1);
    }

    /// Returns whether a bad version received too many calls or a late one. `pool_calls` is the number of the pool's calls
    /// from the start of the move to its deadline.
    pub(super) fn is_exceeded(&self, pool_calls: f64) -> bool {
        let allowed = pool_calls * MAX_EXPOSURE.0 + MAX_EXPOSURE.1 as f64;
        self.is_late || self.calls as f64 > allowed
    }
}
