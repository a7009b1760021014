//! Budget of file descriptors for the connections of calls, so that callers in any number leave the control side its own.

use {
    parking_lot::Mutex,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
    rustix::{
        io::Errno,
        process::{Resource, getrlimit},
    },
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Descriptors that connections of calls don't use, at most half of all: listeners, runtimes, control messages, the store
/// and operators.
const CONTROL_DESCRIPTORS: usize = 128;
/// Share of the budget that is kept for each kind, in percent, so that accepted calls find descriptors for their further
/// way. The rest is for any kind.
const RESERVED_PERCENT: usize = 10;
/// Number of descriptors that a process without a limit, or with a higher one, goes by.
const MAX_DESCRIPTORS: u64 = 1 << 20;
/// Interval between attempts to accept a connection while the budget is used up.
const HOLD_PAUSE: Duration = Duration::from_millis(10);
/// Minimum time between two log lines of one kind.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Whose connection a socket is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketKind {
    /// Accepted from a caller.
    Caller,
    /// Accepted from the proxy of a daemon.
    Proxy,
    /// Opened to a gate.
    Gate,
    /// Opened to the target.
    Target,
}

impl SocketKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Caller, Self::Proxy, Self::Gate, Self::Target];

    /// Returns the name of the kind in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Proxy => "proxy",
            Self::Gate => "gate",
            Self::Target => "target",
        }
    }
}

/// Counters of the sockets of one kind.
#[derive(Debug, Clone, Default)]
pub struct SocketCounters {
    /// Open sockets.
    pub open: Gauge,
    /// Connections that were not accepted at once, or not opened, as the budget was used up.
    pub held: Counter,
}

/// Budget of the process, shared by all traffic threads.
#[derive(Debug)]
pub struct SocketBudget {
    limit: usize,
    open: [AtomicUsize; SocketKind::ALL.len()],
    counters: [SocketCounters; SocketKind::ALL.len()],
    /// Earliest time of the next log line, by kind.
    next_line_at: Mutex<[Option<Instant>; SocketKind::ALL.len()]>,
}

impl SocketBudget {
    /// Creates the budget under the process's limit of open files.
    pub fn of_process(counters: [SocketCounters; SocketKind::ALL.len()]) -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        let descriptors = limit.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS) as usize;
        Self {
            limit: descriptors - CONTROL_DESCRIPTORS.min(descriptors / 2),
            open: Default::default(),
            counters,
            next_line_at: Mutex::default(),
        }
    }

    fn has_room(&self, kind: SocketKind) -> bool {
        let reserved = self.limit * RESERVED_PERCENT / 100;
        let open = self.open.each_ref().map(|open| open.load(Ordering::Acquire));
        let in_common: usize = open.iter().map(|open| open.saturating_sub(reserved)).sum();
        open[kind as usize] < reserved || in_common < self.limit - open.len() * reserved
    }

    /// Counts a connection for which there is no room, and logs the number of them.
    fn record_held(&self, kind: SocketKind) {
        let counters = &self.counters[kind as usize];
        counters.held.inc();
        let now = Instant::now();
        let mut next_line_at = self.next_line_at.lock();
        let next_line_at = &mut next_line_at[kind as usize];
        if next_line_at.is_some_and(|at| at > now) {
            return;
        }
        *next_line_at = Some(now + LINE_INTERVAL);
        log::warn!(
            "event=connection-held kind={} held={} open={} limit={}",
            kind.as_str(),
            counters.held.get(),
            counters.open.get(),
            self.limit
        );
    }
}

/// Part of a budget for sockets of one kind.
#[derive(Debug, Clone)]
pub struct SocketShare {
    budget: Arc<SocketBudget>,
    kind: SocketKind,
}

impl SocketShare {
    /// Creates a share of a budget.
    pub fn new(budget: &Arc<SocketBudget>, kind: SocketKind) -> Self {
        Self {
            budget: Arc::clone(budget),
            kind,
        }
    }

    /// Waits until there is room for another socket.
    pub async fn wait_for_room(&self) {
        if self.budget.has_room(self.kind) {
            return;
        }
        self.budget.record_held(self.kind);
        while !self.budget.has_room(self.kind) {
            sleep(HOLD_PAUSE).await;
        }
    }

    /// Counts a socket as open until the permit is dropped.
    pub fn take(&self) -> SocketPermit {
        self.budget.open[self.kind as usize].fetch_add(1, Ordering::AcqRel);
        self.budget.counters[self.kind as usize].open.inc();
        SocketPermit(self.clone())
    }

    /// Takes a permit if there is room.
    ///
    /// # Errors
    ///
    /// [`Errno::MFILE`] if the budget is used up.
    pub fn try_take(&self) -> io::Result<SocketPermit> {
        if self.budget.has_room(self.kind) {
            return Ok(self.take());
        }
        self.budget.record_held(self.kind);
        Err(Errno::MFILE.into())
    }
}

/// Counts a socket as open until dropped.
#[derive(Debug)]
pub struct SocketPermit(SocketShare);

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let SocketShare { budget, kind } = &self.0;
        budget.open[*kind as usize].fetch_sub(1, Ordering::AcqRel);
        budget.counters[*kind as usize].open.dec();
    }
}
