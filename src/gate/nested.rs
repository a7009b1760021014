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
    fn add(&mut self, service: &Arc<str>) {
        if let Some(known) = self.by_service.get_mut(service) {
            *known += 1.0;
        } else if self.by_service.len() < MAX_NAMES {
            self.by_service.insert(Arc::clone(service), 1.0);
        }
        self.total += 1.0;
    }

    /// Returns the number of services that call the route.
    fn services(&self) -> usize {
        let least = self.total * MIN_CALLER_SHARE;
        self.by_service.values().filter(|count| **count >= least).count()
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
}

impl NestedRoutes {
    /// Records a call that came from beside a service, and returns whether targets of it make the calls of this route.
    /// `came_idle` is set if its target was running nothing.
    pub fn record_call(&mut self, route: &Arc<str>, service: &Arc<str>, came_idle: bool) -> bool {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_NAMES {
            return false;
        }
        let known = self.routes.entry(Arc::clone(route)).or_default();
        known.counts.add(service);
        if known.counts.total > MAX_COUNT {
            known.counts.halve();
        }
        known.callers_left = if came_idle {
            CALLS_AFTER_IDLE
        } else {
            known.callers_left.saturating_sub(1)
        };
        let known = &self.routes[route];
        known.callers_left == 0 && missing_score(&known.counts, &self.routes) >= NESTED_SCORE
    }
}

/// Returns the log-likelihood ratio of a route's calls coming only from the services that they came from, over them coming
/// from the services that calls of other routes come from. Only routes that come from more services say where callers are.
fn missing_score(route: &CallerCounts, routes: &IndexMap<Arc<str>, RouteCallers>) -> f64 {
    let services = route.services();
    let wider = routes.values().map(|other| &other.counts);
    let wider = wider.filter(|other| other.services() > services);
    let (mut calls, mut missing) = (0.0, 0.0);
    for other in wider {
        calls += other.total;
        let is_missing = |service: &str| route.of(service) < route.total * MIN_CALLER_SHARE;
        let counts = other.by_service.iter().filter(|(service, _)| is_missing(service));
        missing += counts.map(|(_, count)| count).sum::<f64>();
    }
    if calls < MIN_OTHER_CALLS {
        return 0.0;
    }
    -route.total * (1.0 - (missing / calls).min(MAX_MISSING_SHARE)).ln()
}
