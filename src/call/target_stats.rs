//! What this daemon knows of one target, and the load and time to an answer that it expects there.

use {
    super::{
        load::{LoadReport, RankCounts},
        run_estimate::TargetRoutes,
    },
    crate::clock::TimePoint,
    std::sync::Arc,
};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, in milliseconds; doubles with each further one until a call succeeds.
const BASE_EJECTION_MS: u64 = 2_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Weight of a new sample in the moving average of latencies.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the moving average of the failure share.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;
/// Time for which a target counts as full after it refused a call as full, in milliseconds.
const FULL_TTL_MS: u64 = 300;
/// Time for which the call counts of a gate's load report are used, in milliseconds.
const LOAD_REPORT_TTL_MS: u64 = 2_500;
/// Time in which a stated slowdown of a VM loses two thirds of its weight, in milliseconds: VMs that are shared with others
/// are slow for moments of about this length.
const SLOWDOWN_MEMORY_MS: f64 = 600.0;
/// Shortest time in which a report loses two thirds of its weight, in milliseconds.
const MIN_REPORT_MEMORY_MS: f64 = 20.0;

/// Square of the mean part of a normal distribution over its middle: independent arrivals queue that much of their standard
/// deviation where the load is just one.
const ARRIVAL_SPREAD: f64 = 0.159;

/// Statistics of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    pub(super) in_flight: RankCounts,
    /// Moving average of latencies, in milliseconds; 0 before the first answer.
    latency_ms: f64,
    consecutive_failures: u32,
    /// Moving average of the share of failed calls.
    pub(super) failure_share: f64,
    /// Ejections since the last successful answer.
    ejections: u32,
    pub(super) ejected_until: TimePoint,
    /// Whether a failed answer caused the last ejection, rather than an attempt without an answer.
    pub(super) is_ejected_for_answers: bool,
    report: LoadReport,
    /// Rank of the call that the report came with.
    report_rank: u8,
    /// The epoch before the first report.
    reported_at: TimePoint,
    /// Calls from here that were in flight at the last report, without the one that it was sent with.
    in_flight_at_report: RankCounts,
    /// Mean run time of each route at this target, in milliseconds, as its gate reported it.
    pub(super) route_run_ms: TargetRoutes<f64>,
    full_until: TimePoint,
    /// Most urgent rank that was refused as full until `full_until`.
    full_rank: u8,
}

impl TargetStats {
    /// Stores the load that a gate reported with the answer to a call of a rank, which is still counted as in flight.
    pub(super) fn record_load(&mut self, load: LoadReport, priority: u8, now: TimePoint) {
        self.report = load;
        self.report_rank = priority;
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
        self.in_flight_at_report.remove(priority);
    }

    pub(super) fn record_success(&mut self, latency_ms: f64) {
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.failure_share *= 1.0 - FAILURE_EWMA_WEIGHT;
        self.latency_ms = if self.latency_ms == 0.0 {
            latency_ms
        } else {
            self.latency_ms * (1.0 - LATENCY_EWMA_WEIGHT) + latency_ms * LATENCY_EWMA_WEIGHT
        };
    }

    pub(super) fn record_route_run(&mut self, route: &Arc<str>, run_ms: f64) {
        self.route_run_ms.update(route, |_| run_ms);
    }

    pub(super) fn record_full(&mut self, priority: u8, now: TimePoint) {
        self.full_rank = if self.full_until > now {
            self.full_rank.min(priority)
        } else {
            priority
        };
        self.full_until = now.after_ms(FULL_TTL_MS);
    }

    pub(super) fn record_shed(&mut self) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_EWMA_WEIGHT;
    }

    /// Counts a failure. Returns whether it ejected the target.
    pub(super) fn add_failure(&mut self, is_answer: bool, now: TimePoint) -> bool {
        self.consecutive_failures += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_EWMA_WEIGHT;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.ejected_until > now {
            return false;
        }
        let eject_ms = (BASE_EJECTION_MS << self.ejections.min(8)).min(MAX_EJECTION_MS);
        self.ejected_until = now.after_ms(eject_ms);
        self.is_ejected_for_answers = is_answer;
        self.ejections += 1;
        true
    }

    /// Returns the mean time of a run, in milliseconds: the gate's last report, otherwise the latency measured here.
    pub(super) fn run_ms(&self) -> Option<f64> {
        [self.report.run_ms, self.latency_ms]
            .into_iter()
            .find(|run_ms| *run_ms > 0.0)
    }

    /// Returns whether the target refused a call of this or a more urgent rank as full a short time ago.
    pub(super) fn is_full(&self, priority: u8, now: TimePoint) -> bool {
        self.full_until > now && self.full_rank <= priority
    }

    /// Returns how long work is expected to take on the target's VM, relative to its usual time.
    pub(super) fn slowdown(&self, now: TimePoint) -> f64 {
        let age_ms = now.ms_since(self.reported_at) as f64;
        1.0 + (self.report.slowdown - 1.0) * (-age_ms / SLOWDOWN_MEMORY_MS).exp()
    }

    /// Returns the calls a slot that precede one of a rank by the last report, with the weight that the report has left,
    /// from 1 to 0; `None` without a report that is recent enough.
    pub(super) fn reported_load(&self, slots: u32, priority: u8, now: TimePoint) -> Option<(f64, f64)> {
        let age_ms = now.ms_since(self.reported_at);
        if age_ms >= LOAD_REPORT_TTL_MS {
            return None;
        }
        let calls = self.report.running + self.report.waiting.up_to(priority);
        let load = f64::from(calls) / f64::from(slots.max(1));
        // The calls that it counts have ended after about as many runs.
        let memory_ms = (self.run_ms().unwrap_or_default() * load.max(1.0)).max(MIN_REPORT_MEMORY_MS);
        Some((load, (-(age_ms as f64) / memory_ms).exp()))
    }

    /// Returns the wait that the gate expected for a further call of this rank at its last report, in milliseconds.
    pub(super) fn stated_wait_ms(&self, priority: u8) -> Option<f64> {
        self.report.wait_ms.filter(|_| self.report_rank == priority)
    }

    /// Returns the load that is expected before a call of a rank. It returns from the reported one to `mean`, that of the
    /// targets around; the calls that this daemon has begun or ended since count besides.
    pub(super) fn expected_load(&self, slots: u32, priority: u8, mean: f64, now: TimePoint) -> ExpectedLoad {
        let own = f64::from(self.in_flight.up_to(priority));
        let own_load = own / f64::from(slots.max(1));
        let Some((load, certainty)) = self.reported_load(slots, priority, now) else {
            return ExpectedLoad::of_mean(mean).at_least(own_load);
        };
        let begun = own - f64::from(self.in_flight_at_report.up_to(priority));
        let begun = if begun < 0.0 { begun * certainty } else { begun };
        let calls = mean + (load - mean) * certainty + begun / f64::from(slots.max(1));
        ExpectedLoad { calls, certainty }.at_least(own_load)
    }
}

/// Load that is expected at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedLoad {
    /// Calls a slot that precede a new one.
    pub(super) calls: f64,
    /// 1 for what the gate has just reported, 0 for the mean of the targets around.
    pub(super) certainty: f64,
}

impl ExpectedLoad {
    pub(super) fn of_mean(calls: f64) -> Self {
        Self {
            calls,
            certainty: 0.0,
        }
    }

    pub(super) fn at_least(self, calls: f64) -> Self {
        Self {
            calls: self.calls.max(calls),
            ..self
        }
    }

    /// Returns the calls a slot that are expected to be queued: what exceeds the slots, and more the less certain the load
    /// is, as a target that is nearly full on average queues calls at times.
    pub(super) fn queued(self, slots: u32) -> f64 {
        let excess = self.calls - 1.0;
        let variance = (1.0 - self.certainty) * self.calls / f64::from(slots.max(1));
        f64::midpoint(excess, (excess * excess + 4.0 * ARRIVAL_SPREAD * variance).sqrt())
    }
}
