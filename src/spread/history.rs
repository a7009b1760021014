//! Names that recent versions changed, from which deltas to earlier versions are computed.

use {
    crate::config::{ChangedNames, ConfigHead, HeadDelta, Stamped},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of names in the history. Older versions are dropped beyond it, so peers that still have them pull
/// whole configurations.
const MAX_NAMES: usize = 4_000;

/// Names of the entries that differ between a version and the one that was in force before it.
#[derive(Debug)]
struct HeadChange {
    /// Version that was in force before.
    base: u64,
    routes: Vec<Arc<str>>,
    pools: Vec<Arc<str>>,
    organisations: Vec<Arc<str>>,
}

impl HeadChange {
    fn name_count(&self) -> usize {
        self.routes.len() + self.pools.len() + self.organisations.len()
    }
}

/// Changes of the latest versions that were in force, oldest first.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    changes: VecDeque<HeadChange>,
    name_count: usize,
}

impl ChangeHistory {
    /// Records that `head` replaces `base`.
    pub fn record(&mut self, base: &ConfigHead, head: &ConfigHead) {
        let change = HeadChange {
            base: base.version,
            routes: changed_names(&base.routes, &head.routes),
            pools: changed_names(&base.pools, &head.pools),
            organisations: changed_names(&base.tail.organisations, &head.tail.organisations),
        };
        self.name_count += change.name_count();
        self.changes.push_back(change);
        while self.name_count > MAX_NAMES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.name_count -= oldest.name_count();
        }
    }

    /// Computes the delta from version `base` to `head`, the head in force. Returns `None` if `base` is older than the
    /// history. The version itself need not have been in force here: then an entry that it alone had changed is missing,
    /// which the digest shows when the delta is applied.
    pub fn delta(&self, base: u64, base_digest: u64, head: &ConfigHead) -> Option<HeadDelta> {
        let first = self.changes.iter().rposition(|change| change.base <= base)?;
        let mut names = ChangedNames::default();
        for change in self.changes.range(first..) {
            names.routes.extend(change.routes.iter().cloned());
            names.pools.extend(change.pools.iter().cloned());
            names.organisations.extend(change.organisations.iter().cloned());
        }
        Some(HeadDelta::of_names(base, base_digest, head, &names))
    }
}

/// Returns the names of the rows that were added, changed or removed.
fn changed_names<T: PartialEq>(
    base: &IndexMap<Arc<str>, Stamped<T>>,
    rows: &IndexMap<Arc<str>, Stamped<T>>,
) -> Vec<Arc<str>> {
    let changed = rows.iter().filter(|(name, row)| base.get(*name) != Some(*row));
    let removed = base.iter().filter(|(name, _)| !rows.contains_key(*name));
    changed.chain(removed).map(|(name, _)| Arc::clone(name)).collect()
}
