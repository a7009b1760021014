//! Deltas between configurations without stamps per entry, as an adapter builds them from the operators' document.

use {
    fuchsiashore::{
        clock::TimePoint,
        codec,
        config::{
            ANY_VERSION, CallQuota, ConfigHead, KeyDigest, MovePolicy, OrganisationEntry, PoolEntry,
            PoolShare, RouteEntry, Stamped,
        },
        spread::{ConfigReply, ConfigRequest, SpreadState},
    },
    std::{fmt::Write, ops::Range},
};

/// Control address of the peer.
const PEER: ([u8; 4], u16) = ([127, 0, 0, 1], 7_000);
const NOW: TimePoint = TimePoint(1_000_000);

fn unstamped<T>(entry: T) -> Stamped<T> {
    Stamped { stamp: 0, entry }
}

/// Returns a version with the routes of a range of numbers, all with one timeout.
fn head(version: u64, routes: Range<u64>, timeout_ms: u64) -> ConfigHead {
    let mut head = ConfigHead {
        version,
        delta_floor: version,
        ..ConfigHead::default()
    };
    for number in routes {
        let route = RouteEntry {
            host: Some("shop.example".into()),
            path: format!("/r{number}/").into(),
            pools: PoolShare::whole("desk"),
            timeout_ms,
            ..RouteEntry::default()
        };
        head.routes.insert(format!("r{number}").into(), unstamped(route));
    }
    let pool = PoolEntry {
        service: "desk".into(),
        version: ANY_VERSION.into(),
        finish_by: None,
        policy: MovePolicy::Cautious,
        cold_calls_per_s: None,
    };
    head.pools.insert("desk".into(), unstamped(pool));
    head.with_digest().unwrap()
}

fn joined(heads: impl IntoIterator<Item = ConfigHead>) -> SpreadState {
    let mut state = SpreadState::default();
    assert!(state.join().is_none());
    for head in heads {
        state.offer(head).unwrap();
    }
    state
}

fn request(state: &SpreadState, whole: bool) -> ConfigRequest {
    ConfigRequest {
        version: state.version(),
        digest: state.head().map_or(0, |head| head.digest),
        whole,
    }
}

/// Pulls until the daemon has the peer's version, and returns a line for each reply.
fn pull(daemon: &mut SpreadState, peer: &SpreadState) -> String {
    let mut lines = String::new();
    for whole in [false, true] {
        let base = daemon.version();
        let reply = peer.answer_pull(&request(daemon, whole));
        let content = match &reply {
            ConfigReply::Nothing => return lines,
            ConfigReply::Delta(delta) => {
                format!(
                    "delta of {} routes, {} removed",
                    delta.routes.len(),
                    delta.tombstones.len()
                )
            }
            ConfigReply::Whole(head) => format!("all {} routes", head.routes.len()),
        };
        let is_applied = daemon
            .finish_pull(PEER.into(), reply)
            .is_some_and(|offer| offer.is_ok());
        writeln!(
            lines,
            "{base} to {}: {content}, applied {is_applied}",
            peer.version()
        )
        .unwrap();
    }
    lines
}

/// Whole configurations that were sent to every daemon after each change took seconds on slow links, and requests on new
/// routes were refused for so long.
#[test]
fn change_of_one_route_is_sent_as_a_delta_without_stamps() {
    let heads = [head(5, 0..3_000, 800), head(6, 0..3_001, 800)];
    let peer = joined(heads.clone());
    let mut daemon = joined([heads[0].clone()]);
    let reply = peer.answer_pull(&request(&daemon, false));
    let bytes = codec::encode(&reply).unwrap().len();
    assert!(bytes < 1_000, "{bytes} bytes");
    insta::assert_snapshot!("one_route", pull(&mut daemon, &peer));
    assert_eq!(daemon.head(), peer.head());
}

/// Deltas over several versions, with removals, or to a version that the peer never had.
#[test]
fn delta_covers_every_version_since_the_base() {
    let heads = [
        head(5, 0..10, 800),
        head(7, 2..12, 800),
        head(9, 2..14, 800),
        head(12, 3..14, 800),
    ];
    let peer = joined(heads.clone());
    let bases = [
        heads[0].clone(),
        heads[1].clone(),
        heads[2].clone(),
        head(8, 2..13, 800),
    ];
    let mut lines = String::new();
    for base in bases {
        let mut daemon = joined([base]);
        lines += &pull(&mut daemon, &peer);
        assert_eq!(daemon.head(), peer.head());
    }
    insta::assert_snapshot!("several_versions", lines);
}

/// A delta must not be applied if it lacks a change that only the requester's version had; the whole follows.
#[test]
fn whole_configuration_follows_a_delta_that_does_not_fit() {
    let peer = joined([head(5, 0..10, 800), head(7, 0..10, 800)]);
    let mut daemon = joined([head(6, 0..10, 900)]);
    let lines = pull(&mut daemon, &peer);
    assert_eq!(daemon.head(), peer.head());
    let mut old = joined([head(3, 0..10, 800)]);
    insta::assert_snapshot!("unfit_delta", lines + &pull(&mut old, &peer));
}

/// A delta that arrives after another version came into force must not lead to a pull of the whole configuration.
#[test]
fn outdated_delta_is_followed_by_another_delta() {
    let peer = joined([head(5, 0..10, 800), head(6, 0..11, 800), head(7, 0..12, 800)]);
    let mut daemon = joined([head(5, 0..10, 800)]);
    let reply = peer.answer_pull(&request(&daemon, false));
    daemon.offer(head(6, 0..11, 800)).unwrap();
    let refusal = daemon.finish_pull(PEER.into(), reply).unwrap().unwrap_err();
    assert!(!refusal.is_fault(), "{refusal}");
    let next = daemon.next_pull(NOW).unwrap();
    assert!(!next.request.whole);
    insta::assert_snapshot!("outdated_delta", pull(&mut daemon, &peer));
}

/// The history must stay small: with a change of every route a peer that is behind gets the whole configuration.
#[test]
fn history_is_bounded() {
    let heads = [
        head(5, 0..3_000, 800),
        head(6, 0..3_000, 900),
        head(7, 0..3_000, 1_000),
        head(8, 0..3_000, 1_100),
    ];
    let peer = joined(heads.clone());
    let mut lines = String::new();
    for base in &heads[..3] {
        lines += &pull(&mut joined([base.clone()]), &peer);
    }
    insta::assert_snapshot!("bounded_history", lines);
}

/// Guards against an encoding that tells fields by their order and takes one that is left out for the next one.
#[test]
fn organisations_reach_peers_whether_or_not_the_head_is_behind() {
    let organisation = |key: &str, rate_per_s| {
        let entry = OrganisationEntry {
            keys: vec![KeyDigest::of(key.as_bytes())],
            priority: 1,
            quota: Some(CallQuota {
                rate_per_s,
                burst: 20.0,
            }),
        };
        unstamped(entry)
    };
    let mut base = head(5, 0..3, 900);
    base.tail
        .organisations
        .insert("north".into(), organisation("a", 10.0));
    base.tail
        .organisations
        .insert("west".into(), organisation("b", 10.0));
    for is_behind in [false, true] {
        let mut next = head(6, 0..3, 900);
        next.tail.is_behind = is_behind;
        next.tail
            .organisations
            .insert("north".into(), organisation("a", 5.0));
        next.tail
            .organisations
            .insert("south".into(), organisation("c", 5.5));
        let [base, next] = [&base, &next].map(|head| head.clone().with_digest().unwrap());
        let sender = joined([base.clone(), next.clone()]);
        let receiver = joined([base]);
        for whole in [false, true] {
            let reply = sender.answer_pull(&request(&receiver, whole));
            let sent = codec::encode_compact(&reply).unwrap();
            let received: ConfigReply = codec::decode(&sent).unwrap();
            let ConfigReply::Delta(delta) = received else {
                let ConfigReply::Whole(received) = received else {
                    panic!("no configuration in {received:?}");
                };
                assert_eq!(*received, next);
                continue;
            };
            assert_eq!(delta.apply(receiver.head().unwrap()).unwrap(), next);
        }
    }
}

/// Guards against heads of earlier deployments that get another digest, which daemons of earlier builds would refuse.
#[test]
fn head_without_organisations_keeps_its_encoding() {
    let plain = codec::encode(&head(5, 0..1, 900)).unwrap();
    let text = String::from_utf8_lossy(&plain);
    assert!(!text.contains("organisations") && !text.contains("is_behind") && !text.contains("keyless"));
    let mut behind = head(5, 0..1, 900);
    behind.tail.is_behind = true;
    let encoded = codec::encode(&behind).unwrap();
    // The name of the field and true, as the earlier build wrote them.
    assert!(encoded.ends_with(b"\xa9is_behind\xc3"));
}
