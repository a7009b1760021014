//! Membership: the daemons of the mesh, their liveness and the target beside each of them.
//!
//! A SWIM-like protocol: random probes, indirect probes, suspicion, incarnations and piggybacked updates,
//! with anti-entropy by bucket digests. [`MemberState`] does no I/O: it returns effects for the daemon to perform.

mod confirmation;
mod departure;
mod digest;
mod join;
mod message;
mod rank;
mod record;
mod state;

pub use {
    confirmation::{CONFIRMATION_TTL_MS, KnownVersion, LEAD_WAIT_MS, WatchMode},
    departure::{
        DEPARTURE_REPLY_MS, DepartedTargets, DepartureLog, DepartureStep, MAX_DEPARTURES, TargetDeparture,
    },
    digest::{BUCKETS, bucket_digests, bucket_of},
    join::{JOIN_TIMEOUT_MS, JoinContacts, JoinProgress},
    message::{ProbeKind, ProbeMessage, SyncReply, SyncRequest},
    rank::best_ranked,
    record::{MemberRecord, MemberStatus, TargetRecord, TargetStatus},
    state::{MemberEffect, MemberEntry, MemberState, PROBE_INTERVAL_MS, SUSPICION_MS},
};
