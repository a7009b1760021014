//! Order of configuration versions, which a store that comes back from an older copy does not turn back.

use crate::macros::key_type;

/// Bits of a version for [`VersionRank::lead`].
const LEAD_BITS: u32 = 11;
/// Bits of a version for [`VersionRank::index`], above those of the lead.
const INDEX_BITS: u32 = 36;
/// Bits of a version for [`VersionRank::generation`]; the sign bit of metrics stays free.
const GENERATION_BITS: u32 = 16;

key_type! {
    /// What a version consists of, in the order in which versions are compared.
    ///
    /// Versions without a generation are plain indices, as in stores that state none.
    pub struct VersionRank {
        /// Generation of the store. A store that comes back from an older copy gives its indices out again in the next one.
        pub generation: u64,
        /// Index of the latest change in that generation.
        pub index: u64,
        /// By how many editions the tables are newer than those that the store had at this index; 0 if they are the same.
        pub lead: u64,
    }
}

impl VersionRank {
    /// Returns the rank of a version.
    pub fn of(version: u64) -> Self {
        let generation = version >> (INDEX_BITS + LEAD_BITS);
        if generation == 0 {
            return Self {
                generation,
                index: version,
                lead: 0,
            };
        }
        Self {
            generation,
            index: (version >> LEAD_BITS) & max_of(INDEX_BITS),
            lead: version & max_of(LEAD_BITS),
        }
    }

    /// Returns the version with this rank. Parts that are too large count as the largest possible ones.
    pub fn version(self) -> u64 {
        if self.generation == 0 {
            return self.index;
        }
        let generation = self.generation.min(max_of(GENERATION_BITS));
        let index = self.index.min(max_of(INDEX_BITS));
        let lead = self.lead.min(max_of(LEAD_BITS));
        (generation << (INDEX_BITS + LEAD_BITS)) | (index << LEAD_BITS) | lead
    }

    /// Returns the version of an index of the store.
    pub fn version_at(generation: u64, index: u64) -> u64 {
        let rank = Self {
            generation,
            index,
            lead: 0,
        };
        rank.version()
    }
}

fn max_of(bits: u32) -> u64 {
    (1 << bits) - 1
}
