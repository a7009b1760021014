//! The head: the accepted configuration as a single value of the platform's store.

use {
    super::{
        organisation::OrganisationEntry,
        tables::{ConfigTables, MovePolicy, PoolEntry, RouteEntry, TableKind},
        version_rank::VersionRank,
    },
    crate::{
        clock::TimePoint,
        codec::{self, CodecError},
        evacuation::EvacuationOrders,
        macros::{key_type, value_type},
    },
    indexmap::IndexMap,
    std::{
        fmt::{Display, Formatter},
        sync::Arc,
    },
    thiserror::Error,
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum size of an encoded head that is written to the store, in bytes. The store accepts 1 MiB per value, and base64
/// in its JSON form adds a third.
pub const MAX_HEAD_BYTES: usize = 720 * 1024;
/// Maximum number of change notes in a head, and likewise of closed moves and of tombstones.
pub const HISTORY_LIMIT: usize = 64;
/// Identity of a note of an edition, before its number.
const EDITION_PREFIX: &str = "edition-";

value_type! {
    /// A table entry with the configuration version that last changed it.
    pub struct Stamped<T> {
        /// Version that last changed the entry.
        pub stamp: u64,
        /// The entry.
        pub entry: T,
    }
}

key_type! {
    /// Stamp of a pool whose moves are recorded one after the other.
    pub enum MoveStamp {
        /// Nothing is recorded.
        Unrecorded,
        /// So many moves have been opened, of which the last one has ended, or the first one was not opened yet.
        Ended(u64),
        /// So many moves have been opened, of which the last one is open.
        Open(u64),
        /// The record does not tell.
        Unknown,
    }
}

impl MoveStamp {
    /// Returns what a stamp stands for.
    pub fn of(stamp: u64) -> Self {
        match stamp {
            0 => Self::Unrecorded,
            u64::MAX => Self::Unknown,
            odd if odd % 2 == 1 => Self::Ended(odd / 2),
            even => Self::Open(even / 2),
        }
    }

    /// Returns the stamp: a higher one for a later state.
    pub fn stamp(self) -> u64 {
        match self {
            Self::Unrecorded => 0,
            Self::Ended(count) => count.saturating_mul(2).saturating_add(1),
            Self::Open(count) => count.saturating_mul(2),
            Self::Unknown => u64::MAX,
        }
    }

    /// Returns whether a state of `stored` is from before the move that this state has as ended.
    fn is_lost_in(self, stored: Self) -> bool {
        let is_ended = matches!(self, Self::Ended(_));
        is_ended && stored != Self::Unknown && stored.stamp() < self.stamp()
    }
}

value_type! {
    /// Marks a removed entry, so that deltas can carry the removal.
    pub struct Tombstone {
        /// Table that held the entry.
        pub kind: TableKind,
        /// Name of the entry.
        pub name: Arc<str>,
        /// Version that removed it.
        pub stamp: u64,
    }
}

value_type! {
    /// Record of an accepted change: author, time and reason.
    pub struct ChangeNote {
        /// Identity of the change, chosen by the writer; a repeated write is recognised by it and not applied again.
        pub change_id: Arc<str>,
        /// Version that the change produced.
        pub version: u64,
        /// Who requested the change.
        pub author: Arc<str>,
        /// Reason for the change.
        pub message: Arc<str>,
        /// When the change was requested.
        pub at: TimePoint,
    }
}

impl ChangeNote {
    /// Returns the note of tables that were written whole, as an edition with a number of its own. Its time is unknown.
    pub fn of_edition(edition: u64, version: u64) -> Self {
        Self {
            change_id: format!("{EDITION_PREFIX}{edition}").into(),
            version,
            author: "operators".into(),
            message: "".into(),
            at: TimePoint::default(),
        }
    }

    /// Returns the number of the edition, if the note is of one.
    fn edition(&self) -> Option<u64> {
        self.change_id.strip_prefix(EDITION_PREFIX)?.parse().ok()
    }
}

key_type! {
    /// How a move ended.
    pub enum MoveVerdict {
        /// All traffic is on the new version.
        Done,
        /// The new version was found faulty; traffic is back on the old version.
        TakenBack,
        /// An operator ended the move; traffic is back on the old version.
        Cancelled,
    }
}

impl Display for MoveVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::TakenBack => "taken back",
            Self::Cancelled => "cancelled",
        })
    }
}

value_type! {
    /// An open move of a pool from one target version to another.
    pub struct MoveOrder {
        /// Identity: the configuration version that opened the move.
        pub id: u64,
        /// Version that the pool moves away from.
        pub from: Arc<str>,
        /// Version that the pool moves to.
        pub to: Arc<str>,
        /// When the move was opened.
        pub opened_at: TimePoint,
        /// Deadline of the move.
        pub finish_by: TimePoint,
        /// Which goal comes first: meeting the deadline or stopping a bad version early.
        pub policy: MovePolicy,
    }
}

value_type! {
    /// A move that has ended.
    pub struct ClosedMove {
        /// Name of the pool.
        pub pool: Arc<str>,
        /// The order when the move ended.
        pub order: MoveOrder,
        /// How the move ended.
        pub verdict: MoveVerdict,
        /// Reason for the verdict, with route and figures.
        pub reason: Arc<str>,
        /// When the move ended.
        pub at: TimePoint,
    }
}

key_type! {
    /// Limits on requests and connections from callers; where one is missing, the daemon's own limit applies.
    #[derive(Default)]
    pub struct TrafficLimits {
        /// Largest request head, in bytes.
        pub head_bytes: Option<u64>,
        /// Largest request body, in bytes.
        pub body_bytes: Option<u64>,
        /// Time from the first byte of a request to the end of its head, in milliseconds.
        pub head_timeout_ms: Option<u64>,
        /// Time for which a connection may be idle, in milliseconds.
        pub idle_timeout_ms: Option<u64>,
    }
}

value_type! {
    /// The accepted configuration.
    #[derive(Default)]
    pub struct ConfigHead {
        /// Version, incremented by each accepted change; 0 before the first.
        pub version: u64,
        /// Routes by name.
        pub routes: IndexMap<Arc<str>, Stamped<RouteEntry>>,
        /// Pools by name.
        pub pools: IndexMap<Arc<str>, Stamped<PoolEntry>>,
        /// Limits on requests from callers.
        #[serde(default)]
        pub limits: TrafficLimits,
        /// Recently removed entries, oldest first.
        pub tombstones: Vec<Tombstone>,
        /// Lowest base version of deltas to this head; tombstones that earlier versions need have been dropped.
        pub delta_floor: u64,
        /// Open moves by pool.
        pub moves: IndexMap<Arc<str>, MoveOrder>,
        /// Recently ended moves, oldest first.
        pub closed: Vec<ClosedMove>,
        /// Recent changes, oldest first.
        pub changes: Vec<ChangeNote>,
        /// Digest of everything else.
        pub digest: u64,
        /// What not every head has. Last and left out if empty: a head without it keeps its encoding and its digest.
        #[serde(default, rename = "is_behind", skip_serializing_if = "HeadTail::is_empty")]
        pub tail: HeadTail,
    }
}

value_type! {
    /// What not every head or delta has. The encoding between daemons tells fields by their order, so this is one field.
    #[derive(Default)]
    #[serde(from = "TailForm", into = "TailForm")]
    pub struct HeadTail {
        /// Whether newer tables are accepted that can't be used, so that these lack their routes.
        pub is_behind: bool,
        /// Organisations by name; in a delta, those that are new or changed.
        pub organisations: IndexMap<Arc<str>, Stamped<OrganisationEntry>>,
        /// Evacuated data centres.
        pub evacuations: EvacuationOrders,
    }
}

impl HeadTail {
    pub(super) fn is_empty(&self) -> bool {
        !self.is_behind && self.organisations.is_empty() && self.evacuations.is_empty()
    }
}

/// Encoding of a tail. Earlier builds know the first form only.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
enum TailForm {
    Behind(bool),
    Whole(
        bool,
        IndexMap<Arc<str>, Stamped<OrganisationEntry>>,
        EvacuationOrders,
    ),
}

impl From<TailForm> for HeadTail {
    fn from(form: TailForm) -> Self {
        match form {
            TailForm::Behind(is_behind) => Self {
                is_behind,
                ..Self::default()
            },
            TailForm::Whole(is_behind, organisations, evacuations) => Self {
                is_behind,
                organisations,
                evacuations,
            },
        }
    }
}

impl From<HeadTail> for TailForm {
    fn from(tail: HeadTail) -> Self {
        if tail.organisations.is_empty() && tail.evacuations.is_empty() {
            Self::Behind(tail.is_behind)
        } else {
            Self::Whole(tail.is_behind, tail.organisations, tail.evacuations)
        }
    }
}

/// Returns the entries without stamps.
fn entries<T: Clone>(rows: &IndexMap<Arc<str>, Stamped<T>>) -> IndexMap<Arc<str>, T> {
    rows.iter()
        .map(|(name, row)| (Arc::clone(name), row.entry.clone()))
        .collect()
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
pub(super) fn is_false(value: &bool) -> bool {
    !value
}

/// A head that can't be read or written.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The head can't be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The digest does not match the content.
    #[error("digest of version {version} does not match its content; read the value again")]
    Digest {
        /// Version stated in the value.
        version: u64,
    },
    /// The encoded head is larger than [`MAX_HEAD_BYTES`].
    #[error(
        "the configuration is {bytes} bytes, over the limit of {MAX_HEAD_BYTES}; remove unused routes or pools"
    )]
    TooLarge {
        /// Size of the encoded head, in bytes.
        bytes: usize,
    },
}

impl ConfigHead {
    /// Returns the tables without stamps.
    pub fn tables(&self) -> ConfigTables {
        ConfigTables {
            routes: entries(&self.routes),
            pools: entries(&self.pools),
            organisations: entries(&self.tail.organisations),
        }
    }

    /// Returns the number that the operators gave these tables, which rises with each edition of them; 0 if they gave none.
    pub fn edition(&self) -> u64 {
        let latest = self.changes.last();
        latest.and_then(ChangeNote::edition).unwrap_or_default()
    }

    /// Returns the note of a change by its identity, if it is among the recent changes.
    pub fn find_change(&self, change_id: &str) -> Option<&ChangeNote> {
        self.changes.iter().find(|note| &*note.change_id == change_id)
    }

    /// Computes the digest of the content; the stored digest and the order of entries don't affect it.
    pub fn compute_digest(&self) -> Result<u64, CodecError> {
        let mut content = self.clone();
        content.digest = 0;
        content.routes.sort_keys();
        content.pools.sort_keys();
        content.moves.sort_keys();
        content.tail.evacuations.sort();
        content.tail.organisations.sort_keys();
        Ok(xxh3_64(&codec::encode(&content)?))
    }

    /// Returns this head, read from a store that came back from an older copy, with the parts in which `known` is newer:
    /// tables of a later edition, and versions of pools after moves that have ended. The result has a version of its own,
    /// which leads by how much was lost.
    pub fn with_lost_parts_of(mut self, known: &Self) -> Result<Self, HeadError> {
        let rank = VersionRank::of(self.version);
        if rank.generation == 0 {
            return Ok(self);
        }
        let lost_editions = self.restore_tables(known);
        let lost_moves = self.restore_moves(known);
        if (lost_editions, lost_moves) == (0, 0) {
            return Ok(self);
        }
        let restored = VersionRank {
            lost_editions: rank.lost_editions.saturating_add(lost_editions),
            lost_moves: rank.lost_moves.saturating_add(lost_moves),
            ..rank
        };
        self.version = restored.version();
        self.delta_floor = self.version;
        self.changes = vec![ChangeNote::of_edition(self.edition(), self.version)];
        self.with_digest()
    }

    /// Takes the tables of `known` if they are of a later edition, but not the state of the moves. Returns by how many editions.
    fn restore_tables(&mut self, known: &Self) -> u64 {
        let lost = known.edition().saturating_sub(self.edition());
        if self.edition() == 0 || lost == 0 {
            return 0;
        }
        self.changes.clone_from(&known.changes);
        self.limits = known.limits;
        self.routes.clone_from(&known.routes);
        self.tail.organisations.clone_from(&known.tail.organisations);
        let stored_pools = std::mem::replace(&mut self.pools, known.pools.clone());
        for (name, row) in &mut self.pools {
            let stored = stored_pools.get(name);
            row.entry.finish_by = stored.and_then(|stored| stored.entry.finish_by);
            if let Some(stored) = stored {
                row.stamp = stored.stamp;
                row.entry.version = Arc::clone(&stored.entry.version);
            }
        }
        let pools = &self.pools;
        self.moves.retain(|pool, _| pools.contains_key(pool));
        lost
    }

    /// Takes the versions of pools of which `known` has a later end of a move. Returns by how many stamps.
    fn restore_moves(&mut self, known: &Self) -> u64 {
        let mut lost = 0;
        for (name, row) in &mut self.pools {
            let Some(known) = known.pools.get(name) else {
                continue;
            };
            if MoveStamp::of(known.stamp).is_lost_in(MoveStamp::of(row.stamp)) {
                lost = u64::saturating_add(lost, known.stamp - row.stamp);
                row.stamp = known.stamp;
                row.entry.version = Arc::clone(&known.entry.version);
                row.entry.finish_by = None;
                self.moves.shift_remove(name);
            }
        }
        lost
    }

    /// Returns the head with its digest set.
    pub fn with_digest(mut self) -> Result<Self, HeadError> {
        self.digest = self.compute_digest()?;
        Ok(self)
    }

    /// Sets the digest and returns the head with its encoding for the store. Fails if that is too large for the store.
    pub fn seal(self) -> Result<(Self, Vec<u8>), HeadError> {
        let head = self.with_digest()?;
        let bytes = codec::encode(&head)?;
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge { bytes: bytes.len() });
        }
        Ok((head, bytes))
    }

    /// Decodes a head and checks its digest.
    pub fn open(bytes: &[u8]) -> Result<Self, HeadError> {
        let head: Self = codec::decode(bytes)?;
        head.check_digest()?;
        Ok(head)
    }

    /// Checks the digest against the content.
    pub fn check_digest(&self) -> Result<(), HeadError> {
        if self.compute_digest()? == self.digest {
            return Ok(());
        }
        Err(HeadError::Digest {
            version: self.version,
        })
    }
}
