//! One link to another node, with heartbeats.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_util::AsyncReadExt;
use ntex::time::{Millis, sleep, timeout};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::{compat::TokioAsyncReadCompatExt, sync::CancellationToken};

use crate::peer_capnp::peer;

use super::{LinkSettings, reader_options};

/// An open connection to another node.
pub(super) struct Link {
    /// Sends messages.
    pub(super) client: peer::Client,
    /// Cancelled when the connection ended or went silent.
    pub(super) down: CancellationToken,
}

impl Link {
    /// Connects to a node and watches the connection until `owner` is cancelled.
    pub(super) async fn open(
        addr: SocketAddr,
        settings: LinkSettings,
        owner: &CancellationToken,
    ) -> io::Result<Rc<Link>> {
        let connect_timeout = to_millis(settings.connect_timeout);
        let stream = timeout(connect_timeout, connect(addr, &settings))
            .await
            .map_err(|()| io::Error::from(io::ErrorKind::TimedOut))??;
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut rpc = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = rpc.bootstrap(Side::Server);
        let down = owner.child_token();
        let link = Rc::new(Link { client, down: down.clone() });
        ntex::rt::spawn(drive(rpc, down.clone())).detach();
        ntex::rt::spawn(watch(link.client.clone(), settings, down)).detach();
        Ok(link)
    }
}

async fn connect(addr: SocketAddr, settings: &LinkSettings) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if settings.source.is_ipv4() == addr.is_ipv4() {
        socket.bind(SocketAddr::new(settings.source, 0))?;
    }
    let stream = socket.connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Runs the connection until it ends or `down` is cancelled.
///
/// Dropping the RPC system closes the socket, so that a silent connection does
/// not linger.
async fn drive(rpc: RpcSystem<Side>, down: CancellationToken) {
    tokio::select! {
        _ = rpc => {}
        () = down.cancelled() => {}
    }
    down.cancel();
}

/// Sends heartbeats and cancels `down` when one stays unanswered.
async fn watch(client: peer::Client, settings: LinkSettings, down: CancellationToken) {
    loop {
        tokio::select! {
            () = sleep(to_millis(settings.heartbeat_interval)) => {}
            () = down.cancelled() => return,
        }
        let heartbeat = client.heartbeat_request().send().promise;
        match timeout(to_millis(settings.heartbeat_timeout), heartbeat).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(()) => break,
        }
    }
    down.cancel();
}

pub(super) fn to_millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
}
