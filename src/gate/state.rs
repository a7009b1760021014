//! State of the gate, without I/O: slots, a queue ordered by urgency, slow start and drain.

use {
    super::{
        arrival::GateArrival,
        brake::RunBrake,
        cold::ColdPacer,
        forecast::{time_left_ms, wait_ms},
        nested::NestedRoutes,
        outcome::{DequeueOutcome, GateAdmission, TicketId},
        pace::TargetPace,
        refusal::GateRefusal,
        run_times::RunTimes,
    },
    crate::{
        call::{LoadReport, RankCounts},
        clock::TimePoint,
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Duration of the slow start, over which a cold target gets its slots step by step, in milliseconds.
pub const SLOW_START_MS: u64 = 3_000;
/// Median run time as a fraction of the mean; below 1, as run times have a long tail.
const MEDIAN_RUN_FRACTION: f64 = 0.7;
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateMode {
    /// The target is not ready yet, or not any more.
    Starting,
    Serving {
        since: TimePoint,
    },
    Leaving,
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

impl WaitingCall {
    /// Returns the sort key of the queue, lowest for the most urgent call: nested ones, as their runs are in hand, then by
    /// rank, by the time until which an answer is worth its run, and by arrival.
    fn urgency(&self) -> (bool, u8, TimePoint, TicketId) {
        let arrival = &self.arrival;
        (
            !arrival.is_nested,
            arrival.priority,
            arrival.answer_by(),
            self.ticket,
        )
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
    nested_routes: NestedRoutes,
    brake: RunBrake,
    pace: TargetPace,
    cold: ColdPacer,
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
            nested_routes: NestedRoutes::default(),
            brake: RunBrake::default(),
            pace: TargetPace::default(),
            cold: ColdPacer::default(),
        }
    }

    /// Returns the pace of calls while the target is cold.
    pub fn cold(&mut self) -> &mut ColdPacer {
        &mut self.cold
    }

    /// Records how long work takes on the VM at this moment, relative to its usual time.
    pub fn record_slowdown(&mut self, slowdown: f64, now: TimePoint) {
        self.pace.record(slowdown, now);
    }

    /// Returns the number of calls that the target is running.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the load that is reported to the proxy of a call, with the run time of the call's route and the expected
    /// wait of a further call of its rank. The mean run time is that of the calls that are here; the one of all calls while
    /// there are none.
    pub fn load(&self, route: &str, priority: u8, now: TimePoint) -> LoadReport {
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
            slowdown: self.pace.stated(),
            wait_ms: Some(
                self.wait_at(
                    self.queue.partition_point(|other| {
                        !other.arrival.is_nested && other.arrival.priority > priority
                    }),
                    now,
                ),
            ),
            is_nested: false,
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
        self.pace = TargetPace::default();
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
        let has_slot = self.may_start(now) && self.queue.is_empty();
        let at = self
            .queue
            .partition_point(|other| other.urgency() > call.urgency());
        let is_hopeless = !has_slot
            && (self.is_too_late(&call, at, now) || (self.queue.len() >= self.queue_limit && at == 0));
        if is_hopeless || (!call.arrival.is_nested && !self.brake.admit(&call.arrival.route)) {
            return (GateAdmission::Refuse(GateRefusal::Full), None);
        }
        if has_slot {
            self.start(call, now);
            return (GateAdmission::Run(ticket), None);
        }
        self.queue.insert(at, call);
        let evicted = (self.queue.len() > self.queue_limit).then(|| self.queue.remove(0));
        let outcome = evicted.map(|call| DequeueOutcome::Refuse(call.ticket, GateRefusal::Full));
        (GateAdmission::Wait(ticket), outcome)
    }

    /// Returns the expected wait for a slot and the expected run time of a call that has not arrived yet, in milliseconds, or
    /// why it would be refused.
    pub fn forecast_ms(&self, arrival: &GateArrival, now: TimePoint) -> Result<(u64, u64), GateRefusal> {
        if let Some(refusal) = self.refusal(arrival.wait_until(), now) {
            return Err(refusal);
        }
        let call = WaitingCall {
            ticket: TicketId(u64::MAX),
            arrival: arrival.clone(),
            expected_ms: self.expected_ms(arrival, now),
        };
        let at = self
            .queue
            .partition_point(|other| other.urgency() > call.urgency());
        Ok((self.wait_at(at, now) as u64, call.expected_ms as u64))
    }

    /// Frees the slot of a call that ended and dequeues further calls. `ran_ms` is the run time of a successful call in
    /// milliseconds, `None` for other calls, which don't count for the run times.
    pub fn finish(&mut self, ticket: TicketId, ran_ms: Option<f64>, now: TimePoint) -> Vec<DequeueOutcome> {
        let ended = self.running.swap_remove(&ticket);
        if let (Some(call), Some(ran_ms)) = (ended, ran_ms) {
            self.run_times.record(&call.route, ran_ms);
            self.brake.record_end(&call.route, false, call.started_at);
        }
        self.tick(now)
    }

    /// Records that the target failed a call that it is running. [`Self::finish`] follows.
    pub fn fail(&mut self, ticket: TicketId) {
        if let Some(call) = self.running.get(&ticket) {
            self.brake.record_end(&call.route, true, call.started_at);
        }
    }

    /// Records that a call was refused which the target made in a run of its own.
    pub fn record_refused_call(&mut self, now: TimePoint) {
        self.brake.record_refused_call(now);
    }

    /// Returns the share of the calls of a route that the gate lets run; below 1 while runs are lost for refused nested
    /// calls.
    pub fn run_share(&self, route: &str) -> f64 {
        self.brake.share(route)
    }

    /// Returns whether a call that takes the place `at` in the queue would be answered after its `useful_until`.
    fn is_too_late(&self, call: &WaitingCall, at: usize, now: TimePoint) -> bool {
        let wait_ms = self.wait_at(at, now);
        let run_ms = call.expected_ms * self.pace.factor(now);
        now.after_ms((wait_ms + run_ms) as u64) > call.arrival.answer_by()
    }

    /// Returns the expected wait of a call that takes the place `at` in the queue, in milliseconds.
    fn wait_at(&self, at: usize, now: TimePoint) -> f64 {
        let pace = self.pace.factor(now);
        let running = self.running.values().map(|running| {
            let ran_ms = now.ms_since(running.started_at) as f64;
            time_left_ms(running.expected_ms * pace, ran_ms)
        });
        let ahead = self.queue[at..]
            .iter()
            .rev()
            .map(|ahead| ahead.expected_ms * pace);
        let wait_ms = wait_ms(self.open_slots(now) as usize, running, ahead);
        wait_ms.max(self.cold.wait_ms(self.queue.len() - at, now) as f64)
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
        self.cold.record_start(now);
    }

    fn may_start(&self, now: TimePoint) -> bool {
        self.in_flight() < self.open_slots(now) && self.cold.may_start(now)
    }

    /// Records a call that came from beside a service, and returns whether targets of it make the calls of this route.
    /// `came_idle` is set if its target was running nothing.
    pub fn record_call(&mut self, route: &Arc<str>, service: &Arc<str>, came_idle: bool) -> bool {
        let is_nested = self.nested_routes.record_call(route, service, came_idle);
        is_nested && self.pace.is_stated()
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
        while self.may_start(now) {
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
        let pace = self.pace.factor(now);
        let in_time = |call: &WaitingCall| {
            let median_ms = call.expected_ms * pace * MEDIAN_RUN_FRACTION;
            now.after_ms(median_ms as u64) <= call.arrival.answer_by()
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

    /// Refuses all queued calls, as the target's data centre is evacuated. Running calls continue.
    pub fn evacuate(&mut self) -> Vec<DequeueOutcome> {
        self.refuse_waiting(GateRefusal::Evacuated)
    }

    fn refuse_waiting(&mut self, refusal: GateRefusal) -> Vec<DequeueOutcome> {
        self.queue
            .drain(..)
            .map(|call| DequeueOutcome::Refuse(call.ticket, refusal))
            .collect()
    }
}
