//! Choice of a target: dear bytes to another data centre against a late answer.

use {
    fuchsiashore::{
        call::{CandidateTarget, LoadReport, TargetBook, TargetWish},
        clock::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

const NOW: TimePoint = TimePoint(1_000_000);
/// What the bytes of the calls in these tests are worth, in milliseconds.
const FAR_MS: f64 = 300.0;

/// A book that knows the load of one near and one far target with twelve slots each.
fn book(near_calls: u32, far_calls: u32) -> TargetBook {
    let mut book = TargetBook::default();
    for (name, calls) in [("near", near_calls), ("far", far_calls)] {
        let load = LoadReport { calls, run_ms: 60.0 };
        book.succeed(&name.into(), 60.0, Some(load), NOW);
    }
    book
}

fn candidates() -> [CandidateTarget; 2] {
    [("near", true), ("far", false)].map(|(name, is_near)| CandidateTarget {
        name: name.into(),
        slots: 12,
        is_near,
        is_suspect: false,
    })
}

fn chosen(book: &TargetBook, limit_ms: f64) -> String {
    let wish = TargetWish {
        far_ms: FAR_MS,
        limit_ms: Some(limit_ms),
        only_idle: false,
    };
    let candidates = candidates();
    let target = book.choose(&candidates, &[], wish, &mut SmallRng::seed_from_u64(1), NOW);
    target.unwrap().name.to_string()
}

#[test]
fn near_target_is_taken_while_it_answers_in_time() {
    assert_eq!(chosen(&book(30, 2), 200.0), "near");
}

#[test]
fn far_target_is_taken_where_the_near_one_would_be_late() {
    assert_eq!(chosen(&book(60, 2), 200.0), "far");
}

#[test]
fn near_target_is_taken_where_both_would_be_late() {
    assert_eq!(chosen(&book(60, 60), 200.0), "near");
}
