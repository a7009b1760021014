//! The form of the configuration that traffic reads: a route holds its pool, so that a route without a pool
//! can't be expressed.

use {
    super::{
        head::{ConfigHead, MoveOrder, TrafficLimits},
        tables::{ANY_VERSION, PoolEntry, RepeatRule, TableFault},
    },
    std::{collections::HashMap, sync::Arc},
    thiserror::Error,
};

/// A pool with its open move, if there is one.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledPool {
    /// Name of the pool.
    pub name: Arc<str>,
    /// The pool's row.
    pub entry: PoolEntry,
    /// The open move.
    pub order: Option<MoveOrder>,
}

impl CompiledPool {
    /// Tells whether a target version may serve the pool at all.
    pub fn allows(&self, version: &str) -> bool {
        match &self.order {
            Some(order) => *order.to == *version || matches_version(&order.from, version),
            None => matches_version(&self.entry.version, version),
        }
    }
}

/// Tells whether a wanted version is `version` or any.
pub fn matches_version(wanted: &str, version: &str) -> bool {
    wanted == version || wanted == ANY_VERSION
}

/// A route that holds its pools.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix.
    pub path: Arc<str>,
    /// Methods; empty for all.
    pub methods: Vec<Arc<str>>,
    /// The pools that serve the route, with the sum of the weights up to and with each; never empty.
    pools: Vec<(u32, Arc<CompiledPool>)>,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// Longest time that a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which an answer has its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank under load; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
}

impl CompiledRoute {
    /// Tells whether a request with this method may be sent twice.
    pub fn is_repeatable(&self, method: &str) -> bool {
        match self.repeat {
            RepeatRule::Always => true,
            RepeatRule::Never => false,
            RepeatRule::ByMethod => matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"),
        }
    }

    /// Returns the pool of one request; `draw` is a uniform number from 0 to below 1.
    pub fn pool(&self, draw: f64) -> &Arc<CompiledPool> {
        let last = &self.pools[self.pools.len() - 1];
        let at = (draw * f64::from(last.0)) as u32;
        let drawn = self.pools.iter().find(|(end, _)| at < *end);
        &drawn.unwrap_or(last).1
    }

    fn takes_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|own| &**own == method)
    }
}

/// A head that does not compile.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("version {version} breaks a rule: {}", .faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct CompileError {
    /// Version that was refused.
    pub version: u64,
    /// The rules that it breaks.
    pub faults: Vec<TableFault>,
}

/// What a request matches.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteMatch {
    /// A route takes the request.
    Found(Arc<CompiledRoute>),
    /// A route has the path but not the method.
    WrongMethod,
    /// No route has the path.
    None,
}

type PathTable = HashMap<Arc<str>, Vec<Arc<CompiledRoute>>>;

/// The compiled configuration, swapped in whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CompiledTable {
    /// Version of the configuration.
    pub version: u64,
    /// Routes by path, by host; those that take every host stand under the empty one.
    hosts: HashMap<Arc<str>, PathTable>,
    /// Limits on what callers send.
    pub limits: TrafficLimits,
    /// Pools by name.
    pub pools: HashMap<Arc<str>, Arc<CompiledPool>>,
}

impl CompiledTable {
    /// Compiles a head; refuses it whole if it breaks a rule.
    pub fn compile(head: &ConfigHead) -> Result<Self, CompileError> {
        let faults = head.tables().check();
        if !faults.is_empty() {
            return Err(CompileError {
                version: head.version,
                faults,
            });
        }
        let mut table = Self {
            version: head.version,
            limits: head.limits,
            ..Self::default()
        };
        for (name, row) in &head.pools {
            let pool = CompiledPool {
                name: Arc::clone(name),
                entry: row.entry.clone(),
                order: head.moves.get(name).cloned(),
            };
            table.pools.insert(Arc::clone(name), Arc::new(pool));
        }
        for (name, row) in &head.routes {
            let mut sum = 0;
            let pools: Vec<(u32, Arc<CompiledPool>)> = row
                .entry
                .pools
                .iter()
                .filter_map(|share| {
                    sum += share.weight;
                    Some((sum, Arc::clone(table.pools.get(&share.pool)?)))
                })
                .collect();
            if pools.is_empty() {
                continue;
            }
            let route = CompiledRoute {
                name: Arc::clone(name),
                path: Arc::clone(&row.entry.path),
                methods: row.entry.methods.clone(),
                pools,
                repeat: row.entry.repeat,
                timeout_ms: row.entry.timeout_ms,
                target_latency_ms: row.entry.target_latency_ms.unwrap_or(row.entry.timeout_ms),
                priority: row.entry.priority,
                attempts: row.entry.attempts,
            };
            let host = row.entry.host.clone().unwrap_or_default();
            table
                .hosts
                .entry(host)
                .or_default()
                .entry(Arc::clone(&route.path))
                .or_default()
                .push(Arc::new(route));
        }
        Ok(table)
    }

    /// Finds the route of a request: the longest path prefix that ends at a segment border and has the method,
    /// among the routes of the host, then among those that take every host.
    pub fn find(&self, host: &str, method: &str, path: &str) -> RouteMatch {
        let mut wrong_method = false;
        let tables = [self.hosts.get(host), self.hosts.get("")];
        for table in tables.into_iter().flatten() {
            for prefix in prefixes(path) {
                let Some(routes) = table.get(prefix) else {
                    continue;
                };
                if let Some(route) = routes.iter().find(|route| route.takes_method(method)) {
                    return RouteMatch::Found(Arc::clone(route));
                }
                wrong_method = true;
            }
        }
        if wrong_method {
            RouteMatch::WrongMethod
        } else {
            RouteMatch::None
        }
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<CompiledRoute>> {
        self.hosts.values().flat_map(HashMap::values).flatten()
    }
}

/// Yields the path itself and then each shorter prefix down to `/`: with its last slash, then without.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(path), |current| shorter_prefix(current))
}

fn shorter_prefix(path: &str) -> Option<&str> {
    if path.len() > 1 && path.ends_with('/') {
        return Some(&path[..path.len() - 1]);
    }
    let at = path.rfind('/')?;
    (path.len() > 1).then(|| &path[..=at])
}
