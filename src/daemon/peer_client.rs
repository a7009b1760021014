//! HTTP clients by peer, so that connections to a peer that went silent can be left at once.

use {
    crate::http::{FRESH_IDLE_TIMEOUT, POOL_IDLE_TIMEOUT, plain_client},
    parking_lot::Mutex,
    reqwest::Client,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after which the clients of a peer that is not called are dropped.
const UNUSED_LIFE: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct ClientPair {
    /// For requests that may be repeated: keeps connections.
    warm: Client,
    /// For requests that must not be repeated: uses only new or just-used connections.
    fresh: Client,
    used_at: Instant,
}

impl ClientPair {
    fn new() -> Self {
        Self {
            warm: plain_client(POOL_IDLE_TIMEOUT),
            fresh: plain_client(FRESH_IDLE_TIMEOUT),
            used_at: Instant::now(),
        }
    }
}

/// Clients of one traffic thread.
#[derive(Debug, Default)]
pub struct PeerClients {
    pairs: Mutex<HashMap<SocketAddr, ClientPair>>,
}

impl PeerClients {
    /// Returns the client for a request to a peer.
    pub fn client(&self, peer: SocketAddr, repeatable: bool) -> Client {
        let mut pairs = self.pairs.lock();
        let pair = pairs.entry(peer).or_insert_with(ClientPair::new);
        pair.used_at = Instant::now();
        if repeatable {
            pair.warm.clone()
        } else {
            pair.fresh.clone()
        }
    }

    /// Leaves every connection to a peer, after a call to it stalled or broke; calls under way go on.
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
