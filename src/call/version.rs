//! Choice of the target version while a pool moves.

use {crate::config::CompiledPool, std::sync::Arc};

/// The version that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// Preferred version.
    pub version: Arc<str>,
    /// Version that may serve instead if the preferred one has no target; never one that is not cleared.
    pub fallback: Option<Arc<str>>,
}

/// Chooses between the old and the new version of a pool.
///
/// `share` is the cleared share of the new version from 0 to 1 and `draw` a uniform number below 1.
/// Without an open move the pool's version serves alone.
pub fn choose_version(pool: &CompiledPool, share: f64, draw: f64) -> VersionChoice {
    let Some(order) = &pool.order else {
        return VersionChoice {
            version: Arc::clone(&pool.entry.version),
            fallback: None,
        };
    };
    if draw < share {
        return VersionChoice {
            version: Arc::clone(&order.to),
            fallback: Some(Arc::clone(&order.from)),
        };
    }
    // Old targets that are gone can't serve; the new version takes their calls if any share is cleared.
    let fallback = (share > 0.0).then(|| Arc::clone(&order.to));
    VersionChoice {
        version: Arc::clone(&order.from),
        fallback,
    }
}
