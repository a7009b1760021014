//! Choice of the target version while a pool moves.

use {crate::config::CompiledPool, std::sync::Arc};

/// The version that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// Preferred version.
    pub version: Arc<str>,
    /// Version that may serve instead if the preferred one has no target left.
    pub fallback: Option<Arc<str>>,
}

/// Chooses between the old and the new version of a pool.
///
/// `share` is the cleared share of the new version from 0 to 1 and `draw` a uniform number below 1. Without an open
/// move the pool's version serves alone. The old version may always serve instead of the new one, the new one instead
/// of the old one only if the old targets are gone; its gates still refuse calls that no controller has cleared.
pub fn choose_version(pool: &CompiledPool, share: f64, draw: f64, old_is_gone: bool) -> VersionChoice {
    let Some(order) = &pool.order else {
        return VersionChoice {
            version: Arc::clone(&pool.entry.version),
            fallback: None,
        };
    };
    let (old, new) = (Arc::clone(&order.from), Arc::clone(&order.to));
    if draw < share {
        // At the full share the old targets only finish what they have.
        return VersionChoice {
            version: new,
            fallback: (share < 1.0).then_some(old),
        };
    }
    VersionChoice {
        version: old,
        fallback: old_is_gone.then_some(new),
    }
}
