//! Stateful fuzzing of the request decisions: the call plan, the target selector, the retry budget and the gates,
//! against an oracle that counts runs at the targets.
//!
//! The test simulates one proxy and several gates, without sockets. In any order, answers can be late, misrouted,
//! truncated, missing or rejections, callers can cancel calls, and gates can drain or crash.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        call::{
            AttemptOutcome, CallOutcome, CallPlan, CallRules, CallStep, CandidateTarget, RetryBudget,
            TargetCriteria, TargetSelector, choose_version,
        },
        clock::TimePoint,
        config::{CompiledPool, MoveOrder, MovePolicy, PoolEntry},
        gate::{DequeueOutcome, GateAdmission, GateArrival, GateState, TicketId},
    },
    proptest::{prelude::*, strategy::Union},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    rand::{SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

const TARGETS: usize = 3;
const SLOTS: u32 = 2;
const QUEUE: usize = 2;
const TIMEOUT_MS: u64 = 1_000;
const ATTEMPTS: u32 = 3;
/// Number of retries that the checks allow in addition to half a retry per call. The budget gains a tenth of a retry
/// per call, but retries of requests that reached no target cost less than one.
const INITIAL_RETRIES: usize = 80;

/// One of the two attempts of a call that may be in flight.
#[derive(Debug, Clone, Copy)]
struct AttemptKey {
    call: usize,
    index: usize,
}

/// Result of a run at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RunEnd {
    Answered,
    Failed,
    /// The target answers that it has not run the request.
    Rejected,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    /// A caller sends a call.
    Call { repeatable: bool, buffered: bool },
    /// The request of an attempt reaches its gate, or the connection fails.
    Deliver { key: AttemptKey, connects: bool },
    /// The target ends its run of an attempt, or rejects it.
    EndRun { key: AttemptKey, end: RunEnd },
    /// The answer of an ended run reaches the proxy, complete or truncated.
    Answer { key: AttemptKey, cut: bool },
    /// The connection of an attempt breaks.
    Break { key: AttemptKey },
    /// Time passes.
    Wait { ms: u64 },
    /// A gate drains.
    Drain { target: usize },
    /// A target and its gate crash and restart without calls.
    Kill { target: usize },
    /// A caller cancels its call.
    Cancel { call: usize },
}

/// Reference state: the number of calls started, to which actions can refer.
#[derive(Debug, Clone)]
struct CallCount(usize);

impl ReferenceStateMachine for CallCount {
    type State = Self;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self(0)).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Action> {
        let new_call = (any::<bool>(), prop::bool::weighted(0.8));
        let mut actions = vec![
            (
                6,
                new_call
                    .prop_map(|(repeatable, buffered)| Action::Call { repeatable, buffered })
                    .boxed(),
            ),
            (4, (1..700_u64).prop_map(|ms| Action::Wait { ms }).boxed()),
            (
                1,
                (0..TARGETS).prop_map(|target| Action::Drain { target }).boxed(),
            ),
            (1, (0..TARGETS).prop_map(|target| Action::Kill { target }).boxed()),
        ];
        if state.0 > 0 {
            // Only recent calls may still be in flight.
            let call = state.0.saturating_sub(8)..state.0;
            let key = (call.clone(), 0..2_usize).prop_map(|(call, index)| AttemptKey { call, index });
            let (mostly_true, rarely_true) = (prop::bool::weighted(0.85), prop::bool::weighted(0.2));
            let ends = prop_oneof![
                8 => Just(RunEnd::Answered),
                2 => Just(RunEnd::Failed),
                1 => Just(RunEnd::Rejected),
            ];
            let deliver =
                (key.clone(), mostly_true).prop_map(|(key, connects)| Action::Deliver { key, connects });
            let end = (key.clone(), ends).prop_map(|(key, end)| Action::EndRun { key, end });
            let answer = (key.clone(), rarely_true).prop_map(|(key, cut)| Action::Answer { key, cut });
            actions.push((8, deliver.boxed()));
            actions.push((6, end.boxed()));
            actions.push((6, answer.boxed()));
            actions.push((2, key.prop_map(|key| Action::Break { key }).boxed()));
            actions.push((1, call.prop_map(|call| Action::Cancel { call }).boxed()));
        }
        Union::new_weighted(actions).boxed()
    }

    fn apply(state: Self, action: &Action) -> Self {
        Self(state.0 + usize::from(matches!(action, Action::Call { .. })))
    }
}

impl StateMachineTest for CallSimulation {
    type SystemUnderTest = Self;
    type Reference = CallCount;

    fn init_test(_: &CallCount) -> Self {
        Self::new()
    }

    fn apply(mut simulation: Self, _: &CallCount, action: Action) -> Self {
        simulation.apply_action(action);
        simulation
    }

    fn check_invariants(simulation: &Self, _: &CallCount) {
        simulation.check();
    }

    fn teardown(mut simulation: Self, _: CallCount) {
        // Every call in flight ends by its deadline.
        for _ in 0..8 {
            simulation.wait(TIMEOUT_MS);
            simulation.check();
        }
        assert!(
            simulation
                .calls
                .iter()
                .all(|call| call.result != CallResult::Pending),
            "a call never ended"
        );
    }
}

/// Progress of an attempt.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Sent, but not yet at the gate.
    Sent,
    /// Queued at the gate.
    Queued(TicketId),
    /// Running at the target.
    Running(TicketId),
    /// The target has answered; the answer names the call that it belongs to.
    Ended { belongs_to: usize, end: RunEnd },
    /// The connection is broken, so no answer arrives.
    Lost,
}

#[derive(Debug)]
struct Attempt {
    target: usize,
    stage: Stage,
}

/// What the caller has received for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallResult {
    Pending,
    Answer,
    Refused(CallOutcome),
    Cancelled,
}

#[derive(Debug)]
struct Call {
    plan: CallPlan,
    repeatable: bool,
    priority: u8,
    attempts: [Option<Attempt>; 2],
    result: CallResult,
    runs: u32,
    /// Number of attempts that reached a target.
    arrivals: u32,
    has_answer: bool,
}

/// One proxy, its calls and the gates of the targets.
struct CallSimulation {
    now: TimePoint,
    gates: Vec<GateState>,
    calls: Vec<Call>,
    selector: TargetSelector,
    budget: RetryBudget,
    retries: usize,
    rng: SmallRng,
}

impl CallSimulation {
    fn new() -> Self {
        let now = TimePoint(1_000_000);
        let gates = (0..TARGETS).map(|_| open_gate(now)).collect();
        Self {
            now,
            gates,
            calls: Vec::new(),
            selector: TargetSelector::default(),
            budget: RetryBudget::default(),
            retries: 0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Call { repeatable, buffered } => self.start_call(repeatable, buffered),
            Action::Deliver { key, connects } => self.deliver(key, connects),
            Action::EndRun { key, end } => self.end_run(key, end),
            Action::Answer { key, cut } => self.answer(key, cut),
            Action::Break { key } => self.break_connection(key),
            Action::Wait { ms } => self.wait(ms),
            Action::Drain { target } => {
                let outcomes = self.gates[target].drain();
                self.apply_dequeued(target, outcomes);
            }
            Action::Kill { target } => self.kill(target),
            Action::Cancel { call } => self.cancel_call(call),
        }
    }

    fn start_call(&mut self, repeatable: bool, buffered: bool) {
        let plan = CallPlan::new(CallRules {
            repeatable,
            resendable: buffered,
            attempts: ATTEMPTS,
            deadline: self.now.after_ms(TIMEOUT_MS),
        });
        let step = plan.begin(&mut self.budget, self.now);
        self.calls.push(Call {
            plan,
            repeatable,
            priority: (self.calls.len() % 3) as u8,
            attempts: [None, None],
            result: CallResult::Pending,
            runs: 0,
            arrivals: 0,
            has_answer: false,
        });
        self.perform_step(self.calls.len() - 1, step);
    }

    /// Performs a step as the daemon does.
    fn perform_step(&mut self, call: usize, step: CallStep) {
        match step {
            CallStep::Wait => {}
            CallStep::Answer => {
                assert!(
                    self.calls[call].has_answer,
                    "call {call} is answered without an answer"
                );
                self.end_call(call, CallResult::Answer);
            }
            CallStep::Refuse { outcome, .. } => self.end_call(call, CallResult::Refused(outcome)),
            CallStep::Send => self.send(call),
        }
    }

    fn send(&mut self, call: usize) {
        let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
        let tried = self.calls[call].plan.tried().to_vec();
        let Ok(chosen) = self.selector.choose(
            &candidates,
            &tried,
            TargetCriteria::default(),
            &mut self.rng,
            self.now,
        ) else {
            let step = self.calls[call].plan.after_no_target(self.calls[call].has_answer);
            return self.perform_step(call, step);
        };
        let name = Arc::clone(&chosen.name);
        self.retries += usize::from(!tried.is_empty());
        let target = candidates
            .iter()
            .position(|candidate| candidate.name == name)
            .unwrap();
        let now = self.now;
        let call = &mut self.calls[call];
        call.plan.record_attempt(name, now);
        let index = call.attempts.iter().position(Option::is_none);
        call.attempts[index.expect("more than two attempts are in flight")] = Some(Attempt {
            target,
            stage: Stage::Sent,
        });
    }

    /// Ends a call and cancels its attempts in flight, as the daemon does.
    fn end_call(&mut self, call: usize, result: CallResult) {
        self.calls[call].result = result;
        for index in 0..2 {
            let key = AttemptKey { call, index };
            self.release(key);
            self.calls[call].attempts[index] = None;
        }
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let call = key.call;
        let Some(attempt) = self.calls[call].attempts[key.index].take() else {
            return;
        };
        let name = candidate(attempt.target).name;
        match outcome {
            AttemptOutcome::Answered => self.selector.record_success(&name, 1.0),
            AttemptOutcome::NotRun => self.selector.record_full(&name, 0, self.now),
            _ => drop(self.selector.record_failure(&name, self.now)),
        }
        self.calls[call].has_answer |= matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
        let step = self.calls[call]
            .plan
            .after_attempt(outcome, &mut self.budget, self.now);
        self.perform_step(call, step);
    }

    fn stage(&self, key: AttemptKey) -> Option<(usize, Stage)> {
        let attempt = self.calls.get(key.call)?.attempts[key.index].as_ref()?;
        Some((attempt.target, attempt.stage.clone()))
    }

    fn keys(&self) -> impl Iterator<Item = AttemptKey> + use<> {
        let calls = 0..self.calls.len();
        calls.flat_map(|call| (0..2).map(move |index| AttemptKey { call, index }))
    }

    fn set_stage(&mut self, key: AttemptKey, stage: Stage) {
        if let Some(attempt) = &mut self.calls[key.call].attempts[key.index] {
            attempt.stage = stage;
        }
    }

    fn deliver(&mut self, key: AttemptKey, connects: bool) {
        let Some((target, Stage::Sent)) = self.stage(key) else {
            return;
        };
        if !connects {
            return self.end_attempt(key, AttemptOutcome::NotRun);
        }
        let deadline = self.calls[key.call].plan.deadline();
        let arrival = GateArrival {
            route: "route".into(),
            priority: self.calls[key.call].priority,
            useful_until: deadline,
            deadline,
            start_by: deadline,
            is_nested: false,
        };
        let (admission, evicted) = self.gates[target].arrive(arrival, self.now);
        match admission {
            GateAdmission::Run(ticket) => self.run(key, ticket),
            GateAdmission::Wait(ticket) => self.set_stage(key, Stage::Queued(ticket)),
            GateAdmission::Refuse(_) => self.end_attempt(key, AttemptOutcome::NotRun),
        }
        self.apply_dequeued(target, evicted.into_iter().collect());
    }

    fn run(&mut self, key: AttemptKey, ticket: TicketId) {
        self.calls[key.call].runs += 1;
        self.calls[key.call].arrivals += 1;
        self.set_stage(key, Stage::Running(ticket));
    }

    fn apply_dequeued(&mut self, target: usize, outcomes: Vec<DequeueOutcome>) {
        for outcome in outcomes {
            let (ticket, runs) = match outcome {
                DequeueOutcome::Run(ticket) => (ticket, true),
                DequeueOutcome::Refuse(ticket, _) => (ticket, false),
            };
            let waiting = self.keys().find(|key| {
                self.stage(*key)
                    .is_some_and(|(at, stage)| at == target && stage == Stage::Queued(ticket))
            });
            match (waiting, runs) {
                (Some(key), true) => self.run(key, ticket),
                (Some(key), false) => self.end_attempt(key, AttemptOutcome::NotRun),
                // A call that ended while several were dequeued releases its slot.
                (None, true) => {
                    let outcomes = self.gates[target].finish(ticket, None, self.now);
                    self.apply_dequeued(target, outcomes);
                }
                (None, false) => {}
            }
        }
    }

    fn end_run(&mut self, key: AttemptKey, end: RunEnd) {
        let Some((target, Stage::Running(ticket))) = self.stage(key) else {
            return;
        };
        if end == RunEnd::Rejected {
            self.calls[key.call].runs -= 1;
        }
        let belongs_to = key.call;
        self.set_stage(key, Stage::Ended { belongs_to, end });
        let outcomes = self.gates[target].finish(ticket, Some(20.0), self.now);
        self.apply_dequeued(target, outcomes);
    }

    fn answer(&mut self, key: AttemptKey, cut: bool) {
        let Some((_, Stage::Ended { belongs_to, end })) = self.stage(key) else {
            return;
        };
        assert_eq!(belongs_to, key.call, "an answer reached another call");
        let outcome = match (cut, end) {
            (true, _) => AttemptOutcome::Broken,
            (false, RunEnd::Failed) => AttemptOutcome::Failed,
            (false, RunEnd::Rejected) => AttemptOutcome::Rejected,
            (false, RunEnd::Answered) => AttemptOutcome::Answered,
        };
        self.end_attempt(key, outcome);
    }

    /// Releases the slot or queue place of an attempt, as the gate does when the connection closes.
    fn release(&mut self, key: AttemptKey) {
        let Some((target, stage)) = self.stage(key) else {
            return;
        };
        self.set_stage(key, Stage::Lost);
        let outcomes = match stage {
            Stage::Queued(ticket) => {
                self.gates[target].abandon(ticket);
                Vec::new()
            }
            Stage::Running(ticket) => self.gates[target].finish(ticket, None, self.now),
            _ => Vec::new(),
        };
        self.apply_dequeued(target, outcomes);
    }

    fn break_connection(&mut self, key: AttemptKey) {
        if self.stage(key).is_some() {
            self.release(key);
            self.end_attempt(key, AttemptOutcome::Broken);
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        for target in 0..TARGETS {
            let outcomes = self.gates[target].tick(self.now);
            self.apply_dequeued(target, outcomes);
        }
        for call in 0..self.calls.len() {
            if self.calls[call].result == CallResult::Pending && self.calls[call].plan.hedge_at() <= self.now
            {
                let step = self.calls[call].plan.hedge(&mut self.budget, self.now);
                self.perform_step(call, step);
            }
        }
        for key in self.keys() {
            if self.stage(key).is_some() && self.calls[key.call].plan.deadline() <= self.now {
                self.release(key);
                self.end_attempt(key, AttemptOutcome::Stalled);
            }
        }
    }

    fn kill(&mut self, target: usize) {
        self.gates[target] = open_gate(self.now);
        for key in self.keys() {
            let Some((at, stage)) = self.stage(key) else {
                continue;
            };
            if at == target && stage != Stage::Sent {
                self.set_stage(key, Stage::Lost);
                self.end_attempt(key, AttemptOutcome::Broken);
            }
        }
    }

    fn cancel_call(&mut self, call: usize) {
        if self
            .calls
            .get(call)
            .is_some_and(|call| call.result == CallResult::Pending)
        {
            self.end_call(call, CallResult::Cancelled);
        }
    }

    fn check(&self) {
        for (number, call) in self.calls.iter().enumerate() {
            if !call.repeatable {
                assert!(
                    call.runs <= 1,
                    "call {number} may not be repeated and ran {} times",
                    call.runs
                );
            }
            if call.result == CallResult::Refused(CallOutcome::NotRun) {
                assert_eq!(call.runs, 0, "call {number} was refused as not run but ran");
            }
            if call.result == CallResult::Answer {
                assert!(call.runs >= 1, "call {number} was answered but did not run");
            }
            assert!(
                call.arrivals <= ATTEMPTS,
                "call {number} reached {} targets",
                call.arrivals
            );
            let is_open = call.attempts.iter().any(Option::is_some);
            assert_eq!(
                is_open,
                call.result == CallResult::Pending,
                "call {number} is neither in flight nor ended"
            );
        }
        for (target, gate) in self.gates.iter().enumerate() {
            let running = self.running_at(target);
            assert_eq!(
                gate.in_flight(),
                running,
                "the in-flight count of gate {target} differs from the running calls"
            );
            assert!(
                running <= SLOTS,
                "target {target} runs more calls than it has slots"
            );
        }
        let allowed = INITIAL_RETRIES + self.calls.len() / 2;
        assert!(
            self.retries <= allowed,
            "{} retries of {} calls",
            self.retries,
            self.calls.len()
        );
    }

    fn running_at(&self, target: usize) -> u32 {
        let running = |key: &AttemptKey| {
            self.stage(*key)
                .is_some_and(|(at, stage)| at == target && matches!(stage, Stage::Running(_)))
        };
        self.keys().filter(running).count() as u32
    }
}

fn open_gate(now: TimePoint) -> GateState {
    let mut gate = GateState::new(SLOTS, QUEUE);
    gate.open(now);
    gate
}

fn candidate(number: usize) -> CandidateTarget {
    CandidateTarget {
        name: format!("t{number}").into(),
        slots: SLOTS,
        is_near: true,
        is_suspect: false,
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    #[test]
    fn no_call_runs_twice_or_gets_a_false_outcome(sequential 1..120 => CallSimulation);
}

#[test]
fn retry_budget_limits_retries_over_eight_hops() {
    // After the initial tokens are spent, each hop may send a tenth more calls than it gets; 1.1 to the power of 8 is
    // 2.14.
    let calls = 100_000_u64;
    let mut arriving = calls;
    for _ in 0..8 {
        let mut budget = RetryBudget::default();
        let mut sent = 0;
        for _ in 0..arriving {
            budget.add_call();
            sent += 1 + u64::from(budget.take_retry());
        }
        arriving = sent;
    }
    assert!(
        arriving < calls * 22 / 10,
        "{calls} calls became {arriving} at the eighth hop"
    );
}

#[test]
fn target_is_chosen_even_if_all_are_ejected() {
    let mut selector = TargetSelector::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = TimePoint(1_000);
    let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
    for target in &candidates {
        for _ in 0..10 {
            selector.record_failure(&target.name, now);
        }
    }
    assert!(
        candidates
            .iter()
            .all(|target| selector.is_ejected(&target.name, now))
    );
    assert!(
        selector
            .choose(&candidates, &[], TargetCriteria::default(), &mut rng, now)
            .is_ok(),
        "no target was chosen although all are alive"
    );
}

#[test]
fn ejected_target_gets_no_calls_while_another_is_left() {
    let mut selector = TargetSelector::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = TimePoint(1_000);
    let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
    for _ in 0..3 {
        selector.record_failure(&candidates[0].name, now);
    }
    for _ in 0..200 {
        let chosen = selector
            .choose(&candidates, &[], TargetCriteria::default(), &mut rng, now)
            .unwrap();
        assert_ne!(chosen.name, candidates[0].name);
    }
}

#[test]
fn new_version_is_the_fallback_only_without_old_targets() {
    let order = MoveOrder {
        id: 2,
        from: "v1".into(),
        to: "v2".into(),
        opened_at: TimePoint(0),
        finish_by: TimePoint(600_000),
        policy: MovePolicy::Prompt,
    };
    let entry = PoolEntry {
        service: "booking".into(),
        version: "v2".into(),
        finish_by: Some(order.finish_by),
        policy: order.policy,
        cold_calls_per_s: None,
    };
    let pool = CompiledPool {
        name: "booking".into(),
        entry,
        order: Some(order),
    };
    let versions = |share, draw, no_old_targets| {
        let choice = choose_version(&pool, share, draw, no_old_targets);
        (
            choice.version.to_string(),
            choice.fallback.map(|version| version.to_string()),
        )
    };
    assert_eq!(versions(0.3, 0.2, false), ("v2".into(), Some("v1".into())));
    assert_eq!(versions(0.3, 0.4, false), ("v1".into(), None));
    // A proxy without a clearance can get one only from a gate of the new version.
    assert_eq!(versions(0.0, 0.4, true), ("v1".into(), Some("v2".into())));
}
