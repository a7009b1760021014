//! Membership: what the control thread does with the effects of the member state, and anti-entropy.

use {
    super::{ControlState, SYNC_INTERVAL_MS},
    crate::{
        clock::TimePoint,
        daemon::{
            envelope::{ControlReply, ControlRequest, encode_envelope},
            tasks::ControlEvent,
        },
        member::{MemberEffect, MemberRecord, MemberStatus, ProbeMessage, SyncReply},
        timeline::EventKind,
    },
    rand::RngExt,
    std::net::SocketAddr,
};

/// Time that the own watch is given to bring a version that a peer has, in milliseconds: the pause in which changes are
/// gathered, and two answers of the store.
const WATCH_FIRST_MS: u64 = 900;
/// Time that daemons of the own data centre are given to get it, in milliseconds.
const NEAR_FIRST_MS: u64 = 500;

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
                MemberEffect::Newer { from, version } => self.note_newer(from, version, now),
                MemberEffect::Floor { version } => self.spread.raise_floor(version),
                MemberEffect::DepartedTarget { target } => self.recall_target(target, now),
                MemberEffect::NameTaken { by } => {
                    let detail = format!("by={by}; give every daemon a name of its own");
                    self.ring.record(EventKind::NameTaken, detail, now);
                }
            }
        }
    }

    /// Takes note of a peer with a newer configuration. It is pulled when the own watch had time to bring it, and from
    /// another data centre when the daemons of the own one had time to get it: whole values are dear there.
    fn note_newer(&mut self, peer: SocketAddr, version: u64, now: TimePoint) {
        let own_centre = &self.shared.settings.data_centre;
        let is_near = self
            .members
            .others()
            .any(|record| record.control == peer && record.data_centre == *own_centre);
        let is_watching = self.is_watcher && !self.store_was_down;
        let wait_ms = match (is_watching, is_near) {
            (true, _) => WATCH_FIRST_MS,
            (false, true) => 0,
            (false, false) => NEAR_FIRST_MS,
        };
        self.spread.note_newer(peer, version, now.after_ms(wait_ms));
    }

    pub(super) fn send_datagram(&mut self, to: SocketAddr, message: ProbeMessage, now: TimePoint) {
        let stamp = self.ring.stamp(now);
        let Ok(bytes) = encode_envelope(&self.shared.settings.mesh, stamp, message) else {
            return;
        };
        self.shared
            .metrics
            .count_control_bytes("sent", "probe", bytes.len());
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
            self.note_newer(peer, reply.applied, now);
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
