//! What a daemon takes over from the records that others send.

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
    pub(super) fn note_applied(&mut self, name: &str, version: u64, from: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.record.applied = entry.record.applied.max(version);
        }
        if version > self.own.applied {
            self.effects.push(MemberEffect::Newer { from, version });
        }
    }

    pub(super) fn absorb(&mut self, record: MemberRecord, now: TimePoint) {
        if record.name == self.own.name {
            self.absorb_own(&record);
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
            entry.until = status_end(entry.record.status, now);
            let record = entry.record.clone();
            if former.target.departed_unknown_to(&record.target) {
                self.send_with(record.control, ProbeKind::Notice, vec![former]);
            }
            self.accept(record, now);
        } else if self.entries.len() < MAX_RECORDS {
            let until = status_end(record.status, now);
            self.entries.insert(
                Arc::clone(&record.name),
                MemberEntry {
                    record: record.clone(),
                    until,
                },
            );
            self.accept(record, now);
        }
    }

    fn accept(&mut self, record: MemberRecord, now: TimePoint) {
        self.spread(&record.name);
        if record.status.is_present() {
            self.bury_former_holder(&record, now);
        }
        self.effects.push(MemberEffect::Changed { record });
    }

    /// A daemon that uses the gate address of an older one has taken its place.
    fn bury_former_holder(&mut self, record: &MemberRecord, now: TimePoint) {
        let former = self.entries.values_mut().filter(|entry| {
            entry.record.gate == record.gate
                && entry.record.name != record.name
                && entry.record.status.is_present()
                && entry.record.incarnation < record.incarnation
        });
        let mut buried = Vec::new();
        for entry in former {
            entry.record.status = MemberStatus::Dead;
            entry.until = status_end(MemberStatus::Dead, now);
            buried.push(entry.record.clone());
        }
        for record in buried {
            self.spread(&record.name);
            self.effects.push(MemberEffect::Changed { record });
        }
    }

    fn absorb_own(&mut self, record: &MemberRecord) {
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
        let outdated = record.incarnation > self.own.incarnation
            || (record.incarnation == self.own.incarnation && record.status != self.own.status);
        if outdated {
            self.renew_own(record.incarnation);
            self.notify_peers();
        }
    }
}

fn status_end(status: MemberStatus, now: TimePoint) -> TimePoint {
    match status {
        MemberStatus::Alive => TimePoint::FAR_FUTURE,
        MemberStatus::Suspect => now.after_ms(SUSPICION_MS),
        MemberStatus::Dead | MemberStatus::Left => now.after_ms(DEAD_RETENTION_MS),
    }
}
