//! Stateful fuzzing of configuration dissemination over returns of the store: it comes back from copies, daemons read it in
//! any order, pull from each other and restart without their former state.
//!
//! Oracle: at a running daemon neither the version, nor the edition of the tables, nor the number of moves that have ended
//! falls, a version stands for one content, and once the operator has written again and one daemon has read it, all daemons
//! have the newest edition.

mod common;

use {
    common::fuzz_config,
    fuchsiashore::{
        clock::TimePoint,
        config::{
            ChangeNote, ConfigHead, MovePolicy, MoveStamp, PoolEntry, PoolShare, RepeatRule, RouteEntry,
            Stamped, VersionRank,
        },
        spread::SpreadState,
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
    std::{collections::BTreeMap, net::SocketAddr},
};

const DAEMONS: usize = 5;
const NOW: TimePoint = TimePoint(1_000_000);

#[derive(Debug, Clone, Copy)]
enum Action {
    /// The operator writes the next edition.
    WriteNext,
    /// The operator writes the newest edition again.
    WriteAgain,
    /// The daemon that knows of most moves records the end of the next one, or of one that the store has lost.
    EndMove,
    /// The store is copied.
    Copy,
    /// The store comes back from the latest copy.
    Return,
    /// A daemon reads the store.
    Read { daemon: usize },
    /// A daemon pulls from a peer.
    Pull { daemon: usize, peer: usize },
    /// A daemon is killed, and its successor joins with the version that it had applied as its floor.
    Restart { daemon: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        3 => Just(Action::WriteNext),
        1 => Just(Action::WriteAgain),
        2 => Just(Action::EndMove),
        2 => Just(Action::Copy),
        2 => Just(Action::Return),
        5 => daemon.clone().prop_map(|daemon| Action::Read { daemon }),
        6 => (daemon.clone(), daemon.clone()).prop_map(|(daemon, peer)| Action::Pull { daemon, peer }),
        1 => daemon.prop_map(|daemon| Action::Restart { daemon }),
    ]
}

stateless_reference!(Action, action());

/// What the store has.
#[derive(Debug, Clone, Copy, Default)]
struct StoreContent {
    index: u64,
    edition: u64,
    /// Number of moves that have ended.
    moves: u64,
}

#[derive(Default)]
struct Daemon {
    state: SpreadState,
    version_in_force: u64,
    edition_in_force: u64,
    moves_in_force: u64,
}

struct Cluster {
    generation: u64,
    store: StoreContent,
    copy: StoreContent,
    /// Newest edition that the operator has written.
    newest_edition: u64,
    daemons: Vec<Daemon>,
    /// Digest of each version that was in force.
    digests: BTreeMap<u64, u64>,
}

impl Cluster {
    fn new() -> Self {
        let daemons = (0..DAEMONS).map(|_| {
            let mut daemon = Daemon::default();
            assert!(daemon.state.join().is_none());
            daemon
        });
        Self {
            generation: 1,
            store: StoreContent::default(),
            copy: StoreContent::default(),
            newest_edition: 0,
            daemons: daemons.collect(),
            digests: BTreeMap::new(),
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::WriteNext => {
                // In uneven steps.
                self.newest_edition += 1 + self.newest_edition % 3;
                self.write_again();
            }
            Action::WriteAgain => self.write_again(),
            Action::EndMove => {
                let known = self.daemons.iter().map(|daemon| daemon.moves_in_force);
                let known = known.max().unwrap_or_default();
                self.store.index += 1;
                self.store.moves = known.max(self.store.moves + 1);
            }
            Action::Copy => self.copy = self.store,
            Action::Return => {
                self.store = self.copy;
                self.generation += 1;
            }
            Action::Read { daemon } => self.read(daemon),
            Action::Pull { daemon, peer } => self.pull(daemon, peer),
            Action::Restart { daemon } => self.restart(daemon),
        }
    }

    fn write_again(&mut self) {
        self.store.index += 1;
        self.store.edition = self.newest_edition;
    }

    fn read(&mut self, daemon: usize) {
        if self.store.edition == 0 {
            return;
        }
        let head = stored_head(self.generation, self.store);
        let _ = self.daemons[daemon].state.offer_stored(head);
        self.note_applied(daemon);
    }

    /// Pulls as a daemon does that hears of a newer version: a delta first, the whole configuration if it does not fit.
    fn pull(&mut self, daemon: usize, peer: usize) {
        for _ in 0..2 {
            let version = self.daemons[peer].state.version();
            let state = &mut self.daemons[daemon].state;
            state.add_source(address(peer), version, NOW);
            let Some(source) = state.next_pull(NOW) else {
                return;
            };
            let reply = self.daemons[peer].state.answer_pull(&source.request);
            let _ = self.daemons[daemon].state.finish_pull(source.from, reply);
            self.note_applied(daemon);
        }
    }

    fn restart(&mut self, index: usize) {
        let floor = self.daemons[index].version_in_force;
        let daemon = &mut self.daemons[index];
        *daemon = Daemon::default();
        daemon.state.raise_floor(floor);
        assert!(daemon.state.join().is_none());
    }

    /// Checks what a daemon has in force against what it had before, and against others with the same version.
    fn note_applied(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let Some(head) = daemon.state.head() else { return };
        assert!(head.version >= daemon.version_in_force, "the version fell");
        assert!(
            head.edition() >= daemon.edition_in_force,
            "edition {} came back after {}",
            head.edition(),
            daemon.edition_in_force
        );
        let MoveStamp::Ended(moves) = MoveStamp::of(head.pools["pool"].stamp) else {
            panic!("a stamp that no head had");
        };
        assert!(
            moves >= daemon.moves_in_force,
            "move {} was taken back",
            daemon.moves_in_force
        );
        daemon.moves_in_force = moves;
        daemon.version_in_force = head.version;
        daemon.edition_in_force = head.edition();
        let digest = self.digests.entry(head.version).or_insert(head.digest);
        let rank = VersionRank::of(head.version);
        assert_eq!(*digest, head.digest, "two contents of {rank:?}");
    }

    /// Lets every daemon pull from every peer, until what one has reached all.
    fn exchange_all(&mut self) {
        for _ in 0..2 {
            for daemon in 0..DAEMONS {
                for peer in 0..DAEMONS {
                    self.pull(daemon, peer);
                }
            }
        }
    }

    fn editions(&self) -> Vec<u64> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.edition_in_force).collect()
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

    fn check_invariants(_: &Self, _: &StatelessReference) {}

    fn teardown(mut cluster: Self, _: StatelessReference) {
        // A daemon that reads older tables than others have gets the newer ones back from these.
        cluster.read(0);
        let newest = cluster.editions().into_iter().max().unwrap_or_default();
        cluster.exchange_all();
        let is_held_back = |daemon: &Daemon| daemon.version_in_force == 0;
        for daemon in &cluster.daemons {
            assert!(is_held_back(daemon) || daemon.edition_in_force == newest);
        }
        // The operator writes again, whatever the store has lost.
        cluster.apply_action(Action::WriteNext);
        cluster.read(0);
        cluster.exchange_all();
        let expected = vec![cluster.newest_edition; DAEMONS];
        assert_eq!(cluster.editions(), expected);
        for daemon in &cluster.daemons {
            assert_eq!(daemon.state.newest_version(), daemon.state.version());
        }
    }
}

/// Returns the head that an adapter builds from what the store has.
fn stored_head(generation: u64, content: StoreContent) -> ConfigHead {
    let version = VersionRank::version_at(generation, content.index);
    let pool = PoolEntry {
        service: "service".into(),
        version: format!("v{}", content.moves).into(),
        finish_by: None,
        policy: MovePolicy::Prompt,
        cold_calls_per_s: None,
    };
    let route = RouteEntry {
        path: format!("/{}", content.edition).into(),
        methods: Vec::new(),
        pools: PoolShare::whole("pool"),
        repeat: RepeatRule::ByMethod,
        timeout_ms: 1_000,
        ..RouteEntry::default()
    };
    let mut head = ConfigHead {
        version,
        delta_floor: version,
        changes: vec![ChangeNote::of_edition(content.edition, version)],
        ..ConfigHead::default()
    };
    let stamp = MoveStamp::Ended(content.moves).stamp();
    head.pools.insert("pool".into(), Stamped { stamp, entry: pool });
    let name = format!("route-{}", content.edition % 4);
    head.routes.insert(
        name.into(),
        Stamped {
            stamp: 0,
            entry: route,
        },
    );
    head.with_digest().expect("small heads are encoded")
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + daemon as u16))
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    /// Guards against a configuration that does not come into force, tables that come back, or a move that is undone, after the
    /// store has lost what it had accepted.
    #[test]
    fn nothing_falls_back_and_the_newest_tables_come_into_force(sequential 1..80 => Cluster);
}
