//! What the worker threads of one node share.
//!
//! Lock order: [`NodeState::backend`] before the locks of the control state.
//! No lock is held across an await.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use parking_lot::Mutex;
use savorykeel_adapters::metrics::Metrics;
use savorykeel_policy::{
    ids::ServiceName,
    server::tracker::{ExpectedServer, ServerTracker},
    time::Tick,
};
use savorykeel_ports::{clock::Clock, edge::HeaderNames};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::{
    burn::BurnState, calls::state::CallState, control::state::ControlState, settings::Settings,
    telemetry::RequestLogLimit,
};

/// State of one node, shared by its worker threads.
pub(crate) struct NodeState {
    /// The node's settings.
    pub(crate) settings: Settings,
    /// Reads the time.
    pub(crate) clock: Clock,
    /// Structured log.
    pub(crate) log: Logger,
    /// Metrics, which go nowhere unless the settings name a server.
    pub(crate) metrics: Metrics,
    /// Cancelled when idle connections of callers are to be closed.
    pub(crate) closing: CancellationToken,
    /// Bounds the lines about requests.
    pub(crate) request_log_limit: RequestLogLimit,
    /// How the calls that entered at this node ended.
    pub(crate) burn: BurnState,
    /// Configuration and membership.
    pub(crate) control: Arc<ControlState>,
    /// Calls.
    pub(crate) calls: CallState,
    /// Names of the headers towards callers and backend servers.
    pub(crate) headers: HeaderNames,
    /// What the settings file may change while the node runs.
    pub(crate) expected: Mutex<Option<ExpectedServer>>,
    /// The backend server beside the node, while its lease lasts.
    pub(crate) backend: Mutex<ServerTracker>,
    /// Whether callers are asked to go elsewhere, because the node is about to end.
    pub(crate) closing_callers: AtomicBool,
    /// Whether the node is leaving and takes no new work for its backend server.
    pub(crate) leaving: AtomicBool,
    /// Calls that entered at this node and have no answer yet.
    pub(crate) entered: AtomicU32,
    /// Calls that run or wait at the backend server beside the node.
    pub(crate) serving: AtomicU32,
}

impl NodeState {
    /// Tells whether callers are asked to go elsewhere.
    pub(crate) fn is_closing_callers(&self) -> bool {
        self.closing_callers.load(Ordering::Acquire)
    }

    /// Tells whether the node is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Tick {
        (self.clock.tick)()
    }

    /// Returns the service of the backend server beside the node.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        let expected = self.expected.lock().as_ref().map(|expected| expected.service.clone());
        expected.or_else(|| {
            let tracker = self.backend.lock();
            tracker.current().map(|server| server.announcement.service.clone())
        })
    }

    /// Returns the backend server that the settings place beside the node.
    pub(crate) fn expected_server(&self) -> Option<ExpectedServer> {
        self.expected.lock().clone()
    }

    /// Tells whether no call is in flight at the node.
    pub(crate) fn is_idle(&self) -> bool {
        self.entered.load(Ordering::Acquire) == 0 && self.serving.load(Ordering::Acquire) == 0
    }
}

/// Counts a call while it lives.
pub(crate) struct InFlight<'a> {
    counter: &'a AtomicU32,
}

impl<'a> InFlight<'a> {
    /// Adds one to `counter` until the value is dropped.
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
