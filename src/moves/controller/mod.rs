//! The controller of one move: decides on the traffic share and the verdict from the gates' reports, without any I/O.

mod ending;
mod evaluation;
mod rise;

use {
    self::{evaluation::thresholds_of, rise::SHORT_SAFE_SHARE},
    super::{
        clearance::{Clearance, LEASE_MS},
        evidence::{EvidenceWindow, LatencyHistogram},
        message::{GateReport, PollReply},
        route_tests::{Finding, RouteTests},
        schedule::{MoveSchedule, TOP_SHARE},
        sequential::{RateTest, TestThresholds},
    },
    crate::{
        clock::TimePoint,
        config::{MoveOrder, MoveVerdict, matches_version},
    },
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        fmt::{Display, Formatter},
        sync::Arc,
    },
};

/// Usual interval of polls to the gates, which is also the length of a window, in milliseconds.
pub const WINDOW_MS: u64 = 500;
/// The same interval at the top of a short move, where the window is evaluated early as well, in milliseconds: a version
/// that fails only there gets most of its calls until it is paused.
const TOP_POLL_MS: u64 = 250;
/// Time from a poll to the evaluation of the window, in which the gates reply, in milliseconds.
const REPLY_WAIT_MS: u64 = 100;
/// Time in a pause after which the long-term rate of the old version is used, if it has too few calls for a recent
/// rate, in milliseconds.
const BASELINE_WAIT_MS: u64 = 3_000;
/// Factor on the weak threshold. A pause ends, and a short move takes a step, only while the evidence is below the product.
const RESUME_FACTOR: f64 = 0.5;
/// Highest share that a controller resumes at after a takeover, or after a gap in its own evaluation. A short move that was
/// released keeps its share.
const MAX_TAKEOVER_SHARE: f64 = 0.10;
/// Longest wait for the old version's calls in flight before the verdict, in milliseconds; its targets may be stopped
/// right after the verdict.
const MAX_DRAIN_MS: u64 = 1_600;
/// Time for the full share to reach the proxies, in milliseconds. Most of them receive it in a response of the pool within
/// a window.
const PROPAGATION_MS: u64 = 250;
/// Fraction of a short move for which the latencies of a newly reported target are ignored, at most [`WARM_UP_MS`].
const SHORT_WARM_UP_FRACTION: f64 = 0.2;
/// Time after a target's first call for which its latencies are ignored, in milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Age of a gate's last report from which its slots and calls in flight are ignored, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;
/// Calls of the new version below which the reason of the verdict mentions that there is little evidence.
const MIN_EVIDENCE_CALLS: u64 = 50;

/// Whether a move can be taken over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverState {
    /// Another daemon's controller holds the move, and its lease lasts.
    Held,
    /// No other daemon's controller has a lease of the move that lasts.
    Free,
}

/// Phase of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MovePhase {
    /// No target of the new version accepts calls.
    Waiting,
    /// The share rises on schedule.
    Rising,
    /// The share is at the initial one or below: there is evidence against the new version, a short move did not reach the
    /// top in time, or the evaluation had a gap.
    Paused,
    /// The share is at its top until the verdict is due.
    Soaking,
    /// All calls go to the new version; the old one finishes its calls in flight.
    Draining {
        /// When the phase began.
        since: TimePoint,
    },
    /// The verdict is decided, but not written to the store yet.
    Decided,
}

impl Display for MovePhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Rising => "rising",
            Self::Paused => "paused",
            Self::Soaking => "soaking",
            Self::Draining { .. } => "draining",
            Self::Decided => "decided",
        })
    }
}

/// Action that the daemon carries out for a controller.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEffect {
    /// The clearance changed; poll the gates to deliver it.
    Cleared {
        /// Reason of the change.
        reason: String,
    },
    /// Write the verdict to the store. Returned again until the move is closed.
    Decide {
        /// Result of the move.
        verdict: MoveVerdict,
        /// Reason, with the route and the counts.
        reason: Arc<str>,
    },
    /// The move may miss its deadline.
    AtRisk {
        /// Reason of the risk.
        reason: String,
    },
}

/// The last report of a gate.
#[derive(Debug, Clone)]
struct LastReport {
    report: GateReport,
    received_at: TimePoint,
    /// When a report first contained calls; in a short move, when the first report was received.
    first_call_at: Option<TimePoint>,
}

/// Decides on the traffic share and the verdict of one move.
#[derive(Debug, Clone)]
pub struct MoveController {
    order: MoveOrder,
    schedule: MoveSchedule,
    thresholds: TestThresholds,
    clearance: Clearance,
    reports: IndexMap<Arc<str>, LastReport>,
    window: EvidenceWindow,
    tests: IndexMap<Arc<str>, RouteTests>,
    /// Test on failed calls over all routes.
    overall: RateTest,
    phase: MovePhase,
    paused_at: TimePoint,
    /// Share to resume at when the pause ends.
    paused_share: f64,
    started_at: TimePoint,
    /// Calls of both versions in all windows evaluated, including replayed ones.
    pool_calls: u64,
    /// Calls of the new version in the windows evaluated since the share last changed.
    step_calls: u64,
    /// Calls of the new version in each of the last windows, newest last.
    window_new_calls: VecDeque<u64>,
    share_changed_at: TimePoint,
    /// Whether the gates' windows from before the takeover were evaluated, so that the evidence has no gap. Reset when a
    /// pause ends and when another gap begins.
    has_replayed_windows: bool,
    /// When the share first exceeded [`SHORT_SAFE_SHARE`], or the takeover if it did so before.
    rise_started_at: Option<TimePoint>,
    evaluate_at: TimePoint,
    /// When the current window has its full length.
    window_full_at: TimePoint,
    decided: Option<(MoveVerdict, Arc<str>)>,
    has_warned: bool,
}

impl MoveController {
    /// Starts a controller that takes over a move. `held` is the latest clearance at the gates or in the store, if any.
    pub fn new(order: MoveOrder, holder: Arc<str>, held: Option<&Clearance>, now: TimePoint) -> Self {
        let schedule = MoveSchedule::new(order.opened_at, order.finish_by, order.policy);
        let thresholds = thresholds_of(order.policy);
        let clearance = Clearance {
            move_id: order.id,
            epoch: held.map_or(1, |held| held.epoch + 1),
            seq: 0,
            share: 0.0,
            stopped: held.is_some_and(|held| held.stopped),
            holder,
        };
        let mut controller = Self {
            order,
            overall: RateTest::new(schedule.memory()),
            schedule,
            thresholds,
            clearance,
            reports: IndexMap::new(),
            window: EvidenceWindow::default(),
            tests: IndexMap::new(),
            phase: MovePhase::Waiting,
            paused_at: now,
            paused_share: 0.0,
            started_at: now,
            pool_calls: 0,
            step_calls: 0,
            window_new_calls: VecDeque::new(),
            share_changed_at: now,
            has_replayed_windows: false,
            rise_started_at: None,
            evaluate_at: now.after_ms(REPLY_WAIT_MS),
            window_full_at: now,
            decided: None,
            has_warned: false,
        };
        let held_share = held.map_or(0.0, Clearance::usable_share);
        if held.is_some_and(Clearance::is_released) {
            // The previous controller released the move. The gates' windows contain its evidence, and a short move has no
            // time to rise twice.
            let max_share = if controller.schedule.is_short() {
                TOP_SHARE
            } else {
                MAX_TAKEOVER_SHARE
            };
            controller.clearance.share = held_share.min(max_share);
            controller.rise_started_at = (held_share > SHORT_SAFE_SHARE).then_some(now);
            controller.phase = MovePhase::Rising;
        } else if held_share > 0.0 {
            controller.pause_after_gap(held_share, now);
        }
        if controller.clearance.stopped {
            controller.decide(
                MoveVerdict::TakenBack,
                "an earlier controller stopped the version",
            );
        }
        controller
    }

    /// Returns whether the move can be taken over according to the replies of the gates, and the latest clearance among
    /// them. `own_name` is the name of this daemon.
    pub fn takeover_state(replies: &[PollReply], own_name: &str) -> (TakeoverState, Option<Clearance>) {
        let held = replies.iter().filter_map(|reply| reply.held.as_ref());
        let latest = held
            .reduce(|latest, other| if other.supersedes(latest) { other } else { latest })
            .cloned();
        let is_held = replies.iter().any(|reply| {
            let is_held_by_other = reply.held.as_ref().is_some_and(|held| *held.holder != *own_name);
            is_held_by_other && reply.lease_left_ms > 0
        });
        let state = if is_held {
            TakeoverState::Held
        } else {
            TakeoverState::Free
        };
        (state, latest)
    }

    /// Returns the order, with the last change of deadline or policy.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// Returns the current clearance.
    pub fn clearance(&self) -> &Clearance {
        &self.clearance
    }

    /// Returns the current phase.
    pub fn phase(&self) -> MovePhase {
        self.phase
    }

    /// Returns the verdict and its reason, once decided.
    pub fn decided(&self) -> Option<&(MoveVerdict, Arc<str>)> {
        self.decided.as_ref()
    }

    /// Applies a changed deadline or policy: replans the schedule and allows another warning about lateness.
    pub fn change_order(&mut self, order: MoveOrder) {
        if order != self.order {
            self.schedule = MoveSchedule::new(order.opened_at, order.finish_by, order.policy);
            self.thresholds = thresholds_of(order.policy);
            self.order = order;
            self.has_warned = false;
        }
    }

    /// Evaluates the windows that the gates counted before the takeover, oldest first, which restores the evidence of the
    /// previous controller.
    pub fn replay_windows(&mut self, replies: &[PollReply]) {
        let windows = replies.iter().map(|reply| reply.recent.len()).max().unwrap_or(0);
        self.has_replayed_windows = windows > 0;
        for age in (0..windows).rev() {
            for reply in replies {
                let Some(gate_window) = reply.recent.iter().rev().nth(age) else {
                    continue;
                };
                let is_new = reply.report.version == self.order.to;
                if is_new || matches_version(&self.order.from, &reply.report.version) {
                    for (route, counts) in &gate_window.routes {
                        self.window.add(route, is_new, counts);
                    }
                }
            }
            self.close_window();
        }
    }

    /// Stores a gate's report and adds the counts since its last one to the current window; ignores other versions. The
    /// first report received from a run of the gate's daemon counts as history before the move if it is of the old version,
    /// and is only the baseline of later counts if it is of the new one.
    pub fn add_report(&mut self, report: GateReport, now: TimePoint) {
        let is_new = report.version == self.order.to;
        if !is_new && !matches_version(&self.order.from, &report.version) {
            return;
        }
        let has_calls = report.routes.values().any(|counts| counts.calls > 0);
        // A short move has no time to wait for the first call, so its warm-up begins with the first report.
        let mut first_call_at = (has_calls || self.schedule.is_short()).then_some(now);
        let earlier = self
            .reports
            .get(&report.gate)
            .filter(|last| last.report.instance == report.instance);
        if let Some(earlier) = earlier {
            first_call_at = earlier.first_call_at.or(first_call_at);
            let is_cold =
                is_new && first_call_at.is_some_and(|first| now.ms_since(first) < self.warm_up_ms());
            for (route, counts) in &report.routes {
                let before = earlier.report.routes.get(route).cloned().unwrap_or_default();
                let mut counts = counts.since(&before);
                if is_cold {
                    counts.latency = LatencyHistogram::default();
                }
                self.window.add(route, is_new, &counts);
            }
        } else if !is_new {
            for (route, counts) in &report.routes {
                self.overall.add_history(counts.calls, counts.failed);
                self.tests_of(route).add_history(counts);
            }
        }
        self.reports.insert(
            Arc::clone(&report.gate),
            LastReport {
                report,
                received_at: now,
                first_call_at,
            },
        );
    }

    /// Returns the time for which the latencies of a new target are ignored, in milliseconds.
    fn warm_up_ms(&self) -> u64 {
        if !self.schedule.is_short() {
            return WARM_UP_MS;
        }
        let total_ms = self.order.finish_by.ms_since(self.order.opened_at);
        ((total_ms as f64 * SHORT_WARM_UP_FRACTION) as u64).min(WARM_UP_MS)
    }

    /// Returns the interval to the next poll of the gates, in milliseconds.
    pub fn poll_ms(&self) -> u64 {
        if self.is_at_top_of_short() {
            TOP_POLL_MS
        } else {
            WINDOW_MS
        }
    }

    /// Returns whether a short move is at the top of its share, where evidence is also looked at within a window.
    fn is_at_top_of_short(&self) -> bool {
        self.schedule.is_short() && self.clearance.share >= TOP_SHARE
    }

    /// Schedules the evaluation of the window for when the gates polled at `now` have had time to reply.
    pub fn on_poll(&mut self, now: TimePoint) {
        self.evaluate_at = now.after_ms(REPLY_WAIT_MS);
    }

    /// Evaluates the current window if it is due, and returns the actions to carry out. Once a verdict is decided, returns
    /// it each time.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        if let Some((verdict, reason)) = self.decided.clone() {
            return vec![MoveEffect::Decide { verdict, reason }];
        }
        if now < self.evaluate_at {
            return Vec::new();
        }
        if now.ms_since(self.evaluate_at) > LEASE_MS {
            // The process was suspended for longer than the lease, so the gates of the new version refused calls.
            self.pause_after_gap(self.clearance.share, now);
        }
        // Evaluation continues at this interval even without calls of `on_poll`.
        self.evaluate_at = now.after_ms(self.poll_ms());
        if self.is_at_top_of_short() && now < self.window_full_at && !self.has_strong_evidence_early() {
            return Vec::new();
        }
        // The one after a late evaluation comes sooner, and must not count as an early one.
        self.window_full_at = now.after_ms(WINDOW_MS - TOP_POLL_MS / 2);
        let window = self.close_window();
        self.log_window(&window);
        let finding = self.strongest_finding();
        let adjusted = self.adjusted_thresholds();
        if finding.evidence >= adjusted.strong && self.is_confirmed(&finding, now) {
            return self.stop(&finding);
        }
        if self.needs_pause(&finding) || self.is_rise_stalled(now) {
            return self.pause(&finding, now);
        }
        if let MovePhase::Draining { since } = self.phase {
            let is_over = now.ms_since(since) >= MAX_DRAIN_MS || now >= self.order.finish_by;
            return if is_over || self.is_old_idle(since) {
                self.finish(now)
            } else {
                Vec::new()
            };
        }
        if now >= self.order.finish_by {
            return self.finish(now);
        }
        if now >= self.schedule.verdict_at() && self.is_at_top() {
            self.phase = MovePhase::Draining { since: now };
            self.set_share(1.0, now);
            return vec![MoveEffect::Cleared {
                reason: "all calls go to the new version while the old one finishes its calls in flight"
                    .into(),
            }];
        }
        self.follow_schedule(&finding, now)
    }

    /// Pauses at share 0 after a time in which no controller evaluated the version. The evidence is checked before the
    /// version gets calls again, at [`MAX_TAKEOVER_SHARE`] or below.
    fn pause_after_gap(&mut self, share: f64, now: TimePoint) {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.has_replayed_windows = false;
        self.paused_share = share.min(MAX_TAKEOVER_SHARE);
        self.set_share(0.0, now);
    }

    /// Pauses the move at the initial share or below, until the evidence is confirmed or has faded.
    fn pause(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.paused_share = self.clearance.share;
        self.set_share(self.clearance.share.min(self.initial_share()), now);
        vec![MoveEffect::Cleared {
            reason: format!("paused: {}", finding.text),
        }]
    }

    /// Changes the share and restarts the step's time and count of calls.
    fn set_share(&mut self, share: f64, now: TimePoint) {
        if share > SHORT_SAFE_SHARE {
            self.rise_started_at.get_or_insert(now);
        }
        self.clearance.share = share;
        self.clearance.seq += 1;
        self.share_changed_at = now;
        self.step_calls = 0;
    }
}
