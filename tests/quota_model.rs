//! Model of daemons that share a quota, over faults of network and processes, with the shipped decisions.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::CallQuota,
        organisations::{
            QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_MS, QuotaAnswer, QuotaAsk, QuotaDecision, TokenHolder,
            TokenOwner,
        },
    },
    proptest::{prelude::*, test_runner::TestRunner},
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, ops::Range, sync::Arc},
};

/// Time between two steps of the model, in milliseconds.
const STEP_MS: u64 = 10;
/// Time for which a call waits for a token, in milliseconds.
const WAIT_MS: u64 = 100;
/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 16_000;
/// Time from which the used share counts; processes have started by then.
const COUNTED_FROM_MS: u64 = 5_000;

/// Fault of the shipped decisions that the model has to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// A daemon supports another owner at once.
    NoWait,
    /// Each side of a cut takes itself for the whole.
    ShrunkCount,
    /// Support lasts by the clocks of daemons, which are ahead.
    SenderClock,
}

/// What befalls the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Calm,
    Loss,
    /// A group is cut off, both ways or one way, from 6 to 10 s.
    Cut {
        one_way: bool,
    },
    /// Daemons are paused for 0.1 to 10 s; messages wait.
    Pauses,
    Kills,
    /// Daemons disagree on the owner, and change their mind.
    Views,
    All,
}

#[derive(Debug)]
enum Message {
    Ask(QuotaAsk),
    Answer(QuotaAnswer),
}

struct ModelDaemon {
    holder: TokenHolder,
    owner: TokenOwner,
    /// Added to the model's time; clocks differ.
    offset_ms: u64,
    paused_until: u64,
    first: usize,
    waiting: VecDeque<u64>,
    /// Demand, in calls per second.
    demand: f64,
    due: f64,
}

struct QuotaModel {
    daemons: Vec<ModelDaemon>,
    messages: Vec<(u64, usize, usize, Message)>,
    quota: CallQuota,
    trouble: Trouble,
    planted: PlantedFault,
    /// Probability of another view of who the owner is.
    changes_per_step: f64,
    kills_per_step: f64,
    rng: SmallRng,
    now: u64,
    runs: Vec<u64>,
    asked: usize,
    sent: usize,
}

/// Time during which the daemons that are far are cut off.
const CUT_MS: Range<u64> = 6_000..10_000;

fn is_far(number: usize) -> bool {
    number.is_multiple_of(3)
}

fn name(number: usize) -> Arc<str> {
    format!("d-{number}").into()
}

impl QuotaModel {
    fn new(count: usize, quota: CallQuota, load: f64, is_skewed: bool, trouble: Trouble, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemons = (0..count).map(|number| {
            let offset_ms = rng.random_range(0..1_000_000);
            let started_at = TimePoint(offset_ms);
            let share = match (is_skewed, number) {
                (false, _) => 1.0 / count as f64,
                (true, 1) => 0.9,
                (true, _) => 0.1 / count as f64,
            };
            ModelDaemon {
                holder: TokenHolder::new(name(number), started_at),
                owner: TokenOwner::new(name(number), started_at),
                offset_ms,
                paused_until: 0,
                first: 0,
                waiting: VecDeque::new(),
                demand: quota.rate_per_s * load * share,
                due: 0.0,
            }
        });
        Self {
            daemons: daemons.collect(),
            messages: Vec::new(),
            quota,
            trouble,
            planted: PlantedFault::None,
            changes_per_step: 0.002,
            kills_per_step: 0.001,
            rng,
            now: 0,
            runs: Vec::new(),
            asked: 0,
            sent: 0,
        }
    }

    fn clock(&self, number: usize) -> TimePoint {
        TimePoint(self.daemons[number].offset_ms + self.now)
    }

    fn has(&self, troubles: &[Trouble]) -> bool {
        self.trouble == Trouble::All || troubles.contains(&self.trouble)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let one_way = match self.trouble {
            Trouble::Cut { one_way } => one_way,
            Trouble::All => true,
            _ => return false,
        };
        CUT_MS.contains(&self.now)
            && (if one_way {
                is_far(from) && !is_far(to)
            } else {
                is_far(from) != is_far(to)
            })
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent += 1;
        if self.is_cut(from, to) || (self.has(&[Trouble::Loss]) && self.rng.random_bool(0.2)) {
            return;
        }
        let is_late = self.has(&[Trouble::Loss]) && self.rng.random_bool(0.1);
        let delay = if is_late {
            self.rng.random_range(100..3_000)
        } else {
            10
        };
        self.messages.push((self.now + delay, from, to, message));
    }

    /// Returns the owner that a daemon takes for the first one: those that are cut off have one of their own.
    fn first(&self, number: usize) -> usize {
        let is_alone = self.trouble == (Trouble::Cut { one_way: false }) && CUT_MS.contains(&self.now);
        if is_alone && !is_far(number) {
            return 1;
        }
        self.daemons[number].first
    }

    /// Returns the number of daemons that an owner knows, which includes those that it can't reach.
    fn known_daemons(&self, number: usize) -> usize {
        let is_known = |other: &usize| is_far(*other) == is_far(number) || !CUT_MS.contains(&self.now);
        match self.planted {
            PlantedFault::ShrunkCount => (0..self.daemons.len()).filter(is_known).count(),
            _ => self.daemons.len(),
        }
    }

    /// Brings troubles about.
    fn disturb(&mut self, number: usize) {
        let now = self.clock(number);
        let daemon = &mut self.daemons[number];
        if self.now < 4_000 {
            return;
        }
        let all = self.trouble == Trouble::All;
        if (all || self.trouble == Trouble::Pauses) && self.rng.random_bool(0.001) {
            daemon.paused_until = self.now + self.rng.random_range(100..10_000);
        }
        if (all || self.trouble == Trouble::Views) && self.rng.random_bool(self.changes_per_step) {
            daemon.first = self.rng.random_range(0..3);
            if self.planted == PlantedFault::NoWait {
                daemon.holder = TokenHolder::new(name(number), now.before_ms(5_000));
                daemon.waiting.clear();
            }
        }
        let is_kill_due = self.now > COUNTED_FROM_MS && (all || self.trouble == Trouble::Kills);
        if is_kill_due && self.rng.random_bool(self.kills_per_step) {
            daemon.holder = TokenHolder::new(name(number), now);
            daemon.owner = TokenOwner::new(name(number), now);
            daemon.waiting.clear();
        }
    }

    fn decide(&mut self, number: usize, is_waiting: bool) -> bool {
        let now = self.clock(number);
        let daemon = &mut self.daemons[number];
        match daemon.holder.decide(&"north".into(), is_waiting, now) {
            QuotaDecision::Run(_) => self.runs.push(self.now),
            QuotaDecision::Ask => return false,
            QuotaDecision::Refuse(_) => {}
        }
        true
    }

    fn step(&mut self) {
        let due: Vec<_> = {
            let (now, daemons) = (self.now, &self.daemons);
            self.messages
                .extract_if(.., |(at, _, to, _)| {
                    *at <= now && daemons[*to].paused_until <= now
                })
                .collect()
        };
        for (_, from, to, message) in due {
            let now = self.clock(to);
            match message {
                Message::Ask(mut ask) => {
                    if self.planted == PlantedFault::SenderClock {
                        ask.echo = ask.echo.map(|(life, at)| (life, at.after_ms(5_000)));
                    }
                    let (count, quota) = (self.known_daemons(to), self.quota);
                    let answer = self.daemons[to].owner.answer(&ask, count, |_| Some(quota), now);
                    if let Some(answer) = answer {
                        self.send(to, from, Message::Answer(answer));
                    }
                }
                Message::Answer(answer) => {
                    self.daemons[to].holder.receive(&answer, now);
                    for _ in 0..self.daemons[to].waiting.len() {
                        if self.decide(to, true) {
                            self.daemons[to].waiting.pop_front();
                        }
                    }
                }
            }
        }
        for number in 0..self.daemons.len() {
            self.disturb(number);
            if self.daemons[number].paused_until > self.now {
                continue;
            }
            self.daemons[number].due += self.daemons[number].demand * STEP_MS as f64 / 1e3;
            let share = self.daemons[number].due.fract();
            let extra = self.rng.random_bool(share);
            let calls = self.daemons[number].due as usize + usize::from(extra);
            self.daemons[number].due = 0.0;
            for _ in 0..calls {
                self.asked += usize::from(self.now >= COUNTED_FROM_MS);
                if !self.decide(number, false) {
                    let now = self.now;
                    self.daemons[number].waiting.push_back(now);
                }
            }
            let now = self.now;
            let daemon = &mut self.daemons[number];
            while daemon.waiting.front().is_some_and(|since| since + WAIT_MS < now) {
                daemon.waiting.pop_front();
                daemon.holder.give_up("north");
            }
            let (clock, first) = (self.clock(number), self.first(number));
            if let Some(ask) = self.daemons[number].holder.next_ask(&name(first), clock) {
                self.send(number, first, Message::Ask(ask));
            }
        }
        self.now += STEP_MS;
    }

    fn play(mut self) -> PlayResult {
        while self.now < PLAY_MS {
            self.step();
        }
        let in_window = self.quota.rate_per_s * QUOTA_WINDOW_MS as f64 / 1e3 + self.quota.burst;
        let bound = in_window * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
        let mut most = 0;
        for (at, run) in self.runs.iter().enumerate() {
            let first = self.runs.partition_point(|other| other + QUOTA_WINDOW_MS <= *run);
            most = most.max(at + 1 - first);
        }
        let counted_s = (PLAY_MS - COUNTED_FROM_MS) as f64 / 1e3;
        let owed = (self.quota.rate_per_s * counted_s).min(self.asked as f64);
        let runs = self.runs.iter().filter(|run| **run >= COUNTED_FROM_MS).count();
        PlayResult {
            excess: most as f64 / bound,
            used: runs as f64 / owed.max(1.0),
            messages_per_call: self.sent as f64 / self.runs.len().max(1) as f64,
        }
    }
}

/// Result of a play.
#[derive(Debug)]
struct PlayResult {
    /// Most runs in a window, relative to the bound.
    excess: f64,
    /// Runs relative to what was asked for within the quota.
    used: f64,
    messages_per_call: f64,
}

const TROUBLES: [Trouble; 8] = [
    Trouble::Calm,
    Trouble::Loss,
    Trouble::Cut { one_way: false },
    Trouble::Cut { one_way: true },
    Trouble::Pauses,
    Trouble::Kills,
    Trouble::Views,
    Trouble::All,
];

fn quota(rate_per_s: f64, burst: f64) -> CallQuota {
    CallQuota { rate_per_s, burst }
}

fn assert_bound(count: usize, cases: u32) {
    let mut runner = TestRunner::new_with_rng(
        ProptestConfig {
            cases,
            failure_persistence: None,
            ..ProptestConfig::default()
        },
        proptest::test_runner::TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha),
    );
    let plays = (
        any::<u64>(),
        0..TROUBLES.len(),
        5.0..600.0_f64,
        0.0..2.0_f64,
        prop_oneof![Just(0.5), Just(1.0), Just(8.0)],
        any::<bool>(),
    );
    let result = runner.run(&plays, |(seed, trouble, rate, seconds, load, is_skewed)| {
        let quota = quota(rate, rate * seconds);
        let result = QuotaModel::new(count, quota, load, is_skewed, TROUBLES[trouble], seed).play();
        prop_assert!(result.excess <= 1.0, "{:?}: {result:?}", TROUBLES[trouble]);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn no_window_is_over_its_bound_with_8_daemons() {
    assert_bound(8, 160);
}

#[test]
fn no_window_is_over_its_bound_with_82_daemons() {
    assert_bound(82, 8);
}

/// Load: demand at eight times the quota, even and at one daemon, and demand at half of it.
#[test]
fn quota_is_used() {
    for (count, rate) in [(8, 40.0), (82, 5.0), (82, 614.0)] {
        for trouble in TROUBLES {
            for (load, is_skewed) in [(0.5, false), (1.0, false), (8.0, false), (8.0, true)] {
                let result = QuotaModel::new(count, quota(rate, rate), load, is_skewed, trouble, 7).play();
                println!(
                    "{count} daemons, {rate}/s, load {load}, skewed {is_skewed}, {trouble:?}: used {:.3}, most {:.3} of \
                     the bound, {:.2} messages a call",
                    result.used, result.excess, result.messages_per_call
                );
                if trouble == Trouble::Calm {
                    assert!(result.used >= 0.95, "{result:?}");
                }
            }
        }
    }
}

#[test]
fn planted_faults_are_noticed() {
    let quota = quota(200.0, 20.0);
    for (planted, trouble) in [
        (PlantedFault::NoWait, Trouble::Views),
        (PlantedFault::ShrunkCount, Trouble::Cut { one_way: false }),
        (PlantedFault::SenderClock, Trouble::Views),
    ] {
        let count_noticed = |planted| {
            let excesses = (0..60).filter(|seed| {
                let mut model = QuotaModel::new(8, quota, 8.0, false, trouble, *seed);
                model.planted = planted;
                model.changes_per_step = 0.01;
                model.kills_per_step = 0.002;
                model.play().excess > 1.0
            });
            excesses.count()
        };
        let noticed = count_noticed(planted);
        println!("{planted:?}: noticed in {noticed} of 60 plays");
        assert!(noticed > 0, "{planted:?}");
        assert_eq!(count_noticed(PlantedFault::None), 0, "without {planted:?}");
    }
}
