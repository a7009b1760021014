//! Events of the timeline, and their filter and merge.

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
    /// Kind of an event.
    pub enum EventKind {
        /// The daemon started.
        Started,
        /// The daemon began to drain, to leave the mesh.
        Leaving,
        /// The daemon finished its last call, or the time for that ran out.
        Drained,
        /// The daemon applied a configuration version.
        Applied,
        /// The daemon refused a configuration that a peer or the store offered.
        Refused,
        /// A daemon joined or answers again.
        MemberAlive,
        /// A daemon did not answer probes.
        MemberSuspect,
        /// A daemon was declared dead.
        MemberDead,
        /// A daemon left the mesh on purpose.
        MemberLeft,
        /// A data centre was evacuated.
        Evacuated,
        /// An evacuation was taken back.
        EvacuationEnded,
        /// Another process uses this daemon's name.
        NameTaken,
        /// The target became ready.
        TargetReady,
        /// The target is no longer ready.
        TargetLost,
        /// The target ended without notice while it ran requests.
        TargetEnded,
        /// A request is held back, as targets ended under it.
        RequestHeld,
        /// A request under which several targets had ended ran well.
        RequestCleared,
        /// A target was ejected because of its failures.
        Ejected,
        /// The store answers again.
        StoreUp,
        /// The store does not answer.
        StoreDown,
        /// This daemon became the controller of a move.
        MoveHeld,
        /// This daemon stopped controlling a move: it leaves, or another controller superseded it.
        MoveReleased,
        /// A move's cleared share changed.
        MoveCleared,
        /// A move may miss its deadline.
        MoveAtRisk,
        /// A move's verdict was decided.
        MoveDecided,
        /// A move's verdict was written to the store.
        MoveClosed,
    }
}

impl EventKind {
    /// Returns the name of the kind as logs and the timeline print it.
    pub fn as_str(self) -> &'static str {
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
            Self::Evacuated => "evacuated",
            Self::EvacuationEnded => "evacuation-ended",
            Self::NameTaken => "name-taken",
            Self::TargetReady => "target-ready",
            Self::TargetLost => "target-lost",
            Self::TargetEnded => "target-ended",
            Self::RequestHeld => "request-held",
            Self::RequestCleared => "request-cleared",
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
    /// One event of the timeline.
    pub struct TimelineEvent {
        /// Time of the event; an event that follows a message is later than the sender's events before the message.
        pub stamp: HybridStamp,
        /// Name of the daemon that recorded the event.
        pub daemon: Arc<str>,
        /// Kind of the event.
        pub kind: EventKind,
        /// Pool that the event concerns.
        pub pool: Option<Arc<str>>,
        /// Identity of the move that the event concerns.
        pub move_id: Option<u64>,
        /// Details as `key=value` words or plain text.
        pub detail: String,
    }
}

impl Display for TimelineEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.stamp.wall, self.daemon, self.kind.as_str())?;
        if let Some(pool) = &self.pool {
            write!(f, " pool={pool}")?;
        }
        if let Some(move_id) = self.move_id {
            write!(f, " move={move_id}")?;
        }
        write!(f, " {}", self.detail)
    }
}

/// Filter for events; unset fields match every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Name of the pool.
    pub pool: Option<String>,
    /// Identity of the move.
    pub move_id: Option<u64>,
    /// Name of the daemon.
    pub daemon: Option<String>,
    /// Earliest wall time.
    pub since: TimePoint,
}

impl EventFilter {
    /// Returns whether an event passes the filter.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        let is_of_pool = self
            .pool
            .as_deref()
            .is_none_or(|pool| event.pool.as_deref() == Some(pool));
        let is_of_move = self.move_id.is_none_or(|move_id| event.move_id == Some(move_id));
        let is_of_daemon = self
            .daemon
            .as_deref()
            .is_none_or(|daemon| *event.daemon == *daemon);
        is_of_pool && is_of_move && is_of_daemon && event.stamp.wall >= self.since
    }
}

/// Merges the events of several daemons that pass the filter into one timeline, ordered by stamp.
pub fn merge_events(
    events: impl IntoIterator<Item = TimelineEvent>,
    filter: &EventFilter,
) -> Vec<TimelineEvent> {
    let mut merged: Vec<TimelineEvent> = events.into_iter().filter(|event| filter.matches(event)).collect();
    merged.sort_by(|a, b| (a.stamp, &a.daemon).cmp(&(b.stamp, &b.daemon)));
    merged
}
