//! The limit on log lines of refused requests.

use {
    fuchsiashore::{clock::TimePoint, daemon::RefusalLines},
    salvo::http::StatusCode,
};

const NOW: TimePoint = TimePoint(1_000);

/// Returns whether a refusal of this subject gets a line.
fn is_logged(lines: &RefusalLines, subject: &str, now: TimePoint) -> bool {
    lines
        .admit("calls", StatusCode::NOT_FOUND, "no-route", subject, now)
        .is_some()
}

// Guards against a rare refusal without a line because its limit is that of a subject with many. Which subjects shared one
// was decided by a hash that differs from process to process.
#[test]
fn flood_of_one_subject_leaves_lines_for_any_other() {
    for round in 0..1_000 {
        let lines = RefusalLines::default();
        while is_logged(&lines, "flood", NOW) {}
        assert!(is_logged(&lines, "rare", NOW), "round {round}");
    }
}

// Guards against lines without limit where each refusal has a subject of its own, and against none for good after them.
#[test]
fn lines_of_many_subjects_are_limited_and_come_back() {
    let lines = RefusalLines::default();
    let logged = |prefix: &str, now: TimePoint| {
        let subjects = (0..10_000).map(|number| format!("{prefix}-{number}"));
        subjects.filter(|subject| is_logged(&lines, subject, now)).count()
    };
    let at_once = logged("first", NOW);
    let at_once_again = logged("second", NOW);
    let after_1_s = logged("third", NOW.after_ms(1_000));
    let after_10_s = logged("fourth", NOW.after_ms(11_000));
    insta::assert_debug_snapshot!((at_once, at_once_again, after_1_s, after_10_s));
}
