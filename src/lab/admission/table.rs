//! The table of figures.

use {
    super::{pattern::load_patterns, play::play_load, rule::AdmissionRule},
    std::fmt::Write as _,
};

/// Plays all loads under all rules, and returns the table in Markdown: shares served and in time by kind.
pub fn render_admission(loads: &[f64], seed: u64) -> String {
    let mut text = String::from(
        "| load | times capacity | rule | served (in time) by kind | runs wasted | inversions |\n|---|---|---|---|---|---|\n",
    );
    for pattern in load_patterns() {
        for load in loads {
            for rule in AdmissionRule::ALL {
                let figures = play_load(&pattern, rule, *load, seed);
                let kinds = pattern.kinds.iter().zip(&figures.kinds).map(|(kind, row)| {
                    let (served, in_time) = (row.share(row.served), row.share(row.in_time));
                    format!("{} {served:.2} ({in_time:.2})", kind.route)
                });
                let kinds = kinds.collect::<Vec<_>>().join(", ");
                let wasted: u32 = figures.kinds.iter().map(|row| row.wasted).sum();
                // Writing to a string can't fail.
                let _ = writeln!(
                    text,
                    "| {} | {load} | {} | {kinds} | {wasted} | {} |",
                    pattern.name,
                    rule.as_str(),
                    figures.inversions
                );
            }
        }
    }
    text
}
