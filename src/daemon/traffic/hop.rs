//! What one daemon tells another about a call: the headers between a proxy and a gate.

use {
    super::relay::{header_value, number_header, text_header},
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
    /// Route of a call, between daemons.
    pub const ROUTE: &str = "fuchsiashore-route";
    /// Pool of a call, between daemons.
    pub const POOL: &str = "fuchsiashore-pool";
    /// Identity of the target that is meant, between daemons.
    pub const TARGET: &str = "fuchsiashore-target";
    /// Service beside which the call began, between daemons.
    pub const CALLER: &str = "fuchsiashore-caller";
    /// Whether a call may be repeated, between daemons.
    pub const REPEATABLE: &str = "fuchsiashore-repeatable";
    /// Rank of the route, between daemons.
    pub const PRIORITY: &str = "fuchsiashore-priority";
    /// Time in which an answer is still of use, in milliseconds, between daemons.
    pub const USEFUL_MS: &str = "fuchsiashore-useful-ms";
    /// Calls that run and wait at a gate and its typical run time, on its answers.
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
        let left_ms = self.deadline.ms_since(now).max(1);
        headers.insert(header::CALL, header_value(&self.id));
        headers.insert(header::ROUTE, header_value(&self.route));
        headers.insert(header::POOL, header_value(&self.pool));
        headers.insert(header::TARGET, header_value(&self.target));
        headers.insert(header::CALLER, header_value(&self.caller));
        headers.insert(header::REPEATABLE, u16::from(self.repeatable).into());
        headers.insert(header::PRIORITY, u16::from(self.priority).into());
        headers.insert(header::USEFUL_MS, self.useful_until.ms_since(now).into());
        headers.insert(header::TIMEOUT_MS, left_ms.into());
    }

    /// Reads the call from the headers of a request. Returns `None` if it does not come from a daemon.
    pub fn read(headers: &HeaderMap, now: TimePoint) -> Option<Self> {
        let text = |name| text_header(headers, name).map(Arc::from);
        Some(Self {
            id: text(header::CALL)?,
            route: text(header::ROUTE)?,
            pool: text(header::POOL)?,
            target: text(header::TARGET)?,
            caller: text(header::CALLER)?,
            repeatable: number_header(headers, header::REPEATABLE)? != 0,
            priority: number_header(headers, header::PRIORITY)?.try_into().ok()?,
            useful_until: now.after_ms(number_header(headers, header::USEFUL_MS)?),
            deadline: now.after_ms(number_header(headers, header::TIMEOUT_MS)?),
        })
    }
}
