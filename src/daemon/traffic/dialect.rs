//! The edge at which callers' and targets' ways of speaking are met.

use {
    super::{
        hop::header,
        relay::{header_value, number_header},
    },
    crate::{
        call::{CallOutcome, RefusalReason},
        clock::TimePoint,
        config::MAX_TIMEOUT_MS,
    },
    salvo::http::{HeaderMap, StatusCode},
    std::{fmt::Debug, sync::Arc},
};

/// What a caller states of its call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// Identity that the caller gave the call, for logs.
    pub id: Option<Arc<str>>,
    /// Time that the caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// What a target is told of a call.
#[derive(Debug, Clone)]
pub struct CallContext<'a> {
    /// Identity of the target that is meant.
    pub target: &'a str,
    /// Service beside which the call began.
    pub caller: &'a str,
    /// Time left for the call, in milliseconds.
    pub left_ms: u64,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The target ran the request and answers it.
    Ran,
    /// The target turned the request away; it has not run and will not.
    NotRun,
    /// The answer can't be trusted to belong to the request: it may have run.
    Foreign,
}

/// How callers and targets state what a call needs beside HTTP.
pub trait CallDialect: Debug + Send + Sync {
    /// Reads what a caller states. The error says what is malformed and names the remedy.
    fn parse_options(&self, headers: &HeaderMap) -> Result<CallOptions, &'static str>;

    /// Adds to the headers of a refusal what a caller needs; `request` holds the headers of the call and
    /// `retry_ms` the time after which another try makes sense.
    fn add_refusal_headers(
        &self,
        request: &HeaderMap,
        outcome: CallOutcome,
        reason: RefusalReason,
        retry_ms: u64,
        headers: &mut HeaderMap,
    );

    /// Adds to the headers of a request what the target is told.
    fn add_request_headers(&self, call: &CallContext<'_>, headers: &mut HeaderMap);

    /// Judges the head of the target's answer to a request with these headers.
    fn classify_answer(&self, request: &HeaderMap, status: StatusCode, answer: &HeaderMap) -> AnswerVerdict;
}

/// The product's own dialect: `fuchsiashore-` headers, and targets that need to say nothing.
#[derive(Debug, Clone, Copy)]
pub struct OwnDialect;

impl CallDialect for OwnDialect {
    fn parse_options(&self, headers: &HeaderMap) -> Result<CallOptions, &'static str> {
        let stated = headers.contains_key(header::TIMEOUT_MS);
        let timeout_ms = number_header(headers, header::TIMEOUT_MS);
        let is_usable = timeout_ms.is_some_and(|timeout_ms| (1..=MAX_TIMEOUT_MS).contains(&timeout_ms));
        if stated && !is_usable {
            return Err("fuchsiashore-timeout-ms must be a whole number from 1 to 600000");
        }
        Ok(CallOptions { id: None, timeout_ms })
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
        headers.insert(header::REASON, header_value(reason.word()));
    }

    fn add_request_headers(&self, call: &CallContext<'_>, headers: &mut HeaderMap) {
        headers.insert(header::TIMEOUT_MS, call.left_ms.into());
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

/// Returns when a call ends: the caller's own limit or the route's, whichever comes first.
pub fn deadline_of(call: &CallOptions, route_ms: u64, now: TimePoint) -> TimePoint {
    now.after_ms(
        call.timeout_ms
            .map_or(route_ms, |caller_ms| caller_ms.min(route_ms)),
    )
}
