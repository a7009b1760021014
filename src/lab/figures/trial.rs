//! The simulation of one move under one rule and one scenario.
//!
//! A fault counts as detectable when an ideal detector, which knows the distributions of the good and of the bad version,
//! reaches a likelihood ratio of [`DETECTABLE_RATIO`].

use {
    super::{
        counts::GateCounts,
        exposure::ExposureTracker,
        rule::MoveRule,
        scenario::{MoveScenario, VersionFault},
    },
    crate::{
        clock::TimePoint,
        config::{MoveOrder, MovePolicy, MoveVerdict},
        moves::{
            Clearance, GateLease, GateReport, MoveController, MoveEffect, MoveSchedule, PollReply, WINDOW_MS,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, LogNormal},
    std::{collections::VecDeque, sync::Arc},
};

/// Time step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// Time from the death of a controller to the start of the next one, for failure detection and a takeover check, in
/// milliseconds.
const TAKEOVER_MS: u64 = 8_000;
/// The same for a short move, for the expiry of the lease and a takeover check.
const SHORT_TAKEOVER_MS: u64 = 3_300;
/// Median latency of a good call, in milliseconds.
const LATENCY_MS: f64 = 5.0;
/// Standard deviation of the latency's natural logarithm.
const LATENCY_SIGMA: f64 = 0.5;
/// Latency factor of a cold target and the time for which it is cold, in milliseconds: for long moves, and for short
/// moves, where they are those of the users' platform.
const COLD_START: [(f64, u64); 2] = [(5.0, 3_000), (2.0, 3_000)];
/// Share of the calls on the more frequent route.
const FREQUENT_ROUTE_SHARE: f64 = 0.8;
/// Likelihood ratio from which a fault counts as detectable.
const DETECTABLE_RATIO: f64 = 10_000.0;
/// Time after a fault is detectable from which calls to the version count as late, in milliseconds.
const STOP_WITHIN_MS: u64 = 3_000;
/// Highest absolute log-likelihood ratio of one call, so that a single extreme latency doesn't decide.
const MAX_LOG_STEP: f64 = 5.0;

/// Outcome of a simulated move.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TrialOutcome {
    /// Whether the move was done by its deadline.
    pub done_in_time: bool,
    /// Whether the move was taken back.
    pub taken_back: bool,
    /// Calls of the pool until the end of the move.
    pub calls: u64,
    /// Calls that went to the version while it was bad.
    pub bad_calls: u64,
    /// Whether a bad version received more calls than a tenth of the pool's until the deadline plus 50, or a call later
    /// than 5 s after its 50th bad answer.
    pub is_overexposed: bool,
    /// Calls that went to the version after its fault was detectable.
    pub calls_after_detectable: u64,
    /// Calls that went to the version more than 3 s after its fault was detectable.
    pub late_calls: u64,
    /// Time from the moment when the fault was detectable to the stop, in milliseconds; `None` if it was not detectable
    /// before.
    pub detectable_to_stop_ms: Option<u64>,
    /// Time from the first call to the bad version to the stop, in milliseconds.
    pub bad_to_stop_ms: Option<u64>,
}

struct Trial {
    scenario: MoveScenario,
    rule: MoveRule,
    rng: SmallRng,
    now: TimePoint,
    start: TimePoint,
    order: MoveOrder,
    route_names: [Arc<str>; 2],
    old: GateCounts,
    new: GateCounts,
    lease: GateLease,
    controller: Option<MoveController>,
    controller_resumes_at: Option<TimePoint>,
    /// Share of calls that callers send to the new version; its gate refuses them without a lease.
    share: f64,
    first_new_call_at: Option<TimePoint>,
    first_bad_call_at: Option<TimePoint>,
    detectable_at: Option<TimePoint>,
    log_likelihood: f64,
    recent_new_calls: VecDeque<(TimePoint, bool)>,
    exposure: ExposureTracker,
    written_verdict: Option<MoveVerdict>,
    outcome: TrialOutcome,
}

/// Simulates one move. The same seed gives the same outcome.
pub fn run_trial(scenario: MoveScenario, rule: MoveRule, seed: u64) -> TrialOutcome {
    let mut trial = Trial::new(scenario, rule, seed);
    // A store outage can delay the verdict beyond the deadline.
    let end = trial.order.finish_by.after_ms(trial.scenario.move_ms / 4);
    while trial.written_verdict.is_none() && trial.now < end {
        trial.step();
    }
    trial.finish()
}

impl Trial {
    fn new(scenario: MoveScenario, rule: MoveRule, seed: u64) -> Self {
        let start = TimePoint(1_200_000);
        let policy = match rule {
            MoveRule::Controller(policy) => policy,
            MoveRule::TimedRamp | MoveRule::ErrorThreshold => MovePolicy::Prompt,
        };
        let order = MoveOrder {
            id: 1,
            from: "v1".into(),
            to: "v2".into(),
            opened_at: start,
            finish_by: start.after_ms(scenario.move_ms),
            policy,
        };
        let controller = MoveController::new(order.clone(), "first".into(), None, start);
        let mut trial = Self {
            scenario,
            rule,
            rng: SmallRng::seed_from_u64(seed),
            now: start,
            start,
            order,
            route_names: ["frequent".into(), "rare".into()],
            old: GateCounts::default(),
            new: GateCounts::default(),
            lease: GateLease::default(),
            controller: Some(controller),
            controller_resumes_at: None,
            share: 0.0,
            first_new_call_at: None,
            first_bad_call_at: None,
            detectable_at: None,
            log_likelihood: 0.0,
            recent_new_calls: VecDeque::new(),
            exposure: ExposureTracker::default(),
            written_verdict: None,
            outcome: TrialOutcome::default(),
        };
        trial.run_history();
        trial
    }

    /// Simulates the time before the move, in which the old version serves alone, and leaves it out of the outcome.
    fn run_history(&mut self) {
        let (start, began) = (self.start, TimePoint(self.start.0 - self.scenario.history_ms()));
        self.start = began;
        self.now = began;
        while self.now < start {
            self.now = self.now.after_ms(STEP_MS);
            self.send_calls();
        }
        self.start = start;
        self.outcome = TrialOutcome::default();
        self.exposure = ExposureTracker::default();
    }

    fn elapsed_ms(&self) -> u64 {
        self.now.ms_since(self.start)
    }

    fn step(&mut self) {
        self.now = self.now.after_ms(STEP_MS);
        self.inject_controller_fault();
        match self.rule {
            MoveRule::Controller(_) => self.run_controller(),
            MoveRule::TimedRamp => self.run_timed_ramp(),
            MoveRule::ErrorThreshold => self.run_error_threshold(),
        }
        self.send_calls();
    }

    fn send_calls(&mut self) {
        let expected = self.scenario.rate * STEP_MS as f64 / 1e3;
        let calls = expected.floor() as u32 + u32::from(self.rng.random::<f64>() < expected.fract());
        for _ in 0..calls {
            self.send_call();
        }
    }

    fn send_call(&mut self) {
        self.outcome.calls += 1;
        let is_new = self.rng.random::<f64>() < self.usable_share();
        let is_rare = self.rng.random::<f64>() >= FREQUENT_ROUTE_SHARE;
        let noise = self.noise();
        let (fail_share, mut factor) = if is_new {
            self.fault_effect(is_rare, noise)
        } else {
            (noise, 1.0)
        };
        let is_bad = is_new && (fail_share > noise || factor > 1.0);
        if is_new {
            let since = self.now.ms_since(*self.first_new_call_at.get_or_insert(self.now));
            let (cold_factor, cold_ms) = COLD_START[usize::from(self.scenario.is_short())];
            if self.scenario.has_cold_start && since < cold_ms {
                factor = cold_factor;
            }
        }
        let failed = self.rng.random::<f64>() < fail_share;
        let latency =
            LogNormal::new((LATENCY_MS * factor).ln(), LATENCY_SIGMA).expect("the spread is positive");
        let latency_ms = latency.sample(&mut self.rng);
        if is_new {
            self.recent_new_calls.push_back((self.now, failed));
            self.exposure.add_call(failed || factor > 1.0 && is_bad, self.now);
        }
        if is_bad {
            self.record_bad_call(failed, latency_ms, fail_share, noise, factor);
        }
        let counts = if is_new { &mut self.new } else { &mut self.old };
        let route = Arc::clone(&self.route_names[usize::from(is_rare)]);
        counts
            .routes
            .entry(route)
            .or_default()
            .add_call(failed, latency_ms);
    }

    /// Counts a call to the bad version, and adds the log-likelihood ratio of its outcome between the distributions of the
    /// bad and of the good version.
    fn record_bad_call(&mut self, failed: bool, latency_ms: f64, fail_share: f64, noise: f64, factor: f64) {
        self.first_bad_call_at.get_or_insert(self.now);
        self.outcome.bad_calls += 1;
        if let Some(detectable_at) = self.detectable_at {
            self.outcome.calls_after_detectable += 1;
            self.outcome.late_calls += u64::from(self.now.ms_since(detectable_at) > STOP_WITHIN_MS);
        }
        let step = if factor > 1.0 {
            let distance = |median: f64| ((latency_ms / median).ln() / LATENCY_SIGMA).powi(2) / 2.0;
            distance(LATENCY_MS) - distance(LATENCY_MS * factor)
        } else if failed {
            (fail_share / noise).ln()
        } else {
            ((1.0 - fail_share) / (1.0 - noise)).ln()
        };
        self.log_likelihood += step.clamp(-MAX_LOG_STEP, MAX_LOG_STEP);
        if self.log_likelihood >= DETECTABLE_RATIO.ln() {
            self.detectable_at.get_or_insert(self.now);
        }
    }

    /// Returns the share of calls that fails on both versions at present.
    fn noise(&self) -> f64 {
        let (cycle_ms, burst_ms) = self.scenario.burst_ms();
        let in_burst = self.scenario.has_bursts && self.elapsed_ms() % cycle_ms < burst_ms;
        if in_burst { 0.2 } else { self.scenario.noise }
    }

    /// Returns the share of failing calls and the latency factor of the new version at present.
    fn fault_effect(&self, is_rare: bool, noise: f64) -> (f64, f64) {
        let elapsed_s = self.elapsed_ms() as f64 / 1e3;
        let with_noise = |share: f64| noise + share * (1.0 - noise);
        match self.scenario.fault {
            VersionFault::Fails { share, from_s } if elapsed_s >= from_s => (with_noise(share), 1.0),
            VersionFault::Slow { factor, from_s } if elapsed_s >= from_s => (noise, factor),
            VersionFault::FailsUnderLoad { share, from_share } if self.share >= from_share => {
                (with_noise(share), 1.0)
            }
            VersionFault::FailsOnRoute { share } if is_rare => (with_noise(share), 1.0),
            _ => (noise, 1.0),
        }
    }

    /// Returns the share of calls that the new version runs: 0 under the controller while its gate refuses calls.
    fn usable_share(&self) -> f64 {
        match self.rule {
            MoveRule::Controller(_) if !self.lease.admits(self.order.id, self.now) => 0.0,
            _ => self.share,
        }
    }

    fn is_store_up(&self) -> bool {
        let outage_ms = self.scenario.move_ms / 10;
        !self.scenario.has_store_outages || self.elapsed_ms() / outage_ms % 2 == 1
    }

    /// Kills or suspends the controller at the time given by the scenario, and starts the next one or resumes it.
    fn inject_controller_fault(&mut self) {
        let fails_at_ms = self
            .scenario
            .controller_fails_at_s
            .map(|at_s| (at_s * 1e3) as u64);
        if fails_at_ms == Some(self.elapsed_ms()) {
            let pause_ms = self
                .scenario
                .controller_suspended_s
                .map_or(self.takeover_ms(), |pause_s| (pause_s * 1e3) as u64);
            self.controller_resumes_at = Some(self.now.after_ms(pause_ms));
        }
        if self
            .controller_resumes_at
            .is_some_and(|resumes_at| self.now >= resumes_at)
        {
            self.controller_resumes_at = None;
            if self.scenario.controller_suspended_s.is_none() {
                let held = self.lease.held(self.order.id).cloned();
                let mut next =
                    MoveController::new(self.order.clone(), "next".into(), held.as_ref(), self.now);
                next.replay_windows(&self.takeover_replies());
                self.controller = Some(next);
            }
        }
    }

    fn takeover_ms(&self) -> u64 {
        if self.scenario.is_short() {
            SHORT_TAKEOVER_MS
        } else {
            TAKEOVER_MS
        }
    }

    fn run_controller(&mut self) {
        if self.elapsed_ms().is_multiple_of(WINDOW_MS) {
            self.old.end_window();
            self.new.end_window();
        }
        if self.controller_resumes_at.is_some() {
            return;
        }
        let Some(mut controller) = self.controller.take() else {
            return;
        };
        for effect in controller.tick(self.now) {
            match effect {
                MoveEffect::Cleared { reason } => {
                    log::debug!("{} s {reason}", self.elapsed_ms() as f64 / 1e3);
                    self.apply_clearance(controller.clearance().clone());
                }
                MoveEffect::Decide { verdict, .. } => self.decide(verdict),
                MoveEffect::AtRisk { .. } => {}
            }
        }
        if self.elapsed_ms().is_multiple_of(controller.poll_ms()) {
            controller.on_poll(self.now);
            self.apply_clearance(controller.clearance().clone());
            for report in self.reports() {
                controller.add_report(report, self.now);
            }
        }
        self.controller = Some(controller);
    }

    /// Returns the replies of the gates to a takeover check.
    fn takeover_replies(&self) -> Vec<PollReply> {
        let recents = [self.old.recent(), self.new.recent()];
        let replies = self
            .reports()
            .into_iter()
            .zip(recents)
            .map(|(report, recent)| PollReply {
                report,
                held: None,
                lease_left_ms: 0,
                accepted: false,
                recent,
            });
        replies.collect()
    }

    /// Delivers a clearance to the gate and to the callers.
    fn apply_clearance(&mut self, clearance: Clearance) {
        self.share = clearance.usable_share();
        self.lease.renew(clearance, self.now);
    }

    fn reports(&self) -> [GateReport; 2] {
        // Calls are short, so the old version has none in flight soon after its last one.
        let old_in_flight = if self.share >= 1.0 { 0 } else { 3 };
        let report = |version: &str, counts: &GateCounts, in_flight| GateReport {
            gate: version.into(),
            instance: 1,
            version: version.into(),
            is_serving: true,
            slots: 84,
            in_flight,
            routes: counts.routes.clone(),
        };
        [report("v1", &self.old, old_in_flight), report("v2", &self.new, 3)]
    }

    /// Carries out a verdict: a stop takes effect at once, the verdict only while the store is up.
    fn decide(&mut self, verdict: MoveVerdict) {
        if verdict == MoveVerdict::TakenBack {
            self.share = 0.0;
        }
        self.record_stop();
        if self.is_store_up() {
            self.written_verdict = Some(verdict);
        }
    }

    /// Records the times to the stop, once, when the new version is taken back after a bad call.
    fn record_stop(&mut self) {
        if self.share == 0.0 && self.outcome.bad_to_stop_ms.is_none() {
            self.outcome.bad_to_stop_ms = self.first_bad_call_at.map(|at| self.now.ms_since(at));
            self.outcome.detectable_to_stop_ms = self.detectable_at.map(|at| self.now.ms_since(at));
        }
    }

    fn run_timed_ramp(&mut self) {
        let schedule = MoveSchedule::new(self.start, self.order.finish_by, MovePolicy::Prompt);
        self.share = schedule.due_share(self.now);
        if self.now >= schedule.verdict_at() && self.is_store_up() {
            self.written_verdict = Some(MoveVerdict::Done);
        }
    }

    fn run_error_threshold(&mut self) {
        self.run_timed_ramp();
        while self
            .recent_new_calls
            .front()
            .is_some_and(|(at, _)| self.now.ms_since(*at) > 10_000)
        {
            self.recent_new_calls.pop_front();
        }
        let failed = self.recent_new_calls.iter().filter(|(_, failed)| *failed).count();
        if self.recent_new_calls.len() >= 20 && failed * 20 > self.recent_new_calls.len() {
            self.decide(MoveVerdict::TakenBack);
        }
    }

    fn finish(mut self) -> TrialOutcome {
        let in_time = self.now <= self.order.finish_by;
        self.outcome.done_in_time = self.written_verdict == Some(MoveVerdict::Done) && in_time;
        self.outcome.taken_back = self.written_verdict == Some(MoveVerdict::TakenBack);
        let calls = self.scenario.rate * self.scenario.move_ms as f64 / 1e3;
        self.outcome.is_overexposed = !self.scenario.is_good() && self.exposure.is_exceeded(calls);
        self.outcome
    }
}
