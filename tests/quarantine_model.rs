//! A simulated fleet whose targets end under some requests: how many do so, and whether sound requests are held back.

use {
    fuchsiashore::{
        clock::TimePoint,
        member::best_ranked,
        quarantine::{
            CallFingerprints, ENDS_TO_HOLD, QuarantineNotice, QuarantineState, RequestHead, RequestStanding,
            RunId, RunTurn,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Time of a simulated day, in milliseconds.
const DAY_MS: u64 = 20_000;
/// Time after the third end of targets under a request by which no daemon that is in touch begins another run of it, in
/// milliseconds: the last repetition of a notice has come by then.
const SPREAD_LIMIT_MS: u64 = 1_250;
/// Time until an ended target serves again, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// Times after which a notice is sent once more, in milliseconds.
const REPEATS_MS: [u64; 2] = [250, 1_000];
/// Time after a restart or a suspension for which a daemon may not have heard of everything, in milliseconds.
const OUT_OF_TOUCH_MS: u64 = 3_000;
/// Version of the targets.
const VERSION: &str = "v1";
/// Slots of each target.
const SLOTS: usize = 12;
/// Time for which a deadly request is held back first, in milliseconds: longer than a day.
const HOLD_MS: u64 = 30_000;

/// What strikes the fleet besides requests.
#[derive(Debug, Clone, Copy, Default)]
struct Troubles {
    /// Share of notices that are lost.
    loss: f64,
    /// Longest delay of a notice, in milliseconds.
    max_delay_ms: u64,
    /// Mean time between two ends of random targets, in milliseconds; 0 if there are none.
    crash_interval_ms: u64,
    /// Whether all targets end at half of the day.
    crashes_service: bool,
    /// Mean time between two restarts of random daemons, in milliseconds; 0 if there are none.
    restart_interval_ms: u64,
    /// Mean time between two suspensions of random daemons, in milliseconds; 0 if there are none.
    freeze_interval_ms: u64,
}

#[derive(Debug, Clone)]
struct Call {
    fingerprints: CallFingerprints,
    is_deadly: bool,
    repeatable: bool,
    ends: u32,
    tried: Vec<usize>,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Gate { gate: usize, proxy: usize, call: Call },
    Finish { gate: usize, run: RunId, start: u64 },
    TargetEnds { gate: usize, start: u64 },
    TargetStarts { gate: usize },
    Notice { to: usize, notice: QuarantineNotice },
    Repeat { from: usize, notice: QuarantineNotice },
    CrashOne,
    CrashAll,
    RestartDaemon,
    FreezeDaemon,
}

struct Daemon {
    name: String,
    state: QuarantineState,
    is_up: bool,
    /// Number of the target's start.
    start: u64,
    frozen_until: u64,
    /// Until when it may not have heard of everything.
    out_of_touch_until: u64,
    running: BTreeMap<RunId, (usize, Call, bool)>,
    waiting: Vec<(usize, Call)>,
}

/// What a day showed.
#[derive(Debug, Default)]
struct DayReport {
    ends: usize,
    /// Restarts and suspensions of daemons.
    outages: usize,
    /// Runs of a deadly request that daemons in touch began later than [`SPREAD_LIMIT_MS`] after the third end under it.
    late_runs: usize,
    /// Runs of a deadly request that began after the third end under it.
    further_runs: usize,
    /// Sound requests that were held back.
    wrongly_held: usize,
    sound: usize,
    served: usize,
}

struct Fleet {
    daemons: Vec<Daemon>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    now: u64,
    rng: SmallRng,
    troubles: Troubles,
    calls_per_s: u64,
    deadly_share: f64,
    deadly_repeatable: bool,
    /// Ends under each deadly request, and when the third came.
    ends_of: HashMap<CallFingerprints, (usize, u64)>,
    held: HashSet<CallFingerprints>,
    report: DayReport,
    /// Number of events so far.
    number: u64,
    /// Number of calls so far.
    calls: u64,
}

fn fingerprints(path: &str, body: Option<&[u8]>) -> CallFingerprints {
    let head = RequestHead {
        route: "stock",
        method: "GET",
        host: "shop.example",
        path,
    };
    CallFingerprints::of(head, body)
}

impl Fleet {
    fn new(size: usize, seed: u64, deadly_share: f64, troubles: Troubles) -> Self {
        let daemons = (0..size).map(|number| Daemon {
            name: format!("daemon-{number}"),
            state: QuarantineState::new(format!("daemon-{number}").into(), 1, HOLD_MS),
            is_up: true,
            start: 0,
            frozen_until: 0,
            out_of_touch_until: 0,
            running: BTreeMap::new(),
            waiting: Vec::new(),
        });
        let mut fleet = Self {
            daemons: daemons.collect(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            troubles,
            calls_per_s: size as u64 * 15,
            deadly_share,
            deadly_repeatable: seed.is_multiple_of(2),
            ends_of: HashMap::new(),
            held: HashSet::new(),
            report: DayReport::default(),
            number: 0,
            calls: 0,
        };
        fleet.push(0, Event::Arrive);
        fleet.schedule(troubles.crash_interval_ms, Event::CrashOne);
        fleet.schedule(troubles.restart_interval_ms, Event::RestartDaemon);
        fleet.schedule(troubles.freeze_interval_ms, Event::FreezeDaemon);
        if troubles.crashes_service {
            fleet.push(DAY_MS / 2, Event::CrashAll);
        }
        fleet
    }

    fn time(&self) -> TimePoint {
        TimePoint(1_000_000 + self.now)
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.number += 1;
        self.payloads.insert(self.number, event);
        self.events.push(Reverse((self.now + after_ms, self.number)));
    }

    fn schedule(&mut self, interval_ms: u64, event: Event) {
        if interval_ms > 0 {
            let after_ms = self.rng.random_range(interval_ms / 2..=interval_ms * 3 / 2);
            self.push(after_ms, event);
        }
    }

    fn play(mut self) -> DayReport {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > DAY_MS {
                break;
            }
            self.now = at;
            let event = self.payloads.remove(&number).unwrap();
            self.handle(event);
        }
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Gate { gate, proxy, call } => self.enter_gate(gate, proxy, call),
            Event::Finish { gate, run, start } => self.finish(gate, run, start),
            Event::TargetEnds { gate, start } if self.daemons[gate].start == start => self.end_target(gate),
            Event::TargetEnds { .. } => {}
            Event::TargetStarts { gate } => self.daemons[gate].is_up = true,
            Event::Notice { to, notice } => self.receive(to, notice),
            Event::Repeat { from, notice } => self.broadcast(from, &notice),
            Event::CrashOne => {
                let gate = self.rng.random_range(0..self.daemons.len());
                self.end_target(gate);
                self.schedule(self.troubles.crash_interval_ms, Event::CrashOne);
            }
            Event::CrashAll => (0..self.daemons.len()).for_each(|gate| self.end_target(gate)),
            Event::RestartDaemon => {
                let at = self.rng.random_range(0..self.daemons.len());
                let size = self.daemons.len();
                let peers = (1..size).map(|step| (at + step) % size);
                let peers: Vec<usize> = peers.filter(|peer| !self.is_frozen(*peer)).take(2).collect();
                let name: Arc<str> = self.daemons[at].name.clone().into();
                let mut state = QuarantineState::new(name, self.now, HOLD_MS);
                for peer in peers {
                    let records = self.daemons[peer].state.records(self.time());
                    state.merge(records, self.time());
                }
                self.daemons[at].state = state;
                self.daemons[at].running.clear();
                self.daemons[at].waiting.clear();
                self.daemons[at].out_of_touch_until = self.now + OUT_OF_TOUCH_MS;
                self.report.outages += 1;
                self.schedule(self.troubles.restart_interval_ms, Event::RestartDaemon);
            }
            Event::FreezeDaemon => {
                let at = self.rng.random_range(0..self.daemons.len());
                self.daemons[at].frozen_until = self.now + 4_000;
                self.daemons[at].out_of_touch_until = self.now + 4_000 + OUT_OF_TOUCH_MS;
                self.report.outages += 1;
                self.schedule(self.troubles.freeze_interval_ms, Event::FreezeDaemon);
            }
        }
    }

    /// Returns whether a daemon is suspended.
    fn is_frozen(&self, daemon: usize) -> bool {
        self.daemons[daemon].frozen_until > self.now
    }

    fn arrive(&mut self) {
        self.push(1, Event::Arrive);
        let mean = self.calls_per_s as f64 / 1_000.0;
        let further = usize::from(self.rng.random::<f64>() < mean.fract());
        for _ in 0..mean as usize + further {
            self.arrive_one();
        }
    }

    fn arrive_one(&mut self) {
        let proxy = self.rng.random_range(0..self.daemons.len());
        if self.is_frozen(proxy) {
            return;
        }
        let draw: f64 = self.rng.random();
        let is_deadly = self.now > DAY_MS / 4 && draw < self.deadly_share;
        self.calls += 1;
        let number = self.calls;
        let (fingerprints, repeatable) = if is_deadly {
            // What may not be repeated has another body each time.
            let body = (!self.deadly_repeatable).then(|| number.to_le_bytes());
            let body = body.as_ref().map(|body| &body[..]);
            (fingerprints("/stock/deadly", body), self.deadly_repeatable)
        } else if draw > 0.7 {
            (fingerprints("/stock/hot", None), true)
        } else {
            (fingerprints(&format!("/stock/{number}"), None), draw > 0.4)
        };
        self.report.sound += usize::from(!is_deadly);
        self.send(
            proxy,
            Call {
                fingerprints,
                is_deadly,
                repeatable,
                ends: 0,
                tried: Vec::new(),
            },
        );
    }

    /// Chooses a target as a proxy does, and sends the call there.
    fn send(&mut self, proxy: usize, mut call: Call) {
        if call.tried.len() >= 4 || call.ends >= 2 {
            return;
        }
        let standing = self.daemons[proxy]
            .state
            .standing(&call.fingerprints, VERSION, self.time());
        let untried: Vec<usize> = (0..self.daemons.len())
            .filter(|gate| !call.tried.contains(gate))
            .collect();
        let gate = match standing {
            RequestStanding::Held(_) => return self.note_held(&call),
            RequestStanding::Free if call.ends == 0 => *untried.choose(&mut self.rng).unwrap(),
            RequestStanding::Free | RequestStanding::Suspect => {
                let names = untried.iter().map(|gate| &*self.daemons[*gate].name);
                let job = call.fingerprints.head.to_string();
                let name = best_ranked(&job, names, 1)[0];
                let at = untried.iter().find(|gate| self.daemons[**gate].name == name);
                *at.unwrap()
            }
        };
        call.tried.push(gate);
        let delay_ms = self.rng.random_range(1..=4);
        self.push(delay_ms, Event::Gate { gate, proxy, call });
    }

    fn enter_gate(&mut self, gate: usize, proxy: usize, call: Call) {
        if self.is_frozen(gate) {
            return;
        }
        let now = self.time();
        let daemon = &mut self.daemons[gate];
        if !daemon.is_up || daemon.running.len() >= SLOTS {
            return self.send(proxy, call);
        }
        let turn = daemon.state.take_turn(&call.fingerprints, VERSION, now);
        let has_turn = match turn {
            RunTurn::Held(_) => return self.note_held(&call),
            RunTurn::Wait => return daemon.waiting.push((proxy, call)),
            RunTurn::Taken => true,
            RunTurn::Free => false,
        };
        let run = daemon.state.runs().start(call.fingerprints, "".into(), now);
        let start = daemon.start;
        if call.is_deadly {
            let (ends, third_at) = self.ends_of.get(&key(&call)).copied().unwrap_or_default();
            if ends >= ENDS_TO_HOLD {
                self.report.further_runs += 1;
                let is_in_touch = self.daemons[gate].out_of_touch_until < self.now;
                self.report.late_runs += usize::from(is_in_touch && self.now > third_at + SPREAD_LIMIT_MS);
            }
            let after_ms = self.rng.random_range(40..=100);
            self.push(after_ms, Event::TargetEnds { gate, start });
        } else {
            let after_ms = self.rng.random_range(20..=300);
            self.push(after_ms, Event::Finish { gate, run, start });
        }
        self.daemons[gate].running.insert(run, (proxy, call, has_turn));
    }

    fn finish(&mut self, gate: usize, run: RunId, start: u64) {
        let daemon = &mut self.daemons[gate];
        if daemon.start != start {
            return;
        }
        let Some((proxy, call, has_turn)) = daemon.running.remove(&run) else {
            return;
        };
        daemon.state.runs().finish(run);
        let notices = daemon.state.clear(&call.fingerprints, &VERSION.into());
        self.report.served += 1;
        self.daemons[proxy]
            .state
            .end_suspicion(&call.fingerprints, VERSION);
        self.release(gate, &call, has_turn);
        for notice in &notices {
            self.publish(gate, notice);
        }
    }

    fn release(&mut self, gate: usize, call: &Call, has_turn: bool) {
        if has_turn {
            self.daemons[gate].state.end_turn(&call.fingerprints);
        }
        let waiting = std::mem::take(&mut self.daemons[gate].waiting);
        for (proxy, call) in waiting {
            self.enter_gate(gate, proxy, call);
        }
    }

    /// Ends a target. Its daemon accuses what was running there, once it is not suspended; an end that nobody can know of
    /// is not counted.
    fn end_target(&mut self, gate: usize) {
        if !self.daemons[gate].is_up {
            return;
        }
        let (now, is_frozen) = (self.time(), self.is_frozen(gate));
        let daemon = &mut self.daemons[gate];
        (daemon.is_up, daemon.start) = (false, daemon.start + 1);
        self.report.ends += 1;
        let running = std::mem::take(&mut daemon.running);
        for run in running.keys() {
            daemon.state.runs().break_off(*run);
        }
        let first = running.keys().next().copied();
        let end = first.and_then(|run| daemon.state.end_target(run, &VERSION.into(), now));
        self.push(RESTART_MS, Event::TargetStarts { gate });
        let deadly = running.values().find(|(_, call, _)| call.is_deadly);
        if let Some((_, deadly, _)) = deadly.filter(|_| !is_frozen) {
            let (ends, third_at) = self.ends_of.entry(key(deadly)).or_default();
            *ends += 1;
            if *ends == ENDS_TO_HOLD {
                *third_at = self.now;
            }
        }
        if let Some((end, _)) = end {
            let notice = QuarantineNotice::Ended(end);
            if is_frozen {
                let left_ms = self.daemons[gate].frozen_until - self.now;
                self.push(left_ms, Event::Repeat { from: gate, notice });
            } else {
                self.publish(gate, &notice);
            }
        }
        for (proxy, mut call, has_turn) in running.into_values() {
            self.release(gate, &call, has_turn);
            call.ends += 1;
            if call.repeatable && !self.is_frozen(gate) {
                self.send(proxy, call);
            }
        }
    }

    fn publish(&mut self, from: usize, notice: &QuarantineNotice) {
        self.broadcast(from, notice);
        for after_ms in REPEATS_MS {
            let notice = notice.clone();
            self.push(after_ms, Event::Repeat { from, notice });
        }
    }

    fn broadcast(&mut self, from: usize, notice: &QuarantineNotice) {
        for to in (0..self.daemons.len()).filter(|to| *to != from) {
            if self.rng.random::<f64>() < self.troubles.loss {
                continue;
            }
            let delay_ms = self.rng.random_range(1..=self.troubles.max_delay_ms);
            let notice = notice.clone();
            self.push(delay_ms, Event::Notice { to, notice });
        }
    }

    fn receive(&mut self, to: usize, notice: QuarantineNotice) {
        if self.is_frozen(to) {
            let left_ms = self.daemons[to].frozen_until - self.now;
            return self.push(left_ms, Event::Notice { to, notice });
        }
        let now = self.time();
        self.daemons[to].state.receive(&notice, now);
        let waiting = std::mem::take(&mut self.daemons[to].waiting);
        for (proxy, call) in waiting {
            self.enter_gate(to, proxy, call);
        }
    }

    fn note_held(&mut self, call: &Call) {
        if !call.is_deadly && self.held.insert(call.fingerprints) {
            self.report.wrongly_held += 1;
            println!(
                "{} ms: a sound request is held back: {}",
                self.now, call.fingerprints
            );
        }
    }
}

/// Returns what the ends under a call are counted by: all deadly requests of a day have one head.
fn key(call: &Call) -> CallFingerprints {
    CallFingerprints {
        head: call.fingerprints.head,
        content: None,
    }
}

const SIZES: [usize; 4] = [10, 12, 88, 295];

fn seeds(size: usize) -> u64 {
    if size > 80 { 3 } else { 40 }
}

const CALM: Troubles = Troubles {
    loss: 0.0,
    max_delay_ms: 10,
    crash_interval_ms: 0,
    crashes_service: false,
    restart_interval_ms: 0,
    freeze_interval_ms: 0,
};

/// Guards against a request that ends targets all over the fleet, as each daemon judges it alone.
#[test]
fn third_end_under_a_request_is_the_last() {
    for size in SIZES {
        for seed in 0..seeds(size) {
            let report = Fleet::new(size, seed, 0.03 / size as f64 * 12.0, CALM).play();
            let case = format!("{size} daemons, seed {seed}: {report:?}");
            assert!(report.ends >= 1, "{case}");
            assert_eq!(report.late_runs, 0, "{case}");
            assert!(report.further_runs <= 1, "{case}");
            assert_eq!(report.wrongly_held, 0, "{case}");
        }
    }
}

/// Guards against the same where notices are lost or late, and daemons restart or are suspended.
#[test]
fn request_is_held_back_though_daemons_restart_and_notices_are_lost() {
    let troubles = Troubles {
        loss: 0.05,
        max_delay_ms: 60,
        crash_interval_ms: 4_000,
        crashes_service: false,
        restart_interval_ms: 2_000,
        freeze_interval_ms: 5_000,
    };
    for size in SIZES {
        for seed in 100..100 + seeds(size) {
            let report = Fleet::new(size, seed, 0.03 / size as f64 * 12.0, troubles).play();
            let case = format!("{size} daemons, seed {seed}: {report:?}");
            assert_eq!(report.late_runs, 0, "{case}");
            // Each daemon that was out of touch may run it once more.
            assert!(report.further_runs <= 1 + report.outages, "{case}");
            assert_eq!(report.wrongly_held, 0, "{case}");
        }
    }
}

/// Guards against sound requests that are held back, as targets end for other reasons while they run.
#[test]
fn no_sound_request_is_held_back_while_targets_end_by_themselves() {
    let troubles = Troubles {
        crash_interval_ms: 400,
        crashes_service: true,
        max_delay_ms: 20,
        ..CALM
    };
    for size in SIZES {
        for seed in 200..200 + seeds(size) {
            let report = Fleet::new(size, seed, 0.0, troubles).play();
            let case = format!("{size} daemons, seed {seed}: {report:?}");
            assert!(report.ends > size, "{case}");
            assert_eq!(report.wrongly_held, 0, "{case}");
        }
    }
}

/// Ends `count` targets of a version under a request, one after the other.
fn end_under(state: &mut QuarantineState, call: CallFingerprints, version: &str, count: u64, now: TimePoint) {
    for number in 0..count {
        let at = now.after_ms(1_000 * number);
        let run = state.runs().start(call, "GET /stock/deadly".into(), at);
        state.runs().break_off(run);
        state.end_target(run, &version.into(), at.after_ms(50)).unwrap();
    }
}

/// Guards against a request that ends the targets of a new version without end, as it runs well at the old one.
#[test]
fn good_run_at_one_version_proves_nothing_about_another() {
    let (start, call) = (TimePoint(1_000_000), fingerprints("/stock/deadly", None));
    let mut state = QuarantineState::new("daemon-0".into(), 1, HOLD_MS);
    end_under(&mut state, call, "v2", 3, start);
    let now = start.after_ms(5_000);
    state.clear(&call, &"v1".into());
    assert_eq!(state.standing(&call, "v1", now), RequestStanding::Free);
    assert!(matches!(
        state.standing(&call, "v2", now),
        RequestStanding::Held(_)
    ));
}

/// Guards against a request that is held back for good, or let go at once by all daemons.
#[test]
fn held_request_is_let_go_by_one_trial_and_at_once_at_another_version() {
    let (start, call) = (TimePoint(1_000_000), fingerprints("/stock/deadly", None));
    let mut state = QuarantineState::new("daemon-0".into(), 1, HOLD_MS);
    end_under(&mut state, call, "v1", 3, start);
    let now = start.after_ms(5_000);
    assert_eq!(state.take_turn(&call, "v2", now), RunTurn::Taken);
    assert_eq!(state.take_turn(&call, "v2", now), RunTurn::Wait);
    state.end_turn(&call);
    end_under(&mut state, call, "v2", 1, now);
    assert!(matches!(
        state.standing(&call, "v2", now.after_ms(60)),
        RequestStanding::Held(_)
    ));

    let trial_at = start.after_ms(3_000 + HOLD_MS);
    assert_eq!(state.take_turn(&call, "v1", trial_at), RunTurn::Taken);
    assert_eq!(state.take_turn(&call, "v1", trial_at), RunTurn::Wait);
    state.end_turn(&call);
    end_under(&mut state, call, "v1", 1, trial_at);
    let second_at = trial_at.after_ms(50 + 2 * HOLD_MS);
    assert!(matches!(
        state.standing(&call, "v1", second_at.before_ms(1)),
        RequestStanding::Held(_)
    ));
    assert_eq!(state.take_turn(&call, "v1", second_at), RunTurn::Taken);
    let notices = state.clear(&call, &"v1".into());
    assert_eq!(notices.len(), 1);
    assert_eq!(state.standing(&call, "v1", second_at), RequestStanding::Free);
}
