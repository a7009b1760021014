//! Load: many proxies send short calls to one target that turns cold while all its slots are in use.

use {
    fuchsiashore::{
        clock::TimePoint,
        gate::{ColdPacer, DequeueOutcome, GateAdmission, GateArrival, GateRefusal, GateState, TicketId},
    },
    std::collections::VecDeque,
};

const NOW: TimePoint = TimePoint(1_000_000);
const SLOTS: u32 = 6;
/// Calls that start in a second at most while the target is cold.
const LIMIT: u32 = 18;
/// Run time of a call, in milliseconds; the slots alone would let 60 start in a second.
const RUN_MS: u64 = 100;
/// Time within which an answer is useful, in milliseconds.
const USEFUL_MS: u64 = 400;
/// Time between two arrivals, in milliseconds.
const ARRIVAL_MS: u64 = 10;

fn arrival(now: TimePoint, useful_ms: u64) -> GateArrival {
    GateArrival {
        route: "stock".into(),
        priority: 1,
        useful_until: now.after_ms(useful_ms),
        deadline: now.after_ms(useful_ms * 3),
        start_by: TimePoint::FAR_FUTURE,
        is_nested: false,
    }
}

/// What became of the calls of a play.
#[derive(Default)]
struct GatePlay {
    running: VecDeque<(TimePoint, TicketId)>,
    starts: Vec<TimePoint>,
    refused_at_once: u32,
    refused_later: u32,
}

impl GatePlay {
    fn take(&mut self, outcomes: Vec<DequeueOutcome>, now: TimePoint) {
        for outcome in outcomes {
            match outcome {
                DequeueOutcome::Run(ticket) => self.start(ticket, now),
                DequeueOutcome::Refuse(..) => self.refused_later += 1,
            }
        }
    }

    fn start(&mut self, ticket: TicketId, now: TimePoint) {
        self.running.push_back((now.after_ms(RUN_MS), ticket));
        self.starts.push(now);
    }

    /// Lets calls arrive until `until`, and returns that time.
    fn run(&mut self, gate: &mut GateState, from: TimePoint, until: TimePoint) -> TimePoint {
        let mut now = from;
        while now < until {
            while self.running.front().is_some_and(|(ends_at, _)| *ends_at <= now) {
                let (_, ticket) = self.running.pop_front().unwrap();
                let outcomes = gate.finish(ticket, Some(RUN_MS as f64), now);
                self.take(outcomes, now);
            }
            let (admission, evicted) = gate.arrive(arrival(now, USEFUL_MS), now);
            match admission {
                GateAdmission::Run(ticket) => self.start(ticket, now),
                GateAdmission::Wait(_) => {}
                GateAdmission::Refuse(_) => self.refused_at_once += 1,
            }
            self.take(evicted.into_iter().collect(), now);
            let outcomes = gate.tick(now);
            self.take(outcomes, now);
            now = now.after_ms(ARRIVAL_MS);
        }
        now
    }

    /// Returns the largest number of starts in a second that begins from `from` on.
    fn most_in_a_second(&self, from: TimePoint) -> usize {
        let in_second = |first: &TimePoint| {
            let end = first.after_ms(1_000);
            self.starts
                .iter()
                .filter(|at| **at >= *first && **at < end)
                .count()
        };
        let firsts = self.starts.iter().filter(|at| **at >= from);
        firsts.map(in_second).max().unwrap_or_default()
    }
}

fn open_gate(limit: Option<u32>) -> GateState {
    let mut gate = GateState::new(SLOTS, 24);
    gate.reopen(SLOTS, NOW);
    gate.cold().set_limit(limit);
    gate
}

#[test]
fn cold_target_gets_its_allowance_and_the_rest_is_refused_in_time() {
    let mut gate = open_gate(Some(LIMIT));
    let mut play = GatePlay::default();
    let cold_at = play.run(&mut gate, NOW, NOW.after_ms(2_000));
    assert!(
        play.most_in_a_second(NOW) > 50,
        "a warm target uses all its slots"
    );
    gate.cold().record_announced(cold_at.after_ms(3_000));
    let warm_at = play.run(&mut gate, cold_at, cold_at.after_ms(3_000));
    let most = play.most_in_a_second(cold_at);
    assert!((15..=LIMIT as usize).contains(&most), "{most} starts in a second");
    // Of 300 calls at most 72 start; those that wait in vain are few.
    assert!(
        play.refused_at_once > 200,
        "{} refused at once",
        play.refused_at_once
    );
    assert!(
        play.refused_later < 30,
        "{} refused after a wait",
        play.refused_later
    );
    play.run(&mut gate, warm_at, warm_at.after_ms(2_000));
    assert!(play.most_in_a_second(warm_at) > 50, "the target is warm again");
}

#[test]
fn starts_before_the_target_turned_cold_count() {
    let mut gate = open_gate(Some(LIMIT));
    let mut play = GatePlay::default();
    let cold_at = play.run(&mut gate, NOW, NOW.after_ms(2_000));
    gate.cold().record_announced(cold_at.after_ms(3_000));
    let before = play.starts.len();
    play.run(&mut gate, cold_at, cold_at.after_ms(600));
    assert_eq!(
        play.starts.len(),
        before,
        "the last second had more than the allowance"
    );
}

#[test]
fn target_that_may_be_cold_is_paced_until_it_announces_itself() {
    let mut pacer = ColdPacer::default();
    pacer.set_limit(Some(1));
    pacer.record_start(NOW);
    assert!(pacer.may_start(NOW), "a warm target is not paced");
    pacer.record_uncertain(NOW);
    assert!(!pacer.may_start(NOW));
    pacer.record_announced(NOW);
    assert!(pacer.may_start(NOW));
    pacer.record_uncertain(NOW);
    assert!(
        pacer.may_start(NOW.after_ms(10_000)),
        "announcements that stay out hold nothing up"
    );
}

#[test]
fn call_that_the_pace_makes_late_is_refused_at_once() {
    let mut gate = open_gate(Some(2));
    gate.cold().record_announced(NOW.after_ms(3_000));
    for _ in 0..2 {
        let (admission, _) = gate.arrive(arrival(NOW, 400), NOW);
        assert!(matches!(admission, GateAdmission::Run(_)), "{admission:?}");
    }
    let (admission, _) = gate.arrive(arrival(NOW, 400), NOW);
    assert_eq!(admission, GateAdmission::Refuse(GateRefusal::Full));
    let (admission, _) = gate.arrive(arrival(NOW, 2_000), NOW);
    assert!(matches!(admission, GateAdmission::Wait(_)), "{admission:?}");
}

#[test]
fn deployment_without_an_allowance_is_not_paced() {
    let mut gate = open_gate(None);
    gate.cold().record_announced(NOW.after_ms(3_000));
    let mut play = GatePlay::default();
    play.run(&mut gate, NOW, NOW.after_ms(2_000));
    assert!(play.most_in_a_second(NOW) > 50);
}
