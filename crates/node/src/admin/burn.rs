//! The burn report in the operators' API.

use ntex::http::{Response, StatusCode};
use savorykeel_policy::{
    burn::{NodesHeard, report},
    code::Code,
};

use crate::{burn, state::NodeState};

use super::{error, json};

/// Answers with the burn report of the calls that entered at this node.
pub(super) fn answer(state: &NodeState) -> Response {
    let Some(table) = state.control.table() else {
        return error(Code::NoConfiguration, "this node has not applied a configuration yet");
    };
    let snapshot = burn::snapshot(state);
    let nodes = NodesHeard { heard: 1, silent: Vec::new() };
    json(StatusCode::OK, &report(table.version, &table.configuration, &snapshot, nodes))
}
