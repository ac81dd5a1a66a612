//! Starting the backend server and turning its switches.

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

/// A running backend server; it stops and cuts its connections when dropped.
pub struct Handle {
    shared: Arc<Shared>,
    thread: OwnedThread,
}

/// Starts a backend server on its own thread.
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
    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the settings that it runs with.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Replaces its behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Announces that it drains; it serves on, so that a test sees who still
    /// sends it work.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Withdraws its announcement.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Announces itself again after a drain or a leave.
    pub fn announce(&self) {
        self.shared.resume_announcing();
    }

    /// Crashes as a marked request does.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the ledger of runs.
    pub fn ledger(&self) -> Vec<Run> {
        self.shared.ledger.lock().runs.clone()
    }

    /// Returns the counts.
    pub fn counts(&self) -> Counts {
        self.shared.ledger.lock().counts
    }

    /// Returns the number of requests that run now.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the time since its start, the clock of [`Run::started_ms`].
    pub fn since_start(&self) -> Duration {
        self.shared.since_start()
    }

    /// Waits until the thread ends, for use as a process of its own.
    pub fn join(mut self) {
        self.thread.join();
    }
}
