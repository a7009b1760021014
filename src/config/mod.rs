//! The configuration: the tables that operators edit, the stored head with its deltas, and the compiled form for
//! routing.

mod change;
mod compile;
mod delta;
mod diff;
mod head;
mod host;
mod organisation;
mod parse;
mod tables;
mod version_rank;

pub use {
    change::{AppliedEdit, EditError, EditRequest, HeadEdit, TableEdit, apply_edit},
    compile::{
        CompileError, CompiledOrganisation, CompiledPool, CompiledRoute, CompiledTable, RouteMatch,
        matches_version,
    },
    delta::{ChangedNames, DeltaError, HeadDelta},
    diff::{EntryChange, TableDiff, diff_tables},
    head::{
        ChangeNote, ClosedMove, ConfigHead, HeadError, HeadTail, MAX_HEAD_BYTES, MoveOrder, MoveStamp,
        MoveVerdict, Stamped, Tombstone, TrafficLimits,
    },
    organisation::{CallQuota, KeyDigest, MAX_QUOTA, NotADigest, OrganisationEntry},
    parse::{ParseFault, ParseFaults, parse_tables, render_tables},
    tables::{
        ANY_VERSION, ConfigTables, MAX_TIMEOUT_MS, MovePolicy, PoolEntry, PoolShare, RepeatRule, RouteEntry,
        TableFault, TableKind,
    },
    version_rank::VersionRank,
};
