//! The watch on the accepted configuration, held by the two best-ranked daemons of each data centre.

use {
    super::{shared::SharedState, tasks::ControlEvent},
    crate::{
        clock::TimePoint,
        store::{HEAD_KEY, HttpStore, StoreClient},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Time that a watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First pause after a failure, in milliseconds; doubled with each further one.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 8_000;

/// Whether and when this daemon asks the store for the head.
#[derive(Debug)]
pub struct StoreWatch {
    index: u64,
    is_asking: bool,
    failures: u32,
    ask_at: TimePoint,
    call_gap_ms: u64,
    rng: SmallRng,
}

impl StoreWatch {
    /// Starts with a first call at `first_at` and at most `calls_per_s` calls a second.
    pub fn new(first_at: TimePoint, calls_per_s: u32, seed: u64) -> Self {
        Self {
            index: 0,
            is_asking: false,
            failures: 0,
            ask_at: first_at,
            call_gap_ms: 1_000 / u64::from(calls_per_s.max(1)),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Tells whether the last call failed.
    pub fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// Starts a call if one is due. Returns the index to wait for a change of, 0 for a plain read.
    pub fn next_call(&mut self, now: TimePoint) -> Option<u64> {
        if self.is_asking || now < self.ask_at {
            return None;
        }
        self.is_asking = true;
        self.ask_at = now.after_ms(self.call_gap_ms);
        Some(self.index)
    }

    /// Takes note of an answer with the index of the value, 0 if the key does not exist.
    pub fn succeed(&mut self, index: u64, now: TimePoint) {
        self.is_asking = false;
        self.failures = 0;
        if index == 0 {
            // A missing key can't be watched by index; it is read again after a pause.
            self.ask_at = now.after_ms(self.jittered(FIRST_PAUSE_MS * 2));
        }
        self.index = index;
    }

    /// Takes note of a failed call.
    pub fn fail(&mut self, now: TimePoint) {
        self.is_asking = false;
        let pause_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        self.ask_at = now.after_ms(self.jittered(pause_ms));
    }

    fn jittered(&mut self, pause_ms: u64) -> u64 {
        pause_ms / 2 + self.rng.random_range(0..=pause_ms)
    }
}

/// Reads or watches the head in the background.
pub fn ask_store(
    shared: &Arc<SharedState>,
    store: &HttpStore,
    events: &mpsc::Sender<ControlEvent>,
    index: u64,
) {
    shared.metrics.store_calls.inc();
    let (store, events) = (store.clone(), events.clone());
    tokio::spawn(async move {
        let answer = match index {
            0 => store.read(HEAD_KEY).await,
            index => store.watch(HEAD_KEY, index, WATCH_WAIT).await,
        };
        let _ = events.send(ControlEvent::HeadRead(answer)).await;
    });
}
