//! Log lines of refused requests, limited in number.

use {
    super::{shared::SharedState, traffic::request_host},
    crate::clock::TimePoint,
    indexmap::IndexMap,
    parking_lot::Mutex,
    salvo::{Request, http::StatusCode},
    std::{
        collections::HashMap,
        fmt::{Display, Formatter},
        hash::{BuildHasher, Hash, RandomState},
    },
};

/// Lines of one listener, status and reason.
const REASON_RATE: LineRate = LineRate {
    per_s: 50.0,
    burst: 500.0,
};
/// Lines of one subject when those of its reason are used up.
const SUBJECT_RATE: LineRate = LineRate {
    per_s: 1.0,
    burst: 5.0,
};
/// Number of subjects of a reason with a limit of their own. Those beyond share one.
const MAX_SUBJECTS: usize = 64;
/// Longest text of a request in a log line, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Listener, status and reason; no status if no answer was sent.
type ReasonKey = (&'static str, Option<StatusCode>, &'static str);

/// Rate of a token bucket.
#[derive(Debug, Clone, Copy)]
struct LineRate {
    /// Lines per second.
    per_s: f64,
    /// Lines at once after a quiet time.
    burst: f64,
}

/// Token bucket of log lines.
#[derive(Debug, Clone)]
struct LineBucket {
    tokens: f64,
    refilled_at: TimePoint,
}

impl LineBucket {
    fn new(rate: LineRate, now: TimePoint) -> Self {
        Self {
            tokens: rate.burst,
            refilled_at: now,
        }
    }

    fn take(&mut self, rate: LineRate, now: TimePoint) -> bool {
        self.refill(rate, now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn is_full(&mut self, rate: LineRate, now: TimePoint) -> bool {
        self.refill(rate, now);
        self.tokens >= rate.burst
    }

    fn refill(&mut self, rate: LineRate, now: TimePoint) {
        let refill = now.ms_since(self.refilled_at) as f64 / 1e3 * rate.per_s;
        self.tokens = (self.tokens + refill).min(rate.burst);
        self.refilled_at = now;
    }
}

/// Buckets of one listener, status and reason.
#[derive(Debug)]
struct ReasonLines {
    common: LineBucket,
    /// By the hash of the subject.
    subjects: IndexMap<u64, LineBucket>,
    /// Of the subjects beyond [`MAX_SUBJECTS`].
    rest: LineBucket,
    /// Requests since the last line that were not logged.
    suppressed: u64,
}

impl ReasonLines {
    fn new(now: TimePoint) -> Self {
        Self {
            common: LineBucket::new(REASON_RATE, now),
            subjects: IndexMap::new(),
            rest: LineBucket::new(SUBJECT_RATE, now),
            suppressed: 0,
        }
    }

    fn take_for_subject(&mut self, subject: u64, now: TimePoint) -> bool {
        if let Some(bucket) = self.subjects.get_mut(&subject) {
            return bucket.take(SUBJECT_RATE, now);
        }
        if self.subjects.len() >= MAX_SUBJECTS {
            // A bucket that is full again equals a new one.
            self.subjects
                .retain(|_, bucket| !bucket.is_full(SUBJECT_RATE, now));
        }
        if self.subjects.len() >= MAX_SUBJECTS {
            return self.rest.take(SUBJECT_RATE, now);
        }
        let bucket = self.subjects.entry(subject);
        bucket
            .or_insert_with(|| LineBucket::new(SUBJECT_RATE, now))
            .take(SUBJECT_RATE, now)
    }
}

/// Limits the number of log lines for each listener, status and reason. A few lines a second are kept for each subject, so
/// that many requests of one kind don't hide a rare one.
#[derive(Debug, Default)]
pub struct RefusalLines {
    reasons: Mutex<HashMap<ReasonKey, ReasonLines>>,
    hasher: RandomState,
}

impl RefusalLines {
    /// Returns the number of requests that were not logged since the last line if this one is to be logged, otherwise
    /// `None`. `status` is missing if no answer was sent. `subject` is what requests of one kind have in common, such as the host and the route.
    pub fn admit(
        &self,
        listener: &'static str,
        status: impl Into<Option<StatusCode>>,
        reason: &'static str,
        subject: impl Hash,
        now: TimePoint,
    ) -> Option<u64> {
        let subject = self.hasher.hash_one(subject);
        let mut reasons = self.reasons.lock();
        let lines = reasons
            .entry((listener, status.into(), reason))
            .or_insert_with(|| ReasonLines::new(now));
        if lines.common.take(REASON_RATE, now) || lines.take_for_subject(subject, now) {
            return Some(std::mem::take(&mut lines.suppressed));
        }
        lines.suppressed += 1;
        None
    }
}

/// Returns the host and the first segment of the path of a request, which requests of one kind have in common.
pub fn request_subject(req: &Request) -> (&str, &str) {
    let segment = req.uri().path().split('/').nth(1);
    (request_host(req), segment.unwrap_or(""))
}

/// Returns the beginning of a text of a request as one word for a log line.
pub fn log_word(text: &str) -> String {
    let mut word = String::new();
    for c in text.chars() {
        if word.len() >= MAX_TEXT_BYTES {
            word.push_str("..");
            break;
        }
        let is_plain = !c.is_whitespace() && !c.is_control();
        word.push(if is_plain { c } else { '?' });
    }
    word
}

/// Fields of a log line: what was requested, and the table in force by which it was judged.
pub struct RequestFields<'a> {
    pub shared: &'a SharedState,
    pub req: &'a Request,
}

impl Display for RequestFields<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { shared, req } = self;
        let snapshot = shared.snapshot.load();
        let now = shared.now();
        let age = match shared.freshness.age_ms(now) {
            ms if ms == now.0 => "never".to_owned(),
            ms => ms.to_string(),
        };
        write!(
            f,
            "method={} host={} path={} table={} table_age_ms={age} newest={}",
            req.method(),
            log_word(request_host(req)),
            log_word(req.uri().path()),
            snapshot.table.as_ref().map_or(0, |table| table.version),
            shared.freshness.newest_version()
        )
    }
}
