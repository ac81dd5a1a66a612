//! Starts the proxy and controls it from the same process.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    http,
    thread::{OwnedThread, bind},
};

use super::{
    EstablishedAction, Faults, Settings, Zone, control,
    faults::FaultTable,
    forward::{Generation, Shared, accept},
};

/// Maximum number of open connections on the control address.
const CONTROL_CONNECTIONS: usize = 16;

/// Connections and bytes forwarded since the proxy's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Connections forwarded.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
    /// Bytes delivered to the target.
    pub request_bytes: u64,
    /// Bytes delivered to clients.
    pub answer_bytes: u64,
}

impl Counts {
    pub(crate) fn of(shared: &Shared) -> Self {
        Self {
            connections: shared.connections.load(Ordering::Relaxed),
            open: shared.open.load(Ordering::Relaxed),
            request_bytes: shared.request_bytes.load(Ordering::Relaxed),
            answer_bytes: shared.answer_bytes.load(Ordering::Relaxed),
        }
    }
}

/// A running proxy. Dropping the handle stops it and closes its connections.
pub struct Handle {
    addr: SocketAddr,
    control: Option<SocketAddr>,
    shared: Arc<Shared>,
    thread: OwnedThread,
}

/// Starts a proxy on its own thread.
///
/// Fails if an address can't be bound or the thread can't be started.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let listener = bind(settings.listen)?;
    let addr = listener.local_addr()?;
    let control_listener = settings.control.map(bind).transpose()?;
    let control = control_listener.as_ref().map(|listener| listener.local_addr()).transpose()?;
    let table = FaultTable { all: settings.faults, ..FaultTable::default() };
    let shared = Arc::new(Shared {
        target: Mutex::new(settings.target),
        faults: watch::Sender::new(table),
        generation: Mutex::new(Generation::new()),
        connections: AtomicU64::new(0),
        open: AtomicU64::new(0),
        request_bytes: AtomicU64::new(0),
        answer_bytes: AtomicU64::new(0),
    });
    let thread_shared = shared.clone();
    let thread =
        OwnedThread::start("proxy-standin", CancellationToken::new(), move |stop| async move {
            if let Some(listener) = control_listener {
                let shared = thread_shared.clone();
                let handler = move |call| control::handle(shared.clone(), call);
                ntex::rt::spawn(async move {
                    let _ = http::serve(listener, stop, CONTROL_CONNECTIONS, handler).await;
                });
            }
            // An error ends the stand-in; its clients then get refused connections.
            let _ = accept(listener, thread_shared).await;
        })?;
    Ok(Handle { addr, control, shared, thread })
}

impl Handle {
    /// Returns the address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the control address, or `None` if the settings have none.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Forwards new connections to another target, for instance a restarted node.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock() = target;
    }

    /// Replaces the faults of connections whose availability zone has no faults
    /// of its own.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Replaces the faults of connections from one availability zone. With `None`
    /// the common faults apply to the zone again.
    pub fn set_zone_faults(&self, zone: Zone, faults: Option<Faults>) {
        self.shared.set_zone_faults(zone, faults);
    }

    /// Closes all open connections except silenced ones; new ones aren't
    /// affected.
    pub fn cut_established(&self) {
        self.shared.apply_to_established(EstablishedAction::Cut);
    }

    /// Drops all bytes of the open connections permanently and keeps them open;
    /// new ones aren't affected.
    pub fn silence_established(&self) {
        self.shared.apply_to_established(EstablishedAction::Silence);
    }

    /// Refuses new connections and closes open ones, except silenced ones.
    pub fn cut(&self) {
        self.set_faults(Faults { refuse: true, ..Faults::default() });
        self.cut_established();
    }

    /// Clears all faults; silenced connections stay silent.
    pub fn clear_faults(&self) {
        self.shared.faults.send_replace(FaultTable::default());
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        Counts::of(&self.shared)
    }

    /// Waits until the thread ends; used when the stand-in runs as its own
    /// process.
    pub fn join(mut self) {
        self.thread.join();
    }
}
