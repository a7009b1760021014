//! Listeners on which every refused request is counted and logged, whoever refused it: the handler or the HTTP library.

use {
    super::{
        refusals::{RequestFields, log_word, request_subject},
        shared::SharedState,
    },
    crate::http::{CLIENT_TIMEOUTS, EndCause, HeadLimits, PassedLimit, UnreadRequest, serve_observed},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{ResBody, StatusCode},
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
};

/// Serves all requests of a listener that callers don't use, until the runtime stops. Requests that end with a redirect or a
/// client error are counted and logged.
pub async fn serve_counted<H: Handler>(
    shared: Arc<SharedState>,
    name: &'static str,
    listener: TcpListener,
    handler: H,
) -> io::Result<()> {
    let on_end = report_end(Arc::clone(&shared), name);
    let handler = CountedHandler {
        shared,
        listener: name,
        handler,
    };
    let timeouts = Arc::new(|| CLIENT_TIMEOUTS);
    serve_observed(listener, handler, HeadLimits::CONTROL, timeouts, on_end).await
}

/// Returns a function that counts and logs the end of a connection that no handler ended. No head was read, so the line has
/// no id.
pub fn report_end(shared: Arc<SharedState>, listener: &'static str) -> impl Fn(SocketAddr, &EndCause) {
    move |peer, cause| match cause {
        EndCause::Unread(unread) => report_unread(&shared, listener, peer, unread),
        EndCause::Http2 => report_unanswered(&shared, listener, peer, "http2"),
        EndCause::Passed(PassedLimit::Head) => report_unanswered(&shared, listener, peer, "slow-head"),
        // The client has asked for nothing, so there is nothing to explain.
        EndCause::Passed(PassedLimit::Idle) => shared.metrics.count_ended_connection(listener, "idle"),
    }
}

/// Counts and logs a request that the HTTP library refused.
fn report_unread(shared: &SharedState, listener: &'static str, peer: SocketAddr, unread: &UnreadRequest) {
    let reason = match unread.status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "unread-head-too-large",
        StatusCode::URI_TOO_LONG => "unread-uri-too-long",
        _ => "unread-malformed",
    };
    let detail = unread.to_string();
    let subject = (peer.ip(), &detail);
    if let Some(suppressed) = shared.record_refusal(listener, unread.status, reason, subject) {
        log::info!(
            target: "calls",
            "event=request-unread listener={listener} status={} reason={reason} peer={peer} suppressed={suppressed} detail={detail:?}",
            unread.status.as_u16()
        );
    }
}

/// Counts and logs a connection that ended without an answer.
fn report_unanswered(shared: &SharedState, listener: &'static str, peer: SocketAddr, cause: &'static str) {
    shared.metrics.count_ended_connection(listener, cause);
    let admitted = shared
        .refusal_lines
        .admit(listener, None, cause, peer.ip(), shared.now());
    if let Some(suppressed) = admitted {
        log::info!(
            target: "calls",
            "event=connection-ended listener={listener} cause={cause} peer={peer} suppressed={suppressed}"
        );
    }
}

/// Counts and logs a refused request, with what was sent and the table in force.
pub fn report_refusal(
    shared: &SharedState,
    listener: &'static str,
    req: &Request,
    (status, reason): (StatusCode, &'static str),
    detail: &str,
) {
    let peer = req.remote_addr().clone().into_std();
    let subject = (peer.map(|peer| peer.ip()), request_subject(req));
    if let Some(suppressed) = shared.record_refusal(listener, status, reason, subject) {
        log::info!(
            target: "calls",
            "event=request-refused id={} listener={listener} status={} reason={reason} peer={} {} suppressed={suppressed} detail={:?}",
            log_word(shared.dialect.call_id(req.headers()).unwrap_or("")),
            status.as_u16(),
            peer.map(|peer| peer.to_string()).unwrap_or_default(),
            RequestFields { shared, req },
            detail
        );
    }
}

/// Handler whose refusals are counted and logged.
struct CountedHandler<H> {
    shared: Arc<SharedState>,
    listener: &'static str,
    handler: H,
}

#[async_trait]
impl<H: Handler> Handler for CountedHandler<H> {
    async fn handle(&self, req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
        self.handler.handle(req, depot, res, ctrl).await;
        let Some(status) = res.status_code else { return };
        if !status.is_redirection() && !status.is_client_error() {
            return;
        }
        let detail = match &res.body {
            ResBody::Once(bytes) => str::from_utf8(bytes).unwrap_or("").trim_end(),
            _ => "",
        };
        report_refusal(
            &self.shared,
            self.listener,
            req,
            (status, refusal_reason(status)),
            detail,
        );
    }
}

/// Returns the reason under which an answer of a handler is counted.
fn refusal_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::BAD_REQUEST => "bad-request",
        StatusCode::NOT_FOUND => "not-found",
        StatusCode::CONFLICT => "conflict",
        StatusCode::PAYLOAD_TOO_LARGE => "message-too-large",
        _ => "other",
    }
}
