//! One attempt of a call: request and answer between the outbound proxy and the gate of the chosen target.

use {
    super::{
        answer_body::{AnswerBody, AnswerFault},
        body::{BodyFault, BodyProgress, ForwardedBody, RequestBody},
        hop::{BODY_INCOMPLETE, HopCall, header},
        peer_client::{ConnectionReuse, PeerClients, SendFault},
        relay::{is_defined_status, text_header},
    },
    crate::{
        call::{AttemptOutcome, LoadReport, TargetSelector},
        clock::TimePoint,
        config::CompiledPool,
        daemon::{
            refusals::log_word,
            shared::{SharedState, TrafficEvent},
            snapshot::ServingTarget,
        },
        gate::GateRefusal,
        moves::Clearance,
    },
    hyper::{
        Request, Response, Uri,
        body::Incoming,
        ext::on_informational,
        header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING},
        http::uri::PathAndQuery,
    },
    parking_lot::Mutex,
    salvo::http::{HeaderMap, HeaderValue, Method, StatusCode},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::{sync::oneshot, time::timeout},
};

/// Number of routes that are known as called by targets.
const MAX_NESTED_ROUTES: usize = 64;

/// Request of a call, from which the request of each attempt is built.
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, byte for byte as the caller sent them.
    pub path: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Host header of the caller.
    pub host: Option<HeaderValue>,
    /// Request body.
    pub body: RequestBody,
    /// What is known of the body on its way.
    pub progress: Arc<BodyProgress>,
}

impl ForwardedRequest {
    /// Builds the request to the target at `peer`. Returns `None` if the path can't be written as a URI.
    pub fn request_to(&self, peer: SocketAddr) -> Option<Request<ForwardedBody>> {
        self.request_with(peer, self.body.take())
    }

    /// Builds the request to the gate at `peer`, which is to ask for a large body. Returns `None` if the path can't be written
    /// as a URI.
    pub fn offer_to(&self, peer: SocketAddr) -> Option<Request<ForwardedBody>> {
        if !self.body.is_large() {
            return self.request_to(peer);
        }
        let (ask, asked) = oneshot::channel();
        let mut request = self.request_with(peer, self.body.take_when(asked))?;
        let headers = request.headers_mut();
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
        if let Some(bytes) = self.body.buffered_bytes() {
            headers.remove(TRANSFER_ENCODING);
            headers.insert(CONTENT_LENGTH, bytes.into());
        }
        let ask = Mutex::new(Some(ask));
        on_informational(&mut request, move |interim| {
            if interim.status() == StatusCode::CONTINUE
                && let Some(ask) = ask.lock().take()
            {
                // Without a receiver the attempt has ended.
                let _ = ask.send(());
            }
        });
        Some(request)
    }

    fn request_with(&self, peer: SocketAddr, body: ForwardedBody) -> Option<Request<ForwardedBody>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(peer.to_string())
            .path_and_query(self.path.clone())
            .build()
            .ok()?;
        // Without a framing of its own the library sends no body with a GET or HEAD.
        let is_chunked = !self.body.is_buffered() && !self.headers.contains_key(CONTENT_LENGTH);
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        if is_chunked {
            let chunked = HeaderValue::from_static("chunked");
            request.headers_mut().insert(TRANSFER_ENCODING, chunked);
        }
        if let Some(host) = &self.host {
            request.headers_mut().insert(HOST, host.clone());
        }
        Some(request)
    }
}

/// Result of one attempt.
pub enum AttemptResult {
    /// The target answered.
    Answer {
        /// [`AttemptOutcome::Answered`] or, for a 5xx status, [`AttemptOutcome::Failed`].
        outcome: AttemptOutcome,
        /// Status of the answer.
        status: StatusCode,
        /// Headers of the answer.
        headers: HeaderMap,
        /// Body of the answer.
        body: AnswerBody,
    },
    /// There is no answer that may be returned to the caller.
    Failure {
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Reason of the failure, for logs.
        reason: Arc<str>,
    },
}

impl AttemptResult {
    /// Returns the outcome of the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Answer { outcome, .. } | Self::Failure { outcome, .. } => *outcome,
        }
    }

    fn failure(outcome: AttemptOutcome, reason: &str) -> Self {
        Self::Failure {
            outcome,
            reason: reason.into(),
        }
    }
}

/// Returns the rank by which gates queue a call. Nested ones go before all others.
pub fn queue_rank(priority: u8, is_nested: bool) -> u8 {
    if is_nested { 0 } else { priority }
}

/// Counts a call as in flight at a target until dropped.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
    target: Arc<str>,
    priority: u8,
}

impl InFlightGuard {
    /// Counts a call of a rank as in flight.
    pub fn new(shared: &Arc<SharedState>, target: &ServingTarget, priority: u8) -> Self {
        shared.selector.lock().record_start(&target.name, priority);
        Self {
            shared: Arc::clone(shared),
            target: Arc::clone(&target.name),
            priority,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .selector
            .lock()
            .record_end(&self.target, self.priority);
    }
}

/// Attempt of a call at one target.
pub struct CallAttempt {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// HTTP clients of the traffic thread.
    pub clients: Arc<PeerClients>,
    /// Pool of the call.
    pub pool: Arc<CompiledPool>,
    /// Chosen target.
    pub target: ServingTarget,
    /// Properties of the attempt that are sent to the gate.
    pub hop: HopCall,
    /// What is known of the caller's body on its way.
    pub body_progress: Arc<BodyProgress>,
    /// Kept until the whole answer has been sent to the caller.
    pub in_flight_guard: InFlightGuard,
}

impl CallAttempt {
    /// Sends the request and waits for the answer until the deadline.
    pub async fn run(self, request: Option<Request<ForwardedBody>>) -> (Self, AttemptResult) {
        let result = match request {
            Some(request) => self.exchange(request).await,
            None => AttemptResult::failure(AttemptOutcome::NotRun, "the path has no form for the next hop"),
        };
        (self, result)
    }

    async fn exchange(&self, mut request: Request<ForwardedBody>) -> AttemptResult {
        let shared = &self.shared;
        let started = Instant::now();
        let deadline = self.hop.deadline;
        self.hop.write(request.headers_mut(), shared.now());
        let method = request.method().clone();
        let reuse = ConnectionReuse::for_request(self.hop.repeatable);
        let send = self.clients.send(self.target.gate, reuse, request);
        let result = match timeout(deadline.remaining_from(shared.now()), send).await {
            Ok(Ok(answer)) if text_header(answer.headers(), header::CALL) == Some(&self.hop.id) => {
                self.read_answer(&method, answer, deadline).await
            }
            Ok(Ok(answer)) => {
                AttemptResult::failure(AttemptOutcome::Broken, &describe_foreign_answer(&answer))
            }
            Ok(Err(SendFault::NotSent)) => {
                self.report_failure();
                AttemptResult::failure(AttemptOutcome::NotRun, "no connection")
            }
            // It says nothing about the target.
            Ok(Err(SendFault::NoDescriptor)) => {
                AttemptResult::failure(AttemptOutcome::NotRun, "no file descriptor is left")
            }
            Ok(Err(SendFault::Broken)) => {
                let reason = match self.body_progress.fault() {
                    Some(BodyFault::TooLarge) => "the caller's body is over the limit",
                    Some(BodyFault::Incomplete) => "the caller's body broke off",
                    None => "connection broke",
                };
                AttemptResult::failure(AttemptOutcome::Broken, reason)
            }
            Err(_) => AttemptResult::failure(AttemptOutcome::Stalled, "no answer in time"),
        };
        self.record_result(&result, started);
        result
    }

    fn rank(&self) -> u8 {
        queue_rank(self.hop.priority, self.hop.is_nested)
    }

    /// Applies the clearance in the head of the gate's answer, and reads the body unless the gate refused the request.
    async fn read_answer(
        &self,
        method: &Method,
        answer: Response<Incoming>,
        deadline: TimePoint,
    ) -> AttemptResult {
        let shared = &self.shared;
        let (head, body) = answer.into_parts();
        let (status, headers) = (head.status, head.headers);
        if let Some(clearance) = text_header(&headers, header::CLEARANCE).and_then(Clearance::from_header) {
            shared.moves.lock().update_clearance(&self.pool.name, clearance);
        }
        let reason = text_header(&headers, header::REASON).unwrap_or("");
        match text_header(&headers, header::OUTCOME) {
            Some("not-run") => return self.record_refusal(reason, &headers),
            Some(_) => return AttemptResult::failure(AttemptOutcome::Broken, reason),
            None if !is_defined_status(status) => {
                return AttemptResult::failure(AttemptOutcome::Broken, "answer with an undefined status");
            }
            None => {}
        }
        let until = tokio::time::Instant::now() + deadline.remaining_from(shared.now());
        match AnswerBody::read(method, status, &headers, body, until).await {
            Ok(body) => AttemptResult::Answer {
                outcome: if status.is_server_error() {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered
                },
                status,
                headers,
                body,
            },
            Err(AnswerFault::Cut) => AttemptResult::failure(AttemptOutcome::Broken, "answer broke off"),
            Err(AnswerFault::Late) => AttemptResult::failure(AttemptOutcome::Stalled, "answer was over-late"),
            Err(AnswerFault::Coded) => {
                AttemptResult::failure(AttemptOutcome::Broken, "answer in an unknown transfer coding")
            }
        }
    }

    /// Records a refusal of the gate or the target, which did not run the request, and returns it as a result.
    fn record_refusal(&self, reason: &str, headers: &HeaderMap) -> AttemptResult {
        let shared = &self.shared;
        let now = shared.now();
        let refusal = GateRefusal::parse(reason);
        if refusal == Some(GateRefusal::Stopped) {
            shared
                .moves
                .lock()
                .record_stop(&self.pool.name, &self.target.version, now);
        }
        if let Some(version) = newer_table(refusal, headers) {
            shared.report_event(TrafficEvent::NewerTable {
                daemon: Arc::clone(&self.target.name),
                version,
            });
        }
        let mut selector = shared.selector.lock();
        match refusal {
            Some(GateRefusal::Full | GateRefusal::Expired) => {
                selector.record_full(&self.target.name, self.rank(), now);
                if let Some(load) = parse_load(headers) {
                    selector.record_load(&self.target.name, load, self.rank(), now);
                    self.record_route_run(&mut selector, load);
                }
            }
            Some(
                GateRefusal::Stopped
                | GateRefusal::Quarantined
                | GateRefusal::UnknownKey
                | GateRefusal::OlderTable,
            ) => {}
            // The target has not seen the request.
            None if reason == BODY_INCOMPLETE => {}
            Some(GateRefusal::Shed) => selector.record_shed(&self.target.name),
            _ => drop(selector.record_failure(&self.target.name, now)),
        }
        let outcome = if refusal == Some(GateRefusal::Shed) {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::NotRun
        };
        AttemptResult::failure(outcome, reason)
    }

    /// Records the result in the statistics of the target, except for attempts that did not run, which were recorded
    /// with their cause before. Discards the connections to the gate after a broken or stalled attempt.
    fn record_result(&self, result: &AttemptResult, started: Instant) {
        let shared = &self.shared;
        if self.is_callers_fault(result) {
            // It says nothing about the target or the connections to it.
            return;
        }
        match result {
            AttemptResult::Answer {
                outcome: AttemptOutcome::Answered,
                headers,
                ..
            } => {
                let latency_ms = started.elapsed().as_secs_f64() * 1e3;
                let (load, now) = (parse_load(headers), shared.now());
                let mut selector = shared.selector.lock();
                selector.record_success(&self.target.name, latency_ms);
                if let Some(load) = load {
                    selector.record_load(&self.target.name, load, self.rank(), now);
                    self.record_route_run(&mut selector, load);
                }
                drop(selector);
                self.clear_suspect();
            }
            AttemptResult::Failure {
                outcome: AttemptOutcome::NotRun | AttemptOutcome::Rejected,
                ..
            } => {}
            AttemptResult::Answer { .. } => {
                let is_ejected = shared
                    .selector
                    .lock()
                    .record_failed_answer(&self.target.name, shared.now());
                self.report_ejection(is_ejected);
            }
            AttemptResult::Failure { .. } => self.report_failure(),
        }
        if matches!(result.outcome(), AttemptOutcome::Broken | AttemptOutcome::Stalled) {
            self.clients.discard_connections(self.target.gate);
        }
    }

    /// Ends the suspicion that this daemon has of an answered request; its gate tells others, where that matters.
    fn clear_suspect(&self) {
        let mut quarantine = self.shared.quarantine.lock();
        if let Some(fingerprints) = self.hop.fingerprints.filter(|_| !quarantine.is_quiet()) {
            quarantine.end_suspicion(&fingerprints, &self.target.version);
        }
    }

    fn record_route_run(&self, selector: &mut TargetSelector, load: LoadReport) {
        if load.route_run_ms > 0.0 {
            selector.record_route_run(&self.target.name, &self.hop.route, load.route_run_ms);
        }
        self.record_nested(load.is_nested);
    }

    /// Records whether the gate knows the route as one that targets call.
    fn record_nested(&self, is_nested: bool) {
        let mut routes = self.shared.nested_routes.lock();
        if !is_nested {
            routes.swap_remove(&self.hop.route);
        } else if routes.len() < MAX_NESTED_ROUTES && routes.insert(Arc::clone(&self.hop.route)) {
            log::info!("event=nested-route route={}", log_word(&self.hop.route));
        }
    }

    /// Returns whether the attempt failed because the caller's body broke off, was too large, or did not come in time.
    fn is_callers_fault(&self, result: &AttemptResult) -> bool {
        let AttemptResult::Failure { outcome, reason } = result else {
            return false;
        };
        let is_late = *outcome == AttemptOutcome::Stalled || &**reason == BODY_INCOMPLETE;
        self.body_progress.fault().is_some() || is_late && self.body_progress.is_awaited()
    }

    fn report_failure(&self) {
        let shared = &self.shared;
        let is_ejected = shared
            .selector
            .lock()
            .record_failure(&self.target.name, shared.now());
        self.report_ejection(is_ejected);
    }

    fn report_ejection(&self, is_ejected: bool) {
        if is_ejected {
            self.shared.report_event(TrafficEvent::Ejected {
                target: Arc::clone(&self.target.name),
            });
        }
    }
}

/// Describes an answer that is not the gate's to this attempt: one of the gate's HTTP library, of another process at its
/// address, or one to an earlier request.
fn describe_foreign_answer(answer: &Response<Incoming>) -> String {
    let status = answer.status().as_u16();
    if answer.headers().contains_key(header::CALL) {
        format!("answer of another call, status {status}")
    } else {
        format!("answer without a call header, status {status}")
    }
}

/// Returns the version of the gate's table if it has refused the call by that.
fn newer_table(refusal: Option<GateRefusal>, headers: &HeaderMap) -> Option<u64> {
    let version = text_header(headers, header::TABLE).filter(|_| refusal == Some(GateRefusal::OlderTable))?;
    version.parse().ok()
}

fn parse_load(headers: &HeaderMap) -> Option<LoadReport> {
    text_header(headers, header::LOAD)?.parse().ok()
}
