//! When a table counts as the newest one: only then may a request be refused for what the table lacks.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::{ANY_VERSION, ConfigHead, MovePolicy, PoolEntry, PoolShare, RouteEntry, Stamped},
        daemon::{CONFIRMATION_TTL_MS, TableFreshness},
        member::{
            MemberEffect, MemberRecord, MemberState, MemberStatus, ProbeKind, ProbeMessage, TargetRecord,
            TargetStatus,
        },
        spread::SpreadState,
    },
    std::net::SocketAddr,
};

const NOW: TimePoint = TimePoint(1_000_000);

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

/// An acknowledgement that waited in the socket while the daemon was suspended must not confirm the present.
#[test]
fn acknowledgement_confirms_the_time_at_which_its_probe_was_sent() {
    let mut members = MemberState::new(record(0), 1, NOW);
    members.receive(address(1), message(1, ProbeKind::Notice), NOW);
    let mut seen = vec![("nothing sent", members.confirmed_at())];
    let seq = ping_of(&members.tick(NOW.after_ms(1)));
    members.receive(
        address(1),
        message(1, ProbeKind::Ack { seq }),
        NOW.after_ms(9_000),
    );
    seen.push(("acknowledged 9 s later", members.confirmed_at()));
    members.receive(
        address(1),
        message(1, ProbeKind::Ack { seq }),
        NOW.after_ms(9_500),
    );
    seen.push(("acknowledged once more", members.confirmed_at()));
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

fn ping_of(effects: &[MemberEffect]) -> u64 {
    let pings = effects.iter().filter_map(|effect| match effect {
        MemberEffect::Send { message, .. } => match message.kind {
            ProbeKind::Ping { seq } => Some(seq),
            _ => None,
        },
        _ => None,
    });
    pings.max().expect("a probe is due")
}
