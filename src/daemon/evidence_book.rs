//! Outcomes at the own gate, by route, since the daemon started.

use {crate::moves::RouteEvidence, indexmap::IndexMap, std::sync::Arc};

/// Most routes that are counted, so that made-up names can't fill the memory.
const MAX_ROUTES: usize = 1_000;

/// Counts by route.
#[derive(Debug, Default)]
pub struct EvidenceBook {
    routes: IndexMap<Arc<str>, RouteEvidence>,
}

impl EvidenceBook {
    /// Counts one call.
    pub fn add_call(&mut self, route: &str, failed: bool, latency_ms: f64) {
        if let Some(evidence) = self.routes.get_mut(route) {
            evidence.add_call(failed, latency_ms);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes
                .entry(Arc::from(route))
                .or_default()
                .add_call(failed, latency_ms);
        }
    }

    /// Returns the counts.
    pub fn routes(&self) -> &IndexMap<Arc<str>, RouteEvidence> {
        &self.routes
    }
}
