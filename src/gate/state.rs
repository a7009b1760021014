//! The pure state of the gate: slots, a short queue, slow start and drain.

use {
    crate::{clock::TimePoint, macros::key_type},
    std::{
        collections::VecDeque,
        fmt::{Display, Formatter},
    },
};

/// Time over which a cold target is given its slots, in milliseconds.
pub const SLOW_START_MS: u64 = 3_000;

key_type! {
    /// Identity of an admitted or waiting call.
    pub struct TicketId(pub u64);
}

key_type! {
    /// Why a call was refused. None of these calls reached the target.
    pub enum GateRefusal {
        /// All slots and the queue are taken.
        Full,
        /// The target is leaving.
        Leaving,
        /// The target is not ready.
        Starting,
        /// The deadline passed while the call waited.
        Expired,
        /// The target's version was stopped.
        Stopped,
    }
}

impl Display for GateRefusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Full => "target-full",
            Self::Leaving => "target-leaving",
            Self::Starting => "target-starting",
            Self::Expired => "deadline-passed",
            Self::Stopped => "version-stopped",
        })
    }
}

/// What becomes of an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAdmission {
    /// It runs at once.
    Run(TicketId),
    /// It waits for a slot.
    Wait(TicketId),
    /// It is refused and does not run.
    Refuse(GateRefusal),
}

/// What becomes of a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateWake {
    /// It has a slot and runs.
    Run(TicketId),
    /// It is refused and does not run.
    Refuse(TicketId, GateRefusal),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateMode {
    Starting,
    Serving { since: TimePoint },
    Leaving,
}

#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    ticket: TicketId,
    deadline: TimePoint,
}

/// The gate of one target.
#[derive(Debug, Clone)]
pub struct GateState {
    slots: u32,
    queue_limit: usize,
    mode: GateMode,
    stopped: bool,
    in_flight: u32,
    queue: VecDeque<WaitingCall>,
    next_ticket: u64,
}

impl GateState {
    /// Makes the gate of a target that is not ready yet.
    pub fn new(slots: u32, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            mode: GateMode::Starting,
            stopped: false,
            in_flight: 0,
            queue: VecDeque::new(),
            next_ticket: 0,
        }
    }

    /// Returns the number of calls that run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the calls that may run at once at `now`; a cold target is given its slots bit by bit.
    pub fn open_slots(&self, now: TimePoint) -> u32 {
        match self.mode {
            GateMode::Starting => 0,
            GateMode::Leaving => self.slots,
            GateMode::Serving { since } => {
                let warm_ms = now.ms_since(since).min(SLOW_START_MS);
                let share = u64::from(self.slots) * warm_ms / SLOW_START_MS;
                (share as u32).clamp(1.min(self.slots), self.slots)
            }
        }
    }

    /// Opens the gate: the target is ready.
    pub fn open(&mut self, now: TimePoint) {
        if self.mode == GateMode::Starting {
            self.mode = GateMode::Serving { since: now };
        }
    }

    /// Closes the gate until the target is ready again; calls that run go on.
    pub fn close(&mut self) {
        if matches!(self.mode, GateMode::Serving { .. }) {
            self.mode = GateMode::Starting;
        }
    }

    /// Refuses new work for good and everything that waits; calls that run go on.
    pub fn drain(&mut self) -> Vec<GateWake> {
        self.mode = GateMode::Leaving;
        self.refuse_waiting(GateRefusal::Leaving)
    }

    /// Stops or frees the target's version; calls that run go on.
    pub fn set_stopped(&mut self, stopped: bool) -> Vec<GateWake> {
        self.stopped = stopped;
        if stopped {
            self.refuse_waiting(GateRefusal::Stopped)
        } else {
            Vec::new()
        }
    }

    /// Tells whether the gate is leaving and nothing runs any more.
    pub fn is_drained(&self) -> bool {
        self.mode == GateMode::Leaving && self.in_flight == 0
    }

    /// Decides on an arriving call.
    pub fn arrive(&mut self, deadline: TimePoint, now: TimePoint) -> GateAdmission {
        if let Some(refusal) = self.refusal(deadline, now) {
            return GateAdmission::Refuse(refusal);
        }
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        if self.in_flight < self.open_slots(now) && self.queue.is_empty() {
            self.in_flight += 1;
            return GateAdmission::Run(ticket);
        }
        if self.queue.len() < self.queue_limit {
            self.queue.push_back(WaitingCall { ticket, deadline });
            return GateAdmission::Wait(ticket);
        }
        GateAdmission::Refuse(GateRefusal::Full)
    }

    /// Frees the slot of a call that ended and wakes those that wait.
    pub fn finish(&mut self, now: TimePoint) -> Vec<GateWake> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tick(now)
    }

    /// Forgets a waiting call whose caller went away. Tells whether it was still waiting.
    pub fn abandon(&mut self, ticket: TicketId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|call| call.ticket != ticket);
        self.queue.len() < before
    }

    /// Wakes calls that wait, as far as slots are open, and refuses those whose deadline passed.
    pub fn tick(&mut self, now: TimePoint) -> Vec<GateWake> {
        let mut wakes = Vec::new();
        while let Some(call) = self.queue.front().copied() {
            if call.deadline <= now {
                wakes.push(GateWake::Refuse(call.ticket, GateRefusal::Expired));
            } else if self.in_flight < self.open_slots(now) {
                self.in_flight += 1;
                wakes.push(GateWake::Run(call.ticket));
            } else {
                break;
            }
            self.queue.pop_front();
        }
        wakes
    }

    fn refusal(&self, deadline: TimePoint, now: TimePoint) -> Option<GateRefusal> {
        if deadline <= now {
            return Some(GateRefusal::Expired);
        }
        match self.mode {
            GateMode::Starting => Some(GateRefusal::Starting),
            GateMode::Leaving => Some(GateRefusal::Leaving),
            GateMode::Serving { .. } if self.stopped => Some(GateRefusal::Stopped),
            GateMode::Serving { .. } => None,
        }
    }

    fn refuse_waiting(&mut self, refusal: GateRefusal) -> Vec<GateWake> {
        self.queue
            .drain(..)
            .map(|call| GateWake::Refuse(call.ticket, refusal))
            .collect()
    }
}
