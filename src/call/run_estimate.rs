//! What is assumed of a run of which little is known. Proxies and gates follow the same rules, so that neither refuses what
//! the other admits.

use super::recent_routes::RecentRoutes;

/// Number of routes of which a target's run times are kept.
const MAX_ROUTES_PER_TARGET: usize = 64;
/// Assumed run time of a route without runs, as a fraction of the time within which its answer is useful. Operators state
/// latencies of two and a half to four runs.
const USEFUL_RUN_FRACTION: f64 = 1.0 / 3.0;
/// Least time within which an answer counts as useful, in runs of its route. A latency that the runs can't keep doesn't tell
/// when an answer has become worthless, and no refusal shortens a run.
const MIN_USEFUL_RUNS: f64 = 1.5;

/// Values of the routes at one target.
pub type TargetRoutes<T> = RecentRoutes<T, MAX_ROUTES_PER_TARGET>;

/// Returns the run time that is assumed of a route without known runs, in milliseconds: the usual one at the target, but not
/// more than a part of the time within which the answer is useful, as a route with short runs may stand beside long ones.
pub fn assumed_run_ms(usual_ms: f64, useful_ms: f64) -> f64 {
    usual_ms.min(useful_ms * USEFUL_RUN_FRACTION)
}

/// Returns the time within which an answer is useful, in milliseconds, by the stated latency of its route and the mean time
/// of its runs, if that is known.
pub fn useful_ms(target_latency_ms: u64, run_ms: Option<f64>) -> u64 {
    let least_ms = run_ms.unwrap_or_default() * MIN_USEFUL_RUNS;
    target_latency_ms.max(least_ms as u64)
}
