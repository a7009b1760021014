//! Evaluation of windows: the evidence against the new version, and whether it is enough to pause or stop the move.

use {
    super::{BASELINE_WAIT_MS, MoveController, MovePhase, WINDOW_MS},
    crate::{
        clock::TimePoint,
        config::MovePolicy,
        moves::{
            evidence::RouteEvidence,
            route_tests::{Finding, RouteTests},
            sequential::TestThresholds,
        },
    },
    std::sync::Arc,
};

/// Time that a pause must have lasted before strong evidence stops the version, in milliseconds.
const CONFIRM_MS: u64 = 400;

impl MoveController {
    /// Logs the failed and total calls of both versions in a window, and the evidence over all routes after it.
    pub(super) fn log_window(&self, (old, new): &(RouteEvidence, RouteEvidence)) {
        log::info!(
            target: "moves",
            "event=move-window move={} epoch={} share={:.2} old={}/{} new={}/{} evidence={:.1} peak={:.3}",
            self.order.id,
            self.clearance.epoch,
            self.clearance.share,
            old.failed,
            old.calls,
            new.failed,
            new.calls,
            self.overall.evidence(),
            self.overall.peak()
        );
    }

    /// Closes the current window, adds it to all tests, and returns the outcomes of the old and of the new version over
    /// all routes.
    pub(super) fn close_window(&mut self) -> (RouteEvidence, RouteEvidence) {
        let mut overall = (RouteEvidence::default(), RouteEvidence::default());
        let routes = std::mem::take(&mut self.window).routes;
        for (old, new) in routes.values() {
            overall.0.add(old);
            overall.1.add(new);
        }
        let new_calls = overall.1.calls;
        self.pool_calls += overall.0.calls + new_calls;
        self.step_calls += new_calls;
        self.window_new_calls.push_back(new_calls);
        if self.window_new_calls.len() > self.schedule.memory().open_windows {
            self.window_new_calls.pop_front();
        }
        self.overall.add_window(
            (overall.0.calls, overall.0.failed),
            (new_calls, overall.1.failed),
            0.0,
        );
        // A higher failure rate of the old version shows in the sum of all routes before it shows in a route with few
        // calls.
        let min_null_rate = self.overall.peak();
        for (route, (old, new)) in routes {
            self.tests_of(&route).add_window(&old, &new, min_null_rate);
        }
        overall
    }

    /// Returns whether the part of the current window that has been reported already makes the evidence strong.
    pub(super) fn has_strong_evidence_early(&self) -> bool {
        let mut early = self.clone();
        early.close_window();
        early.strongest_finding().evidence >= self.thresholds.strong
    }

    /// Returns the tests of a route, created with the memory of the schedule.
    pub(super) fn tests_of(&mut self, route: &Arc<str>) -> &mut RouteTests {
        let memory = self.schedule.memory();
        self.tests
            .entry(Arc::clone(route))
            .or_insert_with(|| RouteTests::new(memory))
    }

    /// Returns the policy's thresholds plus the natural logarithm of the new version's calls per second in the busiest pair
    /// of consecutive recent windows: the more calls in a given time, the higher the evidence that arises by chance.
    pub(super) fn adjusted_thresholds(&self) -> TestThresholds {
        let windows = self
            .window_new_calls
            .iter()
            .zip(self.window_new_calls.iter().skip(1));
        let highest = windows.map(|(first, second)| first + second).max().unwrap_or(0);
        let calls_per_s = highest as f64 * 1e3 / (2 * WINDOW_MS) as f64;
        let increase = calls_per_s.max(1.0).ln();
        TestThresholds {
            weak: self.thresholds.weak + increase,
            strong: self.thresholds.strong + increase,
        }
    }

    /// Returns whether strong evidence can stop the version: the pause has lasted long enough, or the old version drains;
    /// and the old version's recent rate is significantly lower, or the wait for enough of its calls is over.
    pub(super) fn is_confirmed(&self, finding: &Finding, now: TimePoint) -> bool {
        let paused_ms = now.ms_since(self.paused_at);
        let is_draining = matches!(self.phase, MovePhase::Draining { .. });
        let has_lasted = self.phase == MovePhase::Paused && paused_ms >= CONFIRM_MS;
        (is_draining || has_lasted) && (finding.is_old_better || paused_ms >= BASELINE_WAIT_MS)
    }

    /// Returns whether the evidence is enough for a pause. The quick rise of a short move has no time to collect as much
    /// evidence as the call rate requires elsewhere, so the policy's threshold applies unadjusted there, and a significant
    /// excess of failures is enough.
    pub(super) fn needs_pause(&self, finding: &Finding) -> bool {
        let may_pause = !matches!(self.phase, MovePhase::Paused | MovePhase::Draining { .. });
        if !may_pause || self.clearance.share <= 0.0 {
            return false;
        }
        if self.is_in_quick_rise() {
            finding.evidence >= self.thresholds.weak || self.overall.is_above_recent_rate()
        } else {
            finding.evidence >= self.adjusted_thresholds().weak
        }
    }

    /// Returns the strongest evidence of all tests: by route, and on failures over all routes. Without any, the evidence is
    /// 0 and the text empty.
    pub(super) fn strongest_finding(&self) -> Finding {
        let by_route = self
            .tests
            .iter()
            .flat_map(|(route, tests)| [tests.failure_finding(route), tests.slowness_finding(route)]);
        let overall = Finding::new(&self.overall, self.overall_text());
        let none = Finding {
            evidence: 0.0,
            text: String::new(),
            is_old_better: false,
        };
        // With equal evidence the route is named rather than all routes, as its finding comes first.
        by_route.chain([overall]).flatten().fold(none, |best, finding| {
            if finding.evidence > best.evidence {
                finding
            } else {
                best
            }
        })
    }

    /// Returns the counts of failed calls over all routes, as text for operators.
    pub(super) fn overall_text(&self) -> String {
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
}

/// Returns the thresholds of a policy, before they are adjusted to the call rate.
pub(super) fn thresholds_of(policy: MovePolicy) -> TestThresholds {
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
