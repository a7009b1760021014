//! Joining: peers, then the daemons that keep note of what this one had applied, then the seeds of the store.

use {
    super::ControlState,
    crate::{clock::TimePoint, member::JOIN_TIMEOUT_MS},
    rand::{RngExt, seq::SliceRandom},
};

/// Contacts that are asked at the first try: all of a mesh of the users' sites, so that each hears at once of a daemon that
/// starts and tells it of targets that leave.
const JOIN_CONTACTS: usize = 40;
/// Most times that this number is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Time between two tries to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Time between two reads of the stored seeds while no peer answers, in milliseconds.
const SEEDS_READ_INTERVAL_MS: u64 = 1_000;

impl ControlState {
    pub(super) fn tick_join(&mut self, now: TimePoint) {
        if self.spread.has_joined() && self.join.has_synced {
            return;
        }
        if now >= self.join.next_at {
            self.join.next_at = now.after_ms(JOIN_INTERVAL_MS + self.rng.random_range(0..JOIN_INTERVAL_MS));
            self.try_join(now);
        }
        let have_replicas_answered = self.join.has_asked_replicas && self.join.pending == 0;
        let may_join = !self.spread.has_joined() && (have_replicas_answered || now >= self.join.deadline);
        if may_join && let Some(offer) = self.spread.join() {
            self.finish_offer(offer, "peer", now);
        }
    }

    /// Asks the known contacts, then those that keep note of what this daemon had applied.
    pub(super) fn try_join(&mut self, now: TimePoint) {
        let own = self.members.own().control;
        if self.join.has_synced {
            self.join.has_asked_replicas = true;
            for replica in self.members.floor_replicas() {
                self.join.pending += 1;
                self.start_sync(replica, Vec::new(), now);
            }
            return;
        }
        let mut contacts = self.join.contacts.clone();
        contacts.retain(|contact| *contact != own);
        // One answer tells of all others; more are asked from try to try, as many of the contacts may be gone.
        let count = JOIN_CONTACTS << self.join.attempts.min(MAX_DOUBLINGS);
        self.join.attempts += 1;
        let (asked, _) = contacts.partial_shuffle(&mut self.rng, count);
        for contact in asked.iter() {
            self.join.pending += 1;
            self.start_sync(*contact, Vec::new(), now);
        }
        let is_half_timed_out = now.after_ms(JOIN_TIMEOUT_MS / 2) >= self.join.deadline;
        if now >= self.join.seeds_at && (contacts.is_empty() || is_half_timed_out) {
            self.join.seeds_at = now.after_ms(SEEDS_READ_INTERVAL_MS);
            self.store.read_seeds(own);
        }
    }
}
