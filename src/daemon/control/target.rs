//! Readiness of the target beside this daemon, from connection probes or from the target's announcements.

use {
    super::{AnnouncedTarget, ControlState, DrainPhase},
    crate::{
        clock::TimePoint,
        daemon::{
            edges::{TargetAnnouncement, TargetMessage},
            shared::TargetIdentity,
            tasks::ControlEvent,
        },
        member::{TargetDeparture, TargetRecord, TargetStatus},
        timeline::EventKind,
    },
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time between two connections that probe the readiness of the target, in milliseconds.
const TARGET_PROBE_MS: u64 = 250;
/// Time limit of such a connection.
const TARGET_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of failed probes in a row after which a target is no longer ready.
const TARGET_FAILURE_THRESHOLD: u32 = 3;

/// What a departure changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DepartureEffect {
    /// Nothing: it was known.
    Known,
    /// The current target has departed, which this daemon's record tells its peers.
    OfCurrent,
    /// A start has departed that is not the current target, as it has not been heard of or was replaced.
    OfOther,
}

impl ControlState {
    /// Starts a readiness probe when it is due, unless the target announces itself.
    pub(super) fn tick_target(&mut self, now: TimePoint) {
        if self.shared.settings.announcements.is_some()
            || now < self.next_target_probe_at
            || self.drain != DrainPhase::Serving
        {
            return;
        }
        self.next_target_probe_at = now.after_ms(TARGET_PROBE_MS);
        let (events, address) = (self.events.clone(), self.shared.settings.target.address);
        tokio::spawn(async move {
            let connected = timeout(TARGET_PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let is_ready = matches!(connected, Ok(Ok(_)));
            let _ = events.send(ControlEvent::TargetProbed(is_ready)).await;
        });
    }

    /// Handles the result of a readiness probe: a success opens the gate, [`TARGET_FAILURE_THRESHOLD`] failures in a
    /// row close it. Has no effect during a shutdown or if the target announces itself.
    pub(super) fn finish_target_probe(&mut self, is_ready: bool, now: TimePoint) {
        if self.drain != DrainPhase::Serving || self.shared.settings.announcements.is_some() {
            return;
        }
        let status = self.members.own().target.status;
        self.target_failures = if is_ready { 0 } else { self.target_failures + 1 };
        if is_ready && status == TargetStatus::Starting {
            self.shared.gate.lock().state.open(now);
            self.set_target_status(TargetStatus::Serving, now);
            self.ring
                .record(EventKind::TargetReady, "the target accepts connections", now);
        } else if self.target_failures >= TARGET_FAILURE_THRESHOLD && status == TargetStatus::Serving {
            self.shared.gate.lock().state.close();
            self.set_target_status(TargetStatus::Starting, now);
            self.ring.record(
                EventKind::TargetLost,
                "the target accepts no connections; check its log",
                now,
            );
        }
    }

    /// Handles a message of the target. Returns false if it comes from an earlier start than the current one.
    pub(super) fn handle_target_message(&mut self, message: TargetMessage, now: TimePoint) -> bool {
        match message {
            TargetMessage::Announce(announcement) => self.handle_announcement(announcement, now),
            TargetMessage::Leave { id, born } => {
                let born = born.unwrap_or_else(|| self.latest_start_of(&id, now));
                let departure = TargetDeparture { id, born };
                self.record_departed(&departure, "the target announced that it stops", now);
                true
            }
        }
    }

    /// Returns the start that a message without a start time is about, which ends every start up to now.
    fn latest_start_of(&self, id: &str, now: TimePoint) -> u64 {
        let current = self.announced.as_ref().filter(|current| *current.id == *id);
        current.map_or(now.0, |current| current.born)
    }

    /// Marks a target as departed, as a peer's record shows that it departed beside an earlier process of this name.
    pub(super) fn restore_departed_target(&mut self, target: &TargetRecord, now: TimePoint) {
        let departure = TargetDeparture {
            id: Arc::clone(&target.id),
            born: target.born,
        };
        self.record_departed(&departure, "a peer reports that the target departed", now);
    }

    /// Marks a start of a target as departed, and records that in the store if it was not known. What is accepted from a
    /// target that leaves must bind, whether it has been heard of or not: its heartbeats may arrive later.
    fn record_departed(&mut self, departure: &TargetDeparture, reason: &str, now: TimePoint) {
        match self.mark_departed(departure, reason, now) {
            DepartureEffect::Known => {}
            DepartureEffect::OfCurrent => self.departures.add(departure.clone(), now),
            DepartureEffect::OfOther => self.departures.add_unshared(departure.clone(), now),
        }
    }

    /// Marks the starts of a target up to the one of a departure as departed, so that late announcements of them are
    /// ignored. Closes the gate if that ends the current target.
    pub(super) fn mark_departed(
        &mut self,
        departure: &TargetDeparture,
        reason: &str,
        now: TimePoint,
    ) -> DepartureEffect {
        let is_new = self.departed.add(departure, now);
        let current = self.announced.as_ref();
        let ends_current = current.is_none_or(|current| current.is_ended_by(departure));
        let TargetDeparture { id, born } = departure;
        if !is_new && !ends_current {
            return DepartureEffect::Known;
        }
        log::info!(
            "event=target-departed target={id} born={born} current={} current_born={} ends_current={ends_current}",
            current.map_or("", |current| &current.id),
            current.map_or(0, |current| current.born),
        );
        if !ends_current {
            return DepartureEffect::OfOther;
        }
        self.announced = Some(AnnouncedTarget {
            id: Arc::clone(id),
            born: *born,
            seq: current.map_or(0, |current| current.seq),
            was_heard: current.is_some_and(|current| current.was_heard),
            has_departed: true,
        });
        let mut record = self.members.own().target.clone();
        (record.id, record.born, record.status) = (Arc::clone(id), *born, TargetStatus::Departed);
        self.shared.gate.lock().drain(now);
        self.set_target(record, now);
        self.ring.record(EventKind::TargetLost, reason, now);
        DepartureEffect::OfCurrent
    }

    /// Updates the target from its announcement. Returns false if it comes from an earlier start than the current one.
    fn handle_announcement(&mut self, announcement: TargetAnnouncement, now: TimePoint) -> bool {
        let TargetAnnouncement {
            id,
            born,
            seq,
            version,
            address,
            slots,
            is_leaving,
            cold_until,
        } = announcement;
        let mut was_heard = false;
        let has_departed = self.departed.has_departed(&id, born);
        if let Some(current) = &mut self.announced {
            let is_same = current.id == id && current.born == born;
            let is_repeated = is_same && seq <= current.seq;
            // A target that leaves doesn't come back, whatever its other announcements say and when they come.
            if is_leaving {
                let departure = TargetDeparture { id, born };
                // The gate stays open for a later start of the same target.
                let is_superseded = current.id == departure.id && born < current.born;
                self.record_departed(&departure, "the target drains", now);
                return !is_superseded;
            }
            if has_departed || current.has_replaced(born) || is_repeated {
                log::info!("event=announcement-late target={id} born={born} seq={seq}");
                // A repeated announcement of the current start is acknowledged again, also after its departure.
                return is_same;
            }
            if is_same {
                current.seq = seq;
                was_heard = true;
                self.record_cold(cold_until, now);
                if self.members.own().target.status == TargetStatus::Serving {
                    return true;
                }
            }
        }
        if !was_heard {
            self.record_cold(cold_until, now);
        }
        self.announced = Some(AnnouncedTarget {
            id: Arc::clone(&id),
            born,
            seq,
            was_heard: true,
            has_departed: false,
        });
        let identity = TargetIdentity {
            id: Arc::clone(&id),
            version: Arc::clone(&version),
            address,
            slots,
        };
        self.shared.target.store(Arc::new(identity));
        let mut record = self.members.own().target.clone();
        record.id = Arc::clone(&id);
        record.born = born;
        record.version = version;
        record.slots = slots;
        // One announcement may be a late one of a target whose departure only the store has. A later one shows that the
        // target goes on.
        let may_have_departed = !self.departures.is_restored() && !was_heard;
        if !is_leaving && !may_have_departed {
            self.open_target(record, now);
            return true;
        }
        record.status = TargetStatus::Starting;
        self.set_target(record, now);
        if is_leaving {
            self.record_departed(&TargetDeparture { id, born }, "the target drains", now);
        } else {
            self.shared.gate.lock().state.close();
            log::info!("event=target-held target={id} born={born} reason=departures-not-read");
        }
        true
    }

    /// Records until when the target is cold, as it states itself.
    fn record_cold(&mut self, cold_until: TimePoint, now: TimePoint) {
        let mut gate = self.shared.gate.lock();
        let was_pacing = gate.state.cold().is_pacing(now);
        gate.state.cold().record_announced(cold_until);
        let is_pacing = gate.state.cold().is_pacing(now);
        drop(gate);
        if is_pacing && !was_pacing {
            let cold_ms = cold_until.ms_since(now);
            log::info!("event=target-cold cold_ms={cold_ms}");
            self.shared.metrics.cold_spells.inc();
        }
    }

    /// Opens the gate of a target that was held back until the departures were read.
    pub(super) fn open_held_target(&mut self, now: TimePoint) {
        let is_present = self
            .announced
            .as_ref()
            .is_some_and(|current| !current.has_departed);
        let record = self.members.own().target.clone();
        if is_present && record.status == TargetStatus::Starting {
            self.open_target(record, now);
        }
    }

    /// Opens the gate of the announced target, unless this daemon is leaving and has closed it.
    fn open_target(&mut self, mut record: TargetRecord, now: TimePoint) {
        record.status = match self.drain {
            DrainPhase::Serving | DrainPhase::Announced { .. } => TargetStatus::Serving,
            DrainPhase::Finishing { .. } | DrainPhase::Quiet { .. } => TargetStatus::Leaving,
        };
        if record.status == TargetStatus::Serving {
            self.shared.gate.lock().state.reopen(record.slots, now);
        }
        let detail = format!(
            "target={} version={} {}",
            record.id, record.version, record.status
        );
        self.set_target(record, now);
        self.ring.record(EventKind::TargetReady, detail, now);
    }

    /// Replaces the record of this daemon's target and notifies peers.
    fn set_target(&mut self, target: TargetRecord, now: TimePoint) {
        let effects = self.members.set_target(target, now);
        self.is_snapshot_stale = true;
        self.apply_effects(effects, now);
    }

    /// Changes the status of this daemon's target and notifies peers.
    pub(super) fn set_target_status(&mut self, status: TargetStatus, now: TimePoint) {
        let effects = self.members.set_target_status(status, now);
        self.is_snapshot_stale = true;
        self.apply_effects(effects, now);
    }
}
