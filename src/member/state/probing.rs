//! Failure detection: direct and indirect probes, suspicion, and pings on behalf of other daemons.

use {
    super::{
        DEAD_RETENTION_MS, MemberEffect, MemberEntry, MemberState, PendingProbe, RelayedProbe, SUSPICION_MS,
    },
    crate::{
        clock::TimePoint,
        member::{
            message::ProbeKind,
            record::{MemberRecord, MemberStatus},
        },
    },
    indexmap::IndexMap,
    rand::{rngs::SmallRng, seq::SliceRandom},
    std::{net::SocketAddr, sync::Arc},
};

/// Time after which a probe without an acknowledgement is repeated through other daemons, in milliseconds.
pub(super) const DIRECT_TIMEOUT_MS: u64 = 400;
/// Time after which a probe without an acknowledgement has failed, in milliseconds.
pub(super) const PROBE_TIMEOUT_MS: u64 = 1_500;
/// Number of daemons that are asked to repeat a probe.
const INDIRECT_PROBES: usize = 3;
/// Number of probes per ping of a dead daemon. These pings let the sides of a healed partition find each other again.
const DEAD_PROBE_EVERY: u64 = 4;

impl MemberState {
    /// Pings the next present daemon and, with every `DEAD_PROBE_EVERY`th probe, the next dead one.
    pub(super) fn start_probe(&mut self, now: TimePoint) {
        self.seq += 1;
        let seq = self.seq;
        self.probe_count += 1;
        if self.probe_count.is_multiple_of(DEAD_PROBE_EVERY) {
            self.probe_dead(seq);
        }
        let Some(record) = self.next_to_probe() else {
            return;
        };
        self.probes.push(PendingProbe {
            seq,
            name: Arc::clone(&record.name),
            indirect_at: now.after_ms(DIRECT_TIMEOUT_MS),
            deadline: now.after_ms(PROBE_TIMEOUT_MS),
        });
        self.send(record.control, ProbeKind::Ping { seq });
    }

    /// Returns the next present daemon of a shuffled round, so that each is probed once a round.
    fn next_to_probe(&mut self) -> Option<MemberRecord> {
        let mut probe_order = std::mem::take(&mut self.probe_order);
        let mut rng = self.rng.clone();
        let is_wanted = |record: &MemberRecord| record.status.is_present() && self.exchanges_with(record);
        let next = next_of_round(&mut probe_order, &self.entries, is_wanted, &mut rng);
        (self.probe_order, self.rng) = (probe_order, rng);
        next
    }

    /// Pings the next dead daemon of a shuffled round, so that each is tried in a bounded time.
    fn probe_dead(&mut self, seq: u64) {
        let mut probe_order = std::mem::take(&mut self.dead_probe_order);
        let mut rng = self.rng.clone();
        let is_wanted =
            |record: &MemberRecord| record.status == MemberStatus::Dead && self.exchanges_with(record);
        let next = next_of_round(&mut probe_order, &self.entries, is_wanted, &mut rng);
        (self.dead_probe_order, self.rng) = (probe_order, rng);
        if let Some(record) = next {
            self.send(record.control, ProbeKind::Ping { seq });
        }
    }

    /// Marks the daemons whose probes have failed as suspect, and asks others to ping those whose acknowledgement is
    /// overdue.
    pub(super) fn check_probes(&mut self, now: TimePoint) {
        let (failed, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| probe.deadline <= now);
        self.probes = waiting;
        for probe in failed {
            self.mark_suspect(&probe.name, now);
        }
        let due: Vec<(u64, Arc<str>)> = self
            .probes
            .iter_mut()
            .filter(|probe| probe.indirect_at <= now)
            .map(|probe| {
                probe.indirect_at = TimePoint::FAR_FUTURE;
                (probe.seq, Arc::clone(&probe.name))
            })
            .collect();
        for (seq, name) in due {
            let Some((address, is_direct)) = self
                .record_of(&name)
                .map(|record| (record.control, self.exchanges_with(record)))
            else {
                continue;
            };
            let helpers = if is_direct {
                self.direct_peers(INDIRECT_PROBES, Some(&name))
            } else {
                self.random_peers(INDIRECT_PROBES, Some(&name))
            };
            for peer in helpers {
                let target = Arc::clone(&name);
                self.send(peer, ProbeKind::PingRequest { seq, target, address });
            }
        }
    }

    /// Marks an alive daemon as suspect and notifies it.
    fn mark_suspect(&mut self, name: &Arc<str>, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.record.status != MemberStatus::Alive {
            return;
        }
        entry.record.status = MemberStatus::Suspect;
        entry.expires_at = now.after_ms(SUSPICION_MS);
        self.effects.push(MemberEffect::Changed {
            record: entry.record.clone(),
        });
        let (address, record) = (entry.record.control, entry.record.clone());
        self.queue_update(name);
        self.queue_relayed(name, now);
        // The suspect is notified at once, so that a slow but running daemon can refute.
        self.send_with(address, ProbeKind::Notice, vec![record]);
    }

    /// Marks suspects as dead when their time to refute is over, and removes dead and left daemons after
    /// [`DEAD_RETENTION_MS`].
    pub(super) fn expire_entries(&mut self, now: TimePoint) {
        let mut died = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| entry.expires_at <= now) {
            if entry.record.status == MemberStatus::Suspect {
                entry.record.status = MemberStatus::Dead;
                entry.expires_at = now.after_ms(DEAD_RETENTION_MS);
                died.push(entry.record.clone());
            }
        }
        for record in died {
            self.queue_update(&record.name);
            self.queue_relayed(&record.name, now);
            self.effects.push(MemberEffect::Changed { record });
        }
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    /// Pings `address` on behalf of `origin`, to which the acknowledgement is forwarded under `origin_seq`.
    pub(super) fn relay_probe(
        &mut self,
        origin: SocketAddr,
        origin_seq: u64,
        address: SocketAddr,
        now: TimePoint,
    ) {
        self.seq += 1;
        let seq = self.seq;
        self.relays.push(RelayedProbe {
            seq,
            origin,
            origin_seq,
            deadline: now.after_ms(PROBE_TIMEOUT_MS),
        });
        self.send(address, ProbeKind::Ping { seq });
    }

    /// Handles an acknowledgement: forwards it if the probe was relayed, else ends the pending probe.
    pub(super) fn finish_probe(&mut self, seq: u64) {
        if let Some(at) = self.relays.iter().position(|relay| relay.seq == seq) {
            let relay = self.relays.swap_remove(at);
            self.send(
                relay.origin,
                ProbeKind::Ack {
                    seq: relay.origin_seq,
                },
            );
            return;
        }
        if let Some(at) = self.probes.iter().position(|probe| probe.seq == seq) {
            self.probes.swap_remove(at);
        }
    }
}

/// Returns the next daemon of a shuffled round whose status is wanted, and starts a new round when one is over.
fn next_of_round(
    probe_order: &mut Vec<Arc<str>>,
    entries: &IndexMap<Arc<str>, MemberEntry>,
    is_wanted: impl Fn(&MemberRecord) -> bool,
    rng: &mut SmallRng,
) -> Option<MemberRecord> {
    let wanted = |name: &Arc<str>| entries.get(name).filter(|entry| is_wanted(&entry.record));
    for _ in 0..2 {
        while let Some(name) = probe_order.pop() {
            if let Some(entry) = wanted(&name) {
                return Some(entry.record.clone());
            }
        }
        *probe_order = entries
            .keys()
            .filter(|name| wanted(name).is_some())
            .cloned()
            .collect();
        probe_order.shuffle(rng);
    }
    None
}
