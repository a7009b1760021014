//! The tables of routes and pools that operators edit, and the rules for their content.

use {
    super::{
        head::is_false,
        host::normalize_host,
        organisation::{OrganisationEntry, check_organisations},
    },
    crate::{
        clock::TimePoint,
        macros::{key_type, value_type},
    },
    indexmap::IndexMap,
    std::{
        borrow::Cow,
        fmt::{Display, Formatter},
        sync::Arc,
    },
    thiserror::Error,
};

/// Maximum number of entries in a table that operators submit. Readers accept any number.
pub const MAX_ENTRIES: usize = 4_000;
/// Maximum length of a name, path, service, version, method or host, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum timeout of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum number of pools that a route splits its requests between.
pub const MAX_SHARES: usize = 16;
/// Maximum weight of a pool within a route.
pub const MAX_WEIGHT: u32 = 10_000;
/// The least urgent priority of a route; 0 is the most urgent.
pub const MAX_PRIORITY: u8 = 9;
/// Number of targets that one request may be sent to, unless its route sets another.
pub const DEFAULT_ATTEMPTS: u32 = 4;
/// Maximum number of attempts that a route may set.
pub const MAX_ATTEMPTS: u32 = 16;
/// Wildcard version of a pool whose target version is not known yet; matches every version.
pub const ANY_VERSION: &str = "*";
/// Method under which overlap checks list a route that accepts every method.
const ANY_METHOD: &str = "*";
/// Timeout of a route that sets none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 2_000;

key_type! {
    /// Which of the two tables an entry belongs to.
    pub enum TableKind {
        /// The table of routes.
        Route,
        /// The table of pools.
        Pool,
        /// The table of organisations.
        Organisation,
    }
}

impl Display for TableKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Route => "route",
            Self::Pool => "pool",
            Self::Organisation => "organisation",
        })
    }
}

key_type! {
    /// Whether a request of a route may be sent more than once.
    #[derive(Default)]
    pub enum RepeatRule {
        /// Only requests with an idempotent method (RFC 9110, section 9.2.2) may be repeated.
        #[default]
        ByMethod,
        /// Every request may be repeated.
        Always,
        /// No request may be repeated.
        Never,
    }
}

key_type! {
    /// Which goal of a move comes first: meeting the deadline or stopping a bad version early.
    #[derive(Default)]
    pub enum MovePolicy {
        /// Meeting the deadline comes first.
        #[default]
        Prompt,
        /// Stopping a bad version early comes first.
        Cautious,
    }
}

value_type! {
    /// A pool of a route with its weight.
    pub struct PoolShare {
        /// Name of the pool.
        pub pool: Arc<str>,
        /// Share of the route's requests, relative to the sum of all weights.
        pub weight: u32,
    }
}

impl PoolShare {
    /// Returns the shares of a route that sends all requests to one pool.
    pub fn whole(pool: impl Into<Arc<str>>) -> Vec<Self> {
        vec![Self {
            pool: pool.into(),
            weight: 1,
        }]
    }
}

value_type! {
    /// One route: which requests go to which pools.
    pub struct RouteEntry {
        /// Host that the route matches; `None` for every host.
        pub host: Option<Arc<str>>,
        /// Path prefix, matched at segment boundaries; the longest match wins. A prefix with a trailing slash matches
        /// only paths below it.
        pub path: Arc<str>,
        /// Methods that the route accepts, in upper case; empty for all.
        pub methods: Vec<Arc<str>>,
        /// Pools that serve the route, by weight.
        pub pools: Vec<PoolShare>,
        /// Whether requests may be repeated.
        pub repeat: RepeatRule,
        /// Maximum time of a call, in milliseconds.
        pub timeout_ms: u64,
        /// Latency up to which an answer has its full value to the caller, in milliseconds; the timeout if `None`.
        pub target_latency_ms: Option<u64>,
        /// Rank of the route's calls under load, from 0 (most urgent) to `MAX_PRIORITY`.
        pub priority: u8,
        /// Maximum number of targets that one request is sent to.
        pub attempts: u32,
        /// Whether calls need no key although there are organisations. Left out if false, so that entries without it keep their
        /// encoding.
        #[serde(default, skip_serializing_if = "is_false")]
        pub is_keyless: bool,
    }
}

impl Default for RouteEntry {
    fn default() -> Self {
        Self {
            host: None,
            path: "/".into(),
            methods: Vec::new(),
            pools: Vec::new(),
            repeat: RepeatRule::default(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            target_latency_ms: None,
            priority: 0,
            attempts: DEFAULT_ATTEMPTS,
            is_keyless: false,
        }
    }
}

value_type! {
    /// One pool: the service and target version that serve its requests.
    pub struct PoolEntry {
        /// Name of the service that targets announce.
        pub service: Arc<str>,
        /// Wanted target version.
        pub version: Arc<str>,
        /// Deadline of a move to `version`.
        pub finish_by: Option<TimePoint>,
        /// Which goal comes first in moves of this pool.
        pub policy: MovePolicy,
        /// Number of calls that a cold target of the service bears in a second; `None` if it bears any number. Left out
        /// then, so that an entry without it keeps its encoding.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_calls_per_s: Option<u32>,
    }
}

value_type! {
    /// The tables by entry name.
    #[derive(Default)]
    pub struct ConfigTables {
        /// Routes by name.
        pub routes: IndexMap<Arc<str>, RouteEntry>,
        /// Pools by name.
        pub pools: IndexMap<Arc<str>, PoolEntry>,
        /// Organisations by name. If there are any, callers have to show a key of one.
        #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
        pub organisations: IndexMap<Arc<str>, OrganisationEntry>,
    }
}

/// A violated rule of the tables' content.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableFault {
    /// A route names a pool that does not exist.
    #[error("route {route} names pool {pool}, which does not exist; add [pool {pool}] or name another pool")]
    DanglingPool {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the missing pool.
        pool: Arc<str>,
    },
    /// A number of a route is outside its range.
    #[error("route {route}: {key} must be {low} to {high}")]
    OutOfRange {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the key.
        key: &'static str,
        /// Lowest value.
        low: u64,
        /// Highest value.
        high: u64,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} both match {method} {path}; change the path or the methods of one")]
    SameRequests {
        /// Name of the earlier route.
        first: Arc<str>,
        /// Name of the later route.
        second: Arc<str>,
        /// Path of both routes.
        path: Arc<str>,
        /// A method that both routes accept.
        method: Arc<str>,
    },
    /// A value is empty, too long or contains forbidden characters.
    #[error(
        "{kind} {name}: {key} is empty, over 200 bytes or contains whitespace or control characters; use a plain word"
    )]
    BadWord {
        /// Table of the entry.
        kind: TableKind,
        /// Name of the entry.
        name: Arc<str>,
        /// Name of the key.
        key: &'static str,
    },
    /// A path does not start with a slash, or contains `?` or `#`.
    #[error("route {route}: path must start with / and contain no ? or #; write it like /stock")]
    BadPath {
        /// Name of the route.
        route: Arc<str>,
    },
    /// An organisation has a name, a rank or a quota that can't be used.
    #[error("organisation {name:?}: {remedy}")]
    Organisation {
        /// Name of the organisation.
        name: Arc<str>,
        /// What is wrong and how to fix it.
        remedy: &'static str,
    },
    /// Two organisations, or one twice, hold the same key.
    #[error("organisations {first} and {second} both hold the key {fingerprint}; remove it from one")]
    SharedKey {
        /// Name of the earlier organisation.
        first: Arc<str>,
        /// Name of the later organisation.
        second: Arc<str>,
        /// Fingerprint of the key.
        fingerprint: String,
    },
    /// A table has too many entries.
    #[error("the table of {kind}s has {count} entries, 4000 are allowed; remove unused ones")]
    TooMany {
        /// The table.
        kind: TableKind,
        /// Number of entries.
        count: usize,
    },
}

/// Which rules a check applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckScope {
    /// All, the upper limits included, as for an edit.
    Edit,
    /// Those without which a request can't be routed, as for tables that are accepted already.
    Accepted,
}

impl ConfigTables {
    /// Checks the tables of an edit, their upper limits included, and returns every fault found.
    pub fn check_edit(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        self.check_scope(CheckScope::Edit, &mut faults);
        faults
    }

    /// Checks the rules without which a request can't be routed, and returns every fault found. Upper limits are not
    /// checked: whoever accepted the tables has set them, and a reader that refused the tables would stay on an older
    /// version.
    pub fn check(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        self.check_scope(CheckScope::Accepted, &mut faults);
        faults
    }

    fn check_scope(&self, scope: CheckScope, faults: &mut Vec<TableFault>) {
        for (name, pool) in &self.pools {
            for (key, value) in [
                ("name", name),
                ("service", &pool.service),
                ("version", &pool.version),
            ] {
                check_word(scope, faults, TableKind::Pool, name, key, value);
            }
        }
        for (name, route) in &self.routes {
            self.check_route(scope, faults, name, route);
        }
        self.check_overlaps(scope, faults);
        check_organisations(&self.organisations, faults);
    }

    fn check_sizes(&self, faults: &mut Vec<TableFault>) {
        for (kind, count) in [
            (TableKind::Route, self.routes.len()),
            (TableKind::Pool, self.pools.len()),
            (TableKind::Organisation, self.organisations.len()),
        ] {
            if count > MAX_ENTRIES {
                faults.push(TableFault::TooMany { kind, count });
            }
        }
    }

    fn check_route(
        &self,
        scope: CheckScope,
        faults: &mut Vec<TableFault>,
        name: &Arc<str>,
        route: &RouteEntry,
    ) {
        check_word(scope, faults, TableKind::Route, name, "name", name);
        check_word(scope, faults, TableKind::Route, name, "path", &route.path);
        // A path with `?` or `#` matches no request.
        let is_unmatched = scope == CheckScope::Edit && route.path.contains(['?', '#']);
        if !route.path.starts_with('/') || is_unmatched {
            faults.push(TableFault::BadPath {
                route: Arc::clone(name),
            });
        }
        let weights: u64 = route.pools.iter().map(|share| u64::from(share.weight)).sum();
        for (key, value, low, high) in [
            ("timeout_ms", route.timeout_ms, 1, MAX_TIMEOUT_MS),
            (
                "target_latency_ms",
                route.target_latency_ms.unwrap_or(1),
                1,
                MAX_TIMEOUT_MS,
            ),
            ("priority", u64::from(route.priority), 0, u64::from(MAX_PRIORITY)),
            ("attempts", u64::from(route.attempts), 1, u64::from(MAX_ATTEMPTS)),
            ("pool", route.pools.len() as u64, 1, MAX_SHARES as u64),
            (
                "sum of weights",
                weights,
                1,
                u64::from(MAX_WEIGHT) * MAX_SHARES as u64,
            ),
        ] {
            if value < low || (scope == CheckScope::Edit && value > high) {
                faults.push(TableFault::OutOfRange {
                    route: Arc::clone(name),
                    key,
                    low,
                    high,
                });
            }
        }
        for method in &route.methods {
            check_word(scope, faults, TableKind::Route, name, "methods", method);
        }
        if let Some(host) = &route.host {
            check_word(scope, faults, TableKind::Route, name, "host", host);
        }
        for share in &route.pools {
            if !self.pools.contains_key(&share.pool) {
                faults.push(TableFault::DanglingPool {
                    route: Arc::clone(name),
                    pool: Arc::clone(&share.pool),
                });
            }
        }
    }

    /// Adds a fault for each two routes with the same host, path and method. A route for every method does not count as
    /// overlapping with one that names methods.
    fn check_overlaps(&self, scope: CheckScope, faults: &mut Vec<TableFault>) {
        let mut seen: IndexMap<(Cow<'_, str>, &str, &str), &Arc<str>> = IndexMap::new();
        for (name, route) in &self.routes {
            let host = route.host.as_deref().unwrap_or("");
            let host = match scope {
                CheckScope::Edit => normalize_host(host),
                CheckScope::Accepted => Cow::Borrowed(host),
            };
            let methods = route.methods.iter().map(|method| &**method);
            let any = route.methods.is_empty().then_some(ANY_METHOD);
            for method in methods.chain(any) {
                if let Some(first) = seen.insert((host.clone(), &route.path, method), name) {
                    faults.push(TableFault::SameRequests {
                        first: Arc::clone(first),
                        second: Arc::clone(name),
                        path: Arc::clone(&route.path),
                        method: Arc::from(method),
                    });
                }
            }
        }
    }
}

fn check_word(
    scope: CheckScope,
    faults: &mut Vec<TableFault>,
    kind: TableKind,
    name: &Arc<str>,
    key: &'static str,
    value: &str,
) {
    let has_control = value.chars().any(char::is_control);
    let is_within_limits = value.len() <= MAX_NAME_BYTES && !value.chars().any(char::is_whitespace);
    if value.is_empty() || has_control || (scope == CheckScope::Edit && !is_within_limits) {
        faults.push(TableFault::BadWord {
            kind,
            name: Arc::clone(name),
            key,
        });
    }
}
