//! How far a daemon is with joining the mesh.

use {crate::clock::TimePoint, std::net::SocketAddr};

/// Time after which a daemon stops waiting for what its peers know of it, in milliseconds: from the herd restarts of the
/// lab, in which peers answer within two.
pub const JOIN_LIMIT_MS: u64 = 4_000;

/// How far the daemon is with joining.
#[derive(Debug, Clone)]
pub struct JoinProgress {
    /// When it stops waiting for what its peers know.
    pub limit: TimePoint,
    /// When contacts are asked next.
    pub next_at: TimePoint,
    /// Addresses at which a daemon may be found.
    pub contacts: Vec<SocketAddr>,
    /// Answers that are awaited.
    pub pending: usize,
    /// Tries to reach contacts so far.
    pub tries: u32,
    /// Whether a peer has answered.
    pub has_synced: bool,
    /// Whether the daemons were asked that keep note of what this one had applied.
    pub asked_keepers: bool,
    /// When seeds are read next.
    pub seeds_at: TimePoint,
}

impl JoinProgress {
    /// Starts with the configured contacts.
    pub fn new(contacts: Vec<SocketAddr>, now: TimePoint) -> Self {
        Self {
            limit: now.after_ms(JOIN_LIMIT_MS),
            next_at: now,
            contacts,
            pending: 0,
            tries: 0,
            has_synced: false,
            asked_keepers: false,
            seeds_at: now,
        }
    }

    /// Takes in addresses from the store. Ones that were not known are asked at once: after the loss of every process
    /// nothing else tells where the others are.
    pub fn hear_seeds(&mut self, seeds: Vec<SocketAddr>, now: TimePoint) {
        let known = self.contacts.len();
        for seed in seeds {
            if !self.contacts.contains(&seed) {
                self.contacts.push(seed);
            }
        }
        if self.contacts.len() > known && !self.has_synced {
            self.next_at = now;
        }
    }
}
