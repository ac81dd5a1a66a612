//! Configuration and membership: the state that the call path reads.
//!
//! Nothing is distributed yet: a node that starts answers
//! [`savorykeel_policy::code::Code::NoConfiguration`].

use std::{net::SocketAddr, sync::Arc};

use savorykeel_adapters::peer::LinkSettings;
use savorykeel_policy::{membership::entry::BackendRecord, table::Table};
use savorykeel_ports::clock::Clock;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;

/// State of the control loops, shared by all threads of a node.
pub(crate) struct ControlState {}

impl ControlState {
    /// Starts without configuration and members.
    pub(crate) fn new(_: &Settings, _: Clock, _: SocketAddr, _: Logger) -> Self {
        Self {}
    }

    /// Returns the table in force.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        None
    }

    /// Records what the backend server beside the node says of itself.
    pub(crate) fn set_backend(&self, _: Option<BackendRecord>) {}

    /// Announces that the node leaves.
    pub(crate) fn begin_leaving(&self) {}
}

/// What the control loops run with.
pub(crate) struct ControlContext {}

impl ControlContext {
    /// Joins the state with how links are opened.
    pub(crate) fn new(_: Arc<ControlState>, _: LinkSettings) -> Self {
        Self {}
    }
}

/// Runs the control loops until `cancel` is cancelled.
pub(crate) async fn run(_: ControlContext, _: CancellationToken) {}

/// Answers a control message of another node.
pub(crate) fn handle(_: &ControlState, _: &[u8]) -> Vec<u8> {
    Vec::new()
}
