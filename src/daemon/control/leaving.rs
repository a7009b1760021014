//! Leaving: drain, quiet time and exit.

use {
    super::{ControlState, DrainPhase},
    crate::{clock::TimePoint, member::TargetStatus, timeline::EventKind},
    std::sync::atomic::Ordering,
};

/// Quiet time at the end of a drain, in which late calls are refused instead of cut, in milliseconds.
const DRAIN_QUIET_MS: u64 = 500;
/// Time before the limit of a drain from which new calls are refused, so that those under way can end: the longest
/// timeout of a route and a little more, in milliseconds.
const REFUSE_BEFORE_MS: u64 = 1_700;
/// Time before the limit of a drain at which the process exits in any case, in milliseconds.
const EXIT_BEFORE_MS: u64 = 150;

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
        let limit_ms = self.shared.settings.drain_limit_ms;
        self.drain = DrainPhase::Finishing {
            announced_until: now.after_ms(self.shared.settings.leave_ms),
            refuse_at: now.after_ms(limit_ms.saturating_sub(REFUSE_BEFORE_MS)),
            limit: now.after_ms(limit_ms.saturating_sub(EXIT_BEFORE_MS)),
        };
        self.shared.is_leaving.store(true, Ordering::Release);
        self.shared.gate.lock().drain(now);
        self.set_target_status(TargetStatus::Leaving, now);
        self.moves.release(&self.members, &mut self.ring, now);
    }

    /// Returns true when the daemon may exit.
    pub(super) fn tick_drain(&mut self, now: TimePoint) -> bool {
        match self.drain {
            DrainPhase::Serving => false,
            DrainPhase::Finishing {
                announced_until,
                refuse_at,
                limit,
            } => {
                let is_done = self.is_idle() && now >= announced_until;
                if is_done || now >= refuse_at {
                    self.shared.is_closed.store(true, Ordering::Release);
                    self.drain = DrainPhase::Quiet {
                        until: now.after_ms(DRAIN_QUIET_MS),
                        limit,
                    };
                    self.ring
                        .record(EventKind::Drained, format!("idle={is_done}"), now);
                }
                false
            }
            DrainPhase::Quiet { until, limit } => {
                let is_over = (now >= until && self.is_idle()) || now >= limit;
                if is_over {
                    let effects = self.members.leave();
                    self.carry_out(effects, now);
                }
                is_over
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.shared.gate.lock().state.is_drained() && self.shared.active_calls.load(Ordering::Acquire) == 0
    }
}
