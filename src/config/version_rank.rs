//! Order of configuration versions, which a store that comes back from an older copy does not turn back.

use crate::macros::key_type;

/// Bits of a version for each part of its rank, from the highest part on. The sign bit of metrics stays free.
const GENERATION_BITS: u32 = 10;
const INDEX_BITS: u32 = 38;
const EDITIONS_BITS: u32 = 9;
const MOVES_BITS: u32 = 6;
/// Bits below the index.
const LEAD_BITS: u32 = EDITIONS_BITS + MOVES_BITS;

key_type! {
    /// What a version consists of, in the order in which versions are compared.
    ///
    /// Versions without a generation are plain indices, as in stores that state none.
    #[derive(Default)]
    pub struct VersionRank {
        /// Generation of the store. A store that comes back from an older copy gives its indices out again in the next one.
        pub generation: u64,
        /// Index of the latest change in that generation.
        pub index: u64,
        /// By how many editions the tables are newer than those that the store had at this index.
        pub lost_editions: u64,
        /// By how many stamps the moves are further than those that the store had at this index.
        pub lost_moves: u64,
    }
}

impl VersionRank {
    /// Returns the rank of a version.
    pub fn of(version: u64) -> Self {
        let generation = version >> (INDEX_BITS + LEAD_BITS);
        if generation == 0 {
            return Self {
                index: version,
                ..Self::default()
            };
        }
        Self {
            generation,
            index: (version >> LEAD_BITS) & max_of(INDEX_BITS),
            lost_editions: (version >> MOVES_BITS) & max_of(EDITIONS_BITS),
            lost_moves: version & max_of(MOVES_BITS),
        }
    }

    /// Returns the version with this rank. Parts that are too large count as the largest possible ones.
    pub fn version(self) -> u64 {
        if self.generation == 0 {
            return self.index;
        }
        let parts = [
            (self.generation, GENERATION_BITS),
            (self.index, INDEX_BITS),
            (self.lost_editions, EDITIONS_BITS),
            (self.lost_moves, MOVES_BITS),
        ];
        parts.into_iter().fold(0, |version, (part, bits)| {
            (version << bits) | part.min(max_of(bits))
        })
    }

    /// Returns the version of an index of the store.
    pub fn version_at(generation: u64, index: u64) -> u64 {
        let rank = Self {
            generation,
            index,
            ..Self::default()
        };
        rank.version()
    }

    /// Returns whether the version has parts that the store had lost.
    pub fn has_lost_parts(self) -> bool {
        self.lost_editions + self.lost_moves > 0
    }
}

fn max_of(bits: u32) -> u64 {
    (1 << bits) - 1
}
