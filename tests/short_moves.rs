//! Moves of some seconds: decisions of the controller about faults that begin late, and takeovers.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::{MoveOrder, MovePolicy, MoveVerdict},
        moves::{
            Clearance, GateLease, GateReport, LEASE_MS, MoveController, MoveEffect, RateTest, RouteEvidence,
            TestMemory, WINDOW_MS, may_check_takeover,
        },
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

const START: TimePoint = TimePoint(1_000_000);
const MOVE_MS: u64 = 15_000;
/// Calls of the pool in a window.
const CALLS_PER_WINDOW: f64 = 110.0;
/// Evidence at which a cautious move pauses.
const WEAK_THRESHOLD: f64 = 5.0;
/// Latency of every call, in milliseconds.
const LATENCY_MS: f64 = 200.0;

fn order() -> MoveOrder {
    MoveOrder {
        id: 7,
        from: "v1".into(),
        to: "v2".into(),
        opened_at: START,
        finish_by: START.after_ms(MOVE_MS),
        policy: MovePolicy::Cautious,
    }
}

/// A pool with one gate for each version, and their evidence.
struct Pool {
    controller: MoveController,
    old: RouteEvidence,
    new: RouteEvidence,
    verdict: Option<MoveVerdict>,
}

impl Pool {
    fn new(held: Option<&Clearance>, now: TimePoint) -> Self {
        Self {
            controller: MoveController::new(order(), "c".into(), held, now),
            old: RouteEvidence::default(),
            new: RouteEvidence::default(),
            verdict: None,
        }
    }

    /// Runs one window in which the given fractions of the old and the new version's calls fail.
    fn run_window(&mut self, old_failing: f64, new_failing: f64, now: TimePoint) {
        let share = self.controller.clearance().usable_share();
        add_calls(&mut self.old, CALLS_PER_WINDOW * (1.0 - share), old_failing);
        add_calls(&mut self.new, CALLS_PER_WINDOW * share, new_failing);
        self.controller.on_poll(now);
        self.controller.add_report(report("old", "v1", &self.old), now);
        self.controller.add_report(report("new", "v2", &self.new), now);
        for effect in self.controller.tick(now.after_ms(WINDOW_MS / 2)) {
            if let MoveEffect::Decide { verdict, .. } = effect {
                self.verdict = Some(verdict);
            }
        }
    }
}

fn add_calls(counts: &mut RouteEvidence, calls: f64, failing: f64) {
    let calls = calls.round() as u64;
    let failed = (calls as f64 * failing).round() as u64;
    for number in 0..calls {
        counts.add_call(number < failed, LATENCY_MS);
    }
}

fn report(gate: &str, version: &str, counts: &RouteEvidence) -> GateReport {
    let routes: IndexMap<Arc<str>, RouteEvidence> = [("r".into(), counts.clone())].into();
    GateReport {
        gate: gate.into(),
        instance: 1,
        version: version.into(),
        is_serving: true,
        slots: 96,
        in_flight: 0,
        routes,
    }
}

/// Returns a clearance with the given share, as the gates hold it.
fn held(share: f64) -> Clearance {
    Clearance {
        move_id: 7,
        epoch: 1,
        seq: 3,
        share,
        stopped: false,
        holder: "a".into(),
    }
}

/// Returns the windows of the move and four after its deadline: milliseconds since the start, and the time.
fn windows() -> impl Iterator<Item = (u64, TimePoint)> {
    (0..MOVE_MS / WINDOW_MS + 4).map(|window| (window * WINDOW_MS, START.after_ms(window * WINDOW_MS)))
}

#[test]
fn good_version_is_done_in_time() {
    let mut pool = Pool::new(None, START);
    for (_, now) in windows() {
        if pool.verdict.is_none() {
            pool.run_window(0.01, 0.01, now);
        }
    }
    assert_eq!(pool.verdict, Some(MoveVerdict::Done));
}

#[test]
fn early_failures_of_the_old_version_do_not_hide_a_fault_under_load() {
    let mut pool = Pool::new(None, START);
    for (at_ms, now) in windows() {
        let old_failing = if at_ms < 4_000 { 0.5 } else { 0.01 };
        // The version fails from a share of 20 % on.
        let is_loaded = pool.controller.clearance().usable_share() >= 0.2;
        let new_failing = if is_loaded { 0.35 } else { 0.01 };
        if pool.verdict.is_none() {
            pool.run_window(old_failing, new_failing, now);
        }
    }
    assert_eq!(pool.verdict, Some(MoveVerdict::TakenBack));
    let calls = CALLS_PER_WINDOW * (MOVE_MS / WINDOW_MS) as f64;
    assert!(
        (pool.new.calls as f64) < calls * 0.1 + 50.0,
        "the bad version got {} of {calls} calls",
        pool.new.calls
    );
}

#[test]
fn stalled_rise_ends_at_a_safe_share() {
    let mut pool = Pool::new(None, START);
    let mut risen_ms = 0;
    for (_, now) in windows() {
        let share = pool.controller.clearance().usable_share();
        risen_ms += if share > 0.1 { WINDOW_MS } else { 0 };
        // Above the trial share, the evidence is too high for another step and too low for a stop.
        let new_failing = if share > 0.1 { 0.12 } else { 0.02 };
        if pool.verdict.is_none() {
            pool.run_window(0.02, new_failing, now);
        }
    }
    assert_ne!(pool.verdict, Some(MoveVerdict::Done));
    // A fifth of the move, one window until that is evaluated, and one until the lower share takes effect.
    let limit_ms = MOVE_MS / 5 + 2 * WINDOW_MS;
    assert!(risen_ms <= limit_ms, "{risen_ms} ms above the trial share");
}

#[test]
fn released_clearance_is_taken_over_at_once_and_expired_one_by_a_rival() {
    let mut lease = GateLease::default();
    let held = held(0.07);
    assert!(lease.renew(held.clone(), START));
    let rival = Clearance {
        holder: "b".into(),
        ..held.clone()
    };
    assert!(
        !lease.renew(rival.clone(), START),
        "a rival took over a held clearance"
    );
    assert!(lease.renew(held.released(), START));
    assert_eq!(lease.left_ms(START), 0);
    assert!(!lease.admits(7, START), "the gate admits calls without a lease");
    let successor = MoveController::new(order(), "b".into(), lease.held(7), START);
    assert!((successor.clearance().share - 0.07).abs() < 1e-9);
    // Another holder with the same epoch is accepted once the lease has expired.
    let mut lease = GateLease::default();
    assert!(lease.renew(held, START));
    assert!(lease.renew(rival, START.after_ms(60_000)));
}

#[test]
fn next_in_rank_checks_takeover_once_the_lease_has_expired() {
    let mut lease = GateLease::default();
    let held = held(0.07);
    assert_eq!(
        lease.expired_for_ms(7, START),
        None,
        "the gate holds no clearance of the move"
    );
    assert!(lease.renew(held, START));
    assert_eq!(lease.expired_for_ms(7, START.after_ms(1_000)), None);
    let expired_for_ms = |at_ms| lease.expired_for_ms(7, START.after_ms(at_ms));
    assert!(may_check_takeover(0, None));
    assert!(!may_check_takeover(1, expired_for_ms(1_000)));
    assert!(
        !may_check_takeover(1, expired_for_ms(LEASE_MS)),
        "rank 1 did not wait for rank 0"
    );
    assert!(may_check_takeover(1, expired_for_ms(LEASE_MS + 400)));
    assert!(!may_check_takeover(2, expired_for_ms(LEASE_MS + 400)));
    assert!(may_check_takeover(2, expired_for_ms(LEASE_MS + 1_000)));
}

#[test]
fn released_move_resumes_at_its_share_and_lost_one_at_zero() {
    let held = held(0.4);
    let successor = MoveController::new(order(), "b".into(), Some(&held.released()), START.after_ms(9_000));
    assert!((successor.clearance().share - 0.4).abs() < 1e-9);
    // A controller that was lost without a release leaves a gap in the evaluation.
    let successor = MoveController::new(order(), "b".into(), Some(&held), START.after_ms(9_000));
    assert!(successor.clearance().share.abs() < 1e-9);
}

#[test]
fn failures_of_both_versions_on_a_rare_route_do_not_pause_the_move() {
    let mut test = RateTest::new(TestMemory::SHORT);
    test.add_history(400, 0);
    for _ in 0..16 {
        test.add_window((8, 0), (0, 0), 0.0);
    }
    for _ in 0..3 {
        test.add_window((5, 5), (0, 0), 0.0);
    }
    test.add_window((2, 2), (2, 2), 0.0);
    test.add_window((2, 2), (3, 3), 0.0);
    assert!(
        test.evidence() < WEAK_THRESHOLD,
        "evidence {:.1} where both versions fail",
        test.evidence()
    );
}

#[test]
fn excess_failures_are_detected_despite_a_raised_null_rate() {
    let mut test = RateTest::new(TestMemory::SHORT);
    test.add_history(400, 8);
    test.add_window((145, 18), (0, 0), 0.0);
    test.add_window((166, 8), (0, 0), 0.0);
    for _ in 0..6 {
        test.add_window((140, 2), (0, 0), 0.0);
    }
    test.add_window((100, 2), (50, 1), 0.0);
    assert!(!test.is_above_recent_rate());
    test.add_window((100, 2), (50, 5), 0.0);
    test.add_window((70, 2), (54, 6), 0.0);
    assert!(test.is_above_recent_rate());
}

#[test]
fn version_does_not_rise_without_time_at_the_top_before_the_deadline() {
    // All daemons were lost during the trial, and the next controller starts late.
    for begin_ms in (9_500..12_500).step_by(500) {
        let mut pool = Pool::new(Some(&held(0.04)), START.after_ms(begin_ms));
        for (_, now) in windows().filter(|(at_ms, _)| *at_ms >= begin_ms) {
            // The version fails only under the load at the top.
            let is_loaded = pool.controller.clearance().usable_share() >= 0.9;
            if pool.verdict.is_none() {
                pool.run_window(0.01, if is_loaded { 0.35 } else { 0.01 }, now);
            }
        }
        assert_eq!(
            pool.verdict,
            Some(MoveVerdict::TakenBack),
            "controller started at {begin_ms} ms"
        );
        let share = pool.new.calls as f64 / (CALLS_PER_WINDOW * 20.0);
        assert!(
            share < 0.1,
            "controller started at {begin_ms} ms: the bad version received {share:.2} of the calls"
        );
    }
}

/// Runs a move whose targets of the old version are all lost, and whose controller with them, until its verdict. All calls
/// go to the new version from the takeover on, of which a fraction fails.
fn run_without_old_targets(new_failing: f64, taken_over_ms: u64) -> Pool {
    let taken_over_at = START.after_ms(taken_over_ms);
    let mut pool = Pool::new(Some(&held(0.04)), taken_over_at);
    for (_, now) in windows().filter(|(_, now)| *now >= taken_over_at) {
        if pool.verdict.is_some() {
            break;
        }
        let admits = pool.controller.clearance().usable_share() > 0.0;
        add_calls(
            &mut pool.new,
            if admits { CALLS_PER_WINDOW } else { 0.0 },
            new_failing,
        );
        pool.controller.on_poll(now);
        pool.controller.add_report(report("new", "v2", &pool.new), now);
        for effect in pool.controller.tick(now.after_ms(WINDOW_MS / 2)) {
            if let MoveEffect::Decide { verdict, .. } = effect {
                pool.verdict = Some(verdict);
            }
        }
    }
    pool
}

/// Guards against a service that is refused for good, as a move is taken back to a version of which no target is left.
#[test]
fn sound_version_is_done_if_no_target_of_the_old_one_is_left() {
    // The last controller is still in the pause of its takeover when the deadline comes.
    for taken_over_ms in [5_000, 10_000, 14_000] {
        let pool = run_without_old_targets(0.01, taken_over_ms);
        let (verdict, calls) = (pool.verdict, pool.new.calls);
        assert_eq!(
            verdict,
            Some(MoveVerdict::Done),
            "{taken_over_ms} ms, {calls} calls"
        );
    }
}

#[test]
fn failing_version_is_taken_back_also_if_no_target_of_the_old_one_is_left() {
    for taken_over_ms in [5_000, 10_000] {
        let pool = run_without_old_targets(0.6, taken_over_ms);
        let (verdict, calls) = (pool.verdict, pool.new.calls);
        assert_eq!(
            verdict,
            Some(MoveVerdict::TakenBack),
            "{taken_over_ms} ms, {calls} calls"
        );
    }
}
