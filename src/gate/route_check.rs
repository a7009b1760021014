//! Whether the gate's table still admits a call that the table of a proxy has routed, without I/O.

use {
    super::refusal::GateRefusal,
    crate::{
        clock::TimePoint,
        config::{CompiledTable, RouteMatch},
    },
};

/// Time for which a gate still takes calls on a route that leads elsewhere by its newer table, in milliseconds: proxies get a
/// version within this time of each other, unless they are late.
pub const REDIRECT_GRACE_MS: u64 = 1_500;

/// Call as a proxy has routed it.
#[derive(Debug, Clone, Copy)]
pub struct ProxyCall<'a> {
    /// Version of the proxy's table; 0 if the proxy is of an earlier build.
    pub table_version: u64,
    /// Name of the pool that the proxy's table led to.
    pub pool: &'a str,
    /// Host by which the route was found.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path, without the query.
    pub path: &'a str,
}

/// Table in force at a gate.
#[derive(Debug, Clone, Copy)]
pub struct GateTable<'a> {
    /// The table.
    pub table: &'a CompiledTable,
    /// Since when it has been in force.
    pub since: TimePoint,
    /// Service of the gate's target.
    pub service: &'a str,
}

impl GateTable<'_> {
    /// Refuses a call that an older table has admitted, if its route was dropped since, or has led elsewhere for long. A
    /// proxy with the same table or a newer one has decided better than this gate could.
    pub fn check_route(&self, call: &ProxyCall<'_>, now: TimePoint) -> Result<(), GateRefusal> {
        if call.table_version == 0 || call.table_version >= self.table.version {
            return Ok(());
        }
        let is_new = now < self.since.after_ms(REDIRECT_GRACE_MS);
        match self.table.find(call.host, call.method, call.path) {
            RouteMatch::Found(route) if is_new || route.leads_to(call.pool, self.service) => Ok(()),
            RouteMatch::Found(_) | RouteMatch::WrongMethod | RouteMatch::None => Err(GateRefusal::OlderTable),
        }
    }
}
