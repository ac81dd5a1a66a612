//! Starts the backend server and controls it from the same process.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::thread::{OwnedThread, bind};

use super::{
    Behaviour, Counts, Run, Settings,
    ledger::Ledger,
    server::{Shared, serve_with_restarts},
};

/// A running backend server. Dropping the handle stops it and closes its
/// connections.
pub struct Handle {
    shared: Arc<Shared>,
    thread: OwnedThread,
}

/// Starts a backend server on its own thread.
///
/// Fails if the address can't be bound or the thread can't be started.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let listener = bind(settings.listen)?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(Shared {
        addr,
        behaviour: Mutex::new(settings.behaviour.clone()),
        ledger: Mutex::new(Ledger::default()),
        incarnation: Mutex::new(CancellationToken::new()),
        rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
        slots: Semaphore::new(settings.slots),
        waiting: AtomicUsize::new(0),
        running: AtomicUsize::new(0),
        started: Instant::now(),
        incarnation_started_ms: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        announcing: AtomicBool::new(true),
        announcement_changed: Notify::new(),
        settings,
    });
    let thread_shared = shared.clone();
    let name = format!("backend-{}", shared.settings.service);
    let thread = OwnedThread::start(&name, CancellationToken::new(), move |stop| {
        serve_with_restarts(listener, thread_shared, stop)
    })?;
    Ok(Handle { shared, thread })
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the settings that the server was started with.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Replaces the behaviour; requests that already run keep their latency
    /// and failure rate.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Announces that the server drains. It goes on serving, so that a test can see
    /// whether it still gets requests.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Withdraws the announcement.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Announces the server again after a drain or a leave.
    pub fn announce(&self) {
        self.shared.resume_announcing();
    }

    /// Crashes the server as a request with `X-Crash: 1` does.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns every run so far, in the order of their starts.
    pub fn ledger(&self) -> Vec<Run> {
        self.shared.ledger.lock().runs.clone()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.shared.ledger.lock().counts
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the time since the start, on the clock of [`Run::started_ms`].
    /// Restarts after a crash don't reset it.
    pub fn since_start(&self) -> Duration {
        self.shared.since_start()
    }

    /// Waits until the thread ends; used when the stand-in runs as its own
    /// process.
    pub fn join(mut self) {
        self.thread.join();
    }
}
