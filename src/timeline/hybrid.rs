//! Hybrid logical clocks (Kulkarni et al., 2014): stamps near wall time that respect the order of messages.

use {
    crate::{clock::TimePoint, macros::key_type},
    std::fmt::{Display, Formatter},
};

/// Largest step by which a received stamp may push the clock ahead of wall time, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;

key_type! {
    /// A point on the time line.
    #[derive(Default)]
    pub struct HybridStamp {
        /// Highest wall time seen, in milliseconds since the Unix epoch.
        pub wall: TimePoint,
        /// Order within the same wall time.
        pub count: u32,
    }
}

impl Display for HybridStamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}+{}", self.wall, self.count)
    }
}

/// The hybrid clock of one process.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Returns the stamp of a local event or of a message to send.
    pub fn stamp(&mut self, now: TimePoint) -> HybridStamp {
        self.last = if now > self.last.wall {
            HybridStamp { wall: now, count: 0 }
        } else {
            HybridStamp {
                wall: self.last.wall,
                count: self.last.count + 1,
            }
        };
        self.last
    }

    /// Takes note of a received stamp, so that later local events come after it.
    pub fn observe(&mut self, stamp: HybridStamp, now: TimePoint) {
        if stamp.wall <= now.after_ms(MAX_AHEAD_MS) && stamp > self.last {
            self.last = stamp;
        }
    }
}
