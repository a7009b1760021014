//! The departure of the target beside a daemon: when it is recorded in the store, and when it may be acknowledged.
//!
//! Peers give a departure back to a daemon that is restarted alone. After the loss of every daemon only the store has it.

use {
    crate::{clock::TimePoint, macros::value_type},
    std::sync::Arc,
};

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

/// Call to the store that is due.
#[derive(Debug, Clone, PartialEq)]
pub enum DepartureStep {
    /// Read the departure that an earlier process of this daemon recorded.
    Read,
    /// Record a departure.
    Record(TargetDeparture),
}

#[derive(Debug, Clone)]
struct UnrecordedDeparture {
    departure: TargetDeparture,
    /// When it is recorded next; [`TimePoint::FAR_FUTURE`] while a call is in flight.
    record_at: TimePoint,
    /// From when on it is acknowledged without a record.
    acknowledge_at: TimePoint,
    /// Failed attempts to record it.
    failures: u32,
}

/// What the store has of the departures of one daemon's target.
#[derive(Debug, Clone)]
pub struct DepartureLog {
    /// Whether the store was read since the start of the process.
    is_restored: bool,
    /// When the store is read next; [`TimePoint::FAR_FUTURE`] while a call is in flight or after the last one.
    read_at: TimePoint,
    /// Failed reads.
    read_failures: u32,
    unrecorded: Option<UnrecordedDeparture>,
}

impl DepartureLog {
    /// Creates the log of a process that starts at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self {
            is_restored: false,
            read_at: now,
            read_failures: 0,
            unrecorded: None,
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
        if let Some(unrecorded) = &mut self.unrecorded
            && unrecorded.record_at <= now
        {
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

    /// Adds a departure that has to be recorded, in place of an earlier one.
    pub fn add(&mut self, departure: TargetDeparture, now: TimePoint) {
        self.unrecorded = Some(UnrecordedDeparture {
            departure,
            record_at: now,
            acknowledge_at: now.after_ms(ACKNOWLEDGE_MS),
            failures: 0,
        });
    }

    /// Records the end of an attempt to record a departure.
    pub fn finish_record(&mut self, departure: &TargetDeparture, is_recorded: bool, now: TimePoint) {
        let current = self.unrecorded.as_mut();
        let Some(current) = current.filter(|current| current.departure == *departure) else {
            return;
        };
        if is_recorded {
            self.unrecorded = None;
        } else {
            current.record_at = now.after_ms(pause_ms(current.failures));
            current.failures += 1;
        }
    }

    /// Returns whether the departure of a target is still to be recorded.
    pub fn is_unrecorded(&self, id: &str) -> bool {
        let current = self.unrecorded.as_ref();
        current.is_some_and(|current| *current.departure.id == *id)
    }

    /// Returns whether the departure of a target may be acknowledged: it is recorded, or the target can't wait any longer.
    pub fn may_acknowledge(&self, id: &str, now: TimePoint) -> bool {
        let current = self.unrecorded.as_ref();
        current.is_none_or(|current| *current.departure.id != *id || current.acknowledge_at <= now)
    }
}

fn pause_ms(failures: u32) -> u64 {
    (FIRST_PAUSE_MS << failures.min(8)).min(MAX_PAUSE_MS)
}
