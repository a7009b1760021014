//! The operators' listener and the control listener: HTTP handlers that ask the control thread.

use {
    super::{
        envelope::{ControlRequest, decode_envelope, encode_envelope},
        shared::SharedState,
        tasks::{ControlEvent, OperatorQuery},
        traffic::read_limited,
    },
    crate::{
        codec::{self, MAX_MESSAGE_BYTES},
        config::{ClosedMove, MoveOrder},
        macros::value_type,
        member::MemberRecord,
    },
    bytes::Bytes,
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderValue, ResBody, StatusCode, header::CONTENT_TYPE},
    },
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

value_type! {
    /// An open move as one daemon sees it.
    pub struct MoveStatus {
        /// Pool that moves.
        pub pool: Arc<str>,
        /// The order.
        pub order: MoveOrder,
        /// Share of the new version as far as the daemon knows it.
        pub share: Option<f64>,
        /// Phase, if the daemon holds the move.
        pub phase: Option<String>,
    }
}

value_type! {
    /// What a daemon tells operators of itself.
    pub struct DaemonStatus {
        /// Its name.
        pub name: Arc<str>,
        /// Configuration version in force.
        pub version: u64,
        /// Lowest version that it may apply.
        pub floor: u64,
        /// Whether the store answered the last call.
        pub is_store_up: bool,
        /// Calls that run at its gate.
        pub in_flight: u32,
        /// Its own record.
        pub own: MemberRecord,
        /// The other daemons that it knows.
        pub members: Vec<MemberRecord>,
        /// Open moves.
        pub moves: Vec<MoveStatus>,
        /// Moves that ended, oldest first.
        pub closed: Vec<ClosedMove>,
    }
}

/// Answers operators.
#[derive(Debug)]
pub struct OperatorHandler {
    /// Shared state.
    pub shared: Arc<SharedState>,
    /// Where the control thread listens.
    pub events: mpsc::Sender<ControlEvent>,
}

/// Answers other daemons.
#[derive(Debug)]
pub struct ControlHandler {
    /// Shared state.
    pub shared: Arc<SharedState>,
    /// Where the control thread listens.
    pub events: mpsc::Sender<ControlEvent>,
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        match (req.method().as_str(), path.as_str()) {
            ("GET", "/status") => self.ask_json(res, OperatorQuery::Status).await,
            ("GET", "/timeline") => self.ask_json(res, OperatorQuery::Timeline).await,
            ("GET", "/head") => self.answer_head(res).await,
            ("GET", "/metrics") => {
                answer(
                    res,
                    "application/openmetrics-text; version=1.0.0",
                    self.shared.metrics.render(),
                );
            }
            ("POST", "/drain") => {
                let _ = self.events.send(ControlEvent::Drain).await;
                answer(res, "text/plain", "draining\n");
            }
            _ => {
                res.status_code(StatusCode::NOT_FOUND);
                answer(
                    res,
                    "text/plain",
                    "known are GET /status, /timeline, /head, /metrics and POST /drain\n",
                );
            }
        }
    }
}

impl OperatorHandler {
    async fn ask<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(ControlEvent::Query(query(reply))).await.ok()?;
        answer.await.ok()
    }

    async fn ask_json(
        &self,
        res: &mut Response,
        query: impl FnOnce(oneshot::Sender<String>) -> OperatorQuery,
    ) {
        match self.ask(query).await {
            Some(text) => answer(res, "application/json", text),
            None => unavailable(res),
        }
    }

    async fn answer_head(&self, res: &mut Response) {
        let head = self.ask(OperatorQuery::Head).await.flatten();
        match head.and_then(|head| codec::encode(&*head).ok()) {
            Some(bytes) => answer(res, "application/msgpack", bytes),
            None => unavailable(res),
        }
    }
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        let Some(bytes) = read_limited(req.take_body(), MAX_MESSAGE_BYTES).await else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            answer(res, "text/plain", "the message is too large or broke off\n");
            return;
        };
        self.shared
            .metrics
            .count_control_bytes("received", "http", bytes.len());
        let request = match decode_envelope::<ControlRequest>(&self.shared.settings.mesh, &bytes) {
            Ok(request) => request,
            Err(error) => {
                res.status_code(StatusCode::BAD_REQUEST);
                answer(res, "text/plain", format!("{error}\n"));
                return;
            }
        };
        let (reply, told) = oneshot::channel();
        if self
            .events
            .send(ControlEvent::Request { request, reply })
            .await
            .is_err()
        {
            unavailable(res);
            return;
        }
        let Ok((stamp, reply)) = told.await else {
            unavailable(res);
            return;
        };
        match encode_envelope(&self.shared.settings.mesh, stamp, reply) {
            Ok(bytes) => {
                self.shared
                    .metrics
                    .count_control_bytes("sent", "http", bytes.len());
                answer(res, "application/msgpack", bytes);
            }
            Err(_) => unavailable(res),
        }
    }
}

fn answer(res: &mut Response, content_type: &'static str, body: impl Into<Bytes>) {
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res.body(ResBody::Once(body.into()));
}

fn unavailable(res: &mut Response) {
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    answer(res, "text/plain", "the daemon has no answer yet; try again\n");
}
