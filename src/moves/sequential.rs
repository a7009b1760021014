//! A sequential test on the rate of bad events: is the new version worse than the old one in the same windows?
//!
//! The statistic is the highest of several cumulative sums (Page's CUSUM) of log-likelihood ratios, one for each
//! of a grid of alternative rates, so that badness which begins late is seen as fast as badness from the start. The rate
//! under the null hypothesis is an upper bound of the old version's long-term rate, or of its recent rate where that
//! is proven to be higher: trouble that hits both versions does not count against the new one. The recent rate is known a moment
//! late, so the null rate of the last windows is raised when it turns out to have been higher.

use std::collections::VecDeque;

/// Alternative rates: the null rate plus this part of the rest.
const ALTERNATIVES: [f64; 5] = [0.02, 0.06, 0.18, 0.45, 0.9];
/// Part of the recent counts kept from one window to the next.
const RECENT_DECAY: f64 = 0.75;
/// Most calls that the history before the move counts for.
const MAX_HISTORY_CALLS: f64 = 4_000.0;
/// Rate assumed of an old version that never shows a bad event.
const RATE_FLOOR: f64 = 0.001;
/// Highest rate that is assumed, so that there is always a worse one.
const MAX_RATE: f64 = 0.98;
/// Standard errors added to a rate for its upper bound.
const UPPER_BOUND_ERRORS: f64 = 2.0;
/// Standard errors taken from a rate for its lower bound.
const LOWER_BOUND_ERRORS: f64 = 0.75;
/// Standard errors above the expected number of bad events from which the new version looks worse.
const WORSE_ERRORS: f64 = 2.0;
/// Weighted recent bad events from which a rise of the rate can be proven.
const MIN_PROVEN_BAD: f64 = 3.0;
/// Weighted recent calls of the old version from which its recent rate counts as known.
const MIN_BASELINE_CALLS: f64 = 25.0;

/// How long trouble that hit the old version excuses the new one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestMemory {
    /// Part of the long-term counts kept from one window to the next.
    pub long_decay: f64,
    /// Part of the highest recent rate kept from one window to the next, as trouble that hits both versions comes and
    /// goes.
    pub peak_decay: f64,
    /// Windows whose null rate may still be raised.
    pub open_windows: usize,
}

impl TestMemory {
    /// For moves that have time to wait until trouble is over.
    pub const LONG: Self = Self {
        long_decay: 0.995,
        peak_decay: 0.97,
        open_windows: 24,
    };
    /// For moves of some seconds: trouble of their first part must not hide badness in their last.
    pub const SHORT: Self = Self {
        long_decay: 0.88,
        peak_decay: 0.75,
        open_windows: 6,
    };
}

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
        let (rate, error) = self.estimate();
        (rate + UPPER_BOUND_ERRORS * error).clamp(RATE_FLOOR, MAX_RATE)
    }

    /// Returns a lower bound of the rate.
    fn lower(&self) -> f64 {
        let (rate, error) = self.estimate();
        rate - LOWER_BOUND_ERRORS * error
    }

    /// Returns the rate and its standard error.
    fn estimate(&self) -> (f64, f64) {
        let calls = self.calls + 1.0;
        let rate = (self.bad + 0.5) / calls;
        (rate, (rate * (1.0 - rate).max(0.0) / calls).sqrt())
    }
}

/// Calls and bad events of the new version in one window, with the rate granted to it.
#[derive(Debug, Clone, Copy)]
struct OpenWindow {
    calls: f64,
    bad: f64,
    null_rate: f64,
}

type AlternativeSums = [f64; ALTERNATIVES.len()];

/// The test of one kind of bad event on one route.
#[derive(Debug, Clone)]
pub struct RateTest {
    memory: TestMemory,
    long: DecayedRate,
    recent: DecayedRate,
    /// Highest recent rate that was proven to be above the long-term one of late.
    peak: f64,
    open: VecDeque<OpenWindow>,
    /// Sums over the windows that are not open any more.
    closed: AlternativeSums,
}

impl Default for RateTest {
    fn default() -> Self {
        Self::new(TestMemory::LONG)
    }
}

impl RateTest {
    /// Makes a test that knows nothing yet.
    pub fn new(memory: TestMemory) -> Self {
        Self {
            memory,
            long: DecayedRate::default(),
            recent: DecayedRate::default(),
            peak: 0.0,
            open: VecDeque::new(),
            closed: AlternativeSums::default(),
        }
    }

    /// Takes in what the old version did before the move; it counts for a bounded number of calls.
    pub fn add_history(&mut self, calls: u64, bad: u64) {
        let weight = (MAX_HISTORY_CALLS / calls.max(1) as f64).min(1.0);
        self.long.calls += calls as f64 * weight;
        self.long.bad += bad as f64 * weight;
    }

    /// Returns the highest rate of the old version that was proven to be above the long-term one of late.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Takes in one window: calls and bad events of the old and the new version, and a rate that is granted to the
    /// new version in any case.
    pub fn add_window(&mut self, old: (u64, u64), new: (u64, u64), min_null_rate: f64) {
        self.long.add(old.0, old.1, self.memory.long_decay);
        self.recent.add(old.0, old.1, RECENT_DECAY);
        self.peak *= self.memory.peak_decay;
        let long = self.long.upper();
        if self.recent.bad >= MIN_PROVEN_BAD && self.recent.lower() > long {
            // The bound of a handful would excuse everything.
            let (rate, _) = self.recent.estimate();
            let raised_rate = if self.has_recent_rate() {
                self.recent.upper()
            } else {
                rate.min(MAX_RATE)
            };
            self.peak = self.peak.max(raised_rate);
        }
        let null_rate = long.max(self.peak).max(min_null_rate);
        for window in &mut self.open {
            window.null_rate = window.null_rate.max(null_rate);
        }
        self.open.push_back(OpenWindow {
            calls: new.0 as f64,
            bad: new.1 as f64,
            null_rate,
        });
        if self.open.len() > self.memory.open_windows
            && let Some(window) = self.open.pop_front()
        {
            add_log_likelihoods(&mut self.closed, window);
        }
    }

    /// Returns the evidence against the new version: the highest logarithm of a likelihood ratio.
    pub fn evidence(&self) -> f64 {
        let mut sums = self.closed;
        for window in &self.open {
            add_log_likelihoods(&mut sums, *window);
        }
        sums.into_iter().fold(0.0, f64::max)
    }

    /// Tells whether the old version has had enough calls of late for its recent rate to be known. A handful says
    /// little; a bound from them would excuse everything.
    pub fn has_recent_rate(&self) -> bool {
        self.recent.calls >= MIN_BASELINE_CALLS
    }

    /// Tells whether the new version had more bad events in the open windows than chance brings at the old version's recent
    /// rate, whatever trouble excused them.
    pub fn is_above_recent_rate(&self) -> bool {
        let expected = self.recent.upper() * self.open_calls();
        let chance = WORSE_ERRORS * expected.sqrt();
        self.has_recent_rate() && self.open_bad() > (expected + chance).max(MIN_PROVEN_BAD)
    }

    /// Tells whether the old version's recent rate is known to be below that of the new version in the open windows.
    pub fn is_old_better(&self) -> bool {
        self.has_recent_rate() && self.recent.upper() * self.open_calls() < self.open_bad()
    }

    fn open_calls(&self) -> f64 {
        self.open.iter().map(|window| window.calls).sum()
    }

    fn open_bad(&self) -> f64 {
        self.open.iter().map(|window| window.bad).sum()
    }
}

fn add_log_likelihoods(sums: &mut AlternativeSums, window: OpenWindow) {
    let OpenWindow {
        calls,
        bad,
        null_rate,
    } = window;
    for (sum, fraction) in sums.iter_mut().zip(ALTERNATIVES) {
        let rate = null_rate + fraction * (1.0 - null_rate);
        let step = bad * (rate / null_rate).ln() + (calls - bad) * ((1.0 - rate) / (1.0 - null_rate)).ln();
        *sum = (*sum + step).max(0.0);
    }
}
