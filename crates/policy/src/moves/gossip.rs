//! Targets, states and evidence as they travel between nodes.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, ServiceName};

use super::{evidence::Report, state::MoveState, targets::ServiceTargets};

/// Targets and states of one service, as they travel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMoves {
    /// The service.
    pub service: ServiceName,
    /// The targets noted.
    pub targets: ServiceTargets,
    /// The states of its moves.
    pub states: Vec<MoveStateUpdate>,
}

/// The state of one move, as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStateUpdate {
    /// The move's id.
    pub asked: ConfigVersion,
    /// Its state.
    pub state: MoveState,
}

/// What one node tells another about moves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveGossip {
    /// Services whose targets or states changed.
    pub services: Vec<ServiceMoves>,
    /// Reports for a node of the same service.
    pub reports: Vec<Report>,
}

impl MoveGossip {
    /// Tells whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.reports.is_empty()
    }
}
