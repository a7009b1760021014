//! Departures of the targets beside a daemon: which starts they end, when they are recorded in the store, and when they may be
//! acknowledged.
//!
//! Peers give the departure of the target in a daemon's record back to a daemon that is restarted alone. After the loss of
//! every daemon only the store has it, and only the store has those of other starts.

use {
    crate::{clock::TimePoint, macros::value_type},
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Number of targets whose departures are kept for one daemon; the one that came first makes room.
pub const MAX_DEPARTURES: usize = 32;
/// Time for which a departure is written back to a store that has lost it, in milliseconds: a target serves for some seconds
/// after it, and its heartbeats come seconds late.
const RESTORE_MS: u64 = 60_000;

/// Time within which a target gets a reply to the message that it leaves, in milliseconds. It waits for a second.
pub const DEPARTURE_REPLY_MS: u64 = 700;
/// Time after the first message that a target leaves from which it is acknowledged without a record, in milliseconds: a
/// target that gets no acknowledgement stops without one.
const ACKNOWLEDGE_MS: u64 = 2_500;
/// Pause after a failed call to the store, in milliseconds; doubled with each further failure.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds: refused calls cost the store as much as others.
const MAX_PAUSE_MS: u64 = 2_400;

value_type! {
    /// Departure of a target: this start of it, and each earlier one, never accepts calls again.
    pub struct TargetDeparture {
        /// Identity of the target.
        pub id: Arc<str>,
        /// Start time of the target as it announced it, in milliseconds since the Unix epoch.
        pub born: u64,
    }
}

/// Departures of the targets beside one daemon, in the order in which they came. The daemon need not have heard of a target
/// before: a heartbeat may arrive after the message that its sender leaves.
#[derive(Debug, Clone, Default)]
pub struct DepartedTargets {
    /// By the identity of the target.
    latest: IndexMap<Arc<str>, DepartedStart>,
}

/// Latest start of a target that has departed.
#[derive(Debug, Clone, Copy)]
struct DepartedStart {
    born: u64,
    /// Until when a store that has lost it gets it back.
    restore_until: TimePoint,
}

impl DepartedTargets {
    /// Adds a departure that is heard of at `now`. Returns false if a departure of this start or a later one is known.
    pub fn add(&mut self, departure: &TargetDeparture, now: TimePoint) -> bool {
        if self.has_departed(&departure.id, departure.born) {
            return false;
        }
        self.latest.shift_remove(&departure.id);
        if self.latest.len() >= MAX_DEPARTURES {
            self.latest.shift_remove_index(0);
        }
        let start = DepartedStart {
            born: departure.born,
            restore_until: now.after_ms(RESTORE_MS),
        };
        self.latest.insert(Arc::clone(&departure.id), start);
        true
    }

    /// Returns whether a start of a target has departed.
    pub fn has_departed(&self, id: &str, born: u64) -> bool {
        self.latest.get(id).is_some_and(|start| born <= start.born)
    }

    /// Returns the departures, the latest one last.
    pub fn iter(&self) -> impl Iterator<Item = TargetDeparture> {
        self.latest.iter().map(|(id, start)| TargetDeparture {
            id: Arc::clone(id),
            born: start.born,
        })
    }

    /// Returns the departures that a store that has lost them gets back.
    pub fn to_restore(&self, now: TimePoint) -> Vec<TargetDeparture> {
        let starts = self.latest.values();
        let departures = self.iter().zip(starts);
        departures
            .filter(|(_, start)| start.restore_until > now)
            .map(|(departure, _)| departure)
            .collect()
    }
}

/// Call to the store that is due.
#[derive(Debug, Clone, PartialEq)]
pub enum DepartureStep {
    /// Read the departures that earlier processes of this daemon recorded.
    Read,
    /// Record a departure.
    Record(TargetDeparture),
}

#[derive(Debug, Clone)]
struct UnrecordedDeparture {
    departure: TargetDeparture,
    /// When it is recorded next; [`TimePoint::FAR_FUTURE`] while a call is in flight.
    record_at: TimePoint,
    /// From when on it is acknowledged without a record; [`TimePoint::FAR_FUTURE`] if only the store would keep it.
    acknowledge_at: TimePoint,
    /// Failed attempts to record it.
    failures: u32,
}

/// What the store has of the departures of the targets beside one daemon.
#[derive(Debug, Clone)]
pub struct DepartureLog {
    /// Whether the store was read since the start of the process.
    is_restored: bool,
    /// When the store is read next; [`TimePoint::FAR_FUTURE`] while a call is in flight or after the last one.
    read_at: TimePoint,
    /// Failed reads.
    read_failures: u32,
    /// At most [`MAX_DEPARTURES`], in the order in which they came.
    unrecorded: Vec<UnrecordedDeparture>,
}

impl DepartureLog {
    /// Creates the log of a process that starts at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self {
            is_restored: false,
            read_at: now,
            read_failures: 0,
            unrecorded: Vec::new(),
        }
    }

    /// Returns whether every departure that an earlier process recorded is known here.
    pub fn is_restored(&self) -> bool {
        self.is_restored
    }

    /// Returns the calls that are due, which count as in flight from now on.
    pub fn tick(&mut self, now: TimePoint) -> Vec<DepartureStep> {
        let mut steps = Vec::new();
        if self.read_at <= now {
            self.read_at = TimePoint::FAR_FUTURE;
            steps.push(DepartureStep::Read);
        }
        for unrecorded in self.unrecorded.iter_mut().filter(|one| one.record_at <= now) {
            unrecorded.record_at = TimePoint::FAR_FUTURE;
            steps.push(DepartureStep::Record(unrecorded.departure.clone()));
        }
        steps
    }

    /// Records the end of a read.
    pub fn finish_read(&mut self, is_answered: bool, now: TimePoint) {
        if is_answered {
            self.is_restored = true;
        } else {
            self.read_at = now.after_ms(pause_ms(self.read_failures));
            self.read_failures += 1;
        }
    }

    /// Adds the departure of the target in this daemon's record. It has to be recorded, but peers know it as well.
    pub fn add(&mut self, departure: TargetDeparture, now: TimePoint) {
        self.add_until(departure, now.after_ms(ACKNOWLEDGE_MS), now);
    }

    /// Adds the departure of another start. It is not acknowledged without a record, as the end of the process would be the
    /// end of it.
    pub fn add_unshared(&mut self, departure: TargetDeparture, now: TimePoint) {
        self.add_until(departure, TimePoint::FAR_FUTURE, now);
    }

    /// Adds a departure that was recorded in an earlier generation of the store. One that is still unrecorded stays as it is.
    pub fn restore(&mut self, departure: TargetDeparture, now: TimePoint) {
        if !self.is_unrecorded(&departure.id) {
            self.add_until(departure, now, now);
        }
    }

    fn add_until(&mut self, departure: TargetDeparture, acknowledge_at: TimePoint, now: TimePoint) {
        self.unrecorded.retain(|other| other.departure.id != departure.id);
        if self.unrecorded.len() >= MAX_DEPARTURES {
            self.unrecorded.remove(0);
        }
        self.unrecorded.push(UnrecordedDeparture {
            departure,
            record_at: now,
            acknowledge_at,
            failures: 0,
        });
    }

    /// Records the end of an attempt to record a departure.
    pub fn finish_record(&mut self, departure: &TargetDeparture, is_recorded: bool, now: TimePoint) {
        let recorded = self.unrecorded.iter().position(|one| one.departure == *departure);
        let Some(at) = recorded else { return };
        if is_recorded {
            self.unrecorded.remove(at);
        } else {
            let unrecorded = &mut self.unrecorded[at];
            unrecorded.record_at = now.after_ms(pause_ms(unrecorded.failures));
            unrecorded.failures += 1;
        }
    }

    /// Returns whether the departure of a target is still to be recorded.
    pub fn is_unrecorded(&self, id: &str) -> bool {
        self.unrecorded_of(id).is_some()
    }

    /// Returns whether the departure of a target may be acknowledged: it is recorded, or the target can't wait any longer.
    pub fn may_acknowledge(&self, id: &str, now: TimePoint) -> bool {
        self.unrecorded_of(id)
            .is_none_or(|unrecorded| unrecorded.acknowledge_at <= now)
    }

    fn unrecorded_of(&self, id: &str) -> Option<&UnrecordedDeparture> {
        self.unrecorded.iter().find(|one| *one.departure.id == *id)
    }
}

fn pause_ms(failures: u32) -> u64 {
    (FIRST_PAUSE_MS << failures.min(8)).min(MAX_PAUSE_MS)
}
