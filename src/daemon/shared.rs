//! State shared by the control thread and the traffic threads. Each part has its own lock, held for short sections.

use {
    super::{
        evidence_recorder::EvidenceRecorder, freshness::TableFreshness, leave_schedule::LeaveSchedule,
        metrics::DaemonMetrics, refusals::RefusalLines, snapshot::TrafficSnapshot, traffic::CallDialect,
    },
    crate::{
        call::{PoolBudgets, TargetSelector},
        clock::{ProcessClock, TimePoint},
        gate::{DequeueOutcome, GateRefusal, GateState, TicketId},
        intake::{IntakeId, IntakeLimits, IntakeState},
        moves::{Clearance, GateLease},
        organisations::QuotaDesk,
        quarantine::{QuarantineNotice, QuarantineState},
        settings::DaemonSettings,
        socket_budget::SocketBudget,
    },
    arc_swap::ArcSwap,
    indexmap::IndexSet,
    parking_lot::Mutex,
    salvo::http::StatusCode,
    std::{
        collections::HashMap,
        hash::Hash,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::{
        sync::{Notify, Semaphore, mpsc, oneshot},
        time::sleep,
    },
};

/// Time for which a proxy sends no calls to a version after a gate refused it as stopped, in milliseconds.
const STOPPED_BACKOFF_MS: u64 = 1_000;

/// Sends a queued call its slot, or the reason why it is refused.
pub type AdmissionSender = oneshot::Sender<Result<(), GateRefusal>>;

/// The gate's admission state with the channels of queued calls.
#[derive(Debug)]
pub struct GateQueue {
    /// Admission state, without I/O.
    pub state: GateState,
    /// Channels of queued calls by ticket.
    pub waiting: HashMap<TicketId, AdmissionSender>,
}

impl GateQueue {
    /// Closes the gate to new calls and refuses queued ones.
    pub fn drain(&mut self, now: TimePoint) {
        let outcomes = self.state.drain();
        self.wake(outcomes, now);
    }

    /// Sends queued calls their slot or refusal. The slot of a call that has been dropped is freed again.
    pub fn wake(&mut self, outcomes: Vec<DequeueOutcome>, now: TimePoint) {
        let mut outcomes = outcomes;
        while let Some(outcome) = outcomes.pop() {
            let (ticket, admission) = match outcome {
                DequeueOutcome::Run(ticket) => (ticket, Ok(())),
                DequeueOutcome::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let was_received = self
                .waiting
                .remove(&ticket)
                .is_some_and(|sender| sender.send(admission).is_ok());
            if !was_received && admission.is_ok() {
                outcomes.extend(self.state.finish(ticket, None, now));
            }
        }
    }
}

/// The gate's intake of bodies with the channels of offers that wait.
#[derive(Debug)]
pub struct BodyIntake {
    /// State of the intake, without I/O.
    pub state: IntakeState,
    /// Channels of the offers that wait.
    pub waiting: HashMap<IntakeId, oneshot::Sender<()>>,
}

impl BodyIntake {
    /// Creates an intake without bodies.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            state: IntakeState::new(limits),
            waiting: HashMap::new(),
        }
    }

    /// Tells the offers whose turn it is. Those that have been dropped give their turn to the next ones.
    pub fn wake(&mut self, now: TimePoint) {
        let mut turns = self.state.next_turns(now);
        while let Some(id) = turns.pop() {
            let sender = self.waiting.remove(&id);
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                self.state.remove(id);
                turns.extend(self.state.next_turns(now));
            }
        }
    }
}

/// State of open moves in this daemon, as a proxy and as a gate.
#[derive(Debug, Default)]
pub struct MoveRegistry {
    /// Latest clearance by pool, received with answers and polls.
    clearances: HashMap<Arc<str>, Clearance>,
    /// Leases that controllers hold at this daemon's gate, by pool.
    pub leases: HashMap<Arc<str>, GateLease>,
    /// Time until which a stopped version gets no calls from this proxy, by pool and version.
    stopped_until: HashMap<(Arc<str>, Arc<str>), TimePoint>,
}

impl MoveRegistry {
    /// Stores a received clearance if it supersedes the stored one.
    pub fn update_clearance(&mut self, pool: &Arc<str>, clearance: Clearance) {
        let is_newer = self
            .clearances
            .get(pool)
            .is_none_or(|current| clearance.supersedes(current));
        if is_newer {
            self.clearances.insert(Arc::clone(pool), clearance);
        }
    }

    /// Returns the share of calls for a move's new version, from 0 to 1; 0 if the version is stopped or no clearance
    /// of this move was received.
    pub fn share(&self, pool: &str, move_id: u64) -> f64 {
        let current = self
            .clearances
            .get(pool)
            .filter(|clearance| clearance.move_id == move_id);
        current.map_or(0.0, Clearance::usable_share)
    }

    /// Returns the latest clearance of a pool.
    pub fn clearance(&self, pool: &str) -> Option<&Clearance> {
        self.clearances.get(pool)
    }

    /// Returns for how long no controller has watched a move at this daemon's gate: the time since the lease expired, in
    /// milliseconds. Returns `None` while the lease lasts, or if the gate holds no clearance of the move.
    pub fn expired_for_ms(&self, pool: &str, move_id: u64, now: TimePoint) -> Option<u64> {
        self.leases.get(pool)?.expired_for_ms(move_id, now)
    }

    /// Records that a gate refused a version as stopped.
    pub fn record_stop(&mut self, pool: &Arc<str>, version: &Arc<str>, now: TimePoint) {
        self.stopped_until.insert(
            (Arc::clone(pool), Arc::clone(version)),
            now.after_ms(STOPPED_BACKOFF_MS),
        );
    }

    /// Returns whether a gate refused the version as stopped within the last `STOPPED_BACKOFF_MS`.
    pub fn is_stopped(&self, pool: &Arc<str>, version: &Arc<str>, now: TimePoint) -> bool {
        let key = (Arc::clone(pool), Arc::clone(version));
        self.stopped_until.get(&key).is_some_and(|until| *until > now)
    }

    /// Removes pools without an open move and versions whose backoff is over. `is_open` takes a pool and the identity
    /// of a move, 0 for any move.
    pub fn retain(&mut self, is_open: impl Fn(&str, u64) -> bool, now: TimePoint) {
        self.clearances
            .retain(|pool, clearance| is_open(pool, clearance.move_id));
        self.leases.retain(|pool, _| is_open(pool, 0));
        self.stopped_until.retain(|_, until| *until > now);
    }
}

/// Event that a traffic thread reports for the timeline.
#[derive(Debug)]
pub enum TrafficEvent {
    /// A target was ejected.
    Ejected {
        /// Name of the target's daemon.
        target: Arc<str>,
    },
    /// The target beside this daemon refuses connections.
    TargetRefuses,
    /// A gate has refused a call by a table that is newer than the one here.
    NewerTable {
        /// Name of the gate's daemon.
        daemon: Arc<str>,
        /// Version of its table.
        version: u64,
    },
    /// A call waits for a token of its organisation.
    TokensWanted,
    /// There is news about requests that end targets.
    Quarantine(QuarantineNotice),
}

/// The target beside the daemon, as described by the settings or by its announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Identity; empty until the target's first announcement.
    pub id: Arc<str>,
    /// Version of the target.
    pub version: Arc<str>,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Number of calls that the target serves concurrently.
    pub slots: u32,
}

/// State shared by all threads of the daemon.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// When the process started; distinguishes its attempt identities from those before a restart.
    pub started_at: TimePoint,
    /// Dialect of the headers that callers and targets use.
    pub dialect: Arc<dyn CallDialect>,
    /// The target beside the daemon.
    pub target: ArcSwap<TargetIdentity>,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Current configuration and serving targets.
    pub snapshot: ArcSwap<TrafficSnapshot>,
    /// Whether the configuration is known to be the newest one.
    pub freshness: TableFreshness,
    /// The gate of this daemon's target.
    pub gate: Mutex<GateQueue>,
    /// Bodies on their way to this gate.
    pub intake: Mutex<BodyIntake>,
    /// Room for callers' bodies, one permit a byte.
    pub body_room: Arc<Semaphore>,
    /// Load and failures of targets, by which this proxy selects the target of a call.
    pub selector: Mutex<TargetSelector>,
    /// Routes that targets call in their runs, as gates reported them.
    pub nested_routes: Mutex<IndexSet<Arc<str>>>,
    /// Retry budgets by pool.
    pub budget: Mutex<PoolBudgets>,
    /// Outcomes of calls at this daemon's gate.
    pub evidence: Mutex<EvidenceRecorder>,
    /// State of open moves.
    pub moves: Mutex<MoveRegistry>,
    /// Requests that end targets.
    pub quarantine: Mutex<QuarantineState>,
    /// Notified when a suspect may have its turn at this daemon's target.
    pub turn_ended: Notify,
    /// Quotas of organisations.
    pub quotas: Mutex<QuotaDesk>,
    /// Notified when there may be tokens for calls that wait.
    pub tokens_changed: Notify,
    /// Metrics of the daemon.
    pub metrics: DaemonMetrics,
    /// File descriptors for connections of calls.
    pub(crate) sockets: Arc<SocketBudget>,
    /// Limits of the log lines of refused requests.
    pub refusal_lines: RefusalLines,
    /// Number of calls from callers in flight.
    pub active_calls: AtomicUsize,
    /// Set once the daemon is leaving; callers' connections are closed after each answer then.
    pub leaving: OnceLock<LeaveSchedule>,
    /// Notified when `leaving` is set.
    pub leaving_begun: Notify,
    /// Whether the daemon is about to exit; new calls from callers are refused then.
    pub is_closed: AtomicBool,
    /// Channel to the control thread.
    pub traffic_events: mpsc::Sender<TrafficEvent>,
}

impl SharedState {
    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Counts a refused request. Returns the number of refusals of this status and reason that were not logged before if
    /// this one is to be logged, otherwise `None`.
    pub fn record_refusal(
        &self,
        listener: &'static str,
        status: StatusCode,
        reason: &'static str,
        subject: impl Hash,
    ) -> Option<u64> {
        self.metrics.count_refused_request(listener, status, reason);
        self.refusal_lines
            .admit(listener, status, reason, subject, self.now())
    }

    /// Sends an event to the control thread; drops it if the channel is full.
    pub fn report_event(&self, event: TrafficEvent) {
        let _ = self.traffic_events.try_send(event);
    }

    /// Returns whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Begins the shutdown, unless it has begun.
    pub fn begin_leaving(&self, schedule: LeaveSchedule) {
        self.leaving.get_or_init(|| schedule);
        self.leaving_begun.notify_waiters();
    }

    /// Waits until what is not at a target has to be refused, as the daemon is about to exit.
    pub async fn wait_for_last_refusal(&self) {
        let schedule = loop {
            let begun = self.leaving_begun.notified();
            if let Some(schedule) = self.leaving.get() {
                break schedule;
            }
            begun.await;
        };
        sleep(schedule.start_by(0).remaining_from(self.now())).await;
    }
}

/// Counts a call from a caller as active until dropped.
#[derive(Debug)]
pub struct ActiveCall(Arc<SharedState>);

impl ActiveCall {
    /// Increments the count of active calls.
    pub fn start(shared: &Arc<SharedState>) -> Self {
        shared.active_calls.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::AcqRel);
    }
}
