//! Startup of a daemon: binds the sockets, starts the traffic threads, then runs the control loop on the main thread.

use {
    super::{
        control::ControlState,
        edges::{DaemonEdges, EdgeContext},
        envelope::decode_envelope,
        freshness::TableFreshness,
        listeners::{report_end, serve_counted},
        metrics::{ControlLabels, DaemonMetrics},
        operators::{ControlHandler, OperatorHandler},
        readiness::ReadinessHandler,
        refusals::RefusalLines,
        shared::{BodyIntake, GateQueue, MoveRegistry, SharedState, TargetIdentity},
        tasks::ControlEvent,
        traffic::{InboundHandler, OutboundHandler, PeerClients},
    },
    crate::{
        call::PoolBudgets,
        clock::ProcessClock,
        gate::GateState,
        http::{CLIENT_TIMEOUTS, ClientTimeouts, HeadLimits, REPEATABLE_IDLE_TIMEOUT, bind, serve_within},
        intake::IntakeLimits,
        member::ProbeMessage,
        quarantine::QuarantineState,
        settings::DaemonSettings,
        socket_budget::{SocketBudget, SocketKind, SocketShare},
    },
    arc_swap::ArcSwap,
    miette::Diagnostic,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicUsize},
        },
        thread,
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::UdpSocket,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{Notify, Semaphore, mpsc},
        time::interval,
    },
};

/// Capacity of each event queue of the control thread, in events.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Time limits on other daemons at the gate. They keep idle connections for half of that.
const GATE_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    idle: Duration::from_secs(2 * REPEATABLE_IDLE_TIMEOUT.as_secs()),
    ..CLIENT_TIMEOUTS
};
/// Interval between cleanups of unused clients.
const CLIENT_CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// Error at the start of a daemon.
#[derive(Debug, Error, Diagnostic)]
pub enum RunError {
    /// A listening socket could not be bound.
    #[error("can't listen on {key} address {address}: {error}")]
    #[diagnostic(help("choose a free address of this VM in the settings"))]
    Bind {
        /// Key of the address in the settings.
        key: &'static str,
        /// Address that was tried.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The runtime could not be started.
    #[error("the runtime could not be started: {0}")]
    #[diagnostic(help("check the VM's limits on threads and open files"))]
    Runtime(#[from] io::Error),
}

/// Runs a daemon with the given edges; returns after it has drained, or fails if it can't start.
pub fn run(settings: DaemonSettings, mut edges: DaemonEdges) -> Result<(), RunError> {
    let calls = bind_for("calls", settings.calls)?;
    let gate = bind_for("gate", settings.gate)?;
    let control = bind_for("control", settings.control)?;
    let operators = bind_for("operators", settings.operators)?;
    let bind_optional = |key, address: Option<SocketAddr>| address.map(|a| bind_for(key, a)).transpose();
    let ready = bind_optional("ready", settings.ready)?;
    let announcements = bind_optional("announcements", settings.announcements)?;
    let (traffic_events, mut traffic_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let shared = Arc::new(make_shared(settings, &edges, traffic_events));
    for worker in 0..shared.settings.traffic_threads {
        start_traffic(&shared, worker as u64, calls.try_clone()?, gate.try_clone()?)?;
    }
    new_runtime()?.block_on(async {
        let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let datagrams = bind_datagrams(&shared)?;
        tokio::spawn(serve_counted(
            Arc::clone(&shared),
            "control",
            control,
            ControlHandler::new(Arc::clone(&shared), events.clone()),
        ));
        tokio::spawn(serve_counted(
            Arc::clone(&shared),
            "operators",
            operators,
            OperatorHandler {
                shared: Arc::clone(&shared),
                events: events.clone(),
            },
        ));
        if let Some(ready) = ready {
            tokio::spawn(serve_counted(
                Arc::clone(&shared),
                "ready",
                ready,
                ReadinessHandler {
                    shared: Arc::clone(&shared),
                },
            ));
        }
        if let (Some(serve), Some(listener)) = (edges.serve_announcements.take(), announcements) {
            let served = serve(EdgeContext::new(&shared, &events), listener);
            tokio::spawn(async move {
                if let Err(error) = served.await {
                    log::error!("event=announcements-ended error={error:?}");
                }
            });
        }
        tokio::spawn(receive_datagrams(
            Arc::clone(&shared),
            Arc::clone(&datagrams),
            events.clone(),
        ));
        tokio::spawn(wait_for_signals(events.clone()));
        let control_events = events.clone();
        tokio::spawn(async move {
            while let Some(event) = traffic_queue.recv().await {
                let _ = control_events.send(ControlEvent::Traffic(event)).await;
            }
        });
        let now = shared.now();
        ControlState::new(Arc::clone(&shared), events, datagrams, edges, now)
            .run(queue)
            .await;
        log::info!("event=stopped");
        log::logger().flush();
        Ok(())
    })
}

fn bind_for(key: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    bind(address).map_err(|error| RunError::Bind { key, address, error })
}

fn bind_datagrams(shared: &SharedState) -> Result<Arc<UdpSocket>, RunError> {
    let address = shared.settings.control;
    let socket = std::net::UdpSocket::bind(address).map_err(|error| RunError::Bind {
        key: "control",
        address,
        error,
    })?;
    socket.set_nonblocking(true)?;
    Ok(Arc::new(UdpSocket::from_std(socket)?))
}

fn make_shared(
    settings: DaemonSettings,
    edges: &DaemonEdges,
    traffic_events: mpsc::Sender<super::shared::TrafficEvent>,
) -> SharedState {
    let target = &settings.target;
    let state = GateState::new(target.slots, target.queue);
    let id = if settings.announcements.is_some() {
        Arc::from("")
    } else {
        Arc::clone(&settings.name)
    };
    let identity = TargetIdentity {
        id,
        version: Arc::clone(&target.version),
        address: target.address,
        slots: target.slots,
    };
    let budget = PoolBudgets::new(settings.extra_retries, 1);
    let clock = ProcessClock::start();
    let metrics = DaemonMetrics::default();
    let intake_limits = IntakeLimits::new(settings.link_mbps, settings.memory_mb);
    let started_at = clock.now();
    let quarantine = QuarantineState::new(Arc::clone(&settings.name), started_at.0, settings.quarantine_ms);
    SharedState {
        settings: Arc::new(settings),
        started_at,
        clock,
        dialect: Arc::clone(&edges.dialect),
        target: ArcSwap::from_pointee(identity),
        snapshot: ArcSwap::default(),
        freshness: TableFreshness::default(),
        gate: Mutex::new(GateQueue {
            state,
            waiting: HashMap::new(),
        }),
        intake: Mutex::new(BodyIntake::new(intake_limits)),
        body_room: Arc::new(Semaphore::new(intake_limits.room_bytes as usize)),
        selector: Mutex::default(),
        nested_routes: Mutex::default(),
        budget: Mutex::new(budget),
        evidence: Mutex::default(),
        moves: Mutex::new(MoveRegistry::default()),
        sockets: Arc::new(SocketBudget::of_process(metrics.socket_counters())),
        quarantine: Mutex::new(quarantine),
        turn_ended: Notify::new(),
        metrics,
        refusal_lines: RefusalLines::default(),
        active_calls: AtomicUsize::new(0),
        leaving: OnceLock::new(),
        leaving_begun: Notify::new(),
        is_closed: AtomicBool::new(false),
        traffic_events,
    }
}

fn new_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts a traffic thread: it serves callers and the gate on a runtime of its own.
fn start_traffic(
    shared: &Arc<SharedState>,
    worker: u64,
    calls: TcpListener,
    gate: TcpListener,
) -> io::Result<()> {
    let runtime = new_runtime()?;
    let sockets_of = |kind| SocketShare::new(&shared.sockets, kind);
    let gate_clients = Arc::new(PeerClients::new(
        HeadLimits::ANSWERS,
        sockets_of(SocketKind::Gate),
    ));
    let target_clients = Arc::new(PeerClients::new(HeadLimits::GATE, sockets_of(SocketKind::Target)));
    let (callers, proxies) = (
        Some(sockets_of(SocketKind::Caller)),
        Some(sockets_of(SocketKind::Proxy)),
    );
    let outbound = OutboundHandler::new(Arc::clone(shared), Arc::clone(&gate_clients), worker);
    let inbound = InboundHandler::new(Arc::clone(shared), Arc::clone(&target_clients));
    let (on_end_calls, on_end_gate) = (
        report_end(Arc::clone(shared), "calls"),
        report_end(Arc::clone(shared), "gate"),
    );
    let call_timeouts = {
        let shared = Arc::clone(shared);
        Arc::new(move || client_timeouts(&shared))
    };
    let gate_timeouts = Arc::new(|| GATE_TIMEOUTS);
    let body = move || {
        runtime.block_on(async move {
            tokio::spawn(clean_clients(gate_clients));
            tokio::spawn(clean_clients(target_clients));
            let (outbound, inbound) = tokio::join!(
                serve_within(
                    calls,
                    outbound,
                    HeadLimits::CALLS,
                    call_timeouts,
                    on_end_calls,
                    callers
                ),
                serve_within(
                    gate,
                    inbound,
                    HeadLimits::GATE,
                    gate_timeouts,
                    on_end_gate,
                    proxies
                )
            );
            for error in [outbound.err(), inbound.err()].into_iter().flatten() {
                log::error!("event=traffic-ended worker={worker} error={error}");
            }
        });
    };
    thread::Builder::new()
        .name(format!("traffic-{worker}"))
        .spawn(body)
        .map(drop)
}

/// Returns the time limits on callers in the configuration in force.
fn client_timeouts(shared: &SharedState) -> ClientTimeouts {
    let snapshot = shared.snapshot.load();
    let limits = snapshot.table.as_ref().map(|table| table.limits);
    let limits = limits.unwrap_or_default();
    ClientTimeouts {
        head: limits
            .head_timeout_ms
            .map_or(CLIENT_TIMEOUTS.head, Duration::from_millis),
        idle: limits
            .idle_timeout_ms
            .map_or(CLIENT_TIMEOUTS.idle, Duration::from_millis),
    }
}

async fn clean_clients(clients: Arc<PeerClients>) {
    let mut ticks = interval(CLIENT_CLEANUP_INTERVAL);
    loop {
        ticks.tick().await;
        clients.drop_unused();
    }
}

async fn receive_datagrams(
    shared: Arc<SharedState>,
    socket: Arc<UdpSocket>,
    events: mpsc::Sender<ControlEvent>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let labels = ControlLabels {
            direction: "received",
            kind: "datagram",
            reach: "any",
        };
        shared.metrics.count_control_message(labels, length);
        match decode_envelope::<ProbeMessage>(&shared.settings.mesh, &buffer[..length]) {
            // A full queue drops the datagram; the protocol tolerates losses.
            Ok(message) => drop(events.try_send(ControlEvent::Datagram { from, message })),
            Err(error) => log::warn!("event=datagram-refused from={from} error={error:?}"),
        }
    }
}

async fn wait_for_signals(events: mpsc::Sender<ControlEvent>) {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        log::error!("event=signals-not-heard");
        return;
    };
    loop {
        let event = tokio::select! {
            _ = terminate.recv() => ControlEvent::Drain,
            _ = interrupt.recv() => ControlEvent::Drain,
            _ = hangup.recv() => ControlEvent::Reload,
        };
        let _ = events.send(event).await;
    }
}
