//! Accepts connections and forwards them under the faults in force.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::faults::{FaultTable, Faults, Zone};

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Number of chunks that can wait for their delay, per connection and direction.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Pause after a failed accept, so that the accept loop doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Tokens of the connections that were opened since the last cut or silencing, by
/// which all of them are closed or silenced together.
#[derive(Debug, Clone)]
pub(crate) struct Generation {
    /// Cancelled to close the connections of this generation.
    pub(crate) cut: CancellationToken,
    /// Cancelled to drop all bytes of this generation permanently.
    pub(crate) silence: CancellationToken,
}

impl Generation {
    pub(crate) fn new() -> Self {
        Self { cut: CancellationToken::new(), silence: CancellationToken::new() }
    }
}

/// State shared by the proxy's tasks and its handle. No two locks are held at the
/// same time.
pub(crate) struct Shared {
    pub(crate) target: Mutex<SocketAddr>,
    pub(crate) faults: watch::Sender<FaultTable>,
    pub(crate) generation: Mutex<Generation>,
    pub(crate) connections: AtomicU64,
    pub(crate) open: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) answer_bytes: AtomicU64,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy)]
enum Direction {
    Request,
    Answer,
}

impl Direction {
    fn drops(self, faults: Faults) -> bool {
        match self {
            Direction::Request => faults.drop_requests,
            Direction::Answer => faults.drop_answers,
        }
    }

    fn delay(self, faults: Faults) -> Duration {
        Duration::from_millis(match self {
            Direction::Request => faults.request_delay_ms,
            Direction::Answer => faults.answer_delay_ms,
        })
    }

    fn counter(self, shared: &Shared) -> &AtomicU64 {
        match self {
            Direction::Request => &shared.request_bytes,
            Direction::Answer => &shared.answer_bytes,
        }
    }
}

/// Bytes read from one side, and the time from which they may be forwarded.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Accepts and forwards connections without end; returns only if the listener
/// can't be registered with the runtime.
pub(crate) async fn accept(listener: std::net::TcpListener, shared: Arc<Shared>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let Ok((client, addr)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let zone = Zone::of(addr);
        if shared.faults.borrow().for_zone(zone).refuse {
            continue;
        }
        tokio::task::spawn_local(forward(client, addr, zone, shared.clone()));
    }
}

async fn forward(client: TcpStream, addr: SocketAddr, zone: Zone, shared: Arc<Shared>) {
    let generation = shared.generation.lock().clone();
    let target_addr = *shared.target.lock();
    let Ok(target) = connect(addr, target_addr).await else { return };
    shared.connections.fetch_add(1, Ordering::Relaxed);
    shared.open.fetch_add(1, Ordering::Relaxed);
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (target_rx, target_tx) = target.into_split();
    let requests = relay(client_rx, target_tx, Direction::Request, zone, &shared, &generation);
    let answers = relay(target_rx, client_tx, Direction::Answer, zone, &shared, &generation);
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        () = generation.cut.cancelled() => {}
    }
    shared.open.fetch_sub(1, Ordering::Relaxed);
}

/// Connects to the target from the client's IP address if it is a loopback
/// address, so that the target too can derive the availability zone from it.
async fn connect(client: SocketAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if client.ip().is_loopback() && client.is_ipv4() == target.is_ipv4() {
        // Nodes under test bind this address again after a restart.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(client.ip(), 0))?;
    }
    socket.connect(target).await
}

/// Forwards bytes in one direction until the sender closes its side.
async fn relay(
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    direction: Direction,
    zone: Zone,
    shared: &Shared,
    generation: &Generation,
) {
    let (chunk_tx, chunk_rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let read = read_chunks(rx, chunk_tx, direction, zone, shared, generation);
    let write = write_chunks(tx, chunk_rx, direction, shared, generation);
    tokio::join!(read, write);
}

async fn read_chunks(
    mut rx: OwnedReadHalf,
    tx: mpsc::Sender<Chunk>,
    direction: Direction,
    zone: Zone,
    shared: &Shared,
    generation: &Generation,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = rx.read(&mut buf).await.unwrap_or(0);
        if generation.silence.is_cancelled() {
            // Never ends, so that a close isn't forwarded to the other side either.
            std::future::pending::<()>().await;
        }
        if read == 0 {
            return;
        }
        let faults = shared.faults.borrow().for_zone(zone);
        if direction.drops(faults) {
            continue;
        }
        let due = Instant::now() + direction.delay(faults);
        if tx.send(Chunk { due, bytes: buf[..read].to_vec() }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut tx: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
    direction: Direction,
    shared: &Shared,
    generation: &Generation,
) {
    while let Some(chunk) = rx.recv().await {
        if chunk.due > Instant::now() {
            tokio::time::sleep_until(chunk.due).await;
        }
        if generation.silence.is_cancelled() {
            std::future::pending::<()>().await;
        }
        // Counted before the write, because the receiver may act on the bytes and
        // read the count before this task runs again.
        direction.counter(shared).fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
        if tx.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    let _ = tx.shutdown().await;
}
