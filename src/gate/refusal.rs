//! Reasons for which a gate refuses a call.

use crate::macros::key_type;

key_type! {
    /// Reason for which a gate refuses a call. None of these calls ran.
    pub enum GateRefusal {
        /// The queue is full, or the call would be answered too late.
        Full,
        /// The target is leaving.
        Leaving,
        /// The target is not ready.
        Starting,
        /// The call reached its [`GateArrival::wait_until`](super::GateArrival::wait_until) before a slot was free.
        Expired,
        /// The target's version is stopped or not cleared for the pool.
        Stopped,
        /// The target beside this gate is not the one that the request names.
        OtherTarget,
        /// The target itself rejected the call without running it.
        Shed,
        /// Targets ended under this request, so it is held back.
        Quarantined,
        /// The target's data centre is evacuated.
        Evacuated,
        /// The key of the call is not in force here.
        UnknownKey,
        /// Keys may have been removed of which this daemon has not heard.
        KeysUnconfirmed,
        /// The proxy's table is older than the gate's, which does not admit the call.
        OlderTable,
    }
}

impl GateRefusal {
    const ALL: [Self; 12] = [
        Self::Full,
        Self::Leaving,
        Self::Starting,
        Self::Expired,
        Self::Stopped,
        Self::OtherTarget,
        Self::Shed,
        Self::Quarantined,
        Self::Evacuated,
        Self::UnknownKey,
        Self::KeysUnconfirmed,
        Self::OlderTable,
    ];

    /// Returns the reason as written to the `fuchsiashore-reason` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "target-full",
            Self::Leaving => "target-leaving",
            Self::Starting => "target-starting",
            Self::Expired => "deadline-passed",
            Self::Stopped => "version-stopped",
            Self::OtherTarget => "other-target",
            Self::Shed => "target-shed",
            Self::Quarantined => "quarantined",
            Self::Evacuated => "data-centre-evacuated",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::OlderTable => "older-table",
        }
    }

    /// Returns the refusal for a reason from the `fuchsiashore-reason` header.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.as_str() == text)
    }
}
