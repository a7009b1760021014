//! A sequential test on the rate of bad events, which are failed or slow calls: is it higher for the new version than for
//! the old one in the same windows?
//!
//! The statistic is the highest of several cumulative sums (Page's CUSUM) of log-likelihood ratios, one for each of a
//! grid of alternative rates. A sum never falls below 0, so a fault that begins late is detected as fast as one from the
//! start.
//!
//! The null rate is an upper bound of the old version's long-term rate, or of its recent rate where that is significantly
//! higher, so that a fault of both versions is no evidence against the new one. The recent rate is known with a delay;
//! the null rate of the last windows is therefore raised when the old version's rate turns out to have been higher.

use std::collections::VecDeque;

/// Alternative rates, each as the fraction of the way from the null rate to 1.
const ALTERNATIVES: [f64; 5] = [0.02, 0.06, 0.18, 0.45, 0.9];
/// Factor applied to the recent counts in each window.
const RECENT_DECAY: f64 = 0.75;
/// Highest weight of the history before the move, in calls.
const MAX_HISTORY_CALLS: f64 = 4_000.0;
/// Lowest null rate, also for an old version without any bad event.
const MIN_RATE: f64 = 0.001;
/// Highest null rate, so that every alternative rate is above it.
const MAX_RATE: f64 = 0.98;
/// Standard errors between a rate and its upper bound.
const UPPER_BOUND_ERRORS: f64 = 2.0;
/// Standard errors between a rate and its lower bound.
const LOWER_BOUND_ERRORS: f64 = 0.75;
/// Standard errors by which the new version's bad events must exceed the number expected from the recent rate.
const EXCESS_ERRORS: f64 = 2.0;
/// Bad events below which no rate counts as significantly higher: the decayed recent ones of the old version, or those of
/// the new version in the open windows.
const MIN_BAD_EVENTS: f64 = 3.0;
/// Fewest recent calls of the old version, after decay, to estimate its recent rate from.
const MIN_BASELINE_CALLS: f64 = 25.0;

/// For how long bad events of the old version raise the null rate, and so excuse those of the new one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestMemory {
    /// Factor applied to the long-term counts in each window.
    pub long_decay: f64,
    /// Factor applied to the highest recent rate in each window. That rate is kept for a while, as a fault of both versions
    /// comes and goes.
    pub peak_decay: f64,
    /// Number of the last windows whose null rate can still be raised.
    pub open_windows: usize,
}

impl TestMemory {
    /// For moves that have time to wait until a fault of both versions is over.
    pub const LONG: Self = Self {
        long_decay: 0.995,
        peak_decay: 0.97,
        open_windows: 24,
    };
    /// For moves of some seconds: a fault of both versions in the first part must not hide a fault of the new one in the
    /// last.
    pub const SHORT: Self = Self {
        long_decay: 0.88,
        peak_decay: 0.75,
        open_windows: 6,
    };
}

/// Evidence at which a controller acts, as the natural logarithm of the likelihood ratio.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestThresholds {
    /// Evidence that pauses the move.
    pub weak: f64,
    /// Evidence that takes the move back, once confirmed.
    pub strong: f64,
}

/// Calls and bad events, in which earlier windows count less.
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

    /// Returns an upper bound of the rate, from [`MIN_RATE`] to [`MAX_RATE`].
    fn upper(&self) -> f64 {
        let (rate, error) = self.estimate();
        (rate + UPPER_BOUND_ERRORS * error).clamp(MIN_RATE, MAX_RATE)
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

/// Calls and bad events of the new version in one window, with the null rate they are compared to.
#[derive(Debug, Clone, Copy)]
struct OpenWindow {
    calls: f64,
    bad: f64,
    null_rate: f64,
}

type AlternativeSums = [f64; ALTERNATIVES.len()];

/// The sequential test on one kind of bad event, for one route or all of them together.
#[derive(Debug, Clone)]
pub struct RateTest {
    memory: TestMemory,
    long_term: DecayedRate,
    recent: DecayedRate,
    /// Highest recent rate of the old version that was significantly above its long-term rate, decayed in each window.
    peak: f64,
    open: VecDeque<OpenWindow>,
    /// Sums over the windows whose null rate is final.
    closed: AlternativeSums,
}

impl Default for RateTest {
    fn default() -> Self {
        Self::new(TestMemory::LONG)
    }
}

impl RateTest {
    /// Creates a test without any counts.
    pub fn new(memory: TestMemory) -> Self {
        Self {
            memory,
            long_term: DecayedRate::default(),
            recent: DecayedRate::default(),
            peak: 0.0,
            open: VecDeque::new(),
            closed: AlternativeSums::default(),
        }
    }

    /// Adds calls and bad events of the old version before the move to its long-term rate, scaled down to at most 4,000
    /// calls.
    pub fn add_history(&mut self, calls: u64, bad: u64) {
        let weight = (MAX_HISTORY_CALLS / calls.max(1) as f64).min(1.0);
        self.long_term.calls += calls as f64 * weight;
        self.long_term.bad += bad as f64 * weight;
    }

    /// Returns the decayed maximum of the old version's recent rate, from windows in which it was significantly above the
    /// long-term one; 0 without such a window.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Adds one window: calls and bad events of the old and of the new version. Its null rate is at least
    /// `min_null_rate`; that of the other open windows is raised to the same rate if it is lower.
    pub fn add_window(&mut self, old: (u64, u64), new: (u64, u64), min_null_rate: f64) {
        self.long_term.add(old.0, old.1, self.memory.long_decay);
        self.recent.add(old.0, old.1, RECENT_DECAY);
        self.peak *= self.memory.peak_decay;
        let long_term = self.long_term.upper();
        if self.recent.bad >= MIN_BAD_EVENTS && self.recent.lower() > long_term {
            // With only a few calls, the upper bound would be so high that it excuses any failure.
            let (rate, _) = self.recent.estimate();
            let raised_rate = if self.has_recent_rate() {
                self.recent.upper()
            } else {
                rate.min(MAX_RATE)
            };
            self.peak = self.peak.max(raised_rate);
        }
        let null_rate = long_term.max(self.peak).max(min_null_rate);
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

    /// Returns the evidence against the new version: the highest cumulative sum of log-likelihood ratios, at least 0.
    pub fn evidence(&self) -> f64 {
        let mut sums = self.closed;
        for window in &self.open {
            add_log_likelihoods(&mut sums, *window);
        }
        sums.into_iter().fold(0.0, f64::max)
    }

    /// Returns whether the old version has had enough recent calls to estimate its rate. With only a few, the upper bound
    /// would be so high that it excuses any failure.
    pub fn has_recent_rate(&self) -> bool {
        self.recent.calls >= MIN_BASELINE_CALLS
    }

    /// Returns whether the new version had significantly more bad events in the open windows than the old version's recent
    /// rate predicts; false without enough recent calls of the old one. Ignores the null rate, which an earlier fault of
    /// both versions may have raised.
    pub fn is_above_recent_rate(&self) -> bool {
        let expected = self.recent.upper() * self.open_calls();
        let chance = EXCESS_ERRORS * expected.sqrt();
        self.has_recent_rate() && self.open_bad() > (expected + chance).max(MIN_BAD_EVENTS)
    }

    /// Returns whether the upper bound of the old version's recent rate is below the rate of the new version in the open
    /// windows; false without enough recent calls of the old one.
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

/// Adds the log-likelihood ratio of a window to the sum of each alternative rate. A sum never falls below 0.
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
