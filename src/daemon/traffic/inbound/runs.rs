//! Guards for the runs at this daemon's target, by which the quarantine knows what the target was running when it ended.

use {
    crate::{
        clock::TimePoint,
        daemon::{
            shared::{SharedState, TargetIdentity, TrafficEvent},
            traffic::{hop::HopCall, relay::request_host},
        },
        gate::GateRefusal,
        quarantine::{CallFingerprints, QuarantineNotice, RequestStanding, RunId, RunTurn},
    },
    salvo::Request,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time in which the other connections to a target that has ended are noticed to be broken, too.
const BREAK_STEP: Duration = Duration::from_millis(5);
/// Number of such times.
const BREAK_STEPS: u32 = 3;
/// Time limit of the connection that shows whether a target still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which that connection stays open if the target goes on.
const PROBE_HOLD: Duration = Duration::from_millis(20);
/// Number of such connections. A target that resets all of them listens.
const PROBES: u32 = 3;
/// Longest description of a request in logs, in characters.
const MAX_SUBJECT_CHARS: usize = 200;

/// Turn of a suspect at this daemon's target. It ends when dropped.
pub(super) struct TurnGuard {
    shared: Arc<SharedState>,
    fingerprints: CallFingerprints,
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.shared.quarantine.lock().end_turn(&self.fingerprints);
        self.shared.turn_ended.notify_waiters();
    }
}

/// Waits until a run of a request may begin at this daemon's target. Returns the turn of a suspect.
pub(super) async fn wait_for_turn(
    shared: &Arc<SharedState>,
    hop: &HopCall,
    wait_until: TimePoint,
) -> Result<Option<TurnGuard>, GateRefusal> {
    let Some(fingerprints) = hop.fingerprints else {
        return Ok(None);
    };
    loop {
        let ended = shared.turn_ended.notified();
        let now = shared.now();
        let version = Arc::clone(&shared.target.load().version);
        let turn = shared.quarantine.lock().take_turn(&fingerprints, &version, now);
        match turn {
            RunTurn::Free => return Ok(None),
            RunTurn::Taken => {
                return Ok(Some(TurnGuard {
                    shared: Arc::clone(shared),
                    fingerprints,
                }));
            }
            RunTurn::Held(_) => return Err(GateRefusal::Quarantined),
            RunTurn::Wait => {}
        }
        if timeout(wait_until.remaining_from(now), ended).await.is_err() {
            return Err(GateRefusal::Expired);
        }
    }
}

/// Run at this daemon's target. If it is dropped before its end is known, the target may still be at work on it.
pub(super) struct RunGuard {
    shared: Arc<SharedState>,
    /// `None` for a request without fingerprints, or once its end is known.
    id: Option<RunId>,
    fingerprints: Option<CallFingerprints>,
    /// Version of the target.
    version: Arc<str>,
    turn: Option<TurnGuard>,
}

impl RunGuard {
    /// Lists a run. Returns `None` if the request has become a suspect and has to wait for its turn.
    pub(super) fn start(
        shared: &Arc<SharedState>,
        req: &Request,
        hop: &HopCall,
        version: &Arc<str>,
        turn: Option<TurnGuard>,
    ) -> Result<Option<Self>, GateRefusal> {
        let mut run = Self {
            shared: Arc::clone(shared),
            id: None,
            fingerprints: hop.fingerprints,
            version: Arc::clone(version),
            turn,
        };
        let Some(fingerprints) = hop.fingerprints else {
            return Ok(Some(run));
        };
        let now = shared.now();
        let mut quarantine = shared.quarantine.lock();
        match quarantine.standing(&fingerprints, version, now) {
            RequestStanding::Held(_) => return Err(GateRefusal::Quarantined),
            RequestStanding::Suspect if run.turn.is_none() => return Ok(None),
            RequestStanding::Suspect | RequestStanding::Free => {}
        }
        run.id = Some(quarantine.runs().start(fingerprints, describe(req), now));
        Ok(Some(run))
    }

    /// Ends the run without a conclusion: it did not reach the target, or the target goes on without it.
    pub(super) fn finish(&mut self) {
        if let Some(id) = self.id.take() {
            self.shared.quarantine.lock().runs().finish(id);
            self.shared.turn_ended.notify_waiters();
        }
    }

    /// Ends the run after a whole answer.
    pub(super) fn finish_well(&mut self) {
        let (Some(_), Some(fingerprints)) = (self.id, self.fingerprints) else {
            return;
        };
        let notices = self.shared.quarantine.lock().clear(&fingerprints, &self.version);
        for notice in notices {
            self.shared.report_event(TrafficEvent::Quarantine(notice));
        }
        self.finish();
    }

    /// Ends the run after its connection broke. Returns whether the target has ended: all that it was running broke, and
    /// it does not listen any more. The first run that finds this out accuses all of them.
    pub(super) async fn finish_broken(&mut self, identity: &TargetIdentity) -> bool {
        let shared = Arc::clone(&self.shared);
        let Some(id) = self.id else { return false };
        shared.quarantine.lock().runs().break_off(id);
        let has_ended =
            self.was_accused(id) || self.are_all_broken(id).await && !is_listening(identity).await;
        if has_ended && !shared.gate.lock().state.is_leaving() {
            accuse(&shared, id, identity);
        }
        self.finish();
        has_ended
    }

    fn was_accused(&self, id: RunId) -> bool {
        !self.shared.quarantine.lock().runs().contains(id)
    }

    async fn are_all_broken(&self, id: RunId) -> bool {
        for _ in 0..BREAK_STEPS {
            if self.was_accused(id) || self.shared.quarantine.lock().runs().are_all_broken(id) {
                return true;
            }
            sleep(BREAK_STEP).await;
        }
        false
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let now = self.shared.now();
            self.shared.quarantine.lock().runs().cancel(id, now);
            self.shared.turn_ended.notify_waiters();
        }
    }
}

/// Accuses all that the target was running of its end, and tells the other daemons.
fn accuse(shared: &SharedState, id: RunId, identity: &TargetIdentity) {
    let now = shared.now();
    let ended = shared.quarantine.lock().end_target(id, &identity.version, now);
    let Some((end, runs)) = ended else { return };
    shared.metrics.target_ends.inc();
    for run in runs {
        log::info!(
            "event=request-accused fingerprint={} end={:016x} target={} version={} request={:?}",
            run.fingerprints,
            end.id.0,
            identity.id,
            identity.version,
            run.subject
        );
    }
    shared.report_event(TrafficEvent::Quarantine(QuarantineNotice::Ended(end)));
}

/// Returns whether a target accepts connections and keeps one open for a moment: the listener of a process that ends may
/// be closed after its connections.
async fn is_listening(identity: &TargetIdentity) -> bool {
    for _ in 0..PROBES {
        let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(identity.address));
        let mut stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return error.kind() != ErrorKind::ConnectionRefused,
            Err(_) => return true,
        };
        // A target sends nothing before it is asked.
        match timeout(PROBE_HOLD, stream.read_u8()).await {
            Ok(Err(_)) => {}
            Ok(Ok(_)) | Err(_) => return true,
        }
    }
    true
}

fn describe(req: &Request) -> Arc<str> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let text = format!("{} {}{path}", req.method(), request_host(req));
    match text.char_indices().nth(MAX_SUBJECT_CHARS) {
        Some((end, _)) => text[..end].into(),
        None => text.into(),
    }
}
