//! Log lines of refused requests, limited in number.

use {
    super::{shared::SharedState, traffic::request_host},
    crate::clock::TimePoint,
    parking_lot::Mutex,
    salvo::Request,
    std::{
        collections::HashMap,
        fmt::{Display, Formatter},
    },
};

/// Refusals of one reason that are logged per second.
const LINES_PER_S: f64 = 50.0;
/// Refusals of one reason that are logged at once after a quiet time.
const LINE_BURST: f64 = 500.0;
/// Longest text of a request in a log line, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Token bucket of the lines of one reason.
#[derive(Debug)]
struct LineBucket {
    tokens: f64,
    refilled_at: TimePoint,
    /// Refusals since the last line that were not logged.
    suppressed: u64,
}

/// Limits the number of log lines for each listener and reason.
#[derive(Debug, Default)]
pub struct RefusalLines {
    buckets: Mutex<HashMap<(&'static str, &'static str), LineBucket>>,
}

impl RefusalLines {
    /// Returns the number of refusals that were not logged since the last line if this one is to be logged, otherwise
    /// `None`.
    pub fn admit(&self, listener: &'static str, reason: &'static str, now: TimePoint) -> Option<u64> {
        let mut buckets = self.buckets.lock();
        let bucket = buckets.entry((listener, reason)).or_insert(LineBucket {
            tokens: LINE_BURST,
            refilled_at: now,
            suppressed: 0,
        });
        let refill = now.ms_since(bucket.refilled_at) as f64 / 1e3 * LINES_PER_S;
        bucket.tokens = (bucket.tokens + refill).min(LINE_BURST);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
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
