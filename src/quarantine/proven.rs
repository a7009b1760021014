//! Memory of requests that have run well.

use {super::state::SuspectKey, std::collections::HashSet};

/// Number of fingerprints after which the older generation is forgotten.
const GENERATION_SIZE: usize = 4_096;

/// The requests that ran well lately, in bounded memory: between one and two generations of them.
#[derive(Debug, Clone, Default)]
pub(super) struct ProvenRequests {
    current: HashSet<SuspectKey>,
    previous: HashSet<SuspectKey>,
}

impl ProvenRequests {
    pub(super) fn insert(&mut self, key: SuspectKey) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key);
    }

    pub(super) fn contains(&self, key: SuspectKey) -> bool {
        self.current.contains(&key) || self.previous.contains(&key)
    }
}
