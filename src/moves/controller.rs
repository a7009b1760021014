//! The pure controller of one move.

use {
    super::{
        clearance::Clearance,
        evidence::{EvidenceWindow, LatencyCounts, RouteEvidence},
        message::{GateReport, PollReply},
        schedule::{MoveSchedule, TOP_SHARE, TRICKLE_SHARE},
        sequential::{RateTest, TestThresholds},
    },
    crate::{
        clock::TimePoint,
        config::{MoveOrder, MovePolicy, MoveVerdict},
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Time between two evaluations, in milliseconds.
pub const WINDOW_MS: u64 = 500;
/// Shortest pause, in milliseconds.
const PAUSE_MS: u64 = 8_000;
/// Part of the new version's slots that the share may fill.
const MAX_FILL: f64 = 0.8;
/// The old version's latency quantile that the slow-call test starts from.
const SLOW_QUANTILE: f64 = 0.95;
/// Buckets by which a call must exceed that quantile to count as slow; three are a factor of 1.7.
const SLOW_MARGIN_BUCKETS: usize = 3;
/// Part of the old version's latency counts kept from one window to the next.
const LATENCY_DECAY: f64 = 0.995;
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

#[derive(Debug, Clone, Default)]
struct RouteTests {
    failures: RateTest,
    slowness: RateTest,
    old_latency: Vec<f64>,
    new_total: RouteEvidence,
    old_total: RouteEvidence,
}

#[derive(Debug, Clone)]
struct KnownReport {
    report: GateReport,
    seen_at: TimePoint,
}

/// The strongest evidence against the new version.
#[derive(Debug, Clone, PartialEq)]
struct Finding {
    evidence: f64,
    text: String,
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
    phase: MovePhase,
    paused_until: TimePoint,
    raised_at: TimePoint,
    evaluate_at: TimePoint,
    decided: Option<(MoveVerdict, Arc<str>)>,
    warned: bool,
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
            share: held.map_or(0.0, Clearance::usable_share),
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
            phase: MovePhase::Waiting,
            paused_until: now,
            raised_at: now,
            evaluate_at: now.after_ms(WINDOW_MS),
            decided: None,
            warned: false,
        };
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

    /// Takes in a gate's report: what it counted since its last one joins the present window.
    pub fn add_report(&mut self, report: GateReport, now: TimePoint) {
        let is_new = report.version == self.order.to;
        if !is_new && report.version != self.order.from {
            return;
        }
        let earlier = self
            .reports
            .get(&report.gate)
            .filter(|known| known.report.instance == report.instance);
        if let Some(earlier) = earlier {
            for (route, counts) in &report.routes {
                let before = earlier.report.routes.get(route).cloned().unwrap_or_default();
                self.window.add(route, is_new, &counts.since(&before));
            }
        }
        self.reports
            .insert(Arc::clone(&report.gate), KnownReport { report, seen_at: now });
    }

    /// Evaluates the present window if it is due.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MoveEffect> {
        if let Some((verdict, reason)) = self.decided.clone() {
            return vec![MoveEffect::Decide { verdict, reason }];
        }
        if now < self.evaluate_at {
            return Vec::new();
        }
        self.evaluate_at = now.after_ms(WINDOW_MS);
        self.close_window();
        let finding = self.strongest();
        if finding.evidence >= self.thresholds.strong {
            return self.stop(&finding);
        }
        if finding.evidence >= self.thresholds.weak && self.clearance.share > 0.0 {
            return self.pause(&finding, now);
        }
        if now >= self.order.finish_by || (now >= self.schedule.verdict_at() && self.is_at_top()) {
            return self.finish(now);
        }
        self.follow_schedule(&finding, now)
    }

    fn close_window(&mut self) {
        for (route, (old, new)) in std::mem::take(&mut self.window).routes {
            self.tests.entry(route).or_default().add_window(&old, &new);
        }
    }

    fn strongest(&self) -> Finding {
        let mut strongest = Finding {
            evidence: 0.0,
            text: String::new(),
        };
        for (route, tests) in &self.tests {
            for finding in [tests.failure_finding(route), tests.slowness_finding(route)] {
                if finding.evidence > strongest.evidence {
                    strongest = finding;
                }
            }
        }
        strongest
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

    fn pause(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        self.paused_until = now.after_ms(PAUSE_MS);
        let first = self.phase != MovePhase::Paused;
        self.phase = MovePhase::Paused;
        let share = self.clearance.share.min(TRICKLE_SHARE);
        if first || share < self.clearance.share {
            self.set_share(share, now);
            return vec![MoveEffect::Cleared {
                reason: format!("paused: {}", finding.text),
            }];
        }
        Vec::new()
    }

    fn follow_schedule(&mut self, finding: &Finding, now: TimePoint) -> Vec<MoveEffect> {
        if self.phase == MovePhase::Paused {
            if now < self.paused_until && finding.evidence > 0.0 {
                return Vec::new();
            }
            // What led to the pause was not confirmed; it must not add up with the next chance event.
            for tests in self.tests.values_mut() {
                tests.failures.clear();
                tests.slowness.clear();
            }
        }
        let cap = self.share_cap(now);
        let due = self.schedule.due_share(now);
        let share = self.clearance.share;
        if cap <= 0.0 {
            self.phase = MovePhase::Waiting;
            return self.wait_for_targets(now);
        }
        self.phase = if share >= TOP_SHARE {
            MovePhase::Soaking
        } else {
            MovePhase::Rising
        };
        let wanted = due.min(cap).min(MoveSchedule::step_above(share));
        let rested = now.ms_since(self.raised_at) >= self.schedule.catch_up_ms() || share == 0.0;
        if wanted > share && rested {
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
        let too_short = self.order.finish_by.ms_since(self.order.opened_at) < super::schedule::MIN_MOVE_MS;
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

    fn decide(&mut self, verdict: MoveVerdict, reason: &str) {
        self.phase = MovePhase::Decided;
        self.decided = Some((verdict, reason.into()));
    }

    fn set_share(&mut self, share: f64, now: TimePoint) {
        self.clearance.share = share;
        self.clearance.seq += 1;
        self.raised_at = now;
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

impl RouteTests {
    fn add_window(&mut self, old: &RouteEvidence, new: &RouteEvidence) {
        self.old_total.add(old);
        self.new_total.add(new);
        self.failures
            .add_window((old.calls, old.failed), (new.calls, new.failed));
        self.old_latency.resize(old.latency.0.len(), 0.0);
        for (kept, count) in self.old_latency.iter_mut().zip(&old.latency.0) {
            *kept = *kept * LATENCY_DECAY + *count as f64;
        }
        if let Some(limit) = self.slow_limit() {
            let old = (old.latency.total(), old.latency.above(limit));
            let new = (new.latency.total(), new.latency.above(limit));
            self.slowness.add_window(old, new);
        }
    }

    /// Returns the bucket above which a call counts as slow, once enough calls of the old version are known.
    fn slow_limit(&self) -> Option<usize> {
        let total: f64 = self.old_latency.iter().sum();
        if total < 30.0 {
            return None;
        }
        let mut seen = 0.0;
        let quantile = self.old_latency.iter().position(|count| {
            seen += count;
            seen >= total * SLOW_QUANTILE
        })?;
        Some(quantile + SLOW_MARGIN_BUCKETS)
    }

    fn failure_finding(&self, route: &str) -> Finding {
        let (new, old) = (&self.new_total, &self.old_total);
        let text = format!(
            "route {route}: {} of {} calls failed, {} of {} on the old version",
            new.failed, new.calls, old.failed, old.calls
        );
        Finding {
            evidence: self.failures.evidence(),
            text,
        }
    }

    fn slowness_finding(&self, route: &str) -> Finding {
        let Some(limit) = self.slow_limit() else {
            return Finding {
                evidence: 0.0,
                text: String::new(),
            };
        };
        let (new, old) = (&self.new_total.latency, &self.old_total.latency);
        let text = format!(
            "route {route}: {} of {} calls took over {:.0} ms, {} of {} on the old version",
            new.above(limit),
            new.total(),
            LatencyCounts::edge_ms(limit),
            old.above(limit),
            old.total()
        );
        Finding {
            evidence: self.slowness.evidence(),
            text,
        }
    }
}

fn thresholds_of(policy: MovePolicy) -> TestThresholds {
    match policy {
        MovePolicy::Prompt => TestThresholds {
            weak: 6.0,
            strong: 11.0,
        },
        MovePolicy::Cautious => TestThresholds {
            weak: 4.5,
            strong: 9.2,
        },
    }
}
