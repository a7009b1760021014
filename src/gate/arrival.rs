//! Calls as they arrive at a gate.

use {crate::clock::TimePoint, std::sync::Arc};

/// Time that a refusal takes to reach the proxy, in milliseconds: two hops and a timer.
const REFUSAL_RETURN_MS: u64 = 60;

/// Time that an answer takes to reach the caller, in milliseconds: two hops.
const ANSWER_RETURN_MS: u64 = 10;

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
    /// Whether a target calls in a run of its own, which is lost without the answer.
    pub is_nested: bool,
}

impl GateArrival {
    /// Returns the time at which the call is refused if it is still queued: at `start_by`, or halfway between
    /// `answer_by` and the deadline, as it would hardly be served after that, but early enough for the refusal to arrive
    /// before the deadline.
    pub fn wait_until(&self) -> TimePoint {
        let answer_by = self.answer_by();
        let margin_ms = self.deadline.ms_since(answer_by);
        let halfway = answer_by.after_ms(margin_ms / 2);
        halfway
            .min(self.deadline.before_ms(REFUSAL_RETURN_MS))
            .min(self.start_by)
    }

    /// Returns the time by which an answer is worth its run. That of a nested call is its deadline, as a late answer still
    /// saves the run that waits for it.
    pub fn answer_by(&self) -> TimePoint {
        if self.is_nested {
            self.deadline.before_ms(ANSWER_RETURN_MS)
        } else {
            self.useful_until
        }
    }
}
