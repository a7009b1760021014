//! Ring buffer of one daemon's events.

use {
    super::{
        event::{EventKind, TimelineEvent},
        hybrid::{HybridClock, HybridStamp},
    },
    crate::clock::TimePoint,
    log::info,
    std::{collections::VecDeque, sync::Arc},
};

/// Number of events after which the oldest is dropped.
const RING_CAPACITY: usize = 4_096;

/// Recent events of a daemon, newest last, with the clock that stamps them.
#[derive(Debug)]
pub struct EventRing {
    daemon: Arc<str>,
    clock: HybridClock,
    events: VecDeque<TimelineEvent>,
}

impl EventRing {
    /// Creates an empty ring for the daemon with this name.
    pub fn new(daemon: Arc<str>) -> Self {
        Self {
            daemon,
            clock: HybridClock::default(),
            events: VecDeque::new(),
        }
    }

    /// Records an event and logs it.
    pub fn record(&mut self, kind: EventKind, detail: impl Into<String>, now: TimePoint) {
        self.push(kind, None, detail.into(), now);
    }

    /// Records an event that concerns a move and logs it.
    pub fn record_move(
        &mut self,
        kind: EventKind,
        pool: &Arc<str>,
        move_id: u64,
        detail: impl Into<String>,
        now: TimePoint,
    ) {
        self.push(kind, Some((Arc::clone(pool), move_id)), detail.into(), now);
    }

    /// Returns the stamp for an outgoing message.
    pub fn stamp(&mut self, now: TimePoint) -> HybridStamp {
        self.clock.stamp(now)
    }

    /// Advances the clock to the stamp of a received message.
    pub fn observe(&mut self, stamp: HybridStamp, now: TimePoint) {
        self.clock.observe(stamp, now);
    }

    /// Returns the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }

    fn push(&mut self, kind: EventKind, of_move: Option<(Arc<str>, u64)>, detail: String, now: TimePoint) {
        let stamp = self.clock.stamp(now);
        let (pool, move_id) = of_move.unzip();
        let event = TimelineEvent {
            stamp,
            daemon: Arc::clone(&self.daemon),
            kind,
            pool,
            move_id,
            detail,
        };
        info!("event={} {}", kind.as_str(), describe(&event));
        if self.events.len() == RING_CAPACITY {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}

fn describe(event: &TimelineEvent) -> String {
    let pool = event
        .pool
        .as_ref()
        .map(|pool| format!("pool={pool} "))
        .unwrap_or_default();
    let of_move = event
        .move_id
        .map(|move_id| format!("move={move_id} "))
        .unwrap_or_default();
    format!("daemon={} {pool}{of_move}detail={:?}", event.daemon, event.detail)
}
