//! Expected run times of calls at one target, by route: kinds of calls at one target differ by an order of magnitude, so
//! a mean over all of them would refuse short calls that stand beside long ones.

use {
    crate::call::{TargetRoutes, assumed_run_ms},
    std::sync::Arc,
};

/// Run time assumed before any run has ended, in milliseconds: that of a common service, so that a new target is not
/// overloaded.
const DEFAULT_RUN_MS: f64 = 200.0;
/// Weight of a new sample in the moving average over all routes.
const MEAN_WEIGHT: f64 = 0.05;
/// Smallest weight of a new sample in the moving average of a route; the first ones weigh more.
const ROUTE_WEIGHT: f64 = 0.1;
/// Largest multiple of the mean that a sample counts as, so that one run of a long tail doesn't stand for the next ones.
/// A target that has become slow is still followed, in some more runs.
const MAX_SAMPLE_MEANS: f64 = 4.0;

/// Run times of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteRuns {
    /// Moving average, in milliseconds.
    mean_ms: f64,
    /// Number of runs.
    count: u32,
}

impl RouteRuns {
    fn after(self, ran_ms: f64) -> Self {
        let count = self.count.saturating_add(1);
        let sample_ms = if self.count == 0 {
            ran_ms
        } else {
            ran_ms.min(self.mean_ms * MAX_SAMPLE_MEANS)
        };
        let weight = (1.0 / f64::from(count)).max(ROUTE_WEIGHT);
        Self {
            mean_ms: self.mean_ms + (sample_ms - self.mean_ms) * weight,
            count,
        }
    }
}

/// Moving averages of the run times at one target.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Moving average over all routes, in milliseconds; 0 before the first run.
    mean_ms: f64,
    routes: TargetRoutes<RouteRuns>,
}

impl RunTimes {
    /// Records a run, in milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ran_ms: f64) {
        self.mean_ms = match self.mean_ms {
            0.0 => ran_ms,
            mean_ms => mean_ms + (ran_ms.min(mean_ms * MAX_SAMPLE_MEANS) - mean_ms) * MEAN_WEIGHT,
        };
        self.routes
            .update(route, |known| known.unwrap_or_default().after(ran_ms));
    }

    /// Returns the mean over all routes, in milliseconds; 0 before the first run.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the mean of a route, in milliseconds; `None` if no run of it is known.
    pub fn of_route(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|known| known.mean_ms)
    }

    /// Returns the expected run time of a call whose answer is useful for `useful_ms` more, in milliseconds. Without
    /// runs of its route, that is a part of this time, but not more than the mean over all routes.
    pub fn expected_ms(&self, route: &str, useful_ms: u64) -> f64 {
        if let Some(mean_ms) = self.of_route(route) {
            return mean_ms;
        }
        let usual_ms = if self.mean_ms > 0.0 {
            self.mean_ms
        } else {
            DEFAULT_RUN_MS
        };
        assumed_run_ms(usual_ms, useful_ms as f64)
    }
}
