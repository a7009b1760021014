//! Listening sockets, HTTP servers and HTTP clients. Options of the libraries that matter are set explicitly.

use {
    crate::{
        client_stream::ClientStream,
        connection_phase::{ExchangeBody, ExchangeGuard},
        paced_stream::PacedStream,
        socket_budget::SocketShare,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{
        body::{Body, Incoming},
        server::conn::http1,
        service::{Service as _, service_fn},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    salvo::{
        Handler, Request, Response, Router, Service,
        conn::{ConnCtrl, StraightStream},
        fuse::FuseConfig,
        http::{ReqBody, ResBody, StatusCode, uri::Scheme},
    },
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        fmt::{Display, Formatter},
        io,
        net::{SocketAddr, TcpListener},
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

pub use crate::{
    connection_phase::{ClientTimeouts, ConnectionPhase, PassedLimit, TimeoutSource},
    paced_client::{PacedClient, RequestError},
};

/// Maximum number of connections waiting for `accept`; enough if all peers of a small service reconnect together.
const LISTEN_BACKLOG: i32 = 1_024;
/// Time limits on clients unless the configuration sets others. All clients of this crate close an idle connection earlier,
/// so no request is sent on one that the server is closing.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(75),
    idle: Duration::from_secs(75),
};
/// Time after which the connection of a caller that does not read its answer is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum size of a caller's request head, in bytes; the configuration may set a lower limit.
pub const MAX_REQUEST_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a caller's request.
pub const MAX_HEADERS: usize = 1_000;
/// Size that a listener accepts beyond the limit of the sender's listener, in bytes. The headers that a hop adds fit in.
const HEAD_MARGIN_BYTES: usize = 16 * 1024;
/// Number of headers that a listener accepts beyond the limit of the sender's listener.
const HEAD_MARGIN_HEADERS: usize = 24;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Minimum time between two log lines on connections that could not be accepted.
const ACCEPT_LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Text of the library's error for a URI over its limit; the error has no other mark.
const URI_TOO_LONG: &str = "URI too long";
/// Text of the library's error for the first bytes of HTTP/2, to which it sends no answer.
const HTTP2_PREFACE: &str = "invalid HTTP version parsed (found HTTP2 preface)";
/// Time for which clients keep an idle connection, unless they set another.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which an idle connection to a gate or target is kept for repeatable calls; shorter than targets keep
/// theirs.
pub const REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the first TCP keepalive probe and interval between probes; a lost machine is detected after about
/// three intervals.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection is reused for calls that must not be repeated; an older one may be closing.
pub const NON_REPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Binds a listening socket with `TCP_NODELAY`, which accepted connections inherit.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Limits on the heads of requests or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size of a head, in bytes.
    pub bytes: usize,
    /// Maximum number of headers.
    pub headers: usize,
}

impl HeadLimits {
    /// Limits of listeners that callers don't use.
    pub const CONTROL: Self = Self {
        bytes: 32 * 1024,
        headers: 100,
    };
    /// Limits of the listener for callers. They are over the daemon's own, so that the daemon answers a larger head.
    pub const CALLS: Self = Self {
        bytes: MAX_REQUEST_HEAD_BYTES + HEAD_MARGIN_BYTES,
        headers: MAX_HEADERS + HEAD_MARGIN_HEADERS,
    };
    /// Limits of a gate on requests, which takes every head that a proxy has accepted with the headers that the proxy adds,
    /// and on its target's answers.
    pub const GATE: Self = Self {
        bytes: Self::CALLS.bytes + HEAD_MARGIN_BYTES,
        headers: Self::CALLS.headers + HEAD_MARGIN_HEADERS,
    };
    /// Limits of a proxy on answers, which takes every head that a gate has accepted with the headers that the gate adds.
    pub const ANSWERS: Self = Self {
        bytes: Self::GATE.bytes + HEAD_MARGIN_BYTES,
        headers: Self::GATE.headers + HEAD_MARGIN_HEADERS,
    };
}

/// Request that the HTTP library refused before a handler got it.
#[derive(Debug)]
pub struct UnreadRequest {
    /// Status of the library's answer.
    pub status: StatusCode,
    /// Error of the library.
    error: hyper::Error,
}

/// Why a listener ended a connection that no handler ended.
#[derive(Debug)]
pub enum EndCause {
    /// The HTTP library refused a request.
    Unread(UnreadRequest),
    /// The client speaks HTTP/2 and was sent no answer.
    Http2,
    /// The client was too slow or idle for too long, and was sent no answer.
    Passed(PassedLimit),
}

impl EndCause {
    /// Returns the cause behind the end of a connection; `None` if the client ended it.
    fn from_error(error: hyper::Error) -> Option<Self> {
        if !error.is_parse() {
            return None;
        }
        let status = match error.to_string().as_str() {
            HTTP2_PREFACE => return Some(Self::Http2),
            URI_TOO_LONG => StatusCode::URI_TOO_LONG,
            _ if error.is_parse_too_large() => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        Some(Self::Unread(UnreadRequest { status, error }))
    }
}

impl Display for UnreadRequest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.error.fmt(f)
    }
}

/// Resets the connection of a request, whether or not the sender reads. A sender to whom an answer without a length or
/// chunks ends with its connection would take an orderly close for the end of a whole answer.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCloser(Arc<CloserState>);

#[derive(Debug, Default)]
struct CloserState {
    closing: Notify,
    is_closing: AtomicBool,
}

impl ConnectionCloser {
    /// Returns the closer of a request's connection; it has no effect if no listener of this crate serves the request.
    pub fn of(req: &Request) -> Self {
        req.extensions().get().cloned().unwrap_or_default()
    }

    /// Resets the connection.
    pub fn close(&self) {
        self.0.is_closing.store(true, Ordering::Release);
        self.0.closing.notify_one();
    }

    /// Returns whether the connection is reset.
    pub(crate) fn is_closing(&self) -> bool {
        self.0.is_closing.load(Ordering::Acquire)
    }

    async fn closed(&self) {
        self.0.closing.notified().await;
    }
}

/// Failures to accept a connection at a listener.
#[derive(Debug, Default)]
struct AcceptFailures {
    count: u64,
    /// Earliest time of the next log line.
    next_line_at: Option<Instant>,
}

impl AcceptFailures {
    /// Counts a failure, and logs it with their number unless another was logged a moment ago.
    fn record(&mut self, listener: SocketAddr, error: &io::Error) {
        self.count += 1;
        let now = Instant::now();
        if self.next_line_at.is_none_or(|at| at <= now) {
            self.next_line_at = Some(now + ACCEPT_LINE_INTERVAL);
            log::error!(
                "event=accept-failed listener={listener} failures={} error={error:?}",
                self.count
            );
        }
    }
}

/// Serves all requests of a listener with one handler until the runtime stops.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) -> io::Result<()> {
    let timeouts = Arc::new(|| CLIENT_TIMEOUTS);
    serve_observed(listener, handler, HeadLimits::CONTROL, timeouts, |_, _| {}).await
}

/// Serves all requests of a listener with one handler until the runtime stops, and reports the connections that no handler
/// ends.
pub async fn serve_observed<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: HeadLimits,
    timeouts: TimeoutSource,
    on_end: impl Fn(SocketAddr, &EndCause) + Send + Sync + 'static,
) -> io::Result<()> {
    serve_within(listener, handler, limits, timeouts, on_end, None).await
}

/// Like [`serve_observed`], and leaves connections in the backlog while the budget of `sockets` is used up.
pub(crate) async fn serve_within<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: HeadLimits,
    timeouts: TimeoutSource,
    on_end: impl Fn(SocketAddr, &EndCause) + Send + Sync + 'static,
    sockets: Option<SocketShare>,
) -> io::Result<()> {
    let service = Service::new(Router::with_path("{**rest}").goal(handler));
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let address = listener.local_addr()?;
    let mut fuse = FuseConfig::default();
    // A call may be silent for longer, so only a caller that doesn't read counts, not one that waits.
    fuse.write_stall_timeout = Some(WRITE_TIMEOUT);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        // The library's limit includes the idle time before a head.
        .header_read_timeout(None)
        .max_buf_size(limits.bytes)
        .max_headers(limits.headers)
        .half_close(false);
    let on_end = Arc::new(on_end);
    let mut accept_failures = AcceptFailures::default();
    loop {
        if let Some(sockets) = &sockets {
            sockets.wait_for_room().await;
        }
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                accept_failures.record(address, &error);
                // Without a pause, a lack of file descriptors keeps the thread busy.
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let closer = ConnectionCloser::default();
        let control = ConnCtrl::new();
        let phase = Arc::new(ConnectionPhase::new(Arc::clone(&timeouts)));
        let stream = ClientStream::new(stream, closer.clone(), Arc::clone(&phase));
        let watch = stream.watch();
        let stream = StraightStream::new(stream, Some(fuse), control.clone(), None);
        let handler = service.hyper_handler(
            address.into(),
            peer.into(),
            Scheme::HTTP,
            Some(fuse),
            control,
            None,
        );
        let request_closer = closer.clone();
        let request_phase = Arc::clone(&phase);
        let handler = service_fn(move |request: hyper::Request<Incoming>| {
            let exchange = request_phase.begin_exchange();
            let mut request = request.map(|body| observed_body(body, &exchange));
            request.extensions_mut().insert(request_closer.clone());
            let answer = handler.call(request);
            async move { Ok::<_, hyper::Error>(answer.await?.map(|body| ExchangeBody::new(body, exchange))) }
        });
        let permit = sockets.as_ref().map(SocketShare::take);
        let connection = http.serve_connection(TokioIo::new(PacedStream::new(stream, permit)), handler);
        let on_end = Arc::clone(&on_end);
        tokio::spawn(async move {
            // The socket is closed after the report, so that whoever sees the end finds it counted.
            let mut connection = pin!(connection);
            let ended = tokio::select! {
                biased;
                ended = &mut connection => ended,
                () = watch.left() => return,
                () = closer.closed() => return,
            };
            let cause = match phase.passed_limit() {
                Some(limit) => Some(EndCause::Passed(limit)),
                None => ended.err().and_then(EndCause::from_error),
            };
            if let Some(cause) = cause {
                on_end(peer, &cause);
            }
        });
    }
}

/// Returns the body of a request, during which the exchange lasts.
fn observed_body(body: Incoming, exchange: &Arc<ExchangeGuard>) -> ReqBody {
    if body.is_end_stream() {
        return ReqBody::None;
    }
    let body = ExchangeBody::new(body, Arc::clone(exchange));
    ReqBody::Boxed {
        inner: Box::pin(body.map_err(Into::into)),
        fuse_config: None,
    }
}

/// Creates a client that takes no action of its own: no retries, redirects, proxies or decompression.
///
/// # Panics
///
/// If the HTTP library can't build a client without TLS, which it always can.
pub fn plain_client(idle_timeout: Duration) -> reqwest::Client {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(idle_timeout)
        .build()
        .expect("a client without TLS can always be built")
}

/// Error on reading the body of an answer.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection broke.
    #[error(transparent)]
    Broken(#[from] reqwest::Error),
    /// The body is larger than the reader takes.
    #[error("answer is over {0} bytes")]
    TooLarge(usize),
}

/// Reads the body of an answer, at most `limit` bytes of it.
pub async fn read_body(mut answer: reqwest::Response, limit: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.chunk().await? {
        if body.len() + chunk.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Sets the status and the body of a response.
pub fn respond(res: &mut Response, status: StatusCode, body: impl Into<Bytes>) {
    res.status_code(status);
    res.body(ResBody::Once(body.into()));
}
