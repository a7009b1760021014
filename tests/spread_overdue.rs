//! What a daemon tells of a version that it has heard of and does not have.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::ConfigHead,
        spread::{OverdueVersion, SpreadState},
    },
    std::net::SocketAddr,
};

const START: TimePoint = TimePoint(1_000_000);

fn head(version: u64) -> ConfigHead {
    let head = ConfigHead {
        version,
        ..ConfigHead::default()
    };
    head.with_digest().unwrap()
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_660))
}

/// Guards against a daemon that stays on an old version without a line that tells whether peers offer the newer one.
#[test]
fn overdue_version_is_told_once_with_what_is_under_way() {
    let mut state = SpreadState::default();
    state.offer_stored(head(5)).unwrap();
    state.add_source(peer(1), 7, START);
    state.add_source(peer(2), 7, START);
    state.read_due(START);
    assert!(state.next_pull(START).is_some());
    assert_eq!(state.take_overdue(START.after_ms(1_999)), None);
    let overdue = OverdueVersion {
        version: 7,
        heard_at: START,
        sources: 2,
        pulling: 1,
    };
    assert_eq!(state.take_overdue(START.after_ms(2_000)), Some(overdue));
    assert_eq!(state.take_overdue(START.after_ms(2_050)), None);
}

/// Guards against a delay of 0 in the events and the metrics of a change that took seconds to come.
#[test]
fn version_in_force_tells_since_when_it_was_awaited() {
    let mut state = SpreadState::default();
    state.offer_stored(head(5)).unwrap();
    assert_eq!(state.heard_at(), None);
    state.add_announced(7);
    state.read_due(START);
    state.read_due(START.after_ms(50));
    state.offer(head(7)).unwrap();
    assert_eq!(state.heard_at(), Some(START));
    state.offer(head(8)).unwrap();
    assert_eq!(state.heard_at(), None);
}

/// Guards against reads of the store that share a slow link with a reply which is arriving, and against a whole fleet that
/// reads it at once for a version that no daemon can use.
#[test]
fn store_is_left_alone_while_a_peer_sends_the_version_or_none_has_it() {
    let mut state = SpreadState::default();
    state.offer_stored(head(5)).unwrap();
    let due_after_ms =
        |state: &mut SpreadState, at_ms| state.read_due(START.after_ms(at_ms)).at.ms_since(START);
    state.add_announced(7);
    let mut seen = vec![("no peer has it", due_after_ms(&mut state, 0))];
    state.add_source(peer(1), 7, START);
    seen.push(("a peer has it", due_after_ms(&mut state, 100)));
    assert!(state.next_pull(START.after_ms(100)).is_some());
    seen.push(("asked", due_after_ms(&mut state, 200)));
    state.begin_reply(peer(1));
    seen.push(("its reply has begun", due_after_ms(&mut state, 300)));
    state.fail_pull(peer(1));
    seen.push(("its reply broke off", due_after_ms(&mut state, 900)));
    state.finish_read(START.after_ms(1_000));
    let is_due = state.read_due(START.after_ms(1_100)).at != TimePoint::FAR_FUTURE;
    seen.push(("the store was read: 1 if due again", u64::from(is_due)));
    insta::assert_debug_snapshot!(seen);
}
