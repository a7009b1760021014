//! A connection that is reset instead of closed in order once its closer says so.

use {
    crate::http::ConnectionCloser,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Stream of an accepted connection.
#[derive(Debug)]
pub struct ResetStream {
    stream: TcpStream,
    closer: ConnectionCloser,
}

impl ResetStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, closer: ConnectionCloser) -> Self {
        Self { stream, closer }
    }
}

impl Drop for ResetStream {
    fn drop(&mut self) {
        if self.closer.is_closing()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("event=connection-not-reset error={error:?}");
        }
    }
}

impl AsyncRead for ResetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResetStream {
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
