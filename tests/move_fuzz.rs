//! Stateful fuzzing of moves: controllers are killed, suspended and resumed, two hold one move concurrently, the store
//! is down or loses replies, gates restart.
//!
//! Invariants: at most one verdict takes effect; a move that was taken back stays taken back; a gate whose lease has
//! expired or whose move was stopped admits no call to the new version; the epoch at a gate never decreases.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        clock::TimePoint,
        config::{
            ConfigHead, ConfigTables, EditRequest, HeadEdit, MoveOrder, MovePolicy, MoveVerdict, PoolEntry,
            TableEdit, apply_edit,
        },
        moves::{
            GateLease, GateReport, LEASE_MS, MoveController, MoveEffect, PollReply, RouteEvidence,
            TakeoverState,
        },
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
};

const DAEMONS: usize = 3;
const GATES: usize = 3;
const MOVE_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
enum Action {
    /// Time passes.
    Wait { ms: u64 },
    /// A daemon checks the gates and takes over the move if it is free.
    TakeOver { daemon: usize },
    /// A daemon's controller polls one gate.
    Poll { daemon: usize, gate: usize },
    /// A daemon's controller evaluates the window and attempts to write a verdict.
    Tick { daemon: usize, store_down: bool },
    /// A daemon is killed along with its controller.
    Kill { daemon: usize },
    /// A gate's daemon restarts with empty memory.
    RestartGate { gate: usize },
    /// A third of the new version's calls fail from now on, or none.
    SetNewFailing { is_new_failing: bool },
}

fn action() -> impl Strategy<Value = Action> {
    let (daemon, gate) = (0..DAEMONS, 0..GATES);
    prop_oneof![
        6 => prop_oneof![Just(100_u64), Just(500), Just(3_000), Just(20_000)].prop_map(|ms| Action::Wait { ms }),
        2 => daemon.clone().prop_map(|daemon| Action::TakeOver { daemon }),
        8 => (daemon.clone(), gate.clone()).prop_map(|(daemon, gate)| Action::Poll { daemon, gate }),
        6 => (daemon.clone(), prop::bool::weighted(0.4))
            .prop_map(|(daemon, store_down)| Action::Tick { daemon, store_down }),
        1 => daemon.prop_map(|daemon| Action::Kill { daemon }),
        1 => gate.prop_map(|gate| Action::RestartGate { gate }),
        1 => any::<bool>().prop_map(|is_new_failing| Action::SetNewFailing { is_new_failing }),
    ]
}

stateless_reference!(Action, action());

#[derive(Debug, Default)]
struct Gate {
    lease: GateLease,
    counts: RouteEvidence,
    instance: u64,
    /// When a controller last renewed the lease.
    renewed_at: TimePoint,
    /// Whether this gate ever held a clearance that stops the new version.
    was_stopped: bool,
    epoch: u64,
}

/// One move: its record in the store, the gates and the controllers of the daemons.
struct MoveSimulation {
    now: TimePoint,
    head: ConfigHead,
    order: MoveOrder,
    gates: Vec<Gate>,
    controllers: Vec<Option<MoveController>>,
    is_new_failing: bool,
    verdicts: Vec<MoveVerdict>,
}

impl MoveSimulation {
    fn new() -> Self {
        let now = TimePoint(1_000_000);
        let mut head = ConfigHead::default();
        for (version, at) in [("v1", now), ("v2", now)] {
            head = change(
                &head,
                TableEdit::Replace {
                    tables: tables(version),
                    again: false,
                },
                at,
            )
            .unwrap();
        }
        let order = head.moves["booking"].clone();
        let gates = (0..GATES).map(|_| Gate::default()).collect();
        let controllers = (0..DAEMONS).map(|_| None).collect();
        Self {
            now,
            head,
            order,
            gates,
            controllers,
            is_new_failing: false,
            verdicts: Vec::new(),
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Wait { ms } => self.wait(ms),
            Action::TakeOver { daemon } => self.take_over(daemon),
            Action::Poll { daemon, gate } => self.poll(daemon, gate),
            Action::Tick { daemon, store_down } => self.tick(daemon, store_down),
            Action::Kill { daemon } => self.controllers[daemon] = None,
            Action::RestartGate { gate } => {
                self.gates[gate] = Gate {
                    instance: self.now.0,
                    ..Gate::default()
                };
            }
            Action::SetNewFailing { is_new_failing } => self.is_new_failing = is_new_failing,
        }
    }

    /// Advances the clock and counts calls at the gates. The first gate has the old version, the others the new one.
    fn wait(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        for number in 0..GATES {
            let is_new = number > 0;
            let gate = &mut self.gates[number];
            let runs = if is_new && !gate.lease.admits(self.order.id, self.now) {
                0
            } else {
                ms / 20
            };
            for call in 0..runs {
                let failed = is_new && self.is_new_failing && call % 3 == 0;
                gate.counts.add_call(failed, 5.0);
            }
        }
    }

    fn reply(&self, gate: usize, accepted: bool) -> PollReply {
        let version = if gate == 0 { "v1" } else { "v2" };
        let gate_state = &self.gates[gate];
        PollReply {
            report: GateReport {
                gate: format!("gate-{gate}").into(),
                instance: gate_state.instance,
                version: version.into(),
                is_serving: true,
                slots: 12,
                in_flight: 1,
                routes: [("route".into(), gate_state.counts.clone())]
                    .into_iter()
                    .collect(),
            },
            held: gate_state.lease.held(self.order.id).cloned(),
            lease_left_ms: gate_state.lease.left_ms(self.now),
            accepted,
            recent: Vec::new(),
        }
    }

    fn take_over(&mut self, daemon: usize) {
        if self.controllers[daemon].is_some() || !self.is_open() {
            return;
        }
        let replies: Vec<PollReply> = (0..GATES).map(|gate| self.reply(gate, false)).collect();
        let name = format!("daemon-{daemon}");
        let (takeover, held) = MoveController::takeover_state(&replies, &name);
        if takeover == TakeoverState::Free {
            let controller = MoveController::new(self.order.clone(), name.into(), held.as_ref(), self.now);
            self.controllers[daemon] = Some(controller);
        }
    }

    fn poll(&mut self, daemon: usize, gate: usize) {
        let Some(clearance) = self.controllers[daemon]
            .as_ref()
            .map(|controller| controller.clearance().clone())
        else {
            return;
        };
        let state = &mut self.gates[gate];
        let accepted = state.lease.renew(clearance.clone(), self.now);
        if accepted {
            assert!(
                clearance.epoch >= state.epoch,
                "the epoch of a gate decreased from {} to {}",
                state.epoch,
                clearance.epoch
            );
            assert!(
                clearance.stopped || !state.was_stopped,
                "a share was cleared for a stopped version"
            );
            state.epoch = clearance.epoch;
            state.renewed_at = self.now;
            state.was_stopped |= clearance.stopped;
        }
        let reply = self.reply(gate, accepted);
        let own = self.controllers[daemon].as_mut().unwrap();
        let is_held_by_other = reply
            .held
            .as_ref()
            .is_some_and(|held| !accepted && held.holder != own.clearance().holder);
        if is_held_by_other {
            self.controllers[daemon] = None;
        } else {
            own.add_report(reply.report, self.now);
        }
    }

    fn tick(&mut self, daemon: usize, store_down: bool) {
        let Some(controller) = self.controllers[daemon].as_mut() else {
            return;
        };
        for effect in controller.tick(self.now) {
            if let MoveEffect::Decide { verdict, reason } = effect
                && !store_down
            {
                let edit = TableEdit::Close {
                    pool: "booking".into(),
                    move_id: self.order.id,
                    verdict,
                    reason,
                };
                if let Some(head) = change(&self.head, edit, self.now) {
                    self.head = head;
                    self.verdicts.push(verdict);
                }
            }
        }
    }

    fn is_open(&self) -> bool {
        self.head.moves.contains_key("booking")
    }

    fn check(&self) {
        assert!(
            self.verdicts.len() <= 1,
            "verdicts {:?} took effect",
            self.verdicts
        );
        if let Some(verdict) = self.verdicts.first() {
            let serving = &*self.head.pools["booking"].entry.version;
            let expected = if *verdict == MoveVerdict::Done { "v2" } else { "v1" };
            assert_eq!(serving, expected, "the pool's version doesn't match the verdict");
        }
        for gate in &self.gates[1..] {
            let admits = gate.lease.admits(self.order.id, self.now);
            assert!(!(admits && gate.was_stopped), "a stopped version receives calls");
            let has_expired = self.now.ms_since(gate.renewed_at) >= LEASE_MS;
            assert!(
                !(admits && has_expired),
                "a version receives calls after the lease expired"
            );
        }
    }
}

impl StateMachineTest for MoveSimulation {
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

    fn teardown(mut simulation: Self, _: StatelessReference) {
        // With one daemon alive, and with gates and store up, the move must end within twice its length from here on.
        (1..DAEMONS).for_each(|daemon| simulation.controllers[daemon] = None);
        for _ in 0..2 * MOVE_MS / 500 {
            simulation.wait(500);
            simulation.take_over(0);
            (0..GATES).for_each(|gate| simulation.poll(0, gate));
            simulation.tick(0, false);
            simulation.check();
        }
        assert!(!simulation.is_open(), "the move did not end");
    }
}

fn change(head: &ConfigHead, edit: TableEdit, at: TimePoint) -> Option<ConfigHead> {
    let request = EditRequest {
        change_id: format!("change-{}-{}", head.version, at.0).into(),
        base_version: None,
        author: "fuzz".into(),
        message: "fuzz".into(),
        at,
        edit,
    };
    match apply_edit(head, &request) {
        Ok(HeadEdit::Next(edit)) => Some(edit.head),
        Ok(HeadEdit::Present { .. }) | Err(_) => None,
    }
}

fn tables(version: &str) -> ConfigTables {
    let mut tables = ConfigTables::default();
    let pool = PoolEntry {
        service: "booking".into(),
        version: version.into(),
        finish_by: Some(TimePoint(1_000_000 + MOVE_MS)),
        policy: MovePolicy::Cautious,
        cold_calls_per_s: None,
    };
    tables.pools.insert("booking".into(), pool);
    tables
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    #[test]
    fn one_verdict_takes_effect_and_stops_are_final(sequential 1..120 => MoveSimulation);
}
