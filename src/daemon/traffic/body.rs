//! Request and answer bodies: small ones are fully buffered, larger ones are streamed.

use {
    crate::{clock::TimePoint, http::ConnectionCloser},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, TryStreamExt, stream},
    http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Frame, Incoming},
    salvo::http::{HeaderMap, Method, ReqBody, StatusCode, header::CONTENT_LENGTH},
    std::{io, pin::Pin, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until, timeout, timeout_at},
    },
};

/// Largest body that is fully buffered, in bytes. A buffered request can be sent again, and a buffered answer is known
/// to be complete before any of it is returned.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a refused body that are read and dropped, so that the caller, which may send its whole
/// body first, gets to read the refusal.
const DISCARD_BYTES: usize = 64 << 20;
/// Maximum time for reading a refused body.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// Body type of the HTTP clients' requests.
pub type ForwardedBody = UnsyncBoxBody<Bytes, io::Error>;
type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Body of a request to the next hop.
pub enum RequestBody {
    /// Fully buffered; can be sent again.
    Buffered(Bytes),
    /// Streamed from the caller; can be sent once.
    Streaming(ByteStream),
    /// Streamed body that was sent already.
    Consumed,
}

/// Error on reading a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body broke off or did not arrive in time.
    Incomplete,
}

impl RequestBody {
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`]. A larger one is streamed; the stream ends with an error if it
    /// exceeds `limit` bytes or is not complete at `until`.
    ///
    /// Fails with [`BodyFault::TooLarge`] if the declared length exceeds `limit`, and with [`BodyFault::Incomplete`] if
    /// the body breaks off or `until` passes while it is buffered.
    pub async fn read(
        headers: &HeaderMap,
        body: ReqBody,
        limit: u64,
        until: Instant,
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
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            return Ok(Self::Streaming(limit_transfer(chunks, limit, until)));
        }
        match timeout_at(until, buffer(chunks)).await {
            Ok(Ok(BufferedBody::Complete(bytes))) => Ok(Self::Buffered(bytes)),
            Ok(Ok(BufferedBody::Oversized(chunks))) => {
                Ok(Self::Streaming(limit_transfer(chunks, limit, until)))
            }
            Ok(Err(_)) | Err(_) => Err(BodyFault::Incomplete),
        }
    }

    /// Returns whether the body is buffered and can be sent again.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the size of a buffered body in bytes, otherwise [`MAX_BUFFERED_BYTES`], which a streamed body exceeds.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Buffered(bytes) => bytes.len(),
            Self::Streaming(_) | Self::Consumed => MAX_BUFFERED_BYTES,
        }
    }

    /// Returns the body for the next attempt. A streamed body is consumed; after that, the body is empty.
    pub fn take(&mut self) -> ForwardedBody {
        match self {
            Self::Buffered(bytes) => Full::new(bytes.clone())
                .map_err(|never| match never {})
                .boxed_unsync(),
            Self::Streaming(_) => {
                let Self::Streaming(chunks) = std::mem::replace(self, Self::Consumed) else {
                    return empty();
                };
                BodyExt::boxed_unsync(StreamBody::new(chunks.map_ok(Frame::data)))
            }
            Self::Consumed => empty(),
        }
    }
}

fn empty() -> ForwardedBody {
    Full::new(Bytes::new())
        .map_err(|never| match never {})
        .boxed_unsync()
}

enum BufferedBody {
    Complete(Bytes),
    Oversized(ByteStream),
}

/// Buffers a body of up to [`MAX_BUFFERED_BYTES`]. A longer one is returned as a stream that begins with what was read.
async fn buffer(mut chunks: ByteStream) -> io::Result<BufferedBody> {
    let mut read = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        read.extend_from_slice(&chunk?);
        if read.len() > MAX_BUFFERED_BYTES {
            let first = stream::once(async move { Ok(read.freeze()) });
            return Ok(BufferedBody::Oversized(Box::pin(first.chain(chunks))));
        }
    }
    Ok(BufferedBody::Complete(read.freeze()))
}

/// Reads and drops a refused body, at most [`DISCARD_BYTES`] of it and for at most [`DISCARD_LIMIT`].
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
    // If the body has not ended by then, the connection is closed.
    let _ = timeout(DISCARD_LIMIT, reading).await;
}

fn limit_transfer(chunks: ByteStream, limit: u64, until: Instant) -> ByteStream {
    Box::pin(stream::try_unfold(
        (chunks, limit),
        move |(mut chunks, left)| async move {
            let chunk = timeout_at(until, chunks.next()).await;
            let Some(chunk) =
                chunk.map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "request body is over-late"))?
            else {
                return Ok(None);
            };
            let chunk = chunk?;
            let left = left
                .checked_sub(chunk.len() as u64)
                .ok_or_else(|| io::Error::other("request body is over the limit"))?;
            Ok(Some((chunk, (chunks, left))))
        },
    ))
}

/// Body of an answer.
pub enum AnswerBody {
    /// Fully buffered, so known to be complete.
    Buffered(Bytes),
    /// Streamed from the previous hop.
    Streaming(ByteStream),
    /// No body: the answer to a HEAD request, or one with status 204 or 304.
    None,
}

/// Error on reading the body of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection broke before the end of the body.
    Cut,
    /// The deadline passed before the end of the body.
    Late,
}

impl AnswerBody {
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`] that is complete by `until`, so that a truncated one is detected
    /// before any of the answer is returned. A larger one is streamed.
    pub async fn read(
        method: &Method,
        status: StatusCode,
        body: Incoming,
        until: Instant,
    ) -> Result<Self, AnswerFault> {
        let is_bodiless =
            *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if is_bodiless {
            return Ok(Self::None);
        }
        let frames = TryStreamExt::map_err(BodyStream::new(body), io::Error::other);
        let chunks = frames.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) });
        match timeout_at(until, buffer(Box::pin(chunks))).await {
            Ok(Ok(BufferedBody::Complete(bytes))) => Ok(Self::Buffered(bytes)),
            Ok(Ok(BufferedBody::Oversized(chunks))) => Ok(Self::Streaming(chunks)),
            Ok(Err(_)) => Err(AnswerFault::Cut),
            Err(_) => Err(AnswerFault::Late),
        }
    }
}

/// End of the transfer of a streamed answer.
#[derive(Debug, Clone)]
pub struct TransferEnd {
    /// Time at which the transfer is given up.
    pub at: Instant,
    /// Closes the connection of the caller, which may have stopped reading.
    closer: ConnectionCloser,
}

impl TransferEnd {
    /// Creates the end of a transfer at a deadline.
    pub fn new(deadline: TimePoint, now: TimePoint, closer: ConnectionCloser) -> Self {
        Self {
            at: Instant::now() + deadline.remaining_from(now),
            closer,
        }
    }
}

/// Item of a streamed body; `None` is its regular end.
type PumpedItem = Option<io::Result<Bytes>>;

/// Streams chunks until the end of the transfer, and drops `guard` after the body has been sent or given up. A body that
/// breaks off or passes the deadline ends with an error, which aborts the transfer, so that it can't be taken for a
/// complete short one.
pub fn stream_until<K: Send + 'static>(
    chunks: ByteStream,
    end: TransferEnd,
    guard: K,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let (sender, receiver) = mpsc::channel(1);
    // The server asks for no chunk while the caller doesn't read, so the source has a task of its own.
    tokio::spawn(pump(chunks, sender, end, guard));
    stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Some(Ok(chunk))) => Some((Ok(chunk), Some(receiver))),
            Some(Some(Err(error))) => Some((Err(error), None)),
            Some(None) => None,
            None => Some((
                Err(io::Error::new(io::ErrorKind::TimedOut, "answer is over-late")),
                None,
            )),
        }
    })
}

/// Passes chunks on until they end, the receiver is dropped, or the transfer ends. The source is dropped at once then,
/// the guard only when the receiver has taken the last chunk or the transfer ends.
async fn pump<K>(mut chunks: ByteStream, sender: mpsc::Sender<PumpedItem>, end: TransferEnd, guard: K) {
    let transfer = async {
        loop {
            let item = chunks.next().await;
            let is_last = !matches!(item, Some(Ok(_)));
            if sender.send(item).await.is_err() || is_last {
                return;
            }
        }
    };
    tokio::select! {
        () = transfer => {}
        () = sender.closed() => {}
        () = sleep_until(end.at) => {}
    }
    drop(chunks);
    if timeout_at(end.at, sender.closed()).await.is_err() {
        end.closer.close();
    }
    drop(guard);
}
