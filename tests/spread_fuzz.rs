//! Stateful fuzzing of configuration dissemination: replies are lost, reordered, corrupted and duplicated, daemons
//! restart without their former state, and the store is out of reach most of the time.
//!
//! Oracle: the version in force under a daemon name never falls, and it is always a whole accepted version.

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
    ReadStore { daemon: usize, is_corrupt: bool },
    /// A daemon pulls from a peer; the reply is in flight.
    Pull { daemon: usize, peer: usize },
    /// The oldest reply in flight arrives; it may be corrupt, arrive again later, or answer a request from an older
    /// state.
    Arrive {
        daemon: usize,
        is_corrupt: bool,
        is_duplicated: bool,
    },
    /// The order of the replies in flight is reversed.
    Reverse { daemon: usize },
    /// A daemon is killed, and its successor joins with the version that it had applied as its floor.
    Restart { daemon: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let daemon = 0..DAEMONS;
    let rarely = || prop::bool::weighted(0.15);
    prop_oneof![
        3 => any::<u8>().prop_map(|entry| Action::Change { entry }),
        2 => (daemon.clone(), rarely()).prop_map(|(daemon, is_corrupt)| Action::ReadStore { daemon, is_corrupt }),
        6 => (daemon.clone(), daemon.clone()).prop_map(|(daemon, peer)| Action::Pull { daemon, peer }),
        6 => (daemon.clone(), rarely(), rarely())
            .prop_map(|(daemon, is_corrupt, is_duplicated)| Action::Arrive { daemon, is_corrupt, is_duplicated }),
        2 => daemon.clone().prop_map(|daemon| Action::Reverse { daemon }),
        1 => daemon.prop_map(|daemon| Action::Restart { daemon }),
    ]
}

stateless_reference!(Action, action());

struct Daemon {
    state: SpreadState,
    /// Version in force; 0 if the process has none.
    version_in_force: u64,
    /// Highest version that any process of this name has applied.
    highest_applied: u64,
    /// Replies in flight, with the peer that sent them.
    inbox: Vec<(usize, ConfigReply)>,
}

struct Cluster {
    accepted: Vec<ConfigHead>,
    daemons: Vec<Daemon>,
}

impl Cluster {
    fn new() -> Self {
        let daemon = || Daemon {
            state: joined_state(),
            version_in_force: 0,
            highest_applied: 0,
            inbox: Vec::new(),
        };
        Self {
            accepted: Vec::new(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Change { entry } => self.change(entry),
            Action::ReadStore { daemon, is_corrupt } => {
                let Some(mut head) = self.accepted.last().cloned() else {
                    return;
                };
                corrupt_head(&mut head, is_corrupt);
                let offer = self.daemons[daemon].state.offer_stored(head);
                self.record_applied(daemon, offer.map(|table| table.version).ok());
            }
            Action::Pull { daemon, peer } => {
                let head = self.daemons[daemon].state.head();
                let request = ConfigRequest {
                    version: head.map_or(0, |head| head.version),
                    digest: head.map_or(0, |head| head.digest),
                    whole: false,
                };
                let reply = self.daemons[peer].state.answer_pull(&request);
                self.daemons[daemon].inbox.push((peer, reply));
            }
            Action::Arrive {
                daemon,
                is_corrupt,
                is_duplicated,
            } => self.arrive(daemon, is_corrupt, is_duplicated),
            Action::Reverse { daemon } => self.daemons[daemon].inbox.reverse(),
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
            let edited = if entry.is_multiple_of(2) {
                edit.head
            } else {
                without_stamps(edit.head)
            };
            let next = edited.seal().expect("small heads fit").0;
            if let Some(delta) = HeadDelta::between(head.version, head.digest, &next) {
                assert_eq!(delta.apply(&head).expect("a delta fits its base"), next);
            }
            self.accepted.push(next);
        }
    }

    fn arrive(&mut self, daemon: usize, is_corrupt: bool, is_duplicated: bool) {
        if self.daemons[daemon].inbox.is_empty() {
            return;
        }
        let (peer, mut reply) = self.daemons[daemon].inbox.remove(0);
        if is_duplicated {
            self.daemons[daemon].inbox.push((peer, reply.clone()));
        }
        match &mut reply {
            ConfigReply::Nothing => {}
            ConfigReply::Whole(head) => corrupt_head(head, is_corrupt),
            ConfigReply::Delta(delta) if is_corrupt => {
                delta.routes.pop();
                delta.version += 1;
            }
            ConfigReply::Delta(_) => {}
        }
        let offer = self.daemons[daemon].state.finish_pull(address(peer), reply);
        self.record_applied(daemon, offer.and_then(Result::ok).map(|table| table.version));
    }

    fn record_applied(&mut self, daemon: usize, version: Option<u64>) {
        let daemon = &mut self.daemons[daemon];
        if let Some(version) = version {
            assert!(
                version > daemon.version_in_force,
                "a daemon went from version {} to {version}",
                daemon.version_in_force
            );
            assert!(
                version >= daemon.highest_applied,
                "a successor applied version {version} after version {}",
                daemon.highest_applied
            );
            daemon.version_in_force = version;
            daemon.highest_applied = version;
        }
    }

    /// Restarts a daemon: its peers report the version applied under its name, below which it must apply nothing.
    fn restart(&mut self, index: usize) {
        let highest_applied = self.daemons[index].highest_applied;
        let daemon = &mut self.daemons[index];
        daemon.state = SpreadState::default();
        daemon.version_in_force = 0;
        daemon.inbox.clear();
        // An old reply to the former process arrives while the successor joins.
        if let Some(oldest) = self.accepted.first().cloned() {
            let early = self.daemons[index].state.offer(oldest);
            assert!(early.is_err(), "a joining daemon applied an offer");
        }
        let daemon = &mut self.daemons[index];
        daemon.state.raise_floor(highest_applied);
        let offer = daemon.state.join();
        self.record_applied(index, offer.and_then(Result::ok).map(|table| table.version));
    }

    fn check(&self) {
        for daemon in &self.daemons {
            let Some(head) = daemon.state.head() else {
                assert_eq!(daemon.version_in_force, 0);
                continue;
            };
            assert_eq!(
                daemon.version_in_force, head.version,
                "the version in force is not the last one applied"
            );
            let accepted = &self.accepted[head.version as usize - 1];
            assert_eq!(
                &**head, accepted,
                "the head in force is not the accepted one of its version"
            );
        }
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Self;
    type Reference = StatelessReference;

    fn init_test(_: &StatelessReference) -> Self {
        Self::new()
    }

    fn apply(mut cluster: Self, _: &StatelessReference, action: Action) -> Self {
        cluster.apply_action(action);
        cluster
    }

    fn check_invariants(cluster: &Self, _: &StatelessReference) {
        cluster.check();
    }

    fn teardown(mut cluster: Self, _: StatelessReference) {
        // Without the store, anti-entropy brings every daemon to the newest version that any of them has, except those
        // whose predecessor had applied an even newer one.
        let newest = cluster
            .daemons
            .iter()
            .map(|daemon| daemon.state.version())
            .max()
            .unwrap_or(0);
        exchange_all(&mut cluster);
        for daemon in &cluster.daemons {
            let is_held_back = daemon.state.floor() > newest;
            assert!(
                is_held_back || daemon.state.version() == newest,
                "anti-entropy did not bring a daemon to the newest version"
            );
        }
        // Once one daemon has read the store, all of them get the newest accepted version.
        cluster.apply_action(Action::ReadStore {
            daemon: 0,
            is_corrupt: false,
        });
        exchange_all(&mut cluster);
        let accepted = cluster.accepted.len() as u64;
        for daemon in &cluster.daemons {
            assert_eq!(
                daemon.state.version(),
                accepted,
                "an accepted version did not reach a daemon"
            );
        }
        cluster.check();
    }
}

/// Lets every daemon pull from every peer.
fn exchange_all(cluster: &mut Cluster) {
    for daemon in 0..DAEMONS {
        cluster.daemons[daemon].inbox.clear();
        for peer in 0..DAEMONS {
            // Pulls twice, as a delta that can't be applied is followed by a pull of the whole configuration.
            pull_as_daemon(cluster, daemon, peer);
            pull_as_daemon(cluster, daemon, peer);
        }
    }
}

/// Pulls as the daemon does: a delta first, the whole configuration if the delta could not be applied.
fn pull_as_daemon(cluster: &mut Cluster, daemon: usize, peer: usize) {
    let version = cluster.daemons[peer].state.version();
    cluster.daemons[daemon]
        .state
        .add_source(address(peer), version, TimePoint(0));
    let Some(source) = cluster.daemons[daemon].state.next_pull(TimePoint(u64::MAX / 2)) else {
        return;
    };
    let reply = cluster.daemons[peer].state.answer_pull(&source.request);
    let offer = cluster.daemons[daemon].state.finish_pull(source.from, reply);
    cluster.record_applied(daemon, offer.and_then(Result::ok).map(|table| table.version));
}

/// Returns the head as an adapter builds it from a document without stamps.
fn without_stamps(mut head: ConfigHead) -> ConfigHead {
    head.routes.values_mut().for_each(|row| row.stamp = 0);
    head.pools.values_mut().for_each(|row| row.stamp = 0);
    head.tombstones.clear();
    head.changes.clear();
    head.delta_floor = head.version;
    head
}

fn joined_state() -> SpreadState {
    let mut state = SpreadState::default();
    assert!(state.join().is_none());
    state
}

/// If `is_corrupt`, removes a route and raises the version without updating the digest.
fn corrupt_head(head: &mut ConfigHead, is_corrupt: bool) {
    if is_corrupt {
        head.routes.pop();
        head.version += 1;
    }
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + daemon as u16))
}

/// Returns tables whose entries depend on the bits of `entry`.
fn tables(entry: u8) -> ConfigTables {
    let mut tables = ConfigTables::default();
    for number in 0..4_u8 {
        if entry >> number & 1 == 1 {
            let pool = PoolEntry {
                service: format!("service-{}", entry >> 4).into(),
                version: "v1".into(),
                finish_by: None,
                policy: MovePolicy::Prompt,
                cold_calls_per_s: None,
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
    fn versions_never_fall_and_are_never_partial(sequential 1..100 => Cluster);
}
