//! State of the quarantine at one daemon: suspects of the whole fleet, and the runs at its own target.

use {
    super::{
        fingerprint::{CallFingerprints, RequestFingerprint},
        message::{AccusedRequest, EndId, QuarantineNotice, SuspectRecord, TargetEnd},
        proven::ProvenRequests,
        runs::{GateRun, GateRuns, RunId},
    },
    crate::{clock::TimePoint, macros::key_type},
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Number of ends without a good run in between after which a request is held back.
pub const ENDS_TO_HOLD: usize = 3;
/// Longest time for which a request is held back before another trial, in milliseconds.
const MAX_HOLD_MS: u64 = 600_000;
/// Time without another end after which a suspect that was never held back is forgotten, in milliseconds.
const SUSPICION_MS: u64 = 60_000;
/// The same for a request that was held back and that nobody sent again, in milliseconds.
const HOLD_MEMORY_MS: u64 = 3_600_000;
/// Maximum number of suspects; the ones that are the least likely to matter are forgotten first.
const MAX_SUSPECTS: usize = 2_048;
/// Time within which notices of ends at the same moment arrive, in milliseconds.
const SAME_MOMENT_MS: u64 = 500;
/// Number of ends that are remembered, so that a repeated notice is recognised.
const MAX_SEEN_ENDS: usize = 512;
/// Maximum number of ends that are remembered of one suspect.
const MAX_REMEMBERED: usize = 16;
/// Maximum number of suspects that another daemon is told of in one datagram.
const MAX_NEWS: usize = 16;
/// Maximum number of requests that one end accuses.
const MAX_ACCUSED: usize = 64;

/// How a request may run at the targets of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestStanding {
    /// Like any other.
    Free,
    /// One run at a time, at the target that all daemons select for it.
    Suspect,
    /// Not before this time.
    Held(TimePoint),
}

/// Whether a run may begin at this daemon's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunTurn {
    /// It may; the request is no suspect.
    Free,
    /// It may, alone: no other run of the request begins here until [`QuarantineState::end_turn`].
    Taken,
    /// Not until the run of the request that is on its way here has ended.
    Wait,
    /// Not before this time.
    Held(TimePoint),
}

key_type! {
    /// Hash of a fingerprint and a version. What ends the targets of one version may run well at those of another.
    pub(super) struct SuspectKey(u64);
}

impl SuspectKey {
    fn new(fingerprint: RequestFingerprint, version: &str) -> Self {
        Self(xxh3_64_with_seed(version.as_bytes(), fingerprint.0))
    }
}

/// Request that targets of one version were running when they ended.
#[derive(Debug, Clone)]
struct SuspectEntry {
    fingerprint: RequestFingerprint,
    version: Arc<str>,
    /// Ends since its last good run, the latest ones.
    ends: Vec<EndId>,
    /// Whether it had run well before.
    is_proven: bool,
    last_end_at: TimePoint,
    /// How often it has been held back.
    holds: u32,
    held_until: TimePoint,
}

impl SuspectEntry {
    fn new(
        fingerprint: RequestFingerprint,
        version: &Arc<str>,
        is_proven: bool,
        last_end_at: TimePoint,
    ) -> Self {
        Self {
            fingerprint,
            version: Arc::clone(version),
            ends: Vec::new(),
            is_proven,
            last_end_at,
            holds: 0,
            held_until: TimePoint::default(),
        }
    }

    fn standing(&self, now: TimePoint) -> RequestStanding {
        match () {
            () if self.held_until > now => RequestStanding::Held(self.held_until),
            () if self.is_proven && self.holds == 0 => RequestStanding::Free,
            () => RequestStanding::Suspect,
        }
    }

    /// Adds an end. Returns whether the request is held back from now on; `is_held_elsewhere` tells whether it is at
    /// another version.
    fn add_end(&mut self, id: EndId, hold_ms: u64, is_held_elsewhere: bool, now: TimePoint) -> bool {
        push_bounded(&mut self.ends, id);
        self.last_end_at = now;
        // Runs that began before the request was held back end with it.
        if self.held_until > now || hold_ms == 0 {
            return false;
        }
        let is_trial = self.holds > 0 || is_held_elsewhere;
        if !is_trial && self.ends.len() < ENDS_TO_HOLD {
            return false;
        }
        let doubled_ms = hold_ms.saturating_mul(1 << self.holds.min(16));
        self.held_until = now.after_ms(doubled_ms.min(MAX_HOLD_MS.max(hold_ms)));
        self.holds += 1;
        true
    }

    fn is_outdated(&self, now: TimePoint) -> bool {
        let ttl_ms = if self.holds == 0 {
            SUSPICION_MS
        } else {
            HOLD_MEMORY_MS
        };
        self.held_until <= now && self.last_end_at.max(self.held_until).after_ms(ttl_ms) <= now
    }
}

/// Quarantine at one daemon.
#[derive(Debug)]
pub struct QuarantineState {
    daemon: Arc<str>,
    /// Start of the process.
    instance: u64,
    /// Time for which a request is held back first, in milliseconds; 0 if none is.
    hold_ms: u64,
    suspects: IndexMap<SuspectKey, SuspectEntry>,
    /// Time from which no suspect is held back any more.
    holds_end_at: TimePoint,
    runs: GateRuns,
    /// Suspects whose turn it is at this daemon's target.
    turns: Vec<CallFingerprints>,
    proven: ProvenRequests,
    /// Ends that this daemon has recorded, the latest ones.
    seen_ends: VecDeque<EndId>,
    /// Number of ends of this daemon's target.
    ends: u64,
}

impl QuarantineState {
    /// Creates the state of a daemon whose process started at `instance`.
    pub fn new(daemon: Arc<str>, instance: u64, hold_ms: u64) -> Self {
        Self {
            daemon,
            instance,
            hold_ms,
            suspects: IndexMap::new(),
            holds_end_at: TimePoint::default(),
            runs: GateRuns::default(),
            turns: Vec::new(),
            proven: ProvenRequests::default(),
            seen_ends: VecDeque::new(),
            ends: 0,
        }
    }

    /// Returns whether there is no suspect.
    pub fn is_quiet(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how a request may run at targets of a version.
    pub fn standing(
        &self,
        fingerprints: &CallFingerprints,
        version: &str,
        now: TimePoint,
    ) -> RequestStanding {
        if self.is_quiet() {
            return RequestStanding::Free;
        }
        let standings = fingerprints.iter().map(|fingerprint| {
            let key = SuspectKey::new(fingerprint, version);
            match self.suspects.get(&key) {
                Some(entry) => entry.standing(now),
                None if !self.proven.contains(key) && self.is_held(fingerprint, now) => {
                    RequestStanding::Suspect
                }
                None => RequestStanding::Free,
            }
        });
        standings.max().unwrap_or(RequestStanding::Free)
    }

    /// Returns how long a request is held back for at some version, in milliseconds; 0 if it is not.
    pub fn held_ms(&self, fingerprints: &CallFingerprints, now: TimePoint) -> u64 {
        let entries = self.suspects.values();
        let known = entries.filter(|entry| fingerprints.iter().any(|own| own == entry.fingerprint));
        known
            .map(|entry| entry.held_until.ms_since(now))
            .max()
            .unwrap_or(0)
    }

    /// Returns whether a request is held back at some version.
    fn is_held(&self, fingerprint: RequestFingerprint, now: TimePoint) -> bool {
        let mut entries = self.suspects.values();
        self.holds_end_at > now
            && entries.any(|entry| entry.fingerprint == fingerprint && entry.held_until > now)
    }

    /// Returns whether a run may begin at this daemon's target, and takes the turn of a suspect.
    pub fn take_turn(&mut self, fingerprints: &CallFingerprints, version: &str, now: TimePoint) -> RunTurn {
        match self.standing(fingerprints, version, now) {
            RequestStanding::Free => RunTurn::Free,
            RequestStanding::Held(until) => RunTurn::Held(until),
            RequestStanding::Suspect => {
                let is_taken = self.turns.iter().any(|other| other.overlaps(fingerprints));
                if is_taken || self.runs.is_running(fingerprints) {
                    return RunTurn::Wait;
                }
                self.turns.push(*fingerprints);
                RunTurn::Taken
            }
        }
    }

    /// Ends a turn that [`Self::take_turn`] gave.
    pub fn end_turn(&mut self, fingerprints: &CallFingerprints) {
        if let Some(at) = self.turns.iter().position(|other| other == fingerprints) {
            self.turns.swap_remove(at);
        }
    }

    /// Returns the runs at this daemon's target.
    pub fn runs(&mut self) -> &mut GateRuns {
        &mut self.runs
    }

    /// Records that a request ran at a target of a version, which lived on. Returns the notices for other daemons: about
    /// suspects that several targets had ended under, and frequent requests.
    pub fn clear(&mut self, fingerprints: &CallFingerprints, version: &Arc<str>) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for fingerprint in fingerprints.iter() {
            let key = SuspectKey::new(fingerprint, version);
            self.proven.insert(key);
            let cleared = self.suspects.swap_remove(&key);
            if cleared.is_some_and(|entry| entry.ends.len() > 1 || entry.holds > 0 || entry.is_proven) {
                notices.push(QuarantineNotice::Cleared {
                    fingerprint,
                    version: Arc::clone(version),
                });
            }
        }
        notices
    }

    /// Records that a request of this daemon's callers ran well at a target of a version.
    pub fn end_suspicion(&mut self, fingerprints: &CallFingerprints, version: &str) {
        for fingerprint in fingerprints.iter() {
            self.suspects.swap_remove(&SuspectKey::new(fingerprint, version));
        }
    }

    /// Records that the target beside this daemon ended while the run `id` was under way. Returns the end, for other
    /// daemons, and the runs that it accuses; `None` if it is recorded already.
    pub fn end_target(
        &mut self,
        id: RunId,
        version: &Arc<str>,
        now: TimePoint,
    ) -> Option<(TargetEnd, Vec<GateRun>)> {
        let mut runs = self.runs.take_ended(id, now);
        if runs.is_empty() {
            return None;
        }
        self.ends += 1;
        // The newest ones first: most requests that end their target do so soon.
        runs.sort_by_key(|run| std::cmp::Reverse(run.started_at));
        let mut accused: Vec<AccusedRequest> = Vec::new();
        for run in &runs {
            for fingerprint in run.fingerprints.iter() {
                if accused.iter().any(|other| other.fingerprint == fingerprint) {
                    continue;
                }
                accused.push(AccusedRequest {
                    fingerprint,
                    ran_ms: now.ms_since(run.started_at),
                    is_proven: self.proven.contains(SuspectKey::new(fingerprint, version)),
                });
            }
        }
        accused.sort_by_key(|request| request.is_proven);
        accused.truncate(MAX_ACCUSED);
        let end = TargetEnd {
            id: EndId::new(&self.daemon, self.instance, self.ends),
            version: Arc::clone(version),
            accused,
        };
        self.record_end(&end, now);
        Some((end, runs))
    }

    /// Records the end of a target. Returns the requests that are held back from now on.
    pub fn record_end(&mut self, end: &TargetEnd, now: TimePoint) -> Vec<RequestFingerprint> {
        let mut held = Vec::new();
        if self.seen_ends.contains(&end.id) {
            return held;
        }
        if self.seen_ends.len() >= MAX_SEEN_ENDS {
            self.seen_ends.pop_front();
        }
        self.seen_ends.push_back(end.id);
        for accused in &end.accused {
            let key = SuspectKey::new(accused.fingerprint, &end.version);
            let is_proven = accused.is_proven || self.proven.contains(key);
            let known = self.suspects.get(&key);
            if known.is_some_and(|entry| entry.ends.contains(&end.id)) {
                continue;
            }
            // A frequent request is at many targets at any time, so ends at the same moment tell nothing about it.
            let is_later = |entry: &SuspectEntry| {
                now.before_ms(accused.ran_ms) > entry.last_end_at.after_ms(SAME_MOMENT_MS)
            };
            if is_proven && known.is_some_and(|entry| !is_later(entry)) {
                continue;
            }
            let is_held_elsewhere = known.is_none() && !is_proven && self.is_held(accused.fingerprint, now);
            self.make_room(now);
            let entry = self
                .suspects
                .entry(key)
                .or_insert_with(|| SuspectEntry::new(accused.fingerprint, &end.version, is_proven, now));
            entry.is_proven |= is_proven;
            if entry.add_end(end.id, self.hold_ms, is_held_elsewhere, now) {
                held.push(accused.fingerprint);
            }
            self.holds_end_at = self.holds_end_at.max(entry.held_until);
        }
        held
    }

    /// Returns which of the requests that an end accuses are held back.
    pub fn held_by(&self, end: &TargetEnd, now: TimePoint) -> Vec<RequestFingerprint> {
        let accused = end.accused.iter().map(|accused| accused.fingerprint);
        let is_held = |fingerprint: &RequestFingerprint| {
            let entry = self.suspects.get(&SuspectKey::new(*fingerprint, &end.version));
            entry.is_some_and(|entry| entry.held_until > now)
        };
        accused.filter(is_held).collect()
    }

    /// Handles a notice of another daemon. Returns whether it was new, and the requests that are held back from now on.
    pub fn receive(&mut self, notice: &QuarantineNotice, now: TimePoint) -> (bool, Vec<RequestFingerprint>) {
        match notice {
            QuarantineNotice::Cleared { fingerprint, version } => {
                let key = SuspectKey::new(*fingerprint, version);
                let was_suspect = self.suspects.swap_remove(&key).is_some();
                (was_suspect, Vec::new())
            }
            QuarantineNotice::Known(records) => {
                self.merge(records.clone(), now);
                (false, Vec::new())
            }
            QuarantineNotice::Ended(end) => {
                let is_new = !self.seen_ends.contains(&end.id);
                (is_new, self.record_end(end, now))
            }
        }
    }

    /// Returns the suspects.
    pub fn records(&self, now: TimePoint) -> Vec<SuspectRecord> {
        let records = self.suspects.values().map(|entry| SuspectRecord {
            fingerprint: entry.fingerprint,
            version: Arc::clone(&entry.version),
            ends: entry.ends.clone(),
            is_proven: entry.is_proven,
            holds: entry.holds,
            held_ms: entry.held_until.ms_since(now),
            quiet_ms: now.ms_since(entry.last_end_at),
        });
        records.collect()
    }

    /// Returns the suspects under which several targets ended, for a daemon that may not have heard of them; those that are
    /// held back first.
    pub fn news(&self, now: TimePoint) -> Option<QuarantineNotice> {
        let mut records = self.records(now);
        records.retain(|record| record.ends.len() > 1 || record.holds > 0);
        records.sort_by_key(|record| std::cmp::Reverse((record.holds, record.ends.len())));
        records.truncate(MAX_NEWS);
        (!records.is_empty()).then_some(QuarantineNotice::Known(records))
    }

    /// Adds what another daemon knows.
    pub fn merge(&mut self, records: Vec<SuspectRecord>, now: TimePoint) {
        for record in records {
            if record.ends.len() > MAX_REMEMBERED {
                continue;
            }
            self.make_room(now);
            let held_until = match record.held_ms {
                0 => TimePoint::default(),
                held_ms => now.after_ms(held_ms.min(MAX_HOLD_MS.max(self.hold_ms))),
            };
            let last_end_at = now.before_ms(record.quiet_ms);
            let entry = self
                .suspects
                .entry(SuspectKey::new(record.fingerprint, &record.version))
                .or_insert_with(|| {
                    SuspectEntry::new(record.fingerprint, &record.version, record.is_proven, last_end_at)
                });
            for id in record.ends {
                if !entry.ends.contains(&id) {
                    push_bounded(&mut entry.ends, id);
                }
            }
            entry.last_end_at = entry.last_end_at.max(last_end_at);
            entry.holds = entry.holds.max(record.holds);
            if self.hold_ms == 0 {
                continue;
            }
            entry.held_until = entry.held_until.max(held_until);
            // Neither daemon had heard of all of them.
            if entry.holds == 0 && !entry.is_proven && entry.ends.len() >= ENDS_TO_HOLD {
                entry.holds = 1;
                entry.held_until = now.after_ms(self.hold_ms);
            }
            self.holds_end_at = self.holds_end_at.max(entry.held_until);
        }
    }

    /// Forgets outdated suspects.
    pub fn expire(&mut self, now: TimePoint) {
        self.suspects.retain(|_, entry| !entry.is_outdated(now));
    }

    /// Makes room for another suspect.
    fn make_room(&mut self, now: TimePoint) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.expire(now);
        while self.suspects.len() >= MAX_SUSPECTS {
            let weights = self.suspects.values().enumerate();
            let least = weights.min_by_key(|(_, entry)| (entry.holds, entry.ends.len(), entry.last_end_at));
            let Some((at, _)) = least else { return };
            self.suspects.swap_remove_index(at);
        }
    }
}

/// Adds an item; the oldest one makes room for it.
fn push_bounded<T>(items: &mut Vec<T>, item: T) {
    if items.len() >= MAX_REMEMBERED {
        items.remove(0);
    }
    items.push(item);
}
