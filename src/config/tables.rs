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
    /// One route: which requests go to which pool.
    pub struct RouteEntry {
        /// Path prefix, matched at segment borders; the longest match wins.
        pub path: Arc<str>,
        /// Methods that the route takes, in upper case; empty for all.
        pub methods: Vec<Arc<str>>,
        /// Name of the pool that serves the route.
        pub pool: Arc<str>,
        /// Whether requests may be repeated.
        pub repeat: RepeatRule,
        /// Time that a call may take when the caller states no deadline, in milliseconds.
        pub timeout_ms: u64,
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
    /// A timeout is out of range.
    #[error("route {route}: timeout_ms must be 1 to 600000")]
    BadTimeout {
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
        if route.timeout_ms == 0 || route.timeout_ms > MAX_TIMEOUT_MS {
            faults.push(TableFault::BadTimeout {
                route: Arc::clone(name),
            });
        }
        for method in &route.methods {
            check_word(faults, TableKind::Route, name, "methods", method);
        }
        if !self.pools.contains_key(&route.pool) {
            faults.push(TableFault::DanglingPool {
                route: Arc::clone(name),
                pool: Arc::clone(&route.pool),
            });
        }
    }

    fn check_overlaps(&self, faults: &mut Vec<TableFault>) {
        let mut taken: IndexMap<(&str, &str), &Arc<str>> = IndexMap::new();
        for (name, route) in &self.routes {
            let methods = route.methods.iter().map(|method| &**method);
            let any = route.methods.is_empty().then_some(ANY_METHOD);
            for method in methods.chain(any) {
                if let Some(first) = taken.insert((&route.path, method), name) {
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
