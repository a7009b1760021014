//! The configuration compiled for request routing. A compiled route contains its pools, so a route without a pool
//! can't be represented.

use {
    super::{
        head::{ConfigHead, MoveOrder, TrafficLimits},
        host::{normalize_host, split_port},
        organisation::{CallQuota, KeyDigest},
        tables::{ANY_VERSION, PoolEntry, RepeatRule, TableFault},
    },
    crate::evacuation::EvacuationOrders,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
    thiserror::Error,
};

/// A pool with its open move, if there is one.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledPool {
    /// Name of the pool.
    pub name: Arc<str>,
    /// The pool's configuration entry.
    pub entry: PoolEntry,
    /// The open move.
    pub order: Option<MoveOrder>,
}

impl CompiledPool {
    /// Returns whether a target version may serve the pool: the pool's version, or either version of an open move.
    pub fn allows(&self, version: &str) -> bool {
        match &self.order {
            Some(order) => *order.to == *version || matches_version(&order.from, version),
            None => matches_version(&self.entry.version, version),
        }
    }
}

/// Returns whether `wanted` is `version` or the wildcard [`ANY_VERSION`].
pub fn matches_version(wanted: &str, version: &str) -> bool {
    wanted == version || wanted == ANY_VERSION
}

/// A route with its pools.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix.
    pub path: Arc<str>,
    /// Methods; empty for all.
    pub methods: Vec<Arc<str>>,
    /// The route's pools, each with the cumulative weight up to and including it; never empty.
    pools: Vec<(u64, Arc<CompiledPool>)>,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// Maximum time of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Latency up to which an answer has its full value to the caller, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank of the route's calls under load; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Whether calls need no key although there are organisations.
    pub is_keyless: bool,
}

/// An organisation whose callers show a key.
#[derive(Debug, Clone, PartialEq)]
pub struct CompiledOrganisation {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Rank of its calls under load, which goes before the rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// How many calls it may make; `None` for any number.
    pub quota: Option<CallQuota>,
}

impl CompiledRoute {
    /// Returns whether a request with this method may be sent more than once.
    pub fn is_repeatable(&self, method: &str) -> bool {
        match self.repeat {
            RepeatRule::Always => true,
            RepeatRule::Never => false,
            RepeatRule::ByMethod => matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"),
        }
    }

    /// Returns whether the route has several pools.
    pub fn is_split(&self) -> bool {
        self.pools.len() > 1
    }

    /// Selects the pool of a request by weight; `draw` is a uniform random number in `[0, 1)`.
    pub fn pool(&self, draw: f64) -> &Arc<CompiledPool> {
        let last = &self.pools[self.pools.len() - 1];
        let at = (draw * last.0 as f64) as u64;
        let drawn = self.pools.iter().find(|(end, _)| at < *end);
        &drawn.unwrap_or(last).1
    }

    /// Returns whether calls of the route may go to a pool, and that is one of a service.
    pub fn leads_to(&self, pool: &str, service: &str) -> bool {
        let mut pools = self.pools.iter().map(|(_, pool)| pool);
        pools.any(|own| *own.name == *pool && *own.entry.service == *service)
    }

    fn accepts_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|own| &**own == method)
    }
}

/// A head whose tables break a rule.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("version {version} breaks a rule: {}", .faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct CompileError {
    /// Version that was refused.
    pub version: u64,
    /// Every rule violation found.
    pub faults: Vec<TableFault>,
}

/// Result of a route lookup.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteMatch {
    /// The route that matches host, path and method.
    Found(Arc<CompiledRoute>),
    /// A route matches the path but not the method.
    WrongMethod,
    /// No route matches the path.
    None,
}

type PathTable = HashMap<Arc<str>, Vec<Arc<CompiledRoute>>>;

/// The compiled configuration; a new version replaces it as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CompiledTable {
    /// Version of the configuration.
    pub version: u64,
    /// Routes by normalized host and path; routes for every host have the empty string as their key.
    hosts: HashMap<Arc<str>, PathTable>,
    /// Length of the longest path of a route, in bytes.
    longest_path: usize,
    /// Limits on requests from callers.
    pub limits: TrafficLimits,
    /// Pools by name.
    pub pools: HashMap<Arc<str>, Arc<CompiledPool>>,
    /// Data centres whose targets get no calls.
    pub evacuations: EvacuationOrders,
    /// Organisations by the digests of their keys.
    keys: HashMap<KeyDigest, Arc<CompiledOrganisation>>,
    /// Quotas by organisation.
    quotas: HashMap<Arc<str>, CallQuota>,
    /// Ranks of organisation and route that occur, most urgent first; empty without organisations.
    ranks: Vec<(u8, u8)>,
    /// Whether there are organisations, so that callers have to show a key.
    pub needs_keys: bool,
}

impl CompiledTable {
    /// Compiles a head. Fails with every rule violation if its tables are invalid.
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
            needs_keys: !head.tail.organisations.is_empty(),
            evacuations: head.tail.evacuations.clone(),
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
        for (name, row) in &head.tail.organisations {
            let organisation = Arc::new(CompiledOrganisation {
                name: Arc::clone(name),
                priority: row.entry.priority,
                quota: row.entry.quota,
            });
            let quota = row.entry.quota.map(|quota| (Arc::clone(name), quota));
            table.quotas.extend(quota);
            let keys = row.entry.keys.iter();
            table
                .keys
                .extend(keys.map(|key| (*key, Arc::clone(&organisation))));
        }
        for (name, row) in &head.routes {
            let mut sum = 0;
            let pools: Vec<(u64, Arc<CompiledPool>)> = row
                .entry
                .pools
                .iter()
                .filter_map(|share| {
                    sum += u64::from(share.weight);
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
                is_keyless: row.entry.is_keyless,
            };
            let host = normalize_host(row.entry.host.as_deref().unwrap_or(""));
            table.longest_path = table.longest_path.max(route.path.len());
            table
                .hosts
                .entry(host.into())
                .or_default()
                .entry(Arc::clone(&route.path))
                .or_default()
                .push(Arc::new(route));
        }
        table.ranks = table.occurring_ranks();
        Ok(table)
    }

    /// Returns the rank of a call: that of its route, after the rank of its organisation if there are any. A call without a
    /// key counts as one of the most urgent organisation.
    pub fn rank(&self, organisation: Option<&CompiledOrganisation>, route: &CompiledRoute) -> u8 {
        let first = organisation.map_or(0, |organisation| organisation.priority);
        match self.ranks.binary_search(&(first, route.priority)) {
            Ok(at) => u8::try_from(at).unwrap_or(u8::MAX),
            Err(_) => route.priority,
        }
    }

    fn occurring_ranks(&self) -> Vec<(u8, u8)> {
        if !self.needs_keys {
            return Vec::new();
        }
        let organisations: BTreeSet<u8> = self.keys.values().map(|holder| holder.priority).collect();
        let mut ranks = BTreeSet::new();
        for route in self.routes() {
            let of_keyed = organisations.iter().map(|first| (*first, route.priority));
            ranks.extend(of_keyed);
            if route.is_keyless {
                ranks.insert((0, route.priority));
            }
        }
        ranks.into_iter().collect()
    }

    /// Finds the route with the longest path prefix that ends at a segment boundary and accepts the method, first
    /// among the routes for `host` with its port, then among those for `host` with any port, then among those for every
    /// host.
    pub fn find(&self, host: &str, method: &str, path: &str) -> RouteMatch {
        let mut wrong_method = false;
        let host = normalize_host(host);
        let (name, port) = split_port(&host);
        let with_port = port.and_then(|_| self.hosts.get(&*host));
        let tables = [with_port, self.hosts.get(name), self.hosts.get("")];
        for table in tables.into_iter().flatten() {
            // A lookup reads the whole prefix, and a path may have as many prefixes as bytes.
            for prefix in prefixes(path).skip_while(|prefix| prefix.len() > self.longest_path) {
                let Some(routes) = table.get(prefix) else {
                    continue;
                };
                if let Some(route) = routes.iter().find(|route| route.accepts_method(method)) {
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

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &KeyDigest) -> Option<&Arc<CompiledOrganisation>> {
        self.keys.get(key)
    }

    /// Returns how many calls an organisation may make; `None` for any number.
    pub fn quota(&self, organisation: &str) -> Option<CallQuota> {
        self.quotas.get(organisation).copied()
    }

    /// Returns whether an organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<CompiledRoute>> {
        self.hosts.values().flat_map(HashMap::values).flatten()
    }
}

/// Yields the path, then each shorter prefix down to `/`: first with its trailing slash, then without it.
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
