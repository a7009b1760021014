//! Plays loads over gates in memory, with the gate's own decisions, and tells who is served: `docs/ADMISSION.md`.

mod pattern;
mod play;
mod rule;
mod table;

pub use {
    pattern::{CallKind, LoadPattern, load_patterns},
    play::{AdmissionFigures, KindFigures, play_load},
    rule::AdmissionRule,
    table::render_admission,
};
