//! Edits of the accepted configuration: conflict checks, opening and closing of moves, entry stamps and tombstones.

use {
    super::{
        diff::{TableDiff, diff_tables},
        head::{
            ChangeNote, ClosedMove, ConfigHead, HISTORY_LIMIT, MoveOrder, MoveVerdict, Stamped, Tombstone,
        },
        tables::{ConfigTables, PoolEntry, TableFault, TableKind},
    },
    crate::{clock::TimePoint, evacuation::EvacuationEdit, macros::value_type},
    indexmap::IndexMap,
    std::sync::Arc,
    thiserror::Error,
};

/// Deadline of a move that an undo opens if the restored deadline is missing or has passed, in milliseconds from the
/// undo.
pub const UNDO_MOVE_MS: u64 = 600_000;

value_type! {
    /// The operation of an edit.
    pub enum TableEdit {
        /// Replaces the tables.
        Replace {
            /// The new tables.
            tables: ConfigTables,
            /// Whether a version that was taken back may be tried again.
            again: bool,
        },
        /// Restores the tables of an earlier version.
        Undo {
            /// The tables of that version.
            tables: ConfigTables,
        },
        /// Ends an open move.
        Close {
            /// Name of the pool.
            pool: Arc<str>,
            /// Identity of the move.
            move_id: u64,
            /// How the move ends.
            verdict: MoveVerdict,
            /// Reason for the verdict.
            reason: Arc<str>,
        },
        /// Evacuates a data centre, or takes that back.
        Evacuate(EvacuationEdit),
    }
}

value_type! {
    /// An edit with its author and the version it is based on.
    pub struct EditRequest {
        /// Identity of the change.
        pub change_id: Arc<str>,
        /// Version that the edit is based on: the edit conflicts with any other version. `None` skips this check.
        pub base_version: Option<u64>,
        /// Who requested the change.
        pub author: Arc<str>,
        /// Reason for the change.
        pub message: Arc<str>,
        /// When the change was requested.
        pub at: TimePoint,
        /// The operation.
        pub edit: TableEdit,
    }
}

/// Why an edit was refused.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum EditError {
    /// The configuration has changed since the edit's base version.
    #[error("configuration has changed from version {base} to {version}:\n{}\nreview the difference and apply again", list_notes(.changes))]
    Conflict {
        /// Version that the edit is based on.
        base: u64,
        /// Current version.
        version: u64,
        /// Changes after the base version.
        changes: Vec<ChangeNote>,
    },
    /// The tables break a rule.
    #[error("the tables break a rule: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<TableFault>),
    /// The edit changes nothing.
    #[error("the tables match the accepted configuration; nothing to apply")]
    NothingChanged,
    /// The pool's version changes while a move of the pool is open.
    #[error(
        "pool {pool} has an open move to {to}; wait for its end or cancel it with `fuchsiashore moves --cancel {pool}`"
    )]
    MoveOpen {
        /// Name of the pool.
        pool: Arc<str>,
        /// Version that the open move goes to.
        to: Arc<str>,
    },
    /// The pool's version changes, but its deadline is missing or in the past.
    #[error(
        "pool {pool} changes its version but finish_by is missing or in the past; set it to when the move must finish"
    )]
    NoDeadline {
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// The latest move to this version was taken back.
    #[error("version {to} of pool {pool} was taken back ({reason}); pass --again to retry it")]
    TakenBack {
        /// Name of the pool.
        pool: Arc<str>,
        /// Version that was taken back.
        to: Arc<str>,
        /// Why it was taken back.
        reason: Arc<str>,
    },
    /// The pool has no open move with this identity.
    #[error("pool {pool} has no open move {move_id}; see `fuchsiashore moves`")]
    NoSuchMove {
        /// Name of the pool.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
    },
}

fn list_notes(notes: &[ChangeNote]) -> String {
    let lines = notes.iter().map(|note| {
        format!(
            "  {} {} by {}: {}",
            note.version, note.at, note.author, note.message
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Result of applying an edit to a head.
#[derive(Debug, Clone, PartialEq)]
pub enum HeadEdit {
    /// The head already contains the change: an earlier attempt wrote it, but its answer was lost.
    Present {
        /// Version that the change made.
        version: u64,
    },
    /// The edited head.
    Next(Box<AppliedEdit>),
}

/// An edited head that is not sealed or written yet.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedEdit {
    /// The new head.
    pub head: ConfigHead,
    /// Difference from the previous tables.
    pub diff: TableDiff,
}

/// Applies an edit to a copy of the head; the result has yet to be sealed and written to the store.
pub fn apply_edit(head: &ConfigHead, request: &EditRequest) -> Result<HeadEdit, EditError> {
    if let Some(note) = head.find_change(&request.change_id) {
        return Ok(HeadEdit::Present {
            version: note.version,
        });
    }
    check_base(head, request)?;
    let mut next = head.clone();
    next.version += 1;
    let tables = match &request.edit {
        TableEdit::Replace { tables, again } => {
            prepare_moves(&mut next, tables, request, *again)?;
            tables.clone()
        }
        TableEdit::Undo { tables } => {
            let tables = renew_deadlines(head, tables, request.at);
            prepare_moves(&mut next, &tables, request, true)?;
            tables
        }
        TableEdit::Close {
            pool,
            move_id,
            verdict,
            reason,
        } => close_move(&mut next, pool, *move_id, *verdict, reason, request.at)?,
        TableEdit::Evacuate(edit) => {
            next.tail.evacuations.apply(edit, next.version);
            head.tables()
        }
    };
    let faults = tables.check_edit();
    if !faults.is_empty() {
        return Err(EditError::Invalid(faults));
    }
    let diff = diff_tables(&head.tables(), &tables);
    if diff.is_empty() && next.moves == head.moves && next.tail.evacuations == head.tail.evacuations {
        return Err(EditError::NothingChanged);
    }
    set_tables(&mut next, tables);
    add_note(&mut next, request);
    Ok(HeadEdit::Next(Box::new(AppliedEdit { head: next, diff })))
}

fn check_base(head: &ConfigHead, request: &EditRequest) -> Result<(), EditError> {
    match request.base_version {
        Some(base) if base != head.version => Err(EditError::Conflict {
            base,
            version: head.version,
            changes: head
                .changes
                .iter()
                .filter(|note| note.version > base)
                .cloned()
                .collect(),
        }),
        _ => Ok(()),
    }
}

/// Opens, updates and cancels moves so that they lead to the wanted tables.
fn prepare_moves(
    next: &mut ConfigHead,
    tables: &ConfigTables,
    request: &EditRequest,
    again: bool,
) -> Result<(), EditError> {
    let pools = next.pools.clone();
    for (name, old) in &pools {
        match tables.pools.get(name) {
            Some(wanted) if wanted.service == old.entry.service => {
                prepare_pool_move(next, name, &old.entry, wanted, request, again)?;
            }
            _ => end_move(
                next,
                name,
                MoveVerdict::Cancelled,
                "the pool was removed or serves another service",
                request.at,
            ),
        }
    }
    Ok(())
}

fn prepare_pool_move(
    next: &mut ConfigHead,
    name: &Arc<str>,
    old: &PoolEntry,
    wanted: &PoolEntry,
    request: &EditRequest,
    again: bool,
) -> Result<(), EditError> {
    if let Some(order) = next.moves.get_mut(name) {
        if wanted.version == order.from {
            end_move(
                next,
                name,
                MoveVerdict::Cancelled,
                "an operator set the old version again",
                request.at,
            );
            return Ok(());
        }
        if wanted.version != order.to {
            return Err(EditError::MoveOpen {
                pool: Arc::clone(name),
                to: Arc::clone(&order.to),
            });
        }
        order.finish_by = wanted.finish_by.unwrap_or(order.finish_by);
        order.policy = wanted.policy;
        return Ok(());
    }
    if wanted.version == old.version {
        return Ok(());
    }
    if !again {
        refuse_taken_back(next, name, &wanted.version)?;
    }
    let finish_by = wanted.finish_by.filter(|finish_by| *finish_by > request.at);
    let finish_by = finish_by.ok_or_else(|| EditError::NoDeadline {
        pool: Arc::clone(name),
    })?;
    let order = MoveOrder {
        id: next.version,
        from: Arc::clone(&old.version),
        to: Arc::clone(&wanted.version),
        opened_at: request.at,
        finish_by,
        policy: wanted.policy,
    };
    next.moves.insert(Arc::clone(name), order);
    Ok(())
}

fn refuse_taken_back(head: &ConfigHead, name: &Arc<str>, version: &Arc<str>) -> Result<(), EditError> {
    let last = head
        .closed
        .iter()
        .rev()
        .find(|closed| closed.pool == *name && closed.order.to == *version);
    match last {
        Some(closed) if closed.verdict == MoveVerdict::TakenBack => Err(EditError::TakenBack {
            pool: Arc::clone(name),
            to: Arc::clone(version),
            reason: Arc::clone(&closed.reason),
        }),
        _ => Ok(()),
    }
}

/// Sets a new deadline on each pool whose version an undo changes and whose restored deadline is missing or has
/// passed.
fn renew_deadlines(head: &ConfigHead, tables: &ConfigTables, at: TimePoint) -> ConfigTables {
    let mut tables = tables.clone();
    for (name, pool) in &mut tables.pools {
        let changes = head
            .pools
            .get(name)
            .is_some_and(|current| current.entry.version != pool.version);
        if changes && pool.finish_by.is_none_or(|finish_by| finish_by <= at) {
            pool.finish_by = Some(at.after_ms(UNDO_MOVE_MS));
        }
    }
    tables
}

fn close_move(
    next: &mut ConfigHead,
    pool: &Arc<str>,
    move_id: u64,
    verdict: MoveVerdict,
    reason: &str,
    at: TimePoint,
) -> Result<ConfigTables, EditError> {
    let order = next.moves.get(pool).filter(|order| order.id == move_id).cloned();
    let order = order.ok_or_else(|| EditError::NoSuchMove {
        pool: Arc::clone(pool),
        move_id,
    })?;
    let mut tables = next.tables();
    if let Some(entry) = tables.pools.get_mut(pool) {
        entry.version = match verdict {
            MoveVerdict::Done => order.to,
            MoveVerdict::TakenBack | MoveVerdict::Cancelled => order.from,
        };
    }
    end_move(next, pool, verdict, reason, at);
    Ok(tables)
}

fn end_move(next: &mut ConfigHead, pool: &Arc<str>, verdict: MoveVerdict, reason: &str, at: TimePoint) {
    if let Some(order) = next.moves.shift_remove(pool) {
        next.closed.push(ClosedMove {
            pool: Arc::clone(pool),
            order,
            verdict,
            reason: reason.into(),
            at,
        });
        trim(&mut next.closed);
    }
}

/// Replaces the tables of a head. Adds a tombstone for each removed entry; if the oldest ones are dropped, raises the
/// delta floor.
fn set_tables(next: &mut ConfigHead, tables: ConfigTables) {
    let version = next.version;
    let removed_routes = restamp(&mut next.routes, tables.routes, version);
    let removed_pools = restamp(&mut next.pools, tables.pools, version);
    let removed_organisations = restamp(&mut next.tail.organisations, tables.organisations, version);
    let routes = removed_routes.into_iter().map(|name| (TableKind::Route, name));
    let pools = removed_pools.into_iter().map(|name| (TableKind::Pool, name));
    let organisations = removed_organisations.into_iter();
    let organisations = organisations.map(|name| (TableKind::Organisation, name));
    let tombstones = routes
        .chain(pools)
        .chain(organisations)
        .map(|(kind, name)| Tombstone {
            kind,
            name,
            stamp: version,
        });
    next.tombstones.extend(tombstones);
    let surplus = next.tombstones.len().saturating_sub(HISTORY_LIMIT);
    if surplus > 0 {
        next.delta_floor = next.tombstones[surplus - 1].stamp;
        next.tombstones.drain(..surplus);
    }
}

/// Replaces the rows by the wanted entries and returns the names of removed ones. Unchanged entries keep their stamp,
/// others get `version`.
fn restamp<T: PartialEq>(
    rows: &mut IndexMap<Arc<str>, Stamped<T>>,
    wanted: IndexMap<Arc<str>, T>,
    version: u64,
) -> Vec<Arc<str>> {
    let mut old = std::mem::take(rows);
    for (name, entry) in wanted {
        let row = match old.shift_remove(&name) {
            Some(row) if row.entry == entry => row,
            _ => Stamped {
                stamp: version,
                entry,
            },
        };
        rows.insert(name, row);
    }
    old.into_keys().collect()
}

fn add_note(next: &mut ConfigHead, request: &EditRequest) {
    next.changes.push(ChangeNote {
        change_id: Arc::clone(&request.change_id),
        version: next.version,
        author: Arc::clone(&request.author),
        message: Arc::clone(&request.message),
        at: request.at,
    });
    trim(&mut next.changes);
}

fn trim<T>(notes: &mut Vec<T>) {
    let surplus = notes.len().saturating_sub(HISTORY_LIMIT);
    notes.drain(..surplus);
}
