//! Events of the time line.

use {
    super::hybrid::HybridStamp,
    crate::{
        clock::TimePoint,
        macros::{key_type, value_type},
    },
    std::{
        fmt::{Display, Formatter},
        sync::Arc,
    },
};

key_type! {
    /// What happened.
    pub enum EventKind {
        /// The daemon started.
        Started,
        /// The daemon is leaving.
        Leaving,
        /// The daemon has finished its last call.
        Drained,
        /// A configuration version came into force.
        Applied,
        /// An offered configuration was refused.
        Refused,
        /// A daemon joined or came back.
        MemberAlive,
        /// A daemon missed probes.
        MemberSuspect,
        /// A daemon is held for dead.
        MemberDead,
        /// A daemon left by itself.
        MemberLeft,
        /// Another process uses this daemon's name.
        NameTaken,
        /// The target became ready.
        TargetReady,
        /// The target stopped being ready.
        TargetLost,
        /// A target was ejected for its failures.
        Ejected,
        /// The store answers again.
        StoreUp,
        /// The store does not answer.
        StoreDown,
        /// This daemon took over a move.
        MoveHeld,
        /// This daemon gave a move up.
        MoveReleased,
        /// A move's cleared share changed.
        MoveCleared,
        /// A move may miss its deadline.
        MoveAtRisk,
        /// A move's verdict was decided.
        MoveDecided,
        /// A move's verdict was accepted by the store.
        MoveClosed,
    }
}

impl EventKind {
    /// Returns the word used in logs and filters.
    pub fn word(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
            Self::Applied => "applied",
            Self::Refused => "refused",
            Self::MemberAlive => "member-alive",
            Self::MemberSuspect => "member-suspect",
            Self::MemberDead => "member-dead",
            Self::MemberLeft => "member-left",
            Self::NameTaken => "name-taken",
            Self::TargetReady => "target-ready",
            Self::TargetLost => "target-lost",
            Self::Ejected => "ejected",
            Self::StoreUp => "store-up",
            Self::StoreDown => "store-down",
            Self::MoveHeld => "move-held",
            Self::MoveReleased => "move-released",
            Self::MoveCleared => "move-cleared",
            Self::MoveAtRisk => "move-at-risk",
            Self::MoveDecided => "move-decided",
            Self::MoveClosed => "move-closed",
        }
    }
}

value_type! {
    /// One event.
    pub struct TimelineEvent {
        /// When, in an order that respects messages.
        pub stamp: HybridStamp,
        /// Daemon that saw it.
        pub daemon: Arc<str>,
        /// What happened.
        pub kind: EventKind,
        /// Pool concerned.
        pub pool: Option<Arc<str>>,
        /// Move concerned.
        pub move_id: Option<u64>,
        /// Details as `key=value` words or plain text.
        pub detail: String,
    }
}

impl Display for TimelineEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.stamp.wall, self.daemon, self.kind.word())?;
        if let Some(pool) = &self.pool {
            write!(f, " pool={pool}")?;
        }
        if let Some(move_id) = self.move_id {
            write!(f, " move={move_id}")?;
        }
        write!(f, " {}", self.detail)
    }
}

/// Which events an operator wants to see.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only of this pool.
    pub pool: Option<String>,
    /// Only of this move.
    pub move_id: Option<u64>,
    /// Only of this daemon.
    pub daemon: Option<String>,
    /// Only from this time on.
    pub since: TimePoint,
}

impl EventFilter {
    /// Tells whether an event is wanted.
    pub fn admits(&self, event: &TimelineEvent) -> bool {
        let pool = self
            .pool
            .as_deref()
            .is_none_or(|pool| event.pool.as_deref() == Some(pool));
        let of_move = self.move_id.is_none_or(|move_id| event.move_id == Some(move_id));
        let daemon = self
            .daemon
            .as_deref()
            .is_none_or(|daemon| *event.daemon == *daemon);
        pool && of_move && daemon && event.stamp.wall >= self.since
    }
}

/// Merges the events of several processes into one time line.
pub fn merge_events(
    events: impl IntoIterator<Item = TimelineEvent>,
    filter: &EventFilter,
) -> Vec<TimelineEvent> {
    let mut merged: Vec<TimelineEvent> = events.into_iter().filter(|event| filter.admits(event)).collect();
    merged.sort_by(|a, b| (a.stamp, &a.daemon).cmp(&(b.stamp, &b.daemon)));
    merged
}
