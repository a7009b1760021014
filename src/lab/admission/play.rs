//! One play of a load over gates in memory.

use {
    super::{
        pattern::{CallKind, LoadPattern},
        rule::AdmissionRule,
    },
    crate::{
        clock::TimePoint,
        gate::{DequeueOutcome, GateAdmission, GateState, TicketId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp, LogNormal},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
    },
};

/// Number of targets of each service.
const GATES: usize = 3;
/// Number of calls that a target runs at once.
const SLOTS: u32 = 6;
/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 60_000;
/// Spread of the logarithm of run times.
const RUN_SPREAD: f64 = 0.5;
/// Time after which a refused caller comes back, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;
/// Time between two ticks of a gate, in milliseconds.
const TICK_MS: u64 = 50;
/// Share by which an urgent kind may be served less often than a less urgent one of its service.
const MAX_INVERSION: f64 = 0.05;

/// Figures of one kind of call.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindFigures {
    /// Calls, without those that came back.
    pub offered: u32,
    /// Calls answered before their deadline.
    pub served: u32,
    /// Calls answered within their useful time, counted from the first attempt.
    pub in_time: u32,
    /// Runs that ended for nothing, as their inner call was refused or late.
    pub wasted: u32,
}

impl KindFigures {
    pub(super) fn share(self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.offered.max(1))
    }
}

/// Figures of a load under a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionFigures {
    /// By kind of call, in the order of the load.
    pub kinds: Vec<KindFigures>,
    /// Pairs of kinds of which the more urgent one was served less often, by more than a twentieth.
    pub inversions: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    Arrive { call: usize },
    WorkDone { call: usize },
    Tick,
}

#[derive(Debug, Clone)]
struct PlayedCall {
    kind: usize,
    first_at: TimePoint,
    deadline: TimePoint,
    parent: Option<usize>,
    /// Gate and ticket while it is queued or runs.
    place: Option<(usize, TicketId)>,
    started_at: Option<TimePoint>,
    is_work_done: bool,
    is_inner_done: bool,
    has_come_back: bool,
    is_over: bool,
}

/// One play of a load.
struct AdmissionPlay<'a> {
    pattern: &'a LoadPattern,
    rule: AdmissionRule,
    now: TimePoint,
    gates: Vec<GateState>,
    calls: Vec<PlayedCall>,
    by_ticket: HashMap<(usize, TicketId), usize>,
    events: BinaryHeap<Reverse<(TimePoint, PlayEvent)>>,
    figures: Vec<KindFigures>,
    rng: SmallRng,
}

/// Plays a load at a multiple of what the targets can run, and returns who was served.
pub fn play_load(pattern: &LoadPattern, rule: AdmissionRule, load: f64, seed: u64) -> AdmissionFigures {
    let start = TimePoint(1_000_000);
    let services = 1 + pattern
        .kinds
        .iter()
        .map(|kind| kind.service)
        .max()
        .unwrap_or_default();
    let mut gates = vec![GateState::new(SLOTS, rule.queue_limit()); services * GATES];
    for gate in &mut gates {
        gate.reopen(SLOTS, start);
    }
    let mut play = AdmissionPlay {
        pattern,
        rule,
        now: start,
        gates,
        calls: Vec::new(),
        by_ticket: HashMap::new(),
        events: BinaryHeap::new(),
        figures: vec![KindFigures::default(); pattern.kinds.len()],
        rng: SmallRng::seed_from_u64(seed),
    };
    play.schedule_callers(load, start);
    play.run();
    let inversions = play.count_inversions();
    AdmissionFigures {
        kinds: play.figures,
        inversions,
    }
}

impl AdmissionPlay<'_> {
    /// Schedules the calls of all callers, so that the busiest service gets `load` times the work that it can do.
    fn schedule_callers(&mut self, load: f64, start: TimePoint) {
        let kinds = &self.pattern.kinds;
        let work_of = |service: usize| -> f64 {
            let own = kinds.iter().filter(|kind| kind.service == service);
            let own = own.map(|kind| kind.share * kind.run_ms).sum::<f64>();
            let made = kinds
                .iter()
                .filter_map(|kind| Some((kind.share, kinds[kind.inner?])));
            let made = made.filter(|(_, inner)| inner.service == service);
            own + made.map(|(share, inner)| share * inner.run_ms).sum::<f64>()
        };
        let services = self.gates.len() / GATES;
        let busiest = (0..services).map(work_of).fold(0.0, f64::max);
        let per_ms = load * (GATES as f64 * f64::from(SLOTS)) / busiest;
        let gaps = Exp::new(per_ms).expect("the rate of a load is positive");
        let mut at_ms = 0.0;
        loop {
            at_ms += gaps.sample(&mut self.rng);
            if at_ms > PLAY_MS as f64 {
                break;
            }
            let mut draw = self.rng.random::<f64>();
            let kind = kinds.iter().position(|kind| {
                draw -= kind.share;
                draw < 0.0
            });
            let at = start.after_ms(at_ms as u64);
            self.add_call(kind.unwrap_or_default(), at, at.after_ms(600_000), None);
        }
        for tick in 0..PLAY_MS / TICK_MS {
            let at = start.after_ms(tick * TICK_MS);
            self.events.push(Reverse((at, PlayEvent::Tick)));
        }
    }

    fn add_call(&mut self, kind: usize, at: TimePoint, latest: TimePoint, parent: Option<usize>) {
        let call = self.calls.len();
        self.calls.push(PlayedCall {
            kind,
            first_at: at,
            deadline: at.after_ms(self.pattern.kinds[kind].deadline_ms).min(latest),
            parent,
            place: None,
            started_at: None,
            is_work_done: false,
            is_inner_done: true,
            has_come_back: false,
            is_over: false,
        });
        self.figures[kind].offered += 1;
        self.events.push(Reverse((at, PlayEvent::Arrive { call })));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                PlayEvent::Arrive { call } => self.arrive(call),
                PlayEvent::WorkDone { call } => {
                    self.calls[call].is_work_done = true;
                    self.end_if_done(call);
                }
                PlayEvent::Tick => {
                    for gate in 0..self.gates.len() {
                        let outcomes = self.gates[gate].tick(self.now);
                        self.apply_outcomes(gate, outcomes);
                    }
                }
            }
        }
    }

    /// Offers a call to the targets of its service, the least loaded one first, until one admits it.
    fn arrive(&mut self, call: usize) {
        let PlayedCall {
            kind,
            first_at,
            deadline,
            parent,
            ..
        } = self.calls[call].clone();
        let is_nested = parent.is_some();
        if self.calls[call].is_over {
            return;
        }
        let kind = &self.pattern.kinds[kind];
        let mut gates: Vec<usize> = (0..GATES).map(|gate| kind.service * GATES + gate).collect();
        gates.sort_by_key(|gate| {
            (
                self.gates[*gate].in_flight() as usize + self.gates[*gate].waiting(),
                *gate,
            )
        });
        for gate in gates {
            let arrival = self
                .rule
                .arrival(kind, (first_at.after_ms(kind.useful_ms), deadline), is_nested);
            let (admission, evicted) = self.gates[gate].arrive(arrival, self.now);
            self.apply_outcomes(gate, evicted.into_iter().collect());
            match admission {
                GateAdmission::Run(ticket) => {
                    self.take_place(call, gate, ticket);
                    return self.start(call);
                }
                GateAdmission::Wait(ticket) => return self.take_place(call, gate, ticket),
                GateAdmission::Refuse(_) => {}
            }
        }
        self.refuse(call);
    }

    fn take_place(&mut self, call: usize, gate: usize, ticket: TicketId) {
        self.calls[call].place = Some((gate, ticket));
        self.by_ticket.insert((gate, ticket), call);
    }

    fn start(&mut self, call: usize) {
        let now = self.now;
        let (kind, deadline) = (self.calls[call].kind, self.calls[call].deadline);
        self.calls[call].started_at = Some(now);
        let CallKind { run_ms, inner, .. } = self.pattern.kinds[kind];
        let mean = run_ms.ln() - RUN_SPREAD * RUN_SPREAD / 2.0;
        let work = LogNormal::new(mean, RUN_SPREAD).expect("the spread of run times is finite");
        let ends_at = now.after_ms(work.sample(&mut self.rng).round().max(1.0) as u64);
        self.events.push(Reverse((ends_at, PlayEvent::WorkDone { call })));
        if let Some(inner) = inner {
            self.calls[call].is_inner_done = false;
            self.add_call(inner, now, deadline, Some(call));
        }
    }

    fn end_if_done(&mut self, call: usize) {
        let ended = &self.calls[call];
        if ended.is_work_done && ended.is_inner_done {
            self.end(call, true);
        }
    }

    /// Ends a run, answered or failed, and frees its slot.
    fn end(&mut self, call: usize, is_answered: bool) {
        let ended = &mut self.calls[call];
        if std::mem::replace(&mut ended.is_over, true) {
            return;
        }
        let (kind, parent) = (ended.kind, ended.parent);
        let took_ms = self.now.ms_since(ended.first_at);
        let is_served = is_answered && self.now <= ended.deadline;
        let ran_ms = ended.started_at.map(|at| self.now.ms_since(at) as f64);
        let place = ended.place.take();
        let figures = &mut self.figures[kind];
        figures.served += u32::from(is_served);
        figures.in_time += u32::from(is_served && took_ms <= self.pattern.kinds[kind].useful_ms);
        figures.wasted += u32::from(!is_answered);
        if let Some((gate, ticket)) = place {
            if !is_answered {
                self.gates[gate].fail(ticket);
            }
            let outcomes = self.gates[gate].finish(ticket, ran_ms.filter(|_| is_answered), self.now);
            self.apply_outcomes(gate, outcomes);
        }
        if let Some(parent) = parent {
            self.finish_inner(parent, is_served);
        }
    }

    fn finish_inner(&mut self, parent: usize, is_served: bool) {
        self.calls[parent].is_inner_done = true;
        if is_served {
            self.end_if_done(parent);
        } else {
            let gate = self.calls[parent].place.map(|(gate, _)| gate);
            if let Some(gate) = gate.filter(|_| self.rule == AdmissionRule::Nested) {
                self.gates[gate].record_refused_call(self.now);
            }
            self.end(parent, false);
        }
    }

    fn refuse(&mut self, call: usize) {
        let refused = &mut self.calls[call];
        let kind = &self.pattern.kinds[refused.kind];
        let back_at = self.now.after_ms(RETRY_AFTER_MS);
        if kind.comes_back && !refused.has_come_back && back_at < refused.deadline {
            refused.has_come_back = true;
            refused.place = None;
            self.events.push(Reverse((back_at, PlayEvent::Arrive { call })));
            return;
        }
        refused.is_over = true;
        if let Some(parent) = refused.parent {
            self.finish_inner(parent, false);
        }
    }

    fn apply_outcomes(&mut self, gate: usize, outcomes: Vec<DequeueOutcome>) {
        for outcome in outcomes {
            let (ticket, is_run) = match outcome {
                DequeueOutcome::Run(ticket) => (ticket, true),
                DequeueOutcome::Refuse(ticket, _) => (ticket, false),
            };
            let Some(call) = self.by_ticket.remove(&(gate, ticket)) else {
                continue;
            };
            if is_run {
                self.start(call);
            } else {
                self.refuse(call);
            }
        }
    }

    /// Counts the pairs of callers' kinds that share a service, directly or by the calls of their runs, of which the
    /// more urgent one is served less often.
    fn count_inversions(&self) -> u32 {
        let kinds = &self.pattern.kinds;
        let services = |kind: &CallKind| [Some(kind.service), kind.inner.map(|inner| kinds[inner].service)];
        let mut inversions = 0;
        for (urgent, urgent_kind) in kinds.iter().enumerate() {
            for (other, other_kind) in kinds.iter().enumerate() {
                let share_service = services(urgent_kind)
                    .into_iter()
                    .flatten()
                    .any(|service| services(other_kind).contains(&Some(service)));
                let are_callers = urgent_kind.share > 0.0 && other_kind.share > 0.0;
                if !are_callers || !share_service || urgent_kind.priority >= other_kind.priority {
                    continue;
                }
                let served = |at: usize| self.figures[at].share(self.figures[at].served);
                inversions += u32::from(served(urgent) + MAX_INVERSION < served(other));
            }
        }
        inversions
    }
}
