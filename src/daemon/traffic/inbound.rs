//! The gate's listener: admits calls to the own target and counts their outcomes.

mod slots;

use {
    self::slots::{HeldSlot, QueuePlace, WaitingSlot},
    super::{
        attempt::OnwardRequest,
        body::{AnswerBody, AnswerFault, RequestBody},
        dialect::{AnswerVerdict, CallContext},
        hop::{HopCall, header},
        peer_client::{PeerClients, SendFault},
        relay::{answer_text, end_to_end, header_value, mark_leaving, pass_answer},
    },
    crate::{
        call::CallOutcome,
        clock::TimePoint,
        daemon::shared::{SharedState, TargetIdentity, TrafficEvent},
        gate::{GateAdmission, GateArrival, GateRefusal},
    },
    hyper::{Response as Answer, body::Incoming, header::HOST, http::uri::PathAndQuery},
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

/// What is known of a call's end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordedEnd {
    /// It has not ended; if it is given up by its caller, only one at its deadline counts against the target.
    Open,
    Answered,
    Failed,
    /// It did not run.
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

/// What is told of a call that has no answer of the target.
enum GateEnd {
    NotRun(GateRefusal),
    Unknown(&'static str),
    BadRequest,
}

impl InboundHandler {
    /// Makes the handler of one traffic thread.
    pub fn new(shared: Arc<SharedState>, clients: Arc<PeerClients>) -> Self {
        Self { shared, clients }
    }

    async fn admit(&self, req: &mut Request, res: &mut Response) {
        let Some(hop) = HopCall::read(req.headers(), self.shared.now()) else {
            let text = "only daemons call a gate; send the call to a daemon's listener for callers";
            answer_text(
                res,
                StatusCode::BAD_REQUEST,
                CallOutcome::NotRun,
                "bad-request",
                text,
            );
            mark_end(res, CallOutcome::NotRun, "bad-request");
            return;
        };
        let end = match self.wait_for_slot(&hop).await {
            Ok((slot, identity)) => self.run(req, res, &hop, &identity, slot).await,
            Err(refusal) => Err(GateEnd::NotRun(refusal)),
        };
        if let Err(end) = end {
            refuse(res, &hop, &end);
        }
        res.headers_mut().insert(header::CALL, header_value(&hop.id));
        self.add_reports(res, &hop);
    }

    async fn wait_for_slot(&self, hop: &HopCall) -> Result<(HeldSlot, Arc<TargetIdentity>), GateRefusal> {
        let shared = &self.shared;
        let now = shared.now();
        self.check(hop, now)?;
        let arrival = GateArrival {
            priority: hop.priority,
            useful_until: hop.useful_until,
            deadline: hop.deadline,
        };
        let (ticket, told) = {
            let mut gate = shared.gate.lock();
            let (admission, evicted) = gate.state.arrive(arrival, now);
            gate.wake(evicted.into_iter().collect(), now);
            match admission {
                GateAdmission::Run(_) => {
                    return Ok((HeldSlot::new(shared), shared.target.load_full()));
                }
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
        let verdict = timeout(arrival.wait_until().remaining_from(now), wait.wait()).await;
        drop(place);
        let slot = verdict.unwrap_or(Err(GateRefusal::Expired))?;
        self.check(hop, shared.now())?;
        Ok((slot, shared.target.load_full()))
    }

    /// Checks that the meant target stands here and that its version may serve the pool: a move that nobody
    /// watches or that was stopped, or a version that the pool does not name, gets nothing.
    fn check(&self, hop: &HopCall, now: TimePoint) -> Result<(), GateRefusal> {
        let own = self.shared.target.load();
        if own.id != hop.target {
            return Err(GateRefusal::OtherTarget);
        }
        let snapshot = self.shared.snapshot.load();
        let Some(pool) = snapshot
            .table
            .as_ref()
            .and_then(|table| table.pools.get(&hop.pool))
        else {
            return Ok(());
        };
        let is_cleared = match &pool.order {
            Some(order) if order.to == own.version => {
                let registry = self.shared.moves.lock();
                let lease = registry.leases.get(&pool.name);
                lease.is_some_and(|lease| lease.admits(order.id, now))
            }
            _ => pool.allows(&own.version),
        };
        if is_cleared {
            Ok(())
        } else {
            Err(GateRefusal::Stopped)
        }
    }

    async fn run(
        &self,
        req: &mut Request,
        res: &mut Response,
        hop: &HopCall,
        identity: &TargetIdentity,
        slot: HeldSlot,
    ) -> Result<(), GateEnd> {
        let shared = &self.shared;
        let limit = shared.settings.max_body_bytes;
        let time_left = hop.deadline.remaining_from(shared.now());
        let body = req.take_body();
        let body = RequestBody::read(req.headers(), body, limit, time_left).await;
        let mut onward = self.onward(req, hop, identity, body.map_err(|_| GateEnd::BadRequest)?);
        let mut record = CallRecord {
            shared: Arc::clone(shared),
            route: Arc::clone(&hop.route),
            started: Instant::now(),
            deadline: hop.deadline,
            end: RecordedEnd::NotRun,
        };
        let request = onward.make_for(identity.address).ok_or(GateEnd::BadRequest)?;
        record.end = RecordedEnd::Open;
        let is_warm = onward.body.is_held() && hop.repeatable;
        let send = self.clients.send(identity.address, is_warm, request);
        let answer = match timeout(hop.deadline.remaining_from(shared.now()), send).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendFault::NotSent)) => {
                record.end = RecordedEnd::NotRun;
                shared.report_event(TrafficEvent::TargetRefuses);
                return Err(GateEnd::NotRun(GateRefusal::Starting));
            }
            Ok(Err(SendFault::Broken)) => {
                record.end = RecordedEnd::Failed;
                return Err(GateEnd::Unknown("the connection to the target broke"));
            }
            Err(_) => {
                record.end = RecordedEnd::Failed;
                self.clients.leave_connections(identity.address);
                return Err(GateEnd::Unknown("the target did not answer before the deadline"));
            }
        };
        let OnwardRequest { method, headers, .. } = onward;
        self.pass((&method, &headers), res, hop, answer, &mut record, slot)
            .await
    }

    async fn pass(
        &self,
        (method, request): (&Method, &HeaderMap),
        res: &mut Response,
        hop: &HopCall,
        answer: Answer<Incoming>,
        record: &mut CallRecord,
        mut slot: HeldSlot,
    ) -> Result<(), GateEnd> {
        let shared = &self.shared;
        let (head, body) = answer.into_parts();
        let verdict = shared
            .dialect
            .classify_answer(request, head.status, &head.headers);
        match verdict {
            AnswerVerdict::Ran => {}
            AnswerVerdict::NotRun => {
                record.end = RecordedEnd::NotRun;
                return Err(GateEnd::NotRun(GateRefusal::Shed));
            }
            AnswerVerdict::Foreign => {
                record.end = RecordedEnd::Failed;
                let address = shared.target.load().address;
                self.clients.leave_connections(address);
                return Err(GateEnd::Unknown(
                    "the target sent an answer that is not to this request",
                ));
            }
        }
        let time_left = hop.deadline.remaining_from(shared.now());
        match AnswerBody::read(method, head.status, body, time_left).await {
            Ok(body) => {
                let failed = head.status.is_server_error();
                record.end = if failed {
                    RecordedEnd::Failed
                } else {
                    RecordedEnd::Answered
                };
                slot.is_whole = !failed;
                let headers = end_to_end(&head.headers);
                let is_passing = matches!(body, AnswerBody::Passing(_));
                let slot = is_passing.then_some(slot);
                pass_answer(res, head.status, headers, body, hop.deadline, shared.now(), slot);
                Ok(())
            }
            Err(AnswerFault::Cut) => {
                record.end = RecordedEnd::Failed;
                Err(GateEnd::Unknown("the target's answer broke off"))
            }
            Err(AnswerFault::Late) => {
                record.end = RecordedEnd::Failed;
                Err(GateEnd::Unknown("the target's answer was over-late"))
            }
        }
    }

    fn onward(
        &self,
        req: &Request,
        hop: &HopCall,
        identity: &TargetIdentity,
        body: RequestBody,
    ) -> OnwardRequest {
        let mut headers = end_to_end(req.headers());
        let call = CallContext {
            target: &identity.id,
            caller: &hop.caller,
            left_ms: hop.deadline.ms_since(self.shared.now()).max(1),
        };
        self.shared.dialect.add_request_headers(&call, &mut headers);
        let path = req.uri().path_and_query();
        OnwardRequest {
            method: req.method().clone(),
            path: path.cloned().unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            host: req.headers().get(HOST).cloned(),
            body,
        }
    }

    /// Adds the gate's load and the pool's clearance, so that proxies learn both from answers.
    fn add_reports(&self, res: &mut Response, hop: &HopCall) {
        let load = self.shared.gate.lock().state.load();
        let headers = res.headers_mut();
        headers.insert(header::LOAD, header_value(&load.to_string()));
        let snapshot = self.shared.snapshot.load();
        let pool = snapshot
            .table
            .as_ref()
            .and_then(|table| table.pools.get(&hop.pool));
        let Some(order) = pool.and_then(|pool| pool.order.as_ref()) else {
            return;
        };
        let registry = self.shared.moves.lock();
        let held = registry
            .leases
            .get(&hop.pool)
            .and_then(|lease| lease.held(order.id));
        if let Some(held) = held {
            headers.insert(header::CLEARANCE, header_value(&held.to_header()));
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

fn mark_end(res: &mut Response, outcome: CallOutcome, reason: &str) {
    let headers: &mut HeaderMap = res.headers_mut();
    headers.insert(header::OUTCOME, header_value(&outcome.to_string()));
    headers.insert(header::REASON, header_value(reason));
}

fn refuse(res: &mut Response, hop: &HopCall, end: &GateEnd) {
    let (status, outcome, reason, text) = match end {
        GateEnd::NotRun(refusal) => (
            StatusCode::SERVICE_UNAVAILABLE,
            CallOutcome::NotRun,
            refusal.word(),
            "the target did not run the request; it may be sent elsewhere",
        ),
        GateEnd::Unknown(text) => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::Unknown,
            "target-broken",
            *text,
        ),
        GateEnd::BadRequest => (
            StatusCode::BAD_REQUEST,
            CallOutcome::NotRun,
            "bad-request",
            "the body did not arrive whole or is over the limit; send it again",
        ),
    };
    log::info!(
        target: "calls",
        "event=gate-refused attempt={} route={} target={} caller={} priority={} outcome={outcome} reason={reason} detail={text:?}",
        hop.id, hop.route, hop.target, hop.caller, hop.priority
    );
    answer_text(res, status, outcome, reason, text);
    mark_end(res, outcome, reason);
}
