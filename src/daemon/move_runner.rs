//! Runs the controllers of open moves on this daemon: takes over moves without a controller, polls the gates of the pool
//! and carries out the actions of the controllers.

use {
    super::{
        edges::{MoveCloseRequest, StoreEdge},
        envelope::{ControlReply, ControlRequest},
        shared::SharedState,
        tasks::{ControlClient, ControlEvent, ControlPeer},
    },
    crate::{
        clock::TimePoint,
        config::{CompiledPool, CompiledTable, MoveOrder},
        member::{MemberRecord, MemberState, TargetStatus, best_ranked},
        moves::{
            Clearance, GateReport, MoveController, MoveEffect, PollReply, PollRequest, TakeoverState,
            may_check_takeover,
        },
        timeline::{EventKind, EventRing},
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Interval between two takeover checks of a move, in milliseconds.
const TAKEOVER_CHECK_INTERVAL_MS: u64 = 1_000;
/// Number of daemons that may take over a move: one more than may be lost together with the controller's daemon.
const MAX_TAKEOVER_CANDIDATES: usize = 3;
/// Time after its start in which the daemon takes over no move, in milliseconds; two rounds of probes discover most of the
/// other members.
const STARTUP_WAIT_MS: u64 = 2_500;
/// Time after which a takeover check is evaluated without the gates that have not replied, in milliseconds.
const TAKEOVER_CHECK_TIMEOUT_MS: u64 = 800;
/// Wait between two attempts to write a verdict, in milliseconds.
const VERDICT_RETRY_MS: u64 = 1_000;

/// A poll of all gates, without a clearance, that finds out whether a move can be taken over.
#[derive(Debug, Default)]
struct TakeoverCheck {
    replies: Vec<PollReply>,
    polled_gates: usize,
    failed: usize,
    /// Whether more than half of the gates must reply. Applies to all ranks but the first, as a lower rank may be checking
    /// only because it is partitioned from the others.
    needs_majority: bool,
    deadline: TimePoint,
}

/// Clearance that an earlier controller saved in the store. It is read only if no gate holds a clearance of the move any
/// more.
#[derive(Debug)]
enum StoredProgress {
    NotRequested,
    Requested,
    Loaded(Option<Clearance>),
}

/// State of one open move at this daemon.
#[derive(Debug)]
struct OpenMove {
    order: MoveOrder,
    service: Arc<str>,
    check: Option<TakeoverCheck>,
    progress: StoredProgress,
    /// The controller, while this daemon holds the move.
    controller: Option<MoveController>,
    /// When the next takeover check, or the next poll of the controller, is due.
    next_poll_at: TimePoint,
    /// Earliest time of the next attempt to write the verdict.
    next_verdict_at: TimePoint,
    is_writing_verdict: bool,
}

/// Parts of the daemon that a [`MoveRunner`] uses in a tick.
#[derive(Debug)]
pub struct MoveContext<'a> {
    /// Members of the mesh.
    pub members: &'a MemberState,
    /// Store for progress and verdicts.
    pub store: &'a mut dyn StoreEdge,
    /// Timeline that events are recorded in.
    pub ring: &'a mut EventRing,
    /// Current time.
    pub now: TimePoint,
}

/// All open moves of this daemon's service.
#[derive(Debug)]
pub struct MoveRunner {
    shared: Arc<SharedState>,
    client: ControlClient,
    moves: IndexMap<Arc<str>, OpenMove>,
    is_leaving: bool,
}

impl MoveRunner {
    /// Creates a runner without moves.
    pub fn new(shared: Arc<SharedState>, client: ControlClient) -> Self {
        Self {
            shared,
            client,
            moves: IndexMap::new(),
            is_leaving: false,
        }
    }

    /// Replaces the open moves by those of a new configuration; controllers of moves that remain keep running.
    pub fn set_table(&mut self, table: &CompiledTable, now: TimePoint) {
        let own_service = &self.shared.settings.target.service;
        let is_own = |pool: &CompiledPool| pool.order.is_some() && pool.entry.service == *own_service;
        self.moves.retain(|pool, open_move| {
            let order = table.pools.get(pool).and_then(|pool| pool.order.as_ref());
            order.is_some_and(|order| order.id == open_move.order.id)
        });
        for pool in table.pools.values().filter(|pool| is_own(pool)) {
            let Some(order) = &pool.order else { continue };
            let open_move = self
                .moves
                .entry(Arc::clone(&pool.name))
                .or_insert_with(|| OpenMove {
                    order: order.clone(),
                    service: Arc::clone(&pool.entry.service),
                    check: None,
                    progress: StoredProgress::NotRequested,
                    controller: None,
                    next_poll_at: now,
                    next_verdict_at: now,
                    is_writing_verdict: false,
                });
            open_move.order = order.clone();
            if let Some(controller) = &mut open_move.controller {
                controller.change_order(order.clone());
            }
        }
    }

    /// Returns the controller of a pool's move, if this daemon holds it.
    pub fn controller(&self, pool: &str) -> Option<&MoveController> {
        self.moves.get(pool)?.controller.as_ref()
    }

    /// Runs the controllers and takeover checks that are due.
    pub fn tick(&mut self, mut context: MoveContext<'_>) {
        if self.is_leaving {
            return;
        }
        let pools: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        for pool in pools {
            self.tick_move(&pool, &mut context);
        }
    }

    /// Runs the controller of a move if this daemon holds it; otherwise starts a takeover check if one is due.
    fn tick_move(&mut self, pool: &Arc<str>, context: &mut MoveContext<'_>) {
        let now = context.now;
        self.finish_takeover_check(pool, context);
        let Some(open_move) = self.moves.get_mut(pool) else {
            return;
        };
        if open_move.controller.is_some() {
            self.run_controller(pool, context);
            return;
        }
        // A daemon that has just started knows too few members to compute its rank.
        if now < self.shared.started_at.after_ms(STARTUP_WAIT_MS) {
            return;
        }
        let service = &open_move.service;
        let order = &open_move.order;
        let candidates = controller_candidates(context.members, service, order);
        let ranked = best_ranked(pool, candidates.into_iter(), MAX_TAKEOVER_CANDIDATES);
        let Some(rank) = ranked
            .iter()
            .position(|name| *name == &*context.members.own().name)
        else {
            return;
        };
        let expired_for_ms = self.shared.moves.lock().expired_for_ms(pool, order.id, now);
        if may_check_takeover(rank, expired_for_ms)
            && open_move.check.is_none()
            && now >= open_move.next_poll_at
        {
            open_move.next_poll_at = now.after_ms(TAKEOVER_CHECK_INTERVAL_MS);
            let polled_gates = self.poll_gates(pool, None, context.members, context.ring, now);
            if let Some(open_move) = self.moves.get_mut(pool) {
                let deadline = now.after_ms(TAKEOVER_CHECK_TIMEOUT_MS);
                open_move.check = Some(TakeoverCheck {
                    polled_gates,
                    needs_majority: rank > 0,
                    deadline,
                    ..TakeoverCheck::default()
                });
            }
        }
    }

    /// Evaluates a takeover check once all gates have replied or its time is up, and starts a controller if the move is
    /// free. Reads the clearance from the store first if no gate holds one.
    fn finish_takeover_check(&mut self, pool: &Arc<str>, context: &mut MoveContext<'_>) {
        let now = context.now;
        let Some(open_move) = self.moves.get_mut(pool) else {
            return;
        };
        let is_complete = open_move.check.as_ref().is_some_and(|check| {
            check.replies.len() + check.failed >= check.polled_gates || now >= check.deadline
        });
        if !is_complete {
            return;
        }
        let Some(check) = open_move.check.take() else {
            return;
        };
        let (takeover, held) = MoveController::takeover_state(&check.replies, &context.members.own().name);
        let is_partitioned = check.needs_majority && check.replies.len() * 2 <= check.polled_gates;
        if takeover == TakeoverState::Held || is_partitioned {
            return;
        }
        let held = match (held, &open_move.progress) {
            (Some(held), _) => Some(held),
            (None, StoredProgress::Loaded(stored)) => stored.clone(),
            (None, StoredProgress::Requested) => return,
            (None, StoredProgress::NotRequested) => {
                open_move.progress = StoredProgress::Requested;
                context.store.read_progress(pool, open_move.order.id);
                return;
            }
        };
        let holder = Arc::clone(&context.members.own().name);
        let mut controller = MoveController::new(open_move.order.clone(), holder, held.as_ref(), now);
        let epoch = controller.clearance().epoch;
        let share = controller.clearance().share * 100.0;
        let detail = format!(
            "epoch={epoch} share={share:.0}% from={} to={}",
            open_move.order.from, open_move.order.to
        );
        context
            .ring
            .record_move(EventKind::MoveHeld, pool, open_move.order.id, detail, now);
        controller.replay_windows(&check.replies);
        open_move.controller = Some(controller);
        open_move.next_poll_at = now;
    }

    /// Carries out the actions of a move's controller, and polls the gates if the interval is over, the clearance changed
    /// or the verdict is written.
    fn run_controller(&mut self, pool: &Arc<str>, context: &mut MoveContext<'_>) {
        let now = context.now;
        let Some(open_move) = self.moves.get_mut(pool) else {
            return;
        };
        let Some(controller) = &mut open_move.controller else {
            return;
        };
        let move_id = open_move.order.id;
        let effects = controller.tick(now);
        let mut is_poll_due = now >= open_move.next_poll_at;
        for effect in effects {
            match effect {
                MoveEffect::Cleared { reason } => {
                    let share = controller.clearance().share * 100.0;
                    context.ring.record_move(
                        EventKind::MoveCleared,
                        pool,
                        move_id,
                        format!("share={share:.0}% {reason}"),
                        now,
                    );
                    is_poll_due = true;
                    context
                        .store
                        .save_progress(pool, &open_move.order, controller.clearance());
                }
                MoveEffect::AtRisk { reason } => {
                    context
                        .ring
                        .record_move(EventKind::MoveAtRisk, pool, move_id, reason, now);
                }
                MoveEffect::Decide { verdict, reason } => {
                    if !open_move.is_writing_verdict && now >= open_move.next_verdict_at {
                        open_move.is_writing_verdict = true;
                        let detail = format!("verdict={verdict}: {reason}");
                        context
                            .ring
                            .record_move(EventKind::MoveDecided, pool, move_id, detail, now);
                        context.store.close_move(MoveCloseRequest {
                            pool: Arc::clone(pool),
                            order: open_move.order.clone(),
                            verdict,
                            reason,
                            at: now,
                        });
                        is_poll_due = true;
                    }
                }
            }
        }
        if is_poll_due {
            controller.on_poll(now);
            open_move.next_poll_at = now.after_ms(controller.poll_ms());
            let clearance = controller.clearance().clone();
            self.poll_gates(pool, Some(&clearance), context.members, context.ring, now);
        }
    }

    /// Polls every gate of the pool's service, including that of this daemon, and returns their number.
    fn poll_gates(
        &mut self,
        pool: &Arc<str>,
        clearance: Option<&Clearance>,
        members: &MemberState,
        ring: &mut EventRing,
        now: TimePoint,
    ) -> usize {
        let Some(open_move) = self.moves.get(pool) else {
            return 0;
        };
        let request = PollRequest {
            pool: Arc::clone(pool),
            move_id: open_move.order.id,
            clearance: clearance.cloned(),
        };
        let gates: Vec<ControlPeer> = members
            .present()
            .filter(|record| record.target.service == open_move.service)
            .map(|record| ControlPeer {
                address: record.control,
                reach: members.reach_of(record),
            })
            .collect();
        for gate in &gates {
            let (pool, move_id) = (Arc::clone(pool), open_move.order.id);
            let with_clearance = clearance.is_some();
            let request = ControlRequest::Poll(request.clone());
            self.client
                .request(*gate, ring.stamp(now), request, None, move |reply| {
                    let reply = match reply {
                        Some(ControlReply::Poll(reply)) => Some(*reply),
                        _ => None,
                    };
                    ControlEvent::PollDone {
                        pool,
                        move_id,
                        with_clearance,
                        reply,
                    }
                });
        }
        gates.len()
    }

    /// Handles the reply of a gate to a poll; `None` if the poll failed. Drops the controller if the gate holds a clearance
    /// of another one that supersedes its own.
    pub fn finish_poll(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        with_clearance: bool,
        reply: Option<PollReply>,
        ring: &mut EventRing,
        now: TimePoint,
    ) {
        let Some(open_move) = self
            .moves
            .get_mut(pool)
            .filter(|open_move| open_move.order.id == move_id)
        else {
            return;
        };
        if let Some(check) = open_move.check.as_mut().filter(|_| !with_clearance) {
            match reply {
                Some(reply) => check.replies.push(reply),
                None => check.failed += 1,
            }
            return;
        }
        let (Some(controller), Some(reply)) = (&mut open_move.controller, reply) else {
            return;
        };
        let superseding = reply.held.as_ref().filter(|held| {
            !reply.accepted
                && held.supersedes(controller.clearance())
                && held.holder != controller.clearance().holder
        });
        if let Some(held) = superseding {
            let detail = format!("held by {} in epoch {}", held.holder, held.epoch);
            ring.record_move(EventKind::MoveReleased, pool, move_id, detail, now);
            open_move.controller = None;
            open_move.next_poll_at = now.after_ms(TAKEOVER_CHECK_INTERVAL_MS);
            return;
        }
        controller.add_report(reply.report, now);
    }

    /// Handles the clearance read from the store; `None` if there is none or the store is down.
    pub fn finish_progress(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        stored: Option<Clearance>,
        now: TimePoint,
    ) {
        if let Some(open_move) = self
            .moves
            .get_mut(pool)
            .filter(|open_move| open_move.order.id == move_id)
        {
            open_move.progress = StoredProgress::Loaded(stored.filter(|stored| stored.move_id == move_id));
            open_move.next_poll_at = now;
        }
    }

    /// Handles the end of an attempt to write a verdict, and schedules the next one.
    pub fn finish_verdict(&mut self, pool: &Arc<str>, move_id: u64, now: TimePoint) {
        if let Some(open_move) = self
            .moves
            .get_mut(pool)
            .filter(|open_move| open_move.order.id == move_id)
        {
            open_move.is_writing_verdict = false;
            open_move.next_verdict_at = now.after_ms(VERDICT_RETRY_MS);
        }
    }

    /// Releases all moves of this daemon, which is about to leave, by polling the gates with released clearances. Starts no
    /// controller afterwards.
    pub fn release(&mut self, members: &MemberState, ring: &mut EventRing, now: TimePoint) {
        self.is_leaving = true;
        let pools: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        for pool in pools {
            let controller = self
                .moves
                .get_mut(&pool)
                .and_then(|open_move| open_move.controller.take());
            if let Some(controller) = controller {
                let clearance = controller.clearance().released();
                self.poll_gates(&pool, Some(&clearance), members, ring, now);
                let move_id = clearance.move_id;
                ring.record_move(EventKind::MoveReleased, &pool, move_id, "the daemon leaves", now);
            }
        }
    }

    /// Makes the next takeover check of a released move due at once.
    pub fn schedule_takeover_check(&mut self, pool: &str, now: TimePoint) {
        if let Some(open_move) = self.moves.get_mut(pool) {
            open_move.next_poll_at = now;
        }
    }

    /// Returns the order of an open move.
    pub fn order(&self, pool: &str) -> Option<&MoveOrder> {
        self.moves.get(pool).map(|open_move| &open_move.order)
    }
}

/// Handles a poll of this daemon's gate: renews the lease if the request has a clearance, and returns the report.
pub fn answer_poll(
    shared: &SharedState,
    request: PollRequest,
    instance: u64,
    is_serving: bool,
    now: TimePoint,
) -> PollReply {
    let target = shared.target.load();
    let mut registry = shared.moves.lock();
    let lease = registry.leases.entry(Arc::clone(&request.pool)).or_default();
    let offered = request.clearance;
    let accepted = offered
        .clone()
        .is_some_and(|clearance| lease.renew(clearance, now));
    let held = lease.held(request.move_id).cloned();
    let lease_left_ms = lease.left_ms(now);
    if let Some(held) = &held {
        registry.update_clearance(&request.pool, held.clone());
    }
    drop(registry);
    let is_observer = offered.is_none();
    let in_flight = shared.gate.lock().state.in_flight();
    let report = GateReport {
        gate: Arc::clone(&shared.settings.name),
        instance,
        version: Arc::clone(&target.version),
        is_serving,
        slots: target.slots,
        in_flight,
        routes: shared.evidence.lock().routes().clone(),
    };
    PollReply {
        report,
        held,
        lease_left_ms,
        accepted,
        recent: if is_observer {
            shared.evidence.lock().recent()
        } else {
            Vec::new()
        },
    }
}

/// Returns the daemons that may control a move: those beside serving targets that the move leaves. If all of these are lost,
/// those beside targets of the new version, as otherwise nobody would clear or judge it.
fn controller_candidates<'a>(members: &'a MemberState, service: &str, order: &MoveOrder) -> Vec<&'a str> {
    let serving = members
        .present()
        .filter(|record| *record.target.service == *service && record.target.status == TargetStatus::Serving);
    let (beside_new, beside_old): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
        serving.partition(|record| record.target.version == order.to);
    let candidates = if beside_old.is_empty() {
        beside_new
    } else {
        beside_old
    };
    candidates.into_iter().map(|record| &*record.name).collect()
}
