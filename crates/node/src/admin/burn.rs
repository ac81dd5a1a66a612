//! The burn report in the operators' API.

use std::sync::Arc;

use ntex::http::{Response, StatusCode};
use savorykeel_policy::{
    burn::{NodeCoverage, Snapshot, report},
    code::Code,
};

use crate::state::NodeState;

use super::{
    api_error, json_response,
    query::{self, Answer, Query},
};

/// Answers with the burn report of the whole mesh.
pub(super) async fn answer(state: &Arc<NodeState>) -> Response {
    let Some(table) = state.control.table() else {
        return api_error(Code::NoConfiguration, "this node has not applied a configuration yet");
    };
    let mut nodes = NodeCoverage::default();
    let mut snapshots = Vec::new();
    for member in query::query_all(state, Query::Burn).await {
        match member.answer {
            Some(Answer::Burn(snapshot)) => snapshots.push(snapshot),
            _ => nodes.silent.push(member.instance.as_str().to_owned()),
        }
    }
    nodes.answered = snapshots.len();
    nodes.silent.sort();
    let sum = Snapshot::sum(snapshots);
    json_response(StatusCode::OK, &report(table.version, &table.configuration, &sum, nodes))
}
