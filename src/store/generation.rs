//! Generations of the store: a store that comes back from an older copy of itself gives its revisions out again.

use std::sync::atomic::{AtomicU64, Ordering};

/// Latest generation that the store's answers have stated. A store that states none is of generation 0.
#[derive(Debug, Default)]
pub struct StoreGeneration {
    latest: AtomicU64,
}

/// What the generation that an answer states means to those who read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationChange {
    /// It is the latest one.
    Same,
    /// It is the first one that was stated.
    First,
    /// The store has come back from an older copy, without what it had accepted after that.
    Returned {
        /// Latest generation before.
        former: u64,
    },
    /// The answer was sent before the store came back, and tells nothing about what it has now.
    Outdated {
        /// Latest generation.
        latest: u64,
    },
}

impl StoreGeneration {
    /// Returns the latest generation.
    pub fn latest(&self) -> u64 {
        self.latest.load(Ordering::Acquire)
    }

    /// Takes the generation that an answer states.
    pub fn observe(&self, stated: u64) -> GenerationChange {
        match self.latest.fetch_max(stated, Ordering::AcqRel) {
            latest if latest == stated => GenerationChange::Same,
            0 => GenerationChange::First,
            former if former < stated => GenerationChange::Returned { former },
            latest => GenerationChange::Outdated { latest },
        }
    }
}
