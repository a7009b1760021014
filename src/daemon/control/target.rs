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
                // A message without a start time ends every start up to now.
                let born = born.unwrap_or(now.0);
                self.record_target_departed(&id, born, "the target announced that it stops", now);
                true
            }
        }
    }

    /// Marks a target as departed, as a peer's record shows that it departed beside an earlier process of this name.
    pub(super) fn restore_departed_target(&mut self, target: &TargetRecord, now: TimePoint) {
        self.record_target_departed(
            &target.id,
            target.born,
            "a peer reports that the target departed",
            now,
        );
    }

    /// Marks a target as departed, and records it in the store.
    fn record_target_departed(&mut self, id: &Arc<str>, born: u64, reason: &str, now: TimePoint) {
        let departure = self.mark_target_departed(Arc::clone(id), born, reason, now);
        let current = self.announced.as_ref();
        log::info!(
            "event=target-departed target={id} born={born} current={} current_born={} is_kept={}",
            current.map_or("", |current| &current.id),
            current.map_or(0, |current| current.born),
            departure.is_some()
        );
        if let Some(departure) = departure {
            self.departures.add(departure, now);
        }
    }

    /// Marks the starts of a target up to `born` as departed, so that late announcements of them are ignored. Returns the
    /// departure, or `None` if the current target is another one, a later start or departed already.
    pub(super) fn mark_target_departed(
        &mut self,
        id: Arc<str>,
        born: u64,
        reason: &str,
        now: TimePoint,
    ) -> Option<TargetDeparture> {
        let current = self.announced.get_or_insert_with(|| AnnouncedTarget {
            id: Arc::clone(&id),
            born,
            seq: 0,
            has_departed: false,
        });
        if current.id != id || current.born > born || current.has_departed {
            return None;
        }
        current.has_departed = true;
        let born = current.born;
        let mut record = self.members.own().target.clone();
        (record.id, record.born, record.status) = (Arc::clone(&id), born, TargetStatus::Departed);
        self.shared.gate.lock().drain(now);
        self.set_target(record, now);
        self.ring.record(EventKind::TargetLost, reason, now);
        Some(TargetDeparture { id, born })
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
        if let Some(current) = &mut self.announced {
            let is_same = current.id == id && current.born == born;
            let is_late = born < current.born || (is_same && (seq <= current.seq || current.has_departed));
            if is_late {
                log::info!("event=announcement-late target={id} born={born} seq={seq}");
                // A repeated announcement of the current start is acknowledged again, also after its departure.
                return is_same;
            }
            if is_same {
                current.seq = seq;
                was_heard = true;
                self.record_cold(cold_until, now);
                if is_leaving {
                    self.record_target_departed(&id, born, "the target drains", now);
                    return true;
                }
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
            self.record_target_departed(&id, born, "the target drains", now);
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
