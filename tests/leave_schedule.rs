//! Which calls a stopping daemon accepts, and how long they may wait.

use fuchsiashore::{
    clock::TimePoint,
    daemon::LeaveSchedule,
    gate::{DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState},
};

const NOW: TimePoint = TimePoint(1_000_000);

/// Returns the schedule of a daemon that stops at `NOW` with a drain limit of 6 s.
fn schedule() -> LeaveSchedule {
    LeaveSchedule {
        callers_leave_by: NOW.after_ms(2_200),
        exit_at: NOW.after_ms(5_850),
    }
}

/// Guards against calls that the exit cuts: each accepted one ends by its deadline, which must come first.
#[test]
fn call_is_accepted_only_if_it_ends_before_the_exit() {
    let admitted = [0, 2_199, 2_200, 2_750, 2_751, 4_000, 5_749, 5_751].map(|at_ms| {
        let now = NOW.after_ms(at_ms);
        [1, 1_000, 3_000].map(|timeout_ms| schedule().admits(now.after_ms(timeout_ms), now))
    });
    assert_eq!(
        admitted,
        [
            // Callers can't know yet that the daemon stops.
            [true, true, true],
            [true, true, true],
            [true, true, true],
            [true, true, true],
            [true, true, false],
            [true, true, false],
            [true, false, false],
            [false, false, false],
        ]
    );
}

/// Guards against calls that wait at a gate until the exit cuts them: each must have a slot, or be refused, early enough for
/// its refusal, or for its whole run if that is known.
#[test]
fn call_without_a_slot_is_refused_before_the_exit() {
    let start_by = [0, 500, 501, 2_000, 10_000].map(|run_ms| schedule().start_by(run_ms).ms_since(NOW));
    // 100 ms for the last answer, 150 ms for the refusal and at least 500 ms for a connection.
    assert_eq!(start_by, [5_100, 5_100, 5_099, 3_600, 0]);
    let mut gate = GateState::new(1, 8);
    gate.reopen(1, NOW);
    let arrival = GateArrival {
        route: "route".into(),
        priority: 1,
        useful_until: NOW.after_ms(60_000),
        deadline: NOW.after_ms(60_000),
        start_by: schedule().start_by(0),
        is_nested: false,
    };
    let (first, _) = gate.arrive(arrival.clone(), NOW);
    assert!(matches!(first, GateAdmission::Run(_)), "{first:?}");
    let (second, _) = gate.arrive(arrival.clone(), NOW);
    let GateAdmission::Wait(ticket) = second else {
        panic!("{second:?}");
    };
    assert_eq!(gate.tick(NOW.after_ms(5_099)), []);
    let refused = gate.tick(NOW.after_ms(5_100));
    assert_eq!(refused, [DequeueOutcome::Refuse(ticket, GateRefusal::Expired)]);
    let (late, _) = gate.arrive(arrival, NOW.after_ms(5_100));
    assert_eq!(late, GateAdmission::Refuse(GateRefusal::Expired));
}
