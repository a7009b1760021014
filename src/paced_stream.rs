//! A stream that reads a limited number of bytes in a row, so that a peer that sends without pause does not keep the
//! thread from its other connections and its timers.

use {
    crate::socket_budget::SocketPermit,
    hyper_util::client::legacy::connect::{Connected, Connection},
    std::{
        fmt::{Debug, Formatter},
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        task::yield_now,
    },
};

/// Number of bytes after which reading pauses until the runtime has polled everything else.
const TURN_BYTES: usize = 64 * 1024;

/// Stream that pauses after [`TURN_BYTES`] which were there without waiting.
pub struct PacedStream<S> {
    stream: S,
    turn_bytes: usize,
    pause: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    /// Dropped after the stream.
    _permit: Option<SocketPermit>,
}

impl<S> PacedStream<S> {
    /// Wraps a stream, which counts as open by `permit`.
    pub fn new(stream: S, permit: Option<SocketPermit>) -> Self {
        Self {
            stream,
            _permit: permit,
            turn_bytes: 0,
            pause: None,
        }
    }

    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.turn_bytes < TURN_BYTES {
            return Poll::Ready(());
        }
        let pause = self.pause.get_or_insert_with(|| Box::pin(yield_now()));
        ready!(pause.as_mut().poll(cx));
        self.pause = None;
        self.turn_bytes = 0;
        Poll::Ready(())
    }
}

impl<S> Debug for PacedStream<S> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PacedStream").finish_non_exhaustive()
    }
}

impl<S: Connection> Connection for PacedStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_pause(cx));
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.turn_bytes = match result {
            Poll::Ready(_) => self.turn_bytes + buf.filled().len() - before,
            Poll::Pending => 0,
        };
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
