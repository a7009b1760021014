//! The timeline: each daemon keeps its recent events in a ring buffer; hybrid logical clocks order them across
//! daemons.

mod event;
mod hybrid;
mod ring;

pub use {
    event::{EventFilter, EventKind, TimelineEvent, merge_events},
    hybrid::{HybridClock, HybridStamp},
    ring::EventRing,
};
