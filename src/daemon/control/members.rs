//! Membership: performs the effects of the member state and runs anti-entropy.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        daemon::{
            envelope::{ControlReply, ControlRequest, encode_envelope},
            metrics::ControlLabels,
            tasks::{ControlEvent, ControlPeer},
        },
        member::{MemberEffect, MemberRecord, MemberStatus, ProbeMessage, SyncReply},
        timeline::EventKind,
    },
    rand::RngExt,
    std::net::SocketAddr,
};

/// Time that a watch on the store has to deliver a version before it is pulled from another data centre, in milliseconds:
/// the pause in which changes are batched, plus two answers of the store.
const WATCH_GRACE_MS: u64 = 900;
/// The same before it is pulled within the data centre, where a delta costs less than the watch: the pause and an answer.
const LOCAL_WATCH_GRACE_MS: u64 = 400;
/// Time that the daemons of a data centre have to get a version before it is pulled from another data centre, in
/// milliseconds.
const LOCAL_PEERS_GRACE_MS: u64 = 500;

impl ControlState {
    /// Performs the effects of the member state.
    pub(super) fn apply_effects(&mut self, effects: Vec<MemberEffect>, now: TimePoint) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.send_datagram(to, message, now),
                MemberEffect::Changed { record } => {
                    self.is_snapshot_stale = true;
                    self.record_member(&record, now);
                }
                MemberEffect::Sync { with } => self.start_sync(with, Vec::new(), now),
                MemberEffect::Newer { from, version } => self.schedule_pull(from, version, now),
                MemberEffect::Announced { version } => self.spread.add_announced(version),
                MemberEffect::Floor { version } => self.spread.raise_floor(version),
                MemberEffect::DepartedTarget { target } => self.restore_departed_target(&target, now),
                MemberEffect::NameTaken { by } => {
                    let detail = format!("by={by}; give every daemon a unique name");
                    self.ring.record(EventKind::NameTaken, detail, now);
                }
            }
        }
    }

    /// Schedules a pull from a peer with a newer configuration. A daemon that watches a reachable store by its rank first
    /// waits [`LOCAL_WATCH_GRACE_MS`] or [`WATCH_GRACE_MS`] for the watch to deliver the version. Other daemons pull at once
    /// within their data centre, but from another one after [`LOCAL_PEERS_GRACE_MS`], as whole configurations are expensive
    /// to transfer between data centres. That holds also while they read the store in place of others: the read may take
    /// seconds.
    fn schedule_pull(&mut self, peer: SocketAddr, version: u64, now: TimePoint) {
        let own_centre = &self.shared.settings.data_centre;
        let is_local = self
            .members
            .others()
            .any(|record| record.control == peer && record.data_centre == *own_centre);
        let is_watching = self.is_watching && !self.had_taken_over && !self.store_was_down;
        let wait_ms = match (is_watching, is_local) {
            (true, true) => LOCAL_WATCH_GRACE_MS,
            (true, false) => WATCH_GRACE_MS,
            (false, true) => 0,
            (false, false) => LOCAL_PEERS_GRACE_MS,
        };
        self.spread.add_source(peer, version, now.after_ms(wait_ms));
    }

    /// Schedules a pull from a daemon whose gate has told of its newer version.
    pub(super) fn schedule_pull_from(&mut self, daemon: &str, version: u64, now: TimePoint) {
        let record = self.members.others().find(|record| *record.name == *daemon);
        if let Some(peer) = record.map(|record| record.control)
            && version > self.spread.version()
        {
            self.schedule_pull(peer, version, now);
        }
    }

    /// Sends a datagram without blocking.
    pub(super) fn send_datagram(&mut self, to: SocketAddr, message: ProbeMessage, now: TimePoint) {
        let (stamp, kind) = (self.ring.stamp(now), message.kind.as_str());
        let Ok(bytes) = encode_envelope(&self.shared.settings.mesh, stamp, message) else {
            return;
        };
        let labels = ControlLabels {
            direction: "sent",
            kind,
            reach: self.members.reach(to),
        };
        self.shared.metrics.count_control_message(labels, bytes.len());
        // A datagram that can't be sent counts as lost, which the protocol tolerates.
        let _ = self.datagrams.try_send_to(&bytes, to);
    }

    /// Records a change of a member on the timeline.
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

    /// Starts anti-entropy with a random present peer when it is due.
    pub(super) fn tick_sync(&mut self, now: TimePoint) {
        if now < self.next_sync_at {
            return;
        }
        let interval_ms = self.members.sync_interval_ms(now);
        self.next_sync_at = now.after_ms(interval_ms / 2 + self.rng.random_range(0..interval_ms));
        if let Some(peer) = self.members.sync_peer() {
            self.start_sync(peer, Vec::new(), now);
        }
    }

    /// Returns a peer as the receiver of a control request.
    pub(super) fn control_peer(&self, address: SocketAddr) -> ControlPeer {
        ControlPeer {
            address,
            reach: self.members.reach(address),
        }
    }

    /// Requests anti-entropy from a peer and delivers `records` to it.
    pub(super) fn start_sync(&mut self, peer: SocketAddr, records: Vec<MemberRecord>, now: TimePoint) {
        let request = ControlRequest::Sync(Box::new(self.members.sync_request(records)));
        let to = self.control_peer(peer);
        self.client
            .request(to, self.ring.stamp(now), request, None, move |reply| {
                let reply = match reply {
                    Some(ControlReply::Sync(reply)) => Some(reply),
                    _ => None,
                };
                ControlEvent::SyncDone { peer, reply }
            });
    }

    /// Merges a peer's reply, and sends back the records that the peer lacks or has in an older state. This daemon's
    /// record is left out, as each request contains it.
    pub(super) fn finish_sync(&mut self, peer: SocketAddr, reply: Option<SyncReply>, now: TimePoint) {
        self.join.pending = self.join.pending.saturating_sub(1);
        let Some(reply) = reply else { return };
        self.join.has_synced = true;
        if reply.applied > self.spread.version() {
            self.schedule_pull(peer, reply.applied, now);
        }
        let (newer, effects) = self.members.finish_sync(reply, now);
        self.apply_effects(effects, now);
        let missing_at_peer: Vec<MemberRecord> = newer
            .into_iter()
            .filter(|record| record.name != self.members.own().name)
            .collect();
        if !missing_at_peer.is_empty() {
            self.start_sync(peer, missing_at_peer, now);
        }
    }
}
