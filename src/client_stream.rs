//! An accepted connection, which ends if its client is too slow, and is reset instead of closed in order once its closer
//! says so.

use {
    crate::{connection_phase::ConnectionPhase, http::ConnectionCloser},
    bytes::{Buf, BytesMut},
    parking_lot::Mutex,
    std::{
        future::poll_fn,
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

/// Number of bytes that are read ahead of the server, to notice the end of the connection behind them.
const MAX_AHEAD_BYTES: usize = 8 * 1024;

/// Socket of a connection, which its stream and its watch share.
#[derive(Debug)]
struct ClientSocket {
    stream: TcpStream,
    /// Bytes that were read ahead of the server.
    ahead: BytesMut,
    /// Whether the server waits for bytes, and so notices the end itself.
    is_awaited: bool,
}

impl ClientSocket {
    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let count = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead[..count]);
            self.ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.is_awaited = result.is_pending();
        result
    }

    /// Reads ahead, and waits for the end of the connection.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; MAX_AHEAD_BYTES];
        while !self.is_awaited && self.ahead.len() < MAX_AHEAD_BYTES {
            let mut buf = ReadBuf::new(&mut chunk[self.ahead.len()..]);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            self.ahead.extend_from_slice(buf.filled());
        }
        Poll::Pending
    }
}

/// Watch for the end of a connection while the server does not read, as the next request is there already, or a body that
/// nobody has asked for.
#[derive(Debug)]
pub struct ClientWatch {
    socket: Arc<Mutex<ClientSocket>>,
    phase: Arc<ConnectionPhase>,
}

impl ClientWatch {
    /// Waits until the client leaves while a request is handled. It is to be polled after the server, by the same task.
    pub async fn left(&self) {
        poll_fn(|cx| {
            if self.phase.is_exchange() {
                self.socket.lock().poll_end(cx)
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

/// Stream of an accepted connection.
#[derive(Debug)]
pub struct ClientStream {
    socket: Arc<Mutex<ClientSocket>>,
    closer: ConnectionCloser,
    phase: Arc<ConnectionPhase>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, closer: ConnectionCloser, phase: Arc<ConnectionPhase>) -> Self {
        let socket = ClientSocket {
            stream,
            ahead: BytesMut::new(),
            is_awaited: false,
        };
        Self {
            socket: Arc::new(Mutex::new(socket)),
            closer,
            phase,
            timer: None,
        }
    }

    /// Returns the watch for the end of the connection.
    pub fn watch(&self) -> ClientWatch {
        ClientWatch {
            socket: Arc::clone(&self.socket),
            phase: Arc::clone(&self.phase),
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
            && let Err(error) = self.socket.lock().stream.set_zero_linger()
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
        let result = self.socket.lock().poll_read(cx, buf);
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
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.phase.record_write();
        Pin::new(&mut self.socket.lock().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.lock().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.lock().stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.phase.record_write();
        Pin::new(&mut self.socket.lock().stream).poll_write_vectored(cx, bufs)
    }
}
