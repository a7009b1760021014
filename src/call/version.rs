//! Choice of the target version for a call.

use {crate::config::CompiledPool, std::sync::Arc};

/// Target version for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// Preferred version.
    pub version: Arc<str>,
    /// Version that may serve instead if the preferred one is stopped or has no eligible target.
    pub fallback: Option<Arc<str>>,
}

/// Chooses between the old and the new version of a pool.
///
/// `share` is the share of calls cleared for the new version, from 0 to 1, and `draw` a uniform random number from 0 to
/// below 1. Without an open move, the pool's version is chosen without a fallback. The old version is the fallback for
/// the new one while `share` is below 1. The new version is the fallback for the old one only if `no_old_targets`,
/// that is, no target of the old version is known; its gates still refuse calls that no controller has cleared.
pub fn choose_version(pool: &CompiledPool, share: f64, draw: f64, no_old_targets: bool) -> VersionChoice {
    let Some(order) = &pool.order else {
        return VersionChoice {
            version: Arc::clone(&pool.entry.version),
            fallback: None,
        };
    };
    let (old, new) = (Arc::clone(&order.from), Arc::clone(&order.to));
    if draw < share {
        // At the full share, the old targets only finish the calls that they are running.
        return VersionChoice {
            version: new,
            fallback: (share < 1.0).then_some(old),
        };
    }
    VersionChoice {
        version: old,
        fallback: no_old_targets.then_some(new),
    }
}
