//! The backend server's HTTP API, and its restarts after crashes.

use std::{
    net::{SocketAddr, TcpListener},
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use ntex::http::{
    Method, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{self, Call, empty, json},
    thread::bind,
};

use super::{Behaviour, CrashMode, HintMode, Settings, announce, ledger::Ledger, run};

/// Exit code of the process after a crash with [`CrashMode::Exit`].
const CRASH_EXIT_CODE: i32 = 70;

/// Header of answers that states the requests a second that the server takes.
const STATED_RATE_HEADER: &str = "savorykeel-server-rate";

/// Header of answers that says whether the server is leaving.
const LEAVING_HEADER: &str = "savorykeel-server-leaving";

/// Pause between attempts to bind the port again after a crash.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// State shared by the server's tasks and its handle. Lock order: `behaviour`,
/// `ledger`, `incarnation`, `rng`; no lock is held across an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) addr: SocketAddr,
    pub(crate) behaviour: Mutex<Behaviour>,
    pub(crate) ledger: Mutex<Ledger>,
    /// Cancelled to crash the current incarnation; each restart sets a new token.
    pub(crate) incarnation: Mutex<CancellationToken>,
    pub(crate) rng: Mutex<StdRng>,
    pub(crate) slots: Semaphore,
    pub(crate) waiting: AtomicUsize,
    pub(crate) running: AtomicUsize,
    pub(crate) started: Instant,
    /// Time from `started` to the last start or restart, in milliseconds.
    pub(crate) incarnation_started_ms: AtomicU64,
    /// Whether announcements report that the server drains.
    pub(crate) draining: AtomicBool,
    /// Whether the server is to be announced to its node.
    pub(crate) announcing: AtomicBool,
    /// Wakes the announcing task after a change of `draining` or `announcing`.
    pub(crate) announcement_changed: Notify,
}

#[derive(Serialize)]
struct Load {
    running: usize,
    waiting: usize,
    slots: usize,
}

impl Shared {
    pub(crate) fn since_start(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn since_incarnation_start(&self) -> Duration {
        let incarnation_started =
            Duration::from_millis(self.incarnation_started_ms.load(Ordering::Relaxed));
        self.since_start().saturating_sub(incarnation_started)
    }

    /// Crashes as configured by [`Settings::crash`] and returns whether it did.
    pub(crate) fn crash(&self) -> bool {
        match self.settings.crash {
            CrashMode::Ignore => return false,
            CrashMode::Exit => process::exit(CRASH_EXIT_CODE),
            CrashMode::Restart => {}
        }
        self.ledger.lock().counts.crashes += 1;
        self.incarnation.lock().cancel();
        true
    }
}

/// Serves until the token is cancelled, and restarts after each crash.
pub(crate) async fn serve_with_restarts(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
) {
    let mut listener = Some(listener);
    while !stop.is_cancelled() {
        let Some(bound) = listener.take().or_else(|| bind(shared.addr).ok()) else {
            tokio::time::sleep(BIND_PAUSE).await;
            continue;
        };
        let incarnation = stop.child_token();
        *shared.incarnation.lock() = incarnation.clone();
        shared
            .incarnation_started_ms
            .store(shared.since_start().as_millis() as u64, Ordering::Relaxed);
        let handler_shared = shared.clone();
        let handler = move |call| handle(handler_shared.clone(), call);
        let announcing = announce::maintain_announcement(shared.clone(), incarnation.clone());
        let serving = http::serve(bound, incarnation.clone(), shared.settings.connections, handler);
        tokio::select! {
            _ = serving => {}
            () = announcing => {}
        }
        incarnation.cancel();
        tokio::time::sleep(Duration::from_millis(shared.settings.restart_ms)).await;
    }
}

async fn handle(shared: Arc<Shared>, call: Call) -> Response {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/health") => health(&shared),
        (&Method::GET, "/load") => load(&shared),
        (&Method::GET, "/standin/ledger") => json(StatusCode::OK, &shared.ledger.lock().runs),
        (&Method::GET, "/standin/counts") => json(StatusCode::OK, &shared.ledger.lock().counts),
        (&Method::PUT, "/standin/behaviour") => set_behaviour(&shared, &call),
        (&Method::POST, "/standin/drain") => apply_change(|| shared.drain()),
        (&Method::POST, "/standin/leave") => apply_change(|| shared.leave()),
        (&Method::POST, "/standin/announce") => apply_change(|| shared.resume_announcing()),
        (_, path) if path.starts_with("/standin/") => empty(StatusCode::NOT_FOUND),
        _ => {
            let mut response = run::run(shared.clone(), call).await;
            add_statements(&shared, &mut response);
            response
        }
    }
}

/// Adds what the server says about itself to an answer.
fn add_statements(shared: &Shared, response: &mut Response) {
    let behaviour = shared.behaviour.lock();
    let headers = response.headers_mut();
    let rate = behaviour.stated_rate.map(|rate| rate.to_string());
    if let Some(Ok(value)) = rate.map(HeaderValue::try_from) {
        headers.insert(HeaderName::from_static(STATED_RATE_HEADER), value);
    }
    if behaviour.states_leaving {
        headers.insert(HeaderName::from_static(LEAVING_HEADER), HeaderValue::from_static("1"));
    }
}

fn apply_change(change: impl FnOnce()) -> Response {
    change();
    empty(StatusCode::NO_CONTENT)
}

fn set_behaviour(shared: &Shared, call: &Call) -> Response {
    match call.json::<Behaviour>() {
        Ok(behaviour) => apply_change(|| *shared.behaviour.lock() = behaviour),
        Err(answer) => answer,
    }
}

fn health(shared: &Shared) -> Response {
    let hint = shared.behaviour.lock().health;
    let good = match hint {
        HintMode::Honest => !shared.draining.load(Ordering::Relaxed),
        HintMode::AlwaysGood => true,
        HintMode::AlwaysBad => false,
    };
    empty(if good { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn load(shared: &Shared) -> Response {
    let hint = shared.behaviour.lock().load;
    let slots = shared.settings.slots;
    let (running, waiting) = match hint {
        HintMode::Honest => {
            (shared.running.load(Ordering::Relaxed), shared.waiting.load(Ordering::Relaxed))
        }
        HintMode::AlwaysGood => (0, 0),
        HintMode::AlwaysBad => (slots, shared.settings.waiting),
    };
    json(StatusCode::OK, &Load { running, waiting, slots })
}

impl Shared {
    /// Announces that the server drains.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.announcement_changed.notify_waiters();
    }

    /// Withdraws the announcement.
    pub(crate) fn leave(&self) {
        self.announcing.store(false, Ordering::Relaxed);
        self.announcement_changed.notify_waiters();
    }

    /// Announces the server again after a drain or a leave.
    pub(crate) fn resume_announcing(&self) {
        self.draining.store(false, Ordering::Relaxed);
        self.announcing.store(true, Ordering::Relaxed);
        self.announcement_changed.notify_waiters();
    }
}
