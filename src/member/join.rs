//! Progress of a daemon that joins the mesh.

use {crate::clock::TimePoint, std::net::SocketAddr};

/// Time after which a daemon stops waiting for its peers to report the version that it had applied before its restart,
/// in milliseconds. When the lab restarts all daemons at the same time, peers answer within two seconds.
pub const JOIN_TIMEOUT_MS: u64 = 4_000;

/// Progress of joining: which peers were asked and how many replies are outstanding.
#[derive(Debug, Clone)]
pub struct JoinProgress {
    /// When the daemon stops waiting for its peers.
    pub deadline: TimePoint,
    /// When the next attempt to join is due.
    pub next_attempt_at: TimePoint,
    /// Control addresses of possible peers, from the settings and from the seeds in the store.
    pub contacts: Vec<SocketAddr>,
    /// Sync requests in flight.
    pub pending: usize,
    /// Attempts so far that asked contacts.
    pub attempts: u32,
    /// Whether a peer has answered a sync request.
    pub has_synced: bool,
    /// Whether the floor replicas, which store the version that this daemon had applied, were asked.
    pub has_asked_replicas: bool,
    /// When seeds may be read next from the store.
    pub next_seeds_read_at: TimePoint,
}

impl JoinProgress {
    /// Starts to join at `now` with the peers of the settings.
    pub fn new(contacts: Vec<SocketAddr>, now: TimePoint) -> Self {
        Self {
            deadline: now.after_ms(JOIN_TIMEOUT_MS),
            next_attempt_at: now,
            contacts,
            pending: 0,
            attempts: 0,
            has_synced: false,
            has_asked_replicas: false,
            next_seeds_read_at: now,
        }
    }

    /// Adds addresses read from the store. If there are new ones and no peer has answered so far, the next attempt is
    /// due at once: after the loss of every process, the store may be the only source of valid addresses.
    pub fn add_seeds(&mut self, seeds: Vec<SocketAddr>, now: TimePoint) {
        let former_count = self.contacts.len();
        for seed in seeds {
            if !self.contacts.contains(&seed) {
                self.contacts.push(seed);
            }
        }
        if self.contacts.len() > former_count && !self.has_synced {
            self.next_attempt_at = now;
        }
    }
}
