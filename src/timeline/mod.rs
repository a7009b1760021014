//! The time line: a bounded ring of events in every process, ordered over processes by hybrid logical clocks.

mod event;
mod hybrid;
mod ring;

pub use {
    event::{EventFilter, EventKind, TimelineEvent, merge_events},
    hybrid::{HybridClock, HybridStamp},
    ring::EventRing,
};
