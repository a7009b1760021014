//! Whether the table in force is known to be the newest one, so that "no route" can be told from "not here yet".

use {
    crate::{clock::TimePoint, macros::key_type},
    parking_lot::Mutex,
    std::sync::atomic::{AtomicU64, Ordering},
};

key_type! {
    /// What a daemon knows of its table.
    pub enum TableStanding {
        /// It was known to be the newest one a moment ago.
        Current,
        /// A newer version has been accepted and is not in force here.
        NewerKnown,
        /// Neither the store nor another daemon has confirmed it lately, so there may be a newer version.
        Unconfirmed,
    }
}

impl TableStanding {
    /// Returns the word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::NewerKnown => "newer-known",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Newest version that this daemon has heard of, and until when its knowledge counts as current. The control thread
/// writes it, the traffic threads read it.
#[derive(Debug, Default)]
pub struct TableFreshness {
    newest_version: AtomicU64,
    /// [`TimePoint`] in milliseconds.
    confirmed_at: AtomicU64,
    /// [`TimePoint`] in milliseconds; a suspended process finds it in the past when it continues.
    current_until: AtomicU64,
    /// Lowest version of the tables whose keys are confirmed, and until when they are.
    keys: Mutex<(u64, TimePoint)>,
}

impl TableFreshness {
    /// Publishes what the control thread knows: the newest version, when the table was last confirmed, and until when
    /// that counts.
    pub fn publish(&self, newest_version: u64, confirmed_at: TimePoint, current_until: TimePoint) {
        self.newest_version.store(newest_version, Ordering::Relaxed);
        self.confirmed_at.store(confirmed_at.0, Ordering::Relaxed);
        self.current_until.store(current_until.0, Ordering::Release);
    }

    /// Publishes until when the keys of tables from `version` on are confirmed.
    pub fn publish_keys(&self, version: u64, until: TimePoint) {
        *self.keys.lock() = (version, until);
    }

    /// Returns whether no key of the table of `version` may have been removed for so long that it must not be used.
    pub fn are_keys_confirmed(&self, version: u64, now: TimePoint) -> bool {
        let (lowest_version, until) = *self.keys.lock();
        version >= lowest_version && now < until
    }

    /// Returns the newest version that this daemon has heard of, which it may be unable to apply.
    pub fn newest_version(&self) -> u64 {
        self.newest_version.load(Ordering::Relaxed)
    }

    /// Returns the time since the table was last confirmed, in milliseconds.
    pub fn age_ms(&self, now: TimePoint) -> u64 {
        now.ms_since(TimePoint(self.confirmed_at.load(Ordering::Relaxed)))
    }

    /// Returns what is known at `now` of the table of `version`.
    pub fn standing(&self, version: u64, now: TimePoint) -> TableStanding {
        if self.is_newest(version, now) {
            TableStanding::Current
        } else if version < self.newest_version() {
            TableStanding::NewerKnown
        } else {
            TableStanding::Unconfirmed
        }
    }

    /// Returns whether `version` is the newest one at `now` as far as this daemon can know. If not, the accepted
    /// configuration may have routes and limits that this version lacks.
    pub fn is_newest(&self, version: u64, now: TimePoint) -> bool {
        // This order, the reverse of that in `publish`: whoever sees a confirmation also sees the version that it names.
        now.0 <= self.current_until.load(Ordering::Acquire) && version >= self.newest_version()
    }
}
