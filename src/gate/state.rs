//! State of the gate, without I/O: slots, a queue ordered by urgency, slow start and drain.

use {
    super::{
        forecast::{time_left_ms, wait_ms},
        run_times::RunTimes,
    },
    crate::{
        call::{LoadReport, RankCounts},
        clock::TimePoint,
        macros::key_type,
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Duration of the slow start, over which a cold target gets its slots step by step, in milliseconds.
pub const SLOW_START_MS: u64 = 3_000;
/// Median run time as a fraction of the mean; below 1, as run times have a long tail.
const MEDIAN_RUN_FRACTION: f64 = 0.7;
/// Time that a refusal takes to reach the proxy, in milliseconds: two hops and a timer.
const REFUSAL_RETURN_MS: u64 = 60;

key_type! {
    /// Identifies an admitted or queued call.
    pub struct TicketId(pub u64);
}

key_type! {
    /// Reason for which a gate refuses a call. None of these calls ran.
    pub enum GateRefusal {
        /// The queue is full, or the call would be answered too late.
        Full,
        /// The target is leaving.
        Leaving,
        /// The target is not ready.
        Starting,
        /// The call reached its [`GateArrival::wait_until`] before a slot was free.
        Expired,
        /// The target's version is stopped or not cleared for the pool.
        Stopped,
        /// The target beside this gate is not the one that the request names.
        OtherTarget,
        /// The target itself rejected the call without running it.
        Shed,
        /// Targets ended under this request, so it is held back.
        Quarantined,
        /// The key of the call is not in force here.
        UnknownKey,
        /// Keys may have been removed of which this daemon has not heard.
        KeysUnconfirmed,
    }
}

impl GateRefusal {
    const ALL: [Self; 10] = [
        Self::Full,
        Self::Leaving,
        Self::Starting,
        Self::Expired,
        Self::Stopped,
        Self::OtherTarget,
        Self::Shed,
        Self::Quarantined,
        Self::UnknownKey,
        Self::KeysUnconfirmed,
    ];

    /// Returns the reason as written to the `fuchsiashore-reason` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "target-full",
            Self::Leaving => "target-leaving",
            Self::Starting => "target-starting",
            Self::Expired => "deadline-passed",
            Self::Stopped => "version-stopped",
            Self::OtherTarget => "other-target",
            Self::Shed => "target-shed",
            Self::Quarantined => "quarantined",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
        }
    }

    /// Returns the refusal for a reason from the `fuchsiashore-reason` header.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.as_str() == text)
    }
}

/// Admission decision for an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAdmission {
    /// The call has a slot and runs now.
    Run(TicketId),
    /// The call is queued for a slot.
    Wait(TicketId),
    /// The call is refused.
    Refuse(GateRefusal),
}

/// Reason for which a call left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The call has a slot and runs now.
    Run(TicketId),
    /// The call is refused.
    Refuse(TicketId, GateRefusal),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateMode {
    /// The target is not ready yet, or not any more.
    Starting,
    Serving {
        since: TimePoint,
    },
    Leaving,
}

/// Call that arrives at the gate.
#[derive(Debug, Clone)]
pub struct GateArrival {
    /// Name of its route.
    pub route: Arc<str>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer counts as late. A call that would be queued and not answered by then is refused.
    pub useful_until: TimePoint,
    /// Time at which the call is given up.
    pub deadline: TimePoint,
    /// Time by which it must have a slot in any case.
    pub start_by: TimePoint,
}

#[derive(Debug, Clone)]
struct WaitingCall {
    ticket: TicketId,
    arrival: GateArrival,
    /// Expected run time at the arrival, in milliseconds.
    expected_ms: f64,
}

/// Call that the target runs.
#[derive(Debug, Clone)]
struct RunningCall {
    route: Arc<str>,
    started_at: TimePoint,
    /// Expected run time at the start, in milliseconds.
    expected_ms: f64,
}

impl GateArrival {
    /// Returns the time at which the call is refused if it is still queued: at `start_by`, or halfway between
    /// `useful_until` and the deadline, as it would hardly be served after that, but early enough for the refusal to arrive
    /// before the deadline.
    pub fn wait_until(&self) -> TimePoint {
        let margin_ms = self.deadline.ms_since(self.useful_until);
        let halfway = self.useful_until.after_ms(margin_ms / 2);
        halfway
            .min(self.deadline.before_ms(REFUSAL_RETURN_MS))
            .min(self.start_by)
    }
}

impl WaitingCall {
    /// Returns the sort key of the queue, lowest for the most urgent call: by rank, then by `useful_until`, then by
    /// arrival.
    fn urgency(&self) -> (u8, TimePoint, TicketId) {
        (self.arrival.priority, self.arrival.useful_until, self.ticket)
    }
}

/// Gate of one target.
#[derive(Debug, Clone)]
pub struct GateState {
    slots: u32,
    queue_limit: usize,
    mode: GateMode,
    /// Calls that the target is running.
    running: IndexMap<TicketId, RunningCall>,
    /// Ordered by urgency, the most urgent call last.
    queue: Vec<WaitingCall>,
    /// Number of the last ticket issued.
    last_ticket: u64,
    run_times: RunTimes,
    /// How long work takes on the VM, relative to its usual time, as the target stated last; 1 if it has not.
    slowdown: f64,
}

impl GateState {
    /// Creates a closed gate for a target that is not ready yet.
    pub fn new(slots: u32, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            mode: GateMode::Starting,
            running: IndexMap::new(),
            queue: Vec::new(),
            last_ticket: 0,
            run_times: RunTimes::default(),
            slowdown: 1.0,
        }
    }

    /// Records how long work takes on the VM at this moment, relative to its usual time.
    pub fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Returns the number of calls that the target is running.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the load that is reported to the proxy of a call, with the run time of the call's route. The mean run
    /// time is that of the calls that are here; the one of all calls while there are none.
    pub fn load(&self, route: &str) -> LoadReport {
        let mut waiting = RankCounts::default();
        self.queue
            .iter()
            .for_each(|call| waiting.add(call.arrival.priority));
        let expected = self.running.values().map(|call| call.expected_ms);
        let expected = expected.chain(self.queue.iter().map(|call| call.expected_ms));
        let count = self.running.len() + self.queue.len();
        LoadReport {
            running: self.in_flight(),
            waiting,
            run_ms: if count > 0 && self.run_times.mean_ms() > 0.0 {
                expected.sum::<f64>() / count as f64
            } else {
                self.run_times.mean_ms()
            },
            route_run_ms: self.run_times.of_route(route).unwrap_or_default(),
            slowdown: self.slowdown,
        }
    }

    /// Returns the number of calls that may run concurrently at `now`: none while the gate is closed. During the slow
    /// start it grows linearly from 1 to all slots.
    pub fn open_slots(&self, now: TimePoint) -> u32 {
        match self.mode {
            GateMode::Starting => 0,
            GateMode::Leaving => self.slots,
            GateMode::Serving { since } => {
                let serving_ms = now.ms_since(since).min(SLOW_START_MS);
                let opened = u64::from(self.slots) * serving_ms / SLOW_START_MS;
                (opened as u32).clamp(1.min(self.slots), self.slots)
            }
        }
    }

    /// Opens the gate of a target that became ready, and begins the slow start.
    pub fn open(&mut self, now: TimePoint) {
        if self.mode == GateMode::Starting {
            self.mode = GateMode::Serving { since: now };
        }
    }

    /// Closes the gate until the target is ready again. Running calls continue.
    pub fn close(&mut self) {
        if matches!(self.mode, GateMode::Serving { .. }) {
            self.mode = GateMode::Starting;
        }
    }

    /// Replaces the target and opens all slots of the new one without a slow start, also after a drain, as its
    /// announcement states that it accepts calls. Calls running at the old target still take slots.
    pub fn reopen(&mut self, slots: u32, now: TimePoint) {
        self.slots = slots;
        self.run_times = RunTimes::default();
        self.slowdown = 1.0;
        self.mode = GateMode::Serving {
            since: now.before_ms(SLOW_START_MS),
        };
    }

    /// Refuses all queued calls and, from now on, all new ones. Running calls continue.
    pub fn drain(&mut self) -> Vec<DequeueOutcome> {
        self.mode = GateMode::Leaving;
        self.refuse_waiting(GateRefusal::Leaving)
    }

    /// Returns whether the target is expected to end.
    pub fn is_leaving(&self) -> bool {
        self.mode == GateMode::Leaving
    }

    /// Returns whether the gate is leaving and no call is running.
    pub fn is_drained(&self) -> bool {
        self.mode == GateMode::Leaving && self.running.is_empty()
    }

    /// Runs, queues or refuses an arriving call. If the queue is full, its least urgent call is refused instead of a
    /// more urgent new one, and returned as the second value.
    pub fn arrive(
        &mut self,
        arrival: GateArrival,
        now: TimePoint,
    ) -> (GateAdmission, Option<DequeueOutcome>) {
        if let Some(refusal) = self.refusal(arrival.wait_until(), now) {
            return (GateAdmission::Refuse(refusal), None);
        }
        self.last_ticket += 1;
        let ticket = TicketId(self.last_ticket);
        let expected_ms = self.expected_ms(&arrival, now);
        let call = WaitingCall {
            ticket,
            arrival,
            expected_ms,
        };
        if self.in_flight() < self.open_slots(now) && self.queue.is_empty() {
            self.start(call, now);
            return (GateAdmission::Run(ticket), None);
        }
        let at = self
            .queue
            .partition_point(|other| other.urgency() > call.urgency());
        if self.is_too_late(&call, at, now) || (self.queue.len() >= self.queue_limit && at == 0) {
            return (GateAdmission::Refuse(GateRefusal::Full), None);
        }
        self.queue.insert(at, call);
        let evicted = (self.queue.len() > self.queue_limit).then(|| self.queue.remove(0));
        let outcome = evicted.map(|call| DequeueOutcome::Refuse(call.ticket, GateRefusal::Full));
        (GateAdmission::Wait(ticket), outcome)
    }

    /// Frees the slot of a call that ended and dequeues further calls. `ran_ms` is the run time of a successful call in
    /// milliseconds, `None` for other calls, which don't count for the run times.
    pub fn finish(&mut self, ticket: TicketId, ran_ms: Option<f64>, now: TimePoint) -> Vec<DequeueOutcome> {
        let ended = self.running.swap_remove(&ticket);
        if let (Some(call), Some(ran_ms)) = (ended, ran_ms) {
            self.run_times.record(&call.route, ran_ms);
        }
        self.tick(now)
    }

    /// Returns whether a call that takes the place `at` in the queue would be answered after its `useful_until`.
    fn is_too_late(&self, call: &WaitingCall, at: usize, now: TimePoint) -> bool {
        let running = self.running.values().map(|running| {
            let ran_ms = now.ms_since(running.started_at) as f64;
            time_left_ms(running.expected_ms, ran_ms)
        });
        let ahead = self.queue[at..].iter().rev().map(|ahead| ahead.expected_ms);
        let wait_ms = wait_ms(self.open_slots(now) as usize, running, ahead);
        now.after_ms((wait_ms + call.expected_ms) as u64) > call.arrival.useful_until
    }

    fn expected_ms(&self, arrival: &GateArrival, now: TimePoint) -> f64 {
        let useful_ms = arrival.useful_until.ms_since(now);
        self.run_times.expected_ms(&arrival.route, useful_ms)
    }

    fn start(&mut self, call: WaitingCall, now: TimePoint) {
        let running = RunningCall {
            route: call.arrival.route,
            started_at: now,
            expected_ms: call.expected_ms,
        };
        self.running.insert(call.ticket, running);
    }

    /// Removes a queued call whose caller went away. Returns whether it was still queued.
    pub fn abandon(&mut self, ticket: TicketId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|call| call.ticket != ticket);
        self.queue.len() < before
    }

    /// Refuses queued calls that have reached their [`GateArrival::wait_until`], then dequeues calls while slots are
    /// free.
    pub fn tick(&mut self, now: TimePoint) -> Vec<DequeueOutcome> {
        let mut outcomes = Vec::new();
        self.queue.retain(|call| {
            let is_expired = call.arrival.wait_until() <= now;
            if is_expired {
                outcomes.push(DequeueOutcome::Refuse(call.ticket, GateRefusal::Expired));
            }
            !is_expired
        });
        while self.in_flight() < self.open_slots(now) {
            let Some(call) = self.dequeue_next(now) else { break };
            outcomes.push(DequeueOutcome::Run(call.ticket));
            self.start(call, now);
        }
        outcomes
    }

    /// Removes the next call to run from the queue: the most urgent one that can be answered by its `useful_until` in
    /// the median run time of its route. If there is none, removes the most urgent call; late calls come last, as they would delay
    /// others.
    fn dequeue_next(&mut self, now: TimePoint) -> Option<WaitingCall> {
        let in_time = |call: &WaitingCall| {
            let median_ms = call.expected_ms * MEDIAN_RUN_FRACTION;
            now.after_ms(median_ms as u64) <= call.arrival.useful_until
        };
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
