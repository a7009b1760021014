//! HTTP clients, separate for each peer, so that all connections to a peer that stopped responding can be discarded at
//! once.

use {
    super::body::ForwardedBody,
    crate::{
        http::{
            CONNECT_TIMEOUT, HeadLimits, KEEPALIVE_INTERVAL, NON_REPEATABLE_IDLE_TIMEOUT,
            REPEATABLE_IDLE_TIMEOUT,
        },
        paced_connector::PacedConnector,
        socket_budget::SocketShare,
    },
    hyper::{Request, Response, body::Incoming, http::Extensions},
    hyper_util::{
        client::legacy::{
            Client, Error,
            connect::{CaptureConnection, HttpConnector, capture_connection},
        },
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    rustix::io::Errno,
    std::{
        collections::HashMap,
        error::Error as StdError,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Idle time after which the clients of a peer are dropped.
const UNUSED_TTL: Duration = Duration::from_mins(1);

type PeerClient = Client<PacedConnector, ForwardedBody>;

#[derive(Debug)]
struct ClientSet {
    /// Client for repeatable requests: reuses idle connections.
    for_repeatable: PeerClient,
    /// Client for requests that must not run twice: uses new connections, or ones that were used a moment ago, as the
    /// peer may be closing an older one.
    for_non_repeatable: PeerClient,
    /// Client that uses a new connection for each request, and closes it afterwards.
    for_single: PeerClient,
    used_at: Instant,
}

impl ClientSet {
    fn new(limits: HeadLimits, sockets: &SocketShare) -> Self {
        Self {
            for_repeatable: new_client(limits, sockets, REPEATABLE_IDLE_TIMEOUT, usize::MAX),
            for_non_repeatable: new_client(limits, sockets, NON_REPEATABLE_IDLE_TIMEOUT, usize::MAX),
            for_single: new_client(limits, sockets, NON_REPEATABLE_IDLE_TIMEOUT, 0),
            used_at: Instant::now(),
        }
    }
}

/// Connections that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// New ones and idle ones: the request may run twice.
    Idle,
    /// New ones and ones that were used a moment ago: the request must not run twice.
    Recent,
    /// A new one that no other request uses: its answer can't be told from that to another request.
    Never,
}

impl ConnectionReuse {
    /// Returns the connections for a request whose answer can be told from others.
    pub fn for_request(repeatable: bool) -> Self {
        if repeatable { Self::Idle } else { Self::Recent }
    }
}

/// Error of a request that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// No byte of the request left this process.
    NotSent,
    /// No byte of the request left this process, which has no file descriptor for another connection.
    NoDescriptor,
    /// The connection broke after at least a part of the request was sent.
    Broken,
}

/// HTTP clients of one traffic thread, by the peer's address.
#[derive(Debug)]
pub struct PeerClients {
    /// Limits on the heads of answers.
    limits: HeadLimits,
    sockets: SocketShare,
    sets: Mutex<HashMap<SocketAddr, ClientSet>>,
}

impl PeerClients {
    /// Creates clients that take answers with heads up to these limits, and open sockets as a budget allows.
    pub(crate) fn new(limits: HeadLimits, sockets: SocketShare) -> Self {
        Self {
            limits,
            sockets,
            sets: Mutex::default(),
        }
    }

    /// Sends a request, whose URI names `peer` as authority, and returns the answer with its body still to be read.
    pub async fn send(
        &self,
        peer: SocketAddr,
        reuse: ConnectionReuse,
        mut request: Request<ForwardedBody>,
    ) -> Result<Response<Incoming>, SendFault> {
        let client = self.client(peer, reuse);
        let connection = capture_connection(&mut request);
        let mut answer = client
            .request(request)
            .await
            .map_err(|error| classify_error(&error))?;
        answer.extensions_mut().insert(connection);
        Ok(answer)
    }

    fn client(&self, peer: SocketAddr, reuse: ConnectionReuse) -> PeerClient {
        let mut sets = self.sets.lock();
        let set = sets
            .entry(peer)
            .or_insert_with(|| ClientSet::new(self.limits, &self.sockets));
        set.used_at = Instant::now();
        match reuse {
            ConnectionReuse::Idle => set.for_repeatable.clone(),
            ConnectionReuse::Recent => set.for_non_repeatable.clone(),
            ConnectionReuse::Never => set.for_single.clone(),
        }
    }

    /// Discards all connections to a peer, after a call to it broke, stalled or got an answer to another call. Calls in
    /// flight continue on their connections.
    pub fn discard_connections(&self, peer: SocketAddr) {
        self.sets.lock().remove(&peer);
    }

    /// Drops the clients that were not used for [`UNUSED_TTL`].
    pub fn drop_unused(&self) {
        self.sets
            .lock()
            .retain(|_, set| set.used_at.elapsed() < UNUSED_TTL);
    }
}

/// Keeps the connection of an answer, which holds these extensions, from being used for another request.
pub fn retire_connection(answer: &Extensions) {
    let Some(connection) = answer.get::<CaptureConnection>() else {
        return;
    };
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

/// Creates a client that sends a request once, with path and headers as given and without a `host` header of its own. It
/// keeps at most `max_idle` idle connections.
fn new_client(
    limits: HeadLimits,
    sockets: &SocketShare,
    idle_timeout: Duration,
    max_idle: usize,
) -> PeerClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(2));
    connector.set_tcp_user_timeout(Some(2 * KEEPALIVE_INTERVAL));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .pool_max_idle_per_host(max_idle)
        // A reused connection may end before a byte of the request is written; the request goes to another one then.
        .retry_canceled_requests(true)
        .set_host(false)
        .http1_max_buf_size(limits.bytes)
        .http1_max_headers(limits.headers)
        .build(PacedConnector::new(connector, Some(sockets.clone())))
}

fn classify_error(error: &Error) -> SendFault {
    let cause = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    if error.is_connect() && is_out_of_descriptors(error) {
        SendFault::NoDescriptor
    } else if error.is_connect() || cause.is_some_and(hyper::Error::is_canceled) {
        SendFault::NotSent
    } else {
        SendFault::Broken
    }
}

/// Returns whether an error comes from a lack of file descriptors.
fn is_out_of_descriptors(error: &Error) -> bool {
    let numbers = [Errno::MFILE, Errno::NFILE].map(Errno::raw_os_error);
    let mut sources = std::iter::successors(error.source(), |&source| source.source());
    sources.any(|source| {
        let error = source.downcast_ref::<io::Error>();
        let number = error.and_then(io::Error::raw_os_error);
        number.is_some_and(|number| numbers.contains(&number))
    })
}
