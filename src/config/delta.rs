//! Deltas between two versions of the head, computed from entry stamps.

use {
    super::{
        head::{
            ChangeNote, ClosedMove, ConfigHead, HeadError, HeadTail, MoveOrder, Stamped, Tombstone,
            TrafficLimits,
        },
        organisation::OrganisationEntry,
        tables::{PoolEntry, RouteEntry, TableKind},
    },
    crate::macros::value_type,
    indexmap::{IndexMap, IndexSet},
    std::sync::Arc,
    thiserror::Error,
};

value_type! {
    /// What changed between two versions.
    pub struct HeadDelta {
        /// Version that the delta applies to.
        pub base: u64,
        /// Digest of the head that the delta applies to.
        pub base_digest: u64,
        /// Version that the delta produces.
        pub version: u64,
        /// Routes that are new or changed.
        pub routes: IndexMap<Arc<str>, Stamped<RouteEntry>>,
        /// Pools that are new or changed.
        pub pools: IndexMap<Arc<str>, Stamped<PoolEntry>>,
        /// Limits of the new head.
        #[serde(default)]
        pub limits: TrafficLimits,
        /// Tombstones of the new head.
        pub tombstones: Vec<Tombstone>,
        /// Lowest base version of deltas to the new head.
        pub delta_floor: u64,
        /// Open moves of the new head.
        pub moves: IndexMap<Arc<str>, MoveOrder>,
        /// Closed moves of the new head.
        pub closed: Vec<ClosedMove>,
        /// Changes after the base.
        pub changes: Vec<ChangeNote>,
        /// Number of change notes in the new head.
        pub kept_changes: usize,
        /// Digest of the new head.
        pub digest: u64,
        /// What not every head has; of organisations, those that are new or changed.
        #[serde(default, rename = "is_behind", skip_serializing_if = "HeadTail::is_empty")]
        pub tail: HeadTail,
    }
}

/// Rows of a delta.
struct DeltaRows {
    routes: IndexMap<Arc<str>, Stamped<RouteEntry>>,
    pools: IndexMap<Arc<str>, Stamped<PoolEntry>>,
    organisations: IndexMap<Arc<str>, Stamped<OrganisationEntry>>,
}

/// Names of the entries that differ between two versions.
#[derive(Debug, Clone, Default)]
pub struct ChangedNames {
    /// Names of routes.
    pub routes: IndexSet<Arc<str>>,
    /// Names of pools.
    pub pools: IndexSet<Arc<str>>,
    /// Names of organisations.
    pub organisations: IndexSet<Arc<str>>,
}

/// A delta that can't be applied; the whole head must be read instead.
#[derive(Debug, Error)]
pub enum DeltaError {
    /// The delta applies to another head.
    #[error("delta applies to version {base}, not to {version}; read the whole value")]
    Base {
        /// Version that the delta applies to.
        base: u64,
        /// Version that it was applied to.
        version: u64,
    },
    /// The result does not match its digest.
    #[error(transparent)]
    Head(#[from] HeadError),
}

impl DeltaError {
    /// Returns whether another version came into force between the request for the delta and its arrival.
    pub fn is_outdated(&self) -> bool {
        matches!(self, Self::Base { base, version } if base != version)
    }
}

impl HeadDelta {
    /// Computes the delta from version `base` to `head`. Returns `None` if `base` is 0 or not earlier than `head`,
    /// or if tombstones since `base` have been dropped.
    pub fn between(base: u64, base_digest: u64, head: &ConfigHead) -> Option<Self> {
        if base < head.delta_floor || base >= head.version || base == 0 {
            return None;
        }
        let rows = DeltaRows {
            routes: changed_rows(&head.routes, base),
            pools: changed_rows(&head.pools, base),
            organisations: changed_rows(&head.tail.organisations, base),
        };
        Some(Self::of_rows(base, base_digest, head, rows))
    }

    /// Computes the delta from version `base` to `head` from the names of the entries that differ. Names that `head` does
    /// not have are removed.
    pub fn of_names(base: u64, base_digest: u64, head: &ConfigHead, names: &ChangedNames) -> Self {
        let rows = DeltaRows {
            routes: named_rows(&head.routes, &names.routes),
            pools: named_rows(&head.pools, &names.pools),
            organisations: named_rows(&head.tail.organisations, &names.organisations),
        };
        let mut delta = Self::of_rows(base, base_digest, head, rows);
        let removed = removed_names(TableKind::Route, &head.routes, &names.routes)
            .chain(removed_names(TableKind::Pool, &head.pools, &names.pools))
            .chain(removed_names(
                TableKind::Organisation,
                &head.tail.organisations,
                &names.organisations,
            ));
        // The stamp keeps the tombstone out of the resulting head.
        delta.tombstones.extend(removed.map(|(kind, name)| Tombstone {
            kind,
            name,
            stamp: head.delta_floor,
        }));
        delta
    }

    fn of_rows(base: u64, base_digest: u64, head: &ConfigHead, rows: DeltaRows) -> Self {
        Self {
            base,
            base_digest,
            version: head.version,
            routes: rows.routes,
            pools: rows.pools,
            limits: head.limits,
            tombstones: head
                .tombstones
                .iter()
                .filter(|tombstone| tombstone.stamp > base)
                .cloned()
                .collect(),
            delta_floor: head.delta_floor,
            moves: head.moves.clone(),
            closed: head.closed.clone(),
            changes: head
                .changes
                .iter()
                .filter(|note| note.version > base)
                .cloned()
                .collect(),
            kept_changes: head.changes.len(),
            digest: head.digest,
            tail: HeadTail {
                is_behind: head.tail.is_behind,
                organisations: rows.organisations,
                evacuations: head.tail.evacuations.clone(),
            },
        }
    }

    /// Applies the delta to its base head and checks the digest of the result.
    pub fn apply(&self, base: &ConfigHead) -> Result<ConfigHead, DeltaError> {
        if base.version != self.base || base.digest != self.base_digest {
            return Err(DeltaError::Base {
                base: self.base,
                version: base.version,
            });
        }
        let mut head = base.clone();
        head.version = self.version;
        head.limits = self.limits;
        for tombstone in &self.tombstones {
            match tombstone.kind {
                TableKind::Route => head.routes.shift_remove(&tombstone.name).map(drop),
                TableKind::Pool => head.pools.shift_remove(&tombstone.name).map(drop),
                TableKind::Organisation => head.tail.organisations.shift_remove(&tombstone.name).map(drop),
            };
        }
        head.routes.extend(self.routes.clone());
        head.pools.extend(self.pools.clone());
        head.tail.organisations.extend(self.tail.organisations.clone());
        head.tombstones.extend(self.tombstones.iter().cloned());
        head.tombstones
            .retain(|tombstone| tombstone.stamp > self.delta_floor);
        head.delta_floor = self.delta_floor;
        head.moves.clone_from(&self.moves);
        head.closed.clone_from(&self.closed);
        head.changes.extend(self.changes.iter().cloned());
        let surplus = head.changes.len().saturating_sub(self.kept_changes);
        head.changes.drain(..surplus);
        head.digest = self.digest;
        head.tail.is_behind = self.tail.is_behind;
        head.tail.evacuations.clone_from(&self.tail.evacuations);
        head.check_digest()?;
        Ok(head)
    }
}

fn named_rows<T: Clone>(
    rows: &IndexMap<Arc<str>, Stamped<T>>,
    names: &IndexSet<Arc<str>>,
) -> IndexMap<Arc<str>, Stamped<T>> {
    let named = names.iter().filter_map(|name| rows.get_key_value(name));
    named.map(|(name, row)| (Arc::clone(name), row.clone())).collect()
}

fn removed_names<T>(
    kind: TableKind,
    rows: &IndexMap<Arc<str>, Stamped<T>>,
    names: &IndexSet<Arc<str>>,
) -> impl Iterator<Item = (TableKind, Arc<str>)> {
    let removed = names.iter().filter(|name| !rows.contains_key(*name));
    removed.map(move |name| (kind, Arc::clone(name)))
}

fn changed_rows<T: Clone>(
    rows: &IndexMap<Arc<str>, Stamped<T>>,
    base: u64,
) -> IndexMap<Arc<str>, Stamped<T>> {
    let changed = rows.iter().filter(|(_, row)| row.stamp > base);
    changed
        .map(|(name, row)| (Arc::clone(name), row.clone()))
        .collect()
}
