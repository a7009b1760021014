//! The edges of a daemon, where platforms differ: the store, the target's announcements, and the dialect of headers
//! that callers and targets use.

use {
    super::{
        listeners::serve_counted,
        shared::SharedState,
        tasks::ControlEvent,
        traffic::{CallDialect, OwnDialect},
    },
    crate::{
        clock::TimePoint,
        config::{ConfigHead, MoveOrder, MoveStamp, MoveVerdict},
        macros::key_type,
        member::{TargetDeparture, WatchMode},
        moves::Clearance,
        settings::DaemonSettings,
        store::{GenerationChange, StoreError, WriteError},
    },
    futures_util::future::BoxFuture,
    salvo::Handler,
    std::{
        fmt::{Debug, Formatter},
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

/// Request to record the end of a move in the store.
#[derive(Debug, Clone)]
pub struct MoveCloseRequest {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Order of the move.
    pub order: MoveOrder,
    /// How the move ends.
    pub verdict: MoveVerdict,
    /// Reason for the verdict, with route and figures.
    pub reason: Arc<str>,
    /// When this attempt to write the verdict started.
    pub at: TimePoint,
}

/// Result of a read or watch of the accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreReading {
    /// The accepted configuration; `None` if there is none or it has not changed.
    pub head: Option<Box<ConfigHead>>,
    /// Version of the newest accepted configuration, also if it can't be used here.
    pub newest_version: u64,
    /// When the store certainly had not accepted anything that this reading and the earlier ones lack: at the latest
    /// when it answered, which a suspended process can't know, and at the earliest when the call was sent.
    pub confirmed_at: TimePoint,
}

impl StoreReading {
    /// Returns the time that a linearizable call confirms which was sent at `sent_at`. A watch that ended without a
    /// change was answered no earlier than its wait after that.
    pub fn confirmed_at(sent_at: TimePoint, wait: Duration, has_changed: bool, now: TimePoint) -> TimePoint {
        let wait_ms = wait.as_millis() as u64;
        if has_changed || now.ms_since(sent_at) < wait_ms {
            return sent_at;
        }
        sent_at.after_ms(wait_ms)
    }
}

/// Store interface of a daemon. Methods return without waiting; results arrive through the [`ControlInbox`].
pub trait StoreEdge: Debug + Send {
    /// Sets how the accepted configuration is watched. A change ends the call in flight, whose result is not needed
    /// then.
    fn set_watch(&mut self, mode: WatchMode);

    /// Reads the seeds: addresses of daemons to join the mesh at. Registers `own`, at least if the data centre has no
    /// seed.
    fn read_seeds(&mut self, own: SocketAddr);

    /// Replaces the stored seeds of this daemon's data centre; without effect if each daemon registers only itself.
    fn replace_seeds(&mut self, seeds: Vec<SocketAddr>);

    /// Saves the progress of a move, so that it can resume after the loss of every gate. A failed write does not affect
    /// the move.
    fn save_progress(&mut self, pool: &Arc<str>, order: &MoveOrder, clearance: &Clearance);

    /// Reads the saved progress of a move.
    fn read_progress(&mut self, pool: &Arc<str>, move_id: u64);

    /// Records the end of a move, provided that the move is still open.
    fn close_move(&mut self, request: MoveCloseRequest);

    /// Records the version that serves a pool whose configuration names none, unless one is recorded already.
    fn record_version(&mut self, pool: &Arc<str>, version: &Arc<str>);

    /// Records again which version serves a pool after its latest move that has ended, unless the store has that; `stamp` is
    /// that of the pool in the configuration in force.
    fn restore_version(&mut self, pool: &Arc<str>, version: &Arc<str>, stamp: MoveStamp);

    /// Reads the departures of targets beside this daemon that earlier processes of its name have recorded.
    fn read_departures(&mut self);

    /// Records the departure of a target beside this daemon for as long as a late announcement of it may arrive, beside
    /// earlier ones.
    fn record_departure(&mut self, departure: &TargetDeparture);
}

/// Description of a target, sent by the target itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Identity of the target.
    pub id: Arc<str>,
    /// When this start of the target began. A restarted target has a later value and no state of earlier starts.
    pub born: u64,
    /// Sequence number, incremented with each announcement of the same start.
    pub seq: u64,
    /// Version of its software.
    pub version: Arc<str>,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Number of calls that the target serves concurrently.
    pub slots: u32,
    /// Whether the target is about to stop.
    pub is_leaving: bool,
    /// Until when the target is cold, by this daemon's clock; a time that has passed if it isn't.
    pub cold_until: TimePoint,
}

/// Message from a target about its own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetMessage {
    /// The target is running.
    Announce(TargetAnnouncement),
    /// The target stops now.
    Leave {
        /// Identity of the target.
        id: Arc<str>,
        /// When the start that ends began; `None` ends every start so far.
        born: Option<u64>,
    },
}

impl TargetMessage {
    /// Returns the identity of the target if it announces that it leaves.
    pub fn departing_target(&self) -> Option<&Arc<str>> {
        match self {
            Self::Announce(announcement) => announcement.is_leaving.then_some(&announcement.id),
            Self::Leave { id, .. } => Some(id),
        }
    }
}

key_type! {
    /// What became of a message of a target.
    pub enum MessageOutcome {
        /// It is in force.
        Accepted,
        /// A later start of the target has replaced the one that sent it, or the daemon is shutting down.
        Superseded,
        /// The gate is closed to the target that leaves, but its departure is not recorded yet. The target should send the
        /// message again.
        Unrecorded,
    }
}

/// Channel on which the edges report events to the control thread.
#[derive(Debug, Clone)]
pub struct ControlInbox {
    events: mpsc::Sender<ControlEvent>,
}

impl ControlInbox {
    fn new(events: mpsc::Sender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Reports a read of the accepted configuration from the store, or why it failed.
    pub async fn head_read(&self, result: Result<StoreReading, StoreError>) {
        self.send(ControlEvent::HeadRead(result)).await;
    }

    /// Reports the seeds read from the store: those of the own data centre, and others.
    pub async fn seeds_read(&self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        self.send(ControlEvent::SeedsRead { near, far }).await;
    }

    /// Reports the saved progress of a move; `None` if there is none or the store is down.
    pub async fn progress_read(&self, pool: Arc<str>, move_id: u64, stored: Option<Clearance>) {
        self.send(ControlEvent::ProgressRead {
            pool,
            move_id,
            stored,
        })
        .await;
    }

    /// Reports the result of recording the end of a move: the new configuration version, or an error.
    pub async fn move_closed(&self, pool: Arc<str>, move_id: u64, result: Result<u64, WriteError>) {
        self.send(ControlEvent::VerdictWritten {
            pool,
            move_id,
            result,
        })
        .await;
    }

    /// Reports the departures that are recorded for targets beside this daemon, or why they could not be read.
    pub async fn departures_read(&self, result: Result<Vec<TargetDeparture>, StoreError>) {
        self.send(ControlEvent::DeparturesRead(result)).await;
    }

    /// Reports the result of recording a departure.
    pub async fn departure_recorded(&self, departure: TargetDeparture, result: Result<(), StoreError>) {
        self.send(ControlEvent::DepartureRecorded { departure, result })
            .await;
    }

    /// Reports a message of the target, and returns what became of it. A departure is answered once it is recorded, or
    /// within [`DEPARTURE_REPLY_MS`](crate::member::DEPARTURE_REPLY_MS).
    pub async fn target_reported(&self, message: TargetMessage) -> MessageOutcome {
        let (reply, answer) = oneshot::channel();
        self.send(ControlEvent::TargetReported { message, reply }).await;
        answer.await.unwrap_or(MessageOutcome::Superseded)
    }

    async fn send(&self, event: ControlEvent) {
        // The channel closes only when the daemon exits; the event is not needed any more then.
        let _ = self.events.send(event).await;
    }
}

/// Parts of the daemon that its edges use.
#[derive(Debug, Clone)]
pub struct EdgeContext {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Channel to the control thread.
    pub inbox: ControlInbox,
    pub(super) shared: Arc<SharedState>,
}

impl EdgeContext {
    pub(super) fn new(shared: &Arc<SharedState>, events: &mpsc::Sender<ControlEvent>) -> Self {
        Self {
            settings: Arc::clone(&shared.settings),
            inbox: ControlInbox::new(events.clone()),
            shared: Arc::clone(shared),
        }
    }

    /// Serves the listener for the target's announcements until the runtime stops, and counts and logs refused ones.
    pub async fn serve_announcements<H: Handler>(&self, listener: TcpListener, handler: H) -> io::Result<()> {
        serve_counted(Arc::clone(&self.shared), "announcements", listener, handler).await
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> TimePoint {
        self.shared.now()
    }

    /// Returns the newest version that the daemon has heard of.
    pub fn newest_version(&self) -> u64 {
        self.shared.freshness.newest_version()
    }

    /// Counts invalid values that were refused, by kind of source.
    pub fn count_refused_values(&self, kind: &'static str, count: u64) {
        self.shared.metrics.count_refused_values(kind, count);
    }

    /// Logs and counts what the generation that an answer of the store states has changed.
    pub fn note_generation(&self, generation: u64, change: GenerationChange) {
        let metrics = &self.shared.metrics;
        match change {
            GenerationChange::Same => return,
            GenerationChange::First => log::info!("event=store-generation generation={generation}"),
            GenerationChange::Returned { former } => {
                log::warn!("event=store-returned generation={generation} former={former}");
                metrics.store_returns.inc();
                let inbox = self.inbox.clone();
                tokio::spawn(async move { inbox.send(ControlEvent::StoreReturned).await });
            }
            GenerationChange::Outdated { latest } => {
                log::info!("event=store-answer-outdated generation={generation} latest={latest}");
                return;
            }
        }
        metrics.store_generation.set(generation as i64);
    }

    /// Counts a call to the store, by kind of call.
    pub fn count_store_call(&self, kind: &'static str) {
        self.shared.metrics.count_store_call(kind);
    }
}

type StoreOpener = Box<dyn FnOnce(&EdgeContext) -> Box<dyn StoreEdge> + Send>;
type AnnouncementServer =
    Box<dyn FnOnce(EdgeContext, TcpListener) -> BoxFuture<'static, io::Result<()>> + Send>;

/// The implementations of a daemon's edges.
pub struct DaemonEdges {
    /// Opens the store; called on the control thread.
    pub open_store: StoreOpener,
    /// Dialect of the headers that callers and targets use.
    pub dialect: Arc<dyn CallDialect>,
    /// Serves the listener for the target's announcements. Without it the settings describe the target, and the daemon
    /// probes its readiness by connecting to it.
    pub serve_announcements: Option<AnnouncementServer>,
}

impl DaemonEdges {
    /// Returns the built-in edges: the key-value service as store, `fuchsiashore-` headers, and a target described in
    /// the settings.
    pub fn own() -> Self {
        Self {
            open_store: Box::new(|context| Box::new(super::kv_store_edge::KvStoreEdge::new(context))),
            dialect: Arc::new(OwnDialect),
            serve_announcements: None,
        }
    }
}

impl Debug for DaemonEdges {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonEdges")
            .field("dialect", &self.dialect)
            .finish_non_exhaustive()
    }
}
