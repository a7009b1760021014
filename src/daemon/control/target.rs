//! Readiness of the own target.

use {
    super::{AnnouncedTarget, ControlState, DrainPhase},
    crate::{
        clock::TimePoint,
        daemon::{
            edges::{TargetAnnouncement, TargetMessage},
            shared::TargetIdentity,
            tasks::ControlEvent,
        },
        member::{TargetRecord, TargetStatus},
        timeline::EventKind,
    },
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time between two connections to the target that test whether it is ready, in milliseconds.
const TARGET_PROBE_MS: u64 = 250;
/// Time that such a connection may take.
const TARGET_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Failed tests in a row after which a target is not ready any more.
const TARGET_FAILURE_THRESHOLD: u32 = 3;

impl ControlState {
    pub(super) fn tick_target(&mut self, now: TimePoint) {
        if self.shared.settings.announcements.is_some()
            || now < self.target_probe_at
            || self.drain != DrainPhase::Serving
        {
            return;
        }
        self.target_probe_at = now.after_ms(TARGET_PROBE_MS);
        let (events, address) = (self.events.clone(), self.shared.settings.target.address);
        tokio::spawn(async move {
            let connected = timeout(TARGET_PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let is_ready = matches!(connected, Ok(Ok(_)));
            let _ = events.send(ControlEvent::TargetProbed(is_ready)).await;
        });
    }

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
                .record(EventKind::TargetReady, "the target takes connections", now);
        } else if self.target_failures >= TARGET_FAILURE_THRESHOLD && status == TargetStatus::Serving {
            self.shared.gate.lock().state.close();
            self.set_target_status(TargetStatus::Starting, now);
            self.ring.record(
                EventKind::TargetLost,
                "the target takes no connections; look at its log",
                now,
            );
        }
    }

    /// Takes in what the target says of itself. Returns false if it comes from a start that is over.
    pub(super) fn handle_target_message(&mut self, message: TargetMessage, now: TimePoint) -> bool {
        match message {
            TargetMessage::Announce(announcement) => self.handle_announcement(announcement, now),
            TargetMessage::Leave { id, born } => {
                // One that doesn't tell its start ends every start so far.
                let born = born.unwrap_or(now.0);
                self.mark_target_departed(id, born, "the target says that it goes", now);
                true
            }
        }
    }

    /// Takes in that peers know a target beside an earlier process of this name which has departed.
    pub(super) fn restore_departed_target(&mut self, target: TargetRecord, now: TimePoint) {
        self.mark_target_departed(target.id, target.born, "peers know that the target left", now);
    }

    /// Ends the starts of a target up to `born`; announcements of them may still come late.
    fn mark_target_departed(&mut self, id: Arc<str>, born: u64, reason: &str, now: TimePoint) {
        let known = self.announced.get_or_insert_with(|| AnnouncedTarget {
            id: Arc::clone(&id),
            born,
            seq: 0,
            has_left: false,
        });
        if known.id != id || known.born > born || known.has_left {
            return;
        }
        known.has_left = true;
        let born = known.born;
        let mut record = self.members.own().target.clone();
        (record.id, record.born, record.status) = (id, born, TargetStatus::Departed);
        self.shared.gate.lock().drain(now);
        self.set_target(record, now);
        self.ring.record(EventKind::TargetLost, reason, now);
    }

    fn handle_announcement(&mut self, announcement: TargetAnnouncement, now: TimePoint) -> bool {
        let TargetAnnouncement {
            id,
            born,
            seq,
            version,
            address,
            slots,
            is_leaving,
        } = announcement;
        if let Some(known) = &mut self.announced {
            let is_same = known.id == id && known.born == born;
            let is_over = born < known.born || (is_same && (seq <= known.seq || known.has_left));
            if is_over {
                log::info!("event=announcement-late target={id} born={born} seq={seq}");
                // A target that repeats itself after it has left is told so again.
                return is_same;
            }
            if is_same {
                known.seq = seq;
                if is_leaving {
                    self.mark_target_departed(id, born, "the target drains", now);
                    return true;
                }
                if self.members.own().target.status == TargetStatus::Serving {
                    return true;
                }
            }
        }
        self.announced = Some(AnnouncedTarget {
            id: Arc::clone(&id),
            born,
            seq,
            has_left: is_leaving,
        });
        let identity = TargetIdentity {
            id: Arc::clone(&id),
            version: Arc::clone(&version),
            address,
            slots,
        };
        self.shared.target.store(Arc::new(identity));
        let mut record = self.members.own().target.clone();
        record.id = id;
        record.born = born;
        record.version = version;
        record.slots = slots;
        record.status = match self.drain {
            _ if is_leaving => TargetStatus::Departed,
            DrainPhase::Serving | DrainPhase::Announced { .. } => TargetStatus::Serving,
            DrainPhase::Finishing { .. } | DrainPhase::Quiet { .. } => TargetStatus::Leaving,
        };
        if record.status == TargetStatus::Serving {
            self.shared.gate.lock().state.reopen(slots, now);
        }
        let detail = format!(
            "target={} version={} {}",
            record.id, record.version, record.status
        );
        self.set_target(record, now);
        self.ring.record(EventKind::TargetReady, detail, now);
        true
    }

    fn set_target(&mut self, target: TargetRecord, now: TimePoint) {
        let effects = self.members.set_target(target);
        self.is_snapshot_stale = true;
        self.apply_effects(effects, now);
    }

    pub(super) fn set_target_status(&mut self, status: TargetStatus, now: TimePoint) {
        let effects = self.members.set_target_status(status);
        self.is_snapshot_stale = true;
        self.apply_effects(effects, now);
    }
}
