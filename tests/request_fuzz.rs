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
            AttemptOutcome, CallOutcome, CallPlan, CallRules, CallStep, CandidateTarget, RetryBudget,
            TargetSelector, TargetWish, choose_version,
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
/// A retry budget allows at most this many retries at first, and a tenth of the calls after that.
const FIRST_RETRIES: usize = 80;

/// One of the two attempts of a call that may be under way.
#[derive(Debug, Clone, Copy)]
struct AttemptKey {
    call: usize,
    slot: usize,
}

/// How a target ends a run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RunEnd {
    Answered,
    Failed,
    /// The target says that it has not run the request.
    Rejected,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    /// A caller sends a call.
    Call { repeatable: bool, held: bool },
    /// The request of an attempt reaches its gate, or the connection can't be made.
    Deliver { key: AttemptKey, connects: bool },
    /// The target ends its run of an attempt, or rejects it.
    EndRun { key: AttemptKey, end: RunEnd },
    /// The answer of an ended run reaches the proxy whole, or cut.
    Answer { key: AttemptKey, cut: bool },
    /// The connection of an attempt breaks.
    Break { key: AttemptKey },
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
            let key = (call.clone(), 0..2_usize).prop_map(|(call, slot)| AttemptKey { call, slot });
            let (yes_mostly, yes_rarely) = (prop::bool::weighted(0.85), prop::bool::weighted(0.2));
            let ends = prop_oneof![
                8 => Just(RunEnd::Answered),
                2 => Just(RunEnd::Failed),
                1 => Just(RunEnd::Rejected),
            ];
            let deliver =
                (key.clone(), yes_mostly).prop_map(|(key, connects)| Action::Deliver { key, connects });
            let end = (key.clone(), ends).prop_map(|(key, end)| Action::EndRun { key, end });
            let answer = (key.clone(), yes_rarely).prop_map(|(key, cut)| Action::Answer { key, cut });
            actions.push((8, deliver.boxed()));
            actions.push((6, end.boxed()));
            actions.push((6, answer.boxed()));
            actions.push((2, key.prop_map(|key| Action::Break { key }).boxed()));
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
    Ended { belongs_to: usize, end: RunEnd },
    /// Nothing comes any more.
    Lost,
}

#[derive(Debug)]
struct Attempt {
    target: usize,
    place: Place,
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
    priority: u8,
    attempts: [Option<Attempt>; 2],
    told: Told,
    runs: u32,
    /// Attempts that reached a target.
    arrivals: u32,
    in_hand: bool,
}

struct World {
    now: TimePoint,
    gates: Vec<GateState>,
    calls: Vec<Call>,
    book: TargetSelector,
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
            book: TargetSelector::default(),
            budget: RetryBudget::default(),
            retries: 0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Call { repeatable, held } => self.start_call(repeatable, held),
            Action::Deliver { key, connects } => self.deliver(key, connects),
            Action::EndRun { key, end } => self.end_run(key, end),
            Action::Answer { key, cut } => self.answer(key, cut),
            Action::Break { key } => self.break_connection(key),
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
        let plan = CallPlan::new(CallRules {
            repeatable,
            resendable: held,
            attempts: ATTEMPTS,
            deadline: self.now.after_ms(TIMEOUT_MS),
        });
        let step = plan.begin(&mut self.budget, self.now);
        self.calls.push(Call {
            plan,
            repeatable,
            priority: (self.calls.len() % 3) as u8,
            attempts: [None, None],
            told: Told::Nothing,
            runs: 0,
            arrivals: 0,
            in_hand: false,
        });
        self.follow(self.calls.len() - 1, step);
    }

    /// Does what the daemon does with a step.
    fn follow(&mut self, call: usize, step: CallStep) {
        match step {
            CallStep::Wait => {}
            CallStep::Answer => {
                assert!(
                    self.calls[call].in_hand,
                    "call {call} is answered without an answer"
                );
                self.end_call(call, Told::Answer);
            }
            CallStep::Refuse { outcome, .. } => self.end_call(call, Told::Refused(outcome)),
            CallStep::Send => self.send(call),
        }
    }

    fn send(&mut self, call: usize) {
        let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
        let tried = self.calls[call].plan.tried().to_vec();
        let Some(chosen) = self.book.choose(
            &candidates,
            &tried,
            TargetWish::default(),
            &mut self.rng,
            self.now,
        ) else {
            let step = self.calls[call].plan.lack_target(self.calls[call].in_hand);
            return self.follow(call, step);
        };
        let name = Arc::clone(&chosen.name);
        self.retries += usize::from(!tried.is_empty());
        let target = candidates
            .iter()
            .position(|candidate| candidate.name == name)
            .unwrap();
        let now = self.now;
        let call = &mut self.calls[call];
        call.plan.note_attempt(name, now);
        let slot = call.attempts.iter().position(Option::is_none);
        call.attempts[slot.expect("more than two attempts are under way")] = Some(Attempt {
            target,
            place: Place::Sent,
        });
    }

    /// Ends a call; what is still under way is given up, as the daemon does.
    fn end_call(&mut self, call: usize, told: Told) {
        self.calls[call].told = told;
        for slot in 0..2 {
            let key = AttemptKey { call, slot };
            self.release(key);
            self.calls[call].attempts[slot] = None;
        }
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let call = key.call;
        let Some(attempt) = self.calls[call].attempts[key.slot].take() else {
            return;
        };
        let name = candidate(attempt.target).name;
        match outcome {
            AttemptOutcome::Answered => self.book.succeed(&name, 1.0, None, self.now),
            AttemptOutcome::NotRun => self.book.note_full(&name, 0, self.now),
            _ => drop(self.book.fail(&name, self.now)),
        }
        self.calls[call].in_hand |= matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
        let step = self.calls[call]
            .plan
            .after_attempt(outcome, &mut self.budget, self.now);
        self.follow(call, step);
    }

    fn place(&self, key: AttemptKey) -> Option<(usize, Place)> {
        let attempt = self.calls.get(key.call)?.attempts[key.slot].as_ref()?;
        Some((attempt.target, attempt.place.clone()))
    }

    fn keys(&self) -> impl Iterator<Item = AttemptKey> + use<> {
        let calls = 0..self.calls.len();
        calls.flat_map(|call| (0..2).map(move |slot| AttemptKey { call, slot }))
    }

    fn set_place(&mut self, key: AttemptKey, place: Place) {
        if let Some(attempt) = &mut self.calls[key.call].attempts[key.slot] {
            attempt.place = place;
        }
    }

    fn deliver(&mut self, key: AttemptKey, connects: bool) {
        let Some((target, Place::Sent)) = self.place(key) else {
            return;
        };
        if !connects {
            return self.end_attempt(key, AttemptOutcome::NotRun);
        }
        let deadline = self.calls[key.call].plan.deadline();
        let arrival = GateArrival {
            priority: self.calls[key.call].priority,
            useful_until: deadline,
            deadline,
        };
        let (admission, evicted) = self.gates[target].arrive(arrival, self.now);
        match admission {
            GateAdmission::Run(_) => self.run(key),
            GateAdmission::Wait(ticket) => self.set_place(key, Place::Queued(ticket)),
            GateAdmission::Refuse(_) => self.end_attempt(key, AttemptOutcome::NotRun),
        }
        self.wake(target, evicted.into_iter().collect());
    }

    fn run(&mut self, key: AttemptKey) {
        self.calls[key.call].runs += 1;
        self.calls[key.call].arrivals += 1;
        self.set_place(key, Place::Running);
    }

    fn wake(&mut self, target: usize, wakes: Vec<DequeueOutcome>) {
        for wake in wakes {
            let (ticket, runs) = match wake {
                DequeueOutcome::Run(ticket) => (ticket, true),
                DequeueOutcome::Refuse(ticket, _) => (ticket, false),
            };
            let waiting = self.keys().find(|key| {
                self.place(*key)
                    .is_some_and(|(at, place)| at == target && place == Place::Queued(ticket))
            });
            match (waiting, runs) {
                (Some(key), true) => self.run(key),
                (Some(key), false) => self.end_attempt(key, AttemptOutcome::NotRun),
                // A call that ended while several were woken gives its slot back.
                (None, true) => {
                    let wakes = self.gates[target].finish(None, self.now);
                    self.wake(target, wakes);
                }
                (None, false) => {}
            }
        }
    }

    fn end_run(&mut self, key: AttemptKey, end: RunEnd) {
        let Some((target, Place::Running)) = self.place(key) else {
            return;
        };
        if end == RunEnd::Rejected {
            self.calls[key.call].runs -= 1;
        }
        let belongs_to = key.call;
        self.set_place(key, Place::Ended { belongs_to, end });
        let wakes = self.gates[target].finish(Some(20.0), self.now);
        self.wake(target, wakes);
    }

    fn answer(&mut self, key: AttemptKey, cut: bool) {
        let Some((_, Place::Ended { belongs_to, end })) = self.place(key) else {
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

    /// Frees what an attempt holds at its gate: the gate sees its connection go.
    fn release(&mut self, key: AttemptKey) {
        let Some((target, place)) = self.place(key) else {
            return;
        };
        self.set_place(key, Place::Lost);
        let wakes = match place {
            Place::Queued(ticket) => {
                self.gates[target].abandon(ticket);
                Vec::new()
            }
            Place::Running => self.gates[target].finish(None, self.now),
            _ => Vec::new(),
        };
        self.wake(target, wakes);
    }

    fn break_connection(&mut self, key: AttemptKey) {
        if self.place(key).is_some() {
            self.release(key);
            self.end_attempt(key, AttemptOutcome::Broken);
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        for target in 0..TARGETS {
            let wakes = self.gates[target].tick(self.now);
            self.wake(target, wakes);
        }
        for call in 0..self.calls.len() {
            if self.calls[call].told == Told::Nothing && self.calls[call].plan.hedge_at() <= self.now {
                let step = self.calls[call].plan.hedge(&mut self.budget, self.now);
                self.follow(call, step);
            }
        }
        for key in self.keys() {
            if self.place(key).is_some() && self.calls[key.call].plan.deadline() <= self.now {
                self.release(key);
                self.end_attempt(key, AttemptOutcome::Stalled);
            }
        }
    }

    fn kill(&mut self, target: usize) {
        self.gates[target] = open_gate(self.now);
        for key in self.keys() {
            let Some((at, place)) = self.place(key) else {
                continue;
            };
            if at == target && place != Place::Sent {
                self.set_place(key, Place::Lost);
                self.end_attempt(key, AttemptOutcome::Broken);
            }
        }
    }

    fn go_away(&mut self, call: usize) {
        if self
            .calls
            .get(call)
            .is_some_and(|call| call.told == Told::Nothing)
        {
            self.end_call(call, Told::Gone);
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
            assert!(
                call.arrivals <= ATTEMPTS,
                "call {number} reached {} targets",
                call.arrivals
            );
            let is_open = call.attempts.iter().any(Option::is_some);
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
        let running = |key: &AttemptKey| {
            self.place(*key)
                .is_some_and(|(at, place)| at == target && place == Place::Running)
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
    let mut book = TargetSelector::default();
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
        book.choose(&candidates, &[], TargetWish::default(), &mut rng, now)
            .is_some(),
        "nobody was chosen while targets live"
    );
}

#[test]
fn ejected_target_gets_no_calls_while_another_is_sound() {
    let mut book = TargetSelector::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = TimePoint(1_000);
    let candidates: Vec<CandidateTarget> = (0..TARGETS).map(candidate).collect();
    for _ in 0..3 {
        book.fail(&candidates[0].name, now);
    }
    for _ in 0..200 {
        let chosen = book
            .choose(&candidates, &[], TargetWish::default(), &mut rng, now)
            .unwrap();
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
