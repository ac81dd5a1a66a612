//! Fetches the parts of a large answer from the node that runs its request.

use std::{
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use futures_util::{
    StreamExt,
    stream::{self, LocalBoxStream},
};
use savorykeel_policy::{calls::link_schedule::PART_BYTES, code::Code, ids::RequestId};
use savorykeel_ports::peer::{HttpAnswer, PeerError, PeerLinks, PeerReply};

use crate::worker::Worker;

use super::{
    attempt::{CancelGuard, PreparedAttempt, SETTLE_PAUSE},
    context::CallContext,
    dispatch::may_be_retried,
    state::to_millis,
};

/// Number of parts of one answer that are requested at a time. It covers the round trip of a
/// request while the other node's link is busy with the parts before it.
const WINDOW: usize = 4;

/// Largest number of parts of one answer that an entry node holds: those that it has requested, and
/// the one that its caller reads.
pub(super) const MAX_HELD_PARTS: usize = WINDOW + 1;

/// Returns the reply with the whole body; a failure if a part can't be fetched.
///
/// The request has run by then, so the failure says nothing about a repetition.
pub(super) async fn complete(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    id: RequestId,
    reply: PeerReply,
) -> PeerReply {
    match reply {
        PeerReply::Answered(answer) if answer.missing > 0 => {
            let answer = fetch_missing(worker, addr, id, answer).await;
            answer.map_or_else(PeerReply::Failed, PeerReply::Answered)
        }
        other => other,
    }
}

async fn fetch_missing(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    id: RequestId,
    mut answer: HttpAnswer,
) -> Result<HttpAnswer, Code> {
    let mut parts = missing_parts(worker, addr, id, &answer);
    while let Some(part) = parts.next().await {
        answer.body.extend_from_slice(&part?);
    }
    answer.missing = 0;
    Ok(answer)
}

/// Returns the missing parts of an answer in order, each with the size that it must have.
fn missing_parts(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    id: RequestId,
    answer: &HttpAnswer,
) -> LocalBoxStream<'static, Result<Vec<u8>, Code>> {
    let start = answer.body.len() as u64;
    let end = start + answer.missing;
    let worker = worker.clone();
    let fetch = move |offset| {
        let worker = worker.clone();
        async move {
            let part = fetch_part(&worker, addr, id, offset).await?;
            let expected = (end - offset).min(PART_BYTES as u64);
            (part.len() as u64 == expected).then_some(part).ok_or(Code::BadBackendAnswer)
        }
    };
    let offsets = (start..end).step_by(PART_BYTES);
    stream::iter(offsets).map(fetch).buffered(WINDOW).boxed_local()
}

/// The part of an answer that hasn't arrived yet, fetched as fast as the caller reads.
///
/// If it is dropped before its end, the request is cancelled at the other node.
pub(crate) struct AnswerRest {
    parts: LocalBoxStream<'static, Result<Vec<u8>, Code>>,
    guard: CancelGuard,
}

impl AnswerRest {
    /// Returns the missing parts of an answer, which no part has been requested of.
    pub(super) fn new(
        worker: &Rc<Worker>,
        prepared: &PreparedAttempt,
        answer: &HttpAnswer,
        guard: CancelGuard,
    ) -> Self {
        let parts = missing_parts(worker, prepared.addr, prepared.attempt.id, answer);
        Self { parts, guard }
    }

    /// Returns the next part once it has arrived, `None` at the end of the answer.
    pub(super) fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Vec<u8>, Code>>> {
        let part = self.parts.poll_next_unpin(cx);
        if let Poll::Ready(None) = part {
            self.guard.disarm();
        }
        part
    }
}

/// Returns whether a reply is passed on while its parts arrive.
///
/// The ledger stores whole answers, and the failures of a backend server may be retried.
pub(super) fn is_streamed(context: &CallContext, reply: &PeerReply) -> bool {
    match reply {
        PeerReply::Answered(answer) => {
            answer.missing > 0 && !may_be_retried(answer.status) && context.keyed().is_none()
        }
        PeerReply::Failed(_) => false,
    }
}

/// Fetches a part, over another link if one is lost, for as long as a node that can't be reached
/// is asked what became of a request.
async fn fetch_part(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    id: RequestId,
    offset: u64,
) -> Result<Vec<u8>, Code> {
    let mut give_up_at = None;
    loop {
        match worker.links.answer_part(addr, id, offset).await {
            Ok(part) => return part.map(|part| part.data),
            Err(PeerError::Malformed { .. }) => return Err(Code::SettleFailed),
            Err(PeerError::NotSent(_) | PeerError::Lost(_)) => {}
        }
        let limit = worker.state.settings.limits.settle;
        let give_up_at = *give_up_at.get_or_insert_with(|| Instant::now() + limit);
        if Instant::now() + SETTLE_PAUSE >= give_up_at {
            return Err(Code::SettleFailed);
        }
        ntex::time::sleep(to_millis(SETTLE_PAUSE)).await;
    }
}
