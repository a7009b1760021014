//! Order of versions over generations of the store.

use {fuchsiashore::config::VersionRank, proptest::prelude::*};

fn rank() -> impl Strategy<Value = VersionRank> {
    let generation = prop_oneof![Just(1), 1..4_u64, Just(1_023)];
    let index = prop_oneof![0..6_u64, 0..1_u64 << 38];
    (generation, index, 0..512_u64, 0..64_u64).prop_map(|(generation, index, lost_editions, lost_moves)| {
        VersionRank {
            generation,
            index,
            lost_editions,
            lost_moves,
        }
    })
}

proptest! {
    #[test]
    fn versions_are_ordered_as_their_ranks(one in rank(), other in rank()) {
        prop_assert_eq!(VersionRank::of(one.version()), one);
        prop_assert_eq!(one.version().cmp(&other.version()), one.cmp(&other));
    }

    /// Guards against versions of a store without generations that another build of the daemon reads as others.
    #[test]
    fn versions_without_a_generation_are_the_plain_index(index in 0..1_u64 << 53) {
        prop_assert_eq!(VersionRank::version_at(0, index), index);
        prop_assert_eq!(VersionRank::of(index).index, index);
        let first = VersionRank::version_at(1, 0);
        prop_assert!(first > index);
    }
}

/// Guards against a version that falls, or a gauge that turns negative, as a part of it is too large.
#[test]
fn parts_that_are_too_large_count_as_the_largest() {
    let largest = VersionRank {
        generation: u64::MAX,
        index: u64::MAX,
        lost_editions: u64::MAX,
        lost_moves: u64::MAX,
    };
    assert_eq!(largest.version(), i64::MAX as u64);
}
