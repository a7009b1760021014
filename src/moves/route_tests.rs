//! The statistical tests of one route: on failed calls, and on calls that are slow compared with the old version.

use super::{
    evidence::{LatencyHistogram, RouteEvidence},
    sequential::{RateTest, TestMemory},
};

/// Quantile of the old version's latencies on which the limit of slow calls is based.
const SLOW_QUANTILE: f64 = 0.95;
/// Number of buckets from that quantile up to the limit; three are a factor of 1.7.
const SLOW_MARGIN_BUCKETS: usize = 3;
/// Factor applied to the old version's latency counts in each window.
const LATENCY_DECAY: f64 = 0.995;
/// Highest weight of the latencies before the move, in calls.
const MAX_HISTORY_LATENCIES: f64 = 4_000.0;
/// Fewest latencies of the old version, after decay, from which slow calls are tested.
const MIN_LATENCIES: f64 = 30.0;

/// The statistical tests of one route, with the counts behind them.
#[derive(Debug, Clone, Default)]
pub struct RouteTests {
    /// Test on failed calls.
    pub failures: RateTest,
    /// Test on slow calls.
    pub slowness: RateTest,
    /// Latencies of the old version by bucket; earlier windows count less.
    old_latency: Vec<f64>,
    /// Outcomes of the new version in all windows added.
    pub new_total: RouteEvidence,
    /// Outcomes of the old version in all windows added.
    pub old_total: RouteEvidence,
}

/// The evidence of one test against the new version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Evidence as returned by [`RateTest::evidence`].
    pub evidence: f64,
    /// The counts behind the evidence, as text for operators.
    pub text: String,
    /// Whether the old version's recent rate is significantly lower, by [`RateTest::is_old_better`].
    pub is_old_better: bool,
}

impl RouteTests {
    /// Creates tests without any counts.
    pub fn new(memory: TestMemory) -> Self {
        Self {
            failures: RateTest::new(memory),
            slowness: RateTest::new(memory),
            ..Self::default()
        }
    }

    /// Adds the outcomes of the old version before the move, scaled down to at most 4,000 calls.
    pub fn add_history(&mut self, old: &RouteEvidence) {
        self.failures.add_history(old.calls, old.failed);
        self.old_latency.resize(old.latency.0.len(), 0.0);
        let weight = (MAX_HISTORY_LATENCIES / old.latency.total().max(1) as f64).min(1.0);
        for (kept, count) in self.old_latency.iter_mut().zip(&old.latency.0) {
            *kept += *count as f64 * weight;
        }
        if let Some(limit) = self.slow_limit() {
            self.slowness
                .add_history(old.latency.total(), old.latency.above(limit));
        }
    }

    /// Adds one window of both versions. A failure rate up to `min_null_rate` is no evidence against the new version.
    pub fn add_window(&mut self, old: &RouteEvidence, new: &RouteEvidence, min_null_rate: f64) {
        self.old_total.add(old);
        self.new_total.add(new);
        self.failures
            .add_window((old.calls, old.failed), (new.calls, new.failed), min_null_rate);
        self.old_latency.resize(old.latency.0.len(), 0.0);
        for (kept, count) in self.old_latency.iter_mut().zip(&old.latency.0) {
            *kept = *kept * LATENCY_DECAY + *count as f64;
        }
        if let Some(limit) = self.slow_limit() {
            let old = (old.latency.total(), old.latency.above(limit));
            let new = (new.latency.total(), new.latency.above(limit));
            self.slowness.add_window(old, new, 0.0);
        }
    }

    /// Returns the bucket above which a call counts as slow, or `None` while the old version has too few latencies.
    fn slow_limit(&self) -> Option<usize> {
        let total: f64 = self.old_latency.iter().sum();
        if total < MIN_LATENCIES {
            return None;
        }
        let mut seen = 0.0;
        let quantile = self.old_latency.iter().position(|count| {
            seen += count;
            seen >= total * SLOW_QUANTILE
        })?;
        Some(quantile + SLOW_MARGIN_BUCKETS)
    }

    /// Returns whether the old version has had enough recent calls on this route to estimate its rates.
    pub fn has_recent_rates(&self) -> bool {
        self.failures.has_recent_rate() && (self.slow_limit().is_none() || self.slowness.has_recent_rate())
    }

    /// Returns the evidence of the test on failed calls, if there is any.
    pub fn failure_finding(&self, route: &str) -> Option<Finding> {
        let (new, old) = (&self.new_total, &self.old_total);
        let text = format!(
            "route {route}: {} of {} calls failed, {} of {} on the old version",
            new.failed, new.calls, old.failed, old.calls
        );
        Finding::new(&self.failures, text)
    }

    /// Returns the evidence of the test on slow calls, if there is any.
    pub fn slowness_finding(&self, route: &str) -> Option<Finding> {
        let limit = self.slow_limit()?;
        let (new, old) = (&self.new_total.latency, &self.old_total.latency);
        let text = format!(
            "route {route}: {} of {} calls took over {:.0} ms, {} of {} on the old version",
            new.above(limit),
            new.total(),
            LatencyHistogram::edge_ms(limit),
            old.above(limit),
            old.total()
        );
        Finding::new(&self.slowness, text)
    }
}

impl Finding {
    /// Creates the finding of a test; `None` if the test has no evidence.
    pub fn new(test: &RateTest, text: String) -> Option<Self> {
        let evidence = test.evidence();
        (evidence > 0.0).then(|| Self {
            evidence,
            text,
            is_old_better: test.is_old_better(),
        })
    }
}
