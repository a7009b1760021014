//! Memory of requests that have run well.

use {super::fingerprint::RequestFingerprint, std::collections::HashSet};

/// Number of fingerprints after which the older generation is forgotten.
const GENERATION_SIZE: usize = 4_096;

/// The fingerprints that ran well lately, in bounded memory: between one and two generations of them.
#[derive(Debug, Clone, Default)]
pub(super) struct ProvenRequests {
    current: HashSet<RequestFingerprint>,
    previous: HashSet<RequestFingerprint>,
}

impl ProvenRequests {
    pub(super) fn insert(&mut self, fingerprint: RequestFingerprint) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint);
    }

    pub(super) fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }
}
