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
use savorykeel_policy::{ids::ServiceName, time::Tick};
use savorykeel_ports::clock::Clock;
use slog::Logger;

use crate::{
    burn::BurnState,
    calls::{announce::Announcement, state::CallState},
    control::state::ControlState,
    settings::Settings,
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
    /// How the calls that entered at this node ended.
    pub(crate) burn: BurnState,
    /// Configuration and membership.
    pub(crate) control: Arc<ControlState>,
    /// Calls.
    pub(crate) calls: CallState,
    /// The backend server beside the node, while its lease lasts.
    pub(crate) backend: Mutex<Option<Announcement>>,
    /// Whether the node is leaving and takes no new work for its backend server.
    pub(crate) leaving: AtomicBool,
    /// Calls that entered at this node and have no answer yet.
    pub(crate) entered: AtomicU32,
    /// Calls that run or wait at the backend server beside the node.
    pub(crate) serving: AtomicU32,
}

impl NodeState {
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
        self.backend.lock().as_ref().map(|backend| backend.record.service.clone())
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
