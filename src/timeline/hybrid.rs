//! Hybrid logical clocks (Kulkarni et al., 2014): stamps that stay close to wall time and preserve the causal order of
//! messages.

use {
    crate::{clock::TimePoint, macros::key_type},
    std::fmt::{Display, Formatter},
};

/// Maximum time by which a received stamp may move the clock ahead of wall time, in milliseconds; stamps further ahead
/// are ignored.
const MAX_AHEAD_MS: u64 = 60_000;

key_type! {
    /// A time stamp of the timeline.
    #[derive(Default)]
    pub struct HybridStamp {
        /// Highest wall time observed, in milliseconds since the Unix epoch.
        pub wall: TimePoint,
        /// Counter that orders stamps of the same wall time.
        pub count: u32,
    }
}

impl Display for HybridStamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}+{}", self.wall, self.count)
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Advances the clock and returns the stamp for a local event or an outgoing message.
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

    /// Advances the clock to a received stamp, so that later local stamps are greater. Ignores a stamp that is too far
    /// ahead of wall time.
    pub fn observe(&mut self, stamp: HybridStamp, now: TimePoint) {
        if stamp.wall <= now.after_ms(MAX_AHEAD_MS) && stamp > self.last {
            self.last = stamp;
        }
    }
}
