//! Heads that keep what their store has lost.

use fuchsiashore::config::{
    ChangeNote, ConfigHead, MoveOrder, MovePolicy, MoveStamp, PoolEntry, Stamped, VersionRank,
};

fn head(generation: u64, edition: u64, stamp: MoveStamp, version: &str) -> ConfigHead {
    let number = VersionRank::version_at(generation, 10);
    let mut head = ConfigHead {
        version: number,
        delta_floor: number,
        changes: vec![ChangeNote::of_edition(edition, number)],
        ..ConfigHead::default()
    };
    let entry = PoolEntry {
        service: "stock".into(),
        version: version.into(),
        finish_by: None,
        policy: MovePolicy::Cautious,
        cold_calls_per_s: None,
    };
    let stamp = stamp.stamp();
    head.pools.insert("stock".into(), Stamped { stamp, entry });
    head
}

/// Guards against a daemon that ends, or a rank that falls, as a document or record has the largest number there is.
#[test]
fn largest_numbers_are_restored() {
    let known = head(1, u64::MAX, MoveStamp::Ended(u64::MAX / 4), "v9");
    let mut stored = head(2, 1, MoveStamp::Open(1), "v1");
    for _ in 0..2 {
        let before = stored.version;
        stored = stored.with_lost_parts_of(&known).unwrap();
        assert!(stored.version >= before);
    }
    assert_eq!(stored.edition(), u64::MAX);
    assert_eq!(&*stored.pools["stock"].entry.version, "v9");
    assert_eq!(MoveStamp::Ended(u64::MAX).stamp(), MoveStamp::Unknown.stamp());
}

/// Guards against a move that is undone, and one that can't begin, after the store has lost the end of the move before it.
#[test]
fn only_the_end_of_a_move_is_kept() {
    let order = MoveOrder {
        id: 7,
        from: "v1".into(),
        to: "v2".into(),
        opened_at: fuchsiashore::clock::TimePoint(1),
        finish_by: fuchsiashore::clock::TimePoint(9),
        policy: MovePolicy::Cautious,
    };
    let cases = [
        (MoveStamp::Ended(1), MoveStamp::Open(1), true),
        (MoveStamp::Ended(1), MoveStamp::Unrecorded, true),
        (MoveStamp::Ended(1), MoveStamp::Ended(1), false),
        (MoveStamp::Ended(1), MoveStamp::Open(2), false),
        (MoveStamp::Open(1), MoveStamp::Ended(0), false),
        (MoveStamp::Ended(1), MoveStamp::Unknown, false),
        (MoveStamp::Unknown, MoveStamp::Open(1), false),
    ];
    for (known_stamp, stored_stamp, is_kept) in cases {
        let known = head(1, 5, known_stamp, "v2");
        let mut stored = head(2, 5, stored_stamp, "v1");
        stored.moves.insert("stock".into(), order.clone());
        let result = stored.clone().with_lost_parts_of(&known).unwrap();
        assert_eq!(
            result.moves.is_empty(),
            is_kept,
            "{known_stamp:?} {stored_stamp:?}"
        );
        assert_eq!(result.version > stored.version, is_kept);
    }
}
