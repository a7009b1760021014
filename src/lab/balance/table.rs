//! The table of figures.

use {
    super::{
        play::{DemandShape, play_balance},
        rule::ChoiceRule,
    },
    std::fmt::Write as _,
};

/// Demand, as a multiple of what the targets can run, and the age of the figures.
#[derive(Debug, Clone, Copy)]
pub struct BalanceCase {
    /// How the demand changes.
    pub shape: DemandShape,
    /// Demand as a multiple of what the targets can run.
    pub load: f64,
    /// Time between two reports of a target, in milliseconds.
    pub report_ms: u64,
}

/// Returns the cases of the table.
pub fn balance_cases() -> Vec<BalanceCase> {
    let steady = [0.5, 0.8, 0.95, 1.1].map(|load| (DemandShape::Steady, load));
    let demands = steady
        .into_iter()
        .chain([(DemandShape::Step, 0.95), (DemandShape::Wave, 0.8)]);
    let cases = demands.flat_map(|(shape, load)| {
        [0, 50, 200, 1_000].map(|report_ms| BalanceCase {
            shape,
            load,
            report_ms,
        })
    });
    cases.collect()
}

/// Plays all cases under all rules, and returns the table in Markdown.
pub fn render_balance(seed: u64) -> String {
    let mut text = String::from(
        "| demand | times capacity | figures renewed, ms | rule | largest over mean | queues beside idle | queues beside room \
         | wait p50, p99, ms | in time | attempts |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for BalanceCase {
        shape,
        load,
        report_ms,
    } in balance_cases()
    {
        for rule in ChoiceRule::ALL {
            let figures = play_balance(rule, shape, load, report_ms, seed);
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "| {} | {load} | {report_ms} | {} | {:.2} | {:.3} | {:.3} | {}, {} | {:.3} | {:.2} |",
                shape.as_str(),
                rule.as_str(),
                figures.largest_over_mean,
                figures.queues_beside_idle,
                figures.queues_beside_room,
                figures.wait_p50_ms,
                figures.wait_p99_ms,
                figures.in_time,
                figures.attempts
            );
        }
    }
    text
}
