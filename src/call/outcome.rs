//! What can come of an attempt and of a call.

use {
    crate::macros::key_type,
    std::fmt::{Display, Formatter},
};

key_type! {
    /// What a refusal says about the request.
    pub enum CallOutcome {
        /// The request did not run anywhere.
        NotRun,
        /// The request may have run.
        Unknown,
    }
}

impl Display for CallOutcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

key_type! {
    /// What came of one attempt at one target.
    pub enum AttemptOutcome {
        /// The target answered.
        Answered,
        /// The target answered that it failed.
        Failed,
        /// The gate refused the request, or no connection was made: it did not reach the target.
        NotRun,
        /// The target turned the request away without running it.
        Rejected,
        /// The connection broke after the request was sent: it may have run.
        Broken,
        /// Nothing came within the attempt's deadline: it may have run.
        Stalled,
    }
}

key_type! {
    /// Why a call was refused.
    pub enum RefusalReason {
        /// No configuration has been applied yet.
        NoConfiguration,
        /// No route has the path.
        NoRoute,
        /// A route has the path but not the method.
        WrongMethod,
        /// No target of the service is known here.
        NoTarget,
        /// The deadline passed.
        DeadlinePassed,
        /// Targets refused, and there is no other target, time or retry budget left.
        Refused,
        /// The connection broke after the request was sent.
        Broken,
        /// The request is malformed.
        BadRequest,
        /// The request head is over the limit.
        HeadTooLarge,
        /// The request body is over the limit.
        BodyTooLarge,
        /// The request body did not arrive whole in time.
        BodyIncomplete,
        /// This daemon is leaving.
        Leaving,
    }
}

impl RefusalReason {
    /// Returns the word that stands in the answer's header.
    pub fn word(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::WrongMethod => "wrong-method",
            Self::NoTarget => "no-target",
            Self::DeadlinePassed => "deadline-passed",
            Self::Refused => "refused",
            Self::Broken => "connection-broken",
            Self::BadRequest => "bad-request",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::Leaving => "leaving",
        }
    }

    /// Returns what the caller can do.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => {
                "no configuration has reached this daemon yet; try again in a few seconds"
            }
            Self::NoRoute => "no route takes this path; check the path or add a route",
            Self::WrongMethod => "the route does not take this method; check the methods of the route",
            Self::NoTarget => {
                "no target of the service is known here; start one or wait until it has announced itself"
            }
            Self::DeadlinePassed => "the deadline passed; allow more time or look for slow targets",
            Self::Refused => "every target refused for now; try again later",
            Self::Broken => {
                "the connection to the target broke; find out whether the request ran before repeating it"
            }
            Self::BadRequest => "the request is malformed; see what follows:",
            Self::HeadTooLarge => "the request head is over the limit; send fewer or shorter headers",
            Self::BodyTooLarge => "the request body is over the limit; send less:",
            Self::BodyIncomplete => "the body did not arrive whole before the deadline; send it again",
            Self::Leaving => "this daemon is leaving; use another one",
        }
    }
}
