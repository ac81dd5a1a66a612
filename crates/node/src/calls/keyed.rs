//! Runs a request with an idempotency key at most once, however often the caller
//! sends it.
//!
//! A quorum of the key's replicas has to grant a claim for each attempt before the
//! attempt is sent. If another claim may be in force, its attempt is settled at the
//! node to which it was sent. See `docs/design/0005-ledger.md`.

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

/// Number of claim requests with an uncertain result after which the request fails.
const MAX_UNCERTAIN_ROUNDS: u32 = 5;

/// Pause before the claim is requested again after an uncertain result.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of claiming the key for an attempt.
pub(crate) enum ClaimResult {
    /// A quorum granted the claim: the attempt may be sent.
    Run,
    /// No attempt is made; this is the reply to the caller.
    Reply(PeerReply),
}

/// One keyed request at its entry node, over all of its attempts.
pub(crate) struct KeyedCall<'a> {
    worker: &'a Rc<Worker>,
    context: &'a CallContext,
    keyed: KeyedRequest,
    /// Number of the next claim; it has to exceed the number of every claim that it
    /// replaces.
    number: u32,
    /// The claim of the latest attempt that was granted.
    granted: Option<Claim>,
}

impl<'a> KeyedCall<'a> {
    /// Creates the state of a request that has no claim yet.
    pub(crate) fn new(
        worker: &'a Rc<Worker>,
        context: &'a CallContext,
        keyed: KeyedRequest,
    ) -> Self {
        Self { worker, context, keyed, number: 1, granted: None }
    }

    /// Claims the key for an attempt, settling other claims that may be in force.
    pub(crate) async fn claim(&mut self, prepared: &PreparedAttempt) -> ClaimResult {
        let mut uncertain_rounds = 0;
        loop {
            let claim = self.next_claim(prepared);
            let view = self.view();
            let (key, time_left) = (self.keyed.key, self.context.time_left());
            let replies = ledger_client::claim(self.worker, &view, key, claim, time_left).await;
            let other = match decide(&claim, &replies) {
                ClaimDecision::Run => {
                    self.granted = Some(claim);
                    self.number += 1;
                    return ClaimResult::Run;
                }
                ClaimDecision::Settle(other) => other,
                ClaimDecision::Answered(encoded) => {
                    self.release(&view, claim);
                    return ClaimResult::Reply(decode_answer(&encoded));
                }
                ClaimDecision::Mismatch => {
                    self.release(&view, claim);
                    return ClaimResult::Reply(PeerReply::Failed(Code::KeyMismatch));
                }
                ClaimDecision::Uncertain => {
                    self.release(&view, claim);
                    uncertain_rounds += 1;
                    if uncertain_rounds >= MAX_UNCERTAIN_ROUNDS
                        || self.context.time_left() < CLAIM_RETRY_PAUSE
                    {
                        return ClaimResult::Reply(PeerReply::Failed(Code::LedgerUncertain));
                    }
                    ntex::time::sleep(to_millis(CLAIM_RETRY_PAUSE)).await;
                    continue;
                }
            };
            if let Some(reply) = self.settle(&view, other).await {
                self.release(&view, claim);
                return ClaimResult::Reply(reply);
            }
            self.number = other.number + 1;
        }
    }

    /// Stores the answer with the replicas, or releases the claim of a request that
    /// didn't run.
    ///
    /// With any other outcome the claim stays in force, because the request may have
    /// run.
    pub(crate) fn finish(self, reply: &PeerReply) {
        let Some(claim) = self.granted else { return };
        let view = self.view();
        match reply {
            PeerReply::Answered(answer) => self.store_answer(&view, claim, answer),
            PeerReply::Failed(code) if code.outcome() == Outcome::NotRun => {
                self.release(&view, claim);
            }
            PeerReply::Failed(_) => {}
        }
    }

    fn next_claim(&self, prepared: &PreparedAttempt) -> Claim {
        let Attempt { id, stamp } = prepared.attempt;
        let target = AttemptTarget { addr: prepared.addr, stamp, request: id };
        Claim { number: self.number, fingerprint: self.keyed.fingerprint, target }
    }

    fn view(&self) -> Arc<LedgerView> {
        group::view(&self.worker.state, &self.context.service)
    }

    /// Settles the attempt of another claim and returns its reply; `None` if it never
    /// ran.
    ///
    /// If the time of this request is over and the attempt can't be settled, the key
    /// counts as busy.
    async fn settle(&self, view: &LedgerView, other: Claim) -> Option<PeerReply> {
        let attempt = Attempt { id: other.target.request, stamp: other.target.stamp };
        let deadline = self.context.deadline;
        let reply = attempt::settle(self.worker, other.target.addr, attempt, deadline).await;
        match &reply {
            PeerReply::Answered(answer) => self.store_answer(view, other, answer),
            PeerReply::Failed(code) if code.outcome() == Outcome::NotRun => return None,
            PeerReply::Failed(Code::SettleFailed) if self.context.time_left().is_zero() => {
                return Some(PeerReply::Failed(Code::KeyBusy));
            }
            PeerReply::Failed(_) => {}
        }
        Some(reply)
    }

    /// Stores an answer with the replicas unless it can't be encoded.
    fn store_answer(&self, view: &LedgerView, claim: Claim, answer: &HttpAnswer) {
        let Some(answer) = stored_answer::encode(answer) else { return };
        let key = self.keyed.key;
        let message = LedgerMessage::Finish { key, claim, answer };
        ledger_client::notify_replicas(self.worker, view, key, &message);
    }

    fn release(&self, view: &LedgerView, claim: Claim) {
        let key = self.keyed.key;
        let message = LedgerMessage::Release { key, claim };
        ledger_client::notify_replicas(self.worker, view, key, &message);
    }
}

fn decode_answer(encoded: &[u8]) -> PeerReply {
    stored_answer::decode(encoded)
        .map_or(PeerReply::Failed(Code::AnswerExpired), PeerReply::Answered)
}
