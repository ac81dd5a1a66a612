//! Decision of an entry node from the replies of a key's replicas.
//!
//! `docs/design/0005-ledger.md` shows that the cases cover every combination of replies.

use std::sync::Arc;

use super::{
    ledger::{Claim, ClaimReply},
    ledger_view::{quorum, read_quorum},
};

/// What the entry node does with a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A quorum granted the claim: run the request.
    Run,
    /// The key was used for a different request.
    Mismatch,
    /// The request has run; this is its answer.
    Answered(Arc<[u8]>),
    /// Another claim may be in force: ask the node to which its attempt was sent for
    /// the outcome (settle it).
    Settle(Claim),
    /// The replies don't show which claim, if any, is in force.
    Uncertain,
}

/// Decides from the replies to the claim `own`; `None` is a replica that didn't
/// reply.
///
/// A request of this node runs only after a quorum granted its claim, so replicas
/// that granted `own` without reaching a quorum count as holding no claim. A claim of another
/// node may have been granted by replicas that didn't reply here.
pub fn decide(own: &Claim, replies: &[Option<ClaimReply>]) -> ClaimDecision {
    let granted = replies.iter().filter(|reply| matches!(reply, Some(ClaimReply::Granted))).count();
    let held: Vec<(&Claim, &Option<Arc<[u8]>>)> = replies.iter().filter_map(as_held).collect();
    if let Some(answer) = decide_from_answer(own, &held) {
        return answer;
    }
    if held.iter().any(|(claim, _)| claim.fingerprint != own.fingerprint) {
        return ClaimDecision::Mismatch;
    }
    if granted >= quorum(replies.len()) {
        return ClaimDecision::Run;
    }
    if granted + held.len() < read_quorum(replies.len()) {
        return ClaimDecision::Uncertain;
    }
    match candidate_claim(&held, replies.len()) {
        Some(claim) => ClaimDecision::Settle(claim),
        None => ClaimDecision::Uncertain,
    }
}

fn as_held(reply: &Option<ClaimReply>) -> Option<(&Claim, &Option<Arc<[u8]>>)> {
    match reply {
        Some(ClaimReply::Held { claim, answer }) => Some((claim, answer)),
        _ => None,
    }
}

fn decide_from_answer(own: &Claim, held: &[(&Claim, &Option<Arc<[u8]>>)]) -> Option<ClaimDecision> {
    let (claim, answer) =
        held.iter().find_map(|(claim, answer)| Some((claim, answer.as_ref()?)))?;
    if claim.fingerprint != own.fingerprint {
        return Some(ClaimDecision::Mismatch);
    }
    Some(ClaimDecision::Answered(answer.clone()))
}

/// Returns the only claim that a quorum may have granted.
///
/// If the claims with the highest number differ, any of them may be the granted one,
/// unless a quorum of the replicas holds one of them.
fn candidate_claim(held: &[(&Claim, &Option<Arc<[u8]>>)], replicas: usize) -> Option<Claim> {
    let highest = held.iter().map(|(claim, _)| claim.number).max()?;
    let top: Vec<&Claim> =
        held.iter().map(|(claim, _)| *claim).filter(|claim| claim.number == highest).collect();
    let first = *top.first()?;
    if top.iter().all(|claim| *claim == first) {
        return Some(*first);
    }
    let votes = |claim: &&&Claim| top.iter().filter(|other| other == claim).count();
    top.iter().find(|claim| votes(claim) >= quorum(replicas)).map(|claim| **claim)
}
