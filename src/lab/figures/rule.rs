//! The rules compared in the figures: the controller with both policies, and two baselines.

use {
    crate::config::MovePolicy,
    std::fmt::{Display, Formatter},
};

/// Rule that decides on the share and the verdict of a simulated move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveRule {
    /// The move controller with a policy.
    Controller(MovePolicy),
    /// Baseline: the shares of the prompt schedule by time alone, without evidence.
    TimedRamp,
    /// Baseline: the same ramp, taken back when more than 5 % of the new version's calls in the last 10 s failed, with at
    /// least 20 calls.
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
