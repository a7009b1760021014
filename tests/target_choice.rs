//! Choice of a target: dear bytes to another data centre against a late answer.

use {
    fuchsiashore::{
        call::{CandidateTarget, LoadReport, RankCounts, TargetSelector, TargetWish},
        clock::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

const NOW: TimePoint = TimePoint(1_000_000);
/// What the bytes of the calls in these tests are worth, in milliseconds.
const FAR_MS: f64 = 300.0;
/// Calls that a target serves at once.
const SLOTS: u32 = 12;
/// Rank of the calls.
const RANK: u8 = 1;

/// A book that knows the load of one near and one far target with twelve slots each.
fn book(near_calls: u32, far_calls: u32) -> TargetSelector {
    let mut book = TargetSelector::default();
    for (name, calls) in [("near", near_calls), ("far", far_calls)] {
        book.succeed(&name.into(), 60.0, Some(load(calls, RANK)), NOW);
    }
    book
}

/// The load of a gate with so many calls, of which those over its slots wait.
fn load(calls: u32, rank: u8) -> LoadReport {
    let mut waiting = RankCounts::default();
    (SLOTS..calls).for_each(|_| waiting.add(rank));
    LoadReport {
        running: calls.min(SLOTS),
        waiting,
        run_ms: 60.0,
    }
}

fn candidates() -> [CandidateTarget; 2] {
    [("near", true), ("far", false)].map(|(name, is_near)| CandidateTarget {
        name: name.into(),
        slots: SLOTS,
        is_near,
        is_suspect: false,
    })
}

fn chosen(book: &TargetSelector, limit_ms: f64) -> String {
    let wish = TargetWish {
        far_ms: FAR_MS,
        limit_ms: Some(limit_ms),
        only_idle: false,
        priority: RANK,
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

#[test]
fn target_that_refused_calls_of_the_rank_as_full_is_passed_over() {
    let mut book = book(2, 2);
    book.note_full(&"near".into(), RANK, NOW);
    assert_eq!(chosen(&book, 600.0), "far");
}

#[test]
fn refusal_of_less_urgent_calls_says_nothing_of_more_urgent_ones() {
    let mut book = book(2, 2);
    book.note_full(&"near".into(), RANK + 1, NOW);
    assert_eq!(chosen(&book, 600.0), "near");
}

#[test]
fn targets_that_fail_alike_are_not_ejected() {
    let mut book = book(2, 2);
    for _ in 0..6 {
        book.fail_answer(&"near".into(), NOW);
        book.fail_answer(&"far".into(), NOW);
    }
    book.succeed(&"far".into(), 60.0, None, NOW);
    assert_eq!(chosen(&book, 600.0), "near");
}

#[test]
fn target_that_fails_alone_is_ejected() {
    let mut book = book(2, 2);
    for _ in 0..6 {
        book.fail_answer(&"near".into(), NOW);
    }
    assert_eq!(chosen(&book, 10_000.0), "far");
}

#[test]
fn less_urgent_calls_that_wait_do_not_make_a_target_late() {
    let mut book = book(2, 2);
    book.note_load(&"near".into(), load(60, RANK + 1), NOW);
    assert_eq!(chosen(&book, 200.0), "near");
    book.note_load(&"near".into(), load(60, RANK), NOW);
    assert_eq!(chosen(&book, 200.0), "far");
}

#[test]
fn load_is_read_as_it_was_written() {
    let load = load(60, RANK);
    assert_eq!(load.to_string().parse(), Ok(load));
    assert!("12,60,1".parse::<LoadReport>().is_err());
}
