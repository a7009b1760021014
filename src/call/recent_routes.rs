//! Values by route, for the routes that were used last.

use {indexmap::IndexMap, std::sync::Arc};

/// Values of up to `LIMIT` routes; the one that was updated least recently makes room.
#[derive(Debug, Clone)]
pub struct RecentRoutes<T, const LIMIT: usize> {
    /// Each value with the number of the update that it got last.
    values: IndexMap<Arc<str>, (u64, T)>,
    updates: u64,
}

impl<T, const LIMIT: usize> Default for RecentRoutes<T, LIMIT> {
    fn default() -> Self {
        Self {
            values: IndexMap::new(),
            updates: 0,
        }
    }
}

impl<T: Copy, const LIMIT: usize> RecentRoutes<T, LIMIT> {
    /// Returns the value of a route.
    pub fn get(&self, route: &str) -> Option<T> {
        self.values.get(route).map(|(_, value)| *value)
    }

    /// Replaces the value of a route by what `update` makes of it; the argument is `None` for a new route.
    pub fn update(&mut self, route: &Arc<str>, update: impl FnOnce(Option<T>) -> T) {
        self.updates += 1;
        if let Some((updated, value)) = self.values.get_mut(route) {
            (*updated, *value) = (self.updates, update(Some(*value)));
            return;
        }
        if self.values.len() >= LIMIT {
            let oldest = (0..self.values.len()).min_by_key(|at| self.values[*at].0);
            oldest.and_then(|at| self.values.swap_remove_index(at));
        }
        let first = (self.updates, update(None));
        self.values.insert(Arc::clone(route), first);
    }
}
