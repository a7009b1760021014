//! When a departure is recorded in the store, and when it is acknowledged.

use fuchsiashore::{
    clock::TimePoint,
    member::{DepartedTargets, DepartureLog, DepartureStep, MAX_DEPARTURES, TargetDeparture},
};

const NOW: TimePoint = TimePoint(1_000_000);

fn departure(id: &str) -> TargetDeparture {
    TargetDeparture {
        id: id.into(),
        born: 1_000,
    }
}

/// Guards against a departure that is acknowledged before it is recorded, and against one that is never acknowledged as the
/// store is down.
#[test]
fn departure_is_acknowledged_once_recorded_or_when_its_target_can_wait_no_longer() {
    let mut log = DepartureLog::new(NOW);
    assert_eq!(log.tick(NOW), [DepartureStep::Read]);
    let gone = departure("i-0");
    log.add(gone.clone(), NOW);
    assert_eq!(log.tick(NOW), [DepartureStep::Record(gone.clone())]);
    let acknowledged = [0, 1_000, 2_499, 2_500].map(|ms| log.may_acknowledge("i-0", NOW.after_ms(ms)));
    assert_eq!(acknowledged, [false, false, false, true]);
    assert!(log.may_acknowledge("i-1", NOW), "another target waits for it");
    log.finish_record(&gone, true, NOW.after_ms(4));
    assert!(log.may_acknowledge("i-0", NOW.after_ms(4)));
    assert!(!log.is_unrecorded("i-0"));
}

/// Guards against a departure that is forgotten as one call to the store failed, and against calls without a pause.
#[test]
fn failed_calls_to_the_store_are_repeated_after_a_pause_until_one_succeeds() {
    let mut log = DepartureLog::new(NOW);
    let gone = departure("i-0");
    log.add(gone.clone(), NOW);
    let (mut now, mut read_after, mut recorded_after) = (NOW, Vec::new(), Vec::new());
    for _ in 0..160 {
        for step in log.tick(now) {
            match step {
                DepartureStep::Read => {
                    read_after.push(now.ms_since(NOW));
                    log.finish_read(false, now);
                }
                DepartureStep::Record(departure) => {
                    recorded_after.push(now.ms_since(NOW));
                    log.finish_record(&departure, false, now);
                }
            }
        }
        now = now.after_ms(50);
    }
    assert_eq!(recorded_after, [0, 300, 900, 2_100, 4_500, 6_900]);
    assert_eq!(read_after, recorded_after);
    assert!(!log.is_restored());
    assert!(log.is_unrecorded("i-0"));
    // A late answer to the record of an earlier departure does not count for the present one.
    log.add(departure("i-1"), now);
    log.finish_record(&gone, true, now);
    assert!(log.is_unrecorded("i-1"));
    log.finish_read(true, now);
    assert!(log.is_restored());
}

/// Guards against a departure that takes the place of another one before that is recorded.
#[test]
fn departures_of_several_targets_are_recorded_and_acknowledged_each_for_itself() {
    let mut log = DepartureLog::new(NOW);
    log.tick(NOW);
    let (first, second) = (departure("i-0"), departure("i-1"));
    log.add(first.clone(), NOW);
    log.add_unshared(second.clone(), NOW);
    let steps = [&first, &second].map(|one| DepartureStep::Record(one.clone()));
    assert_eq!(log.tick(NOW), steps);
    let much_later = NOW.after_ms(60_000);
    assert!(log.may_acknowledge("i-0", much_later));
    assert!(
        !log.may_acknowledge("i-1", much_later),
        "only the store would keep it"
    );
    log.finish_record(&second, true, NOW);
    assert!(log.may_acknowledge("i-1", NOW));
    assert!(log.is_unrecorded("i-0"));
}

/// Guards against an acknowledged departure that is forgotten for a later one, and against a list without a bound.
#[test]
fn departures_end_each_start_up_to_theirs_and_are_kept_up_to_a_number() {
    let mut departed = DepartedTargets::default();
    assert!(departed.add(&departure("i-0"), NOW));
    assert!(!departed.add(&departure("i-0"), NOW), "known");
    let starts = [999, 1_000, 1_001].map(|born| departed.has_departed("i-0", born));
    assert_eq!(starts, [true, true, false]);
    assert!(!departed.has_departed("i-1", 1));
    for number in 1..MAX_DEPARTURES {
        departed.add(&departure(&format!("i-{number}")), NOW);
    }
    assert!(departed.has_departed("i-0", 1_000));
    departed.add(&departure("i-last"), NOW);
    assert!(!departed.has_departed("i-0", 1_000));
    assert_eq!(departed.iter().count(), MAX_DEPARTURES);
}

/// Guards against a departure that a store has lost for good, and against writing back what no heartbeat can undo any more.
#[test]
fn latest_departures_are_recorded_again_once_and_without_a_further_acknowledgement() {
    let mut departed = DepartedTargets::default();
    departed.add(&departure("i-old"), NOW);
    let later = NOW.after_ms(60_000);
    departed.add(&departure("i-new"), later);
    assert_eq!(departed.to_restore(later), [departure("i-new")]);
    let mut log = DepartureLog::new(later);
    log.finish_read(true, later);
    log.tick(later);
    log.restore(departure("i-new"), later);
    assert_eq!(log.tick(later), [DepartureStep::Record(departure("i-new"))]);
    log.restore(departure("i-new"), later);
    assert_eq!(log.tick(later), [], "in flight");
    assert!(log.may_acknowledge("i-new", later));
}
