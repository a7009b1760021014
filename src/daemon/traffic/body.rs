//! Bodies on their way in both directions: small ones are held whole, larger ones pass through.

use {
    crate::clock::TimePoint,
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, TryStreamExt, stream},
    http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Frame, Incoming},
    salvo::http::{HeaderMap, Method, ReqBody, StatusCode, header::CONTENT_LENGTH},
    std::{io, pin::Pin, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Largest body that is held whole, so that a request can be sent again and an answer be checked before it is
/// passed on, in bytes.
pub const HELD_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of a refused body that are read, and the time for it, so that the caller gets to read the refusal.
const DISCARD_BYTES: usize = 64 << 20;
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// A body as it is handed to the HTTP client.
pub type OnwardBody = UnsyncBoxBody<Bytes, io::Error>;
type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// The body of a request on its way to the next hop.
pub enum RequestBody {
    /// Held whole; can be sent again.
    Held(Bytes),
    /// Passed on as it comes; can be sent once.
    Passing(ByteStream),
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
    /// Reads a small body whole; a large one is passed on as it comes and ends with an error if it grows over
    /// `limit`.
    pub async fn read(
        headers: &HeaderMap,
        body: ReqBody,
        limit: u64,
        time_left: Duration,
    ) -> Result<Self, BodyFault> {
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > limit) {
            discard(body).await;
            return Err(BodyFault::TooLarge);
        }
        let chunks: ByteStream =
            Box::pin(body.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) }));
        if length.is_some_and(|length| length > HELD_BODY_BYTES as u64) {
            return Ok(Self::Passing(limited(chunks, limit)));
        }
        match timeout(time_left, hold(chunks)).await {
            Ok(Ok(Held::Whole(bytes))) => Ok(Self::Held(bytes)),
            Ok(Ok(Held::Part(chunks))) => Ok(Self::Passing(limited(chunks, limit))),
            Ok(Err(_)) | Err(_) => Err(BodyFault::Incomplete),
        }
    }

    /// Tells whether the body can be sent again.
    pub fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// Returns the size of a body that is held, otherwise the size from which on none is held.
    pub fn held_bytes(&self) -> usize {
        match self {
            Self::Held(bytes) => bytes.len(),
            Self::Passing(_) | Self::Spent => HELD_BODY_BYTES,
        }
    }

    /// Makes the body of the next attempt; one that is passed on is spent by it.
    pub fn take(&mut self) -> OnwardBody {
        match self {
            Self::Held(bytes) => Full::new(bytes.clone())
                .map_err(|never| match never {})
                .boxed_unsync(),
            Self::Passing(_) => {
                let Self::Passing(chunks) = std::mem::replace(self, Self::Spent) else {
                    return empty();
                };
                BodyExt::boxed_unsync(StreamBody::new(chunks.map_ok(Frame::data)))
            }
            Self::Spent => empty(),
        }
    }
}

fn empty() -> OnwardBody {
    Full::new(Bytes::new())
        .map_err(|never| match never {})
        .boxed_unsync()
}

enum Held {
    Whole(Bytes),
    Part(ByteStream),
}

/// Reads up to [`HELD_BODY_BYTES`]; what is longer is given back as a stream with what was read in front.
async fn hold(mut chunks: ByteStream) -> io::Result<Held> {
    let mut read = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        read.extend_from_slice(&chunk?);
        if read.len() > HELD_BODY_BYTES {
            let first = stream::once(async move { Ok(read.freeze()) });
            return Ok(Held::Part(Box::pin(first.chain(chunks))));
        }
    }
    Ok(Held::Whole(read.freeze()))
}

/// Reads and drops a body that is refused, within limits.
async fn discard(mut body: ReqBody) {
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

fn limited(chunks: ByteStream, limit: u64) -> ByteStream {
    let mut left = limit;
    Box::pin(chunks.map(move |chunk| {
        let chunk = chunk?;
        left = left
            .checked_sub(chunk.len() as u64)
            .ok_or_else(|| io::Error::other("request body is over the limit"))?;
        Ok(chunk)
    }))
}

/// The body of an answer on its way back.
pub enum AnswerBody {
    /// Held whole and known to be complete.
    Held(Bytes),
    /// Passed on as it comes.
    Passing(ByteStream),
    /// There is none, as with HEAD, 204 and 304.
    None,
}

/// An answer whose body did not arrive whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection broke.
    Cut,
    /// The deadline passed.
    Late,
}

impl AnswerBody {
    /// Reads a small answer whole, so that a cut one is noticed before anything is passed on.
    pub async fn read(
        method: &Method,
        status: StatusCode,
        body: Incoming,
        time_left: Duration,
    ) -> Result<Self, AnswerFault> {
        let is_bodiless =
            *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if is_bodiless {
            return Ok(Self::None);
        }
        let frames = TryStreamExt::map_err(BodyStream::new(body), io::Error::other);
        let chunks = frames.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) });
        match timeout(time_left, hold(Box::pin(chunks))).await {
            Ok(Ok(Held::Whole(bytes))) => Ok(Self::Held(bytes)),
            Ok(Ok(Held::Part(chunks))) => Ok(Self::Passing(chunks)),
            Ok(Err(_)) => Err(AnswerFault::Cut),
            Err(_) => Err(AnswerFault::Late),
        }
    }
}

/// Passes chunks on until the deadline. `keep` lives until the body has been sent or given up. A body that breaks
/// off or is over-late ends as an aborted transfer, never as a clean short one.
pub fn until<K: Send + 'static>(
    chunks: ByteStream,
    deadline: TimePoint,
    now: TimePoint,
    keep: K,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let end = Instant::now() + deadline.remaining_from(now);
    stream::unfold(Some((chunks, keep)), move |state| async move {
        let (mut chunks, keep) = state?;
        match tokio::time::timeout_at(end, chunks.next()).await {
            Ok(None) => None,
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some((chunks, keep)))),
            Ok(Some(Err(error))) => Some((Err(error), None)),
            Err(_) => Some((
                Err(io::Error::new(io::ErrorKind::TimedOut, "answer is over-late")),
                None,
            )),
        }
    })
}
