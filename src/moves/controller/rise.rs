//! The steps of a move's share: raised on schedule, held, lowered, or restored after a pause.
//!
//! A short move raises its share above [`SHORT_SAFE_SHARE`] in quick steps within a limited time: the quick rise.

use {
    super::{
        BASELINE_WAIT_MS, MAX_REPORT_AGE_MS, MoveController, MoveEffect, MovePhase, RESUME_FACTOR, WINDOW_MS,
    },
    crate::{
        clock::TimePoint,
        moves::{
            route_tests::{Finding, RouteTests},
            schedule::{MIN_SHARE, TOP_SHARE},
        },
    },
};

/// Shortest pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 1_500;
/// Calls of the new version that a step must have before the next one, in the first part of the planned time.
const MIN_STEP_CALLS: u64 = 12;
/// Calls per second that the new version should get at first, so that a fault is detected soon.
const INITIAL_CALLS_PER_S: f64 = 3.0;
/// Highest initial share to reach that rate.
const MAX_INITIAL_SHARE: f64 = 0.04;
/// Time for which the pool's calls are counted before the initial share is set, in milliseconds.
const OBSERVE_MS: u64 = 3_000;
/// Fraction of the planned time from which a step no longer needs [`MIN_STEP_CALLS`].
const STEP_CALLS_UNTIL_FRACTION: f64 = 0.5;
/// The same as [`OBSERVE_MS`] for a short move.
const SHORT_OBSERVE_MS: u64 = 800;
/// Share of a short move above which the time is limited, so that a version gets few calls if its evidence is too high for
/// a further step and too low for a stop.
pub(super) const SHORT_SAFE_SHARE: f64 = 0.08;
/// Shortest step of the quick rise, in milliseconds: two windows, as the first may have begun in the previous step and is
/// weak evidence then.
const SHORT_MIN_STEP_MS: u64 = 2 * WINDOW_MS;
/// Fraction of a short move for which its share may be above [`SHORT_SAFE_SHARE`] before it reaches the top.
const SHORT_MAX_RISE_FRACTION: f64 = 0.2;
/// Lower limit of that time, in milliseconds: two steps below the top, each with one more window to begin in.
const SHORT_MIN_RISE_MS: u64 = 2 * (SHORT_MIN_STEP_MS + WINDOW_MS);
/// Latest start of the quick rise, in milliseconds before the deadline: the steps below the top, and two windows at the
/// top, as a version that fails under load does so only there.
const SHORT_RISE_LEAD_MS: u64 = SHORT_MIN_RISE_MS + SHORT_MIN_STEP_MS;
/// Fraction of the new version's slots that its share of the calls may use.
const MAX_SLOT_USE: f64 = 0.8;

impl MoveController {
    /// Ends a pause once the evidence has faded: returns to the share before it, at most what the slots allow, and at most
    /// [`SHORT_SAFE_SHARE`] in a short move. While the evidence lasts, a share of 0 is raised to the initial one.
    pub(super) fn resume(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        let paused_ms = now.ms_since(self.paused_at);
        let has_faded = finding.evidence < self.thresholds.weak * RESUME_FACTOR;
        let has_baseline =
            paused_ms >= BASELINE_WAIT_MS || self.tests.values().all(RouteTests::has_recent_rates);
        // The evidence already includes the gates' windows from before the takeover, and a short move has no time to
        // collect it again.
        let pause_ms = if self.schedule.is_short() && self.has_replayed_windows {
            0
        } else {
            MIN_PAUSE_MS
        };
        if paused_ms < pause_ms || !has_baseline || self.reports.is_empty() {
            return Vec::new();
        }
        if !has_faded {
            return self.raise_to_initial_share(now);
        }
        let safe_share = if self.schedule.is_short() {
            SHORT_SAFE_SHARE
        } else {
            1.0
        };
        let share = self.paused_share.min(self.share_cap(now)).min(safe_share);
        self.phase = MovePhase::Rising;
        self.has_replayed_windows = false;
        self.set_share(share, now);
        vec![MoveEffect::Cleared {
            reason: "resumed: the evidence was not confirmed".into(),
        }]
    }

    /// Raises the share from 0 to the initial one, as evidence neither fades nor is confirmed without calls.
    pub(super) fn raise_to_initial_share(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let share = self
            .paused_share
            .min(self.initial_share())
            .min(self.share_cap(now));
        if self.clearance.share > 0.0 || share <= 0.0 {
            return Vec::new();
        }
        self.set_share(share, now);
        vec![MoveEffect::Cleared {
            reason: "raised to the initial share: the evidence is neither confirmed nor faded".into(),
        }]
    }

    /// Moves the share towards the one that is due, within what the new version's slots and the evidence allow.
    pub(super) fn follow_schedule(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        if self.phase == MovePhase::Paused {
            return self.resume(finding, now);
        }
        let is_rise_allowed = !self.is_rise_over(now) && self.has_time_to_rise(now);
        let safe_share = if !is_rise_allowed && self.clearance.share < TOP_SHARE {
            SHORT_SAFE_SHARE
        } else {
            1.0
        };
        let cap = self.share_cap(now).min(safe_share);
        let due = self.schedule.due_share(now).max(self.initial_share());
        let share = self.clearance.share;
        if cap <= 0.0 {
            self.phase = MovePhase::Waiting;
            return self.wait_for_targets(now);
        }
        let observe_ms = if self.schedule.is_short() {
            SHORT_OBSERVE_MS
        } else {
            OBSERVE_MS
        };
        if now.ms_since(self.started_at) < observe_ms {
            return Vec::new();
        }
        self.phase = if share >= TOP_SHARE {
            MovePhase::Soaking
        } else {
            MovePhase::Rising
        };
        let next_share = due
            .min(cap)
            .min(self.schedule.step_above(share).max(self.initial_share()));
        // A short move takes a step only while the evidence is well below the adjusted threshold for a pause.
        let is_step_safe =
            !self.schedule.is_short() || finding.evidence < self.adjusted_thresholds().weak * RESUME_FACTOR;
        if next_share > share && is_step_safe && self.may_rise(now) {
            self.set_share(next_share, now);
            return vec![MoveEffect::Cleared {
                reason: format!("raised to {:.0} % on schedule", next_share * 100.0),
            }];
        }
        if cap < share {
            self.set_share(cap, now);
            return vec![MoveEffect::Cleared {
                reason: "lowered: fewer targets of the new version are ready".into(),
            }];
        }
        self.warn_if_late(due, now)
    }

    /// Returns whether the current share has lasted long enough and, in the first part of the planned time, brought enough
    /// calls; always true at share 0.
    pub(super) fn may_rise(&self, now: TimePoint) -> bool {
        if self.clearance.share == 0.0 {
            return true;
        }
        let min_step_ms = if self.is_in_quick_rise() {
            SHORT_MIN_STEP_MS
        } else {
            self.schedule.catch_up_ms()
        };
        let has_lasted = now.ms_since(self.share_changed_at) >= min_step_ms;
        let has_calls =
            self.step_calls >= MIN_STEP_CALLS || self.schedule.progress(now) >= STEP_CALLS_UNTIL_FRACTION;
        has_lasted && has_calls
    }

    /// Returns the share that gives the new version about [`INITIAL_CALLS_PER_S`], from [`MIN_SHARE`] in a pool with many
    /// calls to [`MAX_INITIAL_SHARE`] in one with few.
    pub(super) fn initial_share(&self) -> f64 {
        let observed_s = self.evaluate_at.ms_since(self.started_at).max(1) as f64 / 1e3;
        let calls_per_s = self.pool_calls as f64 / observed_s;
        (INITIAL_CALLS_PER_S / calls_per_s.max(1.0)).clamp(MIN_SHARE, MAX_INITIAL_SHARE)
    }

    /// Lowers the share to 0 until a target of the new version is ready.
    pub(super) fn wait_for_targets(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let mut effects = Vec::new();
        if self.clearance.share > 0.0 {
            self.set_share(0.0, now);
            effects.push(MoveEffect::Cleared {
                reason: "no target of the new version is ready".into(),
            });
        }
        effects.extend(self.warn_if_late(self.schedule.due_share(now), now));
        effects
    }

    /// Warns once if the share is below the one that is due and has not changed for five of the shortest steps, or if the
    /// move is a short one.
    pub(super) fn warn_if_late(&mut self, due: f64, now: TimePoint) -> Vec<MoveEffect> {
        let is_behind = self.clearance.share < due
            && now.ms_since(self.share_changed_at) > 5 * self.schedule.catch_up_ms();
        let too_short = self.schedule.is_short();
        if self.has_warned || !(is_behind || too_short) {
            return Vec::new();
        }
        self.has_warned = true;
        let reason = if too_short {
            "the deadline leaves less than a minute, so there is little time for evidence".to_owned()
        } else {
            let (share, due) = (self.clearance.share * 100.0, due * 100.0);
            format!(
                "the share is {share:.0} % where {due:.0} % is due; the new version lacks ready targets or was paused"
            )
        };
        vec![MoveEffect::AtRisk { reason }]
    }

    /// Returns whether a short move is in its quick rise or at the top.
    pub(super) fn is_in_quick_rise(&self) -> bool {
        self.schedule.is_short() && self.clearance.share > SHORT_SAFE_SHARE
    }

    /// Returns whether the quick rise of a short move has not reached the top in its time.
    pub(super) fn is_rise_stalled(&self, now: TimePoint) -> bool {
        self.phase == MovePhase::Rising && self.is_in_quick_rise() && self.is_rise_over(now)
    }

    /// Returns whether the share may rise in view of the deadline. A short move whose quick rise has not begun needs enough
    /// time for it and for two windows at the top; without that time it is taken back at the deadline.
    fn has_time_to_rise(&self, now: TimePoint) -> bool {
        let begin_by = self.order.finish_by.before_ms(SHORT_RISE_LEAD_MS);
        !self.schedule.is_short() || self.is_in_quick_rise() || now <= begin_by
    }

    /// Returns whether the time of a short move's quick rise is over. There is no second one, as two would give a version
    /// that fails under load more calls than allowed.
    pub(super) fn is_rise_over(&self, now: TimePoint) -> bool {
        let total_ms = self.order.finish_by.ms_since(self.order.opened_at) as f64;
        let limit_ms = (total_ms * SHORT_MAX_RISE_FRACTION).max(SHORT_MIN_RISE_MS as f64);
        let since = self.rise_started_at.filter(|_| self.schedule.is_short());
        since.is_some_and(|since| now.ms_since(since) as f64 > limit_ms)
    }

    /// Returns the highest share for which the slots of the new version's ready targets are enough, by the calls in flight
    /// of both versions; at most [`TOP_SHARE`].
    pub(super) fn share_cap(&self, now: TimePoint) -> f64 {
        let fresh = self
            .reports
            .values()
            .filter(|last| now.ms_since(last.received_at) < MAX_REPORT_AGE_MS);
        let mut new_slots = 0;
        let mut in_flight = 0;
        for last in fresh {
            in_flight += last.report.in_flight;
            if last.report.version == self.order.to && last.report.is_serving {
                new_slots += last.report.slots;
            }
        }
        (f64::from(new_slots) * MAX_SLOT_USE / f64::from(in_flight.max(1))).min(TOP_SHARE)
    }
}
