//! Choice of the part of a split route, so that the shares hold after few calls as well.

use {
    indexmap::IndexMap,
    rand::{Rng, RngExt},
    std::sync::Arc,
};

/// Step between two draws: the golden ratio, whose multiples fill the unit interval evenly after any number of steps. Random
/// draws would stray by a tenth after a hundred calls.
const STEP: f64 = 0.618_033_988_749_895;
/// Maximum number of split routes with a sequence of their own; the draws of further ones are random.
const MAX_ROUTES: usize = 4_000;

/// Sequences of draws by route. Each starts at random, so that proxies with few calls differ from one another.
#[derive(Debug, Default)]
pub struct SplitSequence {
    latest: IndexMap<Arc<str>, f64>,
}

impl SplitSequence {
    /// Returns the next draw for a route, in `[0, 1)`.
    pub fn draw(&mut self, route: &Arc<str>, rng: &mut impl Rng) -> f64 {
        if let Some(latest) = self.latest.get_mut(route) {
            *latest = (*latest + STEP).fract();
            return *latest;
        }
        let first = rng.random::<f64>();
        if self.latest.len() < MAX_ROUTES {
            self.latest.insert(Arc::clone(route), first);
        }
        first
    }
}
