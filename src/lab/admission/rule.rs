//! Ways in which gates decide who runs.

use {
    super::pattern::CallKind,
    crate::{clock::TimePoint, gate::GateArrival},
};

/// Length of a queue that the expected answer limits first, as settings have it by default.
const LONG_QUEUE: usize = 24;
/// Length of a queue with a fixed limit.
const SHORT_QUEUE: usize = 6;

/// How gates decide who runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRule {
    /// The product: nested calls, then by rank and useful time; refused if the answer would be late by the run times of
    /// each route; no runs that would be lost.
    Nested,
    /// The same without regard to what is nested: rank, then useful time.
    ByRoute,
    /// The same with one mean run time for all kinds.
    OneMean,
    /// In the order of arrival, until the deadline.
    FirstCome,
    /// In the order of arrival, with a short queue.
    FixedQueue,
}

impl AdmissionRule {
    /// All rules, the product's first.
    pub const ALL: [Self; 5] = [
        Self::Nested,
        Self::ByRoute,
        Self::OneMean,
        Self::FirstCome,
        Self::FixedQueue,
    ];

    /// Returns the name in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Nested => "nested first",
            Self::ByRoute => "by route",
            Self::OneMean => "one mean",
            Self::FirstCome => "first come",
            Self::FixedQueue => "fixed queue",
        }
    }

    pub(super) fn queue_limit(self) -> usize {
        match self {
            Self::FixedQueue => SHORT_QUEUE,
            _ => LONG_QUEUE,
        }
    }

    pub(super) fn arrival(
        self,
        kind: &CallKind,
        (useful_until, deadline): (TimePoint, TimePoint),
        is_nested: bool,
    ) -> GateArrival {
        match self {
            Self::Nested | Self::ByRoute => GateArrival {
                route: kind.route.into(),
                priority: kind.priority,
                useful_until,
                deadline,
                start_by: deadline,
                is_nested: is_nested && self == Self::Nested,
            },
            Self::OneMean => GateArrival {
                route: "all".into(),
                priority: kind.priority,
                useful_until,
                deadline,
                start_by: deadline,
                is_nested: false,
            },
            Self::FirstCome | Self::FixedQueue => GateArrival {
                route: "all".into(),
                priority: 0,
                useful_until: useful_until.after_ms(60_000 - kind.useful_ms),
                deadline,
                start_by: deadline,
                is_nested: false,
            },
        }
    }
}
