//! Accepts connections and shares them out among the workers.

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
use tokio_util::sync::CancellationToken;

/// Time without accepting after accepting failed, which it does while the
/// process is out of file descriptors.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a listener that stops still takes connections that the
/// system completed already.
const LAST_CONNECTIONS: Duration = Duration::from_millis(5);

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller outside the mesh.
    Caller,
    /// The backend server on the same instance.
    Backend,
    /// Whoever asks whether the node takes new work.
    Readiness,
    /// Whoever reads the node's metrics.
    Metrics,
    /// Another node.
    Peer,
}

/// A connection on its way to a worker.
pub(crate) struct Accepted {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// Who opened it.
    pub(crate) origin: Origin,
    /// Counts the connection while it is open.
    pub(crate) open: OpenConnection,
}

/// Counts a connection while the value lives.
pub(crate) struct OpenConnection {
    counter: Arc<AtomicUsize>,
}

impl OpenConnection {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self { counter: counter.clone() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A listener with the task that accepts from it.
pub(crate) struct Acceptor {
    stop: CancellationToken,
    task: JoinHandle<()>,
    open: Arc<AtomicUsize>,
}

impl Acceptor {
    /// Starts to accept at most `limit` connections at a time.
    pub(crate) fn start(
        listener: TcpListener,
        origin: Origin,
        limit: usize,
        tx: Sender<Accepted>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (stop, open) = (CancellationToken::new(), Arc::new(AtomicUsize::new(0)));
        let accept = Accept { listener, origin, limit, tx, stop: stop.clone(), open: open.clone() };
        Ok(Self { stop, task: ntex::rt::spawn(accept.run()), open })
    }

    /// Stops accepting; new connections are refused when this returns.
    pub(crate) async fn stop(&mut self) {
        self.stop.cancel();
        while !self.task.is_finished() {
            sleep(LAST_CONNECTIONS).await;
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

struct Accept {
    listener: tokio::net::TcpListener,
    origin: Origin,
    limit: usize,
    tx: Sender<Accepted>,
    stop: CancellationToken,
    open: Arc<AtomicUsize>,
}

impl Accept {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            if self.hand_over(accepted).await.is_err() {
                return;
            }
        }
        self.take_last().await;
    }

    /// Takes the connections that the system completed before the listener
    /// closes; closing would reset them under a request that was already sent.
    async fn take_last(&self) {
        while let Ok(accepted) = tokio::time::timeout(LAST_CONNECTIONS, self.accept()).await {
            if self.hand_over(accepted).await.is_err() {
                return;
            }
        }
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        while self.open.load(Ordering::Acquire) >= self.limit {
            sleep(FAILURE_PAUSE).await;
        }
        self.listener.accept().await?.0.into_std()
    }

    async fn hand_over(&self, accepted: io::Result<TcpStream>) -> Result<(), WorkersGone> {
        let Ok(stream) = accepted else {
            sleep(FAILURE_PAUSE).await;
            return Ok(());
        };
        let open = OpenConnection::new(&self.open);
        let accepted = Accepted { stream, origin: self.origin, open };
        self.tx.send(accepted).await.map_err(|_| WorkersGone)
    }
}

/// No worker takes connections any more.
struct WorkersGone;
