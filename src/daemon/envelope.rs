//! Envelope of control messages. Each received message is decoded here, with checks of its mesh, protocol version and
//! size.

use {
    crate::{
        codec::{self, CodecError},
        macros::value_type,
        member::{SyncReply, SyncRequest},
        moves::{PollReply, PollRequest},
        spread::{ConfigReply, ConfigRequest},
        timeline::HybridStamp,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
    thiserror::Error,
};

/// Version of the protocol between daemons.
pub const PROTOCOL_VERSION: u8 = 1;

value_type! {
    /// A control message with its protocol version, mesh and stamp.
    pub struct Envelope<T> {
        /// Version of the protocol.
        pub protocol: u8,
        /// Identity of the mesh.
        pub mesh: Arc<str>,
        /// Time of the sender's hybrid clock.
        pub stamp: HybridStamp,
        /// The message.
        pub body: T,
    }
}

value_type! {
    /// A request from one daemon to another over HTTP.
    pub enum ControlRequest {
        /// Anti-entropy of the member records.
        Sync(Box<SyncRequest>),
        /// Pull of the configuration.
        Config(ConfigRequest),
        /// Poll of a gate by a move's controller.
        Poll(PollRequest),
    }
}

value_type! {
    /// Reply to a [`ControlRequest`].
    pub enum ControlReply {
        /// Reply to [`ControlRequest::Sync`].
        Sync(SyncReply),
        /// Reply to [`ControlRequest::Config`].
        Config(ConfigReply),
        /// Reply to [`ControlRequest::Poll`].
        Poll(Box<PollReply>),
    }
}

impl ControlRequest {
    /// Returns the word for this purpose in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Sync(request) if request.records.is_empty() => "sync",
            Self::Sync(_) => "sync-delivery",
            Self::Config(_) => "pull",
            Self::Poll(_) => "poll",
        }
    }
}

impl ControlReply {
    /// Returns the word for this purpose in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Sync(_) => "sync-reply",
            Self::Config(ConfigReply::Nothing) => "pull-nothing",
            Self::Config(ConfigReply::Delta(_)) => "pull-delta",
            Self::Config(ConfigReply::Whole(_)) => "pull-whole",
            Self::Poll(_) => "poll-reply",
        }
    }
}

/// Reason why a received control message was refused.
#[derive(Debug, Error)]
pub enum EnvelopeError {
    /// The bytes can't be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The sender uses another protocol version.
    #[error("message has protocol version {0}, not {PROTOCOL_VERSION}; update the older daemon")]
    Protocol(u8),
    /// The sender belongs to another mesh.
    #[error("message comes from mesh {0}; check the mesh and peers keys of the settings")]
    Mesh(Arc<str>),
}

/// Encodes a message for the daemons of `mesh` and compresses it unless it is small.
pub fn encode_envelope<T: Serialize>(
    mesh: &Arc<str>,
    stamp: HybridStamp,
    body: T,
) -> Result<Vec<u8>, CodecError> {
    let bytes = codec::encode_compact(&Envelope {
        protocol: PROTOCOL_VERSION,
        mesh: Arc::clone(mesh),
        stamp,
        body,
    })?;
    Ok(codec::compress(bytes))
}

/// Decodes a message and checks its protocol version and mesh.
pub fn decode_envelope<T: DeserializeOwned>(mesh: &str, bytes: &[u8]) -> Result<Envelope<T>, EnvelopeError> {
    let envelope: Envelope<T> = codec::decode(bytes)?;
    if envelope.protocol != PROTOCOL_VERSION {
        return Err(EnvelopeError::Protocol(envelope.protocol));
    }
    if *envelope.mesh != *mesh {
        return Err(EnvelopeError::Mesh(envelope.mesh));
    }
    Ok(envelope)
}
