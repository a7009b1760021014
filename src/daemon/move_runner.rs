//! Runs the controllers of open moves on this daemon: takes free moves over, polls the gates of the pool and
//! carries out what the controllers decide.

use {
    super::{
        edges::{MoveCloseRequest, StoreEdge},
        envelope::{ControlReply, ControlRequest},
        shared::SharedState,
        tasks::{ControlClient, ControlEvent},
    },
    crate::{
        clock::TimePoint,
        config::{CompiledPool, CompiledTable, MoveOrder},
        member::{MemberState, TargetStatus, best_ranked},
        moves::{
            Clearance, ControllerStart, GateReport, MoveController, MoveEffect, PollReply, PollRequest,
            WINDOW_MS, may_look,
        },
        timeline::{EventKind, EventRing},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
};

/// Time between two looks at a move that another daemon holds, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 1_000;
/// Daemons that may take over a move whose controller is gone: one more than may be lost with it.
const SUCCESSORS: usize = 3;
/// Time after the start of the daemon in which it takes over no move, in milliseconds; it learns of most others in
/// two rounds of probes.
const LEARN_MS: u64 = 2_500;
/// Time after which a look is evaluated without the gates that did not answer, in milliseconds.
const LOOK_WAIT_MS: u64 = 800;
/// Pause between two tries, in milliseconds.
const VERDICT_PAUSE_MS: u64 = 1_000;

/// A look at the gates before a move is taken over.
#[derive(Debug, Default)]
struct MoveLook {
    replies: Vec<PollReply>,
    asked: usize,
    failed: usize,
    /// Whether most gates must have answered: not the first in rank looks, who may just be cut off from the others.
    needs_most: bool,
    until: TimePoint,
}

/// What is known of the progress that an earlier controller kept in the store. It is asked for only when no gate
/// knows of the move any more.
#[derive(Debug)]
enum StoredProgress {
    Unasked,
    Asked,
    Known(Option<Clearance>),
}

/// One open move as this daemon sees it.
#[derive(Debug)]
struct OpenMove {
    order: MoveOrder,
    service: Arc<str>,
    look: Option<MoveLook>,
    progress: StoredProgress,
    controller: Option<MoveController>,
    due_at: TimePoint,
    verdict_at: TimePoint,
    is_writing: bool,
}

/// What the moves are run with.
#[derive(Debug)]
pub struct MoveContext<'a> {
    /// Daemons of the mesh.
    pub members: &'a MemberState,
    /// Store that keeps progress and verdicts.
    pub store: &'a mut dyn StoreEdge,
    /// Time line.
    pub ring: &'a mut EventRing,
    /// The present time.
    pub now: TimePoint,
}

/// All open moves of the own service.
#[derive(Debug)]
pub struct MoveRunner {
    shared: Arc<SharedState>,
    client: ControlClient,
    moves: IndexMap<Arc<str>, OpenMove>,
    is_leaving: bool,
}

impl MoveRunner {
    /// Makes a runner without moves.
    pub fn new(shared: Arc<SharedState>, client: ControlClient) -> Self {
        Self {
            shared,
            client,
            moves: IndexMap::new(),
            is_leaving: false,
        }
    }

    /// Takes over the open moves of a new configuration.
    pub fn set_table(&mut self, table: &CompiledTable, now: TimePoint) {
        let own_service = &self.shared.settings.target.service;
        let wanted = |pool: &CompiledPool| pool.order.is_some() && pool.entry.service == *own_service;
        self.moves.retain(|pool, open| {
            let order = table.pools.get(pool).and_then(|pool| pool.order.as_ref());
            order.is_some_and(|order| order.id == open.order.id)
        });
        for pool in table.pools.values().filter(|pool| wanted(pool)) {
            let Some(order) = &pool.order else { continue };
            let open = self
                .moves
                .entry(Arc::clone(&pool.name))
                .or_insert_with(|| OpenMove {
                    order: order.clone(),
                    service: Arc::clone(&pool.entry.service),
                    look: None,
                    progress: StoredProgress::Unasked,
                    controller: None,
                    due_at: now,
                    verdict_at: now,
                    is_writing: false,
                });
            open.order = order.clone();
            if let Some(controller) = &mut open.controller {
                controller.change_order(order.clone());
            }
        }
    }

    /// Returns the controller of a pool's move, if this daemon holds it.
    pub fn controller(&self, pool: &str) -> Option<&MoveController> {
        self.moves.get(pool)?.controller.as_ref()
    }

    /// Does what is due.
    pub fn tick(&mut self, mut around: MoveContext<'_>) {
        if self.is_leaving {
            return;
        }
        let pools: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        for pool in pools {
            self.tick_move(&pool, &mut around);
        }
    }

    fn tick_move(&mut self, pool: &Arc<str>, around: &mut MoveContext<'_>) {
        let now = around.now;
        self.finish_look(pool, around);
        let Some(open) = self.moves.get_mut(pool) else {
            return;
        };
        if open.controller.is_some() {
            self.run_controller(pool, around);
            return;
        }
        // A daemon that has just started knows too few others to tell whether it is the one.
        if now < self.shared.started_at.after_ms(LEARN_MS) {
            return;
        }
        let service = &open.service;
        let order = &open.order;
        let gates = around.members.present().filter(|record| {
            record.target.service == *service
                && record.target.version != order.to
                && record.target.status == TargetStatus::Serving
        });
        let ranked = best_ranked(pool, gates.map(|record| &*record.name), SUCCESSORS);
        let Some(rank) = ranked
            .iter()
            .position(|name| *name == &*around.members.own().name)
        else {
            return;
        };
        let expired_for_ms = self.shared.moves.lock().expired_for_ms(pool, order.id, now);
        if may_look(rank, expired_for_ms) && open.look.is_none() && now >= open.due_at {
            open.due_at = now.after_ms(LOOK_INTERVAL_MS);
            let asked = self.poll_gates(pool, None, around.members, around.ring, now);
            if let Some(open) = self.moves.get_mut(pool) {
                let until = now.after_ms(LOOK_WAIT_MS);
                open.look = Some(MoveLook {
                    asked,
                    needs_most: rank > 0,
                    until,
                    ..MoveLook::default()
                });
            }
        }
    }

    fn finish_look(&mut self, pool: &Arc<str>, around: &mut MoveContext<'_>) {
        let now = around.now;
        let Some(open) = self.moves.get_mut(pool) else {
            return;
        };
        let is_over = open
            .look
            .as_ref()
            .is_some_and(|look| look.replies.len() + look.failed >= look.asked || now >= look.until);
        if !is_over {
            return;
        }
        let Some(look) = open.look.take() else { return };
        let (start, held) = MoveController::look(&look.replies, &around.members.own().name);
        let is_cut_off = look.needs_most && look.replies.len() * 2 <= look.asked;
        if start == ControllerStart::Held || is_cut_off {
            return;
        }
        let held = match (held, &open.progress) {
            (Some(held), _) => Some(held),
            (None, StoredProgress::Known(stored)) => stored.clone(),
            (None, StoredProgress::Asked) => return,
            (None, StoredProgress::Unasked) => {
                open.progress = StoredProgress::Asked;
                around.store.read_progress(pool, open.order.id);
                return;
            }
        };
        let holder = Arc::clone(&around.members.own().name);
        let mut controller = MoveController::new(open.order.clone(), holder, held.as_ref(), now);
        let epoch = controller.clearance().epoch;
        let share = controller.clearance().share * 100.0;
        let detail = format!(
            "epoch={epoch} share={share:.0}% from={} to={}",
            open.order.from, open.order.to
        );
        around
            .ring
            .record_move(EventKind::MoveHeld, pool, open.order.id, detail, now);
        controller.add_past(&look.replies);
        open.controller = Some(controller);
        open.due_at = now;
    }

    fn run_controller(&mut self, pool: &Arc<str>, around: &mut MoveContext<'_>) {
        let now = around.now;
        let Some(open) = self.moves.get_mut(pool) else {
            return;
        };
        let Some(controller) = &mut open.controller else {
            return;
        };
        let move_id = open.order.id;
        let effects = controller.tick(now);
        let mut poll_now = now >= open.due_at;
        for effect in effects {
            match effect {
                MoveEffect::Cleared { reason } => {
                    let share = controller.clearance().share * 100.0;
                    around.ring.record_move(
                        EventKind::MoveCleared,
                        pool,
                        move_id,
                        format!("share={share:.0}% {reason}"),
                        now,
                    );
                    poll_now = true;
                    around
                        .store
                        .save_progress(pool, &open.order, controller.clearance());
                }
                MoveEffect::AtRisk { reason } => {
                    around
                        .ring
                        .record_move(EventKind::MoveAtRisk, pool, move_id, reason, now);
                }
                MoveEffect::Decide { verdict, reason } => {
                    if !open.is_writing && now >= open.verdict_at {
                        open.is_writing = true;
                        let detail = format!("verdict={verdict}: {reason}");
                        around
                            .ring
                            .record_move(EventKind::MoveDecided, pool, move_id, detail, now);
                        around.store.close_move(MoveCloseRequest {
                            pool: Arc::clone(pool),
                            order: open.order.clone(),
                            verdict,
                            reason,
                            at: now,
                        });
                        poll_now = true;
                    }
                }
            }
        }
        if poll_now {
            controller.note_poll(now);
            open.due_at = now.after_ms(WINDOW_MS);
            let clearance = controller.clearance().clone();
            self.poll_gates(pool, Some(&clearance), around.members, around.ring, now);
        }
    }

    /// Polls every gate of the pool's service, the own one included; returns how many.
    fn poll_gates(
        &mut self,
        pool: &Arc<str>,
        clearance: Option<&Clearance>,
        members: &MemberState,
        ring: &mut EventRing,
        now: TimePoint,
    ) -> usize {
        let Some(open) = self.moves.get(pool) else {
            return 0;
        };
        let request = PollRequest {
            pool: Arc::clone(pool),
            move_id: open.order.id,
            clearance: clearance.cloned(),
        };
        let gates: Vec<SocketAddr> = members
            .present()
            .filter(|record| record.target.service == open.service)
            .map(|record| record.control)
            .collect();
        for gate in &gates {
            let (pool, move_id) = (Arc::clone(pool), open.order.id);
            let with_clearance = clearance.is_some();
            let request = ControlRequest::Poll(request.clone());
            self.client
                .request(*gate, ring.stamp(now), request, move |reply| {
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

    /// Takes in the answer to a poll.
    pub fn finish_poll(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        with_clearance: bool,
        reply: Option<PollReply>,
        ring: &mut EventRing,
        now: TimePoint,
    ) {
        let Some(open) = self.moves.get_mut(pool).filter(|open| open.order.id == move_id) else {
            return;
        };
        if let Some(look) = open.look.as_mut().filter(|_| !with_clearance) {
            match reply {
                Some(reply) => look.replies.push(reply),
                None => look.failed += 1,
            }
            return;
        }
        let (Some(controller), Some(reply)) = (&mut open.controller, reply) else {
            return;
        };
        let outranked = reply.held.as_ref().filter(|held| {
            !reply.accepted
                && held.supersedes(controller.clearance())
                && held.holder != controller.clearance().holder
        });
        if let Some(held) = outranked {
            let detail = format!("held by {} in epoch {}", held.holder, held.epoch);
            ring.record_move(EventKind::MoveReleased, pool, move_id, detail, now);
            open.controller = None;
            open.due_at = now.after_ms(LOOK_INTERVAL_MS);
            return;
        }
        controller.add_report(reply.report, now);
    }

    /// Takes in the progress that the store keeps; `None` if there is none or the store is down.
    pub fn finish_progress(
        &mut self,
        pool: &Arc<str>,
        move_id: u64,
        stored: Option<Clearance>,
        now: TimePoint,
    ) {
        if let Some(open) = self.moves.get_mut(pool).filter(|open| open.order.id == move_id) {
            open.progress = StoredProgress::Known(stored.filter(|stored| stored.move_id == move_id));
            open.due_at = now;
        }
    }

    /// Takes in the end of a try to write a verdict.
    pub fn finish_verdict(&mut self, pool: &Arc<str>, move_id: u64, now: TimePoint) {
        if let Some(open) = self.moves.get_mut(pool).filter(|open| open.order.id == move_id) {
            open.is_writing = false;
            open.verdict_at = now.after_ms(VERDICT_PAUSE_MS);
        }
    }

    /// Hands the moves held here over, as the daemon leaves: the gates are told that the clearances are free.
    pub fn release(&mut self, members: &MemberState, ring: &mut EventRing, now: TimePoint) {
        self.is_leaving = true;
        let pools: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        for pool in pools {
            let controller = self.moves.get_mut(&pool).and_then(|open| open.controller.take());
            if let Some(controller) = controller {
                let clearance = controller.clearance().released();
                self.poll_gates(&pool, Some(&clearance), members, ring, now);
                let move_id = clearance.move_id;
                ring.record_move(EventKind::MoveReleased, &pool, move_id, "the daemon leaves", now);
            }
        }
    }

    /// Looks at once whether a move that was handed over is to be taken over here.
    pub fn schedule_takeover_check(&mut self, pool: &str, now: TimePoint) {
        if let Some(open) = self.moves.get_mut(pool) {
            open.due_at = now;
        }
    }

    /// Returns the order of an open move.
    pub fn order(&self, pool: &str) -> Option<&MoveOrder> {
        self.moves.get(pool).map(|open| &open.order)
    }
}

/// Answers a poll at the own gate.
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
    let is_look = offered.is_none();
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
        recent: if is_look {
            shared.evidence.lock().recent()
        } else {
            Vec::new()
        },
    }
}
