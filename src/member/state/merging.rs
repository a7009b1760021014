//! Merging of the records that other daemons send into the member list.

use {
    super::{DEAD_RETENTION_MS, MAX_RECORDS, MemberEffect, MemberEntry, MemberState, SUSPICION_MS},
    crate::{
        clock::TimePoint,
        member::{
            message::ProbeKind,
            record::{MemberRecord, MemberStatus, TargetStatus},
        },
    },
    std::{net::SocketAddr, sync::Arc},
};

impl MemberState {
    /// Updates the version that the sender of a datagram has applied, and reports it if it is newer than this daemon's.
    pub(super) fn update_applied(&mut self, name: &str, version: u64, from: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.record.applied = entry.record.applied.max(version);
        }
        if version > self.own.applied {
            self.effects.push(MemberEffect::Newer { from, version });
        }
    }

    /// Adds a received record, or replaces the stored one of the same daemon if the received one supersedes it. New
    /// daemons beyond [`MAX_RECORDS`] are ignored. A daemon whose new record lacks the departure of its target is sent
    /// the former record.
    pub(super) fn merge_record(&mut self, record: MemberRecord, now: TimePoint) {
        if record.name == self.own.name {
            self.merge_own_record(&record, now);
            return;
        }
        let known = self.entries.get_mut(&record.name);
        if let Some(entry) = known {
            let applied = entry.record.applied.max(record.applied);
            entry.record.applied = applied;
            if !record.supersedes(&entry.record) {
                return;
            }
            let former = std::mem::replace(&mut entry.record, MemberRecord { applied, ..record });
            entry.expires_at = status_expiry(entry.record.status, now);
            let record = entry.record.clone();
            if former.status == MemberStatus::Dead && record.status == MemberStatus::Alive {
                // After a cut, lists differ in many records at once.
                self.settle(now);
            }
            if former.target.is_departure_missing_in(&record.target) {
                self.send_with(record.control, ProbeKind::Notice, vec![former]);
            }
            self.publish_change(record, now);
        } else if self.entries.len() < MAX_RECORDS {
            let expires_at = status_expiry(record.status, now);
            if self.entries.is_empty() {
                self.confirmation.inquire_at(now);
            }
            self.entries.insert(
                Arc::clone(&record.name),
                MemberEntry {
                    record: record.clone(),
                    expires_at,
                },
            );
            self.publish_change(record, now);
        }
    }

    /// Queues a changed record for dissemination, marks the daemons that it replaces as dead and reports the change as
    /// an effect.
    fn publish_change(&mut self, record: MemberRecord, now: TimePoint) {
        self.queue_update(&record.name);
        self.queue_relayed(&record.name, now);
        if record.status.is_present() {
            self.mark_replaced_dead(&record, now);
        }
        self.effects.push(MemberEffect::Changed { record });
    }

    /// Marks the daemons with the same gate address and a lower incarnation as dead: the daemon of `record` has
    /// replaced them.
    fn mark_replaced_dead(&mut self, record: &MemberRecord, now: TimePoint) {
        let former = self.entries.values_mut().filter(|entry| {
            entry.record.gate == record.gate
                && entry.record.name != record.name
                && entry.record.status.is_present()
                && entry.record.incarnation < record.incarnation
        });
        let mut replaced = Vec::new();
        for entry in former {
            entry.record.status = MemberStatus::Dead;
            entry.expires_at = status_expiry(MemberStatus::Dead, now);
            replaced.push(entry.record.clone());
        }
        for record in replaced {
            self.queue_update(&record.name);
            self.queue_relayed(&record.name, now);
            self.effects.push(MemberEffect::Changed { record });
        }
    }

    /// Handles another daemon's copy of this daemon's record. A higher incarnation, or another status in the same
    /// incarnation, is refuted by raising the incarnation above it. The copy may come from an earlier process of this
    /// name: a higher applied version and a departed target are reported. A copy with a higher incarnation and another
    /// gate address is reported as a taken name.
    fn merge_own_record(&mut self, record: &MemberRecord, now: TimePoint) {
        if record.gate != self.own.gate && record.incarnation > self.own.incarnation {
            self.effects.push(MemberEffect::NameTaken { by: record.gate });
        }
        if record.applied > self.own.applied {
            self.effects.push(MemberEffect::Floor {
                version: record.applied,
            });
        }
        if record.target.status == TargetStatus::Departed && record.target != self.own.target {
            self.effects.push(MemberEffect::DepartedTarget {
                target: record.target.clone(),
            });
        }
        let needs_refutation = record.incarnation > self.own.incarnation
            || (record.incarnation == self.own.incarnation && record.status != self.own.status);
        if needs_refutation {
            self.publish_own_change(record.incarnation, now);
        }
    }
}

/// Returns when an entry that gets `status` at `now` expires.
fn status_expiry(status: MemberStatus, now: TimePoint) -> TimePoint {
    match status {
        MemberStatus::Alive => TimePoint::FAR_FUTURE,
        MemberStatus::Suspect => now.after_ms(SUSPICION_MS),
        MemberStatus::Dead | MemberStatus::Left => now.after_ms(DEAD_RETENTION_MS),
    }
}
