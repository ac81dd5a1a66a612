//! Assembles a node and runs it until it is stopped.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use ntex::{
    SharedCfg,
    http::{HttpService, Request},
    rt::{DefaultRuntime, JoinHandle, System},
    server::Server,
    time::sleep,
};
use savorykeel_adapters::{
    body_memory::BodyMemory,
    listener::limit_receive_buffer,
    metrics::{Metrics, MetricsError},
};
use savorykeel_ports::{clock::Clock, edge::PRODUCT_HEADERS};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    admin,
    burn::BurnState,
    caller_load::CallerLoad,
    calls::{
        local_backend,
        state::{CallState, to_millis},
    },
    control::{
        self,
        state::{ControlState, Identity},
    },
    front::{self, Acceptor, Origin},
    quota::{self, QuotaState},
    settings::{Settings, StoreChoice},
    state::NodeState,
    telemetry::{self, RequestLogLimit},
    worker::{Worker, WorkerInit},
};

/// Time between two checks whether the calls in flight have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time after the drain limit in which callers that still wait get their replies.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two checks of the backend server's lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time from a node's notification that it leaves until it drains: several times what an
/// update takes to reach every node.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// Part of the memory for bodies that answers may take, as a divisor. The rest is for requests,
/// so that a backend server that sends bytes without end doesn't keep out those of others.
const ANSWER_MEMORY_DIVISOR: usize = 2;

/// Largest number of open connections from other nodes.
const MAX_PEER_CONNECTIONS: usize = 65_536;

/// Largest number of open connections at the readiness listener, and at the metrics
/// listener.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Longest time for which a stopping node waits for operators' requests in flight.
///
/// The platform kills the process soon after the drain limit, see [`Settings`].
const OPERATORS_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// The addresses that a node's listeners are bound to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Name of the instance.
    pub instance: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the backend server on the same instance.
    pub backend: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// How a node stopped after it was told to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every call in flight was completed.
    Graceful,
    /// The drain limit passed while calls were still in flight; they were aborted.
    CallsAborted,
}

/// Error that keeps a node from running.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listening address can't be bound.
    #[error("listen.{field}: {addr} can't be bound: {source}")]
    Bind {
        /// Field of the settings under `listen`.
        field: &'static str,
        /// The address that was to be bound.
        addr: SocketAddr,
        /// Error from the system.
        source: io::Error,
    },
    /// An I/O error kept the node from starting.
    #[error("the node's servers can't be started: {0}")]
    Start(#[from] io::Error),
    /// The metrics client can't be started.
    #[error("metrics.statsd: {0}")]
    Metrics(#[from] MetricsError),
}

struct Listeners {
    callers: TcpListener,
    backend: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    readiness: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind_for_callers(listen.callers, settings.limits.receive_buffer_bytes)?,
            backend: bind("backend", listen.backend)?,
            peers: bind("peers", listen.peers)?,
            operators: bind("operators", listen.operators)?,
            readiness: listen.readiness.map(|addr| bind("readiness", addr)).transpose()?,
            metrics: listen.metrics.map(|addr| bind("metrics", addr)).transpose()?,
        })
    }

    fn addresses(&self, settings: &Settings) -> io::Result<Addresses> {
        Ok(Addresses {
            instance: settings.instance.as_str().to_owned(),
            callers: self.callers.local_addr()?,
            backend: self.backend.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }
}

fn bind(field: &'static str, addr: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr).map_err(|source| NodeError::Bind { field, addr, source })
}

/// Binds the callers' listener; the system holds at most about `receive_bytes` of each connection
/// that the node hasn't read.
fn bind_for_callers(addr: SocketAddr, receive_bytes: usize) -> Result<TcpListener, NodeError> {
    let listener = bind("callers", addr)?;
    limit_receive_buffer(&listener, receive_bytes).map_err(|source| NodeError::Bind {
        field: "callers",
        addr,
        source,
    })?;
    Ok(listener)
}

/// Signals that control a running node.
pub struct Lifecycle {
    /// Stops the node when cancelled.
    pub stop: CancellationToken,
    /// Receives reloaded settings. Only the expected backend server is taken from them;
    /// any other change needs a restart.
    pub reloads: async_channel::Receiver<Settings>,
}

impl Lifecycle {
    /// Creates a lifecycle that ends when `stop` is cancelled and never reloads settings.
    pub fn without_reloads(stop: CancellationToken) -> Self {
        let (_, reloads) = async_channel::bounded(1);
        Self { stop, reloads }
    }
}

/// Runs a node on the calling thread until it is told to stop.
///
/// `on_ready` is called with the bound addresses once the node accepts requests. After
/// the stop signal, the node announces that it leaves and waits for calls in flight, at
/// most for the drain limit of the settings.
pub fn run(
    settings: Settings,
    log: Logger,
    lifecycle: Lifecycle,
    on_ready: impl FnOnce(&Addresses) + 'static,
) -> Result<ShutdownOutcome, NodeError> {
    let listeners = Listeners::bind(&settings)?;
    let name = settings.instance.as_str().to_owned();
    System::new(&name, DefaultRuntime)
        .block_on(run_node(settings, log, lifecycle, listeners, on_ready))
}

async fn run_node(
    settings: Settings,
    log: Logger,
    lifecycle: Lifecycle,
    listeners: Listeners,
    on_ready: impl FnOnce(&Addresses),
) -> Result<ShutdownOutcome, NodeError> {
    let addresses = listeners.addresses(&settings)?;
    let state = new_state(settings, log, &addresses)?;
    admin::register_query_handler(&state);
    let cancel = CancellationToken::new();
    quota::start(&state, cancel.clone());
    let (accepted_tx, accepted_rx) = async_channel::unbounded();
    let init = WorkerInit { state: state.clone(), accepted: accepted_rx, cancel: cancel.clone() };
    let servers = start_servers(&init, listeners.operators)?;
    let limit = state.settings.limits.caller_connections;
    let accept = |listener, origin, limit| {
        Acceptor::start(listener, origin, limit, accepted_tx.clone(), state.log.clone())
    };
    let mut callers = accept(listeners.callers, Origin::Caller, limit)?;
    let mut backend = accept(listeners.backend, Origin::Backend, limit)?;
    let _readiness = listeners
        .readiness
        .map(|listener| accept(listener, Origin::Readiness, MAX_PROBE_CONNECTIONS))
        .transpose()?;
    let _metrics = listeners
        .metrics
        .map(|listener| accept(listener, Origin::Metrics, MAX_PROBE_CONNECTIONS))
        .transpose()?;
    let mut peers = accept(listeners.peers, Origin::Peer, MAX_PEER_CONNECTIONS)?;
    // Called before anything is logged, so that its output is the first line.
    on_ready(&addresses);
    spawn_lease_check(state.clone(), cancel.clone());
    ntex::rt::spawn(telemetry::run(state.clone(), cancel.clone())).detach();
    let control_cancel = CancellationToken::new();
    let control = spawn_control(&state, &control_cancel);
    info!(state.log, "node started"; "callers" => %addresses.callers, "peers" => %addresses.peers);
    spawn_reload_handler(state.clone(), lifecycle.reloads);
    lifecycle.stop.cancelled().await;
    let signalled_at = Instant::now();
    let limits = &state.settings.limits;
    // The limit counts from the signal, as the platform's does: the steps before the drain may
    // take longer than planned.
    let ends_at = *state.ends_at.get_or_init(|| signalled_at + limits.linger + limits.drain);
    announce_leaving(&state).await;
    callers.stop().await;
    state.closing.cancel();
    let outcome = drain(&state, &callers, &mut backend, ends_at).await;
    info!(state.log, "node has drained"; "outcome" => ?outcome,
        "took_ms" => signalled_at.elapsed().as_millis() as u64);
    control_cancel.cancel();
    // The HTTP library's stop of the operators' server takes longer than it is allowed to.
    let stop_servers = tokio::time::timeout(OPERATORS_SHUTDOWN_TIMEOUT, servers.stop(true));
    let _ = tokio::join!(peers.stop(), stop_servers, control);
    cancel.cancel();
    state.metrics.flush();
    info!(state.log, "node stopped";
        "took_ms" => signalled_at.elapsed().as_millis() as u64);
    Ok(outcome)
}

fn new_state(
    settings: Settings,
    log: Logger,
    addresses: &Addresses,
) -> Result<Arc<NodeState>, NodeError> {
    let metrics = start_metrics(&settings)?;
    let clock = Clock::default();
    let identity = Identity {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_addr: settings.advertise_peers.unwrap_or(addresses.peers),
    };
    let journal_file = settings.journal_file.as_deref();
    let control = ControlState::new(identity, clock, log.clone(), journal_file)?;
    let calls = CallState::new(&settings);
    let headers = match settings.store {
        StoreChoice::LogService(_) => PRODUCT_HEADERS,
        StoreChoice::Platform(_) => savorykeel_platform::HEADERS,
    };
    let expected = settings.backend.as_ref().map(|backend| backend.expected.clone());
    let body_memory = BodyMemory::new(settings.limits.body_memory_bytes);
    let answer_memory = body_memory.part(settings.limits.body_memory_bytes / ANSWER_MEMORY_DIVISOR);
    let served_memory = BodyMemory::new(settings.limits.body_memory_bytes);
    let caller_load = Arc::new(CallerLoad::new(&settings.limits, body_memory.clone()));
    Ok(Arc::new(NodeState {
        settings,
        clock,
        log,
        metrics,
        closing: CancellationToken::new(),
        closing_backend: CancellationToken::new(),
        ending: CancellationToken::new(),
        ends_at: OnceLock::new(),
        body_memory,
        answer_memory,
        served_memory,
        caller_load,
        request_log_limit: RequestLogLimit::default(),
        burn: BurnState::default(),
        quota: QuotaState::new(&control),
        control,
        calls,
        headers,
        expected: parking_lot::Mutex::new(expected),
        backend: parking_lot::Mutex::default(),
        closing_callers: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        entered: AtomicU32::new(0),
        serving: AtomicU32::new(0),
    }))
}

fn start_metrics(settings: &Settings) -> Result<Metrics, MetricsError> {
    let metrics = match &settings.metrics {
        Some(m) => Metrics::to_statsd(m.statsd, &m.prefix, settings.instance.as_str())?,
        None => Metrics::disabled(),
    };
    Ok(if settings.listen.metrics.is_some() { metrics.with_registry() } else { metrics })
}

/// Starts the worker threads, which also serve the operators' API.
fn start_servers(init: &WorkerInit, operators: TcpListener) -> io::Result<Server> {
    let limits = &init.state.settings.limits;
    let worker_init = init.clone();
    let server = ntex::server::build()
        .workers(init.state.settings.workers)
        .disable_signals()
        .shutdown_timeout(to_millis(OPERATORS_SHUTDOWN_TIMEOUT))
        .listen("operators", operators, async move |_| {
            let worker = Worker::current(&worker_init);
            HttpService::new(move |req: Request| admin::handle(worker.clone(), req))
        })?
        .config("operators", SharedCfg::new("operators").add(front::http_config(limits)))
        .run();
    Ok(server)
}

/// Applies reloaded settings; see [`Lifecycle::reloads`].
fn spawn_reload_handler(state: Arc<NodeState>, reloads: async_channel::Receiver<Settings>) {
    ntex::rt::spawn(async move {
        while let Ok(settings) = reloads.recv().await {
            let expected = settings.backend.map(|backend| backend.expected);
            if let Some(expected) = &expected {
                info!(state.log, "settings reloaded"; "service" => %expected.service,
                    "addr" => %expected.addr);
            }
            *state.expected.lock() = expected;
        }
    })
    .detach();
}

fn spawn_lease_check(state: Arc<NodeState>, cancel: CancellationToken) {
    ntex::rt::spawn(async move {
        while !cancel.is_cancelled() {
            sleep(LEASE_POLL_INTERVAL).await;
            local_backend::expire(&state);
        }
    })
    .detach();
}

fn spawn_control(state: &Arc<NodeState>, cancel: &CancellationToken) -> JoinHandle<()> {
    let source = state.settings.listen.peers.ip();
    let control = state.settings.control;
    let store = state.settings.store.clone();
    let shared = state.control.clone();
    ntex::rt::spawn(control::start(
        shared,
        control,
        store,
        source,
        state.metrics.clone(),
        cancel.clone(),
    ))
}

/// Announces to callers that the node leaves, and later to the other nodes.
///
/// If only the node is replaced, its backend server keeps running. It is therefore given
/// new work until shortly before the end of the linger time, in which callers are still
/// accepted.
async fn announce_leaving(state: &NodeState) {
    info!(state.log, "node is leaving");
    state.closing_callers.store(true, Ordering::Release);
    let linger = state.settings.limits.linger;
    let propagation = LEAVE_PROPAGATION_TIME.min(linger);
    sleep(linger - propagation).await;
    info!(state.log, "no new work for the backend server: the node is leaving");
    state.control.begin_leaving();
    state.leaving.store(true, Ordering::Release);
    sleep(propagation).await;
}

/// Waits until the calls in flight have ended and the connections of callers and of the local
/// backend server are closed, which each last answer asks for by now.
///
/// The backend server may make calls as long as it runs requests.
async fn drain(
    state: &NodeState,
    callers: &Acceptor,
    backend: &mut Acceptor,
    ends_at: Instant,
) -> ShutdownOutcome {
    poll_until(ends_at, || state.serving.load(Ordering::Acquire) == 0).await;
    backend.stop().await;
    state.closing_backend.cancel();
    let open_connections = || callers.open_connections() + backend.open_connections();
    if poll_until(ends_at, || state.is_idle() && open_connections() == 0).await {
        return ShutdownOutcome::Graceful;
    }
    warn!(state.log, "calls still in flight at the drain limit";
        "entered" => state.entered.load(Ordering::Relaxed),
        "serving" => state.serving.load(Ordering::Relaxed),
        "connections" => open_connections());
    state.ending.cancel();
    poll_until(ends_at + LAST_ANSWERS_TIMEOUT, || open_connections() == 0).await;
    ShutdownOutcome::CallsAborted
}

/// Waits until `condition` holds or the moment has come; returns whether it holds.
async fn poll_until(until: Instant, condition: impl Fn() -> bool) -> bool {
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    true
}
