//! Helpers for headers, answers and refusals that are relayed between hops.

use {
    super::{
        answer_body::{AnswerBody, TransferEnd, stream_until},
        hop::header,
    },
    crate::{
        call::{CallOutcome, RefusalReason},
        daemon::shared::SharedState,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Body as _,
    salvo::{
        Request, Response,
        http::{
            HeaderMap, HeaderName, HeaderValue, ReqBody, ResBody, StatusCode,
            header::{
                CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHENTICATE,
                PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
            },
            uri::Authority,
        },
    },
    std::time::Duration,
    tokio::{
        sync::{Semaphore, SemaphorePermit},
        time::timeout,
    },
};

/// Maximum time for reading a body whose sender gives up as early.
const BODY_LIMIT: Duration = Duration::from_secs(2);
/// Size up to which a body is read without waiting for room, in bytes.
const FREE_BYTES: usize = 64 * 1024;

const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the end-to-end headers: all except hop-by-hop headers, those named in `connection`, `expect`, and
/// `fuchsiashore-` headers. A name in `protected` is no option of a connection (RFC 9110, 7.6.1).
pub fn end_to_end_headers(headers: &HeaderMap, protected: &[&str]) -> HeaderMap {
    let connection_names: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !protected.contains(&name.as_str()))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_removed = HOP_BY_HOP_HEADERS.contains(name)
            || *name == EXPECT
            || text == "keep-alive"
            || text.starts_with(header::PREFIX)
            || connection_names
                .iter()
                .any(|connection_name| connection_name == text);
        if !is_removed {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns a header as text; `None` if it is missing or not visible ASCII.
pub fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the host of a request: the authority of its URI if that has one, otherwise the `host` header (RFC 9112, 3.2.2).
/// It is empty if it is missing or not visible ASCII.
pub fn request_host(req: &Request) -> &str {
    let header = || req.headers().get(HOST).and_then(|host| host.to_str().ok());
    let authority = req.uri().authority().map(Authority::as_str);
    let host = authority.or_else(header).unwrap_or("");
    host.rsplit('@').next().unwrap_or(host)
}

/// Creates a header value from a text. The value is empty if the text has characters that a header can't contain.
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Writes an answer to the response, and drops `guard` after the body has been sent or given up; at once for a buffered
/// body.
pub fn write_answer<K: Send + 'static>(
    res: &mut Response,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    end: TransferEnd,
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
        AnswerBody::Streaming { chunks, length } => {
            // The sender may have stated the length in another form.
            match length {
                Some(length) => drop(res.headers_mut().insert(CONTENT_LENGTH, length.into())),
                None => drop(res.headers_mut().remove(CONTENT_LENGTH)),
            }
            res.stream(stream_until((chunks, length), end, guard));
        }
    }
}

/// Writes a refusal to the response: status and a text body with outcome, reason and remedy.
pub fn write_refusal(res: &mut Response, status: StatusCode, outcome: CallOutcome, reason: &str, text: &str) {
    res.status_code(status);
    res.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    res.body(ResBody::Once(Bytes::from(format!(
        "{outcome}: {reason}: {text}\n"
    ))));
}

/// Returns the status of a refusal. 503 means that the request did not run, 504 that it may have run.
pub fn refusal_status(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (_, RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::WrongMethod) => StatusCode::METHOD_NOT_ALLOWED,
        (_, RefusalReason::UnknownKey) => StatusCode::UNAUTHORIZED,
        (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
        (_, RefusalReason::UnknownCoding) => StatusCode::NOT_IMPLEMENTED,
        (_, RefusalReason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, RefusalReason::HeadTooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        (_, RefusalReason::BodyIncomplete) => StatusCode::REQUEST_TIMEOUT,
        (CallOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (CallOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Returns whether a status of an answer is one (RFC 9110, 15); the HTTP library takes any number from 100 to 999.
pub fn is_defined_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Adds `connection: close` if the daemon is leaving, so that its clients open another connection.
pub fn add_close_header(shared: &SharedState, res: &mut Response) {
    if shared.is_leaving() {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Adds `connection: close` unless the body of the refused request was read to its end: the server closes the connection
/// then, and the client has to know that it can't send another request on it.
pub fn keep_connection_if(has_ended: bool, res: &mut Response) {
    if !has_ended {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Body that was read whole.
pub struct WholeBody<'a> {
    /// Bytes of the body.
    pub content: Bytes,
    /// Room that the body takes until dropped.
    _room: Option<SemaphorePermit<'a>>,
}

/// Reads a whole body. Returns `None` if it exceeds `limit` bytes, breaks off, or is not complete after [`BODY_LIMIT`]. One
/// that may be over [`FREE_BYTES`] first waits for the room that it needs among the bodies that are read at the same time.
pub async fn read_limited(mut body: ReqBody, limit: usize, room: &Semaphore) -> Option<WholeBody<'_>> {
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return None;
    }
    let needed = size.upper().map_or(limit, |upper| limit.min(upper as usize));
    let reading = async {
        // All of it at once: bodies that each hold a part would wait for one another.
        let taken = match needed {
            0..=FREE_BYTES => None,
            _ => Some(room.acquire_many(needed as u32).await.ok()?),
        };
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            if content.len() + data.len() > limit {
                return None;
            }
            content.extend_from_slice(&data);
        }
        Some(WholeBody {
            content: content.freeze(),
            _room: taken,
        })
    };
    timeout(BODY_LIMIT, reading).await.ok()?
}
