//! The two filters that carry calls: from a caller to a gate, and from the gate to the target.

mod attempt;
mod body;
mod dialect;
mod hop;
mod inbound;
mod outbound;
mod peer_client;
mod relay;

pub use {
    dialect::{AnswerVerdict, CallContext, CallDialect, CallOptions, OwnDialect},
    hop::header,
    inbound::InboundHandler,
    outbound::OutboundHandler,
    peer_client::PeerClients,
    relay::read_limited,
};
