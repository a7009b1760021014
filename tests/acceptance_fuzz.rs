//! Stateful fuzzing of configuration writes: concurrent operators write to a store that is down or slow, executes
//! a timed-out write late, beside its retry, and loses answers after a write took effect.
//!
//! Invariants: the accepted versions form one chain, each accepted change is in it exactly once, and no refused change
//! is in it.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        clock::TimePoint,
        config::{
            ConfigHead, ConfigTables, EditRequest, MovePolicy, PoolEntry, PoolShare, RepeatRule, RouteEntry,
            TableEdit,
        },
        store::{ChangeWriter, StoreValue, WriteEvent, WriteStep},
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
    std::collections::VecDeque,
};

const OPERATORS: usize = 3;
const DEADLINE_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
enum Action {
    /// An operator starts a change if it has none in progress.
    Start {
        operator: usize,
        entry: u8,
        checks_base: bool,
    },
    /// The store receives the operator's call and executes it unless it is down.
    Serve { operator: usize, down: bool },
    /// The answer reaches the operator, or is lost.
    Answer { operator: usize, lost: bool },
    /// A swap of the operator that timed out arrives late and takes effect if its index still matches.
    LateWrite { operator: usize },
    /// Time passes.
    Wait { ms: u64 },
}

fn action() -> impl Strategy<Value = Action> {
    let operator = 0..OPERATORS;
    prop_oneof![
        3 => (operator.clone(), any::<u8>(), any::<bool>())
            .prop_map(|(operator, entry, checks_base)| Action::Start { operator, entry, checks_base }),
        6 => (operator.clone(), prop::bool::weighted(0.2)).prop_map(|(operator, down)| Action::Serve { operator, down }),
        6 => (operator.clone(), prop::bool::weighted(0.3)).prop_map(|(operator, lost)| Action::Answer { operator, lost }),
        2 => operator.prop_map(|operator| Action::LateWrite { operator }),
        1 => (1..900_u64).prop_map(|ms| Action::Wait { ms }),
    ]
}

stateless_reference!(Action, action());

impl StateMachineTest for StoreSimulation {
    type SystemUnderTest = Self;
    type Reference = StatelessReference;

    fn init_test(_: &StatelessReference) -> Self {
        Self::new()
    }

    fn apply(mut simulation: Self, _: &StatelessReference, action: Action) -> Self {
        simulation.apply_action(action);
        simulation
    }

    fn check_invariants(simulation: &Self, _: &StatelessReference) {
        simulation.check();
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Accepted(u64),
    Refused,
    /// Gave up at the deadline; `maybe_made` if a write was attempted, so that the change may be in the chain.
    Open {
        maybe_made: bool,
    },
}

#[derive(Debug)]
struct Operator {
    change_id: String,
    writer: ChangeWriter,
    step: WriteStep,
    answer: Option<WriteEvent>,
    /// Swaps that timed out before the store received them; the network may still deliver them.
    late: VecDeque<(Vec<u8>, u64)>,
}

/// A store and the operators that write to it concurrently.
struct StoreSimulation {
    now: TimePoint,
    index: u64,
    value: Option<StoreValue>,
    chain: Vec<ConfigHead>,
    operators: Vec<Option<Operator>>,
    outcomes: Vec<(String, Outcome)>,
    started: usize,
}

impl StoreSimulation {
    fn new() -> Self {
        Self {
            now: TimePoint(1_000),
            index: 0,
            value: None,
            chain: Vec::new(),
            operators: (0..OPERATORS).map(|_| None).collect(),
            outcomes: Vec::new(),
            started: 0,
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Start {
                operator,
                entry,
                checks_base,
            } => self.start_write(operator, entry, checks_base),
            Action::Serve { operator, down } => self.serve(operator, down),
            Action::Answer { operator, lost } => self.answer(operator, lost),
            Action::LateWrite { operator } => self.deliver_late_write(operator),
            Action::Wait { ms } => self.now = self.now.after_ms(ms),
        }
    }

    fn start_write(&mut self, operator: usize, entry: u8, checks_base: bool) {
        if self.operators[operator].is_some() {
            return;
        }
        self.started += 1;
        let change_id = format!("change-{}", self.started);
        let base_version = checks_base.then(|| self.chain.last().map_or(0, |head| head.version));
        let request = EditRequest {
            change_id: change_id.as_str().into(),
            base_version,
            author: format!("operator-{operator}").into(),
            message: "fuzz".into(),
            at: self.now,
            edit: TableEdit::Replace {
                tables: tables(entry),
                again: true,
            },
        };
        let writer = ChangeWriter::new(request, self.now.after_ms(DEADLINE_MS));
        let late = VecDeque::new();
        self.operators[operator] = Some(Operator {
            change_id,
            writer,
            step: WriteStep::Read,
            answer: None,
            late,
        });
    }

    fn serve(&mut self, number: usize, down: bool) {
        let Some(mut operator) = self.operators[number].take() else {
            return;
        };
        if operator.answer.is_none() {
            operator.answer = Some(match &operator.step {
                _ if down => WriteEvent::Failed,
                WriteStep::Swap { head, index, .. } => WriteEvent::Swapped(self.swap(head.clone(), *index)),
                _ => WriteEvent::Value(self.value.clone()),
            });
        }
        self.operators[number] = Some(operator);
    }

    fn answer(&mut self, number: usize, lost: bool) {
        let Some(mut operator) = self.operators[number].take() else {
            return;
        };
        let event = match operator.answer.take() {
            Some(event) if !lost => event,
            Some(_) => WriteEvent::Failed,
            None => {
                // The call timed out before the store received it; a write may still arrive.
                if let WriteStep::Swap { head, index, .. } = &operator.step {
                    operator.late.push_back((head.clone(), *index));
                }
                WriteEvent::Failed
            }
        };
        operator.step = operator.writer.handle(event, self.now);
        let outcome = match &operator.step {
            WriteStep::Done { version } => Some(Outcome::Accepted(*version)),
            WriteStep::Refused(_) => Some(Outcome::Refused),
            WriteStep::GaveUp { maybe_made } => Some(Outcome::Open {
                maybe_made: *maybe_made,
            }),
            _ => None,
        };
        match outcome {
            Some(outcome) => {
                self.outcomes.push((operator.change_id.clone(), outcome));
                // Writes still in the network can arrive after the operator has its result.
                while let Some((head, index)) = operator.late.pop_front() {
                    self.swap(head, index);
                }
            }
            None => self.operators[number] = Some(operator),
        }
    }

    fn deliver_late_write(&mut self, number: usize) {
        let write = self.operators[number]
            .as_mut()
            .and_then(|operator| operator.late.pop_front());
        if let Some((head, index)) = write {
            self.swap(head, index);
        }
    }

    fn swap(&mut self, head: Vec<u8>, index: u64) -> bool {
        if self.value.as_ref().map_or(0, |value| value.index) != index {
            return false;
        }
        self.index += 1;
        self.chain
            .push(ConfigHead::open(&head).expect("every written head is valid"));
        self.value = Some(StoreValue {
            data: head,
            index: self.index,
        });
        true
    }

    fn check(&self) {
        for (number, head) in self.chain.iter().enumerate() {
            assert_eq!(
                head.version,
                number as u64 + 1,
                "the accepted versions do not form a chain"
            );
        }
        for (change_id, outcome) in &self.outcomes {
            let made: Vec<u64> = self
                .chain
                .iter()
                .filter(|head| made_by(head, change_id))
                .map(|head| head.version)
                .collect();
            match outcome {
                Outcome::Accepted(version) => assert_eq!(made, [*version], "{change_id} was accepted"),
                Outcome::Refused => assert!(made.is_empty(), "{change_id} was refused but is in the chain"),
                Outcome::Open { maybe_made: false } => {
                    assert!(
                        made.is_empty(),
                        "{change_id} was never written but is in the chain"
                    );
                }
                Outcome::Open { maybe_made: true } => assert!(made.len() <= 1, "{change_id} was made twice"),
            }
        }
    }
}

fn made_by(head: &ConfigHead, change_id: &str) -> bool {
    head.changes
        .last()
        .is_some_and(|note| &*note.change_id == change_id)
}

fn tables(entry: u8) -> ConfigTables {
    let mut tables = ConfigTables::default();
    let pool = PoolEntry {
        service: format!("service-{}", entry % 5).into(),
        version: "v1".into(),
        finish_by: None,
        policy: MovePolicy::Prompt,
        cold_calls_per_s: None,
    };
    tables.pools.insert("pool".into(), pool);
    let route = RouteEntry {
        path: format!("/{}", entry % 7).into(),
        methods: Vec::new(),
        pools: PoolShare::whole("pool"),
        repeat: RepeatRule::ByMethod,
        timeout_ms: 1_000 + u64::from(entry),
        ..RouteEntry::default()
    };
    tables.routes.insert("route".into(), route);
    tables
}

prop_state_machine! {
    #![proptest_config(fuzz_config(300))]

    #[test]
    fn nothing_accepted_is_lost_and_nothing_refused_appears(sequential 1..150 => StoreSimulation);
}
