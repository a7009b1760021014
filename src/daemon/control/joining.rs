//! Joining the mesh: asks peers for their member records, then the floor replicas for the version that this daemon
//! had applied before its restart, and reads seeds from the store if no peer answers.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        member::{JOIN_TIMEOUT_MS, JoinContacts},
    },
    rand::RngExt,
};

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
        for contacts in [&mut self.join.contacts, &mut self.join.near_contacts] {
            contacts.retain(|contact| *contact != own);
        }
        let JoinContacts { asked, told } = self.join.next_contacts(&mut self.rng);
        let has_contacts = !asked.is_empty();
        for contact in asked {
            self.join.pending += 1;
            self.start_sync(contact, Vec::new(), now);
        }
        let effects = self.members.introduce(&told);
        self.apply_effects(effects, now);
        let is_half_elapsed = now.after_ms(JOIN_TIMEOUT_MS / 2) >= self.join.deadline;
        if now >= self.join.next_seeds_read_at && (!has_contacts || is_half_elapsed) {
            self.join.next_seeds_read_at = now.after_ms(SEEDS_READ_INTERVAL_MS);
            self.store.read_seeds(own);
        }
    }
}
