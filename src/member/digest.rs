//! Digests of the records by bucket, so that two daemons exchange just what differs.

use {
    super::record::MemberRecord,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of buckets that records are spread over.
pub const BUCKETS: usize = 64;

/// Returns the bucket of a daemon name.
pub fn bucket_of(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % BUCKETS
}

/// Computes the digest of each bucket; the order of the records does not matter.
pub fn bucket_digests<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u64> {
    let mut digests = vec![0; BUCKETS];
    for record in records {
        digests[bucket_of(&record.name)] ^= digest_of(record);
    }
    digests
}

fn digest_of(record: &MemberRecord) -> u64 {
    let seed = record
        .incarnation
        .wrapping_mul(4)
        .wrapping_add(record.status as u64);
    xxh3_64_with_seed(record.name.as_bytes(), seed)
}
