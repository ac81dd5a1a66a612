//! Large answers that this node sends to other nodes in parts, as the link has room.
//!
//! An answer is held here from the end of its run until the entry node has fetched all parts,
//! cancels the request, or its deadline passes. It shares its memory with the answer that is
//! kept for the settle protocol. See `docs/design/0024-links.md`.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::{
        link_admission::LinkAdmission,
        link_schedule::{LinkPart, LinkRate, PART_BYTES},
    },
    code::Code,
    ids::{RequestId, RouteName},
    time::Tick,
};
use savorykeel_ports::peer::{AnswerPart, HttpAnswer, HttpRequest, PeerCall, PeerReply};

use crate::state::InFlight;

use super::{context::CallContext, link::LinkShaper, state::reply_bytes};

/// Time beyond the deadline for which an answer is held, because the entry node waits so long.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Bytes of a message between nodes besides those of its bodies and headers.
const MESSAGE_BYTES: usize = 100;

/// What the order of a large answer's parts depends on.
#[derive(Debug, Clone)]
pub(crate) struct AnswerOrder {
    /// Moment until which the answer counts as fast.
    pub(crate) objective_at: Tick,
    /// Moment at which its caller stops waiting.
    pub(crate) deadline: Tick,
    /// Account that sent the request; empty if there is none.
    pub(crate) account: Arc<str>,
    /// Whether the request may run again, so that nobody asks for its answer after a cancel.
    pub(crate) is_repeatable: bool,
}

impl AnswerOrder {
    /// Returns the order of the answer to a call that arrived at `now`.
    pub(crate) fn of(call: &PeerCall, now: Tick) -> Self {
        Self {
            objective_at: now + call.objective_left,
            deadline: now + call.time_left,
            account: call.account.clone().unwrap_or_default(),
            is_repeatable: call.idempotent,
        }
    }

    /// Returns the order of the answer to a call that entered at this node.
    pub(crate) fn of_entered(context: &CallContext, now: Tick) -> Self {
        Self {
            objective_at: now + context.objective_left(),
            deadline: now + context.time_left(),
            account: context.account.as_ref().map(|a| a.name.shared()).unwrap_or_default(),
            is_repeatable: context.route.idempotent,
        }
    }

    /// Returns the order of an answer that is fetched again: behind those that can be in time.
    fn unknown() -> Self {
        Self {
            objective_at: Tick::default(),
            deadline: Tick::default(),
            account: "".into(),
            is_repeatable: false,
        }
    }

    /// Returns the next part of an answer, of which `unsent` bytes are left.
    pub(crate) fn part(&self, bytes: usize, unsent: u64) -> LinkPart {
        let (objective_at, account) = (self.objective_at, self.account.clone());
        LinkPart { bytes, unsent, objective_at, account }
    }
}

struct Outgoing {
    reply: Arc<PeerReply>,
    order: AnswerOrder,
    unsent: u64,
    /// Offsets of the parts that were sent; a part may be requested again over another link.
    sent: BTreeSet<u64>,
    /// Number of parts that wait for the link.
    waiting: u32,
}

/// Room on the link for the answer to one request, which is released when dropped.
pub(crate) struct LinkReservation<'a> {
    /// `None` if the capacity of the link isn't stated.
    admission: Option<(&'a Mutex<LinkAdmission>, RouteName)>,
    bytes: u64,
    started_at: Instant,
}

impl LinkReservation<'_> {
    fn none() -> Self {
        Self { admission: None, bytes: 0, started_at: Instant::now() }
    }

    /// Ends the reservation with the reply to the request.
    pub(crate) fn end(self, reply: &PeerReply) {
        let Some((admission, route)) = &self.admission else { return };
        if let PeerReply::Answered(answer) = reply {
            let (bytes, run_time) = (answer.body.len() as u64, self.started_at.elapsed());
            admission.lock().record(route, bytes, run_time);
        }
    }
}

impl Drop for LinkReservation<'_> {
    fn drop(&mut self) {
        if let Some((admission, _)) = &self.admission {
            admission.lock().release(self.bytes);
        }
    }
}

/// The large answers that are being sent.
pub(crate) struct OutgoingAnswers {
    link: Option<LinkShaper>,
    admission: Option<Mutex<LinkAdmission>>,
    answers: Mutex<HashMap<RequestId, Outgoing>>,
    /// Calls of other nodes whose reply isn't ready yet.
    replies: AtomicU32,
}

/// Memory for answers that are being sent. Callers that read slowly hold theirs until the
/// deadline; above this, further requests for large answers are refused.
const HELD_BYTES: u64 = 16 << 20;

/// A part that waits for the link, until dropped.
struct WaitingPart<'a> {
    answers: &'a Mutex<HashMap<RequestId, Outgoing>>,
    id: RequestId,
}

impl<'a> WaitingPart<'a> {
    fn new(answers: &'a Mutex<HashMap<RequestId, Outgoing>>, id: RequestId) -> Self {
        if let Some(outgoing) = answers.lock().get_mut(&id) {
            outgoing.waiting += 1;
        }
        Self { answers, id }
    }
}

impl Drop for WaitingPart<'_> {
    fn drop(&mut self) {
        if let Some(outgoing) = self.answers.lock().get_mut(&self.id) {
            outgoing.waiting = outgoing.waiting.saturating_sub(1);
        }
    }
}

impl OutgoingAnswers {
    /// Creates an empty set. Without a link, answers aren't split.
    pub(crate) fn new(link: Option<LinkRate>) -> Self {
        let admission = link.map(|rate| Mutex::new(LinkAdmission::new(rate)));
        let answers = Mutex::default();
        Self { link: link.map(LinkShaper::new), admission, answers, replies: AtomicU32::new(0) }
    }

    /// Returns the link, if its capacity is stated.
    pub(crate) fn link(&self) -> Option<LinkShaper> {
        self.link.clone()
    }

    /// Returns the time after which a large answer accepted now would have crossed the link; zero
    /// if the link is idle or its capacity isn't stated.
    pub(crate) fn link_wait(&self) -> Duration {
        let Some(admission) = &self.admission else { return Duration::ZERO };
        self.update_admission(admission);
        let unsent = self.unsent();
        admission.lock().wait(unsent)
    }

    /// Frees answers that nobody waits for, and tells the admission what else crosses the link.
    fn update_admission(&self, admission: &Mutex<LinkAdmission>) {
        let Some(link) = &self.link else { return };
        self.expire(link.now());
        admission.lock().set_other_share(link.other_share());
    }

    /// Reserves the link for the answer to a call of another node. If it must not run because the
    /// answer can't be in time, the error is the time after which one like it could be, or zero if
    /// answers take too much memory.
    pub(crate) fn reserve(&self, call: &PeerCall) -> Result<LinkReservation<'_>, Duration> {
        let Some(admission) = &self.admission else { return Ok(LinkReservation::none()) };
        self.update_admission(admission);
        let (unsent, held) = (self.unsent(), self.held_bytes());
        let bytes = admission.lock().reserve(&call.route, call.objective_left, unsent)?;
        if bytes > 0 && held + bytes > HELD_BYTES {
            admission.lock().release(bytes);
            return Err(Duration::ZERO);
        }
        let (route, started_at) = (call.route.clone(), Instant::now());
        Ok(LinkReservation { admission: Some((admission, route)), bytes, started_at })
    }

    /// Returns the bytes that wait for the link. Answers whose callers don't ask for more at the
    /// moment leave it to others.
    fn unsent(&self) -> u64 {
        let answers = self.answers.lock();
        let waiting = answers.values().filter(|outgoing| outgoing.waiting > 0);
        waiting.map(|outgoing| outgoing.unsent).sum()
    }

    /// Returns the memory that the answers take.
    fn held_bytes(&self) -> u64 {
        self.answers.lock().values().map(|outgoing| body_of(&outgoing.reply).len() as u64).sum()
    }

    /// Counts a request that is sent to another node.
    pub(crate) fn count_request(&self, request: &HttpRequest) {
        let Some(link) = &self.link else { return };
        let headers = request.headers.iter().map(|h| h.name.len() + h.value.len());
        link.count_sent(request.body.len() + headers.sum::<usize>() + MESSAGE_BYTES);
    }

    /// Returns the reply for another node: a small one at once, the first part of a large one
    /// when the link has room for it.
    pub(crate) async fn first_part(
        &self,
        id: RequestId,
        reply: Arc<PeerReply>,
        order: AnswerOrder,
    ) -> PeerReply {
        let Some(link) = &self.link else { return Arc::unwrap_or_clone(reply) };
        let PeerReply::Answered(answer) = &*reply else {
            link.count_sent(MESSAGE_BYTES);
            return Arc::unwrap_or_clone(reply);
        };
        if answer.body.len() <= PART_BYTES {
            link.count_sent(reply_bytes(&reply) + MESSAGE_BYTES);
            return Arc::unwrap_or_clone(reply);
        }
        let HttpAnswer { status, headers, .. } = answer;
        let (status, headers) = (*status, headers.clone());
        let missing = (answer.body.len() - PART_BYTES) as u64;
        self.expire(link.now());
        self.insert(id, reply, order);
        match self.part(id, 0, || None).await {
            Ok(AnswerPart { data: body, .. }) => {
                PeerReply::Answered(HttpAnswer { status, headers, body, missing })
            }
            Err(code) => PeerReply::Failed(code),
        }
    }

    /// Returns an answer that was kept; the body of a large one is fetched in parts.
    pub(crate) fn without_large_body(&self, mut answer: HttpAnswer) -> HttpAnswer {
        if self.link.is_some() && answer.body.len() > PART_BYTES {
            answer.missing = answer.body.len() as u64;
            answer.body = Vec::new();
        }
        answer
    }

    fn insert(&self, id: RequestId, reply: Arc<PeerReply>, order: AnswerOrder) {
        let unsent = body_of(&reply).len() as u64;
        self.answers
            .lock()
            .insert(id, Outgoing { reply, order, unsent, sent: BTreeSet::new(), waiting: 0 });
    }

    /// Returns a part of an answer when the link has room for it.
    ///
    /// `kept` returns the answer if it was sent before and is kept for the settle protocol.
    pub(crate) async fn part(
        &self,
        id: RequestId,
        offset: u64,
        kept: impl Fn() -> Option<Arc<PeerReply>>,
    ) -> Result<AnswerPart, Code> {
        let link = self.link.as_ref().ok_or(Code::AnswerExpired)?;
        let sending = self.answers.lock().get(&id).map(|outgoing| {
            let Outgoing { reply, order, unsent, .. } = outgoing;
            (reply.clone(), order.clone(), *unsent)
        });
        let (reply, order, unsent) = match sending {
            Some(sending) => sending,
            None => {
                let reply = kept().ok_or(Code::AnswerExpired)?;
                let unsent = body_of(&reply).len() as u64;
                (reply, AnswerOrder::unknown(), unsent)
            }
        };
        let body = body_of(&reply);
        let start = usize::try_from(offset).map_err(|_| Code::AnswerExpired)?;
        let rest = body.get(start..).filter(|rest| !rest.is_empty()).ok_or(Code::AnswerExpired)?;
        let data = &rest[..rest.len().min(PART_BYTES)];
        let waiting = WaitingPart::new(&self.answers, id);
        link.wait_for(order.part(data.len(), unsent)).await;
        drop(waiting);
        self.count_part(id, offset, data.len() as u64);
        Ok(AnswerPart { data: data.to_vec(), is_last: data.len() == rest.len() })
    }

    /// Counts a part as sent, and frees an answer whose parts have all been.
    fn count_part(&self, id: RequestId, offset: u64, bytes: u64) {
        let mut answers = self.answers.lock();
        let Some(outgoing) = answers.get_mut(&id) else { return };
        if outgoing.sent.insert(offset) {
            outgoing.unsent = outgoing.unsent.saturating_sub(bytes);
        }
        if outgoing.unsent == 0 {
            answers.remove(&id);
        }
    }

    /// Frees the answer to a request that nobody waits for any more. Returns whether it was being
    /// sent and its request may run again, so that its kept copy isn't needed either.
    pub(crate) fn remove(&self, id: RequestId) -> bool {
        let Some(outgoing) = self.answers.lock().remove(&id) else { return false };
        outgoing.order.is_repeatable
    }

    /// Frees the answers whose deadline has passed.
    pub(crate) fn expire(&self, now: Tick) {
        let is_waited_for = |outgoing: &Outgoing| now <= outgoing.order.deadline + DEADLINE_GRACE;
        self.answers.lock().retain(|_, outgoing| is_waited_for(outgoing));
    }

    /// Counts a call of another node until its reply is ready, so that a drain doesn't end between
    /// the end of its run and the first part of its answer.
    pub(crate) fn begin_reply(&self) -> InFlight<'_> {
        InFlight::enter(&self.replies)
    }

    /// Returns whether no answer is being sent or about to be.
    pub(crate) fn is_empty(&self, now: Tick) -> bool {
        self.expire(now);
        self.replies.load(Ordering::Acquire) == 0 && self.answers.lock().is_empty()
    }
}

fn body_of(reply: &PeerReply) -> &[u8] {
    match reply {
        PeerReply::Answered(answer) => &answer.body,
        PeerReply::Failed(_) => &[],
    }
}
