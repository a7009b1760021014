//! Tasks that do I/O for the control thread and report back by events.

use {
    super::{
        edges::TargetMessage,
        envelope::{ControlReply, ControlRequest, Envelope, decode_envelope, encode_envelope},
        shared::{SharedState, TrafficEvent},
    },
    crate::{
        config::ConfigHead,
        member::{ProbeMessage, SyncReply},
        moves::{Clearance, PollReply},
        spread::ConfigReply,
        store::{StoreError, WriteError},
        timeline::HybridStamp,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Time that a control request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A datagram arrived.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Envelope<ProbeMessage>,
    },
    /// A control request arrived.
    Request {
        /// The request.
        request: Envelope<ControlRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<(HybridStamp, ControlReply)>,
    },
    /// A peer answered a request for anti-entropy, or did not.
    SyncDone {
        /// The peer.
        peer: SocketAddr,
        /// Its answer.
        reply: Option<SyncReply>,
    },
    /// A peer answered a pull, or did not.
    PullDone {
        /// The peer.
        peer: SocketAddr,
        /// Its answer.
        reply: Option<ConfigReply>,
    },
    /// A gate answered a poll, or did not.
    PollDone {
        /// Pool that moves.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// Whether the poll carried a clearance.
        with_clearance: bool,
        /// The gate's answer.
        reply: Option<PollReply>,
    },
    /// The store answered a read or a watch of the head.
    HeadRead(Result<Option<Box<ConfigHead>>, StoreError>),
    /// The store was asked for a move's progress.
    ProgressRead {
        /// Pool that moves.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// The clearance last kept.
        stored: Option<Clearance>,
    },
    /// A verdict was written, or not.
    VerdictWritten {
        /// Pool that moved.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// The version made, or why not.
        result: Result<u64, WriteError>,
    },
    /// The seeds in the store were read.
    SeedsRead(Vec<SocketAddr>),
    /// The target took a connection, or did not.
    TargetProbed(bool),
    /// The target said something of itself.
    TargetReported {
        /// What it said.
        message: TargetMessage,
        /// Told whether it was taken over.
        reply: oneshot::Sender<bool>,
    },
    /// A traffic thread has a note.
    Traffic(TrafficEvent),
    /// An operator asks.
    Query(OperatorQuery),
    /// The daemon is to leave.
    Drain,
    /// The settings may have changed.
    Reload,
}

/// What an operator asks.
#[derive(Debug)]
pub enum OperatorQuery {
    /// The state of the daemon as JSON.
    Status(oneshot::Sender<String>),
    /// Its events as JSON.
    Timeline(oneshot::Sender<String>),
    /// The head in force.
    Head(oneshot::Sender<Option<Arc<ConfigHead>>>),
}

/// Sends control requests.
#[derive(Debug, Clone)]
pub struct ControlClient {
    shared: Arc<SharedState>,
    client: reqwest::Client,
    events: mpsc::Sender<ControlEvent>,
}

impl ControlClient {
    /// Makes a client that reports to `events`.
    pub fn new(shared: Arc<SharedState>, events: mpsc::Sender<ControlEvent>) -> Self {
        Self {
            shared,
            client: crate::http::plain_client(crate::http::CLIENT_IDLE_TIMEOUT),
            events,
        }
    }

    /// Sends a request in the background and reports what `report` makes of the answer.
    pub fn request(
        &self,
        to: SocketAddr,
        stamp: HybridStamp,
        request: ControlRequest,
        report: impl FnOnce(Option<ControlReply>) -> ControlEvent + Send + 'static,
    ) {
        let this = self.clone();
        tokio::spawn(async move {
            let reply = this.exchange(to, stamp, request).await;
            let _ = this.events.send(report(reply)).await;
        });
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        stamp: HybridStamp,
        request: ControlRequest,
    ) -> Option<ControlReply> {
        let mesh = &self.shared.settings.mesh;
        let bytes = encode_envelope(mesh, stamp, request).ok()?;
        self.shared
            .metrics
            .count_control_bytes("sent", "http", bytes.len());
        let url = format!("http://{to}/control");
        let answer = self
            .client
            .post(url)
            .timeout(REQUEST_TIMEOUT)
            .body(bytes)
            .send()
            .await
            .ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let bytes = answer.bytes().await.ok()?;
        self.shared
            .metrics
            .count_control_bytes("received", "http", bytes.len());
        let envelope = decode_envelope::<ControlReply>(mesh, &bytes);
        envelope
            .inspect_err(|error| log::warn!("event=reply-refused peer={to} error={error:?}"))
            .ok()
            .map(|e| e.body)
    }
}
