//! Per-target statistics collected by this daemon, and target selection based on them.

use {
    super::{
        candidate::{CandidateTarget, MissingTarget, TargetCriteria, TargetNeed},
        expectation::{
            AnswerForecast, ExpectedAnswer, TargetBaseline, TargetLook, first_in_turn, mean, weighted_mean,
        },
        load::LoadReport,
        recent_routes::RecentRoutes,
        run_estimate::{assumed_run_ms, useful_ms},
        target_stats::TargetStats,
    },
    crate::clock::TimePoint,
    rand::{Rng, RngExt},
    std::{collections::HashMap, sync::Arc},
};

/// Run time assumed while none is known of any candidate, lower bound of a run time, and latency added for a target in
/// another data centre, in milliseconds.
const BASE_LATENCY_MS: f64 = 1.0;
/// Cost of sending a KiB between data centres, in milliseconds by which the answer must be expected earlier. Weighs the
/// price of the traffic against latency: a higher value suits users whose traffic between data centres is expensive, a
/// lower one lets calls leave a busy data centre sooner.
const CROSS_DC_COST_MS_PER_KIB: f64 = 300.0;
/// Size of the request and response heads between two daemons together, in bytes.
const HEAD_BYTES: f64 = 700.0;
/// Weight of a new sample in the moving averages of a route.
const ROUTE_EWMA_WEIGHT: f64 = 0.1;
/// Number of routes with averages over all targets.
const MAX_TRACKED_ROUTES: usize = 4_000;
/// Fraction by which a run is expected to take longer at a target whose slots are all in use, before any call queues.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Power by which a target's share of the calls falls with its expected wait. With figures as old as a queue lives, a
/// higher one sends all daemons to the same targets; a lower one makes less of fresh figures.
const ROOM_EXPONENT: i32 = 3;
/// Multiple of the time left for a useful answer, and of the time without a wait, over which the expected answer makes an
/// attempt hopeless: estimates by old figures are hardly better.
const HOPELESS_FACTOR: f64 = 1.5;
/// Share of the calls that are sent though all targets are hopeless, which keeps their figures new.
const PROBE_SHARE: f64 = 0.1;
/// Cost added for a target that fails every call, in runs.
const FAILURE_COST_RUNS: f64 = 8.0;
/// Load below which a target is eligible for a hedged attempt, as a fraction of its slots.
const MAX_IDLE_LOAD: f64 = 0.6;
/// Minimum load assumed for a target that refused a call as full, as a fraction of its slots.
const ASSUMED_FULL_LOAD: f64 = 2.0;
/// A target ejected for failed answers is avoided only while its failure share exceeds the lowest one among the
/// candidates by more than this, as calls that fail through their own fault fail at all targets of a service alike. The
/// value is three standard deviations of the moving average.
const EJECTION_EXCESS_SHARE: f64 = 0.3;

/// Records per-target statistics, by daemon name, and selects targets by them.
#[derive(Debug, Default)]
pub struct TargetSelector {
    stats: HashMap<Arc<str>, TargetStats>,
    /// Moving averages of answer sizes, in bytes.
    answer_bytes: RecentRoutes<f64, MAX_TRACKED_ROUTES>,
    /// Moving averages of run times over all targets, in milliseconds.
    route_runs: RecentRoutes<f64, MAX_TRACKED_ROUTES>,
}

impl TargetSelector {
    /// Chooses a target: draws one of those in this data centre that are expected to answer in time, and one of those in
    /// others, by weight, and takes the one with the lower cost. Traffic to other data centres costs nothing
    /// more for a call that a full gate has refused. Never chooses a tried target, and an ejected or suspect one only if no
    /// other is left.
    ///
    /// Targets that are full for the call's rank, or not expected to answer within the limit, count as late and come
    /// last. If the call has a limit, late targets in other data centres are left out, except for the first attempt if
    /// this data centre has no target: their gates have the current state and refuse the call if it can't be served.
    pub fn choose<'a>(
        &self,
        candidates: &'a [CandidateTarget],
        tried: &[Arc<str>],
        criteria: TargetCriteria<'_>,
        rng: &mut impl Rng,
        now: TimePoint,
    ) -> Result<&'a CandidateTarget, MissingTarget> {
        let untried: Vec<&CandidateTarget> = candidates
            .iter()
            .filter(|target| !tried.contains(&target.name))
            .collect();
        let baseline = self.compute_baseline(candidates, criteria, now);
        let not_ejected = prefer(untried, |target| !self.is_excluded(&target.name, baseline, now));
        let not_suspect = prefer(not_ejected, |target| !target.is_suspect);
        let has_near = not_suspect.iter().any(|target| target.is_near);
        let looks: Vec<TargetLook<'_>> = not_suspect
            .into_iter()
            .map(|target| self.look(target, criteria, baseline, rng, now))
            .collect();
        if looks.is_empty() {
            return Err(MissingTarget::None);
        }
        if tried.is_empty() && looks.iter().all(|look| look.is_hopeless) && rng.random::<f64>() >= PROBE_SHARE
        {
            return Err(MissingTarget::NoRoom);
        }
        let is_eligible = |look: &TargetLook<'_>| {
            !look.is_late && (criteria.need != TargetNeed::Idle || look.load < MAX_IDLE_LOAD)
        };
        let drawn = [true, false].into_iter().filter_map(|is_near| {
            let group = looks.iter().filter(|look| look.target.is_near == is_near);
            first_in_turn(group.filter(|look| is_eligible(look)))
        });
        // The cost of traffic between data centres may delay a call, but must not make it late.
        if let Some(best) = drawn.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) {
            return Ok(best.target);
        }
        let accepts_far = criteria.limit_ms.is_none() || (!has_near && tried.is_empty());
        let late = first_in_turn(looks.iter().filter(|look| look.target.is_near || accepts_far));
        match (criteria.need, late) {
            (TargetNeed::Any, Some(late)) => Ok(late.target),
            _ => Err(MissingTarget::NoRoom),
        }
    }

    /// Returns the time until one of the targets is expected to answer a new call within the limit, in milliseconds.
    pub fn room_in_ms(
        &self,
        candidates: &[CandidateTarget],
        criteria: TargetCriteria<'_>,
        now: TimePoint,
    ) -> f64 {
        let baseline = self.compute_baseline(candidates, criteria, now);
        let limit_ms = criteria.limit_ms.unwrap_or(f64::INFINITY);
        let answers = candidates
            .iter()
            .map(|target| self.expected_answer(target, criteria, baseline, now));
        let times = answers.map(ExpectedAnswer::time_ms);
        (times.fold(f64::INFINITY, f64::min) - limit_ms).max(0.0)
    }

    /// Returns the earliest answer that is expected of the targets; `None` without any.
    pub fn forecast(
        &self,
        candidates: &[CandidateTarget],
        criteria: TargetCriteria<'_>,
        now: TimePoint,
    ) -> Option<AnswerForecast> {
        let baseline = self.compute_baseline(candidates, criteria, now);
        let answers = candidates
            .iter()
            .map(|target| self.expected_answer(target, criteria, baseline, now));
        let earliest = answers.min_by(|a, b| a.time_ms().total_cmp(&b.time_ms()))?;
        Some(AnswerForecast {
            run_ms: earliest.run_ms,
            is_run_known: baseline.route_run_ms.is_some(),
            wait_ms: earliest.wait_ms,
            load: earliest.load,
        })
    }

    /// Estimates the answer of a target, and draws its turn.
    fn look<'a>(
        &self,
        target: &'a CandidateTarget,
        criteria: TargetCriteria<'_>,
        baseline: TargetBaseline,
        rng: &mut impl Rng,
        now: TimePoint,
    ) -> TargetLook<'a> {
        let answer = self.expected_answer(target, criteria, baseline, now);
        let time_ms = answer.time_ms();
        let stats = self.stats.get(&target.name);
        let is_full = stats.is_some_and(|stats| stats.is_full(criteria.priority, now));
        let is_over = |time_ms: f64| criteria.limit_ms.is_some_and(|limit_ms| time_ms > limit_ms);
        let is_free = target.is_near || criteria.need == TargetNeed::Room;
        let distance_cost_ms = if is_free { 0.0 } else { criteria.cross_dc_cost_ms };
        let room = (answer.run_ms / time_ms).powi(ROOM_EXPONENT);
        let weight = f64::from(target.slots.max(1)) / answer.run_ms * room / answer.failure_factor;
        TargetLook {
            target,
            load: answer.load,
            is_late: is_full || is_over(time_ms),
            is_hopeless: is_full || (is_over(time_ms / HOPELESS_FACTOR) && answer.is_queued(HOPELESS_FACTOR)),
            cost_ms: time_ms * answer.failure_factor + distance_cost_ms,
            // The least of exponential draws is distributed by their rates.
            turn: -(1.0 - rng.random::<f64>()).ln() / weight,
        }
    }

    /// Returns the cost of sending a call to another data centre, in milliseconds: the size of its body, its heads and
    /// the route's mean answer, times the cost of a KiB.
    pub fn cross_dc_cost_ms(&self, route: &str, request_bytes: usize) -> f64 {
        let answer_bytes = self.answer_bytes.get(route).unwrap_or_default();
        (request_bytes as f64 + answer_bytes + HEAD_BYTES) / 1_024.0 * CROSS_DC_COST_MS_PER_KIB
    }

    /// Records the size of an answer in the route's moving average.
    pub fn record_answer_size(&mut self, route: &Arc<str>, bytes: usize) {
        self.answer_bytes
            .update(route, |mean| moving_average(mean, bytes as f64));
    }

    /// Counts a call of a rank as in flight at a target.
    pub fn record_start(&mut self, name: &Arc<str>, priority: u8) {
        self.stats_of(name).in_flight.add(priority);
    }

    /// Records a successful answer: resets the consecutive failures and updates the moving averages.
    pub fn record_success(&mut self, name: &Arc<str>, latency_ms: f64) {
        self.stats_of(name).record_success(latency_ms);
    }

    /// Records the load that a gate reported with an answer or refusal to a call of a rank that is still in flight.
    pub fn record_load(&mut self, name: &Arc<str>, load: LoadReport, priority: u8, now: TimePoint) {
        self.stats_of(name).record_load(load, priority, now);
    }

    /// Records the mean run time of a route at a target, in milliseconds, which its gate reported.
    pub fn record_route_run(&mut self, name: &Arc<str>, route: &Arc<str>, run_ms: f64) {
        self.stats_of(name).record_route_run(route, run_ms);
        self.route_runs.update(route, |mean| moving_average(mean, run_ms));
    }

    /// Returns the mean run time of a route at a target, in milliseconds; `None` if its gate has not reported it.
    pub fn route_run_ms(&self, name: &str, route: &str) -> Option<f64> {
        self.stats.get(name)?.route_run_ms.get(route)
    }

    /// Returns the time within which an answer is useful to a caller, in milliseconds: the stated latency of the route, but no
    /// less than its runs take.
    pub fn useful_ms(&self, route: &str, target_latency_ms: u64) -> u64 {
        useful_ms(target_latency_ms, self.route_runs.get(route))
    }

    /// Records that a gate refused a call of a rank as full, or that the call expired in its queue.
    pub fn record_full(&mut self, name: &Arc<str>, priority: u8, now: TimePoint) {
        self.stats_of(name).record_full(priority, now);
    }

    /// Records that a target rejected a request. This raises its failure share, but doesn't count towards an ejection,
    /// as the target responds.
    pub fn record_shed(&mut self, name: &Arc<str>) {
        self.stats_of(name).record_shed();
    }

    /// Records a broken or stalled attempt, a failed connection, or a refusal by a gate that is closed or has another
    /// target. Returns whether this ejected the target.
    pub fn record_failure(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.stats_of(name).add_failure(false, now)
    }

    /// Records a failed answer. Returns whether this ejected the target; `EJECTION_EXCESS_SHARE` limits the effect of
    /// such an ejection.
    pub fn record_failed_answer(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.stats_of(name).add_failure(true, now)
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

    fn stats_of(&mut self, name: &Arc<str>) -> &mut TargetStats {
        self.stats.entry(Arc::clone(name)).or_default()
    }

    /// Computes the means of run times and loads, and the lowest failure share, of the candidates with statistics.
    fn compute_baseline(
        &self,
        candidates: &[CandidateTarget],
        criteria: TargetCriteria<'_>,
        now: TimePoint,
    ) -> TargetBaseline {
        let known = || {
            let known = candidates.iter();
            known.filter_map(|target| Some((target, self.stats.get(&target.name)?)))
        };
        let mean_load = |is_near: bool| {
            let loads = known().filter(|(target, _)| target.is_near == is_near);
            weighted_mean(
                loads.filter_map(|(target, stats)| stats.reported_load(target.slots, criteria.priority, now)),
            )
        };
        let run_ms = mean(known().filter_map(|(_, stats)| stats.run_ms())).unwrap_or(BASE_LATENCY_MS);
        let of_route = known().filter_map(|(_, stats)| stats.route_run_ms.get(criteria.route));
        let shares = known().map(|(_, stats)| stats.failure_share);
        TargetBaseline {
            run_ms,
            route_run_ms: mean(of_route).or_else(|| self.route_runs.get(criteria.route)),
            failure_share: shares.reduce(f64::min).unwrap_or_default(),
            near_load: mean_load(true),
            far_load: mean_load(false),
        }
    }

    /// Returns the answer that is expected from a target. One that refused the rank as full has at least
    /// [`ASSUMED_FULL_LOAD`].
    fn expected_answer(
        &self,
        target: &CandidateTarget,
        criteria: TargetCriteria<'_>,
        baseline: TargetBaseline,
        now: TimePoint,
    ) -> ExpectedAnswer {
        let empty_stats = TargetStats::default();
        let stats = self.stats.get(&target.name).unwrap_or(&empty_stats);
        let mean = if target.is_near {
            baseline.near_load
        } else {
            baseline.far_load
        };
        let mut load = stats.expected_load(target.slots, criteria.priority, mean, now);
        if stats.is_full(criteria.priority, now) {
            load = load.at_least(ASSUMED_FULL_LOAD);
        }
        // The call waits for runs of all kinds, but its own takes as long as those of its route.
        let ahead_ms = stats.run_ms().unwrap_or(baseline.run_ms);
        let known_ms = stats.route_run_ms.get(criteria.route);
        let assumed_ms = assumed_run_ms(ahead_ms, criteria.limit_ms.unwrap_or(f64::INFINITY));
        let run_ms = known_ms.or(baseline.route_run_ms).unwrap_or(assumed_ms);
        let slowdown = stats.slowdown(now);
        let computed_ms = ahead_ms.max(BASE_LATENCY_MS) * load.queued(target.slots) * slowdown;
        let stated_ms = stats.stated_wait_ms(criteria.priority).unwrap_or(computed_ms);
        ExpectedAnswer {
            load: load.calls,
            run_ms: run_ms.max(BASE_LATENCY_MS) * (1.0 + load.calls.min(1.0) * FULL_LOAD_SLOWDOWN) * slowdown,
            wait_ms: computed_ms + (stated_ms - computed_ms) * load.certainty,
            distance_ms: if target.is_near { 0.0 } else { BASE_LATENCY_MS },
            failure_factor: (1.0 + FAILURE_COST_RUNS * stats.failure_share)
                / (1.0 + FAILURE_COST_RUNS * baseline.failure_share),
        }
    }
}

/// Returns a moving average after a new sample; that is the sample if there was none before.
fn moving_average(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |mean| mean + (sample - mean) * ROUTE_EWMA_WEIGHT)
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
