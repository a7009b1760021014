//! Recognition of nested calls: those that the target makes itself while it runs a call. Nothing on the wire marks them, but
//! they come right after the start of a run, whereas callers know nothing of runs.

use {crate::clock::TimePoint, indexmap::IndexMap, std::sync::Arc};

/// Time after the start of a run in which its nested calls come, in milliseconds.
const START_WINDOW_MS: u64 = 12;
/// Share of the calls of a nested route that come within this time.
const NESTED_WINDOW_SHARE: f64 = 0.9;
/// Log-likelihood ratio from which a route is nested: one caller's route in a thousand gets there by chance.
const NESTED_SCORE: f64 = 7.0;
/// Log-likelihood ratio from which it isn't any more.
const CALLERS_SCORE: f64 = 0.0;
/// Limits of the ratio, so that a route that changes its use is followed.
const SCORE_LIMITS: (f64, f64) = (-5.0, 12.0);
/// Weight of a new sample in the moving average of the share of time that lies within the window after a start.
const COVERAGE_WEIGHT: f64 = 0.05;
/// Limits of this share, as the ratio is not defined at 0 and says nothing at 1.
const COVERAGE_LIMITS: (f64, f64) = (0.02, 0.95);
/// Number of routes that are followed.
const MAX_ROUTES: usize = 64;

/// Log-likelihood ratio of one route, nested over callers'.
#[derive(Debug, Clone, Copy, Default)]
struct RouteScore {
    score: f64,
    is_nested: bool,
}

/// Routes by whether their calls come from the runs of the target beside this daemon: a sequential probability ratio test.
#[derive(Debug, Clone, Default)]
pub struct NestedRoutes {
    last_start: Option<TimePoint>,
    /// Moving average of the share of time that lies within the window after a start.
    coverage: f64,
    routes: IndexMap<Arc<str>, RouteScore>,
}

/// What a call shows of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedVerdict {
    /// It comes from a caller.
    Callers,
    /// It comes from a run of the target.
    Nested,
    /// The same, and this is the call that showed it.
    Recognised,
}

impl NestedRoutes {
    /// Records the start of a run at the target.
    pub fn record_start(&mut self, now: TimePoint) {
        if let Some(last_start) = self.last_start {
            let gap_ms = now.ms_since(last_start).max(1);
            let covered = gap_ms.min(START_WINDOW_MS) as f64 / gap_ms as f64;
            // By time, so that one long gap counts as much as many short ones.
            let weight = 1.0 - (1.0 - COVERAGE_WEIGHT).powf(gap_ms as f64 / START_WINDOW_MS as f64);
            self.coverage += (covered - self.coverage) * weight;
        }
        self.last_start = Some(now);
    }

    /// Records a call that arrived from beside this daemon, and returns where it comes from. `running` is the number of
    /// calls at the target.
    pub fn record_call(&mut self, route: &Arc<str>, running: u32, now: TimePoint) -> NestedVerdict {
        let in_window = running > 0
            && self
                .last_start
                .is_some_and(|start| now.ms_since(start) <= START_WINDOW_MS);
        let coverage = self.coverage.clamp(COVERAGE_LIMITS.0, COVERAGE_LIMITS.1);
        let ratio = if in_window {
            NESTED_WINDOW_SHARE / coverage
        } else {
            (1.0 - NESTED_WINDOW_SHARE) / (1.0 - coverage)
        };
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return NestedVerdict::Callers;
        }
        let known = self.routes.entry(Arc::clone(route)).or_default();
        known.score = (known.score + ratio.ln()).clamp(SCORE_LIMITS.0, SCORE_LIMITS.1);
        let was_nested = known.is_nested;
        known.is_nested = known.score >= NESTED_SCORE || (was_nested && known.score > CALLERS_SCORE);
        match (known.is_nested && running > 0, was_nested) {
            (false, _) => NestedVerdict::Callers,
            (true, false) => NestedVerdict::Recognised,
            (true, true) => NestedVerdict::Nested,
        }
    }
}
