//! Per-target statistics collected by this daemon, and target selection based on them.

use {
    super::load::{LoadReport, RankCounts},
    crate::clock::TimePoint,
    indexmap::IndexMap,
    rand::{Rng, seq::IndexedRandom},
    std::{collections::HashMap, sync::Arc},
};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, in milliseconds; doubles with each further one until a call succeeds.
const BASE_EJECTION_MS: u64 = 2_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Weight of a new sample in the moving average of latencies.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Run time assumed while none is known of any candidate, lower bound of a run time, and latency added for a target in
/// another data centre, in milliseconds.
const BASE_LATENCY_MS: f64 = 1.0;
/// Cost of sending a KiB between data centres, in milliseconds by which the answer must be expected earlier. Weighs the
/// price of the traffic against latency: a higher value suits users whose traffic between data centres is expensive, a
/// lower one lets calls leave a busy data centre sooner.
const CROSS_DC_COST_MS_PER_KIB: f64 = 300.0;
/// Size of the request and response heads between two daemons together, in bytes.
const HEAD_BYTES: f64 = 700.0;
/// Weight of a new sample in the moving average of a route's answer sizes.
const ANSWER_SIZE_EWMA_WEIGHT: f64 = 0.1;
/// Maximum number of routes whose answer sizes are tracked; the answers of further routes count as empty.
const MAX_TRACKED_ROUTES: usize = 4_000;
/// Maximum number of routes of which a target's run times are kept; further ones count with its mean.
const MAX_ROUTES_PER_TARGET: usize = 64;
/// Number of targets sampled for one call from the same data centre, and again from the others; comparing a few gives
/// as good a choice as comparing all, at less cost.
const SAMPLE_SIZE: usize = 5;
/// Fraction by which a run is expected to take longer at a target whose slots are all in use, before any call queues.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Cost added for a target that fails every call, in runs.
const FAILURE_COST_RUNS: f64 = 8.0;
/// Weight of a new outcome in the moving average of the failure share.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;
/// Time for which a target counts as full after it refused a call as full, in milliseconds.
const FULL_TTL_MS: u64 = 300;
/// Load below which a target is eligible for a hedged attempt, as a fraction of its slots.
const MAX_IDLE_LOAD: f64 = 0.6;
/// Minimum load assumed for a target that refused a call as full, as a fraction of its slots.
const ASSUMED_FULL_LOAD: f64 = 2.0;
/// A target ejected for failed answers is avoided only while its failure share exceeds the lowest one among the
/// candidates by more than this, as calls that fail through their own fault fail at all targets of a service alike. The
/// value is three standard deviations of the moving average.
const EJECTION_EXCESS_SHARE: f64 = 0.3;
/// Time for which the call counts of a gate's load report are used, in milliseconds.
const LOAD_REPORT_TTL_MS: u64 = 2_500;

/// Target that could serve a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTarget {
    /// Name of its daemon.
    pub name: Arc<str>,
    /// Number of calls that it serves concurrently.
    pub slots: u32,
    /// Whether it is in this daemon's data centre.
    pub is_near: bool,
    /// Whether the membership protocol suspects its daemon of having failed.
    pub is_suspect: bool,
}

/// Selection criteria of a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetCriteria<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Cost of sending the call to another data centre, in milliseconds.
    pub cross_dc_cost_ms: f64,
    /// Time within which the answer is needed, in milliseconds; `None` if there is no limit.
    pub limit_ms: Option<f64>,
    /// Whether only targets below `MAX_IDLE_LOAD` are eligible, as for a hedged attempt.
    pub only_idle: bool,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
}

/// Statistics of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    in_flight: RankCounts,
    /// Moving average of latencies, in milliseconds; 0 before the first answer.
    latency_ms: f64,
    consecutive_failures: u32,
    /// Moving average of the share of failed calls.
    failure_share: f64,
    /// Ejections since the last successful answer.
    ejections: u32,
    ejected_until: TimePoint,
    /// Whether a failed answer caused the last ejection, rather than an attempt without an answer.
    is_ejected_for_answers: bool,
    report: LoadReport,
    reported_until: TimePoint,
    /// Mean run time of each route at this target, in milliseconds, as its gate reported it.
    route_run_ms: IndexMap<Arc<str>, f64>,
    full_until: TimePoint,
    /// Most urgent rank that was refused as full until `full_until`.
    full_rank: u8,
}

impl TargetStats {
    fn record_load(&mut self, load: LoadReport, now: TimePoint) {
        self.report = load;
        self.reported_until = now.after_ms(LOAD_REPORT_TTL_MS);
    }

    /// Returns the mean time of a run, in milliseconds: the gate's last report, otherwise the latency measured here.
    fn run_ms(&self) -> Option<f64> {
        [self.report.run_ms, self.latency_ms]
            .into_iter()
            .find(|run_ms| *run_ms > 0.0)
    }
}

/// Records per-target statistics, by daemon name, and selects targets by them.
#[derive(Debug, Default)]
pub struct TargetSelector {
    stats: HashMap<Arc<str>, TargetStats>,
    /// Moving average of answer sizes per route, in bytes.
    answer_bytes: HashMap<Arc<str>, f64>,
}

impl TargetSelector {
    /// Chooses the target with the lowest expected cost from a sample of targets in this data centre and a sample of
    /// those in others. Never chooses a tried target, and an ejected or suspect one only if no other is left.
    ///
    /// Targets that are full for the call's rank, or not expected to answer within the limit, count as late and come
    /// last. If the call has a limit, late targets in other data centres are left out, except for the first attempt if
    /// this data centre has no target: their gates have the current state and refuse the call if it can't be served.
    /// With `only_idle`, all late targets are left out. Returns `None` if no target is eligible.
    pub fn choose<'a>(
        &self,
        candidates: &'a [CandidateTarget],
        tried: &[Arc<str>],
        criteria: TargetCriteria<'_>,
        rng: &mut impl Rng,
        now: TimePoint,
    ) -> Option<&'a CandidateTarget> {
        let untried: Vec<&CandidateTarget> = candidates
            .iter()
            .filter(|target| !tried.contains(&target.name))
            .collect();
        let baseline = self.compute_baseline(candidates, criteria.route);
        let not_ejected = prefer(untried, |target| !self.is_excluded(&target.name, baseline, now));
        let not_suspect = prefer(not_ejected, |target| !target.is_suspect);
        let (near, far): (Vec<&CandidateTarget>, Vec<&CandidateTarget>) =
            not_suspect.into_iter().partition(|target| target.is_near);
        let accepts_late = !criteria.only_idle;
        let sampled = near
            .sample(rng, SAMPLE_SIZE)
            .map(|target| (target, 0.0, accepts_late));
        let accepts_late =
            !criteria.only_idle && (criteria.limit_ms.is_none() || (near.is_empty() && tried.is_empty()));
        let sampled = sampled.chain(
            far.sample(rng, SAMPLE_SIZE)
                .map(|target| (target, criteria.cross_dc_cost_ms, accepts_late)),
        );
        let costs = sampled.filter_map(|(target, cross_dc_cost_ms, accepts_late)| {
            let load = self.load_estimate(target, criteria.priority, now);
            let (time_ms, cost_ms) = self.answer_cost(target, load, criteria.route, baseline);
            let is_idle = !criteria.only_idle || load < MAX_IDLE_LOAD;
            let is_late = self.is_full(target, criteria.priority, now)
                || criteria.limit_ms.is_some_and(|limit_ms| time_ms > limit_ms);
            (accepts_late || (is_idle && !is_late)).then_some((*target, is_late, cost_ms + cross_dc_cost_ms))
        });
        // The cost of traffic between data centres may delay a call, but must not make it late.
        let best = costs.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(target, ..)| target)
    }

    /// Returns the cost of sending a call to another data centre, in milliseconds: the size of its body, its heads and
    /// the route's mean answer, times the cost of a KiB.
    pub fn cross_dc_cost_ms(&self, route: &str, request_bytes: usize) -> f64 {
        let answer_bytes = self.answer_bytes.get(route).copied().unwrap_or_default();
        (request_bytes as f64 + answer_bytes + HEAD_BYTES) / 1_024.0 * CROSS_DC_COST_MS_PER_KIB
    }

    /// Records the size of an answer in the route's moving average.
    pub fn record_answer_size(&mut self, route: &Arc<str>, bytes: usize) {
        if let Some(mean) = self.answer_bytes.get_mut(route) {
            *mean += (bytes as f64 - *mean) * ANSWER_SIZE_EWMA_WEIGHT;
        } else if self.answer_bytes.len() < MAX_TRACKED_ROUTES {
            self.answer_bytes.insert(Arc::clone(route), bytes as f64);
        }
    }

    /// Counts a call of a rank as in flight at a target.
    pub fn record_start(&mut self, name: &Arc<str>, priority: u8) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.in_flight.add(priority);
    }

    /// Records a successful answer: resets the consecutive failures, updates the moving averages and stores the load
    /// that the gate reported.
    pub fn record_success(
        &mut self,
        name: &Arc<str>,
        latency_ms: f64,
        load: Option<LoadReport>,
        now: TimePoint,
    ) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.consecutive_failures = 0;
        stats.ejections = 0;
        stats.failure_share *= 1.0 - FAILURE_EWMA_WEIGHT;
        stats.latency_ms = if stats.latency_ms == 0.0 {
            latency_ms
        } else {
            stats.latency_ms * (1.0 - LATENCY_EWMA_WEIGHT) + latency_ms * LATENCY_EWMA_WEIGHT
        };
        if let Some(load) = load {
            stats.record_load(load, now);
        }
    }

    /// Records the load that a gate reported with a refusal.
    pub fn record_load(&mut self, name: &Arc<str>, load: LoadReport, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.record_load(load, now);
    }

    /// Records the mean run time of a route at a target, in milliseconds, which its gate reported.
    pub fn record_route_run(&mut self, name: &Arc<str>, route: &Arc<str>, run_ms: f64) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        if stats.route_run_ms.contains_key(route) || stats.route_run_ms.len() < MAX_ROUTES_PER_TARGET {
            stats.route_run_ms.insert(Arc::clone(route), run_ms);
        }
    }

    /// Returns the mean run time of a route at a target, in milliseconds; `None` if its gate has not reported it.
    pub fn route_run_ms(&self, name: &str, route: &str) -> Option<f64> {
        self.stats.get(name)?.route_run_ms.get(route).copied()
    }

    /// Records that a gate refused a call of a rank as full, or that the call expired in its queue.
    pub fn record_full(&mut self, name: &Arc<str>, priority: u8, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.full_rank = if stats.full_until > now {
            stats.full_rank.min(priority)
        } else {
            priority
        };
        stats.full_until = now.after_ms(FULL_TTL_MS);
    }

    /// Records that a target rejected a request. This raises its failure share, but doesn't count towards an ejection,
    /// as the target responds.
    pub fn record_shed(&mut self, name: &Arc<str>) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failure_share += (1.0 - stats.failure_share) * FAILURE_EWMA_WEIGHT;
    }

    /// Records a broken or stalled attempt, a failed connection, or a refusal by a gate that is closed or has another
    /// target. Returns whether this ejected the target.
    pub fn record_failure(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.add_failure(name, false, now)
    }

    /// Records a failed answer. Returns whether this ejected the target; `EJECTION_EXCESS_SHARE` limits the effect of
    /// such an ejection.
    pub fn record_failed_answer(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.add_failure(name, true, now)
    }

    fn add_failure(&mut self, name: &Arc<str>, is_answer: bool, now: TimePoint) -> bool {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.consecutive_failures += 1;
        stats.failure_share += (1.0 - stats.failure_share) * FAILURE_EWMA_WEIGHT;
        if stats.consecutive_failures < FAILURES_TO_EJECT || stats.ejected_until > now {
            return false;
        }
        let eject_ms = (BASE_EJECTION_MS << stats.ejections.min(8)).min(MAX_EJECTION_MS);
        stats.ejected_until = now.after_ms(eject_ms);
        stats.is_ejected_for_answers = is_answer;
        stats.ejections += 1;
        true
    }

    /// Ends a call that [`Self::record_start`] counted as in flight.
    pub fn record_end(&mut self, name: &Arc<str>, priority: u8) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.in_flight.remove(priority);
        }
    }

    /// Removes the statistics of unknown targets, except those with calls in flight.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.stats
            .retain(|name, stats| stats.in_flight.total() > 0 || is_known(name));
    }

    /// Returns whether a target's ejection time is running, whatever its cause.
    pub fn is_ejected(&self, name: &str, now: TimePoint) -> bool {
        self.stats
            .get(name)
            .is_some_and(|stats| stats.ejected_until > now)
    }

    /// Returns whether a target is avoided while another is left: it is ejected for attempts without an answer, or for
    /// failed answers while its failure share exceeds the lowest one by more than [`EJECTION_EXCESS_SHARE`].
    fn is_excluded(&self, name: &str, baseline: TargetBaseline, now: TimePoint) -> bool {
        let stats = self.stats.get(name).filter(|stats| stats.ejected_until > now);
        stats.is_some_and(|stats| {
            !stats.is_ejected_for_answers
                || stats.failure_share > baseline.failure_share + EJECTION_EXCESS_SHARE
        })
    }

    /// Returns whether a target refused a call of this or a more urgent rank as full within the last [`FULL_TTL_MS`].
    fn is_full(&self, target: &CandidateTarget, priority: u8, now: TimePoint) -> bool {
        let stats = self.stats.get(&target.name);
        stats.is_some_and(|stats| stats.full_until > now && stats.full_rank <= priority)
    }

    /// Returns the number of calls at a target that precede a new one of a rank, as a fraction of its slots: the larger
    /// of the calls in flight from here and those that the gate reported.
    fn load_estimate(&self, target: &CandidateTarget, priority: u8, now: TimePoint) -> f64 {
        let Some(stats) = self.stats.get(&target.name) else {
            return 0.0;
        };
        let reported = if stats.reported_until > now {
            stats.report.running + stats.report.waiting.up_to(priority)
        } else {
            0
        };
        let load = f64::from(stats.in_flight.up_to(priority).max(reported)) / f64::from(target.slots.max(1));
        if self.is_full(target, priority, now) {
            load.max(ASSUMED_FULL_LOAD)
        } else {
            load
        }
    }

    /// Computes the mean run times and the lowest failure share of the candidates with statistics.
    fn compute_baseline(&self, candidates: &[CandidateTarget], route: &str) -> TargetBaseline {
        let observed: Vec<&TargetStats> = candidates
            .iter()
            .filter_map(|target| self.stats.get(&target.name))
            .collect();
        let run_ms = mean(observed.iter().filter_map(|stats| stats.run_ms())).unwrap_or(BASE_LATENCY_MS);
        let of_route = observed.iter().filter_map(|stats| stats.route_run_ms.get(route));
        let shares = observed.iter().map(|stats| stats.failure_share);
        TargetBaseline {
            run_ms,
            route_run_ms: mean(of_route.copied()),
            failure_share: shares.reduce(f64::min).unwrap_or_default(),
        }
    }

    /// Returns the expected time to an answer and the cost of the target, both in milliseconds. The cost is this time,
    /// increased by the target's failure share relative to the baseline.
    fn answer_cost(
        &self,
        target: &CandidateTarget,
        load: f64,
        route: &str,
        baseline: TargetBaseline,
    ) -> (f64, f64) {
        let empty_stats = TargetStats::default();
        let stats = self.stats.get(&target.name).unwrap_or(&empty_stats);
        // The call waits for runs of all kinds, but its own takes as long as those of its route.
        let ahead_ms = stats.run_ms().unwrap_or(baseline.run_ms);
        let known_ms = stats.route_run_ms.get(route).copied();
        let run_ms = known_ms.or(baseline.route_run_ms).unwrap_or(ahead_ms);
        let distance_ms = if target.is_near { 0.0 } else { BASE_LATENCY_MS };
        let time_ms = run_ms.max(BASE_LATENCY_MS) * (1.0 + load.min(1.0) * FULL_LOAD_SLOWDOWN)
            + ahead_ms.max(BASE_LATENCY_MS) * (load - 1.0).max(0.0)
            + distance_ms;
        let failure_factor = (1.0 + FAILURE_COST_RUNS * stats.failure_share)
            / (1.0 + FAILURE_COST_RUNS * baseline.failure_share);
        (time_ms, time_ms * failure_factor)
    }
}

/// Reference values over the candidates that have statistics.
#[derive(Debug, Clone, Copy)]
struct TargetBaseline {
    /// Mean time of a run, in milliseconds. Targets without statistics are assumed to take as long, otherwise they
    /// would appear to be free of cost.
    run_ms: f64,
    /// The same for runs of the call's route; `None` if no candidate has reported one.
    route_run_ms: Option<f64>,
    /// Lowest failure share.
    failure_share: f64,
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Returns the targets that satisfy a condition, or all if none does.
fn prefer(
    targets: Vec<&CandidateTarget>,
    condition: impl Fn(&CandidateTarget) -> bool,
) -> Vec<&CandidateTarget> {
    let matching: Vec<&CandidateTarget> = targets
        .iter()
        .copied()
        .filter(|target| condition(target))
        .collect();
    if matching.is_empty() { targets } else { matching }
}
