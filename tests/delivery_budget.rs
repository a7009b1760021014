//! Time from the moment at which a daemon hears of a newer version until it reads the store for it.

use {
    fuchsiashore::{
        clock::TimePoint,
        config::ConfigHead,
        member::{
            KnownVersion, MemberEffect, MemberRecord, MemberState, MemberStatus, ProbeKind, ProbeMessage,
            TargetRecord, TargetStatus, WatchMode,
        },
        spread::SpreadState,
    },
    std::net::SocketAddr,
};

const START: TimePoint = TimePoint(1_000_000);
const STEP_MS: u64 = 50;
const WATCHERS: usize = 3;
/// Time after the acceptance of a version in which it must be in force, in milliseconds.
const APPLY_LIMIT_MS: u64 = 2_500;
/// Time that a daemon takes to hear of a version, in milliseconds: the watch of a daemon that leads, then three rounds of notices.
const HEARING_MS: u64 = 400;
/// Time that a configuration of 1 MB takes over a link of 10 Mbit/s, in milliseconds.
const TRANSFER_MS: u64 = 900;
/// Number of daemons of each data centre.
const DAEMONS_OF_CENTRE: usize = 22;
const SEEDS: u64 = 20;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

fn record(index: usize, count: usize) -> MemberRecord {
    MemberRecord {
        name: format!("d{index}").into(),
        incarnation: 1,
        status: MemberStatus::Alive,
        control: address(index),
        gate: address(index + 1_000),
        operators: address(index + 2_000),
        region: "r".into(),
        data_centre: format!("z{}", index % count.div_ceil(DAEMONS_OF_CENTRE)).into(),
        target: TargetRecord {
            id: "t".into(),
            born: 0,
            service: "stock".into(),
            version: "v1".into(),
            slots: 4,
            status: TargetStatus::Serving,
        },
        applied: 0,
    }
}

fn message(from: usize, kind: ProbeKind, updates: Vec<MemberRecord>) -> ProbeMessage {
    ProbeMessage {
        from: format!("d{from}").into(),
        applied: 0,
        kind,
        updates,
    }
}

/// A daemon of a fleet whose others confirm that there is a newer version, and send it to nobody.
struct WaitingDaemon {
    members: MemberState,
    spread: SpreadState,
    now: TimePoint,
}

impl WaitingDaemon {
    /// Returns a daemon that does not watch the store.
    fn new(count: usize, seed: u64) -> Self {
        let mut members = MemberState::new(record(count - 1, count), seed, START);
        for index in 0..count - 1 {
            members.receive(
                address(index),
                message(index, ProbeKind::Notice, vec![record(index, count)]),
                START,
            );
        }
        let mut spread = SpreadState::default();
        let head = ConfigHead {
            version: 5,
            ..ConfigHead::default()
        };
        spread.offer_stored(head.with_digest().unwrap()).unwrap();
        Self {
            members,
            spread,
            now: START,
        }
    }

    /// Goes on for a step, in which each inquiry is answered.
    fn step(&mut self) -> WatchMode {
        self.now = self.now.after_ms(STEP_MS);
        for effect in self.members.tick(self.now) {
            if let MemberEffect::Send { to, message: sent } = effect
                && let ProbeKind::Inquiry { seq } = sent.kind
            {
                let from = usize::from(to.port() - 7_000);
                let known = KnownVersion {
                    version: self.spread.newest_version(),
                    age_ms: 300,
                    reader: address(0),
                };
                let answer = message(from, ProbeKind::Confirmation { seq, known }, Vec::new());
                self.members.receive(to, answer, self.now);
            }
        }
        let read_due = self.spread.read_due(self.now);
        self.members
            .set_read_due_at(read_due.at, read_due.is_in_force_elsewhere);
        self.members.watch_mode(WATCHERS, self.now)
    }

    /// Hears of a newer version from a peer that answers no pull. Returns the time until the store is read, in milliseconds.
    fn time_to_read_ms(&mut self) -> u64 {
        while self.now < START.after_ms(3_000) {
            assert_eq!(
                self.step(),
                WatchMode::Off,
                "a confirmed daemon leaves the store alone"
            );
        }
        let heard_at = self.now;
        self.spread.add_source(address(0), 7, self.now);
        assert!(self.spread.next_pull(self.now).is_some());
        while self.step() == WatchMode::Off {
            assert!(self.now < heard_at.after_ms(60_000), "the store is not read");
        }
        self.now.ms_since(heard_at)
    }
}

/// Guards against limits of the delivery that add up to more than the time in which operators are promised a change.
#[test]
fn version_that_no_peer_sends_can_be_in_force_in_time() {
    for count in [30, 88, 295] {
        let times = (0..SEEDS).map(|seed| WaitingDaemon::new(count, seed).time_to_read_ms());
        let longest_ms = times.max().unwrap_or_default();
        let total_ms = HEARING_MS + longest_ms + TRANSFER_MS;
        println!("{count} daemons: read after {longest_ms} ms, in force after {total_ms} ms");
        assert!(total_ms <= APPLY_LIMIT_MS, "{count} daemons: {total_ms} ms");
    }
}
