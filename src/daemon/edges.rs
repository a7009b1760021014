//! The edges of a daemon: its store, its target's announcements and the dialect of callers and targets.

use {
    super::{
        shared::SharedState,
        tasks::ControlEvent,
        traffic::{CallDialect, OwnDialect},
    },
    crate::{
        clock::TimePoint,
        config::{ConfigHead, MoveOrder, MoveVerdict},
        moves::Clearance,
        settings::DaemonSettings,
        store::{StoreError, WriteError},
    },
    futures_util::future::BoxFuture,
    std::{
        fmt::{Debug, Formatter},
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
    tokio::sync::{mpsc, oneshot},
};

/// The end of a move, to be recorded in the store.
#[derive(Debug, Clone)]
pub struct MoveCloseRequest {
    /// Pool that moved.
    pub pool: Arc<str>,
    /// The order.
    pub order: MoveOrder,
    /// How the move ends.
    pub verdict: MoveVerdict,
    /// Why, with route and figures.
    pub reason: Arc<str>,
    /// When it was decided.
    pub at: TimePoint,
}

/// What a daemon asks of its store. Calls return at once; answers come by the [`ControlInbox`].
pub trait StoreEdge: Debug + Send {
    /// Starts or stops watching the accepted configuration.
    fn set_watcher(&mut self, is_watcher: bool);

    /// Reads addresses to join at and sees to it that the own one can be found.
    fn read_seeds(&mut self, own: SocketAddr);

    /// Replaces the addresses kept for the own data centre.
    fn replace_seeds(&mut self, seeds: Vec<SocketAddr>);

    /// Keeps the progress of a move, so that it goes on after the loss of every gate. A failure is harmless.
    fn save_progress(&mut self, pool: &Arc<str>, order: &MoveOrder, clearance: &Clearance);

    /// Reads the progress of a move.
    fn read_progress(&mut self, pool: &Arc<str>, move_id: u64);

    /// Records the end of a move, under the condition that the order still stands.
    fn close_move(&mut self, closing: MoveCloseRequest);

    /// Records the version that serves a pool whose configuration names none, unless one is recorded.
    fn record_version(&mut self, pool: &Arc<str>, version: &Arc<str>);
}

/// A target as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Identity.
    pub id: Arc<str>,
    /// When this start of it began; a later start knows nothing of an earlier one.
    pub born: u64,
    /// Raised with each announcement of one start.
    pub seq: u64,
    /// Version of its software.
    pub version: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub is_leaving: bool,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetMessage {
    /// It is there.
    Announce(TargetAnnouncement),
    /// It goes now.
    Leave {
        /// Its identity.
        id: Arc<str>,
        /// When it began, if it says so.
        born: Option<u64>,
    },
}

/// Where the edges report to the control thread.
#[derive(Debug, Clone)]
pub struct ControlInbox {
    events: mpsc::Sender<ControlEvent>,
}

impl ControlInbox {
    fn new(events: mpsc::Sender<ControlEvent>) -> Self {
        Self { events }
    }

    /// Hands over the accepted configuration as read from the store, or why it could not be read.
    pub async fn head_read(&self, result: Result<Option<ConfigHead>, StoreError>) {
        self.send(ControlEvent::HeadRead(result.map(|head| head.map(Box::new))))
            .await;
    }

    /// Hands over addresses to join at.
    pub async fn seeds_read(&self, seeds: Vec<SocketAddr>) {
        self.send(ControlEvent::SeedsRead(seeds)).await;
    }

    /// Hands over the progress of a move; `None` if there is none or the store is down.
    pub async fn progress_read(&self, pool: Arc<str>, move_id: u64, stored: Option<Clearance>) {
        self.send(ControlEvent::ProgressRead {
            pool,
            move_id,
            stored,
        })
        .await;
    }

    /// Tells what came of recording the end of a move.
    pub async fn move_closed(&self, pool: Arc<str>, move_id: u64, result: Result<u64, WriteError>) {
        self.send(ControlEvent::VerdictWritten {
            pool,
            move_id,
            result,
        })
        .await;
    }

    /// Hands over what the target says; returns whether it was taken over, false also while the daemon ends.
    pub async fn target_reported(&self, message: TargetMessage) -> bool {
        let (reply, told) = oneshot::channel();
        self.send(ControlEvent::TargetReported { message, reply }).await;
        told.await.unwrap_or(false)
    }

    async fn send(&self, event: ControlEvent) {
        // The queue closes only when the daemon ends; nobody needs the event then.
        let _ = self.events.send(event).await;
    }
}

/// What an edge needs of its daemon.
#[derive(Debug, Clone)]
pub struct EdgeContext {
    /// Settings.
    pub settings: Arc<DaemonSettings>,
    /// Where to report.
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

    /// Returns the present time by the daemon's clock.
    pub fn now(&self) -> TimePoint {
        self.shared.now()
    }

    /// Counts values of a kind of source that were refused, as they can't be used.
    pub fn count_refused_values(&self, kind: &'static str, count: u64) {
        self.shared.metrics.count_refused_values(kind, count);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &'static str) {
        self.shared.metrics.count_store_call(kind);
    }
}

type StoreOpener = Box<dyn FnOnce(&EdgeContext) -> Box<dyn StoreEdge> + Send>;
type AnnouncementServer =
    Box<dyn FnOnce(EdgeContext, TcpListener) -> BoxFuture<'static, io::Result<()>> + Send>;

/// The edges that a daemon runs with.
pub struct DaemonEdges {
    /// Opens the store, on the control thread.
    pub open_store: StoreOpener,
    /// Dialect of callers and targets.
    pub dialect: Arc<dyn CallDialect>,
    /// Serves the target's announcements at their address; without it the settings describe the target and a connection tells
    /// whether it is ready.
    pub serve_announcements: Option<AnnouncementServer>,
}

impl DaemonEdges {
    /// The product's own edges: the store's key-value interface, `fuchsiashore-` headers, a target in the settings.
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
