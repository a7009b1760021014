//! Quotas of one daemon over their owners: silence of an owner, and groups of organisations.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::CallQuota,
        organisations::{QuotaDecision, QuotaDesk},
    },
    std::{collections::BTreeSet, sync::Arc},
};

const START: TimePoint = TimePoint(1_000_000);
/// Time between two ticks of the control thread, in milliseconds.
const TICK_MS: u64 = 50;

const QUOTA: CallQuota = CallQuota {
    rate_per_s: 50.0,
    burst: 10.0,
};

/// Two daemons, of which `alive` answer asks.
struct DeskPair {
    desks: Vec<(Arc<str>, QuotaDesk)>,
    alive: BTreeSet<&'static str>,
    now: TimePoint,
}

impl DeskPair {
    fn new() -> Self {
        let names = ["a", "b"].map(Arc::<str>::from);
        Self {
            desks: names
                .iter()
                .map(|name| (Arc::clone(name), QuotaDesk::new(name, START)))
                .collect(),
            alive: BTreeSet::from(["a", "b"]),
            now: START,
        }
    }

    /// Passes the asks and answers of the daemons that live. Returns the owners that were asked.
    fn tick(&mut self) -> BTreeSet<Arc<str>> {
        self.now = self.now.after_ms(TICK_MS);
        let mut asked = BTreeSet::new();
        for from in 0..self.desks.len() {
            if !self.alive.contains(&*self.desks[from].0) {
                continue;
            }
            for (group, owner, ask) in self.desks[from].1.next_asks(&["a", "b"], self.now) {
                let at = self.desks.iter().position(|(name, _)| *name == owner).unwrap();
                let is_alive = self.alive.contains(&*owner);
                asked.insert(owner);
                let answer =
                    is_alive.then(|| self.desks[at].1.answer(group, &ask, 2, |_| Some(QUOTA), self.now));
                if let Some(answer) = answer.flatten() {
                    self.desks[from].1.receive(group, &answer, self.now);
                }
            }
        }
        asked
    }

    /// Makes a call of each organisation at the first daemon in each tick for a time. Returns how many ran.
    fn runs(&mut self, ms: u64, organisations: &[Arc<str>]) -> usize {
        let mut runs = 0;
        for _ in 0..ms / TICK_MS {
            let now = self.now;
            let decide = |desk: &mut QuotaDesk, organisation: &Arc<str>, is_waiting| {
                desk.decide(organisation, is_waiting, now)
            };
            let mut waiting = Vec::new();
            for organisation in organisations {
                match decide(&mut self.desks[0].1, organisation, false) {
                    QuotaDecision::Run(_) => runs += 1,
                    QuotaDecision::Ask => waiting.push(organisation),
                    QuotaDecision::Refuse(_) => {}
                }
            }
            self.tick();
            for organisation in waiting {
                let desk = &mut self.desks[0].1;
                match decide(desk, organisation, true) {
                    QuotaDecision::Run(_) => runs += 1,
                    QuotaDecision::Ask => desk.give_up(organisation),
                    QuotaDecision::Refuse(_) => {}
                }
            }
        }
        runs
    }
}

fn organisations() -> Vec<Arc<str>> {
    (0..40).map(|number| format!("o-{number}").into()).collect()
}

/// Load: many organisations of small demand.
#[test]
fn groups_of_organisations_have_different_owners() {
    let mut pair = DeskPair::new();
    let mut asked = BTreeSet::new();
    for _ in 0..80 {
        asked.extend(pair.tick());
    }
    assert_eq!(asked.len(), 2, "one daemon owns all quotas");
}

/// Load: calls of all organisations while the owner of some of them is silent, without any word of its end.
#[test]
fn owner_that_is_silent_is_replaced() {
    let mut pair = DeskPair::new();
    let organisations = organisations();
    pair.runs(3_000, &organisations);
    let before = pair.runs(2_000, &organisations);
    pair.alive.remove("b");
    pair.runs(4_000, &organisations);
    let after = pair.runs(2_000, &organisations);
    assert!(before > 0);
    // The part of the silent daemon is not granted, as it may live beyond a cut.
    assert!(after * 3 >= before, "{after} calls ran, {before} before");
}
