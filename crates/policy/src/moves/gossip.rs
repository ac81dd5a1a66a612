//! Gossip messages that carry the targets, states and evidence of moves between nodes.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, ServiceName};

use super::{evidence::Report, state::MoveState, targets::ServiceTargets};

/// Targets and states of one service in a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMoves {
    /// Service that the targets and states belong to.
    pub service: ServiceName,
    /// Targets that the sender has recorded.
    pub targets: ServiceTargets,
    /// States of the service's moves.
    pub states: Vec<MoveStateUpdate>,
}

/// The state of one move in a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStateUpdate {
    /// Version of the configuration that requested the move: the move's id.
    pub asked: ConfigVersion,
    /// State of the move.
    pub state: MoveState,
}

/// Updates about moves from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveGossip {
    /// Services whose targets or states changed.
    pub services: Vec<ServiceMoves>,
    /// Reports of evidence, sent only to nodes of the same service.
    pub reports: Vec<Report>,
}

impl MoveGossip {
    /// Returns whether the message contains no updates.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.reports.is_empty()
    }
}
