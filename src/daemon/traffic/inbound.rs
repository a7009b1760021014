//! The inbound handler: admits calls through the gate to this daemon's target and records their outcomes.

mod intake;
mod runs;
mod slots;

use {
    self::{
        intake::{ReceivedBody, receive},
        runs::{RunGuard, wait_for_turn},
        slots::{QueueGuard, SlotGuard, SlotWaiter},
    },
    super::{
        answer_body::{AnswerBody, AnswerFault, TransferEnd},
        attempt::ForwardedRequest,
        body::{BodyProgress, BodyRoom, RequestBody, discard_arrived},
        dialect::{AnswerVerdict, CallContext},
        hop::{BODY_INCOMPLETE, HopCall, TARGET_ENDED, header},
        peer_client::{ConnectionReuse, PeerClients, SendFault, retire_connection},
        relay::{
            add_close_header, end_to_end_headers, header_value, is_defined_status, keep_connection_if,
            request_host, write_answer, write_refusal,
        },
        transfer_report::TransferReport,
    },
    crate::{
        call::{CallOutcome, LoadReport},
        clock::TimePoint,
        daemon::{
            listeners::report_refusal,
            refusals::{RequestFields, log_word},
            shared::{SharedState, TargetIdentity, TrafficEvent},
            snapshot::TrafficSnapshot,
        },
        gate::{GateAdmission, GateArrival, GateRefusal, GateTable, ProxyCall},
        http::ConnectionCloser,
    },
    hyper::{Response as Answer, body::Incoming, header::HOST, http::uri::PathAndQuery},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderMap, Method, StatusCode},
    },
    std::{sync::Arc, time::Instant},
    tokio::{sync::oneshot, time::timeout},
};

/// A call that is cancelled within this time before its deadline counts as failed, as the target did not answer it in
/// time; in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 50;

/// Handler of the gate's listener on one traffic thread.
#[derive(Debug)]
pub struct InboundHandler {
    shared: Arc<SharedState>,
    clients: Arc<PeerClients>,
}

/// Outcome of a call at the target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RecordedOutcome {
    /// No outcome yet. If the caller cancels the call in this state, it counts as failed only near its deadline.
    Open,
    Answered,
    Failed,
    /// The call did not run, or the caller ended it, and is not counted.
    NotRun,
}

/// Records the outcome and latency of a call when dropped.
struct CallRecorder {
    shared: Arc<SharedState>,
    route: Arc<str>,
    started: Instant,
    deadline: TimePoint,
    outcome: RecordedOutcome,
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        let failed = match self.outcome {
            RecordedOutcome::Answered => false,
            RecordedOutcome::Failed => true,
            RecordedOutcome::NotRun => return,
            RecordedOutcome::Open if self.shared.now().after_ms(DEADLINE_MARGIN_MS) >= self.deadline => true,
            RecordedOutcome::Open => return,
        };
        let latency_ms = self.started.elapsed().as_secs_f64() * 1e3;
        self.shared
            .evidence
            .lock()
            .add_call(&self.route, failed, latency_ms);
    }
}

/// Reason for which a call gets no answer from the target.
enum GateFailure {
    /// The request did not run.
    NotRun(GateRefusal),
    /// The request may have run; the text describes the failure.
    Unknown(&'static str),
    /// The target ended while it ran the request.
    Ended,
    /// The body of the request broke off or came late after a part of it was sent to the target.
    BodyBroken,
    /// The body of the request did not arrive whole, and no part of it was sent to the target.
    BodyIncomplete,
    /// The path has no form for the target.
    BadRequest,
}

impl InboundHandler {
    /// Creates the handler for one traffic thread.
    pub fn new(shared: Arc<SharedState>, clients: Arc<PeerClients>) -> Self {
        Self { shared, clients }
    }

    /// Runs a request from a proxy at the target if the gate admits it, and writes the answer or the refusal to the
    /// response.
    async fn handle_call(&self, req: &mut Request, res: &mut Response) {
        let Some(hop) = HopCall::read(req.headers(), self.shared.now()) else {
            let text = "only daemons call a gate; send the call to a daemon's listener for callers";
            report_refusal(
                &self.shared,
                "gate",
                req,
                (StatusCode::BAD_REQUEST, "no-hop-header"),
                text,
            );
            write_refusal(
                res,
                StatusCode::BAD_REQUEST,
                CallOutcome::NotRun,
                "bad-request",
                text,
            );
            add_outcome_headers(res, CallOutcome::NotRun, "bad-request");
            return;
        };
        let (shows_nested, is_nested) = self.recognise(&hop);
        let result = self.admit_and_run(req, res, &hop, is_nested).await;
        if let Err(failure) = result {
            refuse(&self.shared, req, res, &hop, &failure);
        }
        res.headers_mut().insert(header::CALL, header_value(&hop.id));
        self.add_load_and_clearance(res, &hop, shows_nested);
    }

    /// Returns whether this gate knows the route of a call as one that targets call, and whether the call counts as nested:
    /// also if the proxy heard so from another gate.
    fn recognise(&self, hop: &HopCall) -> (bool, bool) {
        let shows_nested = {
            let mut gate = self.shared.gate.lock();
            gate.state.record_call(&hop.route, &hop.caller, hop.came_idle)
        };
        let is_nested = shows_nested || hop.is_nested;
        if is_nested {
            self.shared.metrics.nested_calls.inc();
        }
        (shows_nested, is_nested)
    }

    /// Receives a large body, then waits until the call may run, and runs it.
    async fn admit_and_run(
        &self,
        req: &mut Request,
        res: &mut Response,
        hop: &HopCall,
        is_nested: bool,
    ) -> Result<(), GateFailure> {
        let received = match self.check_call(req, hop, self.shared.now()) {
            Ok(()) => receive(&self.shared, req, hop).await,
            Err(refusal) => Err(GateFailure::NotRun(refusal)),
        };
        let admitted = match received {
            Ok(received) => match self.admit(req, hop, is_nested).await {
                Ok(admitted) => Ok((admitted, received)),
                Err(refusal) => Err(GateFailure::NotRun(refusal)),
            },
            Err(failure) => Err(failure),
        };
        match admitted {
            Ok((AdmittedRun { slot, identity, run }, received)) => {
                self.run(req, res, hop, &identity, (slot, run, received)).await
            }
            Err(failure) => {
                let body = req.take_body();
                let has_ended = !matches!(failure, GateFailure::BodyIncomplete)
                    && discard_arrived(req.headers(), body).await;
                keep_connection_if(has_ended, res);
                Err(failure)
            }
        }
    }

    /// Reads the body of a call that has a slot; one over [`MAX_BUFFERED_BYTES`](super::body::MAX_BUFFERED_BYTES) is streamed.
    async fn read_body(
        &self,
        req: &mut Request,
        end: &TransferEnd,
        report: TransferReport,
    ) -> Result<ReceivedBody, GateFailure> {
        let body = req.take_body();
        let progress = Arc::new(BodyProgress::new(report));
        // The proxy has checked the limit of its table, which may be newer than the one here.
        let read = RequestBody::read(req.headers(), body, u64::MAX, end.at, &progress, BodyRoom::None).await;
        let body = read.map_err(|_| GateFailure::BodyIncomplete)?;
        Ok(ReceivedBody {
            body,
            progress,
            _place: None,
        })
    }

    /// Waits for the turn of a suspect, then for a slot, and lists the run.
    async fn admit(&self, req: &Request, hop: &HopCall, is_nested: bool) -> Result<AdmittedRun, GateRefusal> {
        let arrival = arrival(hop, is_nested);
        let wait_until = arrival.wait_until();
        loop {
            let turn = wait_for_turn(&self.shared, hop, wait_until).await?;
            let (slot, identity) = self.wait_for_slot(req, hop, &arrival).await?;
            if let Some(run) = RunGuard::start(&self.shared, req, hop, &identity.version, turn)? {
                return Ok(AdmittedRun { slot, identity, run });
            }
        }
    }

    /// Returns a slot and the target, after queueing the call if necessary. After a wait in the queue, the target is
    /// checked again, as it or the move may have changed.
    async fn wait_for_slot(
        &self,
        req: &Request,
        hop: &HopCall,
        arrival: &GateArrival,
    ) -> Result<(SlotGuard, Arc<TargetIdentity>), GateRefusal> {
        let shared = &self.shared;
        let now = shared.now();
        self.check_call(req, hop, now)?;
        let (ticket, receiver) = {
            let mut gate = shared.gate.lock();
            let (admission, evicted) = gate.state.arrive(arrival.clone(), now);
            gate.wake(evicted.into_iter().collect(), now);
            match admission {
                GateAdmission::Run(ticket) => {
                    return Ok((SlotGuard::new(shared, ticket), shared.target.load_full()));
                }
                GateAdmission::Refuse(refusal) => return Err(refusal),
                GateAdmission::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    gate.waiting.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let queue_guard = QueueGuard {
            shared: Arc::clone(shared),
            ticket,
        };
        let waiter = SlotWaiter {
            receiver,
            shared: Arc::clone(shared),
            ticket,
        };
        let granted = timeout(arrival.wait_until().remaining_from(now), waiter.wait()).await;
        drop(queue_guard);
        let slot = granted.unwrap_or(Err(GateRefusal::Expired))?;
        self.check_call(req, hop, shared.now())?;
        Ok((slot, shared.target.load_full()))
    }

    /// Checks that the call may run here: its target, and its route.
    fn check_call(&self, req: &Request, hop: &HopCall, now: TimePoint) -> Result<(), GateRefusal> {
        self.check_target(hop, now)?;
        self.check_route(&self.shared.snapshot.load(), req, hop, now)
    }

    /// Refuses a call that this daemon's table no longer admits, if the proxy's was older.
    fn check_route(
        &self,
        snapshot: &TrafficSnapshot,
        req: &Request,
        hop: &HopCall,
        now: TimePoint,
    ) -> Result<(), GateRefusal> {
        let Some(table) = &snapshot.table else {
            return Ok(());
        };
        let call = ProxyCall {
            table_version: hop.table_version,
            pool: &hop.pool,
            host: request_host(req),
            method: req.method().as_str(),
            path: req.uri().path(),
        };
        let table = GateTable {
            table,
            since: snapshot.table_since,
            service: &self.shared.settings.target.service,
        };
        table.check_route(&call, now)
    }

    /// Checks that the request names this daemon's target, that its data centre is not evacuated and that its version may
    /// serve the pool. The new
    /// version of a move is refused without a valid lease of a controller or after the move was stopped, and so is a
    /// version that the pool does not name. A pool that is missing from this daemon's configuration is not checked.
    fn check_target(&self, hop: &HopCall, now: TimePoint) -> Result<(), GateRefusal> {
        let own = self.shared.target.load();
        if own.id != hop.target {
            return Err(GateRefusal::OtherTarget);
        }
        let snapshot = self.shared.snapshot.load();
        let Some(table) = &snapshot.table else {
            return Ok(());
        };
        if table.evacuations.contains(&self.shared.settings.data_centre) {
            return Err(GateRefusal::Evacuated);
        }
        self.check_key(&snapshot, hop, now)?;
        let Some(pool) = table.pools.get(&hop.pool) else {
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

    /// Refuses a call whose key this daemon does not know to be in force. The proxy has checked it, too, but the call may have
    /// waited since.
    fn check_key(
        &self,
        snapshot: &TrafficSnapshot,
        hop: &HopCall,
        now: TimePoint,
    ) -> Result<(), GateRefusal> {
        let (Some(name), Some(key)) = (&hop.organisation, &hop.key) else {
            return Ok(());
        };
        let table = snapshot.table.as_ref().ok_or(GateRefusal::KeysUnconfirmed)?;
        if !self.shared.freshness.are_keys_confirmed(table.version, now) {
            return Err(GateRefusal::KeysUnconfirmed);
        }
        match table.organisation(key) {
            Some(holder) if holder.name == *name => Ok(()),
            _ => Err(GateRefusal::UnknownKey),
        }
    }

    /// Sends the request to the target and records the outcome.
    async fn run(
        &self,
        req: &mut Request,
        res: &mut Response,
        hop: &HopCall,
        identity: &TargetIdentity,
        (slot, mut run, received): (SlotGuard, RunGuard, Option<ReceivedBody>),
    ) -> Result<(), GateFailure> {
        let shared = &self.shared;
        let report = TransferReport::new(shared, "gate");
        let end = TransferEnd::new(
            hop.deadline,
            shared.now(),
            ConnectionCloser::of(req),
            report.clone(),
        );
        let received = match received {
            Some(received) => Ok(received),
            None => self.read_body(req, &end, report).await,
        };
        if received.is_err() {
            run.finish();
        }
        let ReceivedBody {
            body,
            progress,
            _place,
        } = received?;
        let forwarded = self.forwarded_request(req, hop, identity, body, progress);
        let mut recorder = CallRecorder {
            shared: Arc::clone(shared),
            route: Arc::clone(&hop.route),
            started: Instant::now(),
            deadline: hop.deadline,
            outcome: RecordedOutcome::NotRun,
        };
        let request = forwarded
            .request_to(identity.address)
            .ok_or(GateFailure::BadRequest)?;
        // The body may have taken long.
        let (snapshot, now) = (shared.snapshot.load_full(), shared.now());
        let check = self.check_key(&snapshot, hop, now);
        if let Err(refusal) = check.and_then(|()| self.check_route(&snapshot, req, hop, now)) {
            run.finish();
            return Err(GateFailure::NotRun(refusal));
        }
        recorder.outcome = RecordedOutcome::Open;
        let is_resendable = forwarded.body.is_buffered() && hop.repeatable;
        let reuse = if shared.dialect.can_match_answer(&forwarded.headers) {
            ConnectionReuse::for_request(is_resendable)
        } else {
            ConnectionReuse::Never
        };
        let send = self.clients.send(identity.address, reuse, request);
        let answer = match timeout(hop.deadline.remaining_from(shared.now()), send).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendFault::NotSent)) => {
                recorder.outcome = RecordedOutcome::NotRun;
                run.finish();
                shared.report_event(TrafficEvent::TargetRefuses);
                return Err(GateFailure::NotRun(GateRefusal::Starting));
            }
            Ok(Err(SendFault::NoDescriptor)) => {
                recorder.outcome = RecordedOutcome::NotRun;
                run.finish();
                return Err(GateFailure::NotRun(GateRefusal::Full));
            }
            Ok(Err(SendFault::Broken)) if forwarded.progress.fault().is_some() => {
                recorder.outcome = RecordedOutcome::NotRun;
                return Err(GateFailure::BodyBroken);
            }
            Ok(Err(SendFault::Broken)) => {
                recorder.outcome = RecordedOutcome::Failed;
                return Err(broken_off(&mut run, identity, "the connection to the target broke").await);
            }
            Err(_) if forwarded.progress.is_awaited() || forwarded.progress.fault().is_some() => {
                recorder.outcome = RecordedOutcome::NotRun;
                return Err(GateFailure::BodyBroken);
            }
            Err(_) => {
                recorder.outcome = RecordedOutcome::Failed;
                self.clients.discard_connections(identity.address);
                return Err(GateFailure::Unknown(
                    "the target did not answer before the deadline",
                ));
            }
        };
        let ForwardedRequest { method, headers, .. } = forwarded;
        self.return_answer((&method, &headers), res, end, answer, &mut recorder, (slot, run))
            .await
    }

    /// Checks the target's answer, reads or streams its body and writes it to the response.
    async fn return_answer(
        &self,
        (method, request): (&Method, &HeaderMap),
        res: &mut Response,
        end: TransferEnd,
        answer: Answer<Incoming>,
        recorder: &mut CallRecorder,
        (mut slot, mut run): (SlotGuard, RunGuard),
    ) -> Result<(), GateFailure> {
        let shared = &self.shared;
        let (head, body) = answer.into_parts();
        // Judged is what is passed on, as the target may name any header as one of its connection.
        let headers = end_to_end_headers(&head.headers, &[]);
        let verdict = if is_defined_status(head.status) {
            shared.dialect.classify_answer(request, head.status, &headers)
        } else {
            AnswerVerdict::Foreign
        };
        let stated_load = shared.dialect.target_load(&headers);
        if let Some(slowdown) = stated_load.and_then(|load| load.slowdown)
            && verdict != AnswerVerdict::Foreign
        {
            shared.gate.lock().state.record_slowdown(slowdown, shared.now());
        }
        match verdict {
            AnswerVerdict::Ran => {}
            AnswerVerdict::NotRun => {
                // If the target sends the refusal once more, no other request may meet it.
                retire_connection(&head.extensions);
                recorder.outcome = RecordedOutcome::NotRun;
                run.finish();
                return Err(GateFailure::NotRun(GateRefusal::Shed));
            }
            AnswerVerdict::Foreign => {
                recorder.outcome = RecordedOutcome::Failed;
                let address = shared.target.load().address;
                self.clients.discard_connections(address);
                return Err(GateFailure::Unknown(
                    "the target sent an answer that is not to this request",
                ));
            }
        }
        match AnswerBody::read(method, head.status, &head.headers, body, end.at).await {
            Ok(body) => {
                let failed = head.status.is_server_error();
                recorder.outcome = if failed {
                    RecordedOutcome::Failed
                } else {
                    RecordedOutcome::Answered
                };
                slot.is_successful = !failed;
                slot.is_failed = failed;
                let is_streaming = matches!(body, AnswerBody::Streaming { .. });
                if is_streaming {
                    run.finish();
                } else {
                    run.finish_well();
                }
                let slot = is_streaming.then_some(slot);
                write_answer(res, head.status, headers, body, end, slot);
                Ok(())
            }
            Err(AnswerFault::Cut) => {
                recorder.outcome = RecordedOutcome::Failed;
                let identity = shared.target.load_full();
                Err(broken_off(&mut run, &identity, "the target's answer broke off").await)
            }
            Err(AnswerFault::Late) => {
                recorder.outcome = RecordedOutcome::Failed;
                Err(GateFailure::Unknown("the target's answer was over-late"))
            }
            Err(AnswerFault::Coded) => {
                recorder.outcome = RecordedOutcome::Failed;
                Err(GateFailure::Unknown(
                    "the target's answer is in a transfer coding other than chunked",
                ))
            }
        }
    }

    fn forwarded_request(
        &self,
        req: &Request,
        hop: &HopCall,
        identity: &TargetIdentity,
        body: RequestBody,
        progress: Arc<BodyProgress>,
    ) -> ForwardedRequest {
        let mut headers = end_to_end_headers(req.headers(), self.shared.dialect.end_to_end_names());
        let table = self.shared.snapshot.load().table.clone();
        if hop.organisation.is_some() || table.is_some_and(|table| table.needs_keys) {
            self.shared.dialect.remove_credentials(&mut headers);
        }
        let call = CallContext {
            target: &identity.id,
            caller: &hop.caller,
            organisation: hop.organisation.as_deref(),
            left_ms: hop.deadline.ms_since(self.shared.now()).max(1),
        };
        self.shared.dialect.add_request_headers(&call, &mut headers);
        let path = req.uri().path_and_query();
        ForwardedRequest {
            method: req.method().clone(),
            path: path.cloned().unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            host: req.headers().get(HOST).cloned(),
            body,
            progress,
        }
    }

    /// Adds the gate's load and, during a move, the pool's clearance to an answer, for the proxy that receives it.
    fn add_load_and_clearance(&self, res: &mut Response, hop: &HopCall, is_nested: bool) {
        let now = self.shared.now();
        let load = self.shared.gate.lock().state.load(&hop.route, hop.priority, now);
        let load = LoadReport { is_nested, ..load };
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
        self.handle_call(req, res).await;
        add_close_header(&self.shared, res);
    }
}

/// Call with all that it needs to run.
struct AdmittedRun {
    slot: SlotGuard,
    identity: Arc<TargetIdentity>,
    run: RunGuard,
}

fn arrival(hop: &HopCall, is_nested: bool) -> GateArrival {
    GateArrival {
        route: Arc::clone(&hop.route),
        priority: hop.priority,
        useful_until: hop.useful_until,
        deadline: hop.deadline,
        start_by: hop.start_by,
        is_nested,
    }
}

/// Returns the failure of a run whose connection broke.
async fn broken_off(run: &mut RunGuard, identity: &TargetIdentity, text: &'static str) -> GateFailure {
    if run.finish_broken(identity).await {
        GateFailure::Ended
    } else {
        GateFailure::Unknown(text)
    }
}

fn add_outcome_headers(res: &mut Response, outcome: CallOutcome, reason: &str) {
    let headers: &mut HeaderMap = res.headers_mut();
    headers.insert(header::OUTCOME, header_value(&outcome.to_string()));
    headers.insert(header::REASON, header_value(reason));
}

fn refuse(shared: &SharedState, req: &Request, res: &mut Response, hop: &HopCall, failure: &GateFailure) {
    let (status, outcome, reason, text) = match failure {
        GateFailure::NotRun(refusal) => (
            StatusCode::SERVICE_UNAVAILABLE,
            CallOutcome::NotRun,
            refusal.as_str(),
            "the target did not run the request; it may be sent elsewhere",
        ),
        GateFailure::Unknown(text) => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::Unknown,
            "target-broken",
            *text,
        ),
        GateFailure::Ended => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::Unknown,
            TARGET_ENDED,
            "the target ended while it ran the request",
        ),
        GateFailure::BodyBroken => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::Unknown,
            BODY_INCOMPLETE,
            "the body broke off or came late on its way to the target",
        ),
        GateFailure::BodyIncomplete => (
            StatusCode::BAD_REQUEST,
            CallOutcome::NotRun,
            BODY_INCOMPLETE,
            "the body did not arrive whole; send it again",
        ),
        GateFailure::BadRequest => (
            StatusCode::BAD_REQUEST,
            CallOutcome::NotRun,
            "bad-request",
            "the path has no form for the target; check it",
        ),
    };
    let subject = (&hop.route, &hop.target);
    if let Some(suppressed) = shared.record_refusal("gate", status, reason, subject) {
        log::info!(
            target: "calls",
            "event=gate-refused id={} attempt={} route={} target={} caller={} priority={} status={} outcome={outcome} \
             reason={reason} {} suppressed={suppressed} detail={text:?}",
            log_word(shared.dialect.call_id(req.headers()).unwrap_or("")),
            hop.id,
            log_word(&hop.route),
            log_word(&hop.target),
            log_word(&hop.caller),
            hop.priority,
            status.as_u16(),
            RequestFields { shared, req }
        );
    }
    write_refusal(res, status, outcome, reason, text);
    add_outcome_headers(res, outcome, reason);
    if matches!(failure, GateFailure::NotRun(GateRefusal::OlderTable)) {
        let version = shared
            .snapshot
            .load()
            .table
            .as_ref()
            .map_or(0, |table| table.version);
        res.headers_mut()
            .insert(header::TABLE, header_value(&version.to_string()));
    }
}
