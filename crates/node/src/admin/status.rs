//! The status in the operators' API.

use crate::state::NodeState;

use super::api::{AppliedSpread, StatusReport};

/// Returns the mesh as this node sees it.
pub(super) fn report(state: &NodeState) -> StatusReport {
    let version = state.control.table().map(|table| table.version).unwrap_or_default();
    StatusReport {
        instance: state.settings.instance.clone(),
        version,
        applied: AppliedSpread { lowest: version, highest: version, laggards: Vec::new() },
        members: Vec::new(),
        moves: Vec::new(),
        alarms: Vec::new(),
    }
}
