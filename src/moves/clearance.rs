//! The share of calls that a move's controller clears for the new version, and the lease under which a gate holds it.

use {
    crate::{clock::TimePoint, macros::value_type},
    std::sync::Arc,
};

/// Duration of a controller's lease at a gate, counted from its last poll, in milliseconds.
pub const LEASE_MS: u64 = 2_500;
/// Additional wait for each rank before a daemon checks whether it can take over a move, in milliseconds: the time of
/// one such check.
const RANK_WAIT_MS: u64 = 300;

value_type! {
    /// Share of calls that a move's controller allows for the new version. It spreads with polls and in response
    /// headers, without agreement between the daemons, so they may hold different clearances for a moment.
    pub struct Clearance {
        /// Identity of the move.
        pub move_id: u64,
        /// Incremented by each controller that takes over the move.
        pub epoch: u64,
        /// Incremented by the controller with each change.
        pub seq: u64,
        /// Share of calls that go to the new version, from 0 to 1.
        pub share: f64,
        /// Whether the new version is stopped. Final within the move.
        pub stopped: bool,
        /// Name of the controller's daemon; empty once released.
        pub holder: Arc<str>,
    }
}

impl Clearance {
    /// Returns whether this clearance replaces another one of the same pool. Compares the move, then the stop, the epoch
    /// and the sequence number, so a stop is never undone within its move.
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

    /// Returns a copy without a holder and with the next sequence number. It ends the lease at the gates, so that another
    /// controller can take over the move at once.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            holder: Arc::from(""),
            seq: self.seq + 1,
            ..self.clone()
        }
    }

    /// Returns whether the holder has released the clearance.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }

    /// Returns the share of calls that may go to the new version, from 0 to 1; 0 once it is stopped.
    pub fn usable_share(&self) -> f64 {
        if self.stopped {
            0.0
        } else {
            self.share.clamp(0.0, 1.0)
        }
    }

    /// Formats a header value: move, epoch, sequence number, share in millionths and stop, separated by dots. The holder
    /// is left out.
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

    /// Parses a header value written by [`Self::to_header`], with an empty holder. Returns `None` if it is malformed.
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

/// Returns whether the daemon of a rank may poll the gates to find out if a move can be taken over. Rank 0 always may. As
/// that daemon may be lost or may have just started, the lower ranks follow one after the other once the lease at their
/// own gate has expired. `expired_for_ms` is that of [`GateLease::expired_for_ms`].
pub fn may_check_takeover(rank: usize, expired_for_ms: Option<u64>) -> bool {
    rank == 0 || expired_for_ms.is_some_and(|expired_for_ms| expired_for_ms >= rank as u64 * RANK_WAIT_MS)
}

/// The clearance that a gate holds, with the lease of its controller.
///
/// Once the lease has expired, no controller monitors the new version, so its gate refuses calls until a controller
/// polls again.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GateLease {
    held: Option<Clearance>,
    lease_until: TimePoint,
}

impl GateLease {
    /// Stores a controller's clearance and renews its lease; a released clearance ends the lease. Returns false for an
    /// earlier move or epoch, for another holder in the same epoch while the lease lasts, and for a clearance that would
    /// undo a stop.
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

    /// Returns the remaining time of the lease, in milliseconds; 0 once it has expired.
    pub fn left_ms(&self, now: TimePoint) -> u64 {
        self.lease_until.ms_since(now)
    }

    /// Returns how long ago the lease of a move expired, in milliseconds. Returns `None` while the lease lasts, or if the
    /// gate holds no clearance of the move.
    pub fn expired_for_ms(&self, move_id: u64, now: TimePoint) -> Option<u64> {
        let has_expired = self.held(move_id).is_some() && now >= self.lease_until;
        has_expired.then(|| now.ms_since(self.lease_until))
    }

    /// Returns whether the new version may receive calls: the lease lasts and the cleared share is above 0.
    pub fn admits(&self, move_id: u64, now: TimePoint) -> bool {
        let has_share = self.held(move_id).is_some_and(|held| held.usable_share() > 0.0);
        has_share && now < self.lease_until
    }
}
