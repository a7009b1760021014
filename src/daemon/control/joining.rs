//! Joining the mesh: asks peers for their member records, then the floor replicas for the version that this daemon
//! had applied before its restart, and reads seeds from the store if no peer answers.

use {
    super::ControlState,
    crate::{clock::TimePoint, member::JOIN_TIMEOUT_MS},
    rand::{RngExt, seq::SliceRandom},
};

/// Number of contacts that are asked at the first attempt. In a mesh of up to that size every daemon
/// gets the record of a starting one at once and notifies it of leaving targets; in a larger one the others hear of it.
const FIRST_CONTACTS: usize = 40;
/// Maximum number of doublings of [`FIRST_CONTACTS`] on further attempts.
const MAX_DOUBLINGS: u32 = 5;
/// Minimum time between two attempts to join, in milliseconds; up to the same time is added at random.
const JOIN_INTERVAL_MS: u64 = 500;
/// Time between two reads of the stored seeds while no peer answers, in milliseconds.
const SEEDS_READ_INTERVAL_MS: u64 = 1_000;

impl ControlState {
    /// Repeats the attempt to join when it is due. Ends joining at the deadline, or before that once the floor replicas
    /// were asked and no sync request is in flight.
    pub(super) fn tick_join(&mut self, now: TimePoint) {
        if self.spread.has_joined() && self.join.has_synced {
            return;
        }
        if now >= self.join.next_attempt_at {
            self.join.next_attempt_at =
                now.after_ms(JOIN_INTERVAL_MS + self.rng.random_range(0..JOIN_INTERVAL_MS));
            self.try_join(now);
        }
        let is_floor_known = self.join.has_asked_replicas && self.join.pending == 0;
        let may_join = !self.spread.has_joined() && (is_floor_known || now >= self.join.deadline);
        if may_join && let Some(offer) = self.spread.join() {
            self.finish_offer(offer, "peer", now);
        }
    }

    /// Starts anti-entropy with contacts, or with the floor replicas once a peer has answered. Before that, also reads
    /// the seeds if there are no contacts or half of [`JOIN_TIMEOUT_MS`] is over.
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
        // One reply lists all other daemons. Each attempt asks more contacts, as many of them may have stopped.
        let count = FIRST_CONTACTS << self.join.attempts.min(MAX_DOUBLINGS);
        self.join.attempts += 1;
        let (asked, _) = contacts.partial_shuffle(&mut self.rng, count);
        for contact in asked.iter() {
            self.join.pending += 1;
            self.start_sync(*contact, Vec::new(), now);
        }
        let is_half_elapsed = now.after_ms(JOIN_TIMEOUT_MS / 2) >= self.join.deadline;
        if now >= self.join.next_seeds_read_at && (contacts.is_empty() || is_half_elapsed) {
            self.join.next_seeds_read_at = now.after_ms(SEEDS_READ_INTERVAL_MS);
            self.store.read_seeds(own);
        }
    }
}
