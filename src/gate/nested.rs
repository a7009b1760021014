//! Recognition of nested calls: those that targets make themselves while they run a call. Nothing on the wire marks them, but
//! callers come to the daemons of all services, whereas a nested call comes only from beside the service whose runs make it,
//! and never while the target there runs nothing.

use {indexmap::IndexMap, std::sync::Arc};

/// Log-likelihood ratio from which a route is nested.
const NESTED_SCORE: f64 = 8.0;
/// Share of a route's calls below which a service does not count as a caller of it.
const MIN_CALLER_SHARE: f64 = 0.005;
/// Largest share of other routes' calls that is taken to be missing, as the ratio is not defined at 1.
const MAX_MISSING_SHARE: f64 = 0.99;
/// Number of calls of other routes without which nothing is known.
const MIN_OTHER_CALLS: f64 = 20.0;
/// Number of calls of a route for which it is a callers' route after one that came while nothing ran beside it.
const CALLS_AFTER_IDLE: u32 = 500;
/// Number of calls of a route after which its counts are halved, so that a route that changes its use is followed.
const MAX_COUNT: f64 = 1_000.0;
/// Number of routes that are followed, and of services of each.
const MAX_NAMES: usize = 64;

/// Calls by the service beside whose target they came.
#[derive(Debug, Clone, Default)]
struct CallerCounts {
    by_service: IndexMap<Arc<str>, f64>,
    total: f64,
}

impl CallerCounts {
    fn add(&mut self, service: &Arc<str>, count: f64) {
        if let Some(known) = self.by_service.get_mut(service) {
            *known += count;
        } else if self.by_service.len() < MAX_NAMES {
            self.by_service.insert(Arc::clone(service), count);
        }
        self.total += count;
    }

    fn of(&self, service: &str) -> f64 {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    fn halve(&mut self) {
        self.total /= 2.0;
        self.by_service.values_mut().for_each(|count| *count /= 2.0);
    }
}

#[derive(Debug, Clone, Default)]
struct RouteCallers {
    counts: CallerCounts,
    /// Number of calls for which the route stays a callers' route.
    callers_left: u32,
}

/// Routes of the calls at one gate, by whether targets make them.
#[derive(Debug, Clone, Default)]
pub struct NestedRoutes {
    routes: IndexMap<Arc<str>, RouteCallers>,
    all: CallerCounts,
}

impl NestedRoutes {
    /// Records a call that came from beside a service, and returns whether targets of it make the calls of this route.
    /// `came_idle` is set if its target was running nothing.
    pub fn record_call(&mut self, route: &Arc<str>, service: &Arc<str>, came_idle: bool) -> bool {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_NAMES {
            return false;
        }
        let known = self.routes.entry(Arc::clone(route)).or_default();
        known.counts.add(service, 1.0);
        self.all.add(service, 1.0);
        if known.counts.total > MAX_COUNT {
            for (service, count) in &known.counts.by_service {
                self.all.add(service, -count / 2.0);
            }
            known.counts.halve();
        }
        known.callers_left = if came_idle {
            CALLS_AFTER_IDLE
        } else {
            known.callers_left.saturating_sub(1)
        };
        known.callers_left == 0 && missing_score(&known.counts, &self.all) >= NESTED_SCORE
    }
}

/// Returns the log-likelihood ratio of a route's calls coming only from the services that they came from, over them coming
/// from the services that calls of other routes come from.
fn missing_score(route: &CallerCounts, all: &CallerCounts) -> f64 {
    let other_calls = all.total - route.total;
    if other_calls < MIN_OTHER_CALLS {
        return 0.0;
    }
    let is_missing = |service: &str| route.of(service) < route.total * MIN_CALLER_SHARE;
    let missing = all.by_service.iter().filter(|(service, _)| is_missing(service));
    let missing = missing
        .map(|(service, count)| count - route.of(service))
        .sum::<f64>();
    let missing_share = (missing / other_calls).min(MAX_MISSING_SHARE);
    -route.total * (1.0 - missing_share).ln()
}
