//! One link to another node, with heartbeats.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_util::AsyncReadExt;
use ntex::time::{Millis, sleep, timeout};
use savorykeel_policy::calls::settle::NodeStamp;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::{compat::TokioAsyncReadCompatExt, sync::CancellationToken};

use crate::peer_capnp::peer;

use super::{CompressedReader, CompressedWriter, LinkSettings, counted::Counted, reader_options};

/// An open connection to another node.
pub(super) struct Link {
    /// Sends messages.
    pub(super) client: peer::Client,
    /// Newest stamp received from the other node.
    pub(super) stamp: Cell<NodeStamp>,
    /// Number of requests that await a reply.
    pub(super) pending: Cell<u32>,
    /// Time without any bytes after which an unanswered heartbeat means that the link is lost.
    heartbeat_timeout: Duration,
    /// Number of bytes received.
    received: Rc<Cell<u64>>,
    /// Cancelled when the connection ends or a heartbeat stays unanswered.
    pub(super) closed: CancellationToken,
    /// The link that replaces this one, if another connection was found to work.
    pub(super) successor: RefCell<Option<Rc<Link>>>,
}

impl Link {
    /// Connects to a node and monitors the connection until `owner` is cancelled.
    pub(super) async fn open(
        addr: SocketAddr,
        settings: LinkSettings,
        bytes: Arc<AtomicU64>,
        owner: &CancellationToken,
    ) -> io::Result<Rc<Link>> {
        let connect_timeout = to_millis(settings.connect_timeout);
        let stream = timeout(connect_timeout, connect(addr, &settings))
            .await
            .map_err(|()| io::Error::from(io::ErrorKind::TimedOut))??;
        let received = Rc::default();
        let counted = Counted::new(stream.compat(), bytes.clone(), Rc::clone(&received));
        let (reader, writer) = counted.split();
        let (reader, writer) = (CompressedReader::new(reader), CompressedWriter::new(writer));
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut rpc = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = rpc.bootstrap(Side::Server);
        let closed = owner.child_token();
        ntex::rt::spawn(run_rpc(rpc, closed.clone())).detach();
        // Closes the connection if the node doesn't answer or nobody waits for the link any more.
        let guard = closed.drop_guard();
        let first_heartbeat = timeout(connect_timeout, heartbeat(&client)).await;
        let Ok(Some(stamp)) = first_heartbeat else {
            return Err(io::ErrorKind::TimedOut.into());
        };
        let closed = guard.disarm();
        let link = Rc::new(Link {
            client,
            stamp: Cell::new(stamp),
            pending: Cell::new(0),
            heartbeat_timeout: settings.heartbeat_timeout,
            received,
            closed,
            successor: RefCell::default(),
        });
        let replacement = Replacement { addr, settings, bytes, owner: owner.clone() };
        ntex::rt::spawn(monitor(link.clone(), replacement)).detach();
        Ok(link)
    }
}

/// What it takes to open another link to the same node.
struct Replacement {
    addr: SocketAddr,
    settings: LinkSettings,
    bytes: Arc<AtomicU64>,
    owner: CancellationToken,
}

impl Replacement {
    /// Returns another link if one can be opened; otherwise never ends.
    async fn open(&self) -> Rc<Link> {
        let link = Box::pin(Link::open(self.addr, self.settings, self.bytes.clone(), &self.owner));
        match link.await {
            Ok(link) => link,
            Err(_) => std::future::pending().await,
        }
    }
}

async fn connect(addr: SocketAddr, settings: &LinkSettings) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if settings.source.is_ipv4() == addr.is_ipv4() {
        // Otherwise a node that restarts on this address can't listen on the port that the
        // system picks here.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(settings.source, 0))?;
    }
    let stream = socket.connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Runs the connection until it ends or `closed` is cancelled.
///
/// Dropping the RPC system closes the socket, so that an unresponsive
/// connection doesn't stay open.
async fn run_rpc(rpc: RpcSystem<Side>, closed: CancellationToken) {
    tokio::select! {
        _ = rpc => {}
        () = closed.cancelled() => {}
    }
    closed.cancel();
}

/// Number of intervals after which a heartbeat is sent on a link with pending requests although
/// bytes arrive, so that requests carry a recent stamp.
///
/// A node that answers many requests retains them for a short time. It refuses requests with
/// a stamp from before that.
const BUSY_HEARTBEAT_INTERVALS: u32 = 2;

/// Number of intervals after which a heartbeat is sent on an idle link, so that the stamp stays
/// within the time for which an idle node retains requests.
const IDLE_HEARTBEAT_INTERVALS: u32 = 16;

/// Sends heartbeats and cancels `closed` when one stays unanswered.
///
/// A link without pending requests has none to lose, and one on which bytes arrive works, so
/// their heartbeats are less frequent.
async fn monitor(link: Rc<Link>, replacement: Replacement) {
    let (mut intervals, mut received) = (0, 0);
    loop {
        tokio::select! {
            () = sleep(to_millis(replacement.settings.heartbeat_interval)) => {}
            () = link.closed.cancelled() => return,
        }
        intervals += 1;
        let is_quiet = link.received.get() == received;
        received = link.received.get();
        let due_after = match (link.pending.get() > 0, is_quiet) {
            (true, true) => 1,
            (true, false) => BUSY_HEARTBEAT_INTERVALS,
            (false, _) => IDLE_HEARTBEAT_INTERVALS,
        };
        if intervals < due_after {
            continue;
        }
        intervals = 0;
        match beat(&link, &replacement).await {
            Some(stamp) => link.stamp.set(stamp),
            None => break,
        }
    }
    link.closed.cancel();
}

/// Sends a heartbeat and returns the stamp of the other node; none if the link is lost.
///
/// While the answer is overdue, another connection is tried. If its first heartbeat is answered
/// and nothing has arrived on this one meanwhile, this one is taken for severed: something
/// between the nodes has lost track of it, and it would stay silent. A node that is slow or
/// frozen answers on neither.
async fn beat(link: &Link, replacement: &Replacement) -> Option<NodeStamp> {
    let LinkSettings { overdue, heartbeat_timeout, .. } = replacement.settings;
    let received = link.received.get();
    let answer = heartbeat(&link.client);
    let mut answer = std::pin::pin!(answer);
    if let Ok(answer) = timeout(to_millis(overdue.min(heartbeat_timeout)), &mut answer).await {
        return answer;
    }
    let left = heartbeat_timeout.saturating_sub(overdue);
    tokio::select! {
        biased;
        answer = wait_while_receiving(link, &mut answer, received, left) => answer,
        successor = replacement.open(), if overdue < heartbeat_timeout => {
            if link.received.get() == received {
                *link.successor.borrow_mut() = Some(successor);
                return None;
            }
            successor.closed.cancel();
            wait_while_receiving(link, &mut answer, received, left).await
        }
    }
}

/// Waits for the answer to a heartbeat, first for `left` and then for as long as something arrives
/// within the heartbeat's timeout; `received` is the number of bytes when the wait began.
///
/// On a link that is full, the answer waits behind a large reply. Taking it for lost would send
/// that reply once more.
async fn wait_while_receiving(
    link: &Link,
    answer: &mut (impl Future<Output = Option<NodeStamp>> + Unpin),
    mut received: u64,
    mut left: Duration,
) -> Option<NodeStamp> {
    loop {
        if let Ok(answer) = timeout(to_millis(left), &mut *answer).await {
            return answer;
        }
        if link.received.get() == received {
            return None;
        }
        received = link.received.get();
        left = link.heartbeat_timeout;
    }
}

/// Sends one heartbeat and returns the other node's stamp.
async fn heartbeat(client: &peer::Client) -> Option<NodeStamp> {
    let response = client.heartbeat_request().send().promise.await.ok()?;
    let reply = response.get().ok()?;
    Some(NodeStamp { incarnation: reply.get_life(), tick: reply.get_tick() })
}

pub(super) fn to_millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
