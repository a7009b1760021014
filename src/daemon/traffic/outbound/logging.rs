//! Log lines of calls.

use {
    super::{ReceivedAnswer, RoutedCall},
    crate::{
        call::{AttemptOutcome, CallOutcome, RefusalReason},
        daemon::{
            refusals::{RequestFields, log_word},
            shared::SharedState,
            snapshot::ServingTarget,
            traffic::hop::HopCall,
        },
    },
    salvo::{Request, http::StatusCode},
};

/// Refused call as it is logged.
pub(super) struct LoggedRefusal<'a> {
    /// Name of the route; empty if none was found.
    pub route: &'a str,
    /// Name of the pool; empty if none was drawn.
    pub pool: &'a str,
    pub status: StatusCode,
    pub outcome: CallOutcome,
    pub reason: RefusalReason,
    pub detail: &'a str,
    /// Number of refusals for this reason that were not logged since the last one.
    pub suppressed: u64,
}

/// Logs a refused call with what the caller sent and with the table that this daemon judged it by.
pub(super) fn log_refusal(shared: &SharedState, req: &Request, refusal: &LoggedRefusal<'_>) {
    log::info!(
        target: "calls",
        "event=call-refused id={} route={} pool={} status={} outcome={} reason={} {} suppressed={} detail={:?}",
        log_word(shared.dialect.call_id(req.headers()).unwrap_or("")),
        log_word(refusal.route),
        log_word(refusal.pool),
        refusal.status.as_u16(),
        refusal.outcome,
        refusal.reason.as_str(),
        RequestFields { shared, req },
        refusal.suppressed,
        refusal.detail
    );
}

/// Logs an answer that is late or has a 5xx status; other answers are counted in the metrics only.
pub(super) fn log_slow_or_failed(call: &RoutedCall, answer: &ReceivedAnswer, took_ms: u64) {
    log::info!(
        target: "calls",
        "event=call-answered id={} attempt={} route={} pool={} target={} version={} status={} took_ms={took_ms} useful_ms={}",
        call.options.id.as_deref().unwrap_or(""),
        answer.attempt,
        log_word(&call.route.name),
        log_word(&call.pool.name),
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
        log_word(&call.route.name),
        target.name
    );
}
