//! Runs a keyed request at most once over all of the caller's re-sends.
//!
//! A quorum of the key's replicas grants each attempt before it is sent. What
//! stands in the way is settled where it was sent. See
//! `docs/design/0005-ledger.md`.

use std::{rc::Rc, sync::Arc, time::Duration};

use savorykeel_policy::{
    calls::{
        ledger::{AttemptTarget, Claim},
        ledger_message::LedgerMessage,
        ledger_quorum::{ClaimDecision, decide},
        ledger_view::LedgerView,
    },
    code::{Code, Outcome},
};
use savorykeel_ports::peer::{Attempt, HttpAnswer, PeerReply};

use crate::worker::Worker;

use super::{
    attempt::{self, PreparedAttempt},
    context::{CallContext, KeyedRequest},
    group, ledger_client,
    state::to_millis,
    stored_answer,
};

/// Questions to replicas that can't answer yet.
const MAX_QUESTIONS: u32 = 5;

/// Pause before replicas that can't answer are asked again.
const QUESTION_PAUSE: Duration = Duration::from_millis(100);

/// Whether an attempt may be made.
pub(crate) enum Claimed {
    /// The attempt has its claim.
    Run,
    /// The request has its answer without it.
    Reply(PeerReply),
}

/// One keyed request at its entry node.
pub(crate) struct KeyedRun<'a> {
    worker: &'a Rc<Worker>,
    journey: &'a CallContext,
    keyed: KeyedRequest,
    /// Rank that the next claim needs.
    number: u32,
    /// The claim of the attempt that was made last.
    granted: Option<Claim>,
}

impl<'a> KeyedRun<'a> {
    /// Starts without a claim.
    pub(crate) fn new(
        worker: &'a Rc<Worker>,
        journey: &'a CallContext,
        keyed: KeyedRequest,
    ) -> Self {
        Self { worker, journey, keyed, number: 1, granted: None }
    }

    /// Claims the key for an attempt.
    pub(crate) async fn claim(&mut self, aimed: &PreparedAttempt) -> Claimed {
        let mut questions = 0;
        loop {
            let claim = self.next_claim(aimed);
            let view = self.view();
            let replies = ledger_client::claim(self.worker, &view, self.keyed.key, claim).await;
            let other = match decide(&claim, &replies) {
                ClaimDecision::Run => {
                    self.granted = Some(claim);
                    self.number += 1;
                    return Claimed::Run;
                }
                ClaimDecision::Settle(other) => other,
                ClaimDecision::Answered(kept) => {
                    self.release(&view, claim);
                    return Claimed::Reply(kept_reply(&kept));
                }
                ClaimDecision::Mismatch => {
                    self.release(&view, claim);
                    return Claimed::Reply(PeerReply::Failed(Code::KeyMismatch));
                }
                ClaimDecision::Uncertain => {
                    self.release(&view, claim);
                    questions += 1;
                    if questions >= MAX_QUESTIONS || self.journey.time_left() < QUESTION_PAUSE {
                        return Claimed::Reply(PeerReply::Failed(Code::LedgerUncertain));
                    }
                    ntex::time::sleep(to_millis(QUESTION_PAUSE)).await;
                    continue;
                }
            };
            if let Some(reply) = self.settle(&view, other).await {
                self.release(&view, claim);
                return Claimed::Reply(reply);
            }
            self.number = other.number + 1;
        }
    }

    /// Keeps the answer, or takes back the claim of a request that didn't run.
    pub(crate) fn finish(self, reply: &PeerReply) {
        let Some(claim) = self.granted else { return };
        let view = self.view();
        match reply {
            PeerReply::Answered(answer) => self.keep(&view, claim, answer),
            PeerReply::Failed(code) if code.outcome() == Outcome::NotRun => {
                self.release(&view, claim);
            }
            PeerReply::Failed(_) => {}
        }
    }

    fn next_claim(&self, aimed: &PreparedAttempt) -> Claim {
        let Attempt { id, stamp } = aimed.attempt;
        let target = AttemptTarget { addr: aimed.addr, stamp, request: id };
        Claim { number: self.number, fingerprint: self.keyed.fingerprint, target }
    }

    fn view(&self) -> Arc<LedgerView> {
        group::view(&self.worker.state, &self.journey.service)
    }

    /// Returns what became of another attempt; nothing when it never ran.
    async fn settle(&self, view: &LedgerView, other: Claim) -> Option<PeerReply> {
        let attempt = Attempt { id: other.target.request, stamp: other.target.stamp };
        let deadline = self.journey.deadline;
        let reply = attempt::settle(self.worker, other.target.addr, attempt, deadline).await;
        match &reply {
            PeerReply::Answered(answer) => self.keep(view, other, answer),
            PeerReply::Failed(code) if code.outcome() == Outcome::NotRun => return None,
            PeerReply::Failed(Code::SettleFailed) if self.journey.time_left().is_zero() => {
                return Some(PeerReply::Failed(Code::KeyBusy));
            }
            PeerReply::Failed(_) => {}
        }
        Some(reply)
    }

    fn keep(&self, view: &LedgerView, claim: Claim, answer: &HttpAnswer) {
        let Some(answer) = stored_answer::encode(answer) else { return };
        let key = self.keyed.key;
        let message = LedgerMessage::Finish { key, claim, answer };
        ledger_client::tell_replicas(self.worker, view, key, &message);
    }

    fn release(&self, view: &LedgerView, claim: Claim) {
        let key = self.keyed.key;
        let message = LedgerMessage::Release { key, claim };
        ledger_client::tell_replicas(self.worker, view, key, &message);
    }
}

fn kept_reply(kept: &[u8]) -> PeerReply {
    stored_answer::decode(kept).map_or(PeerReply::Failed(Code::AnswerExpired), PeerReply::Answered)
}
