//! Readiness of the own target.

use {
    super::{ControlState, DrainPhase},
    crate::{clock::TimePoint, daemon::tasks::ControlEvent, member::TargetStatus, timeline::EventKind},
    std::time::Duration,
    tokio::{net::TcpStream, time::timeout},
};

/// Time between two connections to the target that test whether it is ready, in milliseconds.
const TARGET_PROBE_MS: u64 = 250;
/// Time that such a connection may take.
const TARGET_PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Failed tests in a row after which a target is not ready any more.
const TARGET_LOST_AFTER: u32 = 3;

impl ControlState {
    pub(super) fn tick_target(&mut self, now: TimePoint) {
        if now < self.target_probe_at || self.drain != DrainPhase::Serving {
            return;
        }
        self.target_probe_at = now.after_ms(TARGET_PROBE_MS);
        let (events, address) = (self.events.clone(), self.shared.settings.target.address);
        tokio::spawn(async move {
            let connected = timeout(TARGET_PROBE_LIMIT, TcpStream::connect(address)).await;
            let is_ready = matches!(connected, Ok(Ok(_)));
            let _ = events.send(ControlEvent::TargetProbed(is_ready)).await;
        });
    }

    pub(super) fn finish_target_probe(&mut self, is_ready: bool, now: TimePoint) {
        if self.drain != DrainPhase::Serving {
            return;
        }
        let status = self.members.own().target.status;
        self.target_failures = if is_ready { 0 } else { self.target_failures + 1 };
        if is_ready && status == TargetStatus::Starting {
            self.shared.gate.lock().state.open(now);
            self.set_target_status(TargetStatus::Serving, now);
            self.ring
                .record(EventKind::TargetReady, "the target takes connections", now);
        } else if self.target_failures >= TARGET_LOST_AFTER && status == TargetStatus::Serving {
            self.shared.gate.lock().state.close();
            self.set_target_status(TargetStatus::Starting, now);
            self.ring.record(
                EventKind::TargetLost,
                "the target takes no connections; look at its log",
                now,
            );
        }
    }

    pub(super) fn set_target_status(&mut self, status: TargetStatus, now: TimePoint) {
        let effects = self.members.set_target_status(status);
        self.is_stale = true;
        self.carry_out(effects, now);
    }
}
