//! The headers of a call between an outbound proxy and a gate.

use {
    super::relay::{header_value, text_header},
    crate::{clock::TimePoint, config::KeyDigest, quarantine::CallFingerprints},
    salvo::http::HeaderMap,
    std::{borrow::Cow, fmt::Write as _, sync::Arc},
};

/// Names of the headers that daemons add.
pub mod header {
    /// Id of an attempt; the gate's answer repeats it.
    pub const CALL: &str = "fuchsiashore-call";
    /// Time left for a call, in milliseconds.
    pub const TIMEOUT_MS: &str = "fuchsiashore-timeout-ms";
    /// On refusals: `not-run` or `unknown`.
    pub const OUTCOME: &str = "fuchsiashore-outcome";
    /// On refusals: the reason, without spaces.
    pub const REASON: &str = "fuchsiashore-reason";
    /// Properties of a call from proxy to gate: the fields of `HopCall`, separated by spaces, names percent-encoded.
    pub const HOP: &str = "fuchsiashore-hop";
    /// Load of a target, on its gate's answers: [`crate::call::LoadReport`].
    pub const LOAD: &str = "fuchsiashore-load";
    /// Version of a gate's table, on refusals of calls that an older one admitted.
    pub const TABLE: &str = "fuchsiashore-table";
    /// Clearance of the pool's open move, on a gate's answers.
    pub const CLEARANCE: &str = "fuchsiashore-clearance";
    /// Key of the caller's organisation.
    pub const KEY: &str = "fuchsiashore-key";
    /// Organisation of the caller, on requests to targets.
    pub const ORGANISATION: &str = "fuchsiashore-organisation";
    /// Common prefix of all of them.
    pub const PREFIX: &str = "fuchsiashore-";
}

/// Reason of a gate for which the body of a request did not arrive whole.
pub const BODY_INCOMPLETE: &str = "body-incomplete";

/// Reason of a gate whose target ended while it ran the request.
pub const TARGET_ENDED: &str = "target-ended";

/// Properties of one attempt of a call, sent from an outbound proxy to a gate.
#[derive(Debug, Clone)]
pub struct HopCall {
    /// Id of the attempt.
    pub id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Id of the target that was chosen.
    pub target: Arc<str>,
    /// Service whose daemon accepted the call from the caller.
    pub caller: Arc<str>,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Time after which an answer counts as late.
    pub useful_until: TimePoint,
    /// Time at which the call is given up.
    pub deadline: TimePoint,
    /// Time by which the call must have a slot, else the gate refuses it: the daemon that took it may exit after that.
    pub start_by: TimePoint,
    /// Fingerprints of the request; `None` if the proxy is of an earlier version.
    pub fingerprints: Option<CallFingerprints>,
    /// Organisation whose key the caller has shown.
    pub organisation: Option<Arc<str>>,
    /// Digest of that key.
    pub key: Option<KeyDigest>,
    /// Version of the proxy's table; 0 if the proxy is of an earlier version.
    pub table_version: u64,
    /// Whether gates know the route as one that targets call in their runs.
    pub is_nested: bool,
    /// Whether the target beside the proxy was running nothing when the call came, so that it can't have made it.
    pub came_idle: bool,
}

impl HopCall {
    /// Writes the properties into the headers of a request. Times are sent as milliseconds left.
    pub fn write(&self, headers: &mut HeaderMap, now: TimePoint) {
        let mut text = format!(
            "{} {} {} {} {} {} {} {} {} {}",
            self.id,
            encode_word(&self.route),
            encode_word(&self.pool),
            encode_word(&self.target),
            encode_word(&self.caller),
            u8::from(self.repeatable),
            self.priority,
            self.useful_until.ms_since(now),
            self.deadline.ms_since(now).max(1),
            self.start_by.ms_since(now),
        );
        if let Some(fingerprints) = &self.fingerprints {
            // Writing to a string can't fail.
            let _ = write!(text, " {fingerprints}");
        }
        if let Some(organisation) = &self.organisation {
            let _ = write!(text, " organisation={}", encode_word(organisation));
        }
        if let Some(key) = &self.key {
            let _ = write!(text, " key={key}");
        }
        // Writing to a string can't fail.
        let _ = write!(text, " table={}", self.table_version);
        if self.is_nested {
            text.push_str(" nested=1");
        }
        if self.came_idle {
            text.push_str(" idle=1");
        }
        headers.insert(header::HOP, header_value(&text));
    }

    /// Parses the properties from the headers of a request. Returns `None` if the header is missing or malformed, that
    /// is, if the request does not come from a daemon.
    pub fn read(headers: &HeaderMap, now: TimePoint) -> Option<Self> {
        let mut words = text_header(headers, header::HOP)?.split(' ');
        let mut next = || words.next().filter(|word| !word.is_empty());
        let mut call = Self {
            id: next()?.into(),
            route: decode_word(next()?)?,
            pool: decode_word(next()?)?,
            target: decode_word(next()?)?,
            caller: decode_word(next()?)?,
            repeatable: next()? == "1",
            priority: next()?.parse().ok()?,
            useful_until: now.after_ms(next()?.parse().ok()?),
            deadline: now.after_ms(next()?.parse().ok()?),
            start_by: TimePoint::FAR_FUTURE,
            fingerprints: None,
            organisation: None,
            key: None,
            table_version: 0,
            is_nested: false,
            came_idle: false,
        };
        // Earlier versions send fewer words.
        if let Some(word) = next() {
            call.start_by = now.after_ms(word.parse().ok()?);
        }
        for word in words {
            match word.split_once('=') {
                Some(("organisation", name)) => call.organisation = Some(decode_word(name)?),
                Some(("key", digest)) => call.key = digest.parse().ok(),
                Some(("table", version)) => call.table_version = version.parse().unwrap_or_default(),
                Some(("nested", flag)) => call.is_nested = flag == "1",
                Some(("idle", flag)) => call.came_idle = flag == "1",
                // A word of a later version.
                Some(_) => {}
                None => call.fingerprints = word.parse().ok(),
            }
        }
        Some(call)
    }
}

/// Encodes a name as one word of visible ASCII: other bytes, and `%`, become `%` and two hexadecimal digits.
fn encode_word(name: &str) -> Cow<'_, str> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'%';
    if name.bytes().all(is_plain) {
        return Cow::Borrowed(name);
    }
    let mut word = String::with_capacity(name.len() + 16);
    for byte in name.bytes() {
        if is_plain(byte) {
            word.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(word, "%{byte:02x}");
        }
    }
    Cow::Owned(word)
}

/// Decodes a word of [`encode_word`]; `None` if it is malformed.
fn decode_word(word: &str) -> Option<Arc<str>> {
    if !word.contains('%') {
        return Some(word.into());
    }
    let mut name = Vec::with_capacity(word.len());
    let mut left = word;
    while let Some((plain, encoded)) = left.split_once('%') {
        name.extend_from_slice(plain.as_bytes());
        name.push(u8::from_str_radix(encoded.get(..2)?, 16).ok()?);
        left = &encoded[2..];
    }
    name.extend_from_slice(left.as_bytes());
    String::from_utf8(name).ok().map(Into::into)
}
