//! The daemon: a control thread that owns the control state, and traffic threads that carry calls.

mod control;
mod edges;
mod envelope;
mod evidence_recorder;
mod freshness;
mod kv_store_edge;
mod leave_schedule;
mod listeners;
mod logs;
mod metrics;
mod move_runner;
mod operators;
mod readiness;
mod refusals;
mod run;
mod seeds;
mod shared;
mod snapshot;
mod tasks;
mod traffic;

pub use {
    edges::{
        ControlInbox, DaemonEdges, EdgeContext, MessageOutcome, MoveCloseRequest, StoreEdge, StoreReading,
        TargetAnnouncement, TargetMessage,
    },
    envelope::{
        ControlReply, ControlRequest, Envelope, EnvelopeError, PROTOCOL_VERSION, decode_envelope,
        encode_envelope,
    },
    freshness::{TableFreshness, TableStanding},
    leave_schedule::LeaveSchedule,
    logs::start_logs,
    operators::{DaemonStatus, MoveStatus},
    refusals::{RefusalLines, log_word},
    run::{RunError, run},
    snapshot::TrafficSnapshot,
    traffic::{
        AnswerVerdict, CallContext, CallDialect, CallOptions, CallerKey, NotANumber, OwnDialect, header,
        parse_time_left,
    },
};
