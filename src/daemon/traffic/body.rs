//! Request and answer bodies: small ones are fully buffered, larger ones are streamed.

use {
    super::transfer_report::{TransferFault, TransferReport},
    crate::{clock::TimePoint, http::ConnectionCloser},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, TryStreamExt, stream},
    http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Body, Frame, Incoming},
    parking_lot::Mutex,
    salvo::http::{
        HeaderMap, Method, ReqBody, StatusCode,
        header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
    },
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
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
/// Maximum time for the arrival of a small body whose request was refused at once.
const ARRIVAL_LIMIT: Duration = Duration::from_millis(50);
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

/// What is known of a caller's body while several parts of the daemon read it.
pub struct BodyProgress {
    report: TransferReport,
    has_ended: AtomicBool,
    is_awaited: AtomicBool,
    fault: Mutex<Option<BodyFault>>,
    /// What is left of a body over the limit.
    rest: Mutex<Option<ByteStream>>,
}

impl BodyProgress {
    /// Creates the progress of a body of which nothing has been read.
    pub fn new(report: TransferReport) -> Self {
        Self {
            report,
            has_ended: AtomicBool::new(false),
            is_awaited: AtomicBool::new(false),
            fault: Mutex::default(),
            rest: Mutex::default(),
        }
    }

    /// Returns whether the body was read to its end.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Returns whether the next part has been asked for and has not come. If not, whoever is to receive the body does not
    /// read it.
    pub fn is_awaited(&self) -> bool {
        self.is_awaited.load(Ordering::Acquire)
    }

    /// Returns the fault for which reading the body ended early.
    pub fn fault(&self) -> Option<BodyFault> {
        *self.fault.lock()
    }

    /// Reads and drops the rest of a body over the limit, so that the caller, which may send its whole body first, gets to
    /// read the refusal.
    pub async fn discard_rest(&self) {
        let rest = self.rest.lock().take();
        if let Some(rest) = rest
            && timeout(DISCARD_LIMIT, discard(rest)).await == Ok(true)
        {
            self.end();
        }
    }

    fn end(&self) {
        self.has_ended.store(true, Ordering::Release);
    }

    fn fail(&self, fault: TransferFault) {
        self.report.count(fault);
        *self.fault.lock() = Some(match fault {
            TransferFault::RequestOverLimit => BodyFault::TooLarge,
            _ => BodyFault::Incomplete,
        });
    }
}

impl RequestBody {
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`]. A larger one is streamed; the stream ends with an error if it
    /// exceeds `limit` bytes or is not complete at `until`. `progress` tells later why.
    ///
    /// Fails with [`BodyFault::TooLarge`] if the body exceeds `limit` by its declared length or while it is buffered, and
    /// with [`BodyFault::Incomplete`] if it breaks off or `until` passes while it is buffered.
    pub async fn read(
        headers: &HeaderMap,
        body: ReqBody,
        limit: u64,
        until: Instant,
        progress: &Arc<BodyProgress>,
    ) -> Result<Self, BodyFault> {
        let length = declared_length(headers);
        if length.is_some_and(|length| length > limit) {
            *progress.rest.lock() = Some(data_chunks(body));
            progress.discard_rest().await;
            return Err(BodyFault::TooLarge);
        }
        let chunks = observe(data_chunks(body), limit, until, Arc::clone(progress));
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            return Ok(Self::Streaming(chunks));
        }
        match timeout_at(until, buffer(chunks)).await {
            Ok(Ok(BufferedBody::Complete(bytes))) => Ok(Self::Buffered(bytes)),
            Ok(Ok(BufferedBody::Oversized(chunks))) => Ok(Self::Streaming(chunks)),
            Ok(Err(_)) | Err(_) => {
                progress.discard_rest().await;
                Err(progress.fault().unwrap_or(BodyFault::Incomplete))
            }
        }
    }

    /// Returns whether the body is buffered and can be sent again.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns a buffered body.
    pub fn buffered(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streaming(_) | Self::Consumed => None,
        }
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

fn data_chunks(body: ReqBody) -> ByteStream {
    Box::pin(body.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) }))
}

/// Returns whether a body has no transfer coding or `chunked` alone.
fn is_plain_or_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings
        .next()
        .is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked && codings.next().is_none()
}

/// Returns the `content-length` of a message.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads and drops what has arrived of a body whose request was refused before it was read. Returns whether that is the
/// whole body, so that the connection can be used again.
pub async fn discard_arrived(headers: &HeaderMap, body: ReqBody) -> bool {
    if body.is_end_stream() {
        return true;
    }
    // A caller that expects to be asked for the body doesn't send it after a refusal.
    let is_coming = !headers.contains_key(EXPECT)
        && declared_length(headers).is_none_or(|length| length <= MAX_BUFFERED_BYTES as u64);
    is_coming && timeout(ARRIVAL_LIMIT, discard(data_chunks(body))).await == Ok(true)
}

/// Reads and drops a refused body, at most [`DISCARD_BYTES`] of it. Returns whether it has ended.
async fn discard(mut chunks: ByteStream) -> bool {
    let mut left = DISCARD_BYTES;
    while let Some(chunk) = chunks.next().await {
        left = left.saturating_sub(chunk.map_or(DISCARD_BYTES, |chunk| chunk.len()));
        if left == 0 {
            return false;
        }
    }
    true
}

/// Limits a body to `limit` bytes and to what arrives by `until`, and records in `progress` how it ends.
fn observe(chunks: ByteStream, limit: u64, until: Instant, progress: Arc<BodyProgress>) -> ByteStream {
    Box::pin(stream::unfold(
        Some((chunks, limit, progress)),
        move |state| async move {
            let (mut chunks, left, progress) = state?;
            progress.is_awaited.store(true, Ordering::Release);
            let chunk = timeout_at(until, chunks.next()).await;
            progress.is_awaited.store(false, Ordering::Release);
            match chunk {
                Err(_) => {
                    progress.fail(TransferFault::RequestLate);
                    let late = io::Error::new(io::ErrorKind::TimedOut, "request body is over-late");
                    Some((Err(late), None))
                }
                Ok(None) => {
                    progress.end();
                    None
                }
                Ok(Some(Err(error))) => {
                    progress.fail(TransferFault::RequestCut);
                    Some((Err(error), None))
                }
                Ok(Some(Ok(chunk))) => {
                    if let Some(left) = left.checked_sub(chunk.len() as u64) {
                        return Some((Ok(chunk), Some((chunks, left, progress))));
                    }
                    *progress.rest.lock() = Some(chunks);
                    progress.fail(TransferFault::RequestOverLimit);
                    Some((Err(io::Error::other("request body is over the limit")), None))
                }
            }
        },
    ))
}

/// Body of an answer.
pub enum AnswerBody {
    /// Fully buffered, so known to be complete.
    Buffered(Bytes),
    /// Streamed from the previous hop.
    Streaming {
        /// Chunks of the body.
        chunks: ByteStream,
        /// Size of the whole body in bytes; `None` if it is known only at its end.
        length: Option<u64>,
    },
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
    /// The body is in a transfer coding other than `chunked`, which nobody here decodes.
    Coded,
}

impl AnswerBody {
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`] that is complete by `until`, so that a truncated one is detected
    /// before any of the answer is returned. A larger one is streamed.
    ///
    /// Fails with [`AnswerFault::Cut`] if the body breaks off, with [`AnswerFault::Late`] if `until` passes while it is
    /// buffered, and with [`AnswerFault::Coded`] if `headers` name a transfer coding other than `chunked`.
    pub async fn read(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
        body: Incoming,
        until: Instant,
    ) -> Result<Self, AnswerFault> {
        let is_bodiless =
            *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if is_bodiless {
            return Ok(Self::None);
        }
        if !is_plain_or_chunked(headers) {
            return Err(AnswerFault::Coded);
        }
        let length = body.size_hint().exact();
        let frames = TryStreamExt::map_err(BodyStream::new(body), io::Error::other);
        let chunks = frames.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) });
        match timeout_at(until, buffer(Box::pin(chunks))).await {
            Ok(Ok(BufferedBody::Complete(bytes))) => Ok(Self::Buffered(bytes)),
            Ok(Ok(BufferedBody::Oversized(chunks))) => Ok(Self::Streaming { chunks, length }),
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
    /// Resets the connection of the caller, which may have stopped reading, or to whom the answer is cut.
    closer: ConnectionCloser,
    report: TransferReport,
}

impl TransferEnd {
    /// Creates the end of a transfer at a deadline.
    pub fn new(
        deadline: TimePoint,
        now: TimePoint,
        closer: ConnectionCloser,
        report: TransferReport,
    ) -> Self {
        Self {
            at: Instant::now() + deadline.remaining_from(now),
            closer,
            report,
        }
    }
}

/// Item of a streamed body; `None` is its regular end.
type PumpedItem = Option<io::Result<Bytes>>;

/// Streams the chunks of an answer, of `length` bytes if that is known, until the end of the transfer, and drops `guard`
/// after the body has been sent or given up. A body that breaks off or passes the deadline ends with an error, which aborts
/// the transfer, so that it can't be taken for a complete short one.
pub fn stream_until<K: Send + 'static>(
    (chunks, length): (ByteStream, Option<u64>),
    end: TransferEnd,
    guard: K,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let (sender, receiver) = mpsc::channel(1);
    let closer = end.closer.clone();
    // The server asks for no chunk while the caller doesn't read, so the source has a task of its own.
    tokio::spawn(pump((chunks, length), sender, end, guard));
    stream::unfold(Some((receiver, closer)), |state| async {
        let (mut receiver, closer) = state?;
        let error = match receiver.recv().await {
            Some(Some(Ok(chunk))) => return Some((Ok(chunk), Some((receiver, closer)))),
            Some(None) => return None,
            Some(Some(Err(error))) => error,
            None => io::Error::new(io::ErrorKind::TimedOut, "answer is over-late"),
        };
        closer.close();
        Some((Err(error), None))
    })
}

/// Passes chunks on until they end, the receiver is dropped, or the transfer ends. The source is dropped at once then,
/// the guard only when the receiver has taken the last chunk or the transfer ends. A broken transfer is counted.
async fn pump<K>(
    (mut chunks, length): (ByteStream, Option<u64>),
    sender: mpsc::Sender<PumpedItem>,
    end: TransferEnd,
    guard: K,
) {
    let mut left = length;
    let mut awaited = TransferFault::AnswerLate;
    let transfer = async {
        loop {
            awaited = TransferFault::AnswerLate;
            let item = chunks.next().await;
            let (size, ended) = match &item {
                Some(Ok(chunk)) => (chunk.len() as u64, None),
                Some(Err(_)) => (0, Some(Err(TransferFault::AnswerCut))),
                None => (0, Some(Ok(()))),
            };
            awaited = TransferFault::ReceiverStalled;
            if sender.send(item).await.is_err() {
                return Err(TransferFault::ReceiverLeft);
            }
            left = left.map(|left| left.saturating_sub(size));
            if let Some(ended) = ended {
                return ended;
            }
        }
    };
    let transferred = tokio::select! {
        transferred = transfer => Some(transferred),
        () = sender.closed() => Some(Err(TransferFault::ReceiverLeft)),
        () = sleep_until(end.at) => None,
    };
    let transferred = match transferred.unwrap_or(Err(awaited)) {
        // The server drops a body when its declared length is reached.
        Err(TransferFault::ReceiverLeft) if left == Some(0) => Ok(()),
        transferred => transferred,
    };
    drop(chunks);
    let is_taken = timeout_at(end.at, sender.closed()).await.is_ok();
    if !is_taken {
        end.closer.close();
    }
    let taken = is_taken.then_some(()).ok_or(TransferFault::ReceiverStalled);
    if let Err(fault) = transferred.and(taken) {
        end.report.count(fault);
    }
    drop(guard);
}
