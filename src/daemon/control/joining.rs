//! Joining: peers, then the daemons that keep note of what this one had applied, then the seeds of the store.

use {
    super::{ControlState, JOIN_LIMIT_MS},
    crate::clock::TimePoint,
    rand::RngExt,
    std::net::SocketAddr,
};

/// Time between two tries to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Time between two reads of the stored seeds while no peer answers, in milliseconds.
const SEEDS_PAUSE_MS: u64 = 1_000;

impl ControlState {
    pub(super) fn tick_join(&mut self, now: TimePoint) {
        if self.spread.has_joined() && self.join.has_synced {
            return;
        }
        if now >= self.join.next_at {
            self.join.next_at = now.after_ms(JOIN_INTERVAL_MS + self.rng.random_range(0..JOIN_INTERVAL_MS));
            self.try_join(now);
        }
        let told = self.join.asked_keepers && self.join.pending == 0;
        let may_join = !self.spread.has_joined() && (told || now >= self.join.limit);
        if may_join && let Some(offer) = self.spread.join() {
            self.finish_offer(offer, "peer", now);
        }
    }

    /// Asks the known contacts, then those that keep note of what this daemon had applied.
    pub(super) fn try_join(&mut self, now: TimePoint) {
        let own = self.members.own().control;
        if self.join.has_synced {
            self.join.asked_keepers = true;
            for keeper in self.members.floor_keepers() {
                self.join.pending += 1;
                self.start_sync(keeper, Vec::new(), now);
            }
            return;
        }
        let contacts: Vec<SocketAddr> = self
            .join
            .contacts
            .iter()
            .copied()
            .filter(|contact| *contact != own)
            .collect();
        for contact in &contacts {
            self.join.pending += 1;
            self.start_sync(*contact, Vec::new(), now);
        }
        let alone_for_long = now.after_ms(JOIN_LIMIT_MS / 2) >= self.join.limit;
        if now >= self.join.seeds_at && (contacts.is_empty() || alone_for_long) {
            self.join.seeds_at = now.after_ms(SEEDS_PAUSE_MS);
            self.store.read_seeds(own);
        }
    }
}
