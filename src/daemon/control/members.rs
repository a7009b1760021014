//! Membership: what the control thread does with the effects of the member state, and anti-entropy.

use {
    super::{ControlState, SYNC_INTERVAL_MS},
    crate::{
        clock::TimePoint,
        daemon::{
            envelope::{ControlReply, ControlRequest, enclose},
            tasks::ControlEvent,
        },
        member::{MemberEffect, MemberRecord, MemberStatus, ProbeMessage, SyncReply},
        timeline::EventKind,
    },
    rand::RngExt,
    std::net::SocketAddr,
};

impl ControlState {
    pub(super) fn carry_out(&mut self, effects: Vec<MemberEffect>, now: TimePoint) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.send_datagram(to, message, now),
                MemberEffect::Changed { record } => {
                    self.is_stale = true;
                    self.record_member(&record, now);
                }
                MemberEffect::Sync { with } => self.start_sync(with, Vec::new(), now),
                MemberEffect::Newer { from, version } => self.spread.note_newer(from, version),
                MemberEffect::Floor { version } => self.spread.raise_floor(version),
                MemberEffect::NameTaken { by } => {
                    let detail = format!("by={by}; give every daemon a name of its own");
                    self.ring.record(EventKind::NameTaken, detail, now);
                }
            }
        }
    }

    pub(super) fn send_datagram(&mut self, to: SocketAddr, message: ProbeMessage, now: TimePoint) {
        let stamp = self.ring.stamp(now);
        let Ok(bytes) = enclose(&self.shared.settings.mesh, stamp, message) else {
            return;
        };
        self.shared.metrics.count_control("sent", "probe", bytes.len());
        // A datagram that can't be sent is a lost one, which the protocol expects.
        let _ = self.datagrams.try_send_to(&bytes, to);
    }

    pub(super) fn record_member(&mut self, record: &MemberRecord, now: TimePoint) {
        let kind = match record.status {
            MemberStatus::Alive => EventKind::MemberAlive,
            MemberStatus::Suspect => EventKind::MemberSuspect,
            MemberStatus::Dead => EventKind::MemberDead,
            MemberStatus::Left => EventKind::MemberLeft,
        };
        let target = &record.target;
        let detail = format!(
            "member={} version={} target={}",
            record.name, target.version, target.status
        );
        self.ring.record(kind, detail, now);
    }

    pub(super) fn tick_sync(&mut self, now: TimePoint) {
        if now < self.sync_at {
            return;
        }
        self.sync_at = now.after_ms(SYNC_INTERVAL_MS / 2 + self.rng.random_range(0..SYNC_INTERVAL_MS));
        let peers: Vec<SocketAddr> = self
            .members
            .others()
            .filter(|peer| peer.status.is_present())
            .map(|peer| peer.control)
            .collect();
        if !peers.is_empty() {
            let peer = peers[self.rng.random_range(0..peers.len())];
            self.start_sync(peer, Vec::new(), now);
        }
    }

    pub(super) fn start_sync(&mut self, peer: SocketAddr, records: Vec<MemberRecord>, now: TimePoint) {
        let request = ControlRequest::Sync(Box::new(self.members.sync_request(records)));
        self.client
            .request(peer, self.ring.stamp(now), request, move |reply| {
                let reply = match reply {
                    Some(ControlReply::Sync(reply)) => Some(reply),
                    _ => None,
                };
                ControlEvent::SyncDone { peer, reply }
            });
    }

    pub(super) fn finish_sync(&mut self, peer: SocketAddr, reply: Option<SyncReply>, now: TimePoint) {
        self.join.pending = self.join.pending.saturating_sub(1);
        let Some(reply) = reply else { return };
        self.join.has_synced = true;
        if reply.applied > self.spread.version() {
            self.spread.note_newer(peer, reply.applied);
        }
        let (newer, effects) = self.members.finish_sync(reply, now);
        self.carry_out(effects, now);
        let others_lack: Vec<MemberRecord> = newer
            .into_iter()
            .filter(|record| record.name != self.members.own().name)
            .collect();
        if !others_lack.is_empty() {
            self.start_sync(peer, others_lack, now);
        }
    }
}
