//! Plays the choice of targets by many daemons with old figures, in memory: docs/design/even-load.md.

mod play;
mod rule;
mod table;

pub use {
    play::{BalanceFigures, DemandShape, play_balance},
    rule::ChoiceRule,
    table::{BalanceCase, balance_cases, render_balance},
};
