//! Ways in which a daemon chooses a target by what it knows of all of them.

use {
    crate::{
        call::{CandidateTarget, LoadReport, TargetCriteria, TargetNeed, TargetSelector},
        clock::TimePoint,
    },
    rand::{Rng, RngExt, seq::IteratorRandom},
    std::sync::Arc,
};

/// Number of targets that the product compared before.
const FORMER_SAMPLE: usize = 5;
/// Fraction by which the product before expected a run to take longer at a target whose slots are all in use.
const FORMER_SLOWDOWN: f64 = 0.5;

/// How a daemon chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// The product.
    Product,
    /// The product before: the least expected answer time of five, by the larger of the reported and the own calls.
    Former,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
    /// The lesser load of two.
    LeastOfTwo,
    /// The least load.
    LeastOfAll,
}

impl ChoiceRule {
    /// All rules, the product's first.
    pub const ALL: [Self; 6] = [
        Self::Product,
        Self::Former,
        Self::Random,
        Self::RoundRobin,
        Self::LeastOfTwo,
        Self::LeastOfAll,
    ];

    /// Returns the name in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Former => "product before",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastOfTwo => "least of two",
            Self::LeastOfAll => "least of all",
        }
    }
}

/// What one daemon knows.
#[derive(Debug)]
pub(super) struct DaemonView {
    selector: TargetSelector,
    reports: Vec<LoadReport>,
    own: Vec<u32>,
    last: usize,
}

impl DaemonView {
    pub(super) fn new(targets: usize, last: usize) -> Self {
        Self {
            selector: TargetSelector::default(),
            reports: vec![LoadReport::default(); targets],
            own: vec![0; targets],
            last,
        }
    }

    /// Learns the load of a target.
    pub(super) fn learn(&mut self, target: &CandidateTarget, at: usize, load: LoadReport, now: TimePoint) {
        self.reports[at] = load;
        // A report comes with a call that is still in flight.
        self.selector.record_start(&target.name, 0);
        self.selector.record_load(&target.name, load, 0, now);
        self.selector.record_end(&target.name, 0);
        if load.route_run_ms > 0.0 {
            self.selector
                .record_route_run(&target.name, &"route".into(), load.route_run_ms);
        }
    }

    pub(super) fn begin(&mut self, target: &CandidateTarget, at: usize) {
        self.own[at] += 1;
        self.selector.record_start(&target.name, 0);
    }

    pub(super) fn end(&mut self, target: &CandidateTarget, at: usize) {
        self.own[at] -= 1;
        self.selector.record_end(&target.name, 0);
    }

    pub(super) fn record_refusal(&mut self, target: &CandidateTarget, now: TimePoint) {
        self.selector.record_full(&target.name, 0, now);
    }

    /// Chooses a target that has not been tried.
    pub(super) fn choose(
        &mut self,
        rule: ChoiceRule,
        targets: &[CandidateTarget],
        tried: &[usize],
        (useful_ms, now): (f64, TimePoint),
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let untried = (0..targets.len()).filter(|at| !tried.contains(at));
        let load = |at: &usize| {
            let calls = self.reports[*at].running + self.reports[*at].waiting.total();
            f64::from(calls.max(self.own[*at])) / f64::from(targets[*at].slots)
        };
        let least = |of: Vec<usize>| of.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)));
        match rule {
            ChoiceRule::Product => {
                let names: Vec<Arc<str>> = tried.iter().map(|at| Arc::clone(&targets[*at].name)).collect();
                let criteria = TargetCriteria {
                    route: "route",
                    limit_ms: Some(useful_ms),
                    need: if tried.is_empty() {
                        TargetNeed::Any
                    } else {
                        TargetNeed::Room
                    },
                    ..TargetCriteria::default()
                };
                let chosen = self.selector.choose(targets, &names, criteria, rng, now).ok()?;
                targets.iter().position(|target| target.name == chosen.name)
            }
            ChoiceRule::Former => {
                let cost = |at: &usize| {
                    let run_ms = self.reports[*at].run_ms.max(1.0);
                    let load = load(at);
                    run_ms * (1.0 + load.min(1.0) * FORMER_SLOWDOWN + (load - 1.0).max(0.0))
                };
                let sample = untried.sample(rng, FORMER_SAMPLE).into_iter();
                sample.min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
            ChoiceRule::Random => untried.choose(rng),
            ChoiceRule::RoundRobin => {
                self.last += 1;
                let mut next = (0..targets.len()).map(|step| (self.last + step) % targets.len());
                next.find(|at| !tried.contains(at))
            }
            ChoiceRule::LeastOfTwo => least(untried.sample(rng, 2)),
            ChoiceRule::LeastOfAll => {
                // Equal ones are chosen at random.
                let first = rng.random_range(0..targets.len());
                let turned = (0..targets.len()).map(|step| (first + step) % targets.len());
                least(turned.filter(|at| !tried.contains(at)).collect())
            }
        }
    }
}
