//! What one daemon tells another about a call: the headers between a proxy and a gate.

use {
    super::relay::{header_value, text_header},
    crate::clock::TimePoint,
    salvo::http::HeaderMap,
    std::sync::Arc,
};

/// Names of the headers that daemons add.
pub mod header {
    /// Identity of an attempt; the gate's answer repeats it.
    pub const CALL: &str = "fuchsiashore-call";
    /// Time left for a call, in milliseconds.
    pub const TIMEOUT_MS: &str = "fuchsiashore-timeout-ms";
    /// On refusals: `not-run` or `unknown`.
    pub const OUTCOME: &str = "fuchsiashore-outcome";
    /// On refusals: a word for the reason.
    pub const REASON: &str = "fuchsiashore-reason";
    /// A call as a proxy hands it to a gate: [`super::HopCall`], its fields parted by blanks.
    pub const HOP: &str = "fuchsiashore-hop";
    /// Load of a gate, on its answers: [`crate::call::LoadReport`].
    pub const LOAD: &str = "fuchsiashore-load";
    /// Clearance of the pool's open move, on a gate's answers.
    pub const CLEARANCE: &str = "fuchsiashore-clearance";
    /// What all of them begin with.
    pub const PREFIX: &str = "fuchsiashore-";
}

/// One attempt of a call, as a proxy hands it to a gate.
#[derive(Debug, Clone)]
pub struct HopCall {
    /// Identity of the attempt.
    pub id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Identity of the target that is meant.
    pub target: Arc<str>,
    /// Service beside which the call began.
    pub caller: Arc<str>,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// When an answer loses its value.
    pub useful_until: TimePoint,
    /// When the call is given up.
    pub deadline: TimePoint,
}

impl HopCall {
    /// Writes the call into the headers of a request; times travel as time left.
    pub fn write(&self, headers: &mut HeaderMap, now: TimePoint) {
        let text = format!(
            "{} {} {} {} {} {} {} {} {}",
            self.id,
            self.route,
            self.pool,
            self.target,
            self.caller,
            u8::from(self.repeatable),
            self.priority,
            self.useful_until.ms_since(now),
            self.deadline.ms_since(now).max(1),
        );
        headers.insert(header::HOP, header_value(&text));
    }

    /// Reads the call from the headers of a request. Returns `None` if it does not come from a daemon.
    pub fn read(headers: &HeaderMap, now: TimePoint) -> Option<Self> {
        let mut words = text_header(headers, header::HOP)?.split(' ');
        let mut next = || words.next().filter(|word| !word.is_empty());
        Some(Self {
            id: next()?.into(),
            route: next()?.into(),
            pool: next()?.into(),
            target: next()?.into(),
            caller: next()?.into(),
            repeatable: next()? == "1",
            priority: next()?.parse().ok()?,
            useful_until: now.after_ms(next()?.parse().ok()?),
            deadline: now.after_ms(next()?.parse().ok()?),
        })
    }
}
