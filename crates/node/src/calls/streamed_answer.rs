//! An answer that is passed on to its caller while its parts arrive from the serving node.

use std::{
    error::Error,
    rc::Rc,
    sync::atomic::Ordering,
    task::{Context, Poll},
    time::Instant,
};

use ntex::{
    http::{
        Response,
        body::{Body, BodySize, MessageBody},
    },
    util::Bytes,
};
use savorykeel_adapters::body_memory::BodyReservation;
use savorykeel_policy::{calls::link_schedule::PART_BYTES, code::Code};
use savorykeel_ports::peer::{HttpAnswer, PeerReply};

use crate::{http, worker::Worker};

use super::{
    answer_parts::{AnswerRest, MAX_HELD_PARTS},
    context::CallContext,
    entry,
};

/// Returns the response that sends an answer and then the rest of it as it arrives.
///
/// The length is known, so that a caller notices an answer that ends early: its connection is
/// closed.
pub(super) fn response(
    mut answer: HttpAnswer,
    rest: AnswerRest,
    end: AnswerEnd,
    mut memory: BodyReservation,
) -> Response {
    memory.hold(MAX_HELD_PARTS * PART_BYTES);
    let first = std::mem::take(&mut answer.body);
    let length = first.len() as u64 + answer.missing;
    let body = StreamedAnswer { first: Some(first.into()), rest, length, end, _memory: memory };
    http::response_with_body(&answer, Body::from_message(body))
}

struct StreamedAnswer {
    first: Option<Bytes>,
    rest: AnswerRest,
    length: u64,
    end: AnswerEnd,
    /// Memory of the parts that its caller hasn't read yet.
    _memory: BodyReservation,
}

impl MessageBody for StreamedAnswer {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        match std::task::ready!(self.rest.poll_part(cx)) {
            Some(Ok(part)) => Poll::Ready(Some(Ok(part.into()))),
            Some(Err(code)) => {
                self.end.record(Some(code));
                Poll::Ready(Some(Err(Rc::new(std::io::Error::other(code.to_string())))))
            }
            None => {
                self.end.record(None);
                Poll::Ready(None)
            }
        }
    }
}

/// Records how an answer ended, for metrics, the burn report and the log. The call counts as in
/// flight until then.
pub(super) struct AnswerEnd {
    worker: Rc<Worker>,
    context: Rc<CallContext>,
    status: u16,
    started: Instant,
    is_recorded: bool,
}

impl AnswerEnd {
    /// Returns the end of a call that began at `started` and was answered with `status`.
    pub(super) fn new(
        worker: &Rc<Worker>,
        context: Rc<CallContext>,
        status: u16,
        started: Instant,
    ) -> Self {
        worker.state.entered.fetch_add(1, Ordering::AcqRel);
        Self { worker: worker.clone(), context, status, started, is_recorded: false }
    }

    fn record(&mut self, failure: Option<Code>) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let took = self.started.elapsed();
        let reply = match failure {
            Some(code) => PeerReply::Failed(code),
            None => PeerReply::Answered(HttpAnswer {
                status: self.status,
                headers: Vec::new(),
                body: Vec::new(),
                missing: 0,
            }),
        };
        entry::observe(&self.worker, &self.context, &reply, took);
    }
}

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        // The caller left, or the node ends.
        self.record(Some(Code::CancelledWhileRunning));
        self.worker.state.entered.fetch_sub(1, Ordering::AcqRel);
    }
}
