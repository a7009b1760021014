//! Log lines of calls.

use {
    super::{ReceivedAnswer, RoutedCall},
    crate::{
        call::AttemptOutcome,
        daemon::{snapshot::ServingTarget, traffic::hop::HopCall},
    },
};

/// Logs an answer that is late or has a 5xx status; other answers are counted in the metrics only.
pub(super) fn log_slow_or_failed(call: &RoutedCall, answer: &ReceivedAnswer, took_ms: u64) {
    log::info!(
        target: "calls",
        "event=call-answered id={} attempt={} route={} pool={} target={} version={} status={} took_ms={took_ms} useful_ms={}",
        call.options.id.as_deref().unwrap_or(""),
        answer.attempt,
        call.route.name,
        call.pool.name,
        answer.target,
        answer.version,
        answer.status.as_u16(),
        call.useful_until.ms_since(call.arrived_at)
    );
}

/// Logs an attempt that failed without an answer for the caller.
pub(super) fn log_failed_attempt(
    call: &RoutedCall,
    target: &ServingTarget,
    hop: &HopCall,
    outcome: AttemptOutcome,
    reason: &str,
) {
    log::info!(
        target: "calls",
        "event=attempt-failed id={} attempt={} route={} target={} outcome={outcome:?} reason={reason:?}",
        call.options.id.as_deref().unwrap_or(""),
        hop.id,
        call.route.name,
        target.name
    );
}
