//! What an entry node may decide from the replies of a key's replicas.
//!
//! See `docs/design/0005-ledger.md` for why the cases are complete.

use std::sync::Arc;

use super::{
    ledger::{Claim, ClaimReply},
    ledger_view::{quorum, read_quorum},
};

/// What to do about a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim stands: run the request.
    Run,
    /// The key stands for another request.
    Mismatch,
    /// The request ran; this is its answer.
    Answered(Arc<[u8]>),
    /// Ask where this claim was sent what became of it.
    Settle(Claim),
    /// Too few replicas replied to say anything.
    Uncertain,
}

/// Concludes from the replies to `own`; a replica without reply is `None`.
///
/// A claim of this node that isn't backed by a quorum runs nothing, so that its
/// replicas count as free. A claim by another node may be backed by replicas
/// that didn't reply.
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

/// Returns the only claim that a quorum may back.
///
/// Claims of the highest number that differ can't be told apart unless one of
/// them shows a quorum.
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
