//! Runs that call: which calls a target makes itself, and their place at a gate.

use {
    fuchsiashore::{
        clock::TimePoint,
        gate::{
            DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, NestedRoutes, NestedVerdict,
            TicketId,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp},
    std::sync::Arc,
};

const NOW: TimePoint = TimePoint(1_000_000);
const SLOTS: u32 = 6;

fn call(route: &str, priority: u8, useful_ms: u64, now: TimePoint) -> GateArrival {
    GateArrival {
        route: route.into(),
        priority,
        useful_until: now.after_ms(useful_ms),
        deadline: now.after_ms(useful_ms * 3),
        start_by: TimePoint::FAR_FUTURE,
        is_nested: false,
    }
}

fn nested_call(now: TimePoint) -> GateArrival {
    GateArrival {
        is_nested: true,
        ..call("nested", 1, 100, now)
    }
}

fn ticket(admission: GateAdmission) -> TicketId {
    match admission {
        GateAdmission::Run(ticket) | GateAdmission::Wait(ticket) => ticket,
        GateAdmission::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Returns a gate that has run calls of 100 ms and nested ones of 24 ms, with such a call in each slot since just now.
fn full_gate(queue_limit: usize) -> (GateState, Vec<TicketId>) {
    let mut gate = GateState::new(SLOTS, queue_limit);
    gate.reopen(SLOTS, NOW);
    for (arrival, ran_ms) in [(call("long", 1, 500, NOW), 100.0), (nested_call(NOW), 24.0)] {
        for _ in 0..20 {
            let started = ticket(gate.arrive(arrival.clone(), NOW).0);
            gate.finish(started, Some(ran_ms), NOW);
        }
    }
    let running = (0..SLOTS).map(|_| ticket(gate.arrive(call("long", 1, 500, NOW), NOW).0));
    let running = running.collect();
    (gate, running)
}

/// Answers a load in which runs of another service wait for short calls here: refused by the time for which their answers
/// are useful to themselves, each of them cost a run that was in hand.
#[test]
fn nested_call_waits_for_a_slot_up_to_its_deadline() {
    let (mut gate, running) = full_gate(24);
    let unmarked = GateArrival {
        is_nested: false,
        ..nested_call(NOW)
    };
    let (refused, _) = gate.arrive(unmarked, NOW);
    assert_eq!(refused, GateAdmission::Refuse(GateRefusal::Full));
    let waiting = ticket(gate.arrive(nested_call(NOW), NOW).0);
    let outcomes = gate.finish(running[0], Some(100.0), NOW.after_ms(100));
    assert_eq!(outcomes, [DequeueOutcome::Run(waiting)]);
}

#[test]
fn nested_call_goes_before_queued_work_of_any_rank() {
    let (mut gate, running) = full_gate(24);
    let urgent = ticket(gate.arrive(call("long", 0, 500, NOW), NOW).0);
    let nested = ticket(gate.arrive(nested_call(NOW), NOW).0);
    let outcomes = [0, 1].map(|at| gate.finish(running[at], Some(100.0), NOW.after_ms(100)));
    assert_eq!(
        outcomes,
        [
            vec![DequeueOutcome::Run(nested)],
            vec![DequeueOutcome::Run(urgent)]
        ]
    );
}

#[test]
fn nested_call_takes_the_place_of_queued_work() {
    let (mut gate, _) = full_gate(1);
    let queued = ticket(gate.arrive(call("long", 0, 500, NOW), NOW).0);
    let (admission, evicted) = gate.arrive(nested_call(NOW), NOW);
    assert!(matches!(admission, GateAdmission::Wait(_)), "{admission:?}");
    assert_eq!(evicted, Some(DequeueOutcome::Refuse(queued, GateRefusal::Full)));
}

#[test]
fn nested_call_that_would_miss_its_deadline_is_refused_at_once() {
    let (mut gate, _) = full_gate(24);
    let hopeless = GateArrival {
        deadline: NOW.after_ms(90),
        ..nested_call(NOW)
    };
    let (admission, _) = gate.arrive(hopeless, NOW);
    assert_eq!(admission, GateAdmission::Refuse(GateRefusal::Full));
}

/// Plays a target of `starts_per_s` runs each of which makes two calls at once after 1 to `latest_ms` ms, beside callers
/// of two routes. Returns the shares of the calls taken for nested ones: of nested and of callers' calls, after the first
/// two seconds.
fn recognised_shares(starts_per_s: f64, latest_ms: f64, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gaps = Exp::new(starts_per_s / 1e3).unwrap();
    let callers_gaps = Exp::new(0.02).unwrap();
    let (nested, callers): (Arc<str>, [Arc<str>; 2]) = ("nested".into(), ["first".into(), "second".into()]);
    let mut events = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < 10_000.0 {
        at_ms += gaps.sample(&mut rng);
        events.push((at_ms as u64, None));
        let called_ms = at_ms + 1.0 + rng.random::<f64>() * (latest_ms - 1.0);
        events.extend([(called_ms as u64, Some(&nested)); 2]);
    }
    at_ms = 0.0;
    while at_ms < 10_000.0 {
        at_ms += callers_gaps.sample(&mut rng);
        events.push((at_ms as u64, Some(&callers[rng.random_range(0..2)])));
    }
    events.sort_by_key(|(ms, _)| *ms);
    let mut routes = NestedRoutes::default();
    let mut counts = [(0.0, 0.0); 2];
    for (ms, event) in events {
        let now = NOW.after_ms(ms);
        let Some(route) = event else {
            routes.record_start(now);
            continue;
        };
        let verdict = routes.record_call(route, 3, now);
        if ms >= 2_000 {
            let (taken, all) = &mut counts[usize::from(*route != nested)];
            *taken += f64::from(u8::from(verdict != NestedVerdict::Callers));
            *all += 1.0;
        }
    }
    let [of_nested, of_callers] = counts.map(|(taken, all)| taken / all);
    (of_nested, of_callers)
}

#[test]
fn calls_that_runs_make_are_told_from_those_of_callers() {
    for starts_per_s in [5.0, 20.0, 70.0] {
        for seed in 0..5 {
            let (of_nested, of_callers) = recognised_shares(starts_per_s, 6.0, seed);
            println!("{starts_per_s}/s, seed {seed}: {of_nested:.3} {of_callers:.3}");
            assert!(of_nested > 0.95, "{starts_per_s} {seed}: {of_nested}");
            assert!(of_callers < 0.01, "{starts_per_s} {seed}: {of_callers}");
        }
    }
}
