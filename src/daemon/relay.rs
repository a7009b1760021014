//! Relaying of HTTP messages: headers, bodies in both directions, and refusals.

use {
    super::shared::SharedState,
    crate::{
        call::{CallOutcome, RefusalReason},
        clock::TimePoint,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, stream},
    http_body_util::BodyExt,
    salvo::{
        Response,
        http::{
            HeaderMap, HeaderName, HeaderValue, Method, ReqBody, ResBody, StatusCode,
            header::{
                CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHENTICATE,
                PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
            },
        },
    },
    std::{io, pin::Pin, time::Duration},
    tokio::time::timeout,
};

/// Names of the headers that daemons add.
pub mod header {
    /// Identity of a call; an answer repeats it.
    pub const CALL: &str = "fuchsiashore-call";
    /// Time left for a call, in milliseconds.
    pub const TIMEOUT_MS: &str = "fuchsiashore-timeout-ms";
    /// On refusals: `not-run` or `unknown`.
    pub const OUTCOME: &str = "fuchsiashore-outcome";
    /// On refusals: a word for the reason.
    pub const REASON: &str = "fuchsiashore-reason";
    /// Route of a call, between daemons.
    pub const ROUTE: &str = "fuchsiashore-route";
    /// Pool of a call, between daemons.
    pub const POOL: &str = "fuchsiashore-pool";
    /// Whether a call may be repeated, between daemons.
    pub const REPEATABLE: &str = "fuchsiashore-repeatable";
    /// Calls that run and wait at a gate, on its answers.
    pub const LOAD: &str = "fuchsiashore-load";
    /// Clearance of the pool's open move, on a gate's answers.
    pub const CLEARANCE: &str = "fuchsiashore-clearance";
    /// What all of them begin with.
    pub const PREFIX: &str = "fuchsiashore-";
}

/// Largest body that is held whole, so that a request can be sent again and an answer be checked before it is
/// passed on, in bytes.
pub const HELD_BODY_BYTES: u64 = 64 * 1024;

/// Most bytes of a refused body that are read, and the time for it.
const DISCARD_BYTES: usize = 64 << 20;
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the headers that travel end to end: hop-by-hop ones and the daemons' own are left out.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_hop = HOP_HEADERS.contains(name)
            || *name == EXPECT
            || text == "keep-alive"
            || text.starts_with(header::PREFIX)
            || named.iter().any(|named| named == text);
        if !is_hop {
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

/// The body of a request on its way to the next hop.
#[derive(Debug)]
pub enum RequestBody {
    /// Held whole; can be sent again.
    Held(Bytes),
    /// Passed on as it comes; can be sent once.
    Passing(Box<ReqBody>),
    /// Passed on already.
    Spent,
}

/// A request body that breaks a limit or did not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off or did not arrive in time.
    Incomplete,
}

impl RequestBody {
    /// Reads a small body whole; a large one or one of unknown length is passed on as it comes.
    pub async fn read(
        headers: &HeaderMap,
        body: ReqBody,
        limit: u64,
        deadline: TimePoint,
        now: TimePoint,
    ) -> Result<Self, BodyFault> {
        let length = number_header(headers, CONTENT_LENGTH.as_str());
        let is_chunked = headers.contains_key(TRANSFER_ENCODING);
        match length {
            Some(length) if length > limit => {
                discard(body).await;
                Err(BodyFault::TooLarge)
            }
            Some(length) if length <= HELD_BODY_BYTES => {
                let whole = timeout(deadline.left_from(now), BodyExt::collect(body)).await;
                match whole {
                    Ok(Ok(whole)) => Ok(Self::Held(whole.to_bytes())),
                    Ok(Err(_)) | Err(_) => Err(BodyFault::Incomplete),
                }
            }
            None if !is_chunked => Ok(Self::Held(Bytes::new())),
            _ => Ok(Self::Passing(Box::new(body))),
        }
    }

    /// Tells whether the body can be sent again.
    pub fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// Makes the body of the next attempt. One that is passed on is spent by it and ends with an error if it
    /// grows over the limit.
    pub fn take(&mut self, limit: u64) -> Option<reqwest::Body> {
        match self {
            Self::Held(bytes) if bytes.is_empty() => None,
            Self::Held(bytes) => Some(reqwest::Body::from(bytes.clone())),
            Self::Passing(_) => {
                let Self::Passing(body) = std::mem::replace(self, Self::Spent) else {
                    return None;
                };
                Some(reqwest::Body::wrap_stream(limited(*body, limit)))
            }
            Self::Spent => None,
        }
    }
}

/// Reads and drops a body that is refused, within limits, so that the caller gets to read the refusal instead of a
/// broken connection.
async fn discard(body: ReqBody) {
    let mut body = body;
    let mut left = DISCARD_BYTES;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    // A body that is not through by then is cut off.
    let _ = timeout(DISCARD_LIMIT, reading).await;
}

fn limited(body: ReqBody, limit: u64) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut left = limit;
    body.filter_map(|frame| async move {
        match frame {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(error)),
        }
    })
    .map(move |chunk| {
        let chunk = chunk?;
        left = left
            .checked_sub(chunk.len() as u64)
            .ok_or_else(|| io::Error::other("request body is over the limit"))?;
        Ok(chunk)
    })
}

/// The body of an answer on its way back.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole and known to be complete.
    Held(Bytes),
    /// Passed on as it comes.
    Passing(reqwest::Response),
    /// There is none, as with HEAD, 204 and 304.
    None,
}

/// Reads a small answer whole, so that a cut one is noticed before anything is passed on.
pub async fn read_answer(
    method: &Method,
    answer: reqwest::Response,
    deadline: TimePoint,
    now: TimePoint,
) -> Result<AnswerBody, AnswerFault> {
    let status = answer.status();
    let is_bodiless =
        *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if is_bodiless {
        return Ok(AnswerBody::None);
    }
    let length = number_header(answer.headers(), CONTENT_LENGTH.as_str());
    match length {
        Some(length) if length <= HELD_BODY_BYTES => {
            match timeout(deadline.left_from(now), answer.bytes()).await {
                Ok(Ok(bytes)) => Ok(AnswerBody::Held(bytes)),
                Ok(Err(_)) => Err(AnswerFault::Cut),
                Err(_) => Err(AnswerFault::Late),
            }
        }
        _ => Ok(AnswerBody::Passing(answer)),
    }
}

/// An answer whose body did not arrive whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection broke.
    Cut,
    /// The deadline passed.
    Late,
}

/// Passes an answer on. `keep` lives until the body has been sent or given up. A body that breaks off or is
/// over-late ends as an aborted transfer, never as a clean short one.
pub fn pass_answer<K: Send + 'static>(
    res: &mut Response,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    deadline: TimePoint,
    now: TimePoint,
    keep: K,
) {
    res.status_code(status);
    *res.headers_mut() = headers;
    match body {
        AnswerBody::Held(bytes) => {
            res.body(ResBody::Once(bytes));
            drop(keep);
        }
        AnswerBody::None => drop(keep),
        AnswerBody::Passing(answer) => {
            let end = tokio::time::Instant::now() + deadline.left_from(now);
            res.stream(until(answer.bytes_stream().boxed(), end, keep));
        }
    }
}

type ByteStream = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

fn until<K: Send + 'static>(
    body: ByteStream,
    end: tokio::time::Instant,
    keep: K,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some((body, keep)), move |state| async move {
        let (mut body, keep) = state?;
        match tokio::time::timeout_at(end, body.next()).await {
            Ok(None) => None,
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some((body, keep)))),
            Ok(Some(Err(error))) => Some((Err(io::Error::other(error)), None)),
            Err(_) => Some((
                Err(io::Error::new(io::ErrorKind::TimedOut, "answer is over-late")),
                None,
            )),
        }
    })
}

/// Answers with a refusal that states its outcome, its reason and a remedy.
pub fn refuse(res: &mut Response, outcome: CallOutcome, reason: RefusalReason, detail: &str) {
    refuse_with(
        res,
        status_of(outcome, reason),
        outcome,
        reason.word(),
        &format!("{}{detail}", reason.remedy()),
    );
}

/// Answers with a refusal of the given status.
pub fn refuse_with(res: &mut Response, status: StatusCode, outcome: CallOutcome, reason: &str, text: &str) {
    res.status_code(status);
    let headers = res.headers_mut();
    headers.insert(header::OUTCOME, header_value(&outcome.to_string()));
    headers.insert(header::REASON, header_value(reason));
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    res.body(ResBody::Once(Bytes::from(format!(
        "{outcome}: {reason}: {text}\n"
    ))));
}

fn status_of(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (_, RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::WrongMethod) => StatusCode::METHOD_NOT_ALLOWED,
        (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
        (CallOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (CallOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Adds what a leaving daemon tells its callers: use another connection.
pub fn mark_leaving(shared: &SharedState, res: &mut Response) {
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

/// Sets the Host header that the caller sent, instead of the next hop's address.
pub fn keep_host(headers: &HeaderMap, onward: &mut HeaderMap) {
    if let Some(host) = headers.get(HOST) {
        onward.insert(HOST, host.clone());
    }
}
