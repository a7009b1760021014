//! Counts of call outcomes at this daemon's gate, by route, since the daemon started.

use {
    crate::moves::{GateWindow, RouteEvidence},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of routes that are counted, so that invented route names can't exhaust the memory.
const MAX_ROUTES: usize = 1_000;
/// Number of windows kept for a controller that takes over; they cover 20 s.
const MAX_WINDOWS: usize = 40;

/// Records call outcomes by route, in total and in each of the last windows.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    routes: IndexMap<Arc<str>, RouteEvidence>,
    /// Counts at the start of the current window.
    window_start: IndexMap<Arc<str>, RouteEvidence>,
    recent: VecDeque<GateWindow>,
}

impl EvidenceRecorder {
    /// Counts one call. Calls on further routes are ignored once the maximum number of routes is counted.
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

    /// Ends the current window and keeps its counts, for the routes that had calls in it.
    pub fn end_window(&mut self) {
        let mut window = GateWindow::default();
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

    /// Returns the counts by route since the start.
    pub fn routes(&self) -> &IndexMap<Arc<str>, RouteEvidence> {
        &self.routes
    }

    /// Returns the counts of the last windows, oldest first.
    pub fn recent(&self) -> Vec<GateWindow> {
        self.recent.iter().cloned().collect()
    }
}
