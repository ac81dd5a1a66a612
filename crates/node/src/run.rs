//! Wires a node together and runs it until it is told to stop.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use ntex::{
    SharedCfg,
    http::{HttpService, Request},
    rt::{DefaultRuntime, JoinHandle, System},
    server::Server,
    time::{Millis, sleep},
};
use savorykeel_adapters::metrics::{Metrics, MetricsError};
use savorykeel_ports::{clock::Clock, edge::PRODUCT_HEADERS};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    admin,
    burn::BurnState,
    calls::{beside, state::CallState},
    control::{
        self,
        state::{ControlState, Identity},
    },
    front::{self, Acceptor, Origin},
    settings::{Settings, StoreChoice},
    state::NodeState,
    telemetry::{self, LineLimit},
    worker::{Worker, WorkerSeed},
};

/// Time between two looks at whether the calls in flight have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time between two looks at the backend server's lease.
const LEASE_POLL: Duration = Duration::from_millis(200);

/// Time before a leaving node drains for which the other nodes know of it: some times
/// what news takes to reach every node.
const LEAVE_NOTICE: Duration = Duration::from_millis(300);

/// Time for which a leaving node waits for callers to close idle connections.
const IDLE_CONNECTIONS: Duration = Duration::from_secs(3);

/// Most connections of other nodes.
const MAX_PEERS: usize = 65_536;

/// Most connections that ask whether the node takes new work, or read its metrics.
const MAX_QUESTIONERS: usize = 64;

/// Longest time that operators' requests in flight hold up a node that stops.
const OPERATORS_SHUTDOWN: Millis = Millis(1_000);

/// Addresses that a node is bound to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Name of the instance.
    pub instance: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For the backend server on the same instance.
    pub backend: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// How a node ended after it was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Every call in flight was finished.
    Graceful,
    /// The drain limit passed with calls still in flight.
    CallsCut,
}

/// Why a node can't run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listening address can't be bound.
    #[error("listen.{field}: {addr} can't be bound: {source}")]
    Bind {
        /// Field of the settings under `listen`.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// A server can't be started.
    #[error("the node's servers can't be started: {0}")]
    Start(#[from] io::Error),
    /// Metrics can't be sent.
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
            callers: bind("callers", listen.callers)?,
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

/// What ends a node and what changes while it runs.
pub struct Lifecycle {
    /// Ends the node when cancelled.
    pub stop: CancellationToken,
    /// Settings that were read again. Only the expected backend server follows
    /// them; anything else takes a restart.
    pub reloads: async_channel::Receiver<Settings>,
}

impl Lifecycle {
    /// Runs a node until `stop` is cancelled, with the settings that it starts with.
    pub fn until(stop: CancellationToken) -> Self {
        let (_, reloads) = async_channel::bounded(1);
        Self { stop, reloads }
    }
}

/// Runs a node on the calling thread until it is told to stop.
///
/// `on_ready` hears the bound addresses once the node takes requests. After the
/// stop, the node announces that it leaves and lets calls in flight end, at
/// most for the drain limit of the settings.
pub fn run(
    settings: Settings,
    log: Logger,
    lifecycle: Lifecycle,
    on_ready: impl FnOnce(&Addresses) + 'static,
) -> Result<Ending, NodeError> {
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
) -> Result<Ending, NodeError> {
    let addresses = listeners.addresses(&settings)?;
    let state = new_state(settings, log, &addresses)?;
    admin::answer_other_nodes(&state);
    let cancel = CancellationToken::new();
    let (accepted_tx, accepted_rx) = async_channel::unbounded();
    let seed = WorkerSeed { state: state.clone(), accepted: accepted_rx, cancel: cancel.clone() };
    let servers = start_servers(&seed, listeners.operators)?;
    let limit = state.settings.limits.caller_connections;
    let mut callers =
        Acceptor::start(listeners.callers, Origin::Caller, limit, accepted_tx.clone())?;
    let mut backend =
        Acceptor::start(listeners.backend, Origin::Backend, limit, accepted_tx.clone())?;
    let _readiness = listeners
        .readiness
        .map(|listener| {
            Acceptor::start(listener, Origin::Readiness, MAX_QUESTIONERS, accepted_tx.clone())
        })
        .transpose()?;
    let _metrics = listeners
        .metrics
        .map(|listener| {
            Acceptor::start(listener, Origin::Metrics, MAX_QUESTIONERS, accepted_tx.clone())
        })
        .transpose()?;
    let mut peers = Acceptor::start(listeners.peers, Origin::Peer, MAX_PEERS, accepted_tx)?;
    // Before anything is logged, so that it is the first line.
    on_ready(&addresses);
    spawn_lease_watch(state.clone(), cancel.clone());
    ntex::rt::spawn(telemetry::run(state.clone(), cancel.clone())).detach();
    let control_cancel = CancellationToken::new();
    let control = spawn_control(&state, &control_cancel);
    info!(state.log, "node started"; "callers" => %addresses.callers, "peers" => %addresses.peers);
    spawn_reload(state.clone(), lifecycle.reloads);
    lifecycle.stop.cancelled().await;
    announce_leaving(&state).await;
    callers.stop().await;
    state.closing.cancel();
    let ending = drain(&state, &callers).await;
    backend.stop().await;
    peers.stop().await;
    servers.stop(true).await;
    control_cancel.cancel();
    let _ = control.await;
    cancel.cancel();
    state.metrics.flush();
    info!(state.log, "node stopped");
    Ok(ending)
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
    Ok(Arc::new(NodeState {
        settings,
        clock,
        log,
        metrics,
        closing: CancellationToken::new(),
        lines: LineLimit::default(),
        burn: BurnState::default(),
        control,
        calls,
        headers,
        expected: parking_lot::Mutex::new(expected),
        backend: parking_lot::Mutex::default(),
        turning_away: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        entered: AtomicU32::new(0),
        serving: AtomicU32::new(0),
    }))
}

fn start_metrics(settings: &Settings) -> Result<Metrics, MetricsError> {
    let sent = match &settings.metrics {
        Some(m) => Metrics::to_statsd(m.statsd, &m.prefix, settings.instance.as_str())?,
        None => Metrics::disabled(),
    };
    Ok(if settings.listen.metrics.is_some() { sent.with_registry() } else { sent })
}

/// Starts the worker threads with the operators' API on them.
fn start_servers(seed: &WorkerSeed, operators: TcpListener) -> io::Result<Server> {
    let limits = &seed.state.settings.limits;
    let seed_of_worker = seed.clone();
    let server = ntex::server::build()
        .workers(seed.state.settings.workers)
        .disable_signals()
        .shutdown_timeout(OPERATORS_SHUTDOWN)
        .listen("operators", operators, async move |_| {
            let worker = Worker::current(&seed_of_worker);
            HttpService::new(move |req: Request| admin::handle(worker.clone(), req))
        })?
        .config("operators", SharedCfg::new("operators").add(front::http_config(limits)))
        .run();
    Ok(server)
}

/// Follows settings that were read again.
fn spawn_reload(state: Arc<NodeState>, reloads: async_channel::Receiver<Settings>) {
    ntex::rt::spawn(async move {
        while let Ok(settings) = reloads.recv().await {
            let expected = settings.backend.map(|backend| backend.expected);
            if let Some(expected) = &expected {
                info!(state.log, "settings read again"; "service" => %expected.service,
                    "addr" => %expected.addr);
            }
            *state.expected.lock() = expected;
        }
    })
    .detach();
}

fn spawn_lease_watch(state: Arc<NodeState>, cancel: CancellationToken) {
    ntex::rt::spawn(async move {
        while !cancel.is_cancelled() {
            sleep(LEASE_POLL).await;
            beside::expire(&state);
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

/// Lets callers learn that the node leaves, and then the other nodes.
///
/// The backend server runs on beside a node that is only replaced, so it is given
/// work for as long as callers are.
async fn announce_leaving(state: &NodeState) {
    info!(state.log, "node is leaving");
    state.turning_away.store(true, Ordering::Release);
    let linger = state.settings.limits.linger;
    let notice = LEAVE_NOTICE.min(linger);
    sleep(linger - notice).await;
    info!(state.log, "no new work for the backend server: the node is leaving");
    state.control.begin_leaving();
    state.leaving.store(true, Ordering::Release);
    sleep(notice).await;
}

/// Waits until the calls in flight have ended and callers closed their
/// connections, which every answer now asks them to do.
async fn drain(state: &NodeState, callers: &Acceptor) -> Ending {
    let started = Instant::now();
    while started.elapsed() < state.settings.limits.drain {
        let is_closed = callers.open() == 0 || started.elapsed() >= IDLE_CONNECTIONS;
        if state.is_idle() && is_closed {
            return Ending::Graceful;
        }
        sleep(DRAIN_POLL).await;
    }
    warn!(state.log, "calls still in flight at the drain limit";
        "entered" => state.entered.load(Ordering::Relaxed),
        "serving" => state.serving.load(Ordering::Relaxed));
    Ending::CallsCut
}
