//! Stateful fuzzing of the spread between daemons: updates are lost, crossed, garbled and doubled, daemons restart
//! with empty memory, and the store is out of reach most of the time.
//!
//! Oracle: the version that a daemon name serves never falls, and what it serves is an accepted version, whole.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        clock::TimePoint,
        config::{
            ConfigHead, ConfigTables, EditRequest, HeadDelta, HeadEdit, MovePolicy, PoolEntry, PoolShare,
            RepeatRule, RouteEntry, TableEdit, apply_edit,
        },
        spread::{ConfigReply, ConfigRequest, SpreadState},
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
    std::net::SocketAddr,
};

const DAEMONS: usize = 4;

#[derive(Debug, Clone, Copy)]
enum Action {
    /// An operator's change is accepted.
    Change { entry: u8 },
    /// A daemon reads the store.
    ReadStore { daemon: usize, garbled: bool },
    /// A daemon asks a peer; the answer is on its way.
    Pull { daemon: usize, peer: usize },
    /// An answer on its way arrives; it may be garbled, doubled or for an older state.
    Arrive {
        daemon: usize,
        garbled: bool,
        again: bool,
    },
    /// Answers on their way change their order.
    Cross { daemon: usize },
    /// A daemon is killed and its successor asks some peers what it had applied.
    Restart { daemon: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let daemon = 0..DAEMONS;
    let rarely = || prop::bool::weighted(0.15);
    prop_oneof![
        3 => any::<u8>().prop_map(|entry| Action::Change { entry }),
        2 => (daemon.clone(), rarely()).prop_map(|(daemon, garbled)| Action::ReadStore { daemon, garbled }),
        6 => (daemon.clone(), daemon.clone()).prop_map(|(daemon, peer)| Action::Pull { daemon, peer }),
        6 => (daemon.clone(), rarely(), rarely())
            .prop_map(|(daemon, garbled, again)| Action::Arrive { daemon, garbled, again }),
        2 => daemon.clone().prop_map(|daemon| Action::Cross { daemon }),
        1 => daemon.prop_map(|daemon| Action::Restart { daemon }),
    ]
}

stateless_reference!(Action, action());

struct Daemon {
    state: SpreadState,
    /// Version in force now; 0 while the process serves nothing.
    serving: u64,
    /// Highest version that any process of this name has served.
    highest: u64,
    inbox: Vec<(usize, ConfigReply)>,
}

struct World {
    accepted: Vec<ConfigHead>,
    daemons: Vec<Daemon>,
}

impl World {
    fn new() -> Self {
        let daemon = || Daemon {
            state: joined(),
            serving: 0,
            highest: 0,
            inbox: Vec::new(),
        };
        Self {
            accepted: Vec::new(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Change { entry } => self.change(entry),
            Action::ReadStore { daemon, garbled } => {
                let Some(mut head) = self.accepted.last().cloned() else {
                    return;
                };
                garble_head(&mut head, garbled);
                let offer = self.daemons[daemon].state.offer_stored(head);
                self.put_in_force(daemon, offer.map(|table| table.version).ok());
            }
            Action::Pull { daemon, peer } => {
                let head = self.daemons[daemon].state.head();
                let request = ConfigRequest {
                    version: head.map_or(0, |head| head.version),
                    digest: head.map_or(0, |head| head.digest),
                    whole: false,
                };
                let reply =
                    ConfigReply::answer(&request, self.daemons[peer].state.head().map(|head| &**head));
                self.daemons[daemon].inbox.push((peer, reply));
            }
            Action::Arrive {
                daemon,
                garbled,
                again,
            } => self.arrive(daemon, garbled, again),
            Action::Cross { daemon } => self.daemons[daemon].inbox.reverse(),
            Action::Restart { daemon } => self.restart(daemon),
        }
    }

    fn change(&mut self, entry: u8) {
        let head = self.accepted.last().cloned().unwrap_or_default();
        let request = EditRequest {
            change_id: format!("change-{}", self.accepted.len()).into(),
            base_version: None,
            author: "fuzz".into(),
            message: "fuzz".into(),
            at: TimePoint(1_000),
            edit: TableEdit::Replace {
                tables: tables(entry),
                again: true,
            },
        };
        if let Ok(HeadEdit::Next(edit)) = apply_edit(&head, &request) {
            let next = edit.head.seal().expect("small heads fit").0;
            if let Some(delta) = HeadDelta::between(head.version, head.digest, &next) {
                assert_eq!(delta.apply(&head).expect("a delta fits its base"), next);
            }
            self.accepted.push(next);
        }
    }

    fn arrive(&mut self, daemon: usize, garbled: bool, again: bool) {
        if self.daemons[daemon].inbox.is_empty() {
            return;
        }
        let (peer, mut reply) = self.daemons[daemon].inbox.remove(0);
        if again {
            self.daemons[daemon].inbox.push((peer, reply.clone()));
        }
        match &mut reply {
            ConfigReply::Nothing => {}
            ConfigReply::Whole(head) => garble_head(head, garbled),
            ConfigReply::Delta(delta) if garbled => {
                delta.routes.pop();
                delta.version += 1;
            }
            ConfigReply::Delta(_) => {}
        }
        let offer = self.daemons[daemon].state.finish_pull(address(peer), reply);
        self.put_in_force(daemon, offer.and_then(Result::ok).map(|table| table.version));
    }

    fn put_in_force(&mut self, daemon: usize, version: Option<u64>) {
        let daemon = &mut self.daemons[daemon];
        if let Some(version) = version {
            assert!(
                version > daemon.serving,
                "a daemon went from version {} to {version}",
                daemon.serving
            );
            assert!(
                version >= daemon.highest,
                "a successor serves {version} after {}",
                daemon.highest
            );
            daemon.serving = version;
            daemon.highest = version;
        }
    }

    /// The successor joins: peers tell what was applied under its name, and it must not serve below that.
    fn restart(&mut self, number: usize) {
        let highest = self.daemons[number].highest;
        let daemon = &mut self.daemons[number];
        daemon.state = SpreadState::default();
        daemon.serving = 0;
        daemon.inbox.clear();
        // An old answer of the former process arrives while the successor still joins.
        if let Some(oldest) = self.accepted.first().cloned() {
            let early = self.daemons[number].state.offer(oldest);
            assert!(early.is_err(), "a joining daemon took an offer over");
        }
        let daemon = &mut self.daemons[number];
        daemon.state.raise_floor(highest);
        let offer = daemon.state.join();
        self.put_in_force(number, offer.and_then(Result::ok).map(|table| table.version));
    }

    fn check(&self) {
        for daemon in &self.daemons {
            let Some(head) = daemon.state.head() else {
                assert_eq!(daemon.serving, 0);
                continue;
            };
            assert_eq!(
                daemon.serving, head.version,
                "a daemon serves another version than it holds"
            );
            let accepted = &self.accepted[head.version as usize - 1];
            assert_eq!(&**head, accepted, "a daemon serves what was never accepted whole");
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

    fn check_invariants(world: &Self, _: &StatelessReference) {
        world.check();
    }

    fn teardown(mut world: Self, _: StatelessReference) {
        // Without the store, anti-entropy brings every daemon to the newest version that any of them has, but for
        // those whose predecessor had applied a still newer one.
        let newest = world
            .daemons
            .iter()
            .map(|daemon| daemon.state.version())
            .max()
            .unwrap_or(0);
        exchange_all(&mut world);
        for daemon in &world.daemons {
            let is_held_back = daemon.state.floor() > newest;
            assert!(
                is_held_back || daemon.state.version() == newest,
                "anti-entropy left a daemon behind"
            );
        }
        // With one daemon at the store, all of them have the newest accepted version.
        world.act(Action::ReadStore {
            daemon: 0,
            garbled: false,
        });
        exchange_all(&mut world);
        let accepted = world.accepted.len() as u64;
        for daemon in &world.daemons {
            assert_eq!(
                daemon.state.version(),
                accepted,
                "an accepted version did not reach a daemon"
            );
        }
        world.check();
    }
}

fn exchange_all(world: &mut World) {
    for daemon in 0..DAEMONS {
        world.daemons[daemon].inbox.clear();
        for peer in 0..DAEMONS {
            // Twice, as a delta that does not fit is followed by a pull of the whole value.
            pull_as_daemon(world, daemon, peer);
            pull_as_daemon(world, daemon, peer);
        }
    }
}

/// Pulls as the daemon does: a delta first, the whole value where the delta did not fit.
fn pull_as_daemon(world: &mut World, daemon: usize, peer: usize) {
    let version = world.daemons[peer].state.version();
    world.daemons[daemon]
        .state
        .note_newer(address(peer), version, TimePoint(0));
    let Some(source) = world.daemons[daemon].state.next_pull(TimePoint(u64::MAX / 2)) else {
        return;
    };
    let reply = ConfigReply::answer(
        &source.request,
        world.daemons[peer].state.head().map(|head| &**head),
    );
    let offer = world.daemons[daemon].state.finish_pull(source.from, reply);
    world.put_in_force(daemon, offer.and_then(Result::ok).map(|table| table.version));
}

fn joined() -> SpreadState {
    let mut state = SpreadState::default();
    assert!(state.join().is_none());
    state
}

fn garble_head(head: &mut ConfigHead, garbled: bool) {
    if garbled {
        head.routes.pop();
        head.version += 1;
    }
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + daemon as u16))
}

/// Tables whose entries come, go and change with the bits of `entry`.
fn tables(entry: u8) -> ConfigTables {
    let mut tables = ConfigTables::default();
    for number in 0..4_u8 {
        if entry >> number & 1 == 1 {
            let pool = PoolEntry {
                service: format!("service-{}", entry >> 4).into(),
                version: "v1".into(),
                finish_by: None,
                policy: MovePolicy::Prompt,
            };
            tables.pools.insert(format!("pool-{number}").into(), pool);
            let route = RouteEntry {
                path: format!("/{number}").into(),
                methods: Vec::new(),
                pools: PoolShare::whole(format!("pool-{number}")),
                repeat: RepeatRule::ByMethod,
                timeout_ms: 1_000 + u64::from(entry),
                ..RouteEntry::default()
            };
            tables.routes.insert(format!("route-{number}").into(), route);
        }
    }
    tables
}

prop_state_machine! {
    #![proptest_config(fuzz_config(300))]

    #[test]
    fn versions_never_fall_and_are_never_partial(sequential 1..100 => World);
}
