//! Accepts connections and distributes them among the workers.

use std::{
    io,
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::Sender;
use ntex::{rt::JoinHandle, time::sleep};
use savorykeel_adapters::listener::ignore_new_handshakes;
use slog::{Logger, warn};
use tokio_util::sync::CancellationToken;

/// Pause before accepting is retried, after it failed or while the connection limit is
/// reached.
///
/// Accepting fails for as long as the process is out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time without a new connection after which a stopping listener is closed; until then
/// it accepts connections whose handshake began before the stop. Covers the round trip of
/// a handshake.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

/// Interval at which a stop checks whether the listener has been closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Who opened a connection, given by the listener that accepted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller outside the mesh.
    Caller,
    /// The backend server on the same instance.
    Backend,
    /// A readiness probe: whether the node accepts new work of callers.
    Readiness,
    /// A reader of the node's metrics.
    Metrics,
    /// Another node.
    Peer,
}

/// An accepted connection that is passed to a worker.
pub(crate) struct Accepted {
    /// The TCP stream of the connection.
    pub(crate) stream: TcpStream,
    /// Who opened the connection.
    pub(crate) origin: Origin,
    /// Counts the connection as open until it is dropped.
    pub(crate) guard: ConnectionGuard,
}

/// Counts one connection as open until it is dropped.
pub(crate) struct ConnectionGuard {
    counter: Arc<AtomicUsize>,
}

impl ConnectionGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self { counter: counter.clone() }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A running listener: the task that accepts its connections and their number.
pub(crate) struct Acceptor {
    stop: CancellationToken,
    task: JoinHandle<()>,
    open_connections: Arc<AtomicUsize>,
}

impl Acceptor {
    /// Starts a task that sends accepted connections to `tx`.
    ///
    /// At most `limit` connections are open at a time; further ones wait in the
    /// listener's backlog.
    pub(crate) fn start(
        listener: TcpListener,
        origin: Origin,
        limit: usize,
        tx: Sender<Accepted>,
        log: Logger,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (stop, open_connections) = (CancellationToken::new(), Arc::new(AtomicUsize::new(0)));
        let accept_loop = AcceptLoop {
            listener,
            origin,
            limit,
            tx,
            log,
            stop: stop.clone(),
            open_connections: open_connections.clone(),
        };
        Ok(Self { stop, task: ntex::rt::spawn(accept_loop.run()), open_connections })
    }

    /// Stops accepting and closes the listener; new connections are refused when this
    /// returns.
    pub(crate) async fn stop(&mut self) {
        self.stop.cancel();
        while !self.task.is_finished() {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }
}

/// State of the accepting task.
struct AcceptLoop {
    listener: tokio::net::TcpListener,
    origin: Origin,
    limit: usize,
    tx: Sender<Accepted>,
    log: Logger,
    stop: CancellationToken,
    open_connections: Arc<AtomicUsize>,
}

impl AcceptLoop {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            if self.send_to_worker(accepted).await.is_err() {
                return;
            }
        }
        self.accept_remaining().await;
    }

    /// Accepts the connections whose handshake began before the stop, also those beyond the
    /// limit of open connections.
    ///
    /// Closing the listener would reset them although a request may already have been
    /// sent on them.
    async fn accept_remaining(&self) {
        if let Err(e) = ignore_new_handshakes(&self.listener) {
            warn!(self.log, "connections that complete as the listener closes may be reset";
                "problem" => %e);
        }
        let accept = || tokio::time::timeout(FINAL_ACCEPT_TIMEOUT, self.listener.accept());
        while let Ok(accepted) = accept().await {
            let accepted = accepted.and_then(|(stream, _)| stream.into_std());
            if self.send_to_worker(accepted).await.is_err() {
                return;
            }
        }
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        while self.open_connections.load(Ordering::Acquire) >= self.limit {
            sleep(ACCEPT_RETRY_PAUSE).await;
        }
        self.listener.accept().await?.0.into_std()
    }

    async fn send_to_worker(&self, accepted: io::Result<TcpStream>) -> Result<(), WorkersStopped> {
        let Ok(stream) = accepted else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            return Ok(());
        };
        let guard = ConnectionGuard::new(&self.open_connections);
        let accepted = Accepted { stream, origin: self.origin, guard };
        self.tx.send(accepted).await.map_err(|_| WorkersStopped)
    }
}

/// All workers have stopped and receive no more connections.
struct WorkersStopped;
