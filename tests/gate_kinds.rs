//! Admission at the gate where a target runs short calls beside long ones.

use fuchsiashore::{
    call::LoadReport,
    clock::TimePoint,
    gate::{DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, RunTimes, TicketId},
};

const NOW: TimePoint = TimePoint(1_000_000);
/// Number of calls that the target runs at once.
const SLOTS: u32 = 6;
/// Run time of a long call and time within which its answer is useful, in milliseconds.
const LONG: (f64, u64) = (150.0, 400);
/// The same of a short call.
const SHORT: (f64, u64) = (15.0, 60);

fn arrival(route: &str, useful_ms: u64, priority: u8, now: TimePoint) -> GateArrival {
    GateArrival {
        route: route.into(),
        priority,
        useful_until: now.after_ms(useful_ms),
        deadline: now.after_ms(useful_ms * 3),
        start_by: TimePoint::FAR_FUTURE,
        is_nested: false,
    }
}

fn long_call(now: TimePoint) -> GateArrival {
    arrival("long", LONG.1, 1, now)
}

fn short_call(now: TimePoint) -> GateArrival {
    arrival("short", SHORT.1, 1, now)
}

fn ticket(admission: GateAdmission) -> TicketId {
    match admission {
        GateAdmission::Run(ticket) | GateAdmission::Wait(ticket) => ticket,
        GateAdmission::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Returns an open gate that has run long and short calls, and the time.
fn trained_gate() -> (GateState, TimePoint) {
    let mut gate = GateState::new(SLOTS, 24);
    gate.reopen(SLOTS, NOW);
    for (arrival, ran_ms) in [(long_call(NOW), LONG.0), (short_call(NOW), SHORT.0)] {
        for _ in 0..20 {
            let started = ticket(gate.arrive(arrival.clone(), NOW).0);
            gate.finish(started, Some(ran_ms), NOW);
        }
    }
    (gate, NOW)
}

/// Starts long calls in all slots, one every 25 ms, and returns the time at which the first is about to end.
fn fill_with_long_calls(gate: &mut GateState, now: TimePoint) -> (Vec<TicketId>, TimePoint) {
    let mut now = now;
    let mut running = Vec::new();
    for _ in 0..SLOTS {
        running.push(ticket(gate.arrive(long_call(now), now).0));
        now = now.after_ms(25);
    }
    (running, now.before_ms(10))
}

/// Guards against refused short calls: with one mean for all kinds, a short call counted with the run time of the long
/// ones beside it and was refused as soon as all slots were in use.
#[test]
fn short_call_is_admitted_beside_long_ones() {
    let (mut gate, now) = trained_gate();
    let (running, now) = fill_with_long_calls(&mut gate, now);
    let waiting = ticket(gate.arrive(short_call(now), now).0);
    let now = now.after_ms(10);
    let outcomes = gate.finish(running[0], Some(LONG.0), now);
    assert_eq!(outcomes, [DequeueOutcome::Run(waiting)]);
}

#[test]
fn short_call_that_would_be_late_is_refused_at_once() {
    let (mut gate, now) = trained_gate();
    // All long calls started just now, so that no slot is free in time.
    let started: Vec<TicketId> = (0..SLOTS)
        .map(|_| ticket(gate.arrive(long_call(now), now).0))
        .collect();
    assert_eq!(started.len(), SLOTS as usize);
    let (admission, _) = gate.arrive(short_call(now), now);
    assert_eq!(admission, GateAdmission::Refuse(GateRefusal::Full));
}

#[test]
fn wait_is_the_work_ahead_and_not_the_number_of_calls() {
    let (mut gate, now) = trained_gate();
    let (_, now) = fill_with_long_calls(&mut gate, now);
    // Behind five short calls of a more urgent rank, a long one is still answered in time; behind as many long ones as
    // fill the slots twice it isn't.
    for _ in 0..5 {
        ticket(gate.arrive(arrival("short", 400, 0, now), now).0);
    }
    let (admission, _) = gate.arrive(long_call(now), now);
    assert!(matches!(admission, GateAdmission::Wait(_)), "{admission:?}");
    for _ in 0..12 {
        gate.arrive(arrival("long", 2_000, 0, now), now);
    }
    let (admission, _) = gate.arrive(long_call(now), now);
    assert_eq!(admission, GateAdmission::Refuse(GateRefusal::Full));
}

/// Guards against late calls that displace others: a call that its own run time makes late comes last.
#[test]
fn call_that_its_own_run_makes_late_comes_last() {
    let (mut gate, now) = trained_gate();
    let (running, now) = fill_with_long_calls(&mut gate, now);
    let long = ticket(gate.arrive(arrival("long", 200, 1, now), now).0);
    let now = now.after_ms(60);
    // Both ends are useful for 140 ms more: enough for a short run, but for a long one only at its median.
    let short = ticket(gate.arrive(arrival("short", 145, 1, now), now).0);
    let now = now.after_ms(60);
    let outcomes = gate.finish(running[0], Some(LONG.0), now);
    assert_eq!(outcomes, [DequeueOutcome::Run(short)], "{long:?} would be late");
}

#[test]
fn reported_load_tells_the_run_time_of_the_calls_route() {
    let (mut gate, now) = trained_gate();
    let (_, now) = fill_with_long_calls(&mut gate, now);
    let reports = ["short", "long", "unknown"].map(|route| {
        let report = gate.load(route, 1, now);
        (report.running, report.run_ms.round(), report.route_run_ms.round())
    });
    assert_eq!(reports, [(6, 150.0, 15.0), (6, 150.0, 150.0), (6, 150.0, 0.0)]);
}

#[test]
fn unknown_route_is_expected_to_take_a_part_of_its_useful_time() {
    let mut run_times = RunTimes::default();
    let expected =
        |run_times: &RunTimes, route: &str, useful_ms| run_times.expected_ms(route, useful_ms).round() as u64;
    assert_eq!(expected(&run_times, "short", 60), 20);
    assert_eq!(expected(&run_times, "long", 6_000), 200);
    run_times.record(&"long".into(), 150.0);
    assert_eq!(expected(&run_times, "short", 60), 20);
    assert_eq!(expected(&run_times, "other", 6_000), 150);
}

#[test]
fn one_run_of_a_long_tail_does_not_stand_for_the_next_ones() {
    let mut run_times = RunTimes::default();
    let route = "long".into();
    (0..20).for_each(|_| run_times.record(&route, 100.0));
    run_times.record(&route, 5_000.0);
    assert!(run_times.expected_ms("long", 1_000) < 135.0);
    // A slow phase lasts, and is followed.
    (0..20).for_each(|_| run_times.record(&route, 500.0));
    assert!(run_times.expected_ms("long", 1_000) > 400.0);
}

#[test]
fn run_times_are_kept_for_a_bounded_number_of_routes() {
    let mut run_times = RunTimes::default();
    run_times.record(&"kept".into(), 10.0);
    for number in 0..1_000 {
        run_times.record(&format!("route-{number}").into(), 100.0);
        run_times.record(&"kept".into(), 10.0);
    }
    let known = (0..1_000).filter(|number| run_times.of_route(&format!("route-{number}")).is_some());
    assert_eq!(known.count(), 63);
    assert_eq!(run_times.of_route("kept"), Some(10.0));
}

/// The wait that a gate reports is the one by which it admits a call of that rank.
#[test]
fn reported_wait_is_that_of_the_rank() {
    let (mut gate, now) = trained_gate();
    assert_eq!(gate.load("long", 1, now).wait_ms, Some(0.0));
    let (_, now) = fill_with_long_calls(&mut gate, now);
    // The first two of the six count with a quarter of a run, 37.5 ms, and the third one ends in 60 ms.
    for _ in 0..2 {
        gate.arrive(arrival("long", 1_000, 1, now), now);
    }
    let waits = [0, 1].map(|priority| gate.load("short", priority, now).wait_ms.map(f64::round));
    assert_eq!(waits, [Some(38.0), Some(60.0)]);
    let reported: LoadReport = gate.load("short", 1, now).to_string().parse().unwrap();
    assert_eq!(reported.wait_ms, Some(60.0));
    let earlier: LoadReport = "6,150,0,2,0,0,15,100".parse().unwrap();
    assert_eq!(earlier.wait_ms, None);
}
