//! The pure state of the membership protocol.

mod absorbing;
mod probing;
mod syncing;

use {
    super::{
        message::{ProbeKind, ProbeMessage},
        rank::best_ranked,
        record::{MemberRecord, MemberStatus, TargetRecord, TargetStatus},
    },
    crate::clock::TimePoint,
    indexmap::IndexMap,
    rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{net::SocketAddr, sync::Arc},
};

/// Time between two probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time that a suspect has to refute, in milliseconds.
pub const SUSPICION_MS: u64 = 5_000;
/// Daemons that are told at once of a change.
const NOTICE_FANOUT: usize = 4;
/// Daemons that keep note of the version applied by another one.
const FLOOR_KEEPERS: usize = 3;
/// Records in one datagram; keeps it below a usual path MTU.
const UPDATES_PER_DATAGRAM: usize = 5;
/// Time that the record of a dead daemon is kept, in milliseconds.
const DEAD_RETENTION_MS: u64 = 2 * 3_600_000;
/// Most records that are kept, so that garbage can't fill the memory.
const MAX_RECORDS: usize = 20_000;

/// What the daemon has to do.
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
        /// The record as it is now.
        record: MemberRecord,
    },
    /// Run anti-entropy with a peer that this daemon did not know.
    Sync {
        /// The peer's control address.
        with: SocketAddr,
    },
    /// A peer has a newer configuration.
    Newer {
        /// The peer's control address.
        from: SocketAddr,
        /// Version that it has applied.
        version: u64,
    },
    /// Peers know that an earlier process of this name had applied a version.
    Floor {
        /// The version below which this daemon must not serve.
        version: u64,
    },
    /// Peers know that a target beside an earlier process of this name has departed.
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

/// One known daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberEntry {
    /// Its record.
    pub record: MemberRecord,
    /// When its present status ends by itself: a suspicion turns into death, a dead record is dropped.
    pub until: TimePoint,
}

#[derive(Debug, Clone)]
struct PendingProbe {
    seq: u64,
    name: Arc<str>,
    indirect_at: TimePoint,
    deadline: TimePoint,
}

#[derive(Debug, Clone)]
struct RelayedProbe {
    seq: u64,
    origin: SocketAddr,
    origin_seq: u64,
    deadline: TimePoint,
}

/// The members that a daemon knows.
#[derive(Debug)]
pub struct MemberState {
    own: MemberRecord,
    entries: IndexMap<Arc<str>, MemberEntry>,
    /// Records still to be passed on, with the number of times left.
    updates: IndexMap<Arc<str>, u32>,
    probes: Vec<PendingProbe>,
    relays: Vec<RelayedProbe>,
    order: Vec<Arc<str>>,
    dead_order: Vec<Arc<str>>,
    probe_at: TimePoint,
    rounds: u64,
    seq: u64,
    rng: SmallRng,
    effects: Vec<MemberEffect>,
}

impl MemberState {
    /// Starts with the daemon's own record only.
    pub fn new(own: MemberRecord, seed: u64, now: TimePoint) -> Self {
        Self {
            own,
            entries: IndexMap::new(),
            updates: IndexMap::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            order: Vec::new(),
            dead_order: Vec::new(),
            probe_at: now,
            rounds: 0,
            seq: 0,
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// Returns the daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the other daemons, the dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the daemons that are present, the own one first.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.others().filter(|record| record.status.is_present()))
    }

    /// Changes the status of the own target and tells others at once.
    pub fn set_target_status(&mut self, status: TargetStatus) -> Vec<MemberEffect> {
        if self.own.target.status != status {
            self.own.target.status = status;
            self.renew_own(self.own.incarnation);
            self.notify_peers();
        }
        std::mem::take(&mut self.effects)
    }

    /// Replaces what is known of the own target and tells others at once.
    pub fn set_target(&mut self, target: TargetRecord) -> Vec<MemberEffect> {
        if self.own.target != target {
            self.own.target = target;
            self.renew_own(self.own.incarnation);
            self.notify_peers();
        }
        std::mem::take(&mut self.effects)
    }

    /// Leaves the mesh and tells others at once.
    pub fn leave(&mut self) -> Vec<MemberEffect> {
        self.own.status = MemberStatus::Left;
        self.renew_own(self.own.incarnation);
        self.notify_peers();
        std::mem::take(&mut self.effects)
    }

    /// Takes note of the configuration version that the daemon has applied and tells others at once.
    pub fn set_applied(&mut self, version: u64) -> Vec<MemberEffect> {
        self.own.applied = self.own.applied.max(version);
        self.notify_peers();
        std::mem::take(&mut self.effects)
    }

    /// Does what is due at `now`: probes, repeats, suspicions and deaths.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MemberEffect> {
        self.repeat_probes(now);
        self.expire_entries(now);
        self.relays.retain(|relay| relay.deadline > now);
        if now >= self.probe_at {
            self.probe_at = now.after_ms(PROBE_INTERVAL_MS);
            self.start_probe(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles a datagram.
    pub fn receive(&mut self, from: SocketAddr, message: ProbeMessage, now: TimePoint) -> Vec<MemberEffect> {
        if message.from == self.own.name {
            return Vec::new();
        }
        let own = &self.own;
        let misjudges_own = message
            .updates
            .iter()
            .any(|record| record.name == own.name && own.supersedes(record));
        let incarnation = own.incarnation;
        for record in message.updates {
            self.absorb(record, now);
        }
        let is_corrected = misjudges_own || self.own.incarnation != incarnation;
        self.correct_views(from, &message.from, is_corrected);
        self.note_applied(&message.from, message.applied, from);
        match message.kind {
            ProbeKind::Ping { seq } => self.answer_ping(from, seq),
            ProbeKind::Ack { seq } => self.finish_probe(seq),
            ProbeKind::PingRequest { seq, address, .. } => self.relay_probe(from, seq, address, now),
            ProbeKind::Notice => {}
        }
        std::mem::take(&mut self.effects)
    }

    fn renew_own(&mut self, above: u64) {
        self.own.incarnation = self.own.incarnation.max(above) + 1;
        self.spread(&Arc::clone(&self.own.name));
    }

    fn spread(&mut self, name: &Arc<str>) {
        let members = self.entries.len() as u32 + 2;
        self.updates.insert(Arc::clone(name), members.ilog2() + 2);
    }

    /// Returns the control addresses of the daemons that keep note of the version applied by this one, so that
    /// a process that takes its place learns it.
    pub fn floor_keepers(&self) -> Vec<SocketAddr> {
        let present = self.others().filter(|record| record.status.is_present());
        let keepers = best_ranked(&self.own.name, present.map(|record| &*record.name), FLOOR_KEEPERS);
        keepers
            .iter()
            .filter_map(|name| self.entries.get(*name))
            .map(|entry| entry.record.control)
            .collect()
    }

    fn notify_peers(&mut self) {
        let mut peers = self.random_peers(NOTICE_FANOUT, None);
        peers.extend(self.floor_keepers());
        peers.sort_unstable();
        peers.dedup();
        for address in peers {
            self.send(address, ProbeKind::Notice);
        }
    }

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

    fn send(&mut self, to: SocketAddr, kind: ProbeKind) {
        let updates = self.take_updates();
        self.send_with(to, kind, updates);
    }

    fn send_with(&mut self, to: SocketAddr, kind: ProbeKind, updates: Vec<MemberRecord>) {
        let message = ProbeMessage {
            from: Arc::clone(&self.own.name),
            applied: self.own.applied,
            kind,
            updates,
        };
        self.effects.push(MemberEffect::Send { to, message });
    }

    /// Takes the records that have been passed on least often.
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

    /// Acknowledges a ping with the own record, so that a prober that missed a change learns it.
    fn answer_ping(&mut self, to: SocketAddr, seq: u64) {
        let mut updates = self.take_updates();
        updates.retain(|record| record.name != self.own.name);
        updates.push(self.own.clone());
        self.send_with(to, ProbeKind::Ack { seq }, updates);
    }

    /// Tells a sender that is held for suspect or dead, so that it refutes, and answers one that has an outdated
    /// record of this daemon with the present one. Either may have nobody else left to tell.
    fn correct_views(&mut self, to: SocketAddr, name: &str, tells_own: bool) {
        let held = self.entries.get(name).map(|entry| &entry.record);
        if held.is_none() {
            self.effects.push(MemberEffect::Sync { with: to });
        }
        let mut records: Vec<MemberRecord> = held
            .filter(|record| record.status != MemberStatus::Alive)
            .cloned()
            .into_iter()
            .collect();
        if tells_own {
            records.push(self.own.clone());
        }
        if !records.is_empty() {
            self.send_with(to, ProbeKind::Notice, records);
        }
    }
}
