//! The backend server chosen for an attempt, recorded in the balancer until the attempt ends.

use std::{rc::Rc, time::Instant};

use savorykeel_policy::{calls::balance::CallOutcome, code::Code, ids::InstanceName};
use savorykeel_ports::peer::PeerReply;

use crate::worker::Worker;

use super::dispatch::may_be_retried;

/// A chosen backend server, whose outcome is recorded in the balancer once.
///
/// If it is dropped without an outcome, the call is recorded as cancelled.
pub(super) struct ChosenBackend {
    worker: Rc<Worker>,
    instance: InstanceName,
    is_recorded: bool,
}

impl ChosenBackend {
    pub(super) fn new(worker: &Rc<Worker>, instance: InstanceName) -> Self {
        Self { worker: worker.clone(), instance, is_recorded: false }
    }

    pub(super) fn record_outcome(&mut self, outcome: CallOutcome, started: Instant) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let state = &self.worker.state;
        state.calls.balancer.lock().record_outcome(
            &self.instance,
            outcome,
            started.elapsed(),
            state.now(),
        );
    }
}

impl Drop for ChosenBackend {
    fn drop(&mut self) {
        self.record_outcome(CallOutcome::Cancelled, Instant::now());
    }
}

/// Returns what a reply tells about the backend server.
pub(super) fn call_outcome(reply: &PeerReply) -> CallOutcome {
    match reply {
        PeerReply::Answered(answer) if may_be_retried(answer.status) => {
            CallOutcome::AnsweredWithFailure
        }
        PeerReply::Answered(_) => CallOutcome::Answered,
        PeerReply::Failed(Code::BackendRefused) => CallOutcome::AnsweredWithFailure,
        PeerReply::Failed(
            Code::Overloaded | Code::LinkOverloaded | Code::DeadlineBeforeStart | Code::Evacuated,
        ) => CallOutcome::Shed,
        PeerReply::Failed(Code::Quarantined | Code::Cancelled | Code::CancelledWhileRunning) => {
            CallOutcome::Cancelled
        }
        PeerReply::Failed(_) => CallOutcome::Failed,
    }
}
