//! Log lines of calls.

use {
    super::{AnswerInHand, RoutedCall},
    crate::{
        call::AttemptOutcome,
        daemon::{snapshot::ServingTarget, traffic::hop::HopCall},
    },
};

/// Logs an answer that came late or is a failure of the target; sound ones are counted only.
pub(super) fn log_slow_or_failed(call: &RoutedCall, answer: &AnswerInHand, took_ms: u64) {
    log::info!(
        target: "calls",
        "event=call-answered id={} attempt={} route={} pool={} target={} version={} status={} took_ms={took_ms} useful_ms={}",
        call.caller.id.as_deref().unwrap_or(""),
        answer.attempt,
        call.route.name,
        call.pool.name,
        answer.target,
        answer.version,
        answer.status.as_u16(),
        call.useful_until.ms_since(call.arrived_at)
    );
}

/// Logs an attempt that brought no answer to pass on.
pub(super) fn log_attempt(
    call: &RoutedCall,
    target: &ServingTarget,
    hop: &HopCall,
    outcome: AttemptOutcome,
    reason: &str,
) {
    log::info!(
        target: "calls",
        "event=attempt-failed id={} attempt={} route={} target={} outcome={outcome:?} reason={reason:?}",
        call.caller.id.as_deref().unwrap_or(""),
        hop.id,
        call.route.name,
        target.name
    );
}
