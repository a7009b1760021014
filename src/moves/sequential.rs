//! A sequential test on the rate of bad events: is the new version worse than the old one in the same windows?
//!
//! The statistic is the highest of several cumulative sums (Page's CUSUM) of log-likelihood ratios, one for each
//! of a grid of alternative rates, so that badness which begins late is seen as fast as badness from the start. The rate
//! under the null hypothesis is an upper bound of the old version's rate, long-term or recent, whichever is
//! higher: trouble that hits both versions does not count against the new one. The recent rate is known a moment
//! late, so the null rate of the last windows is raised when it turns out to have been higher.

use std::collections::VecDeque;

/// Alternative rates: the null rate plus this part of the rest.
const ALTERNATIVES: [f64; 5] = [0.02, 0.06, 0.18, 0.45, 0.9];
/// Part of the long-term counts kept from one window to the next.
const LONG_DECAY: f64 = 0.995;
/// Part of the recent counts kept from one window to the next.
const RECENT_DECAY: f64 = 0.75;
/// Part of the highest recent rate kept from one window to the next, as trouble that hits both versions comes and
/// goes.
const PEAK_DECAY: f64 = 0.97;
/// Most calls that the history before the move counts for.
const HISTORY_CALLS: f64 = 4_000.0;
/// Rate assumed of an old version that never shows a bad event.
const RATE_FLOOR: f64 = 0.001;
/// Standard errors added to an estimated rate.
const RATE_MARGIN: f64 = 2.0;
/// Weighted recent calls of the old version from which its recent rate counts as known.
const KNOWN_CALLS: f64 = 25.0;
/// Windows whose null rate may still be raised.
const OPEN_WINDOWS: usize = 24;

/// Evidence, in natural logarithms of the likelihood ratio, at which a controller acts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestThresholds {
    /// Pauses the move.
    pub weak: f64,
    /// Takes the move back.
    pub strong: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct DecayedRate {
    calls: f64,
    bad: f64,
}

impl DecayedRate {
    fn add(&mut self, calls: u64, bad: u64, decay: f64) {
        self.calls = self.calls * decay + calls as f64;
        self.bad = self.bad * decay + bad as f64;
    }

    /// Returns an upper bound of the rate.
    fn upper(&self) -> f64 {
        let calls = self.calls + 1.0;
        let rate = (self.bad + 0.5) / calls;
        (rate + RATE_MARGIN * (rate * (1.0 - rate).max(0.0) / calls).sqrt()).clamp(RATE_FLOOR, 0.98)
    }
}

/// Calls and bad events of the new version in one window, with the rate granted to it.
#[derive(Debug, Clone, Copy)]
struct OpenWindow {
    calls: f64,
    bad: f64,
    null: f64,
}

type AlternativeSums = [f64; ALTERNATIVES.len()];

/// The test of one kind of bad event on one route.
#[derive(Debug, Clone, Default)]
pub struct RateTest {
    long: DecayedRate,
    recent: DecayedRate,
    /// Highest recent rate that was known of late.
    peak: f64,
    open: VecDeque<OpenWindow>,
    /// Sums over the windows that are not open any more.
    closed: AlternativeSums,
}

impl RateTest {
    /// Takes in what the old version did before the move; it counts for a bounded number of calls.
    pub fn add_history(&mut self, calls: u64, bad: u64) {
        let weight = (HISTORY_CALLS / calls.max(1) as f64).min(1.0);
        self.long.calls += calls as f64 * weight;
        self.long.bad += bad as f64 * weight;
    }

    /// Takes in one window: calls and bad events of the old and the new version.
    pub fn add_window(&mut self, old: (u64, u64), new: (u64, u64)) {
        self.long.add(old.0, old.1, LONG_DECAY);
        self.recent.add(old.0, old.1, RECENT_DECAY);
        self.peak *= PEAK_DECAY;
        if self.knows_recent_rate() {
            self.peak = self.peak.max(self.recent.upper());
        }
        let null = self.long.upper().max(self.peak);
        for window in &mut self.open {
            window.null = window.null.max(null);
        }
        self.open.push_back(OpenWindow {
            calls: new.0 as f64,
            bad: new.1 as f64,
            null,
        });
        if self.open.len() > OPEN_WINDOWS
            && let Some(window) = self.open.pop_front()
        {
            add_steps(&mut self.closed, window);
        }
    }

    /// Returns the evidence against the new version: the highest logarithm of a likelihood ratio.
    pub fn evidence(&self) -> f64 {
        let mut sums = self.closed;
        for window in &self.open {
            add_steps(&mut sums, *window);
        }
        sums.into_iter().fold(0.0, f64::max)
    }

    /// Tells whether the old version has had enough calls of late for its recent rate to be known. A handful says
    /// little; a bound from them would excuse everything.
    pub fn knows_recent_rate(&self) -> bool {
        self.recent.calls >= KNOWN_CALLS
    }

    /// Forgets the evidence, but not the rates of the old version.
    pub fn clear(&mut self) {
        self.open.clear();
        self.closed = AlternativeSums::default();
    }
}

fn add_steps(sums: &mut AlternativeSums, window: OpenWindow) {
    let OpenWindow { calls, bad, null } = window;
    for (sum, part) in sums.iter_mut().zip(ALTERNATIVES) {
        let rate = null + part * (1.0 - null);
        let step = bad * (rate / null).ln() + (calls - bad) * ((1.0 - rate) / (1.0 - null)).ln();
        *sum = (*sum + step).max(0.0);
    }
}
