//! Even load from old figures: many daemons choose among uneven targets. Bounds are the operators': docs/design/even-load.md.

use fuchsiashore::lab::balance::{BalanceFigures, ChoiceRule, DemandShape, play_balance};

const SEEDS: std::ops::Range<u64> = 0..4;
/// Age up to which the operators ask for even load, in milliseconds.
const OLD_MS: u64 = 200;

/// Plays a demand with several seeds.
fn play(rule: ChoiceRule, shape: DemandShape, load: f64, report_ms: u64) -> Vec<BalanceFigures> {
    SEEDS
        .map(|seed| play_balance(rule, shape, load, report_ms, seed))
        .collect()
}

fn mean(figures: &[BalanceFigures], figure: fn(&BalanceFigures) -> f64) -> f64 {
    figures.iter().map(figure).sum::<f64>() / figures.len() as f64
}

/// Load: steady, four fifths of the capacity; figures up to 200 ms old.
#[test]
fn waits_with_old_figures_are_at_most_twice_those_with_fresh_ones() {
    let p99_ms = |report_ms| {
        let figures = play(ChoiceRule::Product, DemandShape::Steady, 0.8, report_ms);
        mean(&figures, |row| row.wait_p99_ms as f64)
    };
    let (old_ms, fresh_ms) = (p99_ms(OLD_MS), p99_ms(0));
    println!("{old_ms} ms with old figures, {fresh_ms} ms with fresh ones");
    assert!(old_ms <= 2.0 * fresh_ms, "{old_ms} {fresh_ms}");
}

/// Load: the same. A herd shows as calls that queue beside an idle target.
#[test]
fn targets_seldom_queue_beside_idle_ones() {
    let figures = play(ChoiceRule::Product, DemandShape::Steady, 0.8, OLD_MS);
    let share = mean(&figures, |row| row.queues_beside_idle);
    println!("{share:.3} of the time");
    assert!(share < 0.02, "{share}");
}

/// Loads: steady, a step and waves, up to over the capacity, figures of all ages. No more messages are sent than with the
/// product before, and what is served in time does not fall by more than deployments may.
#[test]
fn even_load_serves_as_many_in_time_with_no_more_attempts_than_before() {
    let demands = [
        (DemandShape::Steady, 0.5),
        (DemandShape::Steady, 0.8),
        (DemandShape::Steady, 0.95),
        (DemandShape::Steady, 1.1),
        (DemandShape::Step, 0.95),
        (DemandShape::Wave, 0.8),
    ];
    for (shape, load) in demands {
        for report_ms in [50, OLD_MS, 1_000] {
            let [new, old] = [ChoiceRule::Product, ChoiceRule::Former].map(|rule| {
                let figures = play(rule, shape, load, report_ms);
                let attempts = mean(&figures, |row| row.attempts);
                (mean(&figures, |row| row.in_time), attempts)
            });
            println!("{shape:?} {load} {report_ms}: {new:?}, before {old:?}");
            assert!(
                new.0 > old.0 - 0.03,
                "{shape:?} {load} {report_ms}: {new:?} {old:?}"
            );
            // A hundredth is the spread between seeds.
            assert!(
                new.1 < old.1 + 0.01,
                "{shape:?} {load} {report_ms}: {new:?} {old:?}"
            );
        }
    }
}
