//! The cleared share of a move and the lease under which a gate holds it.

use {
    crate::{clock::TimePoint, macros::value_type},
    std::sync::Arc,
};

/// Time for which a gate trusts a controller that polled it, in milliseconds.
pub const LEASE_MS: u64 = 2_500;
/// Time by which each further daemon waits longer before it takes over a move, in milliseconds: a look at the gates.
const RANK_WAIT_MS: u64 = 300;

value_type! {
    /// What a move's controller allows. Known, not agreed: spread by polls and on answers.
    pub struct Clearance {
        /// Identity of the move.
        pub move_id: u64,
        /// Raised by each controller that takes over.
        pub epoch: u64,
        /// Raised by the controller with each change.
        pub seq: u64,
        /// Share of calls that go to the new version, from 0 to 1.
        pub share: f64,
        /// Whether the new version is stopped. Final within the move.
        pub stopped: bool,
        /// Name of the controller's daemon.
        pub holder: Arc<str>,
    }
}

impl Clearance {
    /// Tells whether this clearance replaces another one of the same pool: a later move, a stop, a later epoch
    /// or a later change. A stop is never replaced within its move.
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |clearance: &Self| {
            (
                clearance.move_id,
                clearance.stopped,
                clearance.epoch,
                clearance.seq,
            )
        };
        rank(self) > rank(other)
    }

    /// Gives the clearance up, so that another controller may take the move over at once.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            holder: Arc::from(""),
            seq: self.seq + 1,
            ..self.clone()
        }
    }

    /// Tells whether its controller has given it up.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }

    /// Returns the share that may be used now.
    pub fn usable_share(&self) -> f64 {
        if self.stopped {
            0.0
        } else {
            self.share.clamp(0.0, 1.0)
        }
    }

    /// Writes the clearance as a header value: move, epoch, sequence, share in millionths, stop.
    pub fn to_header(&self) -> String {
        let share = (self.share * 1e6) as u64;
        format!(
            "{}.{}.{}.{}.{}",
            self.move_id,
            self.epoch,
            self.seq,
            share,
            u8::from(self.stopped)
        )
    }

    /// Reads a header value written by [`Self::to_header`]. Returns `None` if it is malformed.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut numbers = text.split('.').map(|part| part.parse::<u64>().ok());
        let mut next = || numbers.next().flatten();
        Some(Self {
            move_id: next()?,
            epoch: next()?,
            seq: next()?,
            share: (next()? as f64 / 1e6).clamp(0.0, 1.0),
            stopped: next()? != 0,
            holder: Arc::from(""),
        })
    }
}

/// Tells whether a daemon may look whether a move is free. The first in rank always may; the next ones do when the lease
/// at their own gate has lapsed, one after the other, as the first may be lost or have just started.
pub fn may_check_takeover(rank: usize, lapsed_ms: Option<u64>) -> bool {
    rank == 0 || lapsed_ms.is_some_and(|lapsed_ms| lapsed_ms >= rank as u64 * RANK_WAIT_MS)
}

/// The clearance that a gate holds, with the lease of its controller.
///
/// When the lease lapses, the gate of the new version refuses calls until a controller polls it again: nobody
/// watches the version then.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GateLease {
    held: Option<Clearance>,
    lease_until: TimePoint,
}

impl GateLease {
    /// Takes over a controller's clearance and renews its lease. Returns false if another controller holds the
    /// move or the clearance is older than the one held.
    pub fn renew(&mut self, clearance: Clearance, now: TimePoint) -> bool {
        if let Some(held) = self
            .held
            .as_ref()
            .filter(|held| held.move_id == clearance.move_id)
        {
            let is_rival =
                clearance.epoch == held.epoch && held.holder != clearance.holder && !clearance.is_released();
            let is_outranked = clearance.epoch < held.epoch || (is_rival && now < self.lease_until);
            if is_outranked {
                return false;
            }
            if held.stopped && !clearance.stopped {
                return false;
            }
        } else if self
            .held
            .as_ref()
            .is_some_and(|held| held.move_id > clearance.move_id)
        {
            return false;
        }
        self.lease_until = if clearance.is_released() {
            now
        } else {
            now.after_ms(LEASE_MS)
        };
        self.held = Some(clearance);
        true
    }

    /// Returns the clearance held for a move.
    pub fn held(&self, move_id: u64) -> Option<&Clearance> {
        self.held.as_ref().filter(|held| held.move_id == move_id)
    }

    /// Returns the time left of the lease, in milliseconds.
    pub fn left_ms(&self, now: TimePoint) -> u64 {
        self.lease_until.ms_since(now)
    }

    /// Returns for how long nobody has watched a move whose clearance is held, in milliseconds.
    pub fn lapsed_ms(&self, move_id: u64, now: TimePoint) -> Option<u64> {
        let has_expired = self.held(move_id).is_some() && now >= self.lease_until;
        has_expired.then(|| now.ms_since(self.lease_until))
    }

    /// Tells whether the new version may get calls: a controller watches it and has cleared a share.
    pub fn admits(&self, move_id: u64, now: TimePoint) -> bool {
        let has_share = self.held(move_id).is_some_and(|held| held.usable_share() > 0.0);
        has_share && now < self.lease_until
    }
}
