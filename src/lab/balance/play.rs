//! One play: daemons that send calls to the gates of one service.

use {
    super::rule::{ChoiceRule, DaemonView},
    crate::{
        call::CandidateTarget,
        clock::TimePoint,
        gate::{DequeueOutcome, GateAdmission, GateArrival, GateState, TicketId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, LogNormal},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        f64::consts::TAU,
    },
};

/// Number of daemons that send calls.
const DAEMONS: usize = 20;
/// Speeds of the targets.
const SPEEDS: [f64; 8] = [0.5, 0.7, 0.7, 1.0, 1.0, 1.0, 1.4, 1.7];
/// Number of calls that a target runs at once.
const SLOTS: u32 = 6;
/// Number of calls that may wait at a gate.
const QUEUE_LIMIT: usize = 24;
/// Mean time of a run at a target of speed 1, in milliseconds, and the spread of its logarithm.
const RUN_MS: f64 = 80.0;
const RUN_SPREAD: f64 = 0.5;
/// Time within which an answer is useful, and time after which a call is given up, in milliseconds.
const USEFUL_MS: u64 = 400;
const DEADLINE_MS: u64 = 2_500;
/// Length of a play and of its beginning that is not counted, in milliseconds.
const PLAY_MS: u64 = 40_000;
const WARM_UP_MS: u64 = 5_000;
/// Number of targets that a call tries at most.
const MAX_TRIED: usize = 4;
/// Length of a wave of demand, in milliseconds, and its swing.
const WAVE_MS: f64 = 17_000.0;
const WAVE_SWING: f64 = 0.55;
/// Share of the demand before a step.
const BEFORE_STEP: f64 = 0.4;

/// How demand changes over a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandShape {
    /// Not at all.
    Steady,
    /// From two fifths of it to all of it, halfway.
    Step,
    /// In waves around it.
    Wave,
}

impl DemandShape {
    /// Returns the name in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Step => "step",
            Self::Wave => "wave",
        }
    }

    fn factor(self, at_ms: u64) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Step if at_ms < PLAY_MS / 2 => BEFORE_STEP,
            Self::Step => 1.0,
            Self::Wave => 1.0 + WAVE_SWING * (at_ms as f64 / WAVE_MS * TAU).sin(),
        }
    }
}

/// Figures of a play.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BalanceFigures {
    /// Largest mean number of calls a slot at a target, over the mean of all targets.
    pub largest_over_mean: f64,
    /// Share of time in which calls wait at a target while another runs none.
    pub queues_beside_idle: f64,
    /// Share of time in which calls wait at a target while another has a free slot.
    pub queues_beside_room: f64,
    /// Median wait of the served calls, in milliseconds.
    pub wait_p50_ms: u64,
    /// Wait that one served call in a hundred exceeds, in milliseconds.
    pub wait_p99_ms: u64,
    /// Share of the calls answered in the useful time.
    pub in_time: f64,
    /// Attempts for each call.
    pub attempts: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    End { target: usize, ticket: TicketId },
    Report { target: usize },
    Arrive,
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct PlayedCall {
    daemon: usize,
    arrived_at: TimePoint,
    started_at: TimePoint,
}

struct BalancePlay {
    rule: ChoiceRule,
    /// Time between two reports of a target, in milliseconds; 0 if each choice knows the present loads.
    report_ms: u64,
    start: TimePoint,
    now: TimePoint,
    targets: Vec<CandidateTarget>,
    gates: Vec<GateState>,
    daemons: Vec<DaemonView>,
    calls: HashMap<(usize, TicketId), PlayedCall>,
    events: BinaryHeap<Reverse<(TimePoint, PlayEvent)>>,
    rng: SmallRng,
    waits_ms: Vec<u64>,
    counts: PlayCounts,
}

#[derive(Debug, Clone, Default)]
struct PlayCounts {
    offered: u64,
    in_time: u64,
    attempts: u64,
    beside_idle_ms: u64,
    beside_room_ms: u64,
    counted_ms: u64,
    call_ms: Vec<u64>,
}

/// Plays a demand, as a multiple of what the targets can run, with reports that are up to `report_ms` old.
pub fn play_balance(
    rule: ChoiceRule,
    shape: DemandShape,
    load: f64,
    report_ms: u64,
    seed: u64,
) -> BalanceFigures {
    let start = TimePoint(1_000_000);
    let targets = (0..SPEEDS.len()).map(|at| CandidateTarget {
        name: format!("target-{at}").into(),
        slots: SLOTS,
        is_near: true,
        is_suspect: false,
    });
    let mut gates = vec![GateState::new(SLOTS, QUEUE_LIMIT); SPEEDS.len()];
    for gate in &mut gates {
        gate.reopen(SLOTS, start);
    }
    let mut play = BalancePlay {
        rule,
        report_ms,
        start,
        now: start,
        targets: targets.collect(),
        gates,
        daemons: (0..DAEMONS).map(|at| DaemonView::new(SPEEDS.len(), at)).collect(),
        calls: HashMap::new(),
        events: BinaryHeap::new(),
        rng: SmallRng::seed_from_u64(seed),
        waits_ms: Vec::new(),
        counts: PlayCounts {
            call_ms: vec![0; SPEEDS.len()],
            ..PlayCounts::default()
        },
    };
    play.schedule(shape, load);
    play.run();
    play.figures()
}

impl BalancePlay {
    fn schedule(&mut self, shape: DemandShape, load: f64) {
        let per_ms = load * SPEEDS.iter().sum::<f64>() * f64::from(SLOTS) / RUN_MS;
        for ms in 0..PLAY_MS {
            let at = self.start.after_ms(ms);
            let expected = per_ms * shape.factor(ms);
            let count = expected as u32 + u32::from(self.rng.random::<f64>() < expected.fract());
            (0..count).for_each(|_| self.events.push(Reverse((at, PlayEvent::Arrive))));
            if ms % 50 == 0 {
                self.events.push(Reverse((at, PlayEvent::Tick)));
            }
            if self.report_ms == 0 {
                continue;
            }
            for target in 0..SPEEDS.len() {
                let turn_ms = target as u64 * self.report_ms / SPEEDS.len() as u64;
                if (ms + turn_ms).is_multiple_of(self.report_ms) {
                    self.events.push(Reverse((at, PlayEvent::Report { target })));
                }
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.count_time(at);
            self.now = at;
            match event {
                PlayEvent::End { target, ticket } => self.end(target, ticket),
                PlayEvent::Report { target } => self.report(target, 0..DAEMONS),
                PlayEvent::Arrive => self.arrive(),
                PlayEvent::Tick => {
                    for target in 0..self.gates.len() {
                        let outcomes = self.gates[target].tick(self.now);
                        self.apply(target, outcomes);
                    }
                }
            }
        }
    }

    fn is_counted(&self) -> bool {
        self.now >= self.start.after_ms(WARM_UP_MS) && self.now < self.start.after_ms(PLAY_MS)
    }

    /// Counts the time since the last event, in which nothing has changed.
    fn count_time(&mut self, until: TimePoint) {
        let passed_ms = until.ms_since(self.now);
        if passed_ms == 0 || !self.is_counted() {
            return;
        }
        let counts = &mut self.counts;
        counts.counted_ms += passed_ms;
        if self.gates.iter().any(|gate| gate.waiting() > 0) {
            let has_idle = self.gates.iter().any(|gate| gate.in_flight() == 0);
            let has_room = self.gates.iter().any(|gate| gate.in_flight() < SLOTS);
            counts.beside_idle_ms += passed_ms * u64::from(has_idle);
            counts.beside_room_ms += passed_ms * u64::from(has_room);
        }
        for (total, gate) in counts.call_ms.iter_mut().zip(&self.gates) {
            *total += passed_ms * (u64::from(gate.in_flight()) + gate.waiting() as u64);
        }
    }

    fn report(&mut self, target: usize, daemons: std::ops::Range<usize>) {
        let load = self.gates[target].load("route", 0, self.now);
        for daemon in &mut self.daemons[daemons] {
            daemon.learn(&self.targets[target], target, load, self.now);
        }
    }

    fn arrive(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        if self.report_ms == 0 {
            (0..self.targets.len()).for_each(|target| self.report(target, daemon..daemon + 1));
        }
        let is_counted = u64::from(self.is_counted());
        self.counts.offered += is_counted;
        let useful_until = self.now.after_ms(USEFUL_MS);
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIED {
            let view = &mut self.daemons[daemon];
            let useful = (USEFUL_MS as f64, self.now);
            let Some(at) = view.choose(self.rule, &self.targets, &tried, useful, &mut self.rng) else {
                return;
            };
            tried.push(at);
            self.counts.attempts += is_counted;
            let deadline = self.now.after_ms(DEADLINE_MS);
            let arrival = GateArrival {
                route: "route".into(),
                priority: 0,
                useful_until,
                deadline,
                start_by: deadline,
                is_nested: false,
            };
            let (admission, evicted) = self.gates[at].arrive(arrival, self.now);
            self.apply(at, evicted.into_iter().collect());
            let (GateAdmission::Run(ticket) | GateAdmission::Wait(ticket)) = admission else {
                self.daemons[daemon].record_refusal(&self.targets[at], self.now);
                continue;
            };
            self.daemons[daemon].begin(&self.targets[at], at);
            let call = PlayedCall {
                daemon,
                arrived_at: self.now,
                started_at: self.now,
            };
            self.calls.insert((at, ticket), call);
            if let GateAdmission::Run(_) = admission {
                self.start(at, ticket);
            }
            return;
        }
    }

    fn start(&mut self, target: usize, ticket: TicketId) {
        let Some(call) = self.calls.get_mut(&(target, ticket)) else {
            return;
        };
        call.started_at = self.now;
        let mean = (RUN_MS / SPEEDS[target]).ln() - RUN_SPREAD * RUN_SPREAD / 2.0;
        let work = LogNormal::new(mean, RUN_SPREAD).expect("the spread of run times is finite");
        let ends_at = self
            .now
            .after_ms(work.sample(&mut self.rng).round().max(1.0) as u64);
        self.events
            .push(Reverse((ends_at, PlayEvent::End { target, ticket })));
    }

    fn end(&mut self, target: usize, ticket: TicketId) {
        let Some(call) = self.calls.remove(&(target, ticket)) else {
            return;
        };
        self.daemons[call.daemon].end(&self.targets[target], target);
        let is_counted = call.arrived_at >= self.start.after_ms(WARM_UP_MS);
        if is_counted {
            self.waits_ms.push(call.started_at.ms_since(call.arrived_at));
            self.counts.in_time += u64::from(self.now.ms_since(call.arrived_at) <= USEFUL_MS);
        }
        let ran_ms = self.now.ms_since(call.started_at) as f64;
        let outcomes = self.gates[target].finish(ticket, Some(ran_ms), self.now);
        self.apply(target, outcomes);
    }

    fn apply(&mut self, target: usize, outcomes: Vec<DequeueOutcome>) {
        for outcome in outcomes {
            match outcome {
                DequeueOutcome::Run(ticket) => self.start(target, ticket),
                DequeueOutcome::Refuse(ticket, _) => {
                    if let Some(call) = self.calls.remove(&(target, ticket)) {
                        self.daemons[call.daemon].end(&self.targets[target], target);
                    }
                }
            }
        }
    }

    fn figures(mut self) -> BalanceFigures {
        self.waits_ms.sort_unstable();
        let quantile = |fraction: f64| {
            let at = (self.waits_ms.len() as f64 * fraction) as usize;
            self.waits_ms.get(at).copied().unwrap_or_default()
        };
        let counts = &self.counts;
        let share = |ms: u64| ms as f64 / counts.counted_ms.max(1) as f64;
        let largest = counts.call_ms.iter().copied().max().unwrap_or_default() as f64;
        let mean = counts.call_ms.iter().sum::<u64>() as f64 / counts.call_ms.len() as f64;
        let offered = counts.offered.max(1) as f64;
        BalanceFigures {
            largest_over_mean: largest / mean.max(1.0),
            queues_beside_idle: share(counts.beside_idle_ms),
            queues_beside_room: share(counts.beside_room_ms),
            wait_p50_ms: quantile(0.5),
            wait_p99_ms: quantile(0.99),
            in_time: counts.in_time as f64 / offered,
            attempts: counts.attempts as f64 / offered,
        }
    }
}
