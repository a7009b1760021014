//! Header conventions of callers and targets, behind a trait.

use {
    super::{
        hop::header,
        relay::{header_value, text_header},
    },
    crate::{
        call::{CallOutcome, RefusalReason, TargetLoad},
        clock::TimePoint,
    },
    salvo::http::{HeaderMap, StatusCode},
    std::{
        fmt::{Debug, Formatter},
        sync::Arc,
    },
};

/// Options that a caller sets for its call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// Id that the caller gave the call, for logs.
    pub id: Option<Arc<str>>,
    /// Time for which the caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// Properties of a call that are sent to the target.
#[derive(Debug, Clone)]
pub struct CallContext<'a> {
    /// Id of the target that was chosen.
    pub target: &'a str,
    /// Service whose daemon accepted the call from the caller.
    pub caller: &'a str,
    /// Organisation whose key the caller has shown.
    pub organisation: Option<&'a str>,
    /// Time left for the call, in milliseconds.
    pub left_ms: u64,
}

/// Key in the headers of a caller's request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallerKey<'a> {
    /// There is none.
    Missing,
    /// There are several, or the header has another form.
    Malformed,
    /// This one.
    Shown(&'a str),
}

impl Debug for CallerKey<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Shown(_) => "shown",
        })
    }
}

/// Verdict on the head of a target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The target ran the request, and this is its answer.
    Ran,
    /// The target rejected the request; it has not run and will not.
    NotRun,
    /// The answer may belong to another request, so this one may have run.
    Foreign,
}

/// Headers by which callers and targets exchange options, outcomes and reasons of a call.
pub trait CallDialect: Debug + Send + Sync {
    /// Returns the id that the caller gave the call, if there is one. It is read before everything else, so that every
    /// refusal can be logged with it.
    fn call_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the names of request headers, in lower case, that reach the target even if the caller names them as options of
    /// its connection.
    fn end_to_end_names(&self) -> &'static [&'static str];

    /// Parses the options in the headers of a caller's request. The error states which header is malformed and what it
    /// must contain.
    fn parse_options(&self, headers: &HeaderMap) -> Result<CallOptions, &'static str>;

    /// Returns the key that the caller shows.
    fn caller_key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a>;

    /// Removes what only this system may tell a target, or must not: the caller's key and organisation.
    fn remove_credentials(&self, headers: &mut HeaderMap);

    /// Adds the headers of a refusal to `headers`. `request` holds the headers of the call, `retry_ms` is the time in
    /// milliseconds after which the caller may try again.
    fn add_refusal_headers(
        &self,
        request: &HeaderMap,
        outcome: CallOutcome,
        reason: RefusalReason,
        retry_ms: u64,
        headers: &mut HeaderMap,
    );

    /// Adds the properties of the call to the headers of a request to the target.
    fn add_request_headers(&self, call: &CallContext<'_>, headers: &mut HeaderMap);

    /// Returns whether [`Self::classify_answer`] can tell the answer to this request from one to another request. If not,
    /// the request gets a connection of its own.
    fn can_match_answer(&self, request: &HeaderMap) -> bool;

    /// Decides from the head of the target's answer whether it belongs to the request, and whether the request ran.
    fn classify_answer(&self, request: &HeaderMap, status: StatusCode, answer: &HeaderMap) -> AnswerVerdict;

    /// Returns the load that the target states in an answer; `None` if it states none or none that can be read.
    fn target_load(&self, _answer: &HeaderMap) -> Option<TargetLoad> {
        None
    }
}

/// Default dialect: `fuchsiashore-` headers for callers and targets, without any header required from targets.
#[derive(Debug, Clone, Copy)]
pub struct OwnDialect;

impl CallDialect for OwnDialect {
    fn call_id<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn end_to_end_names(&self) -> &'static [&'static str] {
        &[]
    }

    fn parse_options(&self, headers: &HeaderMap) -> Result<CallOptions, &'static str> {
        let timeout_ms = parse_time_left(headers, header::TIMEOUT_MS)
            .map_err(|_| "fuchsiashore-timeout-ms must be a number of milliseconds")?;
        Ok(CallOptions { id: None, timeout_ms })
    }

    fn caller_key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a> {
        match headers.get_all(header::KEY).iter().count() {
            0 => CallerKey::Missing,
            1 => text_header(headers, header::KEY)
                .filter(|key| !key.is_empty())
                .map_or(CallerKey::Malformed, CallerKey::Shown),
            _ => CallerKey::Malformed,
        }
    }

    fn remove_credentials(&self, headers: &mut HeaderMap) {
        headers.remove(header::KEY);
        headers.remove(header::ORGANISATION);
    }

    fn add_refusal_headers(
        &self,
        _request: &HeaderMap,
        outcome: CallOutcome,
        reason: RefusalReason,
        _retry_ms: u64,
        headers: &mut HeaderMap,
    ) {
        headers.insert(header::OUTCOME, header_value(&outcome.to_string()));
        headers.insert(header::REASON, header_value(reason.as_str()));
    }

    fn add_request_headers(&self, call: &CallContext<'_>, headers: &mut HeaderMap) {
        headers.insert(header::TIMEOUT_MS, call.left_ms.into());
        if let Some(organisation) = call.organisation {
            headers.insert(header::ORGANISATION, header_value(organisation));
        }
    }

    fn can_match_answer(&self, _request: &HeaderMap) -> bool {
        // No answer has an id, so targets must not send more than one.
        true
    }

    fn classify_answer(
        &self,
        _request: &HeaderMap,
        _status: StatusCode,
        _answer: &HeaderMap,
    ) -> AnswerVerdict {
        AnswerVerdict::Ran
    }
}

/// A header that is present but is not a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotANumber;

/// Parses a header that holds the time left to a caller, in milliseconds; `None` if it is missing. A caller whose time has
/// run out may send 0 or a negative number; both mean that the deadline has passed. Fractions are cut off.
pub fn parse_time_left(headers: &HeaderMap, name: &str) -> Result<Option<u64>, NotANumber> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| NotANumber)?;
    let ms: f64 = text.trim().parse().map_err(|_| NotANumber)?;
    // The conversion saturates, so a negative number becomes 0.
    if ms.is_finite() {
        Ok(Some(ms as u64))
    } else {
        Err(NotANumber)
    }
}

/// Returns the deadline of a call: the caller's timeout or the route's timeout of `route_ms`, whichever ends first.
pub fn call_deadline(options: &CallOptions, route_ms: u64, now: TimePoint) -> TimePoint {
    now.after_ms(
        options
            .timeout_ms
            .map_or(route_ms, |caller_ms| caller_ms.min(route_ms)),
    )
}
