//! Time limits of a connection on which requests follow one another.

use {
    fuchsiashore::http::{CLIENT_TIMEOUTS, ConnectionPhase},
    std::{sync::Arc, task::Waker},
};

/// Guards against a connection that is closed as idle while a request is handled, because the body of the request before
/// was dropped meanwhile.
#[test]
fn end_of_an_earlier_exchange_does_not_end_the_present_one() {
    let phase = Arc::new(ConnectionPhase::new(Arc::new(|| CLIENT_TIMEOUTS)));
    let has_limit = || phase.deadline(Waker::noop()).is_some();
    assert!(has_limit());
    let first = phase.begin_exchange();
    let second = phase.begin_exchange();
    drop(first);
    assert!(!has_limit());
    drop(second);
    assert!(has_limit());
}
