//! Digests of the member records per bucket: two daemons compare them and exchange only the records
//! of the buckets that differ.

use {
    super::record::MemberRecord,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of buckets that the records are hashed into.
pub const BUCKETS: usize = 64;

/// Returns the bucket of a daemon name.
pub fn bucket_of(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % BUCKETS
}

/// Computes the digest of each bucket: the XOR of its records' digests, so their order does not matter.
pub fn bucket_digests<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u64> {
    let mut digests = vec![0; BUCKETS];
    for record in records {
        digests[bucket_of(&record.name)] ^= record_digest(record);
    }
    digests
}

/// Hashes the name, incarnation and status of a record. The other fields do not change without the incarnation, except
/// the applied version, which datagrams and replies carry separately.
fn record_digest(record: &MemberRecord) -> u64 {
    let seed = record
        .incarnation
        .wrapping_mul(4)
        .wrapping_add(record.status as u64);
    xxh3_64_with_seed(record.name.as_bytes(), seed)
}
