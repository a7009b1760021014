//! The gate's listener: admits calls to the own target and counts their outcomes.

use {
    super::{
        peer_client::PeerClients,
        relay::{
            AnswerBody, AnswerFault, RequestBody, end_to_end, header, header_value, keep_host, mark_leaving,
            number_header, pass_answer, read_answer, refuse_with, text_header,
        },
        shared::{SharedState, TrafficNote},
    },
    crate::{
        call::CallOutcome,
        clock::TimePoint,
        gate::{GateAdmission, GateRefusal, TicketId},
    },
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderMap, Method, StatusCode},
    },
    std::{sync::Arc, time::Instant},
    tokio::{sync::oneshot, time::timeout},
};

/// How close to its deadline a call that is given up counts as one that the target did not answer in time, in
/// milliseconds.
const DEADLINE_MARGIN_MS: u64 = 50;

/// The handler of the gate's listener on one traffic thread.
#[derive(Debug)]
pub struct InboundHandler {
    shared: Arc<SharedState>,
    clients: Arc<PeerClients>,
}

/// A slot of the target; given back when dropped.
struct HeldSlot(Arc<SharedState>);

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let now = self.0.now();
        let mut gate = self.0.gate.lock();
        let wakes = gate.state.finish(now);
        gate.wake(wakes, now);
    }
}

/// A place in the queue; given up when dropped before the call is told.
struct QueuePlace {
    shared: Arc<SharedState>,
    ticket: TicketId,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut gate = self.shared.gate.lock();
        gate.waiting.remove(&self.ticket);
        gate.state.abandon(self.ticket);
    }
}

/// What is known of a call's end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordedEnd {
    /// It has not ended; if it is given up by its caller, only one at its deadline counts against the target.
    Open,
    Answered,
    Failed,
    /// It did not reach the target.
    NotRun,
}

/// Counts a call when dropped.
struct CallRecord {
    shared: Arc<SharedState>,
    route: Arc<str>,
    started: Instant,
    deadline: TimePoint,
    end: RecordedEnd,
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let failed = match self.end {
            RecordedEnd::Answered => false,
            RecordedEnd::Failed => true,
            RecordedEnd::NotRun => return,
            RecordedEnd::Open if self.shared.now().after_ms(DEADLINE_MARGIN_MS) >= self.deadline => true,
            RecordedEnd::Open => return,
        };
        let latency_ms = self.started.elapsed().as_secs_f64() * 1e3;
        self.shared
            .evidence
            .lock()
            .add_call(&self.route, failed, latency_ms);
    }
}

/// What the proxy says of a call.
struct GateCall {
    id: String,
    route: Arc<str>,
    pool: Arc<str>,
    repeatable: bool,
    deadline: TimePoint,
}

impl InboundHandler {
    /// Makes the handler of one traffic thread.
    pub fn new(shared: Arc<SharedState>, clients: Arc<PeerClients>) -> Self {
        Self { shared, clients }
    }

    async fn admit(&self, req: &mut Request, res: &mut Response) {
        let Some(call) = self.read_call(req.headers()) else {
            let text = "only daemons call a gate; send the call to a daemon's listener for callers";
            refuse_with(
                res,
                StatusCode::BAD_REQUEST,
                CallOutcome::NotRun,
                "bad-request",
                text,
            );
            return;
        };
        res.headers_mut().insert(header::CALL, header_value(&call.id));
        match self.wait_for_slot(&call).await {
            Ok(slot) => self.run(req, res, &call, slot).await,
            Err(refusal) => refuse_not_run(res, refusal),
        }
        self.add_reports(res, &call);
    }

    fn read_call(&self, headers: &HeaderMap) -> Option<GateCall> {
        let timeout_ms = number_header(headers, header::TIMEOUT_MS)?;
        Some(GateCall {
            id: text_header(headers, header::CALL)?.to_owned(),
            route: text_header(headers, header::ROUTE)?.into(),
            pool: text_header(headers, header::POOL)?.into(),
            repeatable: text_header(headers, header::REPEATABLE) == Some("yes"),
            deadline: self.shared.now().after_ms(timeout_ms),
        })
    }

    async fn wait_for_slot(&self, call: &GateCall) -> Result<HeldSlot, GateRefusal> {
        let shared = &self.shared;
        let now = shared.now();
        if self.is_stopped(&call.pool, now) {
            return Err(GateRefusal::Stopped);
        }
        let (ticket, told) = {
            let mut gate = shared.gate.lock();
            match gate.state.arrive(call.deadline, now) {
                GateAdmission::Run(_) => return Ok(HeldSlot(Arc::clone(shared))),
                GateAdmission::Refuse(refusal) => return Err(refusal),
                GateAdmission::Wait(ticket) => {
                    let (tell, told) = oneshot::channel();
                    gate.waiting.insert(ticket, tell);
                    (ticket, told)
                }
            }
        };
        let place = QueuePlace {
            shared: Arc::clone(shared),
            ticket,
        };
        let wait = WaitingSlot {
            told,
            shared: Arc::clone(shared),
        };
        let verdict = timeout(call.deadline.left_from(now), wait.wait()).await;
        drop(place);
        verdict.unwrap_or(Err(GateRefusal::Expired))
    }

    /// Tells whether the own version must not serve a pool: a move that nobody watches or that was stopped, or
    /// a version that the pool does not name.
    fn is_stopped(&self, pool: &Arc<str>, now: TimePoint) -> bool {
        let snapshot = self.shared.snapshot.load();
        let Some(pool) = snapshot.table.as_ref().and_then(|table| table.pools.get(pool)) else {
            return false;
        };
        let own = &self.shared.settings.target.version;
        match &pool.order {
            Some(order) if order.to == *own => {
                let board = self.shared.moves.lock();
                !board
                    .leases
                    .get(&pool.name)
                    .is_some_and(|lease| lease.admits(order.id, now))
            }
            Some(order) => order.from != *own,
            None => pool.entry.version != *own,
        }
    }

    async fn run(&self, req: &mut Request, res: &mut Response, call: &GateCall, slot: HeldSlot) {
        let shared = &self.shared;
        let limit = shared.settings.max_body_bytes;
        let body = req.take_body();
        let body = RequestBody::read(req.headers(), body, limit, call.deadline, shared.now()).await;
        let Ok(mut body) = body else {
            let text = "the body did not arrive whole or is over the limit; send it again";
            refuse_with(
                res,
                StatusCode::BAD_REQUEST,
                CallOutcome::NotRun,
                "bad-request",
                text,
            );
            return;
        };
        let mut record = CallRecord {
            shared: Arc::clone(shared),
            route: Arc::clone(&call.route),
            started: Instant::now(),
            deadline: call.deadline,
            end: RecordedEnd::Open,
        };
        let onward = self.onward(req, call, &mut body);
        let answer = match timeout(call.deadline.left_from(shared.now()), onward.send()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.is_connect() => {
                record.end = RecordedEnd::NotRun;
                shared.note(TrafficNote::TargetRefuses);
                refuse_not_run(res, GateRefusal::Starting);
                return;
            }
            Ok(Err(_)) => {
                record.end = RecordedEnd::Failed;
                self.leave_target();
                refuse_unknown(res, "the connection to the target broke");
                return;
            }
            Err(_) => {
                record.end = RecordedEnd::Failed;
                self.leave_target();
                refuse_unknown(res, "the target did not answer before the deadline");
                return;
            }
        };
        self.pass(req.method(), res, call, answer, &mut record, slot)
            .await;
    }

    async fn pass(
        &self,
        method: &Method,
        res: &mut Response,
        call: &GateCall,
        answer: reqwest::Response,
        record: &mut CallRecord,
        slot: HeldSlot,
    ) {
        let shared = &self.shared;
        let status = answer.status();
        let mut headers = end_to_end(answer.headers());
        headers.insert(header::CALL, header_value(&call.id));
        match read_answer(method, answer, call.deadline, shared.now()).await {
            Ok(body) => {
                record.end = if status.is_server_error() {
                    RecordedEnd::Failed
                } else {
                    RecordedEnd::Answered
                };
                let is_passing = matches!(body, AnswerBody::Passing(_));
                let slot = is_passing.then_some(slot);
                pass_answer(res, status, headers, body, call.deadline, shared.now(), slot);
            }
            Err(AnswerFault::Cut) => {
                record.end = RecordedEnd::Failed;
                refuse_unknown(res, "the target's answer broke off");
            }
            Err(AnswerFault::Late) => {
                record.end = RecordedEnd::Failed;
                self.leave_target();
                refuse_unknown(res, "the target's answer was over-late");
            }
        }
    }

    fn onward(&self, req: &Request, call: &GateCall, body: &mut RequestBody) -> reqwest::RequestBuilder {
        let shared = &self.shared;
        let mut headers = end_to_end(req.headers());
        keep_host(req.headers(), &mut headers);
        let left_ms = call.deadline.ms_since(shared.now());
        headers.insert(header::TIMEOUT_MS, header_value(&left_ms.max(1).to_string()));
        let address = shared.settings.target.address;
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let client = self.clients.client(address, call.repeatable);
        let builder = client
            .request(req.method().clone(), format!("http://{address}{path}"))
            .headers(headers);
        match body.take(shared.settings.max_body_bytes) {
            Some(body) => builder.body(body),
            None => builder,
        }
    }

    fn leave_target(&self) {
        self.clients
            .leave_connections(self.shared.settings.target.address);
    }

    /// Adds the gate's load and the pool's clearance, so that proxies learn both from answers.
    fn add_reports(&self, res: &mut Response, call: &GateCall) {
        let load = {
            let gate = self.shared.gate.lock();
            gate.state.in_flight() as usize + gate.state.waiting()
        };
        let headers = res.headers_mut();
        headers.insert(header::LOAD, header_value(&load.to_string()));
        let board = self.shared.moves.lock();
        let order = {
            let snapshot = self.shared.snapshot.load();
            let pool = snapshot
                .table
                .as_ref()
                .and_then(|table| table.pools.get(&call.pool).cloned());
            pool.and_then(|pool| pool.order.clone())
        };
        let held = order.and_then(|order| board.leases.get(&call.pool)?.held(order.id));
        if let Some(held) = held {
            headers.insert(header::CLEARANCE, header_value(&held.to_header()));
        }
    }
}

/// Waits to be told; a slot that was granted but not taken is given back.
struct WaitingSlot {
    told: oneshot::Receiver<Result<(), GateRefusal>>,
    shared: Arc<SharedState>,
}

impl WaitingSlot {
    async fn wait(mut self) -> Result<HeldSlot, GateRefusal> {
        match (&mut self.told).await {
            Ok(Ok(())) => Ok(HeldSlot(Arc::clone(&self.shared))),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(GateRefusal::Expired),
        }
    }
}

impl Drop for WaitingSlot {
    fn drop(&mut self) {
        self.told.close();
        if let Ok(Ok(())) = self.told.try_recv() {
            drop(HeldSlot(Arc::clone(&self.shared)));
        }
    }
}

#[async_trait]
impl Handler for InboundHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        self.admit(req, res).await;
        mark_leaving(&self.shared, res);
    }
}

fn refuse_not_run(res: &mut Response, refusal: GateRefusal) {
    let text = "the target did not get the request; it may be sent elsewhere";
    refuse_with(
        res,
        StatusCode::SERVICE_UNAVAILABLE,
        CallOutcome::NotRun,
        &refusal.to_string(),
        text,
    );
}

fn refuse_unknown(res: &mut Response, text: &str) {
    refuse_with(
        res,
        StatusCode::GATEWAY_TIMEOUT,
        CallOutcome::Unknown,
        "target-broken",
        text,
    );
}
