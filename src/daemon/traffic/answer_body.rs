//! Answer bodies: small ones are fully buffered, larger ones are streamed.

use {
    super::{
        body::{BufferedBody, ByteStream, MAX_BUFFERED_BYTES, buffer},
        transfer_report::{TransferFault, TransferReport},
    },
    crate::{clock::TimePoint, http::ConnectionCloser},
    bytes::Bytes,
    futures_util::{Stream, StreamExt, TryStreamExt, stream},
    http_body_util::BodyStream,
    hyper::body::{Body, Incoming},
    salvo::http::{HeaderMap, Method, StatusCode, header::TRANSFER_ENCODING},
    std::io,
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until, timeout_at},
    },
};

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
        match timeout_at(until, buffer(Box::pin(chunks), MAX_BUFFERED_BYTES)).await {
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

/// Returns whether a body has no transfer coding or `chunked` alone.
fn is_plain_or_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings
        .next()
        .is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked && codings.next().is_none()
}
