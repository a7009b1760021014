//! What is expected of targets for one call.

use super::candidate::CandidateTarget;

/// Smallest weight of a report in the mean load of targets.
const MIN_REPORT_WEIGHT: f64 = 0.3;

/// Answer that is expected from a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedAnswer {
    /// Calls a slot that precede the call.
    pub(super) load: f64,
    pub(super) run_ms: f64,
    pub(super) wait_ms: f64,
    pub(super) distance_ms: f64,
    /// Factor of the cost by the target's failure share relative to the baseline.
    pub(super) failure_factor: f64,
}

impl ExpectedAnswer {
    pub(super) fn time_ms(self) -> f64 {
        self.unqueued_ms() + self.wait_ms
    }

    /// Returns whether the answer takes more than a multiple of its time without a wait. Only then do other calls delay it, so
    /// that refusing it helps anybody.
    pub(super) fn is_queued(self, factor: f64) -> bool {
        self.time_ms() > self.unqueued_ms() * factor
    }

    fn unqueued_ms(self) -> f64 {
        self.run_ms + self.distance_ms
    }
}

/// Earliest answer that is expected of a call's targets, as it is logged where none is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerForecast {
    /// Expected time of the run, in milliseconds.
    pub run_ms: f64,
    /// Whether a gate has reported a run of the call's route.
    pub is_run_known: bool,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Calls a slot that precede the call.
    pub load: f64,
}

/// What is expected of a target for one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetLook<'a> {
    pub(super) target: &'a CandidateTarget,
    /// Calls a slot that precede the call.
    pub(super) load: f64,
    /// Whether the target is full for the call's rank, or not expected to answer within the limit.
    pub(super) is_late: bool,
    /// Whether it is late by so much, for the calls before this one, that its gate would hardly admit the call.
    pub(super) is_hopeless: bool,
    pub(super) cost_ms: f64,
    /// Drawn, lower for targets with more weight.
    pub(super) turn: f64,
}

/// Reference values over the candidates that have statistics.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetBaseline {
    /// Mean time of a run, in milliseconds. Targets without statistics are assumed to take as long, otherwise they
    /// would appear to be free of cost.
    pub(super) run_ms: f64,
    /// The same for runs of the call's route; `None` if no target has reported one.
    pub(super) route_run_ms: Option<f64>,
    /// Lowest failure share.
    pub(super) failure_share: f64,
    /// Mean load of the targets in this data centre, in calls a slot that precede the call.
    pub(super) near_load: f64,
    /// The same for those in other data centres.
    pub(super) far_load: f64,
}

pub(super) fn first_in_turn<'a, 'b>(
    looks: impl Iterator<Item = &'b TargetLook<'a>>,
) -> Option<&'b TargetLook<'a>>
where
    'a: 'b,
{
    looks.min_by(|a, b| a.turn.total_cmp(&b.turn))
}

pub(super) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Returns the mean of values with weights, 0 without any.
pub(super) fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (sum, total) = values.fold((0.0, 0.0), |(sum, total), (value, weight)| {
        let weight = weight.max(MIN_REPORT_WEIGHT);
        (sum + value * weight, total + weight)
    });
    if total > 0.0 { sum / total } else { 0.0 }
}
