//! The head value: the accepted configuration as the platform's store keeps it.

use {
    super::tables::{ConfigTables, MovePolicy, PoolEntry, RouteEntry, TableKind},
    crate::{
        clock::TimePoint,
        codec::{self, CodecError},
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

/// The largest head value that is written, in bytes. The store holds 1 MiB and its JSON form adds a third.
pub const MAX_HEAD_BYTES: usize = 720 * 1024;
/// How many change notes, closed moves and tombstones the head keeps.
pub const KEPT_NOTES: usize = 64;

value_type! {
    /// An entry with the configuration version that last changed it.
    pub struct Stamped<T> {
        /// Version that last changed the entry.
        pub stamp: u64,
        /// The entry.
        pub entry: T,
    }
}

value_type! {
    /// Marks an entry that was removed.
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
    /// Who changed the configuration and why.
    pub struct ChangeNote {
        /// Identity of the change, chosen by the writer; makes a repeated write harmless.
        pub change_id: Arc<str>,
        /// Version that the change made.
        pub version: u64,
        /// Who made it.
        pub author: Arc<str>,
        /// Why.
        pub message: Arc<str>,
        /// When.
        pub at: TimePoint,
    }
}

key_type! {
    /// How a move ended.
    pub enum MoveVerdict {
        /// All traffic is on the new version.
        Done,
        /// The evidence spoke against the new version; traffic is back on the old one.
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
        /// Version that served before.
        pub from: Arc<str>,
        /// Version that is to serve.
        pub to: Arc<str>,
        /// When the move was opened.
        pub opened_at: TimePoint,
        /// When it must be finished.
        pub finish_by: TimePoint,
        /// How it is judged.
        pub policy: MovePolicy,
    }
}

value_type! {
    /// A move that has ended.
    pub struct ClosedMove {
        /// Pool that was moved.
        pub pool: Arc<str>,
        /// The order as it stood.
        pub order: MoveOrder,
        /// How it ended.
        pub verdict: MoveVerdict,
        /// Why, with route and figures.
        pub reason: Arc<str>,
        /// When it ended.
        pub at: TimePoint,
    }
}

key_type! {
    /// Limits on what callers send; where one is missing, the daemon's settings hold.
    #[derive(Default)]
    pub struct TrafficLimits {
        /// Largest request head, in bytes.
        pub head_bytes: Option<u64>,
        /// Largest request body, in bytes.
        pub body_bytes: Option<u64>,
    }
}

value_type! {
    /// The accepted configuration.
    #[derive(Default)]
    pub struct ConfigHead {
        /// Version, one higher with each accepted change; 0 before the first.
        pub version: u64,
        /// Routes by name.
        pub routes: IndexMap<Arc<str>, Stamped<RouteEntry>>,
        /// Pools by name.
        pub pools: IndexMap<Arc<str>, Stamped<PoolEntry>>,
        /// Limits on what callers send.
        #[serde(default)]
        pub limits: TrafficLimits,
        /// Entries removed in the recent past, oldest first.
        pub tombstones: Vec<Tombstone>,
        /// Deltas to versions below this one can't be made, as older tombstones are gone.
        pub delta_floor: u64,
        /// Open moves by pool.
        pub moves: IndexMap<Arc<str>, MoveOrder>,
        /// Moves that ended, oldest first.
        pub closed: Vec<ClosedMove>,
        /// Recent changes, oldest first.
        pub changes: Vec<ChangeNote>,
        /// Digest of everything above.
        pub digest: u64,
    }
}

/// A head value that must not be used.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The bytes are not a head value.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The digest does not match the content.
    #[error("digest of version {version} does not match its content; read the value again")]
    Digest {
        /// Version that the value claims.
        version: u64,
    },
    /// The value is over [`MAX_HEAD_BYTES`].
    #[error(
        "the configuration takes {bytes} bytes of {MAX_HEAD_BYTES} allowed; remove unused routes or pools"
    )]
    TooLarge {
        /// Size of the encoded value.
        bytes: usize,
    },
}

impl ConfigHead {
    /// Returns the tables without stamps.
    pub fn tables(&self) -> ConfigTables {
        ConfigTables {
            routes: self
                .routes
                .iter()
                .map(|(name, row)| (Arc::clone(name), row.entry.clone()))
                .collect(),
            pools: self
                .pools
                .iter()
                .map(|(name, row)| (Arc::clone(name), row.entry.clone()))
                .collect(),
        }
    }

    /// Returns the note of the change with this id, if it is among the recent ones.
    pub fn find_change(&self, change_id: &str) -> Option<&ChangeNote> {
        self.changes.iter().find(|note| &*note.change_id == change_id)
    }

    /// Computes the digest of the content, independent of the stored one and of the order of entries.
    pub fn compute_digest(&self) -> Result<u64, CodecError> {
        let mut content = self.clone();
        content.digest = 0;
        content.routes.sort_keys();
        content.pools.sort_keys();
        content.moves.sort_keys();
        Ok(xxh3_64(&codec::encode(&content)?))
    }

    /// Sets the digest and returns the encoded value; refuses one that is too large for the store.
    pub fn seal(mut self) -> Result<(Self, Vec<u8>), HeadError> {
        self.digest = self.compute_digest()?;
        let bytes = codec::encode(&self)?;
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge { bytes: bytes.len() });
        }
        Ok((self, bytes))
    }

    /// Decodes a head value and checks its digest.
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
