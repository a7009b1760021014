//! State that the control thread and the traffic threads share, each part behind a short lock.

use {
    super::{
        evidence_recorder::EvidenceRecorder, metrics::DaemonMetrics, snapshot::TrafficSnapshot,
        traffic::CallDialect,
    },
    crate::{
        call::{PoolBudgets, TargetSelector},
        clock::{ProcessClock, TimePoint},
        gate::{DequeueOutcome, GateRefusal, GateState, TicketId},
        moves::{Clearance, GateLease},
        settings::DaemonSettings,
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::sync::{mpsc, oneshot},
};

/// Time for which a proxy sends nothing to a version that a gate refused as stopped, in milliseconds.
const STOP_MEMORY_MS: u64 = 1_000;

/// What a waiting call is told.
pub type WakeSender = oneshot::Sender<Result<(), GateRefusal>>;

/// The gate with the calls that wait at it.
#[derive(Debug)]
pub struct GateDesk {
    /// The pure state.
    pub state: GateState,
    /// Calls that wait.
    pub waiting: HashMap<TicketId, WakeSender>,
}

impl GateDesk {
    /// Refuses new work and tells waiting calls so.
    pub fn drain(&mut self, now: TimePoint) {
        let wakes = self.state.drain();
        self.wake(wakes, now);
    }

    /// Tells waiting calls what became of them. A call that went away meanwhile gives its slot back.
    pub fn wake(&mut self, wakes: Vec<DequeueOutcome>, now: TimePoint) {
        let mut wakes = wakes;
        while let Some(wake) = wakes.pop() {
            let (ticket, verdict) = match wake {
                DequeueOutcome::Run(ticket) => (ticket, Ok(())),
                DequeueOutcome::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let told = self
                .waiting
                .remove(&ticket)
                .is_some_and(|sender| sender.send(verdict).is_ok());
            if !told && verdict.is_ok() {
                wakes.extend(self.state.finish(None, now));
            }
        }
    }
}

/// What this daemon knows of open moves, as a proxy and as a gate.
#[derive(Debug, Default)]
pub struct MoveRegistry {
    /// Latest clearance by pool, learnt from answers and polls.
    clearances: HashMap<Arc<str>, Clearance>,
    /// Leases of controllers by pool, for the own gate.
    pub leases: HashMap<Arc<str>, GateLease>,
    /// Until when a version of a pool gets no calls from here.
    stops: HashMap<(Arc<str>, Arc<str>), TimePoint>,
}

impl MoveRegistry {
    /// Takes note of a clearance.
    pub fn update_clearance(&mut self, pool: &Arc<str>, clearance: Clearance) {
        let newer = self
            .clearances
            .get(pool)
            .is_none_or(|known| clearance.supersedes(known));
        if newer {
            self.clearances.insert(Arc::clone(pool), clearance);
        }
    }

    /// Returns the share of a move's new version, 0 if nothing is known.
    pub fn share(&self, pool: &str, move_id: u64) -> f64 {
        let known = self
            .clearances
            .get(pool)
            .filter(|clearance| clearance.move_id == move_id);
        known.map_or(0.0, Clearance::usable_share)
    }

    /// Returns the latest clearance of a pool.
    pub fn clearance(&self, pool: &str) -> Option<&Clearance> {
        self.clearances.get(pool)
    }

    /// Returns for how long nobody has watched a move that the own gate knows of, in milliseconds.
    pub fn expired_for_ms(&self, pool: &str, move_id: u64, now: TimePoint) -> Option<u64> {
        self.leases.get(pool)?.expired_for_ms(move_id, now)
    }

    /// Takes note that a gate refused a version as stopped.
    pub fn record_stop(&mut self, pool: &Arc<str>, version: &Arc<str>, now: TimePoint) {
        self.stops.insert(
            (Arc::clone(pool), Arc::clone(version)),
            now.after_ms(STOP_MEMORY_MS),
        );
    }

    /// Tells whether a version was refused as stopped a moment ago.
    pub fn is_stopped(&self, pool: &Arc<str>, version: &Arc<str>, now: TimePoint) -> bool {
        let key = (Arc::clone(pool), Arc::clone(version));
        self.stops.get(&key).is_some_and(|until| *until > now)
    }

    /// Forgets pools without an open move.
    pub fn retain(&mut self, is_open: impl Fn(&str, u64) -> bool, now: TimePoint) {
        self.clearances
            .retain(|pool, clearance| is_open(pool, clearance.move_id));
        self.leases.retain(|pool, _| is_open(pool, 0));
        self.stops.retain(|_, until| *until > now);
    }
}

/// A note from a traffic thread for the time line.
#[derive(Debug)]
pub enum TrafficEvent {
    /// A target was ejected.
    Ejected {
        /// Name of its daemon.
        target: Arc<str>,
    },
    /// The own target does not take connections.
    TargetRefuses,
}

/// The target beside the daemon, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Identity; empty before the target has announced itself.
    pub id: Arc<str>,
    /// Version.
    pub version: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Calls that it serves at once.
    pub slots: u32,
}

/// All shared state.
#[derive(Debug)]
pub struct SharedState {
    /// Settings.
    pub settings: Arc<DaemonSettings>,
    /// When the process started; tells its attempts from those of earlier ones.
    pub started_at: TimePoint,
    /// Dialect of callers and targets.
    pub dialect: Arc<dyn CallDialect>,
    /// The target beside the daemon.
    pub target: ArcSwap<TargetIdentity>,
    /// Clock.
    pub clock: ProcessClock,
    /// Configuration and targets.
    pub snapshot: ArcSwap<TrafficSnapshot>,
    /// The own gate.
    pub gate: Mutex<GateDesk>,
    /// Observations of targets.
    pub selector: Mutex<TargetSelector>,
    /// Retry budgets.
    pub budget: Mutex<PoolBudgets>,
    /// Outcomes at the own gate.
    pub evidence: Mutex<EvidenceRecorder>,
    /// Open moves.
    pub moves: Mutex<MoveRegistry>,
    /// Metrics.
    pub metrics: DaemonMetrics,
    /// Calls of callers that this daemon carries.
    pub active_calls: AtomicUsize,
    /// Whether connections are closed after each answer, as the daemon is leaving.
    pub is_leaving: AtomicBool,
    /// Whether new calls of callers are refused, as the daemon is about to exit.
    pub is_closed: AtomicBool,
    /// Notes for the control thread.
    pub notes: mpsc::Sender<TrafficEvent>,
}

impl SharedState {
    /// Returns the present time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Hands a note to the control thread; notes over its capacity are dropped.
    pub fn report_event(&self, report_event: TrafficEvent) {
        let _ = self.notes.try_send(report_event);
    }

    /// Tells whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }
}

/// Counts a call of a caller for as long as it lives.
#[derive(Debug)]
pub struct ActiveCall(Arc<SharedState>);

impl ActiveCall {
    /// Starts counting.
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
