//! The schedule of a move: which traffic share is due when, planned backwards from the deadline.

use {
    super::sequential::TestMemory,
    crate::{clock::TimePoint, config::MovePolicy},
};

/// Lowest share of calls for the new version at the start, and in a pause that is not at 0; a pool with few calls uses
/// more.
pub const MIN_SHARE: f64 = 0.01;
/// Highest share before the verdict; the remaining calls keep the old version available for comparison.
pub const TOP_SHARE: f64 = 0.95;
/// Shortest move that has time for all steps of the long schedule, in milliseconds.
pub const MIN_MOVE_MS: u64 = 60_000;

/// Pairs of the fraction of the planned time and the share that is due from then on.
const STEPS: [(f64, f64); 8] = [
    (0.00, MIN_SHARE),
    (0.12, 0.02),
    (0.22, 0.05),
    (0.32, 0.10),
    (0.42, 0.20),
    (0.50, 0.40),
    (0.57, 0.70),
    (0.63, TOP_SHARE),
];

/// The same for moves shorter than [`MIN_MOVE_MS`]: one long trial at a share that does little harm, then a rise as quick
/// as its steps can be evaluated. The new version gets at most a tenth of all calls of the move in the trial, the rise and
/// the first window at the top together. That limit also covers a version that fails only at the top
/// (docs/MOVE-FIGURES.md).
const SHORT_STEPS: [(f64, f64); 5] = [
    (0.00, 0.03),
    (0.12, 0.04),
    (0.66, 0.20),
    (0.66, 0.40),
    (0.66, TOP_SHARE),
];

/// Fraction of a short move reserved for the last calls of the old version and for writing the verdict.
const SHORT_SLACK: f64 = 0.20;

/// Traffic shares of a move and the times at which they are due.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveSchedule {
    steps: &'static [(f64, f64)],
    start: TimePoint,
    /// When the verdict is due if there is no evidence against the new version.
    verdict_at: TimePoint,
}

impl MoveSchedule {
    /// Plans the shares between `start` and `finish_by`. Keeps a fraction of that time free for pauses and for writing
    /// the verdict, a larger one for the prompt policy and for short moves.
    pub fn new(start: TimePoint, finish_by: TimePoint, policy: MovePolicy) -> Self {
        let total_ms = finish_by.ms_since(start);
        let is_short = total_ms < MIN_MOVE_MS;
        let slack = match policy {
            _ if is_short => SHORT_SLACK,
            MovePolicy::Prompt => 0.12,
            MovePolicy::Cautious => 0.06,
        };
        let used_ms = (total_ms as f64 * (1.0 - slack)) as u64;
        Self {
            steps: if is_short { &SHORT_STEPS } else { &STEPS },
            start,
            verdict_at: start.after_ms(used_ms),
        }
    }

    /// Returns whether the move is shorter than [`MIN_MOVE_MS`].
    pub fn is_short(&self) -> bool {
        self.steps.len() == SHORT_STEPS.len()
    }

    /// Returns for how long earlier failures of the old version count in the statistical tests.
    pub fn memory(&self) -> TestMemory {
        if self.is_short() {
            TestMemory::SHORT
        } else {
            TestMemory::LONG
        }
    }

    /// Returns when the verdict is due.
    pub fn verdict_at(&self) -> TimePoint {
        self.verdict_at
    }

    /// Returns the share that is due at `now`.
    pub fn due_share(&self, now: TimePoint) -> f64 {
        let progress = self.progress(now);
        let due = self.steps.iter().rev().find(|(from, _)| progress >= *from);
        due.map_or(MIN_SHARE, |(_, share)| *share)
    }

    /// Returns the elapsed fraction of the planned time; above 1 once the verdict is overdue.
    pub fn progress(&self, now: TimePoint) -> f64 {
        let planned_ms = self.verdict_at.ms_since(self.start).max(1);
        now.ms_since(self.start) as f64 / planned_ms as f64
    }

    /// Returns the lowest scheduled share above `share`, or [`TOP_SHARE`].
    pub fn step_above(&self, share: f64) -> f64 {
        let above = self.steps.iter().find(|(_, step)| *step > share);
        above.map_or(TOP_SHARE, |(_, step)| *step)
    }

    /// Returns the shortest time between two steps of a move that is behind its schedule, in milliseconds.
    pub fn catch_up_ms(&self) -> u64 {
        self.verdict_at.ms_since(self.start) / 50
    }
}
