//! Stateful fuzzing of membership: datagrams are lost, delayed, doubled and reordered, daemons freeze, die,
//! restart, leave and are cut off in one direction.
//!
//! Oracle: once faults end, every living daemon is seen as present by all, every dead or leaving one is not given
//! work, and a daemon that lives and can be reached is never held for dead while nothing is lost.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        clock::TimePoint,
        member::{
            MemberEffect, MemberRecord, MemberState, MemberStatus, ProbeKind, ProbeMessage, TargetRecord,
            TargetStatus,
        },
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
    std::{collections::HashSet, net::SocketAddr, sync::Arc},
};

const DAEMONS: usize = 5;
const STEP_MS: u64 = 50;
/// Time after the last fault within which the views must be right: a probe round over all daemons, the suspicion
/// time and the spread of the news.
const SETTLE_MS: u64 = 40_000;

#[derive(Debug, Clone, Copy)]
enum Action {
    /// Time passes.
    Run { steps: u8 },
    /// A daemon takes nothing in and sends nothing until it thaws; its datagrams wait.
    Freeze { daemon: usize },
    /// A frozen daemon goes on.
    Thaw { daemon: usize },
    /// A daemon dies.
    Kill { daemon: usize },
    /// A dead daemon starts again with empty memory.
    Start { daemon: usize },
    /// A daemon's target starts to leave.
    Leave { daemon: usize },
    /// Datagrams from one daemon to another are lost from now on.
    Cut { from: usize, to: usize },
    /// All cuts end.
    Heal,
    /// A datagram on its way is sent twice.
    Double,
}

fn action() -> impl Strategy<Value = Action> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        8 => (1..200_u8).prop_map(|steps| Action::Run { steps }),
        1 => daemon.clone().prop_map(|daemon| Action::Freeze { daemon }),
        1 => daemon.clone().prop_map(|daemon| Action::Thaw { daemon }),
        1 => daemon.clone().prop_map(|daemon| Action::Kill { daemon }),
        2 => daemon.clone().prop_map(|daemon| Action::Start { daemon }),
        1 => daemon.clone().prop_map(|daemon| Action::Leave { daemon }),
        2 => (daemon.clone(), daemon).prop_map(|(from, to)| Action::Cut { from, to }),
        1 => Just(Action::Heal),
        2 => Just(Action::Double),
    ]
}

stateless_reference!(Action, action());

struct Daemon {
    state: Option<MemberState>,
    is_frozen: bool,
    is_leaving: bool,
    has_joined: bool,
}

struct World {
    now: TimePoint,
    daemons: Vec<Daemon>,
    /// Datagrams on their way: sender, receiver, message.
    wire: Vec<(usize, usize, ProbeMessage)>,
    cuts: HashSet<(usize, usize)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: TimePoint(1_000_000),
            daemons: Vec::new(),
            wire: Vec::new(),
            cuts: HashSet::new(),
        };
        for _ in 0..DAEMONS {
            world.daemons.push(Daemon {
                state: None,
                is_frozen: false,
                is_leaving: false,
                has_joined: false,
            });
        }
        for daemon in 0..DAEMONS {
            world.start(daemon);
        }
        world
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Run { steps } => (0..steps).for_each(|_| self.step()),
            Action::Freeze { daemon } => self.daemons[daemon].is_frozen = true,
            Action::Thaw { daemon } => self.daemons[daemon].is_frozen = false,
            Action::Kill { daemon } => self.daemons[daemon].state = None,
            Action::Start { daemon } => self.start(daemon),
            Action::Leave { daemon } => self.leave(daemon),
            Action::Cut { from, to } => drop(self.cuts.insert((from, to))),
            Action::Heal => self.cuts.clear(),
            Action::Double => {
                if let Some(datagram) = self.wire.first().cloned() {
                    self.wire.push(datagram);
                }
            }
        }
    }

    fn start(&mut self, number: usize) {
        if self.daemons[number].state.is_some() {
            return;
        }
        let mut state = MemberState::new(record(number, self.now), number as u64 + self.now.0, self.now);
        let effects = state.set_target_status(TargetStatus::Serving);
        self.daemons[number] = Daemon {
            state: Some(state),
            is_frozen: false,
            is_leaving: false,
            has_joined: false,
        };
        self.carry_out(number, effects);
        self.try_join(number);
    }

    /// A daemon joins by anti-entropy with every configured peer that it can reach, as the control thread does
    /// until one has answered.
    fn try_join(&mut self, number: usize) {
        for peer in (0..DAEMONS).filter(|peer| *peer != number) {
            self.daemons[number].has_joined |= self.sync(number, peer);
        }
    }

    /// Runs anti-entropy with a peer. Returns false if the peer can't be reached.
    fn sync(&mut self, number: usize, peer: usize) -> bool {
        let is_cut = self.cuts.contains(&(number, peer)) || self.cuts.contains(&(peer, number));
        let is_away = is_cut || self.daemons[peer].is_frozen || self.daemons[peer].state.is_none();
        let Some(mut state) = self.daemons[number].state.take().filter(|_| number != peer) else {
            return false;
        };
        let Some(other) = self.daemons[peer].state.as_mut().filter(|_| !is_away) else {
            self.daemons[number].state = Some(state);
            return false;
        };
        let (reply, effects) = other.answer_sync(state.sync_request(Vec::new()), self.now);
        self.carry_out(peer, effects);
        let (_, effects) = state.finish_sync(reply, self.now);
        self.daemons[number].state = Some(state);
        self.carry_out(number, effects);
        true
    }

    fn leave(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        if let Some(state) = daemon.state.as_mut().filter(|_| !daemon.is_frozen) {
            daemon.is_leaving = true;
            let effects = state.set_target_status(TargetStatus::Leaving);
            self.carry_out(number, effects);
        }
    }

    fn step(&mut self) {
        self.now = self.now.after_ms(STEP_MS);
        let wire = std::mem::take(&mut self.wire);
        for (from, to, message) in wire {
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            let daemon = &mut self.daemons[to];
            if daemon.is_frozen {
                self.wire.push((from, to, message));
            } else if let Some(state) = &mut daemon.state {
                let effects = state.receive(address(from), message, self.now);
                self.carry_out(to, effects);
            }
        }
        for number in 0..DAEMONS {
            if !self.daemons[number].has_joined && !self.daemons[number].is_frozen {
                self.try_join(number);
            }
            let daemon = &mut self.daemons[number];
            if let Some(state) = daemon.state.as_mut().filter(|_| !daemon.is_frozen) {
                let effects = state.tick(self.now);
                self.carry_out(number, effects);
            }
        }
    }

    fn carry_out(&mut self, from: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.wire.push((from, daemon_at(to), message)),
                MemberEffect::Sync { with } => drop(self.sync(from, daemon_at(with))),
                _ => {}
            }
        }
    }

    /// Ends every fault and lets the views settle.
    fn settle(&mut self) {
        self.cuts.clear();
        for daemon in &mut self.daemons {
            daemon.is_frozen = false;
        }
        for _ in 0..SETTLE_MS / STEP_MS {
            self.step();
        }
    }

    fn check_views(&self) {
        for (viewer, daemon) in self.daemons.iter().enumerate() {
            let Some(view) = &daemon.state else { continue };
            for (number, other) in self
                .daemons
                .iter()
                .enumerate()
                .filter(|(number, _)| *number != viewer)
            {
                let seen = view.others().find(|record| record.control == address(number));
                let gets_work = seen.is_some_and(|record| {
                    record.status.is_present() && record.target.status == TargetStatus::Serving
                });
                let deserves_work = other.state.is_some() && !other.is_leaving;
                assert_eq!(
                    gets_work, deserves_work,
                    "daemon {viewer} sees daemon {number} as {seen:?}"
                );
            }
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = StatelessReference;

    fn init_test(_: &StatelessReference) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, _: &StatelessReference, action: Action) -> Self {
        world.act(action);
        world
    }

    fn teardown(mut world: Self, _: StatelessReference) {
        world.settle();
        world.check_views();
    }
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + daemon as u16))
}

fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}

fn record(number: usize, now: TimePoint) -> MemberRecord {
    MemberRecord {
        name: format!("daemon-{number}").into(),
        incarnation: now.0,
        status: MemberStatus::Alive,
        control: address(number),
        gate: address(number + 1_000),
        operators: address(number + 2_000),
        region: "region".into(),
        data_centre: "centre".into(),
        target: TargetRecord {
            id: "t".into(),
            born: 0,
            service: "booking".into(),
            version: "v1".into(),
            slots: 12,
            status: TargetStatus::Starting,
        },
        applied: 0,
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    #[test]
    fn the_living_get_work_and_the_dead_and_leaving_do_not(sequential 1..40 => World);
}

#[test]
fn leaving_target_gets_no_new_work_after_three_seconds() {
    let mut world = World::new();
    (0..200).for_each(|_| world.step());
    world.leave(2);
    (0..3_000 / STEP_MS).for_each(|_| world.step());
    world.check_views();
}

#[test]
fn slow_daemon_is_not_held_for_dead() {
    let mut world = World::new();
    (0..200).for_each(|_| world.step());
    for _ in 0..10 {
        world.daemons[1].is_frozen = true;
        for _ in 0..3_000 / STEP_MS {
            world.step();
            assert_present(&world, 1);
        }
        world.daemons[1].is_frozen = false;
        (0..2_000 / STEP_MS).for_each(|_| world.step());
        assert_present(&world, 1);
    }
}

/// Every other daemon sees one as present.
fn assert_present(world: &World, number: usize) {
    for (viewer, daemon) in world
        .daemons
        .iter()
        .enumerate()
        .filter(|(viewer, _)| *viewer != number)
    {
        let view = daemon.state.as_ref().unwrap();
        let seen = view
            .others()
            .find(|record| record.control == address(number))
            .unwrap();
        assert!(
            seen.status.is_present(),
            "daemon {viewer} holds the slow daemon for {:?}",
            seen.status
        );
    }
}

#[test]
fn one_way_cut_does_not_kill_a_daemon_that_others_reach() {
    let mut world = World::new();
    (0..200).for_each(|_| world.step());
    world.cuts.insert((0, 1));
    for _ in 0..30_000 / STEP_MS {
        world.step();
        let view = world.daemons[0].state.as_ref().unwrap();
        let seen = view.others().find(|record| record.control == address(1)).unwrap();
        assert_eq!(
            seen.status,
            MemberStatus::Alive,
            "a daemon that others reach came under suspicion"
        );
    }
    world.check_views();
}

#[test]
fn two_halves_find_each_other_after_an_hour() {
    let mut world = World::new();
    (0..200).for_each(|_| world.step());
    for (a, b) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        world.cuts.insert((a, b));
        world.cuts.insert((b, a));
    }
    (0..3_600_000 / STEP_MS).for_each(|_| world.step());
    world.settle();
    world.check_views();
}

#[test]
fn successor_learns_what_was_applied_under_its_name() {
    let mut world = World::new();
    (0..200).for_each(|_| world.step());
    let effects = world.daemons[3].state.as_mut().unwrap().set_applied(42);
    world.carry_out(3, effects);
    world.step();
    world.daemons[3].state = None;
    let mut successor = MemberState::new(record(3, world.now.after_ms(1)), 9, world.now);
    let mut floor = 0;
    let own = successor.own().name.to_string();
    for peer in 0..3 {
        let state = world.daemons[peer].state.as_mut().unwrap();
        let (reply, _) = state.answer_sync(successor.sync_request(Vec::new()), world.now);
        let (_, effects) = successor.finish_sync(reply, world.now);
        for effect in effects {
            if let MemberEffect::Floor { version } = effect {
                floor = floor.max(version);
            }
        }
    }
    assert_eq!(floor, 42, "no peer told {own} what it had applied");
}

#[test]
fn next_process_hears_of_a_departed_target_though_peers_knew_it_before_it_asked() {
    let mut world = World::new();
    world.act(Action::Run { steps: 40 });
    let departed = |state: &MemberState| TargetRecord {
        born: 500,
        status: TargetStatus::Departed,
        ..state.own().target.clone()
    };
    let state = world.daemons[0].state.as_mut().unwrap();
    let effects = state.set_target(departed(state));
    world.carry_out(0, effects);
    world.act(Action::Run { steps: 40 });

    // A peer probes the new process before that has asked for what others know.
    let mut next = MemberState::new(record(0, world.now), 1, world.now);
    let answer = next.receive(address(1), ping_of(&world, 1), world.now);
    let news: Vec<MemberEffect> = answer
        .into_iter()
        .filter_map(|effect| match effect {
            MemberEffect::Send { message, .. } => Some(message),
            _ => None,
        })
        .flat_map(|message| {
            let peer = world.daemons[1].state.as_mut().unwrap();
            peer.receive(address(0), message, world.now)
        })
        .collect();
    let told = news.into_iter().filter_map(|effect| match effect {
        MemberEffect::Send { to, message } if to == address(0) => Some(message),
        _ => None,
    });
    let heard: Vec<MemberEffect> = told
        .flat_map(|message| next.receive(address(1), message, world.now))
        .collect();
    let is_recalled = |effect: &MemberEffect| matches!(effect, MemberEffect::DepartedTarget { target } if target.born == 500);
    assert!(
        heard.iter().any(is_recalled),
        "nobody told of the departed target: {heard:?}"
    );
}

/// Returns a ping as the daemon sends it.
fn ping_of(world: &World, number: usize) -> ProbeMessage {
    let state = world.daemons[number].state.as_ref().unwrap();
    ProbeMessage {
        from: Arc::clone(&state.own().name),
        applied: 0,
        kind: ProbeKind::Ping { seq: 1 },
        updates: Vec::new(),
    }
}
