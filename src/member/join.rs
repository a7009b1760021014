//! Progress of a daemon that joins the mesh.

use {
    crate::clock::TimePoint,
    rand::{Rng, seq::SliceRandom},
    std::net::SocketAddr,
};

/// Time after which a daemon stops waiting for its peers to report the version that it had applied before its restart,
/// in milliseconds. When the lab restarts all daemons at the same time, peers answer within two seconds.
pub const JOIN_TIMEOUT_MS: u64 = 4_000;

/// Number of contacts that get the record of a starting daemon at once, so that it is notified of leaving targets. If no
/// more are known, all are asked for their lists as well.
const FIRST_CONTACTS: usize = 40;
/// Number of contacts of a larger fleet that are asked for their lists at the first attempt.
const FIRST_ASKED: usize = 3;
/// Maximum number of doublings of the contacts that are asked.
const MAX_DOUBLINGS: u32 = 5;

/// Progress of joining: which peers were asked and how many replies are outstanding.
#[derive(Debug, Clone)]
pub struct JoinProgress {
    /// When the daemon stops waiting for its peers.
    pub deadline: TimePoint,
    /// When the next attempt to join is due.
    pub next_attempt_at: TimePoint,
    /// Control addresses of possible peers of the own data centre, from the seeds in the store.
    pub near_contacts: Vec<SocketAddr>,
    /// Other control addresses of possible peers, from the settings and from the seeds in the store.
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
            near_contacts: Vec::new(),
            contacts,
            pending: 0,
            attempts: 0,
            has_synced: false,
            has_asked_replicas: false,
            next_seeds_read_at: now,
        }
    }

    /// Adds addresses read from the store: those of the own data centre, and others. If there are new ones and no peer
    /// has answered so far, the next attempt is due at once: after the loss of every process, the store may be the only
    /// source of valid addresses.
    pub fn add_seeds(&mut self, near: Vec<SocketAddr>, far: Vec<SocketAddr>, now: TimePoint) {
        let former_count = self.contact_count();
        for seed in near {
            if !self.near_contacts.contains(&seed) {
                self.contacts.retain(|contact| *contact != seed);
                self.near_contacts.push(seed);
            }
        }
        for seed in far {
            if !self.contacts.contains(&seed) && !self.near_contacts.contains(&seed) {
                self.contacts.push(seed);
            }
        }
        if self.contact_count() > former_count && !self.has_synced {
            self.next_attempt_at = now;
        }
    }

    /// Selects the contacts that are asked for their lists at the next attempt, and those that are only told of this
    /// daemon, and counts the attempt. One list is enough, so in a large fleet few daemons are asked, of the own data
    /// centre if any is known; each attempt asks more, as many may have stopped.
    pub fn next_contacts(&mut self, rng: &mut impl Rng) -> JoinContacts {
        let attempt = self.attempts.min(MAX_DOUBLINGS);
        self.attempts += 1;
        self.near_contacts.shuffle(rng);
        self.contacts.shuffle(rng);
        let all = || self.near_contacts.iter().chain(&self.contacts).copied();
        let first = if self.contact_count() <= FIRST_CONTACTS {
            FIRST_CONTACTS
        } else {
            FIRST_ASKED
        };
        let asked: Vec<SocketAddr> = all().take(first << attempt).collect();
        let mut told: Vec<SocketAddr> = all().filter(|contact| !asked.contains(contact)).collect();
        told.shuffle(rng);
        told.truncate(FIRST_CONTACTS);
        JoinContacts { asked, told }
    }

    fn contact_count(&self) -> usize {
        self.near_contacts.len() + self.contacts.len()
    }
}

/// Contacts of one attempt to join.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinContacts {
    /// Contacts that are asked for their lists.
    pub asked: Vec<SocketAddr>,
    /// Contacts that only get the record of this daemon. Those that know of the departure of its target tell it.
    pub told: Vec<SocketAddr>,
}
