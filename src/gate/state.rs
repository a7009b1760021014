//! The pure state of the gate: slots, a queue ordered by urgency, slow start and drain.

use crate::{
    call::{LoadReport, RankCounts},
    clock::TimePoint,
    macros::key_type,
};

/// Time over which a cold target is given its slots, in milliseconds.
pub const SLOW_START_MS: u64 = 3_000;
/// Part of the typical time of a run in which about half of them end, as run times have a long tail.
const QUICK_RUN_PART: f64 = 0.7;
/// Time that a proxy needs to hear of a refusal, in milliseconds: two hops and a timer.
const TELL_MS: u64 = 60;
/// Time assumed for a run before one has ended, in milliseconds: a common service's, so that a new target is not flooded.
const UNKNOWN_RUN_MS: f64 = 200.0;
/// Weight of a new run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.05;

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
        /// Another target than the one that was named stands here.
        OtherTarget,
        /// The target itself turned the call away without running it.
        Shed,
    }
}

impl GateRefusal {
    const ALL: [Self; 7] = [
        Self::Full,
        Self::Leaving,
        Self::Starting,
        Self::Expired,
        Self::Stopped,
        Self::OtherTarget,
        Self::Shed,
    ];

    /// Returns the word that stands in the gate's answer.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Full => "target-full",
            Self::Leaving => "target-leaving",
            Self::Starting => "target-starting",
            Self::Expired => "deadline-passed",
            Self::Stopped => "version-stopped",
            Self::OtherTarget => "other-target",
            Self::Shed => "target-shed",
        }
    }

    /// Returns the refusal that a word stands for.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.word() == word)
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
pub enum DequeueOutcome {
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

/// A call that arrives at the gate.
#[derive(Debug, Clone, Copy)]
pub struct GateArrival {
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// When an answer loses its value; a call that can't be answered by then is refused at once.
    pub useful_until: TimePoint,
    /// When the call is given up.
    pub deadline: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    ticket: TicketId,
    arrival: GateArrival,
}

impl GateArrival {
    /// Returns when the call is refused if it still waits: while it can be told in time that it has not run, and
    /// halfway between the end of its use and its deadline, as it would hardly be served after that.
    pub fn wait_until(&self) -> TimePoint {
        let rest_ms = self.deadline.ms_since(self.useful_until);
        let halfway = self.useful_until.after_ms(rest_ms / 2);
        halfway.min(self.deadline.before_ms(TELL_MS))
    }
}

impl WaitingCall {
    /// Orders calls by urgency: rank first, then the earlier end of use, then arrival.
    fn rank(&self) -> (u8, TimePoint, TicketId) {
        (self.arrival.priority, self.arrival.useful_until, self.ticket)
    }
}

/// The gate of one target.
#[derive(Debug, Clone)]
pub struct GateState {
    slots: u32,
    queue_limit: usize,
    mode: GateMode,
    in_flight: u32,
    /// Ordered by urgency, the most urgent call last.
    queue: Vec<WaitingCall>,
    next_ticket: u64,
    /// Moving average of run times, in milliseconds; 0 before the first run.
    run_ms: f64,
}

impl GateState {
    /// Makes the gate of a target that is not ready yet.
    pub fn new(slots: u32, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            mode: GateMode::Starting,
            in_flight: 0,
            queue: Vec::new(),
            next_ticket: 0,
            run_ms: 0.0,
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

    /// Returns what proxies are told of the load.
    pub fn load(&self) -> LoadReport {
        let mut waiting = RankCounts::default();
        self.queue
            .iter()
            .for_each(|call| waiting.add(call.arrival.priority));
        LoadReport {
            running: self.in_flight,
            waiting,
            run_ms: self.run_ms,
        }
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

    /// Opens all slots of another target, also after a drain: its announcement says that it takes work. Calls that run
    /// keep their slots.
    pub fn reopen(&mut self, slots: u32, now: TimePoint) {
        self.slots = slots;
        self.run_ms = 0.0;
        self.mode = GateMode::Serving {
            since: now.before_ms(SLOW_START_MS),
        };
    }

    /// Returns the typical time of a run, in milliseconds; 0 before the first run.
    pub fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Refuses new work and everything that waits; calls that run go on.
    pub fn drain(&mut self) -> Vec<DequeueOutcome> {
        self.mode = GateMode::Leaving;
        self.refuse_waiting(GateRefusal::Leaving)
    }

    /// Tells whether the gate is leaving and nothing runs any more.
    pub fn is_drained(&self) -> bool {
        self.mode == GateMode::Leaving && self.in_flight == 0
    }

    /// Decides on an arriving call. A less urgent call may have to make room: it is refused.
    pub fn arrive(
        &mut self,
        arrival: GateArrival,
        now: TimePoint,
    ) -> (GateAdmission, Option<DequeueOutcome>) {
        if let Some(refusal) = self.refusal(arrival.wait_until(), now) {
            return (GateAdmission::Refuse(refusal), None);
        }
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        if self.in_flight < self.open_slots(now) && self.queue.is_empty() {
            self.in_flight += 1;
            return (GateAdmission::Run(ticket), None);
        }
        let call = WaitingCall { ticket, arrival };
        let at = self.queue.partition_point(|other| other.rank() > call.rank());
        let ahead = self.queue.len() - at;
        if self.is_hopeless(&arrival, ahead, now) || (self.queue.len() >= self.queue_limit && at == 0) {
            return (GateAdmission::Refuse(GateRefusal::Full), None);
        }
        self.queue.insert(at, call);
        let evicted = (self.queue.len() > self.queue_limit).then(|| self.queue.remove(0));
        let wake = evicted.map(|call| DequeueOutcome::Refuse(call.ticket, GateRefusal::Full));
        (GateAdmission::Wait(ticket), wake)
    }

    /// Frees the slot of a call that ended and wakes those that wait. `ran_ms` is the time that a whole run took.
    pub fn finish(&mut self, ran_ms: Option<f64>, now: TimePoint) -> Vec<DequeueOutcome> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(ran_ms) = ran_ms {
            self.run_ms = if self.run_ms == 0.0 {
                ran_ms
            } else {
                self.run_ms + (ran_ms - self.run_ms) * RUN_WEIGHT
            };
        }
        self.tick(now)
    }

    /// Tells whether a call with `ahead` others before it can't be answered in time, at the usual pace of runs.
    fn is_hopeless(&self, arrival: &GateArrival, ahead: usize, now: TimePoint) -> bool {
        let slots = f64::from(self.open_slots(now).max(1));
        let run_ms = if self.run_ms > 0.0 {
            self.run_ms
        } else {
            UNKNOWN_RUN_MS
        };
        let wait_ms = (ahead as f64 + 1.0) / slots * run_ms;
        now.after_ms((wait_ms + run_ms) as u64) > arrival.useful_until
    }

    /// Forgets a waiting call whose caller went away. Tells whether it was still waiting.
    pub fn abandon(&mut self, ticket: TicketId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|call| call.ticket != ticket);
        self.queue.len() < before
    }

    /// Wakes calls that wait, as far as slots are open, and refuses those whose deadline passed.
    pub fn tick(&mut self, now: TimePoint) -> Vec<DequeueOutcome> {
        let mut wakes = Vec::new();
        self.queue.retain(|call| {
            let is_late = call.arrival.wait_until() <= now;
            if is_late {
                wakes.push(DequeueOutcome::Refuse(call.ticket, GateRefusal::Expired));
            }
            !is_late
        });
        while self.in_flight < self.open_slots(now) {
            let Some(call) = self.take_next(now) else { break };
            self.in_flight += 1;
            wakes.push(DequeueOutcome::Run(call.ticket));
        }
        wakes
    }

    /// Takes the call out of the queue that runs next: the most urgent one that can still be answered while that is of
    /// use. Late ones run when no other waits, as they would make others late.
    fn take_next(&mut self, now: TimePoint) -> Option<WaitingCall> {
        let answered_at = now.after_ms((self.run_ms * QUICK_RUN_PART) as u64);
        let in_time = |call: &WaitingCall| answered_at <= call.arrival.useful_until;
        let at = self.queue.iter().rposition(in_time);
        let at = at.or_else(|| self.queue.len().checked_sub(1))?;
        Some(self.queue.remove(at))
    }

    fn refusal(&self, wait_until: TimePoint, now: TimePoint) -> Option<GateRefusal> {
        if wait_until <= now {
            return Some(GateRefusal::Expired);
        }
        match self.mode {
            GateMode::Starting => Some(GateRefusal::Starting),
            GateMode::Leaving => Some(GateRefusal::Leaving),
            GateMode::Serving { .. } => None,
        }
    }

    fn refuse_waiting(&mut self, refusal: GateRefusal) -> Vec<DequeueOutcome> {
        self.queue
            .drain(..)
            .map(|call| DequeueOutcome::Refuse(call.ticket, refusal))
            .collect()
    }
}
