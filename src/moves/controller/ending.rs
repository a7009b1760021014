//! The end of a move: stopped, taken back at the deadline, or done.

use {
    super::{
        MAX_REPORT_AGE_MS, MIN_EVIDENCE_CALLS, MoveController, MoveEffect, MovePhase, PROPAGATION_MS,
        RESUME_FACTOR,
    },
    crate::{
        clock::TimePoint,
        config::MoveVerdict,
        moves::{route_tests::Finding, schedule::TOP_SHARE},
    },
};

/// Highest share of failed calls, besides a single one, with which a version is done that can't be compared, as no target of
/// the old one is left.
const MAX_FAILING_WITHOUT_OLD: f64 = 0.05;

impl MoveController {
    /// Stops the new version and decides to take the move back because of `finding`.
    pub(super) fn stop(&mut self, finding: &Finding) -> Vec<MoveEffect> {
        self.clearance.stopped = true;
        self.clearance.seq += 1;
        let share = self.clearance.share * 100.0;
        let reason = format!("{} at share {share:.0} %", finding.text);
        self.decide(MoveVerdict::TakenBack, &reason);
        vec![
            MoveEffect::Cleared {
                reason: format!("stopped: {reason}"),
            },
            MoveEffect::Decide {
                verdict: MoveVerdict::TakenBack,
                reason: reason.into(),
            },
        ]
    }

    /// Decides the verdict after the drain or at the deadline: done if the share is at its top and not paused, or if no target
    /// of the old version is left and the new one is sound; else taken back.
    pub(super) fn finish(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let calls: u64 = self.tests.values().map(|tests| tests.new_total.calls).sum();
        let is_sound = if self.are_old_gates_silent(now) {
            self.is_sound_without_old(calls)
        } else {
            self.is_at_top()
        };
        if !is_sound {
            let share = self.clearance.share * 100.0;
            self.clearance.stopped = true;
            self.clearance.seq += 1;
            let reason = format!(
                "the deadline came at share {share:.0} % while {}, {calls} calls",
                self.phase
            );
            self.decide(MoveVerdict::TakenBack, &reason);
        } else if calls < MIN_EVIDENCE_CALLS {
            self.set_share(1.0, now);
            self.decide(
                MoveVerdict::Done,
                &format!("nothing speaks against it, but little evidence: {calls} calls"),
            );
        } else {
            self.set_share(1.0, now);
            self.decide(
                MoveVerdict::Done,
                &format!("nothing speaks against it in {calls} calls"),
            );
        }
        self.decided
            .clone()
            .map(|(verdict, reason)| MoveEffect::Decide { verdict, reason })
            .into_iter()
            .collect()
    }

    /// Returns whether the share has reached its top and is not paused.
    pub(super) fn is_at_top(&self) -> bool {
        self.clearance.share >= TOP_SHARE && self.phase != MovePhase::Paused
    }

    /// Returns whether nothing speaks against the new version, and few of its calls failed: if no target of the old one is
    /// left, there is no evidence by comparison, and nothing to go back to.
    fn is_sound_without_old(&self, calls: u64) -> bool {
        let failed: u64 = self.tests.values().map(|tests| tests.new_total.failed).sum();
        // A pause may stand for a takeover only.
        let has_evidence = self.strongest_finding().evidence >= self.thresholds.weak * RESUME_FACTOR;
        !has_evidence && failed as f64 <= 1.0 + calls as f64 * MAX_FAILING_WITHOUT_OLD
    }

    /// Returns whether no gate of the old version has reported lately.
    fn are_old_gates_silent(&self, now: TimePoint) -> bool {
        let mut reports = self.reports.values();
        !reports.any(|last| {
            last.report.version != self.order.to && now.ms_since(last.received_at) <= MAX_REPORT_AGE_MS
        })
    }

    /// Returns whether every gate of the old version has reported no call in flight, later than [`PROPAGATION_MS`] after
    /// the full share was set at `since`.
    pub(super) fn is_old_idle(&self, since: TimePoint) -> bool {
        let mut old = self
            .reports
            .values()
            .filter(|last| last.report.version != self.order.to);
        old.all(|last| last.received_at > since.after_ms(PROPAGATION_MS) && last.report.in_flight == 0)
    }

    /// Records the verdict, which [`Self::tick`] returns until the move is closed.
    pub(super) fn decide(&mut self, verdict: MoveVerdict, reason: &str) {
        self.phase = MovePhase::Decided;
        self.decided = Some((verdict, reason.into()));
    }
}
