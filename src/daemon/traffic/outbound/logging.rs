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

/// Returns the number of answers that were not logged since the last line if this one is to be logged, otherwise `None`.
/// Late answers and those with a 5xx status are logged, and some of the redirects and client errors, which a caller could
/// take for the daemon's own. Others are counted in the metrics only.
pub(super) fn admit_answer(
    shared: &SharedState,
    call: &RoutedCall,
    answer: &ReceivedAnswer,
    is_late: bool,
) -> Option<u64> {
    let status = answer.status;
    if is_late || status.is_server_error() {
        return Some(0);
    }
    if !status.is_redirection() && !status.is_client_error() {
        return None;
    }
    let subject = (&call.route.name, &answer.target);
    shared
        .refusal_lines
        .admit("target", status, "answered", subject, shared.now())
}

/// Logs an answer that is passed on to the caller.
pub(super) fn log_answer(call: &RoutedCall, answer: &ReceivedAnswer, took_ms: u64, suppressed: u64) {
    log::info!(
        target: "calls",
        "event=call-answered id={} attempt={} route={} pool={} target={} version={} status={} took_ms={took_ms} useful_ms={} \
         suppressed={suppressed}",
        log_word(call.options.id.as_deref().unwrap_or("")),
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
        log_word(call.options.id.as_deref().unwrap_or("")),
        hop.id,
        log_word(&call.route.name),
        target.name
    );
}
