//! Shutdown of the daemon: drain, quiet time and exit.

use {
    super::{ControlState, DrainPhase},
    crate::{
        clock::TimePoint, daemon::leave_schedule::LeaveSchedule, member::TargetStatus, timeline::EventKind,
    },
    std::sync::atomic::Ordering,
};

/// Time at the end of a drain in which late calls are refused, so that the exit does not cut them, in milliseconds.
const DRAIN_QUIET_MS: u64 = 500;
/// Time before the drain limit from which all new calls are refused, in milliseconds. Before that, [`LeaveSchedule`]
/// refuses those that might not end in time.
const REFUSE_MARGIN_MS: u64 = 1_700;

/// Time for notifying the other daemons of the closed gate, in milliseconds: several rounds of notices.
const GATE_CLOSED_NOTICE_MS: u64 = 200;

impl ControlState {
    /// Starts the shutdown, unless it has begun, and releases the moves that this daemon controls.
    pub(super) fn start_drain(&mut self, now: TimePoint) {
        if self.drain != DrainPhase::Serving {
            return;
        }
        let settings = &self.shared.settings;
        let (leave_ms, limit_ms) = (settings.leave_ms, settings.drain_limit_ms);
        let refuse_at = now.after_ms(limit_ms.saturating_sub(REFUSE_MARGIN_MS));
        let schedule = LeaveSchedule::starting_at(now, settings);
        let exit_at = schedule.exit_at;
        // A target that announces itself is not stopped with the daemon: its gate stays open while callers move to
        // other daemons.
        let target_lives_on = settings.announcements.is_some();
        self.ring.record(
            EventKind::Leaving,
            format!(
                "callers are sent elsewhere, running calls are finished; target_lives_on={target_lives_on}"
            ),
            now,
        );
        self.shared.begin_leaving(schedule);
        self.moves.release(&self.members, &mut self.ring, now);
        if target_lives_on {
            self.drain = DrainPhase::Announced {
                close_at: now.after_ms(leave_ms).min(refuse_at),
                refuse_at,
                exit_at,
            };
            return;
        }
        self.close_gate(now);
        self.drain = DrainPhase::Finishing {
            notify_until: now.after_ms(leave_ms),
            refuse_at,
            exit_at,
        };
    }

    /// Refuses new calls at the gate, and notifies the other daemons unless the target has departed already.
    fn close_gate(&mut self, now: TimePoint) {
        self.shared.gate.lock().drain(now);
        if self.members.own().target.status != TargetStatus::Departed {
            self.set_target_status(TargetStatus::Leaving, now);
        }
    }

    /// Advances the phase of the shutdown. Returns true when the daemon may exit.
    pub(super) fn tick_drain(&mut self, now: TimePoint) -> bool {
        match self.drain {
            DrainPhase::Serving => false,
            DrainPhase::Announced {
                close_at,
                refuse_at,
                exit_at,
            } => {
                if now >= close_at {
                    self.close_gate(now);
                    self.drain = DrainPhase::Finishing {
                        notify_until: now.after_ms(GATE_CLOSED_NOTICE_MS),
                        refuse_at,
                        exit_at,
                    };
                }
                false
            }
            DrainPhase::Finishing {
                notify_until,
                refuse_at,
                exit_at,
            } => {
                let is_done = self.is_idle() && now >= notify_until;
                if is_done || now >= refuse_at {
                    self.shared.is_closed.store(true, Ordering::Release);
                    self.drain = DrainPhase::Quiet {
                        until: now.after_ms(DRAIN_QUIET_MS),
                        exit_at,
                    };
                    self.ring
                        .record(EventKind::Drained, format!("idle={is_done}"), now);
                }
                false
            }
            DrainPhase::Quiet { until, exit_at } => {
                let is_over = (now >= until && self.is_idle()) || now >= exit_at;
                if is_over {
                    self.log_control_traffic();
                    let effects = self.members.leave(now);
                    self.apply_effects(effects, now);
                }
                is_over
            }
        }
    }

    /// Returns whether no call runs at the gate or for a caller.
    fn is_idle(&self) -> bool {
        self.shared.gate.lock().state.is_drained() && self.shared.active_calls.load(Ordering::Acquire) == 0
    }
}
