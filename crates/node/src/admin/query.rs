//! Queries that nodes send each other on behalf of operators.
//!
//! To answer an operator's request about the whole mesh, a node queries every member
//! when the request arrives; nothing is collected in advance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use savorykeel_adapters::peer::RpcLinks;
use savorykeel_policy::{
    burn::Snapshot,
    distribution::message::{Topic, decode, encode},
    evacuation::Evacuations,
    ids::{ConfigVersion, InstanceName},
    membership::entry::Liveness,
    moves::status::MoveReport,
};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{
    burn,
    control::{LinkPurpose, topic},
    state::NodeState,
    worker::link_settings,
};

/// Maximum number of nodes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Longest time to wait for the answer of one node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A query to one node.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum Query {
    /// Requests the version in force and the move of the node's own service.
    #[serde(rename = "Standing")]
    Status,
    /// Requests the counts of recorded calls.
    Burn,
    /// Requests what the node knows of evacuations.
    Evacuations,
}

/// The answer to a [`Query`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Answer {
    /// Answer to [`Query::Status`].
    #[serde(rename = "Standing")]
    Status(NodeStatus),
    /// Answer to [`Query::Burn`].
    Burn(Snapshot),
    /// The query couldn't be decoded.
    Refused,
    /// Answer to [`Query::Evacuations`].
    Evacuations(Evacuations),
}

/// Configuration in force on one node and the move of its service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct NodeStatus {
    /// Configuration version in force.
    pub(super) version: ConfigVersion,
    /// Move of the local backend server's service; only nodes of a service hold the
    /// evidence on its move.
    pub(super) own_move: Option<MoveReport>,
}

/// The answer of one member, or none if no valid answer arrived in time.
pub(super) struct MemberAnswer {
    /// Name of its instance.
    pub(super) instance: InstanceName,
    /// Its answer.
    pub(super) answer: Option<Answer>,
}

/// Answers the encoded query of another node.
pub(super) fn handle(state: &NodeState, body: &[u8]) -> Vec<u8> {
    let answer = decode(body).map_or(Answer::Refused, |query| answer(state, query));
    encode(&answer)
}

fn answer(state: &NodeState, query: Query) -> Answer {
    match query {
        Query::Status => Answer::Status(status(state)),
        Query::Burn => Answer::Burn(burn::snapshot(state)),
        Query::Evacuations => Answer::Evacuations(state.control.evacuations()),
    }
}

fn status(state: &NodeState) -> NodeStatus {
    let Some(table) = state.control.table() else {
        return NodeStatus { version: ConfigVersion::default(), own_move: None };
    };
    let own = state.service();
    let mut moves = state.control.moves.reports(&table).into_iter();
    let own_move = own.and_then(|service| moves.find(|report| report.service == service));
    NodeStatus { version: table.version, own_move }
}

/// Queries every member that isn't gone, this node included.
pub(super) async fn query_all(state: &Arc<NodeState>, query: Query) -> Vec<MemberAnswer> {
    let cancel = CancellationToken::new();
    // The operator may disconnect before all members have answered.
    let _closes_links = cancel.clone().drop_guard();
    // Separate links, closed afterwards, because a node keeps no link to every other one.
    let byte_counter_of = state.control.byte_counter_of(LinkPurpose::Control);
    let links = RpcLinks::new(link_settings(state), byte_counter_of, cancel.clone());
    let queries = members(state).into_iter().map(|(instance, addr)| {
        let (state, links) = (state.clone(), links.clone());
        async move {
            MemberAnswer {
                answer: query_one(&state, &links, &instance, addr, query).await,
                instance,
            }
        }
    });
    stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES).collect().await
}

fn members(state: &NodeState) -> Vec<(InstanceName, SocketAddr)> {
    let members = state.control.members().into_iter();
    members
        .filter(|entry| entry.liveness != Liveness::Gone)
        .map(|entry| (entry.record.instance.clone(), entry.record.peer_addr))
        .collect()
}

async fn query_one(
    state: &NodeState,
    links: &RpcLinks,
    instance: &InstanceName,
    addr: SocketAddr,
    query: Query,
) -> Option<Answer> {
    if *instance == state.settings.instance {
        return Some(answer(state, query));
    }
    let reply = topic::request(&state.control, links, addr, Topic::Operators, encode(&query));
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, reply).await.ok()?.ok()?;
    decode(&reply).ok()
}
