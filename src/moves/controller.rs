//! The pure controller of one move.

use {
    super::{
        clearance::{Clearance, LEASE_MS},
        evidence::{EvidenceWindow, LatencyCounts, RouteEvidence},
        message::{GateReport, PollReply},
        route_tests::{Finding, RouteTests},
        schedule::{MoveSchedule, TOP_SHARE, TRICKLE_SHARE},
        sequential::{RateTest, TestThresholds},
    },
    crate::{
        clock::TimePoint,
        config::{MoveOrder, MovePolicy, MoveVerdict, is_version},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Time between two polls of the gates, and so the length of a window, in milliseconds.
pub const WINDOW_MS: u64 = 500;
/// Time that the gates are given to answer a poll before the window is evaluated, in milliseconds.
const ANSWER_WAIT_MS: u64 = 100;
/// Time that strong evidence must last under a pause before it is acted on, in milliseconds.
const CONFIRM_MS: u64 = 400;
/// Shortest pause, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// Time after which a pause is judged by the long-term rate of the old version if it has too few calls for a
/// recent one, in milliseconds.
const CONTROL_WAIT_MS: u64 = 3_000;
/// Part of the weak threshold below which a pause ends.
const RESUME_PART: f64 = 0.5;
/// Highest share at which a controller that takes over goes on.
const TAKEOVER_SHARE: f64 = 0.10;
/// Calls that the first steps should give the new version within the time of a step.
const CALLS_PER_STEP: u64 = 12;
/// Calls a second that the new version should get at first, so that a bad one is known soon after it shows.
const FIRST_CALLS_PER_S: f64 = 3.0;
/// Highest share that a first step takes to get that many calls.
const MAX_FIRST_SHARE: f64 = 0.04;
/// Time for which the pool's calls are counted before the first share, in milliseconds.
const OBSERVE_MS: u64 = 3_000;
/// Part of the planned time in which a step must have had its calls before the next one.
const EVIDENCE_FIRST: f64 = 0.5;
/// The same for a short move.
const SHORT_OBSERVE_MS: u64 = 800;
/// Longest wait for the last calls of the old version before the verdict, in milliseconds; its targets may be stopped
/// at once after it.
const DRAIN_MS: u64 = 1_600;
/// Time in which proxies learn of the full share, in milliseconds: most answers of the pool bring it within a window.
const SETTLE_MS: u64 = 250;
/// Share of a short move above which the time is bounded, so that a version that is neither calm nor clearly bad gets
/// little.
const SHORT_SAFE_SHARE: f64 = 0.08;
/// Time that each step of the quick rise lasts at least, in milliseconds: two windows, as one that began in the step
/// before says little.
const SHORT_REST_MS: u64 = 2 * WINDOW_MS;
/// Part of a short move that its share may stay above that before it reaches the top.
const SHORT_RISE_PART: f64 = 0.2;
/// Part of a short move for which the latencies of a target that was just heard of are left out.
const SHORT_WARM_UP: f64 = 0.2;
/// Time for which the latencies of a target that gets its first calls are left out, in milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Part of the new version's slots that the share may fill.
const MAX_FILL: f64 = 0.8;
/// Time without a report after which a gate's evidence is left out, in milliseconds.
const REPORT_LIFE_MS: u64 = 3_000;
/// Calls of the new version below which the verdict says that there was little evidence.
const LITTLE_EVIDENCE: u64 = 50;

/// What a controller that takes over knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControllerStart {
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
struct KnownReport {
    report: GateReport,
    seen_at: TimePoint,
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
    reports: IndexMap<Arc<str>, KnownReport>,
    window: EvidenceWindow,
    tests: IndexMap<Arc<str>, RouteTests>,
    /// Failures over all routes.
    overall: RateTest,
    phase: MovePhase,
    paused_at: TimePoint,
    /// Share to go back to when a pause ends.
    paused_share: f64,
    began_at: TimePoint,
    /// Calls of the pool, and of the new version at the present share, since this controller began.
    pool_calls: u64,
    step_calls: u64,
    /// Calls of the new version in the last windows, newest last.
    new_calls: VecDeque<u64>,
    raised_at: TimePoint,
    /// When the share first went above what is safe for long.
    rise_at: Option<TimePoint>,
    evaluate_at: TimePoint,
    decided: Option<(MoveVerdict, Arc<str>)>,
    warned: bool,
}

impl MoveController {
    /// Takes over a move. `held` is the latest clearance that the gates or the store know.
    pub fn new(order: MoveOrder, holder: Arc<str>, held: Option<&Clearance>, now: TimePoint) -> Self {
        let schedule = MoveSchedule::new(order.opened_at, order.finish_by, order.policy);
        let thresholds = thresholds_of(order.policy);
        let schedule_memory = schedule.memory();
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
            schedule,
            thresholds,
            clearance,
            reports: IndexMap::new(),
            window: EvidenceWindow::default(),
            tests: IndexMap::new(),
            overall: RateTest::new(schedule_memory),
            phase: MovePhase::Waiting,
            paused_at: now,
            paused_share: 0.0,
            began_at: now,
            pool_calls: 0,
            step_calls: 0,
            new_calls: VecDeque::new(),
            raised_at: now,
            rise_at: None,
            evaluate_at: now.after_ms(ANSWER_WAIT_MS),
            decided: None,
            warned: false,
        };
        let held_share = held.map_or(0.0, Clearance::usable_share);
        if held.is_some_and(Clearance::is_released) {
            // The predecessor handed the move over: the gates' windows tell what it knew.
            controller.clearance.share = held_share.min(TAKEOVER_SHARE);
            controller.phase = MovePhase::Rising;
        } else if held_share > 0.0 {
            controller.start_again(held_share, now);
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
    pub fn look(replies: &[PollReply], own: &str) -> (ControllerStart, Option<Clearance>) {
        let held = replies.iter().filter_map(|reply| reply.held.as_ref());
        let best = held
            .reduce(|best, other| if other.supersedes(best) { other } else { best })
            .cloned();
        let taken = replies.iter().any(|reply| {
            let by_other = reply.held.as_ref().is_some_and(|held| *held.holder != *own);
            by_other && reply.lease_left_ms > 0
        });
        let start = if taken {
            ControllerStart::Held
        } else {
            ControllerStart::Free
        };
        (start, best)
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
            self.warned = false;
        }
    }

    /// Takes in what the gates counted before this controller took over, oldest first: what its predecessor knew.
    pub fn add_past(&mut self, replies: &[PollReply]) {
        let slices = replies.iter().map(|reply| reply.recent.len()).max().unwrap_or(0);
        for age in (0..slices).rev() {
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
            .filter(|known| known.report.instance == report.instance);
        if let Some(earlier) = earlier {
            first_call_at = earlier.first_call_at.or(first_call_at);
            let is_cold =
                is_new && first_call_at.is_some_and(|first| now.ms_since(first) < self.warm_up_ms());
            for (route, counts) in &report.routes {
                let before = earlier.report.routes.get(route).cloned().unwrap_or_default();
                let mut counts = counts.since(&before);
                if is_cold {
                    counts.latency = LatencyCounts::default();
                }
                self.window.add(route, is_new, &counts);
            }
        } else if !is_new {
            for (route, counts) in &report.routes {
                self.overall.add_history(counts.calls, counts.failed);
                let memory = self.schedule.memory();
                let tests = self
                    .tests
                    .entry(Arc::clone(route))
                    .or_insert_with(|| RouteTests::new(memory));
                tests.add_history(counts);
            }
        }
        self.reports.insert(
            Arc::clone(&report.gate),
            KnownReport {
                report,
                seen_at: now,
                first_call_at,
            },
        );
    }

    fn warm_up_ms(&self) -> u64 {
        if !self.schedule.is_short() {
            return WARM_UP_MS;
        }
        let total_ms = self.order.finish_by.ms_since(self.order.opened_at);
        ((total_ms as f64 * SHORT_WARM_UP) as u64).min(WARM_UP_MS)
    }

    /// Takes note that the gates are polled now: the window is evaluated when they have had time to answer.
    pub fn note_poll(&mut self, now: TimePoint) {
        self.evaluate_at = now.after_ms(ANSWER_WAIT_MS);
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
            self.start_again(self.clearance.share, now);
        }
        // A controller that is not told of polls goes on all the same.
        self.evaluate_at = now.after_ms(WINDOW_MS);
        self.close_window();
        let finding = self.strongest();
        let limits = self.limits();
        if finding.evidence >= limits.strong && self.is_confirmed(&finding, now) {
            return self.stop(&finding);
        }
        let may_pause = !matches!(self.phase, MovePhase::Paused | MovePhase::Draining { .. });
        if finding.evidence >= limits.weak && may_pause && self.clearance.share > 0.0 {
            return self.pause(&finding, now);
        }
        if self.is_stuck(now) {
            return self.pause(&finding, now);
        }
        if let MovePhase::Draining { since } = self.phase {
            let is_over = now.ms_since(since) >= DRAIN_MS || now >= self.order.finish_by;
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

    /// Tells whether the quick rise of a short move has come to a halt.
    fn is_stuck(&self, now: TimePoint) -> bool {
        let is_high = self.clearance.share > SHORT_SAFE_SHARE && self.phase == MovePhase::Rising;
        is_high && self.is_rise_over(now)
    }

    /// Tells whether a short move has had its time for the quick rise. It gets no second one: two of them would give a
    /// version that is bad under load more than its share.
    fn is_rise_over(&self, now: TimePoint) -> bool {
        let total_ms = self.order.finish_by.ms_since(self.order.opened_at) as f64;
        let since = self.rise_at.filter(|_| self.schedule.is_short());
        since.is_some_and(|since| now.ms_since(since) as f64 > total_ms * SHORT_RISE_PART)
    }

    /// Goes on after nobody watched the version: the evidence is looked at before it gets calls again, and then it
    /// gets few.
    fn start_again(&mut self, share: f64, now: TimePoint) {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.paused_share = share.min(TAKEOVER_SHARE);
        self.set_share(0.0, now);
    }

    fn close_window(&mut self) {
        let mut overall = (RouteEvidence::default(), RouteEvidence::default());
        let routes = std::mem::take(&mut self.window).routes;
        for (old, new) in routes.values() {
            overall.0.add(old);
            overall.1.add(new);
        }
        let new_calls = overall.1.calls;
        log::info!(
            target: "moves",
            "event=move-window move={} epoch={} share={:.2} old={}/{} new={}/{} evidence={:.1} peak={:.3}",
            self.order.id,
            self.clearance.epoch,
            self.clearance.share,
            overall.0.failed,
            overall.0.calls,
            overall.1.failed,
            overall.1.calls,
            self.overall.evidence(),
            self.overall.peak()
        );
        self.pool_calls += overall.0.calls + new_calls;
        self.step_calls += new_calls;
        self.new_calls.push_back(new_calls);
        if self.new_calls.len() > self.schedule.memory().open_windows {
            self.new_calls.pop_front();
        }
        self.overall.add_window(
            (overall.0.calls, overall.0.failed),
            (new_calls, overall.1.failed),
            0.0,
        );
        // A rise over all routes is known before it is known for a route with few calls.
        let granted = self.overall.peak();
        let memory = self.schedule.memory();
        for (route, (old, new)) in routes {
            self.tests
                .entry(route)
                .or_insert_with(|| RouteTests::new(memory))
                .add_window(&old, &new, granted);
        }
    }

    /// Returns the thresholds for the rate of calls that the evidence comes from: the more calls there are in a given
    /// time, the more evidence chance brings.
    fn limits(&self) -> TestThresholds {
        let windows = self.new_calls.iter().zip(self.new_calls.iter().skip(1));
        let highest = windows.map(|(first, second)| first + second).max().unwrap_or(0);
        let calls_per_s = highest as f64 * 1e3 / (2 * WINDOW_MS) as f64;
        let more = calls_per_s.max(1.0).ln();
        TestThresholds {
            weak: self.thresholds.weak + more,
            strong: self.thresholds.strong + more,
        }
    }

    /// Tells whether strong evidence can be acted on: it has lasted under a pause, and the old version's recent
    /// rate is known or there is no hope for more of its calls.
    fn is_confirmed(&self, finding: &Finding, now: TimePoint) -> bool {
        let paused_ms = now.ms_since(self.paused_at);
        let is_draining = matches!(self.phase, MovePhase::Draining { .. });
        let has_lasted = self.phase == MovePhase::Paused && paused_ms >= CONFIRM_MS;
        (is_draining || has_lasted) && (finding.tells_apart || paused_ms >= CONTROL_WAIT_MS)
    }

    fn strongest(&self) -> Finding {
        let by_route = self
            .tests
            .iter()
            .flat_map(|(route, tests)| [tests.failure_finding(route), tests.slowness_finding(route)]);
        let overall = Finding::new(&self.overall, self.overall_text());
        let none = Finding {
            evidence: 0.0,
            text: String::new(),
            tells_apart: false,
        };
        // Where a route says as much as all calls together, it is the route that is named.
        by_route.chain([overall]).flatten().fold(none, |best, finding| {
            if finding.evidence > best.evidence {
                finding
            } else {
                best
            }
        })
    }

    fn overall_text(&self) -> String {
        let mut old = RouteEvidence::default();
        let mut new = RouteEvidence::default();
        for tests in self.tests.values() {
            old.add(&tests.old_total);
            new.add(&tests.new_total);
        }
        format!(
            "all routes: {} of {} calls failed, {} of {} on the old version",
            new.failed, new.calls, old.failed, old.calls
        )
    }

    fn stop(&mut self, finding: &Finding) -> Vec<MoveEffect> {
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

    /// Holds the share at a trickle until the evidence is confirmed or fades.
    fn pause(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        self.phase = MovePhase::Paused;
        self.paused_at = now;
        self.paused_share = self.clearance.share;
        self.set_share(self.clearance.share.min(self.first_share()), now);
        vec![MoveEffect::Cleared {
            reason: format!("paused: {}", finding.text),
        }]
    }

    /// Goes back to the share before a pause once the evidence has faded.
    fn resume(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        let paused_ms = now.ms_since(self.paused_at);
        let has_faded = finding.evidence < self.thresholds.weak * RESUME_PART;
        let is_known =
            paused_ms >= CONTROL_WAIT_MS || self.tests.values().all(RouteTests::knows_recent_rates);
        if paused_ms < PAUSE_MS || !is_known {
            return Vec::new();
        }
        if !has_faded {
            return self.trickle(now);
        }
        let safe = if self.schedule.is_short() {
            SHORT_SAFE_SHARE
        } else {
            1.0
        };
        let share = self.paused_share.min(self.share_cap(now)).min(safe);
        self.phase = MovePhase::Rising;
        self.set_share(share, now);
        vec![MoveEffect::Cleared {
            reason: "resumed: the evidence was not confirmed".into(),
        }]
    }

    /// Gives a version without calls a trickle, as evidence can't fade or be confirmed without any.
    fn trickle(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let share = self.paused_share.min(self.first_share()).min(self.share_cap(now));
        if self.clearance.share > 0.0 || share <= 0.0 {
            return Vec::new();
        }
        self.set_share(share, now);
        vec![MoveEffect::Cleared {
            reason: "trickle: the evidence is neither confirmed nor faded".into(),
        }]
    }

    fn follow_schedule(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        if self.phase == MovePhase::Paused {
            return self.resume(finding, now);
        }
        let safe = if self.is_rise_over(now) && self.clearance.share < TOP_SHARE {
            SHORT_SAFE_SHARE
        } else {
            1.0
        };
        let cap = self.share_cap(now).min(safe);
        let due = self.schedule.due_share(now).max(self.first_share());
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
        if now.ms_since(self.began_at) < observe_ms {
            return Vec::new();
        }
        self.phase = if share >= TOP_SHARE {
            MovePhase::Soaking
        } else {
            MovePhase::Rising
        };
        let wanted = due
            .min(cap)
            .min(self.schedule.step_above(share).max(self.first_share()));
        // In the quick rise of a short move a step is taken only while nothing speaks against the version.
        let is_calm = !self.schedule.is_short() || finding.evidence < self.limits().weak * RESUME_PART;
        if wanted > share && is_calm && self.may_rise(now) {
            self.set_share(wanted, now);
            return vec![MoveEffect::Cleared {
                reason: format!("raised to {:.0} % on schedule", wanted * 100.0),
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

    /// Tells whether the present share has lasted long enough and, while there is time, got enough calls.
    fn may_rise(&self, now: TimePoint) -> bool {
        if self.clearance.share == 0.0 {
            return true;
        }
        let rest_ms = if self.schedule.is_short() && self.clearance.share > SHORT_SAFE_SHARE {
            SHORT_REST_MS
        } else {
            self.schedule.catch_up_ms()
        };
        let has_rested = now.ms_since(self.raised_at) >= rest_ms;
        let has_calls = self.step_calls >= CALLS_PER_STEP || self.schedule.progress(now) >= EVIDENCE_FIRST;
        has_rested && has_calls
    }

    /// Returns the share that gives the new version enough calls to judge it by soon: a trickle of a busy pool,
    /// more of a quiet one.
    fn first_share(&self) -> f64 {
        let observed_s = self.evaluate_at.ms_since(self.began_at).max(1) as f64 / 1e3;
        let calls_per_s = self.pool_calls as f64 / observed_s;
        (FIRST_CALLS_PER_S / calls_per_s.max(1.0)).clamp(TRICKLE_SHARE, MAX_FIRST_SHARE)
    }

    fn wait_for_targets(&mut self, now: TimePoint) -> Vec<MoveEffect> {
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

    fn warn_if_late(&mut self, due: f64, now: TimePoint) -> Vec<MoveEffect> {
        let behind =
            self.clearance.share < due && now.ms_since(self.raised_at) > 5 * self.schedule.catch_up_ms();
        let too_short = self.schedule.is_short();
        if self.warned || !(behind || too_short) {
            return Vec::new();
        }
        self.warned = true;
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

    fn finish(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        let calls: u64 = self.tests.values().map(|tests| tests.new_total.calls).sum();
        if !self.is_at_top() {
            let share = self.clearance.share * 100.0;
            self.clearance.stopped = true;
            self.clearance.seq += 1;
            let reason = format!(
                "the deadline came at share {share:.0} % in phase {:?}, {calls} calls",
                self.phase
            );
            self.decide(MoveVerdict::TakenBack, &reason);
        } else if calls < LITTLE_EVIDENCE {
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

    fn is_at_top(&self) -> bool {
        self.clearance.share >= TOP_SHARE && self.phase != MovePhase::Paused
    }

    /// Tells whether every gate of the old version has reported since then that nothing runs.
    fn is_old_idle(&self, since: TimePoint) -> bool {
        let mut old = self
            .reports
            .values()
            .filter(|known| known.report.version != self.order.to);
        old.all(|known| known.seen_at > since.after_ms(SETTLE_MS) && known.report.in_flight == 0)
    }

    fn decide(&mut self, verdict: MoveVerdict, reason: &str) {
        self.phase = MovePhase::Decided;
        self.decided = Some((verdict, reason.into()));
    }

    fn set_share(&mut self, share: f64, now: TimePoint) {
        if share > SHORT_SAFE_SHARE {
            self.rise_at.get_or_insert(now);
        }
        self.clearance.share = share;
        self.clearance.seq += 1;
        self.raised_at = now;
        self.step_calls = 0;
    }

    /// Returns the share that the ready slots of the new version can carry.
    fn share_cap(&self, now: TimePoint) -> f64 {
        let fresh = self
            .reports
            .values()
            .filter(|known| now.ms_since(known.seen_at) < REPORT_LIFE_MS);
        let mut new_slots = 0;
        let mut in_flight = 0;
        for known in fresh {
            in_flight += known.report.in_flight;
            if known.report.version == self.order.to && known.report.is_serving {
                new_slots += known.report.slots;
            }
        }
        (f64::from(new_slots) * MAX_FILL / f64::from(in_flight.max(1))).min(TOP_SHARE)
    }
}

fn thresholds_of(policy: MovePolicy) -> TestThresholds {
    match policy {
        MovePolicy::Prompt => TestThresholds {
            weak: 6.0,
            strong: 9.2,
        },
        MovePolicy::Cautious => TestThresholds {
            weak: 5.0,
            strong: 7.5,
        },
    }
}
