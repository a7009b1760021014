//! The daemon: a control thread that owns the control state, and traffic threads that carry calls.

mod control;
mod edges;
mod envelope;
mod evidence_book;
mod logs;
mod metrics;
mod move_runner;
mod operators;
mod own_store;
mod readiness;
mod run;
mod seeds;
mod shared;
mod snapshot;
mod tasks;
mod traffic;

pub use {
    edges::{
        ControlInbox, DaemonEdges, EdgeContext, MoveClosing, StoreEdge, TargetAnnouncement, TargetMessage,
    },
    envelope::{ControlReply, ControlRequest, Envelope, EnvelopeError, PROTOCOL_VERSION, accept, enclose},
    logs::start_logs,
    operators::{DaemonStatus, MoveStatus},
    run::{RunError, run},
    snapshot::TrafficSnapshot,
    traffic::{AnswerVerdict, CallDialect, CallerCall, OwnDialect, TargetCall, header},
};
