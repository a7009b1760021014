//! The control thread: owns all control state, handles events one by one and hands traffic new snapshots.

mod answers;
mod configuration;
mod joining;
mod leaving;
mod members;
mod reloading;
mod target;

use {
    super::{
        edges::{DaemonEdges, EdgeContext, StoreEdge},
        move_runner::{MoveContext, MoveRunner},
        shared::{SharedState, TrafficEvent},
        tasks::{ControlClient, ControlEvent},
    },
    crate::{
        clock::TimePoint,
        config::CompiledTable,
        file_watch::FileWatch,
        member::{JoinProgress, MemberRecord, MemberState, MemberStatus, TargetRecord, TargetStatus},
        moves::WINDOW_MS,
        spread::SpreadState,
        timeline::{EventKind, EventRing},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::mpsc,
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two rounds of anti-entropy, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 10_000;
/// Time between two looks at the stored seeds, in milliseconds.
const SEEDS_INTERVAL_MS: u64 = 60_000;

/// Time between two looks for pools whose version is not recorded, in milliseconds.
const VERSIONS_INTERVAL_MS: u64 = 1_000;

/// How far the daemon is with leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainPhase {
    Serving,
    /// Callers are told to go elsewhere; the target, which lives on, still takes work.
    Announced {
        close_at: TimePoint,
        refuse_at: TimePoint,
        limit: TimePoint,
    },
    /// New work is refused at the gate; what runs is finished.
    Finishing {
        announced_until: TimePoint,
        refuse_at: TimePoint,
        limit: TimePoint,
    },
    /// New calls of callers are refused.
    Quiet {
        until: TimePoint,
        limit: TimePoint,
    },
}

/// The latest start of a target that was heard of.
#[derive(Debug, Clone)]
struct AnnouncedTarget {
    id: Arc<str>,
    born: u64,
    seq: u64,
    has_left: bool,
}

/// All control state of a daemon.
#[derive(Debug)]
pub struct ControlState {
    shared: Arc<SharedState>,
    instance: u64,
    members: MemberState,
    spread: SpreadState,
    table: Option<Arc<CompiledTable>>,
    ring: EventRing,
    moves: MoveRunner,
    join: JoinProgress,
    drain: DrainPhase,
    client: ControlClient,
    store: Box<dyn StoreEdge>,
    events: mpsc::Sender<ControlEvent>,
    datagrams: Arc<UdpSocket>,
    sync_at: TimePoint,
    slice_at: TimePoint,
    /// Settings file, and when it is looked at next.
    settings_file: Option<FileWatch>,
    settings_at: TimePoint,
    seeds_at: TimePoint,
    versions_at: TimePoint,
    target_probe_at: TimePoint,
    target_failures: u32,
    /// Start and latest announcement of the target that stands beside this daemon.
    announced: Option<AnnouncedTarget>,
    store_was_down: bool,
    is_watcher: bool,
    is_stale: bool,
    rng: SmallRng,
}

impl ControlState {
    /// Makes the state of a daemon that starts now.
    pub fn new(
        shared: Arc<SharedState>,
        events: mpsc::Sender<ControlEvent>,
        datagrams: Arc<UdpSocket>,
        edges: DaemonEdges,
        now: TimePoint,
    ) -> Self {
        let settings = &shared.settings;
        let mut rng = SmallRng::seed_from_u64(rand::random());
        let client = ControlClient::new(Arc::clone(&shared), events.clone());
        let mut ring = EventRing::new(Arc::clone(&settings.name));
        let target = &settings.target;
        let detail = format!(
            "service={} version={} slots={}",
            target.service, target.version, target.slots
        );
        ring.record(EventKind::Started, detail, now);
        let store = (edges.open_store)(&EdgeContext::new(&shared, &events));
        Self {
            instance: now.0,
            members: MemberState::new(own_record(&shared, now), rng.random(), now),
            spread: SpreadState::default(),
            table: None,
            ring,
            moves: MoveRunner::new(Arc::clone(&shared), client.clone()),
            join: JoinProgress::new(settings.peers.clone(), now),
            drain: DrainPhase::Serving,
            client,
            store,
            events,
            datagrams,
            slice_at: now,
            settings_file: settings.file.as_deref().map(FileWatch::new),
            settings_at: now,
            sync_at: now.after_ms(rng.random_range(0..SYNC_INTERVAL_MS)),
            seeds_at: now.after_ms(SEEDS_INTERVAL_MS / 4),
            versions_at: now.after_ms(VERSIONS_INTERVAL_MS),
            target_probe_at: now,
            target_failures: 0,
            announced: None,
            store_was_down: false,
            is_watcher: false,
            is_stale: true,
            rng,
            shared,
        }
    }

    /// Handles events until the daemon has drained.
    pub async fn run(mut self, mut events: mpsc::Receiver<ControlEvent>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event, self.shared.now()),
                    None => return,
                },
                _ = ticks.tick() => {
                    if self.tick(self.shared.now()) {
                        return;
                    }
                }
            }
            self.publish_snapshot();
        }
    }

    fn handle(&mut self, event: ControlEvent, now: TimePoint) {
        match event {
            ControlEvent::Datagram { from, message } => {
                self.ring.observe(message.stamp, now);
                let effects = self.members.receive(from, message.body, now);
                self.carry_out(effects, now);
            }
            ControlEvent::Request { request, reply } => {
                self.ring.observe(request.stamp, now);
                let answer = self.answer(request, now);
                let _ = reply.send((self.ring.stamp(now), answer));
            }
            ControlEvent::SyncDone { peer, reply } => self.finish_sync(peer, reply, now),
            ControlEvent::PullDone { peer, reply } => self.finish_pull(peer, reply, now),
            ControlEvent::PollDone {
                pool,
                move_id,
                with_clearance,
                reply,
            } => {
                self.moves
                    .finish_poll(&pool, move_id, with_clearance, reply, &mut self.ring, now);
            }
            ControlEvent::ProgressRead {
                pool,
                move_id,
                stored,
            } => {
                self.moves.finish_progress(&pool, move_id, stored, now);
            }
            ControlEvent::HeadRead(result) => self.finish_read(result, now),
            ControlEvent::VerdictWritten {
                pool,
                move_id,
                result,
            } => {
                self.finish_verdict(&pool, move_id, result, now);
            }
            ControlEvent::SeedsRead(seeds) => self.join.hear_seeds(seeds, now),
            ControlEvent::TargetReported { message, reply } => {
                let _ = reply.send(self.hear_target(message, now));
            }
            ControlEvent::TargetProbed(is_ready) => self.finish_target_probe(is_ready, now),
            ControlEvent::Traffic(TrafficEvent::Ejected { target }) => {
                self.ring
                    .record(EventKind::Ejected, format!("target={target}"), now);
            }
            ControlEvent::Traffic(TrafficEvent::TargetRefuses) => self.finish_target_probe(false, now),
            ControlEvent::Query(query) => self.answer_query(query),
            ControlEvent::Drain => self.start_drain(now),
            ControlEvent::Reload => self.reload(now),
        }
    }

    /// Does what is due. Returns true when the daemon has drained and may exit.
    fn tick(&mut self, now: TimePoint) -> bool {
        {
            let mut gate = self.shared.gate.lock();
            let wakes = gate.state.tick(now);
            gate.wake(wakes, now);
        }
        if now >= self.slice_at {
            self.slice_at = now.after_ms(WINDOW_MS);
            self.shared.evidence.lock().end_window();
        }
        self.tick_settings(now);
        let effects = self.members.tick(now);
        self.carry_out(effects, now);
        self.tick_join(now);
        self.tick_store(now);
        self.tick_versions(now);
        self.tick_sync(now);
        self.tick_target(now);
        self.moves.tick(MoveContext {
            members: &self.members,
            store: &mut *self.store,
            ring: &mut self.ring,
            now,
        });
        self.tick_pull(now);
        self.tick_drain(now)
    }
}

fn own_record(shared: &SharedState, now: TimePoint) -> MemberRecord {
    let settings = &shared.settings;
    MemberRecord {
        name: Arc::clone(&settings.name),
        incarnation: now.0,
        status: MemberStatus::Alive,
        control: settings.control,
        gate: settings.gate,
        operators: settings.operators,
        region: Arc::clone(&settings.region),
        data_centre: Arc::clone(&settings.data_centre),
        target: TargetRecord {
            id: Arc::clone(&shared.target.load().id),
            born: 0,
            service: Arc::clone(&settings.target.service),
            version: Arc::clone(&settings.target.version),
            slots: settings.target.slots,
            status: TargetStatus::Starting,
        },
        applied: 0,
    }
}
