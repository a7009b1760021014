//! Evidence: counts of call outcomes and latencies, which gates collect and controllers compare.

use {crate::macros::value_type, indexmap::IndexMap, std::sync::Arc};

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 64;
/// Upper edge of the first bucket, in milliseconds.
const FIRST_EDGE_MS: f64 = 0.1;
/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

value_type! {
    /// Number of calls in each latency bucket. The upper edge of a bucket is about 19 % above that of the one before.
    #[derive(Eq)]
    pub struct LatencyHistogram(pub Vec<u64>);
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self(vec![0; LATENCY_BUCKETS])
    }
}

impl LatencyHistogram {
    /// Returns the bucket of a latency in milliseconds; the last bucket holds all that are higher.
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

    /// Returns the number of latencies above a bucket.
    pub fn above(&self, bucket: usize) -> u64 {
        self.0.iter().skip(bucket + 1).sum()
    }

    /// Returns the number of latencies in all buckets.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

value_type! {
    /// Call outcomes of one route, at one gate or summed over gates.
    #[derive(Default, Eq)]
    pub struct RouteEvidence {
        /// Calls that have ended.
        pub calls: u64,
        /// Calls that failed: the answer had a 5xx status, broke off or stalled.
        pub failed: u64,
        /// Latencies of the calls that did not fail.
        pub latency: LatencyHistogram,
    }
}

impl RouteEvidence {
    /// Counts one call; a failed one is left out of the latencies.
    pub fn add_call(&mut self, failed: bool, latency_ms: f64) {
        self.calls += 1;
        if failed {
            self.failed += 1;
        } else {
            self.latency.add(latency_ms);
        }
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.failed += other.failed;
        for (count, more) in self.latency.0.iter_mut().zip(&other.latency.0) {
            *count += more;
        }
    }

    /// Returns the difference to an earlier state of the same counters; no count falls below 0.
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

/// Outcomes of the old and the new version in the same window, by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceWindow {
    /// Evidence of the old and of the new version by route.
    pub routes: IndexMap<Arc<str>, (RouteEvidence, RouteEvidence)>,
}

impl EvidenceWindow {
    /// Adds evidence of one route to the new or the old version.
    pub fn add(&mut self, route: &Arc<str>, is_new: bool, counts: &RouteEvidence) {
        let (old, new) = self.routes.entry(Arc::clone(route)).or_default();
        if is_new {
            new.add(counts);
        } else {
            old.add(counts);
        }
    }
}
