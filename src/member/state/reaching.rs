//! Who exchanges with whom. In a large fleet most messages stay in the data centre, and a few relays of each data centre
//! carry its changes to the others, so that a change crosses to another data centre as often as there are relays,
//! whatever the size of the fleet.

use {
    super::{
        FLOOR_REPLICAS, MemberEffect, MemberState, PendingProbe, SUSPICION_MS,
        probing::{DIRECT_TIMEOUT_MS, PROBE_TIMEOUT_MS},
    },
    crate::{
        clock::TimePoint,
        member::{
            message::ProbeKind,
            rank::best_ranked,
            record::{MemberRecord, MemberStatus},
        },
    },
    indexmap::{IndexMap, IndexSet},
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc},
};

/// Number of other daemons up to which a fleet has no relays: each daemon exchanges with any other.
const MAX_FLAT_OTHERS: usize = 40;
/// Number of daemons of a data centre that carry its changes to the others. The loss of two of them delays nothing.
const RELAYS: usize = 3;
/// Number of daemons of another data centre that are told directly of what concerns the whole fleet.
const BROADCAST_RELAYS: usize = 2;
/// Time between two rounds of a relay, in milliseconds.
const RELAY_INTERVAL_MS: u64 = 500;
/// Number of rounds of a relay between two pings of daemons in other data centres.
const ROUNDS_PER_PING: u64 = 2;
/// Number of rounds of a relay between two exchanges of digests with another data centre.
const ROUNDS_PER_SYNC: u64 = 4;
/// Number of records in one datagram to another data centre; a larger batch takes several.
const RECORDS_PER_BATCH: usize = 6;
/// Time between two rounds of gossip, in milliseconds: a change reaches a data centre of hundreds in about a second.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// Number of daemons of the data centre that get the queued changes in a round of gossip.
const GOSSIP_FANOUT: usize = 2;
/// Mean time between two rounds of anti-entropy, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 10_000;
/// The same within a data centre of a large fleet: a change that gossip has not brought to a daemon comes in time for a target
/// that leaves.
const NEAR_SYNC_INTERVAL_MS: u64 = 2_000;
/// The same while the daemon settles.
const SETTLING_SYNC_INTERVAL_MS: u64 = 1_000;
/// Time after its start for which a daemon settles, in milliseconds.
pub(super) const SETTLING_MS: u64 = 10_000;
/// Time for which a daemon that is no relay remembers changes, in milliseconds. It is longer than a relay's failure
/// takes to be noticed, so that its successor sends what it did not.
const MEMORY_MS: u64 = SUSPICION_MS + 3_000;
/// Number of floor replicas outside the data centre, which outlive its loss.
const FAR_FLOOR_REPLICAS: usize = 1;

/// Changes of the own data centre that are to be sent to the others.
#[derive(Debug)]
pub(super) struct RelayQueue {
    /// Whether the fleet had at most [`MAX_FLAT_OTHERS`] other daemons at the last tick.
    is_flat: bool,
    /// Names of changed records, and since when.
    changes: IndexMap<Arc<str>, TimePoint>,
    next_round_at: TimePoint,
    rounds: u64,
    next_gossip_at: TimePoint,
}

impl RelayQueue {
    /// Creates an empty queue; the first round is due at `now`.
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            is_flat: true,
            changes: IndexMap::new(),
            next_round_at: now,
            rounds: 0,
            next_gossip_at: now,
        }
    }
}

impl MemberState {
    /// Returns whether the fleet is small enough for every daemon to exchange with any other.
    pub(super) fn is_flat(&self) -> bool {
        self.relay.is_flat
    }

    /// Counts the other daemons. Records of those that have gone, which are kept for long, don't make a fleet large.
    pub(super) fn measure_fleet(&mut self) {
        let others = self.others().filter(|record| record.status.is_present());
        self.relay.is_flat = others.count() <= MAX_FLAT_OTHERS;
    }

    /// Returns whether this daemon exchanges with another one directly: they are in one data centre, or the fleet is
    /// small.
    pub fn exchanges_with(&self, other: &MemberRecord) -> bool {
        self.is_flat() || other.data_centre == self.own.data_centre
    }

    /// Returns whether this daemon exchanges directly with the one at an address. An unknown one counts as far if the
    /// fleet is large.
    pub(super) fn exchanges_at(&self, control: SocketAddr) -> bool {
        self.is_flat()
            || self
                .others()
                .any(|record| record.control == control && record.data_centre == self.own.data_centre)
    }

    /// Returns where a daemon is, as a word for the metrics: `near` in the own data centre, otherwise `far`.
    pub fn reach_of(&self, record: &MemberRecord) -> &'static str {
        if record.data_centre == self.own.data_centre {
            "near"
        } else {
            "far"
        }
    }

    /// Returns the same for a control address; `any` if its daemon is not listed.
    pub fn reach(&self, control: SocketAddr) -> &'static str {
        let record = self.others().find(|record| record.control == control);
        record.map_or("any", |record| self.reach_of(record))
    }

    /// Queues a changed record of the own data centre for the others.
    pub(super) fn queue_relayed(&mut self, name: &Arc<str>, now: TimePoint) {
        let is_own_centre = self
            .record_of(name)
            .is_some_and(|record| record.data_centre == self.own.data_centre);
        if is_own_centre {
            self.relay.changes.insert(Arc::clone(name), now);
        }
    }

    /// Sends queued changes to daemons of the own data centre if that is due. In a small fleet, probes and notices carry
    /// them soon enough.
    pub(super) fn tick_gossip(&mut self, now: TimePoint) {
        if now < self.relay.next_gossip_at || self.updates.is_empty() || self.is_flat() {
            return;
        }
        self.relay.next_gossip_at = now.after_ms(GOSSIP_INTERVAL_MS);
        let peers = self.direct_peers(GOSSIP_FANOUT, None);
        self.notify(peers);
    }

    /// Performs a round if it is due: a relay sends the changes of its data centre to a relay of each other one, and
    /// from time to time pings a daemon there and compares digests.
    pub(super) fn tick_relay(&mut self, now: TimePoint) {
        if now < self.relay.next_round_at {
            return;
        }
        self.relay.next_round_at = now.after_ms(RELAY_INTERVAL_MS);
        if self.is_flat() || !self.is_relay() {
            self.relay
                .changes
                .retain(|_, changed_at| changed_at.after_ms(MEMORY_MS) > now);
            return;
        }
        self.relay.rounds += 1;
        let changes: Vec<MemberRecord> = std::mem::take(&mut self.relay.changes)
            .keys()
            .filter_map(|name| self.record_of(name))
            .cloned()
            .collect();
        let centres = self.other_centres();
        for centre in &centres {
            let relays = self.relays_of(centre);
            // The relays of a data centre take their turn, so that a stopped one costs a part of the rounds only.
            let Some(receiver) = relays.choose(&mut self.rng).copied() else {
                continue;
            };
            for batch in changes.chunks(RECORDS_PER_BATCH) {
                self.send_with(receiver, ProbeKind::Notice, batch.to_vec());
            }
        }
        if self.relay.rounds.is_multiple_of(ROUNDS_PER_PING) {
            for centre in &centres {
                self.ping_far(centre, now);
            }
        }
        if self.relay.rounds.is_multiple_of(ROUNDS_PER_SYNC) && !centres.is_empty() {
            let turn = (self.relay.rounds / ROUNDS_PER_SYNC) as usize % centres.len();
            let peer = self.relays_of(&centres[turn]).choose(&mut self.rng).copied();
            self.effects.extend(peer.map(|with| MemberEffect::Sync { with }));
        }
    }

    /// Pings a random daemon of another data centre, and a dead one, by which the sides of a healed partition find each
    /// other again.
    fn ping_far(&mut self, centre: &Arc<str>, now: TimePoint) {
        let is_there = |record: &&MemberRecord| record.data_centre == *centre;
        let (mut present, mut dead) = (Vec::new(), Vec::new());
        for record in self.others().filter(is_there) {
            match record.status {
                MemberStatus::Alive | MemberStatus::Suspect => present.push(record),
                MemberStatus::Dead => dead.push(record),
                MemberStatus::Left => {}
            }
        }
        let mut rng = self.rng.clone();
        let mut pick = |records: &[&MemberRecord]| {
            let record = records.choose(&mut rng)?;
            Some((Arc::clone(&record.name), record.control))
        };
        let (present, dead) = (pick(&present), pick(&dead));
        self.rng = rng;
        if let Some((name, control)) = present {
            self.seq += 1;
            let seq = self.seq;
            self.probes.push(PendingProbe {
                seq,
                name,
                indirect_at: now.after_ms(DIRECT_TIMEOUT_MS),
                deadline: now.after_ms(PROBE_TIMEOUT_MS),
            });
            self.send(control, ProbeKind::Ping { seq });
        }
        if let Some((_, control)) = dead {
            self.seq += 1;
            let seq = self.seq;
            self.send(control, ProbeKind::Ping { seq });
        }
    }

    /// Returns the mean time between two rounds of anti-entropy at `now`, in milliseconds. Daemons that
    /// start together have partial lists, which they complete from one another.
    pub fn sync_interval_ms(&self, now: TimePoint) -> u64 {
        if now < self.settling_until {
            SETTLING_SYNC_INTERVAL_MS
        } else if self.is_flat() {
            SYNC_INTERVAL_MS
        } else {
            NEAR_SYNC_INTERVAL_MS
        }
    }

    /// Compares digests more often from now on, in a large fleet.
    pub(super) fn settle(&mut self, now: TimePoint) {
        if !self.is_flat() {
            self.settling_until = now.after_ms(SETTLING_MS);
        }
    }

    /// Returns a peer for anti-entropy: a random present daemon with which this one exchanges directly.
    pub fn sync_peer(&mut self) -> Option<SocketAddr> {
        self.direct_peers(1, None).pop()
    }

    /// Returns up to `count` random present daemons with which this one exchanges directly, without `except`; any others
    /// if there are none.
    pub(super) fn direct_peers(&mut self, count: usize, except: Option<&str>) -> Vec<SocketAddr> {
        let wanted = self
            .others()
            .filter(|record| record.status.is_present() && except != Some(&*record.name));
        let near = wanted.filter(|record| record.data_centre == self.own.data_centre);
        let near: Vec<SocketAddr> = near.map(|record| record.control).collect();
        if self.is_flat() || near.is_empty() {
            return self.random_peers(count, except);
        }
        near.sample(&mut self.rng, count).copied().collect()
    }

    /// Returns the daemons that are told of what concerns the whole fleet at once: all of a small fleet, otherwise those of
    /// the own data centre and two relays of each other one, which tell the rest.
    pub fn broadcast_peers(&mut self) -> Vec<SocketAddr> {
        let mut peers = self.near_peers();
        for centre in self.far_centres() {
            let relays = self.relays_of(&centre);
            peers.extend(relays.sample(&mut self.rng, BROADCAST_RELAYS).copied());
        }
        peers
    }

    /// Returns all present daemons with which this one exchanges directly.
    pub fn near_peers(&self) -> Vec<SocketAddr> {
        let present = self.others().filter(|record| record.status.is_present());
        let near = present.filter(|record| self.exchanges_with(record));
        near.map(|record| record.control).collect()
    }

    /// Returns whether this daemon exchanges directly with the one at a control address.
    pub fn is_near(&self, control: SocketAddr) -> bool {
        self.exchanges_at(control)
    }

    fn far_centres(&self) -> Vec<Arc<str>> {
        if self.is_flat() {
            return Vec::new();
        }
        self.other_centres()
    }

    /// Returns one relay of each other data centre, which is told of a change of this daemon at once.
    pub(super) fn far_contacts(&mut self) -> Vec<SocketAddr> {
        if self.is_flat() {
            return Vec::new();
        }
        let centres = self.other_centres();
        let relays: Vec<Vec<SocketAddr>> = centres.iter().map(|centre| self.relays_of(centre)).collect();
        relays
            .iter()
            .filter_map(|relays| relays.choose(&mut self.rng).copied())
            .collect()
    }

    /// Returns the names of the peers that store the version applied by this daemon: all of them near but
    /// [`FAR_FLOOR_REPLICAS`] if the fleet has relays. Rendezvous hashing of the daemon's name selects them.
    pub(super) fn floor_names(&self) -> Vec<&str> {
        let present = |is_direct: bool| {
            let others = self.others().filter(|record| record.status.is_present());
            let wanted = others.filter(move |record| self.exchanges_with(record) == is_direct);
            wanted.map(|record| &*record.name)
        };
        let far = best_ranked(&self.own.name, present(false), FAR_FLOOR_REPLICAS);
        let mut names = best_ranked(&self.own.name, present(true), FLOOR_REPLICAS - far.len());
        names.extend(far);
        names
    }

    fn other_centres(&self) -> Vec<Arc<str>> {
        // Those without a running daemon count as well, as they may have been cut off.
        let centres: IndexSet<&Arc<str>> = self.others().map(|record| &record.data_centre).collect();
        let others = centres
            .into_iter()
            .filter(|centre| **centre != self.own.data_centre);
        others.cloned().collect()
    }

    fn is_relay(&self) -> bool {
        self.relay_names(&self.own.data_centre).contains(&&*self.own.name)
    }

    fn relays_of(&self, centre: &str) -> Vec<SocketAddr> {
        let names = self.relay_names(centre);
        let records = names.iter().filter_map(|name| self.entries.get(*name));
        records.map(|entry| entry.record.control).collect()
    }

    fn relay_names(&self, centre: &str) -> Vec<&str> {
        let present = self
            .present()
            .filter(|record| *record.data_centre == *centre && record.status == MemberStatus::Alive);
        best_ranked(
            &format!("relay/{centre}"),
            present.map(|record| &*record.name),
            RELAYS,
        )
    }
}
