//! The traffic path of the daemon: the outbound proxy forwards calls from callers to gates, the inbound handler from
//! the gate to the target.

mod answer_body;
mod attempt;
mod body;
mod dialect;
mod hop;
mod inbound;
mod outbound;
mod peer_client;
mod relay;
mod transfer_report;

pub use {
    dialect::{
        AnswerVerdict, CallContext, CallDialect, CallOptions, CallerKey, NotANumber, OwnDialect,
        parse_time_left,
    },
    hop::header,
    inbound::InboundHandler,
    outbound::OutboundHandler,
    peer_client::PeerClients,
    relay::{read_limited, request_host},
};
