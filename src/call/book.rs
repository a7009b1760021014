//! What this daemon has itself observed of targets, and the choice between them.

use {
    super::load::{LoadReport, RankCounts},
    crate::clock::TimePoint,
    rand::{Rng, seq::IndexedRandom},
    std::{collections::HashMap, sync::Arc},
};

/// Failures in a row after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// Time of a first ejection, in milliseconds; doubled with each further one.
const EJECT_MS: u64 = 2_000;
/// Longest ejection, in milliseconds.
const MAX_EJECT_MS: u64 = 30_000;
/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Latency assumed of a target that was never called, and added for one in another data centre, in
/// milliseconds.
const BASE_LATENCY_MS: f64 = 1.0;
/// Time that a KiB between data centres is worth, in milliseconds: what a call carries there must be made up for by an
/// earlier answer. Between what measurement showed for users to whom these bytes are dear and to whom they are cheap.
const FAR_MS_PER_KIB: f64 = 300.0;
/// Bytes of heads in both directions, between two daemons.
const HEAD_BYTES: f64 = 700.0;
/// Weight of a new answer's size in the moving average of its route.
const SIZE_WEIGHT: f64 = 0.1;
/// Most routes whose answers are measured.
const MAX_ROUTES: usize = 4_000;
/// Targets that are compared for one call; a few are as good as all, and cheaper.
const COMPARED: usize = 5;
/// Part of a run's time that a fully loaded target is expected to add before anything queues.
const LOADED_PART: f64 = 0.5;
/// Runs that a target which fails every call counts as dearer.
const FAILURE_COST: f64 = 8.0;
/// Weight of a new outcome in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time for which a target that refused a call as full counts as full, in milliseconds.
const FULL_MS: u64 = 300;
/// Load below which a target has room for a second attempt.
const IDLE_LOAD: f64 = 0.6;
/// Load assumed of a target that refused a call as full.
const FULL_LOAD: f64 = 2.0;
/// By how much a target's share of failed answers must exceed the best one's for an ejection: what calls of its own fail at
/// is not its fault, and all targets of a service share that. Three times the deviation of the moving share.
const EXCESS_FAILURES: f64 = 0.3;
/// Time after which a target's own report of its load is forgotten, in milliseconds.
const REPORT_LIFE_MS: u64 = 2_500;

/// A target that could serve a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTarget {
    /// Name of its daemon.
    pub name: Arc<str>,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether it is in this daemon's data centre.
    pub is_near: bool,
    /// Whether its daemon is under suspicion.
    pub is_suspect: bool,
}

/// What a call needs of a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetWish {
    /// What the call's bytes to another data centre are worth, in milliseconds.
    pub far_ms: f64,
    /// Time within which an answer is of use, in milliseconds.
    pub limit_ms: Option<f64>,
    /// Whether only a target with room will do, as for a second attempt beside a slow one.
    pub only_idle: bool,
    /// Rank of the call's route; 0 is the most urgent.
    pub priority: u8,
}

/// What was observed of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    in_flight: RankCounts,
    latency_ms: f64,
    /// Failures in a row.
    failures: u32,
    /// Moving share of failures.
    failure_share: f64,
    ejections: u32,
    ejected_until: TimePoint,
    /// Whether it was ejected for failed answers, and not for failed connections.
    has_failed_answers: bool,
    report: LoadReport,
    reported_until: TimePoint,
    full_until: TimePoint,
    /// Most urgent rank that was refused as full.
    full_rank: u8,
}

impl TargetStats {
    fn note_load(&mut self, load: LoadReport, now: TimePoint) {
        self.report = load;
        self.reported_until = now.after_ms(REPORT_LIFE_MS);
    }

    /// Returns the typical time of a run, in milliseconds: as its gate reports it, or else as seen from here.
    fn run_ms(&self) -> Option<f64> {
        [self.report.run_ms, self.latency_ms]
            .into_iter()
            .find(|run_ms| *run_ms > 0.0)
    }
}

/// Observations by daemon name.
#[derive(Debug, Default)]
pub struct TargetSelector {
    stats: HashMap<Arc<str>, TargetStats>,
    /// Moving average of answer sizes by route, in bytes.
    answer_bytes: HashMap<Arc<str>, f64>,
}

impl TargetSelector {
    /// Chooses the target with the earliest expected answer out of a few near and a few far ones, and none that was
    /// tried or ejected while another is left. Targets that are full for the call's rank or can't answer within the
    /// limit of the wish come last, and far ones are left out, but for the first try where there is no near one: gates
    /// know better.
    pub fn choose<'a>(
        &self,
        candidates: &'a [CandidateTarget],
        tried: &[Arc<str>],
        wish: TargetWish,
        rng: &mut impl Rng,
        now: TimePoint,
    ) -> Option<&'a CandidateTarget> {
        let untried: Vec<&CandidateTarget> = candidates
            .iter()
            .filter(|target| !tried.contains(&target.name))
            .collect();
        let usual = self.usual_of(candidates);
        let sound = prefer(untried, |target| !self.is_out(&target.name, usual, now));
        let trusted = prefer(sound, |target| !target.is_suspect);
        let (near, far): (Vec<&CandidateTarget>, Vec<&CandidateTarget>) =
            trusted.into_iter().partition(|target| target.is_near);
        let is_open = !wish.only_idle;
        let compared = near.sample(rng, COMPARED).map(|target| (target, 0.0, is_open));
        let is_open = !wish.only_idle && (wish.limit_ms.is_none() || (near.is_empty() && tried.is_empty()));
        let compared = compared.chain(
            far.sample(rng, COMPARED)
                .map(|target| (target, wish.far_ms, is_open)),
        );
        let costs = compared.filter_map(|(target, far_ms, is_open)| {
            let load = self.load_of(target, wish.priority, now);
            let (time_ms, cost_ms) = self.cost_of(target, load, usual);
            let is_idle = !wish.only_idle || load < IDLE_LOAD;
            let is_late = self.is_full(target, wish.priority, now)
                || wish.limit_ms.is_some_and(|limit_ms| time_ms > limit_ms);
            (is_open || (is_idle && !is_late)).then_some((*target, is_late, cost_ms + far_ms))
        });
        // Bytes are worth some time, but not the call.
        let best = costs.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(target, ..)| target)
    }

    /// Returns what the bytes of a call to another data centre are worth, in milliseconds.
    pub fn far_ms(&self, route: &str, request_bytes: usize) -> f64 {
        let answer_bytes = self.answer_bytes.get(route).copied().unwrap_or_default();
        (request_bytes as f64 + answer_bytes + HEAD_BYTES) / 1_024.0 * FAR_MS_PER_KIB
    }

    /// Takes note of the size of an answer.
    pub fn note_size(&mut self, route: &Arc<str>, bytes: usize) {
        if let Some(mean) = self.answer_bytes.get_mut(route) {
            *mean += (bytes as f64 - *mean) * SIZE_WEIGHT;
        } else if self.answer_bytes.len() < MAX_ROUTES {
            self.answer_bytes.insert(Arc::clone(route), bytes as f64);
        }
    }

    /// Takes note of a request of a rank sent to a target.
    pub fn start(&mut self, name: &Arc<str>, priority: u8) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.in_flight.add(priority);
    }

    /// Takes note of an answer, with the load that the target's gate reported.
    pub fn succeed(&mut self, name: &Arc<str>, latency_ms: f64, load: Option<LoadReport>, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failures = 0;
        stats.ejections = 0;
        stats.failure_share *= 1.0 - FAILURE_WEIGHT;
        stats.latency_ms = if stats.latency_ms == 0.0 {
            latency_ms
        } else {
            stats.latency_ms * (1.0 - LATENCY_WEIGHT) + latency_ms * LATENCY_WEIGHT
        };
        if let Some(load) = load {
            stats.note_load(load, now);
        }
    }

    /// Takes note of a load that a gate reported with a refusal.
    pub fn note_load(&mut self, name: &Arc<str>, load: LoadReport, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.note_load(load, now);
    }

    /// Takes note that a gate refused a call of a rank as full.
    pub fn note_full(&mut self, name: &Arc<str>, priority: u8, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.full_rank = if stats.full_until > now {
            stats.full_rank.min(priority)
        } else {
            priority
        };
        stats.full_until = now.after_ms(FULL_MS);
    }

    /// Takes note that a target turned a request away: it is loaded or unwell, but answers.
    pub fn note_shed(&mut self, name: &Arc<str>) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failure_share += (1.0 - stats.failure_share) * FAILURE_WEIGHT;
    }

    /// Takes note of a broken or stalled attempt, or of a gate that is closed. Returns true if the target is now
    /// ejected.
    pub fn fail(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.note_failure(name, false, now)
    }

    /// Takes note that a target answered that it failed. Returns true if it is now ejected, for as long as others fail
    /// less.
    pub fn fail_answer(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        self.note_failure(name, true, now)
    }

    fn note_failure(&mut self, name: &Arc<str>, is_answer: bool, now: TimePoint) -> bool {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failures += 1;
        stats.failure_share += (1.0 - stats.failure_share) * FAILURE_WEIGHT;
        if stats.failures < EJECT_AFTER || stats.ejected_until > now {
            return false;
        }
        let eject_ms = (EJECT_MS << stats.ejections.min(8)).min(MAX_EJECT_MS);
        stats.ejected_until = now.after_ms(eject_ms);
        stats.has_failed_answers = is_answer;
        stats.ejections += 1;
        true
    }

    /// Takes note that a request to a target has ended.
    pub fn end(&mut self, name: &Arc<str>, priority: u8) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.in_flight.remove(priority);
        }
    }

    /// Forgets targets that are not known any more and have nothing in flight.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.stats
            .retain(|name, stats| stats.in_flight.total() > 0 || is_known(name));
    }

    /// Tells whether a target is ejected.
    pub fn is_ejected(&self, name: &str, now: TimePoint) -> bool {
        self.stats
            .get(name)
            .is_some_and(|stats| stats.ejected_until > now)
    }

    /// Tells whether a target gets no calls while another is left.
    fn is_out(&self, name: &str, usual: UsualTarget, now: TimePoint) -> bool {
        let stats = self.stats.get(name).filter(|stats| stats.ejected_until > now);
        stats.is_some_and(|stats| {
            !stats.has_failed_answers || stats.failure_share > usual.failure_share + EXCESS_FAILURES
        })
    }

    /// Tells whether a target refused a call of this rank or a more urgent one as full a moment ago.
    fn is_full(&self, target: &CandidateTarget, priority: u8, now: TimePoint) -> bool {
        let stats = self.stats.get(&target.name);
        stats.is_some_and(|stats| stats.full_until > now && stats.full_rank <= priority)
    }

    /// Returns the calls at a target that go before a new one of a rank, as a part of its slots.
    fn load_of(&self, target: &CandidateTarget, priority: u8, now: TimePoint) -> f64 {
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
            load.max(FULL_LOAD)
        } else {
            load
        }
    }

    /// Returns what is usual of these targets.
    fn usual_of(&self, candidates: &[CandidateTarget]) -> UsualTarget {
        let known: Vec<&TargetStats> = candidates
            .iter()
            .filter_map(|target| self.stats.get(&target.name))
            .collect();
        let run_times: Vec<f64> = known.iter().filter_map(|stats| stats.run_ms()).collect();
        let shares = known.iter().map(|stats| stats.failure_share);
        UsualTarget {
            run_ms: if run_times.is_empty() {
                BASE_LATENCY_MS
            } else {
                run_times.iter().sum::<f64>() / run_times.len() as f64
            },
            failure_share: shares.reduce(f64::min).unwrap_or_default(),
        }
    }

    /// Returns the expected time to an answer, and what it is worth to avoid the target, both in milliseconds.
    fn cost_of(&self, target: &CandidateTarget, load: f64, usual: UsualTarget) -> (f64, f64) {
        let unknown = TargetStats::default();
        let stats = self.stats.get(&target.name).unwrap_or(&unknown);
        let run_ms = stats.run_ms().unwrap_or(usual.run_ms);
        let distance_ms = if target.is_near { 0.0 } else { BASE_LATENCY_MS };
        let runs = 1.0 + load.min(1.0) * LOADED_PART + (load - 1.0).max(0.0);
        let time_ms = run_ms.max(BASE_LATENCY_MS) * runs + distance_ms;
        let failing = (1.0 + FAILURE_COST * stats.failure_share) / (1.0 + FAILURE_COST * usual.failure_share);
        (time_ms, time_ms * failing)
    }
}

/// What the known ones among some targets have in common.
#[derive(Debug, Clone, Copy)]
struct UsualTarget {
    /// Mean time of a run, in milliseconds: a target that was not heard of yet is taken to be like the others, not to be
    /// free of cost.
    run_ms: f64,
    /// Share of failures of the best one.
    failure_share: f64,
}

/// Keeps those that fulfil a wish, or all if none does.
fn prefer(targets: Vec<&CandidateTarget>, wish: impl Fn(&CandidateTarget) -> bool) -> Vec<&CandidateTarget> {
    let wished: Vec<&CandidateTarget> = targets.iter().copied().filter(|target| wish(target)).collect();
    if wished.is_empty() { targets } else { wished }
}
