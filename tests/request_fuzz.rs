//! Stateful fuzzing of the request decisions: the call plan, the target book, the retry budget and the gates,
//! against an oracle that counts runs at the targets.
//!
//! The driver carries calls between one proxy and several gates by hand, so that answers can be late, crossed,
//! cut, silent or shed, callers can go away, and gates can drain or die in any order.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        call::{
            AttemptOutcome, CallOutcome, CallPlan, CallStep, CandidateTarget, RetryBudget, TargetBook,
            choose_version,
        },
        clock::TimePoint,
        config::{CompiledPool, MoveOrder, MovePolicy, PoolEntry},
        gate::{GateAdmission, GateState, GateWake, TicketId},
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
/// A retry budget allows at most this many retries at first, and a tenth of the calls after that.
const FIRST_RETRIES: usize = 80;

#[derive(Debug, Clone, Copy)]
enum Action {
    /// A caller sends a call.
    Call { repeatable: bool, held: bool },
    /// The request under way of a call reaches its gate, or the connection can't be made.
    Deliver { call: usize, connects: bool },
    /// The target ends its run of a call.
    EndRun { call: usize, shed: bool },
    /// The answer of an ended run reaches the proxy whole, or cut.
    Answer { call: usize, cut: bool },
    /// The connection of a call's attempt breaks.
    Break { call: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// A gate drains.
    Drain { target: usize },
    /// A target and its gate die and come back empty.
    Kill { target: usize },
    /// A caller goes away.
    GoAway { call: usize },
}

/// The oracle's state: how many calls there are to act on.
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
                    .prop_map(|(repeatable, held)| Action::Call { repeatable, held })
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
            // Recent calls are the ones that are still under way.
            let call = state.0.saturating_sub(8)..state.0;
            let (yes_mostly, yes_rarely) = (prop::bool::weighted(0.85), prop::bool::weighted(0.2));
            let deliver =
                (call.clone(), yes_mostly).prop_map(|(call, connects)| Action::Deliver { call, connects });
            let end = (call.clone(), yes_rarely).prop_map(|(call, shed)| Action::EndRun { call, shed });
            let answer = (call.clone(), yes_rarely).prop_map(|(call, cut)| Action::Answer { call, cut });
            actions.push((8, deliver.boxed()));
            actions.push((6, end.boxed()));
            actions.push((6, answer.boxed()));
            actions.push((2, call.clone().prop_map(|call| Action::Break { call }).boxed()));
            actions.push((1, call.prop_map(|call| Action::GoAway { call }).boxed()));
        }
        Union::new_weighted(actions).boxed()
    }

    fn apply(state: Self, action: &Action) -> Self {
        Self(state.0 + usize::from(matches!(action, Action::Call { .. })))
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = CallCount;

    fn init_test(_: &CallCount) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, _: &CallCount, action: Action) -> Self {
        world.act(action);
        world
    }

    fn check_invariants(world: &Self, _: &CallCount) {
        world.check();
    }

    fn teardown(mut world: Self, _: CallCount) {
        // Whatever is still under way ends by its deadline.
        for _ in 0..8 {
            world.wait(TIMEOUT_MS);
            world.check();
        }
        assert!(
            world.calls.iter().all(|call| call.told != Told::Nothing),
            "a call never ended"
        );
    }
}

/// Where the present attempt of a call is.
#[derive(Debug, Clone, PartialEq)]
enum Place {
    /// On its way to the gate.
    Sent,
    /// Waiting at the gate.
    Queued(TicketId),
    /// Running at the target.
    Running,
    /// The target has answered; the answer names the call that it belongs to.
    Ended { belongs_to: usize, shed: bool },
    /// Nothing comes any more.
    Lost,
}

#[derive(Debug)]
struct Attempt {
    target: usize,
    place: Place,
    deadline: TimePoint,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    Nothing,
    Answer,
    Refused(CallOutcome),
    Gone,
}

#[derive(Debug)]
struct Call {
    plan: CallPlan,
    repeatable: bool,
    attempt: Option<Attempt>,
    told: Told,
    runs: u32,
    in_hand: bool,
}

struct World {
    now: TimePoint,
    gates: Vec<GateState>,
    calls: Vec<Call>,
    book: TargetBook,
    budget: RetryBudget,
    retries: usize,
    rng: SmallRng,
}

impl World {
    fn new() -> Self {
        let now = TimePoint(1_000_000);
        let gates = (0..TARGETS).map(|_| open_gate(now)).collect();
        Self {
            now,
            gates,
            calls: Vec::new(),
            book: TargetBook::default(),
            budget: RetryBudget::default(),
            retries: 0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Call { repeatable, held } => self.start_call(repeatable, held),
            Action::Deliver { call, connects } => self.deliver(call, connects),
            Action::EndRun { call, shed } => self.end_run(call, shed),
            Action::Answer { call, cut } => self.answer(call, cut),
            Action::Break { call } => self.break_connection(call),
            Action::Wait { ms } => self.wait(ms),
            Action::Drain { target } => {
                let wakes = self.gates[target].drain();
                self.wake(target, wakes);
            }
            Action::Kill { target } => self.kill(target),
            Action::GoAway { call } => self.go_away(call),
        }
    }

    fn start_call(&mut self, repeatable: bool, held: bool) {
        let plan = CallPlan::new(repeatable, held, self.now.after_ms(TIMEOUT_MS));
        let step = plan.begin(&mut self.budget, self.now);
        self.calls.push(Call {
            plan,
            repeatable,
            attempt: None,
            told: Told::Nothing,
            runs: 0,
            in_hand: false,
        });
        self.follow(self.calls.len() - 1, step);
    }

    /// Does what the daemon does with a step.
    fn follow(&mut self, call: usize, step: CallStep) {
        match step {
            CallStep::Answer => self.calls[call].told = Told::Answer,
            CallStep::Refuse { outcome, .. } => self.calls[call].told = Told::Refused(outcome),
            CallStep::Send { deadline } => {
                let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
                let tried = self.calls[call].plan.tried().to_vec();
                let Some(chosen) = self.book.choose(&candidates, &tried, &mut self.rng, self.now) else {
                    let refused = self.calls[call]
                        .plan
                        .refuse(fuchsiashore::call::RefusalReason::Refused);
                    let step = if self.calls[call].in_hand {
                        CallStep::Answer
                    } else {
                        refused
                    };
                    return self.follow(call, step);
                };
                let name = Arc::clone(&chosen.name);
                self.retries += usize::from(!tried.is_empty());
                let target = candidates
                    .iter()
                    .position(|candidate| candidate.name == name)
                    .unwrap();
                self.calls[call].plan.note_attempt(name);
                self.calls[call].attempt = Some(Attempt {
                    target,
                    place: Place::Sent,
                    deadline,
                });
            }
        }
    }

    fn end_attempt(&mut self, call: usize, outcome: AttemptOutcome) {
        let Some(attempt) = self.calls[call].attempt.take() else {
            return;
        };
        let name = candidate(attempt.target).name;
        match outcome {
            AttemptOutcome::Answered => self.book.succeed(&name, 1.0, None, self.now),
            _ => drop(self.book.fail(&name, self.now)),
        }
        self.calls[call].in_hand |= matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Shed);
        let step = self.calls[call]
            .plan
            .after_attempt(outcome, &mut self.budget, self.now);
        self.follow(call, step);
    }

    fn place(&self, call: usize) -> Option<(usize, Place)> {
        let attempt = self.calls.get(call)?.attempt.as_ref()?;
        Some((attempt.target, attempt.place.clone()))
    }

    fn set_place(&mut self, call: usize, place: Place) {
        if let Some(attempt) = &mut self.calls[call].attempt {
            attempt.place = place;
        }
    }

    fn deliver(&mut self, call: usize, connects: bool) {
        let Some((target, Place::Sent)) = self.place(call) else {
            return;
        };
        if !connects {
            return self.end_attempt(call, AttemptOutcome::NotRun);
        }
        let deadline = self.calls[call].attempt.as_ref().unwrap().deadline;
        match self.gates[target].arrive(deadline, self.now) {
            GateAdmission::Run(_) => self.run(call),
            GateAdmission::Wait(ticket) => self.set_place(call, Place::Queued(ticket)),
            GateAdmission::Refuse(_) => self.end_attempt(call, AttemptOutcome::NotRun),
        }
    }

    fn run(&mut self, call: usize) {
        self.calls[call].runs += 1;
        self.set_place(call, Place::Running);
    }

    fn wake(&mut self, target: usize, wakes: Vec<GateWake>) {
        for wake in wakes {
            let (ticket, runs) = match wake {
                GateWake::Run(ticket) => (ticket, true),
                GateWake::Refuse(ticket, _) => (ticket, false),
            };
            let waiting = (0..self.calls.len()).find(|call| {
                self.place(*call)
                    .is_some_and(|(at, place)| at == target && place == Place::Queued(ticket))
            });
            let Some(call) = waiting else {
                panic!("a call that is not waiting was woken")
            };
            if runs {
                self.run(call);
            } else {
                self.end_attempt(call, AttemptOutcome::NotRun);
            }
        }
    }

    fn end_run(&mut self, call: usize, shed: bool) {
        let Some((target, Place::Running)) = self.place(call) else {
            return;
        };
        self.set_place(
            call,
            Place::Ended {
                belongs_to: call,
                shed,
            },
        );
        let wakes = self.gates[target].finish(self.now);
        self.wake(target, wakes);
    }

    fn answer(&mut self, call: usize, cut: bool) {
        let Some((_, Place::Ended { belongs_to, shed })) = self.place(call) else {
            return;
        };
        assert_eq!(belongs_to, call, "an answer reached another call");
        let outcome = match (cut, shed) {
            (true, _) => AttemptOutcome::Broken,
            (false, true) => AttemptOutcome::Shed,
            (false, false) => AttemptOutcome::Answered,
        };
        self.end_attempt(call, outcome);
    }

    /// Frees what an attempt holds at its gate: the gate sees its connection go.
    fn release(&mut self, call: usize) {
        let Some((target, place)) = self.place(call) else {
            return;
        };
        let wakes = match place {
            Place::Queued(ticket) => {
                assert!(
                    self.gates[target].abandon(ticket),
                    "a waiting call was not in the queue"
                );
                Vec::new()
            }
            Place::Running => self.gates[target].finish(self.now),
            _ => Vec::new(),
        };
        self.set_place(call, Place::Lost);
        self.wake(target, wakes);
    }

    fn break_connection(&mut self, call: usize) {
        if self.place(call).is_some() {
            self.release(call);
            self.end_attempt(call, AttemptOutcome::Broken);
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        for target in 0..TARGETS {
            let wakes = self.gates[target].tick(self.now);
            self.wake(target, wakes);
        }
        for call in 0..self.calls.len() {
            let stalled = self.calls[call]
                .attempt
                .as_ref()
                .is_some_and(|attempt| attempt.deadline <= self.now);
            if stalled {
                self.release(call);
                self.end_attempt(call, AttemptOutcome::Stalled);
            }
        }
    }

    fn kill(&mut self, target: usize) {
        self.gates[target] = open_gate(self.now);
        for call in 0..self.calls.len() {
            let Some((at, place)) = self.place(call) else {
                continue;
            };
            if at == target && place != Place::Sent {
                self.set_place(call, Place::Lost);
                self.end_attempt(call, AttemptOutcome::Broken);
            }
        }
    }

    fn go_away(&mut self, call: usize) {
        if self.place(call).is_some() {
            self.release(call);
            self.calls[call].attempt = None;
            self.calls[call].told = Told::Gone;
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
            if call.told == Told::Refused(CallOutcome::NotRun) {
                assert_eq!(call.runs, 0, "call {number} was refused as not run and ran");
            }
            if call.told == Told::Answer {
                assert!(call.runs >= 1, "call {number} was answered and did not run");
            }
            let is_open = call.attempt.is_some();
            assert_eq!(
                is_open,
                call.told == Told::Nothing,
                "call {number} is neither under way nor ended"
            );
        }
        for (target, gate) in self.gates.iter().enumerate() {
            let running = self.running_at(target);
            assert_eq!(
                gate.in_flight(),
                running,
                "gate {target} counts other calls than run"
            );
            assert!(
                running <= SLOTS,
                "target {target} runs more calls than it has slots"
            );
        }
        let allowed = FIRST_RETRIES + self.calls.len() / 2;
        assert!(
            self.retries <= allowed,
            "{} retries of {} calls",
            self.retries,
            self.calls.len()
        );
    }

    fn running_at(&self, target: usize) -> u32 {
        let running = |call: &usize| {
            self.place(*call)
                .is_some_and(|(at, place)| at == target && place == Place::Running)
        };
        (0..self.calls.len()).filter(running).count() as u32
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
    fn no_call_is_doubled_or_falsely_reported(sequential 1..120 => World);
}

#[test]
fn retry_budget_holds_over_eight_hops() {
    // Each hop may send a tenth more than it gets, after what it had saved: 1.1 to the power of 8 is 2.14.
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
fn targets_are_never_all_ejected() {
    let mut book = TargetBook::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = TimePoint(1_000);
    let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
    for target in &candidates {
        for _ in 0..10 {
            book.fail(&target.name, now);
        }
    }
    assert!(candidates.iter().all(|target| book.is_ejected(&target.name, now)));
    assert!(
        book.choose(&candidates, &[], &mut rng, now).is_some(),
        "nobody was chosen while targets live"
    );
}

#[test]
fn ejected_target_gets_no_calls_while_another_is_sound() {
    let mut book = TargetBook::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = TimePoint(1_000);
    let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
    for _ in 0..3 {
        book.fail(&candidates[0].name, now);
    }
    for _ in 0..200 {
        let chosen = book.choose(&candidates, &[], &mut rng, now).unwrap();
        assert_ne!(chosen.name, candidates[0].name);
    }
}

#[test]
fn new_version_takes_over_only_where_old_targets_are_gone() {
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
    };
    let pool = CompiledPool {
        name: "booking".into(),
        entry,
        order: Some(order),
    };
    let versions = |share, draw, old_is_gone| {
        let choice = choose_version(&pool, share, draw, old_is_gone);
        (
            choice.version.to_string(),
            choice.fallback.map(|version| version.to_string()),
        )
    };
    assert_eq!(versions(0.3, 0.2, false), ("v2".into(), Some("v1".into())));
    assert_eq!(versions(0.3, 0.4, false), ("v1".into(), None));
    // A proxy that has learnt no share yet can learn it only from a gate of the new version.
    assert_eq!(versions(0.0, 0.4, true), ("v1".into(), Some("v2".into())));
}
