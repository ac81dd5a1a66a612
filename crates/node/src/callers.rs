//! Connections of callers: accepted on one thread, served by the workers.
//!
//! The node accepts them itself and not through ntex's server, because that
//! closes its listener while the kernel may hold connections that it completed
//! and nobody accepted. Their callers have sent a request by then, which would
//! be cut. Here every such connection is taken before the listener closes.

use std::{
    io,
    net::{TcpListener, TcpStream},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use ntex::{
    SharedCfg,
    http::{HttpService, HttpServiceConfig, Request},
    io::Io,
    rt::JoinHandle,
    service::{Pipeline, ServiceFactory},
};
use slog::debug;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{calls::entry, worker::Worker};

/// Pause after a failed accept; accepting fails while the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which the last connections may bring their first request.
const LAST_REQUESTS: Duration = Duration::from_secs(1);

/// A connection of a caller on its way to a worker.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    /// Its place under the limit, given back when the connection ends.
    permit: OwnedSemaphorePermit,
}

/// Accepts connections until it is closed.
pub(crate) struct CallerAcceptor {
    closing: CancellationToken,
    task: JoinHandle<()>,
    places: Arc<Semaphore>,
    limit: u32,
}

impl CallerAcceptor {
    /// Accepts connections, at most `limit` open at once, and hands them to the
    /// workers.
    pub(crate) fn start(
        listener: TcpListener,
        workers: Sender<CallerConnection>,
        limit: usize,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let limit = u32::try_from(limit).unwrap_or(u32::MAX).min(Semaphore::MAX_PERMITS as u32);
        let places = Arc::new(Semaphore::new(limit as usize));
        let closing = CancellationToken::new();
        let task = accept(listener, workers, places.clone(), closing.clone());
        Ok(Self { closing, task: ntex::rt::spawn(task), places, limit })
    }

    /// Closes the listener and waits until every connection has ended, at most
    /// for `wait`. Tells whether all have.
    pub(crate) async fn close(self, wait: Duration) -> bool {
        self.closing.cancel();
        let all_ended = async {
            let _ = self.task.await;
            // Every place is free again when no connection is left.
            let _ = self.places.acquire_many(self.limit).await;
        };
        tokio::time::timeout(wait, all_ended).await.is_ok()
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    workers: Sender<CallerConnection>,
    places: Arc<Semaphore>,
    closing: CancellationToken,
) {
    while let Some((stream, permit)) = accept_one(&listener, &places, &closing).await {
        let _ = workers.send(CallerConnection { stream, permit }).await;
    }
    let Ok(listener) = listener.into_std() else { return };
    // What the kernel completed before the listener closes is served, too.
    while let Ok((stream, _)) = listener.accept() {
        let Ok(permit) = places.clone().try_acquire_owned() else { return };
        let _ = workers.send(CallerConnection { stream, permit }).await;
    }
}

/// Returns the next connection with its place, or nothing when it is time to close.
async fn accept_one(
    listener: &tokio::net::TcpListener,
    places: &Arc<Semaphore>,
    closing: &CancellationToken,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    loop {
        let accepted = async {
            let permit = places.clone().acquire_owned().await.map_err(io::Error::other)?;
            let (stream, _) = listener.accept().await?;
            Ok::<_, io::Error>((stream.into_std()?, permit))
        };
        tokio::select! {
            biased;
            () = closing.cancelled() => return None,
            accepted = accepted => match accepted {
                Ok(accepted) => return Some(accepted),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }
}

/// Serves the connections that fall to one worker, until the listener is closed
/// and the last of them has ended.
pub(crate) async fn serve(
    worker: Rc<Worker>,
    connections: Receiver<CallerConnection>,
    config: HttpServiceConfig,
) {
    let log = worker.state.log.clone();
    let service = HttpService::new(move |req: Request| {
        let caller = req.peer_addr().map_or_else(String::new, |addr| addr.ip().to_string());
        entry::handle(worker.clone(), req, caller)
    });
    let cfg: SharedCfg = SharedCfg::new("callers").add(config).into();
    let Ok(service) = service.create(cfg.clone()).await else { return };
    let service = Pipeline::new(service);
    while let Ok(CallerConnection { stream, permit }) = connections.recv().await {
        let (service, cfg, log) = (service.clone(), cfg.clone(), log.clone());
        ntex::rt::spawn(async move {
            let served = match ntex::rt::from_tcp_stream(stream, cfg) {
                Ok(io) => service.call(io).await.map_err(|e| e.to_string()),
                Err(e) => Err(e.to_string()),
            };
            if let Err(e) = served {
                debug!(log, "connection of a caller ended"; "error" => e);
            }
            drop(permit);
        })
        .detach();
    }
    tokio::time::sleep(LAST_REQUESTS).await;
    // Idle connections are closed, and those with a request after its answer.
    service.shutdown::<Io>().await;
}
