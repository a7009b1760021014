//! Speed of a target at this moment, relative to its usual one, as the target states it.

use crate::clock::TimePoint;

/// Time after which a stated slowdown says nothing any more, in milliseconds. Moments of slowness last about as long.
const SLOWDOWN_TTL_MS: f64 = 600.0;
/// Weight of a new statement in the moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Slowdown that a target has stated.
#[derive(Debug, Clone, Copy)]
pub struct TargetPace {
    slowdown: f64,
    stated_at: TimePoint,
    /// Moving average of the statements; run times are averages over slow and fast moments.
    mean: f64,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            stated_at: TimePoint(0),
            mean: 1.0,
        }
    }
}

impl TargetPace {
    /// Records how long work takes at this moment, relative to its usual time.
    pub fn record(&mut self, slowdown: f64, now: TimePoint) {
        self.slowdown = slowdown;
        self.stated_at = now;
        self.mean += (slowdown - self.mean) * MEAN_WEIGHT;
    }

    /// Returns what was stated last; 1 if nothing was.
    pub fn stated(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the target has stated anything, as those do whose VMs are shared with others.
    pub fn is_stated(&self) -> bool {
        self.stated_at > TimePoint::default()
    }

    /// Returns the factor by which runs take longer now than they took on average. It fades to 1.
    pub fn factor(&self, now: TimePoint) -> f64 {
        let weight = (1.0 - now.ms_since(self.stated_at) as f64 / SLOWDOWN_TTL_MS).max(0.0);
        1.0 + (self.slowdown / self.mean.max(f64::MIN_POSITIVE) - 1.0) * weight
    }
}
