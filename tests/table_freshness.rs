//! When a table counts as the newest one: only then may a request be refused for what the table lacks.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::{ANY_VERSION, ConfigHead, MovePolicy, PoolEntry, PoolShare, RouteEntry, Stamped},
        daemon::{StoreReading, TableFreshness, TableStanding},
        member::{
            CONFIRMATION_TTL_MS, KnownVersion, MemberEffect, MemberRecord, MemberState, MemberStatus,
            ProbeKind, ProbeMessage, TargetRecord, TargetStatus,
        },
        spread::SpreadState,
    },
    std::{hint, net::SocketAddr, sync::Barrier, thread, time::Duration},
};

const NOW: TimePoint = TimePoint(1_000_000);
/// Number of rounds of the race.
const ROUNDS: usize = 50_000;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        name: format!("d{number}").into(),
        incarnation: 1,
        status: MemberStatus::Alive,
        control: address(number),
        gate: address(number + 100),
        operators: address(number + 200),
        region: "r".into(),
        data_centre: "z".into(),
        target: TargetRecord {
            id: "t".into(),
            born: 0,
            service: "stock".into(),
            version: "v1".into(),
            slots: 4,
            status: TargetStatus::Serving,
        },
        applied: 0,
    }
}

/// Returns a sealed head; with `is_dangling` it breaks a rule, as its route names no pool of the table.
fn head(version: u64, is_dangling: bool) -> ConfigHead {
    let mut head = ConfigHead {
        version,
        ..ConfigHead::default()
    };
    let route = RouteEntry {
        pools: PoolShare::whole(if is_dangling { "absent" } else { "desk" }),
        ..RouteEntry::default()
    };
    let pool = PoolEntry {
        service: "desk".into(),
        version: ANY_VERSION.into(),
        finish_by: None,
        policy: MovePolicy::Cautious,
        cold_calls_per_s: None,
    };
    head.routes.insert(
        "any".into(),
        Stamped {
            stamp: version,
            entry: route,
        },
    );
    head.pools.insert(
        "desk".into(),
        Stamped {
            stamp: version,
            entry: pool,
        },
    );
    head.with_digest().unwrap()
}

/// A daemon that could not apply the newest version answered as if its older table were the accepted one.
#[test]
fn version_that_was_refused_or_is_on_its_way_counts_as_newer() {
    let mut spread = SpreadState::default();
    spread.offer_stored(head(5, false)).unwrap();
    let mut seen = vec![("applied", spread.version(), spread.newest_version())];
    spread.offer(head(7, true)).unwrap_err();
    seen.push(("refused", spread.version(), spread.newest_version()));
    spread.add_source(address(1), 9, NOW);
    seen.push(("reported by a peer", spread.version(), spread.newest_version()));
    spread.fail_pull(address(1));
    seen.push(("peer lost", spread.version(), spread.newest_version()));
    spread.offer(head(9, false)).unwrap();
    seen.push(("applied", spread.version(), spread.newest_version()));
    insta::assert_debug_snapshot!(seen);
}

/// A suspended or isolated daemon answered from a table of unknown age.
#[test]
fn table_counts_as_newest_only_while_its_confirmation_lasts() {
    let freshness = TableFreshness::default();
    let mut seen = vec![("before the first confirmation", freshness.is_newest(5, NOW))];
    freshness.publish(5, NOW, NOW.after_ms(CONFIRMATION_TTL_MS));
    seen.push(("confirmed", freshness.is_newest(5, NOW)));
    seen.push((
        "at its end",
        freshness.is_newest(5, NOW.after_ms(CONFIRMATION_TTL_MS)),
    ));
    seen.push((
        "after a suspension",
        freshness.is_newest(5, NOW.after_ms(CONFIRMATION_TTL_MS + 1)),
    ));
    freshness.publish(6, NOW, NOW.after_ms(CONFIRMATION_TTL_MS));
    seen.push(("with a newer version known", freshness.is_newest(5, NOW)));
    insta::assert_debug_snapshot!(seen);
}

/// An answer that waited in the socket while the daemon was suspended must not confirm the present, and one without an
/// inquiry must not confirm anything.
#[test]
fn answer_confirms_a_time_before_its_inquiry_was_sent() {
    let mut members = MemberState::new(record(0), 1, NOW);
    members.receive(address(1), message(1, ProbeKind::Notice), NOW);
    let mut seen = vec![("nothing sent", members.confirmed_at())];
    members.receive(address(1), confirmation(1), NOW);
    seen.push(("not asked", members.confirmed_at()));
    let effects = members.tick(NOW.after_ms(1));
    let seq = inquiry_of(&effects);
    members.receive(address(1), message(1, ProbeKind::Ack { seq }), NOW.after_ms(2));
    seen.push(("acknowledged", members.confirmed_at()));
    members.receive(address(1), confirmation(seq), NOW.after_ms(2_000));
    seen.push(("answered 2 s later with an age of 300 ms", members.confirmed_at()));
    members.receive(address(1), confirmation(seq), NOW.after_ms(2_500));
    seen.push(("answered once more", members.confirmed_at()));
    insta::assert_debug_snapshot!(seen);
}

/// Guards against an answer to an inquiry of the process before a restart that confirms an old table: it was on its way
/// while the new process, at the same address, sent inquiries of its own.
#[test]
fn answer_to_the_process_before_a_restart_confirms_nothing() {
    let started = |incarnation: u64, now: TimePoint| {
        let own = MemberRecord {
            incarnation,
            ..record(0)
        };
        let mut members = MemberState::new(own, incarnation, now);
        members.receive(address(1), message(1, ProbeKind::Notice), now);
        let seqs: Vec<u64> = (0..3)
            .map(|second| inquiry_of(&members.tick(now.after_ms(second * 1_000))))
            .collect();
        (members, seqs)
    };
    let (_, seqs) = started(NOW.0, NOW);
    let restarted_at = NOW.after_ms(9_000);
    let (mut members, _) = started(restarted_at.0, restarted_at);
    for seq in seqs {
        members.receive(address(1), confirmation(seq), restarted_at.after_ms(2_100));
    }
    assert_eq!(members.confirmed_at(), TimePoint::default());
}

/// A watch whose answer waited in the socket of a suspended daemon must not confirm the present.
#[test]
fn reading_confirms_no_later_than_the_store_answered() {
    let wait = Duration::from_secs(2);
    let confirmed_ms = |has_changed, took_ms| {
        StoreReading::confirmed_at(NOW, wait, has_changed, NOW.after_ms(took_ms)).ms_since(NOW)
    };
    let seen = [
        ("a change after 1.9 s", confirmed_ms(true, 1_900)),
        ("a change, read after a suspension", confirmed_ms(true, 9_000)),
        ("no change, cut after 1 s", confirmed_ms(false, 1_000)),
        ("no change after 2 s", confirmed_ms(false, 2_005)),
        ("no change, read after a suspension", confirmed_ms(false, 9_000)),
    ];
    insta::assert_debug_snapshot!(seen);
}

fn message(from: u16, kind: ProbeKind) -> ProbeMessage {
    ProbeMessage {
        from: format!("d{from}").into(),
        applied: 0,
        kind,
        updates: vec![record(from)],
    }
}

/// Returns a confirmation that is 300 ms old.
fn confirmation(seq: u64) -> ProbeMessage {
    let known = KnownVersion {
        version: 5,
        age_ms: 300,
        reader: address(1),
    };
    message(1, ProbeKind::Confirmation { seq, known })
}

fn inquiry_of(effects: &[MemberEffect]) -> u64 {
    let inquiries = effects.iter().filter_map(|effect| match effect {
        MemberEffect::Send { message, .. } => match message.kind {
            ProbeKind::Inquiry { seq } => Some(seq),
            _ => None,
        },
        _ => None,
    });
    inquiries.max().expect("an inquiry is due")
}

/// A daemon that was suspended for less than a second answered 503 until the next read of the store, seconds later.
#[test]
fn answer_to_an_inquiry_of_after_a_suspension_is_enough() {
    let mut members = MemberState::new(record(0), 1, NOW);
    members.receive(address(1), message(1, ProbeKind::Notice), NOW);
    let mut seen = vec![("started", members.has_heard_since_resume())];
    let before = inquiry_of(&members.tick(NOW));
    members.receive(address(1), confirmation(before), NOW.after_ms(1));
    seen.push(("answered", members.has_heard_since_resume()));
    let pending = inquiry_of(&members.tick(NOW.after_ms(1_000)));
    members.resume(NOW.after_ms(1_700));
    seen.push(("resumed", members.has_heard_since_resume()));
    members.receive(address(1), confirmation(pending), NOW.after_ms(1_700));
    seen.push(("answered an earlier inquiry", members.has_heard_since_resume()));
    let after = inquiry_of(&members.tick(NOW.after_ms(1_701)));
    members.receive(address(1), confirmation(after), NOW.after_ms(1_702));
    seen.push(("answered one of after that", members.has_heard_since_resume()));
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a 404 from the old table just as a confirmation arrives that names a newer version.
#[test]
fn confirmation_never_appears_before_the_newer_version_that_came_with_it() {
    let freshness = TableFreshness::default();
    let barrier = Barrier::new(2);
    let count = thread::scope(|scope| {
        let reader = scope.spawn(|| {
            let rounds = 0..ROUNDS;
            rounds
                .filter(|_| {
                    barrier.wait();
                    let mut is_newest = false;
                    while freshness.newest_version() == 5 {
                        is_newest |= freshness.is_newest(5, NOW.after_ms(1));
                    }
                    barrier.wait();
                    is_newest
                })
                .count()
        });
        for round in 0..ROUNDS {
            // Version 5 is in force, and its confirmation has expired.
            freshness.publish(5, NOW, NOW);
            barrier.wait();
            // The reader wakes up later.
            (0..round % 2_000).for_each(|_| hint::spin_loop());
            freshness.publish(6, NOW, NOW.after_ms(CONFIRMATION_TTL_MS));
            barrier.wait();
        }
        reader.join().unwrap()
    });
    assert_eq!(count, 0, "version 5 counted as the newest");
}

/// Guards against logs and metrics in which a newer version that is known looks like a table that nothing confirms.
#[test]
fn standing_tells_a_newer_version_from_a_missing_confirmation() {
    let freshness = TableFreshness::default();
    freshness.publish(5, NOW, NOW.after_ms(CONFIRMATION_TTL_MS));
    let late = NOW.after_ms(CONFIRMATION_TTL_MS + 1);
    let standings =
        [(5, NOW), (4, NOW), (5, late), (4, late)].map(|(version, at)| freshness.standing(version, at));
    assert_eq!(
        standings,
        [
            TableStanding::Current,
            TableStanding::NewerKnown,
            TableStanding::Unconfirmed,
            TableStanding::NewerKnown,
        ]
    );
}
