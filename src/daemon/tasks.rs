//! Events of the control thread, and the client that sends requests to other daemons in the background.

use {
    super::{
        edges::{MessageOutcome, StoreReading, TargetMessage},
        envelope::{ControlReply, ControlRequest, Envelope, decode_envelope, encode_envelope},
        metrics::ControlLabels,
        shared::{SharedState, TrafficEvent},
    },
    crate::{
        codec::MAX_MESSAGE_BYTES,
        config::ConfigHead,
        http::{PacedClient, read_body},
        member::{ProbeMessage, SyncReply, TargetDeparture},
        moves::{Clearance, PollReply},
        spread::ConfigReply,
        store::{StoreError, WriteError},
        timeline::HybridStamp,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Time until the reply to a control request begins.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for reading the rest of a reply: a configuration of 4 MB at 10 Mbit/s, or a smaller one over a link that several
/// daemons share.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Event that the control thread handles.
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
        /// Receives the reply and its stamp.
        reply: oneshot::Sender<(HybridStamp, ControlReply)>,
    },
    /// A request for anti-entropy ended.
    SyncDone {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Its reply, if any.
        reply: Option<SyncReply>,
    },
    /// The reply to a pull of the configuration has begun.
    PullBegun {
        /// Control address of the peer.
        peer: SocketAddr,
    },
    /// A pull of the configuration ended.
    PullDone {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Its reply, if any.
        reply: Option<ConfigReply>,
    },
    /// A poll of a gate ended.
    PollDone {
        /// Pool that moves.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// Whether the poll carried a clearance.
        with_clearance: bool,
        /// The gate's reply, if any.
        reply: Option<PollReply>,
    },
    /// A read or watch of the head in the store ended.
    HeadRead(Result<StoreReading, StoreError>),
    /// A read of a move's progress from the store ended.
    ProgressRead {
        /// Pool that moves.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// The stored clearance; `None` if there is none or the store can't be reached.
        stored: Option<Clearance>,
    },
    /// An attempt to write a verdict ended.
    VerdictWritten {
        /// Pool that moved.
        pool: Arc<str>,
        /// Identity of the move.
        move_id: u64,
        /// The configuration version that closes the move, or the error.
        result: Result<u64, WriteError>,
    },
    /// The seeds in the store were read.
    SeedsRead {
        /// Those of the own data centre.
        near: Vec<SocketAddr>,
        /// Those of others.
        far: Vec<SocketAddr>,
    },
    /// A readiness probe ended; true if the target accepted the connection.
    TargetProbed(bool),
    /// The target sent an announcement or its departure.
    TargetReported {
        /// The message.
        message: TargetMessage,
        /// Receives what became of the message.
        reply: oneshot::Sender<MessageOutcome>,
    },
    /// A read of the departures that earlier processes recorded ended.
    DeparturesRead(Result<Vec<TargetDeparture>, StoreError>),
    /// The store has come back from an older copy.
    StoreReturned,
    /// An attempt to record a departure ended.
    DepartureRecorded {
        /// The departure.
        departure: TargetDeparture,
        /// Whether it is recorded, or the error.
        result: Result<(), StoreError>,
    },
    /// A traffic thread reported an event.
    Traffic(TrafficEvent),
    /// An operator sent a query.
    Query(OperatorQuery),
    /// The daemon has to drain and exit.
    Drain,
    /// The settings may have changed.
    Reload,
}

/// Query of an operator, with the channel for the answer.
#[derive(Debug)]
pub enum OperatorQuery {
    /// The state of the daemon as JSON.
    Status(oneshot::Sender<String>),
    /// The daemon's events as JSON.
    Timeline(oneshot::Sender<String>),
    /// The head in force.
    Head(oneshot::Sender<Option<Arc<ConfigHead>>>),
}

/// Receiver of a control request.
#[derive(Debug, Clone, Copy)]
pub struct ControlPeer {
    /// Its control address.
    pub address: SocketAddr,
    /// Whether it is `near` or `far`, for the metrics.
    pub reach: &'static str,
}

/// Client for control requests to other daemons.
#[derive(Debug, Clone)]
pub struct ControlClient {
    shared: Arc<SharedState>,
    client: PacedClient,
    events: mpsc::Sender<ControlEvent>,
}

impl ControlClient {
    /// Creates a client that sends the results of its requests to `events`.
    pub fn new(shared: Arc<SharedState>, events: mpsc::Sender<ControlEvent>) -> Self {
        Self {
            shared,
            client: PacedClient::new(crate::http::CLIENT_IDLE_TIMEOUT, None),
            events,
        }
    }

    /// Sends a request in the background, and sends the event that `report` makes from the reply to the control thread;
    /// `None` stands for a failure. `begun` is sent before, once a reply begins.
    pub fn request(
        &self,
        to: ControlPeer,
        stamp: HybridStamp,
        request: ControlRequest,
        begun: Option<ControlEvent>,
        report: impl FnOnce(Option<ControlReply>) -> ControlEvent + Send + 'static,
    ) {
        let this = self.clone();
        tokio::spawn(async move {
            let reply = this.exchange(to, stamp, request, begun).await;
            let _ = this.events.send(report(reply)).await;
        });
    }

    /// Sends a request and waits for the reply. Returns `None` unless a valid one begins within [`REQUEST_TIMEOUT`] and
    /// ends within [`REPLY_TIMEOUT`] after that.
    async fn exchange(
        &self,
        to: ControlPeer,
        stamp: HybridStamp,
        request: ControlRequest,
        begun: Option<ControlEvent>,
    ) -> Option<ControlReply> {
        let ControlPeer { address: to, reach } = to;
        let count = |direction: &'static str, kind: &'static str, bytes: usize| {
            let labels = ControlLabels {
                direction,
                kind,
                reach,
            };
            self.shared.metrics.count_control_message(labels, bytes);
        };
        let kind = request.as_str();
        let mesh = &self.shared.settings.mesh;
        let bytes = encode_envelope(mesh, stamp, request).ok()?;
        count("sent", kind, bytes.len());
        let url = format!("http://{to}/control");
        let request = self.client.post(url).body(bytes);
        let response = timeout(REQUEST_TIMEOUT, self.client.send(request))
            .await
            .ok()?
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        if let Some(event) = begun {
            let _ = self.events.send(event).await;
        }
        let reading = timeout(REPLY_TIMEOUT, read_body(response, MAX_MESSAGE_BYTES)).await;
        let bytes = reading
            .inspect_err(|_| log::warn!("event=reply-unread peer={to} error=\"not complete in time\""))
            .ok()?
            .inspect_err(|error| log::warn!("event=reply-unread peer={to} error={error:?}"))
            .ok()?;
        let envelope = decode_envelope::<ControlReply>(mesh, &bytes);
        let reply = envelope
            .inspect_err(|error| log::warn!("event=reply-refused peer={to} error={error:?}"))
            .ok()
            .map(|e| e.body);
        count(
            "received",
            reply.as_ref().map_or("refused", ControlReply::as_str),
            bytes.len(),
        );
        reply
    }
}
