//! An accepted connection, which ends if its client is too slow, and is reset instead of closed in order once its closer
//! says so.

use {
    crate::{connection_phase::ConnectionPhase, http::ConnectionCloser},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep_until},
    },
};

/// Stream of an accepted connection.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    closer: ConnectionCloser,
    phase: Arc<ConnectionPhase>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, closer: ConnectionCloser, phase: Arc<ConnectionPhase>) -> Self {
        Self {
            stream,
            closer,
            phase,
            timer: None,
        }
    }

    /// Waits for the time at which the client is given up.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        // The limits may have changed since the last poll.
        let Some(deadline) = self.phase.deadline(cx.waker()) else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(cx));
        self.phase.record_timeout();
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, "no request came in time"))
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.closer.is_closing()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("event=connection-not-reset error={error:?}");
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_pending() {
            return self.poll_timeout(cx).map(Err);
        }
        if buf.filled().len() > before {
            self.phase.record_read();
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.phase.record_write();
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
        self.phase.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
