//! The proxy for callers: finds the route, chooses a target and carries the call to that target's gate.

use {
    super::{
        peer_client::PeerClients,
        relay::{
            AnswerBody, AnswerFault, BodyFault, RequestBody, end_to_end, header, header_value, keep_host,
            mark_leaving, number_header, pass_answer, read_answer, refuse, refuse_with, text_header,
        },
        shared::{ActiveCall, SharedState, TrafficNote},
        snapshot::{KnownTarget, TrafficSnapshot},
    },
    crate::{
        call::{
            AttemptOutcome, CallOutcome, CallPlan, CallStep, CandidateTarget, RefusalReason, choose_version,
        },
        clock::TimePoint,
        config::{CompiledPool, CompiledRoute, RouteMatch},
        gate::GateRefusal,
        moves::Clearance,
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderMap, Method, StatusCode},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::time::timeout,
};

/// Longest deadline that a caller may state, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// The handler of the callers' listener on one traffic thread.
#[derive(Debug)]
pub struct OutboundHandler {
    shared: Arc<SharedState>,
    clients: Arc<PeerClients>,
    rng: Mutex<SmallRng>,
    worker: u64,
    next_call: AtomicU64,
}

/// One request on its way.
struct OnwardRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: RequestBody,
    repeatable: bool,
}

/// What came of one attempt.
enum AttemptEnd {
    Answer {
        outcome: AttemptOutcome,
        status: StatusCode,
        headers: HeaderMap,
        body: Box<AnswerBody>,
    },
    Failure(AttemptOutcome),
}

/// Frees the target's place in the book when the call to it has ended.
struct BookedCall {
    shared: Arc<SharedState>,
    target: Arc<str>,
}

impl Drop for BookedCall {
    fn drop(&mut self) {
        self.shared.book.lock().end(&self.target);
    }
}

impl OutboundHandler {
    /// Makes the handler of one traffic thread.
    pub fn new(shared: Arc<SharedState>, clients: Arc<PeerClients>, worker: u64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(rand::random()));
        Self {
            shared,
            clients,
            rng,
            worker,
            next_call: AtomicU64::new(0),
        }
    }

    async fn carry(&self, req: &mut Request, res: &mut Response) {
        let shared = &self.shared;
        let active = ActiveCall::start(shared);
        if shared.is_closed.load(Ordering::Acquire) {
            refuse(res, CallOutcome::NotRun, RefusalReason::Leaving, "");
            return;
        }
        let snapshot = shared.snapshot.load_full();
        let route = match find_route(&snapshot, req) {
            Ok(route) => route,
            Err(reason) => {
                refuse(res, CallOutcome::NotRun, reason, "");
                return;
            }
        };
        let deadline = match self.deadline_of(req, &route) {
            Ok(deadline) => deadline,
            Err(text) => {
                refuse_with(
                    res,
                    StatusCode::BAD_REQUEST,
                    CallOutcome::NotRun,
                    RefusalReason::BadRequest.word(),
                    text,
                );
                return;
            }
        };
        let limit = shared.settings.max_body_bytes;
        let body = req.take_body();
        let body = RequestBody::read(req.headers(), body, limit, deadline, shared.now()).await;
        let body = match body {
            Ok(body) => body,
            Err(fault) => {
                refuse_body(res, fault, limit);
                return;
            }
        };
        let mut headers = end_to_end(req.headers());
        keep_host(req.headers(), &mut headers);
        let request = OnwardRequest {
            method: req.method().clone(),
            path: req
                .uri()
                .path_and_query()
                .map_or("/", |path| path.as_str())
                .to_owned(),
            headers,
            body,
            repeatable: route.is_repeatable(req.method().as_str()),
        };
        self.run_plan(request, &route, deadline, res, active).await;
    }

    /// Carries out the call's plan, attempt by attempt.
    async fn run_plan(
        &self,
        mut request: OnwardRequest,
        route: &Arc<CompiledRoute>,
        deadline: TimePoint,
        res: &mut Response,
        active: ActiveCall,
    ) {
        let shared = &self.shared;
        let mut plan = CallPlan::new(request.repeatable, request.body.is_held(), deadline);
        let mut step = plan.begin(&mut shared.budget.lock(), shared.now());
        let mut in_hand = None;
        loop {
            match step {
                CallStep::Answer => break,
                CallStep::Refuse { outcome, reason } => {
                    shared
                        .metrics
                        .count_refusal(&route.name, &route.pool.name, outcome);
                    refuse(res, outcome, reason, "");
                    return;
                }
                CallStep::Send {
                    deadline: attempt_deadline,
                } => {
                    let Some(target) = self.choose(&route.pool, plan.tried()) else {
                        step = if in_hand.is_some() {
                            CallStep::Answer
                        } else {
                            plan.refuse(no_target(&plan))
                        };
                        continue;
                    };
                    if !plan.tried().is_empty() {
                        shared.metrics.retries.inc();
                    }
                    plan.note_attempt(Arc::clone(&target.name));
                    let booked = self.book(&target);
                    let end = self.attempt(&mut request, route, &target, attempt_deadline).await;
                    let outcome = match &end {
                        AttemptEnd::Answer { outcome, .. } | AttemptEnd::Failure(outcome) => *outcome,
                    };
                    if let AttemptEnd::Answer {
                        status,
                        headers,
                        body,
                        ..
                    } = end
                    {
                        in_hand = Some((status, headers, body, booked, target));
                    }
                    step = plan.after_attempt(outcome, &mut shared.budget.lock(), shared.now());
                }
            }
        }
        if let Some((status, headers, body, booked, target)) = in_hand {
            let failed = status.is_server_error();
            shared
                .metrics
                .count_answer(&route.name, &route.pool.name, &target.version, failed);
            pass_answer(
                res,
                status,
                end_to_end(&headers),
                *body,
                deadline,
                shared.now(),
                (active, booked),
            );
        }
    }

    fn deadline_of(&self, req: &Request, route: &CompiledRoute) -> Result<TimePoint, &'static str> {
        let stated = req.headers().contains_key(header::TIMEOUT_MS);
        let timeout_ms = match number_header(req.headers(), header::TIMEOUT_MS) {
            Some(timeout_ms) if (1..=MAX_TIMEOUT_MS).contains(&timeout_ms) => timeout_ms,
            None if !stated => route.timeout_ms,
            _ => return Err("fuchsiashore-timeout-ms must be a whole number from 1 to 600000"),
        };
        Ok(self.shared.now().after_ms(timeout_ms))
    }

    /// Chooses a version and a target of it that has not been tried.
    fn choose(&self, pool: &CompiledPool, tried: &[Arc<str>]) -> Option<KnownTarget> {
        let shared = &self.shared;
        let now = shared.now();
        let snapshot = shared.snapshot.load();
        let (draw, mut rng) = {
            let mut rng = self.rng.lock();
            (rng.random::<f64>(), SmallRng::seed_from_u64(rng.random()))
        };
        let old_is_gone = pool.order.as_ref().is_some_and(|order| {
            snapshot
                .targets_of(&pool.entry.service, &order.from)
                .next()
                .is_none()
        });
        let (choice, preferred_is_stopped) = {
            let board = shared.moves.lock();
            let share = pool
                .order
                .as_ref()
                .map_or(0.0, |order| board.share(&pool.name, order.id));
            let choice = choose_version(pool, share, draw, old_is_gone);
            let stopped = board.is_stopped(&pool.name, &choice.version, now);
            (choice, stopped)
        };
        let first = Some(&choice.version).filter(|_| !preferred_is_stopped || choice.fallback.is_none());
        for version in first.into_iter().chain(&choice.fallback) {
            let targets: Vec<&KnownTarget> = snapshot.targets_of(&pool.entry.service, version).collect();
            let candidates: Vec<CandidateTarget> = targets.iter().map(|target| candidate(target)).collect();
            let chosen = shared
                .book
                .lock()
                .choose(&candidates, tried, &mut rng, now)
                .map(|chosen| Arc::clone(&chosen.name));
            if let Some(target) = chosen.and_then(|name| targets.iter().find(|target| target.name == name)) {
                return Some((*target).clone());
            }
        }
        None
    }

    fn book(&self, target: &KnownTarget) -> BookedCall {
        self.shared.book.lock().start(&target.name);
        BookedCall {
            shared: Arc::clone(&self.shared),
            target: Arc::clone(&target.name),
        }
    }

    async fn attempt(
        &self,
        request: &mut OnwardRequest,
        route: &CompiledRoute,
        target: &KnownTarget,
        deadline: TimePoint,
    ) -> AttemptEnd {
        let shared = &self.shared;
        let started = Instant::now();
        let call_id = self.new_call_id();
        let onward = self.onward(request, route, target, deadline, &call_id);
        let end = match timeout(deadline.left_from(shared.now()), onward.send()).await {
            Ok(Ok(answer)) if text_header(answer.headers(), header::CALL) == Some(&call_id) => {
                self.judge_answer(request, route, target, answer, deadline).await
            }
            Ok(Ok(_)) => AttemptEnd::Failure(AttemptOutcome::Broken),
            Ok(Err(error)) if error.is_connect() => AttemptEnd::Failure(AttemptOutcome::NotRun),
            Ok(Err(_)) => AttemptEnd::Failure(AttemptOutcome::Broken),
            Err(_) => AttemptEnd::Failure(AttemptOutcome::Stalled),
        };
        self.note_end(target, &end, started);
        end
    }

    fn onward(
        &self,
        request: &mut OnwardRequest,
        route: &CompiledRoute,
        target: &KnownTarget,
        deadline: TimePoint,
        call_id: &str,
    ) -> reqwest::RequestBuilder {
        let mut headers = request.headers.clone();
        headers.insert(header::CALL, header_value(call_id));
        headers.insert(header::ROUTE, header_value(&route.name));
        headers.insert(header::POOL, header_value(&route.pool.name));
        headers.insert(
            header::REPEATABLE,
            header_value(if request.repeatable { "yes" } else { "no" }),
        );
        let left_ms = deadline.ms_since(self.shared.now());
        headers.insert(header::TIMEOUT_MS, header_value(&left_ms.max(1).to_string()));
        let url = format!("http://{}{}", target.gate, request.path);
        let client = self.clients.client(target.gate, request.repeatable);
        let builder = client.request(request.method.clone(), url).headers(headers);
        match request.body.take(self.shared.settings.max_body_bytes) {
            Some(body) => builder.body(body),
            None => builder,
        }
    }

    async fn judge_answer(
        &self,
        request: &OnwardRequest,
        route: &CompiledRoute,
        target: &KnownTarget,
        answer: reqwest::Response,
        deadline: TimePoint,
    ) -> AttemptEnd {
        let shared = &self.shared;
        let status = answer.status();
        let headers = answer.headers().clone();
        if let Some(clearance) = text_header(&headers, header::CLEARANCE).and_then(Clearance::from_header) {
            shared.moves.lock().learn(&route.pool.name, clearance);
        }
        match text_header(&headers, header::OUTCOME) {
            Some("not-run") => {
                if text_header(&headers, header::REASON) == Some(&GateRefusal::Stopped.to_string()) {
                    shared
                        .moves
                        .lock()
                        .note_stop(&route.pool.name, &target.version, shared.now());
                }
                return AttemptEnd::Failure(AttemptOutcome::NotRun);
            }
            Some(_) => return AttemptEnd::Failure(AttemptOutcome::Broken),
            None => {}
        }
        match read_answer(&request.method, answer, deadline, shared.now()).await {
            Ok(body) => AttemptEnd::Answer {
                outcome: outcome_of(status),
                status,
                headers,
                body: Box::new(body),
            },
            Err(AnswerFault::Cut) => AttemptEnd::Failure(AttemptOutcome::Broken),
            Err(AnswerFault::Late) => AttemptEnd::Failure(AttemptOutcome::Stalled),
        }
    }

    /// Writes what was observed of the target into the book.
    fn note_end(&self, target: &KnownTarget, end: &AttemptEnd, started: Instant) {
        let shared = &self.shared;
        let now = shared.now();
        let mut book = shared.book.lock();
        let ejected = match end {
            AttemptEnd::Answer {
                outcome: AttemptOutcome::Answered,
                headers,
                ..
            } => {
                let load = number_header(headers, header::LOAD).map(|load| load as u32);
                book.succeed(&target.name, started.elapsed().as_secs_f64() * 1e3, load, now);
                false
            }
            AttemptEnd::Answer { .. } | AttemptEnd::Failure(_) => book.fail(&target.name, now),
        };
        drop(book);
        if matches!(
            end,
            AttemptEnd::Failure(AttemptOutcome::Broken | AttemptOutcome::Stalled)
        ) {
            self.clients.leave_connections(target.gate);
        }
        if ejected {
            shared.note(TrafficNote::Ejected {
                target: Arc::clone(&target.name),
            });
        }
    }

    fn new_call_id(&self) -> String {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.shared.settings.name, self.worker)
    }
}

#[async_trait]
impl Handler for OutboundHandler {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response, _ctrl: &mut FlowCtrl) {
        self.carry(req, res).await;
        mark_leaving(&self.shared, res);
    }
}

fn find_route(snapshot: &TrafficSnapshot, req: &Request) -> Result<Arc<CompiledRoute>, RefusalReason> {
    let table = snapshot.table.as_ref().ok_or(RefusalReason::NoConfiguration)?;
    match table.find(req.method().as_str(), req.uri().path()) {
        RouteMatch::Found(route) => Ok(route),
        RouteMatch::WrongMethod => Err(RefusalReason::WrongMethod),
        RouteMatch::None => Err(RefusalReason::NoRoute),
    }
}

fn refuse_body(res: &mut Response, fault: BodyFault, limit: u64) {
    let (status, text) = match fault {
        BodyFault::TooLarge => (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is over {limit} bytes; send less"),
        ),
        BodyFault::Incomplete => (
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive whole before the deadline; send it again".to_owned(),
        ),
    };
    refuse_with(
        res,
        status,
        CallOutcome::NotRun,
        RefusalReason::BadRequest.word(),
        &text,
    );
}

fn candidate(target: &KnownTarget) -> CandidateTarget {
    CandidateTarget {
        name: Arc::clone(&target.name),
        slots: target.slots,
        is_near: target.is_near,
        is_suspect: target.is_suspect,
    }
}

fn no_target(plan: &CallPlan) -> RefusalReason {
    if plan.tried().is_empty() {
        RefusalReason::NoTarget
    } else {
        RefusalReason::Refused
    }
}

fn outcome_of(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            AttemptOutcome::Shed
        }
        _ => AttemptOutcome::Answered,
    }
}
