//! The pure course of one call over its attempts.

use {
    super::{
        budget::RetryBudget,
        outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    },
    crate::clock::TimePoint,
    std::sync::Arc,
};

/// Most attempts of one call.
pub const MAX_ATTEMPTS: usize = 4;
/// Shortest time that an attempt is given before another target is tried, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 50;

/// What is done next for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// Send the request to a target that has not been tried.
    Send {
        /// When the attempt is given up.
        deadline: TimePoint,
    },
    /// Pass the answer in hand on to the caller.
    Answer,
    /// Refuse the call.
    Refuse {
        /// What is known of the request.
        outcome: CallOutcome,
        /// Why it is refused.
        reason: RefusalReason,
    },
}

/// One call.
#[derive(Debug, Clone)]
pub struct CallPlan {
    repeatable: bool,
    resendable: bool,
    deadline: TimePoint,
    tried: Vec<Arc<str>>,
    maybe_run: bool,
}

impl CallPlan {
    /// Starts a call. A `repeatable` request may run twice; a `resendable` one still has its whole body.
    pub fn new(repeatable: bool, resendable: bool, deadline: TimePoint) -> Self {
        Self {
            repeatable,
            resendable,
            deadline,
            tried: Vec::new(),
            maybe_run: false,
        }
    }

    /// Returns the targets that have been tried.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Returns when the call is given up.
    pub fn deadline(&self) -> TimePoint {
        self.deadline
    }

    /// Takes note that the request is sent to a target.
    pub fn note_attempt(&mut self, target: Arc<str>) {
        self.tried.push(target);
    }

    /// Returns the first step.
    pub fn begin(&self, budget: &mut RetryBudget, now: TimePoint) -> CallStep {
        budget.add_call();
        if now >= self.deadline {
            return self.refuse(RefusalReason::DeadlinePassed);
        }
        CallStep::Send {
            deadline: self.attempt_deadline(now),
        }
    }

    /// Returns the step after an attempt.
    pub fn after_attempt(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> CallStep {
        match outcome {
            AttemptOutcome::Answered => CallStep::Answer,
            AttemptOutcome::Shed if self.may_repeat(budget, now) => self.send_again(now),
            AttemptOutcome::Shed => CallStep::Answer,
            AttemptOutcome::NotRun => {
                let again = self.may_try(now) && self.resendable && budget.take_not_run();
                if again {
                    self.send_again(now)
                } else {
                    self.refuse_late(RefusalReason::Refused, now)
                }
            }
            AttemptOutcome::Broken => {
                self.maybe_run = true;
                let again = self.may_repeat(budget, now);
                if again {
                    self.send_again(now)
                } else {
                    self.refuse_late(RefusalReason::Broken, now)
                }
            }
            AttemptOutcome::Stalled => {
                self.maybe_run = true;
                let again = self.may_repeat(budget, now);
                if again {
                    self.send_again(now)
                } else {
                    self.refuse(RefusalReason::DeadlinePassed)
                }
            }
        }
    }

    /// Refuses the call with what is known of the request.
    pub fn refuse(&self, reason: RefusalReason) -> CallStep {
        let outcome = if self.maybe_run {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        };
        CallStep::Refuse { outcome, reason }
    }

    fn refuse_late(&self, reason: RefusalReason, now: TimePoint) -> CallStep {
        self.refuse(if now >= self.deadline {
            RefusalReason::DeadlinePassed
        } else {
            reason
        })
    }

    fn may_try(&self, now: TimePoint) -> bool {
        now < self.deadline && self.tried.len() < MAX_ATTEMPTS
    }

    fn may_repeat(&self, budget: &mut RetryBudget, now: TimePoint) -> bool {
        self.repeatable && self.resendable && self.may_try(now) && budget.take_retry()
    }

    fn send_again(&self, now: TimePoint) -> CallStep {
        CallStep::Send {
            deadline: self.attempt_deadline(now),
        }
    }

    /// A request that may be repeated is given half of the time left, so that a stalled target leaves time for
    /// another one; any other request is given all of it.
    fn attempt_deadline(&self, now: TimePoint) -> TimePoint {
        let last = self.tried.len() + 1 >= MAX_ATTEMPTS;
        if !self.repeatable || !self.resendable || last {
            return self.deadline;
        }
        let half_ms = self.deadline.ms_since(now) / 2;
        now.after_ms(half_ms.max(MIN_ATTEMPT_MS)).min(self.deadline)
    }
}
