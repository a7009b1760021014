//! When a departure is recorded in the store, and when it is acknowledged.

use fuchsiashore::{
    clock::TimePoint,
    member::{DepartureLog, DepartureStep, TargetDeparture},
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
