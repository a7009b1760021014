//! Calls as they arrive at a gate.

use {crate::clock::TimePoint, std::sync::Arc};

/// Time that a refusal takes to reach the proxy, in milliseconds: two hops and a timer.
const REFUSAL_RETURN_MS: u64 = 60;

/// Call that arrives at the gate.
#[derive(Debug, Clone)]
pub struct GateArrival {
    /// Name of its route.
    pub route: Arc<str>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer counts as late. A call that would be queued and not answered by then is refused.
    pub useful_until: TimePoint,
    /// Time at which the call is given up.
    pub deadline: TimePoint,
    /// Time by which it must have a slot in any case.
    pub start_by: TimePoint,
}

impl GateArrival {
    /// Returns the time at which the call is refused if it is still queued: at `start_by`, or halfway between
    /// `useful_until` and the deadline, as it would hardly be served after that, but early enough for the refusal to arrive
    /// before the deadline.
    pub fn wait_until(&self) -> TimePoint {
        let margin_ms = self.deadline.ms_since(self.useful_until);
        let halfway = self.useful_until.after_ms(margin_ms / 2);
        halfway
            .min(self.deadline.before_ms(REFUSAL_RETURN_MS))
            .min(self.start_by)
    }
}
