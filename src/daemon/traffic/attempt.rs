//! One attempt of a call: the exchange between a proxy and the gate of the chosen target.

use {
    super::{
        body::{AnswerBody, AnswerFault, OnwardBody, RequestBody},
        hop::{HopCall, header},
        peer_client::{PeerClients, SendFault},
        relay::text_header,
    },
    crate::{
        call::{AttemptOutcome, LoadReport},
        clock::TimePoint,
        config::CompiledPool,
        daemon::{
            shared::{SharedState, TrafficEvent},
            snapshot::ServingTarget,
        },
        gate::GateRefusal,
        moves::Clearance,
    },
    hyper::{Request, Response, Uri, body::Incoming, header::HOST, http::uri::PathAndQuery},
    salvo::http::{HeaderMap, HeaderValue, Method, StatusCode},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::time::timeout,
};

/// A call on its way, as it is sent by each of its attempts.
pub struct OnwardRequest {
    /// Method.
    pub method: Method,
    /// Path and query, byte for byte as the caller sent them.
    pub path: PathAndQuery,
    /// Headers that travel end to end.
    pub headers: HeaderMap,
    /// Host header of the caller.
    pub host: Option<HeaderValue>,
    /// Body.
    pub body: RequestBody,
}

impl OnwardRequest {
    /// Makes the request to the next hop at `peer`.
    pub fn make_for(&mut self, peer: SocketAddr) -> Option<Request<OnwardBody>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(peer.to_string())
            .path_and_query(self.path.clone())
            .build()
            .ok()?;
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        if let Some(host) = &self.host {
            request.headers_mut().insert(HOST, host.clone());
        }
        Some(request)
    }
}

/// What came of one attempt.
pub enum AttemptEnd {
    /// The target answered.
    Answer {
        /// Whether it answered well.
        outcome: AttemptOutcome,
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: AnswerBody,
    },
    /// There is no answer to pass on.
    Failure {
        /// What is known of the request.
        outcome: AttemptOutcome,
        /// Why, for logs.
        reason: Arc<str>,
    },
}

impl AttemptEnd {
    /// Returns what is known of the request.
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

/// Frees the target's place in the book when the call to it has ended.
pub struct BookedCall {
    shared: Arc<SharedState>,
    target: Arc<str>,
    priority: u8,
}

impl BookedCall {
    /// Takes a place for a call of a rank.
    pub fn new(shared: &Arc<SharedState>, target: &ServingTarget, priority: u8) -> Self {
        shared.selector.lock().start(&target.name, priority);
        Self {
            shared: Arc::clone(shared),
            target: Arc::clone(&target.name),
            priority,
        }
    }
}

impl Drop for BookedCall {
    fn drop(&mut self) {
        self.shared.selector.lock().end(&self.target, self.priority);
    }
}

/// One attempt at one target.
pub struct CallAttempt {
    /// Shared state.
    pub shared: Arc<SharedState>,
    /// Clients of the traffic thread.
    pub clients: Arc<PeerClients>,
    /// Pool of the call.
    pub pool: Arc<CompiledPool>,
    /// Chosen target.
    pub target: ServingTarget,
    /// What the gate is told.
    pub hop: HopCall,
    /// Held until the answer has been passed on.
    pub booked: BookedCall,
}

impl CallAttempt {
    /// Sends the request and waits for the answer until the deadline.
    pub async fn run(self, request: Option<Request<OnwardBody>>) -> (Self, AttemptEnd) {
        let end = match request {
            Some(request) => self.exchange(request).await,
            None => AttemptEnd::failure(AttemptOutcome::NotRun, "the path has no form for the next hop"),
        };
        (self, end)
    }

    async fn exchange(&self, mut request: Request<OnwardBody>) -> AttemptEnd {
        let shared = &self.shared;
        let started = Instant::now();
        let deadline = self.hop.deadline;
        self.hop.write(request.headers_mut(), shared.now());
        let method = request.method().clone();
        let send = self.clients.send(self.target.gate, self.hop.repeatable, request);
        let end = match timeout(deadline.remaining_from(shared.now()), send).await {
            Ok(Ok(answer)) if text_header(answer.headers(), header::CALL) == Some(&self.hop.id) => {
                self.judge(&method, answer, deadline).await
            }
            Ok(Ok(_)) => AttemptEnd::failure(AttemptOutcome::Broken, "answer of another call"),
            Ok(Err(SendFault::NotSent)) => {
                self.note_failure();
                AttemptEnd::failure(AttemptOutcome::NotRun, "no connection")
            }
            Ok(Err(SendFault::Broken)) => AttemptEnd::failure(AttemptOutcome::Broken, "connection broke"),
            Err(_) => AttemptEnd::failure(AttemptOutcome::Stalled, "no answer in time"),
        };
        self.note_end(&end, started);
        end
    }

    async fn judge(&self, method: &Method, answer: Response<Incoming>, deadline: TimePoint) -> AttemptEnd {
        let shared = &self.shared;
        let (head, body) = answer.into_parts();
        let (status, headers) = (head.status, head.headers);
        if let Some(clearance) = text_header(&headers, header::CLEARANCE).and_then(Clearance::from_header) {
            shared.moves.lock().update_clearance(&self.pool.name, clearance);
        }
        let reason = text_header(&headers, header::REASON).unwrap_or("");
        match text_header(&headers, header::OUTCOME) {
            Some("not-run") => return self.refused(reason, &headers),
            Some(_) => return AttemptEnd::failure(AttemptOutcome::Broken, reason),
            None => {}
        }
        match AnswerBody::read(method, status, body, deadline.remaining_from(shared.now())).await {
            Ok(body) => AttemptEnd::Answer {
                outcome: if status.is_server_error() {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered
                },
                status,
                headers,
                body,
            },
            Err(AnswerFault::Cut) => AttemptEnd::failure(AttemptOutcome::Broken, "answer broke off"),
            Err(AnswerFault::Late) => AttemptEnd::failure(AttemptOutcome::Stalled, "answer was over-late"),
        }
    }

    fn refused(&self, reason: &str, headers: &HeaderMap) -> AttemptEnd {
        let shared = &self.shared;
        let now = shared.now();
        let refusal = GateRefusal::from_word(reason);
        if refusal == Some(GateRefusal::Stopped) {
            shared
                .moves
                .lock()
                .record_stop(&self.pool.name, &self.target.version, now);
        }
        let mut selector = shared.selector.lock();
        match refusal {
            Some(GateRefusal::Full | GateRefusal::Expired) => {
                selector.note_full(&self.target.name, self.hop.priority, now);
                if let Some(load) = load_of(headers) {
                    selector.note_load(&self.target.name, load, now);
                }
            }
            Some(GateRefusal::Stopped) => {}
            Some(GateRefusal::Shed) => selector.note_shed(&self.target.name),
            _ => drop(selector.fail(&self.target.name, now)),
        }
        let outcome = if refusal == Some(GateRefusal::Shed) {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::NotRun
        };
        AttemptEnd::failure(outcome, reason)
    }

    /// Writes what was observed of the target into the book; a refusal was noted with its reason.
    fn note_end(&self, end: &AttemptEnd, started: Instant) {
        let shared = &self.shared;
        match end {
            AttemptEnd::Answer {
                outcome: AttemptOutcome::Answered,
                headers,
                ..
            } => {
                let latency_ms = started.elapsed().as_secs_f64() * 1e3;
                let (load, now) = (load_of(headers), shared.now());
                shared
                    .selector
                    .lock()
                    .succeed(&self.target.name, latency_ms, load, now);
            }
            AttemptEnd::Failure {
                outcome: AttemptOutcome::NotRun | AttemptOutcome::Rejected,
                ..
            } => {}
            AttemptEnd::Answer { .. } => {
                let is_ejected = shared
                    .selector
                    .lock()
                    .fail_answer(&self.target.name, shared.now());
                self.tell_ejected(is_ejected);
            }
            AttemptEnd::Failure { .. } => self.note_failure(),
        }
        if matches!(end.outcome(), AttemptOutcome::Broken | AttemptOutcome::Stalled) {
            self.clients.leave_connections(self.target.gate);
        }
    }

    fn note_failure(&self) {
        let shared = &self.shared;
        let is_ejected = shared.selector.lock().fail(&self.target.name, shared.now());
        self.tell_ejected(is_ejected);
    }

    fn tell_ejected(&self, is_ejected: bool) {
        if is_ejected {
            self.shared.report_event(TrafficEvent::Ejected {
                target: Arc::clone(&self.target.name),
            });
        }
    }
}

fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    text_header(headers, header::LOAD)?.parse().ok()
}
