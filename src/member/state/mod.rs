//! State machine of the membership protocol, without I/O.

mod confirming;
mod merging;
mod probing;
mod reaching;
mod syncing;

use {
    self::reaching::{RelayQueue, SETTLING_MS},
    super::{
        confirmation::ConfirmationState,
        message::{ProbeKind, ProbeMessage},
        record::{MemberRecord, MemberStatus, TargetRecord, TargetStatus},
    },
    crate::clock::TimePoint,
    indexmap::IndexMap,
    rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{net::SocketAddr, sync::Arc},
};

/// Time between two probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time that a suspected daemon has to refute the suspicion before it counts as dead, in milliseconds.
pub const SUSPICION_MS: u64 = 5_000;
/// Number of random peers that a daemon notifies immediately of a change of its record.
const NOTICE_FANOUT: usize = 4;
/// Number of peers that store the version applied by a daemon, so that a successor process gets it back.
const FLOOR_REPLICAS: usize = 3;
/// Maximum number of queued records in one datagram; keeps it below a usual path MTU.
const UPDATES_PER_DATAGRAM: usize = 5;
/// Time for which the record of a dead or left daemon is kept, in milliseconds.
const DEAD_RETENTION_MS: u64 = 2 * 3_600_000;
/// Time between two exchanges with senders that are not listed, in milliseconds. One exchange lists all of them, as long as
/// they are known to that sender.
const STRANGER_INTERVAL_MS: u64 = 500;
/// Maximum number of records of other daemons, so that made-up ones can't fill the memory.
const MAX_RECORDS: usize = 20_000;

/// Effect that the daemon performs on behalf of [`MemberState`].
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEffect {
    /// Send a datagram.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// The datagram.
        message: ProbeMessage,
    },
    /// A daemon's record changed.
    Changed {
        /// The new record.
        record: MemberRecord,
    },
    /// Run anti-entropy with a peer whose record was unknown so far.
    Sync {
        /// The peer's control address.
        with: SocketAddr,
    },
    /// A peer has applied a newer configuration than this daemon.
    Newer {
        /// The peer's control address.
        from: SocketAddr,
        /// Version that it has applied.
        version: u64,
    },
    /// A peer has heard of a version, which this daemon may lack.
    Announced {
        /// The version.
        version: u64,
    },
    /// A peer's copy of this daemon's record shows that an earlier process of its name had applied a higher version.
    Floor {
        /// Lowest version that this daemon may apply.
        version: u64,
    },
    /// A peer's copy of this daemon's record shows that the target beside an earlier process of its name departed.
    DepartedTarget {
        /// The target.
        target: TargetRecord,
    },
    /// Another process uses this daemon's name.
    NameTaken {
        /// Address of its gate.
        by: SocketAddr,
    },
}

/// Record of another daemon and the expiry of its status.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberEntry {
    /// The record.
    pub record: MemberRecord,
    /// When the status expires: a suspect becomes dead, a dead or left daemon is removed.
    pub expires_at: TimePoint,
}

/// Ping of this daemon that has not been acknowledged so far.
#[derive(Debug, Clone)]
struct PendingProbe {
    seq: u64,
    name: Arc<str>,
    /// When other daemons are asked to ping it too.
    indirect_at: TimePoint,
    /// When the pinged daemon becomes a suspect.
    deadline: TimePoint,
}

/// Ping sent on request of another daemon.
#[derive(Debug, Clone)]
struct RelayedProbe {
    seq: u64,
    /// Control address of the daemon that asked for it.
    origin: SocketAddr,
    /// Sequence number of its request, which the forwarded acknowledgement repeats.
    origin_seq: u64,
    deadline: TimePoint,
}

/// Member list of a daemon, with its pending probes and queued updates.
#[derive(Debug)]
pub struct MemberState {
    own: MemberRecord,
    entries: IndexMap<Arc<str>, MemberEntry>,
    /// Names whose records are to be disseminated, with the number of sends left.
    updates: IndexMap<Arc<str>, u32>,
    probes: Vec<PendingProbe>,
    relays: Vec<RelayedProbe>,
    /// Daemons left to probe in this round; taken from the end.
    probe_order: Vec<Arc<str>>,
    /// Dead daemons left to probe in this round; taken from the end.
    dead_probe_order: Vec<Arc<str>>,
    /// When this daemon compares digests with a peer more often than later.
    settling_until: TimePoint,
    next_probe_at: TimePoint,
    /// When anti-entropy may be run next with a sender that is not listed.
    next_stranger_at: TimePoint,
    relay: RelayQueue,
    confirmation: ConfirmationState,
    probe_count: u64,
    /// Sequence number of the latest probe or inquiry.
    seq: u64,
    rng: SmallRng,
    effects: Vec<MemberEffect>,
}

impl MemberState {
    /// Creates a member list with the daemon's own record only; `seed` seeds its random choices.
    pub fn new(own: MemberRecord, seed: u64, now: TimePoint) -> Self {
        Self {
            confirmation: ConfirmationState::new(own.control, now),
            // Starts at the time of the start, so that no answer to an earlier process matches.
            seq: own.incarnation,
            own,
            entries: IndexMap::new(),
            updates: IndexMap::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            probe_order: Vec::new(),
            dead_probe_order: Vec::new(),
            settling_until: now.after_ms(SETTLING_MS),
            next_probe_at: now,
            next_stranger_at: now,
            relay: RelayQueue::new(now),
            probe_count: 0,
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// Returns the daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the records of the other daemons, including suspects, dead and left ones.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns this daemon's record, then those of the other daemons that are alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.others().filter(|record| record.status.is_present()))
    }

    /// Changes the status of this daemon's target and notifies peers at once.
    pub fn set_target_status(&mut self, status: TargetStatus, now: TimePoint) -> Vec<MemberEffect> {
        if self.own.target.status != status {
            self.own.target.status = status;
            self.publish_own_change(self.own.incarnation, now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Replaces the record of this daemon's target and notifies peers at once.
    pub fn set_target(&mut self, target: TargetRecord, now: TimePoint) -> Vec<MemberEffect> {
        if self.own.target != target {
            self.own.target = target;
            self.publish_own_change(self.own.incarnation, now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Leaves the mesh and notifies peers at once.
    pub fn leave(&mut self, now: TimePoint) -> Vec<MemberEffect> {
        self.own.status = MemberStatus::Left;
        self.publish_own_change(self.own.incarnation, now);
        std::mem::take(&mut self.effects)
    }

    /// Sets the configuration version that the daemon has applied, which never falls, and notifies peers at once.
    pub fn set_applied(&mut self, version: u64) -> Vec<MemberEffect> {
        self.own.applied = self.own.applied.max(version);
        let peers = self.notified_peers();
        self.notify(peers);
        std::mem::take(&mut self.effects)
    }

    /// Starts the next probe with the first tick at or after `now`.
    fn probe_at(&mut self, now: TimePoint) {
        self.next_probe_at = self.next_probe_at.min(now);
    }

    /// Performs what is due at `now`: starts a probe, repeats probes through other daemons and expires entries.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MemberEffect> {
        self.measure_fleet();
        self.check_probes(now);
        self.expire_entries(now);
        self.relays.retain(|relay| relay.deadline > now);
        if now >= self.next_probe_at {
            self.next_probe_at = now.after_ms(PROBE_INTERVAL_MS);
            self.start_probe(now);
        }
        self.tick_gossip(now);
        self.tick_relay(now);
        self.tick_confirmation(now);
        std::mem::take(&mut self.effects)
    }

    /// Handles a datagram: merges its records, corrects outdated ones at the sender and answers the probe. Datagrams
    /// under this daemon's name are ignored.
    pub fn receive(&mut self, from: SocketAddr, message: ProbeMessage, now: TimePoint) -> Vec<MemberEffect> {
        if message.from == self.own.name {
            return Vec::new();
        }
        let own = &self.own;
        let has_outdated_own = message
            .updates
            .iter()
            .any(|record| record.name == own.name && own.supersedes(record));
        let incarnation = own.incarnation;
        for record in message.updates {
            self.merge_record(record, now);
        }
        let includes_own = has_outdated_own || self.own.incarnation != incarnation;
        self.send_corrections(from, &message.from, includes_own, now);
        self.update_applied(&message.from, message.applied, from);
        match message.kind {
            ProbeKind::Ping { seq } => self.answer_ping(from, seq),
            ProbeKind::Ack { seq } => self.finish_probe(seq),
            ProbeKind::PingRequest { seq, address, .. } => self.relay_probe(from, seq, address, now),
            ProbeKind::Notice
            | ProbeKind::Quarantine(_)
            | ProbeKind::QuotaAsk { .. }
            | ProbeKind::QuotaAnswer { .. } => {}
            ProbeKind::Inquiry { seq } => self.answer_inquiry(from, seq, now),
            ProbeKind::Confirmation { seq, known } => self.finish_inquiry(from, seq, &known, now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Raises this daemon's incarnation above both `above` and its current value, and tells its record: at once to some
    /// peers and to a relay of each other data centre, and to the rest by dissemination.
    fn publish_own_change(&mut self, above: u64, now: TimePoint) {
        self.own.incarnation = self.own.incarnation.max(above) + 1;
        let own_name = Arc::clone(&self.own.name);
        self.queue_update(&own_name);
        self.queue_relayed(&own_name, now);
        let mut peers = self.notified_peers();
        for contact in self.far_contacts() {
            if !peers.contains(&contact) {
                self.send_with(contact, ProbeKind::Notice, vec![self.own.clone()]);
            }
        }
        peers.sort_unstable();
        self.notify(peers);
    }

    /// Queues a record for dissemination: with `n` other daemons, it is sent `floor(log2(n + 2)) + 2` times.
    fn queue_update(&mut self, name: &Arc<str>) {
        let members = self.entries.len() as u32 + 2;
        self.updates.insert(Arc::clone(name), members.ilog2() + 2);
    }

    /// Returns the control addresses of the peers that store the version applied by this daemon, so that a successor
    /// process gets it back.
    pub fn floor_replicas(&self) -> Vec<SocketAddr> {
        self.floor_names()
            .iter()
            .filter_map(|name| self.entries.get(*name))
            .map(|entry| entry.record.control)
            .collect()
    }

    /// Tells daemons that may know an earlier process of this name of its record: those that know of the departure of
    /// its target answer with that.
    pub fn introduce(&mut self, contacts: &[SocketAddr]) -> Vec<MemberEffect> {
        for contact in contacts {
            self.send_with(*contact, ProbeKind::Notice, vec![self.own.clone()]);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the peers that are told of a change of this daemon at once: random ones and the floor replicas.
    fn notified_peers(&mut self) -> Vec<SocketAddr> {
        let mut peers = self.direct_peers(NOTICE_FANOUT, None);
        peers.extend(self.floor_replicas());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Sends a notice with the applied version and queued records to peers.
    fn notify(&mut self, peers: Vec<SocketAddr>) {
        for address in peers {
            self.send(address, ProbeKind::Notice);
        }
    }

    /// Returns the control addresses of up to `count` random present daemons other than `except`.
    fn random_peers(&mut self, count: usize, except: Option<&str>) -> Vec<SocketAddr> {
        let present = self
            .entries
            .values()
            .filter(|entry| entry.record.status.is_present());
        let wanted = present.filter(|entry| except != Some(&*entry.record.name));
        let mut peers: Vec<SocketAddr> = wanted.map(|entry| entry.record.control).collect();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    /// Sends a datagram, with queued records to a daemon with which this one exchanges directly.
    fn send(&mut self, to: SocketAddr, kind: ProbeKind) {
        let updates = self.take_updates_for(to);
        self.send_with(to, kind, updates);
    }

    /// Returns a datagram without records.
    pub fn message(&self, kind: ProbeKind) -> ProbeMessage {
        ProbeMessage {
            from: Arc::clone(&self.own.name),
            applied: self.own.applied,
            kind,
            updates: Vec::new(),
        }
    }

    fn send_with(&mut self, to: SocketAddr, kind: ProbeKind, updates: Vec<MemberRecord>) {
        let message = ProbeMessage {
            updates,
            ..self.message(kind)
        };
        self.effects.push(MemberEffect::Send { to, message });
    }

    fn take_updates_for(&mut self, to: SocketAddr) -> Vec<MemberRecord> {
        if self.exchanges_at(to) {
            self.take_updates()
        } else {
            Vec::new()
        }
    }

    /// Returns up to [`UPDATES_PER_DATAGRAM`] queued records with the most sends left, and counts this send.
    fn take_updates(&mut self) -> Vec<MemberRecord> {
        self.updates.sort_by(|_, a, _, b| b.cmp(a));
        let names: Vec<Arc<str>> = self.updates.keys().take(UPDATES_PER_DATAGRAM).cloned().collect();
        for name in &names {
            if let Some(left) = self.updates.get_mut(name) {
                *left -= 1;
            }
        }
        self.updates.retain(|_, left| *left > 0);
        names
            .iter()
            .filter_map(|name| self.record_of(name))
            .cloned()
            .collect()
    }

    fn record_of(&self, name: &str) -> Option<&MemberRecord> {
        if *name == *self.own.name {
            return Some(&self.own);
        }
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Acknowledges a ping and includes this daemon's record, so that a prober that missed a change gets it.
    fn answer_ping(&mut self, to: SocketAddr, seq: u64) {
        let mut updates = self.take_updates_for(to);
        updates.retain(|record| record.name != self.own.name);
        updates.push(self.own.clone());
        self.send_with(to, ProbeKind::Ack { seq }, updates);
    }

    /// Corrects the sender of a datagram: if it is listed as suspect, dead or left, it is sent that record, so that it
    /// refutes; with `includes_own`, it is sent this daemon's record, of which its copy is outdated. Both are sent
    /// directly, as there may be no other daemon left to disseminate them. With an unknown sender, anti-entropy is run,
    /// but not with many at once, as after a restart of the fleet.
    fn send_corrections(&mut self, to: SocketAddr, name: &str, includes_own: bool, now: TimePoint) {
        let known = self.entries.get(name).map(|entry| &entry.record);
        // In a large fleet, a daemon that was listed as dead knows others that are too, after a cut between data centres.
        let is_stranger = known.is_none_or(|record| record.status == MemberStatus::Dead && !self.is_flat());
        if is_stranger && now >= self.next_stranger_at {
            self.next_stranger_at = now.after_ms(STRANGER_INTERVAL_MS);
            self.effects.push(MemberEffect::Sync { with: to });
        }
        let mut records: Vec<MemberRecord> = known
            .filter(|record| record.status != MemberStatus::Alive)
            .cloned()
            .into_iter()
            .collect();
        if includes_own {
            records.push(self.own.clone());
        }
        if !records.is_empty() {
            self.send_with(to, ProbeKind::Notice, records);
        }
    }
}
