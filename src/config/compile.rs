//! The form of the configuration that traffic reads: a route holds its pool, so that a route without a pool
//! can't be expressed.

use {
    super::{
        head::{ConfigHead, MoveOrder},
        tables::{PoolEntry, RepeatRule, TableFault},
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

/// A route that holds its pool.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix.
    pub path: Arc<str>,
    /// Methods; empty for all.
    pub methods: Vec<Arc<str>>,
    /// The pool that serves the route.
    pub pool: Arc<CompiledPool>,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// Default timeout, in milliseconds.
    pub timeout_ms: u64,
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

/// The compiled configuration, swapped in whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CompiledTable {
    /// Version of the configuration.
    pub version: u64,
    /// Routes by path.
    routes: HashMap<Arc<str>, Vec<Arc<CompiledRoute>>>,
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
            let Some(pool) = table.pools.get(&row.entry.pool) else {
                continue;
            };
            let route = CompiledRoute {
                name: Arc::clone(name),
                path: Arc::clone(&row.entry.path),
                methods: row.entry.methods.clone(),
                pool: Arc::clone(pool),
                repeat: row.entry.repeat,
                timeout_ms: row.entry.timeout_ms,
            };
            table
                .routes
                .entry(Arc::clone(&route.path))
                .or_default()
                .push(Arc::new(route));
        }
        Ok(table)
    }

    /// Finds the route of a request: the longest path prefix that ends at a segment border and has the method.
    pub fn find(&self, method: &str, path: &str) -> RouteMatch {
        let mut wrong_method = false;
        for prefix in prefixes(path) {
            let Some(routes) = self.routes.get(prefix) else {
                continue;
            };
            if let Some(route) = routes.iter().find(|route| route.takes_method(method)) {
                return RouteMatch::Found(Arc::clone(route));
            }
            wrong_method = true;
        }
        if wrong_method {
            RouteMatch::WrongMethod
        } else {
            RouteMatch::None
        }
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<CompiledRoute>> {
        self.routes.values().flatten()
    }
}

/// Yields the path itself and then each shorter prefix down to `/`.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(path), |current| shorter_prefix(current))
}

fn shorter_prefix(path: &str) -> Option<&str> {
    match path.rfind('/') {
        Some(0) if path.len() > 1 => Some("/"),
        Some(at) if at > 0 => Some(&path[..at]),
        _ => None,
    }
}
