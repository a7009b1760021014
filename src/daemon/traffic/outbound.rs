//! The outbound proxy: finds the route of a caller's request, chooses a target and forwards the request to its gate.

mod checks;
mod choosing;
mod identity;
mod logging;
mod quota;

use {
    self::{
        checks::{check_expected_body, check_form, check_head},
        choosing::{AttemptNeed, RETRY_AFTER_MS, TargetChoice},
        identity::{CallerIdentity, identify},
        logging::{LoggedRefusal, admit_answer, log_answer, log_failed_attempt, log_refusal},
    },
    super::{
        answer_body::{AnswerBody, TransferEnd},
        attempt::{AttemptResult, CallAttempt, ForwardedRequest, InFlightGuard, queue_rank},
        body::{BodyFault, BodyProgress, BodyRoom, MAX_BUFFERED_BYTES, RequestBody, discard_arrived},
        dialect::{CallOptions, call_deadline},
        hop::{HopCall, TARGET_ENDED},
        peer_client::PeerClients,
        relay::{
            add_close_header, end_to_end_headers, keep_connection_if, refusal_status, request_host,
            write_answer, write_refusal,
        },
        transfer_report::TransferReport,
    },
    crate::{
        call::{CallOutcome, CallPlan, CallRules, CallStep, RefusalReason, SplitSequence},
        clock::TimePoint,
        config::{CompiledPool, CompiledRoute, CompiledTable, RouteMatch},
        daemon::{
            leave_schedule::LeaveSchedule,
            refusals::request_subject,
            shared::{ActiveCall, SharedState},
            snapshot::{ServingTarget, TrafficSnapshot},
        },
        gate::GateRefusal,
        http::ConnectionCloser,
        quarantine::{CallFingerprints, RequestHead, RequestStanding},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    hyper::{header::HOST, http::uri::PathAndQuery},
    parking_lot::Mutex,
    rand::{SeedableRng, rngs::SmallRng},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderMap, HeaderValue, StatusCode},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::time::{Instant, sleep_until},
};

/// Time after which a caller may try again if the daemon has no configuration or target yet, or is leaving, in
/// milliseconds.
const RETRY_AFTER_UNREADY_MS: u64 = 500;

/// Time after which a caller may try again if a gate holds its request back of which this daemon has not heard, in
/// milliseconds.
const RETRY_AFTER_HELD_MS: u64 = 1_000;
/// Number of targets that may end under one call that was no suspect; other calls show whether the request is to blame.
/// A suspect is not sent again, as the next gate may not have heard of the end so soon.
const MAX_ENDS_OF_CALL: u32 = 2;

/// Handler of the listener for callers on one traffic thread.
#[derive(Debug)]
pub struct OutboundHandler {
    shared: Arc<SharedState>,
    clients: Arc<PeerClients>,
    rng: Mutex<SmallRng>,
    /// Draws of the parts of split routes.
    splits: Mutex<SplitSequence>,
    /// Number of the traffic thread; a part of attempt ids, as each thread numbers its attempts itself.
    worker: u64,
    next_attempt: AtomicU64,
}

/// Refusal of a call, with a detail for the log and the response body.
struct CallRefusal {
    outcome: CallOutcome,
    reason: RefusalReason,
    detail: Arc<str>,
}

impl CallRefusal {
    fn not_run(reason: RefusalReason, detail: &str) -> Self {
        Self {
            outcome: CallOutcome::NotRun,
            reason,
            detail: detail.into(),
        }
    }
}

/// Call with its route and pool.
struct RoutedCall {
    route: Arc<CompiledRoute>,
    pool: Arc<CompiledPool>,
    /// Version of the table that they are from.
    table_version: u64,
    /// Organisation whose key the caller has shown.
    identity: Option<CallerIdentity>,
    /// Rank of the call under load.
    priority: u8,
    options: CallOptions,
    /// Whether the request may run twice.
    repeatable: bool,
    arrived_at: TimePoint,
    /// Time after which an answer counts as late.
    useful_until: TimePoint,
    /// Time at which the call is given up.
    deadline: TimePoint,
    /// Known once the body is there.
    fingerprints: Option<CallFingerprints>,
    /// Number of targets that ended under it.
    ends: u32,
    /// Whether targets had ended under other calls of the same request before.
    is_suspect: bool,
    /// Whether a gate holds it back, of which this daemon may not have heard.
    is_held_back: bool,
    /// Whether a gate has refused it, as its newer table does not admit it.
    is_table_older: bool,
    /// Whether the target beside this daemon makes it in a run of its own.
    is_nested: bool,
    /// Whether that target was running nothing when the call came.
    came_idle: bool,
    /// When the organisation may call again, if it is over its quota.
    room_at: TimePoint,
}

/// Answer that may be returned to the caller.
struct ReceivedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
    in_flight_guard: InFlightGuard,
    attempt: Arc<str>,
    target: Arc<str>,
    version: Arc<str>,
}

impl OutboundHandler {
    /// Creates the handler for one traffic thread.
    pub fn new(shared: Arc<SharedState>, clients: Arc<PeerClients>, worker: u64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(rand::random()));
        Self {
            shared,
            clients,
            rng,
            splits: Mutex::default(),
            worker,
            next_attempt: AtomicU64::new(0),
        }
    }

    /// Forwards a caller's request and writes the answer or the refusal to the response.
    async fn handle_call(&self, req: &mut Request, res: &mut Response) {
        let active = ActiveCall::start(&self.shared);
        let mut call = match self.route(req) {
            Ok(call) => call,
            Err(refusal) => {
                self.refuse(req, None, &refusal, res);
                let body = req.take_body();
                return keep_connection_if(discard_arrived(req.headers(), body).await, res);
            }
        };
        // The body may take long, and the refusal must be judged by the table that the limit is from.
        let snapshot = self.shared.snapshot.load_full();
        let limit = self.body_limit(&snapshot);
        let report = TransferReport::new(&self.shared, "calls");
        let end = TransferEnd::new(
            call.deadline,
            self.shared.now(),
            ConnectionCloser::of(req),
            report.clone(),
        );
        let body = req.take_body();
        let progress = Arc::new(BodyProgress::new(report));
        let read = async {
            let room = BodyRoom::Shared(&self.shared.body_room);
            RequestBody::read(req.headers(), body, limit, end.at, &progress, room)
                .await
                .map_err(|fault| body_refusal(fault, limit))
        };
        let read = tokio::select! {
            biased;
            read = read => read,
            () = self.shared.wait_for_last_refusal() => {
                Err(CallRefusal::not_run(RefusalReason::Leaving, "the body is not here yet"))
            }
        };
        let body = match read {
            Ok(body) => body,
            Err(refusal) => {
                let refusal = self.unless_stale(&snapshot, refusal);
                self.refuse(req, Some(&call), &refusal, res);
                return keep_connection_if(progress.has_ended(), res);
            }
        };
        let mut request = ForwardedRequest {
            method: req.method().clone(),
            path: forwarded_path(req),
            headers: self.forwarded_headers(&snapshot, req.headers()),
            host: forwarded_host(req),
            body,
            progress,
        };
        call.fingerprints = Some(fingerprints(&request, &call.route.name));
        match self.run_charged(&mut request, &mut call).await {
            Ok(answer) => self.respond(answer, &call, (active, end), res),
            Err(refusal) => {
                let refusal = match request.progress.fault() {
                    // A part of the body was sent on, so the outcome is the one of the attempt.
                    Some(BodyFault::TooLarge) => self.unless_stale(
                        &snapshot,
                        CallRefusal {
                            outcome: refusal.outcome,
                            ..body_refusal(BodyFault::TooLarge, limit)
                        },
                    ),
                    _ => refusal,
                };
                request.progress.discard_rest().await;
                self.refuse(req, Some(&call), &refusal, res);
                keep_connection_if(request.progress.has_ended(), res);
            }
        }
    }

    /// Runs the attempts of a call that its organisation may make.
    async fn run_charged(
        &self,
        request: &mut ForwardedRequest,
        call: &mut RoutedCall,
    ) -> Result<ReceivedAnswer, CallRefusal> {
        let token = self.charge(call).await?;
        let result = self.run_plan(request, call).await;
        if let (Some(token), Err(refusal)) = (&token, &result)
            && refusal.outcome == CallOutcome::NotRun
        {
            self.give_back(token);
        }
        result
    }

    fn body_limit(&self, snapshot: &TrafficSnapshot) -> u64 {
        let configured = snapshot.table.as_ref().and_then(|table| table.limits.body_bytes);
        configured.unwrap_or(self.shared.settings.max_body_bytes)
    }

    /// Returns the headers for the next hop. Where callers show keys, none passes on, nor an organisation that a caller states.
    fn forwarded_headers(&self, snapshot: &TrafficSnapshot, headers: &HeaderMap) -> HeaderMap {
        let dialect = &self.shared.dialect;
        let mut forwarded = end_to_end_headers(headers, dialect.end_to_end_names());
        if snapshot.table.as_ref().is_some_and(|table| table.needs_keys) {
            dialect.remove_credentials(&mut forwarded);
        }
        forwarded
    }

    /// Finds the route of a request, parses the caller's options and draws a pool.
    fn route(&self, req: &Request) -> Result<RoutedCall, CallRefusal> {
        let shared = &self.shared;
        if shared.is_closed.load(Ordering::Acquire) {
            return Err(CallRefusal::not_run(RefusalReason::Leaving, ""));
        }
        check_form(req)?;
        let snapshot = shared.snapshot.load();
        let (table, route) = find_route(&snapshot, req)
            .map_err(|reason| self.unless_stale(&snapshot, CallRefusal::not_run(reason, req.uri().path())))?;
        let limits = Some(table.limits);
        check_head(req, limits.and_then(|limits| limits.head_bytes))
            .and_then(|()| check_expected_body(req, self.body_limit(&snapshot)))
            .map_err(|refusal| self.unless_stale(&snapshot, refusal))?;
        let options = shared
            .dialect
            .parse_options(req.headers())
            .map_err(|text| CallRefusal::not_run(RefusalReason::BadRequest, text))?;
        let now = shared.now();
        let dialect = &*shared.dialect;
        let identity = identify(dialect, req.headers(), (table, &route), &shared.freshness, now)
            .map_err(|refusal| self.unless_stale(&snapshot, refusal))?;
        let organisation = identity.as_ref().map(|identity| &*identity.organisation);
        let priority = table.rank(organisation, &route);
        let deadline = call_deadline(&options, route.timeout_ms, now);
        if shared
            .leaving
            .get()
            .is_some_and(|leaving| !leaving.admits(deadline, now))
        {
            return Err(CallRefusal::not_run(RefusalReason::Leaving, ""));
        }
        let draw = if route.is_split() {
            self.splits.lock().draw(&route.name, &mut *self.rng.lock())
        } else {
            0.0
        };
        let pool = Arc::clone(route.pool(draw));
        let came_idle = shared.gate.lock().state.in_flight() == 0;
        let is_nested = !came_idle && shared.nested_routes.lock().contains(&route.name);
        let useful_ms = shared
            .selector
            .lock()
            .useful_ms(&route.name, route.target_latency_ms);
        Ok(RoutedCall {
            repeatable: route.is_repeatable(req.method().as_str()),
            arrived_at: now,
            useful_until: now.after_ms(useful_ms).min(deadline),
            route,
            pool,
            table_version: table.version,
            identity,
            priority,
            options,
            deadline,
            fingerprints: None,
            ends: 0,
            is_suspect: false,
            is_held_back: false,
            is_table_older: false,
            is_nested,
            came_idle,
            room_at: TimePoint::default(),
        })
    }

    /// Returns a refusal unchanged unless it follows from the table and that may not be the newest one. A newer table may
    /// admit the request, so the caller is told to try again.
    fn unless_stale(&self, snapshot: &TrafficSnapshot, refusal: CallRefusal) -> CallRefusal {
        let depends_on_table = matches!(
            refusal.reason,
            RefusalReason::NoRoute
                | RefusalReason::WrongMethod
                | RefusalReason::HeadTooLarge
                | RefusalReason::BodyTooLarge
                | RefusalReason::UnknownKey
        );
        let version = snapshot.table.as_ref().map_or(0, |table| table.version);
        if !depends_on_table || self.shared.freshness.is_newest(version, self.shared.now()) {
            return refusal;
        }
        CallRefusal {
            reason: RefusalReason::StaleTable,
            ..refusal
        }
    }

    /// Runs the attempts of a call as its plan decides, until it has an answer or is refused.
    async fn run_plan(
        &self,
        request: &mut ForwardedRequest,
        call: &mut RoutedCall,
    ) -> Result<ReceivedAnswer, CallRefusal> {
        let shared = &self.shared;
        let mut plan = CallPlan::new(CallRules {
            repeatable: call.repeatable,
            resendable: request.body.is_whole(),
            attempts: call.route.attempts,
            deadline: call.deadline,
        });
        let mut step = plan.begin(shared.budget.lock().for_pool(&call.pool.name), shared.now());
        let mut in_flight = FuturesUnordered::new();
        let mut received = None;
        let mut need = AttemptNeed::default();
        let mut detail: Arc<str> = "".into();
        loop {
            step = match step {
                CallStep::Answer => match received {
                    Some(answer) => return Ok(answer),
                    None => plan.refuse(RefusalReason::Broken),
                },
                CallStep::Refuse { outcome, reason } => {
                    return Err(CallRefusal {
                        outcome,
                        reason,
                        detail,
                    });
                }
                CallStep::Send => {
                    let body_bytes = request.body.buffered_bytes().unwrap_or(MAX_BUFFERED_BYTES);
                    match self.choose(call, body_bytes, plan.tried(), need.take()) {
                        TargetChoice::Target(target) if self.start_by(call, &target) <= shared.now() => {
                            plan.after_no_time(received.is_some())
                        }
                        TargetChoice::Target(target) => {
                            if !plan.tried().is_empty() {
                                shared.metrics.retries.inc();
                            }
                            call.is_suspect |= call.ends == 0 && self.is_suspect(call, &target);
                            plan.record_attempt(Arc::clone(&target.name), shared.now());
                            let forwarded = request.offer_to(target.gate);
                            let progress = Arc::clone(&request.progress);
                            in_flight.push(self.attempt(call, target, progress).run(forwarded));
                            CallStep::Wait
                        }
                        TargetChoice::HeldBack => plan.after_held_back(received.is_some()),
                        TargetChoice::NoRoom => plan.after_no_room(received.is_some()),
                        TargetChoice::None => plan.after_no_target(received.is_some()),
                    }
                }
                CallStep::Wait => {
                    let hedge_at = Instant::now() + plan.hedge_at().remaining_from(shared.now());
                    // A second copy of a large body would delay other calls.
                    let can_hedge = plan.hedge_at() != TimePoint::FAR_FUTURE && !request.body.is_large();
                    tokio::select! {
                        Some((attempt, result)) = in_flight.next() => {
                            let outcome = result.outcome();
                            match result {
                                AttemptResult::Answer { status, headers, body, .. } => {
                                    received = Some(ReceivedAnswer {
                                        status,
                                        headers,
                                        body,
                                        in_flight_guard: attempt.in_flight_guard,
                                        attempt: attempt.hop.id,
                                        target: attempt.target.name,
                                        version: attempt.target.version,
                                    });
                                }
                                AttemptResult::Failure { reason, .. } => {
                                    log_failed_attempt(call, &attempt.target, &attempt.hop, outcome, &reason);
                                    need.record_failure(&reason);
                                    call.ends += u32::from(&*reason == TARGET_ENDED);
                                    call.is_held_back |= &*reason == GateRefusal::Quarantined.as_str();
                                    call.is_table_older |= &*reason == GateRefusal::OlderTable.as_str();
                                    detail = reason;
                                }
                            }
                            plan.set_resendable(request.body.is_whole());
                            let max_ends = if call.is_suspect { 1 } else { MAX_ENDS_OF_CALL };
                            if call.is_table_older {
                                plan.after_last_attempt(outcome, RefusalReason::StaleTable)
                            } else if call.ends >= max_ends || call.is_held_back {
                                plan.after_last_attempt(outcome, RefusalReason::Quarantined)
                            } else {
                                plan.after_attempt(
                                    outcome,
                                    shared.budget.lock().for_pool(&call.pool.name),
                                    shared.now(),
                                )
                            }
                        }
                        () = sleep_until(hedge_at), if can_hedge => {
                            need.is_hedge = true;
                            plan.hedge(shared.budget.lock().for_pool(&call.pool.name), shared.now())
                        }
                        else => plan.refuse(RefusalReason::Refused),
                    }
                }
            };
        }
    }

    /// Returns the time by which a call must have a slot at a target, so that this daemon does not exit before it can answer
    /// or refuse the call. One whose deadline comes before the exit ends in time anyway.
    fn start_by(&self, call: &RoutedCall, target: &ServingTarget) -> TimePoint {
        let shared = &self.shared;
        let Some(leaving) = shared.leaving.get() else {
            return LeaveSchedule::wait_limit(shared.now(), &shared.settings);
        };
        if call.deadline <= leaving.answer_by() {
            return call.deadline;
        }
        let run_ms = shared
            .selector
            .lock()
            .route_run_ms(&target.name, &call.route.name);
        leaving.start_by(run_ms.unwrap_or_default() as u64)
    }

    fn attempt(
        &self,
        call: &RoutedCall,
        target: ServingTarget,
        body_progress: Arc<BodyProgress>,
    ) -> CallAttempt {
        let shared = &self.shared;
        let leaving = shared.leaving.get();
        let answer_by = leaving.map_or(TimePoint::FAR_FUTURE, LeaveSchedule::answer_by);
        let identity = call.identity.as_ref();
        CallAttempt {
            shared: Arc::clone(shared),
            clients: Arc::clone(&self.clients),
            pool: Arc::clone(&call.pool),
            hop: HopCall {
                id: self.new_attempt_id(),
                route: Arc::clone(&call.route.name),
                pool: Arc::clone(&call.pool.name),
                target: Arc::clone(&target.id),
                caller: Arc::clone(&shared.settings.target.service),
                repeatable: call.repeatable,
                priority: call.priority,
                useful_until: call.useful_until.min(answer_by),
                deadline: call.deadline,
                start_by: self.start_by(call, &target),
                fingerprints: call.fingerprints,
                organisation: identity.map(|identity| Arc::clone(&identity.organisation.name)),
                key: identity.map(|identity| identity.key),
                table_version: call.table_version,
                is_nested: call.is_nested,
                came_idle: call.came_idle,
            },
            in_flight_guard: InFlightGuard::new(shared, &target, queue_rank(call.priority, call.is_nested)),
            target,
            body_progress,
        }
    }

    /// Writes an answer to the response and records its metrics.
    fn respond(
        &self,
        answer: ReceivedAnswer,
        call: &RoutedCall,
        (active, end): (ActiveCall, TransferEnd),
        res: &mut Response,
    ) {
        let shared = &self.shared;
        let failed = answer.status.is_server_error();
        let now = shared.now();
        let took_ms = now.ms_since(call.arrived_at);
        shared.metrics.observe_latency(&call.pool.name, took_ms);
        shared.metrics.count_status(answer.status);
        shared
            .metrics
            .count_standing(shared.freshness.standing(call.table_version, now));
        let is_late = now > call.useful_until;
        if let Some(suppressed) = admit_answer(shared, call, &answer, is_late) {
            log_answer(call, &answer, took_ms, suppressed);
        }
        if let AnswerBody::Buffered(bytes) = &answer.body {
            shared
                .selector
                .lock()
                .record_answer_size(&call.route.name, bytes.len());
        }
        shared
            .metrics
            .count_answer(&call.route.name, &call.pool.name, &answer.version, failed);
        write_answer(
            res,
            answer.status,
            end_to_end_headers(&answer.headers, &[]),
            answer.body,
            end,
            (active, answer.in_flight_guard),
        );
    }

    /// Writes a refusal to the response, counts it and logs it.
    fn refuse(&self, req: &Request, call: Option<&RoutedCall>, refusal: &CallRefusal, res: &mut Response) {
        let CallRefusal {
            outcome,
            reason,
            detail,
        } = refusal;
        let (route, pool) = call.map_or(("", ""), |call| (&*call.route.name, &*call.pool.name));
        if call.is_some_and(|call| call.is_nested) {
            let now = self.shared.now();
            self.shared.gate.lock().state.record_refused_call(now);
        }
        self.shared.metrics.count_refusal(route, pool, *outcome);
        let status = refusal_status(*outcome, *reason);
        let subject = (route, request_subject(req));
        let recorded = self
            .shared
            .record_refusal("calls", status, reason.as_str(), subject);
        if let Some(suppressed) = recorded {
            let refusal = LoggedRefusal {
                route,
                pool,
                status,
                outcome: *outcome,
                reason: *reason,
                detail,
                suppressed,
            };
            log_refusal(&self.shared, req, &refusal);
        }
        let retry_ms = match reason {
            RefusalReason::NoConfiguration
            | RefusalReason::StaleTable
            | RefusalReason::KeysUnconfirmed
            | RefusalReason::QuotaUnconfirmed
            | RefusalReason::NoTarget
            | RefusalReason::Leaving => RETRY_AFTER_UNREADY_MS,
            RefusalReason::OverQuota => self.quota_room_ms(call),
            RefusalReason::Quarantined => self.held_ms(call).max(RETRY_AFTER_HELD_MS),
            RefusalReason::Refused => call.map_or(RETRY_AFTER_MS, |call| self.retry_after_ms(call)),
            _ => RETRY_AFTER_MS,
        };
        write_refusal(
            res,
            status,
            *outcome,
            reason.as_str(),
            &format!("{} {detail}", reason.remedy()),
        );
        self.shared.dialect.add_refusal_headers(
            req.headers(),
            *outcome,
            *reason,
            retry_ms,
            res.headers_mut(),
        );
    }

    fn is_suspect(&self, call: &RoutedCall, target: &ServingTarget) -> bool {
        call.fingerprints.is_some_and(|fingerprints| {
            let now = self.shared.now();
            let quarantine = self.shared.quarantine.lock();
            quarantine.standing(&fingerprints, &target.version, now) != RequestStanding::Free
        })
    }

    fn held_ms(&self, call: Option<&RoutedCall>) -> u64 {
        let fingerprints = call.and_then(|call| call.fingerprints);
        fingerprints.map_or(0, |fingerprints| {
            let now = self.shared.now();
            self.shared.quarantine.lock().held_ms(&fingerprints, now)
        })
    }

    fn new_attempt_id(&self) -> Arc<str> {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{}-{number:x}", self.shared.started_at.0 as u16, self.worker).into()
    }
}

#[async_trait]
impl Handler for OutboundHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        self.handle_call(req, res).await;
        add_close_header(&self.shared, res);
    }
}

fn find_route<'a>(
    snapshot: &'a TrafficSnapshot,
    req: &Request,
) -> Result<(&'a CompiledTable, Arc<CompiledRoute>), RefusalReason> {
    let table = snapshot.table.as_ref().ok_or(RefusalReason::NoConfiguration)?;
    match table.find(request_host(req), req.method().as_str(), req.uri().path()) {
        RouteMatch::Found(route) => Ok((table, route)),
        RouteMatch::WrongMethod => Err(RefusalReason::WrongMethod),
        RouteMatch::None => Err(RefusalReason::NoRoute),
    }
}

fn fingerprints(request: &ForwardedRequest, route: &str) -> CallFingerprints {
    let host = request.host.as_ref().and_then(|host| host.to_str().ok());
    let head = RequestHead {
        route,
        method: request.method.as_str(),
        host: host.unwrap_or(""),
        path: request.path.as_str(),
    };
    CallFingerprints::of(head, request.body.small())
}

fn forwarded_path(req: &Request) -> PathAndQuery {
    let path = req.uri().path_and_query();
    path.cloned().unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Returns the `host` header for the next hop: the host by which the route was found (RFC 9112, 3.2.2).
fn forwarded_host(req: &Request) -> Option<HeaderValue> {
    if req.uri().authority().is_none() {
        return req.headers().get(HOST).cloned();
    }
    HeaderValue::from_str(request_host(req)).ok()
}

fn body_refusal(fault: BodyFault, limit: u64) -> CallRefusal {
    match fault {
        BodyFault::TooLarge => CallRefusal::not_run(
            RefusalReason::BodyTooLarge,
            &format!("the body is over {limit} bytes"),
        ),
        BodyFault::Incomplete => CallRefusal::not_run(RefusalReason::BodyIncomplete, ""),
    }
}
