//! What nodes ask each other on behalf of operators.
//!
//! A node answers an operator for the whole mesh by asking every member, so
//! that nothing is collected while nobody looks.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use savorykeel_adapters::peer::RpcLinks;
use savorykeel_policy::{
    burn::Snapshot,
    distribution::message::{Topic, decode, encode},
    ids::{ConfigVersion, InstanceName},
    membership::entry::Liveness,
    moves::status::MoveReport,
};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{burn, control::topic, state::NodeState, worker::link_settings};

/// Nodes that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// Longest time that one node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A question to one node.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum Question {
    /// What is in force, and how does the move of your service stand?
    Standing,
    /// Which calls were recorded?
    Burn,
}

/// Its answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Answer {
    /// What is in force.
    Standing(Standing),
    /// Sums of the recorded calls.
    Burn(Snapshot),
    /// The question can't be understood.
    Refused,
}

/// What is in force on one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Standing {
    /// Configuration version in force.
    pub(super) version: ConfigVersion,
    /// Move of the service beside the node; only nodes of a service hold the
    /// evidence on its move.
    pub(super) own_move: Option<MoveReport>,
}

/// The answer of one member, if it gave one.
pub(super) struct Told {
    /// Name of its instance.
    pub(super) instance: InstanceName,
    /// Its answer.
    pub(super) answer: Option<Answer>,
}

/// Answers another node.
pub(super) fn handle(state: &NodeState, body: &[u8]) -> Vec<u8> {
    let answer = decode(body).map_or(Answer::Refused, |question| answer(state, question));
    encode(&answer)
}

fn answer(state: &NodeState, question: Question) -> Answer {
    match question {
        Question::Standing => Answer::Standing(standing(state)),
        Question::Burn => Answer::Burn(burn::snapshot(state)),
    }
}

fn standing(state: &NodeState) -> Standing {
    let Some(table) = state.control.table() else {
        return Standing { version: ConfigVersion::default(), own_move: None };
    };
    let own = state.service();
    let mut moves = state.control.moves.reports(&table).into_iter();
    let own_move = own.and_then(|service| moves.find(|report| report.service == service));
    Standing { version: table.version, own_move }
}

/// Asks every member that isn't gone, this node included.
pub(super) async fn ask_all(state: &Arc<NodeState>, question: Question) -> Vec<Told> {
    let cancel = CancellationToken::new();
    // The operator may go away before all have answered.
    let _closes_links = cancel.clone().drop_guard();
    // Links of their own, which close afterwards: a node keeps no link to every other one.
    let links = RpcLinks::new(link_settings(state), cancel.clone());
    let asking = members(state).into_iter().map(|(instance, addr)| {
        let (state, links) = (state.clone(), links.clone());
        async move {
            Told { answer: ask_one(&state, &links, &instance, addr, question).await, instance }
        }
    });
    stream::iter(asking).buffer_unordered(ASKED_AT_ONCE).collect().await
}

fn members(state: &NodeState) -> Vec<(InstanceName, SocketAddr)> {
    let members = state.control.members().into_iter();
    members
        .filter(|entry| entry.liveness != Liveness::Gone)
        .map(|entry| (entry.record.instance.clone(), entry.record.peer_addr))
        .collect()
}

async fn ask_one(
    state: &NodeState,
    links: &RpcLinks,
    instance: &InstanceName,
    addr: SocketAddr,
    question: Question,
) -> Option<Answer> {
    if *instance == state.settings.instance {
        return Some(answer(state, question));
    }
    let asking = topic::request(&state.control, links, addr, Topic::Operators, encode(&question));
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, asking).await.ok()?.ok()?;
    decode(&reply).ok()
}
