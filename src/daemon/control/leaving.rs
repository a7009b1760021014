//! Leaving: drain, quiet time and exit.

use {
    super::{ControlState, DrainPhase},
    crate::{clock::TimePoint, member::TargetStatus, timeline::EventKind},
    std::sync::atomic::Ordering,
};

/// Quiet time at the end of a drain, in which late calls are refused instead of cut, in milliseconds.
const DRAIN_QUIET_MS: u64 = 500;

impl ControlState {
    pub(super) fn start_drain(&mut self, now: TimePoint) {
        if self.drain != DrainPhase::Serving {
            return;
        }
        self.ring.record(
            EventKind::Leaving,
            "new work is refused, running calls are finished",
            now,
        );
        self.drain = DrainPhase::Finishing {
            announced_until: now.after_ms(self.shared.settings.leave_ms),
            limit: now.after_ms(self.shared.settings.drain_limit_ms),
        };
        self.shared.is_leaving.store(true, Ordering::Release);
        {
            let mut gate = self.shared.gate.lock();
            let wakes = gate.state.drain();
            gate.wake(wakes, now);
        }
        self.set_target_status(TargetStatus::Leaving, now);
    }

    /// Returns true when the daemon may exit.
    pub(super) fn tick_drain(&mut self, now: TimePoint) -> bool {
        match self.drain {
            DrainPhase::Serving => false,
            DrainPhase::Finishing {
                announced_until,
                limit,
            } => {
                let is_idle = self.shared.gate.lock().state.is_drained()
                    && self.shared.active_calls.load(Ordering::Acquire) == 0;
                if (is_idle && now >= announced_until) || now >= limit {
                    self.shared.is_closed.store(true, Ordering::Release);
                    self.drain = DrainPhase::Quiet {
                        until: now.after_ms(DRAIN_QUIET_MS),
                    };
                    self.ring
                        .record(EventKind::Drained, format!("idle={is_idle}"), now);
                }
                false
            }
            DrainPhase::Quiet { until } => {
                if now >= until {
                    let effects = self.members.leave();
                    self.carry_out(effects, now);
                }
                now >= until
            }
        }
    }
}
