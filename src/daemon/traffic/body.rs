//! Request bodies: they are buffered as far as there is room, larger ones are streamed.

use {
    super::transfer_report::{TransferFault, TransferReport},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, TryStreamExt, stream},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Body, Frame},
    parking_lot::Mutex,
    salvo::http::{
        HeaderMap, ReqBody,
        header::{CONTENT_LENGTH, EXPECT},
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
        sync::{OwnedSemaphorePermit, Semaphore, oneshot},
        time::{Instant, timeout, timeout_at},
    },
};

/// Largest body that is always buffered, in bytes. A buffered request can be sent again, and a buffered answer is known to
/// be complete before any of it is returned.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Largest request body that is buffered where there is room for it, in bytes.
pub const MAX_HELD_BYTES: usize = 512 * 1024;
/// Size over which a body is sent to a gate only when the gate asks for it, in bytes. A smaller one takes less time on a link
/// than the question.
pub const OFFERED_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of a refused body that are read and dropped, so that the caller, which may send its whole
/// body first, gets to read the refusal.
const DISCARD_BYTES: usize = 64 << 20;
/// Maximum time for the arrival of a small body whose request was refused at once.
const ARRIVAL_LIMIT: Duration = Duration::from_millis(50);
/// Maximum time for reading a refused body.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// Body type of the HTTP clients' requests.
pub type ForwardedBody = UnsyncBoxBody<Bytes, io::Error>;
/// Chunks of a body.
pub type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Body of a request to the next hop.
pub enum RequestBody {
    /// Fully buffered; can be sent again.
    Buffered {
        /// The body.
        content: Bytes,
        /// Room that the body takes until dropped.
        _room: Option<OwnedSemaphorePermit>,
    },
    /// Streamed from the caller; can be sent once. `None` within once it has been taken.
    Streaming(Arc<Mutex<Option<ByteStream>>>),
}

/// Room for bodies over [`MAX_BUFFERED_BYTES`].
#[derive(Debug, Clone, Copy)]
pub enum BodyRoom<'a> {
    /// None: such a body is streamed.
    None,
    /// Room that all bodies share, one permit a byte. A body that finds too little is streamed.
    Shared(&'a Arc<Semaphore>),
    /// The room has been set aside.
    Reserved,
}

/// Room that a body has taken.
struct TakenRoom {
    /// Permits of a shared room.
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyRoom<'_> {
    /// Takes room for a body. Returns `None` if it has to be streamed.
    fn take(self, bytes: usize) -> Option<TakenRoom> {
        match self {
            Self::None => None,
            Self::Shared(room) => {
                let permit = Arc::clone(room).try_acquire_many_owned(bytes as u32).ok()?;
                Some(TakenRoom { permit: Some(permit) })
            }
            Self::Reserved => Some(TakenRoom { permit: None }),
        }
    }
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
    on_chunk: Option<Box<dyn Fn(usize) + Send + Sync>>,
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
            on_chunk: None,
        }
    }

    /// Calls `on_chunk` with the size of each part of the body that comes.
    pub fn with_observer(self, on_chunk: impl Fn(usize) + Send + Sync + 'static) -> Self {
        Self {
            on_chunk: Some(Box::new(on_chunk)),
            ..self
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
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`], or of up to [`MAX_HELD_BYTES`] if there is room for it. A larger one is
    /// streamed; the stream ends with an error if it exceeds `limit` bytes or is not complete at `until`. `progress` tells
    /// later why.
    ///
    /// Fails with [`BodyFault::TooLarge`] if the body exceeds `limit` by its declared length or while it is buffered, and
    /// with [`BodyFault::Incomplete`] if it breaks off or `until` passes while it is buffered.
    pub async fn read(
        headers: &HeaderMap,
        body: ReqBody,
        limit: u64,
        until: Instant,
        progress: &Arc<BodyProgress>,
        room: BodyRoom<'_>,
    ) -> Result<Self, BodyFault> {
        let length = declared_length(headers);
        if length.is_some_and(|length| length > limit) {
            *progress.rest.lock() = Some(data_chunks(body));
            progress.discard_rest().await;
            return Err(BodyFault::TooLarge);
        }
        let chunks = observe(data_chunks(body), limit, until, Arc::clone(progress));
        if let Ok(Ok(body)) = timeout_at(until, Self::buffer(chunks, length, room)).await {
            return Ok(body);
        }
        progress.discard_rest().await;
        Err(progress.fault().unwrap_or(BodyFault::Incomplete))
    }

    /// Buffers a body of a declared length, if it has one, as far as there is room.
    async fn buffer(chunks: ByteStream, length: Option<u64>, room: BodyRoom<'_>) -> io::Result<Self> {
        let (chunks, held_bytes) = match length {
            Some(length) if length > MAX_HELD_BYTES as u64 => return Ok(Self::streaming(chunks)),
            Some(length) if length > MAX_BUFFERED_BYTES as u64 => (chunks, length as usize),
            _ => match buffer(chunks, MAX_BUFFERED_BYTES).await? {
                BufferedBody::Complete(content) => return Ok(Self::buffered_in(content, None)),
                BufferedBody::Oversized(chunks) => (chunks, MAX_HELD_BYTES),
            },
        };
        let Some(room) = room.take(held_bytes) else {
            return Ok(Self::streaming(chunks));
        };
        match buffer(chunks, MAX_HELD_BYTES).await? {
            BufferedBody::Complete(content) => Ok(Self::buffered_in(content, room.permit)),
            BufferedBody::Oversized(chunks) => Ok(Self::streaming(chunks)),
        }
    }

    fn buffered_in(content: Bytes, room: Option<OwnedSemaphorePermit>) -> Self {
        Self::Buffered { content, _room: room }
    }

    fn streaming(chunks: ByteStream) -> Self {
        Self::Streaming(Arc::new(Mutex::new(Some(chunks))))
    }

    /// Returns whether the body is buffered and can be sent again.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered { .. })
    }

    /// Returns whether no part of the body has been lost, so that it can be sent.
    pub fn is_whole(&self) -> bool {
        match self {
            Self::Buffered { .. } => true,
            Self::Streaming(chunks) => chunks.lock().is_some(),
        }
    }

    /// Returns whether the body is so large that a gate is to ask for it.
    pub fn is_large(&self) -> bool {
        match self {
            Self::Buffered { content, .. } => content.len() > OFFERED_BYTES,
            Self::Streaming(_) => true,
        }
    }

    /// Returns a body of up to [`MAX_BUFFERED_BYTES`].
    pub fn small(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered { content, .. } if content.len() <= MAX_BUFFERED_BYTES => Some(content),
            Self::Buffered { .. } | Self::Streaming(_) => None,
        }
    }

    /// Returns the size of a buffered body in bytes; `None` for a streamed one.
    pub fn buffered_bytes(&self) -> Option<usize> {
        match self {
            Self::Buffered { content, .. } => Some(content.len()),
            Self::Streaming(_) => None,
        }
    }

    /// Returns the body for the next attempt. A streamed body is consumed; after that, the body is empty.
    pub fn take(&self) -> ForwardedBody {
        match self {
            Self::Buffered { content, .. } => full(content.clone()),
            Self::Streaming(chunks) => chunks.lock().take().map_or_else(|| full(Bytes::new()), forwarded),
        }
    }

    /// Returns the body for the next attempt, which begins when `asked` is sent and fails if that is dropped. A streamed body
    /// is consumed only then.
    pub fn take_when(&self, asked: oneshot::Receiver<()>) -> ForwardedBody {
        let source = match self {
            Self::Buffered { content, .. } => {
                let content = content.clone();
                Box::new(move || once_chunk(content)) as Box<dyn FnOnce() -> ByteStream + Send>
            }
            Self::Streaming(chunks) => {
                let chunks = Arc::clone(chunks);
                Box::new(move || {
                    chunks
                        .lock()
                        .take()
                        .unwrap_or_else(|| failed_chunk("the body was sent before"))
                })
            }
        };
        let chunks = stream::once(async move {
            match asked.await {
                Ok(()) => source(),
                Err(_) => failed_chunk("the body was not asked for"),
            }
        });
        forwarded(Box::pin(chunks.flatten()))
    }
}

fn once_chunk(content: Bytes) -> ByteStream {
    Box::pin(stream::once(async move { Ok(content) }))
}

fn failed_chunk(text: &'static str) -> ByteStream {
    Box::pin(stream::once(async move { Err(io::Error::other(text)) }))
}

fn forwarded(chunks: ByteStream) -> ForwardedBody {
    BodyExt::boxed_unsync(StreamBody::new(chunks.map_ok(Frame::data)))
}

fn full(content: Bytes) -> ForwardedBody {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}

/// Body as far as it was buffered.
pub enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// A longer body.
    Oversized(ByteStream),
}

/// Buffers a body of up to `limit` bytes. A longer one is returned as a stream that begins with what was read.
pub async fn buffer(mut chunks: ByteStream, limit: usize) -> io::Result<BufferedBody> {
    let mut read = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        read.extend_from_slice(&chunk?);
        if read.len() > limit {
            let first = stream::once(async move { Ok(read.freeze()) });
            return Ok(BufferedBody::Oversized(Box::pin(first.chain(chunks))));
        }
    }
    Ok(BufferedBody::Complete(read.freeze()))
}

fn data_chunks(body: ReqBody) -> ByteStream {
    Box::pin(body.try_filter_map(|frame| async move { Ok(frame.into_data().ok()) }))
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
                    if let Some(on_chunk) = &progress.on_chunk {
                        on_chunk(chunk.len());
                    }
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
