//! Call outcomes counted by the gates of one version, in total and by window.

use {
    crate::moves::{GateWindow, RouteEvidence},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Number of windows that gates keep for a controller that takes over.
const MAX_WINDOWS: usize = 40;

/// Counts by route since the start, with their state at the end of each of the last windows.
#[derive(Debug, Default)]
pub(super) struct GateCounts {
    pub(super) routes: IndexMap<Arc<str>, RouteEvidence>,
    window_ends: VecDeque<IndexMap<Arc<str>, RouteEvidence>>,
}

impl GateCounts {
    /// Saves the state of the counts at the end of a window.
    pub(super) fn end_window(&mut self) {
        self.window_ends.push_back(self.routes.clone());
        if self.window_ends.len() > MAX_WINDOWS {
            self.window_ends.pop_front();
        }
    }

    /// Returns the counts of each of the last windows, oldest first.
    pub(super) fn recent(&self) -> Vec<GateWindow> {
        let pairs = self.window_ends.iter().zip(self.window_ends.iter().skip(1));
        let windows = pairs.map(|(before, after)| {
            let since = |(route, counts): (&Arc<str>, &RouteEvidence)| {
                let before = before.get(route).cloned().unwrap_or_default();
                (Arc::clone(route), counts.since(&before))
            };
            GateWindow {
                routes: after.iter().map(since).collect(),
            }
        });
        windows.collect()
    }
}
