//! Requirements on long moves, checked by simulation of the decision code with a fixed seed and fewer trials than
//! `fuchsiashore-lab figures`.

use {
    fuchsiashore::{
        config::MovePolicy,
        lab::figures::{MoveRule, TrialOutcome, long_scenarios, run_trial},
    },
    std::thread,
};

const SEED: u64 = 7_000;
const TRIALS: u64 = 30;

/// Runs the trials of all scenarios with a good version, or with a bad one, and returns the outcomes by name.
fn outcomes(policy: MovePolicy, is_good: bool) -> Vec<(&'static str, Vec<TrialOutcome>)> {
    let mut scenarios = long_scenarios();
    scenarios.retain(|scenario| scenario.is_good() == is_good);
    thread::scope(|scope| {
        let handles: Vec<_> = scenarios
            .iter()
            .map(|scenario| {
                scope.spawn(move || {
                    let run = |trial| run_trial(*scenario, MoveRule::Controller(policy), SEED + trial);
                    (scenario.name, (0..TRIALS).map(run).collect())
                })
            })
            .collect();
        handles.into_iter().map(|handle| handle.join().unwrap()).collect()
    })
}

fn share(outcomes: &[TrialOutcome], wanted: impl Fn(&TrialOutcome) -> bool) -> f64 {
    outcomes.iter().filter(|outcome| wanted(outcome)).count() as f64 / outcomes.len() as f64
}

#[test]
fn good_versions_are_done_in_time() {
    for policy in [MovePolicy::Prompt, MovePolicy::Cautious] {
        let all: Vec<TrialOutcome> = outcomes(policy, true)
            .into_iter()
            .flat_map(|(_, outcomes)| outcomes)
            .collect();
        let done = share(&all, |outcome| outcome.done_in_time);
        assert!(
            done >= 0.99,
            "{policy:?}: {:.1} % of good versions are done in time, 99 % are required",
            done * 100.0
        );
    }
}

#[test]
fn bad_versions_are_taken_back_and_get_few_calls() {
    for policy in [MovePolicy::Prompt, MovePolicy::Cautious] {
        let by_name = outcomes(policy, false);
        let all: Vec<TrialOutcome> = by_name
            .iter()
            .flat_map(|(_, outcomes)| outcomes.clone())
            .collect();
        let taken_back = share(&all, |outcome| outcome.taken_back);
        assert!(
            taken_back >= 0.99,
            "{policy:?}: {:.1} % of bad versions are taken back, 99 % are required",
            taken_back * 100.0
        );
        for (name, outcomes) in &by_name {
            let bad: u64 = outcomes.iter().map(|outcome| outcome.bad_calls).sum();
            let calls: u64 = outcomes.iter().map(|outcome| outcome.calls).sum();
            assert!(
                bad * 20 <= calls,
                "{policy:?}, {name}: {bad} of {calls} calls went to the bad version, over 5 %"
            );
        }
    }
}

#[test]
fn no_call_goes_to_a_bad_version_three_seconds_after_it_shows() {
    let mut late = Vec::new();
    for policy in [MovePolicy::Prompt, MovePolicy::Cautious] {
        for (name, outcomes) in outcomes(policy, false) {
            let share = share(&outcomes, |outcome| outcome.late_calls > 0);
            if share > 0.0 {
                late.push(format!(
                    "{policy:?}, {name}: in {:.0} % of the moves",
                    share * 100.0
                ));
            }
        }
    }
    assert!(
        late.is_empty(),
        "calls went to a bad version more than 3 s after its fault was detectable:\n{}",
        late.join("\n")
    );
}
