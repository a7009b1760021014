//! Retry and hedging decisions for one call, without I/O.

use {
    super::{
        budget::RetryBudget,
        outcome::{AttemptOutcome, CallOutcome, RefusalReason},
    },
    crate::clock::TimePoint,
    std::sync::Arc,
};

/// Number of tried targets at which a call is no longer retried, including those whose gates refused it.
pub const MAX_TARGETS_TRIED: usize = 4;
/// A hedged attempt starts if no answer arrives within the time left until the deadline, divided by this.
const HEDGE_DELAY_DIVISOR: u64 = 2;
/// Minimum time that an attempt gets before a hedged attempt starts, in milliseconds.
const MIN_HEDGE_DELAY_MS: u64 = 50;

/// Limits on the attempts of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallRules {
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Whether its whole body is here, so that it can be sent again.
    pub resendable: bool,
    /// Maximum number of targets that it may reach.
    pub attempts: u32,
    /// Time at which the call is given up.
    pub deadline: TimePoint,
}

/// Next step of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// Send the request to a target that has not been tried.
    Send,
    /// Wait for the attempts in flight.
    Wait,
    /// Return the last received answer to the caller.
    Answer,
    /// Refuse the call.
    Refuse {
        /// Whether the request may have run.
        outcome: CallOutcome,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
}

/// State of a call across its attempts, of which at most two are in flight at a time.
#[derive(Debug, Clone)]
pub struct CallPlan {
    rules: CallRules,
    tried: Vec<Arc<str>>,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Number of ended attempts that reached a target or may have.
    reached: u32,
    /// Whether an ended attempt ran or may have run.
    may_have_run: bool,
    hedge_at: TimePoint,
}

impl CallPlan {
    /// Creates a plan without attempts.
    pub fn new(rules: CallRules) -> Self {
        Self {
            rules,
            tried: Vec::new(),
            in_flight: 0,
            reached: 0,
            may_have_run: false,
            hedge_at: TimePoint::FAR_FUTURE,
        }
    }

    /// Returns the targets that have been tried.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Returns the time at which the call is given up.
    pub fn deadline(&self) -> TimePoint {
        self.rules.deadline
    }

    /// Returns the time at which [`Self::hedge`] is due; [`TimePoint::FAR_FUTURE`] if no hedged attempt may start.
    pub fn hedge_at(&self) -> TimePoint {
        self.hedge_at
    }

    /// Sets whether the request can be sent again.
    pub fn set_resendable(&mut self, resendable: bool) {
        self.rules.resendable = resendable;
    }

    /// Records that the request is sent to a target, and schedules a hedged attempt if this is the only attempt in
    /// flight and the request may be sent twice.
    pub fn record_attempt(&mut self, target: Arc<str>, now: TimePoint) {
        self.tried.push(target);
        self.in_flight += 1;
        let can_hedge = self.rules.repeatable && self.rules.resendable && self.in_flight == 1;
        self.hedge_at = if can_hedge {
            let delay_ms = self.rules.deadline.ms_since(now) / HEDGE_DELAY_DIVISOR;
            now.after_ms(delay_ms.max(MIN_HEDGE_DELAY_MS))
        } else {
            TimePoint::FAR_FUTURE
        };
    }

    /// Adds the call to the budget and returns the first step.
    pub fn begin(&self, budget: &mut RetryBudget, now: TimePoint) -> CallStep {
        budget.add_call();
        if now >= self.rules.deadline {
            return self.refuse(RefusalReason::DeadlinePassed);
        }
        CallStep::Send
    }

    /// Returns the step when [`Self::hedge_at`] is reached: a second attempt in parallel if the limits and the budget
    /// allow it, otherwise waiting.
    pub fn hedge(&mut self, budget: &mut RetryBudget, now: TimePoint) -> CallStep {
        self.hedge_at = TimePoint::FAR_FUTURE;
        if now < self.rules.deadline && self.can_reach_another() && budget.take_retry() {
            CallStep::Send
        } else {
            CallStep::Wait
        }
    }

    /// Records the end of an attempt and returns the next step.
    pub fn after_attempt(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> CallStep {
        self.record_outcome(outcome);
        if outcome == AttemptOutcome::Answered {
            return CallStep::Answer;
        }
        if self.in_flight > 0 {
            return CallStep::Wait;
        }
        if now < self.rules.deadline && self.can_resend(outcome, budget) {
            return CallStep::Send;
        }
        match outcome {
            AttemptOutcome::Failed => CallStep::Answer,
            AttemptOutcome::Broken => self.refuse_or_expire(RefusalReason::Broken, now),
            AttemptOutcome::Stalled => self.refuse(RefusalReason::DeadlinePassed),
            _ => self.refuse_or_expire(RefusalReason::Refused, now),
        }
    }

    /// Records the end of an attempt of a request that no other target may get either, for `reason`, and returns the next
    /// step. No retry follows.
    pub fn after_last_attempt(&mut self, outcome: AttemptOutcome, reason: RefusalReason) -> CallStep {
        self.record_outcome(outcome);
        match outcome {
            AttemptOutcome::Answered => CallStep::Answer,
            _ => self.without_send(reason, outcome == AttemptOutcome::Failed),
        }
    }

    /// Returns the step after [`CallStep::Send`] if the request is held back at every eligible target.
    pub fn after_held_back(&self, has_answer: bool) -> CallStep {
        self.without_send(RefusalReason::Quarantined, has_answer)
    }

    /// Returns the step after [`CallStep::Send`] if no eligible target is left; `has_answer` is set if an answer was
    /// received.
    pub fn after_no_target(&self, has_answer: bool) -> CallStep {
        let reason = if self.tried.is_empty() {
            RefusalReason::NoTarget
        } else {
            RefusalReason::Refused
        };
        self.without_send(reason, has_answer)
    }

    /// Returns the step after [`CallStep::Send`] if no target is expected to answer in time.
    pub fn after_no_room(&self, has_answer: bool) -> CallStep {
        self.without_send(RefusalReason::Refused, has_answer)
    }

    /// Returns the step after [`CallStep::Send`] if the daemon exits before another attempt could end.
    pub fn after_no_time(&self, has_answer: bool) -> CallStep {
        self.without_send(RefusalReason::Leaving, has_answer)
    }

    fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::NotRun => {}
            AttemptOutcome::Rejected => self.reached += 1,
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::Stalled => {
                self.reached += 1;
                self.may_have_run = true;
            }
        }
    }

    fn without_send(&self, reason: RefusalReason, has_answer: bool) -> CallStep {
        match (self.in_flight, has_answer) {
            (1.., _) => CallStep::Wait,
            (0, true) => CallStep::Answer,
            (0, false) => self.refuse(reason),
        }
    }

    /// Returns a refusal whose outcome states whether the request may have run.
    pub fn refuse(&self, reason: RefusalReason) -> CallStep {
        let outcome = if self.may_have_run || self.in_flight > 0 {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        };
        let reason = match reason {
            // What matters to the caller is that an earlier attempt may have run, not that the later ones were refused.
            RefusalReason::Refused
            | RefusalReason::Leaving
            | RefusalReason::Quarantined
            | RefusalReason::StaleTable
                if self.may_have_run =>
            {
                RefusalReason::Broken
            }
            reason => reason,
        };
        CallStep::Refuse { outcome, reason }
    }

    fn refuse_or_expire(&self, reason: RefusalReason, now: TimePoint) -> CallStep {
        self.refuse(if now >= self.rules.deadline {
            RefusalReason::DeadlinePassed
        } else {
            reason
        })
    }

    fn can_resend(&self, outcome: AttemptOutcome, budget: &mut RetryBudget) -> bool {
        if !self.rules.resendable || self.tried.len() >= MAX_TARGETS_TRIED || !self.can_reach_another() {
            return false;
        }
        match outcome {
            AttemptOutcome::NotRun => budget.take_not_run(),
            AttemptOutcome::Rejected => budget.take_retry(),
            _ => self.rules.repeatable && budget.take_retry(),
        }
    }

    fn can_reach_another(&self) -> bool {
        self.reached + self.in_flight < self.rules.attempts
    }
}
