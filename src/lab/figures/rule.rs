//! The rules that are compared: the product's controller with both policies, and two baselines.

use {
    crate::config::MovePolicy,
    std::fmt::{Display, Formatter},
};

/// How a move is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveRule {
    /// The product's controller.
    Controller(MovePolicy),
    /// Baseline: the same ramp by the clock, without evidence.
    TimedRamp,
    /// Baseline: the same ramp, taken back when over 5 % of the last 10 s of new calls, at least 20, failed.
    ErrorThreshold,
}

impl Display for MoveRule {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Controller(MovePolicy::Prompt) => "prompt",
            Self::Controller(MovePolicy::Cautious) => "cautious",
            Self::TimedRamp => "timed ramp",
            Self::ErrorThreshold => "error threshold",
        })
    }
}
