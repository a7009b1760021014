//! Pace of the calls to a cold target: how many may start in a second, whoever sends them.

use {crate::clock::TimePoint, std::collections::VecDeque};

/// Time over which starts are counted, in milliseconds: a second, and by how much the ways from the gate to the target
/// differ.
const WINDOW_MS: u64 = 1_050;
/// Time for which a target may be cold that has not announced itself since it was last known, in milliseconds; several
/// announcements arrive in that time.
const UNCERTAIN_MS: u64 = 5_000;

/// Starts of the last second at a target, and until when it is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdPacer {
    /// Largest number of calls that start in a second while the target is cold; `None` if it bears any number.
    limit: Option<u32>,
    cold_until: TimePoint,
    /// Starts of the last second, oldest first; only the latest `limit` ones matter.
    starts: VecDeque<TimePoint>,
}

impl ColdPacer {
    /// Sets the largest number of calls that start in a second while the target is cold. At least one does.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit.map(|limit| limit.max(1));
        if self.limit.is_none() {
            self.starts.clear();
        }
    }

    /// Records what the target states of itself: until when it is cold, a time that has passed if it isn't.
    pub fn record_announced(&mut self, cold_until: TimePoint) {
        self.cold_until = cold_until;
    }

    /// Records that the target may be cold: until its next announcement it counts so.
    pub fn record_uncertain(&mut self, now: TimePoint) {
        self.cold_until = self.cold_until.max(now.after_ms(UNCERTAIN_MS));
    }

    /// Returns whether calls are paced at `now`.
    pub fn is_pacing(&self, now: TimePoint) -> bool {
        self.limit.is_some() && now < self.cold_until
    }

    /// Counts a call that starts.
    pub fn record_start(&mut self, now: TimePoint) {
        let Some(limit) = self.limit else { return };
        self.starts.push_back(now);
        while self.starts.len() > limit as usize {
            self.starts.pop_front();
        }
    }

    /// Returns whether a call may start at `now`.
    pub fn may_start(&self, now: TimePoint) -> bool {
        self.wait_ms(0, now) == 0
    }

    /// Returns the time until a call may start of which `ahead` others start before, in milliseconds.
    pub fn wait_ms(&self, ahead: usize, now: TimePoint) -> u64 {
        let Some(limit) = self.limit.filter(|_| self.is_pacing(now)) else {
            return 0;
        };
        let limit = limit as usize;
        // Of the calls that start from now on, each comes a window after the one that is `limit` before it.
        let windows = (ahead / limit) as u64;
        let at = ahead % limit;
        let missing = limit - self.starts.len().min(limit);
        let first = at.checked_sub(missing).map_or(now, |at| {
            let former = self.starts.get(at).copied().unwrap_or(now);
            former.after_ms(WINDOW_MS).max(now)
        });
        let start_at = first.after_ms(windows * WINDOW_MS);
        start_at.min(self.cold_until).ms_since(now)
    }
}
