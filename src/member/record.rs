//! Records of a daemon and its target, as the membership protocol disseminates them.

use {
    crate::macros::{key_type, value_type},
    std::{
        fmt::{Display, Formatter},
        net::SocketAddr,
        sync::Arc,
    },
};

key_type! {
    /// Liveness of a daemon. Within one incarnation a later variant overrides an earlier one.
    pub enum MemberStatus {
        /// Answers probes.
        Alive,
        /// Did not acknowledge a probe; becomes `Dead` unless it refutes the suspicion before a deadline.
        Suspect,
        /// Did not refute the suspicion in time, or was replaced by another daemon at its gate address.
        Dead,
        /// Announced that it left the mesh.
        Left,
    }
}

impl MemberStatus {
    /// Returns whether the daemon may still answer calls.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

key_type! {
    /// Whether a target accepts calls.
    pub enum TargetStatus {
        /// Not yet ready.
        Starting,
        /// Accepts calls.
        Serving,
        /// Its daemon is leaving: running calls are finished and new ones refused; the target process may live on.
        Leaving,
        /// The target announced that it stops: this start of it never accepts calls again.
        Departed,
    }
}

impl Display for TargetStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Departed => "departed",
        })
    }
}

value_type! {
    /// The target beside a daemon.
    pub struct TargetRecord {
        /// Identity of the target; the gate refuses calls that are addressed to another target.
        pub id: Arc<str>,
        /// Start time of the target as it announced it; 0 if targets don't announce themselves.
        pub born: u64,
        /// Service name.
        pub service: Arc<str>,
        /// Target version.
        pub version: Arc<str>,
        /// Number of calls that the target serves concurrently.
        pub slots: u32,
        /// Whether it accepts calls.
        pub status: TargetStatus,
    }
}

impl TargetRecord {
    /// Returns whether this target has departed but a `later` record of the same daemon lists this start, or an
    /// earlier one, with another status: the daemon was restarted and its new process missed the departure.
    pub fn is_departure_missing_in(&self, later: &Self) -> bool {
        self.status == TargetStatus::Departed
            && later.status != TargetStatus::Departed
            && later.born <= self.born
    }
}

value_type! {
    /// A daemon of the mesh.
    pub struct MemberRecord {
        /// Name, unique in the mesh.
        pub name: Arc<str>,
        /// Raised by the daemon itself when its status or target changes, and to refute another daemon's copy of its
        /// record, such as a suspicion.
        pub incarnation: u64,
        /// Liveness.
        pub status: MemberStatus,
        /// Address of the control listener (TCP and UDP).
        pub control: SocketAddr,
        /// Address of the gate.
        pub gate: SocketAddr,
        /// Address of the operators' listener.
        pub operators: SocketAddr,
        /// Region.
        pub region: Arc<str>,
        /// Data centre.
        pub data_centre: Arc<str>,
        /// The target.
        pub target: TargetRecord,
        /// Highest configuration version that the daemon is known to have applied; a newer record never lowers
        /// it.
        pub applied: u64,
    }
}

impl MemberRecord {
    /// Returns whether this record replaces `other` of the same daemon: it has a higher incarnation, or the same one
    /// and a status of higher precedence.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
