//! The control thread: owns all control state, handles events one by one and hands traffic new snapshots.

use {
    super::{
        envelope::{ControlReply, ControlRequest, Envelope, enclose},
        move_runner::{MoveRunner, answer_poll},
        operators::{DaemonStatus, MoveStatus},
        seeds::{read_seeds, wanted_seeds, write_seeds},
        shared::{SharedState, TrafficNote},
        snapshot::TrafficSnapshot,
        store_watch::{StoreWatch, ask_store},
        tasks::{ControlClient, ControlEvent, OperatorQuery},
    },
    crate::{
        clock::TimePoint,
        config::{CompiledTable, ConfigHead},
        member::{
            MemberEffect, MemberRecord, MemberState, MemberStatus, ProbeMessage, TargetRecord, TargetStatus,
            is_among_best,
        },
        moves::{Clearance, WINDOW_MS},
        spread::{ConfigReply, OfferRefusal, SpreadState},
        store::{HttpStore, StoreError, StoreValue, WriteError},
        timeline::{EventKind, EventRing, TimelineEvent},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpStream, UdpSocket},
        sync::{mpsc, oneshot},
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two rounds of anti-entropy, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 10_000;
/// Time between two tries to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Time after which a daemon stops waiting for what its peers know of it, in milliseconds.
const JOIN_LIMIT_MS: u64 = 4_000;
/// Daemons in each data centre that hold a watch on the store.
const WATCHERS_PER_CENTRE: usize = 2;
/// Time between two connections to the target that test whether it is ready, in milliseconds.
const TARGET_PROBE_MS: u64 = 250;
/// Time that such a connection may take.
const TARGET_PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Failed tests in a row after which a target is not ready any more.
const TARGET_LOST_AFTER: u32 = 3;
/// Time between two looks at the stored seeds, in milliseconds.
const SEEDS_INTERVAL_MS: u64 = 60_000;
/// Quiet time at the end of a drain, in which late calls are refused instead of cut, in milliseconds.
const DRAIN_QUIET_MS: u64 = 500;
/// Least time between the announcement of leaving and the exit, in milliseconds.
const DRAIN_ANNOUNCE_MS: u64 = 1_000;

/// How far the daemon is with leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainPhase {
    Serving,
    /// New work is refused at the gate; what runs is finished.
    Finishing {
        announced_until: TimePoint,
        limit: TimePoint,
    },
    /// Late calls of callers are refused.
    Quiet {
        until: TimePoint,
    },
}

/// How far the daemon is with joining.
#[derive(Debug)]
struct JoinProgress {
    limit: TimePoint,
    next_at: TimePoint,
    contacts: Vec<SocketAddr>,
    pending: usize,
    has_synced: bool,
    asked_keepers: bool,
    asked_seeds: bool,
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
    watch: StoreWatch,
    join: JoinProgress,
    drain: DrainPhase,
    client: ControlClient,
    store: HttpStore,
    events: mpsc::Sender<ControlEvent>,
    datagrams: Arc<UdpSocket>,
    sync_at: TimePoint,
    slice_at: TimePoint,
    seeds_at: TimePoint,
    target_probe_at: TimePoint,
    target_failures: u32,
    store_was_down: bool,
    is_stale: bool,
    rng: SmallRng,
}

impl ControlState {
    /// Makes the state of a daemon that starts now.
    pub fn new(
        shared: Arc<SharedState>,
        events: mpsc::Sender<ControlEvent>,
        datagrams: Arc<UdpSocket>,
        now: TimePoint,
    ) -> Self {
        let settings = &shared.settings;
        let mut rng = SmallRng::seed_from_u64(rand::random());
        let store = HttpStore::new(&settings.store);
        let client = ControlClient::new(Arc::clone(&shared), events.clone());
        let first_call = now.after_ms(rng.random_range(0..1_000));
        let mut ring = EventRing::new(Arc::clone(&settings.name));
        let target = &settings.target;
        let detail = format!(
            "service={} version={} slots={}",
            target.service, target.version, target.slots
        );
        ring.record(EventKind::Started, detail, now);
        Self {
            instance: now.0,
            members: MemberState::new(own_record(&shared, now), rng.random(), now),
            spread: SpreadState::default(),
            table: None,
            ring,
            moves: MoveRunner::new(Arc::clone(&shared), client.clone(), store.clone(), events.clone()),
            watch: StoreWatch::new(first_call, settings.store_calls_per_s, rng.random()),
            join: JoinProgress {
                limit: now.after_ms(JOIN_LIMIT_MS),
                next_at: now,
                contacts: settings.peers.clone(),
                pending: 0,
                has_synced: false,
                asked_keepers: false,
                asked_seeds: false,
            },
            drain: DrainPhase::Serving,
            client,
            store,
            events,
            datagrams,
            slice_at: now,
            sync_at: now.after_ms(rng.random_range(0..SYNC_INTERVAL_MS)),
            seeds_at: now.after_ms(SEEDS_INTERVAL_MS / 4),
            target_probe_at: now,
            target_failures: 0,
            store_was_down: false,
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
            ControlEvent::SeedsRead(seeds) => self.join.contacts.extend(seeds),
            ControlEvent::TargetProbed(is_ready) => self.finish_target_probe(is_ready, now),
            ControlEvent::Note(TrafficNote::Ejected { target }) => {
                self.ring
                    .record(EventKind::Ejected, format!("target={target}"), now);
            }
            ControlEvent::Note(TrafficNote::TargetRefuses) => self.finish_target_probe(false, now),
            ControlEvent::Query(query) => self.answer_query(query),
            ControlEvent::Drain => self.start_drain(now),
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
            self.shared.evidence.lock().end_slice();
        }
        let effects = self.members.tick(now);
        self.carry_out(effects, now);
        self.tick_join(now);
        self.tick_store(now);
        self.tick_sync(now);
        self.tick_target(now);
        self.moves.tick(&self.members, &mut self.ring, now);
        if let Some(source) = self.spread.next_pull(now) {
            let peer = source.from;
            self.client.request(
                peer,
                self.ring.stamp(now),
                ControlRequest::Config(source.request),
                move |reply| {
                    let reply = match reply {
                        Some(ControlReply::Config(reply)) => Some(reply),
                        _ => None,
                    };
                    ControlEvent::PullDone { peer, reply }
                },
            );
        }
        self.tick_drain(now)
    }

    // Membership.

    fn carry_out(&mut self, effects: Vec<MemberEffect>, now: TimePoint) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.send_datagram(to, message, now),
                MemberEffect::Changed { record } => {
                    self.is_stale = true;
                    self.record_member(&record, now);
                }
                MemberEffect::Sync { with } => self.start_sync(with, Vec::new(), now),
                MemberEffect::Newer { from, version } => self.spread.note_newer(from, version),
                MemberEffect::Floor { version } => self.spread.raise_floor(version),
                MemberEffect::NameTaken { by } => {
                    let detail = format!("by={by}; give every daemon a name of its own");
                    self.ring.record(EventKind::NameTaken, detail, now);
                }
            }
        }
    }

    fn send_datagram(&mut self, to: SocketAddr, message: ProbeMessage, now: TimePoint) {
        let stamp = self.ring.stamp(now);
        let Ok(bytes) = enclose(&self.shared.settings.mesh, stamp, message) else {
            return;
        };
        self.shared.metrics.count_control("sent", "probe", bytes.len());
        // A datagram that can't be sent is a lost one, which the protocol expects.
        let _ = self.datagrams.try_send_to(&bytes, to);
    }

    fn record_member(&mut self, record: &MemberRecord, now: TimePoint) {
        let kind = match record.status {
            MemberStatus::Alive => EventKind::MemberAlive,
            MemberStatus::Suspect => EventKind::MemberSuspect,
            MemberStatus::Dead => EventKind::MemberDead,
            MemberStatus::Left => EventKind::MemberLeft,
        };
        let target = &record.target;
        let detail = format!(
            "member={} version={} target={}",
            record.name, target.version, target.status
        );
        self.ring.record(kind, detail, now);
    }

    fn tick_sync(&mut self, now: TimePoint) {
        if now < self.sync_at {
            return;
        }
        self.sync_at = now.after_ms(SYNC_INTERVAL_MS / 2 + self.rng.random_range(0..SYNC_INTERVAL_MS));
        let peers: Vec<SocketAddr> = self
            .members
            .others()
            .filter(|peer| peer.status.is_present())
            .map(|peer| peer.control)
            .collect();
        if !peers.is_empty() {
            let peer = peers[self.rng.random_range(0..peers.len())];
            self.start_sync(peer, Vec::new(), now);
        }
    }

    fn start_sync(&mut self, peer: SocketAddr, records: Vec<MemberRecord>, now: TimePoint) {
        let request = ControlRequest::Sync(Box::new(self.members.sync_request(records)));
        self.client
            .request(peer, self.ring.stamp(now), request, move |reply| {
                let reply = match reply {
                    Some(ControlReply::Sync(reply)) => Some(reply),
                    _ => None,
                };
                ControlEvent::SyncDone { peer, reply }
            });
    }

    fn finish_sync(&mut self, peer: SocketAddr, reply: Option<crate::member::SyncReply>, now: TimePoint) {
        self.join.pending = self.join.pending.saturating_sub(1);
        let Some(reply) = reply else { return };
        self.join.has_synced = true;
        if reply.applied > self.spread.version() {
            self.spread.note_newer(peer, reply.applied);
        }
        let (newer, effects) = self.members.finish_sync(reply, now);
        self.carry_out(effects, now);
        let others_lack: Vec<MemberRecord> = newer
            .into_iter()
            .filter(|record| record.name != self.members.own().name)
            .collect();
        if !others_lack.is_empty() {
            self.start_sync(peer, others_lack, now);
        }
    }

    // Joining.

    fn tick_join(&mut self, now: TimePoint) {
        if self.spread.has_joined() && self.join.has_synced {
            return;
        }
        if now >= self.join.next_at {
            self.join.next_at = now.after_ms(JOIN_INTERVAL_MS + self.rng.random_range(0..JOIN_INTERVAL_MS));
            self.try_join(now);
        }
        let told = self.join.asked_keepers && self.join.pending == 0;
        let may_join = !self.spread.has_joined() && (told || now >= self.join.limit);
        if may_join && let Some(offer) = self.spread.join() {
            self.finish_offer(offer, "peer", now);
        }
    }

    /// Asks the known contacts, then those that keep note of what this daemon had applied.
    fn try_join(&mut self, now: TimePoint) {
        let own = self.members.own().control;
        if self.join.has_synced {
            self.join.asked_keepers = true;
            for keeper in self.members.floor_keepers() {
                self.join.pending += 1;
                self.start_sync(keeper, Vec::new(), now);
            }
            return;
        }
        let contacts: Vec<SocketAddr> = self
            .join
            .contacts
            .iter()
            .copied()
            .filter(|contact| *contact != own)
            .collect();
        for contact in &contacts {
            self.join.pending += 1;
            self.start_sync(*contact, Vec::new(), now);
        }
        let alone_for_long = now.after_ms(JOIN_LIMIT_MS / 2) >= self.join.limit;
        if !self.join.asked_seeds && (contacts.is_empty() || alone_for_long) {
            self.join.asked_seeds = true;
            self.shared.metrics.store_calls.inc_by(2);
            read_seeds(
                &self.store,
                &self.events,
                Arc::clone(&self.shared.settings.data_centre),
                own,
            );
        }
    }

    // Configuration.

    fn tick_store(&mut self, now: TimePoint) {
        let settings = &self.shared.settings;
        let local = self
            .members
            .present()
            .filter(|record| record.data_centre == settings.data_centre);
        let job = format!("watch/{}", settings.data_centre);
        let names = local.map(|record| &*record.name);
        let is_watcher = is_among_best(&job, &settings.name, names, WATCHERS_PER_CENTRE);
        // A daemon that knows nobody yet leaves the store to those that do, for as long as it may still join.
        let may_ask = self.join.has_synced || now >= self.join.limit || settings.peers.is_empty();
        if is_watcher
            && may_ask
            && let Some(index) = self.watch.next_call(now)
        {
            ask_store(&self.shared, &self.store, &self.events, index);
        }
        if now >= self.seeds_at {
            self.seeds_at = now.after_ms(SEEDS_INTERVAL_MS);
            if is_watcher {
                let wanted = wanted_seeds(self.members.present(), &settings.data_centre);
                self.shared.metrics.store_calls.inc_by(2);
                write_seeds(&self.store, Arc::clone(&settings.data_centre), wanted);
            }
        }
    }

    fn finish_read(&mut self, result: Result<Option<StoreValue>, StoreError>, now: TimePoint) {
        match result {
            Ok(value) => {
                self.watch
                    .succeed(value.as_ref().map_or(0, |value| value.index), now);
                if std::mem::take(&mut self.store_was_down) {
                    self.ring
                        .record(EventKind::StoreUp, "the store answers again", now);
                }
                if let Some(value) = value {
                    self.offer_stored(&value.data, now);
                }
            }
            Err(error) => {
                self.watch.fail(now);
                if !std::mem::replace(&mut self.store_was_down, true) {
                    self.ring.record(EventKind::StoreDown, error.to_string(), now);
                }
            }
        }
    }

    fn offer_stored(&mut self, data: &[u8], now: TimePoint) {
        match ConfigHead::open(data) {
            Ok(head) => {
                let offer = self.spread.offer_stored(head);
                self.finish_offer(offer, "store", now);
            }
            Err(error) => self.finish_offer(Err(error.into()), "store", now),
        }
    }

    fn finish_pull(&mut self, peer: SocketAddr, reply: Option<ConfigReply>, now: TimePoint) {
        let Some(reply) = reply else {
            self.spread.fail_pull(peer);
            return;
        };
        if let Some(offer) = self.spread.finish_pull(peer, reply) {
            self.finish_offer(offer, "peer", now);
        }
    }

    fn finish_offer(&mut self, offer: Result<CompiledTable, OfferRefusal>, source: &str, now: TimePoint) {
        match offer {
            Ok(table) => self.put_in_force(table, source, now),
            Err(refusal) if refusal.is_fault() => {
                self.shared.metrics.refused_offers.inc();
                self.ring
                    .record(EventKind::Refused, format!("source={source} {refusal}"), now);
            }
            Err(_) => {}
        }
    }

    fn put_in_force(&mut self, table: CompiledTable, source: &str, now: TimePoint) {
        let version = table.version;
        // Others are told first: should this process die now, its successor learns what it had applied.
        let effects = self.members.set_applied(version);
        self.carry_out(effects, now);
        let accepted_at = self
            .spread
            .head()
            .and_then(|head| head.changes.last().map(|note| note.at));
        let delay_ms = accepted_at.map_or(0, |at| now.ms_since(at));
        self.shared.metrics.convergence.observe(delay_ms as f64 / 1e3);
        self.shared.metrics.version.set(version as i64);
        self.ring.record(
            EventKind::Applied,
            format!("version={version} source={source} after_ms={delay_ms}"),
            now,
        );
        let table = Arc::new(table);
        self.moves.set_table(&table, now);
        let is_open = |pool: &str, move_id: u64| {
            let order = table.pools.get(pool).and_then(|pool| pool.order.as_ref());
            order.is_some_and(|order| move_id == 0 || order.id == move_id)
        };
        self.shared.moves.lock().retain(is_open, now);
        self.table = Some(table);
        self.is_stale = true;
        self.publish_snapshot();
    }

    fn finish_verdict(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        result: Result<u64, WriteError>,
        now: TimePoint,
    ) {
        match result {
            Ok(version) => {
                let in_time = self.moves.order(pool).is_some_and(|order| now <= order.finish_by);
                let decided = self
                    .moves
                    .controller(pool)
                    .and_then(|controller| controller.decided().cloned());
                let verdict = decided.map_or_else(String::new, |(verdict, _)| verdict.to_string());
                self.shared.metrics.count_closed_move(&verdict, in_time);
                let detail = format!("verdict={verdict} version={version} in_time={in_time}");
                self.ring
                    .record_move(EventKind::MoveClosed, pool, move_id, detail, now);
            }
            Err(error) => log::warn!("event=verdict-not-written pool={pool} move={move_id} error={error:?}"),
        }
        self.moves.finish_verdict(pool, move_id, now);
    }

    fn publish_snapshot(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let settings = &self.shared.settings;
        let snapshot =
            TrafficSnapshot::new(self.table.clone(), self.members.present(), &settings.data_centre);
        self.shared
            .metrics
            .members
            .set(self.members.present().count() as i64);
        let known: std::collections::HashSet<Arc<str>> = snapshot
            .targets
            .values()
            .flatten()
            .map(|target| Arc::clone(&target.name))
            .collect();
        self.shared.book.lock().retain(|name| known.contains(name));
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    // The own target.

    fn tick_target(&mut self, now: TimePoint) {
        if now < self.target_probe_at || self.drain != DrainPhase::Serving {
            return;
        }
        self.target_probe_at = now.after_ms(TARGET_PROBE_MS);
        let (events, address) = (self.events.clone(), self.shared.settings.target.address);
        tokio::spawn(async move {
            let connected = timeout(TARGET_PROBE_LIMIT, TcpStream::connect(address)).await;
            let is_ready = matches!(connected, Ok(Ok(_)));
            let _ = events.send(ControlEvent::TargetProbed(is_ready)).await;
        });
    }

    fn finish_target_probe(&mut self, is_ready: bool, now: TimePoint) {
        if self.drain != DrainPhase::Serving {
            return;
        }
        let status = self.members.own().target.status;
        self.target_failures = if is_ready { 0 } else { self.target_failures + 1 };
        if is_ready && status == TargetStatus::Starting {
            self.shared.gate.lock().state.open(now);
            self.set_target_status(TargetStatus::Serving, now);
            self.ring
                .record(EventKind::TargetReady, "the target takes connections", now);
        } else if self.target_failures >= TARGET_LOST_AFTER && status == TargetStatus::Serving {
            self.shared.gate.lock().state.close();
            self.set_target_status(TargetStatus::Starting, now);
            self.ring.record(
                EventKind::TargetLost,
                "the target takes no connections; look at its log",
                now,
            );
        }
    }

    fn set_target_status(&mut self, status: TargetStatus, now: TimePoint) {
        let effects = self.members.set_target_status(status);
        self.is_stale = true;
        self.carry_out(effects, now);
    }

    // Leaving.

    fn start_drain(&mut self, now: TimePoint) {
        if self.drain != DrainPhase::Serving {
            return;
        }
        self.ring.record(
            EventKind::Leaving,
            "new work is refused, running calls are finished",
            now,
        );
        self.drain = DrainPhase::Finishing {
            announced_until: now.after_ms(DRAIN_ANNOUNCE_MS),
            limit: now.after_ms(self.shared.settings.drain_limit_ms),
        };
        self.shared.is_leaving.store(true, Ordering::Release);
        {
            let mut gate = self.shared.gate.lock();
            let wakes = gate.state.drain();
            gate.wake(wakes, now);
        }
        self.set_target_status(TargetStatus::Leaving, now);
    }

    /// Returns true when the daemon may exit.
    fn tick_drain(&mut self, now: TimePoint) -> bool {
        match self.drain {
            DrainPhase::Serving => false,
            DrainPhase::Finishing {
                announced_until,
                limit,
            } => {
                let is_idle = self.shared.gate.lock().state.is_drained()
                    && self.shared.active_calls.load(Ordering::Acquire) == 0;
                if (is_idle && now >= announced_until) || now >= limit {
                    self.shared.is_closed.store(true, Ordering::Release);
                    self.drain = DrainPhase::Quiet {
                        until: now.after_ms(DRAIN_QUIET_MS),
                    };
                    self.ring
                        .record(EventKind::Drained, format!("idle={is_idle}"), now);
                }
                false
            }
            DrainPhase::Quiet { until } => {
                if now >= until {
                    let effects = self.members.leave();
                    self.carry_out(effects, now);
                }
                now >= until
            }
        }
    }

    // Answers.

    fn answer(&mut self, request: Envelope<ControlRequest>, now: TimePoint) -> ControlReply {
        match request.body {
            ControlRequest::Sync(request) => {
                let (reply, effects) = self.members.answer_sync(*request, now);
                self.carry_out(effects, now);
                ControlReply::Sync(reply)
            }
            ControlRequest::Config(request) => ControlReply::Config(ConfigReply::answer(
                &request,
                self.spread.head().map(|head| &**head),
            )),
            ControlRequest::Poll(request) => {
                let is_serving = self.members.own().target.status == TargetStatus::Serving;
                ControlReply::Poll(Box::new(answer_poll(
                    &self.shared,
                    request,
                    self.instance,
                    is_serving,
                    now,
                )))
            }
        }
    }

    fn answer_query(&self, query: OperatorQuery) {
        match query {
            OperatorQuery::Status(reply) => send_json(reply, &self.status()),
            OperatorQuery::Timeline(reply) => {
                let events: Vec<&TimelineEvent> = self.ring.events().collect();
                send_json(reply, &events);
            }
            OperatorQuery::Head(reply) => {
                let _ = reply.send(self.spread.head().cloned());
            }
        }
    }

    fn status(&self) -> DaemonStatus {
        let head = self.spread.head();
        let open = head.map(|head| head.moves.clone()).unwrap_or_default();
        let board = self.shared.moves.lock();
        let moves = open.into_iter().map(|(pool, order)| {
            let controller = self.moves.controller(&pool);
            let phase = controller.map(|controller| format!("{:?}", controller.phase()).to_lowercase());
            let known = board
                .clearance(&pool)
                .filter(|clearance| clearance.move_id == order.id);
            MoveStatus {
                share: known.map(Clearance::usable_share),
                phase,
                pool,
                order,
            }
        });
        DaemonStatus {
            name: Arc::clone(&self.shared.settings.name),
            version: self.spread.version(),
            floor: self.spread.floor(),
            is_store_up: !self.watch.is_down(),
            in_flight: self.shared.gate.lock().state.in_flight(),
            own: self.members.own().clone(),
            members: self.members.others().cloned().collect(),
            moves: moves.collect(),
            closed: head.map(|head| head.closed.clone()).unwrap_or_default(),
        }
    }
}

fn send_json<T: serde::Serialize>(reply: oneshot::Sender<String>, value: &T) {
    let text = serde_json::to_string(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"));
    let _ = reply.send(text);
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
            service: Arc::clone(&settings.target.service),
            version: Arc::clone(&settings.target.version),
            slots: settings.target.slots,
            status: TargetStatus::Starting,
        },
        applied: 0,
    }
}
