//! Joining: when a daemon asks the addresses that it knows.

use {
    fuchsiashore::{clock::TimePoint, member::JoinProgress},
    std::net::SocketAddr,
};

const NOW: TimePoint = TimePoint(1_000_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A daemon that knew no address at its first try.
fn alone() -> JoinProgress {
    let mut join = JoinProgress::new(Vec::new(), NOW);
    join.next_at = NOW.after_ms(700);
    join
}

#[test]
fn seeds_are_asked_as_soon_as_they_are_known() {
    let mut join = alone();
    let heard_at = NOW.after_ms(10);
    join.hear_seeds(vec![address(1), address(2)], heard_at);
    assert_eq!(join.next_at, heard_at);
    assert_eq!(join.contacts.len(), 2);
}

#[test]
fn known_seeds_wait_for_the_next_try() {
    let mut join = alone();
    join.hear_seeds(vec![address(1)], NOW);
    join.next_at = NOW.after_ms(700);
    join.hear_seeds(vec![address(1)], NOW.after_ms(10));
    assert_eq!(join.next_at, NOW.after_ms(700));
    assert_eq!(join.contacts.len(), 1);
}
