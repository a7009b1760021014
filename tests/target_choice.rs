//! Target selection: cost of traffic to another data centre against a late answer.

use {
    fuchsiashore::{
        call::{
            CandidateTarget, LoadReport, MissingTarget, RankCounts, TargetCriteria, TargetNeed,
            TargetSelector,
        },
        clock::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

const NOW: TimePoint = TimePoint(1_000_000);
/// Cost of sending a call to another data centre, in milliseconds.
const CROSS_DC_COST_MS: f64 = 300.0;
/// Number of calls that a target serves concurrently.
const SLOTS: u32 = 12;
/// Rank of the calls.
const RANK: u8 = 1;

/// Returns a selector with a successful answer and a load report from a target in this data centre and one in another.
fn selector(near_calls: u32, far_calls: u32) -> TargetSelector {
    let mut selector = TargetSelector::default();
    for (name, calls) in [("near", near_calls), ("far", far_calls)] {
        selector.record_success(&name.into(), 60.0);
        selector.record_load(&name.into(), load(calls, RANK), RANK, NOW);
    }
    selector
}

/// Returns the load report of a gate with a number of calls, of which those over [`SLOTS`] are queued.
fn load(calls: u32, rank: u8) -> LoadReport {
    let mut waiting = RankCounts::default();
    (SLOTS..calls).for_each(|_| waiting.add(rank));
    LoadReport {
        running: calls.min(SLOTS),
        waiting,
        run_ms: 60.0,
        ..LoadReport::default()
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

fn criteria(limit_ms: f64) -> TargetCriteria<'static> {
    TargetCriteria {
        route: "",
        cross_dc_cost_ms: CROSS_DC_COST_MS,
        limit_ms: Some(limit_ms),
        need: TargetNeed::Any,
        priority: RANK,
    }
}

fn chosen(selector: &TargetSelector, limit_ms: f64) -> String {
    let candidates = candidates();
    let mut rng = SmallRng::seed_from_u64(1);
    let target = selector.choose(&candidates, &[], criteria(limit_ms), &mut rng, NOW);
    target.unwrap().name.to_string()
}

#[test]
fn near_target_is_chosen_while_it_answers_in_time() {
    assert_eq!(chosen(&selector(30, 2), 200.0), "near");
}

#[test]
fn far_target_is_chosen_if_only_the_near_one_is_late() {
    assert_eq!(chosen(&selector(60, 2), 200.0), "far");
}

#[test]
fn near_target_is_chosen_if_both_are_late() {
    assert_eq!(chosen(&selector(60, 60), 250.0), "near");
}

/// Load: all targets far over what they can do in time. Gates refuse what arrives, so most calls need not be sent.
#[test]
fn one_call_in_ten_is_sent_where_all_targets_are_hopeless() {
    let (selector, candidates) = (selector(60, 60), candidates());
    let criteria = criteria(200.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |tried: &[Arc<str>]| selector.choose(&candidates, tried, criteria, &mut rng, NOW);
    let sent = (0..1_000).filter(|_| choose(&[]).is_ok()).count();
    assert!((60..140).contains(&sent), "{sent}");
    assert_eq!(choose(&["near".into(), "far".into()]), Err(MissingTarget::None));
}

#[test]
fn target_that_refused_the_rank_as_full_is_avoided() {
    let mut selector = selector(2, 2);
    selector.record_full(&"near".into(), RANK, NOW);
    assert_eq!(chosen(&selector, 600.0), "far");
}

#[test]
fn refusal_of_a_rank_does_not_exclude_more_urgent_ones() {
    let mut selector = selector(2, 2);
    selector.record_full(&"near".into(), RANK + 1, NOW);
    assert_eq!(chosen(&selector, 600.0), "near");
}

#[test]
fn targets_with_similar_failure_shares_are_not_ejected() {
    let mut selector = selector(2, 2);
    for _ in 0..6 {
        selector.record_failed_answer(&"near".into(), NOW);
        selector.record_failed_answer(&"far".into(), NOW);
    }
    selector.record_success(&"far".into(), 60.0);
    assert_eq!(chosen(&selector, 600.0), "near");
}

#[test]
fn target_with_a_higher_failure_share_is_ejected() {
    let mut selector = selector(2, 2);
    for _ in 0..6 {
        selector.record_failed_answer(&"near".into(), NOW);
    }
    assert_eq!(chosen(&selector, 10_000.0), "far");
}

#[test]
fn less_urgent_queued_calls_do_not_make_a_target_late() {
    let mut selector = selector(2, 2);
    selector.record_load(&"near".into(), load(60, RANK + 1), RANK, NOW);
    assert_eq!(chosen(&selector, 200.0), "near");
    selector.record_load(&"near".into(), load(60, RANK), RANK, NOW);
    assert_eq!(chosen(&selector, 200.0), "far");
}

#[test]
fn load_report_is_parsed_as_it_was_written() {
    let load = load(60, RANK);
    assert_eq!(load.to_string().parse(), Ok(load));
    assert!("12,60,1".parse::<LoadReport>().is_err());
}

/// Load: waves of demand that reach one data centre after the other. A gate that is full has refused the call, so it leaves
/// its data centre for one with more room, which a call that was not refused doesn't.
#[test]
fn refused_call_leaves_a_data_centre_with_less_room() {
    let mut candidates = candidates().to_vec();
    candidates.push(CandidateTarget {
        name: "near too".into(),
        ..candidates[0].clone()
    });
    let mut selector = selector(30, 2);
    selector.record_load(&"near too".into(), load(30, RANK), RANK, NOW);
    let choose = |need, tried: &[Arc<str>]| {
        let criteria = TargetCriteria {
            need,
            ..criteria(200.0)
        };
        let mut rng = SmallRng::seed_from_u64(1);
        let target = selector.choose(&candidates, tried, criteria, &mut rng, NOW);
        target.unwrap().is_near
    };
    assert!(choose(TargetNeed::Any, &[]));
    assert!(!choose(TargetNeed::Room, &["near".into()]));
}

/// Load: many daemons with figures of which all but the latest are old. What was reported once says nothing for long.
#[test]
fn old_figures_count_as_the_mean_of_the_data_centre() {
    let candidates = ["busy", "usual", "usual too"].map(|name| CandidateTarget {
        name: name.into(),
        slots: SLOTS,
        is_near: true,
        is_suspect: false,
    });
    let mut selector = TargetSelector::default();
    for (target, calls) in candidates.iter().zip([60, 6, 6]) {
        selector.record_load(&target.name, load(calls, RANK), RANK, NOW);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut busy_share = |now: TimePoint| {
        let draws = (0..3_000).map(|_| selector.choose(&candidates, &[], criteria(2_000.0), &mut rng, now));
        let busy = draws.filter(|chosen| chosen.is_ok_and(|target| &*target.name == "busy"));
        busy.count() as f64 / 3_000.0
    };
    let (fresh, old) = (busy_share(NOW), busy_share(NOW.after_ms(2_000)));
    assert!(fresh < 0.02, "{fresh}");
    assert!((0.3..0.37).contains(&old), "{old}");
}

/// Load: VMs shared with others, on which work takes two and a half times as long for moments of 0.6 s.
#[test]
fn slow_moment_of_a_vm_sends_calls_elsewhere_until_it_is_over() {
    let candidates = ["slow", "usual"].map(|name| CandidateTarget {
        name: name.into(),
        slots: SLOTS,
        is_near: true,
        is_suspect: false,
    });
    let mut selector = TargetSelector::default();
    for (target, slowdown) in candidates.iter().zip([2.5, 1.0]) {
        let load = LoadReport {
            slowdown,
            ..load(6, RANK)
        };
        selector.record_load(&target.name, load, RANK, NOW);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut slow_share = |now: TimePoint| {
        let draws = (0..3_000).map(|_| selector.choose(&candidates, &[], criteria(2_000.0), &mut rng, now));
        let slow = draws.filter(|chosen| chosen.is_ok_and(|target| &*target.name == "slow"));
        slow.count() as f64 / 3_000.0
    };
    let (during, after) = (slow_share(NOW), slow_share(NOW.after_ms(2_000)));
    // In proportion to what it can do.
    assert!((0.25..0.32).contains(&during), "{during}");
    assert!(after > 0.45, "{after}");
}

/// Load: less room than calls. A call that a full gate refused is not tried where no room is expected.
#[test]
fn refused_call_is_sent_on_only_where_room_is_expected() {
    let need_room = TargetCriteria {
        need: TargetNeed::Room,
        ..criteria(200.0)
    };
    let candidates = candidates();
    let mut rng = SmallRng::seed_from_u64(1);
    let tried: [Arc<str>; 1] = ["far".into()];
    let mut choose = |near_calls| {
        let selector = selector(near_calls, 60);
        let chosen = selector.choose(&candidates, &tried, need_room, &mut rng, NOW);
        chosen.map(|target| target.name.to_string())
    };
    assert_eq!(choose(12), Ok("near".to_owned()));
    assert_eq!(choose(60), Err(MissingTarget::NoRoom));
}

/// Load: the same. Callers come back when there is room, the more urgent ones, for which fewer calls count, first.
#[test]
fn room_is_expected_later_by_more_calls_and_less_urgent_ones() {
    let mut selector = selector(60, 60);
    let room_in_ms = |selector: &TargetSelector, priority| {
        let criteria = TargetCriteria {
            priority,
            ..criteria(200.0)
        };
        selector.room_in_ms(&candidates(), criteria, NOW)
    };
    let full_ms = room_in_ms(&selector, RANK);
    assert!(full_ms > 100.0, "{full_ms}");
    assert!(room_in_ms(&selector, RANK - 1) <= 0.0);
    selector.record_load(&"far".into(), load(40, RANK), RANK, NOW);
    assert!(room_in_ms(&selector, RANK) < full_ms);
}

/// Returns how many of 1,000 calls of a route are sent to targets that run two calls each.
fn sent_of_idle(selector: &TargetSelector, route: &str, limit_ms: f64) -> usize {
    let candidates = candidates();
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = TargetCriteria {
        route,
        ..criteria(limit_ms)
    };
    let chosen = (0..1_000).map(|_| selector.choose(&candidates, &[], criteria, &mut rng, NOW));
    chosen.flatten().count()
}

/// Returns a selector whose targets are idle and run calls of the mean run time given, in milliseconds.
fn idle_selector(run_ms: f64, slowdown: f64) -> TargetSelector {
    let mut selector = selector(2, 2);
    for name in ["near", "far"] {
        let report = LoadReport {
            run_ms,
            slowdown,
            ..load(2, RANK)
        };
        selector.record_load(&name.into(), report, RANK, NOW);
    }
    selector
}

/// Guards against calls that are refused beside idle targets: no refusal shortens a run, whether it is only assumed, takes longer
/// than its route's latency, or is slow at this moment.
#[test]
fn calls_are_sent_to_idle_targets_however_long_their_runs_take() {
    let mut known = idle_selector(400.0, 1.0);
    for name in ["near", "far"] {
        known.record_route_run(&name.into(), &"known".into(), 400.0);
    }
    let sent = [
        sent_of_idle(&idle_selector(880.0, 1.0), "unknown", 200.0),
        sent_of_idle(&known, "known", 200.0),
        sent_of_idle(&known, "unknown", 60.0),
        sent_of_idle(&idle_selector(60.0, 8.0), "unknown", 200.0),
    ];
    assert_eq!(sent, [1_000; 4]);
}

/// Guards against a queue that grows with calls whose runs alone take longer than their latency: a wait still counts.
#[test]
fn calls_with_long_runs_are_refused_where_they_would_wait_long() {
    let mut selector = selector(60, 60);
    for name in ["near", "far"] {
        selector.record_route_run(&name.into(), &"long".into(), 250.0);
    }
    let sent = sent_of_idle(&selector, "long", 200.0);
    assert!((60..140).contains(&sent), "{sent}");
}

/// Guards against calls that wait for nothing to be told, or sent elsewhere, as their runs are taken to be those of other routes.
#[test]
fn useful_time_covers_the_runs_of_a_route_and_not_those_of_others() {
    let mut selector = idle_selector(880.0, 1.0);
    let room_in_ms = |selector: &TargetSelector, route| {
        let criteria = TargetCriteria {
            route,
            ..criteria(200.0)
        };
        selector.room_in_ms(&candidates(), criteria, NOW)
    };
    assert!(room_in_ms(&selector, "unknown") <= 0.0);
    selector.record_route_run(&"far".into(), &"long".into(), 400.0);
    let useful_ms = ["long", "unknown"].map(|route| selector.useful_ms(route, 200));
    assert_eq!(useful_ms, [600, 200]);
    assert_eq!(selector.useful_ms("long", 4_000), 4_000);
}

/// Guards against routes whose run times are never known, as others were there before them.
#[test]
fn run_times_of_the_latest_routes_are_kept() {
    let mut selector = TargetSelector::default();
    for number in 0..1_400 {
        let route = format!("route-{number}");
        selector.record_route_run(&"near".into(), &route.into(), 55.0);
    }
    let known = (0..1_400).filter(|number| {
        let route = format!("route-{number}");
        selector.route_run_ms("near", &route).is_some()
    });
    assert_eq!(known.collect::<Vec<_>>(), (1_336..1_400).collect::<Vec<_>>());
}
