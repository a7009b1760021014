//! Runs that call: which calls a target makes itself, and their place at a gate.

use {
    fuchsiashore::{
        clock::TimePoint,
        gate::{DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, NestedRoutes, TicketId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
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

/// Plays the calls at a gate: of callers beside four services and of the runs of `calling` of them. Of callers' calls,
/// `idle_share` come while nothing runs beside them. Returns the shares of the calls taken for nested ones, of nested and of
/// callers' calls, after the first 200.
fn recognised_shares(calling: usize, idle_share: f64, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (nested, callers): (Arc<str>, Arc<str>) = ("nested".into(), "callers".into());
    let services: [Arc<str>; 4] = ["a".into(), "b".into(), "c".into(), "d".into()];
    let mut routes = NestedRoutes::default();
    let mut counts = [(0.0, 0.0); 2];
    for number in 0..5_000 {
        let is_nested = rng.random::<f64>() < 0.5;
        let (route, service, came_idle) = if is_nested {
            (&nested, rng.random_range(0..calling), false)
        } else {
            (&callers, rng.random_range(0..4), rng.random::<f64>() < idle_share)
        };
        let is_taken = routes.record_call(route, &services[service], came_idle);
        if number >= 200 {
            let (taken, all) = &mut counts[usize::from(!is_nested)];
            *taken += f64::from(u8::from(is_taken));
            *all += 1.0;
        }
    }
    let [of_nested, of_callers] = counts.map(|(taken, all)| taken / all);
    (of_nested, of_callers)
}

/// Answers overload, under which targets are never idle: calls are told apart by where they come from.
#[test]
fn calls_that_runs_make_are_told_from_those_of_callers() {
    for (calling, idle_share) in [(1, 0.0), (2, 0.0), (1, 0.05), (2, 0.3)] {
        for seed in 0..5 {
            let (of_nested, of_callers) = recognised_shares(calling, idle_share, seed);
            println!("{calling} calling, seed {seed}: {of_nested:.3} {of_callers:.3}");
            assert!(of_nested > 0.95, "{calling} {seed}: {of_nested}");
            assert!(of_callers < 0.01, "{calling} {seed}: {of_callers}");
        }
    }
}

/// Where callers come only from beside some services, what comes while nothing runs there is theirs.
#[test]
fn call_that_comes_while_nothing_runs_is_a_callers() {
    let [near, far, office]: [Arc<str>; 3] = ["near".into(), "far".into(), "office".into()];
    let mut routes = NestedRoutes::default();
    let mut taken = 0;
    for number in 0..2_000 {
        routes.record_call(
            &"callers".into(),
            if number % 2 == 0 { &near } else { &far },
            false,
        );
        taken += u32::from(routes.record_call(&office, &near, number % 100 == 0));
    }
    assert_eq!(taken, 0);
}

/// Answers a load in which a called service has room for a part of the runs that need it: the others aren't begun.
#[test]
fn runs_that_would_be_lost_are_not_begun() {
    let (mut gate, running) = full_gate(24);
    let mut now = NOW.after_ms(100);
    for ticket in running {
        gate.finish(ticket, Some(100.0), now);
    }
    let mut begun = [0; 2];
    for (phase, has_room) in [(0, false), (1, true)] {
        for number in 0..400 {
            now = now.after_ms(100);
            if let (GateAdmission::Run(ticket), _) = gate.arrive(call("long", 1, 500, now), now) {
                begun[phase] += 1;
                if !has_room && number % 2 == 0 {
                    gate.record_refused_call(now);
                    gate.fail(ticket);
                    gate.finish(ticket, None, now.after_ms(50));
                } else {
                    gate.finish(ticket, Some(100.0), now.after_ms(100));
                }
            }
            // Calls of the target that others make run in any case.
            let nested = ticket(gate.arrive(nested_call(now), now).0);
            gate.finish(nested, Some(24.0), now);
        }
    }
    println!("begun {begun:?} of 400, share {}", gate.run_share("long"));
    assert!((40..160).contains(&begun[0]), "{begun:?}");
    assert!(begun[1] > 300, "{begun:?}");
}

#[test]
fn runs_that_fail_by_themselves_are_begun() {
    let (mut gate, running) = full_gate(24);
    for ticket in running {
        gate.fail(ticket);
        gate.finish(ticket, None, NOW.after_ms(50));
    }
    assert!((gate.run_share("long") - 1.0).abs() < f64::EPSILON);
}

/// Answers VMs shared with others: while work takes two and a half times as long, the gate refuses what would be late, and
/// a moment later it doesn't.
#[test]
fn forecast_follows_the_slowness_of_the_moment() {
    let (mut gate, _) = full_gate(24);
    let tight = |now| call("long", 1, 250, now);
    gate.record_slowdown(1.0, NOW);
    let (admission, _) = gate.clone().arrive(tight(NOW), NOW);
    assert!(matches!(admission, GateAdmission::Wait(_)), "{admission:?}");
    gate.record_slowdown(2.5, NOW);
    let (admission, _) = gate.clone().arrive(tight(NOW), NOW);
    assert_eq!(admission, GateAdmission::Refuse(GateRefusal::Full));
    let later = NOW.after_ms(600);
    let (admission, _) = gate.arrive(tight(later), later);
    assert!(matches!(admission, GateAdmission::Wait(_)), "{admission:?}");
}
