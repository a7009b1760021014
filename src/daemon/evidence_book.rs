//! Outcomes at the own gate, by route, since the daemon started.

use {
    crate::moves::{OutcomeCounts, WindowCounts},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Most routes that are counted, so that made-up names can't fill the memory.
const MAX_ROUTES: usize = 1_000;
/// Windows that are kept for a controller that takes over; 20 s of them.
const MAX_WINDOWS: usize = 40;

/// Counts by route.
#[derive(Debug, Default)]
pub struct EvidenceBook {
    routes: IndexMap<Arc<str>, OutcomeCounts>,
    window_start: IndexMap<Arc<str>, OutcomeCounts>,
    recent: VecDeque<WindowCounts>,
}

impl EvidenceBook {
    /// Counts one call.
    pub fn add_call(&mut self, route: &str, failed: bool, latency_ms: f64) {
        if let Some(outcomes) = self.routes.get_mut(route) {
            outcomes.add_call(failed, latency_ms);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes
                .entry(Arc::from(route))
                .or_default()
                .add_call(failed, latency_ms);
        }
    }

    /// Ends a window: what was counted since the last one is kept for a while.
    pub fn end_slice(&mut self) {
        let mut window = WindowCounts::default();
        for (route, counts) in &self.routes {
            let before = self.window_start.get(route);
            let has_changed = before.is_none_or(|before| before.calls != counts.calls);
            if has_changed {
                let counts = before.map_or_else(|| counts.clone(), |before| counts.since(before));
                window.routes.insert(Arc::clone(route), counts);
            }
        }
        for route in window.routes.keys() {
            self.window_start
                .insert(Arc::clone(route), self.routes[route].clone());
        }
        self.recent.push_back(window);
        if self.recent.len() > MAX_WINDOWS {
            self.recent.pop_front();
        }
    }

    /// Returns the counts.
    pub fn routes(&self) -> &IndexMap<Arc<str>, OutcomeCounts> {
        &self.routes
    }

    /// Returns the last windows, oldest first.
    pub fn recent(&self) -> Vec<WindowCounts> {
        self.recent.iter().cloned().collect()
    }
}
