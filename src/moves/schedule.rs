//! The schedule of a move, planned backwards from its deadline.

use {
    super::sequential::TestMemory,
    crate::{clock::TimePoint, config::MovePolicy},
};

/// Share given to the new version at first and during a pause.
pub const MIN_SHARE: f64 = 0.01;
/// Highest share before the verdict; the rest keeps the old version comparable.
pub const TOP_SHARE: f64 = 0.95;
/// Shortest move that leaves time for every step, in milliseconds.
pub const MIN_MOVE_MS: u64 = 60_000;

/// Shares and the fraction of the planned time at which each begins.
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

/// The same for moves below [`MIN_MOVE_MS`]: one long trial at a share that does little harm, then a rise as quick as its
/// steps can be judged. Trial, rise and the first window at the top stay within a tenth of the calls of the whole time, so
/// that also a version that turns bad only at the top gets no more (docs/MOVE-FIGURES.md).
const SHORT_STEPS: [(f64, f64); 5] = [
    (0.00, 0.03),
    (0.12, 0.04),
    (0.66, 0.20),
    (0.66, 0.40),
    (0.66, TOP_SHARE),
];

/// Part of a short move that is left for the last calls of the old version and for writing the verdict.
const SHORT_SLACK: f64 = 0.20;

/// When each share is due.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveSchedule {
    steps: &'static [(f64, f64)],
    start: TimePoint,
    /// When the verdict is due if nothing speaks against the version.
    verdict_at: TimePoint,
}

impl MoveSchedule {
    /// Plans the time from `start` to `finish_by`, with slack for pauses and for writing the verdict.
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

    /// Tells whether the move is too short for every step.
    pub fn is_short(&self) -> bool {
        self.steps.len() == SHORT_STEPS.len()
    }

    /// Returns how long trouble of the old version excuses the new one.
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

    /// Returns the part of the planned time that has passed.
    pub fn progress(&self, now: TimePoint) -> f64 {
        let planned_ms = self.verdict_at.ms_since(self.start).max(1);
        now.ms_since(self.start) as f64 / planned_ms as f64
    }

    /// Returns the step above a share.
    pub fn step_above(&self, share: f64) -> f64 {
        let above = self.steps.iter().find(|(_, step)| *step > share);
        above.map_or(TOP_SHARE, |(_, step)| *step)
    }

    /// Returns the shortest time between two steps when the schedule is behind, in milliseconds.
    pub fn catch_up_ms(&self) -> u64 {
        self.verdict_at.ms_since(self.start) / 50
    }
}
