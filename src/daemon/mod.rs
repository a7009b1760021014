//! The daemon: one control thread that owns all control state, and traffic threads that carry calls.

mod control;
mod envelope;
mod evidence_book;
mod inbound;
mod metrics;
mod move_runner;
mod operators;
mod outbound;
mod peer_client;
mod relay;
mod run;
mod seeds;
mod shared;
mod snapshot;
mod store_watch;
mod tasks;

pub use {
    envelope::{ControlReply, ControlRequest, Envelope, EnvelopeError, PROTOCOL_VERSION, accept, enclose},
    operators::{DaemonStatus, MoveStatus},
    relay::header,
    run::{RunError, run},
    snapshot::TrafficSnapshot,
};
