//! Membership: who is in the mesh, which target each daemon stands beside, and whether it lives.
//!
//! A SWIM-like protocol: random probes, indirect probes, suspicion, incarnations and piggybacked updates,
//! with anti-entropy by bucket digests. The state is pure; the daemon carries out its effects.

mod digest;
mod join;
mod message;
mod rank;
mod record;
mod state;

pub use {
    digest::{BUCKETS, bucket_digests, bucket_of},
    join::{JOIN_LIMIT_MS, JoinProgress},
    message::{ProbeKind, ProbeMessage, SyncReply, SyncRequest},
    rank::{best_ranked, is_among_best},
    record::{MemberRecord, MemberStatus, TargetRecord, TargetStatus},
    state::{MemberEffect, MemberEntry, MemberState, PROBE_INTERVAL_MS, SUSPICION_MS},
};
