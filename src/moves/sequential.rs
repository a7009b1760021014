//! A sequential test on the rate of bad events: is the new version worse than the old one in the same windows?
//!
//! The statistic is a mixture of cumulative sums (Page's CUSUM) of log-likelihood ratios over a grid of
//! alternative rates, so that badness which begins late is seen as fast as badness from the start. The rate
//! under the null hypothesis is an upper bound of the old version's rate, long-term or recent, whichever is
//! higher: trouble that hits both versions does not count against the new one.

/// Alternative rates: the null rate plus this part of the rest.
const ALTERNATIVES: [f64; 5] = [0.02, 0.06, 0.18, 0.45, 0.9];
/// Part of the long-term counts kept from one window to the next.
const LONG_DECAY: f64 = 0.995;
/// Part of the recent counts kept from one window to the next.
const RECENT_DECAY: f64 = 0.8;
/// Rate assumed of an old version that never shows a bad event.
const RATE_FLOOR: f64 = 0.002;
/// Standard errors added to an estimated rate.
const RATE_MARGIN: f64 = 2.0;

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

/// The test of one kind of bad event on one route.
#[derive(Debug, Clone, Default)]
pub struct RateTest {
    long: DecayedRate,
    recent: DecayedRate,
    sums: [f64; ALTERNATIVES.len()],
}

impl RateTest {
    /// Takes in one window: calls and bad events of the old and the new version.
    pub fn add_window(&mut self, old: (u64, u64), new: (u64, u64)) {
        self.long.add(old.0, old.1, LONG_DECAY);
        self.recent.add(old.0, old.1, RECENT_DECAY);
        let null = self.null_rate();
        let (calls, bad) = (new.0 as f64, new.1 as f64);
        for (sum, part) in self.sums.iter_mut().zip(ALTERNATIVES) {
            let rate = null + part * (1.0 - null);
            let step = bad * (rate / null).ln() + (calls - bad) * ((1.0 - rate) / (1.0 - null)).ln();
            *sum = (*sum + step).max(0.0);
        }
    }

    /// Returns the evidence against the new version: the logarithm of the mean likelihood ratio.
    pub fn evidence(&self) -> f64 {
        let highest = self.sums.iter().copied().fold(0.0, f64::max);
        let mean: f64 =
            self.sums.iter().map(|sum| (sum - highest).exp()).sum::<f64>() / ALTERNATIVES.len() as f64;
        (highest + mean.ln()).max(0.0)
    }

    /// Returns the rate that is granted to the new version.
    pub fn null_rate(&self) -> f64 {
        let long = self.long.upper();
        // A handful of recent calls says little; a bound from them alone would excuse everything.
        let recent = if self.recent.calls >= 20.0 {
            self.recent.upper()
        } else {
            0.0
        };
        long.max(recent)
    }

    /// Forgets the evidence, for instance after a pause, but not the rates of the old version.
    pub fn clear(&mut self) {
        self.sums = [0.0; ALTERNATIVES.len()];
    }
}
