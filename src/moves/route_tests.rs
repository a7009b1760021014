//! The tests of one route: failures, and calls that are slow by the old version's measure.

use super::{
    counts::{LatencyHistogram, OutcomeCounts},
    sequential::{RateTest, TestMemory},
};

/// The old version's latency quantile that the slow-call test starts from.
const SLOW_QUANTILE: f64 = 0.95;
/// Buckets by which a call must exceed that quantile to count as slow; three are a factor of 1.7.
const SLOW_MARGIN_BUCKETS: usize = 3;
/// Part of the old version's latency counts kept from one window to the next.
const LATENCY_DECAY: f64 = 0.995;
/// Most calls that the latencies before the move count for.
const MAX_HISTORY_LATENCIES: f64 = 4_000.0;
/// Weighted latencies of the old version from which slowness is tested.
const MIN_LATENCIES: f64 = 30.0;

/// The tests of one route, with what they are fed from.
#[derive(Debug, Clone, Default)]
pub struct RouteTests {
    /// Test on failures.
    pub failures: RateTest,
    /// Test on slow calls.
    pub slowness: RateTest,
    /// Latencies of the old version by bucket, older ones with less weight.
    old_latency: Vec<f64>,
    /// What the new version did so far.
    pub new_total: OutcomeCounts,
    /// What the old version did so far.
    pub old_total: OutcomeCounts,
}

/// The strongest evidence against the new version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Logarithm of the likelihood ratio.
    pub evidence: f64,
    /// The figures, for operators.
    pub text: String,
    /// Whether the old version is known to do better at present.
    pub is_old_better: bool,
}

impl RouteTests {
    /// Makes tests that know nothing yet.
    pub fn new(memory: TestMemory) -> Self {
        Self {
            failures: RateTest::new(memory),
            slowness: RateTest::new(memory),
            ..Self::default()
        }
    }

    /// Takes in what the old version did before the move.
    pub fn add_history(&mut self, old: &OutcomeCounts) {
        self.failures.add_history(old.calls, old.failed);
        self.old_latency.resize(old.latency.0.len(), 0.0);
        let weight = (MAX_HISTORY_LATENCIES / old.latency.total().max(1) as f64).min(1.0);
        for (kept, count) in self.old_latency.iter_mut().zip(&old.latency.0) {
            *kept += *count as f64 * weight;
        }
        if let Some(limit) = self.slow_bucket() {
            self.slowness
                .add_history(old.latency.total(), old.latency.above(limit));
        }
    }

    /// Takes in one window of both versions; `min_null_rate` is a failure rate that the new version may have in any case.
    pub fn add_window(&mut self, old: &OutcomeCounts, new: &OutcomeCounts, min_null_rate: f64) {
        self.old_total.add(old);
        self.new_total.add(new);
        self.failures
            .add_window((old.calls, old.failed), (new.calls, new.failed), min_null_rate);
        self.old_latency.resize(old.latency.0.len(), 0.0);
        for (kept, count) in self.old_latency.iter_mut().zip(&old.latency.0) {
            *kept = *kept * LATENCY_DECAY + *count as f64;
        }
        if let Some(limit) = self.slow_bucket() {
            let old = (old.latency.total(), old.latency.above(limit));
            let new = (new.latency.total(), new.latency.above(limit));
            self.slowness.add_window(old, new, 0.0);
        }
    }

    /// Returns the bucket above which a call counts as slow, once enough calls of the old version are known.
    fn slow_bucket(&self) -> Option<usize> {
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

    /// Tells whether the old version has had enough calls of late on this route.
    pub fn has_recent_rates(&self) -> bool {
        self.failures.has_recent_rate() && (self.slow_bucket().is_none() || self.slowness.has_recent_rate())
    }

    /// Returns what speaks against the new version by failures.
    pub fn failure_finding(&self, route: &str) -> Option<Finding> {
        let (new, old) = (&self.new_total, &self.old_total);
        let text = format!(
            "route {route}: {} of {} calls failed, {} of {} on the old version",
            new.failed, new.calls, old.failed, old.calls
        );
        Finding::new(&self.failures, text)
    }

    /// Returns what speaks against the new version by slow calls.
    pub fn slowness_finding(&self, route: &str) -> Option<Finding> {
        let limit = self.slow_bucket()?;
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
    /// Makes a finding of a test, if it has any evidence.
    pub fn new(test: &RateTest, text: String) -> Option<Self> {
        let evidence = test.evidence();
        (evidence > 0.0).then(|| Self {
            evidence,
            text,
            is_old_better: test.is_old_better(),
        })
    }
}
