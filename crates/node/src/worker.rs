//! State of one worker thread: its links to other nodes and its connections to the
//! backend server, neither of which may be shared between threads.

use std::{
    cell::{OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_channel::Receiver;
use rand::{SeedableRng, rngs::StdRng};
use savorykeel_adapters::{
    backend::HttpBackend,
    peer::{LinkEvent, LinkObserver, LinkSettings, PeerHandler, RpcLinks},
};
use savorykeel_policy::calls::link_opening::UNREACHABLE_MEMORY;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::{
    calls::{ledger, ledger_loop, serve, serve_peer},
    control::LinkPurpose,
    front::{self, Accepted},
    quota::ask::WaitingRequests,
    state::NodeState,
};

/// Time after which the answer to a heartbeat on a link is overdue. A node that isn't short of
/// processor time answers within some milliseconds.
const HEARTBEAT_OVERDUE: Duration = Duration::from_millis(200);

thread_local! {
    static WORKER: OnceCell<Rc<Worker>> = const { OnceCell::new() };
}

/// Everything that a worker thread needs to start.
#[derive(Clone)]
pub(crate) struct WorkerInit {
    /// State of the node.
    pub(crate) state: Arc<NodeState>,
    /// Accepted connections; all workers receive from the same channel.
    pub(crate) accepted: Receiver<Accepted>,
    /// Cancelled when the worker's tasks have to stop.
    pub(crate) cancel: CancellationToken,
}

/// State of one worker thread.
pub(crate) struct Worker {
    /// State of the node.
    pub(crate) state: Arc<NodeState>,
    /// Links to other nodes.
    pub(crate) links: RpcLinks,
    /// Source of random choices.
    pub(crate) rng: RefCell<StdRng>,
    /// Requests that wait for tokens of their accounts' quotas.
    pub(crate) waiting_for_quota: WaitingRequests,
    cached_backend: RefCell<Option<CachedBackendClient>>,
}

struct CachedBackendClient {
    addr: SocketAddr,
    connections: usize,
    client: HttpBackend,
}

impl Worker {
    /// Returns the worker of the calling thread; the first call on a thread starts it
    /// from `init`.
    pub(crate) fn current(init: &WorkerInit) -> Rc<Worker> {
        WORKER.with(|cell| cell.get_or_init(|| Worker::start(init)).clone())
    }

    fn start(init: &WorkerInit) -> Rc<Worker> {
        let settings = link_settings(&init.state);
        let byte_counter_of = init.state.control.byte_counter_of(LinkPurpose::Calls);
        let links = RpcLinks::new(settings, byte_counter_of, init.cancel.clone());
        let worker = Rc::new(Worker {
            state: init.state.clone(),
            links: links.with_observer(link_log(&init.state)),
            rng: RefCell::new(StdRng::from_rng(&mut rand::rng())),
            waiting_for_quota: WaitingRequests::default(),
            cached_backend: RefCell::default(),
        });
        let (handler, accepted) = (peer_handler(&worker), init.accepted.clone());
        ntex::rt::spawn(front::serve(worker.clone(), handler, accepted, init.cancel.clone()))
            .detach();
        if !init.state.calls.has_ledger_loop.swap(true, Ordering::AcqRel) {
            ntex::rt::spawn(ledger_loop::run(worker.clone(), init.cancel.clone())).detach();
        }
        worker
    }

    /// Returns a client for the backend server at `addr`.
    ///
    /// `connections` is this worker's share of the backend server's connection limit.
    pub(crate) fn backend_client(&self, addr: SocketAddr, connections: usize) -> HttpBackend {
        if let Some(cached) = &*self.cached_backend.borrow()
            && cached.addr == addr
            && cached.connections == connections
        {
            return cached.client.clone();
        }
        let memory = self.state.answer_memory.clone();
        let client = HttpBackend::new(addr, connections, self.state.headers, memory);
        *self.cached_backend.borrow_mut() =
            Some(CachedBackendClient { addr, connections, client: client.clone() });
        client
    }

    /// Drops the cached client, so that later requests use new connections to the backend
    /// server.
    pub(crate) fn drop_backend_client(&self) {
        self.cached_backend.borrow_mut().take();
    }
}

/// Returns the settings for links to other nodes.
pub(crate) fn link_settings(state: &NodeState) -> LinkSettings {
    let limits = &state.settings.limits;
    LinkSettings {
        source: state.settings.listen.peers.ip(),
        connect_timeout: limits.connect,
        heartbeat_interval: limits.heartbeat,
        heartbeat_timeout: limits.silence,
        overdue: HEARTBEAT_OVERDUE,
        unreachable_memory: UNREACHABLE_MEMORY,
    }
}

/// Returns an observer that logs what happens to the links.
fn link_log(state: &NodeState) -> LinkObserver {
    let log = state.log.clone();
    Rc::new(move |addr, event| match event {
        LinkEvent::Lost => info!(log, "link to a node was lost"; "addr" => %addr),
        LinkEvent::Unreachable => {
            info!(log, "no link to a node can be opened; its requests are turned away";
                "addr" => %addr);
        }
        LinkEvent::Regained => info!(log, "link to a node is open again"; "addr" => %addr),
    })
}

/// Returns the handlers for messages that other nodes send.
fn peer_handler(worker: &Rc<Worker>) -> PeerHandler {
    let (for_call, for_settle, for_cancel) = (worker.clone(), worker.clone(), worker.clone());
    let (for_control, for_stamp, for_ledger) = (worker.clone(), worker.clone(), worker.clone());
    let for_part = worker.state.clone();
    PeerHandler {
        call: Rc::new(move |call| Box::pin(serve_peer::run_for_peer(for_call.clone(), call))),
        settle: Rc::new(move |attempt| serve_peer::settle_for_peer(&for_settle.state, attempt)),
        stamp: Rc::new(move || for_stamp.state.calls.stamp(for_stamp.state.now())),
        cancel: Rc::new(move |id| serve::cancel(&for_cancel.state, id)),
        answer_part: Rc::new(move |id, offset| {
            Box::pin(serve_peer::answer_part(for_part.clone(), id, offset))
        }),
        control: Rc::new(move |body| {
            let state = for_control.state.clone();
            Box::pin(async move { state.control.handle(&body) })
        }),
        ledger: Rc::new(move |body| {
            let worker = for_ledger.clone();
            Box::pin(async move { ledger::handle_bytes(&worker, &body) })
        }),
    }
}
