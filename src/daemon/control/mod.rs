//! The control thread: owns all control state, handles events one by one and publishes snapshots to the traffic
//! threads.

mod answers;
mod configuration;
mod departures;
mod evacuating;
mod joining;
mod leaving;
mod members;
mod quarantine;
mod quotas;
mod reloading;
mod target;

use {
    self::{departures::HeldReply, quarantine::RepeatedNotice},
    super::{
        edges::{DaemonEdges, EdgeContext, StoreEdge},
        freshness::TableStanding,
        move_runner::{MoveContext, MoveRunner},
        shared::{SharedState, TrafficEvent},
        tasks::{ControlClient, ControlEvent},
    },
    crate::{
        clock::TimePoint,
        config::CompiledTable,
        file_watch::FileWatch,
        member::{
            DepartedTargets, DepartureLog, JoinProgress, MemberRecord, MemberState, MemberStatus, ProbeKind,
            TargetDeparture, TargetRecord, TargetStatus,
        },
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
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a tick after which this process counts as having been suspended, in milliseconds.
const STALL_MS: u64 = 500;
/// Time within which the first round of anti-entropy starts, in milliseconds.
const FIRST_SYNC_MS: u64 = 2_000;
/// Time between two writes of the data centre's seeds to the store, in milliseconds.
const SEEDS_WRITE_INTERVAL_MS: u64 = 60_000;
/// Time between two checks for pools without a recorded version, in milliseconds.
const VERSION_CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between two log lines with the control messages so far, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 15_000;

/// Phase of the daemon's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainPhase {
    /// No shutdown has begun.
    Serving,
    /// Connections of callers are closed after each answer; the gate stays open for the target, which keeps running.
    Announced {
        /// When the gate closes.
        close_at: TimePoint,
        /// When new calls of callers are refused, also if calls still run.
        refuse_at: TimePoint,
        /// When the process exits in any case.
        exit_at: TimePoint,
    },
    /// The gate refuses new calls; running calls are finished.
    Finishing {
        /// Earliest end of the phase before `refuse_at`; until then, callers and other daemons are notified.
        notify_until: TimePoint,
        /// When new calls of callers are refused, also if calls still run.
        refuse_at: TimePoint,
        /// When the process exits in any case.
        exit_at: TimePoint,
    },
    /// New calls of callers are refused.
    Quiet {
        /// When the process exits if no call runs.
        until: TimePoint,
        /// When the process exits in any case.
        exit_at: TimePoint,
    },
}

/// Latest known start of the target beside this daemon. A restart of the target has a later `born`.
#[derive(Debug, Clone)]
struct AnnouncedTarget {
    id: Arc<str>,
    /// Start time of the target; if it is not known, the time at which the departure was announced.
    born: u64,
    /// Sequence number of the latest announcement, 0 if there was none.
    seq: u64,
    /// Whether there was an announcement, rather than a departure only.
    was_heard: bool,
    /// Whether the target has departed.
    has_departed: bool,
}

impl AnnouncedTarget {
    /// Returns whether a departure ends this target. One of another target doesn't, also if that started later.
    fn is_ended_by(&self, departure: &TargetDeparture) -> bool {
        !self.has_departed && self.id == departure.id && self.born <= departure.born
    }

    /// Returns whether a start began before this one, which has taken its place. That is not known of a target of which
    /// only the departure is.
    fn has_replaced(&self, born: u64) -> bool {
        self.was_heard && born < self.born
    }
}

/// All control state of a daemon.
#[derive(Debug)]
pub struct ControlState {
    shared: Arc<SharedState>,
    /// Start time of the process; distinguishes it from earlier processes of the same name.
    instance: u64,
    members: MemberState,
    spread: SpreadState,
    table: Option<Arc<CompiledTable>>,
    /// Since when it has been in force.
    table_since: TimePoint,
    ring: EventRing,
    moves: MoveRunner,
    join: JoinProgress,
    drain: DrainPhase,
    client: ControlClient,
    store: Box<dyn StoreEdge>,
    events: mpsc::Sender<ControlEvent>,
    datagrams: Arc<UdpSocket>,
    next_sync_at: TimePoint,
    last_tick_at: TimePoint,
    /// When the current evidence window of the gate ends.
    window_end: TimePoint,
    settings_file: Option<FileWatch>,
    /// When the settings file is checked next for a change.
    next_settings_check_at: TimePoint,
    next_seeds_write_at: TimePoint,
    next_version_check_at: TimePoint,
    /// When the control messages so far are logged next.
    next_summary_at: TimePoint,
    next_target_probe_at: TimePoint,
    /// Failed readiness probes of the target in a row.
    target_failures: u32,
    announced: Option<AnnouncedTarget>,
    departed: DepartedTargets,
    departures: DepartureLog,
    /// Replies to targets that leave, until their departures are recorded.
    held_replies: Vec<HeldReply>,
    repeated_notices: Vec<RepeatedNotice>,
    next_suspects_expiry_at: TimePoint,
    /// Whether the latest read or watch of the head failed.
    store_was_down: bool,
    /// Whether this daemon watches the store.
    is_watching: bool,
    /// Whether that is by the short watches of a leading daemon.
    is_leading: bool,
    /// When ends of moves that the store has lost are recorded again.
    next_restoring_at: TimePoint,
    /// Whether it did so in place of others at the last tick.
    had_taken_over: bool,
    /// Since when no accepted version may lack from the one in force.
    keys_confirmed_at: TimePoint,
    were_keys_confirmed: bool,
    /// What was known of the table in force when it was looked at last.
    standing: TableStanding,
    /// Since when that has been so.
    standing_since: TimePoint,
    /// Whether the published snapshot is outdated.
    is_snapshot_stale: bool,
    rng: SmallRng,
}

impl ControlState {
    /// Creates the control state of a daemon that starts at `now`.
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
            table_since: now,
            ring,
            moves: MoveRunner::new(Arc::clone(&shared), client.clone()),
            join: JoinProgress::new(settings.peers.clone(), now),
            drain: DrainPhase::Serving,
            client,
            store,
            events,
            datagrams,
            window_end: now,
            last_tick_at: now,
            settings_file: settings.file.as_deref().map(FileWatch::new),
            next_settings_check_at: now,
            next_sync_at: now.after_ms(rng.random_range(0..FIRST_SYNC_MS)),
            next_seeds_write_at: now.after_ms(SEEDS_WRITE_INTERVAL_MS / 4),
            next_summary_at: now.after_ms(SUMMARY_INTERVAL_MS),
            next_version_check_at: now.after_ms(VERSION_CHECK_INTERVAL_MS),
            next_target_probe_at: now,
            target_failures: 0,
            announced: None,
            departed: DepartedTargets::default(),
            departures: DepartureLog::new(now),
            held_replies: Vec::new(),
            repeated_notices: Vec::new(),
            next_suspects_expiry_at: now,
            store_was_down: false,
            is_watching: false,
            is_leading: false,
            next_restoring_at: now,
            had_taken_over: false,
            keys_confirmed_at: TimePoint::default(),
            were_keys_confirmed: false,
            standing: TableStanding::Unconfirmed,
            standing_since: now,
            is_snapshot_stale: true,
            rng,
            shared,
        }
    }

    /// Handles events and ticks until the daemon has drained.
    pub async fn run(mut self, mut events: mpsc::Receiver<ControlEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
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
            self.publish_freshness();
            self.publish_keys(self.shared.now());
            self.log_standing(self.shared.now());
        }
    }

    fn handle(&mut self, event: ControlEvent, now: TimePoint) {
        match event {
            ControlEvent::Datagram { from, message } => {
                self.ring.observe(message.stamp, now);
                match &message.body.kind {
                    ProbeKind::Quarantine(notice) => self.receive_notice(from, notice, now),
                    ProbeKind::QuotaAsk { group, ask } => self.answer_quota_ask(from, *group, ask, now),
                    ProbeKind::QuotaAnswer { group, answer } => self.take_tokens(*group, answer, now),
                    _ => {}
                }
                self.members.set_newest_version(self.spread.newest_version());
                let effects = self.members.receive(from, message.body, now);
                self.apply_effects(effects, now);
            }
            ControlEvent::Request { request, reply } => {
                self.ring.observe(request.stamp, now);
                let answer = self.answer(request, now);
                let _ = reply.send((self.ring.stamp(now), answer));
            }
            ControlEvent::SyncDone { peer, reply } => self.finish_sync(peer, reply, now),
            ControlEvent::PullBegun { peer } => self.spread.begin_reply(peer),
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
            ControlEvent::SeedsRead { near, far } => self.join.add_seeds(near, far, now),
            ControlEvent::TargetReported { message, reply } => {
                self.receive_target_message(message, reply, now);
            }
            ControlEvent::DeparturesRead(result) => self.finish_departures_read(result, now),
            ControlEvent::DepartureRecorded { departure, result } => {
                self.finish_departure_record(&departure, result, now);
            }
            ControlEvent::StoreReturned => self.restore_departures(now),
            ControlEvent::TargetProbed(is_ready) => self.finish_target_probe(is_ready, now),
            ControlEvent::Traffic(TrafficEvent::Ejected { target }) => {
                self.ring
                    .record(EventKind::Ejected, format!("target={target}"), now);
            }
            ControlEvent::Traffic(TrafficEvent::Quarantine(notice)) => self.publish_notice(&notice, now),
            ControlEvent::Traffic(TrafficEvent::TargetRefuses) => {
                self.shared.gate.lock().state.cold().record_uncertain(now);
                self.finish_target_probe(false, now);
            }
            ControlEvent::Traffic(TrafficEvent::NewerTable { daemon, version }) => {
                self.schedule_pull_from(&daemon, version, now);
            }
            ControlEvent::Traffic(TrafficEvent::TokensWanted) => self.tick_quotas(now),
            ControlEvent::Query(query) => self.answer_query(query, now),
            ControlEvent::Drain => self.start_drain(now),
            ControlEvent::Reload => self.reload(now),
        }
    }

    /// Performs what is due at `now`. Returns true when the daemon has drained and may exit.
    fn tick(&mut self, now: TimePoint) -> bool {
        {
            let mut gate = self.shared.gate.lock();
            let outcomes = gate.state.tick(now);
            gate.wake(outcomes, now);
        }
        if now >= self.window_end {
            self.window_end = now.after_ms(WINDOW_MS);
            self.shared.evidence.lock().end_window();
        }
        if now.ms_since(self.last_tick_at) > STALL_MS {
            self.members.resume(now);
        }
        self.last_tick_at = now;
        self.tick_settings(now);
        let effects = self.members.tick(now);
        self.apply_effects(effects, now);
        self.tick_join(now);
        self.tick_store(now);
        self.tick_restoring(now);
        self.tick_versions(now);
        self.tick_sync(now);
        self.tick_target(now);
        self.tick_departures(now);
        self.tick_quarantine(now);
        self.tick_quotas(now);
        self.moves.tick(MoveContext {
            members: &self.members,
            store: &mut *self.store,
            ring: &mut self.ring,
            now,
        });
        self.tick_pull(now);
        if now >= self.next_summary_at {
            self.next_summary_at = now.after_ms(SUMMARY_INTERVAL_MS);
            self.log_control_traffic();
        }
        self.tick_drain(now)
    }

    /// Logs the control messages since the start.
    fn log_control_traffic(&self) {
        log::info!("event=control-traffic {}", self.shared.metrics.control_summary());
    }
}

/// Returns the initial member record of this daemon.
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
