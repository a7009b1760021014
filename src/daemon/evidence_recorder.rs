//! Outcomes at the own gate, by route, since the daemon started.

use {
    crate::moves::{GateWindow, RouteEvidence},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Most routes that are counted, so that made-up names can't fill the memory.
const MAX_ROUTES: usize = 1_000;
/// Windows that are kept for a controller that takes over; 20 s of them.
const KEPT_SLICES: usize = 40;

/// Counts by route.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    routes: IndexMap<Arc<str>, RouteEvidence>,
    sliced: IndexMap<Arc<str>, RouteEvidence>,
    recent: VecDeque<GateWindow>,
}

impl EvidenceRecorder {
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

    /// Ends a window: what was counted since the last one is kept for a while.
    pub fn end_window(&mut self) {
        let mut slice = GateWindow::default();
        for (route, counts) in &self.routes {
            let before = self.sliced.get(route);
            let is_new = before.is_none_or(|before| before.calls != counts.calls);
            if is_new {
                let counts = before.map_or_else(|| counts.clone(), |before| counts.since(before));
                slice.routes.insert(Arc::clone(route), counts);
            }
        }
        for route in slice.routes.keys() {
            self.sliced.insert(Arc::clone(route), self.routes[route].clone());
        }
        self.recent.push_back(slice);
        if self.recent.len() > KEPT_SLICES {
            self.recent.pop_front();
        }
    }

    /// Returns the counts.
    pub fn routes(&self) -> &IndexMap<Arc<str>, RouteEvidence> {
        &self.routes
    }

    /// Returns the last windows, oldest first.
    pub fn recent(&self) -> Vec<GateWindow> {
        self.recent.iter().cloned().collect()
    }
}
