//! The two tables that operators edit, and the checks on their content.

use {
    crate::{
        clock::TimePoint,
        macros::{key_type, value_type},
    },
    indexmap::IndexMap,
    std::{
        fmt::{Display, Formatter},
        sync::Arc,
    },
    thiserror::Error,
};

/// The most entries that one table may hold.
pub const MAX_ENTRIES: usize = 4_000;
/// The longest name, path, service or version, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// The longest timeout of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// The most pools that one route may split its requests between.
pub const MAX_SHARES: usize = 16;
/// The highest weight of a pool within a route.
pub const MAX_WEIGHT: u32 = 10_000;
/// The least urgent priority of a route; 0 is the most urgent.
pub const MAX_PRIORITY: u8 = 9;
/// The most targets that one request may be sent to, where a route states none.
pub const DEFAULT_ATTEMPTS: u32 = 4;
/// The highest number of attempts that a route may state.
pub const MAX_ATTEMPTS: u32 = 16;
/// Stands for any target version in a pool whose version is not known yet.
pub const ANY_VERSION: &str = "*";
/// Stands for every method in messages about routes that name none.
const ANY_METHOD: &str = "*";
/// The timeout of a route that states none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 2_000;

key_type! {
    /// Which of the two tables an entry belongs to.
    pub enum TableKind {
        /// The table of routes.
        Route,
        /// The table of pools.
        Pool,
    }
}

impl Display for TableKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Route => "route",
            Self::Pool => "pool",
        })
    }
}

key_type! {
    /// Whether a request of a route may be sent a second time.
    #[derive(Default)]
    pub enum RepeatRule {
        /// Idempotent methods (RFC 9110, section 9.2.2) may be repeated, others may not.
        #[default]
        ByMethod,
        /// Every request may be repeated.
        Always,
        /// No request may be repeated.
        Never,
    }
}

key_type! {
    /// How a pool weighs finishing in time against stopping a bad version early.
    #[derive(Default)]
    pub enum MovePolicy {
        /// Finishing in time comes first.
        #[default]
        Prompt,
        /// Stopping a bad version comes first.
        Cautious,
    }
}

value_type! {
    /// A pool's part of a route's requests.
    pub struct PoolShare {
        /// Name of the pool.
        pub pool: Arc<str>,
        /// Weight among the route's pools.
        pub weight: u32,
    }
}

impl PoolShare {
    /// Gives all requests of a route to one pool.
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
        /// Host that the route takes; none for all.
        pub host: Option<Arc<str>>,
        /// Path prefix, matched at segment borders; the longest match wins. One that ends with a slash matches
        /// only paths below it.
        pub path: Arc<str>,
        /// Methods that the route takes, in upper case; empty for all.
        pub methods: Vec<Arc<str>>,
        /// Pools that serve the route, by weight.
        pub pools: Vec<PoolShare>,
        /// Whether requests may be repeated.
        pub repeat: RepeatRule,
        /// Longest time that a call may take, in milliseconds.
        pub timeout_ms: u64,
        /// Latency within which an answer has its full value, in milliseconds.
        pub target_latency_ms: Option<u64>,
        /// Rank under load; 0 is the most urgent.
        pub priority: u8,
        /// Most targets that one request may be sent to.
        pub attempts: u32,
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
        }
    }
}

value_type! {
    /// One pool: the service and target version that serve its routes.
    pub struct PoolEntry {
        /// Name of the service that targets announce.
        pub service: Arc<str>,
        /// Wanted target version.
        pub version: Arc<str>,
        /// When a move to `version` must be finished.
        pub finish_by: Option<TimePoint>,
        /// How moves of this pool are judged.
        pub policy: MovePolicy,
    }
}

value_type! {
    /// Both tables by entry name.
    #[derive(Default)]
    pub struct ConfigTables {
        /// Routes by name.
        pub routes: IndexMap<Arc<str>, RouteEntry>,
        /// Pools by name.
        pub pools: IndexMap<Arc<str>, PoolEntry>,
    }
}

/// A rule that the content of the tables breaks.
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
    /// A number of a route is out of range.
    #[error("route {route}: {key} must be {low} to {high}")]
    OutOfRange {
        /// Name of the route.
        route: Arc<str>,
        /// Key at fault.
        key: &'static str,
        /// Lowest value.
        low: u64,
        /// Highest value.
        high: u64,
    },
    /// Two routes take the same requests.
    #[error("routes {first} and {second} both take {method} {path}; change the path or the methods of one")]
    SameRequests {
        /// Name of the earlier route.
        first: Arc<str>,
        /// Name of the later route.
        second: Arc<str>,
        /// Path that both take.
        path: Arc<str>,
        /// A method that both take.
        method: Arc<str>,
    },
    /// A value is empty, too long or has characters that are not allowed.
    #[error(
        "{kind} {name}: {key} is empty, over 200 bytes or holds blanks or control characters; choose a plain word"
    )]
    BadWord {
        /// Table of the entry.
        kind: TableKind,
        /// Name of the entry.
        name: Arc<str>,
        /// Key at fault.
        key: &'static str,
    },
    /// A path does not start with a slash.
    #[error("route {route}: path must start with / and hold no ? or #; write it like /stock")]
    BadPath {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A table holds too many entries.
    #[error("the table of {kind}s holds {count} entries, 4000 are allowed; remove unused ones")]
    TooMany {
        /// Table at fault.
        kind: TableKind,
        /// Entries found.
        count: usize,
    },
}

impl ConfigTables {
    /// Checks all rules and returns every fault found.
    pub fn check(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        for (name, pool) in &self.pools {
            check_word(&mut faults, TableKind::Pool, name, "name", name);
            check_word(&mut faults, TableKind::Pool, name, "service", &pool.service);
            check_word(&mut faults, TableKind::Pool, name, "version", &pool.version);
        }
        for (name, route) in &self.routes {
            self.check_route(&mut faults, name, route);
        }
        self.check_overlaps(&mut faults);
        faults
    }

    fn check_sizes(&self, faults: &mut Vec<TableFault>) {
        for (kind, count) in [
            (TableKind::Route, self.routes.len()),
            (TableKind::Pool, self.pools.len()),
        ] {
            if count > MAX_ENTRIES {
                faults.push(TableFault::TooMany { kind, count });
            }
        }
    }

    fn check_route(&self, faults: &mut Vec<TableFault>, name: &Arc<str>, route: &RouteEntry) {
        check_word(faults, TableKind::Route, name, "name", name);
        check_word(faults, TableKind::Route, name, "path", &route.path);
        if !route.path.starts_with('/') || route.path.contains(['?', '#']) {
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
            if !(low..=high).contains(&value) {
                faults.push(TableFault::OutOfRange {
                    route: Arc::clone(name),
                    key,
                    low,
                    high,
                });
            }
        }
        for method in &route.methods {
            check_word(faults, TableKind::Route, name, "methods", method);
        }
        if let Some(host) = &route.host {
            check_word(faults, TableKind::Route, name, "host", host);
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

    fn check_overlaps(&self, faults: &mut Vec<TableFault>) {
        let mut taken: IndexMap<(&str, &str, &str), &Arc<str>> = IndexMap::new();
        for (name, route) in &self.routes {
            let methods = route.methods.iter().map(|method| &**method);
            let any = route.methods.is_empty().then_some(ANY_METHOD);
            for method in methods.chain(any) {
                if let Some(first) =
                    taken.insert((route.host.as_deref().unwrap_or(""), &route.path, method), name)
                {
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
    faults: &mut Vec<TableFault>,
    kind: TableKind,
    name: &Arc<str>,
    key: &'static str,
    value: &str,
) {
    let plain = !value.is_empty()
        && value.len() <= MAX_NAME_BYTES
        && !value.chars().any(|c| c.is_control() || c.is_whitespace());
    if !plain {
        faults.push(TableFault::BadWord {
            kind,
            name: Arc::clone(name),
            key,
        });
    }
}
