//! The pure course of one call over its attempts.

use {
    super::{
        budget::RetryBudget,
        outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    },
    crate::clock::TimePoint,
    std::sync::Arc,
};

/// Most gates that one call is offered to.
pub const MAX_OFFERS: usize = 4;
/// Part of the time left after which a second attempt starts beside one that has not answered.
const HEDGE_PART: u64 = 2;
/// Shortest time that an attempt is given before a second one starts beside it, in milliseconds.
const MIN_HEDGE_MS: u64 = 50;

/// What may be done with a call.
#[derive(Debug, Clone, Copy)]
pub struct CallRules {
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Whether its whole body is held, so that it can be sent again.
    pub resendable: bool,
    /// Most targets that it may reach.
    pub attempts: u32,
    /// When the call is given up.
    pub deadline: TimePoint,
}

/// What is done next for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// Send the request to a target that has not been tried.
    Send,
    /// Wait for the attempts under way.
    Wait,
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

/// One call. At most two attempts are under way at a time.
#[derive(Debug, Clone)]
pub struct CallPlan {
    rules: CallRules,
    tried: Vec<Arc<str>>,
    /// Attempts under way.
    open: u32,
    /// Attempts that reached a target or may have.
    reached: u32,
    maybe_run: bool,
    hedge_at: TimePoint,
}

impl CallPlan {
    /// Starts a call.
    pub fn new(rules: CallRules) -> Self {
        Self {
            rules,
            tried: Vec::new(),
            open: 0,
            reached: 0,
            maybe_run: false,
            hedge_at: TimePoint::FAR_FUTURE,
        }
    }

    /// Returns the targets that have been tried.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Returns when the call is given up.
    pub fn deadline(&self) -> TimePoint {
        self.rules.deadline
    }

    /// Returns when [`Self::hedge`] is due; never if the call may not run twice.
    pub fn hedge_at(&self) -> TimePoint {
        self.hedge_at
    }

    /// Takes note that the request is sent to a target.
    pub fn note_attempt(&mut self, target: Arc<str>, now: TimePoint) {
        self.tried.push(target);
        self.open += 1;
        let may_hedge = self.rules.repeatable && self.rules.resendable && self.open == 1;
        self.hedge_at = if may_hedge {
            let part_ms = self.rules.deadline.ms_since(now) / HEDGE_PART;
            now.after_ms(part_ms.max(MIN_HEDGE_MS))
        } else {
            TimePoint::FAR_FUTURE
        };
    }

    /// Returns the first step.
    pub fn begin(&self, budget: &mut RetryBudget, now: TimePoint) -> CallStep {
        budget.add_call();
        if now >= self.rules.deadline {
            return self.refuse(RefusalReason::DeadlinePassed);
        }
        CallStep::Send
    }

    /// Returns the step when an attempt has not answered for long: a second one beside it, if the budget allows.
    pub fn hedge(&mut self, budget: &mut RetryBudget, now: TimePoint) -> CallStep {
        self.hedge_at = TimePoint::FAR_FUTURE;
        if now < self.rules.deadline && self.may_reach_another() && budget.take_retry() {
            CallStep::Send
        } else {
            CallStep::Wait
        }
    }

    /// Returns the step after an attempt.
    pub fn after_attempt(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> CallStep {
        self.open = self.open.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => return CallStep::Answer,
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Rejected => self.reached += 1,
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::Stalled => {
                self.reached += 1;
                self.maybe_run = true;
            }
        }
        if self.open > 0 {
            return CallStep::Wait;
        }
        if now < self.rules.deadline && self.may_send_again(outcome, budget) {
            return CallStep::Send;
        }
        match outcome {
            AttemptOutcome::Failed => CallStep::Answer,
            AttemptOutcome::Broken => self.refuse_late(RefusalReason::Broken, now),
            AttemptOutcome::Stalled => self.refuse(RefusalReason::DeadlinePassed),
            _ => self.refuse_late(RefusalReason::Refused, now),
        }
    }

    /// Returns the step when no untried target is left.
    pub fn lack_target(&self, has_answer: bool) -> CallStep {
        match (self.open, has_answer) {
            (1.., _) => CallStep::Wait,
            (0, true) => CallStep::Answer,
            (0, false) if self.tried.is_empty() => self.refuse(RefusalReason::NoTarget),
            (0, false) => self.refuse(RefusalReason::Refused),
        }
    }

    /// Refuses the call with what is known of the request.
    pub fn refuse(&self, reason: RefusalReason) -> CallStep {
        let outcome = if self.maybe_run || self.open > 0 {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        };
        CallStep::Refuse { outcome, reason }
    }

    fn refuse_late(&self, reason: RefusalReason, now: TimePoint) -> CallStep {
        self.refuse(if now >= self.rules.deadline {
            RefusalReason::DeadlinePassed
        } else {
            reason
        })
    }

    fn may_send_again(&self, outcome: AttemptOutcome, budget: &mut RetryBudget) -> bool {
        if !self.rules.resendable || self.tried.len() >= MAX_OFFERS || !self.may_reach_another() {
            return false;
        }
        match outcome {
            AttemptOutcome::NotRun => budget.take_not_run(),
            AttemptOutcome::Rejected => budget.take_retry(),
            _ => self.rules.repeatable && budget.take_retry(),
        }
    }

    fn may_reach_another(&self) -> bool {
        self.reached + self.open < self.rules.attempts
    }
}
