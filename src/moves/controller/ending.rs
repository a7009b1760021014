//! The end of a move: stopped, taken back at the deadline, or done.

use {
    super::{MAX_REPORT_AGE_MS, MIN_EVIDENCE_CALLS, MoveController, MoveEffect, MovePhase, PROPAGATION_MS},
    crate::{
        clock::TimePoint,
        config::MoveVerdict,
        moves::{route_tests::Finding, schedule::TOP_SHARE},
    },
};

/// Highest share of failed calls with which a version is done that can't be compared, as no target of the old one is left.
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

    /// Decides the verdict after the drain or at the deadline: done if the share is at its top and not paused, or if there is
    /// nothing to go back to and the version has run enough calls without a pause; else taken back.
    pub(super) fn finish(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let calls: u64 = self.tests.values().map(|tests| tests.new_total.calls).sum();
        if !self.is_at_top() && !self.is_sound_without_old(calls, now) {
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

    /// Returns whether no target of the old version is left to go back to, and the new one has run enough calls, of which few
    /// failed: without the old one's calls there is no evidence by comparison.
    fn is_sound_without_old(&self, calls: u64, now: TimePoint) -> bool {
        let failed: u64 = self.tests.values().map(|tests| tests.new_total.failed).sum();
        self.phase != MovePhase::Paused
            && self.are_old_gates_silent(now)
            && calls >= MIN_EVIDENCE_CALLS
            && failed as f64 <= calls as f64 * MAX_FAILING_WITHOUT_OLD
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
