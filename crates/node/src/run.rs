//! Wires a node together and runs it until it is told to stop.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Sender;
use ntex::{
    SharedCfg,
    http::{HttpService, HttpServiceConfig, Request},
    rt::{DefaultRuntime, JoinHandle, System},
    server::Server,
    time::{Seconds, sleep},
};
use savorykeel_adapters::metrics::{Metrics, MetricsError};
use savorykeel_ports::clock::Clock;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    admin,
    burn::BurnState,
    callers::CallerAcceptor,
    calls::{announce, entry, state::CallState},
    control::{
        self,
        state::{ControlState, Identity},
    },
    settings::Settings,
    state::NodeState,
    worker::{Worker, WorkerSeed},
};

/// Time between two looks at whether the calls in flight have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time between two looks at the backend server's lease.
const LEASE_POLL: Duration = Duration::from_millis(200);

/// Time for which a leaving node still takes calls as an entry, so that callers
/// that keep connections open learn that they close.
const LINGER: Duration = Duration::from_millis(1_500);

/// Time after which an idle connection of a caller is closed.
const CALLER_KEEP_ALIVE: Seconds = Seconds(75);

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
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("callers", listen.callers)?,
            backend: bind("backend", listen.backend)?,
            peers: bind("peers", listen.peers)?,
            operators: bind("operators", listen.operators)?,
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

/// Runs a node on the calling thread until `stop` is cancelled.
///
/// `on_ready` hears the bound addresses once the node takes requests. After
/// `stop`, the node announces that it leaves and lets calls in flight end, at
/// most for the drain limit of the settings.
pub fn run(
    settings: Settings,
    log: Logger,
    stop: CancellationToken,
    on_ready: impl FnOnce(&Addresses) + 'static,
) -> Result<Ending, NodeError> {
    let listeners = Listeners::bind(&settings)?;
    let name = settings.instance.as_str().to_owned();
    System::new(&name, DefaultRuntime).block_on(run_node(settings, log, stop, listeners, on_ready))
}

async fn run_node(
    settings: Settings,
    log: Logger,
    stop: CancellationToken,
    listeners: Listeners,
    on_ready: impl FnOnce(&Addresses),
) -> Result<Ending, NodeError> {
    let addresses = listeners.addresses(&settings)?;
    let state = new_state(settings, log, &addresses)?;
    admin::answer_other_nodes(&state);
    let cancel = CancellationToken::new();
    let (accepted_tx, accepted_rx) = async_channel::unbounded();
    let (callers_tx, callers_rx) = async_channel::unbounded();
    let seed = WorkerSeed {
        state: state.clone(),
        accepted: accepted_rx,
        callers: callers_rx,
        cancel: cancel.clone(),
    };
    let Listeners { callers, backend, peers, operators } = listeners;
    let servers = start_servers(&seed, backend, operators)?;
    let max_callers = state.settings.limits.caller_connections;
    let callers = CallerAcceptor::start(callers, callers_tx, max_callers)?;
    spawn_peer_acceptor(peers, accepted_tx, cancel.clone())?;
    spawn_lease_watch(state.clone(), cancel.clone());
    let control_cancel = CancellationToken::new();
    let control = spawn_control(&state, &control_cancel);
    info!(state.log, "node started"; "callers" => %addresses.callers, "peers" => %addresses.peers);
    on_ready(&addresses);
    stop.cancelled().await;
    let ending = leave(&state, callers).await;
    servers.stop(true).await;
    control_cancel.cancel();
    let _ = control.await;
    cancel.cancel();
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
    let calls = CallState::new(&settings, (clock.tick)());
    Ok(Arc::new(NodeState {
        settings,
        clock,
        log,
        metrics,
        burn: BurnState::default(),
        control,
        calls,
        backend: parking_lot::Mutex::default(),
        leaving: AtomicBool::new(false),
        entered: AtomicU32::new(0),
        serving: AtomicU32::new(0),
    }))
}

fn start_metrics(settings: &Settings) -> Result<Metrics, MetricsError> {
    let Some(metrics) = &settings.metrics else { return Ok(Metrics::disabled()) };
    Metrics::to_statsd(metrics.statsd, &metrics.prefix, settings.instance.as_str())
}

/// Starts the servers, which own their listeners: a listener that outlived its
/// server would take connections that nobody accepts.
fn start_servers(
    seed: &WorkerSeed,
    backend: TcpListener,
    operators: TcpListener,
) -> io::Result<Server> {
    let limits = &seed.state.settings.limits;
    let http_config = || http_config(limits.header_bytes);
    let (for_backend, for_operators) = (seed.clone(), seed.clone());
    let server = ntex::server::build()
        .workers(seed.state.settings.workers)
        .maxconn(limits.caller_connections)
        .disable_signals()
        .shutdown_timeout(ntex::time::Millis(limits.drain.as_millis() as u32))
        .listen("backend", backend, async move |_| {
            let worker = Worker::current(&for_backend);
            HttpService::new(move |req: Request| handle_backend(worker.clone(), req))
        })?
        .listen("operators", operators, async move |_| {
            let worker = Worker::current(&for_operators);
            HttpService::new(move |req: Request| admin::handle(worker.clone(), req))
        })?
        .config("backend", SharedCfg::new("backend").add(http_config()))
        .config("operators", SharedCfg::new("operators").add(http_config()))
        .run();
    Ok(server)
}

/// Returns how HTTP is served to callers, backend servers and operators.
pub(crate) fn http_config(header_bytes: usize) -> HttpServiceConfig {
    HttpServiceConfig::new().set_keepalive_timeout(CALLER_KEEP_ALIVE).set_max_buf_size(header_bytes)
}

async fn handle_backend(worker: Rc<Worker>, req: Request) -> crate::http::HttpResult {
    if req.path() == announce::ANNOUNCEMENT_PATH {
        return announce::handle(&worker.state, req).await;
    }
    let caller = worker.state.backend.lock().as_ref().map(|backend| backend.record.service.clone());
    let caller = caller.map_or_else(String::new, |service| service.as_str().to_owned());
    entry::handle(worker, req, caller).await
}

/// Accepts connections of other nodes and shares them out among the workers.
fn spawn_peer_acceptor(
    listener: TcpListener,
    accepted: Sender<TcpStream>,
    cancel: CancellationToken,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    ntex::rt::spawn(async move {
        loop {
            let stream = tokio::select! {
                result = listener.accept() => result,
                () = cancel.cancelled() => return,
            };
            let Ok((stream, _)) = stream else {
                // Accepting fails while the process is out of file descriptors;
                // without a pause the loop would spin.
                sleep(ntex::time::Millis(50)).await;
                continue;
            };
            if let Ok(stream) = stream.into_std() {
                let _ = accepted.send(stream).await;
            }
        }
    })
    .detach();
    Ok(())
}

fn spawn_lease_watch(state: Arc<NodeState>, cancel: CancellationToken) {
    ntex::rt::spawn(async move {
        while !cancel.is_cancelled() {
            sleep(LEASE_POLL).await;
            announce::expire(&state);
        }
    })
    .detach();
}

fn spawn_control(state: &Arc<NodeState>, cancel: &CancellationToken) -> JoinHandle<()> {
    let source = state.settings.listen.peers.ip();
    let control = state.settings.control;
    let log_service = state.settings.log_service.clone();
    let shared = state.control.clone();
    ntex::rt::spawn(control::start(shared, control, log_service, source, cancel.clone()))
}

/// Announces that the node leaves, lets callers in for a while, then closes to
/// them and waits until its calls have ended.
async fn leave(state: &NodeState, callers: CallerAcceptor) -> Ending {
    info!(state.log, "node is leaving");
    state.control.begin_leaving();
    state.leaving.store(true, Ordering::Release);
    let deadline = Instant::now() + state.settings.limits.drain;
    let left = || deadline.saturating_duration_since(Instant::now());
    tokio::time::sleep(LINGER.min(left())).await;
    // Callers may call all the time, so that the node is never idle before this.
    let mut all_ended = callers.close(left()).await;
    while all_ended && !state.is_idle() {
        all_ended = !left().is_zero();
        sleep(DRAIN_POLL).await;
    }
    if all_ended {
        return Ending::Graceful;
    }
    warn!(state.log, "calls still in flight at the drain limit";
        "entered" => state.entered.load(Ordering::Relaxed),
        "serving" => state.serving.load(Ordering::Relaxed));
    Ending::CallsCut
}
