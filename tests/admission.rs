//! Loads played over gates in memory. Bounds are the users': an urgent kind is not served less often than a less urgent one
//! of its service by more than a twentieth, and no kind starves.

use fuchsiashore::lab::admission::{AdmissionFigures, AdmissionRule, LoadPattern, load_patterns, play_load};

const SEEDS: std::ops::Range<u64> = 0..4;

fn pattern(name: &str) -> LoadPattern {
    let mut patterns = load_patterns().into_iter();
    patterns.find(|pattern| pattern.name == name).unwrap()
}

fn play(name: &str, rule: AdmissionRule, load: f64) -> Vec<AdmissionFigures> {
    SEEDS
        .map(|seed| play_load(&pattern(name), rule, load, seed))
        .collect()
}

/// Returns the share of a kind that is answered in time, over all seeds.
fn in_time(figures: &[AdmissionFigures], kind: usize) -> f64 {
    let sum = |count: fn(&fuchsiashore::lab::admission::KindFigures) -> u32| -> f64 {
        figures.iter().map(|row| f64::from(count(&row.kinds[kind]))).sum()
    };
    sum(|row| row.in_time) / sum(|row| row.offered)
}

#[test]
fn urgent_kinds_are_not_served_less_often_up_to_one_and_a_half_times_the_capacity() {
    for pattern in load_patterns() {
        for load in [0.9, 1.2, 1.5] {
            for seed in SEEDS {
                let figures = play_load(&pattern, AdmissionRule::Nested, load, seed);
                assert_eq!(
                    figures.inversions, 0,
                    "{} at {load}, seed {seed}: {figures:?}",
                    pattern.name
                );
            }
        }
    }
}

/// Guards against one run time for all kinds, with which gates refuse short calls that they could run in time.
#[test]
fn short_calls_beside_long_ones_are_served_as_often_as_these() {
    let figures = play("short beside long", AdmissionRule::Nested, 0.9);
    let former = play("short beside long", AdmissionRule::OneMean, 0.9);
    let (short, long) = (in_time(&figures, 0), in_time(&figures, 1));
    let former_short = in_time(&former, 0);
    println!("short {short:.3} (one mean: {former_short:.3}), long {long:.3}");
    assert!(short > former_short, "{short} {former_short}");
    // A kind starves at a quarter of the common share.
    for load in [1.2, 1.5] {
        let figures = play("short beside long", AdmissionRule::Nested, load);
        let shares = [in_time(&figures, 0), in_time(&figures, 1)];
        println!("at {load}: {shares:?}");
        assert!(
            shares
                .iter()
                .all(|share| *share > 0.25 * (shares[0] + shares[1]) / 2.0),
            "{load}: {shares:?}"
        );
    }
}

/// Guards against slots spent on runs that are lost for a refused nested call, while other work of their rank stands before it.
#[test]
fn runs_that_call_among_equals_are_seldom_lost() {
    for load in [0.9, 1.2, 1.5] {
        let wasted = [AdmissionRule::Nested, AdmissionRule::ByRoute].map(|rule| {
            let figures = play("runs that call among equals", rule, load);
            let lost: u32 = figures.iter().map(|row| row.kinds[0].wasted).sum();
            let served: u32 = figures.iter().map(|row| row.kinds[0].served).sum();
            f64::from(lost) / f64::from(lost + served)
        });
        let figures = play("runs that call among equals", AdmissionRule::Nested, load);
        let shares = [in_time(&figures, 0), in_time(&figures, 1)];
        println!("at {load}: lost {wasted:.3?}, in time {shares:.3?}");
        assert!(wasted[0] < 0.1 && wasted[0] <= wasted[1], "{load}: {wasted:?}");
        assert!(
            shares
                .iter()
                .all(|share| *share > 0.25 * (shares[0] + shares[1]) / 2.0),
            "{load}: {shares:?}"
        );
    }
}
