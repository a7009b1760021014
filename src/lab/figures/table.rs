//! The table of figures, summarised over many trials of each scenario.

use {
    super::{
        rule::MoveRule,
        scenario::MoveScenario,
        trial::{TrialOutcome, run_trial},
    },
    crate::config::MovePolicy,
    std::{
        fmt::Write as _,
        sync::atomic::{AtomicUsize, Ordering},
        thread,
    },
};

/// All rules, the controller first.
const RULES: [MoveRule; 4] = [
    MoveRule::Controller(MovePolicy::Prompt),
    MoveRule::Controller(MovePolicy::Cautious),
    MoveRule::TimedRamp,
    MoveRule::ErrorThreshold,
];

/// Figures of one scenario under one rule.
#[derive(Debug, Clone, PartialEq)]
pub struct FigureRow {
    /// The scenario.
    pub scenario: MoveScenario,
    /// The rule.
    pub rule: MoveRule,
    /// Share of moves that were done by the deadline.
    pub done_in_time: f64,
    /// Share of moves that were taken back.
    pub taken_back: f64,
    /// Mean share of the pool's calls that went to the version while it was bad.
    pub bad_share: f64,
    /// Share of moves in which the version received more calls than the users' limit allows.
    pub overexposed: f64,
    /// Highest share of the pool's calls in one move that went to the version while it was bad.
    pub worst_bad_share: f64,
    /// Mean number of calls of a move that went to the version after its fault was detectable.
    pub calls_after_detectable: f64,
    /// Share of moves with calls to the version more than 3 s after its fault was detectable.
    pub late_move_share: f64,
    /// Median time from the moment when the fault was detectable to the stop, in seconds. Moves that were stopped before
    /// the fault was detectable are left out.
    pub detectable_to_stop_s: f64,
    /// Median time from the first call to the bad version to the stop, in seconds.
    pub bad_to_stop_s: f64,
}

/// Simulates `trials` moves of every scenario whose name contains `only` under every rule, on all cores. The same seed
/// gives the same figures.
pub fn measure(mut scenarios: Vec<MoveScenario>, only: &str, trials: usize, seed: u64) -> Vec<FigureRow> {
    scenarios.retain(|scenario| scenario.name.contains(only));
    let jobs: Vec<(MoveScenario, MoveRule)> = scenarios
        .iter()
        .flat_map(|scenario| RULES.iter().map(|rule| (*scenario, *rule)))
        .collect();
    let next = AtomicUsize::new(0);
    let workers = thread::available_parallelism().map_or(1, usize::from);
    let mut rows: Vec<(usize, FigureRow)> = thread::scope(|scope| {
        let run = || {
            let mut rows = Vec::new();
            loop {
                let job = next.fetch_add(1, Ordering::Relaxed);
                let Some((scenario, rule)) = jobs.get(job) else {
                    return rows;
                };
                let outcomes: Vec<TrialOutcome> = (0..trials as u64)
                    .map(|trial| run_trial(*scenario, *rule, seed + trial))
                    .collect();
                rows.push((job, summarise(*scenario, *rule, &outcomes)));
            }
        };
        let handles: Vec<_> = (0..workers).map(|_| scope.spawn(run)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().unwrap_or_default())
            .collect()
    });
    rows.sort_by_key(|(job, _)| *job);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn summarise(scenario: MoveScenario, rule: MoveRule, outcomes: &[TrialOutcome]) -> FigureRow {
    let count = outcomes.len().max(1) as f64;
    let share_of =
        |wanted: fn(&TrialOutcome) -> bool| outcomes.iter().filter(|o| wanted(o)).count() as f64 / count;
    let bad_shares: Vec<f64> = outcomes
        .iter()
        .map(|o| o.bad_calls as f64 / o.calls.max(1) as f64)
        .collect();
    FigureRow {
        scenario,
        rule,
        done_in_time: share_of(|o| o.done_in_time),
        taken_back: share_of(|o| o.taken_back),
        bad_share: bad_shares.iter().sum::<f64>() / count,
        overexposed: share_of(|o| o.is_overexposed),
        worst_bad_share: bad_shares.iter().copied().fold(0.0, f64::max),
        calls_after_detectable: outcomes
            .iter()
            .map(|o| o.calls_after_detectable as f64)
            .sum::<f64>()
            / count,
        late_move_share: share_of(|o| o.late_calls > 0),
        detectable_to_stop_s: median_s(outcomes.iter().filter_map(|o| o.detectable_to_stop_ms)),
        bad_to_stop_s: median_s(outcomes.iter().filter_map(|o| o.bad_to_stop_ms)),
    }
}

/// Returns the median of times in milliseconds, in seconds; NaN without any value.
fn median_s(times_ms: impl Iterator<Item = u64>) -> f64 {
    let mut sorted: Vec<u64> = times_ms.collect();
    sorted.sort_unstable();
    sorted
        .get(sorted.len() / 2)
        .map_or(f64::NAN, |ms| *ms as f64 / 1e3)
}

/// Formats the rows as a Markdown table. The columns about bad calls have dashes for good versions.
pub fn render(rows: &[FigureRow]) -> String {
    let mut text = String::from(
        "| version and conditions | rule | done in time | taken back | bad share of calls, mean / worst | moves over the users' exposure | calls after showing | moves with calls > 3 s after showing | showing to stop, median | badness to stop, median |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let bad = if row.scenario.is_good() {
            "– | – | – | – | – | –".to_owned()
        } else {
            format!(
                "{:.2} % / {:.2} % | {:.1} % | {:.1} | {:.1} % | {:.1} s | {:.1} s",
                row.bad_share * 100.0,
                row.worst_bad_share * 100.0,
                row.overexposed * 100.0,
                row.calls_after_detectable,
                row.late_move_share * 100.0,
                row.detectable_to_stop_s,
                row.bad_to_stop_s,
            )
        };
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} % | {:.1} % | {bad} |",
            row.scenario.label(),
            row.rule,
            row.done_in_time * 100.0,
            row.taken_back * 100.0,
        );
    }
    text
}
