//! Counts of outcomes and latencies, as gates collect them and controllers compare them.

use {crate::macros::value_type, indexmap::IndexMap, std::sync::Arc};

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 64;
/// Upper edge of the first bucket, in milliseconds.
const FIRST_EDGE_MS: f64 = 0.1;
/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

value_type! {
    /// Counts by latency bucket; each bucket is about 19 % wider than the one before.
    #[derive(Eq)]
    pub struct LatencyHistogram(pub Vec<u64>);
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self(vec![0; LATENCY_BUCKETS])
    }
}

impl LatencyHistogram {
    /// Returns the bucket of a latency in milliseconds.
    pub fn bucket_of(latency_ms: f64) -> usize {
        let octaves = (latency_ms / FIRST_EDGE_MS).max(1.0).log2();
        ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(LATENCY_BUCKETS - 1)
    }

    /// Returns the upper edge of a bucket in milliseconds.
    pub fn edge_ms(bucket: usize) -> f64 {
        FIRST_EDGE_MS * (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
    }

    /// Counts one latency in milliseconds.
    pub fn add(&mut self, latency_ms: f64) {
        self.0[Self::bucket_of(latency_ms)] += 1;
    }

    /// Returns the counts above a bucket.
    pub fn above(&self, bucket: usize) -> u64 {
        self.0.iter().skip(bucket + 1).sum()
    }

    /// Returns all counts.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

value_type! {
    /// Outcomes of one route at one gate, or summed over gates.
    #[derive(Default, Eq)]
    pub struct OutcomeCounts {
        /// Calls that ended.
        pub calls: u64,
        /// Calls that failed: a 5xx answer, a broken or a stalled one.
        pub failed: u64,
        /// Latencies of calls that did not fail.
        pub latency: LatencyHistogram,
    }
}

impl OutcomeCounts {
    /// Counts one call.
    pub fn add_call(&mut self, failed: bool, latency_ms: f64) {
        self.calls += 1;
        if failed {
            self.failed += 1;
        } else {
            self.latency.add(latency_ms);
        }
    }

    /// Adds the counts of another window.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.failed += other.failed;
        for (count, more) in self.latency.0.iter_mut().zip(&other.latency.0) {
            *count += more;
        }
    }

    /// Returns what was counted since an earlier state of the same counters.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let latency = self
            .latency
            .0
            .iter()
            .zip(&earlier.latency.0)
            .map(|(now, then)| now.saturating_sub(*then));
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failed: self.failed.saturating_sub(earlier.failed),
            latency: LatencyHistogram(latency.collect()),
        }
    }
}

/// What both versions did on each route in the same window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ComparisonWindow {
    /// Old and new version by route.
    pub routes: IndexMap<Arc<str>, (OutcomeCounts, OutcomeCounts)>,
}

impl ComparisonWindow {
    /// Adds evidence of one route.
    pub fn add(&mut self, route: &Arc<str>, is_new: bool, evidence: &OutcomeCounts) {
        let (old, new) = self.routes.entry(Arc::clone(route)).or_default();
        if is_new {
            new.add(evidence);
        } else {
            old.add(evidence);
        }
    }
}
