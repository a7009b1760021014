//! HTTP clients by peer, so that connections to a peer that went silent can be left at once.

use {
    super::body::OnwardBody,
    crate::http::{
        CONNECT_TIMEOUT, KEEPALIVE_INTERVAL, NON_REPEATABLE_IDLE_TIMEOUT, REPEATABLE_IDLE_TIMEOUT,
    },
    hyper::{Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        error::Error as _,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after which the clients of a peer that is not called are dropped.
const UNUSED_LIFE: Duration = Duration::from_mins(1);

type RawClient = Client<HttpConnector, OnwardBody>;

#[derive(Debug)]
struct ClientPair {
    /// For requests that may be repeated: keeps connections.
    warm: RawClient,
    /// For requests that must not be repeated: uses only new or just-used connections.
    fresh: RawClient,
    used_at: Instant,
}

impl ClientPair {
    fn new() -> Self {
        Self {
            warm: raw_client(REPEATABLE_IDLE_TIMEOUT),
            fresh: raw_client(NON_REPEATABLE_IDLE_TIMEOUT),
            used_at: Instant::now(),
        }
    }
}

/// A request that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// No byte of the request left this process.
    NotSent,
    /// The connection broke after the request was sent, wholly or in part.
    Broken,
}

/// Clients of one traffic thread.
#[derive(Debug, Default)]
pub struct PeerClients {
    pairs: Mutex<HashMap<SocketAddr, ClientPair>>,
}

impl PeerClients {
    /// Sends a request to a peer; the request's URI holds the path only.
    pub async fn send(
        &self,
        peer: SocketAddr,
        repeatable: bool,
        request: Request<OnwardBody>,
    ) -> Result<Response<Incoming>, SendFault> {
        let client = self.client(peer, repeatable);
        client.request(request).await.map_err(|error| fault_of(&error))
    }

    fn client(&self, peer: SocketAddr, repeatable: bool) -> RawClient {
        let mut pairs = self.pairs.lock();
        let pair = pairs.entry(peer).or_insert_with(ClientPair::new);
        pair.used_at = Instant::now();
        if repeatable {
            pair.warm.clone()
        } else {
            pair.fresh.clone()
        }
    }

    /// Leaves every connection to a peer, after a call to it stalled or got an answer of another call; calls under
    /// way go on.
    pub fn leave_connections(&self, peer: SocketAddr) {
        self.pairs.lock().remove(&peer);
    }

    /// Drops the clients of peers that have not been called for a while.
    pub fn drop_unused(&self) {
        self.pairs
            .lock()
            .retain(|_, pair| pair.used_at.elapsed() < UNUSED_LIFE);
    }
}

/// Makes a client that does nothing by itself: no retries, and URIs pass as they are.
fn raw_client(idle_timeout: Duration) -> RawClient {
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
        .retry_canceled_requests(false)
        .set_host(false)
        .build(connector)
}

fn fault_of(error: &Error) -> SendFault {
    let cause = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    if error.is_connect() || cause.is_some_and(hyper::Error::is_canceled) {
        SendFault::NotSent
    } else {
        SendFault::Broken
    }
}
