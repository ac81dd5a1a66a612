//! State that the worker threads of one node share.
//!
//! Lock order: [`NodeState::backend`] is taken before the locks of the control state.
//! No lock is held across an await.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use savorykeel_adapters::{body_memory::BodyMemory, metrics::Metrics};
use savorykeel_policy::{
    ids::ServiceName,
    server::tracker::{ExpectedServer, ServerTracker},
    time::Tick,
};
use savorykeel_ports::{clock::Clock, edge::HeaderNames};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::{
    burn::BurnState, caller_load::CallerLoad, calls::state::CallState,
    control::state::ControlState, quota::QuotaState, settings::Settings,
    telemetry::RequestLogLimit,
};

/// Time between the latest deadline of a request at a stopping node and the node's end, in
/// which the answer is sent.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// State of one node, shared by its worker threads.
pub(crate) struct NodeState {
    /// The node's settings, as read at its start.
    pub(crate) settings: Settings,
    /// The monotonic and the wall clock.
    pub(crate) clock: Clock,
    /// Structured log.
    pub(crate) log: Logger,
    /// Metrics; discarded unless the settings name a server or a listener for them.
    pub(crate) metrics: Metrics,
    /// Cancelled to close idle connections of callers.
    pub(crate) closing: CancellationToken,
    /// Cancelled to close connections of the local backend server; their answers ask for the
    /// close.
    pub(crate) closing_backend: CancellationToken,
    /// Cancelled at the drain limit: callers that still wait learn that the outcome is unknown.
    pub(crate) ending: CancellationToken,
    /// Drain limit of a node that is stopping.
    pub(crate) ends_at: OnceLock<Instant>,
    /// Memory for the bodies of requests and answers.
    pub(crate) body_memory: BodyMemory,
    /// The part of it that answers may take.
    pub(crate) answer_memory: BodyMemory,
    /// Memory for the bodies of requests that arrive for the local backend server, apart from
    /// that of callers, so that neither takes all of it from the other.
    pub(crate) served_memory: BodyMemory,
    /// What callers make the node hold.
    pub(crate) caller_load: Arc<CallerLoad>,
    /// Limits the rate of log lines about requests.
    pub(crate) request_log_limit: RequestLogLimit,
    /// Results of the calls that entered at this node.
    pub(crate) burn: BurnState,
    /// Quotas of client accounts.
    pub(crate) quota: QuotaState,
    /// Configuration, membership and moves.
    pub(crate) control: Arc<ControlState>,
    /// State of the call path.
    pub(crate) calls: CallState,
    /// Names of the headers exchanged with callers and backend servers.
    pub(crate) headers: HeaderNames,
    /// The backend server that the settings name; a change of the settings file replaces
    /// it while the node runs.
    pub(crate) expected: Mutex<Option<ExpectedServer>>,
    /// The local backend server, while its lease lasts.
    pub(crate) backend: Mutex<ServerTracker>,
    /// Whether callers are asked to close their connections and readiness is denied,
    /// because the node is about to stop.
    pub(crate) closing_callers: AtomicBool,
    /// Whether the node is leaving and accepts no new work for its backend server.
    pub(crate) leaving: AtomicBool,
    /// Calls that entered at this node and have no answer yet.
    pub(crate) entered: AtomicU32,
    /// Calls that run or wait at the local backend server.
    pub(crate) serving: AtomicU32,
}

impl NodeState {
    /// Returns whether callers are asked to close their connections.
    pub(crate) fn is_closing_callers(&self) -> bool {
        self.closing_callers.load(Ordering::Acquire)
    }

    /// Returns the time for which a request may run if the node is stopping.
    pub(crate) fn until_end(&self) -> Option<Duration> {
        let until_end = self.ends_at.get()?.saturating_duration_since(Instant::now());
        Some(until_end.saturating_sub(LAST_ANSWER_TIME))
    }

    /// Returns whether the node is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Tick {
        (self.clock.tick)()
    }

    /// Returns the service of the local backend server, as the settings name it or else
    /// as it announced it.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        let expected = self.expected.lock().as_ref().map(|expected| expected.service.clone());
        expected.or_else(|| {
            let tracker = self.backend.lock();
            tracker.current().map(|server| server.announcement.service.clone())
        })
    }

    /// Returns the local backend server that the settings name.
    pub(crate) fn expected_server(&self) -> Option<ExpectedServer> {
        self.expected.lock().clone()
    }

    /// Returns whether no call is in flight at the node.
    pub(crate) fn is_idle(&self) -> bool {
        self.entered.load(Ordering::Acquire) == 0
            && self.serving.load(Ordering::Acquire) == 0
            && self.calls.outgoing.is_empty(self.now())
    }
}

/// Counts a call as in flight until it is dropped.
pub(crate) struct InFlight<'a> {
    counter: &'a AtomicU32,
}

impl<'a> InFlight<'a> {
    /// Adds one to `counter` until the returned value is dropped.
    pub(crate) fn enter(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self { counter }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}
