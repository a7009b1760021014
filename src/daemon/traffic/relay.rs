//! Relaying of HTTP messages: headers, answers and refusals.

use {
    super::{
        body::{AnswerBody, stream_until},
        hop::header,
    },
    crate::{
        call::{CallOutcome, RefusalReason},
        clock::TimePoint,
        daemon::shared::SharedState,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    salvo::{
        Response,
        http::{
            HeaderMap, HeaderName, HeaderValue, ReqBody, ResBody, StatusCode,
            header::{
                CONNECTION, CONTENT_TYPE, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
                TRANSFER_ENCODING, UPGRADE,
            },
        },
    },
};

const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the headers that travel end to end: hop-by-hop ones and the daemons' own are left out.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_names: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || *name == EXPECT
            || text == "keep-alive"
            || text.starts_with(header::PREFIX)
            || connection_names
                .iter()
                .any(|connection_names| connection_names == text);
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Reads a header as a number.
pub fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a header as text.
pub fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Makes a header value of a text; characters that a header can't hold give an empty one.
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Passes an answer on. `guard` lives until the body has been sent or given up.
pub fn pass_answer<K: Send + 'static>(
    res: &mut Response,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    deadline: TimePoint,
    now: TimePoint,
    guard: K,
) {
    res.status_code(status);
    *res.headers_mut() = headers;
    match body {
        AnswerBody::Buffered(bytes) => {
            res.body(ResBody::Once(bytes));
            drop(guard);
        }
        AnswerBody::None => drop(guard),
        AnswerBody::Streaming(chunks) => res.stream(stream_until(chunks, deadline, now, guard)),
    }
}

/// Answers with a text that names what happened and the remedy.
pub fn answer_text(res: &mut Response, status: StatusCode, outcome: CallOutcome, reason: &str, text: &str) {
    res.status_code(status);
    res.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    res.body(ResBody::Once(Bytes::from(format!(
        "{outcome}: {reason}: {text}\n"
    ))));
}

/// Returns the status of a refusal. 503 says that the request did not run.
pub fn refusal_status(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (_, RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::WrongMethod) => StatusCode::METHOD_NOT_ALLOWED,
        (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
        (_, RefusalReason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, RefusalReason::HeadTooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        (_, RefusalReason::BodyIncomplete) => StatusCode::REQUEST_TIMEOUT,
        (CallOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (CallOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Adds what a leaving daemon tells its callers: use another connection.
pub fn add_close_header(shared: &SharedState, res: &mut Response) {
    if shared.is_leaving() {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Reads a whole control body of at most `limit` bytes.
pub async fn read_limited(body: ReqBody, limit: usize) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return None;
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
}
