//! Metrics of the daemon in the `OpenMetrics` format: the four that operators watch (convergence time, control traffic,
//! store calls and closed moves), calls, and counters of refusals.

use {
    crate::{
        call::CallOutcome,
        daemon::TableStanding,
        socket_budget::{SocketCounters, SocketKind},
    },
    parking_lot::Mutex,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    salvo::http::StatusCode,
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum number of distinct label sets of calls; further ones are counted under `other`.
const MAX_CALL_LABELS: usize = 4_000;

/// Labels of the call counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Route name.
    pub route: Arc<str>,
    /// Pool name.
    pub pool: Arc<str>,
    /// Target version.
    pub version: Arc<str>,
    /// How the call ended.
    pub outcome: &'static str,
}

/// Labels of the counter of refused requests; a fixed set of words and statuses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Key of the listener's address in the settings.
    pub listener: &'static str,
    /// Status of the answer.
    pub status: u16,
    /// Reason of the refusal.
    pub reason: &'static str,
}

/// Labels of the counters of connections that ended without an answer and of broken transfers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// Key of the listener's address in the settings.
    pub listener: &'static str,
    /// Why the connection or the transfer ended.
    pub cause: &'static str,
}

/// Labels of the counter of targets' answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StatusLabels {
    /// Status of the answer.
    pub status: u16,
}

/// Labels of the control traffic counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub struct ControlLabels {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// Purpose of the message; `datagram` for received datagrams.
    pub kind: &'static str,
    /// `near` within the data centre, `far` to or from another one, `any` where that is not known: the
    /// other side of the message counts it by reach.
    pub reach: &'static str,
}

/// Control messages of one kind so far.
#[derive(Debug, Clone, Copy, Default)]
struct ControlCount {
    messages: u64,
    bytes: u64,
}

/// Labels of the latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabels {
    /// Pool name.
    pub pool: Arc<str>,
}

/// Returns an empty histogram with bucket bounds from 5 ms to about 10 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

/// Labels of the counters of store calls and of refused values.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    /// Kind of call, or kind of source of the values.
    pub kind: &'static str,
}

/// Labels of the counter of closed moves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MoveLabels {
    /// `done`, `taken back` or `cancelled`.
    pub verdict: String,
    /// Whether the move ended by its deadline: `yes` or `no`.
    pub in_time: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Mutex<Registry>,
    calls: Family<CallLabels, Counter>,
    /// Label sets in `calls`, at most [`MAX_CALL_LABELS`] without those of `other`.
    call_labels: Mutex<std::collections::HashSet<CallLabels>>,
    /// Time from the request for an accepted change until this daemon applied it, in seconds.
    pub convergence: Histogram,
    /// Requests that this process refused itself, by listener, status and reason.
    refusals: Family<RefusalLabels, Counter>,
    /// Connections that this process ended without an answer, by listener and cause.
    ended_connections: Family<EndLabels, Counter>,
    /// Bodies of requests and answers that were not transferred to their end, by listener and cause.
    broken_transfers: Family<EndLabels, Counter>,
    /// Large bodies that proxies offered to this gate, by what became of them.
    offered_bodies: Family<KindLabels, Counter>,
    /// Answers of targets that were passed on to callers, by status.
    answers: Family<StatusLabels, Counter>,
    /// Open connections of calls, by whose they are.
    open_connections: Family<KindLabels, Gauge>,
    /// Connections of calls that were held back, by whose they are.
    held_connections: Family<KindLabels, Counter>,
    /// Bytes of control traffic.
    control_bytes: Family<ControlLabels, Counter>,
    /// Messages of control traffic.
    control_messages: Family<ControlLabels, Counter>,
    /// The same for the log, in a fixed order.
    control_counts: Mutex<BTreeMap<ControlLabels, ControlCount>>,
    /// Calls to the store by kind.
    store_calls: Family<KindLabels, Counter>,
    /// Latest generation of the store.
    pub store_generation: Gauge,
    /// Times at which the store came back from an older copy.
    pub store_returns: Counter,
    /// Moves closed by this daemon as their controller, by verdict.
    pub closed_moves: Family<MoveLabels, Counter>,
    /// Configurations that this daemon refused.
    pub refused_offers: Counter,
    /// Invalid values of the store and invalid announcements, by kind.
    refused_values: Family<KindLabels, Counter>,
    /// Configuration version in force.
    pub version: Gauge,
    /// Whether a newer version is known that is not in force: 1 if so.
    pub is_newer_version_known: Gauge,
    /// Calls answered by a table that was not known to be the newest one, by its standing.
    calls_by_doubtful_table: Family<KindLabels, Counter>,
    /// Number of daemons present in the mesh.
    pub members: Gauge,
    /// Unannounced ends of the target beside this daemon.
    pub target_ends: Counter,
    /// Times at which the target beside this daemon turned cold, so that its calls were paced.
    pub cold_spells: Counter,
    /// Whether the daemon's data centre is evacuated: 1 if so.
    pub is_evacuated: Gauge,
    /// Requests that were held back.
    pub held_requests: Counter,
    /// Requests that ran well here after several targets had ended under them.
    pub cleared_requests: Counter,
    /// Retries sent.
    pub retries: Counter,
    /// Calls at this gate that targets made in runs of theirs.
    pub nested_calls: Counter,
    /// Calls for which no target was expected to answer in time.
    pub calls_without_room: Counter,
    /// Calls refused as their organisation was over its quota.
    pub calls_over_quota: Counter,
    /// Latency of answered calls by pool, in seconds.
    latency: Family<PoolLabels, Histogram, fn() -> Histogram>,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("fuchsiashore");
        let metrics = Self {
            registry: Mutex::new(Registry::default()),
            calls: Family::default(),
            call_labels: Mutex::default(),
            convergence: Histogram::new(exponential_buckets(0.01, 2.0, 14)),
            refusals: Family::default(),
            ended_connections: Family::default(),
            broken_transfers: Family::default(),
            offered_bodies: Family::default(),
            answers: Family::default(),
            open_connections: Family::default(),
            held_connections: Family::default(),
            control_bytes: Family::default(),
            control_messages: Family::default(),
            control_counts: Mutex::default(),
            store_calls: Family::default(),
            store_generation: Gauge::default(),
            store_returns: Counter::default(),
            closed_moves: Family::default(),
            refused_offers: Counter::default(),
            refused_values: Family::default(),
            version: Gauge::default(),
            is_newer_version_known: Gauge::default(),
            calls_by_doubtful_table: Family::default(),
            members: Gauge::default(),
            target_ends: Counter::default(),
            cold_spells: Counter::default(),
            is_evacuated: Gauge::default(),
            held_requests: Counter::default(),
            cleared_requests: Counter::default(),
            retries: Counter::default(),
            nested_calls: Counter::default(),
            calls_without_room: Counter::default(),
            calls_over_quota: Counter::default(),
            latency: Family::new_with_constructor(latency_histogram),
        };
        registry.register(
            "calls",
            "Calls by route, pool, version and outcome",
            metrics.calls.clone(),
        );
        registry.register(
            "refusals",
            "Requests that this process refused itself, by listener, status and reason",
            metrics.refusals.clone(),
        );
        registry.register(
            "ended_connections",
            "Connections that this process ended without an answer, by listener and cause",
            metrics.ended_connections.clone(),
        );
        register_transfers(&mut registry, &metrics);
        registry.register(
            "answers",
            "Answers of targets that were passed on to callers, by status",
            metrics.answers.clone(),
        );
        register_connections(&mut registry, &metrics);
        registry.register(
            "convergence_seconds",
            "Time from an accepted change until it was in force here",
            metrics.convergence.clone(),
        );
        register_control(&mut registry, &metrics);
        register_store(&mut registry, &metrics);
        registry.register(
            "closed_moves",
            "Moves closed by this daemon",
            metrics.closed_moves.clone(),
        );
        registry.register(
            "refused_offers",
            "Configurations refused",
            metrics.refused_offers.clone(),
        );
        registry.register(
            "refused_values",
            "Values of the store and announcements that can't be used",
            metrics.refused_values.clone(),
        );
        register_table(&mut registry, &metrics);
        register_quarantine(&mut registry, &metrics);
        registry.register("members", "Daemons present", metrics.members.clone());
        register_load(&mut registry, &metrics);
        registry.register(
            "call_seconds",
            "Time of answered calls by pool",
            metrics.latency.clone(),
        );
        *metrics.registry.lock() = registry;
        metrics
    }
}

/// Registers the metrics of the table in force.
fn register_table(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register(
        "config_version",
        "Configuration version in force",
        metrics.version.clone(),
    );
    registry.register(
        "is_newer_version_known",
        "Whether a newer version is known that is not in force here",
        metrics.is_newer_version_known.clone(),
    );
    registry.register(
        "calls_by_doubtful_table",
        "Calls answered by a table that was not known to be the newest one, by what was known of it",
        metrics.calls_by_doubtful_table.clone(),
    );
}

/// Registers the metrics of bodies.
fn register_transfers(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register(
        "broken_transfers",
        "Bodies that were not transferred to their end, by listener and cause",
        metrics.broken_transfers.clone(),
    );
    registry.register(
        "offered_bodies",
        "Large bodies offered to this gate: received, refused, expired before their turn, or broken off",
        metrics.offered_bodies.clone(),
    );
}

/// Registers the metrics of calls under load.
fn register_load(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register("retries", "Retries sent", metrics.retries.clone());
    registry.register(
        "nested_calls",
        "Calls at this gate that targets made in their runs",
        metrics.nested_calls.clone(),
    );
    registry.register(
        "calls_without_room",
        "Calls for which no target was expected to answer in time",
        metrics.calls_without_room.clone(),
    );
    registry.register(
        "calls_over_quota",
        "Calls refused as their organisation was over its quota",
        metrics.calls_over_quota.clone(),
    );
}

/// Registers the metrics of the target beside this daemon and of requests that end targets.
fn register_quarantine(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register(
        "cold_spells",
        "Times at which the target beside this daemon turned cold, so that its calls were paced",
        metrics.cold_spells.clone(),
    );
    registry.register(
        "is_evacuated",
        "Whether the data centre of this daemon is evacuated",
        metrics.is_evacuated.clone(),
    );
    registry.register(
        "target_ends",
        "Unannounced ends of the target beside this daemon",
        metrics.target_ends.clone(),
    );
    registry.register(
        "held_requests",
        "Requests that were held back",
        metrics.held_requests.clone(),
    );
    registry.register(
        "cleared_requests",
        "Requests that ran well here after several targets had ended under them",
        metrics.cleared_requests.clone(),
    );
}

/// Registers the metrics of control traffic.
fn register_connections(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register(
        "open_connections",
        "Open connections of calls, by whose they are",
        metrics.open_connections.clone(),
    );
    registry.register(
        "held_connections",
        "Connections of calls that were not accepted at once, or not opened, for lack of file descriptors",
        metrics.held_connections.clone(),
    );
}

fn register_store(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register("store_calls", "Calls to the store", metrics.store_calls.clone());
    registry.register(
        "store_generation",
        "Latest generation of the store",
        metrics.store_generation.clone(),
    );
    registry.register(
        "store_returns",
        "Times at which the store came back from an older copy",
        metrics.store_returns.clone(),
    );
}

fn register_control(registry: &mut Registry, metrics: &DaemonMetrics) {
    registry.register(
        "control_bytes",
        "Bytes of control traffic",
        metrics.control_bytes.clone(),
    );
    registry.register(
        "control_messages",
        "Messages of control traffic",
        metrics.control_messages.clone(),
    );
}

impl DaemonMetrics {
    /// Counts an answered call.
    pub fn count_answer(&self, route: &Arc<str>, pool: &Arc<str>, version: &Arc<str>, failed: bool) {
        let outcome = if failed { "answered-5xx" } else { "answered" };
        self.count(route, pool, version, outcome);
    }

    /// Counts an answered call if the table that it was routed by was not known to be the newest one.
    pub fn count_standing(&self, standing: TableStanding) {
        if standing != TableStanding::Current {
            let kind = standing.as_str();
            self.calls_by_doubtful_table
                .get_or_create(&KindLabels { kind })
                .inc();
        }
    }

    /// Counts a refused call.
    pub fn count_refusal(&self, route: &str, pool: &str, outcome: CallOutcome) {
        let outcome = match outcome {
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
        };
        self.count(&route.into(), &pool.into(), &Arc::from(""), outcome);
    }

    /// Counts a request that this process refused itself.
    pub fn count_refused_request(&self, listener: &'static str, status: StatusCode, reason: &'static str) {
        let labels = RefusalLabels {
            listener,
            status: status.as_u16(),
            reason,
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a connection that this process ended without an answer.
    pub fn count_ended_connection(&self, listener: &'static str, cause: &'static str) {
        self.ended_connections
            .get_or_create(&EndLabels { listener, cause })
            .inc();
    }

    /// Counts the body of a request or an answer that was not transferred to its end.
    pub fn count_broken_transfer(&self, listener: &'static str, cause: &'static str) {
        self.broken_transfers
            .get_or_create(&EndLabels { listener, cause })
            .inc();
    }

    /// Counts a body that was offered to this gate, by what became of it.
    pub fn count_offered_body(&self, kind: &'static str) {
        self.offered_bodies.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a target's answer that is passed on to the caller.
    pub fn count_status(&self, status: StatusCode) {
        let labels = StatusLabels {
            status: status.as_u16(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Returns the counters of connections, by kind.
    pub(crate) fn socket_counters(&self) -> [SocketCounters; SocketKind::ALL.len()] {
        SocketKind::ALL.map(|kind| {
            let labels = KindLabels { kind: kind.as_str() };
            SocketCounters {
                open: self.open_connections.get_or_create(&labels).clone(),
                held: self.held_connections.get_or_create(&labels).clone(),
            }
        })
    }

    /// Observes the latency of an answered call. The pools of the configuration bound the number of label sets.
    pub fn observe_latency(&self, pool: &Arc<str>, took_ms: u64) {
        let labels = PoolLabels {
            pool: Arc::clone(pool),
        };
        self.latency.get_or_create(&labels).observe(took_ms as f64 / 1e3);
    }

    /// Counts a call to the store, by kind.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts refused values, by kind of source.
    pub fn count_refused_values(&self, kind: &'static str, count: u64) {
        self.refused_values
            .get_or_create(&KindLabels { kind })
            .inc_by(count);
    }

    /// Counts a control message.
    pub fn count_control_message(&self, labels: ControlLabels, bytes: usize) {
        self.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.control_messages.get_or_create(&labels).inc();
        let mut counts = self.control_counts.lock();
        let count = counts.entry(labels).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// Returns the control messages so far as one line: `direction/kind/reach=messages:bytes`, separated by spaces.
    pub fn control_summary(&self) -> String {
        let counts = self.control_counts.lock();
        let words = counts.iter().map(|(labels, count)| {
            let ControlLabels {
                direction,
                kind,
                reach,
            } = labels;
            format!("{direction}/{kind}/{reach}={}:{}", count.messages, count.bytes)
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// Counts a move that this daemon closed.
    pub fn count_closed_move(&self, verdict: &str, in_time: bool) {
        let in_time = if in_time { "yes" } else { "no" };
        self.closed_moves
            .get_or_create(&MoveLabels {
                verdict: verdict.to_owned(),
                in_time,
            })
            .inc();
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry.lock());
        text
    }

    fn count(&self, route: &Arc<str>, pool: &Arc<str>, version: &Arc<str>, outcome: &'static str) {
        let labels = CallLabels {
            route: Arc::clone(route),
            pool: Arc::clone(pool),
            version: Arc::clone(version),
            outcome,
        };
        let mut used = self.call_labels.lock();
        if used.contains(&labels) || used.len() < MAX_CALL_LABELS {
            self.calls.get_or_create(&labels).inc();
            used.insert(labels);
            return;
        }
        let other: Arc<str> = Arc::from("other");
        let labels = CallLabels {
            route: Arc::clone(&other),
            pool: Arc::clone(&other),
            version: other,
            outcome,
        };
        self.calls.get_or_create(&labels).inc();
    }
}
