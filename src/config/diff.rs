//! The difference between two sets of tables, as shown to operators.

use {
    super::{
        organisation::{CallQuota, KeyDigest, OrganisationEntry},
        tables::{ConfigTables, TableKind},
    },
    crate::macros::value_type,
    indexmap::IndexMap,
    std::{
        fmt::{Debug, Display, Formatter},
        sync::Arc,
    },
};

value_type! {
    /// How an entry differs.
    pub enum EntryChange {
        /// The entry is new.
        Added,
        /// The entry was removed.
        Removed,
        /// The entry has other content.
        Changed {
            /// One line per changed key: `key: old -> new`.
            keys: Vec<String>,
        },
    }
}

value_type! {
    /// The entries that differ between two sets of tables.
    #[derive(Default)]
    pub struct TableDiff {
        /// Table, name and change of each.
        pub entries: Vec<(TableKind, Arc<str>, EntryChange)>,
    }
}

impl TableDiff {
    /// Returns whether no entry differs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Display for TableDiff {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (kind, name, change) in &self.entries {
            match change {
                EntryChange::Added => writeln!(f, "+ [{kind} {name}]")?,
                EntryChange::Removed => writeln!(f, "- [{kind} {name}]")?,
                EntryChange::Changed { keys } => {
                    writeln!(f, "~ [{kind} {name}]")?;
                    for key in keys {
                        writeln!(f, "    {key}")?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Computes the difference between two sets of tables.
pub fn diff_tables(old: &ConfigTables, new: &ConfigTables) -> TableDiff {
    let mut diff = TableDiff::default();
    diff_rows(&mut diff, TableKind::Route, &old.routes, &new.routes);
    diff_rows(&mut diff, TableKind::Pool, &old.pools, &new.pools);
    diff_rows(
        &mut diff,
        TableKind::Organisation,
        &shown_organisations(&old.organisations),
        &shown_organisations(&new.organisations),
    );
    diff
}

/// Organisation as it is shown, with fingerprints of its keys.
#[derive(PartialEq, serde::Serialize)]
struct ShownOrganisation {
    keys: Vec<String>,
    priority: u8,
    quota: Option<CallQuota>,
}

fn shown_organisations(
    organisations: &IndexMap<Arc<str>, OrganisationEntry>,
) -> IndexMap<Arc<str>, ShownOrganisation> {
    let shown = |entry: &OrganisationEntry| ShownOrganisation {
        keys: entry.keys.iter().map(KeyDigest::fingerprint).collect(),
        priority: entry.priority,
        quota: entry.quota,
    };
    organisations
        .iter()
        .map(|(name, entry)| (Arc::clone(name), shown(entry)))
        .collect()
}

fn diff_rows<T: PartialEq + serde::Serialize>(
    diff: &mut TableDiff,
    kind: TableKind,
    old: &IndexMap<Arc<str>, T>,
    new: &IndexMap<Arc<str>, T>,
) {
    for (name, entry) in new {
        match old.get(name) {
            None => diff.entries.push((kind, Arc::clone(name), EntryChange::Added)),
            Some(before) if before != entry => {
                let keys = changed_keys(before, entry);
                diff.entries
                    .push((kind, Arc::clone(name), EntryChange::Changed { keys }));
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        diff.entries.push((kind, Arc::clone(name), EntryChange::Removed));
    }
}

fn changed_keys<T: serde::Serialize>(before: &T, after: &T) -> Vec<String> {
    let (Ok(before), Ok(after)) = (serde_json::to_value(before), serde_json::to_value(after)) else {
        return Vec::new();
    };
    let Some(fields) = after.as_object() else {
        return Vec::new();
    };
    let changed = fields
        .iter()
        .filter(|(key, value)| before.get(key.as_str()) != Some(value));
    changed
        .map(|(key, value)| format!("{key}: {} -> {value}", before[key.as_str()]))
        .collect()
}
