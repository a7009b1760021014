//! Decisions of a gate on large bodies. The load: uploads of 60 kB on average and 360 kB at most, 20 a second at each gate, over
//! links of 10 Mbit/s of VMs with 160 MiB; one body of 60 kB takes some 53 ms there.

use fuchsiashore::{
    clock::TimePoint,
    intake::{BodyOffer, IntakeAdmission, IntakeId, IntakeLimits, IntakeState, STALL_MS},
};

const BODY_BYTES: u64 = 60_000;
const NOW: TimePoint = TimePoint(1_000_000);

fn slow_link() -> IntakeState {
    IntakeState::new(IntakeLimits::new(Some(10.0), Some(160.0)))
}

fn offer(bytes: u64) -> BodyOffer {
    BodyOffer {
        bytes,
        priority: 1,
        useful_until: NOW.after_ms(800),
        run_ms: 100,
        slot_wait_ms: 0,
        start_by: NOW.after_ms(2_400),
    }
}

fn received(intake: &mut IntakeState, offer: BodyOffer) -> IntakeId {
    match intake.offer(offer, NOW) {
        IntakeAdmission::Receive(id) => id,
        other => panic!("{other:?} instead of a body"),
    }
}

fn waits(intake: &mut IntakeState, offer: BodyOffer) -> IntakeId {
    match intake.offer(offer, NOW) {
        IntakeAdmission::Wait(id) => id,
        other => panic!("{other:?} instead of a wait"),
    }
}

/// Guards against bodies that share a slow link until all of them are late.
#[test]
fn two_bodies_come_at_a_time_over_a_slow_link_and_more_over_a_fast_one() {
    let mut intake = slow_link();
    let first = received(&mut intake, offer(BODY_BYTES));
    received(&mut intake, offer(BODY_BYTES));
    let third = waits(&mut intake, offer(BODY_BYTES));
    let fourth = waits(&mut intake, offer(BODY_BYTES));
    intake.record_progress(first, BODY_BYTES - 1, NOW.after_ms(52));
    assert_eq!(intake.next_turns(NOW.after_ms(52)), []);
    intake.record_progress(first, 1, NOW.after_ms(53));
    assert_eq!(intake.next_turns(NOW.after_ms(53)), [third]);
    intake.remove(third);
    assert_eq!(intake.next_turns(NOW.after_ms(54)), [fourth]);

    let mut fast = IntakeState::new(IntakeLimits::new(Some(200.0), Some(512.0)));
    for _ in 0..20 {
        received(&mut fast, offer(BODY_BYTES));
    }
}

/// Guards against a body that crosses the link for a call that is refused afterwards.
#[test]
fn call_that_would_be_answered_late_is_refused_before_its_body_comes() {
    let mut intake = slow_link();
    let taken = (0..100).take_while(|_| intake.offer(offer(BODY_BYTES), NOW) != IntakeAdmission::Refuse);
    // The last of them comes after 700 ms and runs for 100.
    assert_eq!(taken.count(), 13);
    // A smaller one still fits, and a late one that nothing else has to wait for.
    assert!(matches!(
        intake.offer(offer(1_000), NOW),
        IntakeAdmission::Wait(_)
    ));
    received(&mut slow_link(), offer(900_000));
    // One that can't start in time does not, nor one that would wait for a slot until it is late.
    assert_eq!(slow_link().offer(offer(3_000_000), NOW), IntakeAdmission::Refuse);
    let without_slot = BodyOffer {
        slot_wait_ms: 701,
        ..offer(BODY_BYTES)
    };
    assert_eq!(slow_link().offer(without_slot, NOW), IntakeAdmission::Refuse);
}

/// Guards against a sender that stops in its body and keeps the link from others.
#[test]
fn body_that_stalls_holds_no_other_up() {
    let mut intake = slow_link();
    let stalled = received(&mut intake, offer(BODY_BYTES));
    let moving = received(&mut intake, offer(BODY_BYTES));
    let next = waits(&mut intake, offer(BODY_BYTES));
    let later = NOW.after_ms(STALL_MS);
    intake.record_progress(moving, 1, later);
    assert_eq!(intake.next_turns(later), [next]);
    // It counts again once it moves.
    intake.record_progress(stalled, 1, later);
    let waiting = waits(&mut intake, offer(BODY_BYTES));
    assert_eq!(intake.next_turns(later), []);
    intake.remove(stalled);
    intake.remove(moving);
    assert_eq!(intake.next_turns(later), [waiting]);
}

/// Guards against an upload that waits behind less urgent ones, and against one that is refused for them.
#[test]
fn more_urgent_bodies_come_first() {
    let mut intake = slow_link();
    let first = received(&mut intake, offer(BODY_BYTES));
    received(&mut intake, offer(BODY_BYTES));
    while let IntakeAdmission::Wait(_) = intake.offer(offer(BODY_BYTES), NOW) {}
    let urgent = BodyOffer {
        priority: 0,
        ..offer(BODY_BYTES)
    };
    let urgent = waits(&mut intake, urgent);
    intake.record_progress(first, BODY_BYTES, NOW);
    assert_eq!(intake.next_turns(NOW), [urgent]);
}

/// Guards against bodies that fill the memory: here and coming, they take a sixteenth of it.
#[test]
fn bodies_take_a_bounded_part_of_the_memory() {
    let mut intake = IntakeState::new(IntakeLimits::new(None, Some(160.0)));
    let room = 10 << 20;
    let mut held = Vec::new();
    for _ in 0..(room / 360_000) {
        let id = received(&mut intake, offer(360_000));
        intake.record_progress(id, 360_000, NOW);
        held.push(id);
    }
    let next = waits(&mut intake, offer(360_000));
    assert!(intake.held_bytes() <= room);
    assert_eq!(intake.next_turns(NOW), []);
    intake.remove(held[0]);
    assert_eq!(intake.next_turns(NOW), [next]);
}
