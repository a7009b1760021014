//! HTTP handlers of the operators' listener and the control listener; both query the control thread.

use {
    super::{
        envelope::{ControlRequest, decode_envelope, encode_envelope},
        freshness::TableStanding,
        metrics::ControlLabels,
        shared::SharedState,
        tasks::{ControlEvent, OperatorQuery},
        traffic::read_limited,
    },
    crate::{
        codec::{self, MAX_MESSAGE_BYTES},
        config::{ClosedMove, MoveOrder},
        evacuation::EvacuationOrders,
        macros::value_type,
        member::MemberRecord,
        quarantine::SuspectRecord,
    },
    bytes::Bytes,
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderValue, ResBody, StatusCode, header::CONTENT_TYPE},
    },
    std::sync::Arc,
    tokio::sync::{Semaphore, mpsc, oneshot},
};

/// Room for large control messages that are read at the same time, in bytes.
const MESSAGE_ROOM_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

value_type! {
    /// State of an open move as reported by one daemon.
    pub struct MoveStatus {
        /// Name of the pool.
        pub pool: Arc<str>,
        /// Order of the move.
        pub order: MoveOrder,
        /// Share of calls for the new version, from 0 to 1, in the daemon's latest clearance of the move; `None` without
        /// one.
        pub share: Option<f64>,
        /// Phase of the move; `None` unless the daemon is its controller.
        pub phase: Option<String>,
    }
}

value_type! {
    /// Status of a daemon, as shown to operators.
    pub struct DaemonStatus {
        /// Name of the daemon.
        pub name: Arc<str>,
        /// Configuration version in force.
        pub version: u64,
        /// Lowest version that the daemon may apply.
        pub floor: u64,
        /// Newest version that the daemon has heard of.
        #[serde(default)]
        pub newest: u64,
        /// What is known of the table in force; `None` from earlier builds.
        #[serde(default)]
        pub standing: Option<TableStanding>,
        /// Time for which that has been so, in milliseconds.
        #[serde(default)]
        pub standing_ms: u64,
        /// Whether the store answered the last call.
        pub is_store_up: bool,
        /// Number of calls in flight at the daemon's gate.
        pub in_flight: u32,
        /// Membership record of the daemon itself.
        pub own: MemberRecord,
        /// Membership records of other daemons.
        pub members: Vec<MemberRecord>,
        /// Open moves.
        pub moves: Vec<MoveStatus>,
        /// Recently ended moves, oldest first.
        pub closed: Vec<ClosedMove>,
        /// Evacuated data centres.
        #[serde(default)]
        pub evacuations: EvacuationOrders,
        /// Requests under which targets ended.
        #[serde(default)]
        pub suspects: Vec<SuspectRecord>,
    }
}

/// Handles requests of operators.
#[derive(Debug)]
pub struct OperatorHandler {
    /// State shared with the other threads.
    pub shared: Arc<SharedState>,
    /// Event queue of the control thread.
    pub events: mpsc::Sender<ControlEvent>,
}

/// Handles control requests of other daemons.
#[derive(Debug)]
pub struct ControlHandler {
    shared: Arc<SharedState>,
    /// Event queue of the control thread.
    events: mpsc::Sender<ControlEvent>,
    message_room: Semaphore,
}

impl ControlHandler {
    /// Creates the handler, which sends requests to `events`.
    pub fn new(shared: Arc<SharedState>, events: mpsc::Sender<ControlEvent>) -> Self {
        Self {
            shared,
            events,
            message_room: Semaphore::new(MESSAGE_ROOM_BYTES),
        }
    }
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        match (req.method().as_str(), path.as_str()) {
            ("GET", "/status") => self.query_json(res, OperatorQuery::Status).await,
            ("GET", "/timeline") => self.query_json(res, OperatorQuery::Timeline).await,
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
    async fn query<T>(&self, make_query: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events
            .send(ControlEvent::Query(make_query(reply)))
            .await
            .ok()?;
        answer.await.ok()
    }

    async fn query_json(
        &self,
        res: &mut Response,
        make_query: impl FnOnce(oneshot::Sender<String>) -> OperatorQuery,
    ) {
        match self.query(make_query).await {
            Some(text) => answer(res, "application/json", text),
            None => unavailable(res),
        }
    }

    async fn answer_head(&self, res: &mut Response) {
        let head = self.query(OperatorQuery::Head).await.flatten();
        match head.and_then(|head| codec::encode(&*head).ok()) {
            Some(bytes) => answer(res, "application/msgpack", bytes),
            None => unavailable(res),
        }
    }
}

impl ControlHandler {
    fn count(&self, direction: &'static str, kind: &'static str, bytes: usize) {
        let labels = ControlLabels {
            direction,
            kind,
            reach: "any",
        };
        self.shared.metrics.count_control_message(labels, bytes);
    }
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        let reading = read_limited(req.take_body(), MAX_MESSAGE_BYTES, &self.message_room);
        let Some(message) = reading.await else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            answer(res, "text/plain", "the message is too large or broke off\n");
            return;
        };
        let decoded = decode_envelope::<ControlRequest>(&self.shared.settings.mesh, &message.content);
        let length = message.content.len();
        drop(message);
        let kind = decoded
            .as_ref()
            .map_or("refused", |request| request.body.as_str());
        self.count("received", kind, length);
        let request = match decoded {
            Ok(request) => request,
            Err(error) => {
                res.status_code(StatusCode::BAD_REQUEST);
                answer(res, "text/plain", format!("{error}\n"));
                return;
            }
        };
        let (reply, response) = oneshot::channel();
        if self
            .events
            .send(ControlEvent::Request { request, reply })
            .await
            .is_err()
        {
            unavailable(res);
            return;
        }
        let Ok((stamp, reply)) = response.await else {
            unavailable(res);
            return;
        };
        let kind = reply.as_str();
        match encode_envelope(&self.shared.settings.mesh, stamp, reply) {
            Ok(bytes) => {
                self.count("sent", kind, bytes.len());
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
