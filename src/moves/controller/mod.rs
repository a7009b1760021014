//! The pure controller of one move.

mod ending;
mod evaluation;
mod rise;

use {
    self::{evaluation::thresholds_of, rise::SHORT_SAFE_SHARE},
    super::{
        clearance::{Clearance, LEASE_MS},
        counts::{ComparisonWindow, LatencyHistogram},
        message::{GateReport, PollReply},
        route_tests::{Finding, RouteTests},
        schedule::{MoveSchedule, TOP_SHARE},
        sequential::{RateTest, TestThresholds},
    },
    crate::{
        clock::TimePoint,
        config::{MoveOrder, MoveVerdict, is_version},
    },
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        fmt::{Display, Formatter},
        sync::Arc,
    },
};

/// Time between two polls of the gates, and so the length of a window, in milliseconds.
pub const WINDOW_MS: u64 = 500;
/// Time that the gates are given to answer a poll before the window is evaluated, in milliseconds.
const REPLY_WAIT_MS: u64 = 100;
/// Time after which a pause is judged by the long-term rate of the old version if it has too few calls for a
/// recent one, in milliseconds.
const BASELINE_WAIT_MS: u64 = 3_000;
/// Part of the weak threshold below which a pause ends.
const RESUME_FACTOR: f64 = 0.5;
/// Highest share at which a controller that takes over goes on.
const MAX_TAKEOVER_SHARE: f64 = 0.10;
/// Longest wait for the last calls of the old version before the verdict, in milliseconds; its targets may be stopped
/// at once after it.
const MAX_DRAIN_MS: u64 = 1_600;
/// Time in which proxies learn of the full share, in milliseconds: most answers of the pool bring it within a window.
const PROPAGATION_MS: u64 = 250;
/// Part of a short move for which the latencies of a target that was just heard of are left out.
const SHORT_WARM_UP_FRACTION: f64 = 0.2;
/// Time for which the latencies of a target that gets its first calls are left out, in milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Time without a report after which a gate's evidence is left out, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;
/// Calls of the new version below which the verdict says that there was little evidence.
const MIN_EVIDENCE_CALLS: u64 = 50;

/// What a controller that takes over knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverState {
    /// Another controller holds the move.
    Held,
    /// The move is free.
    Free,
}

/// What the move is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MovePhase {
    /// No target of the new version takes work yet.
    Waiting,
    /// The share rises on schedule.
    Rising,
    /// Weak evidence holds the share at a trickle.
    Paused,
    /// The share is at its top and the verdict is awaited.
    Soaking,
    /// Every call goes to the new version; the old one finishes what it has.
    Draining {
        /// When that began.
        since: TimePoint,
    },
    /// The verdict is decided and waits to be written.
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

/// What the daemon has to do for a move.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEffect {
    /// The clearance changed; the next poll hands it to the gates.
    Cleared {
        /// Why.
        reason: String,
    },
    /// Write the verdict to the store until it is accepted.
    Decide {
        /// How the move ends.
        verdict: MoveVerdict,
        /// Why, with route and figures.
        reason: Arc<str>,
    },
    /// The deadline may be missed.
    AtRisk {
        /// Why.
        reason: String,
    },
}

#[derive(Debug, Clone)]
struct LastReport {
    report: GateReport,
    received_at: TimePoint,
    /// When the gate reported its first call.
    first_call_at: Option<TimePoint>,
}

/// Decides on the share and the end of one move.
#[derive(Debug, Clone)]
pub struct MoveController {
    order: MoveOrder,
    schedule: MoveSchedule,
    thresholds: TestThresholds,
    clearance: Clearance,
    reports: IndexMap<Arc<str>, LastReport>,
    window: ComparisonWindow,
    tests: IndexMap<Arc<str>, RouteTests>,
    /// Failures over all routes.
    overall: RateTest,
    phase: MovePhase,
    paused_at: TimePoint,
    /// Share to go back to when a pause ends.
    paused_share: f64,
    started_at: TimePoint,
    /// Calls of the pool, and of the new version at the present share, since this controller began.
    pool_calls: u64,
    step_calls: u64,
    /// Calls of the new version in the last windows, newest last.
    window_new_calls: VecDeque<u64>,
    share_changed_at: TimePoint,
    /// Whether the gates told what they counted while nobody watched the version.
    has_replayed_windows: bool,
    /// When the share first went above what is safe for long.
    rise_started_at: Option<TimePoint>,
    evaluate_at: TimePoint,
    decided: Option<(MoveVerdict, Arc<str>)>,
    has_warned: bool,
}

impl MoveController {
    /// Takes over a move. `held` is the latest clearance that the gates or the store know.
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
            window: ComparisonWindow::default(),
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
            decided: None,
            has_warned: false,
        };
        let held_share = held.map_or(0.0, Clearance::usable_share);
        if held.is_some_and(Clearance::is_released) {
            // The predecessor handed the move over: the gates' windows tell what it knew, and a short move has no time to
            // rise twice.
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

    /// Tells from poll answers whether the move is free to be taken over, and the clearance to go on from.
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

    /// Returns the order as last seen.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// Returns the present clearance.
    pub fn clearance(&self) -> &Clearance {
        &self.clearance
    }

    /// Returns what the move is doing.
    pub fn phase(&self) -> MovePhase {
        self.phase
    }

    /// Returns the decided verdict.
    pub fn decided(&self) -> Option<&(MoveVerdict, Arc<str>)> {
        self.decided.as_ref()
    }

    /// Takes over a changed deadline or policy.
    pub fn change_order(&mut self, order: MoveOrder) {
        if order != self.order {
            self.schedule = MoveSchedule::new(order.opened_at, order.finish_by, order.policy);
            self.thresholds = thresholds_of(order.policy);
            self.order = order;
            self.has_warned = false;
        }
    }

    /// Takes in what the gates counted before this controller took over, oldest first: what its predecessor knew.
    pub fn replay_windows(&mut self, replies: &[PollReply]) {
        let windows = replies.iter().map(|reply| reply.recent.len()).max().unwrap_or(0);
        self.has_replayed_windows = windows > 0;
        for age in (0..windows).rev() {
            for reply in replies {
                let Some(slice) = reply.recent.iter().rev().nth(age) else {
                    continue;
                };
                let is_new = reply.report.version == self.order.to;
                if is_new || is_version(&self.order.from, &reply.report.version) {
                    for (route, counts) in &slice.routes {
                        self.window.add(route, is_new, counts);
                    }
                }
            }
            self.close_window();
        }
    }

    /// Takes in a gate's report: what it counted since its last one joins the present window.
    pub fn add_report(&mut self, report: GateReport, now: TimePoint) {
        let is_new = report.version == self.order.to;
        if !is_new && !is_version(&self.order.from, &report.version) {
            return;
        }
        let has_calls = report.routes.values().any(|counts| counts.calls > 0);
        // In a short move there is no time to wait for the first call.
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

    fn warm_up_ms(&self) -> u64 {
        if !self.schedule.is_short() {
            return WARM_UP_MS;
        }
        let total_ms = self.order.finish_by.ms_since(self.order.opened_at);
        ((total_ms as f64 * SHORT_WARM_UP_FRACTION) as u64).min(WARM_UP_MS)
    }

    /// Takes note that the gates are polled now: the window is evaluated when they have had time to answer.
    pub fn on_poll(&mut self, now: TimePoint) {
        self.evaluate_at = now.after_ms(REPLY_WAIT_MS);
    }

    /// Evaluates the present window if it is due.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        if let Some((verdict, reason)) = self.decided.clone() {
            return vec![MoveEffect::Decide { verdict, reason }];
        }
        if now < self.evaluate_at {
            return Vec::new();
        }
        if now.ms_since(self.evaluate_at) > LEASE_MS {
            // This process was frozen; the gates have stopped the version meanwhile.
            self.pause_after_gap(self.clearance.share, now);
        }
        // A controller that is not told of polls goes on all the same.
        self.evaluate_at = now.after_ms(WINDOW_MS);
        let window = self.close_window();
        self.log_window(&window);
        let finding = self.strongest_finding();
        let thresholds = self.adjusted_thresholds();
        if finding.evidence >= thresholds.strong && self.is_confirmed(&finding, now) {
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
                reason: "the old version finishes what it has".into(),
            }];
        }
        self.follow_schedule(&finding, now)
    }

    /// Goes on after nobody watched the version: the evidence is looked at before it gets calls again, and then it
    /// gets few.
    fn pause_after_gap(&mut self, share: f64, now: TimePoint) {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.has_replayed_windows = false;
        self.paused_share = share.min(MAX_TAKEOVER_SHARE);
        self.set_share(0.0, now);
    }

    /// Holds the share at a trickle until the evidence is confirmed or fades.
    fn pause(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.paused_share = self.clearance.share;
        self.set_share(self.clearance.share.min(self.initial_share()), now);
        vec![MoveEffect::Cleared {
            reason: format!("paused: {}", finding.text),
        }]
    }

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
