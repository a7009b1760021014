//! Answers to other daemons and to operators.

use {
    super::ControlState,
    crate::{
        clock::TimePoint,
        daemon::{
            envelope::{ControlReply, ControlRequest, Envelope},
            move_runner::answer_poll,
            operators::{DaemonStatus, MoveStatus},
            tasks::OperatorQuery,
        },
        member::TargetStatus,
        moves::Clearance,
        timeline::TimelineEvent,
    },
    std::sync::Arc,
    tokio::sync::oneshot,
};

impl ControlState {
    /// Answers a request of another daemon.
    pub(super) fn answer(&mut self, request: Envelope<ControlRequest>, now: TimePoint) -> ControlReply {
        match request.body {
            ControlRequest::Sync(request) => {
                self.send_suspects(request.own.control, now);
                let (reply, effects) = self.members.answer_sync(*request, now);
                self.apply_effects(effects, now);
                ControlReply::Sync(reply)
            }
            ControlRequest::Config(request) => ControlReply::Config(self.spread.answer_pull(&request)),
            ControlRequest::Poll(request) => {
                if request.clearance.as_ref().is_some_and(Clearance::is_released) {
                    self.moves.schedule_takeover_check(&request.pool, now);
                }
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

    /// Answers a query of an operator.
    pub(super) fn answer_query(&self, query: OperatorQuery, now: TimePoint) {
        match query {
            OperatorQuery::Status(reply) => send_json(reply, &self.status(now)),
            OperatorQuery::Timeline(reply) => {
                let events: Vec<&TimelineEvent> = self.ring.events().collect();
                send_json(reply, &events);
            }
            OperatorQuery::Head(reply) => {
                let _ = reply.send(self.spread.head().cloned());
            }
        }
    }

    /// Returns the state of the daemon as shown to operators.
    pub(super) fn status(&self, now: TimePoint) -> DaemonStatus {
        let head = self.spread.head();
        let open = head.map(|head| head.moves.clone()).unwrap_or_default();
        let registry = self.shared.moves.lock();
        let moves = open.into_iter().map(|(pool, order)| {
            let controller = self.moves.controller(&pool);
            let phase = controller.map(|controller| controller.phase().to_string());
            let clearance = registry
                .clearance(&pool)
                .filter(|clearance| clearance.move_id == order.id);
            MoveStatus {
                share: clearance.map(Clearance::usable_share),
                phase,
                pool,
                order,
            }
        });
        DaemonStatus {
            name: Arc::clone(&self.shared.settings.name),
            version: self.spread.version(),
            floor: self.spread.floor(),
            newest: self.spread.newest_version(),
            standing: Some(self.standing),
            standing_ms: now.ms_since(self.standing_since),
            is_store_up: !self.store_was_down,
            in_flight: self.shared.gate.lock().state.in_flight(),
            own: self.members.own().clone(),
            members: self.members.others().cloned().collect(),
            moves: moves.collect(),
            closed: head.map(|head| head.closed.clone()).unwrap_or_default(),
            evacuations: head.map(|head| head.tail.evacuations.clone()).unwrap_or_default(),
            suspects: self.shared.quarantine.lock().records(now),
        }
    }
}

fn send_json<T: serde::Serialize>(reply: oneshot::Sender<String>, value: &T) {
    let text = serde_json::to_string(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"));
    let _ = reply.send(text);
}
