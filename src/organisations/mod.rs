//! Quotas of organisations over all daemons: an owner grants tokens that each daemon spends by itself. Without I/O.

mod holder;
mod message;
mod owner;

pub use {
    holder::{QuotaDecision, TokenHolder},
    message::{QuotaAnswer, QuotaAsk, TokenAsk, TokenGrant},
    owner::TokenOwner,
};

use crate::config::CallQuota;

/// Time for which a support of an owner and the tokens that it grants are valid, in milliseconds.
pub const SUPPORT_MS: u64 = 1_000;
/// Window over which a quota binds, in milliseconds.
pub const QUOTA_WINDOW_MS: u64 = 5_000;
/// Share of a quota by which all daemons together may exceed it in a window.
pub const QUOTA_OVERSHOOT: f64 = 0.1;
/// Calls by which they may exceed it besides.
pub const QUOTA_SLACK: f64 = 20.0;
/// Share of that room which buckets use; the rest is for calls on their way.
const USED_ROOM: f64 = 0.5;

/// Rate and size of the bucket from which an owner grants if all daemons support it.
fn granted_quota(quota: CallQuota) -> CallQuota {
    let in_window = quota.rate_per_s * QUOTA_WINDOW_MS as f64 / 1e3 + quota.burst;
    let room = in_window * QUOTA_OVERSHOOT + QUOTA_SLACK;
    CallQuota {
        burst: quota.burst + room * USED_ROOM,
        ..quota
    }
}
