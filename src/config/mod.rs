//! The configuration: the tables that operators edit, the stored head with its deltas, and the compiled form for
//! routing.

mod change;
mod compile;
mod delta;
mod diff;
mod head;
mod host;
mod parse;
mod tables;
mod version_rank;

pub use {
    change::{AppliedEdit, EditError, EditRequest, HeadEdit, TableEdit, apply_edit},
    compile::{CompileError, CompiledPool, CompiledRoute, CompiledTable, RouteMatch, matches_version},
    delta::{DeltaError, HeadDelta},
    diff::{EntryChange, TableDiff, diff_tables},
    head::{
        ChangeNote, ClosedMove, ConfigHead, HeadError, MAX_HEAD_BYTES, MoveOrder, MoveStamp, MoveVerdict,
        Stamped, Tombstone, TrafficLimits,
    },
    parse::{ParseFault, ParseFaults, parse_tables, render_tables},
    tables::{
        ANY_VERSION, ConfigTables, MAX_TIMEOUT_MS, MovePolicy, PoolEntry, PoolShare, RepeatRule, RouteEntry,
        TableFault, TableKind,
    },
    version_rank::VersionRank,
};
