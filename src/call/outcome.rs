//! Outcomes of calls and attempts, and reasons of refusals.

use {
    crate::macros::key_type,
    std::fmt::{Display, Formatter},
};

key_type! {
    /// Whether the request of a refused call may have run.
    pub enum CallOutcome {
        /// The request did not run at any target.
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
    /// Outcome of one attempt at one target.
    pub enum AttemptOutcome {
        /// The target answered with a status other than 5xx.
        Answered,
        /// The target answered with a 5xx status.
        Failed,
        /// The gate refused the request or no connection was made, so the request did not reach the target.
        NotRun,
        /// The target rejected the request without running it.
        Rejected,
        /// The connection broke after the request was sent, the answer was truncated or belongs to another call, or
        /// the gate reported an unknown outcome. The request may have run.
        Broken,
        /// No complete answer arrived before the deadline. The request may have run.
        Stalled,
    }
}

key_type! {
    /// Reason for which a call was refused.
    pub enum RefusalReason {
        /// No configuration has been applied yet.
        NoConfiguration,
        /// No route matches the host and path.
        NoRoute,
        /// The table in force does not admit the request, but it may not be the newest one; or it admits the request, and the
        /// newer one of a gate does not.
        StaleTable,
        /// Routes match the host and path, but none accepts the method.
        WrongMethod,
        /// This daemon knows no target of the versions that may serve the call.
        NoTarget,
        /// The deadline passed.
        DeadlinePassed,
        /// Gates or targets refused the request, and no other target, time or retry budget is left.
        Refused,
        /// The connection broke after the request was sent.
        Broken,
        /// The request is malformed.
        BadRequest,
        /// The request body is in a transfer coding that nobody here decodes.
        UnknownCoding,
        /// The request head exceeds the size limit.
        HeadTooLarge,
        /// The request body exceeds the size limit.
        BodyTooLarge,
        /// The request body broke off or did not arrive before the deadline.
        BodyIncomplete,
        /// This daemon is leaving and accepts no more calls.
        Leaving,
        /// Targets ended under this request, so it is held back.
        Quarantined,
        /// The caller shows no key of an organisation.
        UnknownKey,
        /// Keys may have been removed of which this daemon has not heard.
        KeysUnconfirmed,
        /// The caller's organisation is over its quota.
        OverQuota,
        /// The owner of the organisation's quota has not answered.
        QuotaUnconfirmed,
    }
}

impl RefusalReason {
    /// Returns the reason as written to the response header, logs and the response body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::StaleTable => "stale-table",
            Self::WrongMethod => "wrong-method",
            Self::NoTarget => "no-target",
            Self::DeadlinePassed => "deadline-passed",
            Self::Refused => "refused",
            Self::Broken => "connection-broken",
            Self::BadRequest => "bad-request",
            Self::UnknownCoding => "unknown-coding",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::OverQuota => "over-quota",
            Self::QuotaUnconfirmed => "quota-unconfirmed",
        }
    }

    /// Returns a sentence for the response body: what failed and what the caller can do.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => {
                "no configuration has reached this daemon yet; try again in a few seconds"
            }
            Self::StaleTable => {
                "this daemon may lack the newest configuration, by which the request has to be decided; try again"
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
            Self::UnknownCoding => "the transfer coding is not served; send the body as it is or in chunks:",
            Self::HeadTooLarge => "the request head is over the limit; send fewer or shorter headers:",
            Self::BodyTooLarge => "the request body is over the limit; send less:",
            Self::BodyIncomplete => "the body did not arrive whole before the deadline; send it again",
            Self::Leaving => "this daemon is leaving; use another one",
            Self::UnknownKey => "the request shows no key of an organisation; send one key that is in force:",
            Self::KeysUnconfirmed => {
                "this daemon has not heard for too long which keys are in force; try again or use another daemon"
            }
            Self::OverQuota => {
                "the organisation has made as many calls as it may; try again after the time in retry-after"
            }
            Self::QuotaUnconfirmed => {
                "the daemon that grants calls of the organisation has not answered; try again"
            }
            Self::Quarantined => {
                "targets ended under this request, so it is held back; don't repeat it before the time in retry-after"
            }
        }
    }
}
