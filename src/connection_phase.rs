//! What an accepted connection waits for, and the time limits on that.

use {
    bytes::Bytes,
    futures_util::task::AtomicWaker,
    hyper::body::{Body, Frame, SizeHint},
    parking_lot::Mutex,
    std::{
        fmt::{Debug, Formatter},
        pin::Pin,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time limits on what a client of a listener sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// Time from the first byte of a request to the end of its head.
    pub head: Duration,
    /// Time from the end of an answer, or from the start of a connection, to the first byte of the next request.
    pub idle: Duration,
}

/// Limit of [`ClientTimeouts`] that a client has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedLimit {
    /// The head of a request did not end in time.
    Head,
    /// No request began in time.
    Idle,
}

/// Returns the limits in force.
pub type TimeoutSource = Arc<dyn Fn() -> ClientTimeouts + Send + Sync>;

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// No byte of a request has come since this time.
    Idle(Instant),
    /// The head of a request has been coming since this time.
    Head(Instant),
    /// A request is handled, the one with this number on its connection.
    Exchange(u64),
}

/// Phase of a connection. Shared by its stream, which waits for the client, and by the requests on it.
pub struct ConnectionPhase {
    timeouts: TimeoutSource,
    phase: Mutex<Phase>,
    /// Number of requests so far.
    exchanges: AtomicU64,
    /// Limit for which the connection ends.
    passed: OnceLock<PassedLimit>,
    /// Wakes the task that serves the connection.
    waker: AtomicWaker,
}

impl Debug for ConnectionPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionPhase")
            .field("phase", &self.phase)
            .finish_non_exhaustive()
    }
}

impl ConnectionPhase {
    /// Creates the phase of a new connection.
    pub fn new(timeouts: TimeoutSource) -> Self {
        Self {
            timeouts,
            phase: Mutex::new(Phase::Idle(Instant::now())),
            exchanges: AtomicU64::new(0),
            passed: OnceLock::new(),
            waker: AtomicWaker::new(),
        }
    }

    /// Returns whether a request is handled.
    pub fn is_exchange(&self) -> bool {
        matches!(*self.phase.lock(), Phase::Exchange(_))
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        let mut phase = self.phase.lock();
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    /// Records that bytes were sent. The end of an answer may leave long after the answer was handed over.
    pub fn record_write(&self) {
        let mut phase = self.phase.lock();
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Idle(Instant::now());
        }
    }

    /// Returns the time at which the client is given up; `None` while a request is handled. `waker` is woken when that ends.
    pub fn deadline(&self, waker: &Waker) -> Option<Instant> {
        self.waker.register(waker);
        let timeouts = (self.timeouts)();
        match *self.phase.lock() {
            Phase::Idle(since) => Some(since + timeouts.idle),
            Phase::Head(since) => Some(since + timeouts.head),
            Phase::Exchange(_) => None,
        }
    }

    /// Records that the deadline has passed, for which the connection ends.
    pub fn record_timeout(&self) {
        let limit = match *self.phase.lock() {
            Phase::Idle(_) => PassedLimit::Idle,
            Phase::Head(_) => PassedLimit::Head,
            Phase::Exchange(_) => return,
        };
        let _ = self.passed.set(limit);
    }

    /// Returns the limit for which the connection ended; `None` if it ended for another reason.
    pub fn passed_limit(&self) -> Option<PassedLimit> {
        self.passed.get().copied()
    }

    /// Records that the head of a request has been read. The exchange lasts until its guard is dropped.
    pub fn begin_exchange(self: &Arc<Self>) -> Arc<ExchangeGuard> {
        let number = self.exchanges.fetch_add(1, Ordering::Relaxed);
        *self.phase.lock() = Phase::Exchange(number);
        Arc::new(ExchangeGuard {
            phase: Arc::clone(self),
            number,
        })
    }
}

/// Marks an exchange as running until dropped.
#[derive(Debug)]
pub struct ExchangeGuard {
    phase: Arc<ConnectionPhase>,
    number: u64,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut phase = self.phase.phase.lock();
        // Whoever has read the body of an earlier request may drop it while the next one is handled.
        if matches!(*phase, Phase::Exchange(number) if number == self.number) {
            *phase = Phase::Idle(Instant::now());
            // The server does not read again after an answer unless the client sends something.
            self.phase.waker.wake();
        }
    }
}

/// Body of a request or an answer, during which the exchange lasts.
#[derive(Debug)]
pub struct ExchangeBody<B> {
    body: B,
    _guard: Arc<ExchangeGuard>,
}

impl<B> ExchangeBody<B> {
    /// Wraps a body.
    pub fn new(body: B, guard: Arc<ExchangeGuard>) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ExchangeBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
