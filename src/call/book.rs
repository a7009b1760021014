//! What this daemon has itself observed of targets, and the choice between them.

use {
    crate::clock::TimePoint,
    rand::{Rng, RngExt},
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
/// Load above which calls spill to other data centres.
const SPILL_LOAD: f64 = 0.8;
/// Time after which a target's own report of its load is forgotten, in milliseconds.
const REPORT_LIFE_MS: u64 = 1_000;

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

/// What was observed of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    in_flight: u32,
    latency_ms: f64,
    failures: u32,
    ejections: u32,
    ejected_until: TimePoint,
    reported_load: u32,
    reported_until: TimePoint,
}

/// Observations by daemon name.
#[derive(Debug, Default)]
pub struct TargetBook {
    stats: HashMap<Arc<str>, TargetStats>,
}

impl TargetBook {
    /// Chooses a target: near ones first unless they are loaded, the better of two random ones, and none that
    /// was tried or ejected while another is left. Returns `None` only if `candidates` holds none that was not
    /// tried.
    pub fn choose<'a>(
        &self,
        candidates: &'a [CandidateTarget],
        tried: &[Arc<str>],
        rng: &mut impl Rng,
        now: TimePoint,
    ) -> Option<&'a CandidateTarget> {
        let untried: Vec<&CandidateTarget> = candidates
            .iter()
            .filter(|target| !tried.contains(&target.name))
            .collect();
        let sound = prefer(untried, |target| !self.is_ejected(&target.name, now));
        let trusted = prefer(sound, |target| !target.is_suspect);
        let close = prefer(trusted, |target| {
            target.is_near && self.load_of(target, now) < SPILL_LOAD
        });
        match close.len() {
            0 => None,
            1 => Some(close[0]),
            count => {
                let first = close[rng.random_range(0..count)];
                let second = close[rng.random_range(0..count)];
                let first_is_better = self.cost_of(first, now) <= self.cost_of(second, now);
                Some(if first_is_better { first } else { second })
            }
        }
    }

    /// Takes note of a request sent to a target.
    pub fn start(&mut self, name: &Arc<str>) {
        self.stats.entry(Arc::clone(name)).or_default().in_flight += 1;
    }

    /// Takes note of an answer, with the load that the target's gate reported.
    pub fn succeed(&mut self, name: &Arc<str>, latency_ms: f64, load: Option<u32>, now: TimePoint) {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failures = 0;
        stats.ejections = 0;
        stats.latency_ms = if stats.latency_ms == 0.0 {
            latency_ms
        } else {
            stats.latency_ms * (1.0 - LATENCY_WEIGHT) + latency_ms * LATENCY_WEIGHT
        };
        if let Some(load) = load {
            stats.reported_load = load;
            stats.reported_until = now.after_ms(REPORT_LIFE_MS);
        }
    }

    /// Takes note of a refusal, a broken or a stalled attempt. Returns true if the target is now ejected.
    pub fn fail(&mut self, name: &Arc<str>, now: TimePoint) -> bool {
        let stats = self.stats.entry(Arc::clone(name)).or_default();
        stats.failures += 1;
        if stats.failures < EJECT_AFTER || stats.ejected_until > now {
            return false;
        }
        let eject_ms = (EJECT_MS << stats.ejections.min(8)).min(MAX_EJECT_MS);
        stats.ejected_until = now.after_ms(eject_ms);
        stats.ejections += 1;
        true
    }

    /// Takes note that a request to a target has ended.
    pub fn end(&mut self, name: &Arc<str>) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Forgets targets that are not known any more and have nothing in flight.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.stats
            .retain(|name, stats| stats.in_flight > 0 || is_known(name));
    }

    /// Tells whether a target is ejected.
    pub fn is_ejected(&self, name: &str, now: TimePoint) -> bool {
        self.stats
            .get(name)
            .is_some_and(|stats| stats.ejected_until > now)
    }

    fn load_of(&self, target: &CandidateTarget, now: TimePoint) -> f64 {
        let Some(stats) = self.stats.get(&target.name) else {
            return 0.0;
        };
        let reported = if stats.reported_until > now {
            stats.reported_load
        } else {
            0
        };
        f64::from(stats.in_flight.max(reported)) / f64::from(target.slots.max(1))
    }

    fn cost_of(&self, target: &CandidateTarget, now: TimePoint) -> f64 {
        let latency_ms = self.stats.get(&target.name).map_or(0.0, |stats| stats.latency_ms);
        let distance_ms = if target.is_near { 0.0 } else { BASE_LATENCY_MS };
        (self.load_of(target, now) + 0.1) * (latency_ms.max(BASE_LATENCY_MS) + distance_ms)
    }
}

/// Keeps those that fulfil a wish, or all if none does.
fn prefer(targets: Vec<&CandidateTarget>, wish: impl Fn(&CandidateTarget) -> bool) -> Vec<&CandidateTarget> {
    let wished: Vec<&CandidateTarget> = targets.iter().copied().filter(|target| wish(target)).collect();
    if wished.is_empty() { targets } else { wished }
}
