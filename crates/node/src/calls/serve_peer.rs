//! Serves the calls of other nodes, whose large answers cross the link in parts.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use savorykeel_adapters::metrics::{Counter, Tag};
use savorykeel_policy::{code::Code, ids::RequestId};
use savorykeel_ports::peer::{AnswerPart, Attempt, LoadHint, PeerCall, PeerReply, Settlement};
use slog::info;

use crate::{state::NodeState, worker::Worker};

use super::{load_report, outgoing::AnswerOrder, serve};

/// Runs a call of another node. A large answer is sent in parts, the first of them in the reply.
pub(crate) async fn run_for_peer(worker: Rc<Worker>, call: PeerCall) -> (PeerReply, LoadHint) {
    let (arrived_at, state) = (Instant::now(), worker.state.clone());
    let (id, order) = (call.attempt.id, AnswerOrder::of(&call, state.now()));
    let reservation = match state.calls.outgoing.reserve(&call) {
        Ok(reservation) => reservation,
        // The request isn't admitted, so settling it fences it.
        Err(room_in) => {
            log_refusal(&state, &call, room_in);
            let reply = PeerReply::Failed(Code::LinkOverloaded);
            return (reply, load_report::load_hint(&state, arrived_at.elapsed()));
        }
    };
    let _reply = state.calls.outgoing.begin_reply();
    let reply = serve::run_detached(worker, call).await;
    reservation.end(&reply);
    let reply = state.calls.outgoing.first_part(id, reply, order).await;
    (reply, load_report::load_hint(&state, arrived_at.elapsed()))
}

/// Logs and counts a request that is refused because of the link.
fn log_refusal(state: &NodeState, call: &PeerCall, room_in: Duration) {
    let tags = [Tag { key: "at", value: "serving" }];
    state.metrics.count(Counter::LinkRefusals, 1, &tags);
    if state.request_log_limit.allow(state.now(), &state.log) {
        info!(state.log, "request refused for the link";
            "id" => serve::request_id_text(state, call), "route" => %call.route,
            "objective_ms" => call.objective_left.as_millis() as u64,
            "room_in_ms" => room_in.as_millis() as u64);
    }
}

/// Returns the status of an attempt to another node, which fetches a large answer in parts.
pub(crate) fn settle_for_peer(state: &NodeState, attempt: Attempt) -> Settlement {
    match serve::settle(state, attempt) {
        Settlement::Ended(PeerReply::Answered(answer)) => {
            let reply = state.calls.outgoing.without_large_body(answer);
            Settlement::Ended(PeerReply::Answered(reply))
        }
        other => other,
    }
}

/// Returns the part of a large answer that begins at an offset, once the link has room for it.
///
/// An answer that is no longer being sent is fetched again from the kept ones.
pub(crate) async fn answer_part(
    state: Arc<NodeState>,
    id: RequestId,
    offset: u64,
) -> Result<AnswerPart, Code> {
    let kept = || state.calls.settle.lock().answer(id);
    state.calls.outgoing.part(id, offset, kept).await
}
