//! Points in time, as deadlines are stored, and the process clock.

use {
    crate::macros::key_type,
    jiff::Timestamp,
    rustix::time::{ClockId, clock_gettime},
    std::{
        fmt::{Display, Formatter},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

key_type! {
    /// A point in time: milliseconds since the Unix epoch.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct TimePoint(pub u64);
}

impl TimePoint {
    /// The end of time, used where no deadline is set.
    pub const FAR_FUTURE: Self = Self(u64::MAX);

    /// Returns the point `ms` milliseconds later.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the point `ms` milliseconds earlier.
    #[must_use]
    pub const fn before_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to this point, 0 if it lies in the future.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time left until this point as seen from `now`.
    pub const fn remaining_from(self, now: Self) -> Duration {
        Duration::from_millis(self.ms_since(now))
    }

    /// Parses an RFC 3339 time stamp. Returns `None` if the text is not one or lies before 1970.
    pub fn parse(text: &str) -> Option<Self> {
        let stamp: Timestamp = text.parse().ok()?;
        u64::try_from(stamp.as_millisecond()).ok().map(Self)
    }
}

impl Display for TimePoint {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let stamp = i64::try_from(self.0)
            .ok()
            .and_then(|ms| Timestamp::from_millisecond(ms).ok());
        match stamp {
            Some(stamp) => write!(f, "{stamp:.3}"),
            None => f.write_str("never"),
        }
    }
}

/// A clock that starts from the wall time and then follows the time since boot, so that a step of the wall clock can't
/// move deadlines and a suspension counts.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: Duration,
    started_at: TimePoint,
}

impl ProcessClock {
    /// Starts a clock at the present wall time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: since_boot(),
            started_at: TimePoint(since_epoch.as_millis() as u64),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> TimePoint {
        let elapsed = since_boot().saturating_sub(self.started);
        self.started_at.after_ms(elapsed.as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
